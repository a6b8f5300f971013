"""The server for callers: CherryPy's, with connections that hold no thread."""

import contextlib
import datetime
import queue
import socket
import struct
import threading

from cheroot import server as cheroot_server
from cheroot.workers import threadpool
from cheroot import wsgi
import cherrypy
from cherrypy import _cpserver
from cherrypy import _cpwsgi_server
from cherrypy.process import wspbus

from cranberryscale import clock as clocks
from cranberryscale.connection import callers
from cranberryscale.connection import streams
from cranberryscale import errors
from cranberryscale.version import settings


__all__ = ['CallersServer', 'Listener', 'make_server']

KEEP_ALIVE_LIMIT = 1024
# How long and how much is read from a caller that still sends its body when
# the connection closes; without it the reset can destroy the answer.
LINGER = datetime.timedelta(seconds=0.5)
LINGER_BYTES = 1024 * 1024


class _Reader:
    """Read from a wire, with what cheroot asks of its readers."""

    def __init__(self, wire: streams.Wire):
        self._wire = wire
        self.read1 = wire.stream.read1
        self.readline = wire.stream.readline
        self.close = wire.stream.close

    def has_data(self) -> bool:
        """Tell whether a pipelined request is buffered."""
        return self._wire.has_buffered()


class _Writer:
    """Collect small writes until `flush`, so that they share a packet."""

    def __init__(self, wire: streams.Wire):
        self._wire = wire
        self._held = bytearray()
        self.closed = False

    def write(self, data: bytes) -> int:
        """Hold the bytes, or send them once they fill a buffer."""
        self._held += data
        if len(self._held) >= streams.BUFFER_BYTES:
            self.flush()
        return len(data)

    def flush(self) -> None:
        """Send what is held."""
        if self._held:
            data, self._held = self._held, bytearray()
            self._wire.sendall(data)


class _Queue(queue.SimpleQueue):
    """Hold connections that wait for a thread, without Python-level locks.

    queue.Queue takes three locks for each item, each a chance to lose the
    interpreter lock to a busy thread.
    """

    def __init__(self, limit: int):
        self.limit = limit

    def put(self, item, block=True, timeout=None) -> None:
        """Add an item; raise queue.Full for connections over the limit."""
        is_connection = isinstance(item, cheroot_server.HTTPConnection)
        if is_connection and self.qsize() >= self.limit:
            raise queue.Full
        super().put(item)


class _ThreadPool(threadpool.ThreadPool):
    """Run a fixed number of threads that take connections from a queue."""

    def __init__(self, server, threads: int, limit: int):
        super().__init__(server, min=threads, max=threads)
        self._queue = _Queue(limit)
        self.get = self._queue.get


class CallerConnection(cheroot_server.HTTPConnection):
    """Hold one caller's connection."""

    RequestHandlerClass = callers.CallerRequest
    is_unread = False
    is_aborted = False

    def __init__(self, server, sock, makefile=None):
        self.wire = streams.Wire(sock, server.clock)
        super().__init__(server, sock, self._make_file)

    def _make_file(self, _sock, mode, _size):
        return _Reader(self.wire) if 'r' in mode else _Writer(self.wire)

    def abort(self) -> None:
        """Reset the connection on close, so that no end looks regular."""
        self.is_aborted = True

    def _linger(self) -> None:
        clock = self.server.clock
        self.wire.stop_watching()
        self.wire.start_exchange(clock.read_elapsed() + LINGER)
        self.socket.shutdown(socket.SHUT_WR)
        buffer = bytearray(streams.BUFFER_BYTES)
        while self.wire.receive_into(buffer):
            if self.wire.received_bytes > LINGER_BYTES:
                break

    def close(self) -> None:
        """Close the socket; never raise, since that ends cheroot's thread."""
        with contextlib.suppress(OSError, ValueError):
            if self.is_aborted:
                linger = struct.pack('ii', 1, 0)
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                self.socket.close()
                return
            if self.is_unread:
                self._linger()
        with contextlib.suppress(OSError, ValueError):
            super().close()


