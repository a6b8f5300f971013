"""The budget of second attempts at a service, over a sliding window.

Load pattern: many backend servers fail at once, and repeating every request
would double the load on those that are left.
"""

import collections
import datetime


__all__ = ['RetryBudget']

# Part of the operators' bound that one holder uses: a former holder may have
# used the rest within the same window.
USED_RATIO = 0.45
# Repeats that can be foreseen leave this part to those that cannot.
RESERVE_RATIO = 0.6


class RetryBudget:
    """Allow repeats up to ratio x requests + slack in each window."""

    def __init__(self, ratio: float, slack: float, window: datetime.timedelta):
        self._ratio = ratio * USED_RATIO * 2
        self._slack = slack * USED_RATIO
        self._window = window
        self._firsts: collections.deque[datetime.timedelta] = (
            collections.deque()
        )
        self._repeats: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def record_first_attempt(self, now: datetime.timedelta) -> None:
        """Record the first attempt of a request."""
        self._firsts.append(now)

    def take(self, now: datetime.timedelta) -> bool:
        """Record a repeat, or return False if the budget is spent."""
        self._drop_old(now)
        if len(self._repeats) >= self._find_limit():
            return False
        self._repeats.append(now)
        return True

    def has_reserve(self, now: datetime.timedelta) -> bool:
        """Tell whether most of the budget is left."""
        self._drop_old(now)
        return len(self._repeats) < RESERVE_RATIO * self._find_limit()

    def _find_limit(self) -> float:
        return self._ratio * len(self._firsts) + self._slack

    def give_back(self) -> None:
        """Take back a repeat that never reached a backend server."""
        if self._repeats:
            self._repeats.pop()

    def _drop_old(self, now: datetime.timedelta) -> None:
        for times in (self._firsts, self._repeats):
            while times and now - times[0] > self._window:
                times.popleft()
