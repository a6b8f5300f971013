"""Points, timings and least-squares fits of capacity measurements."""

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
    """Hold a line; `residual` is the largest distance of a point from it."""

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
    """Return the processor time of one call, the least of seven repeats."""
    times = []
    for _ in range(REPEATS):
        began = time.process_time()
        for _ in range(count):
            action()
        times.append(time.process_time() - began)
    return min(times) / count * 1e6


def list_results(
    case: str,
    measure: str,
    unit: str,
    per: str,
    points: Mapping[int, float],
) -> Iterable[results.Result]:
    """Yield the points and their fit; `per` names what the sizes count."""
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
    """Yield points and fits of all values, which end in _us or _bytes."""
    rows = {size: measure(size) for size in sizes}
    for name in rows[sizes[0]]:
        points = {size: row[name] for size, row in rows.items()}
        unit = 'bytes' if name.endswith('_bytes') else 'us'
        label = name.removesuffix(f'_{unit}')
        if unit == 'bytes':
            label = f'{label}_size'
        yield from list_results(case, label, unit, per, points)
