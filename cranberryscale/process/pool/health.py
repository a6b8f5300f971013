"""Health of one backend server, from the outcomes of requests.

Load pattern: servers that fail most of their requests for some seconds while
their health check succeeds. They fail at once and so always have free slots:
under load they would attract all requests for which the healthy servers have
no slot.
"""

import datetime
import enum


__all__ = ['FAILURE_OUTCOMES', 'HealthState', 'ServerHealth']

# Evidence is the logarithm of the likelihood ratio of an outcome: at a server
# that fails three of four requests over one that fails one in fifty.
FAILURE_EVIDENCE = 3.6
SUCCESS_EVIDENCE = -1.4
STALE_EVIDENCE = -0.5
# One in a hundred requests takes long and some answers break off at healthy
# servers too, and silence may be due to the network, so a single one of these
# does not make a server suspect.
WEAK_EVIDENCE = 1.9
WEAK_FAILURES = frozenset(('silent', 'truncated', 'crossed', 'wrong'))
# A shed request did not run and can be retried at once.
SHED_EVIDENCE = 0.8
# From the first limit on, a server is used last. Two failures in a row reach
# the second limit, and the server is ejected for EJECTION_TIME.
SUSPECT_EVIDENCE = 2.0
EJECTION_EVIDENCE = 5.0
# Gray failures end: without requests, the evidence of one failure decays
# within 3.2 s until the server is no longer suspect.
DECAY_PER_S = 0.5
EJECTION_TIME = datetime.timedelta(seconds=3)
# How long a success counts as recent.
SUCCESS_LIFETIME = datetime.timedelta(seconds=2)
# A full server sheds requests; it has room again after about the time of one
# request.
SHED_PENALTY = datetime.timedelta(milliseconds=200)
# Weight of one request in the ratio of shed requests, and the half-life of an
# old ratio, since the server may have room again.
SHED_WEIGHT = 0.3
SHED_HALF_LIFE = datetime.timedelta(seconds=3)
# Connect failures of one instance may be due to its own network.
CONNECT_FAILURE_WINDOW = datetime.timedelta(seconds=3)
MIN_FAILING_INSTANCES = 2
CONNECT_FAILURE_PENALTY = datetime.timedelta(seconds=1)
# Answers that are this much slower than usual for the service do not come by
# chance in a row: one in a hundred requests takes three to five times as long
# as others.
SLOW_RATIO = 3.0
MIN_SLOW_RUN = 2
SLOW_PENALTY = datetime.timedelta(seconds=2)
LATENCY_RATIO_WEIGHT = 0.3

# Outcomes of a request that count against the server.
FAILURE_OUTCOMES = frozenset(
    ('error', 'ended', 'wrong', 'truncated', 'crossed', 'broken', 'silent')
)


class HealthState(enum.IntEnum):
    """Health of a server, in the order of preference.

    A slow server is used last. A suspect or returning server gets one request
    at a time, as a trial. A server that is out (ejected) gets no requests
    while others serve. The names are logged.
    """

    SOUND = 0
    SLOW = 1
    SUSPECT = 2
    RETURNING = 3
    OUT = 4


