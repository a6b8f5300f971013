"""Discrete event simulation of instances that use pools of backend servers.

Permits are decided by the production code. Time, network and backend servers
are simulated in one thread from a seed.
"""

import collections
from collections.abc import Callable
import heapq
import random as random_module
from typing import Any

from cranberryscale import messages
from cranberryscale.process.leased import pools
from cranberryscale.version import configuration
from cranberryscale_bench import holder_pool
from cranberryscale_bench import simulated_servers


__all__ = ['HolderPool', 'PoolSimulation', 'SimulatedServer', 'ServiceProfile']

HOP_S = simulated_servers.HOP_S
HolderPool = holder_pool.HolderPool
SimulatedServer = simulated_servers.SimulatedServer
ServiceProfile = simulated_servers.ServiceProfile

ADVANCE_INTERVAL_S = 0.05
ADVANCES_PER_SUMMARY = 20
MAX_RETRIES = 2
CUSTOMERS = (('a', 25), ('b', 25), ('c', 20), ('d', 10))
CUSTOMERS += (('e', 8), ('f', 6), ('g', 4), ('h', 2))


class SimulatedRequest:
    """Request of a caller, with the pools that it may still ask.

    `permit` is (grant, server, start time, `paused_s` of the server when the
    end was last scheduled) while the request runs; times are in seconds.
    """

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

    def __init__(
        self, simulation: 'PoolSimulation', customer: str, instance: int
    ):
        self.request_id = str(simulation.allocate_id())
        self.customer = customer
        self.instance = f'i{instance}'
        own_domain = f'd{instance % simulation.profile.domains}'
        others = [name for name in simulation.domains if name != own_domain]
        simulation.random.shuffle(others)
        self.domains = [own_domain, *others]
        self.deadline_s = simulation.now_s + simulation.deadline_s
        self.probe_ok = simulation.random.random() < simulation.probe_ratio
        self.excluded: tuple[str, ...] = ()
        self.permit: tuple[Any, SimulatedServer, float, float] | None = None


