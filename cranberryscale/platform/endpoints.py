"""HTTP endpoints for readiness checks and instance addresses."""

import json

from cranberryscale import core_daemon


__all__ = ['PlatformEndpoints']

_READY = '/cranberryscale/ready'
_RESOLVE = '/cranberryscale/resolve'


class PlatformEndpoints:
    """A WSGI application that serves the readiness check and the directory."""

    def __init__(self, daemon: core_daemon.CoreDaemon):
        self._daemon = daemon

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Handle one request."""
        match environ.get('PATH_INFO'):
            case path if path == _READY:
                is_ready = self._daemon.is_ready
                return self._respond(start_response, is_ready, {})
            case path if path == _RESOLVE:
                return self._resolve(start_response)
        start_response('404 Not Found', [('Content-Length', '0')])
        return []

    def _resolve(self, start_response) -> list[bytes]:
        addresses = self._daemon.list_addresses()
        lifetime = self._daemon.answer_lifetime.total_seconds()
        body = {'addresses': addresses, 'ttl': f'{lifetime:g}s'}
        return self._respond(start_response, bool(addresses), body)

    def _respond(
        self, start_response, is_ok: bool, value: dict
    ) -> list[bytes]:
        body = json.dumps(value).encode()
        start_response(
            '200 OK' if is_ok else '503 Service Unavailable',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]
