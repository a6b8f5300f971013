"""Wait for the first response to several exchanges of one request."""

from collections.abc import Container
import datetime
import math
import select

from cranberryscale import clock as clocks
from cranberryscale.connection import backends
from cranberryscale.connection import deadline_socket


__all__ = ['OpenExchanges']

# How often exchanges are looked at again in which a part has arrived.
PART_INTERVAL = datetime.timedelta(milliseconds=10)
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
        until = deadline if is_last else until
        partial: frozenset[int] = frozenset()
        while True:
            now = self._clock.read_elapsed()
            poll_until = min(until, now + PART_INTERVAL) if partial else until
            ready = self._poll(poll_until, partial)
            if self._caller in ready:
                raise deadline_socket.OtherReady(self._caller)
            begun = partial | self._list_numbers(ready)
            whole = next(filter(self._is_whole, sorted(begun)), None)
            if whole is not None:
                return whole
            if self._clock.read_elapsed() >= until:
                return first if is_last else None
            partial = begun

    def _list_numbers(self, ready: Container[int]) -> frozenset[int]:
        return frozenset(
            number
            for number, exchange in self._exchanges.items()
            if exchange.fileno() in ready
        )

    def _is_whole(self, number: int) -> bool:
        """Return whether to read a response of which a part has arrived.

        Reading a part could take until the deadline, and a whole response to
        another exchange would wait.
        """
        if len(self._exchanges) == 1:
            return True
        return self._exchanges[number].has_response()

    def is_ready(self) -> bool:
        """Return whether `wait` would return a number or raise at once."""
        if not self._exchanges:
            return False
        ready = self._poll(self._clock.read_elapsed(), frozenset())
        return self._caller in ready or any(
            map(self._is_whole, self._list_numbers(ready))
        )

    def _poll(
        self, until: datetime.timedelta, skipped: frozenset[int]
    ) -> dict[int, int]:
        poll = select.poll()
        for number, exchange in self._exchanges.items():
            if number not in skipped:
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
