"""Findings on a configuration; they never contain an API key."""

from collections.abc import Iterable
from collections.abc import Iterator
import datetime
import itertools
import re
from typing import NamedTuple

from cranberryscale.version import configuration
from cranberryscale.version import durations
from cranberryscale.version import replica
from cranberryscale.version import settings


__all__ = [
    'ERROR',
    'NOTE',
    'WARNING',
    'Finding',
    'find_duplicates',
    'find_worst_level',
    'inspect_policy',
]

ERROR = 'error'
WARNING = 'warning'
NOTE = 'note'
_LEVELS = (ERROR, WARNING, NOTE)
_NO_TIME = datetime.timedelta(0)
# A path is matched without empty or dot segments and control characters.
_UNMATCHED_PREFIX = re.compile(
    r'//|\\|[\x00-\x1f\x7f]|/\.\.?(;[^/]*)?(/|$)', re.ASCII
)
# A host is matched without its port.
_UNMATCHED_HOST = re.compile(r':[0-9]*$|[\s/]')


class Finding(NamedTuple):
    """A fault or an oddity; `level` is ERROR, WARNING or NOTE."""

    level: str
    code: str
    subject: str
    text: str


def find_worst_level(found: Iterable[Finding]) -> str | None:
    """Return the worst level, or None without findings."""
    return min((f.level for f in found), key=_LEVELS.index, default=None)


def find_duplicates(
    kind: str, names: Iterable[str], code: str = 'duplicate'
) -> Iterator[Finding]:
    """Yield an error for each name that occurs more than once."""
    for name, group in itertools.groupby(sorted(names)):
        count = len(tuple(group))
        if count > 1:
            yield Finding(
                ERROR, code, f'{kind} {name!r}', f'is defined {count} times'
            )


def _list_services(route: configuration.Route) -> tuple[str, ...]:
    if not route.weighted_services:
        return (route.service,)
    return tuple(part.service for part in route.weighted_services)


def _inspect_routes(policy: replica.Policy) -> Iterator[Finding]:
    """Yield errors and unreachable routes."""
    current = policy.configuration
    if not current.routes:
        yield Finding(
            WARNING, 'no-routes', 'routes', 'no request matches any route'
        )
    yield from find_duplicates('route', (r.name for r in current.routes))
    places: dict[tuple[str, str], str] = {}
    for route in current.routes:
        subject = f'route {route.name!r}'
        place = (route.host.lower(), '/' + route.prefix.strip('/'))
        first = places.setdefault(place, route.name)
        if first != route.name:
            yield Finding(
                ERROR,
                'route-shadowed',
                subject,
                f'never matches: route {first!r} has the same host and prefix',
            )
        if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
            yield Finding(
                ERROR,
                'prefix-slashes',
                subject,
                f'prefix {route.prefix!r} must begin and end with a slash',
            )
        if _UNMATCHED_PREFIX.search(route.prefix):
            yield Finding(
                WARNING,
                'prefix-unmatched',
                subject,
                f'never matches: no path is matched as {route.prefix!r}',
            )
        if _UNMATCHED_HOST.search(route.host):
            yield Finding(
                WARNING,
                'host-unmatched',
                subject,
                f'never matches: no host is matched as {route.host!r}',
            )
        for service in _list_services(route):
            if service not in current.services:
                yield Finding(
                    ERROR,
                    'service-unknown',
                    subject,
                    f'service {service!r} is not defined',
                )


def _inspect_unused(policy: replica.Policy) -> Iterator[Finding]:
    """Yield services and customers that get or send no requests."""
    current = policy.configuration
    used = {s for route in current.routes for s in _list_services(route)}
    for service in current.services.keys() - used:
        yield Finding(
            WARNING,
            'service-unused',
            f'service {service!r}',
            'no route leads to it',
        )
    if not current.customers:
        return
    if all(route.open_to_all for route in current.routes):
        yield Finding(
            NOTE,
            'keys-unused',
            'customers',
            'no route asks for a key, so rates and priorities of customers '
            'have no effect',
        )
    holders = {key.customer for key in current.keys.values()}
    for customer in current.customers.keys() - holders:
        yield Finding(
            WARNING,
            'customer-without-key',
            f'customer {customer!r}',
            'has no key, so none of its requests are recognized',
        )


