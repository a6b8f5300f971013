"""HTTP endpoints for callers and operators."""

import json
from typing import Any
from typing import Iterable
import urllib.parse

import cherrypy

from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.request import headers
from cranberryscale.request import request_state
from cranberryscale.request import routes


__all__ = ['InstanceAddressPage', 'OperatorPages']


def _encode(value: Any) -> bytes:
    return json.dumps(value, sort_keys=True).encode()


def _read_api_key(environ: dict) -> str:
    pairs = (
        ('Authorization', environ.get('HTTP_AUTHORIZATION', '')),
        ('X-Api-Key', environ.get('HTTP_X_API_KEY', '')),
    )
    return headers.read_api_key(tuple(p for p in pairs if p[1]), '')


class InstanceAddressPage:
    """WSGI application that names the instances that a caller should use.

    The customer is found by the API key, if one is given. An invalid key is
    treated like none, so that the response reveals nothing about keys.
    """

    def __init__(self, daemon: Any):
        self._daemon = daemon

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve GET .../which?service=S."""
        if environ.get('PATH_INFO') != '/which':
            return self._refuse('route_unknown', start_response)
        if environ['REQUEST_METHOD'] not in ('GET', 'HEAD'):
            return self._refuse('method_not_allowed', start_response)
        query = urllib.parse.parse_qs(environ.get('QUERY_STRING', ''))
        service = query.get('service', [''])[0]
        try:
            key = _read_api_key(environ)
        except errors.FleetError as error:
            return self._refuse(error.code, start_response)
        found = self._choose_addresses(key, service)
        body = _encode(found._asdict())
        lifetime_s = int(found.lifetime_s)
        start_response(
            '200 OK',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
                ('Cache-Control', f'private, max-age={lifetime_s}'),
            ],
        )
        return [body]

    def _choose_addresses(self, key: str, service: str):
        daemon = self._daemon
        customer = daemon.decision_context.find_customer(key) if key else None
        with daemon.driver.lock:
            return daemon.node.choose_addresses(
                customer or '', service, daemon.clock.read_elapsed()
            )

    def _refuse(self, code: str, start_response) -> Iterable[bytes]:
        entry = errors.make_error(code).entry
        body = _encode(
            {'code': code, 'reason': entry.meaning, 'ran': entry.ran}
        )
        start_response(
            f'{entry.status} {code}',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]


class OperatorPages:
    """Read-only endpoints for operators."""

    def __init__(self, daemon: Any):
        self._daemon = daemon

    def _respond(self, value: Any) -> bytes:
        cherrypy.response.headers['Content-Type'] = 'application/json'
        return _encode(value)

    @cherrypy.expose
    def status(self) -> bytes:
        """Return process.status.InstanceStatus as JSON."""
        daemon = self._daemon
        with daemon.driver.lock:
            now = daemon.clock.read_elapsed()
            value = daemon.node.report_status(now)
        value['subtrees'] = daemon.watcher.list_subtrees_in_force()
        return self._respond(value)

    @cherrypy.expose
    def members(self) -> bytes:
        """Return the members of the view that this instance follows."""
        followed_view = self._daemon.node.membership_view
        return self._respond(
            [member._asdict() for member in followed_view.members]
        )

    @cherrypy.expose
    def audit(self, after: str = '0') -> bytes:
        """Return the audit records numbered above `after`."""
        if not after.isdigit():
            raise cherrypy.HTTPError(400, 'after')
        return self._respond(self._daemon.audit.list_records(int(after)))

    @cherrypy.expose
    def ready(self) -> bytes:
        """Return 200 if the instance is ready, else 503 and the reason."""
        reason = self._daemon.node.not_ready_reason
        if reason:
            cherrypy.response.status = 503
        return self._respond({'ready': not reason, 'reason': reason})

    @cherrypy.expose
    def metrics(self) -> bytes:
        """Return the metrics in the Prometheus text format."""
        cherrypy.response.headers['Content-Type'] = 'text/plain; version=0.0.4'
        self._daemon.record_gauges()
        return self._daemon.metrics.render()

    @cherrypy.expose
    def explain(self, path: str, method: str = 'GET', host: str = '') -> bytes:
        """Return how a request would be decided now, without running it."""
        daemon = self._daemon
        request = actions.ParsedRequest(
            'explain',
            method,
            host,
            routes.clean_path(path),
            _read_api_key(cherrypy.request.wsgi_environ),
            daemon.clock.read_elapsed(),
        )
        state = request_state.RequestState(request, daemon.decision_context)
        refusal = None
        try:
            state.authorize()
        except errors.FleetError as error:
            refusal = error.code
        return self._respond(self._explain(state, refusal))

    def _explain(self, state: request_state.RequestState, refusal: str | None):
        daemon, route = self._daemon, state.route
        value = {
            'refused': refusal,
            'route': route.name if route else None,
            'service': route.service if route else None,
            'customer': state.customer or None,
            'idempotent': state.is_repeatable if route else None,
            'timeout_s': route.timeout.total_seconds() if route else None,
        }
        with daemon.driver.lock:
            now = daemon.clock.read_elapsed()
            keyed = daemon.node.decide_keyed(now)
            value['keyed_reason'] = keyed.reason
            value['budget_holders'] = daemon.node.list_budget_holders(
                state.customer
            )
            value['pool_holders'] = daemon.node.list_pool_holders(
                route.service if route else ''
            )
        return value
