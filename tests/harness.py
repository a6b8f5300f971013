"""Fakes for tests of the gateway: a backend server, a fleet and a caller."""

import contextlib
import datetime
import re
import socket
import threading

from cranberryscale import clock
from cranberryscale.connection import backends
from cranberryscale.connection import http_servers
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.request import gateway
from cranberryscale.request import routes
from cranberryscale.version import configuration
from cranberryscale.version import settings

KEY = 'secret-key-1234'
SECOND = datetime.timedelta(seconds=1)
CLOCK = clock.SystemClock()


def make_configuration(address='127.0.0.1:1', **route_fields):
    """Return a configuration with two servers at the same address."""
    fields = {'timeout': 2 * SECOND, **route_fields}
    return configuration.Configuration(
        customers={'c1': configuration.Customer('c1', 100, 100)},
        routes=(
            configuration.Route('r1', '/r', 's1', **fields),
            configuration.Route('open', '/open', 's1', open_to_all=True),
        ),
        servers={
            name: configuration.BackendServer(name, 's1', 'd1', address, 6)
            for name in ('b1', 'b2')
        },
        domains={'d1': configuration.FailureDomain('d1')},
    )


class FakeDecisionContext:
    """A decision context with fixed values that a test may change."""

    def __init__(self, current, read_elapsed=CLOCK.read_elapsed):
        self.current = current
        self.read_elapsed = read_elapsed
        self.keys = {KEY: 'c1'}
        self.confirmed = True
        self.avoided = set()
        self.routes = routes.RouteTable()
        self.shutdown_plan = None

    def get_configuration(self):
        return self.current

    def can_serve_keyed_requests(self):
        return self.confirmed

    def find_customer(self, key):
        return self.keys.get(key)

    def is_avoided(self, server):
        return server in self.avoided


class FakeAdmission:
    """Admission control that grants every request and records reports."""

    def __init__(self, decision_context):
        self.context = decision_context
        self.reports = []
        self.overdue = []
        self.finished = []
        self.returned = []

    def ask_tokens(self, action, request_id):
        return actions.TokensGranted(self.context.read_elapsed() + SECOND)

    def ask_permit(self, action, request_id, is_answered=bool):
        left = [name for name in ('b1', 'b2') if name not in action.excluded]
        if not left:
            return actions.AdmissionDenied('no_backend_server', SECOND)
        server = left[0]
        start_until = self.context.read_elapsed() + SECOND
        return actions.PermitGranted('p1', server, start_until)

    def report_overdue(self, action):
        self.overdue.append(action)

    def report_permit(self, action):
        self.reports.append(action.outcome)

    def settle_token(self, request_id, is_spent):
        if not is_spent:
            self.returned.append(request_id)

    def finish_once(self, customer, once_key, request_id, ran):
        self.finished.append(ran)


def plan_shutdown(accepts_for, answers_for=SECOND):
    """Return a plan that admits every request for a while from now on."""
    accepts_until = CLOCK.read_elapsed() + accepts_for
    return shutdown.ShutdownPlan(
        accepts_until, accepts_until, accepts_until + answers_for
    )


class FakeServer:
    """A backend server on raw sockets that records the heads it received.

    Calls `serve(server, sock, number)` in a thread for each connection;
    `number` counts the connections from 1.
    """

    def __init__(self, serve):
        self.received = bytearray()
        self.connections = 0
        self._serve = serve
        self._socket = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._socket.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._socket.accept()
                self.connections += 1
                threading.Thread(
                    target=self._run,
                    args=(sock, self.connections),
                    daemon=True,
                ).start()

    def _run(self, sock, number):
        with contextlib.suppress(OSError), sock:
            sock.settimeout(5)
            self._serve(self, sock, number)

    def read_head(self, sock):
        """Return the next request head, b'' at the end of the connection."""
        head = b''
        while not head.endswith(b'\r\n\r\n'):
            byte = sock.recv(1)
            if not byte:
                return b''
            head += byte
            self.received += byte
        return head

    def close(self):
        self._socket.close()


def serve_hello(server, sock, number):
    """Respond to each request with "hello" after reading its body."""
    while head := server.read_head(sock):
        length = re.search(rb'Content-Length: (\d+)', head)
        if length:
            sock.recv(int(length[1]), socket.MSG_WAITALL)
        response = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
        sock.sendall(copy_request_id(head, response))


def copy_request_id(head, response):
    """Copy the request's X-Request-Id to the head of a response."""
    found = re.search(rb'X-Request-Id: .*\r\n', head)
    echo = found[0] if found else b''
    return response.replace(b'\r\n', b'\r\n' + echo, 1)


def make_serve_once(*parts, reset=False):
    """Return a serve function that sends these bytes after the first head.

    Then it closes the connection, with a reset if `reset`.
    """

    def serve(server, sock, number):
        server.read_head(sock)
        for part in parts:
            sock.sendall(part)
        if reset:
            sock.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                b'\x01\x00\x00\x00\x00\x00\x00\x00',
            )

    return serve


class GatewayStack:
    """A gateway on a real socket in front of a fake backend server."""

    def __init__(
        self,
        serve,
        sender_s=1.0,
        threads=4,
        body_bytes=200000,
        **route_fields,
    ):
        self.server = FakeServer(serve)
        self.decision_context = FakeDecisionContext(
            make_configuration(self.server.address, **route_fields)
        )
        self.admission = FakeAdmission(self.decision_context)
        self.backends = backends.BackendClient(CLOCK, SECOND, connections=4)
        self.outcomes = []
        self.gateway = gateway.Gateway(
            self.admission,
            self.backends,
            CLOCK,
            lambda outcome, _elapsed: self.outcomes.append(outcome),
        )
        instance_settings = settings.parse_settings(
            SETTINGS % (threads, body_bytes, sender_s), ''
        )
        self.listener = http_servers.CallerServer(
            instance_settings, CLOCK, self.gateway
        )
        self.listener.prepare()
        self.port = self.listener.socket.getsockname()[1]
        threading.Thread(target=self.listener.serve, daemon=True).start()

    def connect(self):
        sock = socket.create_connection(('127.0.0.1', self.port))
        sock.settimeout(5)
        return sock

    def send_raw(self, data, head=True):
        """Send bytes on a new connection and return all bytes received.

        With `head`, `data` is a request line and perhaps headers, which is
        completed with the host, the key and "Connection: close".
        """
        if head:
            data = b'%b\r\nHost: h\r\nX-Api-Key: %b\r\nConnection: close' % (
                data,
                KEY.encode(),
            )
            data += b'\r\n\r\n'
        with self.connect() as sock:
            sock.sendall(data)
            return read_all(sock)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.server.close()
        self.listener.stop()


def read_all(sock):
    """Return all bytes up to the end; a reset appends b'<reset>'."""
    data = b''
    try:
        while part := sock.recv(65536):
            data += part
    except ConnectionResetError:
        data += b'<reset>'
    return data


SETTINGS = """
name = "i1"
domain = "d1"
secret = "0123456789abcdef"
addresses = { callers = "127.0.0.1:0", peers = "p:1", operators = "o:1" }
platform = { url = "http://127.0.0.1:1" }
limits = { threads = %d, header_bytes = 4096, body_bytes = %d }
timeouts = { sender_s = %s, shutdown_s = 1.0 }
"""
