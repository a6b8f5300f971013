"""What the fleet's requests tell of one backend server.

Load pattern: servers that fail most of their requests for some seconds while
their health check is good. They fail at once and so always have room: under
load they would draw whatever the good servers have no slot for.
"""

import datetime
import enum


__all__ = ['FAILURE_OUTCOMES', 'HealthState', 'ServerHealth']

# Evidence is the logarithm of how much likelier an outcome is at a server that
# fails three of four requests than at one that fails one in fifty.
FAILURE_EVIDENCE = 3.6
SUCCESS_EVIDENCE = -1.4
STALE_EVIDENCE = -0.5
# One in a hundred requests takes long and some answers break off anyway, and
# silence may be that of a link, so that one of these is not enough to doubt.
WEAK_EVIDENCE = 1.9
WEAK_FAILURES = frozenset(('silent', 'truncated', 'crossed', 'wrong'))
# A refusal ran nothing and can be repeated at once.
SHED_EVIDENCE = 0.8
# From here on a server is the last choice; two failures in a row reach the
# second limit, and the server is left out for the pause.
SUSPECT_EVIDENCE = 2.0
OUT_EVIDENCE = 5.0
# Gray periods end: without requests, one failure is forgotten in 3.2 s.
DECAY_PER_S = 0.5
PAUSE = datetime.timedelta(seconds=3)
# How long a good answer speaks for a server.
PROVEN = datetime.timedelta(seconds=2)
# A server that is full says so; it has room again after about one request.
SHED_PAUSE = datetime.timedelta(milliseconds=200)
# Weight of one request in the share of requests that a server turns away, and
# how fast an old share is forgotten: it may have room again.
SHED_WEIGHT = 0.3
SHED_HALF_LIFE = datetime.timedelta(seconds=3)
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
FAILURE_OUTCOMES = frozenset(
    ('error', 'wrong', 'truncated', 'crossed', 'broken', 'silent')
)


class HealthState(enum.IntEnum):
    """Order servers by how much they are to be used.

    A slow server is the last choice. A suspect one gets one request at a
    time, a returning one as well, and is tried out; one that is out gets
    none while others serve.
    """

    SOUND = 0
    SLOW = 1
    SUSPECT = 2
    RETURNING = 3
    OUT = 4


class ServerHealth:
    """Judge one backend server by the outcomes of requests."""

    def __init__(self) -> None:
        self.latency_ratio = 1.0
        self.failed_at: datetime.timedelta | None = None
        self._succeeded_at: datetime.timedelta | None = None
        self._evidence = 0.0
        self._weighed_at = datetime.timedelta(0)
        self._is_returning = False
        self._slow_run = 0
        self._doubt_until = datetime.timedelta(0)
        self._out_until = datetime.timedelta(0)
        self._links: dict[str, datetime.timedelta] = {}
        self._shed_share = 0.0
        self._shed_at = datetime.timedelta(0)

    def classify(self, now: datetime.timedelta) -> HealthState:
        """Return how far the server is to be used now."""
        if now < self._out_until:
            return HealthState.OUT
        if self._is_returning:
            return HealthState.RETURNING
        if self._find_evidence(now) >= SUSPECT_EVIDENCE:
            return HealthState.SUSPECT
        if now < self._doubt_until:
            return HealthState.SLOW
        return HealthState.SOUND

    def find_shed_ratio(self, now: datetime.timedelta) -> float:
        """Return the share of requests that the server lately turned away."""
        if not self._shed_share:
            return 0.0
        age = (now - self._shed_at) / SHED_HALF_LIFE
        return self._shed_share * 0.5**age

    def _note_shed_share(self, is_shed: bool, now: datetime.timedelta) -> None:
        known = self.find_shed_ratio(now)
        self._shed_share = known + SHED_WEIGHT * (is_shed - known)
        self._shed_at = now

    def _find_evidence(self, now: datetime.timedelta) -> float:
        passed_s = (now - self._weighed_at).total_seconds()
        return max(0.0, self._evidence - DECAY_PER_S * passed_s)

    def _weigh(self, evidence: float, now: datetime.timedelta) -> None:
        self._evidence = max(0.0, self._find_evidence(now) + evidence)
        self._weighed_at = now

    def is_proven(self, now: datetime.timedelta) -> bool:
        """Tell whether the last thing seen was a good answer, and lately."""
        last = self._succeeded_at
        if last is None or now - last > PROVEN:
            return False
        return self.failed_at is None or self.failed_at < last

    @property
    def has_failed_last(self) -> bool:
        """Tell whether no good answer came since the last failure."""
        if self.failed_at is None:
            return False
        last = self._succeeded_at
        return last is None or last < self.failed_at

    def record_success(
        self,
        ratio: float,
        now: datetime.timedelta,
        sent_at: datetime.timedelta | None = None,
    ) -> None:
        """Record an answer; `ratio` is its latency over the usual one.

        One that was sent before the last failure says nothing about the
        server since.
        """
        self.latency_ratio += SLOWNESS_WEIGHT * (ratio - self.latency_ratio)
        self._note_shed_share(False, now)
        self._slow_run = self._slow_run + 1 if ratio >= SLOW_RATIO else 0
        if self._slow_run >= SLOW_RUN:
            self._doubt(now, SLOW_DOUBT)
        failed_at = self.failed_at
        if failed_at is not None and (sent_at or now) < failed_at:
            self._weigh(STALE_EVIDENCE, now)
            return
        self._succeeded_at = now
        self._weigh(SUCCESS_EVIDENCE, now)
        if self._evidence < SUSPECT_EVIDENCE:
            self._is_returning = False
            self._out_until = now

    def record_failure(self, outcome: str, now: datetime.timedelta) -> None:
        """Record a request that the server failed."""
        self.failed_at = now
        is_weak = outcome in WEAK_FAILURES
        self._weigh(WEAK_EVIDENCE if is_weak else FAILURE_EVIDENCE, now)
        if self._is_returning or self._evidence >= OUT_EVIDENCE:
            self._out_until = now + PAUSE
            self._is_returning = True
            self._evidence = FAILURE_EVIDENCE
            # It does not decay while nothing can be seen.
            self._weighed_at = self._out_until

    def record_connect_failure(
        self, sender: str, now: datetime.timedelta
    ) -> None:
        """Record that an instance could not connect.

        A server that others reach meanwhile is cut off from this instance
        only, which asks for other servers by itself.
        """
        self._links[sender] = now
        recent = [at for at in self._links.values() if now - at < LINK_WINDOW]
        last = self._succeeded_at
        if last is not None and last > min(recent):
            return
        self._doubt(now, LINK_DOUBT)
        if len(recent) >= LINK_WITNESSES:
            self.record_failure('refused', now)

    def record_shed(self, had_room: bool, now: datetime.timedelta) -> None:
        """Record a refusal; `had_room` if its slots were not all in use."""
        self._doubt(now, SHED_PAUSE)
        self._note_shed_share(True, now)
        if had_room:
            self._weigh(SHED_EVIDENCE, now)

    def _doubt(
        self, now: datetime.timedelta, pause: datetime.timedelta
    ) -> None:
        self._doubt_until = max(self._doubt_until, now + pause)
