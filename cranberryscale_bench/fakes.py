"""Fake leases and network for the budget objects.

Time is injected and only moves from event to event. There is no model of
threads, queues or bandwidth: a message takes one hop time, or is lost,
doubled, late or cut.
"""

import datetime
import random
from typing import NamedTuple

from cranberryscale.version import view as view_module


__all__ = [
    'Change',
    'Interval',
    'Lease',
    'LeaseOracle',
    'Network',
    'make_view',
]

LEASE_S = 8.0
GUARD_S = 8.08
FRESH_S = 7.5
SUSPECT_S = 5.0
NOTICE_S = 0.5
HOP_S = 0.001


def make_view(count: int, domains: int) -> view_module.MembershipView:
    """Return a list of `count` instances spread over the domains."""
    members = (
        view_module.Member(f'i{n:02}', f'd{n % domains}', '', '', '')
        for n in range(count)
    )
    return view_module.MembershipView(1, tuple(members))


class Lease(NamedTuple):
    """Hold a lease on the holder's clock."""

    resource: view_module.LeasedResource
    since: datetime.timedelta
    until: datetime.timedelta


class Change(NamedTuple):
    """Change who is suspected at `at_s`, noticed `notice_s` later.

    `cells` are the cells that notice; `restart` interrupts every lease.
    """

    at_s: float
    suspected: frozenset[str]
    notice_s: float
    cells: frozenset[str]
    restart: bool = False


class Interval(NamedTuple):
    """Bound a fault in time, for example a pause or a cut."""

    start_s: float
    end_s: float
    names: frozenset[str]


class Term(NamedTuple):
    """Say who holds a resource from `since_s` to `until_s`."""

    holder: str | None
    since_s: float
    until_s: float


class LeaseOracle:
    """Say who holds what, with the stated behaviour at a handover.

    The old holder's lease ends a lease time after the change and the next
    one's starts a guarded lease time after the change was noticed.
    """

    def __init__(
        self, view: view_module.MembershipView, changes: tuple[Change, ...]
    ):
        self._view = view
        self._changes = sorted(changes, key=lambda change: change.at_s)
        self._terms: dict[view_module.LeasedResource, tuple[Term, ...]] = {}
        self._chosen: dict[tuple, str | None] = {}

    def _list_terms(self, resource) -> tuple[Term, ...]:
        if resource not in self._terms:
            self._terms[resource] = tuple(self._make_terms(resource))
        return self._terms[resource]

    def _make_terms(self, resource) -> list[Term]:
        choose = view_module.choose_holder
        holder = choose(self._view, resource, frozenset())
        terms = [Term(holder, -100.0, float('inf'))]
        for change in self._changes:
            if resource.scope not in change.cells:
                continue
            chosen = choose(self._view, resource, change.suspected)
            last = terms[-1]
            if chosen == last.holder and not change.restart:
                continue
            lasting_s = 0 if change.restart else LEASE_S
            end_s = min(last.until_s, change.at_s + lasting_s)
            terms[-1] = last._replace(until_s=end_s)
            if change.at_s + change.notice_s <= last.since_s:
                terms.pop()
            since_s = change.at_s + change.notice_s + GUARD_S
            terms.append(Term(chosen, since_s, float('inf')))
        return terms

    def find_holder(
        self, resource: view_module.LeasedResource, at_s: float
    ) -> str | None:
        """Return whom to ask, as the cell's members see it."""
        suspected = frozenset()
        for change in self._changes:
            noticed = change.at_s + change.notice_s <= at_s
            if noticed and resource.scope in change.cells:
                suspected = change.suspected
        key = (resource, suspected)
        if key not in self._chosen:
            self._chosen[key] = view_module.choose_holder(
                self._view, resource, suspected
            )
        return self._chosen[key]

    def find_term(
        self, resource: view_module.LeasedResource, name: str, at_s: float
    ) -> Term | None:
        """Return the term that `name` holds now, `until_s` as known now."""
        for term in self._list_terms(resource):
            if term.holder == name and term.since_s <= at_s < term.until_s:
                until_s = min(term.until_s, at_s + FRESH_S)
                return term._replace(until_s=until_s)
        return None


class Network:
    """Decide the fate of each message, one way."""

    def __init__(
        self,
        rng: random.Random,
        loss_ratio: float = 0.0,
        double_ratio: float = 0.0,
        late_ratio: float = 0.0,
        cuts: tuple[Interval, ...] = (),
    ):
        self._random = rng
        self._loss = loss_ratio
        self._double = double_ratio
        self._late = late_ratio
        self._cuts = cuts

    def list_delays(self, source: str, target: str, at_s: float):
        """Return the delay of each copy that arrives."""
        if source != target:
            for cut in self._cuts:
                apart = (source in cut.names) != (target in cut.names)
                if apart and cut.start_s <= at_s < cut.end_s:
                    return ()
            if self._random.random() < self._loss:
                return ()
        delays = [0.0 if source == target else HOP_S]
        if self._random.random() < self._double:
            delays.append(HOP_S + self._random.random() * 0.5)
        if self._random.random() < self._late:
            delays[0] += self._random.random() * 0.3
        return delays
