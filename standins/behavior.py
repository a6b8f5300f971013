"""State of a stand-in backend server: slots, cold start, gray failures.

Every request that ran is counted by request id and idempotency key. Tests
find duplicate executions by these counters, and requests that ran though
their response says that they did not.
"""

import collections
import random as random_module
import threading
import time
from typing import Any
from typing import NamedTuple


__all__ = ['MODES', 'BackendState', 'Behavior', 'FailureMode']

MODES = (
    'healthy',
    'slow',
    'error',
    'wrong',
    'truncated',
    'crossed',
    'silent',
)
_MAX_RECEIVED_HEADS = 10000


class Behavior(NamedTuple):
    """Parameters of a healthy server.

    It runs `slots` requests at a time; their durations have a log-normal
    distribution with the median `service_s` and the shape `sigma`. A cold
    server runs only `cold_slots` requests, `cold_factor` times slower, until
    `warm_completions` of them completed. After it shed `overrun_limit`
    requests while cold, all its requests fail for `failed_s`. Its health
    page lags behind by up to `health_lag_s`.
    """

    slots: int = 6
    service_s: float = 0.04
    sigma: float = 0.5
    cold_slots: int = 1
    cold_factor: float = 3.0
    warm_completions: int = 10
    overrun_limit: int = 20
    failed_s: float = 2.0
    health_lag_s: float = 5.0
    answer_bytes: int = 200


class FailureMode(NamedTuple):
    """A gray failure that affects the fraction `ratio` of the requests.

    `name` is one of MODES. Requests of the mode "slow" take `factor` times as
    long. If `period_s` is not 0, the failure is on and off in turn for that
    long.
    """

    name: str = 'healthy'
    ratio: float = 1.0
    factor: float = 10.0
    period_s: float = 0.0


class BackendState:
    """The state and counters of one stand-in server; thread-safe.

    `runs` and `keyed_runs` count executions by request id and by idempotency
    key. `received_heads` are the heads of the latest requests.
    """

    def __init__(self, name: str, behavior: Behavior, seed: int = 0):
        self.name = name
        self.behavior = behavior
        self.mode = FailureMode()
        self.is_draining = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.keyed_runs: collections.Counter[str] = collections.Counter()
        self.received_heads: collections.deque[bytes] = collections.deque(
            maxlen=_MAX_RECEIVED_HEADS
        )
        self.peak = 0
        self._random = random_module.Random(seed)
        self._lock = threading.Lock()
        self._running = 0
        self._usable_slots = behavior.slots
        self._completions = 0
        self._shed_while_cold = 0
        self._failed_until_s = 0.0
        self._mode_started_s = 0.0
        self._last_response = ('none', b'')
        self._reported_health = (0.0, 'warm')

    def set_mode(self, mode: FailureMode) -> None:
        """Change the failure mode. Raises ValueError for an unknown name."""
        if mode.name not in MODES:
            raise ValueError(mode.name)
        self.mode, self._mode_started_s = mode, time.monotonic()

    def reset_to_cold(self) -> None:
        """Return to the cold state, as after a restart."""
        with self._lock:
            self._usable_slots = self.behavior.cold_slots
            self._completions = self._shed_while_cold = 0

    @property
    def is_cold(self) -> bool:
        """Return whether the server is in its cold start."""
        return self._usable_slots < self.behavior.slots

    def read_health(self) -> str:
        """Return "cold" or "warm", as of up to `health_lag_s` ago."""
        now_s = time.monotonic()
        if now_s - self._reported_health[0] >= self.behavior.health_lag_s:
            state = 'cold' if self.is_cold else 'warm'
            self._reported_health = (now_s, state)
        return self._reported_health[1]

    def describe_load(self) -> str:
        """Return the value of the X-Load header."""
        cold = int(self.is_cold)
        return (
            f'running={self._running} slots={self._usable_slots} cold={cold}'
        )

    def start_request(self) -> bool:
        """Occupy a slot; return False if the request is shed instead."""
        with self._lock:
            if self.is_draining or self._running >= self._usable_slots:
                self.counts['shed'] += 1
                self._shed_while_cold += self.is_cold and not self.is_draining
                if self._shed_while_cold >= self.behavior.overrun_limit:
                    self._failed_until_s = (
                        time.monotonic() + self.behavior.failed_s
                    )
                    self._shed_while_cold = 0
                    self.counts['overrun'] += 1
                return False
            self._running += 1
            self.peak = max(self.peak, self._running)
            return True

    def finish_request(self, outcome: str) -> None:
        """Free a slot and count the outcome of the request."""
        with self._lock:
            self._running -= 1
            self.counts[outcome] += 1
            if outcome == 'completed' and self.is_cold:
                self._completions += 1
                if self._completions >= self.behavior.warm_completions:
                    self._usable_slots = self.behavior.slots

    def count_run(self, request_id: str, key: str) -> None:
        """Count an execution by request id and idempotency key."""
        with self._lock:
            self.runs[request_id] += 1
            if key:
                self.keyed_runs[key] += 1

    def draw_failure(self) -> tuple[str, float]:
        """Return the failure mode of a request and its duration in seconds."""
        now_s, mode, behavior = time.monotonic(), self.mode, self.behavior
        with self._lock:
            duration_s = behavior.service_s * self._random.lognormvariate(
                0, behavior.sigma
            )
            is_affected = self._random.random() < mode.ratio
        if self.is_cold:
            duration_s *= behavior.cold_factor
        if now_s < self._failed_until_s:
            return 'error', duration_s
        if mode.period_s:
            phase = (now_s - self._mode_started_s) // mode.period_s
            is_affected = is_affected and phase % 2 == 0
        name = mode.name if is_affected else 'healthy'
        return name, duration_s * (mode.factor if name == 'slow' else 1)

    def swap_last_response(
        self, response: tuple[str, bytes]
    ) -> tuple[str, bytes]:
        """Store the latest response and return the one before it."""
        with self._lock:
            previous, self._last_response = self._last_response, response
        return previous

    def snapshot(self) -> dict[str, Any]:
        """Return the counters and state as values for JSON."""
        with self._lock:
            return {
                'counts': dict(self.counts),
                'runs': dict(self.runs),
                'keyed_runs': dict(self.keyed_runs),
                'running': self._running,
                'peak': self.peak,
                'cold': self.is_cold,
                'mode': self.mode._asdict(),
                'draining': self.is_draining,
                'received': [
                    head.decode('latin-1') for head in self.received_heads
                ],
            }
