"""Which instances there are, found from seeds and from each other.

Each instance keeps one record of every instance. A record is replaced by
one of a higher epoch, or of the same epoch and a later state. Only the
instance itself raises its epoch: when it starts and when it learns that
others believe it down. Every interval it checks one other instance, and
news spread with the checks and at once to a few instances.
"""

from collections.abc import Iterable
import datetime
import enum
import random
from typing import NamedTuple
import zlib

from cranberryscale.process import rendezvous


__all__ = ['InstanceRecord', 'InstanceState', 'Roster']

# Every other check goes to the next instance by name, the rest at random.
CHECK_INTERVAL = datetime.timedelta(milliseconds=700)
# Where one is lost others may be lost as well, for example with a domain.
FAST_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
ALARM = datetime.timedelta(seconds=1.5)
# Two packets lost in a row are retransmitted within this time.
CHECK_TIMEOUT = datetime.timedelta(milliseconds=350)
# A single failed check may be a lost packet.
FAILED_CHECK_LIMIT = 2
# Each piece of news is sent this often by each instance that learns it;
# three copies reach all of some hundred instances within a few hops.
NEWS_COPIES = 4
NEWS_FANOUT = 3
# Down instances are checked now and then, so that two sides of a partition
# find each other again.
REVIVAL_RATIO = 0.1
LONELY_REVIVAL_RATIO = 0.5
FORGET_AFTER = datetime.timedelta(seconds=90)
# Instances that left the count within this time may still serve callers on
# the other side of a partition.
RECENT = datetime.timedelta(seconds=8)
# News of all instances reach a new one within this time, or have when it has
# heard of no further instance for the shorter time.
JOIN_TIME = datetime.timedelta(milliseconds=700)
JOIN_PAUSE = datetime.timedelta(milliseconds=200)
# An instance coordinates others only after it has learned what they know.
MIN_HOLDER_UPTIME = datetime.timedelta(seconds=2)


