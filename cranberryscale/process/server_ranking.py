"""Which of a pool's backend servers is the best for a request.

Load pattern: servers that fail most requests always have room, so they must
not draw what the good ones have no slot for; where a failure costs no more
than a second attempt, they are tried out instead of left idle.
"""

from collections.abc import Iterable
import datetime

from cranberryscale.process import dispatch_requests
from cranberryscale.process import health
from cranberryscale.process import retry_budgets
from cranberryscale.process import tracked_servers
from cranberryscale.version import configuration


__all__ = ['ServerRanker']

# A server without a recent good answer is a risk for what may run only once.
UNPROVEN_COST = 0.8
SUSPECT_COST = 3.0
# A request that is turned away spends one of few second attempts: a server
# that turns away a third is used where all others are full.
SHED_COST = 3.0
DOUBT_COST = 10.0
# Requests that may be repeated come at random; after this time without one
# the others have to try servers out. Doubted servers are tried each 3 s.
TRIAL_MEMORY = datetime.timedelta(seconds=5)
# A request that may run only once is lost where it tries a server in vain.
# Half of the servers may be doubted; this keeps 0.7 of all in use within 2 s.
ONCE_TRIAL_PAUSE = datetime.timedelta(seconds=5)


class ServerRanker:
    """Rank the servers of one pool; `known` holds them by name."""

    def __init__(self, service: str, budget: retry_budgets.RetryBudget):
        self.known: dict[str, tracked_servers.TrackedServer] = {}
        self.terms = configuration.Service(service)
        self._budget = budget
        # Set while no request may be repeated, so that they have to try
        # servers out.
        self._runs_once_only = True
        self._idempotent_at: datetime.timedelta | None = None

    def record_arrival(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> None:
        """Learn whether requests come that may be repeated."""
        if ask.is_idempotent:
            self._idempotent_at = now
        last = self._idempotent_at
        self._runs_once_only = last is None or now - last > TRIAL_MEMORY

    def pick_healthy(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> tracked_servers.TrackedServer | None:
        """Return a server on trial or a good one with a slot, or None."""
        trials, good = self._list_trials(ask, now), self.list_healthy(ask, now)
        return self._pick_first((trials, good), ask, now)

    def pick_usable(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> tracked_servers.TrackedServer | None:
        """Return what pick_good does, or any server where all are bad."""
        trials, usable = (
            self._list_trials(ask, now),
            self.list_usable(ask, now),
        )
        return self._pick_first((trials, usable), ask, now)

    def pick_unhealthy(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> tracked_servers.TrackedServer | None:
        """Return a server that may be good again, or None."""
        sound, worst = health.HealthState.SOUND, health.HealthState.RETURNING
        if ask.is_idempotent and self._budget.has_reserve(now):
            # A failure costs no more than a second attempt.
            worst = health.HealthState.OUT
        return self._pick(self._list_doubted(ask, sound, worst, now), ask, now)

    def pick_any(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> tracked_servers.TrackedServer | None:
        """Return a doubted server, those out of use included, or None."""
        sound, out = health.HealthState.SOUND, health.HealthState.OUT
        return self._pick(self._list_doubted(ask, sound, out, now), ask, now)

    def list_healthy(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> list[tracked_servers.TrackedServer]:
        """Return the servers that may serve the request well, busy or not."""
        worst = health.HealthState.SLOW
        if ask.is_idempotent and self._budget.has_reserve(now):
            # One failure is seldom the server's last, and can be repeated.
            worst = health.HealthState.SUSPECT
        return [
            server
            for server in self._list_reachable(ask)
            if server.health.classify(now) <= worst
            and not (
                self.is_risk_averse(ask) and server.health.has_failed_last
            )
        ]

    def is_risk_averse(self, ask: dispatch_requests.DispatchRequest) -> bool:
        """Tell whether a failure would cost more than a second attempt."""
        return ask.is_repeat or not ask.is_idempotent

    def list_usable(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> list[tracked_servers.TrackedServer]:
        """Return the servers that may serve the request, busy or not.

        When all are bad, they serve nevertheless.
        """
        return self.list_healthy(ask, now) or self._list_reachable(ask)

    def grade_best_server(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> int:
        """Return how bad the best server for the request is, 0 for good.

        That matters only where a failure costs more than a second attempt.
        """
        if not self.is_risk_averse(ask) or self.list_healthy(ask, now):
            return 0
        verdicts = (s.health.classify(now) for s in self._list_reachable(ask))
        return max(health.HealthState.SUSPECT, min(verdicts, default=0))

    def _list_reachable(
        self, ask: dispatch_requests.DispatchRequest
    ) -> list[tracked_servers.TrackedServer]:
        return [
            server
            for name, server in self.known.items()
            if name not in ask.excluded
        ]

    def _list_trials(
        self, ask: dispatch_requests.DispatchRequest, now: datetime.timedelta
    ) -> Iterable[tracked_servers.TrackedServer]:
        """Yield the servers that this request may try out.

        A failed trial is repeated elsewhere where that is allowed, so those
        requests go first. Others try a server only where no such come, and
        seldom.
        """
        if ask.is_repeat or not (ask.is_idempotent or self._runs_once_only):
            return
        sound, returning = (
            health.HealthState.SOUND,
            health.HealthState.RETURNING,
        )
        if ask.is_idempotent:
            yield from self._list_doubted(ask, returning, returning, now)
            return
        for server in self._list_doubted(ask, sound, returning, now):
            failed_at = server.health.failed_at
            if (
                server.health.has_failed_last
                and now - failed_at >= ONCE_TRIAL_PAUSE
            ):
                yield server

    def _pick_first(
        self,
        candidates: Iterable[Iterable[tracked_servers.TrackedServer]],
        ask: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        """Return a server of the first group that has a free slot."""
        chosen = (self._pick(group, ask, now) for group in candidates)
        return next(filter(None, chosen), None)

    def _pick(
        self,
        group: Iterable[tracked_servers.TrackedServer],
        ask: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> tracked_servers.TrackedServer | None:
        rate = self.terms.cold_rate_per_s
        free = (
            server
            for server in group
            if server.has_free_slot and server.can_start_request(rate, now)
        )
        return min(
            free,
            key=lambda s: (self._find_cost(s, ask, now), not s.is_unused(now)),
            default=None,
        )

    def _list_doubted(
        self,
        ask: dispatch_requests.DispatchRequest,
        best: health.HealthState,
        worst: health.HealthState,
        now: datetime.timedelta,
    ) -> Iterable[tracked_servers.TrackedServer]:
        """Yield doubted servers that may get one request to try them."""
        for name, server in self.known.items():
            verdict = server.health.classify(now)
            if (
                best <= verdict <= worst
                and name not in ask.excluded
                and server.can_start_trial(now)
            ):
                yield server

    def _avoids_risk(
        self,
        server: tracked_servers.TrackedServer,
        ask: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> bool:
        """Tell whether a server is not proven and the request needs it.

        Servers that are not in use are tried by requests that may be
        repeated, and by others only where no such come.
        """
        if server.is_proven(now):
            return False
        if ask.is_repeat:
            return True
        may_explore = self._runs_once_only and server.is_unused(now)
        return not (ask.is_idempotent or may_explore)

    def _find_cost(
        self,
        server: tracked_servers.TrackedServer,
        ask: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ) -> float:
        cost = len(server.running) / server.entry.slots
        cost += SHED_COST * server.health.find_shed_ratio(now)
        if not server.is_unused(now):
            cost += max(0.0, server.health.latency_ratio - 1.0)
        if self._avoids_risk(server, ask, now):
            cost += UNPROVEN_COST
        if server.entry.is_cold:
            cost += 1.0
        match server.health.classify(now):
            case health.HealthState.SOUND:
                return cost
            case health.HealthState.SUSPECT:
                return cost + SUSPECT_COST
            case health.HealthState.OUT:
                # Where all are bad, the one that failed first may be back.
                since = now - server.health.failed_at
                left = max(0.0, 1 - since / health.PAUSE)
                return cost + DOUBT_COST * (1 + left)
            case _:
                return cost + DOUBT_COST
