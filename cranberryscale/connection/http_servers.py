"""HTTP servers based on cheroot whose idle connections use no thread.

CherryPy itself is not used here: importing it takes a quarter of the
processor time in which an instance on the users' machines starts.
"""

from collections.abc import Callable
import contextlib
import datetime
import itertools
import queue
import socket
import struct
import sys
import threading
from typing import NamedTuple

from absl import logging
from cheroot import server as cheroot_server
from cheroot.workers import threadpool
from cheroot import wsgi

from cranberryscale import clock as clocks
from cranberryscale.connection import caller_requests
from cranberryscale.connection import deadline_socket
from cranberryscale.connection import listeners
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.process import caller_account
from cranberryscale.version import deployment
from cranberryscale.version import settings


__all__ = ['CallerServer', 'PageServer', 'ServerThread']

# Bounds of reading from a caller that may still be sending, a body or further
# requests, when the connection is closed. Without it, a reset could discard
# the part of the response that the caller has not received.
LINGER_TIME = datetime.timedelta(seconds=0.5)
MAX_LINGER_BYTES = 1024 * 1024
# Threads that linger while others wait, as a part of all.
LINGERING_RATIO = 0.5
END_OF_HEAD = b'\r\n\r\n'
# Limits of a listener for pages.
PAGE_CONNECTIONS = 256
PAGE_CONNECTIONS_RATIO = 1 / 16
PAGE_HELD_RATIO = 1 / 16
PAGE_SENDER_TIMEOUT = datetime.timedelta(seconds=5)


class _SocketReader:
    """Reader of a DeadlineSocket with the interface that cheroot expects."""

    def __init__(self, sock: deadline_socket.DeadlineSocket):
        self._sock = sock
        self.read1 = sock.stream.read1
        self.readline = sock.stream.readline
        self.close = sock.stream.close

    def has_data(self) -> bool:
        """Return whether a pipelined request is buffered."""
        return self._sock.has_buffered_data()


class _BufferedWriter:
    """Writer that buffers small writes so that they share a packet."""

    def __init__(self, sock: deadline_socket.DeadlineSocket):
        self._sock = sock
        self._buffer = bytearray()
        self.closed = False

    def write(self, data: bytes) -> int:
        """Buffer the bytes; send them once the buffer is full."""
        self._buffer += data
        if len(self._buffer) >= deadline_socket.BUFFER_BYTES:
            self.flush()
        return len(data)

    def flush(self) -> None:
        """Send the buffered bytes."""
        if self._buffer:
            data, self._buffer = self._buffer, bytearray()
            self._sock.sendall(data)


class _ConnectionQueue(queue.SimpleQueue):
    """Queue of connections that wait for a thread, without Python-level locks.

    queue.Queue acquires three locks for each item, and each may yield the
    interpreter lock to a busy thread.
    """

    def __init__(self, limit: int):
        self.limit = limit

    def put(self, item, block=True, timeout=None) -> None:
        """Add an item; raise queue.Full for a connection over the limit."""
        is_connection = isinstance(item, cheroot_server.HTTPConnection)
        if is_connection and self.qsize() >= self.limit:
            raise queue.Full
        super().put(item)


class _ThreadPool(threadpool.ThreadPool):
    """Threads that serve connections from a queue, started as needed.

    An instance that serves two requests a second rarely needs a second
    thread, but a burst needs many.
    """

    def __init__(self, server, threads: int, limit: int):
        super().__init__(server, min=1, max=threads)
        self._queue = _ConnectionQueue(limit)
        self.get = self._take_next
        # Connections that were queued, and those that were served since then.
        # Their difference is compared with the number of threads. The
        # attribute `conn` of a thread would not do, since it is not set yet
        # when the thread has just taken a connection.
        self._queued_numbers = itertools.count(1)
        self._served_numbers = itertools.count(1)
        self._queued_count = self._served_count = 0
        self._local = threading.local()

    @property
    def waiting_count(self) -> int:
        """Return the number of connections that wait for a thread."""
        return self._queue.qsize()

    def put(self, obj) -> None:
        """Queue a connection; raise queue.Full if too many wait."""
        self._queue.put(obj)
        self._queued_count = next(self._queued_numbers)
        demand = self._queued_count - self._served_count
        # Unlike `grow`, this does not wait until the thread runs.
        if demand > len(self._threads) and len(self._threads) < self.max:
            self._threads.append(self._spawn_worker())

    def _take_next(self):
        """Return the next connection for the calling thread."""
        if getattr(self._local, 'is_serving', False):
            self._served_count = next(self._served_numbers)
        self._local.is_serving = True
        return self._queue.get()


