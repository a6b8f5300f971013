"""Event-driven model of backend servers and of the instances using them.

Only the decisions are real; time, network and backend servers are simulated
in one thread from a seed.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import heapq
import random as random_module
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import pools
from cranberryscale.version import configuration


__all__ = [
    'HolderPool',
    'Model',
    'Server',
    'Size',
    'make_configuration',
]

HOP_S = 0.001
TICK_S = 0.05
SUMMARY_TICKS = 20
MOST_RETRIES = 2
SIGMA = 0.5
CUSTOMERS = (('a', 25), ('b', 25), ('c', 20), ('d', 10))
CUSTOMERS += (('e', 8), ('f', 6), ('g', 4), ('h', 2))


class Size(NamedTuple):
    """Describe a user's usual load on one service."""

    name: str
    slots: int
    service_s: float
    servers: int
    domains: int = 3
    load: float = 0.6
    instances: int = 44


class Lease(NamedTuple):
    """Stand in for process.leases.Lease."""

    resource: str
    since: datetime.timedelta
    until: datetime.timedelta


class Server:
    """Model one backend server.

    `capable` is how many requests it can run; more than that are shed.
    """

    def __init__(
        self,
        published: configuration.BackendServer,
        service_s: float,
        random: random_module.Random,
    ):
        self.published = published
        self.name = published.name
        self.capable = published.slots
        self.slow_factor = 1.0
        self.wrong_ratio = 0.0
        self.wrong_outcome = 'wrong'
        self.error_ratio = 0.005
        self.is_silent = False
        self.pause_until_s = 0.0
        self.paused_s = 0.0
        self.running = 0
        self.peak_ratio = 0.0
        self._service_s = service_s
        self._random = random

    def turn_cold(self) -> None:
        """Run only the cold slots until enough requests completed."""
        self.capable = self.published.cold_slots
        self._warm_completions = 0

    def run(self, now_s: float, remaining_s: float) -> tuple[str, float]:
        """Start a request; return its outcome and how long it takes."""
        self.running += 1
        self.peak_ratio = max(self.peak_ratio, self.running / self.capable)
        if self.running > self.capable:
            return 'shed', HOP_S
        draw = self._random.random
        took_s = self._service_s * self._random.lognormvariate(0, SIGMA)
        took_s *= self.slow_factor
        if now_s < self.pause_until_s:
            took_s += self.pause_until_s - now_s
        if self.is_silent or took_s > remaining_s:
            return 'silent', remaining_s
        if draw() < self.wrong_ratio:
            return self.wrong_outcome, took_s
        return ('error' if draw() < self.error_ratio else 'ok'), took_s

    def finish(self, outcome: str) -> None:
        """End a request."""
        self.running -= 1
        if outcome == 'ok' and self.capable < self.published.slots:
            self._warm_completions += 1
            if self._warm_completions >= self.published.ramp_completions:
                self._warm_completions = 0
                self.capable += 1


def make_configuration(
    size: Size, floor_fraction: float = 0.5
) -> configuration.Configuration:
    """Return a configuration with one service spread over the domains."""
    servers = {
        f's{number}': configuration.BackendServer(
            f's{number}',
            'app',
            f'd{number % size.domains}',
            f'127.0.0.1:{number}',
            size.slots,
        )
        for number in range(size.servers)
    }
    return configuration.Configuration(
        services={'app': configuration.Service('app', floor_fraction)},
        servers=servers,
    )


