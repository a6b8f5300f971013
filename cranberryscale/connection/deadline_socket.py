"""Sockets with one deadline for all operations, which watch a second one.

A timeout for each operation lets a sender that drips bytes hold a thread for
ever, so every wait ends at the deadline of the whole exchange. While it waits
for one side, a proxy must notice that the other side is gone.
"""

import datetime
import io
import math
import select
import socket

from cranberryscale import clock as clocks


__all__ = ['DeadlinePassed', 'DeadlineSocket', 'OtherReady']

BUFFER_BYTES = 8192


class DeadlinePassed(TimeoutError):
    """Report that the deadline of the exchange passed."""


class OtherReady(ConnectionError):
    """Report that the watched socket has something to say."""


class _RawReader(io.RawIOBase):
    """Let io.BufferedReader read a wire."""

    def __init__(self, sock: 'DeadlineSocket'):
        self._sock = sock

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        return self._sock.receive_into(buffer)


class DeadlineSocket:
    """Wrap a connected socket; `stream` reads it with a buffer.

    `sent_bytes` and `received_bytes` count since `start_exchange`.
    """

    def __init__(self, sock: socket.socket, clock: clocks.Clock):
        sock.settimeout(0)
        self.sock = sock
        self.sent_bytes = 0
        self.received_bytes = 0
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
        """Let every wait end at this elapsed time."""
        self._deadline = deadline

    def stop_when_readable(self, stops: bool) -> None:
        """Let sendall raise OtherReady once an answer arrives early."""
        self._stops_when_readable = stops
        events = select.POLLOUT | (select.POLLIN if stops else 0)
        self._write_poll.modify(self.sock, events)

    def watch(self, watched: int, events: int = select.POLLRDHUP) -> None:
        """Raise OtherReady while waiting once the other socket is ready."""
        self.stop_watching()
        self._watched = watched
        if watched >= 0:
            self._read_poll.register(watched, events)
            self._write_poll.register(watched, events)

    def stop_watching(self) -> None:
        """Watch no other socket."""
        if self._watched >= 0:
            self._read_poll.unregister(self._watched)
            self._write_poll.unregister(self._watched)
            self._watched = -1

    def _wait(self, poll) -> int:
        remaining = self._deadline - self._clock.read_elapsed()
        wait_ms = remaining.total_seconds() * 1000
        if wait_ms <= 0:
            raise DeadlinePassed(self._deadline)
        ready = dict(poll.poll(min(math.ceil(wait_ms), 2**30)))
        if not ready:
            raise DeadlinePassed(self._deadline)
        if self._watched in ready:
            raise OtherReady(self._watched)
        return ready[self.sock.fileno()]

    def receive_into(self, buffer) -> int | None:
        """Wait for bytes; 0 at the end, None while paused."""
        if self._is_paused:
            return None
        self._wait(self._read_poll)
        count = self.sock.recv_into(buffer)
        self.received_bytes += count
        return count

    def sendall(self, data) -> None:
        """Send everything before the deadline."""
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
                view = view[count:]

    def wait_readable(self) -> bool:
        """Wait for bytes, an end or the other socket; False if none came."""
        try:
            self._wait(self._read_poll)
        except DeadlinePassed:
            return False
        except OtherReady:
            # Reported by the next operation.
            return True
        return True

    def is_readable(self) -> bool:
        """Return whether bytes, an end or an error are waiting."""
        return self.fileno() in dict(self._read_poll.poll(0))

    def is_watched_ready(self) -> bool:
        """Return whether the watched socket is ready, without waiting."""
        return self._watched in dict(self._read_poll.poll(0))

    def has_buffered_data(self) -> bool:
        """Return whether the stream holds bytes, without reading more."""
        self._is_paused = True
        try:
            return bool(self.stream.peek(1))
        finally:
            self._is_paused = False

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self.sock.fileno()

    def close(self) -> None:
        """Close the socket."""
        self.sock.close()
