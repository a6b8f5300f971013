"""Gossip membership with a failure detector, similar to SWIM.

Instances find each other from seeds, addresses in their settings. Each
instance keeps one record of every instance. A record is replaced by one of a
higher epoch (incarnation number), or of the same epoch and a later state. Only
the instance itself raises its epoch: when it starts and when it learns that
others consider it down. Every interval it checks one other instance. Changed
records are sent as updates (`news` in the messages) with the checks, and at
once to a few instances.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import enum
import random
from typing import Any
from typing import NamedTuple
import zlib

from cranberryscale.process import rendezvous


__all__ = ['InstanceRecord', 'InstanceState', 'Roster']

# Every other check goes to the next instance by name, the rest to random ones.
CHECK_INTERVAL = datetime.timedelta(milliseconds=700)
# Checks are more frequent for a while after a failed one, since a lost
# instance may be one of several, for example of a whole failure domain.
FAST_CHECK_INTERVAL = datetime.timedelta(milliseconds=100)
FAST_CHECK_DURATION = datetime.timedelta(seconds=1.5)
# Two packets lost in a row are retransmitted within this time.
CHECK_TIMEOUT = datetime.timedelta(milliseconds=350)
# A single failed check may be due to a lost packet.
FAILED_CHECK_LIMIT = 2
# Each instance that receives a changed record sends it on this many times;
# three copies reach all of some hundred instances within a few hops.
UPDATE_COPIES = 4
UPDATE_FANOUT = 3
# Instances that are down are still checked occasionally, so that the two sides
# of a partition find each other again; more often if most instances look down.
DOWN_CHECK_RATIO = 0.1
MAJORITY_DOWN_CHECK_RATIO = 0.5
DOWN_RETENTION = datetime.timedelta(seconds=90)
# Instances that went down within this time may still serve callers on the
# other side of a partition.
RECENTLY_UP = datetime.timedelta(seconds=8)
# A new instance receives the records of all others within this time; it has
# them earlier if no unknown instance appeared for the shorter time.
JOIN_TIME = datetime.timedelta(milliseconds=700)
JOIN_QUIET_TIME = datetime.timedelta(milliseconds=200)
# An instance coordinates others only after it has learned their state.
MIN_HOLDER_UPTIME = datetime.timedelta(seconds=2)
# Instances with at least this part of the cores of the largest one are large.
LARGE_RATIO = 0.5
# Differences of start times beyond it do not matter.
MAX_AGE_AHEAD_MS = 3_600_000


# Derived results that are kept, above the number of resources of a fleet.
DERIVED_LIMIT = 10_000
_NEVER = datetime.timedelta.max


class InstanceState(enum.IntEnum):
    """State of an instance; within one epoch a later state wins."""

    STARTING = 0
    READY = 1
    LEAVING = 2
    DOWN = 3


class InstanceRecord(NamedTuple):
    """Record of an instance; `name` is its peer address.

    `epoch` is the time of day at its start in milliseconds, or a little more.
    `callers` is its address for callers.
    """

    name: str
    epoch: int
    state: int
    domain: str
    callers: str
    cores: float

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the key by which the newer of two records is chosen."""
        return (self.epoch, self.state)


class _HolderChoice(NamedTuple):
    """Holder of a resource, valid in a span of elapsed times."""

    name: str
    since: datetime.timedelta
    until: datetime.timedelta


def _list_large(
    records: Iterable[InstanceRecord],
) -> tuple[InstanceRecord, ...]:
    """Return the large instances among the records."""
    records = tuple(records)
    limit = LARGE_RATIO * max((r.cores for r in records), default=0.0)
    return tuple(r for r in records if r.cores >= limit)