class HolderPool:
    """Drive the holder of one pool and its lease."""

    def __init__(self, model: 'Model', domain: str):
        self._model = model
        self.domain = domain
        self.holder = pools.PoolHolder(
            'app', domain, random_module.Random(f'{model.seed}{domain}')
        )
        self.since_s: float | None = 0.0
        self.waiting: dict[int, 'Request'] = {}
        self.holder.load_members(model.members, self.now)
        self.unanswering: frozenset[str] = frozenset()
        self.load_servers()

    @property
    def now(self) -> datetime.timedelta:
        """Return the model's time."""
        return datetime.timedelta(seconds=self._model.now_s)

    def load_servers(self) -> None:
        """Load the model's configuration."""
        self.holder.load_servers(self._model.configuration, self.now)

    def replace_holder(self, lost: str, gap_s: float) -> None:
        """Lose the holder, an entry instance too, and find another later."""
        self.since_s = None
        self.unanswering = frozenset((lost,))
        self._model.at(self._model.now_s + gap_s, self._begin)

    def _begin(self) -> None:
        self.since_s = self._model.now_s

    @property
    def lease(self) -> Lease | None:
        """Return the current lease."""
        if self.since_s is None:
            return None
        since = datetime.timedelta(seconds=self.since_s)
        return Lease('pool', since, self.now + datetime.timedelta(seconds=8))

    def ask(self, request: 'Request') -> None:
        """Ask for a permit and pass the answer on, now or later."""
        message = messages.TakePermit(
            'app',
            self.domain,
            request.request_id,
            request.customer,
            request.deadline_s - self._model.now_s,
            request.excluded,
            request.probe_ok,
        )
        reply = self.holder.request_permit(
            message, request.instance, self.lease, self.now
        )
        if isinstance(reply, pools.Queued):
            self.waiting[reply.ticket] = request
            self._resolve(self.holder.advance(self.lease, self.now))
        else:
            self._model.take_reply(self, request, reply)

    def report(self, request: 'Request', report: Any) -> None:
        """Deliver the report of a finished request."""
        self._resolve(
            self.holder.finish_permit(
                report, request.instance, self.lease, self.now
            )
        )

    def tick(self) -> None:
        """Advance the holder and answer its survey."""
        for member in self.holder.list_unsurveyed(self.lease, self.now):
            if member not in self.unanswering:
                reply = self._model.survey(self, member)
                self._resolve(
                    self.holder.take_survey(
                        member, reply, self.lease, self.now
                    )
                )
        self._resolve(self.holder.advance(self.lease, self.now))

    def exchange(self, others: Iterable['HolderPool']) -> None:
        """Take the summaries of the other domains' holders."""
        for other in others:
            if other is not self and other.since_s is not None:
                self.holder.take_summary(
                    other.domain, other.holder.summarize(self.now), self.now
                )

    def list_states(self) -> dict[str, str]:
        """Return each server's state."""
        rows = self.holder.status(self.lease, self.now)
        return {row.server: row.state for row in rows}

    def _resolve(self, answers: tuple[pools.Resolved, ...]) -> None:
        for answer in answers:
            request = self.waiting.pop(answer.ticket)
            self._model.take_reply(self, request, answer.reply)


class Request:
    """Hold a caller's request."""

    __slots__ = (
        'request_id',
        'customer',
        'instance',
        'domains',
        'deadline_s',
        'probe_ok',
        'excluded',
        'permit',
    )

    def __init__(self, model: 'Model', customer: str, instance: int):
        self.request_id = str(model.next_id())
        self.customer = customer
        self.instance = f'i{instance}'
        own = f'd{instance % model.size.domains}'
        others = [name for name in model.domains if name != own]
        model.random.shuffle(others)
        self.domains = [own, *others]
        self.deadline_s = model.now_s + model.deadline_s
        self.probe_ok = model.random.random() < 0.8
        self.excluded: tuple[str, ...] = ()
        self.permit: tuple[Any, Server, float, float] | None = None


