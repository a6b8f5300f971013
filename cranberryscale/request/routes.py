"""Route lookup by host and path, and the retry budget of each route."""

import threading
from typing import NamedTuple
import urllib.parse

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = ['RouteTable', 'SlashPrefixRouteTable', 'clean_path']

MAX_RETRY_BUDGET = 10.0
# Allows a route without recent requests to retry once.
INITIAL_RETRY_BUDGET = 1.0


class _RouteIndex(NamedTuple):
    """Routes of one configuration, by host and then by path prefix.

    `top_priority` is that of the most urgent routes, the lowest number.
    """

    routes: tuple[configuration.Route, ...]
    by_host: dict[str, dict[str, list[configuration.Route]]]
    top_priority: int = 0


def _clean_prefix(prefix: str) -> str:
    return '/' + prefix.strip('/')


def _build_index(routes: tuple[configuration.Route, ...]) -> _RouteIndex:
    by_host: dict[str, dict[str, list[configuration.Route]]] = {}
    for route in routes:
        prefixes = by_host.setdefault(route.host.lower(), {})
        prefixes.setdefault(_clean_prefix(route.prefix), []).append(route)
    top_priority = min((route.priority for route in routes), default=0)
    return _RouteIndex(routes, by_host, top_priority)


def _list_prefixes(path: str):
    while path:
        yield path
        path = path.rpartition('/')[0]
    yield '/'


def clean_path(path: str) -> str:
    """Return the decoded path that routes are matched against.

    Raises BadRequest for dot segments, since a backend server would resolve
    them and serve a path other than the one that was authorized.
    """
    decoded = urllib.parse.unquote(path, errors='replace').replace('\\', '/')
    parts = [part for part in decoded.split('/') if part]
    end = '/' if parts and decoded.endswith('/') else ''
    for part in parts:
        if part.partition(';')[0] in ('.', '..'):
            raise errors.make_error('bad_request', 'dot segment in the path')
    if any(c < ' ' or c == '\x7f' for c in decoded):
        raise errors.make_error('bad_request', 'control character in the path')
    return '/' + '/'.join(parts) + end


class RouteTable:
    """Routes by host and path with their retry budgets; thread-safe."""

    def __init__(self) -> None:
        self._index = _RouteIndex((), {})
        self._budgets: dict[str, float] = {}
        self._lock = threading.Lock()

    def _find_routes(
        self, index: _RouteIndex, host: str, path: str
    ) -> list[configuration.Route]:
        for name in (host, ''):
            prefixes = index.by_host.get(name)
            if prefixes is None:
                continue
            for prefix in _list_prefixes(path.rstrip('/')):
                if prefix in prefixes:
                    return prefixes[prefix]
        raise errors.make_error('route_unknown', path[:200])

    def find_route(
        self,
        current: configuration.Configuration,
        host: str,
        path: str,
        method: str,
    ) -> configuration.Route:
        """Return the route with the longest prefix of whole segments.

        Routes for the request's host take precedence over those for any
        host. Raises RouteUnknown or MethodNotAllowed.
        """
        index = self._get_index(current)
        for route in self._find_routes(index, host, path):
            if not route.methods or method in route.methods:
                return route
        raise errors.make_error('method_not_allowed', method)

    def _get_index(self, current: configuration.Configuration) -> _RouteIndex:
        # Another thread may replace the index by that of its configuration,
        # which may be older than this one.
        index = self._index
        if index.routes is not current.routes:
            index = self._index = _build_index(current.routes)
        return index

    def is_most_urgent(
        self,
        current: configuration.Configuration,
        route: configuration.Route,
    ) -> bool:
        """Return whether no route of the configuration is more urgent."""
        return route.priority <= self._get_index(current).top_priority

    def credit_retry_budget(self, route: configuration.Route) -> None:
        """Add retry_ratio of a request to the route's retry budget."""
        with self._lock:
            budget = self._budgets.get(route.name, INITIAL_RETRY_BUDGET)
            self._budgets[route.name] = min(
                budget + route.retry_ratio, MAX_RETRY_BUDGET
            )

    def spend_retry(self, route: configuration.Route) -> bool:
        """Take one retry from the route's budget; return False if empty."""
        with self._lock:
            budget = self._budgets.get(route.name, INITIAL_RETRY_BUDGET)
            if budget < 1:
                return False
            self._budgets[route.name] = budget - 1
            return True


class SlashPrefixRouteTable(RouteTable):
    """Routes whose prefixes end in a slash that the path must contain.

    Retries are bounded by the pools' holders for the whole fleet, not here.
    """

    def _find_routes(
        self, index: _RouteIndex, host: str, path: str
    ) -> list[configuration.Route]:
        return super()._find_routes(index, host, path.rpartition('/')[0])

    def spend_retry(self, route: configuration.Route) -> bool:
        """Return True; the pool's holder bounds retries."""
        return True
