"""What is usual at a pool: how long requests take and how many arrive."""

import collections
import datetime


__all__ = ['ArrivalCounter', 'LatencyEstimator']

# Until answers are seen, a request is taken to need this part of the time
# within which its answer is on time.
USUAL_RATIO = 0.35
USUAL_STEP = 0.05
# A second attempt is due when an answer takes longer than this part of the
# time within which it is on time, and this many times longer than usual.
PATIENCE_RATIO = 0.6
PATIENCE_FACTOR = 2.5
# The span over which arrivals are counted. A surge shorter than half of it
# is taken on whole and served late.
LOAD_WINDOW = datetime.timedelta(seconds=2)


class LatencyEstimator:
    """Follow the usual latency by the time within which answers are due."""

    def __init__(self) -> None:
        self._usual: dict[datetime.timedelta, float] = {}

    def estimate_latency(
        self, target: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long requests with this target usually take."""
        usual = self._usual.get(target)
        if usual is None:
            return target * USUAL_RATIO
        return datetime.timedelta(seconds=usual)

    def find_first_byte_timeout(
        self, target: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long silence of a server is usual."""
        usual = self.estimate_latency(target)
        return max(target * PATIENCE_RATIO, usual * PATIENCE_FACTOR)

    def note(
        self, target: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        """Record how long a good answer took.

        The median is followed: servers that are slow must not make slowness
        usual while most are not.
        """
        known = self.estimate_latency(target).total_seconds()
        is_longer = latency.total_seconds() > known
        step = USUAL_STEP if is_longer else -USUAL_STEP
        self._usual[target] = known * (1 + step)


class ArrivalCounter:
    """Count the requests of the last moments by priority."""

    def __init__(self) -> None:
        self._times: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )

    def note(self, priority: int, now: datetime.timedelta) -> None:
        """Record one request."""
        self._times.append((now, priority))

    def find_rate(self, priority: int, now: datetime.timedelta) -> float:
        """Return how many of this or a higher priority come in a second."""
        while self._times and now - self._times[0][0] > LOAD_WINDOW:
            self._times.popleft()
        count = sum(other <= priority for _, other in self._times)
        return count / LOAD_WINDOW.total_seconds()
