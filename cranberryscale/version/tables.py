"""Schemas of the tables of published documents, with units and ranges."""

from typing import Annotated
from typing import Any
from typing import Literal
from typing import Mapping
from typing import NamedTuple

import msgspec

from cranberryscale.version import configuration


__all__ = ['TABLES', 'FieldSchema', 'Name', 'TableSchema']

Name = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*\Z', max_length=128)
]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=10**6)]
Rate = Annotated[float, msgspec.Meta(gt=0, le=10**7)]
Burst = Annotated[int, msgspec.Meta(ge=1, le=10**8)]
Digest = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
Prefix = Annotated[str, msgspec.Meta(pattern=r'^/[^\s?#]*\Z', max_length=1024)]
Host = Annotated[str, msgspec.Meta(pattern=r'^[a-z0-9.-]*\Z', max_length=253)]
Address = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9.:\[\]-]+:[0-9]{1,5}\Z')
]
Method = Annotated[str, msgspec.Meta(pattern=r'^[A-Z]+\Z')]
Timeout = Annotated[float, msgspec.Meta(gt=0, le=30)]
State = Literal['in', 'out']
Bytes = Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class FieldSchema(NamedTuple):
    """Schema of a field.

    `kind` is the type, `target` the name of the attribute if it differs, and
    `refers_to` the table whose rows the value names.
    """

    kind: Any
    required: bool = False
    target: str = ''
    refers_to: str = ''


class TableSchema(NamedTuple):
    """Schema of a table; `key` is the field that names a row.

    `build` makes a row's value from its fields.
    """

    build: Any
    fields: Mapping[str, FieldSchema]
    key: str = 'name'


TABLES: Mapping[str, TableSchema] = {
    'customers': TableSchema(
        configuration.Customer,
        {
            'name': FieldSchema(Name, True),
            'rate_per_s': FieldSchema(Rate, True),
            'burst_requests': FieldSchema(Burst, True),
        },
    ),
    'keys': TableSchema(
        configuration.Key,
        {
            'digest': FieldSchema(Digest, True),
            'customer': FieldSchema(Name, True, refers_to='customers'),
            'withdrawn': FieldSchema(bool),
        },
        'digest',
    ),
    'routes': TableSchema(
        configuration.Route,
        {
            'name': FieldSchema(Name, True),
            'prefix': FieldSchema(Prefix, True),
            'service': FieldSchema(Name, True, refers_to='services'),
            'host': FieldSchema(Host),
            'methods': FieldSchema(frozenset[Method]),
            'customers': FieldSchema(frozenset[Name], refers_to='customers'),
            'open_to_all': FieldSchema(bool),
            'idempotent': FieldSchema(bool),
            'timeout_s': FieldSchema(Timeout, target='timeout'),
            'retry_ratio': FieldSchema(Fraction),
            'body_limit_bytes': FieldSchema(Bytes),
        },
    ),
    'services': TableSchema(
        configuration.Service,
        {
            'name': FieldSchema(Name, True),
            'floor_fraction': FieldSchema(Fraction),
            'queue_limit': FieldSchema(Count),
        },
    ),
    'servers': TableSchema(
        configuration.BackendServer,
        {
            'name': FieldSchema(Name, True),
            'service': FieldSchema(Name, True, refers_to='services'),
            'domain': FieldSchema(Name, True, refers_to='domains'),
            'address': FieldSchema(Address, True),
            'slots': FieldSchema(Count, True),
            'cold_slots': FieldSchema(Count),
            'ramp_completions': FieldSchema(Count),
            'connections': FieldSchema(Count),
            'state': FieldSchema(State),
        },
    ),
    'domains': TableSchema(
        configuration.FailureDomain,
        {'name': FieldSchema(Name, True), 'state': FieldSchema(State)},
    ),
    'fleet': TableSchema(
        lambda floor_fraction: floor_fraction,
        {'floor_fraction': FieldSchema(Fraction, True)},
        '',
    ),
}
