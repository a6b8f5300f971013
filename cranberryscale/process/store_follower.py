"""Who reads the store, and from whom the others learn.

A few readers in each failure domain wait for changes at the store; the rest
ask a reader of their own domain. Every answer carries the age of the store's
last word. An instance whose knowledge gets old asks elsewhere and then reads
the store itself, so that one instance that reaches the store is enough for
all, and none is needed for itself.
"""

import datetime
import random
import zlib

from cranberryscale.process import roster


__all__ = ['StoreFollower']

READERS_PER_DOMAIN = 2
# How often an instance asks a reader; a change has to be in force everywhere
# within two seconds.
PULL_INTERVAL = datetime.timedelta(milliseconds=700)
# The same while the sources asked so far know nothing, or nothing new.
STALE_PULL_INTERVAL = datetime.timedelta(milliseconds=200)
# A reader's calls wait this long at most, so that silence shows soon.
STORE_POLL_WAIT = datetime.timedelta(seconds=1)
# Knowledge older than one wait and one pull has lost its reader.
STALE_AFTER = datetime.timedelta(milliseconds=2000)
# A reader's knowledge is at most one wait and some latency old.
FRESH = datetime.timedelta(milliseconds=1250)
# How long a reader waits after changes for those that come with them.
CHANGE_BATCH_DELAY = datetime.timedelta(milliseconds=250)
# After this time without the store, entries may have lapsed: three missed
# heartbeats take 4.5 s, of which part may lie before.
OUTAGE_AFTER = datetime.timedelta(seconds=2.5)
# Bounds the calls to a store that turns everybody away.
RETRY_MIN = datetime.timedelta(milliseconds=300)
MAX_RETRY_DELAY = datetime.timedelta(seconds=2)


def _draw(name: str, source: str) -> int:
    return zlib.crc32(f'{name} {source}'.encode())


class StoreFollower:
    """Keep the age of the instance's knowledge and choose its sources."""

    def __init__(
        self,
        members: roster.Roster,
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self._members = members
        self._rng = rng
        self._began = now
        self._confirmed_at: datetime.timedelta | None = None
        self._failed: dict[str, datetime.timedelta] = {}
        self._retry_at = now
        self._retry_delay = RETRY_MIN

    def find_age(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long ago the store last confirmed what is known."""
        since = self._confirmed_at
        return now - (self._began if since is None else since)

    @property
    def is_confirmed(self) -> bool:
        """Tell whether the store has been heard of at all."""
        return self._confirmed_at is not None

    def is_reader(self) -> bool:
        """Tell whether this instance reads the store for its domain."""
        own = self._members.own_record
        return own.name in self._members.list_readers(
            own.domain, READERS_PER_DOMAIN
        )

    def should_read(self, now: datetime.timedelta) -> bool:
        """Tell whether to call the store now."""
        if now < self._retry_at:
            return False
        if self.find_age(now) > STALE_AFTER:
            return True
        if (
            not self._members.is_joined
            and now - self._began < roster.JOIN_TIME
        ):
            return False
        return self.is_reader()

    def record_store_answer(
        self, at: datetime.timedelta, has_changes: bool = False
    ) -> bool:
        """Record an answer of the store; return True after an outage.

        `at` is when the call that was answered began to be answered. After
        changes the next call waits a little, since they often come together
        and each one ends the call of every reader.
        """
        self._retry_delay = RETRY_MIN
        if has_changes:
            self._retry_at = at + CHANGE_BATCH_DELAY
        return self._confirm(at)

    def record_store_failure(self, now: datetime.timedelta) -> None:
        """Record a call that failed, and wait longer for the next."""
        spread = self._rng.uniform(0.5, 1.0)
        self._retry_at = now + self._retry_delay * spread
        self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_DELAY)

    def find_pull_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long to wait before asking the next source."""
        is_stale = self.find_age(now) > STALE_AFTER
        if is_stale or not self.is_confirmed:
            return STALE_PULL_INTERVAL
        return PULL_INTERVAL

    def choose_source(self, now: datetime.timedelta) -> str | None:
        """Return the instance to ask next, None if none is needed."""
        is_stale = self.find_age(now) > STALE_AFTER
        if self.is_reader() and not is_stale:
            return None
        own = self._members.own_record
        sources = [
            name
            for name in self._members.list_readers(
                own.domain, READERS_PER_DOMAIN
            )
            if name != own.name and self._is_usable(name, now)
        ]
        if sources:
            # A large configuration takes a reader's link for a while, so each
            # serves its part of the domain.
            return min(sources, key=lambda name: _draw(own.name, name))
        up = [r for r in self._members.list_up() if r.name != own.name]
        readers = {
            name
            for domain in {record.domain for record in up}
            for name in self._members.list_readers(domain, READERS_PER_DOMAIN)
        }
        usable = [r.name for r in up if self._is_usable(r.name, now)]
        # Readers of other domains go before instances that learn from them.
        others = [name for name in usable if name in readers] or usable
        return self._rng.choice(others) if others else None

    def _is_usable(self, name: str, now: datetime.timedelta) -> bool:
        return now >= self._failed.get(name, datetime.timedelta(0))

    def record_pull_reply(
        self,
        age: datetime.timedelta | None,
        at: datetime.timedelta,
        source: str,
    ) -> bool:
        """Record the age that `source` gave; True after an outage.

        `at` is when it was asked. One whose knowledge is old, for example a
        reader that the store turns away, is left aside for a while, and one
        that has just started itself for a moment.
        """
        if age is None:
            self._failed[source] = at + STALE_PULL_INTERVAL
            return False
        if age > FRESH:
            self.record_pull_failure(source, at)
        return self._confirm(at - age)

    def record_pull_failure(self, name: str, now: datetime.timedelta) -> None:
        """Leave a source aside for a while."""
        self._failed[name] = now + STALE_AFTER

    def _confirm(self, at: datetime.timedelta) -> bool:
        last = self._confirmed_at
        if last is not None and at <= last:
            return False
        self._confirmed_at = at
        return last is not None and at - last > OUTAGE_AFTER
