"""Sequential tests on what reports say about one backend server.

Two CUSUM statistics run for each server. Their increments are log likelihood
ratios of "bad" against "healthy", so a threshold h bounds the rate of false
alarms by exp(-h) for each request that a healthy server completes.
docs/backends.md gives the figures.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple


__all__ = [
    'Baseline',
    'DecayingMean',
    'ServerEvidence',
    'compute_error_threshold',
    'compute_slowness_threshold',
    'score_latency',
]

# A bad server fails this part of its requests; the detection target is 30%.
BAD_RATIO = 0.3
# Healthy servers fail up to this part of their requests.
HEALTHY_RATIO = 0.005
# Healthy servers give wrong, truncated or crossed answers or refuse
# connections in at most one of 20,000 requests; three in short succession
# are enough.
RARE_FACTOR = 0.01
# Shedding is normal under bursts, so it needs many occurrences to count.
SHED_RATIO = 0.02

# A server counts as slow from this multiple of the other servers' latency;
# below it lie differences of hardware and of requests.
SLOW_FACTOR = 2.5
# The increments stay log likelihood ratios for lognormal latency up to
# sigma = sqrt(2 ln(SLOW_FACTOR) / SLOPE) = 0.64.
SLOPE = 4.5
# The evidence of one request is bounded, so that no single request and no
# instance with half of the slots can cause an ejection.
MAX_SCORE_INCREMENT = 7.0
MIN_SCORE_INCREMENT = -2.0
# Silence for less than this multiple of the usual latency is no error.
SILENT_FACTOR = 8.0
# Pauses up to this long, for example garbage collection, are healthy; they
# delay every running request at once.
PAUSE_S = 0.2

# Scores are bounded at this multiple of the threshold, so that a server that
# recovered while it had to stay in use is soon seen as recovered.
MOST_SCORE = 1.5
# With independent errors at 0.5% the mean time between false alarms, computed
# exactly, is 33 hours of a whole fleet of 30 servers. At 14.0 it is over 120
# hours, but a server with 30% errors then needs 2.1 s instead of 1.65 s.
ERROR_THRESHOLD = 12.5
SLOW_THRESHOLD = 12.0
# Below this rate the threshold on errors no longer falls.
LEAST_RATE_PER_S = 4.0

LATENCY_MEMORY_S = 10.0
ERROR_MEMORY_S = 30.0
HISTORY_MEMORY_S = 60.0
# What other holders are told must show a new fault at once.
RECENT_MEMORY_S = 0.5

_RARE = frozenset(('wrong', 'truncated', 'crossed', 'refused'))
_FAILED = frozenset(('error', 'silent')) | _RARE


class Baseline(NamedTuple):
    """Say what is usual for the service's other servers."""

    latency_s: float
    error_ratio: float


class DecayingMean:
    """Keep a mean in which old values lose weight with time."""

    def __init__(self, memory_s: float):
        self._memory_s = memory_s
        self._weight = 0.0
        self._sum = 0.0
        self._at_s = 0.0

    def add(self, value: float, now_s: float) -> None:
        """Add a value."""
        decay = math.exp((self._at_s - now_s) / self._memory_s)
        self._weight = self._weight * decay + 1
        self._sum = self._sum * decay + value
        self._at_s = now_s

    def count(self, now_s: float) -> float:
        """Return the decayed number of values."""
        return self._weight * math.exp((self._at_s - now_s) / self._memory_s)

    def rate_per_s(self, now_s: float) -> float:
        """Return the recent number of values a second."""
        return self.count(now_s) / self._memory_s

    @property
    def mean(self) -> float:
        """Return the weighted mean, 0 without values."""
        return self._sum / self._weight if self._weight else 0.0


def score_latency(latency_s: float, usual_s: float) -> float:
    """Return the evidence of slowness in one latency."""
    ratio = max(latency_s, 1e-6) / usual_s
    value = SLOPE * (math.log(ratio) - math.log(SLOW_FACTOR))
    return min(MAX_SCORE_INCREMENT, max(MIN_SCORE_INCREMENT, value))


