"""What operators publish, merged over all subtrees and immutable.

Values are checked by the `documents` module before they get here.
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
    """Describe a customer and its budget over the whole fleet.

    `priority` goes before that of the route; None leaves the route's.
    """

    name: str
    rate_per_s: float
    burst_requests: int
    team: str = ''
    priority: int | None = None


class Key(NamedTuple):
    """Describe a caller's key by its SHA-256 digest, in hexadecimal."""

    digest: str
    customer: str
    withdrawn: bool = False


class WeightedService(NamedTuple):
    """Name a service and its weight among the parts of a route."""

    service: str
    weight: float


class Route(NamedTuple):
    """Map requests to a service.

    `methods` empty means all; `customers` empty means every customer.
    `idempotent` None means: by method. `open_to_all` routes need no key.
    `weighted_services` divides the requests among services by weight;
    without it all go to `service`. An answer within `target` is on time. A
    smaller `priority` is more urgent. `max_attempts` counts the backend
    servers that one request may be sent to. `retries_errors` sends an
    idempotent request to another server after an answer of 500 or more.
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
        """Tell whether a request may run more than once."""
        if self.idempotent is not None:
            return self.idempotent
        return method in IDEMPOTENT_METHODS


class Service(NamedTuple):
    """Describe a group of interchangeable backend servers.

    `floor_fraction` is the part of each pool that ejections leave in use.
    A server that has started bears `cold_rate_per_s` for `warmup`.
    """

    name: str
    floor_fraction: float = 0.5
    queue_limit: int = 64
    warmup: datetime.timedelta = datetime.timedelta(0)
    cold_rate_per_s: float = 5.0


class BackendServer(NamedTuple):
    """Describe one backend server; `state` is "in" or "out".

    `slots`, `cold_slots` and `connections` count over the whole fleet.
    `ramp_completions` is how many requests must complete at one level of
    the cold start ramp before one more may run.
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
    """Describe a failure domain; `state` is "in" or "out"."""

    name: str
    state: str = 'in'


class Configuration(NamedTuple):
    """Merge the accepted version of every subtree.

    `versions` maps team to version. `floor_fraction` is the part of each
    customer's budget that is cut into failure domain shares.
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
        """Tell whether operators have taken the failure domain out."""
        found = self.domains.get(domain)
        return found is not None and found.state == 'out'

    def is_server_out(self, server: BackendServer) -> bool:
        """Tell whether the server or its failure domain is out."""
        return server.state == 'out' or self.is_domain_out(server.domain)

    def list_pool(
        self, service: str, domain: str
    ) -> tuple[BackendServer, ...]:
        """Return the pool's published servers, out or not, by name."""
        return tuple(
            server
            for _, server in sorted(self.servers.items())
            if server.service == service and server.domain == domain
        )
