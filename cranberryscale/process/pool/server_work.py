"""Speed and remaining work of one backend server.

Load pattern: servers of one service differ in speed, slow down for a while
and run requests that this holder did not start: those of a former holder and
of instances that decided locally.
"""

from collections.abc import Collection
import datetime
import math
from typing import NamedTuple

from cranberryscale.process.pool import server_statements
from cranberryscale.process.pool import work_estimates


__all__ = ['RunningWork', 'ServerWork', 'normalize_speeds']

# Requests whose weight the usual speed has in the estimate of a server.
PRIOR_REQUESTS = 4
MIN_SPEED_WEIGHT = 0.1
# A single request does not change the estimate by more than this factor.
MAX_RATIO = 8.0
MAX_SLOWNESS = 8.0
# The remaining work is computed again after this time.
REMAINING_LIFETIME = datetime.timedelta(milliseconds=50)


class RunningWork(NamedTuple):
    """What is expected of a running request; `known` is None if unknown."""

    kind: str
    target: datetime.timedelta
    known: work_estimates.WorkDistribution | None


class ServerWork:
    """The speed of a server and the work that it still has to do.

    `slowness` is the time a request takes there over its usual time, and
    `log_ratio` the mean logarithm of `count` such ratios. `other_requests`
    is how many requests others run there, as of the last `find_remaining`.
    """

    def __init__(self) -> None:
        self.slowness = 1.0
        self.running: dict[int, RunningWork] = {}
        self.log_ratio = 0.0
        self.count = 0
        self.other_requests = 0.0
        self._told_requests = 0.0
        self._told_at = datetime.timedelta(0)
        self._remaining = 0.0
        self._valid_until: datetime.timedelta | None = None

    def start(self, permit_id: int, running: RunningWork) -> None:
        """Add a running request."""
        self.running[permit_id] = running
        self._valid_until = None

    def finish(self, permit_id: int) -> None:
        """Remove a running request."""
        self.running.pop(permit_id, None)
        self._valid_until = None

    def record_latency(self, ratio: float, usual_log_ratio: float) -> None:
        """Record the latency of a request over the usual one of its kind.

        The first ratio is weighed against that of the other servers.
        """
        if not self.count:
            self.log_ratio = usual_log_ratio
        self.count += 1
        weight = max(MIN_SPEED_WEIGHT, 1 / (self.count + PRIOR_REQUESTS))
        ratio = min(max(ratio, 1 / MAX_RATIO), MAX_RATIO)
        self.log_ratio += weight * (math.log(ratio) - self.log_ratio)
        self.update_slowness(usual_log_ratio)

    def update_slowness(self, usual_log_ratio: float) -> None:
        """Compare the speed with the usual one."""
        if self.count:
            slowness = math.exp(self.log_ratio - usual_log_ratio)
            self.slowness = min(max(slowness, 1 / MAX_SLOWNESS), MAX_SLOWNESS)

    def record_load(
        self,
        load: server_statements.LoadStatement,
        now: datetime.timedelta,
    ) -> None:
        """Record the load that the answer to a running request states."""
        others = load.running + load.waiting - len(self.running)
        self._told_requests = float(max(0, others))
        self._told_at = now
        self._valid_until = None

    def find_remaining(
        self,
        starts: dict[int, datetime.timedelta],
        mean_s: float,
        now: datetime.timedelta,
    ) -> float:
        """Return the remaining work in requests of `mean_s` seconds.

        `starts` maps running requests to their times of start. Requests whose
        work is unknown count as one. The result is at most
        REMAINING_LIFETIME old.
        """
        if self._valid_until is not None and now < self._valid_until:
            return self._remaining
        self.other_requests = self._find_others(mean_s, now)
        self._remaining = self.other_requests * self.slowness
        for permit_id, running in self.running.items():
            if running.known is None or not mean_s:
                self._remaining += 1.0
                continue
            age_s = (now - starts.get(permit_id, now)).total_seconds()
            work_s = running.known.find_remaining(age_s / self.slowness)
            self._remaining += work_s / mean_s * self.slowness
        self._valid_until = now + REMAINING_LIFETIME
        return self._remaining

    def _find_others(self, mean_s: float, now: datetime.timedelta) -> float:
        """Return how many requests of others run there, by its own word.

        That was true for about the time of a request.
        """
        if not self._told_requests or not mean_s:
            return 0.0
        age = (now - self._told_at).total_seconds() / mean_s
        return self._told_requests * 0.5**age


def normalize_speeds(servers: Collection[ServerWork]) -> float:
    """Update the slowness of all servers; return the usual log ratio.

    Work and slowness are only known as a product. Slowness relative to the
    median server keeps the two estimates from drifting together.
    """
    logs = sorted(server.log_ratio for server in servers if server.count)
    usual_log_ratio = 0.0
    if logs:
        middle = logs[(len(logs) - 1) // 2], logs[len(logs) // 2]
        usual_log_ratio = sum(middle) / 2
    for server in servers:
        server.update_slowness(usual_log_ratio)
    return usual_log_ratio
