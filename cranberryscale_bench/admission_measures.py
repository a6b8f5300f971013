"""Exact measures of admitted and refused requests."""

from collections.abc import Iterable
from collections.abc import Sequence

from cranberryscale.version import configuration


__all__ = [
    'list_independent_admissions',
    'admit_independently',
    'find_conforming_arrivals',
    'compute_over_admission_ratio',
]


def _find_largest_excess(
    times_s: Sequence[float], rate_per_s: float
) -> tuple[int, float]:
    """Return (count, length in s) of the window with the largest excess.

    The excess of a window is its count less `rate x length`. The best window
    that ends at a request either starts there or extends the best one that
    ended at the request before, so one pass finds the largest.
    """
    best_excess, best = 0.0, (0, 0.0)
    excess, count, start_s, last_s = 0.0, 0, 0.0, 0.0
    for at_s in times_s:
        excess -= rate_per_s * (at_s - last_s)
        if count == 0 or excess <= 0:
            excess, count, start_s = 0.0, 0, at_s
        excess, count, last_s = excess + 1, count + 1, at_s
        if excess > best_excess:
            best_excess, best = excess, (count, at_s - start_s)
    return best


def compute_over_admission_ratio(
    times_s: Sequence[float], rate_per_s: float, burst_requests: int
) -> float:
    """Return the largest count / (rate x length + burst) of all windows.

    `times_s` are the sorted times of admitted requests in s. The result is
    exact, since the largest ratio is that of a window that starts and ends at
    an admitted request. A window has a larger ratio than r if
    count - r x rate x length > r x burst, and the left side is its excess at
    the rate r x rate. The search repeats with the ratio of the window of the
    largest excess until the ratio stays the same (Dinkelbach's method).
    """
    ratio, next_ratio = 0.0, 1.0 / burst_requests if times_s else 0.0
    while next_ratio > ratio:
        ratio = next_ratio
        count, length_s = _find_largest_excess(times_s, ratio * rate_per_s)
        next_ratio = count / (rate_per_s * length_s + burst_requests)
    return ratio


def _admit_by_token_buckets(
    arrivals: Iterable[tuple[int, float, object]],
    rate_per_s: float,
    burst_requests: float,
) -> Iterable[int]:
    """Yield the numbers of the arrivals that a token bucket per key admits."""
    levels: dict[object, tuple[float, float]] = {}
    for number, at_s, key in arrivals:
        level, last_s = levels.get(key, (burst_requests, at_s))
        accrued = rate_per_s * (at_s - last_s)
        level = min(level + accrued, burst_requests)
        if level >= 1:
            level -= 1
            yield number
        levels[key] = (level, at_s)


def admit_independently(
    arrivals: Sequence[tuple[float, str, str]],
    customers: Iterable[configuration.Customer],
    parts: int,
) -> set[int]:
    """Return which arrivals independent instances admit, by position.

    Each instance has a token bucket with 1/parts of the rate and burst. The
    burst is at least 1, since the bucket would admit nothing otherwise.
    """
    admitted: set[int] = set()
    for customer in customers:
        customer_arrivals = (
            (number, at_s, instance)
            for number, (at_s, name, instance) in enumerate(arrivals)
            if name == customer.name
        )
        burst = max(customer.burst_requests / parts, 1)
        admitted.update(
            _admit_by_token_buckets(
                customer_arrivals, customer.rate_per_s / parts, burst
            )
        )
    return admitted


def list_independent_admissions(
    arrivals: Sequence[tuple[float, str, str]],
    customer: configuration.Customer,
    parts: int,
) -> list[float]:
    """Return the times in s at which independent instances admit, sorted."""
    numbers = admit_independently(arrivals, (customer,), parts)
    return sorted(arrivals[number][0] for number in numbers)


def find_conforming_arrivals(
    arrivals: Sequence[tuple[float, str, str]],
    customers: Iterable[configuration.Customer],
) -> set[int]:
    """Return which arrivals conform to the customers' rates, by position.

    These are the ones that one token bucket per customer would admit.
    """
    merged_arrivals = [(at_s, name, '') for at_s, name, _ in arrivals]
    return admit_independently(merged_arrivals, customers, 1)
