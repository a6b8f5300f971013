"""The choice of a backend server by one instance alone.

Used while the holder of the pool does not answer. Every instance may do this
at the same time, so it spreads requests evenly, leaves cold servers out and
allows no second attempts.
"""

import collections
from collections.abc import Iterable
import datetime
import random

from cranberryscale.process import shards
from cranberryscale.version import configuration


__all__ = ['FallbackSelector']

# A server that this instance could not reach is left out for this long.
UNREACHABLE_TIME = datetime.timedelta(seconds=4)
FAILED = datetime.timedelta(seconds=2)
DISTANCE_COST = 0.5


class FallbackSelector:
    """Remember what this instance saw of servers, and choose by it."""

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._unreached: dict[str, datetime.timedelta] = {}
        self._failed: dict[str, datetime.timedelta] = {}
        self._ejected: dict[shards.Shard, frozenset[str]] = {}
        self._running: collections.Counter[str] = collections.Counter()

    def record_ejected(
        self, shard: shards.Shard, servers: Iterable[str]
    ) -> None:
        """Take the last word of a shard's holder on servers out of use."""
        self._ejected[shard] = frozenset(servers)

    def record_start(self, server: str) -> None:
        """Count a request that begins at a server."""
        self._running[server] += 1

    def record_end(
        self, server: str, outcome: str, now: datetime.timedelta
    ) -> None:
        """Take back the count, and learn from how the request ended."""
        self._running[server] -= 1
        if self._running[server] <= 0:
            del self._running[server]
        match outcome:
            case 'refused' | 'silent':
                # Either the server or this instance's path to it is at fault.
                self._unreached[server] = now
            case 'ok':
                self._unreached.pop(server, None)
                self._failed.pop(server, None)
            case 'cancelled' | 'unused' | 'shed':
                pass
            case _:
                self._failed[server] = now

    def list_unreachable(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the servers that this instance could not reach lately."""
        self._unreached = {
            name: at
            for name, at in self._unreached.items()
            if now - at < UNREACHABLE_TIME
        }
        return tuple(self._unreached)

    def choose(
        self,
        published: configuration.Configuration,
        service: str,
        domain: str,
        excluded: Iterable[str],
        now: datetime.timedelta,
    ) -> str | None:
        """Return a server, or None if there is none to use."""
        left_out = {*excluded, *self.list_unreachable(now)}
        usable = [
            server
            for server in published.servers.values()
            if server.service == service
            and server.name not in left_out
            and not server.is_cold
            and not published.is_server_out(server)
        ]
        sound = [s for s in usable if self._is_sound(s, now)] or usable
        chosen = min(
            sound,
            key=lambda s: self._find_cost(s, domain),
            default=None,
        )
        return chosen.name if chosen else None

    def _is_sound(
        self, server: configuration.BackendServer, now: datetime.timedelta
    ) -> bool:
        failed = self._failed.get(server.name)
        is_failing = failed is not None and now - failed < FAILED
        is_out = any(server.name in names for names in self._ejected.values())
        return not (is_failing or is_out)

    def _find_cost(
        self, server: configuration.BackendServer, domain: str
    ) -> float:
        cost = self._running[server.name] / server.slots
        if server.domain != domain:
            cost += DISTANCE_COST
        return cost + self._rng.random() * DISTANCE_COST
