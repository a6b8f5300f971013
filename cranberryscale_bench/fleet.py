"""Run the budget objects of all instances over fake leases and messages."""

from collections.abc import Callable
import datetime
import heapq
import itertools
import random

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import share_states
from cranberryscale.process import token_acquisition
from cranberryscale.process import token_bucket
from cranberryscale.process import token_cache
from cranberryscale.version import view as view_module
from cranberryscale_bench import fakes


__all__ = ['Fleet']

PEER_S = 0.25
TICK_S = 0.025
RETURN_MARGIN = datetime.timedelta(milliseconds=30)


class Instance:
    """Hold one instance's budget objects and its clock."""

    def __init__(self, member: view_module.Member, speed: float):
        self.member = member
        self.speed = speed
        self.holder: budgets.BudgetHolder
        self.entry: token_cache.TokenCache

    def read(self, at_s: float) -> datetime.timedelta:
        """Return this instance's clock, which may run fast or slow."""
        return datetime.timedelta(seconds=(at_s + 1000) * self.speed)


class Fleet:
    """Run budget objects of all instances over a list of arrivals."""

    def __init__(
        self,
        view: view_module.MembershipView,
        shares: dict[str, tuple[token_bucket.BudgetShare, ...]],
        terms: token_bucket.BudgetTerms,
        oracle: fakes.LeaseOracle,
        network: fakes.Network,
        rng: random.Random,
        pauses: tuple[fakes.Interval, ...] = (),
        restarts_s: tuple[float, ...] = (),
        drift_ratio: float = 0.0,
    ):
        self._shares, self._terms = shares, terms
        self._oracle, self._network = oracle, network
        self._random = rng
        self._pauses = {
            m.name: [p for p in pauses if m.name in p.names]
            for m in view.members
        }
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
            instance.entry = token_cache.TokenCache(self._terms)

    def _push(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._order), action))

    def _find_wake(self, name: str, at_s: float) -> float:
        for pause in self._pauses[name]:
            if pause.start_s <= at_s < pause.end_s:
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

    def _send(
        self, source: str, ask: budgets.ShareMessage, at_s: float, then
    ) -> None:
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

    def _find_lease(
        self, name: str, resource, at_s: float
    ) -> fakes.Lease | None:
        term = self._oracle.find_term(resource, name, at_s)
        if term is None:
            return None
        read = self._instances[name].read
        return fakes.Lease(resource, read(term.since_s), read(term.until_s))

    def _answer(self, name: str, ask: budgets.ShareMessage, at_s: float):
        instance = self._instances[name]
        now = instance.read(at_s)
        if isinstance(ask.message, messages.ReturnTokens):
            return instance.holder.return_tokens(ask.message, now)
        lease = self._find_lease(name, ask.share.resource, at_s)
        reply = instance.holder.request_tokens(
            ask.message, ask.share, lease, now
        )
        index, shares = ask.share.index, self._shares[ask.share.customer]
        loan = instance.holder.plan_loan(shares, ask.message, now)
        if loan is not None:
            self._send(
                name,
                loan,
                at_s,
                lambda reply, end_s: instance.holder.apply_loan_reply(
                    loan, index, reply, now, instance.read(end_s)
                ),
            )
        return reply

    def _admit(self, number: int, name: str, customer: str, at_s: float):
        instance = self._instances[name]
        attempt = token_acquisition.TokenAcquisition(
            instance.entry,
            self._shares[customer],
            instance.member.domain,
            self._terms,
            self._random,
            f'r{number}',
        )
        steps = attempt.run(instance.read(at_s))
        self._step(number, name, steps, None, at_s)

    def _step(self, number, name, steps, event, at_s: float) -> None:
        instance = self._instances[name]
        try:
            action = next(steps) if event is None else steps.send(event)
        except StopIteration as stop:
            self.outcomes[number] = (at_s, stop.value)
            if isinstance(stop.value, token_acquisition.TokenAcquired):
                now = instance.read(at_s)
                instance.entry.settle(stop.value.token, True, now)
            return

        def go_on(reply, end_s):
            answer = share_states.TimedReply(
                reply, instance.read(at_s), instance.read(end_s)
            )
            self._step(number, name, steps, answer, end_s)

        match action:
            case budgets.ShareMessage():
                self._send(name, action, at_s, go_on)
            case token_acquisition.TokenWait(delay):
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
        instance.entry.remove_idle(now)
        instance.holder.remove_idle(
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
