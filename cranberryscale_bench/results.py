"""Results of measurements and their bounds."""

from collections.abc import Iterable
import json
import math
import pathlib
from typing import NamedTuple


__all__ = [
    'DECISION',
    'LARGER_IS_BETTER',
    'PROCESS',
    'Result',
    'format_line',
    'read_results',
]

# Kinds of results: from simulated time, or from processes with sockets.
DECISION = 'decision'
PROCESS = 'process'
LARGER_IS_BETTER = frozenset(
    (
        'domain_move_service_ratio',
        'held',
        'requests_per_s',
        'worst_customer_success_ratio',
    )
)


class Result(NamedTuple):
    """Measured value of one case.

    `baseline` is the value of the best simple alternative and `bound` the
    target; both may be None. The bound is a minimum for measures in
    LARGER_IS_BETTER and a maximum for others.
    """

    case: str
    measure: str
    value: float
    baseline: float | None
    bound: float | None
    unit: str
    kind: str = DECISION
    seed: int = 0

    @property
    def ok(self) -> bool:
        """Return whether the value is within the bound; NaN never is."""
        if self.bound is None:
            return True
        if math.isnan(self.value):
            return False
        if self.measure in LARGER_IS_BETTER:
            return self.value >= self.bound
        return self.value <= self.bound


def format_line(result: Result, commit: str) -> str:
    """Return a result as one line of JSON."""
    return json.dumps(
        {
            'case': result.case,
            'measure': result.measure,
            'value': result.value,
            'baseline': result.baseline,
            'bound': result.bound,
            'unit': result.unit,
            'ok': result.ok,
            'commit': commit,
            'seed': result.seed,
            'kind': result.kind,
        }
    )


def read_results(path: pathlib.Path) -> Iterable[Result]:
    """Yield the results in a file of lines written by format_line."""
    with path.open(encoding='utf-8') as lines:
        for line in filter(str.strip, lines):
            row = json.loads(line)
            yield Result(**{key: row[key] for key in Result._fields})
