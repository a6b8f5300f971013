"""Retry budget of the servers of one shard, whoever holds it.

In any window operators tolerate ratio x first attempts + slack retries of a
service, over all instances. The bound is divided among all that may grant one
in a window, so that it holds by construction:

- REQUEST_PART of the ratio is credited to the holder that counts a first
  attempt, and no other one counts it. The rest covers the credits of the time
  in which two instances may both be the holder, and retries that wait for a
  server;
- BURST_PART of the slack is the most that a holder keeps of its credits;
- RATE_PART of it accrues over a window to the holder, and to a new one only
  HANDOVER_TIME after it has become the holder;
- START_PART is what a holder has at first if no other instance can have been
  the holder before: all have just started.

Any other holder starts with none, and one that is replaced loses what it has.
The last three parts are scaled by the part of the known instances that the
holder counts, times a margin, so the sides of a partition together use one.

Load patterns: many backend servers fail at once, and retrying every request
would double the load on the others; instances stop in series meanwhile, and
each successor is asked for retries as fast as possible.
"""

from collections.abc import Callable
import datetime

from cranberryscale.process import fleet_buckets


__all__ = [
    'BURST_PART',
    'HANDOVER_TIME',
    'RATE_PART',
    'REQUEST_PART',
    'START_PART',
    'RetryBudget',
]

REQUEST_PART = 0.9
BURST_PART = 0.4
RATE_PART = 0.32
START_PART = 0.15
# Instances agree on a new holder within this time.
HANDOVER_TIME = datetime.timedelta(seconds=0.5)
# The position of the instance is looked up again after this time.
UPDATE_INTERVAL = datetime.timedelta(milliseconds=50)
# Suspect servers, where a retry is foreseeable, are used only while more than
# this part of a burst is left; the rest is for unforeseen retries.
RESERVE_RATIO = 0.4


def _find_sole_position(
    now: datetime.timedelta,
) -> fleet_buckets.FleetPosition:
    return fleet_buckets.FleetPosition('', 0, 1, has_predecessor=False)


class RetryBudget:
    """A limit on the retries in each window at the servers of `resource`.

    `find_position` returns the position of this instance, with the ratio 0
    while it is not the holder.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: datetime.timedelta,
        find_position: Callable[
            [datetime.timedelta], fleet_buckets.FleetPosition
        ] = _find_sole_position,
        resource: str = '',
    ):
        self._credit = ratio * REQUEST_PART
        self._slack = slack
        self._window = window
        self._find_position = find_position
        self._resource = resource
        self._bucket: fleet_buckets.Bucket | None = None
        self._limits = fleet_buckets.BucketLimits(0.0, 0.0)
        self._updated_at: datetime.timedelta | None = None
        # The start credited within a window, and since when.
        self._start = 0.0
        self._started_at: datetime.timedelta | None = None
        # Retries whose tokens can be returned.
        self._spent = 0

    def advance(self, now: datetime.timedelta) -> None:
        """Accrue tokens; remove them if another instance is the holder."""
        if (
            self._updated_at is None
            or now - self._updated_at >= UPDATE_INTERVAL
        ):
            self._updated_at = now
            self._update(self._find_position(now), now)
        if self._bucket is not None:
            self._bucket.accrue(self._limits, now)

    def _update(
        self,
        position: fleet_buckets.FleetPosition,
        now: datetime.timedelta,
    ) -> None:
        self._limits = self._find_limits(position)
        if not position.ratio:
            self._bucket = None
            self._spent = 0
            return
        if self._bucket is None:
            phase = position.find_phase(self._resource)
            delay = HANDOVER_TIME * position.has_predecessor
            self._bucket = fleet_buckets.Bucket(
                self._limits._replace(start=0.0), phase, now + delay
            )
        if not position.has_predecessor:
            self._credit_start(self._bucket, now)

    def _find_limits(
        self, position: fleet_buckets.FleetPosition
    ) -> fleet_buckets.BucketLimits:
        # Where the slack is divided into many parts, whole tokens leave less
        # to accrue.
        burst = max(1.0, BURST_PART * self._slack)
        accrual = (BURST_PART + RATE_PART) * self._slack - burst
        rate_per_s = max(0.0, accrual) / self._window.total_seconds()
        return fleet_buckets.BucketLimits(
            rate_per_s * position.ratio,
            burst * position.ratio,
            START_PART * self._slack * position.ratio,
        )

    def _credit_start(
        self, bucket: fleet_buckets.Bucket, now: datetime.timedelta
    ) -> None:
        """Credit the start, at most once in a window.

        An instance that has just started knows few others; the rest is
        credited once it knows them.
        """
        if self._started_at is None or now - self._started_at > self._window:
            self._started_at = now
            self._start = 0.0
        if self._limits.start > self._start:
            bucket.tokens += self._limits.start - self._start
            self._start = self._limits.start

    def record_first_attempt(self, now: datetime.timedelta) -> None:
        """Record the first attempt of a request."""
        self.advance(now)
        if self._bucket is not None:
            self._bucket.tokens += self._credit
            self._bucket.accrue(self._limits, now)

    def try_spend(self, now: datetime.timedelta) -> bool:
        """Record a retry; return False if the budget is spent."""
        self.advance(now)
        if self._bucket is None or self._bucket.tokens < 1:
            return False
        self._bucket.tokens -= 1
        self._spent += 1
        return True

    def has_reserve(self, now: datetime.timedelta) -> bool:
        """Return whether enough is left to use servers that may fail."""
        self.advance(now)
        return (
            self._bucket is not None
            and self._bucket.tokens > RESERVE_RATIO * self._limits.burst
        )

    def refund(self) -> None:
        """Return the token of a retry that reached no backend server."""
        if self._spent and self._bucket is not None:
            self._spent -= 1
            self._bucket.tokens += 1
