"""Standing of one backend server: in use, ejected or on trial."""

from collections.abc import Iterable
import math

from cranberryscale import messages
from cranberryscale.process import evidence
from cranberryscale.process import slow_start
from cranberryscale.version import configuration


__all__ = ['AFFECTED_SCORE', 'DEFAULT_LATENCY_S', 'ServerRecord']

BASE_EJECTION_S = 4.0
MOST_DOUBLINGS = 6
# A returned server that stays in use for this multiple of its last time out
# counts as steady again.
STEADY_FACTOR = 10

# A server that still fails 30% passes with probability 0.7**6 = 12%, and is
# then ejected again with a doubled time.
TRIALS_NEEDED = 6
TRIAL_SLOW_FACTOR = 4.0

# A cold server is slower by nature; while a new or returned server is ramped
# up, its latency is compared with this multiple. Servers found by a new
# holder are ramped too, but most of them are warm, and a gray one must not
# profit.
COLD_FACTOR = 3.0

# A server that goes on reporting itself as cold after a ramp is not believed
# again for this long, since the hint may be wrong.
HINT_EVERY_S = 60.0

# Others with this part of the threshold, now or lately, show the same fault.
AFFECTED_SCORE = 0.3
AFFECTED_S = 3.0

# Latency to compare with before anything is known.
DEFAULT_LATENCY_S = 1.0
SEVERITY_WEIGHT = 0.1


class ServerRecord:
    """Hold the standing of one backend server."""

    def __init__(
        self,
        server: configuration.BackendServer,
        is_out: bool,
        now_s: float,
        reason: str = 'new',
    ):
        self.server = server
        self.is_out = is_out
        self.slow_start = slow_start.SlowStart(server, reason, now_s)
        self.evidence = evidence.ServerEvidence()
        self.baseline = evidence.Baseline(DEFAULT_LATENCY_S, 0.0)
        self.state = 'in use'
        self.reason = ''
        self.ejected_until_s = 0.0
        self.ejection_s = 0.0
        self.returned_s = now_s
        self.doublings = 0
        self.trials_passed = 0
        self.errors = 0.0
        self.slowness = 0.0
        self.severity = 0.0
        self.is_kept_for_floor = False
        self.onset_s = {'errors': math.inf, 'slowness': math.inf}
        self.affected_s = {'errors': -math.inf, 'slowness': -math.inf}
        self.last_granted_s = 0.0
        self.hint_taken_s = -HINT_EVERY_S

    @property
    def is_in_use(self) -> bool:
        """Tell whether requests other than trials may run here."""
        return self.state == 'in use' and not self.is_out

    @property
    def score(self) -> float:
        """Return the evidence against the server, 1.0 at the threshold."""
        return max(self.errors, self.slowness)

    @property
    def comparison_baseline(self) -> evidence.Baseline:
        """Return what the server's reports are compared with."""
        if self.slow_start.is_cold and self.slow_start.reason in (
            'new',
            'returned',
        ):
            return self.baseline._replace(
                latency_s=self.baseline.latency_s * COLD_FACTOR
            )
        return self.baseline

    def record_report(
        self, report: messages.PermitReport, granted_s: float, now_s: float
    ) -> None:
        """Add a report of a request that was not a trial.

        The server's own hint that it is cold can only lower its limit.
        """
        is_due = now_s >= self.hint_taken_s + HINT_EVERY_S
        if report.cold and is_due and not self.slow_start.is_cold:
            self.hint_taken_s = now_s
            self.slow_start.restart('reported cold', now_s)
        match report.outcome:
            case 'ok':
                self.slow_start.record_success(granted_s)
            case 'shed' if granted_s < self.slow_start.started_s:
                return
            case 'shed' if not self.slow_start.is_at_minimum:
                # The ramp answers this; only a server that sheds at its
                # lowest limit is at fault.
                self.slow_start.restart('shedding', now_s)
                return
        self._take_evidence(report, now_s)

    def _take_evidence(
        self, report: messages.PermitReport, now_s: float
    ) -> None:
        usual = self.comparison_baseline
        self.evidence.add(report.outcome, report.latency_s, usual, now_s)
        if report.outcome not in ('unused', 'cancelled'):
            is_bad = report.outcome != 'ok' or (
                report.latency_s > TRIAL_SLOW_FACTOR * usual.latency_s
            )
            self.severity += SEVERITY_WEIGHT * (is_bad - self.severity)

    def update_scores(self, ages_s: Iterable[float], now_s: float) -> None:
        """Update the scores from finished and running requests."""
        self.errors = self.evidence.measure_errors(now_s)
        self.slowness = self.evidence.measure_slowness(
            ages_s, self.server.slots, self.comparison_baseline.latency_s
        )
        for kind in self.affected_s:
            if getattr(self, kind) >= AFFECTED_SCORE:
                self.affected_s[kind] = now_s
                self.onset_s[kind] = min(now_s, self.onset_s[kind])
            else:
                self.onset_s[kind] = math.inf

    def is_affected(self, kind: str, now_s: float) -> bool:
        """Tell whether the server lately showed a kind of fault."""
        return now_s - self.affected_s[kind] < AFFECTED_S

    def summarize(
        self, ages_s: Iterable[float], now_s: float
    ) -> messages.ServerSummary:
        """Return the last second's latency and errors.

        Requests that have run for longer than usual count with their age,
        because a slow server completes little.
        """
        recent = self.evidence.recent_latency
        weight = recent.count(now_s)
        values = [
            math.log(age_s)
            for age_s in ages_s
            if age_s > self.baseline.latency_s
        ]
        count = weight + len(values)
        total = weight * recent.mean + sum(values)
        return messages.ServerSummary(
            self.server.name,
            round(count),
            round(math.exp(total / count), 6) if count else 0.0,
            round(self.evidence.recent_errors.mean, 4),
        )

    def eject(self, reason: str, now_s: float) -> None:
        """Stop using the server, longer when it was ejected recently."""
        if now_s - self.returned_s < STEADY_FACTOR * self.ejection_s:
            self.doublings = min(MOST_DOUBLINGS, self.doublings + 1)
        else:
            self.doublings = 0
        self.ejection_s = BASE_EJECTION_S * 2**self.doublings
        self.state = 'ejected'
        self.reason = reason
        self.ejected_until_s = now_s + self.ejection_s
        self.trials_passed = 0
        self.is_kept_for_floor = False

    def restore(self, reason: str, now_s: float) -> None:
        """Use the server again, from the lowest limit."""
        self.state = 'in use'
        self.reason = reason
        self.returned_s = now_s
        self.evidence.reset()
        self.errors = self.slowness = self.severity = 0.0
        self.slow_start.restart('returned', now_s)

    def record_trial(
        self, report: messages.PermitReport, now_s: float
    ) -> None:
        """Add the report of a trial."""
        if self.state != 'trial' or report.outcome in ('unused', 'cancelled'):
            return
        slowest_s = TRIAL_SLOW_FACTOR * self.baseline.latency_s
        if report.outcome != 'ok' or report.latency_s > slowest_s:
            self.returned_s = now_s
            self.eject(f'trial failed: {report.outcome}', now_s)
            return
        self.trials_passed += 1
        if self.trials_passed >= TRIALS_NEEDED:
            self.restore('trials passed', now_s)
