"""Max-min fair shares of a pool's work among customers.

Load pattern: one customer sends many times its usual while the servers are
full. The others would wait behind its requests and be refused for them.
"""

from collections.abc import Mapping
import datetime


__all__ = ['CustomerWork', 'find_fair_share']

WINDOW = datetime.timedelta(seconds=2)


def find_fair_share(
    demands_s: Mapping[str, float], capacity_s: float
) -> float:
    """Return the largest work that a customer gets, in seconds.

    Customers that demand less get all of it, and the others an equal part of
    what is left. The result is infinite if there is enough for all.
    """
    left_s, count = capacity_s, len(demands_s)
    for demand_s in sorted(demands_s.values()):
        share_s = max(0.0, left_s) / count
        if demand_s > share_s:
            return share_s
        left_s -= demand_s
        count -= 1
    return float('inf')


class _WorkCounter:
    """Work of each customer in about the last WINDOW."""

    def __init__(self) -> None:
        self._current: dict[str, float] = {}
        self._previous: dict[str, float] = {}
        self._index = 0

    def _rotate(self, now: datetime.timedelta) -> float:
        """Return the part of the current window that has passed."""
        index, passed = divmod(now, WINDOW)
        if index != self._index:
            is_next = index == self._index + 1
            self._previous = self._current if is_next else {}
            self._current = {}
            self._index = index
        return passed / WINDOW

    def add(self, name: str, work_s: float, now: datetime.timedelta) -> None:
        self._rotate(now)
        self._current[name] = self._current.get(name, 0.0) + work_s

    def read(self, now: datetime.timedelta) -> dict[str, float]:
        weight = 1 - self._rotate(now)
        return {
            name: self._current.get(name, 0.0)
            + self._previous.get(name, 0.0) * weight
            for name in self._current.keys() | self._previous.keys()
        }


class CustomerWork:
    """The recent work that customers requested and were granted.

    Requests without a customer count as demand, but never as over a share.
    """

    def __init__(self) -> None:
        self._demands = _WorkCounter()
        self._grants = _WorkCounter()

    def record_demand(
        self, customer: str, work: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record a request that usually takes `work`."""
        self._demands.add(customer, work.total_seconds(), now)

    def record_grant(
        self, customer: str, work: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record a request that got a slot."""
        self._grants.add(customer, work.total_seconds(), now)

    def list_over_share(
        self, slots: int, now: datetime.timedelta
    ) -> frozenset[str]:
        """Return the customers that got more than their share of the slots."""
        demands_s = self._demands.read(now)
        capacity_s = slots * WINDOW.total_seconds() - demands_s.pop('', 0.0)
        if len(demands_s) < 2:
            return frozenset()
        share_s = find_fair_share(demands_s, capacity_s)
        return frozenset(
            name
            for name, work_s in self._grants.read(now).items()
            if name and work_s > share_s
        )
