"""Fake leases and network around the real budget objects.

Time is injected and only moves from event to event. There is no model of
threads, queues or bandwidth: a message takes one hop time, or is lost,
doubled, late or cut.
"""

import datetime
import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import allotments
from cranberryscale.process import bucket
from cranberryscale.process import budgets
from cranberryscale.version import view as view_module


__all__ = [
    'Change',
    'Fleet',
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
PEER_S = 0.25
HOP_S = 0.001
TICK_S = 0.025
RETURN_MARGIN = datetime.timedelta(milliseconds=30)


def make_view(count: int, domains: int) -> view_module.View:
    """Return a list of `count` instances spread over the domains."""
    members = (
        view_module.Member(f'i{n:02}', f'd{n % domains}', '', '', '')
        for n in range(count)
    )
    return view_module.View(1, tuple(members))


class Lease(NamedTuple):
    """Hold a lease on the holder's clock."""

    resource: view_module.Resource
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

    def __init__(self, view: view_module.View, changes: tuple[Change, ...]):
        self._view = view
        self._changes = sorted(changes)
        self._terms: dict[view_module.Resource, tuple[Term, ...]] = {}

    def _list_terms(self, resource) -> tuple[Term, ...]:
        if resource not in self._terms:
            self._terms[resource] = tuple(self._make_terms(resource))
        return self._terms[resource]

    def _make_terms(self, resource) -> list[Term]:
        choose = view_module.choose_holder
        holder = choose(self._view, resource, frozenset())
        terms = [Term(holder, -100.0, float('inf'))]
        for change in self._changes:
            if resource.cell not in change.cells:
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
        self, resource: view_module.Resource, at_s: float
    ) -> str | None:
        """Return whom to ask, as the cell's members see it."""
        suspected = frozenset()
        for change in self._changes:
            noticed = change.at_s + change.notice_s <= at_s
            if noticed and resource.cell in change.cells:
                suspected = change.suspected
        return view_module.choose_holder(self._view, resource, suspected)

    def find_term(
        self, resource: view_module.Resource, name: str, at_s: float
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


class Instance:
    """Hold one instance's budget objects and its clock."""

    def __init__(self, member: view_module.Member, speed: float):
        self.member = member
        self.speed = speed
        self.holder: budgets.BudgetHolder
        self.entry: allotments.Allotments

    def read(self, at_s: float) -> datetime.timedelta:
        """Return this instance's clock, which may run fast or slow."""
        return datetime.timedelta(seconds=(at_s + 1000) * self.speed)


class Fleet:
    """Run budget objects of all instances over a list of arrivals."""

    def __init__(
        self,
        view: view_module.View,
        shares: dict[str, tuple[bucket.Share, ...]],
        terms: bucket.Terms,
        oracle: LeaseOracle,
        network: Network,
        rng: random.Random,
        pauses: tuple[Interval, ...] = (),
        restarts_s: tuple[float, ...] = (),
        drift_ratio: float = 0.0,
    ):
        self._shares, self._terms = shares, terms
        self._oracle, self._network = oracle, network
        self._random, self._pauses = rng, pauses
        self._events: list = []
        self._order = itertools.count()
        self._epoch = 0
        self.messages = 0
        self.outcomes: dict[int, tuple[float, object]] = {}
        self._instances = {
            m.name: Instance(m, 1 + rng.choice((-1, 0, 1)) * drift_ratio)
            for m in view.members
        }
        self._restart(0)
        for at_s in restarts_s:
            self._push(at_s, lambda at_s=at_s: self._restart(at_s))

    def _restart(self, at_s: float) -> None:
        self._epoch += 1
        for instance in self._instances.values():
            instance.holder = budgets.BudgetHolder(self._terms, self._random)
            instance.entry = allotments.Allotments(
                instance.member.domain, self._terms, self._random
            )

    def _push(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _find_wake(self, name: str, at_s: float) -> float:
        for pause in self._pauses:
            if name in pause.names and pause.start_s <= at_s < pause.end_s:
                return pause.end_s
        return at_s

    def _run_at(self, name: str, at_s: float, action) -> None:
        """Run an action at an instance, after a pause it may be in."""
        epoch = self._epoch

        def start():
            wake_s = self._find_wake(name, at_s)
            if wake_s > at_s:
                self._run_at(name, wake_s, action)
            elif epoch == self._epoch:
                action(at_s)

        self._push(at_s, start)

    def _send(self, source: str, ask: budgets.Ask, at_s: float, then) -> None:
        """Deliver a message and its reply; `then(reply, at_s)` runs once."""
        target = self._oracle.find_holder(ask.share.resource, at_s)
        open_calls = [then]

        def end(reply, at_s):
            if open_calls:
                open_calls.pop()(reply, at_s)

        def arrive(at_s):
            reply = self._answer(target, ask, at_s)
            for delay_s in self._network.list_delays(target, source, at_s):
                self._run_at(
                    source, at_s + delay_s, lambda at_s: end(reply, at_s)
                )

        self.messages += source != target
        for delay_s in self._network.list_delays(source, target, at_s):
            self._run_at(target, at_s + delay_s, arrive)
        self._run_at(source, at_s + PEER_S, lambda at_s: end(None, at_s))

    def _find_lease(self, name: str, resource, at_s: float) -> Lease | None:
        term = self._oracle.find_term(resource, name, at_s)
        if term is None:
            return None
        read = self._instances[name].read
        return Lease(resource, read(term.since_s), read(term.until_s))

    def _answer(self, name: str, ask: budgets.Ask, at_s: float):
        instance = self._instances[name]
        now = instance.read(at_s)
        if isinstance(ask.message, messages.ReturnTokens):
            return instance.holder.return_tokens(ask.message, now)
        lease = self._find_lease(name, ask.share.resource, at_s)
        reply = instance.holder.take_tokens(
            ask.message, ask.share, lease, now
        )
        index, shares = ask.share.index, self._shares[ask.share.customer]
        loan = instance.holder.plan_loan(shares, index, now)
        if loan is not None:
            self._send(
                name,
                loan,
                at_s,
                lambda reply, end_s: instance.holder.take_loan_reply(
                    loan, index, reply, now, instance.read(end_s)
                ),
            )
        return reply

    def _admit(self, number: int, name: str, customer: str, at_s: float):
        instance = self._instances[name]
        steps = instance.entry.obtain(
            self._shares[customer], f'r{number}', instance.read(at_s)
        )
        self._step(number, name, steps, None, at_s)

    def _step(self, number, name, steps, event, at_s: float) -> None:
        instance = self._instances[name]
        try:
            action = next(steps) if event is None else steps.send(event)
        except StopIteration as stop:
            self.outcomes[number] = (at_s, stop.value)
            return

        def go_on(reply, end_s):
            answer = allotments.Answer(
                reply, instance.read(at_s), instance.read(end_s)
            )
            self._step(number, name, steps, answer, end_s)

        match action:
            case budgets.Ask():
                self._send(name, action, at_s, go_on)
            case allotments.Pause(delay):
                self._run_at(
                    name,
                    at_s + delay.total_seconds() / instance.speed,
                    lambda at_s: self._step(
                        number, name, steps, instance.read(at_s), at_s
                    ),
                )

    def _tick(self, name: str, at_s: float, end_s: float) -> None:
        instance = self._instances[name]
        now = instance.read(at_s)
        returns = (
            *instance.entry.collect_returns(now, RETURN_MARGIN),
            *instance.holder.collect_returns(now, RETURN_MARGIN),
        )
        for ask in returns:
            self._send(name, ask, at_s, lambda reply, at_s: None)
        instance.entry.drop_idle(now)
        instance.holder.drop_idle(
            lambda resource, now: self._find_lease(name, resource, at_s), now
        )
        if at_s < end_s:
            self._push_tick(name, at_s + TICK_S, end_s)

    def _push_tick(self, name: str, at_s: float, end_s: float) -> None:
        def tick():
            wake_s = self._find_wake(name, at_s)
            if wake_s > at_s:
                self._push_tick(name, wake_s, end_s)
            else:
                self._tick(name, at_s, end_s)

        self._push(at_s, tick)

    def run(self, arrivals: list[tuple[float, str, str]]) -> None:
        """Run arrivals (time, customer, instance) to the end."""
        end_s = max(at_s for at_s, _, _ in arrivals) + 1
        for name in self._instances:
            self._push_tick(name, self._random.random() * TICK_S, end_s)
        for number, (at_s, customer, name) in enumerate(arrivals):
            self._run_at(
                name,
                at_s,
                lambda at_s, number=number, name=name, customer=customer: (
                    self._admit(number, name, customer, at_s)
                ),
            )
        while self._events:
            _, _, action = heapq.heappop(self._events)
            action()
