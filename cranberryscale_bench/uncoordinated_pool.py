"""Baseline: every instance chooses backend servers without the others.

Each instance balances by its own connections, ejects outliers by the failures
and latencies that it saw itself, and tries ejected servers again after a fixed
time. This is how the users' instances work today.
"""

import collections
from collections.abc import Iterable
import statistics
from typing import Any

from cranberryscale import messages
from cranberryscale_bench import pool_simulation


__all__ = ['UncoordinatedPool']

FAILURES_TO_EJECT = 5
EJECTION_S = 30.0
SLOW_FACTOR = 3.0
MIN_REQUESTS = 10
EWMA_WEIGHT = 0.2


class _ServerStats:
    """Statistics of one server at one instance."""

    def __init__(self) -> None:
        self.running = 0
        self.consecutive_failures = 0
        self.latency_s = 0.0
        self.request_count = 0
        self.ejected_until_s = 0.0


class UncoordinatedPool:
    """Pool without a holder: each instance decides by its own statistics."""

    def __init__(
        self, simulation: pool_simulation.PoolSimulation, domain: str
    ):
        self._simulation = simulation
        self.domain = domain
        self._stats_by_instance: dict[str, dict[str, _ServerStats]] = {}
        self._last_permit_number = 1
        self.load_servers()

    def load_servers(self) -> None:
        """Load the simulation's configuration."""
        loaded = self._simulation.configuration
        self._serving_names = [
            server.name
            for server in loaded.list_pool('app', self.domain)
            if not loaded.is_server_out(server)
        ]
        self._server_names = [
            s.name for s in loaded.list_pool('app', self.domain)
        ]

    def replace_holder(self, lost_member: str, takeover_s: float) -> None:
        """Do nothing, since there is no holder."""

    def _get_stats(self, instance: str) -> dict[str, _ServerStats]:
        return self._stats_by_instance.setdefault(
            instance, collections.defaultdict(_ServerStats)
        )

    def ask_permit(self, request: Any) -> None:
        """Choose the server with the fewest connections of the instance."""
        stats_by_server, now_s = (
            self._get_stats(request.instance),
            self._simulation.now_s,
        )
        usable = [
            name
            for name in self._serving_names
            if stats_by_server[name].ejected_until_s <= now_s
            and name not in request.excluded
        ]
        # With all servers ejected, all are used.
        usable = usable or self._serving_names
        if not usable:
            denial = messages.PermitDenial('no_backend_server', 1.0)
            self._simulation.handle_permit_reply(self, request, denial)
            return
        self._simulation.random.shuffle(usable)
        name = min(usable, key=lambda n: stats_by_server[n].running)
        stats_by_server[name].running += 1
        self._last_permit_number += 1
        permit_id = f'{self.domain}.{self._last_permit_number}'
        self._simulation.handle_permit_reply(
            self, request, messages.PermitGrant(permit_id, name, 0.25)
        )

    def report_permit(
        self, request: Any, report: messages.PermitReport
    ) -> None:
        """Update the instance's statistics; eject a failing or slow server."""
        stats_by_server = self._get_stats(request.instance)
        stats = stats_by_server[report.server]
        stats.running -= 1
        stats.request_count += 1
        stats.latency_s += EWMA_WEIGHT * (report.latency_s - stats.latency_s)
        stats.consecutive_failures = (
            0 if report.outcome == 'ok' else stats.consecutive_failures + 1
        )
        other_latencies_s = [
            other.latency_s
            for name, other in stats_by_server.items()
            if name != report.server and other.request_count >= MIN_REQUESTS
        ]
        is_slow = (
            other_latencies_s
            and stats.request_count >= MIN_REQUESTS
            and stats.latency_s
            > SLOW_FACTOR * statistics.median(other_latencies_s)
        )
        if stats.consecutive_failures >= FAILURES_TO_EJECT or is_slow:
            stats.ejected_until_s = self._simulation.now_s + EJECTION_S
            stats.consecutive_failures = stats.request_count = 0

    def run_due_work(self) -> None:
        """Do nothing, since there is no queue."""

    def exchange_summaries(
        self, others: Iterable['UncoordinatedPool']
    ) -> None:
        """Do nothing, since instances share no statistics."""

    def list_states(self) -> dict[str, str]:
        """Return the states; "ejected" means by over half of the instances."""
        now_s = self._simulation.now_s
        known = [s for s in self._stats_by_instance.values() if s]
        return {
            name: 'ejected'
            if sum(s[name].ejected_until_s > now_s for s in known) * 2
            > len(known)
            else 'in use'
            for name in self._server_names
        }
