"""What the fleet's requests tell of one backend server.

Load pattern: servers that fail a part of their requests, answer slowly or
not at all, while their health check is good. Failures that are part of
normal service are rare, so one failure makes a server the last choice for a
moment, and a second one soon after takes it out of use.
"""

import datetime
import enum


__all__ = ['FAILURES', 'ServerHealth', 'Verdict']

# A server is the last choice for this long after one failure; gray periods
# last for several seconds.
DOUBT = datetime.timedelta(seconds=4)
SLOW_DOUBT = datetime.timedelta(seconds=2)
LINK_DOUBT = datetime.timedelta(seconds=1)
# How long a good answer speaks for a server.
PROVEN = datetime.timedelta(seconds=2)
# Failures further apart than this are taken as unrelated: where one request
# in a hundred fails, pairs that are nearer are rare.
RELATED = datetime.timedelta(seconds=8)
# Gray periods last for several seconds; after this a server is tried again.
EJECTION = datetime.timedelta(seconds=4)
EJECTION_MAX = datetime.timedelta(seconds=8)
# A server that is full says so; it has room again after about one request.
SHED_PAUSE = datetime.timedelta(milliseconds=200)
# Lost connections of one instance may be that instance's own trouble.
LINK_WINDOW = datetime.timedelta(seconds=3)
LINK_WITNESSES = 2
# Answers this much slower than the service's usual are not chance: one in a
# hundred requests takes three to five times as long as others.
SLOW_RATIO = 3.0
SLOW_RUN = 2
SLOWNESS_WEIGHT = 0.3

# Outcomes of a request that speak against the server.
FAILURES = frozenset(
    ('error', 'wrong', 'truncated', 'crossed', 'broken', 'silent')
)


class Verdict(enum.IntEnum):
    """Order servers by how much they are to be used."""

    SOUND = 0
    DOUBTFUL = 1
    EJECTED = 2


class ServerHealth:
    """Judge one backend server by the outcomes of requests."""

    def __init__(self) -> None:
        self.slowness = 1.0
        self.succeeded_at: datetime.timedelta | None = None
        self.failed_at: datetime.timedelta | None = None
        self.ejected_at: datetime.timedelta | None = None
        self._strikes = 0
        self._successes = 0
        self._slow_run = 0
        self._doubt_until = datetime.timedelta(0)
        self._eject_until = datetime.timedelta(0)
        self._links: dict[str, datetime.timedelta] = {}

    def judge(self, now: datetime.timedelta) -> Verdict:
        """Return how far the server is to be used now."""
        if now < self._eject_until:
            return Verdict.EJECTED
        if now < self._doubt_until:
            return Verdict.DOUBTFUL
        return Verdict.SOUND

    def is_proven(self, now: datetime.timedelta) -> bool:
        """Tell whether the last thing seen was a good answer, and lately."""
        if self.succeeded_at is None or now - self.succeeded_at > PROVEN:
            return False
        return self.failed_at is None or self.failed_at < self.succeeded_at

    def note_success(self, ratio: float, now: datetime.timedelta) -> None:
        """Record an answer; `ratio` is its latency over the usual one."""
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness)
        self._slow_run = self._slow_run + 1 if ratio >= SLOW_RATIO else 0
        if self._slow_run >= SLOW_RUN:
            self._doubt(now, SLOW_DOUBT)
        self.succeeded_at = now
        self._successes += 1
        if self._successes >= 2:
            self._strikes = 0

    def note_failure(self, now: datetime.timedelta) -> None:
        """Record a request that the server failed."""
        last, self.failed_at = self.failed_at, now
        self._successes = 0
        self._doubt(now, DOUBT)
        if last is not None and now - last < RELATED:
            self._eject(now)

    def note_link(self, sender: str, now: datetime.timedelta) -> None:
        """Record that an instance could not connect."""
        self._links[sender] = now
        recent = [at for at in self._links.values() if now - at < LINK_WINDOW]
        self._doubt(now, LINK_DOUBT)
        if len(recent) >= LINK_WITNESSES:
            self._eject(now)

    def note_shed(self, had_room: bool, now: datetime.timedelta) -> None:
        """Record a refusal; `had_room` if its slots were not all in use."""
        self._doubt(now, SHED_PAUSE)
        if had_room:
            self.note_failure(now)

    def _doubt(
        self, now: datetime.timedelta, pause: datetime.timedelta
    ) -> None:
        self._doubt_until = max(self._doubt_until, now + pause)

    def _eject(self, now: datetime.timedelta) -> None:
        if now < self._eject_until:
            return
        self._strikes += 1
        self.ejected_at = now
        self._eject_until = now + min(EJECTION * self._strikes, EJECTION_MAX)
