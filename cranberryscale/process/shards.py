"""Division of a service's backend servers into shards.

A shard is the part of a service's servers that one instance coordinates: those
of one failure domain, or a part of these where there are many. A request goes
to the shard of its own domain first, so that permits and reports stay inside
the domain and the work of a shard's holder does not grow with the fleet.
"""

from collections.abc import Mapping
from typing import NamedTuple
import zlib

from cranberryscale.version import configuration


__all__ = ['Shard', 'count_shards', 'find_shard', 'order_shards']

# A holder spends some milliseconds of processor time on each request; with
# this many servers the smallest instances use less than half of their
# processor.
SERVERS_PER_SHARD = 32
# Bounds the calls of one request in a fleet of many domains.
MAX_SHARDS_TRIED = 4


def _hash_modulo(text: str, count: int) -> int:
    return zlib.crc32(text.encode()) % count


class Shard(NamedTuple):
    """Part `index` of `count` of a service's servers in a failure domain."""

    service: str
    domain: str
    index: int = 0
    count: int = 1

    def has_server(self, server: configuration.BackendServer) -> bool:
        """Return whether a server belongs to this shard."""
        return (
            server.service == self.service
            and server.domain == self.domain
            and _hash_modulo(server.name, self.count) == self.index
        )


def count_shards(
    published: configuration.Configuration,
) -> dict[str, dict[str, int]]:
    """Return the number of shards by service and failure domain.

    Domains without usable servers are left out.
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


def find_shard(server: configuration.BackendServer, count: int) -> Shard:
    """Return a server's shard where its domain has `count` shards."""
    index = _hash_modulo(server.name, count)
    return Shard(server.service, server.domain, index, count)


def order_shards(
    service: str,
    counts: Mapping[str, int],
    domain: str,
    request_id: str,
) -> tuple[Shard, ...]:
    """Return the shards to try for a request, its own domain's first.

    One shard per domain. The order of the other domains depends on the
    request's id, so that requests that one domain cannot serve are spread over
    the others.
    """
    others = sorted(name for name in counts if name != domain)
    offset = _hash_modulo(request_id, len(others)) if others else 0
    ordered = [domain] if domain in counts else []
    ordered += others[offset:] + others[:offset]
    return tuple(
        Shard(
            service, name, _hash_modulo(request_id, counts[name]), counts[name]
        )
        for name in ordered[:MAX_SHARDS_TRIED]
    )
