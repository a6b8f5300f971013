"""Results of measurements."""

from typing import NamedTuple


__all__ = ['Result']


class Result(NamedTuple):
    """Hold one measured value next to its baseline and bound."""

    case: str
    measure: str
    value: float
    baseline: float
    bound: float
    unit: str