class Model:
    """Run arrivals, backend servers and deciders in simulated time.

    Each pool has the methods ask, report and tick of HolderPool.
    """

    def __init__(
        self,
        size: Size,
        seed: int,
        make_pool: Callable[['Model', str], Any] = HolderPool,
        floor_fraction: float = 0.5,
        deadline_s: float = 2.0,
    ):
        self.size, self.seed, self.deadline_s = size, seed, deadline_s
        self.random = random_module.Random(seed)
        self.now_s = 100.0
        self.members = frozenset(f'i{n}' for n in range(size.instances))
        self.configuration = make_configuration(size, floor_fraction)
        self.domains = [f'd{n}' for n in range(size.domains)]
        self.servers = {
            name: Server(server, size.service_s, self.random)
            for name, server in self.configuration.servers.items()
        }
        self.weights = dict(CUSTOMERS)
        self.paused: dict[str, float] = {}
        self.running: dict[str, Request] = {}
        self.results: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._ticks = 0
        self.pools = {name: make_pool(self, name) for name in self.domains}
        self.at(self.now_s, self._tick)
        self.at(self.now_s, self._arrive)

    def load(self, loaded: configuration.Configuration) -> None:
        """Give every pool a new configuration."""
        self.configuration = loaded
        for pool in self.pools.values():
            pool.load_servers()

    def pause_servers(self, mean_s: float, pause_s: float) -> None:
        """Pause every server for a short time again and again."""
        for server in self.servers.values():
            gap_s = self.random.expovariate(1 / mean_s)
            self.at(self.now_s + gap_s, self._pause, server, mean_s, pause_s)

    def _pause(self, server: Server, mean_s: float, pause_s: float) -> None:
        server.pause_until_s = self.now_s + pause_s
        server.paused_s += pause_s
        gap_s = pause_s + self.random.expovariate(1 / mean_s)
        self.at(self.now_s + gap_s, self._pause, server, mean_s, pause_s)

    @property
    def rate_per_s(self) -> float:
        """Return the usual arrivals over all pools."""
        slots = self.size.slots * self.size.servers
        mean_s = self.size.service_s * 1.133  # exp(SIGMA**2 / 2)
        return self.size.load * slots / mean_s

    def next_id(self) -> int:
        """Return a number not used before."""
        self._sequence += 1
        return self._sequence

    def at(self, when_s: float, action: Callable[..., None], *values) -> None:
        """Run an action at a simulated time."""
        heapq.heappush(self._events, (when_s, self.next_id(), action, values))

    def run(
        self, seconds: float, is_done: Callable[[], bool] | None = None
    ) -> bool:
        """Run for a time or until `is_done`, and tell whether it was."""
        end_s = self.now_s + seconds
        while self._events[0][0] <= end_s:
            self.now_s, _, action, values = heapq.heappop(self._events)
            action(*values)
            if is_done and action == self._tick and is_done():
                return True
        self.now_s = end_s
        return False

    def survey(self, pool: Any, member: str) -> messages.SurveyReply:
        """Return the permits that a member has in use at a pool."""
        return messages.SurveyReply(
            tuple(
                messages.SurveyPermit(
                    permit_id,
                    request.permit[1].name,
                    request.deadline_s - self.now_s,
                )
                for permit_id, request in self.running.items()
                if request.instance == member
                and request.permit[1].published.domain == pool.domain
            )
        )

    def take_reply(self, pool: Any, request: Request, reply: Any) -> None:
        """Start a granted request, or ask the next pool."""
        match reply:
            case messages.PermitGrant():
                # Instances check again just before they start a request.
                last_s = (
                    self.now_s + pools.PoolTerms().start_within.total_seconds()
                )
                self.at(
                    self.now_s + HOP_S,
                    self._start,
                    pool,
                    request,
                    reply,
                    last_s,
                )
            case messages.PermitDenial() if len(request.domains) > 1:
                del request.domains[0]
                self.at(self.now_s + HOP_S, self._ask, request)
            case messages.PermitDenial():
                self.results[request.customer, reply.code] += 1

    def _tick(self) -> None:
        for pool in self.pools.values():
            pool.tick()
        self._ticks += 1
        if self._ticks % SUMMARY_TICKS == 0:
            for pool in self.pools.values():
                pool.exchange(self.pools.values())
        self.at(self.now_s + TICK_S, self._tick)

    def _arrive(self) -> None:
        total = sum(self.weights.values()) / 100
        rate = self.rate_per_s * total
        self.at(self.now_s + self.random.expovariate(rate), self._arrive)
        (customer,) = self.random.choices(
            tuple(self.weights), tuple(self.weights.values())
        )
        instance = self.random.randrange(self.size.instances)
        if self.paused.get(f'i{instance}', 0.0) > self.now_s:
            return
        self._ask(Request(self, customer, instance))

    def _ask(self, request: Request) -> None:
        if self._defer(request, self._ask, request):
            return
        self.pools[request.domains[0]].ask(request)

    def _defer(self, request: Request, action, *values) -> bool:
        """Move an action of a paused instance to its resumption."""
        resume_s = self.paused.get(request.instance, 0.0)
        if resume_s > self.now_s:
            self.at(resume_s, action, *values)
            return True
        return False

    def _start(self, pool: Any, request: Request, grant, last_s) -> None:
        if self._defer(request, self._start, pool, request, grant, last_s):
            return
        server = self.servers[grant.server]
        remaining_s = request.deadline_s - self.now_s
        if remaining_s <= 0 or self.now_s > last_s:
            self._report(pool, request, grant, 'unused', 0.0)
            return
        outcome, took_s = server.run(self.now_s, remaining_s)
        request.permit = (grant, server, self.now_s, server.paused_s)
        self.running[grant.permit_id] = request
        self.at(self.now_s + took_s, self._finish, pool, request, outcome)

    def _finish(self, pool: Any, request: Request, outcome: str) -> None:
        grant, server, started_s, paused_s = request.permit
        if server.paused_s > paused_s:
            # The server paused while the request was running.
            request.permit = (grant, server, started_s, server.paused_s)
            later_s = self.now_s + server.paused_s - paused_s
            self.at(later_s, self._finish, pool, request, outcome)
            return
        server.finish(outcome)
        if outcome == 'shed' and len(request.excluded) < MOST_RETRIES:
            # The server says that it did not run the request.
            retry = Request(self, request.customer, int(request.instance[1:]))
            retry.deadline_s = request.deadline_s
            retry.excluded = (*request.excluded, server.name)
            self.at(self.now_s + HOP_S, self._ask, retry)
        else:
            self.results[request.customer, outcome] += 1
        self.at(
            self.now_s + HOP_S,
            self._deliver,
            pool,
            request,
            grant,
            outcome,
            started_s,
        )

    def _deliver(
        self, pool: Any, request: Request, grant, outcome, started_s
    ) -> None:
        if self._defer(
            request, self._deliver, pool, request, grant, outcome, started_s
        ):
            return
        del self.running[grant.permit_id]
        latency_s = self.now_s - HOP_S - started_s
        self._report(pool, request, grant, outcome, latency_s)

    def _report(
        self, pool: Any, request: Request, grant, outcome, latency_s
    ) -> None:
        report = messages.PermitReport(
            grant.permit_id, grant.server, outcome, latency_s
        )
        pool.report(request, report)
