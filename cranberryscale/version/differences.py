"""Differences between two configurations; they never contain an API key."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
from typing import Any
from typing import NamedTuple

from cranberryscale.version import configuration
from cranberryscale.version import durations
from cranberryscale.version import replica


__all__ = ['Difference', 'find_differences']


class Difference(NamedTuple):
    """A changed field, or an entry that was added or removed.

    `field` is empty for a whole entry. `before` is None for an added entry
    and `after` for a removed one.
    """

    subject: str
    field: str
    before: str | None
    after: str | None


def _format_value(value: Any) -> str:
    match value:
        case datetime.timedelta():
            return durations.format_duration(value)
        case float():
            return f'{value:.12g}'
        case frozenset():
            return ', '.join(sorted(value))
        case tuple():
            return ', '.join(f'{p.service} {p.weight:.12g}' for p in value)
        case _:
            return str(value)


def _compare_entries(
    kind: str, before: dict[str, Any], after: dict[str, Any]
) -> Iterator[Difference]:
    for name in sorted(before.keys() | after.keys()):
        subject = f'{kind} {name!r}'
        old, new = before.get(name), after.get(name)
        if old is None or new is None:
            yield Difference(
                subject,
                '',
                None if old is None else 'present',
                None if new is None else 'present',
            )
        else:
            yield from _compare_fields(subject, old, new)


def _compare_fields(subject: str, old: Any, new: Any) -> Iterator[Difference]:
    for field, old_value, new_value in zip(old._fields, old, new, strict=True):
        if old_value != new_value:
            yield Difference(
                subject,
                field,
                _format_value(old_value),
                _format_value(new_value),
            )


def _group_digests(
    current: configuration.Configuration,
) -> dict[str, set[str]]:
    groups: dict[str, set[str]] = {name: set() for name in current.customers}
    for key in current.keys.values():
        groups[key.customer].add(key.digest)
    return groups


def _compare_keys(
    before: configuration.Configuration, after: configuration.Configuration
) -> Iterator[Difference]:
    """Yield the changes of the customers' keys as numbers of keys."""
    old, new = _group_digests(before), _group_digests(after)
    for customer in sorted(old.keys() & new.keys()):
        added = len(new[customer] - old[customer])
        removed = len(old[customer] - new[customer])
        if added or removed:
            yield Difference(
                f'customer {customer!r}',
                'keys',
                str(len(old[customer])),
                f'{len(new[customer])} ({added} added, {removed} removed)',
            )


def find_differences(
    before: replica.Policy, after: replica.Policy
) -> Iterator[Difference]:
    """Yield the differences between two policies, field by field."""

    def index_routes(policy: replica.Policy) -> dict[str, Any]:
        # The body limit is compared once, as a limit.
        return {
            route.name: route._replace(body_limit_bytes=0)
            for route in policy.configuration.routes
        }

    parts: tuple[tuple[str, Callable[[replica.Policy], dict]], ...] = (
        ('route', index_routes),
        ('service', lambda policy: policy.configuration.services),
        ('customer', lambda policy: policy.configuration.customers),
    )
    if before.version != after.version:
        yield Difference(
            'version', '', str(before.version), str(after.version)
        )
    for kind, index in parts:
        yield from _compare_entries(kind, index(before), index(after))
    yield from _compare_keys(before.configuration, after.configuration)
    yield from _compare_fields('limits', before.limits, after.limits)
