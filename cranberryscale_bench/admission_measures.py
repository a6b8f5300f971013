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
    """Return (count, length) of the window with the largest debt.

    The debt of a window is its count less `rate x length`. The best window
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

    Only windows that start and end at a request matter. For a ratio x, a
    window beats x if count - x x rate x length > x x burst, which is a
    debt at the rate x x rate; starting from any window and repeating with
    its ratio ends at the exact maximum (Dinkelbach's method).
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
    """Yield the numbers of arrivals that buckets, one a key, admit."""
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
    """Return what is admitted if every instance decides alone.

    Each has 1/parts of the rate and burst, and a burst of at least 1, since
    it would admit nothing otherwise.
    """
    admitted: set[int] = set()
    for customer in customers:
        own = (
            (number, at_s, instance)
            for number, (at_s, name, instance) in enumerate(arrivals)
            if name == customer.name
        )
        burst = max(customer.burst_requests / parts, 1)
        admitted.update(
            _admit_by_token_buckets(own, customer.rate_per_s / parts, burst)
        )
    return admitted


def list_independent_admissions(
    arrivals: Sequence[tuple[float, str, str]],
    customer: configuration.Customer,
    parts: int,
) -> list[float]:
    """Return the times at which instances that decide alone admit."""
    numbers = admit_independently(arrivals, (customer,), parts)
    return sorted(arrivals[number][0] for number in numbers)


def find_conforming_arrivals(
    arrivals: Sequence[tuple[float, str, str]],
    customers: Iterable[configuration.Customer],
) -> set[int]:
    """Return the arrivals that one ideal bucket a customer admits."""
    merged_arrivals = [(at_s, name, '') for at_s, name, _ in arrivals]
    return admit_independently(merged_arrivals, customers, 1)
