"""Closing a listening socket without cutting off accepted connections.

Linux resets the connections that wait in the accept queue when their listener
is closed, although their callers may have sent a request. So a listener
refuses new connections first, then accepts those that wait, and only then
closes.
"""

import ctypes
import datetime
import errno
import math
import os
import select
import selectors
import socket
import struct
import threading
import time

from absl import logging
from cheroot import connections

from cranberryscale import logs


__all__ = ['ConnectionManager', 'reject_handshakes']

# Handshakes in progress end within a round trip.
HANDSHAKE_TIME = datetime.timedelta(milliseconds=20)
# How long the connections that were accepted last may take to send a request.
LAST_REQUESTS_TIME = datetime.timedelta(milliseconds=100)
POLL_INTERVAL_S = 0.002
# Errors of accept() for want of descriptors or memory.
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)

# Of Linux; the socket module lacks it.
_SO_ATTACH_FILTER = 26
# A classic BPF program on a TCP segment: drop it if it has the SYN flag, which
# starts a handshake. Handshakes in progress can still complete.
_DROP_SYN = (
    # Load the byte of flags, at offset 13 of the TCP header.
    (0x30, 0, 0, 13),
    # Skip the next instruction unless SYN (2) is set.
    (0x45, 0, 1, 2),
    (0x06, 0, 0, 0),
    (0x06, 0, 0, 0xFFFFFFFF),
)


def reject_handshakes(listener: socket.socket) -> None:
    """Make the kernel ignore new handshakes at a listening socket.

    Without support for socket filters, connections that are established just
    before the listener closes may be reset.
    """
    program = b''.join(struct.pack('HBBI', *step) for step in _DROP_SYN)
    buffer = ctypes.create_string_buffer(program, len(program))
    header = struct.pack('HP', len(_DROP_SYN), ctypes.addressof(buffer))
    try:
        listener.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, header)
    except OSError as error:
        logs.log_event(
            'listener_unfiltered',
            logging.WARNING,
            reason=errno.errorcode.get(error.errno, error.errno),
        )


class _Wakeup:
    """Entry of cheroot's selector that interrupts its wait.

    It has the attributes of a connection that the selector uses.
    """

    last_used = math.inf

    def __init__(self):
        self._descriptors = os.pipe()

    def fileno(self) -> int:
        """Return the descriptor to register."""
        return self._descriptors[0]

    def send(self) -> None:
        """Make the descriptor readable."""
        os.write(self._descriptors[1], b'.')

    def close(self) -> None:
        """Close the pipe; further calls have no effect."""
        # Another thread may already use the numbers of closed descriptors.
        descriptors, self._descriptors = self._descriptors, ()
        for descriptor in descriptors:
            os.close(descriptor)


class ConnectionManager(connections.ConnectionManager):
    """cheroot's selector loop that ends without losing a request.

    The loop also passes `wakeup` to the server's `process_conn`.
    """

    def __init__(self, server):
        super().__init__(server)
        self._closed = threading.Event()
        self.wakeup = _Wakeup()
        self._selector.register(
            self.wakeup.fileno(), selectors.EVENT_READ, data=self.wakeup
        )

    def put(self, conn) -> None:
        """Wait for the next request of a connection."""
        conn.last_used = time.time()
        if conn.rfile.has_data():
            if self.server.account.continue_ahead(conn):
                self.server.process_conn(conn)
            else:
                conn.may_receive_more = True
                conn.close()
        else:
            self._register_silent(conn)

    def _register_silent(self, conn) -> None:
        # Once it is registered, the selector thread may see a request.
        self.server.account.set_silent(conn)
        self._selector.register(
            conn.socket.fileno(), selectors.EVENT_READ, data=conn
        )

    def wait_for_rest(self, conn) -> None:
        """Wait for further bytes of a request that has begun.

        The connection still counts as silent, since when it was put here.
        """
        self._selector.register(
            conn.socket.fileno(), selectors.EVENT_READ, data=conn
        )

    def _run(self, expiration_interval: float) -> None:
        """Serve until a stop is requested.

        Unlike the loop of cheroot, this one accepts after it has handled all
        other events. The new connection may replace one of the selector, which
        must not have an event that is yet to be handled.
        """
        checked_at = time.time()
        while not self._stop_requested:
            try:
                active = list(self._selector.select(expiration_interval))
            except OSError:
                self._remove_invalid_sockets()
                continue
            is_accepting = False
            for descriptor, connection in active:
                if connection is self.server:
                    is_accepting = True
                else:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(connection)
            if is_accepting:
                self._accept()
            now = time.time()
            if now - checked_at > expiration_interval:
                checked_at = now
                self._expire(now - self.server.timeout)
                self.server.interrupt_stalled()

    def _accept(self) -> None:
        try:
            connection = self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in _EXHAUSTED:
                raise
            silent = self.server.account.remove_silent()
            if silent is None:
                # The listener stays readable, so the loop would spin.
                time.sleep(POLL_INTERVAL_S)
            else:
                self.close_silent(silent)
            return
        if connection is not None:
            self.server.process_conn(connection)

    def close_silent(self, connection) -> None:
        """Close a connection that waits for a request."""
        try:
            self._selector.unregister(connection.socket.fileno())
        except (KeyError, ValueError):
            # A thread is about to register it, and finds it closed then.
            connection.wrapped_socket.interrupt()
        else:
            connection.close()

    def run(self, expiration_interval: float) -> None:
        """Serve until `finish_accepting`; return once `close` was called."""
        super().run(expiration_interval)
        if self._stop_requested:
            # cheroot would start the loop again until its server is closed.
            self._closed.wait()

    def interrupt(self) -> None:
        """Make the loop end without waiting for the next event."""
        self._stop_requested = True
        self.wakeup.send()

    def finish_accepting(self) -> None:
        """Close the listener; queue the requests on open connections."""
        listener = self.server.socket
        reject_handshakes(listener)
        self.interrupt()
        self.stop()
        self._accept_waiting(listener)
        self._selector.unregister(listener.fileno())
        listener.close()
        self._queue_last_requests()

    def _accept_waiting(self, listener: socket.socket) -> None:
        poll = select.poll()
        poll.register(listener, select.POLLIN)
        clock = self.server.clock
        until = clock.read_elapsed() + HANDSHAKE_TIME
        while True:
            is_last = clock.read_elapsed() >= until
            while poll.poll(0):
                connection = self._from_server_socket(listener)
                if connection is not None:
                    self.server.process_conn(connection)
            if is_last:
                return
            time.sleep(POLL_INTERVAL_S)

    def _queue_last_requests(self) -> None:
        """Queue the connections with a request, until none are left.

        After LAST_REQUESTS_TIME the others are idle; closing them costs
        their callers nothing.
        """
        clock = self.server.clock
        until = clock.read_elapsed() + LAST_REQUESTS_TIME
        while len(self._selector) and clock.read_elapsed() < until:
            for descriptor, connection in tuple(self._selector.select(0)):
                self._selector.unregister(descriptor)
                if connection is not self.wakeup:
                    self.server.process_conn(connection)
            time.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Close the idle connections."""
        self._closed.set()
        super().close()
        self.wakeup.close()