class ServerHealth:
    """Evidence for and against one backend server."""

    def __init__(self) -> None:
        self.latency_ratio = 1.0
        self.failed_at: datetime.timedelta | None = None
        self._succeeded_at: datetime.timedelta | None = None
        self._evidence = 0.0
        self._evidence_at = datetime.timedelta(0)
        self._is_returning = False
        self._slow_run = 0
        self._deprioritized_until = datetime.timedelta(0)
        self._ejected_until = datetime.timedelta(0)
        self._connect_failures: dict[str, datetime.timedelta] = {}
        self._shed_ratio = 0.0
        self._shed_at = datetime.timedelta(0)

    def classify(self, now: datetime.timedelta) -> HealthState:
        """Return the current health state."""
        if now < self._ejected_until:
            return HealthState.OUT
        if self._is_returning:
            return HealthState.RETURNING
        # Evidence only decays, so without enough of it none needs to be aged.
        if (
            self._evidence >= SUSPECT_EVIDENCE
            and self._decay_evidence(now) >= SUSPECT_EVIDENCE
        ):
            return HealthState.SUSPECT
        if now < self._deprioritized_until:
            return HealthState.SLOW
        return HealthState.SOUND

    def find_shed_ratio(self, now: datetime.timedelta) -> float:
        """Return the ratio of recent requests that the server shed."""
        if not self._shed_ratio:
            return 0.0
        age = (now - self._shed_at) / SHED_HALF_LIFE
        return self._shed_ratio * 0.5**age

    def _update_shed_ratio(
        self, is_shed: bool, now: datetime.timedelta
    ) -> None:
        ratio_before = self.find_shed_ratio(now)
        self._shed_ratio = ratio_before + SHED_WEIGHT * (
            is_shed - ratio_before
        )
        self._shed_at = now

    def _decay_evidence(self, now: datetime.timedelta) -> float:
        elapsed_s = (now - self._evidence_at).total_seconds()
        return max(0.0, self._evidence - DECAY_PER_S * elapsed_s)

    def _add_evidence(self, evidence: float, now: datetime.timedelta) -> None:
        self._evidence = max(0.0, self._decay_evidence(now) + evidence)
        self._evidence_at = now

    def has_recent_success(self, now: datetime.timedelta) -> bool:
        """Return whether there was a recent success and no failure since."""
        succeeded_at = self._succeeded_at
        if succeeded_at is None or now - succeeded_at > SUCCESS_LIFETIME:
            return False
        return self.failed_at is None or self.failed_at < succeeded_at

    @property
    def has_failed_last(self) -> bool:
        """Return whether the server failed and has had no success since."""
        if self.failed_at is None:
            return False
        succeeded_at = self._succeeded_at
        return succeeded_at is None or succeeded_at < self.failed_at

    def record_success(
        self,
        ratio: float,
        now: datetime.timedelta,
        sent_at: datetime.timedelta | None = None,
    ) -> None:
        """Record an answer; `ratio` is its latency over the usual one.

        An answer to a request that was sent before the last failure is weak
        evidence: it says nothing about the server since.
        """
        self.latency_ratio += LATENCY_RATIO_WEIGHT * (
            ratio - self.latency_ratio
        )
        self._update_shed_ratio(False, now)
        self._slow_run = self._slow_run + 1 if ratio >= SLOW_RATIO else 0
        if self._slow_run >= MIN_SLOW_RUN:
            self._deprioritize(now, SLOW_PENALTY)
        failed_at = self.failed_at
        if failed_at is not None and (sent_at or now) < failed_at:
            self._add_evidence(STALE_EVIDENCE, now)
            return
        self._succeeded_at = now
        self._add_evidence(SUCCESS_EVIDENCE, now)
        if self._evidence < SUSPECT_EVIDENCE:
            self._is_returning = False
            self._ejected_until = now

    def record_failure(self, outcome: str, now: datetime.timedelta) -> None:
        """Record a request that the server failed."""
        self.failed_at = now
        is_weak = outcome in WEAK_FAILURES
        self._add_evidence(WEAK_EVIDENCE if is_weak else FAILURE_EVIDENCE, now)
        if self._is_returning or self._evidence >= EJECTION_EVIDENCE:
            self._ejected_until = now + EJECTION_TIME
            self._is_returning = True
            self._evidence = FAILURE_EVIDENCE
            # No evidence arrives during the ejection, so it does not decay.
            self._evidence_at = self._ejected_until

    def record_connect_failure(
        self, sender: str, now: datetime.timedelta
    ) -> None:
        """Record that an instance could not connect.

        While other instances reach the server, the fault may be on the path
        from this instance, which excludes the server from its own requests.
        """
        self._connect_failures[sender] = now
        recent = [
            at
            for at in self._connect_failures.values()
            if now - at < CONNECT_FAILURE_WINDOW
        ]
        succeeded_at = self._succeeded_at
        if succeeded_at is not None and succeeded_at > min(recent):
            return
        self._deprioritize(now, CONNECT_FAILURE_PENALTY)
        if len(recent) >= MIN_FAILING_INSTANCES:
            self.record_failure('refused', now)

    def record_shed(
        self, had_free_slots: bool, now: datetime.timedelta
    ) -> None:
        """Record a request that the server shed.

        `had_free_slots` if at most half of its slots were in use, so that
        being full does not explain the shedding.
        """
        self._deprioritize(now, SHED_PENALTY)
        self._update_shed_ratio(True, now)
        if had_free_slots:
            self._add_evidence(SHED_EVIDENCE, now)

    def record_rest(
        self, rest: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that the server asked an instance for rest.

        It is used last until then, so that the others do not take its place.
        """
        self._deprioritize(now, rest)

    def _deprioritize(
        self, now: datetime.timedelta, penalty: datetime.timedelta
    ) -> None:
        self._deprioritized_until = max(
            self._deprioritized_until, now + penalty
        )
