"""Estimates of how long requests run, by kind.

Load pattern: requests that need very different amounts of work at the same
servers, with a long tail in each kind. A median by itself gives neither the
load that requests put on a server nor what is left of one that already runs.
"""

import collections
import datetime
import math


__all__ = ['WorkDistribution', 'WorkEstimator']

# Buckets are this many to an octave, from MIN_WORK_S on.
BUCKETS_PER_OCTAVE = 3
MIN_WORK_S = 0.001
BUCKET_COUNT = 51
# About so many of the latest requests determine an estimate.
MEMORY_REQUESTS = 256
# Requests recorded between two updates of the derived estimates.
UPDATE_INTERVAL = 8
# Estimates from fewer requests are not used.
MIN_REQUESTS = 20
MAX_KINDS = 64
# Multiples of the golden ratio are spread evenly between whole numbers.
SPREADING_STEP = (math.sqrt(5) - 1) / 2
# Weight of one request in the mean work over all kinds.
MEAN_WEIGHT = 1 / 64

_BOUNDS_S = [
    MIN_WORK_S * 2 ** (index / BUCKETS_PER_OCTAVE)
    for index in range(BUCKET_COUNT + 1)
]
_MIDDLES_S = [
    math.sqrt(low * high)
    for low, high in zip(_BOUNDS_S, _BOUNDS_S[1:], strict=False)
]


def _find_bucket(work_s: float) -> int:
    if work_s <= MIN_WORK_S:
        return 0
    index = int(math.log2(work_s / MIN_WORK_S) * BUCKETS_PER_OCTAVE)
    return min(index, BUCKET_COUNT - 1)


class WorkDistribution:
    """A histogram of the work of recent requests, in seconds.

    Work is the time a request takes at a server of usual speed. Four of five
    requests need at most `likely_s`, nine of ten at most `unusual_s`. These,
    `median_s` and `mean_s` are 0 until `is_known`.
    """

    def __init__(self) -> None:
        self.count = 0
        self.median_s = 0.0
        self.likely_s = 0.0
        self.unusual_s = 0.0
        self.mean_s = 0.0
        self._weights = [0.0] * BUCKET_COUNT
        self._new: list[int] = []
        self._means_beyond_s: list[float] = []

    @property
    def is_known(self) -> bool:
        """Return whether there is enough evidence for estimates."""
        return self.count >= MIN_REQUESTS

    def record(self, work_s: float) -> None:
        """Record the work of a finished request."""
        self.count += 1
        self._new.append(_find_bucket(work_s))
        if len(self._new) >= UPDATE_INTERVAL or self.count == MIN_REQUESTS:
            self._update()

    def find_remaining(self, age_s: float) -> float:
        """Return the expected rest of a request that has run for `age_s`.

        All arguments and results are in seconds of work. A request that
        lasts longer than any recorded one tells nothing about its end.
        """
        beyond_s = self._means_beyond_s
        index = _find_bucket(age_s) + 1 if age_s > 0 else 0
        if index >= len(beyond_s):
            return self.mean_s
        return beyond_s[index] - age_s

    def estimate_total(self, age_s: float) -> float:
        """Return the work of a request that was cut off at `age_s`.

        Repeated estimates are spread as the work of requests that last
        longer, so that requests that were cut off do not change what is
        known of those.
        """
        index = _find_bucket(age_s)
        passed = math.log2(max(age_s / _BOUNDS_S[index], 1.0))
        passed = min(1.0, passed * BUCKETS_PER_OCTAVE)
        below = sum(self._weights[:index]) + passed * self._weights[index]
        beyond = sum(self._weights) - below
        part = self.count * SPREADING_STEP % 1
        return max(age_s, self._find_quantile(below + beyond * part))

    def _update(self) -> None:
        kept = (1 - 1 / MEMORY_REQUESTS) ** len(self._new)
        weights = [weight * kept for weight in self._weights]
        for index in self._new:
            weights[index] += 1.0
        self._new.clear()
        self._weights = weights
        if not self.is_known:
            return
        total = sum(weights)
        self.median_s = self._find_quantile(total * 0.5)
        self.likely_s = self._find_quantile(total * 0.8)
        self.unusual_s = self._find_quantile(total * 0.9)
        self._update_means_beyond()
        self.mean_s = self._means_beyond_s[0]

    def _find_quantile(self, rank: float) -> float:
        below = 0.0
        for index, weight in enumerate(self._weights):
            if below + weight >= rank and weight:
                part = (rank - below) / weight
                return _BOUNDS_S[index] * 2 ** (part / BUCKETS_PER_OCTAVE)
            below += weight
        return _BOUNDS_S[-1]

    def _update_means_beyond(self) -> None:
        """Store the mean work of requests that reach each bucket."""
        means_s: list[float] = []
        count = work_s = 0.0
        for weight, middle_s in zip(
            reversed(self._weights), reversed(_MIDDLES_S), strict=True
        ):
            count += weight
            work_s += weight * middle_s
            if count:
                means_s.append(work_s / count)
        self._means_beyond_s = means_s[::-1]


class WorkEstimator:
    """Distributions of work by kind, and by target for unknown kinds.

    `mean_s` is the mean work of the recent requests of all kinds.
    """

    def __init__(self) -> None:
        self.mean_s = 0.0
        self._kinds: collections.OrderedDict[str, WorkDistribution] = (
            collections.OrderedDict()
        )
        self._targets: collections.OrderedDict[
            datetime.timedelta, WorkDistribution
        ] = collections.OrderedDict()

    def find(
        self, kind: str, target: datetime.timedelta
    ) -> WorkDistribution | None:
        """Return the distribution for a request, None if none is known."""
        known = self.find_kind(kind)
        if known is not None:
            return known
        known = self._targets.get(target)
        return known if known is not None and known.is_known else None

    def find_kind(self, kind: str) -> WorkDistribution | None:
        """Return the distribution of a kind, None if it is not known."""
        known = self._kinds.get(kind)
        return known if known is not None and known.is_known else None

    @property
    def has_several_kinds(self) -> bool:
        """Return whether requests of more than one kind are recorded."""
        return len(self._kinds) > 1

    def list_known(self) -> tuple[tuple[str, WorkDistribution], ...]:
        """Return the kinds with known distributions."""
        return tuple(
            (kind, known)
            for kind, known in self._kinds.items()
            if known.is_known
        )

    def record(
        self, kind: str, target: datetime.timedelta, work_s: float
    ) -> None:
        """Record the work of a finished request."""
        if kind:
            _get_latest(self._kinds, kind).record(work_s)
        _get_latest(self._targets, target).record(work_s)
        known = self.find(kind, target)
        if known is None:
            return
        weight = MEAN_WEIGHT if self.mean_s else 1.0
        self.mean_s += weight * (known.mean_s - self.mean_s)


def _get_latest(distributions, key) -> WorkDistribution:
    """Return the distribution of a key, marked as the latest one used."""
    if key in distributions:
        distributions.move_to_end(key)
        return distributions[key]
    if len(distributions) >= MAX_KINDS:
        distributions.popitem(last=False)
    distributions[key] = WorkDistribution()
    return distributions[key]
