"""Account of what callers hold in this process, with limits on the sum.

A connection is any hashable object. Times are elapsed times. No method does
I/O, and each charge takes constant time.
"""

import collections
from collections.abc import Hashable
from collections.abc import Iterable
import dataclasses
import datetime
import threading
from typing import NamedTuple

from cranberryscale import errors


__all__ = [
    'AccountLimits',
    'CallerAccount',
    'Full',
    'Opened',
    'Progress',
    'derive_connections',
    'derive_held_bytes',
]

# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Part of the descriptors for sockets that connections of callers may use. The
# others are for backend servers, other instances and pages.
CONNECTIONS_RATIO = 1 / 3
# Part of the memory of the machine that callers may hold. An instance without
# requests uses about a third of the smallest machine.
HELD_RATIO = 0.25
# Memory of a connection, mainly its read buffer.
CONNECTION_BYTES = 16384
# Above this part of the limit, addresses that hold more than ADDRESS_RATIO of
# it get nothing further, so that callers from other addresses find room.
NEAR_LIMIT_RATIO = 0.75
ADDRESS_RATIO = 0.5
MIB = 1024 * 1024


class AccountLimits(NamedTuple):
    """Limits of an account.

    A connection is stalled if it moves fewer than `pace_bytes_per_s` for
    `stall`. Up to `lingering` closing connections are read from while others
    wait.
    """

    connections: int
    held_bytes: int
    stall: datetime.timedelta
    pace_bytes_per_s: float
    lingering: int


class Progress(NamedTuple):
    """Bytes that a connection has moved, and whether it waits for more."""

    connection: Hashable
    moved_bytes: int
    is_waiting: bool


@dataclasses.dataclass(frozen=True)
class Opened:
    """A connection was accepted; `replaced` is one to close, if not None."""

    replaced: Hashable | None = None


@dataclasses.dataclass(frozen=True)
class Full:
    """A connection is refused."""


@dataclasses.dataclass(slots=True)
class _Held:
    address: str
    held_bytes: int = 0
    moved_bytes: int = 0
    # Elapsed time of `moved_bytes`; None while the caller keeps pace.
    sampled_at: datetime.timedelta | None = None


def derive_held_bytes(memory_mb: float, ratio: float = HELD_RATIO) -> int:
    """Return how much callers may hold on a machine of this memory."""
    return int(memory_mb * MIB * ratio)


