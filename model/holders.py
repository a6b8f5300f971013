"""Specification of a customer's rate limit without a single budget holder.

Two instances stand for the two sides of a fleet that is partitioned and
healed, or that loses the holder. Each holder admits from its own token
bucket. The bucket is scaled by the fraction of recently known instances that
the holder counts, and a new bucket starts with a fraction of its burst. The
admissions of both within one window must not exceed what operators tolerate.
The specification shares no code with the implementation.
"""

from collections.abc import Iterable
from typing import NamedTuple

import minicheck


__all__ = ['HolderRules', 'HolderState', 'build_protocol']

TICKS = 4
# Of the whole fleet: tokens per tick and capacity of the bucket.
RATE = 4
BURST = 8
# Rate x window + burst, plus a quarter.
BOUND = (RATE * TICKS + BURST) * 5 // 4
START_DIVISOR = 4


class HolderRules(NamedTuple):
    """The most faults in a window, and rules that can be disabled."""

    changes: int = 2
    scale_by_known: bool = True
    start_small: bool = True


class HolderState(NamedTuple):
    """The buckets of both instances, -1 for one that is not in use yet.

    While `is_cut`, each counts only itself. Once `is_lost`, the first is gone
    and the second still counts it as recently known.
    """

    ticks: int
    changes: int
    is_cut: bool
    is_lost: bool
    first: int
    second: int
    admitted: int


def _scale(value: int, state: HolderState, rules: HolderRules) -> int:
    # The loss of one instance hardly changes the fraction that is counted.
    is_half = state.is_cut and rules.scale_by_known
    return value // 2 if is_half else value


def _cap(state: HolderState, rules: HolderRules) -> HolderState:
    burst = _scale(BURST, state, rules)
    return state._replace(
        first=min(state.first, burst), second=min(state.second, burst)
    )


def _tick(state: HolderState, rules: HolderRules) -> HolderState:
    rate = _scale(RATE, state, rules)
    # The second bucket is refilled when it is next used.
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
        start //= START_DIVISOR
    tokens = start if state.second < 0 else state.second
    if tokens > 0:
        yield (
            'admit by the second',
            state._replace(second=tokens - 1, admitted=state.admitted + 1),
        )


def build_protocol(rules: HolderRules) -> minicheck.Protocol:
    """Return the specification with these rules."""

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
