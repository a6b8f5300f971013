"""A stand-in for the platform's read-only services.

Serves the HTTP API of Consul for KV reads, service health and blocking
queries from a store in memory. That API is read-only, as the product only
reads: tests change values and inject faults by methods of ConsulStore or by a
separate control address.
"""

import argparse
import base64
import http.server
import json
import pathlib
import re
import threading
import time
from typing import Any
from typing import Mapping
import urllib.parse

from standins import store


__all__ = ['load_values', 'main', 'make_control_server', 'make_server']

# Consul's default and limit for the wait of a blocking query.
DEFAULT_WAIT_S = 300.0
MAX_WAIT_S = 600.0
UNIT_SECONDS = {'ms': 0.001, 's': 1.0, 'm': 60.0}


def _parse_wait(text: str) -> float:
    match = re.fullmatch(r'([0-9.]+)(ms|s|m)', text)
    if not match:
        raise ValueError(f'invalid wait {text!r}')
    return min(float(match[1]) * UNIT_SECONDS[match[2]], MAX_WAIT_S)


def _list_keys(
    state: store.ConsulSnapshot,
    prefix: str,
    separator: str,
    faults: store.ConsulFaults,
) -> list[str]:
    keys = set()
    for key in _list_visible(state, prefix, faults):
        rest = key[len(prefix) :]
        position = rest.find(separator) if separator else -1
        end = len(rest) if position < 0 else position + len(separator)
        keys.add(prefix + rest[:end])
    return sorted(keys)


def _list_visible(
    state: store.ConsulSnapshot, prefix: str, faults: store.ConsulFaults
) -> list[str]:
    return [
        key
        for key in sorted(state.values)
        if key.startswith(prefix)
        and not key.endswith(faults.hidden or ('\0',))
    ]


def _list_entries(
    state: store.ConsulSnapshot, prefix: str, faults: store.ConsulFaults
) -> list[Mapping[str, Any]]:
    is_malformed = faults.malformed == 'base64'
    rows = ((k, state.values[k]) for k in _list_visible(state, prefix, faults))
    return [
        {
            'Key': key,
            'Value': '*'
            if is_malformed
            else base64.b64encode(value.encode()).decode(),
            'Flags': 0,
            'CreateIndex': index,
            'ModifyIndex': index,
        }
        for key, (index, value) in rows
    ]


def _list_health(state: store.ConsulSnapshot) -> list[Mapping[str, Any]]:
    return [
        {
            'Node': {'Address': entry.get('Address', '')},
            'Service': {k: v for k, v in entry.items() if k != 'Checks'},
            'Checks': entry.get('Checks', []),
        }
        for entry in state.instances
    ]


class _JsonHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    published: store.ConsulStore

    def log_message(self, format, *args):
        """Write no access log."""

    def send_json(
        self, status: int, body: Any, index: int | None = None
    ) -> None:
        """Send a body as JSON, or a string unchanged.

        `index` becomes the header X-Consul-Index.
        """
        text = body if isinstance(body, str) else json.dumps(body)
        data = text.encode()
        self.send_response(status)
        if index is not None:
            self.send_header('X-Consul-Index', str(index))
            self.send_header('X-Consul-KnownLeader', 'true')
            self.send_header('X-Consul-LastContact', '0')
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class _ReadHandler(_JsonHandler):
    def do_GET(self):
        """Respond to a read or a blocking query."""
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, True))
        try:
            index = int(query.get('index', 0))
            wait_s = _parse_wait(query.get('wait', f'{DEFAULT_WAIT_S}s'))
        except ValueError as error:
            self.send_json(400, str(error))
            return
        path = urllib.parse.unquote(url.path)
        kind, _, name = path.removeprefix('/v1/').partition('/')
        if kind == 'kv':
            state = self.published.wait_for_values(index, wait_s)
            body = self._read_values(state, name, query)
            self._send_with_faults(body, state.values_index)
        elif kind == 'health' and name.startswith('service/'):
            state = self.published.wait_for_instances(index, wait_s)
            self._send_with_faults(_list_health(state), state.instances_index)
        else:
            self.send_json(404, 'no such endpoint')

    def _read_values(
        self, state: store.ConsulSnapshot, name: str, query: Mapping[str, str]
    ) -> list[Any] | None:
        faults = self.published.faults
        if 'keys' in query:
            separator = query.get('separator', '')
            return _list_keys(state, name, separator, faults) or None
        rows = _list_entries(state, name, faults)
        if 'recurse' not in query:
            rows = [row for row in rows if row['Key'] == name]
        return rows or None

    def _send_with_faults(self, body: list[Any] | None, index: int) -> None:
        faults = self.published.faults
        if faults.slow_s:
            time.sleep(faults.slow_s)
        if faults.hang:
            self.close_connection = True
            time.sleep(MAX_WAIT_S)
        elif faults.down:
            self.send_json(500, 'No cluster leader')
        elif faults.malformed == 'json':
            self.send_json(200, '[{', index)
        elif body is None:
            self.send_json(404, '', index)
        else:
            self.send_json(
                200, body, 0 if faults.malformed == 'index' else index
            )


