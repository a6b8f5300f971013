"""Idle connections of the instances to one backend server.

The holder of a pool has no connections of its own, but its permits tell which
instance last used a server and when. A request that gets a server to which
its instance has an idle connection starts a round trip earlier, and saves the
server the work of a handshake.

Load pattern: many instances share few servers, so an instance seldom meets
the server to which it has an idle connection by chance.
"""

import datetime


__all__ = ['IdleConnections']

# Servers close idle connections after 10 s, at times sooner.
REUSE_TIME = datetime.timedelta(seconds=5)
# Instances send a request that runs once at most on a connection that was in
# use within the last second; the report to the holder takes a while.
RUN_ONCE_REUSE_TIME = datetime.timedelta(milliseconds=900)


class IdleConnections:
    """The times at which connections became idle, by instance."""

    def __init__(self) -> None:
        self._idle_since: dict[str, list[datetime.timedelta]] = {}

    def release(self, instance: str, now: datetime.timedelta) -> None:
        """Record that a connection of an instance became idle."""
        fresh = [
            at
            for at in self._idle_since.get(instance, ())
            if now - at < REUSE_TIME
        ]
        self._idle_since[instance] = [*fresh, now]

    def claim(self, instance: str) -> None:
        """Record that an instance uses its latest idle connection, if any."""
        idle_since = self._idle_since.get(instance)
        if idle_since:
            idle_since.pop()
        if not idle_since:
            self._idle_since.pop(instance, None)

    def is_reusable(
        self, instance: str, is_idempotent: bool, now: datetime.timedelta
    ) -> bool:
        """Return whether a request would find an idle connection."""
        idle_since = self._idle_since.get(instance)
        if not idle_since:
            return False
        limit = REUSE_TIME if is_idempotent else RUN_ONCE_REUSE_TIME
        return now - idle_since[-1] < limit
