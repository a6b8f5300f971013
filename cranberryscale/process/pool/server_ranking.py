"""Ranking of the backend servers of a pool for a request.

Load pattern: servers that fail most requests at once always have free slots,
so they must not attract the requests for which the healthy servers have no
slot. Where a failure costs no more than a retry, such servers get trial
requests instead of staying idle. Among servers with room to spare, those to
which the instance has an idle connection are preferred.
"""

from collections.abc import Iterable
import datetime

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import health
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import tracked_servers
from cranberryscale.process.pool import work_estimates
from cranberryscale.process.pool import work_placement
from cranberryscale.version import configuration


__all__ = ['ServerRanker']

# A server without a recent success is a risk for a non-idempotent request.
UNPROVEN_COST = 0.8
SUSPECT_COST = 3.0
# A request that a server sheds needs one of few retries, so a server that
# sheds a third of its requests is used only when all others are full.
SHED_COST = 3.0
UNHEALTHY_COST = 10.0
# An idle connection outweighs one more running request, as long as the server
# has a third of its slots free: some servers slow down when nearly full.
REUSE_SLOTS = 1.5
MAX_REUSE_UTILIZATION = 2 / 3
# Idempotent requests arrive at random; after this time without one,
# non-idempotent requests have to do the trials. Ejected servers are tried
# every 3 s (health.EJECTION_TIME).
IDEMPOTENT_ARRIVAL_WINDOW = datetime.timedelta(seconds=5)
# A non-idempotent request is lost in a failed trial, so trials are rare. Half
# of the servers may be unhealthy; with this interval two fifths of these get a
# trial within 2 s, so that 0.7 of all servers are in use.
NON_IDEMPOTENT_TRIAL_INTERVAL = datetime.timedelta(seconds=5)