def derive_connections(
    limit: int,
    max_fds: int,
    held_bytes: int,
    ratio: float = CONNECTIONS_RATIO,
) -> int:
    """Return how many connections callers may have, at least one."""
    descriptors = (max_fds - FILE_DESCRIPTORS) * ratio
    return max(1, min(limit, int(descriptors), held_bytes // CONNECTION_BYTES))


class CallerAccount:
    """Account of the connections of callers and what they hold; thread-safe.

    `counts` has the number of refusals and closed connections by reason.
    """

    def __init__(self, limits: AccountLimits):
        self.limits = limits
        self.counts: collections.Counter[str] = collections.Counter()
        self.held_bytes = 0
        self._connections: dict[Hashable, _Held] = {}
        # Silent connections of each address, silent for longest first.
        self._silent: dict[str, dict[Hashable, None]] = {}
        self._connection_counts: collections.Counter[str] = (
            collections.Counter()
        )
        self._address_bytes: collections.Counter[str] = collections.Counter()
        self._refused_count = 0
        self._lingering_count = 0
        self._lock = threading.Lock()

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    def open(self, connection: Hashable, address: str) -> Opened | Full:
        """Record a new connection.

        At the limit, it replaces a silent one, which the caller of this
        method closes.
        """
        with self._lock:
            replaced = None
            if len(self._connections) >= self.limits.connections:
                replaced = self._find_silent()
                if replaced is None:
                    self._refused_count += 1
                    self.counts['connections'] += 1
                    return Full()
                self._remove(replaced)
                self.counts['replaced'] += 1
            self._connections[connection] = _Held(address)
            self._connection_counts[address] += 1
            return Opened(replaced)

    def remove_silent(self) -> Hashable | None:
        """Remove and return the connection to close first, if any."""
        with self._lock:
            found = self._find_silent()
            if found is not None:
                self._remove(found)
                self.counts['replaced'] += 1
            return found

    def _find_silent(self) -> Hashable | None:
        """Return the longest silent one of the address with most of them."""
        if not self._silent:
            return None
        address = max(self._silent, key=self._connection_counts.__getitem__)
        return next(iter(self._silent[address]))

    def close(self, connection: Hashable) -> None:
        """Release all that a connection holds; later calls do nothing."""
        with self._lock:
            if connection in self._connections:
                self._remove(connection)

    def _remove(self, connection: Hashable) -> None:
        self._release(connection)
        self._remove_silent(connection)
        address = self._connections.pop(connection).address
        self._connection_counts[address] -= 1
        if not self._connection_counts[address]:
            del self._connection_counts[address]

    def _remove_silent(self, connection: Hashable) -> None:
        address = self._connections[connection].address
        silent = self._silent.get(address, {})
        silent.pop(connection, None)
        if not silent:
            self._silent.pop(address, None)

    def set_silent(self, connection: Hashable) -> None:
        """Record that a connection waits for a request and holds nothing.

        It counts as silent until `set_active`.
        """
        with self._lock:
            if connection in self._connections:
                self._release(connection)
                address = self._connections[connection].address
                self._silent.setdefault(address, {})[connection] = None

    def set_active(self, connection: Hashable) -> None:
        """Record that a request began to arrive."""
        with self._lock:
            if connection in self._connections:
                self._remove_silent(connection)

    def charge(self, connection: Hashable, size_bytes: int) -> None:
        """Add to what a connection holds, or raise CallersFull.

        The only connection that holds anything is always admitted.
        """
        with self._lock:
            held = self._connections.get(connection)
            if held is None:
                return
            if self.held_bytes > held.held_bytes and not self._has_room(
                held.address, size_bytes
            ):
                self._refused_count += 1
                self.counts['memory'] += 1
                raise errors.make_error('callers_full')
            held.held_bytes += size_bytes
            self.held_bytes += size_bytes
            self._address_bytes[held.address] += size_bytes

    def _has_room(self, address: str, size_bytes: int) -> bool:
        limit = self.limits.held_bytes
        total = self.held_bytes + size_bytes
        if total <= limit * NEAR_LIMIT_RATIO:
            return True
        of_address = self._address_bytes[address] + size_bytes
        return total <= limit and of_address <= limit * ADDRESS_RATIO

    def record_refusal(self) -> None:
        """Record that a request found no room that others may hold."""
        with self._lock:
            self._refused_count += 1

    def continue_ahead(self, connection: Hashable) -> bool:
        """Release the request of a connection that has sent the next one.

        Returns False if the connection is to be closed instead, since it
        would never be silent and thus never give way.
        """
        with self._lock:
            if connection not in self._connections:
                return False
            self._release(connection)
            if len(self._connections) < self.limits.connections:
                return True
            self.counts['ahead'] += 1
            return False

    def _release(self, connection: Hashable) -> None:
        held = self._connections[connection]
        held.sampled_at = None
        if not held.held_bytes:
            return
        self.held_bytes -= held.held_bytes
        self._address_bytes[held.address] -= held.held_bytes
        if not self._address_bytes[held.address]:
            del self._address_bytes[held.address]
        held.held_bytes = 0

    def find_stalled(
        self,
        progress: Iterable[Progress],
        waiting_count: int,
        now: datetime.timedelta,
    ) -> list[Hashable]:
        """Return the connections to interrupt, slowest first.

        They are no more than connections that wait for a thread or were
        refused since the last call. To be called regularly, also if none
        wait.
        """
        with self._lock:
            demand = waiting_count + self._refused_count
            self._refused_count = 0
            paces = {
                item.connection: pace
                for item in progress
                if (pace := self._measure_pace(item, now)) is not None
            }
            stalled = sorted(paces, key=paces.__getitem__)[:demand]
            self.counts['stalled'] += len(stalled)
            return stalled

    def _measure_pace(
        self, progress: Progress, now: datetime.timedelta
    ) -> float | None:
        """Return bytes a second of a stalled connection, None of others."""
        held = self._connections.get(progress.connection)
        if held is None:
            return None
        if not progress.is_waiting:
            held.sampled_at = None
            return None
        if held.sampled_at is None:
            held.sampled_at, held.moved_bytes = now, progress.moved_bytes
            return None
        elapsed = now - held.sampled_at
        if elapsed < self.limits.stall:
            return None
        moved_bytes = progress.moved_bytes - held.moved_bytes
        pace = moved_bytes / elapsed.total_seconds()
        if pace < self.limits.pace_bytes_per_s:
            return pace
        held.sampled_at, held.moved_bytes = now, progress.moved_bytes
        return None

    def start_lingering(self, waiting_count: int) -> bool:
        """Return whether a thread may go on reading from a closing caller.

        If so, `end_lingering` is to be called afterwards.
        """
        with self._lock:
            if (
                waiting_count
                and self._lingering_count >= self.limits.lingering
            ):
                self.counts['lingering'] += 1
                return False
            self._lingering_count += 1
            return True

    def end_lingering(self) -> None:
        """Record that a thread has stopped reading from a closing caller."""
        with self._lock:
            self._lingering_count -= 1
