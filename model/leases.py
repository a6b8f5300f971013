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

LEASE_TICKS = 2
WAIT_TICKS = 2
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
    wait: int = WAIT_TICKS
    wait_after_restart: bool = True
    count_from_sending: bool = True
    increase_relayed_age: bool = True
    check_before_effect: bool = True


class InFlightPull(NamedTuple):
    """A pull in flight, or its reply if `is_reply`."""

    is_reply: bool
    age: int
    grant_age: int
    is_granted: bool


class LeaseState(NamedTuple):
    """The shared member, the messages and what both processes know.

    `eligible`, the age `change_age` of its last change and the age `started`
    of the last start belong to the shared member. `grant_ages` are the ages of
    the latest grant at both processes, LEASE_TICKS for none, and
    `relayed_grant_age` is that of a grant to the first process at a third
    member.
    """

    eligible: int
    change_age: int
    started: int
    pulls: tuple[tuple[InFlightPull, ...], tuple[InFlightPull, ...]]
    grant_ages: tuple[int, int]
    relayed_grant_age: int
    has_checked: bool
    has_effect: bool


def list_eligible(rules: LeaseRules) -> tuple[dict[int, int], ...]:
    """Return the two sets of eligible members that a member may have."""
    if rules.successor:
        return ({0: 1, 1: 1}, {0: 2, 1: 1})
    return ({0: 1, 1: 1}, {1: 1})


def find_granted(state: LeaseState, rules: LeaseRules) -> int | None:
    """Return which process the shared member grants the lease to.

    The decision is made by the implementation's code.
    """
    started = state.started if rules.wait_after_restart else WAIT_TICKS
    grants = lease_grants.make_grants(
        list_eligible(rules)[state.eligible],
        {0: -state.change_age},
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
    if state.grant_ages[process] < LEASE_TICKS:
        granted_at.append(-state.grant_ages[process])
    expires_at = lease_grants.find_quorum_expiry(
        granted_at, view.count_quorum(MEMBERS), LEASE_TICKS
    )
    return expires_at is not None and expires_at > 0


def _replace_item(pair: tuple, index: int, value: object) -> tuple:
    return (value, pair[1]) if index == 0 else (pair[0], value)


def _tick(state: LeaseState) -> LeaseState:
    return state._replace(
        change_age=min(state.change_age + 1, WAIT_TICKS),
        started=min(state.started + 1, WAIT_TICKS),
        pulls=tuple(
            tuple(
                sorted(
                    pull._replace(age=min(pull.age + 1, LEASE_TICKS))
                    for pull in in_flight
                )
            )
            for in_flight in state.pulls
        ),
        grant_ages=tuple(
            min(age + 1, LEASE_TICKS) for age in state.grant_ages
        ),
        relayed_grant_age=min(state.relayed_grant_age + 1, LEASE_TICKS),
        has_effect=False,
    )


def _step_member(state: LeaseState, rules: LeaseRules) -> Iterable:
    """Yield steps of the shared member: eligibility changes and restarts."""
    possible = (1,) if rules.successor else (0, 1)
    for eligible in set(possible) - {state.eligible}:
        # As in LeaseTable, changes in the wait after a start are not marked.
        waiting = lease_grants.is_waiting(-state.started, 0, WAIT_TICKS)
        changed = state.change_age if waiting else 0
        yield (
            'change',
            state._replace(eligible=eligible, change_age=changed),
        )
    for eligible in (0, 1):
        yield (
            'restart',
            state._replace(
                eligible=eligible, change_age=WAIT_TICKS, started=0
            ),
        )
    if rules.relayed and find_granted(state, rules) == 0:
        yield 'relay hears', state._replace(relayed_grant_age=0)


def _make_reply(
    state: LeaseState, rules: LeaseRules, process: int, pull: InFlightPull
) -> InFlightPull:
    if rules.relayed and process == 0:
        age = state.relayed_grant_age
        reported_age = age if rules.increase_relayed_age else 0
        return pull._replace(
            is_reply=True, grant_age=reported_age, is_granted=age < LEASE_TICKS
        )
    granted = find_granted(state, rules) == process
    return pull._replace(is_reply=True, is_granted=granted)


def _step_pull(
    state: LeaseState, rules: LeaseRules, process: int, pull: InFlightPull
) -> Iterable:
    others = list(state.pulls[process])
    others.remove(pull)

    def put(*in_flight: InFlightPull) -> tuple:
        return _replace_item(
            state.pulls, process, tuple(sorted((*others, *in_flight)))
        )

    yield 'lose', state._replace(pulls=put())
    if not pull.is_reply:
        reply = _make_reply(state, rules, process, pull)
        yield 'answer', state._replace(pulls=put(reply))
        return
    age = pull.age if rules.count_from_sending else 0
    age = (
        min(age + pull.grant_age, LEASE_TICKS)
        if pull.is_granted
        else LEASE_TICKS
    )
    ages = _replace_item(state.grant_ages, process, age)
    yield 'deliver', state._replace(pulls=put(), grant_ages=ages)
    yield 'deliver twice', state._replace(grant_ages=ages)


def _step_process(
    state: LeaseState, rules: LeaseRules, process: int
) -> Iterable:
    in_flight = state.pulls[process]
    if len(in_flight) < (rules.slots if process == 0 else 1):
        pull = InFlightPull(False, 0, 0, False)
        with_new = tuple(sorted((*in_flight, pull)))
        yield (
            'pull',
            state._replace(
                pulls=_replace_item(state.pulls, process, with_new)
            ),
        )
    for pull in set(in_flight):
        yield from _step_pull(state, rules, process, pull)


def _step_effect(state: LeaseState, rules: LeaseRules) -> Iterable:
    """Yield the first process's lease check and its effect, maybe later."""
    if not state.has_checked and is_held(state, 0):
        yield 'check', state._replace(has_checked=True)
    if state.has_checked:
        allowed = is_held(state, 0) or not rules.check_before_effect
        yield 'act', state._replace(has_checked=False, has_effect=allowed)


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
        acts = state.has_effect or is_held(state, 0)
        return not (acts and is_held(state, 1))

    return minicheck.Protocol(
        name='leases',
        candidate=False,
        fields=LeaseState._fields,
        initial=LeaseState(
            0,
            WAIT_TICKS,
            0,
            ((), ()),
            (LEASE_TICKS, LEASE_TICKS),
            LEASE_TICKS,
            False,
            False,
        ),
        transitions=list_steps,
        invariants={'one holder': holds_one},
    )