class _PlatformControlHandler(_JsonHandler):
    def do_GET(self):
        """Return the number of calls and the faults in effect."""
        faults = self.published.faults._asdict()
        self.send_json(200, {'calls': self.published.calls, 'faults': faults})

    def do_PUT(self):
        """Set values, instances or faults from a JSON body."""
        body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        try:
            data = json.loads(body)
            match self.path:
                case '/values':
                    self.published.put_values(data)
                case '/instances':
                    self.published.put_instances(data)
                case '/faults':
                    hidden = tuple(data.pop('hidden', ()))
                    self.published.set_faults(
                        store.ConsulFaults(hidden=hidden, **data)
                    )
                case _:
                    self.send_json(404, 'no such endpoint')
                    return
        except (ValueError, TypeError, AttributeError) as error:
            self.send_json(400, str(error))
            return
        self.send_json(200, {})

    def do_DELETE(self):
        """Remove the values under the prefix in the path."""
        self.published.remove_values(self.path.removeprefix('/values/'))
        self.send_json(200, {})


def _make_server(
    base: type[_JsonHandler], published: store.ConsulStore, port: int
) -> http.server.ThreadingHTTPServer:
    handler = type('Handler', (base,), {'published': published})
    server = http.server.ThreadingHTTPServer(('127.0.0.1', port), handler)
    server.daemon_threads = True
    return server


def make_server(
    published: store.ConsulStore, port: int = 0
) -> http.server.ThreadingHTTPServer:
    """Return a server on loopback for reads from the store."""
    return _make_server(_ReadHandler, published, port)


def make_control_server(
    published: store.ConsulStore, port: int = 0
) -> http.server.ThreadingHTTPServer:
    """Return a server on loopback for changes of the store."""
    return _make_server(_PlatformControlHandler, published, port)


def load_values(
    directory: pathlib.Path, prefix: str = 'cranberryscale'
) -> dict[str, str]:
    """Return a directory's documents as key-value pairs of the platform."""
    return {
        f'{prefix}/{path.relative_to(directory).as_posix()}': (
            path.read_text('utf-8')
        )
        for path in sorted(directory.glob('*/*.toml'))
    }


def main() -> None:
    """Serve a directory of documents and an instance list."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--port', type=int, required=True)
    parser.add_argument('--control-port', type=int, default=0)
    parser.add_argument('--documents', type=pathlib.Path, required=True)
    parser.add_argument('--instances', type=pathlib.Path, required=True)
    options = parser.parse_args()
    published = store.ConsulStore()
    published.put_values(load_values(options.documents))
    published.put_instances(json.loads(options.instances.read_text('utf-8')))
    control = make_control_server(published, options.control_port)
    threading.Thread(target=control.serve_forever, daemon=True).start()
    print(f'control=127.0.0.1:{control.server_port}', flush=True)
    make_server(published, options.port).serve_forever()


if __name__ == '__main__':
    main()
