"""Specification of quorums over two lists that differ.

`replaced` members are on the old list only and still alive, cut off, and
as many new ones are on the new list only. A member on both lists grants to
one holder at a time. The holder of the old list counts the replaced ones,
the holder of the new list the new ones.
"""

from typing import NamedTuple

import minicheck

from cranberryscale.version import view


__all__ = ['Rules', 'build_protocol']


class Rules(NamedTuple):
    """Set the size of both lists and the most members replaced."""

    members: int
    most_replaced: int
    half: bool = False


def build_protocol(rules: Rules) -> minicheck.Protocol:
    """Return the specification under these rules."""
    quorum = view.count_quorum(rules.members)
    if rules.half:
        quorum = rules.members // 2

    def list_steps(state: tuple) -> list:
        replaced, old, new = state
        steps = []
        if not old and not new and replaced < rules.most_replaced:
            steps.append(('replace', (replaced + 1, 0, 0)))
        if old + new < rules.members - replaced:
            steps.append(('grant to old', (replaced, old + 1, new)))
            steps.append(('grant to new', (replaced, old, new + 1)))
        return steps

    def holds_one(state: dict) -> bool:
        return not all(
            state['replaced'] + state[side] >= quorum
            for side in ('old', 'new')
        )

    return minicheck.Protocol(
        name='quorums',
        candidate=False,
        fields=('replaced', 'old', 'new'),
        initial=(0, 0, 0),
        transitions=list_steps,
        invariants={'one holder': holds_one},
    )
