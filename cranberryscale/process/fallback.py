"""Selection of a backend server by one instance without the pool's holder.

Used while the holder does not answer. Every instance may do this at the same
time, so it spreads requests evenly, leaves cold servers out and makes no
retries. Its caller also excludes servers that name a limit.
"""

import collections
from collections.abc import Iterable
import datetime
import random

from cranberryscale.process import shards
from cranberryscale.version import configuration


__all__ = ['FallbackSelector']

# For this long, a server that this instance could not reach is left out, and
# one that failed a request is avoided.
UNREACHABLE_TIME = datetime.timedelta(seconds=4)
FAILURE_TIME = datetime.timedelta(seconds=2)
# Cost of a server in another failure domain, where 1.0 is that of a server
# with all slots in use; also the upper bound of the random part of the cost.
DISTANCE_COST = 0.5


class FallbackSelector:
    """Selector of servers by what this instance itself has observed."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._unreachable_at: dict[str, datetime.timedelta] = {}
        self._failed_at: dict[str, datetime.timedelta] = {}
        self._ejected: dict[shards.Shard, frozenset[str]] = {}
        self._running: collections.Counter[str] = collections.Counter()

    def record_ejected(
        self, shard: shards.Shard, servers: Iterable[str]
    ) -> None:
        """Record the servers that a shard's holder last named as ejected."""
        self._ejected[shard] = frozenset(servers)

    def record_start(self, server: str) -> None:
        """Record that a request starts at a server."""
        self._running[server] += 1

    def record_overdue(self, server: str, now: datetime.timedelta) -> None:
        """Record that a running request is unusually long without answer."""
        self._unreachable_at[server] = now

    def record_end(
        self, server: str, outcome: str, now: datetime.timedelta
    ) -> None:
        """Record the end of a request and its outcome."""
        self._running[server] -= 1
        if self._running[server] <= 0:
            del self._running[server]
        match outcome:
            case 'refused' | 'silent':
                # Either the server or the path from this instance to it is at
                # fault.
                self._unreachable_at[server] = now
            case 'ok':
                self._unreachable_at.pop(server, None)
                self._failed_at.pop(server, None)
            case 'cancelled' | 'unused' | 'shed':
                pass
            case _:
                self._failed_at[server] = now

    def list_unreachable(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the servers that this instance recently failed to reach."""
        self._unreachable_at = {
            name: at
            for name, at in self._unreachable_at.items()
            if now - at < UNREACHABLE_TIME
        }
        return tuple(self._unreachable_at)

    def choose_server(
        self,
        published: configuration.Configuration,
        service: str,
        domain: str,
        excluded: Iterable[str],
        now: datetime.timedelta,
    ) -> str | None:
        """Return the name of a server, or None if none is usable.

        Servers that failed recently or are ejected are used only if all are.
        """
        skipped = {*excluded, *self.list_unreachable(now)}
        usable = [
            server
            for server in published.servers.values()
            if server.service == service
            and server.name not in skipped
            and not server.is_cold
            and not published.is_server_out(server)
        ]
        healthy = [s for s in usable if self._is_healthy(s, now)] or usable
        chosen = min(
            healthy,
            key=lambda s: self._find_cost(s, domain),
            default=None,
        )
        return chosen.name if chosen else None

    def _is_healthy(
        self, server: configuration.BackendServer, now: datetime.timedelta
    ) -> bool:
        failed_at = self._failed_at.get(server.name)
        is_failing = failed_at is not None and now - failed_at < FAILURE_TIME
        is_ejected = any(
            server.name in names for names in self._ejected.values()
        )
        return not (is_failing or is_ejected)

    def _find_cost(
        self, server: configuration.BackendServer, domain: str
    ) -> float:
        cost = self._running[server.name] / server.slots
        if server.domain != domain:
            cost += DISTANCE_COST
        return cost + self._rng.random() * DISTANCE_COST
