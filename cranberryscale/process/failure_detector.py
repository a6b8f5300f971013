"""Failure detector over the ages of heartbeats."""

import datetime
from typing import NamedTuple


__all__ = ['MemberHealth', 'evaluate_member_health']


class MemberHealth(NamedTuple):
    """State of a listed member: alive, suspected, or neither so far.

    `fresh_since` is set while the heartbeats of a suspected member are fresh
    again.
    """

    alive: bool = False
    suspected: bool = False
    fresh_since: datetime.timedelta | None = None


def evaluate_member_health(
    health: MemberHealth,
    heartbeat_age: datetime.timedelta,
    listening_for: datetime.timedelta,
    now: datetime.timedelta,
    suspect_after: datetime.timedelta,
) -> MemberHealth:
    """Return the state of a member whose latest heartbeat has this age.

    A member is alive from its first heartbeat on. A suspected member is alive
    again only after its heartbeats were fresh for twice the suspicion timeout,
    so that a flapping member does not move resources. An instance that was
    paused suspects no member until it has listened for the suspicion
    timeout.
    """
    if heartbeat_age <= suspect_after:
        if health.alive or not health.suspected:
            return MemberHealth(alive=True)
        if health.fresh_since is None:
            return health._replace(fresh_since=now)
        if now - health.fresh_since >= 2 * suspect_after:
            return MemberHealth(alive=True)
        return health
    if health.alive and listening_for <= suspect_after:
        return health
    return MemberHealth(suspected=health.alive or health.suspected)
