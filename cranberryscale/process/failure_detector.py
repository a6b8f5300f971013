"""Suspicion of members that show no sign of life."""

import datetime
from typing import NamedTuple


__all__ = ['MemberHealth', 'evaluate_member_health']


class MemberHealth(NamedTuple):
    """Hold a listed member's state: unheard, alive or lost.

    `fresh_since` is set while a lost member returns.
    """

    alive: bool = False
    lost: bool = False
    fresh_since: datetime.timedelta | None = None


def evaluate_member_health(
    health: MemberHealth,
    sign_age: datetime.timedelta,
    listening_for: datetime.timedelta,
    now: datetime.timedelta,
    suspect: datetime.timedelta,
) -> MemberHealth:
    """Return the state of a member whose latest sign has this age.

    A member heard for the first time is alive at once. A lost one returns
    only after it was fresh for twice the suspicion time, so that flapping
    does not move resources. An instance that has itself listened for less
    than the suspicion time, since it paused, loses nobody.
    """
    if sign_age <= suspect:
        if health.alive or not health.lost:
            return MemberHealth(alive=True)
        if health.fresh_since is None:
            return health._replace(fresh_since=now)
        if now - health.fresh_since >= 2 * suspect:
            return MemberHealth(alive=True)
        return health
    if health.alive and listening_for <= suspect:
        return health
    return MemberHealth(lost=health.alive or health.lost)
