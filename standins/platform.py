"""A stand-in for the platform's read-only configuration service.

Speaks the Consul KV and health HTTP protocols for reads and blocking
queries, over a store in memory.
"""

import argparse
import base64
import http.server
import json
import pathlib
import threading
import urllib.parse


__all__ = ['Store', 'main', 'make_server']

WAIT_DEFAULT_S = 10.0


class Store:
    """Hold keys, values and instances, and the index of the last change."""

    def __init__(self):
        self._changed = threading.Condition()
        self._index = 1
        self._values: dict[str, tuple[int, str]] = {}
        self._instances: list[dict] = []
        self.calls = 0

    def put_values(self, values: dict[str, str]) -> None:
        """Set several keys in one change."""
        with self._changed:
            self._index += 1
            for key, value in values.items():
                self._values[key] = (self._index, value)
            self._changed.notify_all()

    def put_instances(self, instances: list[dict]) -> None:
        """Replace the instance list."""
        with self._changed:
            self._index += 1
            self._instances = instances
            self._changed.notify_all()

    def wait_for_change(self, index: int, wait_s: float) -> int:
        """Block until the index passes `index`, and return it."""
        with self._changed:
            self.calls += 1
            self._changed.wait_for(lambda: self._index > index, wait_s)
            return self._index

    def list_values(self, prefix: str) -> list[dict]:
        """Return the KV entries under a prefix."""
        with self._changed:
            return [
                {
                    'Key': key,
                    'Value': base64.b64encode(value.encode()).decode(),
                    'ModifyIndex': index,
                }
                for key, (index, value) in sorted(self._values.items())
                if key.startswith(prefix)
            ]

    def list_instances(self) -> list[dict]:
        """Return the instance list as health entries."""
        with self._changed:
            return [{'Service': entry} for entry in self._instances]


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    store: Store

    def do_GET(self):
        """Answer a read or a blocking query."""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query))
        wait_s = float(query.get('wait', f'{WAIT_DEFAULT_S}s').rstrip('s'))
        index = self.store.wait_for_change(int(query.get('index', 0)), wait_s)
        if url.path.startswith('/v1/kv/'):
            body = self.store.list_values(url.path[len('/v1/kv/') :])
        else:
            body = self.store.list_instances()
        payload = json.dumps(body).encode()
        self.send_response(200)
        self.send_header('X-Consul-Index', str(index))
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(payload)))
        self.end_headers()
        self.wfile.write(payload)

    def log_message(self, format, *args):
        """Keep the test output free of access lines."""


def make_server(store: Store, port: int) -> http.server.ThreadingHTTPServer:
    """Return a server on loopback that answers from the store."""
    handler = type('Handler', (_Handler,), {'store': store})
    server = http.server.ThreadingHTTPServer(('127.0.0.1', port), handler)
    server.daemon_threads = True
    return server


def main() -> None:
    """Serve a directory of documents and an instance list until ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--documents', type=pathlib.Path, required=True)
    parser.add_argument('--instances', type=pathlib.Path, required=True)
    options = parser.parse_args()
    store = Store()
    store.put_values(
        {
            f'cranberryscale/{path.relative_to(options.documents)}': (
                path.read_text('utf-8')
            )
            for path in sorted(options.documents.rglob('*.toml'))
        }
    )
    store.put_instances(json.loads(options.instances.read_text('utf-8')))
    make_server(store, options.port).serve_forever()


if __name__ == '__main__':
    main()
