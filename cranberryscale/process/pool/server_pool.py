"""Dispatch of the requests for one pool of backend servers.

The holder of a pool counts the requests that the whole fleet runs at each
server. A request gets a free slot at the best server, or waits in a short
queue; a request that cannot be served in time is denied at once.

Load patterns: a surge from all callers (the queue is ordered by priority, and
within a priority requests that can still meet their target go first); slow or
missing servers (the expected wait grows as slots disappear, so denials begin
at once); cold servers that return together (each gets no more requests a
second than it can take while it warms up); servers that name a limit (see
server_limits; requests that find no other server are refused at once, with
the time at which the limits have room for them).
"""

import collections
from collections.abc import Callable
import datetime
import heapq
import itertools
from typing import NamedTuple

from cranberryscale.process import fleet_buckets
from cranberryscale.process.pool import customer_work
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import health
from cranberryscale.process.pool import load_statistics
from cranberryscale.process.pool import refusals
from cranberryscale.process.pool import request_queue
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import return_schedule
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_ranking
from cranberryscale.process.pool import server_statements
from cranberryscale.process.pool import tracked_servers
from cranberryscale.process.pool import work_estimates
from cranberryscale.version import configuration


__all__ = ['ServerPool']

ZERO = datetime.timedelta(0)
SECOND = datetime.timedelta(seconds=1)
# An instance asks for its queued request within this time; one that does not
# is gone.
QUEUE_TIMEOUT = datetime.timedelta(milliseconds=900)
# It is told when there is a result, and collects it within this time.
COLLECT_TIMEOUT = datetime.timedelta(milliseconds=600)
QUEUE_LIMIT = 512
SHARES_INTERVAL = datetime.timedelta(milliseconds=100)
# How often it is decided anew whether queued requests can still be served.
REVIEW_INTERVAL = datetime.timedelta(milliseconds=20)
# Denials of requests for which a server of another shard may have room.
NO_ROOM_CODES = frozenset(('no_backend_server', 'pool_busy', 'pool_limited'))
# Above this utilization of the healthy servers, unhealthy ones are used as
# well.
UNHEALTHY_UTILIZATION = 0.95


class _RunningRequest(NamedTuple):
    """A request that holds a permit; `kind` is its latency target."""

    request_id: str
    server: str
    sender: str
    kind: datetime.timedelta
    deadline: datetime.timedelta
    is_repeat: bool
    is_overdue: bool = False


def _find_whole_position(
    now: datetime.timedelta,
) -> fleet_buckets.FleetPosition:
    return fleet_buckets.FleetPosition('', 0, 1)


