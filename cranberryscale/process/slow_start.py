"""Cold start ramps: how many requests a backend server may run while cold."""

from cranberryscale.version import configuration


__all__ = ['SlowStart']


class SlowStart:
    """Limit a backend server's requests in total until it is warm.

    The limit starts at `cold_slots` and rises by one for each
    `ramp_completions` successful requests that were started on the ramp.
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
        """Tell whether the limit is still below the server's slots."""
        return self._limit < self._server.slots

    @property
    def is_at_minimum(self) -> bool:
        """Tell whether the limit cannot fall any further."""
        return self._limit <= self._server.cold_slots

    def load_server(self, server: configuration.BackendServer) -> None:
        """Replace the published numbers and keep a warm server warm."""
        was_cold = self.is_cold
        self._server = server
        if not was_cold:
            self._limit = max(self._limit, server.slots)

    def restart(self, reason: str, now_s: float) -> None:
        """Return to the lowest limit; earlier requests no longer count."""
        self._limit = max(1, self._server.cold_slots)
        self._completions = 0
        self.started_s = now_s
        self.reason = reason

    def record_success(self, granted_s: float) -> None:
        """Count a successful request that was permitted at `granted_s`."""
        if not self.is_cold or granted_s < self.started_s:
            return
        self._completions += 1
        if self._completions >= self._server.ramp_completions:
            self._completions = 0
            self._limit += 1
