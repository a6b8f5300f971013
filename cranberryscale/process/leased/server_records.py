"""State of one backend server in its pool: in use, ejected or on trial."""

from collections.abc import Iterable
import math

from cranberryscale import messages
from cranberryscale.process.leased import evidence
from cranberryscale.process.leased import slow_start
from cranberryscale.version import configuration


__all__ = ['AFFECTED_SCORE', 'DEFAULT_LATENCY_S', 'ServerRecord']

# The duration of an ejection doubles up to MAX_DOUBLINGS times.
BASE_EJECTION_S = 4.0
MAX_DOUBLINGS = 6
# The next ejection starts again from the base duration once a restored server
# has stayed in use for this multiple of its last ejection.
STEADY_FACTOR = 10

# A server that still fails 30% of its requests passes 6 trials with
# probability 0.7**6 = 12%; it is then ejected again for twice as long.
TRIALS_NEEDED = 6
# A trial fails, and any request counts as slow in the severity, above this
# multiple of the baseline latency.
TRIAL_SLOW_FACTOR = 4.0

# Cold servers are slower than warm ones. During slow start, the latency of a
# new or restored server is compared with this multiple of the baseline. A new
# holder starts all servers in slow start although most of them are warm; the
# factor does not apply then, because it would hide a gray failure.
COLD_LATENCY_FACTOR = 3.0

# After a server reported itself as cold, further reports are ignored for this
# long, since the hint may be wrong.
COLD_HINT_INTERVAL_S = 60.0

# A server counts as affected by a kind of fault while its score is at least
# this, in fractions of the ejection threshold, and for AFFECTED_S after that.
AFFECTED_SCORE = 0.3
AFFECTED_S = 3.0

# Baseline latency while nothing has been measured.
DEFAULT_LATENCY_S = 1.0
SEVERITY_WEIGHT = 0.1


class ServerRecord:
    """Evidence, slow start and ejection state of one backend server.

    `state` is "in use", "ejected" or "trial"; `is_out` whether operators took
    the server out. `errors` and `slowness` are scores, 1.0 at the ejection
    threshold. `severity` is the smoothed fraction of failed or slow requests.
    """

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
        self.restored_s = now_s
        self.doublings = 0
        self.trials_passed = 0
        self.errors = 0.0
        self.slowness = 0.0
        self.severity = 0.0
        self.is_kept_for_floor = False
        self.onset_s = {'errors': math.inf, 'slowness': math.inf}
        self.last_affected_s = {'errors': -math.inf, 'slowness': -math.inf}
        self.last_granted_s = 0.0
        self.cold_hint_s = -COLD_HINT_INTERVAL_S

    @property
    def is_in_use(self) -> bool:
        """Return whether requests other than trials may run here."""
        return self.state == 'in use' and not self.is_out

    @property
    def score(self) -> float:
        """Return the higher of both scores, 1.0 at the ejection threshold."""
        return max(self.errors, self.slowness)

    @property
    def comparison_baseline(self) -> evidence.Baseline:
        """Return the baseline, with a higher latency during slow start."""
        if self.slow_start.is_cold and self.slow_start.reason in (
            'new',
            'returned',
        ):
            return self.baseline._replace(
                latency_s=self.baseline.latency_s * COLD_LATENCY_FACTOR
            )
        return self.baseline

    def record_report(
        self, report: messages.PermitReport, granted_s: float, now_s: float
    ) -> None:
        """Record the report of a request that was not a trial.

        The server's hint that it is cold restarts slow start, which can only
        lower its limit.
        """
        accepts_hint = now_s >= self.cold_hint_s + COLD_HINT_INTERVAL_S
        if report.cold and accepts_hint and not self.slow_start.is_cold:
            self.cold_hint_s = now_s
            self.slow_start.restart('reported cold', now_s)
        match report.outcome:
            case 'ok':
                self.slow_start.record_success(granted_s)
            case 'shed' if granted_s < self.slow_start.started_s:
                return
            case 'shed' if not self.slow_start.is_at_minimum:
                # Slow start reduces the load; only shedding at the lowest
                # limit counts as an error.
                self.slow_start.restart('shedding', now_s)
                return
        self._record_evidence(report, now_s)

    def _record_evidence(
        self, report: messages.PermitReport, now_s: float
    ) -> None:
        baseline = self.comparison_baseline
        self.evidence.add(report.outcome, report.latency_s, baseline, now_s)
        if report.outcome not in ('unused', 'cancelled'):
            is_bad = report.outcome != 'ok' or (
                report.latency_s > TRIAL_SLOW_FACTOR * baseline.latency_s
            )
            self.severity += SEVERITY_WEIGHT * (is_bad - self.severity)

    def update_scores(self, ages_s: Iterable[float], now_s: float) -> None:
        """Update the scores from finished and running requests.

        `ages_s` are the ages of the running requests.
        """
        self.errors = self.evidence.measure_errors(now_s)
        self.slowness = self.evidence.measure_slowness(
            ages_s, self.server.slots, self.comparison_baseline.latency_s
        )
        for kind in self.last_affected_s:
            if getattr(self, kind) >= AFFECTED_SCORE:
                self.last_affected_s[kind] = now_s
                self.onset_s[kind] = min(now_s, self.onset_s[kind])
            else:
                self.onset_s[kind] = math.inf

    def is_affected(self, kind: str, now_s: float) -> bool:
        """Return whether the server showed this kind of fault recently."""
        return now_s - self.last_affected_s[kind] < AFFECTED_S

    def summarize(
        self, ages_s: Iterable[float], now_s: float
    ) -> messages.ServerSummary:
        """Return the recent latency and error ratio.

        Running requests older than the baseline latency count with their age,
        because a slow server completes few requests.
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
        """Eject the server, for twice as long if it was ejected recently."""
        if now_s - self.restored_s < STEADY_FACTOR * self.ejection_s:
            self.doublings = min(MAX_DOUBLINGS, self.doublings + 1)
        else:
            self.doublings = 0
        self.ejection_s = BASE_EJECTION_S * 2**self.doublings
        self.state = 'ejected'
        self.reason = reason
        self.ejected_until_s = now_s + self.ejection_s
        self.trials_passed = 0
        self.is_kept_for_floor = False

    def restore(self, reason: str, now_s: float) -> None:
        """Put the server in use again, in slow start and without evidence."""
        self.state = 'in use'
        self.reason = reason
        self.restored_s = now_s
        self.evidence.reset()
        self.errors = self.slowness = self.severity = 0.0
        self.slow_start.restart('returned', now_s)

    def record_trial(
        self, report: messages.PermitReport, now_s: float
    ) -> None:
        """Record a trial; restore the server after enough successes."""
        if self.state != 'trial' or report.outcome in ('unused', 'cancelled'):
            return
        max_latency_s = TRIAL_SLOW_FACTOR * self.baseline.latency_s
        if report.outcome != 'ok' or report.latency_s > max_latency_s:
            self.restored_s = now_s
            self.eject(f'trial failed: {report.outcome}', now_s)
            return
        self.trials_passed += 1
        if self.trials_passed >= TRIALS_NEEDED:
            self.restore('trials passed', now_s)