def _inspect_route_limits(policy: replica.Policy) -> Iterator[Finding]:
    for route in policy.configuration.routes:
        subject = f'route {route.name!r}'
        timeout = durations.format_duration(route.timeout)
        target = durations.format_duration(route.target)
        if route.timeout <= _NO_TIME:
            yield Finding(
                ERROR, 'no-time', subject, 'its timeout leaves no time'
            )
        elif route.timeout < route.target:
            yield Finding(
                WARNING,
                'timeout-below-target',
                subject,
                f'its timeout {timeout} is shorter than '
                f'its target latency {target}',
            )
        if route.idempotent is False and route.max_attempts > 1:
            yield Finding(
                NOTE,
                'attempts-not-run',
                subject,
                f'may run once, so its {route.max_attempts} attempts only '
                'cover requests that were not run',
            )


def _inspect_customer_limits(policy: replica.Policy) -> Iterator[Finding]:
    current = policy.configuration
    longest = max((r.timeout for r in current.routes), default=_NO_TIME)
    longest_text = durations.format_duration(longest)
    for customer in current.customers.values():
        subject = f'customer {customer.name!r}'
        rate, burst = customer.rate_per_s, customer.burst_requests
        if rate and burst < 1:
            yield Finding(
                WARNING,
                'rate-without-burst',
                subject,
                f'its rate is {rate:g} per s, but its burst of {burst} leaves '
                'nothing for requests that arrive together',
            )
        if burst and not rate:
            yield Finding(
                WARNING,
                'burst-without-rate',
                subject,
                f'its burst of {burst} has no effect: without a rate there is '
                'no limit',
            )
        if rate and rate * longest.total_seconds() < 1:
            yield Finding(
                WARNING,
                'rate-below-request',
                subject,
                f'its rate of {rate:g} per s admits less than one request '
                f'within the longest timeout {longest_text}',
            )
    urgent = [c for c in current.customers.values() if c.priority is not None]
    if urgent:
        yield Finding(
            NOTE,
            'priority-overridden',
            f'{len(urgent)} customers',
            'have a priority, which takes precedence over those of routes',
        )


def _inspect_service_limits(policy: replica.Policy) -> Iterator[Finding]:
    for service in policy.configuration.services.values():
        warmup = durations.format_duration(service.warmup)
        if service.warmup > _NO_TIME and not service.cold_rate_per_s:
            yield Finding(
                WARNING,
                'warmup-without-rate',
                f'service {service.name!r}',
                f'its servers are cold for {warmup} '
                'and can handle no requests then',
            )


def _inspect_request_limits(
    policy: replica.Policy, listener: settings.ListenerLimits
) -> Iterator[Finding]:
    limits = policy.limits
    header_timeout = durations.format_duration(limits.header_timeout)
    idle_timeout = durations.format_duration(limits.idle_timeout)
    for name, value in limits._asdict().items():
        if not value:
            yield Finding(
                WARNING, 'limit-zero', f'limit {name}', 'admits no request'
            )
    for name in ('header_bytes', 'body_bytes'):
        value, accepted = getattr(limits, name), getattr(listener, name)
        if value > accepted:
            yield Finding(
                WARNING,
                'limit-above-listener',
                f'limit {name}',
                f'{value} is above the {accepted} that a listener accepts',
            )
    if limits.header_timeout > limits.idle_timeout:
        yield Finding(
            WARNING,
            'header-timeout-above-idle',
            'limit header_timeout',
            f'{header_timeout} is longer than the idle timeout {idle_timeout}',
        )


def inspect_policy(
    policy: replica.Policy,
    in_force: replica.Policy | None,
    listener: settings.ListenerLimits,
) -> Iterator[Finding]:
    """Yield the findings on a policy.

    `listener` has the sizes that the listeners for callers accept.
    """
    if in_force is not None and policy.version <= in_force.version:
        yield Finding(
            ERROR,
            'version-not-above',
            'version',
            f'{policy.version} is not above {in_force.version}, which is in '
            'force',
        )
    yield from _inspect_routes(policy)
    yield from sorted(_inspect_unused(policy))
    yield from _inspect_route_limits(policy)
    yield from _inspect_customer_limits(policy)
    yield from _inspect_service_limits(policy)
    yield from _inspect_request_limits(policy, listener)
    for assumption in policy.assumptions:
        yield Finding(WARNING, 'assumed', 'routes', assumption)
