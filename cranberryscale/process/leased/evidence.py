"""Sequential tests for faults of one backend server.

Two CUSUM statistics, for errors and for slowness, run for each server. Their
increments are log likelihood ratios of "bad" against "healthy", so a threshold
h bounds the false alarm rate by exp(-h) per request that a healthy server
completes. docs/backends.md gives the figures.
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

# Error ratio of a bad server; the target is to detect 30%.
BAD_ERROR_RATIO = 0.3
# Error ratio up to which a server is healthy.
HEALTHY_ERROR_RATIO = 0.005
# Healthy servers give wrong answers (without the right digest or signature),
# truncated or crossed ones (to another request) or refuse connections in at
# most one of 20,000 requests (this part of their errors), so three of these in
# short succession are enough to reach the threshold.
RARE_OUTCOME_FACTOR = 0.01
# Lower bound of the healthy ratio for shed requests: shedding is normal under
# bursts, so it takes many to reach the threshold.
SHED_RATIO = 0.02

# A server counts as slow from this multiple of the other servers' latency.
# Smaller differences can come from hardware or from the mix of requests.
SLOW_FACTOR = 2.5
# With this slope the increments are log likelihood ratios if latency is
# lognormal with sigma <= sqrt(2 ln(SLOW_FACTOR) / LATENCY_SLOPE) = 0.64.
LATENCY_SLOPE = 4.5
# Bounds of the increment for the latency of one request, so that neither a
# single request nor one instance with half of the slots can cause an ejection.
MAX_SCORE_INCREMENT = 7.0
MIN_SCORE_INCREMENT = -2.0
# Missing answers count as errors only for requests that ran for at least this
# multiple of the baseline latency.
SILENT_LATENCY_FACTOR = 8.0
# Pauses of up to this long, for example for garbage collection, are healthy.
# They delay all running requests at once.
PAUSE_S = 0.2

# Upper bound of both scores in multiples of the threshold, so that a server
# that recovers while it has to stay in use is soon recognized as healthy.
MAX_RELATIVE_SCORE = 1.5
# With independent errors at 0.5%, the mean time between false alarms, computed
# exactly, is 33 hours for a fleet of 30 servers. With 14.0 it is over 120
# hours, but detecting a server with 30% errors takes 2.1 s instead of 1.65 s.
ERROR_THRESHOLD = 12.5
SLOWNESS_THRESHOLD = 12.0
# The error threshold does not fall any further below this rate of requests.
MIN_RATE_PER_S = 4.0

LATENCY_TIME_CONSTANT_S = 10.0
ERROR_TIME_CONSTANT_S = 30.0
LONG_TERM_TIME_CONSTANT_S = 60.0
# Summaries for holders in other domains must show a new fault at once.
RECENT_TIME_CONSTANT_S = 0.5

_RARE_OUTCOMES = frozenset(('wrong', 'truncated', 'crossed', 'refused'))
_FAILURE_OUTCOMES = frozenset(('error', 'ended', 'silent')) | _RARE_OUTCOMES


class Baseline(NamedTuple):
    """Latency and error ratio to compare a server with."""

    latency_s: float
    error_ratio: float


class DecayingMean:
    """Mean whose values lose weight exponentially with time."""

    def __init__(self, time_constant_s: float):
        self._time_constant_s = time_constant_s
        self._weight = 0.0
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, value: float, now_s: float) -> None:
        """Add a value with weight 1."""
        decay = math.exp((self._updated_s - now_s) / self._time_constant_s)
        self._weight = self._weight * decay + 1
        self._sum = self._sum * decay + value
        self._updated_s = now_s

    def count(self, now_s: float) -> float:
        """Return the decayed number of values."""
        return self._weight * math.exp(
            (self._updated_s - now_s) / self._time_constant_s
        )

    def rate_per_s(self, now_s: float) -> float:
        """Return the recent number of values a second."""
        return self.count(now_s) / self._time_constant_s

    @property
    def mean(self) -> float:
        """Return the weighted mean, 0 without values."""
        return self._sum / self._weight if self._weight else 0.0


def score_latency(latency_s: float, baseline_s: float) -> float:
    """Return the CUSUM increment for slowness from one latency."""
    ratio = max(latency_s, 1e-6) / baseline_s
    value = LATENCY_SLOPE * (math.log(ratio) - math.log(SLOW_FACTOR))
    return min(MAX_SCORE_INCREMENT, max(MIN_SCORE_INCREMENT, value))


def compute_slowness_threshold(slots: int, baseline_s: float) -> float:
    """Return the threshold of the slowness score.

    The second part leaves room for one pause of a fully loaded server.
    """
    pause = max(0.0, score_latency(baseline_s + PAUSE_S, baseline_s))
    return SLOWNESS_THRESHOLD + slots * pause


def compute_error_threshold(rate_per_s: float) -> float:
    """Return the threshold of the error score.

    It rises with the rate of requests, so that the number of false alarms per
    unit of time does not.
    """
    return ERROR_THRESHOLD + math.log(max(rate_per_s, MIN_RATE_PER_S))


def _score_outcome(outcome: str, healthy_ratio: float) -> float:
    """Return the CUSUM increment for errors from one outcome."""
    healthy = min(0.5, max(HEALTHY_ERROR_RATIO, healthy_ratio))
    bad = min(0.95, max(BAD_ERROR_RATIO, 2 * healthy))
    match outcome:
        case 'ok':
            return math.log((1 - bad) / (1 - healthy))
        case 'shed':
            return math.log(bad / max(SHED_RATIO, healthy))
        case outcome if outcome in _RARE_OUTCOMES:
            return math.log(bad / (healthy * RARE_OUTCOME_FACTOR))
        case outcome if outcome in _FAILURE_OUTCOMES:
            return math.log(bad / healthy)
        case _:
            return 0.0


class ServerEvidence:
    """CUSUM scores and decaying means of one backend server.

    The latency means are of log latency in seconds, over about 10 s, 60 s and
    0.5 s; the error means are of 1 for a failure and 0 for a success.
    """

    def __init__(self) -> None:
        self.latency = DecayingMean(LATENCY_TIME_CONSTANT_S)
        self.long_term_latency = DecayingMean(LONG_TERM_TIME_CONSTANT_S)
        self.errors = DecayingMean(ERROR_TIME_CONSTANT_S)
        self.recent_latency = DecayingMean(RECENT_TIME_CONSTANT_S)
        self.recent_errors = DecayingMean(RECENT_TIME_CONSTANT_S)
        self.reset()

    def reset(self) -> None:
        """Reset both scores and keep the means."""
        self.error_score = 0.0
        self.slow_score = 0.0

    def add(
        self, outcome: str, latency_s: float, baseline: Baseline, now_s: float
    ) -> None:
        """Add the report of one finished request."""
        if outcome == 'unused':
            return
        slowness = score_latency(latency_s, baseline.latency_s)
        if outcome == 'ok':
            value = math.log(max(latency_s, 1e-6))
            for mean in (
                self.latency,
                self.long_term_latency,
                self.recent_latency,
            ):
                mean.add(value, now_s)
        elif outcome in ('shed', 'refused'):
            slowness = 0.0
        else:
            # Fast errors must not lower the score of slow successes.
            slowness = max(0.0, slowness)
        if (
            outcome == 'silent'
            and latency_s < SILENT_LATENCY_FACTOR * baseline.latency_s
        ):
            # The deadline was too short for an error; the latency is scored.
            outcome = 'cancelled'
        if outcome not in ('cancelled', 'shed'):
            self.errors.add(outcome in _FAILURE_OUTCOMES, now_s)
            self.recent_errors.add(outcome in _FAILURE_OUTCOMES, now_s)
        outcome_score = _score_outcome(outcome, baseline.error_ratio)
        self.error_score = max(0.0, self.error_score + outcome_score)
        self.slow_score = max(0.0, self.slow_score + slowness)

    def measure_errors(self, now_s: float) -> float:
        """Return the error score relative to its threshold."""
        threshold = compute_error_threshold(self.errors.rate_per_s(now_s))
        self.error_score = min(
            self.error_score, MAX_RELATIVE_SCORE * threshold
        )
        return self.error_score / threshold

    def measure_slowness(
        self, ages_s: Iterable[float], slots: int, baseline_s: float
    ) -> float:
        """Return the slowness score relative to its threshold.

        `ages_s` are the ages of the running requests. They count too, so that
        a server that never answers is detected before any deadline passes.
        """
        running_score = sum(
            max(0.0, score_latency(age_s, baseline_s)) for age_s in ages_s
        )
        threshold = compute_slowness_threshold(slots, baseline_s)
        self.slow_score = min(self.slow_score, MAX_RELATIVE_SCORE * threshold)
        return (self.slow_score + running_score) / threshold
