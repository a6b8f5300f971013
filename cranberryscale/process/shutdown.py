"""Which requests a process that shuts down still passes on to servers.

Callers keep cached addresses for a while, so an instance that is asked to
stop goes on serving. A request is answered for certain only if its deadline
lies before the end of the process; at its deadline it is answered in any case.
"""

import datetime
from typing import NamedTuple


__all__ = ['ShutdownPlan', 'plan_shutdown']

# Fraction of the time from SIGTERM to SIGKILL in which new requests are still
# accepted, since callers have cached responses that list this instance.
ACCEPT_RATIO = 0.55
# How long after the signal requests that may be repeated are accepted even if
# they may outlast the process. Operators tolerate that for requests sent in
# the first 3 s; the rest is for a signal that is handled late.
REPEATABLE_TIME = datetime.timedelta(seconds=2.5)
# Reserved at the end of the grace time for the exit of the process.
EXIT_MARGIN = datetime.timedelta(milliseconds=700)


class ShutdownPlan(NamedTuple):
    """Elapsed times of a shutdown.

    New requests are refused from `accepts_until` on, and running ones are no
    longer waited for at `ends_at`. Until `repeatable_until`, requests that may
    be repeated are passed on whatever their deadline.
    """

    accepts_until: datetime.timedelta
    repeatable_until: datetime.timedelta
    ends_at: datetime.timedelta

    def can_pass_on(
        self,
        received: datetime.timedelta,
        deadline: datetime.timedelta,
        is_repeatable: bool,
    ) -> bool:
        """Return whether a request may be passed on to a server.

        The answer does not depend on the present time, so a request that was
        passed on once is not refused at its next attempt. A request that must
        not run twice is passed on only if the process outlives its deadline.
        """
        if deadline <= self.ends_at:
            return True
        return is_repeatable and received < self.repeatable_until


def plan_shutdown(
    now: datetime.timedelta, grace: datetime.timedelta
) -> ShutdownPlan:
    """Return the plan for a process that is killed after the grace time."""
    accepts_until = now + grace * ACCEPT_RATIO
    return ShutdownPlan(
        accepts_until,
        min(accepts_until, now + REPEATABLE_TIME),
        now + grace - EXIT_MARGIN,
    )
