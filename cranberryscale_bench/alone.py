"""Baseline: every instance decides alone on backend servers.

Each instance balances by its own connections, ejects after failures that it
saw itself, and probes on its own. This is how the users' instances work
today.
"""

import collections
from collections.abc import Iterable
import statistics
from typing import Any

from cranberryscale import messages
from cranberryscale_bench import pool_model


__all__ = ['AlonePool']

FAILURES_TO_EJECT = 5
OUT_S = 30.0
SLOW_FACTOR = 3.0
LEAST_COUNT = 10
WEIGHT = 0.2


class _Sight:
    """Hold what one instance knows about one server."""

    def __init__(self) -> None:
        self.running = 0
        self.failures = 0
        self.latency_s = 0.0
        self.count = 0
        self.out_until_s = 0.0


class AlonePool:
    """Give the instances the interface of a pool without a holder."""

    def __init__(self, model: pool_model.Model, domain: str):
        self._model = model
        self.domain = domain
        self._sights: dict[str, dict[str, _Sight]] = {}
        self._next = 1
        self.load_servers()

    def load_servers(self) -> None:
        """Load the model's configuration."""
        loaded = self._model.configuration
        self._servers = [
            server.name
            for server in loaded.list_pool('app', self.domain)
            if not loaded.is_server_out(server)
        ]
        self._names = [s.name for s in loaded.list_pool('app', self.domain)]

    def replace_holder(self, lost: str, gap_s: float) -> None:
        """Do nothing, since there is no holder to lose."""

    def _look(self, instance: str) -> dict[str, _Sight]:
        return self._sights.setdefault(
            instance, collections.defaultdict(_Sight)
        )

    def ask(self, request: Any) -> None:
        """Choose by the instance's own connections."""
        sights, now_s = self._look(request.instance), self._model.now_s
        usable = [
            name
            for name in self._servers
            if sights[name].out_until_s <= now_s
            and name not in request.excluded
        ]
        # With everything ejected, all servers are used again.
        usable = usable or self._servers
        if not usable:
            denial = messages.PermitDenial('no_backend_server', 1.0)
            self._model.take_reply(self, request, denial)
            return
        self._model.random.shuffle(usable)
        name = min(usable, key=lambda n: sights[n].running)
        sights[name].running += 1
        self._next += 1
        permit_id = f'{self.domain}.{self._next}'
        self._model.take_reply(
            self, request, messages.PermitGrant(permit_id, name, 0.25)
        )

    def report(self, request: Any, report: messages.PermitReport) -> None:
        """Count failures and latency at the instance that saw them."""
        sights = self._look(request.instance)
        sight = sights[report.server]
        sight.running -= 1
        sight.count += 1
        sight.latency_s += WEIGHT * (report.latency_s - sight.latency_s)
        sight.failures = 0 if report.outcome == 'ok' else sight.failures + 1
        others = [
            other.latency_s
            for name, other in sights.items()
            if name != report.server and other.count >= LEAST_COUNT
        ]
        is_slow = (
            others
            and sight.count >= LEAST_COUNT
            and sight.latency_s > SLOW_FACTOR * statistics.median(others)
        )
        if sight.failures >= FAILURES_TO_EJECT or is_slow:
            sight.out_until_s = self._model.now_s + OUT_S
            sight.failures = sight.count = 0

    def tick(self) -> None:
        """Do nothing, since nothing is queued."""

    def exchange(self, others: Iterable['AlonePool']) -> None:
        """Do nothing, since instances tell each other nothing."""

    def list_states(self) -> dict[str, str]:
        """Return "ejected" for servers that most instances do not use."""
        now_s = self._model.now_s
        own = [s for s in self._sights.values() if s]
        return {
            name: 'ejected'
            if sum(s[name].out_until_s > now_s for s in own) * 2 > len(own)
            else 'in use'
            for name in self._names
        }
