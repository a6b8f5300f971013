"""Propagation of changes from the store to all instances.

A few readers in each failure domain wait for changes at the store; the other
instances pull from a reader of their own domain. Every answer carries its
staleness: the time since the store last confirmed it. An instance whose
entries are stale pulls from instances elsewhere and then reads the store
itself. So it suffices that any one instance reaches the store.
"""

import datetime
import random
import zlib

from cranberryscale.process import roster


__all__ = ['StoreFollower']

READERS_PER_DOMAIN = 2
# Time between two pulls from a reader; a change has to be in force everywhere
# within two seconds.
PULL_INTERVAL = datetime.timedelta(milliseconds=700)
# The same while the sources tried so far have no data or only stale data.
STALE_PULL_INTERVAL = datetime.timedelta(milliseconds=200)
# Longest wait of a long poll by a reader, so that an unresponsive store is
# detected soon.
STORE_POLL_WAIT = datetime.timedelta(seconds=1)
# How long an instance that starts waits for the others to tell it who reads
# the store. If all start together, nobody can tell; each then needs the
# configuration at once, and one call of each costs the store little.
START_READ_DELAY = datetime.timedelta(milliseconds=250)
# An age above one wait and one pull means that the reader was lost.
STALE_AFTER = datetime.timedelta(milliseconds=2000)
# Largest age of a working reader's entries: one wait and some latency.
MAX_READER_AGE = datetime.timedelta(milliseconds=1250)
# Delay of the next call after an answer with changes, so that further changes
# of the same group arrive together.
CHANGE_BATCH_DELAY = datetime.timedelta(milliseconds=250)
# Entries may have expired after this time without the store: three missed
# heartbeats take 4.5 s, part of which may lie before the outage.
OUTAGE_AFTER = datetime.timedelta(seconds=2.5)
# Bounds on the retry delay, which limit the calls to a store that rejects all
# instances.
MIN_RETRY_DELAY = datetime.timedelta(milliseconds=300)
MAX_RETRY_DELAY = datetime.timedelta(seconds=2)


def _hash_pair(name: str, source: str) -> int:
    return zlib.crc32(f'{name} {source}'.encode())


class StoreFollower:
    """Staleness of this instance's entries and choice of its sources."""

    def __init__(
        self,
        instances: roster.Roster,
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self._roster = instances
        self._rng = rng
        self._started_at = now
        self._confirmed_at: datetime.timedelta | None = None
        self._skipped_until: dict[str, datetime.timedelta] = {}
        self._retry_at = now
        self._retry_delay = MIN_RETRY_DELAY
        # Whether the last call to the store failed.
        self._is_rejected = False
        # Whether the last pull got no reply or only stale entries.
        self._has_pull_failed = False

    def find_staleness(self, now: datetime.timedelta) -> datetime.timedelta:
        """Return how long ago the store last confirmed the entries."""
        since = self._confirmed_at
        return now - (self._started_at if since is None else since)

    @property
    def is_confirmed(self) -> bool:
        """Return whether anything was ever received from the store."""
        return self._confirmed_at is not None

    def is_reader(self) -> bool:
        """Return whether this instance reads the store for its domain."""
        own = self._roster.own_record
        return own.name in self._roster.list_readers(
            own.domain, READERS_PER_DOMAIN
        )

    def should_read(self, now: datetime.timedelta) -> bool:
        """Return whether to call the store now."""
        if now < self._retry_at:
            return False
        if self.find_staleness(now) > STALE_AFTER:
            return True
        if (
            not self._roster.is_joined
            and now - self._started_at < START_READ_DELAY
        ):
            return False
        return self.is_reader()

    def record_store_answer(
        self, at: datetime.timedelta, has_changes: bool = False
    ) -> bool:
        """Record an answer of the store; return whether an outage ended.

        `at` is when the answer arrived, so its transmission time does not
        count as staleness. The call after an answer with changes is delayed a
        little, since changes often come in groups and each one ends the
        pending call of every reader.
        """
        self._retry_delay = MIN_RETRY_DELAY
        self._is_rejected = False
        if has_changes:
            self._retry_at = at + CHANGE_BATCH_DELAY
        return self._record_confirmation(at)

    def record_store_failure(self, now: datetime.timedelta) -> None:
        """Record a failed call and increase the retry delay."""
        self._is_rejected = True
        jitter = self._rng.uniform(0.5, 1.0)
        self._retry_at = now + self._retry_delay * jitter
        self._retry_delay = min(self._retry_delay * 2, MAX_RETRY_DELAY)

    def find_pull_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long to wait before the next pull."""
        is_urgent = (
            self._has_pull_failed
            or not self.is_confirmed
            or self.find_staleness(now) > STALE_AFTER
            or self._is_rejected_reader()
        )
        return STALE_PULL_INTERVAL if is_urgent else PULL_INTERVAL

    def _is_rejected_reader(self) -> bool:
        """Return whether others rely on this instance, which has no store.

        It then pulls from the readers of other domains, so that its own
        domain follows through it. If it only waited until its entries are
        stale, those of its domain would be still older.
        """
        return self._is_rejected and self.is_reader()

    def choose_source(self, now: datetime.timedelta) -> str | None:
        """Return the instance to pull from next, None if none is needed."""
        is_stale = self.find_staleness(now) > STALE_AFTER
        is_rejected_reader = self._is_rejected_reader()
        if self.is_reader() and not (is_stale or is_rejected_reader):
            return None
        own = self._roster.own_record
        sources = [
            name
            for name in self._roster.list_readers(
                own.domain, READERS_PER_DOMAIN
            )
            if name != own.name and self._is_usable(name, now)
        ]
        if sources and not is_rejected_reader:
            # A large configuration occupies a reader's link for a while, so
            # the instances of a domain are divided among its readers.
            return min(sources, key=lambda name: _hash_pair(own.name, name))
        up = [r for r in self._roster.list_up() if r.name != own.name]
        readers = {
            name
            for domain in {record.domain for record in up}
            for name in self._roster.list_readers(domain, READERS_PER_DOMAIN)
        }
        usable = [r.name for r in up if self._is_usable(r.name, now)]
        # Readers of other domains are preferred to instances that pull from
        # them.
        others = [name for name in usable if name in readers] or usable
        return self._rng.choice(others) if others else None

    def _is_usable(self, name: str, now: datetime.timedelta) -> bool:
        return now >= self._skipped_until.get(name, datetime.timedelta(0))

    def record_pull_reply(
        self,
        age: datetime.timedelta | None,
        at: datetime.timedelta,
        source: str,
    ) -> bool:
        """Record a reply of `source`; return whether an outage ended.

        `at` is when the pull was sent. A source with stale entries, for
        example a reader that the store rejects, is skipped for a while; one
        that has itself just started and has none, for a shorter time.
        """
        self._has_pull_failed = False
        if age is None:
            self._skipped_until[source] = at + STALE_PULL_INTERVAL
            return False
        if age > MAX_READER_AGE:
            self.record_pull_failure(source, at)
        return self._record_confirmation(at - age)

    def record_pull_failure(self, name: str, now: datetime.timedelta) -> None:
        """Skip a source for a while, and pull from another soon."""
        self._has_pull_failed = True
        self._skipped_until[name] = now + STALE_AFTER

    def _record_confirmation(self, at: datetime.timedelta) -> bool:
        last = self._confirmed_at
        if last is not None and at <= last:
            return False
        self._confirmed_at = at
        return last is not None and at - last > OUTAGE_AFTER
