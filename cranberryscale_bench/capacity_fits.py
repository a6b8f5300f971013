"""Timings and least-squares fits for the capacity cases."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import statistics
import time
from typing import NamedTuple

from cranberryscale_bench import results


__all__ = ['Fit', 'fit_line', 'list_results', 'measure_sizes', 'measure_us']

REPEATS = 7


class Fit(NamedTuple):
    """Line through points; `residual` is the largest absolute residual."""

    slope: float
    intercept: float
    residual: float


def fit_line(points: Mapping[int, float]) -> Fit:
    """Return the least-squares line through two or more points."""
    slope, intercept = statistics.linear_regression(
        tuple(points), tuple(points.values())
    )
    residual = max(
        abs(value - slope * size - intercept) for size, value in points.items()
    )
    return Fit(slope, intercept, residual)


def measure_us(action: Callable[[], object], count: int = 100) -> float:
    """Return the CPU time of one call in us, the minimum of REPEATS."""
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        for _ in range(count):
            action()
        times.append(time.process_time() - started_s)
    return min(times) / count * 1e6


def list_results(
    case: str,
    measure: str,
    unit: str,
    per: str,
    points: Mapping[int, float],
) -> Iterable[results.Result]:
    """Yield the points and their fit; `per` is the unit of the sizes."""
    name, kind = f'capacity/{case}', results.DECISION
    fit = fit_line(points)
    rows = (
        *((f'{measure}_at_{n}', value, unit) for n, value in points.items()),
        (f'{measure}_slope', fit.slope, f'{unit}/{per}'),
        (f'{measure}_intercept', fit.intercept, unit),
        (f'{measure}_residual', fit.residual, unit),
    )
    for label, value, shown_unit in rows:
        yield results.Result(name, label, value, None, None, shown_unit, kind)


def measure_sizes(
    case: str,
    per: str,
    sizes: tuple[int, ...],
    measure: Callable[[int], dict[str, float]],
) -> Iterable[results.Result]:
    """Yield points and fits of all values.

    `measure` returns values by name; names end in the unit, _us or _bytes.
    """
    values_by_size = {size: measure(size) for size in sizes}
    for name in values_by_size[sizes[0]]:
        points = {size: row[name] for size, row in values_by_size.items()}
        unit = 'bytes' if name.endswith('_bytes') else 'us'
        label = name.removesuffix(f'_{unit}')
        if unit == 'bytes':
            label = f'{label}_size'
        yield from list_results(case, label, unit, per, points)