class InstanceState(enum.IntEnum):
    """Order the states of an instance within one epoch."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    DOWN = 3


class InstanceRecord(NamedTuple):
    """Describe an instance; `name` is its peer address."""

    name: str
    epoch: int
    state: int
    domain: str
    callers: str
    cores: float

    @property
    def rank(self) -> tuple[int, int]:
        """Return what decides between two records of one instance."""
        return (self.epoch, self.state)


class Roster:
    """Keep the records; `rng` chooses whom to check."""

    def __init__(
        self,
        own: InstanceRecord,
        seeds: Iterable[str],
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self.own_record = own
        self._rng = rng
        self.set_seeds(seeds)
        self._records = {own.name: own}
        self._changed_at = {own.name: now}
        self._up_since = {own.name: now}
        self._news: dict[str, int] = {}
        # Instances to check next.
        self._queue: list[str] = []
        self._turn = 0
        # Checks that failed, by name: how many, and when the first began.
        self._failures: dict[str, tuple[int, datetime.timedelta]] = {}
        # Instances that this one alone believes down, because it heard of
        # nobody in the meantime and may itself be cut off.
        self._silent: dict[str, datetime.timedelta] = {}
        self._contact_at = now
        self._alarm_until = now
        self._joined_at: datetime.timedelta | None = None
        # When another instance was last heard of for the first time.
        self._met_at = now

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Take the instances to ask first."""
        self.seeds = tuple(s for s in seeds if s != self.own_record.name)

    @property
    def records(self) -> tuple[InstanceRecord, ...]:
        """Return all records, by name."""
        return tuple(sorted(self._records.values()))

    @property
    def digest(self) -> int:
        """Return a checksum of all records, to compare with others."""
        text = repr([(r.name, r.rank) for r in self.records])
        return zlib.crc32(text.encode())

    def find_record(self, name: str) -> InstanceRecord | None:
        """Return the record of an instance, or None."""
        return self._records.get(name)

    def has_finished_joining(self, now: datetime.timedelta) -> bool:
        """Tell whether this instance has had time to hear of all others."""
        if not self.is_joined:
            return False
        if self._joined_at is None or now - self._joined_at >= JOIN_TIME:
            return True
        return now - self._met_at >= JOIN_PAUSE

    @property
    def is_joined(self) -> bool:
        """Tell whether others are known, or there are none to know."""
        return len(self._records) > 1 or not self.seeds

    def list_up(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that are not down, this one included."""
        return tuple(r for r in self.records if self._is_up(r))

    def _is_up(self, record: InstanceRecord) -> bool:
        return (
            record.state != InstanceState.DOWN
            and record.name not in self._silent
        )

    def list_ready(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that callers may use."""
        return tuple(
            r for r in self.list_up() if r.state == InstanceState.READY
        )

    def count_recently_up(self, now: datetime.timedelta) -> int:
        """Count the instances that are or lately were up."""
        return sum(
            record.state != InstanceState.DOWN
            or now - self._changed_at[record.name] < RECENT
            for record in self._records.values()
        )

    def choose_holder(
        self,
        resource: rendezvous.CoordinatedResource,
        now: datetime.timedelta,
        domain: str | None = None,
    ) -> str:
        """Return the instance that coordinates a resource, maybe this one.

        With a domain it is one of that domain, while there are any.
        Every instance chooses by its own records. Two that differ for a
        moment are harmless, since each holder bounds what it gives out.
        """
        ready = self.list_ready()
        if domain is not None:
            ready = tuple(r for r in ready if r.domain == domain) or ready
        settled = [r for r in ready if self._is_settled(r, now)]
        chosen = rendezvous.choose_candidate(settled or ready, resource)
        return chosen.name if chosen else self.own_record.name

    def _is_settled(
        self, record: InstanceRecord, now: datetime.timedelta
    ) -> bool:
        since = self._up_since.get(record.name, now)
        return now - since >= MIN_HOLDER_UPTIME

    def list_readers(self, domain: str, count: int) -> tuple[str, ...]:
        """Return the instances of a domain that read the store for it."""
        resource = rendezvous.CoordinatedResource('reader', domain)
        there = [
            r
            for r in self.list_up()
            if r.domain == domain and r.state != InstanceState.LEAVING
        ]
        ranked = rendezvous.rank_candidates(there, resource)
        return tuple(record.name for record in ranked[:count])

    def set_state(self, state: InstanceState, now: datetime.timedelta) -> None:
        """Change this instance's own state and spread it."""
        if state != self.own_record.state:
            self._put(self.own_record._replace(state=int(state)), now)

    def merge(
        self, records: Iterable[InstanceRecord], now: datetime.timedelta
    ) -> tuple[InstanceRecord, ...]:
        """Take records of others; return those that were news."""
        return tuple(
            record for record in records if self._merge_one(record, now)
        )

    def _merge_one(
        self, record: InstanceRecord, now: datetime.timedelta
    ) -> bool:
        if record.name == self.own_record.name:
            if record.rank > self.own_record.rank:
                # An earlier life of this instance, or a false suspicion.
                self._put(
                    self.own_record._replace(epoch=record.epoch + 1), now
                )
            return False
        known = self._records.get(record.name)
        if known is not None and known.rank >= record.rank:
            return False
        if known is None and record.state == InstanceState.DOWN:
            return False
        self._put(record, now)
        return True

    def _put(self, record: InstanceRecord, now: datetime.timedelta) -> None:
        known = self._records.get(record.name)
        self._records[record.name] = record
        if record.name == self.own_record.name:
            self.own_record = record
        self._changed_at[record.name] = now
        if known is None:
            self._met_at = now
        if self._joined_at is None and len(self._records) > 1:
            self._joined_at = now
        was_up = known is not None and known.state != InstanceState.DOWN
        if not was_up or known.epoch != record.epoch:
            self._up_since[record.name] = now
        self._news[record.name] = NEWS_COPIES
        self._silent.pop(record.name, None)

    def collect_news(self) -> tuple[InstanceRecord, ...]:
        """Return the records to send with the next message."""
        taken = tuple(self._records[name] for name in self._news)
        self._news = {
            name: left - 1 for name, left in self._news.items() if left > 1
        }
        return taken

    @property
    def has_news(self) -> bool:
        """Tell whether something is to be spread at once."""
        return bool(self._news)

    def choose_news_targets(self) -> tuple[str, ...]:
        """Return a few instances to tell news to."""
        others = [
            r.name for r in self.list_up() if r.name != self.own_record.name
        ]
        return tuple(self._rng.sample(others, min(NEWS_FANOUT, len(others))))

    def find_check_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long to wait before the next check."""
        return (
            FAST_CHECK_INTERVAL if now < self._alarm_until else CHECK_INTERVAL
        )

    def choose_check_target(self) -> str | None:
        """Return the instance to check next, None if none is known."""
        down = [r.name for r in self.records if not self._is_up(r)]
        others = [
            r.name for r in self.list_up() if r.name != self.own_record.name
        ]
        is_lonely = len(down) > len(others)
        ratio = LONELY_REVIVAL_RATIO if is_lonely else REVIVAL_RATIO
        if down and self._rng.random() < ratio:
            return self._rng.choice(down)
        if not others:
            return self._rng.choice(self.seeds) if self.seeds else None
        self._turn += 1
        if self._turn % 2 and not self._queue:
            # Each instance is the next one of some other, so that each is
            # checked within two intervals.
            after = [name for name in others if name > self.own_record.name]
            return (after or others)[0]
        self._queue = [name for name in self._queue if name in others]
        return self._queue.pop() if self._queue else self._rng.choice(others)

    def choose_seed(self) -> str | None:
        """Return a seed that is not known as up, or None."""
        up = {record.name for record in self.list_up()}
        missing = [seed for seed in self.seeds if seed not in up]
        return self._rng.choice(missing) if missing else None

    def schedule_check(self, name: str) -> None:
        """Check an instance next, since it failed to answer a request."""
        self._queue.append(name)

    def record_contact(self, name: str, now: datetime.timedelta) -> None:
        """Record that an instance sent or answered a message."""
        self._contact_at = now
        self._failures.pop(name, None)
        if self._silent:
            # Its own link may have been at fault; those that fail once more
            # are down, and then the others learn of it.
            self._silent.pop(name, None)
            self._queue.extend(self._silent)
            for other, first in self._silent.items():
                self._failures[other] = (FAILED_CHECK_LIMIT - 1, first)
            self._silent.clear()
            self._alarm_until = now + ALARM

    def record_failed_check(
        self, name: str, began: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        """Record a failed check; return True if it is now believed down."""
        record = self._records.get(name)
        if record is None or not self._is_up(record):
            return False
        self._alarm_until = now + ALARM
        count, first = self._failures.get(name, (0, began))
        self._failures[name] = (count + 1, first)
        if count + 1 < FAILED_CHECK_LIMIT:
            return False
        del self._failures[name]
        if self._contact_at > first:
            self._put(record._replace(state=int(InstanceState.DOWN)), now)
        else:
            self._silent[name] = first
        return True

    def remove_long_down(self, now: datetime.timedelta) -> None:
        """Drop instances that have been down for long."""
        old = [
            record.name
            for record in self._records.values()
            if record.state == InstanceState.DOWN
            and now - self._changed_at[record.name] > FORGET_AFTER
        ]
        for name in old:
            del self._records[name], self._changed_at[name]
            self._up_since.pop(name, None)
            self._news.pop(name, None)
            self._silent.pop(name, None)
