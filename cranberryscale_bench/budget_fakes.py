"""Test doubles of leases and network for the budget code.

The time is an argument and moves from event to event. Threads, queues and
bandwidth are not modelled: a message takes HOP_S, or is lost, duplicated,
delayed or dropped by a partition.
"""

import datetime
import random
from typing import NamedTuple

from cranberryscale.version import view as view_module


__all__ = [
    'SuspicionChange',
    'FaultInterval',
    'FakeLease',
    'LeaseSchedule',
    'SimulatedNetwork',
    'make_view',
]

LEASE_S = 8.0
# A new holder waits this long: LEASE_S and a margin of 1% for clock drift.
GUARDED_LEASE_S = 8.08
# A holder knows of at most this much remaining lease time.
KNOWN_LEASE_S = 7.5
SUSPECT_S = 5.0
RECOVERY_DELAY_S = 0.5
HOP_S = 0.001


def make_view(count: int, domains: int) -> view_module.MembershipView:
    """Return a membership view of `count` instances over the domains."""
    members = (
        view_module.Member(f'i{n:02}', f'd{n % domains}', '', '', '')
        for n in range(count)
    )
    return view_module.MembershipView(1, tuple(members))


class FakeLease(NamedTuple):
    """Lease with its times on the holder's clock."""

    resource: view_module.LeasedResource
    since: datetime.timedelta
    until: datetime.timedelta


class SuspicionChange(NamedTuple):
    """Change of the suspected members at `at_s`.

    The members of `scopes` notice it `detection_delay_s` later. `restart`
    interrupts every lease.
    """

    at_s: float
    suspected: frozenset[str]
    detection_delay_s: float
    scopes: frozenset[str]
    restart: bool = False


class FaultInterval(NamedTuple):
    """Time and instances of a fault, for example a pause or a partition."""

    start_s: float
    end_s: float
    names: frozenset[str]


class LeasePeriod(NamedTuple):
    """Time from `since_s` to `until_s` in which one instance is the holder."""

    holder: str | None
    since_s: float
    until_s: float


class LeaseSchedule:
    """Holders of all resources over time, for given changes of suspicion.

    At a change of holder, the old lease ends LEASE_S after the change, and
    the new one starts GUARDED_LEASE_S after the change was noticed.
    """

    def __init__(
        self,
        view: view_module.MembershipView,
        changes: tuple[SuspicionChange, ...],
    ):
        self._view = view
        self._changes = sorted(changes, key=lambda change: change.at_s)
        self._periods_by_resource: dict[
            view_module.LeasedResource, tuple[LeasePeriod, ...]
        ] = {}
        self._holders_by_suspicion: dict[tuple, str | None] = {}

    def _list_periods(self, resource) -> tuple[LeasePeriod, ...]:
        if resource not in self._periods_by_resource:
            self._periods_by_resource[resource] = tuple(
                self._make_periods(resource)
            )
        return self._periods_by_resource[resource]

    def _make_periods(self, resource) -> list[LeasePeriod]:
        choose = view_module.choose_holder
        holder = choose(self._view, resource, frozenset())
        periods = [LeasePeriod(holder, -100.0, float('inf'))]
        for change in self._changes:
            if resource.scope not in change.scopes:
                continue
            next_holder = choose(self._view, resource, change.suspected)
            last_period = periods[-1]
            if next_holder == last_period.holder and not change.restart:
                continue
            remaining_s = 0 if change.restart else LEASE_S
            end_s = min(last_period.until_s, change.at_s + remaining_s)
            periods[-1] = last_period._replace(until_s=end_s)
            if change.at_s + change.detection_delay_s <= last_period.since_s:
                periods.pop()
            since_s = change.at_s + change.detection_delay_s + GUARDED_LEASE_S
            periods.append(LeasePeriod(next_holder, since_s, float('inf')))
        return periods

    def find_holder(
        self, resource: view_module.LeasedResource, at_s: float
    ) -> str | None:
        """Return the holder that members of the resource's scope would ask."""
        suspected = frozenset()
        for change in self._changes:
            is_noticed = change.at_s + change.detection_delay_s <= at_s
            if is_noticed and resource.scope in change.scopes:
                suspected = change.suspected
        key = (resource, suspected)
        if key not in self._holders_by_suspicion:
            self._holders_by_suspicion[key] = view_module.choose_holder(
                self._view, resource, suspected
            )
        return self._holders_by_suspicion[key]

    def find_lease_period(
        self, resource: view_module.LeasedResource, name: str, at_s: float
    ) -> LeasePeriod | None:
        """Return the current period of `name`, as far as known at `at_s`."""
        for period in self._list_periods(resource):
            if (
                period.holder == name
                and period.since_s <= at_s < period.until_s
            ):
                until_s = min(period.until_s, at_s + KNOWN_LEASE_S)
                return period._replace(until_s=until_s)
        return None


class SimulatedNetwork:
    """Network that loses, duplicates and delays messages, one way each."""

    def __init__(
        self,
        rng: random.Random,
        loss_ratio: float = 0.0,
        duplicate_ratio: float = 0.0,
        delayed_ratio: float = 0.0,
        partitions: tuple[FaultInterval, ...] = (),
    ):
        self._random = rng
        self._loss_ratio = loss_ratio
        self._duplicate_ratio = duplicate_ratio
        self._delayed_ratio = delayed_ratio
        self._partitions = partitions

    def list_delays(self, source: str, target: str, at_s: float):
        """Return the delays in s of the copies that arrive."""
        if source != target:
            for partition in self._partitions:
                is_separated = (source in partition.names) != (
                    target in partition.names
                )
                if (
                    is_separated
                    and partition.start_s <= at_s < partition.end_s
                ):
                    return ()
            if self._random.random() < self._loss_ratio:
                return ()
        delays = [0.0 if source == target else HOP_S]
        if self._random.random() < self._duplicate_ratio:
            delays.append(HOP_S + self._random.random() * 0.5)
        if self._random.random() < self._delayed_ratio:
            delays[0] += self._random.random() * 0.3
        return delays