class _CallerThreadPool(_ThreadPool):
    """Threads that finish the requests of callers even after `stop`."""

    def stop(self, timeout: float = 5) -> None:
        """End the threads after what is queued; wait up to `timeout` seconds.

        cheroot would shut down the reading side of connections in use, which
        looks like callers that have disconnected.
        """
        for _ in self._threads:
            self._queue.put(threadpool._SHUTDOWNREQUEST)
        clock = self.server.clock
        until = clock.read_elapsed() + datetime.timedelta(seconds=timeout)
        for thread in self._clear_threads():
            time_left = until - clock.read_elapsed()
            thread.join(max(0.0, time_left.total_seconds()))


class CallerConnection(cheroot_server.HTTPConnection):
    """Connection of a caller."""

    RequestHandlerClass = caller_requests.CallerRequest
    may_receive_more = False
    is_aborted = False
    # Elapsed time at which the next request began to arrive or, if it was
    # already buffered, the previous response ended.
    received = datetime.timedelta(0)

    def __init__(self, server, sock, makefile=None):
        self.wrapped_socket = deadline_socket.DeadlineSocket(
            sock, server.clock
        )
        super().__init__(server, sock, self._make_file)

    def _make_file(self, _sock, mode, _size):
        return (
            _SocketReader(self.wrapped_socket)
            if 'r' in mode
            else _BufferedWriter(self.wrapped_socket)
        )

    def communicate(self) -> bool:
        """Serve one request; return whether to keep the connection."""
        self.server.running.add(self)
        try:
            return super().communicate()
        finally:
            self.server.running.discard(self)

    def abort(self) -> None:
        """Make `close` reset the connection, so that truncation is visible."""
        self.is_aborted = True

    def _linger(self) -> None:
        account = self.server.account
        if not account.start_lingering(self.server.requests.waiting_count):
            return
        try:
            self._discard_received()
        finally:
            account.end_lingering()

    def _discard_received(self) -> None:
        clock = self.server.clock
        self.wrapped_socket.stop_watching()
        self.wrapped_socket.start_exchange(clock.read_elapsed() + LINGER_TIME)
        self.socket.shutdown(socket.SHUT_WR)
        buffer = bytearray(deadline_socket.BUFFER_BYTES)
        while self.wrapped_socket.receive_into(buffer):
            if self.wrapped_socket.received_bytes > MAX_LINGER_BYTES:
                break

    def close(self) -> None:
        """Close the socket; never raise, which would end a cheroot thread."""
        self.server.account.close(self)
        # cheroot's connections refer to themselves, so they are freed only by
        # the garbage collector.
        self.wrapped_socket.discard_received()
        with contextlib.suppress(OSError, ValueError):
            if self.is_aborted:
                linger = struct.pack('ii', 1, 0)
                self.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                self.socket.close()
                return
            if self.may_receive_more:
                self._linger()
        with contextlib.suppress(OSError, ValueError):
            super().close()


class CallerGateway(wsgi.Gateway_10):
    """WSGI gateway that also passes the request object to the application."""

    def get_environ(self) -> dict:
        """Return the WSGI variables."""
        environ = super().get_environ()
        environ['cranberryscale.request'] = self.req
        return environ


class _LoggingServer(wsgi.Server):
    """WSGI server that logs exceptions as events."""

    def error_log(self, msg='', level=20, traceback=False) -> None:
        """Log the type of an exception without its message.

        The message may contain a part of the request and thus an API key.
        """
        kind = sys.exc_info()[0]
        reason = kind.__name__ if traceback and kind else msg
        logs.log_event('http_fault', logging.WARNING, reason=reason)


class _ServerLimits(NamedTuple):
    """Limits of a listener; `idle_timeout` is that of silent connections."""

    header_bytes: int
    body_bytes: int
    threads: int
    queued_connections: int
    idle_timeout: datetime.timedelta
    sender_timeout: datetime.timedelta
    stop_timeout: datetime.timedelta


