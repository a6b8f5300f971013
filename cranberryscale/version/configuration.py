"""The published configuration, merged from all subtrees and immutable.

A subtree is the set of documents that one team publishes.

The `documents` module validates the values before they are stored here.
"""

import datetime
from typing import NamedTuple


__all__ = [
    'IDEMPOTENT_METHODS',
    'BackendServer',
    'Configuration',
    'Customer',
    'FailureDomain',
    'Key',
    'Route',
    'Service',
    'WeightedService',
]

IDEMPOTENT_METHODS = frozenset(
    ('DELETE', 'GET', 'HEAD', 'OPTIONS', 'PUT', 'TRACE')
)


class Customer(NamedTuple):
    """A customer and its budget over the whole fleet.

    `priority` overrides that of the route; None keeps the route's.
    """

    name: str
    rate_per_s: float
    burst_requests: int
    team: str = ''
    priority: int | None = None


class Key(NamedTuple):
    """An API key, identified by its SHA-256 digest in hexadecimal."""

    digest: str
    customer: str
    withdrawn: bool = False


class WeightedService(NamedTuple):
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


class Route(NamedTuple):
    """A rule that maps requests to a service.

    Empty `methods` match all methods; empty `customers` admit every customer.
    With `idempotent` None the method decides. `open_to_all` routes need no
    key. `weighted_services` splits the requests among services by weight;
    without it all go to `service`. `target` is the target latency. Smaller
    values of `priority` are more urgent. `max_attempts` is the number of
    backend servers that one request may be sent to. With `retries_errors` an
    idempotent request is sent to another server after a status of 500 or
    more.
    """

    name: str
    prefix: str
    service: str
    host: str = ''
    methods: frozenset[str] = frozenset()
    customers: frozenset[str] = frozenset()
    open_to_all: bool = False
    idempotent: bool | None = None
    timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    retry_ratio: float = 0.1
    body_limit_bytes: int = 10 * 1024 * 1024
    weighted_services: tuple[WeightedService, ...] = ()
    target: datetime.timedelta = datetime.timedelta(seconds=1)
    priority: int = 0
    max_attempts: int = 3
    retries_errors: bool = False

    def choose_service(self, draw: float) -> str:
        """Return the service for a draw from [0, 1)."""
        total = sum(part.weight for part in self.weighted_services)
        for part in self.weighted_services:
            draw -= part.weight / total
            if draw < 0:
                return part.service
        return (
            self.weighted_services[-1].service
            if self.weighted_services
            else self.service
        )

    def is_idempotent(self, method: str) -> bool:
        """Return whether a request may run more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    `floor_fraction` is the fraction of each pool that outlier ejection
    always leaves in use. A server that has just started can handle
    `cold_rate_per_s` requests per second for `warmup`.
    """

    name: str
    floor_fraction: float = 0.5
    queue_limit: int = 64
    warmup: datetime.timedelta = datetime.timedelta(0)
    cold_rate_per_s: float = 5.0


class BackendServer(NamedTuple):
    """A backend server; `state` is "in" or "out".

    `slots`, `cold_slots` and `connections` are limits over the whole fleet.
    `ramp_completions` is the number of requests that must complete at one
    slow start level before the concurrency limit is raised by one.
    """

    name: str
    service: str
    domain: str
    address: str
    slots: int
    cold_slots: int = 1
    ramp_completions: int = 10
    connections: int = 400
    state: str = 'in'
    is_cold: bool = False
    started_ms: int = 0


class FailureDomain(NamedTuple):
    """A failure domain; `state` is "in" or "out"."""

    name: str
    state: str = 'in'


class Configuration(NamedTuple):
    """The merged content of the accepted version of every subtree.

    `versions` maps each team to its version. `floor_fraction` is the
    fraction of each customer's budget that is split into one share per
    failure domain.
    """

    versions: dict[str, int] = {}
    customers: dict[str, Customer] = {}
    keys: dict[str, Key] = {}
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = {}
    servers: dict[str, BackendServer] = {}
    domains: dict[str, FailureDomain] = {}
    floor_fraction: float = 0.3

    def is_domain_out(self, domain: str) -> bool:
        """Return whether operators have taken the failure domain out."""
        found = self.domains.get(domain)
        return found is not None and found.state == 'out'

    def is_server_out(self, server: BackendServer) -> bool:
        """Return whether the server or its failure domain is out."""
        return server.state == 'out' or self.is_domain_out(server.domain)

    def list_pool(
        self, service: str, domain: str
    ) -> tuple[BackendServer, ...]:
        """Return all servers of the pool, sorted by name.

        Servers that are "out" are included.
        """
        return tuple(
            server
            for _, server in sorted(self.servers.items())
            if server.service == service and server.domain == domain
        )
