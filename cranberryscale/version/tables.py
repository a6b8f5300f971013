"""Tables that published documents may hold, with units and ranges."""

from typing import Annotated
from typing import Any
from typing import Literal
from typing import Mapping
from typing import NamedTuple

import msgspec

from cranberryscale.version import configuration


__all__ = ['TABLES', 'Field', 'Name', 'Table']

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


class Field(NamedTuple):
    """Describe a field: its type, its target and what it refers to."""

    kind: Any
    required: bool = False
    target: str = ''
    refers_to: str = ''


class Table(NamedTuple):
    """Describe a table: what it builds and the field that names a row."""

    build: Any
    fields: Mapping[str, Field]
    key: str = 'name'


TABLES: Mapping[str, Table] = {
    'customers': Table(
        configuration.Customer,
        {
            'name': Field(Name, True),
            'rate_per_s': Field(Rate, True),
            'burst_requests': Field(Burst, True),
        },
    ),
    'keys': Table(
        configuration.Key,
        {
            'digest': Field(Digest, True),
            'customer': Field(Name, True, refers_to='customers'),
            'withdrawn': Field(bool),
        },
        'digest',
    ),
    'routes': Table(
        configuration.Route,
        {
            'name': Field(Name, True),
            'prefix': Field(Prefix, True),
            'service': Field(Name, True, refers_to='services'),
            'host': Field(Host),
            'methods': Field(frozenset[Method]),
            'customers': Field(frozenset[Name], refers_to='customers'),
            'open_to_all': Field(bool),
            'idempotent': Field(bool),
            'timeout_s': Field(Timeout, target='timeout'),
            'retry_ratio': Field(Fraction),
            'body_limit_bytes': Field(Bytes),
        },
    ),
    'services': Table(
        configuration.Service,
        {
            'name': Field(Name, True),
            'floor_fraction': Field(Fraction),
            'queue_limit': Field(Count),
        },
    ),
    'servers': Table(
        configuration.BackendServer,
        {
            'name': Field(Name, True),
            'service': Field(Name, True, refers_to='services'),
            'domain': Field(Name, True, refers_to='domains'),
            'address': Field(Address, True),
            'slots': Field(Count, True),
            'cold_slots': Field(Count),
            'ramp_completions': Field(Count),
            'connections': Field(Count),
            'state': Field(State),
        },
    ),
    'domains': Table(
        configuration.FailureDomain,
        {'name': Field(Name, True), 'state': Field(State)},
    ),
    'fleet': Table(
        lambda floor_fraction: floor_fraction,
        {'floor_fraction': Field(Fraction, True)},
        '',
    ),
}
