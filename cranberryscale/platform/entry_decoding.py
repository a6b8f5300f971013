"""Decoding of the entries of the platform's key-value store."""

import datetime
import ipaddress
import json
import re
from typing import Annotated
from typing import Any

import msgspec

from cranberryscale import errors
from cranberryscale.version import configuration
from cranberryscale.version import durations
from cranberryscale.version import keys
from cranberryscale.version import replica


__all__ = [
    'CONFIGURATION_KEY',
    'DECODING_ERRORS',
    'KEY_PREFIX',
    'PolicyDocument',
    'RouteRow',
    'RowTable',
    'ServiceRow',
    'TenantRow',
    'convert_row',
    'decode_entry',
]

# Empty, so that all entries are read: the store contains no others.
KEY_PREFIX = ''
_SERVERS = 'servers/'
CONFIGURATION_KEY = 'op/config'
_EVACUATIONS = 'op/evacuate/'

_VERSION = re.compile(r'[0-9a-f]{8}')
# The name of a server is sent to it in a header.
_SERVER_NAME = re.compile(r'[!-~]{1,200}')
_PORT = re.compile(r'[0-9]{1,5}')
_IDEMPOTENT = {
    'idempotent': True,
    'non_idempotent': False,
    # Large responses.
    'download': True,
}
_SERVER_STATES = {'ready': False, 'draining': True}
# Whole numbers up to this size fit into messages to other instances.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
_Priority = Annotated[int, msgspec.Meta(ge=-(2**31), le=2**31)]
# Far above any server's slots. An absurd number would make one server look
# free for all requests of its service.
_Slots = Annotated[int, msgspec.Meta(ge=1, le=65536)]
# Above any real rate or weight, and finite when multiplied.
_Amount = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
DECODING_ERRORS = (
    # A number too large for its type.
    ArithmeticError,
    LookupError,
    # Nested too deeply.
    RecursionError,
    ValueError,
    msgspec.MsgspecError,
)
# Routes without a timeout are limited by the caller's deadline only.
_NO_TIMEOUT = datetime.timedelta(minutes=5)


