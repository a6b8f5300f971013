"""Pool of connections to one backend server, checked before reuse.

Built on the connection pool of urllib3.
"""

import datetime
import socket

import urllib3
import urllib3.connection
import urllib3.exceptions

from cranberryscale import clock as clocks
from cranberryscale.connection import deadline_socket
from cranberryscale import errors


__all__ = ['BackendConnection', 'ConnectionPool']

KEEPALIVE_IDLE_S = 15
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3
USER_TIMEOUT_MS = 10_000
ACQUIRE_TIMEOUT_S = 0.05
# Bounds the ids that are kept for a connection.
MAX_REQUESTS = 1024
# Zero would make the socket non-blocking.
MIN_CONNECT_TIMEOUT_S = 0.001

SOCKET_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
)


class BackendConnection(urllib3.connection.HTTPConnection):
    """Connection whose I/O is bounded by the deadline of a DeadlineSocket."""

    clock: clocks.Clock
    idle_limit: datetime.timedelta
    idle_since: datetime.timedelta | None = None
    connect_time = datetime.timedelta(0)
    request_methods: dict[str, str]

    def connect(self) -> None:
        began_at = self.clock.read_elapsed()
        super().connect()
        self.connect_time = self.clock.read_elapsed() - began_at
        self.idle_since = None
        # Methods of the requests sent on this connection, by id. A late copy
        # of a response is recognized by its id, so an id is used only once.
        self.request_methods = {}
        self.sock = deadline_socket.DeadlineSocket(self.sock, self.clock)

    def can_carry(self, request_id: str) -> bool:
        """Return whether a response could not be mistaken for another one."""
        if self.sock is None:
            return True
        return (
            request_id not in self.request_methods
            and len(self.request_methods) < MAX_REQUESTS
        )

    @property
    def is_connected(self) -> bool:
        """Return whether the connection may be reused.

        A readable idle socket means end of file, an error or a late response.
        """
        if self.sock is None or self.idle_since is None:
            return False
        return self.is_fresh(self.idle_limit) and not self.sock.is_readable()

    def is_fresh(self, idle_limit: datetime.timedelta) -> bool:
        """Return whether the connection is new or idle for a shorter time."""
        if self.idle_since is None:
            return True
        return self.clock.read_elapsed() - self.idle_since < idle_limit


class ConnectionPool(urllib3.HTTPConnectionPool):
    """Pool of at most `maxsize` connections to one backend server."""

    ConnectionCls = BackendConnection

    def __init__(self, *args, clock, idle_limit, **kwargs):
        super().__init__(*args, block=True, retries=False, **kwargs)
        self.clock = clock
        self._idle_limit = idle_limit

    def _new_conn(self) -> BackendConnection:
        connection = super()._new_conn()
        connection.clock = self.clock
        connection.idle_limit = self._idle_limit
        return connection

    def acquire(
        self,
        until: datetime.timedelta,
        idle_limit: datetime.timedelta | None = None,
        request_id: str = '',
        method: str = 'GET',
    ) -> BackendConnection:
        """Return an open connection, or raise a FleetError.

        It is PoolUnavailable if all connections are in use and BackendRefused
        if connecting failed or the pool is closed.

        Connecting is bounded by the pool's timeout and by the elapsed time
        `until`. A pooled connection is reused if it was idle for less than
        `idle_limit` and has not carried a request with this id.
        """
        try:
            connection = self._get_conn(timeout=ACQUIRE_TIMEOUT_S)
        except urllib3.exceptions.EmptyPoolError as error:
            # Like an expired permit, this says nothing about the server.
            raise errors.make_error(
                'pool_unavailable', 'all connections in use'
            ) from error
        except urllib3.exceptions.ClosedPoolError as error:
            raise errors.make_error(
                'backend_refused', 'no longer published'
            ) from error
        if idle_limit is not None and not connection.is_fresh(idle_limit):
            connection.close()
        if not connection.can_carry(request_id):
            connection.close()
        try:
            if connection.sock is None:
                remaining = until - self.clock.read_elapsed()
                connection.timeout = max(
                    min(
                        self.timeout.connect_timeout, remaining.total_seconds()
                    ),
                    MIN_CONNECT_TIMEOUT_S,
                )
                connection.connect()
        except (OSError, urllib3.exceptions.HTTPError) as error:
            self._put_conn(None)
            raise errors.make_error(
                'backend_refused', type(error).__name__
            ) from error
        connection.request_methods[request_id] = method
        return connection

    def release(self, connection: BackendConnection) -> None:
        """Return the connection to the pool for the next request."""
        connection.idle_since = self.clock.read_elapsed()
        self._put_conn(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close the connection, which cancels a request in progress."""
        connection.close()
        self._put_conn(None)
