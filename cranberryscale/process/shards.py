"""How the backend servers of a service are divided among holders.

A shard is the part of a service's servers that one instance coordinates: those
of one failure domain, or a part of them where there are many. Requests ask
the shard of their own domain first, so that permits and reports stay inside
the domain, and the work of a holder does not grow with the fleet.
"""

from collections.abc import Mapping
from typing import NamedTuple
import zlib

from cranberryscale.version import configuration


__all__ = ['Shard', 'count_shards', 'order_shards']

# A holder spends some milliseconds of processor time on each request; this
# many servers keep the smallest instances under a half of their processor.
SERVERS_PER_SHARD = 32
# Bounds the calls of one request in a fleet of many domains.
MAX_SHARDS_ASKED = 4


def _draw(text: str, count: int) -> int:
    return zlib.crc32(text.encode()) % count


class Shard(NamedTuple):
    """Name part `index` of `count` of a service's servers in a domain."""

    service: str
    domain: str
    index: int = 0
    count: int = 1

    def has_server(self, server: configuration.BackendServer) -> bool:
        """Tell whether a server belongs to this shard."""
        return (
            server.service == self.service
            and server.domain == self.domain
            and _draw(server.name, self.count) == self.index
        )


def count_shards(
    published: configuration.Configuration,
) -> dict[str, dict[str, int]]:
    """Return by service and domain how many shards there are.

    Domains without servers to use have none.
    """
    servers: dict[str, dict[str, int]] = {}
    for server in published.servers.values():
        if not published.is_server_out(server):
            domains = servers.setdefault(server.service, {})
            domains[server.domain] = domains.get(server.domain, 0) + 1
    return {
        service: {
            domain: -(-count // SERVERS_PER_SHARD)
            for domain, count in domains.items()
        }
        for service, domains in servers.items()
    }


def order_shards(
    service: str,
    counts: Mapping[str, int],
    domain: str,
    request_id: str,
) -> tuple[Shard, ...]:
    """Return the shards to ask for a request, the own domain's first.

    One in each domain; the other domains' order follows from the request's
    id, so that what one domain cannot serve is spread over the others.
    """
    others = sorted(name for name in counts if name != domain)
    turn = _draw(request_id, len(others)) if others else 0
    ordered = [domain] if domain in counts else []
    ordered += others[turn:] + others[:turn]
    return tuple(
        Shard(service, name, _draw(request_id, counts[name]), counts[name])
        for name in ordered[:MAX_SHARDS_ASKED]
    )