class PoolSimulation:
    """Simulation of arrivals, backend servers and one pool per domain.

    `make_pool` makes objects with the public methods of HolderPool.
    """

    def __init__(
        self,
        profile: ServiceProfile,
        seed: int,
        make_pool: Callable[['PoolSimulation', str], Any] = HolderPool,
        floor_fraction: float = 0.5,
        deadline_s: float = 2.0,
    ):
        self.profile, self.seed, self.deadline_s = profile, seed, deadline_s
        self.random = random_module.Random(seed)
        self.now_s = 100.0
        self.members = frozenset(f'i{n}' for n in range(profile.instances))
        self.configuration = simulated_servers.make_configuration(
            profile, floor_fraction
        )
        self.domains = [f'd{n}' for n in range(profile.domains)]
        self.servers = {
            name: SimulatedServer(server, profile.service_s, self.random)
            for name, server in self.configuration.servers.items()
        }
        self.customer_weights = dict(CUSTOMERS)
        self.probe_ratio = 0.8
        self.paused_until_s: dict[str, float] = {}
        self.running_requests: dict[str, SimulatedRequest] = {}
        self.outcome_counts = collections.Counter[tuple[str, str]]()
        self._events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self._last_id = 0
        self._advance_count = 0
        self.pools = {name: make_pool(self, name) for name in self.domains}
        for callback in (self._advance_pools, self._handle_arrival):
            self.schedule(self.now_s, callback)

    def load_configuration(self, loaded: configuration.Configuration) -> None:
        """Load a new configuration into every pool."""
        self.configuration = loaded
        for pool in self.pools.values():
            pool.load_servers()

    def pause_servers(self, mean_interval_s: float, pause_s: float) -> None:
        """Pause every server repeatedly, at exponential intervals."""
        for server in self.servers.values():
            gap_s = self.random.expovariate(1 / mean_interval_s)
            self.schedule(
                self.now_s + gap_s,
                self._pause_server,
                server,
                mean_interval_s,
                pause_s,
            )

    def _pause_server(
        self, server: SimulatedServer, mean_interval_s: float, pause_s: float
    ) -> None:
        server.paused_until_s = self.now_s + pause_s
        server.paused_s += pause_s
        gap_s = pause_s + self.random.expovariate(1 / mean_interval_s)
        self.schedule(
            self.now_s + gap_s,
            self._pause_server,
            server,
            mean_interval_s,
            pause_s,
        )

    @property
    def rate_per_s(self) -> float:
        """Return the arrival rate over all pools if the weights total 100."""
        slots = self.profile.slots * self.profile.servers
        mean_s = (
            self.profile.service_s * simulated_servers.MEAN_TO_MEDIAN_RATIO
        )
        return self.profile.load_ratio * slots / mean_s

    def list_domain_servers(self, domain: str) -> list[SimulatedServer]:
        """Return the servers of a failure domain."""
        return [
            server
            for server in self.servers.values()
            if server.published.domain == domain
        ]

    def allocate_id(self) -> int:
        """Return a unique number."""
        self._last_id += 1
        return self._last_id

    def schedule(
        self, at_s: float, callback: Callable[..., None], *values
    ) -> None:
        """Call `callback(*values)` at a simulated time."""
        heapq.heappush(
            self._events, (at_s, self.allocate_id(), callback, values)
        )

    def run(
        self, seconds: float, is_done: Callable[[], bool] | None = None
    ) -> bool:
        """Simulate some seconds, or until `is_done`; return whether it was."""
        end_s = self.now_s + seconds
        while self._events[0][0] <= end_s:
            self.now_s, _, callback, values = heapq.heappop(self._events)
            callback(*values)
            if is_done and callback == self._advance_pools and is_done():
                return True
        self.now_s = end_s
        return False

    def make_survey_reply(
        self, pool: Any, member: str
    ) -> messages.SurveyReply:
        """Return the permits of a pool that a member has in use."""
        return messages.SurveyReply(
            tuple(
                messages.SurveyPermit(
                    permit_id,
                    request.permit[1].name,
                    request.deadline_s - self.now_s,
                )
                for permit_id, request in self.running_requests.items()
                if request.instance == member
                and request.permit[1].published.domain == pool.domain
            )
        )

    def handle_permit_reply(
        self, pool: Any, request: SimulatedRequest, reply: Any
    ) -> None:
        """Start a granted request, ask the next pool, or count the denial."""
        match reply:
            case messages.PermitGrant():
                # Instances check this time again just before the start.
                start_before_s = (
                    self.now_s
                    + pools.PoolTiming().start_within.total_seconds()
                )
                self.schedule(
                    self.now_s + HOP_S,
                    self._start_request,
                    pool,
                    request,
                    reply,
                    start_before_s,
                )
            case messages.PermitDenial() if len(request.domains) > 1:
                del request.domains[0]
                self.schedule(self.now_s + HOP_S, self._ask_permit, request)
            case messages.PermitDenial():
                self.outcome_counts[request.customer, reply.code] += 1

    def _advance_pools(self) -> None:
        for pool in self.pools.values():
            pool.run_due_work()
        self._advance_count += 1
        if self._advance_count % ADVANCES_PER_SUMMARY == 0:
            for pool in self.pools.values():
                pool.exchange_summaries(self.pools.values())
        self.schedule(self.now_s + ADVANCE_INTERVAL_S, self._advance_pools)

    def _handle_arrival(self) -> None:
        total = sum(self.customer_weights.values()) / 100
        rate = self.rate_per_s * total
        self.schedule(
            self.now_s + self.random.expovariate(rate), self._handle_arrival
        )
        (customer,) = self.random.choices(
            tuple(self.customer_weights), tuple(self.customer_weights.values())
        )
        instance = self.random.randrange(self.profile.instances)
        if self.paused_until_s.get(f'i{instance}', 0.0) > self.now_s:
            return
        self._ask_permit(SimulatedRequest(self, customer, instance))

    def _ask_permit(self, request: SimulatedRequest) -> None:
        if self._defer_if_paused(request, self._ask_permit, request):
            return
        self.pools[request.domains[0]].ask_permit(request)

    def _defer_if_paused(
        self, request: SimulatedRequest, callback, *values
    ) -> bool:
        """Call back when the instance resumes; return whether it is paused."""
        resume_s = self.paused_until_s.get(request.instance, 0.0)
        if resume_s > self.now_s:
            self.schedule(resume_s, callback, *values)
            return True
        return False

    def _start_request(
        self, pool: Any, request: SimulatedRequest, grant, start_before_s
    ) -> None:
        if self._defer_if_paused(
            request, self._start_request, pool, request, grant, start_before_s
        ):
            return
        server = self.servers[grant.server]
        remaining_s = request.deadline_s - self.now_s
        if remaining_s <= 0 or self.now_s > start_before_s:
            self._report_permit(pool, request, grant, 'unused', 0.0)
            return
        outcome, duration_s = server.start_request(self.now_s, remaining_s)
        request.permit = (grant, server, self.now_s, server.paused_s)
        self.running_requests[grant.permit_id] = request
        self.schedule(
            self.now_s + duration_s,
            self._finish_request,
            pool,
            request,
            outcome,
        )

    def _finish_request(
        self, pool: Any, request: SimulatedRequest, outcome: str
    ) -> None:
        grant, server, started_s, paused_s = request.permit
        if server.paused_s > paused_s:
            # The server paused meanwhile, which delays the response.
            request.permit = (grant, server, started_s, server.paused_s)
            later_s = self.now_s + server.paused_s - paused_s
            self.schedule(
                later_s, self._finish_request, pool, request, outcome
            )
            return
        server.finish_request(outcome)
        if outcome == 'shed' and len(request.excluded) < MAX_RETRIES:
            # The server has not run a shed request, so a retry is safe.
            retry = SimulatedRequest(
                self, request.customer, int(request.instance[1:])
            )
            retry.deadline_s = request.deadline_s
            retry.excluded = (*request.excluded, server.name)
            self.schedule(self.now_s + HOP_S, self._ask_permit, retry)
        else:
            self.outcome_counts[request.customer, outcome] += 1
        self.schedule(
            self.now_s + HOP_S,
            self._deliver_answer,
            pool,
            request,
            grant,
            outcome,
            started_s,
        )

    def _deliver_answer(
        self, pool: Any, request: SimulatedRequest, grant, outcome, started_s
    ) -> None:
        if self._defer_if_paused(
            request,
            self._deliver_answer,
            pool,
            request,
            grant,
            outcome,
            started_s,
        ):
            return
        del self.running_requests[grant.permit_id]
        latency_s = self.now_s - HOP_S - started_s
        self._report_permit(pool, request, grant, outcome, latency_s)

    def _report_permit(
        self, pool: Any, request: SimulatedRequest, grant, outcome, latency_s
    ) -> None:
        report = messages.PermitReport(
            grant.permit_id, grant.server, outcome, latency_s
        )
        pool.report_permit(request, report)