class _GuardedServer(_LoggingServer):
    """HTTP server with limits on what its callers hold together.

    Connections without a request use no thread.
    """

    ConnectionClass = CallerConnection
    finishes_accepted = True
    # Whether the thread that accepts connections also receives heads, so that
    # slow callers occupy no thread.
    buffers_heads = False

    def __init__(
        self,
        address: str,
        app: Callable,
        clock: clocks.Clock,
        limits: _ServerLimits,
        account: caller_account.CallerAccount,
    ):
        super().__init__(
            _split_address(address),
            app,
            server_name='cranberryscale',
            request_queue_size=limits.queued_connections,
            timeout=limits.idle_timeout.total_seconds(),
            shutdown_timeout=limits.stop_timeout.total_seconds(),
        )
        self.max_request_header_size = limits.header_bytes
        self.keep_alive_conn_limit = account.limits.connections
        self.gateway = CallerGateway
        self.requests = _CallerThreadPool(
            self, limits.threads, limits.queued_connections
        )
        self.clock = clock
        self.sender_timeout = limits.sender_timeout
        self.body_limit_bytes = limits.body_bytes
        self.account = account
        # Connections on a thread.
        self.running: set[CallerConnection] = set()
        self._reported: dict[str, int] = {}

    def prepare(self) -> None:
        """Bind the port and start the threads."""
        super().prepare()
        self._connections._selector.close()
        self._connections = listeners.ConnectionManager(self)

    def stop(self) -> None:
        """Stop accepting, serve what was accepted, then close.

        The application must already refuse new requests. Requests that last
        longer than the shutdown timeout go on.
        """
        if not self.ready:
            return
        if self.finishes_accepted:
            self._connections.finish_accepting()
            # cheroot would connect to the listener to wake up its loop.
            self.socket = None
        else:
            self._connections.interrupt()
        super().stop()

    def process_conn(self, conn: CallerConnection) -> None:
        """Queue a readable connection, or refuse it at a limit."""
        if conn is self._connections.wakeup:
            return
        conn.received = self.clock.read_elapsed()
        if conn.last_used is None:
            self._add_connection(conn)
            return
        if self.buffers_heads and not self._receive_head(conn):
            return
        self.account.set_active(conn)
        try:
            self.requests.put(conn)
        except queue.Full:
            self._refuse(conn, 'instance_busy')

    def _add_connection(self, conn: CallerConnection) -> None:
        match self.account.open(conn, conn.remote_addr or ''):
            case caller_account.Full():
                self._refuse(conn, 'callers_full')
                return
            case caller_account.Opened(replaced=replaced):
                if replaced is not None:
                    self._connections.close_silent(replaced)
        # cheroot would block a thread until the first byte arrives.
        self._connections.put(conn)

    def _receive_head(self, conn: CallerConnection) -> bool:
        """Return whether a thread can read a request without waiting."""
        wrapped = conn.wrapped_socket
        moved_before = wrapped.moved_bytes
        is_whole = wrapped.receive_until(
            END_OF_HEAD, self.max_request_header_size
        )
        try:
            self.account.charge(conn, wrapped.moved_bytes - moved_before)
        except errors.FleetError as error:
            self._refuse(conn, error.code)
            return False
        if not is_whole:
            self._connections.wait_for_rest(conn)
        return is_whole

    def _refuse(self, conn: CallerConnection, code: str) -> None:
        request = conn.RequestHandlerClass(self, conn)
        # The thread that accepts connections must not wait for a caller.
        request.refuse(errors.make_error(code), datetime.timedelta(0))
        conn.may_receive_more = False
        conn.close()

    def interrupt_stalled(self) -> None:
        """Interrupt connections that are stalled while others wait."""
        stalled = self.account.find_stalled(
            [
                caller_account.Progress(
                    conn,
                    conn.wrapped_socket.moved_bytes,
                    conn.wrapped_socket.is_waiting,
                )
                for conn in tuple(self.running)
            ],
            self.requests.waiting_count,
            self.clock.read_elapsed(),
        )
        for conn in stalled:
            conn.wrapped_socket.interrupt()
        counts = dict(self.account.counts)
        if counts != self._reported:
            self._reported = counts
            logs.log_event(
                'callers_limited',
                logging.WARNING,
                port=self.bind_addr[1],
                connections=self.account.connection_count,
                held_bytes=self.account.held_bytes,
                **{f'{name}_total': n for name, n in sorted(counts.items())},
            )


