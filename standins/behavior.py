"""State of a stand-in backend server: slots, cold start, gray failures.

Every request that ran is counted by request id and idempotency key, so that
doubled runs and false claims of "not run" are seen from outside.
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
_HEADERS_KEPT = 10000


class Behavior(NamedTuple):
    """Set what a healthy server is like.

    A cold server runs `cold_slots` requests, `cold_factor` times slower,
    until `warm_completions` completed. When `overrun_limit` requests were
    shed while it was cold, it fails everything for `failed_s`.
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
    """Select a gray failure for a part of the requests.

    With `period_s` the failure comes and goes, each for that long.
    """

    name: str = 'healthy'
    ratio: float = 1.0
    factor: float = 10.0
    period_s: float = 0.0


class BackendState:
    """Hold the state and counters of one stand-in server."""

    def __init__(self, name: str, behavior: Behavior, seed: int = 0):
        self.name = name
        self.behavior = behavior
        self.mode = FailureMode()
        self.is_draining = False
        self.counts: collections.Counter[str] = collections.Counter()
        self.runs: collections.Counter[str] = collections.Counter()
        self.keyed_runs: collections.Counter[str] = collections.Counter()
        self.received_heads: collections.deque[bytes] = collections.deque(
            maxlen=_HEADERS_KEPT
        )
        self.peak = 0
        self._random = random_module.Random(seed)
        self._lock = threading.Lock()
        self._running = 0
        self._usable_slots = behavior.slots
        self._completions = 0
        self._shed_while_cold = 0
        self._failed_until_s = 0.0
        self._mode_began_s = 0.0
        self._last_response = ('none', b'')
        self._reported_health = (0.0, 'warm')

    def set_mode(self, mode: FailureMode) -> None:
        """Switch the gray failure."""
        if mode.name not in MODES:
            raise ValueError(mode.name)
        self.mode, self._mode_began_s = mode, time.monotonic()

    def reset_to_cold(self) -> None:
        """Become cold without notice."""
        with self._lock:
            self._usable_slots = self.behavior.cold_slots
            self._completions = self._shed_while_cold = 0

    @property
    def is_cold(self) -> bool:
        """Tell whether the server is in cold start."""
        return self._usable_slots < self.behavior.slots

    def read_health(self) -> str:
        """Return the health that the server had some seconds ago."""
        now_s = time.monotonic()
        if now_s - self._reported_health[0] >= self.behavior.health_lag_s:
            state = 'cold' if self.is_cold else 'warm'
            self._reported_health = (now_s, state)
        return self._reported_health[1]

    def describe_load(self) -> str:
        """Return the value of the load report header."""
        cold = int(self.is_cold)
        return (
            f'running={self._running} slots={self._usable_slots} cold={cold}'
        )

    def start_request(self) -> bool:
        """Take a slot, or return False when the request is shed."""
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
        """Free a slot and count how the request ended."""
        with self._lock:
            self._running -= 1
            self.counts[outcome] += 1
            if outcome == 'completed' and self.is_cold:
                self._completions += 1
                if self._completions >= self.behavior.warm_completions:
                    self._usable_slots = self.behavior.slots

    def count_run(self, request_id: str, key: str) -> None:
        """Record that a request is being run."""
        with self._lock:
            self.runs[request_id] += 1
            if key:
                self.keyed_runs[key] += 1

    def draw_outcome(self) -> tuple[str, float]:
        """Return what befalls a request and for how long it runs."""
        now_s, mode, behavior = time.monotonic(), self.mode, self.behavior
        with self._lock:
            took_s = behavior.service_s * self._random.lognormvariate(
                0, behavior.sigma
            )
            is_hit = self._random.random() < mode.ratio
        if self.is_cold:
            took_s *= behavior.cold_factor
        if now_s < self._failed_until_s:
            return 'error', took_s
        if mode.period_s:
            phase = (now_s - self._mode_began_s) // mode.period_s
            is_hit = is_hit and phase % 2 == 0
        name = mode.name if is_hit else 'healthy'
        return name, took_s * (mode.factor if name == 'slow' else 1)

    def swap_last_response(
        self, answer: tuple[str, bytes]
    ) -> tuple[str, bytes]:
        """Remember an answer and return the one before it."""
        with self._lock:
            before, self._last_response = self._last_response, answer
        return before

    def snapshot(self) -> dict[str, Any]:
        """Return the counters, for tests and operators."""
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
