"""One backend server as the holder of its pool sees it."""

import collections
import datetime

from cranberryscale.process import health
from cranberryscale.version import configuration


__all__ = ['TrackedServer']

# A server on trial is tried out with one request at a time.
TRIAL_INTERVAL = datetime.timedelta(milliseconds=300)
# Part of the rate that a cold server bears which is used; the rest covers
# requests on their way.
COLD_USE = 0.8
COLD_WINDOW = datetime.timedelta(seconds=1)
# What is known of a server is old after this time without a request. Good
# servers have to be in use within two seconds.
UNUSED_TIME = datetime.timedelta(seconds=1)
# Servers that fail at once do so within some milliseconds, and the report
# takes some more; a request that runs for longer speaks for its server, until
# it takes longer than most.
SURVIVED = datetime.timedelta(milliseconds=50)
SURVIVAL_LIMIT = datetime.timedelta(milliseconds=500)


class TrackedServer:
    """Hold a server's entry, its health and the requests that it runs."""

    def __init__(self, entry: configuration.BackendServer):
        self.entry = entry
        self.health = health.ServerHealth()
        # By permit, since when.
        self.running: dict[int, datetime.timedelta] = {}
        self.starts: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    @property
    def has_free_slot(self) -> bool:
        """Tell whether one more request may run."""
        return len(self.running) < self.entry.slots

    def can_start_trial(self, now: datetime.timedelta) -> bool:
        """Tell whether another trial may begin."""
        return not self.running and self._has_rested(TRIAL_INTERVAL, now)

    def is_unused(self, now: datetime.timedelta) -> bool:
        """Tell whether no request has started for a while."""
        return self._has_rested(UNUSED_TIME, now)

    def is_proven(self, now: datetime.timedelta) -> bool:
        """Tell whether the server seems to serve at this moment."""
        if self.health.is_proven(now):
            return True
        failed_at = self.health.failed_at
        return any(
            SURVIVED <= now - since <= SURVIVAL_LIMIT
            and (failed_at is None or since > failed_at)
            for since in self.running.values()
        )

    def _has_rested(
        self, span: datetime.timedelta, now: datetime.timedelta
    ) -> bool:
        return not self.starts or now - self.starts[-1] >= span

    def can_start_request(
        self, cold_rate_per_s: float, now: datetime.timedelta
    ) -> bool:
        """Tell whether one more request may start in this second."""
        while self.starts and now - self.starts[0] >= COLD_WINDOW:
            self.starts.popleft()
        if not self.entry.is_cold or cold_rate_per_s <= 0:
            return True
        return len(self.starts) < max(1.0, cold_rate_per_s * COLD_USE)
