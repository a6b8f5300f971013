"""The answers to callers' and the platform's own questions."""

import json

from cranberryscale import core_daemon


__all__ = ['PlatformEndpoints']

_READY = '/cranberryscale/ready'
_RESOLVE = '/cranberryscale/resolve'


class PlatformEndpoints:
    """Tell which addresses to use and whether the instance is ready."""

    def __init__(self, entry: core_daemon.CoreDaemon):
        self._entry = entry

    def __call__(self, environ: dict, start_response) -> list[bytes]:
        """Answer one question."""
        match environ.get('PATH_INFO'):
            case path if path == _READY:
                is_ready = self._entry.is_ready
                return self._answer(start_response, is_ready, {})
            case path if path == _RESOLVE:
                return self._resolve(start_response)
        start_response('404 Not Found', [('Content-Length', '0')])
        return []

    def _resolve(self, start_response) -> list[bytes]:
        addresses = self._entry.list_addresses()
        lifetime = self._entry.answer_lifetime.total_seconds()
        answer = {'addresses': addresses, 'ttl': f'{lifetime:g}s'}
        return self._answer(start_response, bool(addresses), answer)

    def _answer(
        self, start_response, is_good: bool, value: dict
    ) -> list[bytes]:
        body = json.dumps(value).encode()
        start_response(
            '200 OK' if is_good else '503 Service Unavailable',
            [
                ('Content-Type', 'application/json'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]
