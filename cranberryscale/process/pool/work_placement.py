"""Expected completion of requests at the servers of a pool.

Load pattern: heavy and light requests at servers of different speeds. The
number of running requests says little about when a server is free again.
"""

from collections.abc import Iterable
import datetime

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import load_statistics
from cranberryscale.process.pool import server_statements
from cranberryscale.process.pool import server_work
from cranberryscale.process.pool import tracked_servers
from cranberryscale.process.pool import work_estimates


__all__ = ['WorkPlacement']

# Outcomes of requests that ended before their server was done.
CUT_OUTCOMES = frozenset(('cancelled', 'silent'))
# Answers between two comparisons of the servers' speeds.
COMPARISON_INTERVAL = 8
# Wait at a server whose slots are in use, in usual requests.
FULL_COST = 1.0


class WorkPlacement:
    """What one pool has learned of the work of its requests.

    With nothing learned, all requests count as alike and all servers as
    equally fast. `best_slowness` is that of the fastest server.
    """

    def __init__(self) -> None:
        self.estimator = work_estimates.WorkEstimator()
        self.best_slowness = 1.0
        self._usual_log_ratio = 0.0
        self._answers = 0
        self._has_loads = False

    def find_work(
        self, request: dispatch_requests.DispatchRequest
    ) -> work_estimates.WorkDistribution | None:
        """Return the distribution of a request's work, None if unknown.

        While all requests are of one kind and no server states its load, the
        number of running requests says as much, and nothing is returned.
        """
        if not (self._has_loads or self.estimator.has_several_kinds):
            return None
        return self.estimator.find(request.kind, request.target)

    def update_speeds(
        self, servers: Iterable[tracked_servers.TrackedServer]
    ) -> None:
        """Compare the speeds of the servers after some answers."""
        if self._answers < COMPARISON_INTERVAL:
            return
        self._answers = 0
        works = [server.work for server in servers]
        self._usual_log_ratio = server_work.normalize_speeds(works)
        self.best_slowness = min((w.slowness for w in works), default=1.0)

    def find_cost(
        self,
        server: tracked_servers.TrackedServer,
        slowness: float,
        now: datetime.timedelta,
    ) -> float:
        """Return the expected completion of a request, in usual requests.

        That is the remaining work for each slot, in requests of mean work, and
        the time that this request takes at a server of this slowness beyond
        its usual time. At a server that is full by its own word it waits there
        as well.
        """
        mean_s = self.estimator.mean_s
        remaining = server.work.find_remaining(server.running, mean_s, now)
        cost = remaining / server.definition.slots + slowness - 1.0
        others = server.work.other_requests
        if others and len(server.running) + others >= server.definition.slots:
            cost += FULL_COST
        return cost

    def start(
        self,
        server: tracked_servers.TrackedServer,
        permit_id: int,
        request: dispatch_requests.DispatchRequest,
    ) -> None:
        """Add a request to the work of a server."""
        server.work.start(
            permit_id,
            server_work.RunningWork(
                request.kind, request.target, self.find_work(request)
            ),
        )

    def record(
        self,
        server: tracked_servers.TrackedServer,
        permit_id: int,
        outcome: str,
        latency: datetime.timedelta,
        statement: server_statements.ServerStatement | None,
        now: datetime.timedelta,
    ) -> None:
        """Learn from a request that ends; it still counts as running.

        A request that was cut off would have taken longer than it did. One
        that was cut off early tells nothing.
        """
        running = server.work.running.get(permit_id)
        if running is None:
            return
        if statement is not None and statement.load is not None:
            self._has_loads = True
            server.work.record_load(statement.load, now)
        known = self.estimator.find(running.kind, running.target)
        slowness = server.work.slowness
        work_s = latency.total_seconds() / slowness
        if outcome in CUT_OUTCOMES and known is not None:
            if work_s < known.median_s:
                return
            work_s = known.estimate_total(work_s)
        elif outcome != 'ok':
            return
        self.estimator.record(running.kind, running.target, work_s)
        self._answers += 1
        # Requests with the same target are not alike, so they do not show the
        # speed of a server.
        if known is not None and known is self.estimator.find_kind(
            running.kind
        ):
            server.work.record_latency(
                work_s * slowness / known.median_s, self._usual_log_ratio
            )

    def find_first_byte_timeout(
        self,
        server: tracked_servers.TrackedServer,
        request: dispatch_requests.DispatchRequest,
        latencies: load_statistics.LatencyEstimator,
        has_reserve: bool,
    ) -> datetime.timedelta:
        """Return how long to wait for a first byte before a second attempt.

        A second attempt starts while it is likely to be on time, if the
        first one has already taken longer than is likely. Without a reserve in
        the retry budget it has to be unusually long for its server.
        """
        known = self.find_work(request)
        usual_timeout = latencies.find_first_byte_timeout(request.target)
        if known is None:
            return usual_timeout
        likely = datetime.timedelta(seconds=known.likely_s)
        unusual = datetime.timedelta(seconds=known.unusual_s)
        slowness = server.work.slowness
        timeout = request.target - request.waited - likely
        timeout = min(timeout, usual_timeout)
        if has_reserve:
            return max(timeout, likely * min(1.0, slowness))
        return max(timeout, unusual * max(1.0, slowness))
