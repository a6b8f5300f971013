"""Which backend server runs a request, and which requests wait or go.

The holder of a service's pool counts the requests of the whole fleet at each
server. A request gets a free slot at the soundest server, else it waits in
a short queue; what cannot be served in time is refused at once.

Load patterns: a surge of all callers (the queue serves the urgent first, and
among equals those that can still be on time); servers slow or gone (the
expected wait grows with the slots that are left, so refusals begin at once);
cold servers that return together (each gets no more than it bears).
"""

from collections.abc import Callable
import datetime
import itertools
from typing import NamedTuple
import zlib

from cranberryscale.process import dispatch_requests
from cranberryscale.process import health
from cranberryscale.process import load_statistics
from cranberryscale.process import retry_budgets
from cranberryscale.process import server_ranking
from cranberryscale.process import tracked_servers
from cranberryscale.version import configuration


__all__ = ['ServerPool']

ZERO = datetime.timedelta(0)
# A waiting instance asks again before this; otherwise it is gone.
RENEW_WITHIN = datetime.timedelta(milliseconds=600)
QUEUE_LIMIT = 512
RETRY_MIN = datetime.timedelta(milliseconds=100)
# Above this use of capacity arrivals count as a surge.
LATE_USE = 0.95
# Above this use of the good servers' capacity doubted ones are used as well.
RISK_USE = 0.95
# Part of the time left that a late request may wait for those ahead of it;
# new ones that can be on time overtake it meanwhile.
LATE_SHARE = 0.6
SURGE_SHARE = 0.4


class _Running(NamedTuple):
    server: str
    sender: str
    kind: datetime.timedelta
    until: datetime.timedelta
    is_repeat: bool


class _Waiting:
    def __init__(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ):
        self.ask = ask
        self.due = now + ask.target - ask.waited
        self.until = now + ask.remaining
        self.renewed = now

    def describe(
        self, now: datetime.timedelta
    ) -> dispatch_requests.DispatchRequest:
        """Return the question as it would be asked now."""
        waited = self.ask.target - (self.due - now)
        return self.ask._replace(waited=waited, remaining=self.until - now)


