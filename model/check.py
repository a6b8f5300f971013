"""Checks the specifications, with and without seeded defects."""

from collections.abc import Iterable
import sys
import time
from typing import NamedTuple

import minicheck

from cranberryscale.process import gossip
from model import budgets
from model import holders
from model import incarnations
from model import leases
from model import quorums


__all__ = ['Case', 'CaseResult', 'check_case', 'list_cases', 'main']

MAX_STATES = 2_000_000


class Case(NamedTuple):
    """A specification and whether its invariant is expected to hold."""

    name: str
    protocol: minicheck.Protocol
    holds: bool


class CaseResult(NamedTuple):
    """The result of a check.

    `steps` is the length of the counterexample, 0 if there is none.
    """

    holds: bool | None
    steps: int
    states: int
    seconds: float


def _is_newer_reversed(
    heartbeat: gossip.Heartbeat, known: gossip.Heartbeat | None
) -> bool:
    return known is None or gossip.is_newer(known, heartbeat)


def _list_sound() -> Iterable[Case]:
    for name, rules in (
        ('leases of two members, reordering', leases.LeaseRules(slots=2)),
        ('leases of a process and its successor', leases.LeaseRules(True)),
        ('leases with relayed grants', leases.LeaseRules(relayed=True)),
    ):
        yield Case(name, leases.build_protocol(rules), True)
    for members, replaced in ((11, 2), (44, 11)):
        rules = quorums.QuorumRules(members, replaced)
        name = f'quorums, {replaced} of {members} replaced and alive'
        yield Case(name, quorums.build_protocol(rules), True)
    added = quorums.build_protocol(quorums.QuorumRules(44, most_added=32))
    yield Case('quorums, 32 added to 44', added, True)
    yield Case('incarnations', incarnations.build_protocol(), True)
    yield Case(
        'budgets', budgets.build_protocol(budgets.TransferRules()), True
    )
    for changes in (1, 2):
        rules = holders.HolderRules(changes)
        name = f'holders without agreement, {changes} changes in a window'
        yield Case(name, holders.build_protocol(rules), True)


def _list_defects() -> Iterable[Case]:
    for name, rules in (
        ('no wait before taking over', leases.LeaseRules(wait=0)),
        (
            'no wait after a restart',
            leases.LeaseRules(wait_after_restart=False),
        ),
        (
            'freshness counted from arrival',
            leases.LeaseRules(count_from_sending=False),
        ),
        (
            'relayed age not increased',
            leases.LeaseRules(relayed=True, increase_relayed_age=False),
        ),
        (
            'lease checked only before a pause',
            leases.LeaseRules(check_before_effect=False),
        ),
    ):
        yield Case(name, leases.build_protocol(rules), False)
    half = quorums.QuorumRules(4, half=True)
    yield Case('quorum of one half', quorums.build_protocol(half), False)
    reversed_order = incarnations.build_protocol(_is_newer_reversed)
    yield Case('version compare reversed', reversed_order, False)
    for name, rules in (
        ('credit before debit', budgets.TransferRules(debit_first=False)),
        (
            'outstanding not counted',
            budgets.TransferRules(count_outstanding=False),
        ),
    ):
        yield Case(name, budgets.build_protocol(rules), False)
    for name, rules in (
        ('sides of a cut each give the whole rate', {'scale_by_known': False}),
        ('a new holder starts with a whole burst', {'start_small': False}),
    ):
        yield Case(
            name, holders.build_protocol(holders.HolderRules(**rules)), False
        )
    flapping = holders.build_protocol(holders.HolderRules(changes=3))
    yield Case('limit: holders, 3 changes in a window', flapping, False)
    for members, replaced in ((11, 3), (44, 12)):
        rules = quorums.QuorumRules(members, replaced)
        name = f'limit: {replaced} of {members} replaced and alive'
        yield Case(name, quorums.build_protocol(rules), False)
    added = quorums.build_protocol(quorums.QuorumRules(44, most_added=33))
    yield Case('limit: 33 added to 44', added, False)


def list_cases() -> tuple[Case, ...]:
    """Return the sound cases, then those with defects or beyond limits."""
    return (*_list_sound(), *_list_defects())


def check_case(case: Case) -> CaseResult:
    """Search all reachable states of a specification for a violation."""
    started_s = time.perf_counter()
    result = minicheck.check_safety(case.protocol, max_states=MAX_STATES)
    (verdict,) = result['properties'].values()
    trace = verdict['counterexample'] or ()
    return CaseResult(
        verdict['holds'],
        max(0, len(trace) - 1),
        result['reachable_states'],
        time.perf_counter() - started_s,
    )


def main() -> int:
    """Print a table of all cases; return 1 if one is not as expected."""
    unexpected = 0
    print(f'{"case":52} {"holds":>6} {"steps":>6} {"states":>8} {"s":>6}')
    for case in list_cases():
        result = check_case(case)
        unexpected += result.holds is not case.holds
        print(
            f'{case.name:52} {result.holds!s:>6} {result.steps:6}'
            f' {result.states:8} {result.seconds:6.1f}'
        )
    return 1 if unexpected else 0


if __name__ == '__main__':
    sys.exit(main())
