"""Decoding of the entries of the platform's key-value store."""

import datetime
import json
import re
from typing import Any

import msgspec

from cranberryscale import errors
from cranberryscale.version import configuration
from cranberryscale.version import durations
from cranberryscale.version import keys
from cranberryscale.version import replica


__all__ = ['KEY_PREFIX', 'decode_entry']

# Empty, so that all entries are read: the store contains no others.
KEY_PREFIX = ''
_SERVERS = 'servers/'
_CONFIGURATION = 'op/config'
_EVACUATIONS = 'op/evacuate/'

_VERSION = re.compile(r'[0-9a-f]{8}')
_IDEMPOTENT = {'idempotent': True, 'non_idempotent': False}
_SERVER_STATES = {'ready': False, 'draining': True}
# Routes without a timeout are limited by the caller's deadline only.
_NO_TIMEOUT = datetime.timedelta(minutes=5)


class _ServerInfo(msgspec.Struct):
    service: str
    version: str
    zone: str
    slots: int


class _ServerStatus(msgspec.Struct, rename='kebab'):
    state: str
    sequence: int
    warmup_left: str = '0ms'


class _ServerDocument(msgspec.Struct):
    address: str
    info: _ServerInfo
    status: _ServerStatus
    # Unix time of the server's start in milliseconds.
    born: int = 0


class _SplitPart(msgspec.Struct):
    service: str
    weight: float


class _RouteRow(msgspec.Struct, rename='kebab'):
    name: str
    host: str
    prefix: str
    # "idempotent" or "non_idempotent".
    route_type: str
    # The longest time that a caller may wait for a response.
    timeout: str | None = None
    target_latency: str | None = None
    priority: int | None = None
    split: list[_SplitPart] | None = None
    max_attempts: int | None = None
    public: bool | None = None
    service: str | None = None


class _ServiceRow(msgspec.Struct, rename='kebab'):
    name: str
    warmup: str | None = None
    # Requests per second that a server can handle during warm-up.
    warmup_per_s: float | None = None


class _TenantRow(msgspec.Struct, rename='kebab'):
    name: str
    api_keys: list[str] | None = None
    priority: int | None = None
    # 0 or omitted means unlimited.
    rate_per_s: float | None = None
    burst: float | None = None


class _Limits(msgspec.Struct, rename='kebab'):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout: str
    idle_timeout: str


class _RowTable(msgspec.Struct):
    """Rows of values; null means that a value is omitted."""

    columns: list[str]
    rows: list[list[Any]]


class _PolicyDocument(msgspec.Struct):
    version: str
    routes: _RowTable
    services: _RowTable
    limits: _Limits
    tenants: _RowTable | None = None


def _convert_rows(table: _RowTable, row_type: type) -> list[Any]:
    def convert(row):
        if len(row) != len(table.columns):
            raise ValueError(f'row has {len(row)} values, not one per column')
        pairs = zip(table.columns, row, strict=True)
        return msgspec.convert(
            {name: value for name, value in pairs if value is not None},
            row_type,
        )

    return [convert(row) for row in table.rows]


def _make_route(row: _RouteRow, body_limit: int) -> configuration.Route:
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
        idempotent=_IDEMPOTENT[row.route_type],
        timeout=timeout,
        body_limit_bytes=body_limit,
        weighted_services=parts,
        target=target,
        priority=row.priority or 0,
        max_attempts=max(1, row.max_attempts or 1),
        retries_errors=True,
    )


def _make_service(row: _ServiceRow) -> configuration.Service:
    return configuration.Service(
        row.name,
        warmup=durations.parse_duration(row.warmup or '0ms'),
        cold_rate_per_s=row.warmup_per_s or 0.0,
    )


def _make_customer(row: _TenantRow) -> configuration.Customer:
    return configuration.Customer(
        row.name,
        row.rate_per_s or 0.0,
        int(row.burst or 0),
        priority=row.priority,
    )


def _decode_policy(body: bytes) -> replica.Policy:
    document = msgspec.json.decode(body, type=_PolicyDocument)
    if not _VERSION.fullmatch(document.version):
        raise ValueError(f'version {document.version!r}')
    body_limit = document.limits.max_body_bytes
    tenants = (
        _convert_rows(document.tenants, _TenantRow) if document.tenants else []
    )
    digests = (
        configuration.Key(keys.digest_key(key), tenant.name)
        for tenant in tenants
        for key in tenant.api_keys or ()
    )
    routes = _convert_rows(document.routes, _RouteRow)
    services = _convert_rows(document.services, _ServiceRow)
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
    return replica.Policy(
        int(document.version, 16), policy_configuration, limits
    )


def _decode_server(name: str, body: bytes) -> replica.ServerEntry:
    entry = msgspec.json.decode(body, type=_ServerDocument)
    host, _, port = entry.address.rpartition(':')
    if not host or not port.isdigit() or entry.info.slots < 1:
        raise ValueError(f'address {entry.address!r}')
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
    if key == _CONFIGURATION:
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
    except (ValueError, KeyError, msgspec.MsgspecError) as error:
        raise errors.make_error(
            'document_invalid', f'{key}: {type(error).__name__}: {error}'
        ) from error
