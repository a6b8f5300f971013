"""Usual latency and arrival rate of the requests at a pool."""

import collections
import datetime


__all__ = ['ArrivalCounter', 'LatencyEstimator']

# Until the first answer, the usual latency is taken to be this part of the
# target.
INITIAL_LATENCY_RATIO = 0.35
MEDIAN_STEP = 0.05
# A second attempt is due when the first byte takes longer than this part of
# the target and this many times the usual latency.
FIRST_BYTE_TARGET_RATIO = 0.6
FIRST_BYTE_LATENCY_FACTOR = 2.5
# The window over which arrivals are counted. A surge shorter than half of it
# is admitted whole and served late.
ARRIVAL_WINDOW = datetime.timedelta(seconds=2)


class LatencyEstimator:
    """Running estimates of the median latency by target latency."""

    def __init__(self) -> None:
        self._medians_s: dict[datetime.timedelta, float] = {}

    def estimate_latency(
        self, target: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the usual latency of requests with this target."""
        median_s = self._medians_s.get(target)
        if median_s is None:
            return target * INITIAL_LATENCY_RATIO
        return datetime.timedelta(seconds=median_s)

    def find_first_byte_timeout(
        self, target: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long to wait for a first byte before a second attempt."""
        median = self.estimate_latency(target)
        return max(
            target * FIRST_BYTE_TARGET_RATIO,
            median * FIRST_BYTE_LATENCY_FACTOR,
        )

    def record(
        self, target: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        """Record the latency of a successful request.

        The estimate follows the median, so that a minority of slow servers
        does not raise what counts as usual.
        """
        median_s = self.estimate_latency(target).total_seconds()
        is_longer = latency.total_seconds() > median_s
        step = MEDIAN_STEP if is_longer else -MEDIAN_STEP
        self._medians_s[target] = median_s * (1 + step)


class ArrivalCounter:
    """Recent arrivals by priority."""

    def __init__(self) -> None:
        self._times: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )

    def record(self, priority: int, now: datetime.timedelta) -> None:
        """Record the arrival of a request."""
        self._times.append((now, priority))

    def find_rate(self, priority: int, now: datetime.timedelta) -> float:
        """Return the arrivals per second of this and higher priorities."""
        while self._times and now - self._times[0][0] > ARRIVAL_WINDOW:
            self._times.popleft()
        count = sum(other <= priority for _, other in self._times)
        return count / ARRIVAL_WINDOW.total_seconds()