class ServerPool:
    """The backend servers of one service for which `has_server` holds.

    By default the pool consists of all servers of the service.
    """

    def __init__(
        self,
        service: str,
        budget: retry_budgets.RetryBudget,
        has_server: Callable[[configuration.BackendServer], bool]
        | None = None,
        statements: server_statements.StatementTable | None = None,
        find_limit_position: Callable[
            [datetime.timedelta], fleet_buckets.FleetPosition
        ] = _find_whole_position,
    ):
        self.service = service
        self._statements = statements or server_statements.StatementTable()
        self._find_limit_position = find_limit_position
        self._returns = return_schedule.ReturnSchedule()
        self._retry_budget = budget
        self._has_server = has_server or (
            lambda server: server.service == service
        )
        self._ranker = server_ranking.ServerRanker(service, budget)
        self._running: dict[int, _RunningRequest] = {}
        self._granted: dict[
            str, tuple[dispatch_requests.DispatchPermit, datetime.timedelta]
        ] = {}
        self._denied: dict[str, dispatch_requests.DispatchDenial] = {}
        # Requests with a retry for servers of other shards and their
        # deadlines, by permit.
        self._paid: dict[int, tuple[str, datetime.timedelta]] = {}
        self._latencies = load_statistics.LatencyEstimator()
        self._queue = request_queue.RequestQueue()
        self._arrivals = load_statistics.ArrivalCounter()
        self._work = customer_work.CustomerWork()
        self._shares_at = ZERO
        self._permit_ids = itertools.count(1)
        self._reviewed_at = ZERO
        # Queued requests that got a result and whose senders are not told.
        self._notices: collections.deque[dispatch_requests.ResultNotice] = (
            collections.deque(maxlen=QUEUE_LIMIT)
        )

    def load_servers(self, published: configuration.Configuration) -> None:
        """Replace the published servers; drop the state of all others.

        A server that restarted loses its state as well.
        """
        self._ranker.published_service = published.services.get(
            self.service, self._ranker.published_service
        )
        loaded = {}
        for definition in published.servers.values():
            if published.is_server_out(definition) or not self._has_server(
                definition
            ):
                continue
            tracked = self._ranker.tracked.get(definition.name)
            if (
                tracked is None
                or tracked.definition.started_ms != definition.started_ms
            ):
                tracked = tracked_servers.TrackedServer(definition)
            tracked.definition = definition
            loaded[definition.name] = tracked
        self._ranker.tracked = loaded

    def _apply_statements(self, now: datetime.timedelta) -> None:
        """Apply what servers say; refill the buckets of limited servers."""
        for name, server in self._ranker.tracked.items():
            server.is_leaving = self._statements.is_leaving(name)
        rates = self._statements.limits.list_rates()
        limited = [
            server
            for name, server in self._ranker.tracked.items()
            if name in rates or server.limit is not None
        ]
        if not limited:
            return
        position = self._find_limit_position(now)
        for server in limited:
            rate_per_s = rates.get(server.definition.name)
            server.update_limit(rate_per_s, position, now)

    def _is_overdue(
        self,
        permit: dispatch_requests.DispatchPermit,
        granted_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a permit for a limited server comes too late."""
        server = self._ranker.tracked.get(permit.server)
        return (
            server is not None
            and server.limit is not None
            and now - granted_at > server_limits.CLAIM_TIME
        )

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    @property
    def running_count(self) -> int:
        """Return the number of running requests."""
        return len(self._running)

    def list_ejected(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the names of the ejected servers."""
        return tuple(
            name
            for name, server in self._ranker.tracked.items()
            if server.health.classify(now) == health.HealthState.OUT
        )

    def find_server(self, name: str) -> tracked_servers.TrackedServer | None:
        """Return what is tracked of a server, or None."""
        return self._ranker.tracked.get(name)

    def describe_health(self, name: str, now: datetime.timedelta) -> str:
        """Return the health state of a server for the log, "" if unknown."""
        server = self._ranker.tracked.get(name)
        return server.health.classify(now).name.lower() if server else ''

    def describe_work(self, name: str, kind: str) -> dict[str, float]:
        """Return the usual work of a kind and a server's slowness.

        They are log fields, the work in milliseconds. A kind or server that
        is not known has none.
        """
        fields = {}
        known = self._ranker.work.estimator.find_kind(kind)
        if known is not None:
            fields['work_ms'] = round(known.mean_s * 1e3)
        server = self._ranker.tracked.get(name)
        if server is not None:
            fields['slowness'] = round(server.work.slowness, 2)
        return fields

    def describe_retries(self, now: datetime.timedelta) -> dict[str, float]:
        """Return what the retry budget has counted, as log fields."""
        state = self._retry_budget.describe(now)
        return {
            'budget_firsts': state.first_attempts,
            'budget_repeats': state.retries,
            'budget_others': state.others_retries,
            'budget_overdraft': round(state.overdraft, 1),
            'budget_left': round(state.left, 1),
            'budget_age_s': round(state.age.total_seconds(), 1),
        }

    def list_work(
        self,
    ) -> tuple[tuple[str, work_estimates.WorkDistribution], ...]:
        """Return the kinds of requests whose work is known."""
        return self._ranker.work.estimator.list_known()

    def request_permit(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchResult:
        """Return a permit, a denial or a place in the queue.

        Polling with the same request id keeps the place in the queue.
        """
        self._apply_statements(now)
        granted = self._granted.pop(request.request_id, None)
        if granted is not None:
            permit, granted_at = granted
            if not self._is_overdue(permit, granted_at, now):
                return permit
            self.finish_permit(permit.permit_id, 'unused', ZERO, now)
            request = request._replace(is_new=False)
        denied = self._denied.pop(request.request_id, None)
        if denied is not None:
            return denied
        queued = self._queue.get(request.request_id)
        if queued is not None:
            queued.polled_at = now
            return dispatch_requests.QueuePlace()
        return self._pay_retry(request, self._admit(request, now), now)

    def _pay_retry(
        self,
        request: dispatch_requests.DispatchRequest,
        result: dispatch_requests.DispatchResult,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchResult:
        """Grant a retry without a server if this shard has no room for it.

        Otherwise the budget could not be used while all servers of the shard
        fail and those of others have room.
        """
        match result:
            case dispatch_requests.DispatchDenial(code=code) if (
                request.is_repeat
                and not request.is_paid
                and request.can_use_elsewhere
                and not request.may_wait
                and code in NO_ROOM_CODES
                and self._retry_budget.try_spend(request.request_id, now)
            ):
                permit_id = next(self._permit_ids)
                deadline = now + request.remaining
                self._paid[permit_id] = (request.request_id, deadline)
                return result._replace(permit_id=permit_id)
        return result

    def _admit(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchResult:
        self._expire(now)
        if not any(self._ranker.list_usable(request, now)):
            return dispatch_requests.DispatchDenial(
                'no_backend_server',
                max(refusals.MIN_RETRY_AFTER, request.target / 4),
            )
        self._ranker.record_arrival(request, now)
        self._update_shares(now)
        if not request.may_wait:
            return self._offer(request, now)
        if not self._record_arrival(request, now):
            return dispatch_requests.DispatchDenial(
                'repeats_spent', request.target
            )
        usual = self._estimate_latency(request)
        queued = request_queue.QueuedRequest(request, usual, now)
        if not self._queue.count_ahead(queued):
            server = self._choose_server(request, now)
            if server is not None:
                self._queue.start(queued, now)
                return self._grant(request, server, now)
        wait = self._estimate_wait(queued, now)
        if wait is None:
            # A server that may fail the request is better than a denial.
            server = self._ranker.pick_any(request, now)
            if server is not None:
                return self._grant(request, server, now)
        if wait is None or not self._make_room(queued, now):
            if request.is_repeat:
                self._retry_budget.refund(request.request_id)
            return self._make_denial(request, now)
        self._queue.add(queued)
        return dispatch_requests.QueuePlace()

    def _update_shares(self, now: datetime.timedelta) -> None:
        """Find the customers over their shares while requests queue."""
        if not self._queue:
            self._queue.over_share = frozenset()
        elif now - self._shares_at >= SHARES_INTERVAL:
            self._shares_at = now
            slots = sum(
                server.definition.slots
                for server in self._ranker.tracked.values()
                if server.health.classify(now) != health.HealthState.OUT
            )
            self._queue.over_share = self._work.list_over_share(slots, now)

    def _make_room(
        self, queued: request_queue.QueuedRequest, now: datetime.timedelta
    ) -> bool:
        """Return whether the queue has room for a request.

        A full queue refuses one of a customer that is over its share instead.
        """
        if len(self._queue) < QUEUE_LIMIT:
            return True
        over_share = self._queue.over_share
        if queued.request.customer in over_share:
            return False
        for last in reversed(self._queue.list_in_order(now)):
            if last.request.customer in over_share:
                request = last.make_current_request(now)
                self._deny(request, self._make_denial(request, now))
                return True
        return False

    def _record_arrival(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Record an arrival; return False if the retry budget is spent."""
        self._arrivals.record(request.priority, now)
        self._work.record_demand(
            request.customer, self._estimate_latency(request), now
        )
        if request.is_repeat:
            return request.is_paid or self._retry_budget.try_spend(
                request.request_id, now
            )
        if request.is_new:
            self._retry_budget.record_first_attempt(now)
        return True

    def _offer(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchResult:
        """Return a permit for a healthy server, or the expected wait."""
        usual = self._estimate_latency(request)
        queued = request_queue.QueuedRequest(request, usual, now)
        if not self._queue.count_ahead(queued):
            server = self._ranker.pick_healthy(request, now)
            if server is not None:
                if not self._record_arrival(request, now):
                    return dispatch_requests.DispatchDenial(
                        'repeats_spent', request.target
                    )
                self._queue.start(queued, now)
                return self._grant(request, server, now)
        wait = self._estimate_wait(queued, now)
        if wait is None or len(self._queue) >= QUEUE_LIMIT:
            return self._make_denial(request, now)
        doubt = self._ranker.grade_best_server(request, now)
        is_queued = not doubt and wait <= request.longest_wait
        if is_queued:
            if not self._record_arrival(request, now):
                return dispatch_requests.DispatchDenial(
                    'repeats_spent', request.target
                )
            self._queue.add(queued)
        return dispatch_requests.QueuePlace(wait, doubt, is_queued)

    def _grant(
        self,
        request: dispatch_requests.DispatchRequest,
        server: tracked_servers.TrackedServer,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchPermit:
        permit = dispatch_requests.DispatchPermit(
            next(self._permit_ids),
            server.definition.name,
            self._ranker.work.find_first_byte_timeout(
                server,
                request,
                self._latencies,
                self._retry_budget.has_reserve(now),
            ),
        )
        self._work.record_grant(
            request.customer, self._estimate_latency(request), now
        )
        server.start_request(permit.permit_id, now, request.sender)
        self._ranker.work.start(server, permit.permit_id, request)
        self._running[permit.permit_id] = _RunningRequest(
            request.request_id,
            server.definition.name,
            request.sender,
            request.target,
            now + request.remaining,
            request.is_repeat,
        )
        return permit

    def finish_permit(
        self,
        permit_id: int,
        outcome: str,
        latency: datetime.timedelta,
        now: datetime.timedelta,
        statement: server_statements.ServerStatement | None = None,
    ) -> None:
        """Free the slot of a permit and record how its request ended.

        A request with the outcome dispatch_requests.OVERDUE goes on, and its
        server's silence is recorded once. Otherwise `outcome` is "ok",
        "unused", "cancelled", "shed", "refused" (no connection) or one of
        health.FAILURE_OUTCOMES; `statement` is what the answer says of its
        server.
        """
        if outcome == dispatch_requests.OVERDUE:
            self._record_overdue(permit_id, now)
            return
        request_id, _ = self._paid.pop(permit_id, ('', None))
        if request_id and outcome == 'unused':
            self._retry_budget.refund(request_id)
        running = self._running.pop(permit_id, None)
        if running is None:
            return
        server = self._ranker.tracked.get(running.server)
        if server is not None:
            had_free_slots = len(server.running) <= max(
                1, server.definition.slots // 2
            )
            granted_at = server.running.get(permit_id)
            if granted_at is not None:
                self._statements.record(
                    running.server, statement, granted_at, now
                )
            self._ranker.work.record(
                server, permit_id, outcome, latency, statement, now
            )
            self._ranker.work.update_speeds(self._ranker.tracked.values())
            server.finish_request(
                permit_id, outcome not in ('unused', 'refused')
            )
            self._record_outcome(
                server, running, outcome, latency, had_free_slots, now
            )
            if statement is not None and statement.rest_s:
                server.health.record_rest(statement.rest_s * SECOND, now)
        self.advance(now)

    def _record_overdue(self, permit_id: int, now: datetime.timedelta) -> None:
        running = self._running.get(permit_id)
        if running is None or running.is_overdue:
            return
        self._running[permit_id] = running._replace(is_overdue=True)
        server = self._ranker.tracked.get(running.server)
        if server is not None:
            server.health.record_failure('silent', now)

    def _record_outcome(
        self,
        server: tracked_servers.TrackedServer,
        running: _RunningRequest,
        outcome: str,
        latency: datetime.timedelta,
        had_free_slots: bool,
        now: datetime.timedelta,
    ) -> None:
        match outcome:
            case 'ok':
                server.connections.release(running.sender, now)
                usual = self._latencies.estimate_latency(running.kind)
                server.health.record_success(
                    latency / usual, now, now - latency
                )
                self._latencies.record(running.kind, latency)
            case 'refused':
                server.health.record_connect_failure(running.sender, now)
            case 'shed':
                server.health.record_shed(had_free_slots, now)
            case 'silent' if running.is_overdue:
                pass
            case _ if outcome in health.FAILURE_OUTCOMES:
                server.health.record_failure(outcome, now)
        if running.is_repeat and outcome in ('unused', 'refused'):
            self._retry_budget.refund(running.request_id)

    def advance(self, now: datetime.timedelta) -> None:
        """Grant free slots to queued requests and deny the expired ones."""
        self._apply_statements(now)
        self._expire(now)
        if not self._queue:
            return
        self._update_shares(now)
        if now - self._reviewed_at >= REVIEW_INTERVAL:
            self._reviewed_at = now
            for queued in self._queue:
                self._drop_or_deny(queued, now)
        self._grant_queued(now)

    def _grant_queued(self, now: datetime.timedelta) -> None:
        """Grant free slots to queued requests, in their order.

        Requests for which the same servers may be used are not tried again
        after one of them found none: with a long queue and free slots at
        ejected servers only, each report would cost a search by each request.
        """
        if not self._has_free_slot:
            return
        tried = set()
        for queued in self._queue.list_in_order(now):
            request = queued.make_current_request(now)
            alike = self._describe_choice(request)
            if alike in tried:
                continue
            server = self._choose_server(request, now)
            if server is None:
                tried.add(alike)
                continue
            self._queue.start(queued, now)
            if request.is_repeat:
                self._retry_budget.renew(request.request_id, now)
            permit = self._grant(request, server, now)
            self._granted[request.request_id] = (permit, now)
            self._add_notice(request)
            if not self._has_free_slot:
                return

    @property
    def _has_free_slot(self) -> bool:
        return any(s.has_free_slot for s in self._ranker.tracked.values())

    def _describe_choice(
        self, request: dispatch_requests.DispatchRequest
    ) -> tuple[object, ...]:
        """Return what decides whether there is a server for a request now."""
        usual = self._estimate_latency(request)
        return (
            request.priority,
            request.is_idempotent,
            request.is_repeat,
            request.excluded,
            request.waited + usual >= request.target,
        )

    def _drop_or_deny(
        self, queued: request_queue.QueuedRequest, now: datetime.timedelta
    ) -> None:
        """Remove a queued request that can no longer be served here."""
        request = queued.request
        if now - queued.polled_at > QUEUE_TIMEOUT:
            # The instance stopped polling: it is gone, or needs no server.
            self._remove_queued(request)
        elif queued.deadline - now < queued.usual / 2:
            self._deny(
                request,
                self._make_denial(queued.make_current_request(now), now),
            )
        elif request.is_new and self._ranker.grade_best_server(request, now):
            # The queue of another pool may still lead to a healthy server.
            self._deny(
                request,
                dispatch_requests.DispatchDenial(
                    'pool_busy', refusals.MIN_RETRY_AFTER
                ),
            )

    def _deny(
        self,
        request: dispatch_requests.DispatchRequest,
        denial: dispatch_requests.DispatchDenial,
    ) -> None:
        self._remove_queued(request)
        self._denied[request.request_id] = denial
        self._add_notice(request)

    def _remove_queued(
        self, request: dispatch_requests.DispatchRequest
    ) -> None:
        """Remove a request that got no server; refund its repeat."""
        self._queue.remove(request.request_id)
        if request.is_repeat:
            self._retry_budget.refund(request.request_id)

    def _add_notice(self, request: dispatch_requests.DispatchRequest) -> None:
        self._notices.append(
            dispatch_requests.ResultNotice(request.sender, request.request_id)
        )

    def collect_results(self) -> tuple[dispatch_requests.ResultNotice, ...]:
        """Return the queued requests that got a result since the last call."""
        notices = tuple(self._notices)
        self._notices.clear()
        return notices

    def _expire(self, now: datetime.timedelta) -> None:
        """Release the permits of requests that are past their deadline.

        Permits that were granted to a queued request and never collected are
        released as well.
        """
        expired = [
            i for i, run in self._running.items() if now >= run.deadline
        ]
        for permit_id in expired:
            self._release(permit_id, True)
        unclaimed = [
            (request_id, permit.permit_id)
            for request_id, (permit, at) in self._granted.items()
            if now - at > COLLECT_TIMEOUT
        ]
        for request_id, permit_id in unclaimed:
            del self._granted[request_id]
            self._release(permit_id, False)
        self._paid = {
            permit_id: (request_id, deadline)
            for permit_id, (request_id, deadline) in self._paid.items()
            if now < deadline
        }
        if len(self._denied) > QUEUE_LIMIT:
            self._denied.clear()

    def _release(self, permit_id: int, has_started: bool) -> None:
        running = self._running.pop(permit_id, None)
        if running is None:
            return
        if running.is_repeat and not has_started:
            self._retry_budget.refund(running.request_id)
        server = self._ranker.tracked.get(running.server)
        if server is not None:
            server.finish_request(permit_id, has_started)

    def _estimate_latency(
        self, request: dispatch_requests.DispatchRequest
    ) -> datetime.timedelta:
        """Return how long a request usually takes."""
        return self._latencies.estimate_latency(request.target)

    def _choose_server(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return the server to use now, or None to wait for one."""
        chosen = self._ranker.pick_usable(request, now)
        if chosen is None and self._should_use_unhealthy(request, now):
            return self._ranker.pick_unhealthy(request, now)
        return chosen

    def _should_use_unhealthy(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether an unhealthy server is better than waiting.

        A non-idempotent request is lost if the server fails it. It therefore
        waits for a healthy server while it can still meet its target and the
        healthy servers keep up with the arrivals.
        """
        usual = self._estimate_latency(request)
        if not self._ranker.is_failure_costly(request):
            return True
        if request.waited + usual >= request.target:
            return True
        capacity = self._estimate_capacity(request, now)
        return (
            self._arrivals.find_rate(request.priority, now)
            > capacity * UNHEALTHY_UTILIZATION
        )

    def _estimate_capacity(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> float:
        """Return how many requests per second the usable servers complete."""
        busy = [
            self._latencies.estimate_latency(run.kind)
            for run in self._running.values()
        ]
        usual = sum(busy, ZERO) / len(busy) if busy else None
        usual = usual or self._estimate_latency(request)
        return sum(
            server.estimate_rate(usual)
            for server in self._ranker.list_usable(request, now)
        )

    def _estimate_wait(
        self, queued: request_queue.QueuedRequest, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the expected wait for a slot, or None if it is too long."""
        request = queued.request
        load = refusals.PoolLoad(
            self._estimate_capacity(request, now),
            self._arrivals.find_rate(request.priority - 1, now),
            self._arrivals.find_rate(request.priority, now),
            self._queue.count_ahead(queued),
            len(self._queue),
            not self._is_limited(request, now),
            request.customer in self._queue.over_share,
        )
        return refusals.find_wait(request, queued.usual, load)

    def _is_limited(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether limits keep servers from starting the request."""
        return any(
            server.has_free_slot and server.is_at_limit
            for server in self._ranker.list_usable(request, now)
        )

    def _make_denial(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> dispatch_requests.DispatchDenial:
        """Return the denial of a request that no server can take in time."""
        if self._is_limited(request, now):
            return dispatch_requests.DispatchDenial(
                'pool_limited', self._schedule_return(request, now)
            )
        return dispatch_requests.DispatchDenial(
            'pool_busy',
            refusals.find_retry_after(
                request, self._estimate_latency(request)
            ),
        )

    def _schedule_return(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return after what time the servers can take a denied request."""
        usual = self._estimate_latency(request)
        starts = heapq.merge(
            *(
                server.list_starts(usual)
                for server in self._ranker.list_usable(request, now)
            )
        )
        # Without any start, another instance is the holder.
        delay = self._returns.find_delay(
            starts, len(self._queue), now, server_limits.HANDOVER_TIME
        )
        if request.may_wait and delay <= request.remaining:
            self._returns.add(now + delay)
        return delay
