"""First attempts and retries of a shard, by the process that granted them.

Holders of a shard follow each other, and for a time there may be several.
Each counts what it grants in short intervals, under an origin of its own, and
the counts travel as reports with the questions of other instances and with
the replies. So a successor learns what was granted within the window from the
first instances that ask it, whichever of them were lost.
"""

from collections.abc import Iterable
import datetime
import itertools
from typing import NamedTuple
import zlib


__all__ = [
    'INTERVAL',
    'IntervalCount',
    'RetryLedger',
    'RetryReport',
    'make_origin',
]

INTERVAL = datetime.timedelta(milliseconds=500)
# An instance that asks often gets the reports no more often than this, unless
# it asks for a retry.
REPORT_INTERVAL = datetime.timedelta(milliseconds=500)
EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)
ZERO = datetime.timedelta(0)


class RetryReport(NamedTuple):
    """Counts of one origin in consecutive intervals, the latest first.

    The latest interval has the number `latest` and began `age_s` seconds ago.
    `counts` has the first attempts and the retries of each interval in turn.
    """

    origin: int
    latest: int
    age_s: float
    counts: tuple[int, ...]


class IntervalCount(NamedTuple):
    """First attempts and retries in an interval that began at a time."""

    started_at: datetime.timedelta
    first_attempts: int
    retries: int


def make_origin(name: str, epoch: int) -> int:
    """Return the origin of the counts of one process of an instance."""
    return zlib.crc32(f'{name} {epoch}'.encode())


class RetryLedger:
    """What is known of the attempts at one shard within the last `window`.

    `origin` is that of this process.
    """

    def __init__(self, origin: int, window: datetime.timedelta):
        self._origin = origin
        self._window = window
        self._counts: dict[int, dict[int, IntervalCount]] = {origin: {}}
        self._reported_at: dict[str, datetime.timedelta] = {}
        # The process of a holder that knows all that this ledger contains.
        self.informed: tuple[str, int] | None = None
        # Incremented with each change.
        self.version = 0
        # Retries that this process granted, and those already shared.
        self._granted = self._shared = 0
        self._expired_at = ZERO

    def record_first_attempt(self, now: datetime.timedelta) -> None:
        """Count the first attempt of a request."""
        self._add(now, 1, 0)

    def record_retry(self, now: datetime.timedelta) -> None:
        """Count a retry."""
        self._add(now, 0, 1)
        self._granted += 1

    def remove_retry(self, granted_at: datetime.timedelta) -> None:
        """Remove a retry that was counted at a time and reached no server."""
        if granted_at // INTERVAL in self._counts[self._origin]:
            self._add(granted_at, 0, -1)

    def _add(
        self, at: datetime.timedelta, first_attempts: int, retries: int
    ) -> None:
        own, number = self._counts[self._origin], at // INTERVAL
        known = own.get(number) or IntervalCount(number * INTERVAL, 0, 0)
        own[number] = IntervalCount(
            known.started_at,
            known.first_attempts + first_attempts,
            known.retries + retries,
        )
        self.version += 1

    def list_own(self, now: datetime.timedelta) -> list[IntervalCount]:
        """Return the counts of this process in the window, latest first."""
        self._expire(now)
        own = self._counts[self._origin]
        return [own[number] for number in sorted(own, reverse=True)]

    def is_whole(self, count: IntervalCount, now: datetime.timedelta) -> bool:
        """Return whether an interval lies in the window with its start."""
        return count.started_at >= now - self._window

    def find_overdraft(
        self, ratio: float, now: datetime.timedelta
    ) -> tuple[float, int]:
        """Return what other processes granted in the window.

        The first number is the sum of their retries beyond `ratio` times the
        first attempts that they counted, the second one that of all retries.
        """
        self._expire(now)
        overdraft, retries = 0.0, 0
        for origin, counts in self._counts.items():
            if origin == self._origin:
                continue
            granted = sum(count.retries for count in counts.values())
            earned = ratio * sum(
                count.first_attempts
                for count in counts.values()
                if self.is_whole(count, now)
            )
            overdraft += max(0.0, granted - earned)
            retries += granted
        return overdraft, retries

    def merge(
        self, reports: Iterable[RetryReport], now: datetime.timedelta
    ) -> None:
        """Record the counts of other processes; the larger ones are later.

        Reports that are no older than the window and well formed count.
        """
        for report in reports:
            is_recent = 0 <= report.age_s <= self._window.total_seconds()
            if report.origin == self._origin or not is_recent:
                continue
            counts = self._counts.setdefault(report.origin, {})
            latest_at = now - datetime.timedelta(seconds=report.age_s)
            pairs = zip(report.counts[::2], report.counts[1::2], strict=False)
            for offset, (first_attempts, retries) in enumerate(pairs):
                number = report.latest - offset
                known = counts.get(number)
                if known is None:
                    known = IntervalCount(latest_at - offset * INTERVAL, 0, 0)
                if (
                    first_attempts > known.first_attempts
                    or retries > known.retries
                ):
                    counts[number] = IntervalCount(
                        known.started_at,
                        max(known.first_attempts, first_attempts),
                        max(known.retries, retries),
                    )
                    self.version += 1
        self._expire(now)

    def list_reports(self, now: datetime.timedelta) -> tuple[RetryReport, ...]:
        """Return the counts of all origins in the window."""
        self._expire(now)
        return tuple(
            self._make_report(origin, counts, now)
            for origin, counts in self._counts.items()
            if counts
        )

    @staticmethod
    def _make_report(
        origin: int,
        counts: dict[int, IntervalCount],
        now: datetime.timedelta,
    ) -> RetryReport:
        latest, earliest = max(counts), min(counts)
        none = IntervalCount(ZERO, 0, 0)
        listed = (
            counts.get(number, none)[1:]
            for number in range(latest, earliest - 1, -1)
        )
        age = max(ZERO, now - counts[latest].started_at)
        return RetryReport(
            origin,
            latest,
            round(age.total_seconds(), 3),
            tuple(itertools.chain.from_iterable(listed)),
        )

    def collect_reports(
        self, receiver: str, is_urgent: bool, now: datetime.timedelta
    ) -> tuple[RetryReport, ...]:
        """Return the reports that are due to another instance."""
        reported_at = self._reported_at.get(receiver)
        if (
            reported_at is not None
            and now - reported_at < REPORT_INTERVAL
            and not is_urgent
        ):
            return ()
        self._reported_at[receiver] = now
        return self.list_reports(now)

    def collect_share(
        self, now: datetime.timedelta
    ) -> tuple[RetryReport, ...]:
        """Return all reports if this process has granted further retries."""
        if self._shared == self._granted:
            return ()
        self._shared = self._granted
        return self.list_reports(now)

    def _expire(self, now: datetime.timedelta) -> None:
        """Forget the intervals that ended before the window."""
        if now - self._expired_at < EXPIRY_INTERVAL:
            return
        self._expired_at = now
        since = now - self._window - INTERVAL
        for origin, counts in tuple(self._counts.items()):
            old = [n for n, c in counts.items() if c.started_at <= since]
            for number in old:
                del counts[number]
            if old:
                self.version += 1
            if not counts and origin != self._origin:
                del self._counts[origin]
        self._reported_at = {
            receiver: at
            for receiver, at in self._reported_at.items()
            if now - at < self._window
        }