class CallerServer(_GuardedServer):
    """HTTP server for the requests of callers.

    At most `limits.threads` requests run at a time, up to
    `limits.queued_connections` more wait, and further ones are refused.
    """

    def __init__(
        self,
        instance_settings: settings.Settings | deployment.Deployment,
        clock: clocks.Clock,
        app: Callable,
    ):
        limits, timeouts = instance_settings.limits, instance_settings.timeouts
        sender_timeout = datetime.timedelta(seconds=timeouts.sender_s)
        held_bytes = caller_account.derive_held_bytes(
            instance_settings.memory_mb
        )
        if limits.held_mb is not None:
            held_bytes = int(limits.held_mb * caller_account.MIB)
        super().__init__(
            instance_settings.addresses.callers,
            app,
            clock,
            _ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                limits.threads,
                limits.queued_connections,
                sender_timeout,
                sender_timeout,
                datetime.timedelta(seconds=timeouts.shutdown_s),
            ),
            caller_account.CallerAccount(
                caller_account.AccountLimits(
                    caller_account.derive_connections(
                        limits.connections,
                        instance_settings.max_fds,
                        held_bytes,
                    ),
                    held_bytes,
                    datetime.timedelta(seconds=limits.stall_s),
                    limits.pace_bytes_per_s,
                    max(1, int(limits.threads * LINGERING_RATIO)),
                )
            ),
        )


class _PageRequest(caller_requests.CallerRequest):
    """Request for a page, which may lack the header Host."""

    requires_host = False


class _PageConnection(CallerConnection):
    """Connection of a caller that asks for pages."""

    RequestHandlerClass = _PageRequest


class PageServer(_GuardedServer):
    """HTTP server for small pages with a few threads.

    Bodies of requests are not read.
    """

    ConnectionClass = _PageConnection
    # Nobody loses a request when a page is refused.
    finishes_accepted = False
    buffers_heads = True

    def __init__(
        self,
        address: str,
        app: Callable,
        threads: int,
        stop_limit: datetime.timedelta,
        instance_settings: settings.Settings | deployment.Deployment,
        clock: clocks.Clock,
    ):
        limits = instance_settings.limits
        held_bytes = caller_account.derive_held_bytes(
            instance_settings.memory_mb, PAGE_HELD_RATIO
        )
        connections = caller_account.derive_connections(
            PAGE_CONNECTIONS,
            instance_settings.max_fds,
            held_bytes,
            PAGE_CONNECTIONS_RATIO,
        )
        super().__init__(
            address,
            app,
            clock,
            _ServerLimits(
                limits.header_bytes,
                limits.body_bytes,
                threads,
                PAGE_CONNECTIONS,
                datetime.timedelta(
                    seconds=instance_settings.timeouts.sender_s
                ),
                PAGE_SENDER_TIMEOUT,
                stop_limit,
            ),
            caller_account.CallerAccount(
                caller_account.AccountLimits(
                    connections,
                    held_bytes,
                    datetime.timedelta(seconds=limits.stall_s),
                    limits.pace_bytes_per_s,
                    1,
                )
            ),
        )


def _split_address(address: str) -> tuple[str, int]:
    host, port = address.rsplit(':', 1)
    return host.strip('[]'), int(port)


class ServerThread:
    """Thread of an HTTP server; calls `on_fault` if the server fails."""

    def __init__(
        self,
        server: cheroot_server.HTTPServer,
        on_fault: Callable[[], None],
    ):
        self._server = server
        self._on_fault = on_fault

    def start(self) -> None:
        """Bind the port and serve; raise SettingsInvalid if binding fails."""
        try:
            self._server.prepare()
        except OSError as error:
            raise errors.make_error(
                'settings_invalid', self._server.bind_addr
            ) from error
        threading.Thread(target=self._serve, name='HTTPServer').start()

    def _serve(self) -> None:
        try:
            self._server.serve()
        except Exception as error:
            logs.log_event(
                'listener_lost',
                logging.ERROR,
                address=self._server.bind_addr,
                kind=type(error).__name__,
            )
            self._on_fault()

    def stop(self) -> None:
        """Stop serving and close the port."""
        self._server.stop()
