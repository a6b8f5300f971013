"""Wait for the first response to several exchanges of one request."""

import datetime
import math
import select

from cranberryscale import clock as clocks
from cranberryscale.connection import backends
from cranberryscale.connection import deadline_socket


__all__ = ['OpenExchanges']

# Longest wait that poll() accepts.
MAX_WAIT_MS = 2**30


class OpenExchanges:
    """The exchanges of one request that have no response, by number.

    `caller` is the file descriptor of the caller's socket, or -1.
    """

    def __init__(self, clock: clocks.Clock, caller: int = -1):
        self._clock = clock
        self._caller = caller
        self._exchanges: dict[int, backends.PendingResponse] = {}

    def add(self, number: int, exchange: backends.PendingResponse) -> None:
        """Add an exchange whose request was sent."""
        self._exchanges[number] = exchange

    def remove(self, number: int) -> backends.PendingResponse:
        """Remove and return an exchange; it stays open."""
        return self._exchanges.pop(number)

    def wait(self, until: datetime.timedelta | None = None) -> int | None:
        """Return the number of an exchange that can be read without waiting.

        That is also one whose connection ended or whose deadline has passed.
        Returns None if there is none by the elapsed time `until`. Raises
        deadline_socket.OtherReady if the caller has disconnected.
        """
        first = min(self._exchanges, key=lambda n: self._exchanges[n].deadline)
        deadline = self._exchanges[first].deadline
        is_last = until is None or until >= deadline
        ready = self._poll(deadline if is_last else until)
        if self._caller in ready:
            raise deadline_socket.OtherReady(self._caller)
        for number, exchange in self._exchanges.items():
            if exchange.fileno() in ready:
                return number
        return first if is_last else None

    def is_ready(self) -> bool:
        """Return whether `wait` would return a number or raise at once."""
        return bool(self._exchanges and self._poll(self._clock.read_elapsed()))

    def _poll(self, until: datetime.timedelta) -> dict[int, int]:
        poll = select.poll()
        for exchange in self._exchanges.values():
            poll.register(exchange.fileno(), select.POLLIN)
        if self._caller >= 0:
            poll.register(self._caller, select.POLLRDHUP)
        remaining = until - self._clock.read_elapsed()
        wait_ms = math.ceil(remaining.total_seconds() * 1000)
        return dict(poll.poll(min(max(0, wait_ms), MAX_WAIT_MS)))

    def __bool__(self) -> bool:
        """Return whether there are any."""
        return bool(self._exchanges)

    def cancel(self, number: int) -> bool:
        """Close an exchange; return False if it was removed before."""
        if number not in self._exchanges:
            return False
        self.remove(number).cancel()
        return True
