"""Reading of published documents."""

import datetime
import tomllib
from typing import Iterable

from cranberryscale.version import configuration


__all__ = ['merge_documents']


def _read_routes(rows: list[dict]) -> Iterable[configuration.Route]:
    for row in rows:
        fields = dict(row)
        fields['methods'] = frozenset(fields.get('methods', ()))
        fields['customers'] = frozenset(fields.get('customers', ()))
        timeout_s = fields.pop('timeout_s', 10.0)
        fields['timeout'] = datetime.timedelta(seconds=timeout_s)
        yield configuration.Route(**fields)


def merge_documents(texts: Iterable[str]) -> configuration.Configuration:
    """Return the configuration that the documents describe together."""
    rows: dict[str, list[dict]] = {}
    for data in map(tomllib.loads, texts):
        for table, entries in data.items():
            if isinstance(entries, list):
                rows.setdefault(table, []).extend(entries)

    def index(kind, table, field):
        found = (kind(**row) for row in rows.get(table, ()))
        return {getattr(item, field): item for item in found}

    return configuration.Configuration(
        customers=index(configuration.Customer, 'customers', 'name'),
        keys=index(configuration.Key, 'keys', 'digest'),
        routes=tuple(_read_routes(rows.get('routes', []))),
        services=index(configuration.Service, 'services', 'name'),
        servers=index(configuration.BackendServer, 'servers', 'name'),
        domains=index(configuration.FailureDomain, 'domains', 'name'),
    )
