"""HTTP calls with one time limit for the head and one for the body."""

import datetime
import itertools
import socket
import urllib.parse

import urllib3

from cranberryscale import clock as clocks
from cranberryscale.connection import connection_pool
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
from cranberryscale import errors


__all__ = ['CallFailed', 'CallPool', 'CallResponse']

# Calls with a shorter timeout end sooner.
CONNECT_TIMEOUT = datetime.timedelta(seconds=10)
IDLE_LIMIT = datetime.timedelta(seconds=60)
_SOCKET_OPTIONS = ((socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),)


class CallFailed(Exception):  # noqa: N818
    """Call without a complete response; the message names the reason."""


class CallResponse:
    """Response whose body is yet to be read."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        connection: connection_pool.BackendConnection,
        timeout: datetime.timedelta,
    ):
        self._pool = pool
        self._connection = connection
        stream = connection.sock.stream
        self._head = http_heads.read_response_head(stream)
        self._body = http_heads.open_response_body(
            stream, self._head, 'GET', allows_unframed=True
        )
        self.status = self._head.status
        connection.sock.set_deadline(pool.clock.read_elapsed() + timeout)

    def find_header(self, name: str) -> str:
        """Return the last value of a header in lower case, or ""."""
        values = http_framing.find_header_values(self._head.pairs, name)
        return values[-1] if values else ''

    def read1(self, _limit_bytes: int = -1) -> bytes:
        """Return the next block, b'' at the end, or raise CallFailed.

        A block has at most http_framing.BLOCK_BYTES.
        """
        try:
            return self._body.read_some()
        except (errors.FleetError, OSError, ValueError) as error:
            self.close()
            raise CallFailed(type(error).__name__) from error

    def release_conn(self) -> None:
        """Keep the connection for the next call if it can be reused."""
        if (
            self._body.finished
            and not isinstance(self._body, http_framing.UnframedBody)
            and not self._head.will_close
            and not self._connection.sock.has_buffered_data()
        ):
            self._pool.release(self._connection)
        else:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._pool.discard(self._connection)


class CallPool:
    """Connections for calls to one address ("host:port"); thread-safe."""

    def __init__(self, address: str, clock: clocks.Clock, connections: int):
        host, port = address.rsplit(':', 1)
        self._address = address
        self._clock = clock
        self._call_numbers = itertools.count(1)
        self._pool = connection_pool.ConnectionPool(
            host,
            int(port),
            maxsize=connections,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT.total_seconds()),
            socket_options=_SOCKET_OPTIONS,
            clock=clock,
            idle_limit=IDLE_LIMIT,
        )

    def request(
        self,
        method: str,
        path: str,
        fields: dict[str, str],
        timeout: datetime.timedelta,
    ) -> CallResponse:
        """Return the response once its head arrived, or raise CallFailed.

        The body must arrive within `timeout` after it.
        """
        until = self._clock.read_elapsed() + timeout
        call_id = str(next(self._call_numbers))
        try:
            connection = self._pool.acquire(until, None, call_id, method)
        except errors.FleetError as error:
            raise CallFailed(error.code) from error
        target = f'{path}?{urllib.parse.urlencode(fields)}'
        pairs = (('Host', self._address), ('Accept-Encoding', 'identity'))
        head = http_heads.RequestHead(
            method, target, pairs, http_framing.Framing(0, False), call_id
        )
        try:
            connection.sock.start_exchange(until)
            connection.sock.sendall(http_heads.format_request_head(head))
            return CallResponse(self._pool, connection, timeout)
        except (errors.FleetError, OSError, ValueError) as error:
            self._pool.discard(connection)
            raise CallFailed(type(error).__name__) from error

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()
