"""What the fleet's requests tell of one backend server.

Load pattern: servers that fail most of their requests for some seconds while
their health check is good. They fail at once and so always have room: under
load they would draw whatever the good servers have no slot for.
"""

import datetime
import enum


__all__ = ['FAILURES', 'ServerHealth', 'Verdict']

# A server that failed a request is left out for this long. Failures that are
# part of normal service cost a slot for as long; with longer pauses a server
# that has recovered is missed.
PAUSE = datetime.timedelta(seconds=3)
# Good answers in a row that end the trial after a pause: a server that fails
# three of four requests seldom gives two.
TRIAL_SUCCESSES = 2
# How long a good answer speaks for a server.
PROVEN = datetime.timedelta(seconds=2)
# A server that is full says so; it has room again after about one request.
SHED_PAUSE = datetime.timedelta(milliseconds=200)
# Lost connections of one instance may be that instance's own trouble.
LINK_WINDOW = datetime.timedelta(seconds=3)
LINK_WITNESSES = 2
LINK_DOUBT = datetime.timedelta(seconds=1)
# Answers this much slower than the service's usual are not chance: one in a
# hundred requests takes three to five times as long as others.
SLOW_RATIO = 3.0
SLOW_RUN = 2
SLOW_DOUBT = datetime.timedelta(seconds=2)
SLOWNESS_WEIGHT = 0.3

# Outcomes of a request that speak against the server.
FAILURES = frozenset(
    ('error', 'wrong', 'truncated', 'crossed', 'broken', 'silent')
)


class Verdict(enum.IntEnum):
    """Order servers by how much they are to be used.

    A doubtful server is the last choice; one on trial gets one request at a
    time; one that is out gets none while others serve.
    """

    SOUND = 0
    DOUBTFUL = 1
    TRIAL = 2
    OUT = 3


class ServerHealth:
    """Judge one backend server by the outcomes of requests."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.failed_at: datetime.timedelta | None = None
        self._succeeded_at: datetime.timedelta | None = None
        self._successes = TRIAL_SUCCESSES
        self._slow_run = 0
        self._doubt_until = datetime.timedelta(0)
        self._out_until = datetime.timedelta(0)
        self._links: dict[str, datetime.timedelta] = {}

    def judge(self, now: datetime.timedelta) -> Verdict:
        """Return how far the server is to be used now."""
        if now < self._out_until:
            return Verdict.OUT
        if self._successes < TRIAL_SUCCESSES:
            return Verdict.TRIAL
        if now < self._doubt_until:
            return Verdict.DOUBTFUL
        return Verdict.SOUND

    def is_proven(self, now: datetime.timedelta) -> bool:
        """Tell whether the last thing seen was a good answer, and lately."""
        last = self._succeeded_at
        if last is None or now - last > PROVEN:
            return False
        return self.failed_at is None or self.failed_at < last

    def note_success(self, ratio: float, now: datetime.timedelta) -> None:
        """Record an answer; `ratio` is its latency over the usual one."""
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        self._slow_run = self._slow_run + 1 if ratio >= SLOW_RATIO else 0
        if self._slow_run >= SLOW_RUN:
            self._doubt(now, SLOW_DOUBT)
        self._succeeded_at = now
        self._successes += 1

    def note_failure(self, now: datetime.timedelta) -> None:
        """Record a request that the server failed."""
        self.failed_at = now
        self._successes = 0
        self._out_until = now + PAUSE

    def note_link(self, sender: str, now: datetime.timedelta) -> None:
        """Record that an instance could not connect."""
        self._links[sender] = now
        recent = [at for at in self._links.values() if now - at < LINK_WINDOW]
        self._doubt(now, LINK_DOUBT)
        if len(recent) >= LINK_WITNESSES:
            self.note_failure(now)

    def note_shed(self, had_room: bool, now: datetime.timedelta) -> None:
        """Record a refusal; `had_room` if its slots were not all in use."""
        self._doubt(now, SHED_PAUSE)
        if had_room:
            self.note_failure(now)

    def _doubt(
        self, now: datetime.timedelta, pause: datetime.timedelta
    ) -> None:
        self._doubt_until = max(self._doubt_until, now + pause)
