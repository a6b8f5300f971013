"""Specification of grants and leases, checked over all interleavings.

One member is in the quorums of two processes that want the same resource.
Their own grants always count, so safety rests on that one shared member;
that any two quorums share one is shown by model.quorums. Time is discrete,
all times are ages, and every step is optional: loss, one-way partitions
and pauses are steps that do not happen while time passes.
"""

from collections.abc import Iterable
from typing import NamedTuple

import minicheck

from cranberryscale.process import lease_grants
from cranberryscale.version import view


__all__ = ['LeaseRules', 'LeaseState', 'build_protocol']

LEASE = 2
WAIT = 2
MEMBERS = 3
RANKING = (0, 1, 2)


class LeaseRules(NamedTuple):
    """Choose the situation and switch single rules off, for defects.

    `successor` lets both processes have the same name, as after a restart
    without memory; otherwise they are different members.
    """

    successor: bool = False
    relayed: bool = False
    slots: int = 1
    wait: int = WAIT
    wait_after_restart: bool = True
    count_from_sending: bool = True
    increase_relayed_age: bool = True
    check_before_effect: bool = True


class InFlightPull(NamedTuple):
    """Hold a pull (`replied` false) or the reply to it."""

    replied: bool
    age: int
    grant_age: int
    granted: bool


class LeaseState(NamedTuple):
    """Hold the shared member, the messages and what both processes know.

    `known` are ages of the latest grant, LEASE for none. `relay` is the age
    of a grant to the first process at a third member.
    """

    eligible: int
    changed: int
    started: int
    flights: tuple[tuple[InFlightPull, ...], tuple[InFlightPull, ...]]
    known: tuple[int, int]
    relay: int
    checked: bool
    effect: bool


def list_eligible(rules: LeaseRules) -> tuple[dict[int, int], ...]:
    """Return the sets of eligible members that may follow each other."""
    if rules.successor:
        return ({0: 1, 1: 1}, {0: 2, 1: 1})
    return ({0: 1, 1: 1}, {1: 1})


def find_granted(state: LeaseState, rules: LeaseRules) -> int | None:
    """Return which process the shared member grants to, by its own code."""
    started = state.started if rules.wait_after_restart else WAIT
    given = lease_grants.make_grants(
        list_eligible(rules)[state.eligible],
        {0: -state.changed},
        -started,
        0,
        rules.wait,
    )
    if given is None:
        return None
    granted = lease_grants.choose_grantee(
        dict(given.eligible), given.recent, RANKING
    )
    contenders = (
        lease_grants.Identity(0, 1),
        lease_grants.Identity(0, 2)
        if rules.successor
        else lease_grants.Identity(1, 1),
    )
    return contenders.index(granted) if granted in contenders else None


def is_held(state: LeaseState, process: int) -> bool:
    """Tell whether a process holds now: its own and the shared grant."""
    ats = [0]
    if state.known[process] < LEASE:
        ats.append(-state.known[process])
    until = lease_grants.find_quorum_expiry(
        ats, view.count_quorum(MEMBERS), LEASE
    )
    return until is not None and until > 0


def _replace(pair: tuple, place: int, value: object) -> tuple:
    return (value, pair[1]) if place == 0 else (pair[0], value)


def _tick(state: LeaseState) -> LeaseState:
    return state._replace(
        changed=min(state.changed + 1, WAIT),
        started=min(state.started + 1, WAIT),
        flights=tuple(
            tuple(
                sorted(
                    flight._replace(age=min(flight.age + 1, LEASE))
                    for flight in flights
                )
            )
            for flights in state.flights
        ),
        known=tuple(min(age + 1, LEASE) for age in state.known),
        relay=min(state.relay + 1, LEASE),
        effect=False,
    )


def _step_member(state: LeaseState, rules: LeaseRules) -> Iterable:
    """Yield changes of the shared member: suspicion, lists, restarts."""
    others = (1,) if rules.successor else (0, 1)
    for eligible in set(others) - {state.eligible}:
        # As in LeaseTable, changes are not marked before the first wait.
        waiting = lease_grants.is_waiting(-state.started, 0, WAIT)
        changed = state.changed if waiting else 0
        yield (
            'change',
            state._replace(eligible=eligible, changed=changed),
        )
    for eligible in (0, 1):
        yield (
            'restart',
            state._replace(eligible=eligible, changed=WAIT, started=0),
        )
    if rules.relayed and find_granted(state, rules) == 0:
        yield 'relay hears', state._replace(relay=0)


def _answer(
    state: LeaseState, rules: LeaseRules, process: int, flight: InFlightPull
) -> InFlightPull:
    if rules.relayed and process == 0:
        age = state.relay
        given = age if rules.increase_relayed_age else 0
        return flight._replace(
            replied=True, grant_age=given, granted=age < LEASE
        )
    granted = find_granted(state, rules) == process
    return flight._replace(replied=True, granted=granted)


def _step_flight(
    state: LeaseState, rules: LeaseRules, process: int, flight: InFlightPull
) -> Iterable:
    rest = list(state.flights[process])
    rest.remove(flight)

    def put(*flights: InFlightPull) -> tuple:
        return _replace(
            state.flights, process, tuple(sorted((*rest, *flights)))
        )

    yield 'lose', state._replace(flights=put())
    if not flight.replied:
        answer = _answer(state, rules, process, flight)
        yield 'answer', state._replace(flights=put(answer))
        return
    age = flight.age if rules.count_from_sending else 0
    age = min(age + flight.grant_age, LEASE) if flight.granted else LEASE
    known = _replace(state.known, process, age)
    yield 'deliver', state._replace(flights=put(), known=known)
    yield 'deliver twice', state._replace(known=known)


def _step_process(
    state: LeaseState, rules: LeaseRules, process: int
) -> Iterable:
    flights = state.flights[process]
    if len(flights) < (rules.slots if process == 0 else 1):
        flight = InFlightPull(False, 0, 0, False)
        pulled = tuple(sorted((*flights, flight)))
        yield (
            'pull',
            state._replace(flights=_replace(state.flights, process, pulled)),
        )
    for flight in set(flights):
        yield from _step_flight(state, rules, process, flight)


def _step_effect(state: LeaseState, rules: LeaseRules) -> Iterable:
    """Yield the first process's check and, maybe after a pause, effect."""
    if not state.checked and is_held(state, 0):
        yield 'check', state._replace(checked=True)
    if state.checked:
        allowed = is_held(state, 0) or not rules.check_before_effect
        yield 'act', state._replace(checked=False, effect=allowed)


def build_protocol(rules: LeaseRules) -> minicheck.Protocol:
    """Return the specification under these rules."""

    def list_steps(values: tuple) -> list:
        state = LeaseState(*values)
        steps = [('tick', _tick(state)), *_step_member(state, rules)]
        for process, name in enumerate('AB'):
            steps.extend(
                (f'{name} {label}', after)
                for label, after in _step_process(state, rules, process)
            )
        steps.extend(_step_effect(state, rules))
        return steps

    def holds_one(values: dict) -> bool:
        state = LeaseState(**values)
        acts = state.effect or is_held(state, 0)
        return not (acts and is_held(state, 1))

    return minicheck.Protocol(
        name='leases',
        candidate=False,
        fields=LeaseState._fields,
        initial=LeaseState(
            0, WAIT, 0, ((), ()), (LEASE, LEASE), LEASE, False, False
        ),
        transitions=list_steps,
        invariants={'one holder': holds_one},
    )
