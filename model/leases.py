"""Specification of lease grants, checked over all interleavings.

Two processes want the lease of the same resource, and one member is in the
quorums of both. The own grant of a process always counts, so safety depends on
that one shared member; model.quorums shows that any two quorums share one.
Time is discrete, all times are ages, and no step has to happen: message loss,
one-way partitions and pauses are steps that are left out while time passes.
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
    """The situation, and rules that can be disabled to seed a defect.

    With `successor`, both processes have the same name, as after a restart
    without stored state; otherwise they are different members. With
    `relayed`, grants to the first process arrive by way of a third member.
    `slots` is the number of pulls that the first process may have in flight.
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
    """A pull in flight, or its reply if `replied`."""

    replied: bool
    age: int
    grant_age: int
    granted: bool


class LeaseState(NamedTuple):
    """The shared member, the messages and what both processes know.

    `eligible`, `changed` and `started` belong to the shared member. `known`
    are the ages of the latest grant at both processes, LEASE for none.
    `relay` is the age of a grant to the first process at a third member.
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
    """Return the two sets of eligible members that a member may have."""
    if rules.successor:
        return ({0: 1, 1: 1}, {0: 2, 1: 1})
    return ({0: 1, 1: 1}, {1: 1})


def find_granted(state: LeaseState, rules: LeaseRules) -> int | None:
    """Return which process the shared member grants the lease to.

    The decision is made by the implementation's code.
    """
    started = state.started if rules.wait_after_restart else WAIT
    grants = lease_grants.make_grants(
        list_eligible(rules)[state.eligible],
        {0: -state.changed},
        -started,
        0,
        rules.wait,
    )
    if grants is None:
        return None
    grantee = lease_grants.choose_grantee(
        dict(grants.eligible), grants.recent, RANKING
    )
    contenders = (
        lease_grants.Identity(0, 1),
        lease_grants.Identity(0, 2)
        if rules.successor
        else lease_grants.Identity(1, 1),
    )
    return contenders.index(grantee) if grantee in contenders else None


def is_held(state: LeaseState, process: int) -> bool:
    """Return whether a process has a quorum: its own and the shared grant."""
    granted_at = [0]
    if state.known[process] < LEASE:
        granted_at.append(-state.known[process])
    expires_at = lease_grants.find_quorum_expiry(
        granted_at, view.count_quorum(MEMBERS), LEASE
    )
    return expires_at is not None and expires_at > 0


def _replace_item(pair: tuple, index: int, value: object) -> tuple:
    return (value, pair[1]) if index == 0 else (pair[0], value)


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
    """Yield steps of the shared member: eligibility changes and restarts."""
    possible = (1,) if rules.successor else (0, 1)
    for eligible in set(possible) - {state.eligible}:
        # As in LeaseTable, changes in the wait after a start are not marked.
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


def _make_reply(
    state: LeaseState, rules: LeaseRules, process: int, flight: InFlightPull
) -> InFlightPull:
    if rules.relayed and process == 0:
        age = state.relay
        reported_age = age if rules.increase_relayed_age else 0
        return flight._replace(
            replied=True, grant_age=reported_age, granted=age < LEASE
        )
    granted = find_granted(state, rules) == process
    return flight._replace(replied=True, granted=granted)


def _step_flight(
    state: LeaseState, rules: LeaseRules, process: int, flight: InFlightPull
) -> Iterable:
    rest = list(state.flights[process])
    rest.remove(flight)

    def put(*flights: InFlightPull) -> tuple:
        return _replace_item(
            state.flights, process, tuple(sorted((*rest, *flights)))
        )

    yield 'lose', state._replace(flights=put())
    if not flight.replied:
        reply = _make_reply(state, rules, process, flight)
        yield 'answer', state._replace(flights=put(reply))
        return
    age = flight.age if rules.count_from_sending else 0
    age = min(age + flight.grant_age, LEASE) if flight.granted else LEASE
    known = _replace_item(state.known, process, age)
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
            state._replace(
                flights=_replace_item(state.flights, process, pulled)
            ),
        )
    for flight in set(flights):
        yield from _step_flight(state, rules, process, flight)


def _step_effect(state: LeaseState, rules: LeaseRules) -> Iterable:
    """Yield the first process's lease check and its effect, maybe later."""
    if not state.checked and is_held(state, 0):
        yield 'check', state._replace(checked=True)
    if state.checked:
        allowed = is_held(state, 0) or not rules.check_before_effect
        yield 'act', state._replace(checked=False, effect=allowed)


def build_protocol(rules: LeaseRules) -> minicheck.Protocol:
    """Return the specification with these rules."""

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