class _ServerInfo(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: _Slots


class _ServerStatus(msgspec.Struct, rename='kebab'):
    state: str
    sequence: _Count
    warmup_left: str = '0ms'


class _ServerDocument(msgspec.Struct):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Unix time of the server's start in milliseconds.
    born: _Count = 0


class _SplitPart(msgspec.Struct):
    service: str
    weight: _Amount


class RouteRow(msgspec.Struct, rename='kebab'):
    """A row of the routes."""

    name: str
    host: str
    prefix: str
    # A kind that is not known here may run only once.
    route_type: str
    # The longest time that a caller may wait for a response.
    timeout: str | None = None
    target_latency: str | None = None
    priority: _Priority | None = None
    split: list[_SplitPart] | None = None
    max_attempts: _Priority | None = None
    public: bool | None = None
    service: str | None = None


class ServiceRow(msgspec.Struct, rename='kebab'):
    """A row of the services."""

    name: str
    warmup: str | None = None
    # Requests per second that a server can handle during warm-up.
    warmup_per_s: _Amount | None = None


class TenantRow(msgspec.Struct, rename='kebab'):
    """A row of the customers."""

    name: str
    api_keys: list[str] | None = None
    priority: _Priority | None = None
    # 0 or omitted means unlimited.
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None


class _Limits(msgspec.Struct, rename='kebab'):
    max_header_bytes: _Count
    max_body_bytes: _Count
    header_timeout: str
    idle_timeout: str


class RowTable(msgspec.Struct):
    """Rows of values; null means that a value is omitted."""

    columns: list[str]
    rows: list[list[Any]]


class PolicyDocument(msgspec.Struct):
    """The operators' configuration as it is written."""

    version: str
    routes: RowTable
    services: RowTable
    limits: _Limits
    tenants: RowTable | None = None


def convert_row(table: RowTable, row: list[Any], row_type: type) -> Any:
    """Return a decoded row. Raises one of DECODING_ERRORS."""
    if len(row) != len(table.columns):
        raise ValueError(f'row has {len(row)} values, not one per column')
    pairs = zip(table.columns, row, strict=True)
    return msgspec.convert(
        {name: value for name, value in pairs if value is not None},
        row_type,
    )


def _convert_rows(table: RowTable, row_type: type) -> list[Any]:
    return [convert_row(table, row, row_type) for row in table.rows]


def _make_route(row: RouteRow, body_limit: int) -> configuration.Route:
    parts = tuple(
        configuration.WeightedService(part.service, part.weight)
        for part in row.split or ()
        if part.weight > 0
    )
    if not (row.service or parts):
        raise ValueError(f'route {row.name!r} names no service')
    timeout = (
        durations.parse_duration(row.timeout) if row.timeout else _NO_TIMEOUT
    )
    target = durations.parse_duration(row.target_latency or '1s')
    return configuration.Route(
        row.name,
        row.prefix,
        row.service or parts[0].service,
        row.host,
        open_to_all=bool(row.public),
        idempotent=_IDEMPOTENT.get(row.route_type, False),
        timeout=timeout,
        body_limit_bytes=body_limit,
        weighted_services=parts,
        target=target,
        priority=row.priority or 0,
        max_attempts=max(1, row.max_attempts or 1),
        retries_errors=True,
    )


def _make_service(row: ServiceRow) -> configuration.Service:
    return configuration.Service(
        row.name,
        warmup=durations.parse_duration(row.warmup or '0ms'),
        cold_rate_per_s=row.warmup_per_s or 0.0,
    )


def _make_customer(row: TenantRow) -> configuration.Customer:
    return configuration.Customer(
        row.name,
        row.rate_per_s or 0.0,
        int(row.burst or 0),
        priority=row.priority,
    )


def _decode_policy(body: bytes) -> replica.Policy:
    document = msgspec.json.decode(body, type=PolicyDocument)
    if not _VERSION.fullmatch(document.version):
        raise ValueError(f'version {document.version!r}')
    body_limit = document.limits.max_body_bytes
    tenants = (
        _convert_rows(document.tenants, TenantRow) if document.tenants else []
    )
    digests = (
        configuration.Key(keys.digest_key(key), tenant.name)
        for tenant in tenants
        for key in tenant.api_keys or ()
    )
    routes = _convert_rows(document.routes, RouteRow)
    services = _convert_rows(document.services, ServiceRow)
    if document.tenants is None:
        # Without customers there are no keys, so every route is public.
        for route in routes:
            route.public = True
    policy_configuration = configuration.Configuration(
        versions={'operators': int(document.version, 16)},
        customers={t.name: _make_customer(t) for t in tenants},
        keys={key.digest: key for key in digests},
        routes=tuple(_make_route(route, body_limit) for route in routes),
        services={s.name: _make_service(s) for s in services},
    )
    limits = replica.RequestLimits(
        document.limits.max_header_bytes,
        body_limit,
        durations.parse_duration(document.limits.header_timeout),
        durations.parse_duration(document.limits.idle_timeout),
    )
    unknown = (
        f'route {row.name!r} of kind {row.route_type[:40]!r} runs only once'
        for row in routes
        if row.route_type not in _IDEMPOTENT
    )
    return replica.Policy(
        int(document.version, 16),
        policy_configuration,
        limits,
        tuple(unknown),
    )


def _check_address(address: str) -> None:
    """Raise ValueError unless the address is an IP address and a port."""
    host, _, port = address.rpartition(':')
    ipaddress.ip_address(host.strip('[]'))
    if not _PORT.fullmatch(port) or not 1 <= int(port) <= 65535:
        raise ValueError(f'address {address!r}')


def _decode_server(name: str, body: bytes) -> replica.ServerEntry:
    if not _SERVER_NAME.fullmatch(name):
        raise ValueError(f'name {name[:200]!r}')
    entry = msgspec.json.decode(body, type=_ServerDocument)
    _check_address(entry.address)
    return replica.ServerEntry(
        name,
        entry.info.service,
        entry.info.zone,
        entry.address,
        entry.info.slots,
        _SERVER_STATES[entry.status.state],
        durations.parse_duration(entry.status.warmup_left),
        entry.born,
    )


def _decode(key: str, body: bytes) -> replica.DecodedEntry | None:
    if key == CONFIGURATION_KEY:
        return _decode_policy(body)
    if key.startswith(_SERVERS):
        return _decode_server(key.removeprefix(_SERVERS), body)
    if key.startswith(_EVACUATIONS):
        json.loads(body)
        return replica.Evacuation(key.removeprefix(_EVACUATIONS))
    return None


def decode_entry(key: str, body: bytes) -> replica.DecodedEntry | None:
    """Decode an entry of the store; return None for a key that is not used.

    Raises DocumentInvalid; then no part of the entry is used.
    """
    try:
        return _decode(key, body)
    except DECODING_ERRORS as error:
        raise errors.make_error(
            'document_invalid', f'{key}: {type(error).__name__}: {error}'
        ) from error