class Roster:
    """Table of the records of all instances; `rng` draws check targets."""

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
        # Instances that announced that they leave.
        self._left: set[str] = set()
        self._update_copies_left: dict[str, int] = {}
        # Instances to check next.
        self._scheduled_checks: list[str] = []
        self._check_count = 0
        # Failed checks by name: their number and the start of the first one.
        self._failed_checks: dict[str, tuple[int, datetime.timedelta]] = {}
        # Instances that only this one considers down: it received no message
        # of any other instance in the meantime, so it may itself be cut off.
        self._locally_down: dict[str, datetime.timedelta] = {}
        self._last_contact_at = now
        self._fast_checks_until = now
        self._joined_at: datetime.timedelta | None = None
        # When a previously unknown instance last appeared.
        self._last_discovery_at = now
        # Results derived from the records, by key, until a record changes.
        # Several are needed for each request, and each takes time in
        # proportion to the number of instances.
        self._derived: dict[tuple, Any] = {}

    def _derive(self, key: tuple, derive: Callable[[], Any]) -> Any:
        """Return a derived result, computed at most once for each change."""
        if key not in self._derived:
            if len(self._derived) >= DERIVED_LIMIT:
                self._derived.clear()
            self._derived[key] = derive()
        return self._derived[key]

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Replace the addresses of the instances to contact first."""
        self.seeds = tuple(s for s in seeds if s != self.own_record.name)

    @property
    def records(self) -> tuple[InstanceRecord, ...]:
        """Return all records, sorted by name."""
        return self._derive(
            ('records',), lambda: tuple(sorted(self._records.values()))
        )

    @property
    def digest(self) -> int:
        """Return a checksum of all records for comparison with others."""
        return self._derive(('digest',), self._compute_digest)

    def _compute_digest(self) -> int:
        text = repr([(r.name, r.precedence) for r in self.records])
        return zlib.crc32(text.encode())

    def find_record(self, name: str) -> InstanceRecord | None:
        """Return the record of an instance, or None."""
        return self._records.get(name)

    def has_finished_joining(self, now: datetime.timedelta) -> bool:
        """Return whether there was time to receive all other records."""
        if not self.is_joined:
            return False
        if self._joined_at is None or now - self._joined_at >= JOIN_TIME:
            return True
        return now - self._last_discovery_at >= JOIN_QUIET_TIME

    @property
    def is_joined(self) -> bool:
        """Return whether another instance is known or there are no seeds."""
        return len(self._records) > 1 or not self.seeds

    def list_up(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that are not down, this one included."""
        return self._derive(
            ('up',), lambda: tuple(r for r in self.records if self._is_up(r))
        )

    def _is_up(self, record: InstanceRecord) -> bool:
        return (
            record.state != InstanceState.DOWN
            and record.name not in self._locally_down
        )

    def list_ready(self) -> tuple[InstanceRecord, ...]:
        """Return the instances that callers may use."""
        return self._derive(
            ('ready',),
            lambda: tuple(
                r for r in self.list_up() if r.state == InstanceState.READY
            ),
        )

    def count_recently_up(self, now: datetime.timedelta) -> int:
        """Count the instances that are up or were up recently."""
        return sum(
            record.state != InstanceState.DOWN
            or now - self._changed_at[record.name] < RECENTLY_UP
            for record in self._records.values()
        )

    def count_possibly_up(self) -> int:
        """Count the instances that may serve, even if they seem to be down.

        These are all but those that announced that they leave and then went
        down.
        """
        return self._derive(
            ('possibly up',),
            lambda: sum(
                record.state != InstanceState.DOWN
                or record.name not in self._left
                for record in self._records.values()
            ),
        )

    def count_settled(self, now: datetime.timedelta) -> int:
        """Count the instances up that agree on holders with this one.

        Instances that just came back may still follow other holders, those of
        the other side of a partition. Without any that are up for longer, all
        have just started.
        """
        up = self.list_up()
        settled = sum(
            now - self._up_since.get(record.name, now) >= MIN_HOLDER_UPTIME
            for record in up
        )
        return settled or len(up)

    def choose_holder(
        self,
        resource: rendezvous.CoordinatedResource,
        now: datetime.timedelta,
        domain: str | None = None,
        excluded: str = '',
    ) -> str:
        """Return the instance that coordinates a resource, maybe this one.

        It is one of the large instances, since coordination takes up to
        several times the processor time of an instance's other work.
        With a domain it is an instance of that domain, as long as there is
        one. Without the `excluded` holder it is its successor. Every instance
        chooses from its own records. A short disagreement between two is
        harmless, since each holder bounds what it gives out.
        """
        key = ('holder', resource, domain, excluded)
        choice = self._derived.get(key)
        if choice is None or not choice.since <= now < choice.until:
            self._derived.pop(key, None)
            choice = self._derive(
                key,
                lambda: self._choose_holder(resource, now, domain, excluded),
            )
        return choice.name

    def _choose_holder(
        self,
        resource: rendezvous.CoordinatedResource,
        now: datetime.timedelta,
        domain: str | None,
        excluded: str,
    ) -> _HolderChoice:
        ready = tuple(r for r in self.list_ready() if r.name != excluded)
        if domain is not None:
            ready = tuple(r for r in ready if r.domain == domain) or ready
        eligible_from = {
            r: self._up_since.get(r.name, now) + MIN_HOLDER_UPTIME
            for r in ready
        }
        eligible = [r for r in ready if now >= eligible_from[r]]
        chosen = rendezvous.choose_candidate(
            _list_large(eligible or ready), resource
        )
        name = chosen.name if chosen else self.own_record.name
        later = (at for at in eligible_from.values() if at > now)
        return _HolderChoice(name, now, min(later, default=_NEVER))

    @property
    def own_rank(self) -> int:
        """Return this instance's position among all records."""
        return self._derive(
            ('rank',), lambda: self.records.index(self.own_record)
        )

    def has_settled_other(self, now: datetime.timedelta) -> bool:
        """Return whether another instance may have been a holder so far."""
        return any(
            now - self._up_since.get(record.name, now) >= MIN_HOLDER_UPTIME
            for record in self.list_up()
            if record.name != self.own_record.name
        )

    def list_readers(self, domain: str, count: int) -> tuple[str, ...]:
        """Return the instances of a domain that read the store for it."""
        return self._derive(
            ('readers', domain, count),
            lambda: self._rank_readers(domain, count),
        )

    def _rank_readers(self, domain: str, count: int) -> tuple[str, ...]:
        resource = rendezvous.CoordinatedResource('reader', domain)
        candidates = [
            r
            for r in self.list_up()
            if r.domain == domain and r.state != InstanceState.LEAVING
        ]
        ranked = rendezvous.rank_candidates(candidates, resource)
        return tuple(record.name for record in ranked[:count])

    def set_state(self, state: InstanceState, now: datetime.timedelta) -> None:
        """Set the state of this instance and disseminate it."""
        if state != self.own_record.state:
            self._store_record(self.own_record._replace(state=int(state)), now)

    def merge(
        self, records: Iterable[InstanceRecord], now: datetime.timedelta
    ) -> tuple[InstanceRecord, ...]:
        """Merge records of others; return those that were new."""
        return tuple(
            record for record in records if self._merge_record(record, now)
        )

    def _merge_record(
        self, record: InstanceRecord, now: datetime.timedelta
    ) -> bool:
        if record.name == self.own_record.name:
            if record.precedence > self.own_record.precedence:
                # Either an earlier process with this name or a false
                # suspicion.
                self._store_record(
                    self.own_record._replace(epoch=record.epoch + 1), now
                )
            return False
        known = self._records.get(record.name)
        if known is not None and known.precedence >= record.precedence:
            return False
        if known is None and record.state == InstanceState.DOWN:
            # Otherwise removed records would come back from others. An
            # instance that starts during a partition learns of the other side.
            if self.has_finished_joining(now):
                return False
            self._store_record(record, now)
            self._changed_at[record.name] = now - RECENTLY_UP
            return True
        self._store_record(record, now)
        return True

    def _store_record(
        self, record: InstanceRecord, now: datetime.timedelta
    ) -> None:
        known = self._records.get(record.name)
        self._derived.clear()
        self._records[record.name] = record
        if record.name == self.own_record.name:
            self.own_record = record
        self._changed_at[record.name] = now
        if record.state == InstanceState.LEAVING:
            self._left.add(record.name)
        elif record.state != InstanceState.DOWN:
            self._left.discard(record.name)
        if known is None:
            self._last_discovery_at = now
        if self._joined_at is None and len(self._records) > 1:
            self._joined_at = now
        was_up = known is not None and known.state != InstanceState.DOWN
        if known is None:
            self._up_since[record.name] = now - self._find_age_ahead(record)
        elif not was_up or known.epoch != record.epoch:
            self._up_since[record.name] = now
        self._update_copies_left[record.name] = UPDATE_COPIES
        self._locally_down.pop(record.name, None)

    def _find_age_ahead(self, record: InstanceRecord) -> datetime.timedelta:
        """Return how much longer than this one an instance has been up.

        Otherwise an instance that starts would consider all others as new and
        itself as a holder, while the others know the real one.
        """
        ahead_ms = self.own_record.epoch - record.epoch
        return datetime.timedelta(
            milliseconds=min(max(0, ahead_ms), MAX_AGE_AHEAD_MS)
        )

    def collect_updates(self) -> tuple[InstanceRecord, ...]:
        """Return the records to send with the next message."""
        updates = tuple(
            self._records[name] for name in self._update_copies_left
        )
        self._update_copies_left = {
            name: left - 1
            for name, left in self._update_copies_left.items()
            if left > 1
        }
        return updates

    @property
    def has_updates(self) -> bool:
        """Return whether there are records to send at once."""
        return bool(self._update_copies_left)

    def choose_update_targets(self) -> tuple[str, ...]:
        """Return a few instances to send the changed records to."""
        others = [
            r.name for r in self.list_up() if r.name != self.own_record.name
        ]
        return tuple(self._rng.sample(others, min(UPDATE_FANOUT, len(others))))

    def find_check_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long to wait before the next check."""
        return (
            FAST_CHECK_INTERVAL
            if now < self._fast_checks_until
            else CHECK_INTERVAL
        )

    def choose_check_target(self) -> str | None:
        """Return the instance to check next, None if none is known."""
        down = [r.name for r in self.records if not self._is_up(r)]
        others = [
            r.name for r in self.list_up() if r.name != self.own_record.name
        ]
        is_majority_down = len(down) > len(others)
        ratio = (
            MAJORITY_DOWN_CHECK_RATIO if is_majority_down else DOWN_CHECK_RATIO
        )
        if down and self._rng.random() < ratio:
            return self._rng.choice(down)
        if not others:
            return self._rng.choice(self.seeds) if self.seeds else None
        self._check_count += 1
        if self._check_count % 2 and not self._scheduled_checks:
            # Each instance is the next one of some other, so each is checked
            # within two intervals.
            after = [name for name in others if name > self.own_record.name]
            return (after or others)[0]
        self._scheduled_checks = [
            name for name in self._scheduled_checks if name in others
        ]
        return (
            self._scheduled_checks.pop()
            if self._scheduled_checks
            else self._rng.choice(others)
        )

    def choose_seed(self) -> str | None:
        """Return a seed that is not known to be up, or None."""
        up = {record.name for record in self.list_up()}
        missing = [seed for seed in self.seeds if seed not in up]
        return self._rng.choice(missing) if missing else None

    def schedule_check(self, name: str) -> None:
        """Schedule an early check of an instance that did not answer."""
        self._scheduled_checks.append(name)

    def record_contact(self, name: str, now: datetime.timedelta) -> None:
        """Record that an instance sent or answered a message."""
        self._last_contact_at = now
        self._failed_checks.pop(name, None)
        if self._locally_down:
            # The link of this instance may have been at fault. Instances that
            # fail one more check are down, which is then disseminated.
            self._locally_down.pop(name, None)
            self._scheduled_checks.extend(self._locally_down)
            for other, first in self._locally_down.items():
                self._failed_checks[other] = (FAILED_CHECK_LIMIT - 1, first)
            self._locally_down.clear()
            self._derived.clear()
            self._fast_checks_until = now + FAST_CHECK_DURATION

    def record_failed_check(
        self,
        name: str,
        started_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Record a failed check; return whether the instance is now down."""
        record = self._records.get(name)
        if record is None or not self._is_up(record):
            return False
        self._fast_checks_until = now + FAST_CHECK_DURATION
        count, first = self._failed_checks.get(name, (0, started_at))
        self._failed_checks[name] = (count + 1, first)
        if count + 1 < FAILED_CHECK_LIMIT:
            return False
        del self._failed_checks[name]
        if self._last_contact_at > first:
            self._store_record(
                record._replace(state=int(InstanceState.DOWN)), now
            )
        else:
            self._locally_down[name] = first
            self._derived.clear()
        return True

    def remove_long_down(self, now: datetime.timedelta) -> None:
        """Remove instances that have been down for long."""
        old = [
            record.name
            for record in self._records.values()
            if record.state == InstanceState.DOWN
            and now - self._changed_at[record.name] > DOWN_RETENTION
        ]
        if old:
            self._derived.clear()
        for name in old:
            del self._records[name], self._changed_at[name]
            self._left.discard(name)
            self._up_since.pop(name, None)
            self._update_copies_left.pop(name, None)
            self._locally_down.pop(name, None)
