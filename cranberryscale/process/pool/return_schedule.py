"""Times at which refused callers may come back.

Load pattern: a pool that takes less than is asked of it for a while. Callers
that are refused together and return together would be refused again.
"""

from collections.abc import Iterable
import datetime
import itertools


__all__ = ['ReturnSchedule']

MIN_DELAY = datetime.timedelta(milliseconds=100)
# Servers may take more again by then.
MAX_DELAY = datetime.timedelta(seconds=5)
# Bounds the work for one refusal.
MAX_RETURNS = 200


class ReturnSchedule:
    """The returns of callers that were refused and have not come back yet."""

    def __init__(self) -> None:
        self._returns: list[datetime.timedelta] = []

    def find_delay(
        self,
        starts: Iterable[datetime.timedelta],
        waiting: int,
        now: datetime.timedelta,
        default: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return after what time there is room for one more request.

        `starts` are the times from now after which requests can start, in
        order; the first are for those that are `waiting` and for callers that
        return. `default` is returned if there are none.
        """
        self._returns = [at for at in self._returns if at > now]
        ahead = min(waiting + len(self._returns), MAX_RETURNS)
        delay = next(itertools.islice(starts, ahead, None), default)
        return min(max(delay, MIN_DELAY), MAX_DELAY)

    def add(self, at: datetime.timedelta) -> None:
        """Reserve room for a caller that comes back at an elapsed time."""
        self._returns.append(at)
