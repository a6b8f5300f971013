"""HTTP client for backend servers, with bounded connection pools.

Retries are decided by `request.flow` alone, so no urllib3 function that may
retry or redirect is used.
"""

import base64
from collections.abc import Iterator
import contextlib
import datetime
import hashlib
import re
import threading
from typing import NamedTuple
import urllib.parse

import urllib3

from cranberryscale import clock as clocks
from cranberryscale.connection import connection_pool
from cranberryscale.connection import deadline_socket
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
from cranberryscale import errors


__all__ = [
    'BackendClient',
    'BackendResponse',
    'ExchangeLimits',
    'ForwardFailed',
    'PendingResponse',
]


PREFETCH_BYTES = 65536
# A reset within this time, or two round trips, may come from a server that had
# closed the connection before the request arrived.
STALE_RESET_TIME = datetime.timedelta(milliseconds=20)
# Time to read a response that lies in the socket.
READ_TIME = datetime.timedelta(milliseconds=20)
# Responses to earlier requests that are skipped before the one that is due.
MAX_SURPLUS_RESPONSES = 8
# Subtracted from the server's keep-alive timeout, which starts when the server
# sends the response and may expire a little early.
KEEP_ALIVE_MARGIN = datetime.timedelta(seconds=1)
MIN_KEEP_ALIVE = datetime.timedelta(milliseconds=100)

_DIGEST = re.compile(r'(?:^|,)\s*sha-256=:([A-Za-z0-9+/]{43}=):')


class ExchangeLimits(NamedTuple):
    """Limits of one exchange; deadlines are elapsed times.

    Sending must start before `start_until`. The last byte of the response
    must arrive by `deadline`. `caller` is the file descriptor of the caller's
    socket or -1; the exchange ends when the caller disconnects. A connection
    is reused only if it was idle for less than `idle_limit`.
    """

    start_until: datetime.timedelta
    deadline: datetime.timedelta
    caller: int = -1
    idle_limit: datetime.timedelta | None = None


class ForwardFailed(Exception):  # noqa: N818
    """Exchange that ended without a usable response.

    `is_sent` is False only if certainly no byte of the request was sent.
    """

    def __init__(self, error: errors.FleetError, is_sent: bool):
        super().__init__(str(error))
        self.error = error
        self.is_sent = is_sent


def _read_digest(pairs: http_framing.HeaderPairs) -> bytes | None:
    """Return the SHA-256 digest of RFC 9530's Content-Digest, if any."""
    for value in http_framing.find_header_values(pairs, 'content-digest'):
        match = _DIGEST.search(value)
        if match:
            return base64.b64decode(match[1])
    return None


class BackendResponse:
    """Response of a backend server whose body is yet to be read.

    Only the first call of `finish` or `cancel` has an effect.
    """

    def __init__(self, exchange: '_Exchange', head: http_heads.ResponseHead):
        self._exchange = exchange
        self._head = head
        self.status = head.status
        self.reason = head.reason
        self.pairs = head.pairs
        self.body = http_heads.open_response_body(
            exchange.socket.stream,
            head,
            exchange.head.method,
            exchange.allows_unframed,
        )
        self._digest = _read_digest(head.pairs)
        self._prefetched: list[bytes] = []
        self._unread_blocks = self._read_checked()

    def prefetch_body(self) -> None:
        """Read a short body completely, or raise ForwardFailed.

        A short response that is truncated can then still be replaced by that
        of another server. Longer bodies are streamed.
        """
        if getattr(self.body, 'remaining', 0) > PREFETCH_BYTES:
            return
        size = 0
        with self._exchange.translate_errors():
            for data in self._unread_blocks:
                self._prefetched.append(data)
                size += len(data)
                if size > PREFETCH_BYTES:
                    break

    def _read_checked(self) -> Iterator[bytes]:
        """Yield the body; raise AnswerWrong unless it matches its digest.

        The last block is withheld until the digest is verified, so that a
        caller never receives a complete response with a wrong body.
        """
        if self._digest is None or self.body.finished:
            yield from iter(self.body.read_some, b'')
            return
        hasher, pending_block = hashlib.sha256(), b''
        for data in iter(self.body.read_some, b''):
            hasher.update(data)
            if pending_block:
                yield pending_block
            pending_block = data
        if hasher.digest() != self._digest:
            raise errors.make_error('answer_wrong', hasher.hexdigest()[:16])
        if pending_block:
            yield pending_block

    def iter_body(self) -> Iterator[bytes]:
        """Yield the blocks of the body; raise ForwardFailed if cut off."""
        yield from self._prefetched
        with self._exchange.translate_errors():
            yield from self._unread_blocks

    def finish(self) -> None:
        """Return the connection to its pool if it can be reused.

        This requires a server that echoes request ids. Without the echo, a
        late response could be mistaken for that of the next request.
        """
        if self._exchange.is_ended:
            return
        self._exchange.limit_idle(self._head.keep_alive)
        self._exchange.end(
            self.body.finished
            and not isinstance(self.body, http_framing.UnframedBody)
            and self._exchange.is_echoed
            and not self._head.will_close
            and not self._exchange.socket.has_buffered_data()
        )

    def cancel(self) -> None:
        """Close the connection."""
        self._exchange.end(False)


