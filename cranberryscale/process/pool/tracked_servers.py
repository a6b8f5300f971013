"""State of one backend server as tracked by the holder of its pool."""

import collections
from collections.abc import Iterator
import datetime
import itertools

from cranberryscale.process import fleet_buckets
from cranberryscale.process.pool import health
from cranberryscale.process.pool import idle_connections
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_work
from cranberryscale.version import configuration


__all__ = ['TrackedServer']

# Trial requests start one at a time, at least this far apart.
TRIAL_INTERVAL = datetime.timedelta(milliseconds=300)
# Part of the rate that a cold server can take which is used; the rest covers
# requests that are still on their way to it.
COLD_RATE_RATIO = 0.8
COLD_WINDOW = datetime.timedelta(seconds=1)
# The state of a server is stale after this time without a request. Healthy
# servers have to be in use within two seconds.
UNUSED_TIME = datetime.timedelta(seconds=1)
# Ages between which a running request is evidence that its server works.
# Servers that fail at once do so within a few milliseconds, and the report
# takes a few more; requests older than the maximum take longer than most do.
MIN_EVIDENCE_AGE = datetime.timedelta(milliseconds=50)
MAX_EVIDENCE_AGE = datetime.timedelta(milliseconds=500)


class TrackedServer:
    """A server's published definition, health and running requests.

    `running` maps permits to the times at which their requests started.
    `limit` is None unless the server names a limit; `is_leaving` if it says so
    in its answers.
    """

    def __init__(self, definition: configuration.BackendServer):
        self.definition = definition
        self.health = health.ServerHealth()
        self.connections = idle_connections.IdleConnections()
        self.running: dict[int, datetime.timedelta] = {}
        self.limit: server_limits.LimitedStarts | None = None
        self.is_leaving = False
        self.work = server_work.ServerWork()
        self.start_times: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    @property
    def has_free_slot(self) -> bool:
        """Return whether one more request may run."""
        return len(self.running) < self.definition.slots

    def estimate_rate(self, latency: datetime.timedelta) -> float:
        """Return how many requests of a latency complete in a second.

        `latency` is the usual one; servers differ in speed.
        """
        rate_per_s = self.definition.slots / (
            latency.total_seconds() * self.work.slowness
        )
        if self.limit is not None:
            return min(rate_per_s, self.limit.rate_per_s)
        return rate_per_s

    def list_starts(
        self, latency: datetime.timedelta
    ) -> Iterator[datetime.timedelta]:
        """Yield after what times from now further requests can start.

        Requests that have no limit to wait for wait for a slot.
        """
        if self.limit is not None:
            yield from self.limit.list_starts()
            return
        for number in itertools.count(1):
            yield latency * number / self.definition.slots

    def can_start_trial(self, now: datetime.timedelta) -> bool:
        """Return whether a trial request may start."""
        return not self.running and self._is_idle_for(TRIAL_INTERVAL, now)

    def is_unused(self, now: datetime.timedelta) -> bool:
        """Return whether no request has started for UNUSED_TIME."""
        return self._is_idle_for(UNUSED_TIME, now)

    def is_proven(self, now: datetime.timedelta) -> bool:
        """Return whether the server seems to serve requests now.

        It does after a recent success, or while a request runs for longer than
        a failing server takes to fail it.
        """
        if self.health.has_recent_success(now):
            return True
        failed_at = self.health.failed_at
        return any(
            MIN_EVIDENCE_AGE <= now - since <= MAX_EVIDENCE_AGE
            and (failed_at is None or since > failed_at)
            for since in self.running.values()
        )

    def _is_idle_for(
        self, period: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        return not self.start_times or now - self.start_times[-1] >= period

    @property
    def is_at_limit(self) -> bool:
        """Return whether the limit that the server names is used up."""
        return self.limit is not None and not self.limit.has_token

    def update_limit(
        self,
        rate_per_s: float | None,
        position: fleet_buckets.FleetPosition,
        now: datetime.timedelta,
    ) -> None:
        """Apply the limit in force, in requests per second, or None."""
        if rate_per_s is None:
            self.limit = None
            return
        if self.limit is None:
            self.limit = server_limits.LimitedStarts(self.definition.name)
        self.limit.update(rate_per_s, position, now)

    def start_request(
        self, permit_id: int, now: datetime.timedelta, sender: str = ''
    ) -> None:
        """Record that a request of an instance may start."""
        self.running[permit_id] = now
        self.connections.claim(sender)
        self.start_times.append(now)
        if self.limit is not None:
            self.limit.spend(permit_id)

    def finish_request(self, permit_id: int, has_started: bool) -> None:
        """Free the slot; `has_started` unless nothing reached the server."""
        self.running.pop(permit_id, None)
        self.work.finish(permit_id)
        if self.limit is not None:
            self.limit.finish(permit_id, has_started)

    def can_start_request(
        self, cold_rate_per_s: float, now: datetime.timedelta
    ) -> bool:
        """Return whether a limit or a cold start allows one more request."""
        if self.is_leaving or self.is_at_limit:
            return False
        return self._can_start_cold(cold_rate_per_s, now)

    def _can_start_cold(
        self, cold_rate_per_s: float, now: datetime.timedelta
    ) -> bool:
        """Return whether a cold server may start one more request now.

        Always true for servers that are not cold.
        """
        while self.start_times and now - self.start_times[0] >= COLD_WINDOW:
            self.start_times.popleft()
        if not self.definition.is_cold or cold_rate_per_s <= 0:
            return True
        return len(self.start_times) < max(
            1.0, cold_rate_per_s * COLD_RATE_RATIO
        )
