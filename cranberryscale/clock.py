"""Clocks that are passed to all code that needs the time."""

import datetime
import time
from typing import Protocol


__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(Protocol):
    """An interface to wall time and elapsed time."""

    def read_wall(self) -> datetime.datetime:
        """Return the UTC time, for records read by people."""

    def read_elapsed(self) -> datetime.timedelta:
        """Return the time since boot, including suspension.

        Leases need a clock that advances while the machine is suspended, since
        other instances take over leases during that time.
        """

    def sleep(self, delta: datetime.timedelta) -> None:
        """Block for a duration."""


class SystemClock:
    """The clocks of the operating system."""

    def read_wall(self) -> datetime.datetime:
        """Return the UTC time."""
        return datetime.datetime.now(datetime.timezone.utc)

    def read_elapsed(self) -> datetime.timedelta:
        """Return the time since boot, including suspension."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def sleep(self, delta: datetime.timedelta) -> None:
        """Block this thread for a duration."""
        time.sleep(delta.total_seconds())


class ManualClock:
    """A manually advanced clock, for tests and benchmarks."""

    def __init__(self, wall: datetime.datetime, elapsed: datetime.timedelta):
        self._wall = wall
        self._elapsed = elapsed

    def read_wall(self) -> datetime.datetime:
        """Return the UTC time set so far."""
        return self._wall

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time set so far."""
        return self._elapsed

    def advance(self, delta: datetime.timedelta) -> None:
        """Advance wall time and elapsed time by delta."""
        self._wall += delta
        self._elapsed += delta

    def sleep(self, delta: datetime.timedelta) -> None:
        """Advance both times by delta without blocking."""
        self.advance(delta)
