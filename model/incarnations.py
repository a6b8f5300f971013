"""Specification of the order of signs of one member that restarts.

Signs arrive in any order, late and repeatedly; the comparison is the one
of the gossip table.
"""

from collections.abc import Callable

import minicheck

from cranberryscale.process import gossip
from cranberryscale.process import lease_grants


__all__ = ['build_protocol']

SIGNS = tuple(
    gossip.Heartbeat(at, lease_grants.Identity(0, incarnation))
    for at in (0, 1)
    for incarnation in (1, 2)
)


def build_protocol(
    is_newer: Callable = gossip.is_newer,
) -> minicheck.Protocol:
    """Return the specification with a comparison of signs."""

    def list_steps(state: tuple) -> list:
        known, newest, _ = state
        steps = []
        for sign in SIGNS:
            after = sign if is_newer(sign, known) else known
            seen = max(newest, sign.identity.incarnation)
            steps.append(
                (
                    f'deliver {sign.identity.incarnation}',
                    (after, seen, after.identity.incarnation),
                )
            )
        return steps

    return minicheck.Protocol(
        name='incarnations',
        candidate=False,
        fields=('known', 'newest_seen', 'followed'),
        initial=(None, 0, 0),
        transitions=list_steps,
        invariants={
            'follow the newest': lambda state: (
                state['followed'] == state['newest_seen']
            )
        },
    )