class ServerRanker:
    """The servers of one pool and the costs of using them.

    `tracked` maps names to servers; `published_service` is the service's
    configuration.
    """

    def __init__(self, service: str, budget: retry_budgets.RetryBudget):
        self.tracked: dict[str, tracked_servers.TrackedServer] = {}
        self.published_service = configuration.Service(service)
        self.work = work_placement.WorkPlacement()
        self._retry_budget = budget
        # Set while no idempotent requests arrive, so that non-idempotent ones
        # have to do the trials.
        self._lacks_idempotent = True
        self._idempotent_at: datetime.timedelta | None = None

    def record_arrival(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> None:
        """Record whether idempotent requests arrive."""
        if request.is_idempotent:
            self._idempotent_at = now
        idempotent_at = self._idempotent_at
        self._lacks_idempotent = (
            idempotent_at is None
            or now - idempotent_at > IDEMPOTENT_ARRIVAL_WINDOW
        )

    def pick_healthy(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return a server due for a trial or a healthy one, or None."""
        trials, healthy = (
            self._list_trials(request, now),
            self.list_healthy(request, now),
        )
        return self._pick_first((trials, healthy), request, now)

    def pick_usable(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return what pick_healthy does, or any server if none is healthy."""
        trials, usable = (
            self._list_trials(request, now),
            self.list_usable(request, now),
        )
        return self._pick_first((trials, usable), request, now)

    def pick_unhealthy(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return a server that may have recovered, or None."""
        sound, worst = health.HealthState.SOUND, health.HealthState.RETURNING
        if request.is_idempotent and self._retry_budget.has_reserve(now):
            # A failure costs no more than a retry.
            worst = health.HealthState.OUT
        return self._pick(
            self._list_trial_candidates(request, sound, worst, now),
            request,
            now,
        )

    def pick_any(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return a server in any state that may get a trial, or None."""
        sound, out = health.HealthState.SOUND, health.HealthState.OUT
        return self._pick(
            self._list_trial_candidates(request, sound, out, now), request, now
        )

    def list_healthy(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> list[tracked_servers.TrackedServer]:
        """Return the servers healthy enough for the request, busy or not."""
        worst = health.HealthState.SLOW
        if request.is_idempotent and self._retry_budget.has_reserve(now):
            # A suspect server may well fail again, but the request can be
            # retried.
            worst = health.HealthState.SUSPECT
        return [
            server
            for server in self._list_not_excluded(request)
            if server.health.classify(now) <= worst
            and not (
                self.is_failure_costly(request)
                and server.health.has_failed_last
            )
        ]

    def is_failure_costly(
        self, request: dispatch_requests.DispatchRequest
    ) -> bool:
        """Return whether a failure would cost more than a retry."""
        return request.is_repeat or not request.is_idempotent

    def list_usable(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> list[tracked_servers.TrackedServer]:
        """Return the servers that may serve the request, busy or not.

        If all are unhealthy, all are usable.
        """
        return self.list_healthy(request, now) or self._list_not_excluded(
            request
        )

    def grade_best_server(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> int:
        """Return the health state of the best server, 0 if it is healthy.

        Always 0 for requests for which a failure costs no more than a retry.
        """
        if not self.is_failure_costly(request) or self.list_healthy(
            request, now
        ):
            return 0
        states = (
            s.health.classify(now) for s in self._list_not_excluded(request)
        )
        return max(health.HealthState.SUSPECT, min(states, default=0))

    def _list_not_excluded(
        self, request: dispatch_requests.DispatchRequest
    ) -> list[tracked_servers.TrackedServer]:
        return [
            server
            for name, server in self.tracked.items()
            if name not in request.excluded and not server.is_leaving
        ]

    def _list_trials(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> Iterable[tracked_servers.TrackedServer]:
        """Yield the servers for which this request may be the trial.

        A failed trial of an idempotent request is retried elsewhere, so these
        requests do the trials. Others try a server only while no idempotent
        requests arrive, and seldom.
        """
        if request.is_repeat or not (
            request.is_idempotent or self._lacks_idempotent
        ):
            return
        sound, returning = (
            health.HealthState.SOUND,
            health.HealthState.RETURNING,
        )
        if request.is_idempotent:
            yield from self._list_trial_candidates(
                request, returning, returning, now
            )
            return
        for server in self._list_trial_candidates(
            request, sound, returning, now
        ):
            failed_at = server.health.failed_at
            if (
                server.health.has_failed_last
                and now - failed_at >= NON_IDEMPOTENT_TRIAL_INTERVAL
            ):
                yield server

    def _pick_first(
        self,
        groups: Iterable[Iterable[tracked_servers.TrackedServer]],
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return a server of the first group that has a free slot."""
        chosen = (self._pick(servers, request, now) for servers in groups)
        return next(filter(None, chosen), None)

    def _pick(
        self,
        servers: Iterable[tracked_servers.TrackedServer],
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        rate = self.published_service.cold_rate_per_s
        free = (
            server
            for server in servers
            if server.has_free_slot and server.can_start_request(rate, now)
        )
        known = self.work.find_work(request)
        return min(
            free,
            key=lambda s: (
                self._find_load_cost(s, known, now)
                + self._find_cost(s, request, now),
                not s.is_unused(now),
            ),
            default=None,
        )

    def _find_load_cost(
        self,
        server: tracked_servers.TrackedServer,
        known: work_estimates.WorkDistribution | None,
        now: datetime.timedelta,
    ) -> float:
        """Return the cost of the load and speed of a server.

        The speed of an unused server may have changed, so it counts as one of
        the fastest.
        """
        is_unused = server.is_unused(now)
        if known is not None:
            slowness = server.work.slowness
            if is_unused:
                slowness = self.work.best_slowness
            return self.work.find_cost(server, slowness, now)
        cost = len(server.running) / server.definition.slots
        if not is_unused:
            cost += max(0.0, server.health.latency_ratio - 1.0)
        return cost

    def _list_trial_candidates(
        self,
        request: dispatch_requests.DispatchRequest,
        best: health.HealthState,
        worst: health.HealthState,
        now: datetime.timedelta,
    ) -> Iterable[tracked_servers.TrackedServer]:
        """Yield servers in these states that may get a trial request."""
        for name, server in self.tracked.items():
            state = server.health.classify(now)
            if (
                best <= state <= worst
                and name not in request.excluded
                and server.can_start_trial(now)
            ):
                yield server

    def _is_unproven_risk(
        self,
        server: tracked_servers.TrackedServer,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether the server is too unproven for the request.

        Unused servers are tried by idempotent requests, and by others only
        while no idempotent ones arrive.
        """
        if server.is_proven(now):
            return False
        if request.is_repeat:
            return True
        can_explore = self._lacks_idempotent and server.is_unused(now)
        return not (request.is_idempotent or can_explore)

    def _saves_handshake(
        self,
        server: tracked_servers.TrackedServer,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether an idle connection to the server may be used.

        Unused servers count as if they had one, so that they stay in use.
        """
        used = (len(server.running) + 1) / server.definition.slots
        if used > MAX_REUSE_UTILIZATION:
            return False
        return server.is_unused(now) or server.connections.is_reusable(
            request.sender, request.is_idempotent, now
        )

    def _find_cost(
        self,
        server: tracked_servers.TrackedServer,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> float:
        cost = SHED_COST * server.health.find_shed_ratio(now)
        if self._saves_handshake(server, request, now):
            cost -= REUSE_SLOTS / server.definition.slots
        if self._is_unproven_risk(server, request, now):
            cost += UNPROVEN_COST
        if server.definition.is_cold:
            cost += 1.0
        match server.health.classify(now):
            case health.HealthState.SOUND:
                return cost
            case health.HealthState.SUSPECT:
                return cost + SUSPECT_COST
            case health.HealthState.OUT:
                # If all servers are ejected, the one that failed first is the
                # most likely to have recovered.
                since = now - server.health.failed_at
                remaining_ratio = max(0.0, 1 - since / health.EJECTION_TIME)
                return cost + UNHEALTHY_COST * (1 + remaining_ratio)
            case _:
                return cost + UNHEALTHY_COST
