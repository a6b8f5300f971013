"""Specification of a customer's rate without agreement on a holder.

Two instances stand for the two sides of a fleet that is cut and joined, or
that loses the holder. Each holder admits from a token bucket of its own,
scaled by the part of the lately known instances that it counts, and a new
bucket starts with a part of its burst. Over one window all admissions must
stay inside what operators tolerate. No code is shared with the product.
"""

from collections.abc import Iterable
from typing import NamedTuple

import minicheck


__all__ = ['HolderRules', 'HolderState', 'build_protocol']

TICKS = 4
# Of the whole fleet: tokens a tick, and most tokens at a time.
RATE = 4
BURST = 8
# Rate x window + burst, and a quarter more.
BOUND = (RATE * TICKS + BURST) * 5 // 4
START_PARTS = 4


class HolderRules(NamedTuple):
    """Bound the faults of one window and switch single rules off."""

    changes: int = 2
    scale_by_known: bool = True
    start_small: bool = True


class HolderState(NamedTuple):
    """Hold the buckets of both instances, -1 for one not in use yet.

    `is_cut` says that each counts only itself; `is_lost` that the first one
    is gone and the second counts it as lately known.
    """

    ticks: int
    changes: int
    is_cut: bool
    is_lost: bool
    first: int
    second: int
    admitted: int


def _scale(value: int, state: HolderState, rules: HolderRules) -> int:
    # The loss of one instance changes the part that is counted by little.
    is_half = state.is_cut and rules.scale_by_known
    return value // 2 if is_half else value


def _cap(state: HolderState, rules: HolderRules) -> HolderState:
    burst = _scale(BURST, state, rules)
    return state._replace(
        first=min(state.first, burst), second=min(state.second, burst)
    )


def _tick(state: HolderState, rules: HolderRules) -> HolderState:
    rate = _scale(RATE, state, rules)
    # The second instance's bucket is filled up when it is next asked.
    first = state.first + rate if state.first >= 0 else -1
    second = state.second + rate if state.second >= 0 else -1
    filled = state._replace(ticks=state.ticks + 1, first=first, second=second)
    return _cap(filled, rules)


def _list_faults(
    state: HolderState, rules: HolderRules
) -> Iterable[tuple[str, HolderState]]:
    if state.changes >= rules.changes or state.is_lost:
        return
    counted = state._replace(changes=state.changes + 1)
    changed = counted._replace(is_cut=not state.is_cut)
    yield 'join' if state.is_cut else 'cut', _cap(changed, rules)
    yield 'lose', _cap(counted._replace(is_lost=True, first=0), rules)


def _list_admissions(
    state: HolderState, rules: HolderRules
) -> Iterable[tuple[str, HolderState]]:
    if not state.is_lost and state.first > 0:
        yield (
            'admit by the first',
            state._replace(first=state.first - 1, admitted=state.admitted + 1),
        )
    if not (state.is_cut or state.is_lost):
        return
    start = _scale(BURST, state, rules)
    if rules.start_small:
        start //= START_PARTS
    tokens = start if state.second < 0 else state.second
    if tokens > 0:
        yield (
            'admit by the second',
            state._replace(second=tokens - 1, admitted=state.admitted + 1),
        )


def build_protocol(rules: HolderRules) -> minicheck.Protocol:
    """Return the specification under these rules."""

    def list_steps(values: tuple) -> list:
        state = HolderState(*values)
        if state.admitted > BOUND:
            return []
        steps = [
            *_list_admissions(state, rules),
            *_list_faults(state, rules),
        ]
        if state.ticks < TICKS:
            steps.append(('tick', _tick(state, rules)))
        return steps

    return minicheck.Protocol(
        name='holders',
        candidate=False,
        fields=HolderState._fields,
        initial=HolderState(0, 0, False, False, BURST, -1, 0),
        transitions=list_steps,
        invariants={
            'inside the tolerated rate': lambda state: (
                state['admitted'] <= BOUND
            )
        },
    )
