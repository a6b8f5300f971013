"""The WSGI callable that serves callers."""

import hashlib
import hmac
import json
import random
from typing import Callable
from typing import Iterable

import urllib3

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = ['Gateway']

_KEY_HEADER = 'HTTP_X_API_KEY'
_UNFORWARDED = frozenset(
    ('HTTP_X_API_KEY', 'HTTP_AUTHORIZATION', 'HTTP_CONNECTION', 'HTTP_HOST')
)


def _forward_headers(environ: dict) -> dict[str, str]:
    return {
        name[len('HTTP_') :].replace('_', '-').title(): value
        for name, value in environ.items()
        if name.startswith('HTTP_') and name not in _UNFORWARDED
    }


class Gateway:
    """Check key and route, choose a backend server and return its answer."""

    def __init__(
        self,
        read_configuration: Callable[[], configuration.Configuration],
        rng: random.Random,
    ):
        self._read_configuration = read_configuration
        self._rng = rng
        self._pool = urllib3.PoolManager(retries=False)

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request."""
        try:
            status, headers, body = self._serve(environ)
        except errors.FleetError as error:
            status = f'{error.entry.status} {error.code}'
            body = json.dumps(
                {'code': error.code, 'ran': error.entry.ran}
            ).encode()
            headers = [('Content-Type', 'application/json')]
        headers.append(('Content-Length', str(len(body))))
        start_response(status, headers)
        return [body]

    def _serve(self, environ: dict) -> tuple[str, list, bytes]:
        current = self._read_configuration()
        route = self._find_route(current, environ['PATH_INFO'])
        if not route.open_to_all:
            self._check_key(current, environ.get(_KEY_HEADER, ''))
        server = self._choose_server(current, route.service)
        return self._forward(environ, route, server)

    def _find_route(self, current, path) -> configuration.Route:
        for route in current.routes:
            if path.startswith(route.prefix):
                return route
        raise errors.make_error('route_unknown', path)

    def _check_key(self, current, key: str) -> None:
        if not key:
            raise errors.make_error('key_missing')
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = current.keys.get(digest)
        if found is None or not hmac.compare_digest(found.digest, digest):
            raise errors.make_error('key_unknown')

    def _choose_server(self, current, service: str):
        servers = [
            server
            for server in current.servers.values()
            if server.service == service and not current.is_server_out(server)
        ]
        if not servers:
            raise errors.make_error('no_backend_server', service)
        return self._rng.choice(servers)

    def _forward(self, environ, route, server) -> tuple[str, list, bytes]:
        length = int(environ.get('CONTENT_LENGTH') or 0)
        url = f'http://{server.address}{environ["PATH_INFO"]}'
        try:
            answer = self._pool.request(
                environ['REQUEST_METHOD'],
                url,
                body=environ['wsgi.input'].read(length) or None,
                headers=_forward_headers(environ),
                timeout=route.timeout.total_seconds(),
            )
        except urllib3.exceptions.NewConnectionError as error:
            raise errors.make_error('backend_refused', server.name) from error
        except urllib3.exceptions.HTTPError as error:
            raise errors.make_error('backend_broken', server.name) from error
        headers = [('Content-Type', answer.headers.get('Content-Type', ''))]
        return f'{answer.status} {answer.reason}', headers, answer.data
