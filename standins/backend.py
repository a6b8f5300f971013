"""Stand-in backend servers with slots, cold start and gray failures.

One process hosts many servers, each on its own port, and a control address.
There, GET /servers returns the counters of all servers, and PUT
/servers/NAME/{mode,cold,drain} with a JSON body changes the state of one.
"""

import argparse
import base64
import hashlib
import http.server
import json
import select
import socket
import threading
import time

from standins import behavior


__all__ = ['main', 'serve', 'serve_control']

_POLL_INTERVAL_S = 0.02


class _BackendHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    @property
    def backend(self) -> behavior.BackendState:
        return self.server.backend

    def log_message(self, *_values) -> None:
        """Log nothing: tests read the counters instead."""

    def handle_request(self) -> None:
        """Respond to a health check or run a request of any method."""
        backend = self.backend
        if self.path == '/health':
            self._send(200, backend.read_health().encode())
            return
        backend.received_heads.append(
            self.raw_requestline + self.headers.as_bytes()
        )
        body = self._read_body()
        if body is None:
            self._send(400, b'bad length')
            return
        if not backend.start_request():
            self._send(503, b'not run', {'X-Not-Run': 'true'})
            return
        outcome = 'broken'
        try:
            outcome = self._run_request(hashlib.sha256(body).hexdigest()[:16])
        except OSError:
            self.close_connection = True
        finally:
            backend.finish_request(outcome)

    do_DELETE = do_GET = do_HEAD = do_OPTIONS = handle_request
    do_PATCH = do_POST = do_PUT = handle_request

    def _read_body(self) -> bytes | None:
        if self.headers.get('Transfer-Encoding', '').lower() != 'chunked':
            length = self.headers.get('Content-Length', '0')
            return self.rfile.read(int(length)) if length.isdigit() else None
        parts = []
        while True:
            try:
                size = int(self.rfile.readline().split(b';')[0], 16)
            except ValueError:
                return None
            parts.append(self.rfile.read(size))
            self.rfile.readline()
            if not size:
                return b''.join(parts)

    def _run_request(self, digest: str) -> str:
        """Run the request and return its outcome, a key of the counters."""
        backend = self.backend
        request_id = self.headers.get('X-Request-Id', '')
        backend.count_run(request_id, self.headers.get('Idempotency-Key', ''))
        failure, duration_s = backend.draw_failure()
        deadline_ms = self.headers.get('X-Deadline-Ms', '')
        timeout_s = int(deadline_ms) / 1000 if deadline_ms.isdigit() else 60.0
        outcome = self._wait(
            duration_s if failure != 'silent' else timeout_s, timeout_s
        )
        if outcome != 'completed' or failure == 'silent':
            self.close_connection = True
            return outcome if outcome != 'completed' else 'late'
        text = f'{backend.name} {self.command} {self.path} {digest} '
        body = text.encode().ljust(backend.behavior.answer_bytes, b'.')
        previous = backend.swap_last_response((request_id, body))
        if failure == 'crossed':
            request_id, body = previous
        self._send_response(failure, request_id, body)
        return 'failed' if failure == 'error' else 'completed'

    def _wait(self, duration_s: float, timeout_s: float) -> str:
        """Wait until the duration or timeout has passed or the peer closes.

        Returns the outcome: completed, late or cancelled.
        """
        end_s = time.monotonic() + min(duration_s, timeout_s)
        while (left_s := end_s - time.monotonic()) > 0:
            interval_s = min(left_s, _POLL_INTERVAL_S)
            if not select.select([self.connection], [], [], interval_s)[0]:
                continue
            try:
                if not self.connection.recv(1, socket.MSG_PEEK):
                    return 'cancelled'
            except OSError:
                return 'cancelled'
            time.sleep(interval_s)
        return 'completed' if duration_s <= timeout_s else 'late'

    def _send_response(
        self, failure: str, request_id: str, body: bytes
    ) -> None:
        digest = base64.b64encode(hashlib.sha256(body).digest()).decode()
        headers = {
            'X-Request-Id': request_id,
            'Content-Digest': f'sha-256=:{digest}:',
        }
        if failure == 'wrong':
            body = body[::-1]
        if failure == 'error':
            self._send(500, b'failed', {'X-Request-Id': request_id})
        else:
            self._send(200, body, headers, is_truncated=failure == 'truncated')

    def _send(
        self,
        status: int,
        body: bytes,
        headers: dict[str, str] | None = None,
        is_truncated: bool = False,
    ) -> None:
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('X-Load', self.backend.describe_load())
        self.send_header('Content-Length', str(len(body)))
        if self.backend.is_draining:
            self.send_header('Connection', 'close')
        self.end_headers()
        if self.command != 'HEAD':
            self.wfile.write(body[: len(body) // 2] if is_truncated else body)
        if is_truncated:
            self.close_connection = True
        self.wfile.flush()


class BackgroundServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, address, handler, **values):
        vars(self).update(values)
        super().__init__(address, handler)
        self.thread = threading.Thread(target=self.serve_forever, daemon=True)
        self.thread.start()


class _BackendControlHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'

    def log_message(self, *_values) -> None:
        """Log nothing: the control address is used by tests only."""

    def do_GET(self) -> None:
        """Return the counters of all servers or of one."""
        backends = self.server.backends
        match self.path.strip('/').split('/'):
            case ['servers']:
                counters = {n: b.snapshot() for n, b in backends.items()}
                self._send(200, counters)
            case ['servers', name] if name in backends:
                self._send(200, backends[name].snapshot())
            case _:
                self._send(404, {'error': 'not found', 'path': self.path})

    def do_PUT(self) -> None:
        """Set the failure mode of a server, its cold state or its draining."""
        backends = self.server.backends
        length = int(self.headers.get('Content-Length', 0))
        try:
            values = json.loads(self.rfile.read(length) or b'{}')
            match self.path.strip('/').split('/'):
                case ['servers', name, 'mode'] if name in backends:
                    backends[name].set_mode(behavior.FailureMode(**values))
                case ['servers', name, 'cold'] if name in backends:
                    backends[name].reset_to_cold()
                case ['servers', name, 'drain'] if name in backends:
                    backends[name].is_draining = bool(values.get('on', True))
                case _:
                    self._send(404, {'error': 'not found', 'path': self.path})
                    return
        except (TypeError, ValueError) as error:
            self._send(400, {'error': 'bad value', 'value': str(error)})
            return
        self._send(200, backends[name].snapshot())

    def _send(self, status: int, content: dict) -> None:
        body = json.dumps(content).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(
    backend: behavior.BackendState, host: str, port: int = 0
) -> BackgroundServer:
    """Serve a backend in background threads; port 0 chooses a free port.

    The address in use is `server_address` of the returned server.
    """
    return BackgroundServer((host, port), _BackendHandler, backend=backend)


def serve_control(
    backends: dict[str, behavior.BackendState], host: str, port: int = 0
) -> BackgroundServer:
    """Serve the control address of backends in background threads."""
    return BackgroundServer(
        (host, port), _BackendControlHandler, backends=backends
    )


def _parse_arguments(arguments: list[str] | None) -> argparse.Namespace:
    defaults = behavior.Behavior()
    parser = argparse.ArgumentParser(
        prog='standins.backend',
        description='Run stand-in backend servers.',
    )
    parser.add_argument(
        '--server',
        action='append',
        required=True,
        metavar='NAME=HOST:PORT',
        help='a server; may be given many times',
    )
    parser.add_argument('--control', required=True, metavar='HOST:PORT')
    parser.add_argument('--slots', type=int, default=defaults.slots)
    parser.add_argument('--service-ms', type=float, default=40.0)
    parser.add_argument('--sigma', type=float, default=defaults.sigma)
    parser.add_argument('--cold-slots', type=int, default=defaults.cold_slots)
    parser.add_argument(
        '--warm-completions', type=int, default=defaults.warm_completions
    )
    parser.add_argument('--cold', action='store_true', help='start cold')
    parser.add_argument('--seed', type=int, default=0)
    return parser.parse_args(arguments)


def _split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    return host, int(port)


def main(arguments: list[str] | None = None) -> None:
    """Serve the backends and their control address until interrupted."""
    options = _parse_arguments(arguments)
    common = behavior.Behavior(
        slots=options.slots,
        service_s=options.service_ms / 1000,
        sigma=options.sigma,
        cold_slots=options.cold_slots,
        warm_completions=options.warm_completions,
    )
    backends = {}
    for number, text in enumerate(options.server):
        name, _, address = text.partition('=')
        backends[name] = behavior.BackendState(
            name, common, options.seed + number
        )
        if options.cold:
            backends[name].reset_to_cold()
        serve(backends[name], *_split_address(address))
    control = serve_control(backends, *_split_address(options.control))
    print(f'event=ready servers={len(backends)}', flush=True)
    try:
        control.thread.join()
    except KeyboardInterrupt:
        control.shutdown()


if __name__ == '__main__':
    main()
