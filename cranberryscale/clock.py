"""Clocks passed to everything that needs the time."""

import datetime
import time
from typing import Protocol


__all__ = ['Clock', 'ManualClock', 'SystemClock']


class Clock(Protocol):
    """Read wall time and elapsed time."""

    def read_wall(self) -> datetime.datetime:
        """Return the UTC time, for records read by people."""

    def read_elapsed(self) -> datetime.timedelta:
        """Return the time since boot, suspension included.

        Leases need a clock that advances while the machine sleeps, since
        other instances take over during that time.
        """

    def sleep(self, delta: datetime.timedelta) -> None:
        """Return after a time."""


class SystemClock:
    """Read the clocks of the operating system."""

    def read_wall(self) -> datetime.datetime:
        """Return the UTC time."""
        return datetime.datetime.now(datetime.timezone.utc)

    def read_elapsed(self) -> datetime.timedelta:
        """Return the time since boot, suspension included."""
        return datetime.timedelta(
            seconds=time.clock_gettime(time.CLOCK_BOOTTIME)
        )

    def sleep(self, delta: datetime.timedelta) -> None:
        """Let other threads run for a time."""
        time.sleep(delta.total_seconds())


class ManualClock:
    """Advance only when told to, for tests and measurements."""

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
        """Move both clocks forward by delta."""
        self._wall += delta
        self._elapsed += delta

    def sleep(self, delta: datetime.timedelta) -> None:
        """Move both clocks forward at once."""
        self.advance(delta)
