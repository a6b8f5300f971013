"""Check of a configuration before it is written to the store.

The rows are inspected before they are decoded, which merges rows and keys.
"""

from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from cranberryscale import errors
from cranberryscale.platform import entry_decoding
from cranberryscale.version import deployment
from cranberryscale.version import differences
from cranberryscale.version import findings
from cranberryscale.version import keys
from cranberryscale.version import replica


__all__ = [
    'CheckResult',
    'Reading',
    'check_configuration',
    'read_configuration',
]


class Reading(NamedTuple):
    """A configuration, or None if it does not decode, and the findings."""

    policy: replica.Policy | None
    found: tuple[findings.Finding, ...]


class CheckResult(NamedTuple):
    """Findings on a configuration, and how it differs from another one."""

    found: tuple[findings.Finding, ...]
    changes: tuple[differences.Difference, ...]


def _list_tables(
    document: entry_decoding.PolicyDocument,
) -> tuple[tuple[str, entry_decoding.RowTable, type], ...]:
    tables = (
        ('routes', document.routes, entry_decoding.RouteRow),
        ('services', document.services, entry_decoding.ServiceRow),
        ('tenants', document.tenants, entry_decoding.TenantRow),
    )
    return tuple(table for table in tables if table[1] is not None)


def _read_rows(
    name: str, table: entry_decoding.RowTable, row_type: type
) -> Iterator[msgspec.Struct | findings.Finding]:
    """Yield each decoded row, or a finding for it."""
    known = {field.encode_name for field in msgspec.structs.fields(row_type)}
    for column in table.columns:
        if column not in known:
            yield findings.Finding(
                findings.NOTE,
                'column-unused',
                f'column {column!r} of {name}',
                'is not used by this program',
            )
    yield from findings.find_duplicates(f'{name} column', table.columns)
    for number, row in enumerate(table.rows, 1):
        try:
            yield entry_decoding.convert_row(table, row, row_type)
        except entry_decoding.DECODING_ERRORS as error:
            yield findings.Finding(
                findings.ERROR,
                'row-undecodable',
                f'row {number} of {name}',
                str(error),
            )


def _inspect_splits(
    routes: list[entry_decoding.RouteRow],
) -> Iterator[findings.Finding]:
    for route in routes:
        subject = f'route {route.name!r}'
        parts = route.split or []
        unweighted = [part.service for part in parts if not part.weight]
        if parts and len(unweighted) == len(parts):
            yield findings.Finding(
                findings.ERROR,
                'split-without-weight',
                subject,
                'all weights of its split are 0',
            )
        elif unweighted:
            yield findings.Finding(
                findings.WARNING,
                'part-without-weight',
                subject,
                f'service {unweighted[0]!r} has weight 0 and gets no requests',
            )
        if parts and route.service is not None:
            yield findings.Finding(
                findings.WARNING,
                'service-and-split',
                subject,
                f'its service {route.service!r} has no effect beside a split',
            )
        if not parts and not route.service:
            yield findings.Finding(
                findings.ERROR, 'no-service', subject, 'names no service'
            )


def _inspect_keys(
    tenants: list[entry_decoding.TenantRow],
) -> Iterator[findings.Finding]:
    """Yield an error for each key of several customers, and empty keys."""
    holders: dict[str, str] = {}
    for tenant in tenants:
        for key in tenant.api_keys or ():
            holder = holders.setdefault(keys.digest_key(key), tenant.name)
            if holder != tenant.name:
                yield findings.Finding(
                    findings.ERROR,
                    'key-shared',
                    f'customer {tenant.name!r}',
                    f'has a key that customer {holder!r} has as well',
                )
            if not key.strip():
                yield findings.Finding(
                    findings.ERROR,
                    'key-empty',
                    f'customer {tenant.name!r}',
                    'has an empty key',
                )


def _inspect_document(
    document: entry_decoding.PolicyDocument,
) -> Iterator[findings.Finding]:
    rows: dict[str, list] = {}
    for name, table, row_type in _list_tables(document):
        rows[name] = []
        for row in _read_rows(name, table, row_type):
            if isinstance(row, findings.Finding):
                yield row
            else:
                rows[name].append(row)
    tenants = rows.get('tenants', [])
    yield from findings.find_duplicates(
        'service', (row.name for row in rows['services'])
    )
    yield from findings.find_duplicates(
        'customer', (row.name for row in tenants)
    )
    yield from _inspect_splits(rows['routes'])
    yield from _inspect_keys(tenants)


def read_configuration(body: bytes) -> Reading:
    """Return the decoded configuration and what its rows show."""
    try:
        document = msgspec.json.decode(
            body, type=entry_decoding.PolicyDocument
        )
        found = tuple(_inspect_document(document))
    except entry_decoding.DECODING_ERRORS as error:
        finding = findings.Finding(
            findings.ERROR, 'undecodable', 'configuration', str(error)
        )
        return Reading(None, (finding,))
    try:
        policy = entry_decoding.decode_entry(
            entry_decoding.CONFIGURATION_KEY, body
        )
    except errors.ConfigurationError as error:
        if findings.find_worst_level(found) != findings.ERROR:
            finding = findings.Finding(
                findings.ERROR, 'undecodable', 'configuration', error.value
            )
            found = (*found, finding)
        return Reading(None, found)
    return Reading(policy, found)


def _read_in_force(body: bytes) -> replica.Policy:
    reading = read_configuration(body)
    if reading.policy is None:
        reason = next(
            f'{finding.subject}: {finding.text}'
            for finding in reading.found
            if finding.level == findings.ERROR
        )
        raise errors.make_error(
            'document_invalid', f'configuration in force: {reason}'
        )
    return reading.policy


def check_configuration(
    body: bytes, in_force_body: bytes | None = None
) -> CheckResult:
    """Return the findings on a configuration and what it changes.

    Raises DocumentInvalid if the configuration in force does not decode.
    """
    in_force = None
    if in_force_body is not None:
        in_force = _read_in_force(in_force_body)
    policy, found = read_configuration(body)
    if policy is None:
        return CheckResult(found, ())
    found += tuple(
        findings.inspect_policy(policy, in_force, deployment.LISTENER_LIMITS)
    )
    if in_force is None:
        return CheckResult(found, ())
    changes = differences.find_differences(in_force, policy)
    return CheckResult(found, tuple(changes))
