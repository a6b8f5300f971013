"""Specification of the transfer of tokens from a budget holder to an entry.

An entry is an instance that admits requests of callers. A monitor bucket is
full at first and pays for every spent token. If it is never overdrawn, the
spent tokens are within rate x window + burst for every window. The
specification shares no code with the implementation.
"""

from collections.abc import Iterable
from typing import NamedTuple

import minicheck


__all__ = ['TransferRules', 'TransferState', 'build_protocol']

BURST = 2
VALID_TICKS = 1
# One token is refilled per tick; at most this many grants are in progress.
MAX_GRANTS = 4


class TransferRules(NamedTuple):
    """The rules of the protocol; each can be disabled to seed a defect."""

    debit_first: bool = True
    count_outstanding: bool = True


class GrantedToken(NamedTuple):
    """One token between its grant and its return or expiry.

    `grant_age` is in ticks since the grant, `request_age` since the request.
    `stage` is "reply", "entry", "spent" or "return". `is_outstanding` is
    whether the holder counts the token as outstanding, `is_return_in_flight`
    whether a message that returns it is in flight.
    """

    grant_age: int
    request_age: int
    stage: str
    is_outstanding: bool
    is_return_in_flight: bool


class TransferState(NamedTuple):
    """The holder's tokens, the monitor bucket and the grants in progress."""

    tokens: int
    monitor: int
    grants: tuple[GrantedToken, ...]


def _count_outstanding(state: TransferState) -> int:
    return sum(grant.is_outstanding for grant in state.grants)


def _tick(state: TransferState, rules: TransferRules) -> TransferState:
    grants = (
        grant._replace(
            grant_age=min(grant.grant_age + 1, VALID_TICKS + 1),
            request_age=min(grant.request_age + 1, VALID_TICKS + 1),
            is_outstanding=grant.is_outstanding
            and grant.grant_age < VALID_TICKS,
        )
        for grant in state.grants
    )
    # A token that is neither owed nor valid cannot change any more.
    kept = tuple(
        sorted(
            grant
            for grant in grants
            if grant.is_outstanding or grant.request_age <= VALID_TICKS
        )
    )
    state = state._replace(grants=kept, monitor=min(state.monitor + 1, BURST))
    room = BURST - (
        _count_outstanding(state) if rules.count_outstanding else 0
    )
    return state._replace(tokens=max(0, min(state.tokens + 1, room)))


def _step_grant(
    state: TransferState, grant: GrantedToken, rules: TransferRules
) -> Iterable[tuple[str, TransferState]]:
    others = list(state.grants)
    others.remove(grant)

    def put(changed: GrantedToken, **fields: int) -> TransferState:
        grants = tuple(sorted((*others, changed)))
        return state._replace(grants=grants, **fields)

    valid = grant.request_age <= VALID_TICKS
    match grant.stage:
        case 'reply' if valid:
            yield 'receive', put(grant._replace(stage='entry'))
        case 'entry' if valid:
            spent = grant._replace(stage='spent')
            yield 'spend', put(spent, monitor=state.monitor - 1)
            # The entry debits its own bucket before it returns the token.
            stage = 'return' if rules.debit_first else 'entry'
            yield (
                'return',
                put(grant._replace(stage=stage, is_return_in_flight=True)),
            )
    if grant.is_return_in_flight and grant.is_outstanding:
        credited = grant._replace(
            is_outstanding=False, is_return_in_flight=False
        )
        yield 'credit', put(credited, tokens=state.tokens + 1)


def build_protocol(rules: TransferRules) -> minicheck.Protocol:
    """Return the specification with these rules."""

    def list_steps(values: tuple) -> list:
        state = TransferState(*values)
        if state.monitor < 0:
            # The invariant is violated; further states would be unbounded.
            return []
        steps = [('tick', _tick(state, rules))]
        if state.tokens and len(state.grants) < MAX_GRANTS:
            # The request may already have been in flight for a tick.
            for request_age in range(VALID_TICKS + 1):
                grant = GrantedToken(0, request_age, 'reply', True, False)
                grants = tuple(sorted((*state.grants, grant)))
                steps.append(
                    (
                        'grant',
                        TransferState(state.tokens - 1, state.monitor, grants),
                    )
                )
        for grant in set(state.grants):
            steps.extend(_step_grant(state, grant, rules))
        return steps

    return minicheck.Protocol(
        name='budgets',
        candidate=False,
        fields=TransferState._fields,
        initial=TransferState(0, BURST, ()),
        transitions=list_steps,
        invariants={
            'inside rate and burst': lambda state: state['monitor'] >= 0
        },
    )