def compute_slowness_threshold(slots: int, usual_s: float) -> float:
    """Return the threshold on slowness.

    One pause at a fully loaded server uses up the second part.
    """
    pause = max(0.0, score_latency(usual_s + PAUSE_S, usual_s))
    return SLOW_THRESHOLD + slots * pause


def compute_error_threshold(rate_per_s: float) -> float:
    """Return the threshold on errors.

    It rises with the rate, so that the rate of false alarms in time does
    not.
    """
    return ERROR_THRESHOLD + math.log(max(rate_per_s, LEAST_RATE_PER_S))


def _rate_outcome(outcome: str, healthy_ratio: float) -> float:
    healthy = min(0.5, max(HEALTHY_RATIO, healthy_ratio))
    bad = min(0.95, max(BAD_RATIO, 2 * healthy))
    match outcome:
        case 'ok':
            return math.log((1 - bad) / (1 - healthy))
        case 'shed':
            return math.log(bad / max(SHED_RATIO, healthy))
        case outcome if outcome in _RARE:
            return math.log(bad / (healthy * RARE_FACTOR))
        case outcome if outcome in _FAILED:
            return math.log(bad / healthy)
        case _:
            return 0.0


class ServerEvidence:
    """Accumulate evidence against one backend server."""

    def __init__(self) -> None:
        self.latency = DecayingMean(LATENCY_MEMORY_S)
        self.long_term_latency = DecayingMean(HISTORY_MEMORY_S)
        self.errors = DecayingMean(ERROR_MEMORY_S)
        self.recent_latency = DecayingMean(RECENT_MEMORY_S)
        self.recent_errors = DecayingMean(RECENT_MEMORY_S)
        self.reset()

    def reset(self) -> None:
        """Forget the accumulated evidence and keep the usual values."""
        self.error_score = 0.0
        self.slow_score = 0.0

    def add(
        self, outcome: str, latency_s: float, usual: Baseline, now_s: float
    ) -> None:
        """Add the report of one finished request."""
        if outcome == 'unused':
            return
        slow = score_latency(latency_s, usual.latency_s)
        if outcome == 'ok':
            value = math.log(max(latency_s, 1e-6))
            for mean in (
                self.latency,
                self.long_term_latency,
                self.recent_latency,
            ):
                mean.add(value, now_s)
        elif outcome in ('shed', 'refused'):
            slow = 0.0
        else:
            # Fast errors must not hide slow successes.
            slow = max(0.0, slow)
        if outcome == 'silent' and latency_s < SILENT_FACTOR * usual.latency_s:
            # The deadline was short; the latency says enough.
            outcome = 'cancelled'
        if outcome not in ('cancelled', 'shed'):
            self.errors.add(outcome in _FAILED, now_s)
            self.recent_errors.add(outcome in _FAILED, now_s)
        error = _rate_outcome(outcome, usual.error_ratio)
        self.error_score = max(0.0, self.error_score + error)
        self.slow_score = max(0.0, self.slow_score + slow)

    def measure_errors(self, now_s: float) -> float:
        """Return the evidence of errors, 1.0 at the threshold."""
        limit = compute_error_threshold(self.errors.rate_per_s(now_s))
        self.error_score = min(self.error_score, MOST_SCORE * limit)
        return self.error_score / limit

    def measure_slowness(
        self, ages_s: Iterable[float], slots: int, usual_s: float
    ) -> float:
        """Return the evidence of slowness, 1.0 at the threshold.

        The ages of running requests count too, so that a server that
        answers nothing is found before any deadline passes.
        """
        running = sum(
            max(0.0, score_latency(age_s, usual_s)) for age_s in ages_s
        )
        limit = compute_slowness_threshold(slots, usual_s)
        self.slow_score = min(self.slow_score, MOST_SCORE * limit)
        return (self.slow_score + running) / limit