class _Exchange:
    """One request and the head of its response on one connection."""

    def __init__(
        self,
        pool: connection_pool.ConnectionPool,
        head: http_heads.RequestHead,
        limits: ExchangeLimits,
        allows_unframed: bool,
    ):
        self.head = head
        self.allows_unframed = allows_unframed
        self._pool = pool
        self._limits = limits
        self.is_ended = False
        self.is_echoed = False
        self._is_body_sent = False
        self._connection = pool.acquire(
            limits.start_until,
            limits.idle_limit,
            head.request_id,
            head.method,
        )
        self.socket: deadline_socket.DeadlineSocket = self._connection.sock
        self.socket.start_exchange(limits.deadline)
        self.socket.watch(limits.caller)
        self._sent_at = pool.clock.read_elapsed()

    @property
    def deadline(self) -> datetime.timedelta:
        """Return the elapsed time at which the exchange ends."""
        return self._limits.deadline

    def end(self, reuse: bool) -> None:
        """Release the connection once, for reuse only if the body was sent."""
        if self.is_ended:
            return
        self.is_ended = True
        self.socket.stop_watching()
        if reuse and self._is_body_sent:
            self._pool.release(self._connection)
        else:
            self._pool.discard(self._connection)

    def limit_idle(self, keep_alive: datetime.timedelta | None) -> None:
        """Limit the idle time to less than the server's keep-alive timeout."""
        if keep_alive is not None:
            limit = max(keep_alive - KEEP_ALIVE_MARGIN, MIN_KEEP_ALIVE)
            self._connection.idle_limit = min(
                self._connection.idle_limit, limit
            )

    def _fail(self, code: str, cause: Exception) -> ForwardFailed:
        is_sent = self.socket.sent_bytes > 0
        if not is_sent and code == 'backend_broken':
            code = 'backend_refused'
        elif code == 'backend_broken' and self._has_server_ended(cause):
            code = 'backend_ended'
        self.end(False)
        return ForwardFailed(
            errors.make_error(code, type(cause).__name__), is_sent
        )

    def _has_server_ended(self, cause: Exception) -> bool:
        """Return whether the server seems to have ended under the request.

        A server that closed an idle connection resets it at once, as does one
        that accepts no further connections.
        """
        if self.socket.received_bytes:
            return False
        is_reused = self._connection.idle_since is not None
        if not is_reused and getattr(cause, 'errno', None) is None:
            return True
        limit = max(STALE_RESET_TIME, 2 * self._connection.connect_time)
        return self._pool.clock.read_elapsed() - self._sent_at >= limit

    @contextlib.contextmanager
    def translate_errors(self):
        """Turn errors into ForwardFailed, and close the connection."""
        try:
            yield
        except deadline_socket.DeadlinePassed as error:
            raise self._fail('backend_timeout', error) from error
        except deadline_socket.OtherReady as error:
            raise self._fail('caller_gone', error) from error
        except errors.FleetError as error:
            is_sent = self.socket.sent_bytes > 0
            failure = ForwardFailed(error, is_sent)
            self.end(False)
            raise failure from error
        except (OSError, ValueError) as error:
            raise self._fail('backend_broken', error) from error
        except BaseException:
            self.end(False)
            raise

    def _send_head(self) -> None:
        if self._pool.clock.read_elapsed() >= self._limits.start_until:
            raise errors.make_error('pool_unavailable', 'permit ran out')
        if self.socket.is_watched_ready():
            raise deadline_socket.OtherReady('the caller disconnected')
        self.socket.sendall(http_heads.format_request_head(self.head))

    def _send_body(self, body: http_framing.EmptyBody) -> bool:
        """Send the body; return False if a response arrives before its end."""
        socket = self.socket
        is_chunked = self.head.framing.chunked
        socket.stop_when_readable(True)
        while data := body.read_some():
            if socket.is_readable():
                return False
            if is_chunked:
                data = b'%x\r\n%b\r\n' % (len(data), data)
            socket.sendall(data)
        if is_chunked:
            socket.sendall(b'0\r\n\r\n')
        return True

    def _send_body_until_response(self, body: http_framing.EmptyBody) -> None:
        body.watch(self.socket.fileno())
        try:
            self._is_body_sent = self._send_body(body)
        except deadline_socket.OtherReady:
            # Either the server responded early or the caller disconnected;
            # reading the response shows which.
            return
        except (ConnectionResetError, BrokenPipeError):
            # The server may have responded before it closed the connection.
            if not self.socket.is_readable():
                raise
        finally:
            body.stop_watching()

    def send(self, body: http_framing.EmptyBody) -> None:
        """Send the request, or raise ForwardFailed."""
        with self.translate_errors():
            self._send_head()
            self._send_body_until_response(body)
        self._sent_at = self._pool.clock.read_elapsed()

    def receive(self) -> BackendResponse:
        """Return the response, or raise ForwardFailed.

        A response that has arrived is read even if the deadline has passed
        meanwhile.
        """
        if self.socket.is_readable():
            read_until = self._pool.clock.read_elapsed() + READ_TIME
            self.socket.set_deadline(max(self.deadline, read_until))
        with self.translate_errors():
            head = self._read_head()
            response = BackendResponse(self, head)
            self._check_echo(head)
            return response

    def _read_head(self) -> http_heads.ResponseHead:
        """Return the head of the response, after copies of earlier ones.

        A faulty server may send the response to an earlier request of this
        connection once more, while it is at work on the present one.
        """
        for _ in range(MAX_SURPLUS_RESPONSES):
            head = http_heads.read_response_head(self.socket.stream)
            method = self._find_earlier_method(head)
            if method is None or not self._skip_body(head, method):
                break
        return head

    def _find_earlier_method(
        self, head: http_heads.ResponseHead
    ) -> str | None:
        """Return the method of the earlier request that a response is for."""
        echoes = http_framing.find_header_values(head.pairs, 'x-request-id')
        if len(echoes) != 1 or echoes[0] == self.head.request_id:
            return None
        return self._connection.request_methods.get(echoes[0])

    def _skip_body(self, head: http_heads.ResponseHead, method: str) -> bool:
        """Read and discard a body; return False if it is too long."""
        body = http_heads.open_response_body(self.socket.stream, head, method)
        size = 0
        while size <= PREFETCH_BYTES and (data := body.read_some()):
            size += len(data)
        return size <= PREFETCH_BYTES

    def _check_echo(self, head: http_heads.ResponseHead) -> None:
        echoes = http_framing.find_header_values(head.pairs, 'x-request-id')
        for echoed in echoes:
            if echoed != self.head.request_id:
                raise errors.make_error('answer_crossed', echoed[:64])
        self.is_echoed = bool(echoes)
        if not echoes and self._connection.idle_since is not None:
            raise errors.make_error('answer_crossed', 'no echo on reuse')


