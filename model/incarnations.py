"""Specification of the order of heartbeats of a member that restarts.

Heartbeats arrive in any order, late and repeatedly. The comparison is that of
the implementation.
"""

from collections.abc import Callable

import minicheck

from cranberryscale.process import gossip
from cranberryscale.process import lease_grants


__all__ = ['build_protocol']

HEARTBEATS = tuple(
    gossip.Heartbeat(at, lease_grants.Identity(0, incarnation))
    for at in (0, 1)
    for incarnation in (1, 2)
)


def build_protocol(
    is_newer: Callable = gossip.is_newer,
) -> minicheck.Protocol:
    """Return the specification with a comparison of heartbeats."""

    def list_steps(state: tuple) -> list:
        known, newest, _ = state
        steps = []
        for heartbeat in HEARTBEATS:
            after = heartbeat if is_newer(heartbeat, known) else known
            newest_seen = max(newest, heartbeat.identity.incarnation)
            steps.append(
                (
                    f'deliver {heartbeat.identity.incarnation}',
                    (after, newest_seen, after.identity.incarnation),
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
