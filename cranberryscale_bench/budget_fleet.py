"""Discrete event simulation of the budgets of all instances."""

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
from cranberryscale_bench import budget_fakes


__all__ = ['BudgetFleet']

PEER_TIMEOUT_S = 0.25
BACKGROUND_INTERVAL_S = 0.025
RETURN_MARGIN = datetime.timedelta(milliseconds=30)


class BudgetInstance:
    """Budget holder, token cache and clock of one instance."""

    def __init__(self, member: view_module.Member, clock_rate: float):
        self.member = member
        self.clock_rate = clock_rate
        self.holder: budgets.BudgetHolder
        self.cache: token_cache.TokenCache

    def read_clock(self, at_s: float) -> datetime.timedelta:
        """Return the elapsed time on this clock, which may be fast or slow."""
        return datetime.timedelta(seconds=(at_s + 1000) * self.clock_rate)


class BudgetFleet:
    """Instances that admit a list of arrivals with fake leases and network.

    `outcomes` maps the number of an arrival to (time in s, outcome).
    """

    def __init__(
        self,
        view: view_module.MembershipView,
        shares: dict[str, tuple[token_bucket.BudgetShare, ...]],
        terms: token_bucket.BudgetTerms,
        lease_schedule: budget_fakes.LeaseSchedule,
        network: budget_fakes.SimulatedNetwork,
        rng: random.Random,
        pauses: tuple[budget_fakes.FaultInterval, ...] = (),
        restarts_s: tuple[float, ...] = (),
        drift_ratio: float = 0.0,
    ):
        self._shares, self._terms = shares, terms
        self._lease_schedule, self._network = lease_schedule, network
        self._random = rng
        self._pauses = {
            m.name: [p for p in pauses if m.name in p.names]
            for m in view.members
        }
        self._events: list = []
        self._sequence = itertools.count()
        self._epoch = 0
        self.messages = 0
        self.outcomes: dict[int, tuple[float, object]] = {}
        self._instances = {
            m.name: BudgetInstance(m, 1 + rng.choice((-1, 0, 1)) * drift_ratio)
            for m in view.members
        }
        self._restart(0)
        for at_s in restarts_s:
            self._schedule(at_s, lambda at_s=at_s: self._restart(at_s))

    def _restart(self, at_s: float) -> None:
        self._epoch += 1
        for instance in self._instances.values():
            instance.holder = budgets.BudgetHolder(self._terms, self._random)
            instance.cache = token_cache.TokenCache(self._terms)

    def _schedule(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._sequence), action))

    def _find_resume_time(self, name: str, at_s: float) -> float:
        for pause in self._pauses[name]:
            if pause.start_s <= at_s < pause.end_s:
                return pause.end_s
        return at_s

    def _run_at_instance(self, name: str, at_s: float, action) -> None:
        """Run an action at an instance; if it is paused, when the pause ends.

        The action is dropped if the instances restart before then.
        """
        epoch = self._epoch

        def start():
            resume_s = self._find_resume_time(name, at_s)
            if resume_s > at_s:
                self._run_at_instance(name, resume_s, action)
            elif epoch == self._epoch:
                action(at_s)

        self._schedule(at_s, start)

    def _send(
        self, source: str, request: budgets.ShareMessage, at_s: float, on_reply
    ) -> None:
        """Send a message; call `on_reply(reply, at_s)` once.

        The reply is None after a timeout.
        """
        target = self._lease_schedule.find_holder(request.share.resource, at_s)
        pending_callbacks = [on_reply]

        def complete(reply, at_s):
            if pending_callbacks:
                pending_callbacks.pop()(reply, at_s)

        def deliver(at_s):
            reply = self._handle_message(target, request, at_s)
            for delay_s in self._network.list_delays(target, source, at_s):
                self._run_at_instance(
                    source, at_s + delay_s, lambda at_s: complete(reply, at_s)
                )

        self.messages += source != target
        for delay_s in self._network.list_delays(source, target, at_s):
            self._run_at_instance(target, at_s + delay_s, deliver)
        self._run_at_instance(
            source, at_s + PEER_TIMEOUT_S, lambda at_s: complete(None, at_s)
        )

    def _find_lease(
        self, name: str, resource, at_s: float
    ) -> budget_fakes.FakeLease | None:
        period = self._lease_schedule.find_lease_period(resource, name, at_s)
        if period is None:
            return None
        read_clock = self._instances[name].read_clock
        return budget_fakes.FakeLease(
            resource, read_clock(period.since_s), read_clock(period.until_s)
        )

    def _handle_message(
        self, name: str, request: budgets.ShareMessage, at_s: float
    ):
        instance = self._instances[name]
        now = instance.read_clock(at_s)
        if isinstance(request.message, messages.ReturnTokens):
            return instance.holder.return_tokens(request.message, now)
        lease = self._find_lease(name, request.share.resource, at_s)
        reply = instance.holder.request_tokens(
            request.message, request.share, lease, now
        )
        index, shares = (
            request.share.index,
            self._shares[request.share.customer],
        )
        loan = instance.holder.plan_loan(shares, request.message, now)
        if loan is not None:
            self._send(
                name,
                loan,
                at_s,
                lambda reply, end_s: instance.holder.apply_loan_reply(
                    loan, index, reply, now, instance.read_clock(end_s)
                ),
            )
        return reply

    def _start_acquisition(
        self, number: int, name: str, customer: str, at_s: float
    ):
        instance = self._instances[name]
        acquisition = token_acquisition.TokenAcquisition(
            instance.cache,
            self._shares[customer],
            instance.member.domain,
            self._terms,
            self._random,
            f'r{number}',
        )
        steps = acquisition.run(instance.read_clock(at_s))
        self._run_next_step(number, name, steps, None, at_s)

    def _run_next_step(self, number, name, steps, event, at_s: float) -> None:
        instance = self._instances[name]
        try:
            action = next(steps) if event is None else steps.send(event)
        except StopIteration as stop:
            self.outcomes[number] = (at_s, stop.value)
            if isinstance(stop.value, token_acquisition.TokenAcquired):
                now = instance.read_clock(at_s)
                instance.cache.settle(stop.value.token, True, now)
            return

        def continue_steps(reply, end_s):
            timed_reply = share_states.TimedReply(
                reply, instance.read_clock(at_s), instance.read_clock(end_s)
            )
            self._run_next_step(number, name, steps, timed_reply, end_s)

        match action:
            case budgets.ShareMessage():
                self._send(name, action, at_s, continue_steps)
            case token_acquisition.TokenWait(delay):
                self._run_at_instance(
                    name,
                    at_s + delay.total_seconds() / instance.clock_rate,
                    lambda at_s: self._run_next_step(
                        number, name, steps, instance.read_clock(at_s), at_s
                    ),
                )

    def _run_background_work(
        self, name: str, at_s: float, end_s: float
    ) -> None:
        instance = self._instances[name]
        now = instance.read_clock(at_s)
        returns = (
            *instance.cache.collect_returns(now, RETURN_MARGIN),
            *instance.holder.collect_returns(now, RETURN_MARGIN),
        )
        for request in returns:
            self._send(name, request, at_s, lambda reply, at_s: None)
        instance.cache.remove_idle(now)
        instance.holder.remove_idle(
            lambda resource, now: self._find_lease(name, resource, at_s), now
        )
        if at_s < end_s:
            self._schedule_background_work(
                name, at_s + BACKGROUND_INTERVAL_S, end_s
            )

    def _schedule_background_work(
        self, name: str, at_s: float, end_s: float
    ) -> None:
        def run_or_defer():
            resume_s = self._find_resume_time(name, at_s)
            if resume_s > at_s:
                self._schedule_background_work(name, resume_s, end_s)
            else:
                self._run_background_work(name, at_s, end_s)

        self._schedule(at_s, run_or_defer)

    def run(self, arrivals: list[tuple[float, str, str]]) -> None:
        """Process arrivals (time in s, customer, instance) to the end."""
        end_s = max(at_s for at_s, _, _ in arrivals) + 1
        for name in self._instances:
            self._schedule_background_work(
                name, self._random.random() * BACKGROUND_INTERVAL_S, end_s
            )
        for number, (at_s, customer, name) in enumerate(arrivals):
            self._run_at_instance(
                name,
                at_s,
                lambda at_s, number=number, name=name, customer=customer: (
                    self._start_acquisition(number, name, customer, at_s)
                ),
            )
        while self._events:
            _, _, action = heapq.heappop(self._events)
            action()
