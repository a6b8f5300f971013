"""Socket with one deadline for all operations that watches a second socket.

With a timeout for each operation, a peer that sends one byte at a time could
block a thread forever, so every wait ends at the deadline of the whole
exchange. While a proxy waits for one side, it must notice that the other side
has disconnected.
"""

import contextlib
import datetime
import io
import math
import select
import socket

from cranberryscale import clock as clocks


__all__ = ['DeadlinePassed', 'DeadlineSocket', 'OtherReady']

BUFFER_BYTES = 8192


class DeadlinePassed(TimeoutError):
    """Raised when the deadline of the exchange has passed."""


class OtherReady(ConnectionError):
    """Raised when the watched socket is ready or closed."""


class _RawReader(io.RawIOBase):
    """Adapter for io.BufferedReader."""

    def __init__(self, sock: 'DeadlineSocket'):
        self._sock = sock

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        return self._sock.receive_into(buffer)


class DeadlineSocket:
    """Connected socket whose operations share one deadline.

    `stream` is a buffered reader. `sent_bytes` and `received_bytes` count
    from the last call of `start_exchange`, `moved_bytes` counts all bytes in
    both directions.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock):
        sock.settimeout(0)
        self.sock = sock
        self.sent_bytes = 0
        self.received_bytes = 0
        self.moved_bytes = 0
        self._waiting_poll = None
        self._is_interrupted = False
        # Bytes that were received in advance, which the stream reads first.
        self._received = bytearray()
        self._stops_when_readable = False
        self._clock = clock
        self._deadline = datetime.timedelta.max
        self._is_paused = False
        self._watched = -1
        self._read_poll = select.poll()
        self._read_poll.register(sock, select.POLLIN)
        self._write_poll = select.poll()
        self._write_poll.register(sock, select.POLLOUT)
        self.stream = io.BufferedReader(_RawReader(self), BUFFER_BYTES)

    def start_exchange(self, deadline: datetime.timedelta) -> None:
        """Reset the counters and set the deadline."""
        self.sent_bytes = self.received_bytes = 0
        self.stop_when_readable(False)
        self._deadline = deadline

    def set_deadline(self, deadline: datetime.timedelta) -> None:
        """Set the elapsed time at which every wait ends."""
        self._deadline = deadline

    def stop_when_readable(self, stops: bool) -> None:
        """Set whether sendall raises OtherReady once bytes arrive."""
        self._stops_when_readable = stops
        events = select.POLLOUT | (select.POLLIN if stops else 0)
        self._write_poll.modify(self.sock, events)

    def watch(self, watched: int, events: int = select.POLLRDHUP) -> None:
        """Make waits raise OtherReady once the watched socket is ready."""
        self.stop_watching()
        self._watched = watched
        if watched >= 0:
            self._read_poll.register(watched, events)
            self._write_poll.register(watched, events)

    def stop_watching(self) -> None:
        """Stop watching the other socket."""
        if self._watched >= 0:
            self._read_poll.unregister(self._watched)
            self._write_poll.unregister(self._watched)
            self._watched = -1

    def _wait(self, poll) -> int:
        remaining = self._deadline - self._clock.read_elapsed()
        wait_ms = remaining.total_seconds() * 1000
        if wait_ms <= 0:
            raise DeadlinePassed(self._deadline)
        self._waiting_poll = poll
        ready = dict(poll.poll(min(math.ceil(wait_ms), 2**30)))
        self._waiting_poll = None
        if not ready or self._is_interrupted:
            raise DeadlinePassed(self._deadline)
        if self._watched in ready:
            raise OtherReady(self._watched)
        return ready[self.sock.fileno()]

    def receive_into(self, buffer) -> int | None:
        """Read into the buffer; return 0 at the end, None while paused."""
        if self._is_paused:
            return None
        if self._received:
            count = min(len(buffer), len(self._received))
            buffer[:count] = self._received[:count]
            del self._received[:count]
            return count
        self._wait(self._read_poll)
        count = self.sock.recv_into(buffer)
        self.received_bytes += count
        self.moved_bytes += count
        return count

    def sendall(self, data) -> None:
        """Send all data, or raise DeadlinePassed or OtherReady."""
        view = memoryview(data)
        while view:
            try:
                count = self.sock.send(view)
            except BlockingIOError:
                if self._stops_when_readable and self.is_readable():
                    raise OtherReady(self.sock.fileno()) from None
                self._wait(self._write_poll)
            else:
                self.sent_bytes += count
                self.moved_bytes += count
                view = view[count:]

    @property
    def is_waiting(self) -> bool:
        """Return whether a thread waits for the peer."""
        return self._waiting_poll is not None

    def interrupt(self) -> None:
        """Make the wait of another thread end as if its deadline had passed.

        A thread that waits for bytes can still send an error response.
        """
        self._is_interrupted = True
        is_sending = self._waiting_poll is self._write_poll
        with contextlib.suppress(OSError):
            self.sock.shutdown(
                socket.SHUT_RDWR if is_sending else socket.SHUT_RD
            )

    def wait_readable(self) -> bool:
        """Wait until this or the watched socket is ready; False on timeout."""
        try:
            self._wait(self._read_poll)
        except DeadlinePassed:
            return False
        except OtherReady:
            # The next operation raises it again.
            return True
        return True

    def is_readable(self) -> bool:
        """Return whether data, end of file or an error is pending."""
        return self.fileno() in dict(self._read_poll.poll(0))

    def peek(self, size: int) -> bytes | None:
        """Return received bytes that stay unread; None without any.

        They are empty at the end of the connection, also after an error.
        """
        try:
            return self.sock.recv(size, socket.MSG_PEEK)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def is_watched_ready(self) -> bool:
        """Return whether the watched socket is ready, without waiting."""
        return self._watched in dict(self._read_poll.poll(0))

    def has_buffered_data(self) -> bool:
        """Return whether the stream has buffered bytes, without reading."""
        return bool(self._received or self._peek_buffered())

    def _peek_buffered(self) -> bytes:
        self._is_paused = True
        try:
            return self.stream.peek(1)
        finally:
            self._is_paused = False

    def receive_until(self, end: bytes, limit: int) -> bool:
        """Receive what has arrived; return False if `end` may still follow.

        Also returns True once `limit` bytes are buffered and at the end of
        the connection. Does not wait.
        """
        try:
            data = self.sock.recv(limit)
        except BlockingIOError:
            data = None
        except OSError:
            data = b''
        self._received += data or b''
        self.moved_bytes += len(data or b'')
        buffered = self._peek_buffered() + self._received
        return data == b'' or len(buffered) >= limit or end in buffered

    def discard_received(self) -> None:
        """Free the bytes that were received in advance."""
        self._received = bytearray()

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.sock.fileno()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