class CallerGateway(wsgi.Gateway_10):
    """Give the application the request beside its WSGI variables."""

    def get_environ(self) -> dict:
        """Return the WSGI variables."""
        environ = super().get_environ()
        environ['cranberryscale.request'] = self.req
        return environ


class CallersServer(_cpwsgi_server.CPWSGIServer):
    """Serve callers; waiting connections hold no thread.

    At most `thread_pool` requests run, `accepted_queue_size` more wait, and
    further ones are refused.
    """

    ConnectionClass = CallerConnection
    keep_alive_conn_limit = KEEP_ALIVE_LIMIT

    def __init__(
        self,
        adapter: _cpserver.Server,
        app,
        clock: clocks.Clock,
        sender_timeout: datetime.timedelta,
        body_limit_bytes: int,
    ):
        super().__init__(adapter)
        # The base class sets its own request class on the connection class.
        self.ConnectionClass.RequestHandlerClass = callers.CallerRequest
        self.gateway = CallerGateway
        self.requests = _ThreadPool(
            self, adapter.thread_pool, adapter.accepted_queue_size
        )
        self.wsgi_app = app
        self.server_name = 'cranberryscale'
        self.clock = clock
        self.sender_timeout = sender_timeout
        self.body_limit_bytes = body_limit_bytes

    def process_conn(self, conn: CallerConnection) -> None:
        """Queue a connection that has something to read."""
        is_new = conn.last_used is None
        if is_new and self.can_add_keepalive_connection:
            # cheroot would let it occupy a thread until it sends.
            self._connections.put(conn)
            return
        try:
            if is_new:
                raise queue.Full
            self.requests.put(conn)
        except queue.Full:
            request = callers.CallerRequest(self, conn)
            request.refuse(errors.make_error('instance_busy'))
            conn.is_unread = False
            conn.close()


class Listener:
    """Run an HTTP server on a bus.

    CherryPy's own adapter polls the port at intervals of 0.1 s, once or
    more for each server; here the port is bound when `start` returns.
    """

    def __init__(self, bus: wspbus.Bus, server: cheroot_server.HTTPServer):
        self._bus = bus
        self._server = server

    def subscribe(self) -> None:
        """Start and stop with the bus."""
        self._bus.subscribe('start', self.start)
        self._bus.subscribe('stop', self.stop)

    def start(self) -> None:
        """Bind the port and serve; raise OSError if it is taken."""
        self._server.prepare()
        threading.Thread(target=self._serve, name='HTTPServer').start()

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception:
            self._bus.log('Error in HTTP server', traceback=True, level=40)
            self._bus.exit()
            raise

    def stop(self) -> None:
        """Stop serving and close the port."""
        self._server.stop()


def make_server(
    options: settings.Settings, clock: clocks.Clock, app=None
) -> _cpserver.Server:
    """Return CherryPy's adapter of a server for callers, not yet subscribed.

    `app` is any WSGI callable, by default CherryPy's tree.
    """
    adapter = _cpserver.Server()
    host, port = options.addresses.callers.rsplit(':', 1)
    adapter.socket_host, adapter.socket_port = host.strip('[]'), int(port)
    adapter.thread_pool = adapter.thread_pool_max = options.limits.threads
    adapter.accepted_queue_size = options.limits.queued_connections
    adapter.socket_queue_size = options.limits.queued_connections
    adapter.socket_timeout = options.timeouts.sender_s
    adapter.shutdown_timeout = options.timeouts.shutdown_s
    adapter.max_request_header_size = options.limits.header_bytes
    adapter.max_request_body_size = 0
    adapter.instance = CallersServer(
        adapter,
        cherrypy.tree if app is None else app,
        clock,
        datetime.timedelta(seconds=options.timeouts.sender_s),
        options.limits.body_bytes,
    )
    return adapter
