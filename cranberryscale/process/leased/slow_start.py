"""Slow start: the concurrency limit of a backend server while it is cold."""

from cranberryscale.version import configuration


__all__ = ['SlowStart']


class SlowStart:
    """Concurrency limit of one backend server, over all instances.

    It starts at `cold_slots` and rises by one for every `ramp_completions`
    successful requests granted since the last restart, up to the server's
    slots. `reason` is why slow start was last restarted.
    """

    def __init__(
        self,
        server: configuration.BackendServer,
        reason: str,
        now_s: float,
    ):
        self._server = server
        self.restart(reason, now_s)

    @property
    def limit(self) -> int:
        """Return how many requests may run now, over all instances."""
        return min(self._limit, self._server.slots)

    @property
    def is_cold(self) -> bool:
        """Return whether the limit is still below the server's slots."""
        return self._limit < self._server.slots

    @property
    def is_at_minimum(self) -> bool:
        """Return whether the limit cannot fall any further."""
        return self._limit <= self._server.cold_slots

    def load_server(self, server: configuration.BackendServer) -> None:
        """Replace the published server; a warm server stays warm."""
        was_cold = self.is_cold
        self._server = server
        if not was_cold:
            self._limit = max(self._limit, server.slots)

    def restart(self, reason: str, now_s: float) -> None:
        """Restart from the lowest limit; ignore requests granted before."""
        self._limit = max(1, self._server.cold_slots)
        self._completions = 0
        self.started_s = now_s
        self.reason = reason

    def record_success(self, granted_s: float) -> None:
        """Count a successful request that was granted at `granted_s`."""
        if not self.is_cold or granted_s < self.started_s:
            return
        self._completions += 1
        if self._completions >= self._server.ramp_completions:
            self._completions = 0
            self._limit += 1
