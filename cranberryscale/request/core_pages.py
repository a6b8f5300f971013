"""HTTP endpoints for operators of an instance that runs a core."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import json
from typing import Any
from typing import TypedDict
import urllib.parse

from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale.process import shards
from cranberryscale.request import actions
from cranberryscale.request import headers
from cranberryscale.request import request_state
from cranberryscale.request import routes


__all__ = ['CorePages', 'ServerExplanation']


class ServerExplanation(TypedDict):
    """A backend server as this instance knows it.

    `is_leaving` if the server said so in an answer. `rest_s` is for how long
    it wants nothing from this instance, `limit_per_s` the limit that it names,
    None without one.
    `health`, `running` and `is_at_limit` are known only to the `holder` of the
    server's shard and None elsewhere.
    """

    server: str
    domain: str
    holder: str
    is_out: bool
    is_cold: bool
    is_leaving: bool
    rest_s: float
    limit_per_s: float | None
    is_at_limit: bool | None
    health: str | None
    running: int | None


class CorePages:
    """WSGI application with the metrics and explanations of one instance.

    `render_metrics` returns the metrics in the Prometheus text format.
    """

    def __init__(
        self,
        driver: core_driver.CoreDriver,
        context: actions.DecisionContext,
        render_metrics: Callable[[], bytes],
    ):
        self._driver = driver
        self._context = context
        self._render_metrics = render_metrics

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve GET /explain and, at every other path, the metrics."""
        content_type = 'text/plain; version=0.0.4'
        if environ.get('PATH_INFO') == '/explain':
            content_type = 'application/json'
            body = json.dumps(self._explain(environ), sort_keys=True).encode()
        else:
            body = self._render_metrics()
        start_response(
            '200 OK',
            [
                ('Content-Type', content_type),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def _explain(self, environ: dict) -> dict[str, Any]:
        """Return how a request would be decided now, without running it."""
        query = dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', '')))
        refusal, state = None, None
        try:
            key = environ.get('HTTP_X_API_KEY', '')
            request = actions.ParsedRequest(
                'explain',
                query.get('method', 'GET'),
                query.get('host', ''),
                routes.clean_path(query.get('path', '/')),
                headers.read_api_key((('X-Api-Key', key),) if key else (), ''),
                self._context.read_elapsed(),
            )
            state = request_state.RequestState(request, self._context)
            state.authorize()
        except errors.FleetError as error:
            refusal = error.code
        route = state.route if state else None
        service = state.service if route else ''
        return {
            'refused': refusal,
            'route': route.name if route else None,
            'service': service or None,
            'customer': (state.customer or None) if state else None,
            'idempotent': state.is_repeatable if route else None,
            'timeout_s': route.timeout.total_seconds() if route else None,
            'servers': list(self._explain_servers(service)),
        }

    def _explain_servers(self, service: str) -> Iterator[ServerExplanation]:
        core = self._driver.core
        with self._driver.lock:
            published = core.replica.current_configuration
            now = self._context.read_elapsed()
            for name, server in sorted(published.servers.items()):
                if server.service != service:
                    continue
                shard = core.find_shard(server)
                holder = core.find_shard_holder(shard, now)
                yield ServerExplanation(
                    server=name,
                    domain=server.domain,
                    holder=holder,
                    is_out=published.is_server_out(server),
                    is_cold=server.is_cold,
                    is_leaving=core.statements.is_leaving(name),
                    rest_s=core.statements.find_rest(
                        name, now
                    ).total_seconds(),
                    limit_per_s=core.statements.limits.find_rate(name),
                    **self._describe_held(shard, holder, name),
                )

    def _describe_held(
        self, shard: shards.Shard, holder: str, server: str
    ) -> dict[str, Any]:
        core = self._driver.core
        pool = core.pools.get(shard)
        tracked = pool.find_server(server) if pool else None
        if tracked is None or holder != core.instance_settings.name:
            return {'health': None, 'running': None, 'is_at_limit': None}
        health = tracked.health.classify(self._context.read_elapsed())
        return {
            'health': health.name.lower(),
            'running': len(tracked.running),
            'is_at_limit': tracked.is_at_limit,
        }
