"""Event-driven model of the instances that use pools of backend servers.

Only the decisions are real; time, network and backend servers are simulated
in one thread from a seed.
"""

import collections
from collections.abc import Callable
import heapq
import random as random_module
from typing import Any

from cranberryscale import messages
from cranberryscale.process import pools
from cranberryscale.version import configuration
from cranberryscale_bench import backend_model
from cranberryscale_bench import holder_model


__all__ = ['HolderPool', 'Model', 'Server', 'Size']

HOP_S = backend_model.HOP_S
HolderPool = holder_model.HolderPool
Server = backend_model.Server
Size = backend_model.Size

TICK_S = 0.05
SUMMARY_TICKS = 20
MOST_RETRIES = 2
CUSTOMERS = (('a', 25), ('b', 25), ('c', 20), ('d', 10))
CUSTOMERS += (('e', 8), ('f', 6), ('g', 4), ('h', 2))


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
        self.probe_ok = model.random.random() < model.probe_ratio
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
        self.configuration = backend_model.make_configuration(
            size, floor_fraction
        )
        self.domains = [f'd{n}' for n in range(size.domains)]
        self.servers = {
            name: Server(server, size.service_s, self.random)
            for name, server in self.configuration.servers.items()
        }
        self.weights = dict(CUSTOMERS)
        self.probe_ratio = 0.8
        self.paused: dict[str, float] = {}
        self.running: dict[str, Request] = {}
        self.results = collections.Counter[tuple[str, str]]()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._sequence = 0
        self._ticks = 0
        self.pools = {name: make_pool(self, name) for name in self.domains}
        for action in (self._tick, self._arrive):
            self.at(self.now_s, action)

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
        mean_s = self.size.service_s * backend_model.MEAN_FACTOR
        return self.size.load * slots / mean_s

    def list_domain(self, domain: str) -> list[Server]:
        """Return the servers of a failure domain."""
        return [
            server
            for server in self.servers.values()
            if server.published.domain == domain
        ]

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
                    self.now_s
                    + pools.PoolTiming().start_within.total_seconds()
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