class PendingResponse:
    """Open exchange whose request was sent.

    `fileno` becomes readable when the server responds or disconnects.
    """

    def __init__(self, exchange: _Exchange):
        self._exchange = exchange
        self.fileno = exchange.socket.fileno

    @property
    def deadline(self) -> datetime.timedelta:
        """Return the elapsed time at which the exchange ends."""
        return self._exchange.deadline

    def has_response(self) -> bool:
        """Return whether a response can be read without a long wait.

        That is the final head with a short body of stated length, any other
        final head, or the end of the connection.
        """
        return http_heads.is_readable_response(
            self._exchange.socket.peek(PREFETCH_BYTES), PREFETCH_BYTES
        )

    def receive(self) -> BackendResponse:
        """Return the response once its head arrived, or raise ForwardFailed.

        Waits until the deadline of the exchange at most.
        """
        return self._exchange.receive()

    def cancel(self) -> None:
        """Close the connection, which cancels the request."""
        self._exchange.end(False)


class BackendClient:
    """HTTP client for backend servers by address ("host:port"); thread-safe.

    `connections` bounds the open connections to one server, `idle_limit` the
    idle time before reuse. `allows_unframed` accepts responses that end with
    their connection.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        connect_timeout: datetime.timedelta,
        idle_limit: datetime.timedelta = datetime.timedelta(seconds=5),
        connections: int = 8,
        allows_unframed: bool = False,
    ):
        self._allows_unframed = allows_unframed
        self._clock = clock
        self._connect_timeout = connect_timeout
        self._idle_limit = idle_limit
        self._connections = connections
        self._pools: dict[str, connection_pool.ConnectionPool] = {}
        self._lock = threading.Lock()

    def _find_pool(self, address: str) -> connection_pool.ConnectionPool:
        if (pool := self._pools.get(address)) is not None:
            return pool
        with self._lock:
            if address not in self._pools:
                parts = urllib.parse.urlsplit(f'//{address}')
                self._pools[address] = connection_pool.ConnectionPool(
                    parts.hostname,
                    parts.port,
                    maxsize=self._connections,
                    timeout=urllib3.Timeout(
                        connect=self._connect_timeout.total_seconds()
                    ),
                    socket_options=connection_pool.SOCKET_OPTIONS,
                    clock=self._clock,
                    idle_limit=self._idle_limit,
                )
            return self._pools[address]

    def send(
        self,
        address: str,
        head: http_heads.RequestHead,
        body: http_framing.EmptyBody,
        limits: ExchangeLimits,
    ) -> PendingResponse:
        """Send a request; return its open exchange, or raise ForwardFailed."""
        try:
            exchange = _Exchange(
                self._find_pool(address), head, limits, self._allows_unframed
            )
        except errors.FleetError as error:
            raise ForwardFailed(error, False) from error
        exchange.send(body)
        return PendingResponse(exchange)

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the idle connections to servers at other addresses."""
        with self._lock:
            removed = [a for a in self._pools if a not in addresses]
            for address in removed:
                self._pools.pop(address).close()