class ServerPool:
    """Coordinate those servers of one service for which `covers` holds."""

    def __init__(
        self,
        service: str,
        budget: retry_budgets.RetryBudget,
        covers: Callable[[configuration.BackendServer], bool] | None = None,
    ):
        self.service = service
        self._budget = budget
        self._covers = covers or (lambda server: server.service == service)
        self._choice = server_ranking.ServerRanker(service, budget)
        self._running: dict[int, _Running] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[
            str, tuple[dispatch_requests.DispatchPermit, datetime.timedelta]
        ] = {}
        self._denied: dict[str, dispatch_requests.DispatchDenial] = {}
        self._latencies = load_statistics.LatencyEstimator()
        self._arrivals = load_statistics.ArrivalCounter()
        self._ids = itertools.count(1)

    def load_servers(self, published: configuration.Configuration) -> None:
        """Take the servers in use; what is known of the others is lost."""
        self._choice.terms = published.services.get(
            self.service, self._choice.terms
        )
        loaded = {}
        for entry in published.servers.values():
            if published.is_server_out(entry) or not self._covers(entry):
                continue
            known = self._choice.known.get(entry.name)
            if known is None or known.entry.started_ms != entry.started_ms:
                known = tracked_servers.TrackedServer(entry)
            known.entry = entry
            loaded[entry.name] = known
        self._choice.known = loaded

    @property
    def queue_length(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def running_count(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    def list_ejected(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the servers that are out of use."""
        return tuple(
            name
            for name, server in self._choice.known.items()
            if server.health.classify(now) == health.HealthState.OUT
        )

    def describe_health(self, name: str, now: datetime.timedelta) -> str:
        """Return what is thought of a server, for the log."""
        server = self._choice.known.get(name)
        return server.health.classify(now).name.lower() if server else ''

    def request_permit(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> dispatch_requests.DispatchResult:
        """Return a permit, a refusal or a place in the queue.

        Asking again with the same request id keeps the place.
        """
        granted = self._granted.pop(ask.request_id, None)
        if granted is not None:
            return granted[0]
        denied = self._denied.pop(ask.request_id, None)
        if denied is not None:
            return denied
        known = self._waiting.get(ask.request_id)
        if known is not None:
            known.renewed = now
            return dispatch_requests.QueuePlace()
        return self._admit(ask, now)

    def _admit(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> dispatch_requests.DispatchResult:
        self._expire(now)
        if not any(self._choice.list_usable(ask, now)):
            return dispatch_requests.DispatchDenial(
                'no_backend_server', max(RETRY_MIN, ask.target / 4)
            )
        self._choice.record_arrival(ask, now)
        if not ask.may_wait:
            return self._offer(ask, now)
        if not self._count(ask, now):
            return dispatch_requests.DispatchDenial(
                'repeats_spent', ask.target
            )
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            server = self._choose(ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None:
            # An uncertain answer is better than none.
            server = self._choice.pick_any(ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            if ask.is_repeat:
                self._budget.give_back()
            return dispatch_requests.DispatchDenial(
                'pool_busy', self._find_retry(ask)
            )
        self._waiting[ask.request_id] = waiting
        return dispatch_requests.QueuePlace()

    def _count(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> bool:
        """Count an arrival; return False if it may not be repeated."""
        self._arrivals.note(ask.priority, now)
        if ask.is_repeat:
            return self._budget.take(now)
        if ask.is_new:
            self._budget.record_first_attempt(now)
        return True

    def _offer(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> dispatch_requests.DispatchResult:
        """Return a permit for a good server, or what waiting would bring."""
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            server = self._choice.pick_healthy(ask, now)
            if server is not None:
                if not self._count(ask, now):
                    return dispatch_requests.DispatchDenial(
                        'repeats_spent', ask.target
                    )
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            return dispatch_requests.DispatchDenial(
                'pool_busy', self._find_retry(ask)
            )
        return dispatch_requests.QueuePlace(
            wait, self._choice.grade_best_server(ask, now)
        )

    def _grant(
        self,
        ask: dispatch_requests.DispatchRequest,
        server: tracked_servers.TrackedServer,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchPermit:
        permit = dispatch_requests.DispatchPermit(
            next(self._ids),
            server.entry.name,
            self._latencies.find_first_byte_timeout(ask.target),
        )
        server.running[permit.permit_id] = now
        server.starts.append(now)
        self._running[permit.permit_id] = _Running(
            server.entry.name,
            ask.sender,
            ask.target,
            now + ask.remaining,
            ask.is_repeat,
        )
        return permit

    def finish_permit(
        self,
        permit_id: int,
        outcome: str,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Take a permit back and learn from how the request ended.

        `outcome` is "ok", "unused", "cancelled", "shed", "refused" (no
        connection) or one of health.FAILURE_OUTCOMES.
        """
        running = self._running.pop(permit_id, None)
        if running is None:
            return
        server = self._choice.known.get(running.server)
        if server is not None:
            had_room = len(server.running) <= max(1, server.entry.slots // 2)
            server.running.pop(permit_id, None)
            self._learn(server, running, outcome, latency, had_room, now)
        self.advance(now)

    def _learn(
        self,
        server: tracked_servers.TrackedServer,
        running: _Running,
        outcome: str,
        latency: datetime.timedelta,
        had_room: bool,
        now: datetime.timedelta,
    ) -> None:
        match outcome:
            case 'ok':
                usual = self._latencies.estimate_latency(running.kind)
                server.health.record_success(
                    latency / usual, now, now - latency
                )
                self._latencies.note(running.kind, latency)
            case 'refused':
                server.health.record_connect_failure(running.sender, now)
            case 'shed':
                server.health.record_shed(had_room, now)
            case _ if outcome in health.FAILURE_OUTCOMES:
                server.health.record_failure(outcome, now)
        if running.is_repeat and outcome in ('unused', 'refused'):
            self._budget.give_back()

    def advance(self, now: datetime.timedelta) -> None:
        """Give free slots to those that wait, and refuse the hopeless."""
        self._expire(now)
        if not self._waiting:
            return
        for waiting in tuple(self._waiting.values()):
            self._drop_hopeless(waiting, now)
        for waiting in sorted(
            self._waiting.values(), key=lambda w: self._find_place(w, now)
        ):
            if not any(s.has_free_slot for s in self._choice.known.values()):
                return
            ask = waiting.describe(now)
            server = self._choose(ask, now)
            if server is not None:
                del self._waiting[ask.request_id]
                permit = self._grant(ask, server, now)
                self._granted[ask.request_id] = (permit, now)

    def _drop_hopeless(
        self, waiting: _Waiting, now: datetime.timedelta
    ) -> None:
        ask = waiting.ask
        if now - waiting.renewed > RENEW_WITHIN:
            # The instance that waited is gone.
            del self._waiting[ask.request_id]
        elif (
            waiting.until - now
            < self._latencies.estimate_latency(ask.target) / 2
        ):
            self._deny(ask, RETRY_MIN)
        elif ask.is_new and self._choice.grade_best_server(ask, now):
            # Another queue may still have good servers.
            self._deny(ask, RETRY_MIN)

    def _deny(
        self,
        ask: dispatch_requests.DispatchRequest,
        retry_after: datetime.timedelta,
    ) -> None:
        del self._waiting[ask.request_id]
        self._denied[ask.request_id] = dispatch_requests.DispatchDenial(
            'pool_busy', retry_after
        )

    @property
    def has_results(self) -> bool:
        """Tell whether requests that waited have an answer."""
        return bool(self._granted or self._denied)

    def _expire(self, now: datetime.timedelta) -> None:
        over = [i for i, run in self._running.items() if now >= run.until]
        for permit_id in over:
            self._release(permit_id)
        unclaimed = [
            (request_id, permit.permit_id)
            for request_id, (permit, at) in self._granted.items()
            if now - at > RENEW_WITHIN
        ]
        for request_id, permit_id in unclaimed:
            del self._granted[request_id]
            self._release(permit_id)
        if len(self._denied) > QUEUE_LIMIT:
            self._denied.clear()

    def _release(self, permit_id: int) -> None:
        running = self._running.pop(permit_id, None)
        if running is not None and running.server in self._choice.known:
            self._choice.known[running.server].running.pop(permit_id, None)

    def _find_place(self, waiting: _Waiting, now: datetime.timedelta):
        # The urgent first; among equals, those that can still be on time.
        usual = self._latencies.estimate_latency(waiting.ask.target)
        is_late = now + usual > waiting.due
        return (waiting.ask.priority, is_late, waiting.due)

    def _count_ahead(self, waiting: _Waiting) -> int:
        place = (waiting.ask.priority, waiting.due)
        return sum(
            (other.ask.priority, other.due) < place
            for other in self._waiting.values()
        )

    def _choose(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> tracked_servers.TrackedServer | None:
        """Return the server to use now, None to wait for one."""
        chosen = self._choice.pick_usable(ask, now)
        if chosen is None and self._may_risk(ask, now):
            return self._choice.pick_unhealthy(ask, now)
        return chosen

    def _may_risk(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> bool:
        """Tell whether a doubted server is better than to wait.

        What runs once is lost where the server fails it, so it waits for a
        good one while it can still be on time and these keep up.
        """
        usual = self._latencies.estimate_latency(ask.target)
        if not self._choice.is_risk_averse(ask):
            return True
        if ask.waited + usual >= ask.target:
            return True
        capacity = self._find_capacity(ask, now)
        return (
            self._arrivals.find_rate(ask.priority, now) > capacity * RISK_USE
        )

    def _find_capacity(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> float:
        """Return how many requests a second the usable servers complete."""
        slots = sum(s.entry.slots for s in self._choice.list_usable(ask, now))
        busy = [
            self._latencies.estimate_latency(run.kind)
            for run in self._running.values()
        ]
        usual = sum(busy, ZERO) / len(busy) if busy else None
        usual = usual or self._latencies.estimate_latency(ask.target)
        return slots / usual.total_seconds()

    def _estimate_wait(
        self, waiting: _Waiting, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return when a slot is free, or None if that is too late.

        A request that can be on time waits for those ahead of it and for
        the more urgent ones that arrive meanwhile. One that will be late is
        served from what all others leave. While arrivals take up the
        capacity only few such wait, for when the surge ends.
        """
        ask = waiting.ask
        usual = self._latencies.estimate_latency(ask.target)
        capacity = self._find_capacity(ask, now)
        ahead = self._count_ahead(waiting) + 1
        spare = capacity - self._arrivals.find_rate(ask.priority - 1, now)
        if spare <= 0:
            return None
        wait = datetime.timedelta(seconds=ahead / spare)
        if now + wait + usual <= waiting.due:
            return wait
        ahead = len(self._waiting) + 1
        wait = datetime.timedelta(seconds=ahead / spare)
        is_surge = (
            self._arrivals.find_rate(ask.priority, now) > capacity * LATE_USE
        )
        spare_time = ask.remaining - usual
        limit = spare_time * (SURGE_SHARE if is_surge else LATE_SHARE)
        return wait if wait <= limit else None

    def _find_retry(
        self, ask: dispatch_requests.DispatchRequest
    ) -> datetime.timedelta:
        """Return when to come back: after what waits now, spread evenly.

        Requests refused together must not come back together, so the
        pause is drawn from the request's id.
        """
        draw = zlib.crc32(ask.request_id.encode()) / 2**32
        usual = self._latencies.estimate_latency(ask.target)
        return max(RETRY_MIN, usual * (0.5 + draw))
