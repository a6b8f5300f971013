"""Outlier ejection of the backend servers of a pool.

Decides which servers are in use, ejected or on trial.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
import statistics

from cranberryscale.process.leased import evidence
from cranberryscale.process.leased import server_records
from cranberryscale.process.leased import server_stats
from cranberryscale.version import configuration


__all__ = ['OutlierEjector']

# Minimum time between evaluations, since each one reads every permit.
EVALUATION_INTERVAL_S = 0.05

# A trial takes about 25 ms, so a pool uses at most 5% of one slot for trials.
TRIAL_INTERVAL_S = 0.5
# Slowness score that restarts slow start, relative to the ejection threshold.
SLOW_START_SCORE = 0.6
# Slow start is only restarted after this time: a lower limit delays the
# ejection, and a server slow enough to be ejected is ejected earlier.
SLOW_START_DELAY_S = 2.0
# Summaries from other domains lag, so they only count if received at least
# this long after the fault began here.
REMOTE_LAG_S = 2.0
REMOTE_MAX_AGE_S = 5.0


# Finished requests from which a server counts in the vote on a common fault.
MIN_REPORTS = 5
_UNKNOWN = evidence.Baseline(0.0, 0.0)
# With fewer other servers, the baseline is also bounded by the server's own
# long-term latency, and recent error ratios do not count.
MIN_COMPARED_SERVERS = 3
MIN_BASELINE_S = 0.005
# The baseline error ratio is this multiple of the median of the others.
ERROR_RATIO_MARGIN = 1.5
# An unused server replaces one in use only if its severity is this much lower.
SWAP_MARGIN = 0.25


class OutlierEjector:
    """Ejection, trials and slow start of all servers of a pool.

    `records` are by server name. `remote_stats` are the statistics of the
    service's other pools, by domain.
    """

    def __init__(self) -> None:
        self.records: dict[str, server_records.ServerRecord] = {}
        self.remote_stats: dict[str, server_stats.RemoteStats] = {}
        self._floor = 0
        self._evaluated_s = -math.inf
        self._next_trial_s = 0.0
        self._stats_by_server: dict[str, server_stats.ServerStats] = {}
        self._remote_server_stats: list[server_stats.ServerStats] = []

    def load_servers(
        self,
        servers: tuple[configuration.BackendServer, ...],
        out: frozenset[str],
        floor_fraction: float,
        now_s: float,
    ) -> None:
        """Replace the published servers; `out` names those taken out.

        The floor, how many servers must stay in use, is a fraction of all
        published servers, including those that operators took out.
        """
        self._floor = math.ceil(floor_fraction * len(servers))
        previous, self.records = self.records, {}
        for server in servers:
            is_out = server.name in out
            record = previous.get(server.name)
            if record is None or record.server.address != server.address:
                reason = 'new' if previous else 'new holder'
                record = server_records.ServerRecord(
                    server, is_out, now_s, reason
                )
            elif record.is_out and not is_out:
                record.restore('taken in', now_s)
            record.server, record.is_out = server, is_out
            record.slow_start.load_server(server)
            self.records[server.name] = record

    @property
    def records_in_use(self) -> list[server_records.ServerRecord]:
        """Return the records of the servers in use."""
        return [r for r in self.records.values() if r.is_in_use]

    def list_trial_servers(
        self, now_s: float
    ) -> list[server_records.ServerRecord]:
        """Return the servers at which a trial may run now."""
        if now_s < self._next_trial_s:
            return []
        return [
            r
            for r in self.records.values()
            if r.state == 'trial' and not r.is_out
        ]

    def spend_trial(self, now_s: float) -> None:
        """Use up the pool's budget for one trial."""
        self._next_trial_s = now_s + TRIAL_INTERVAL_S

    def evaluate(
        self, list_ages: Callable[[str, float], Iterable[float]], now_s: float
    ) -> None:
        """Eject servers, restart slow start and schedule trials.

        `list_ages` returns the ages of a server's running requests.
        """
        if now_s - self._evaluated_s < EVALUATION_INTERVAL_S:
            return
        self._evaluated_s = now_s
        in_use = self.records_in_use
        ages = {
            r.server.name: tuple(list_ages(r.server.name, now_s))
            for r in in_use
        }
        self._stats_by_server = {
            r.server.name: server_stats.compute_stats(
                r, ages[r.server.name], now_s
            )
            for r in in_use
        }
        self._remote_server_stats = [
            stats
            for remote in self._list_current_remotes(now_s)
            for stats in remote.list_stats()
        ]
        for record in self.records.values():
            # Ejected servers need a current baseline too, for their trials.
            record.baseline = self._compute_baseline(record)
        for record in in_use:
            record.update_scores(ages[record.server.name], now_s)
        for record in sorted(in_use, key=lambda r: r.score, reverse=True):
            self._evaluate_server(record, in_use, now_s)
        self._schedule_trials(now_s)

    def _evaluate_server(
        self,
        record: server_records.ServerRecord,
        in_use: list[server_records.ServerRecord],
        now_s: float,
    ) -> None:
        if record.score < server_records.AFFECTED_SCORE:
            record.is_kept_for_floor = False
        if record.score < SLOW_START_SCORE:
            return
        kind = 'errors' if record.errors > record.slowness else 'slowness'
        if self._is_common_fault(record, kind, in_use, now_s):
            return
        others = [s.recent for s in self._list_other_stats(record) if s.recent]
        stats = self._stats_by_server[record.server.name]
        if not server_stats.is_outlier(stats, kind, others):
            return
        if record.score < 1:
            is_persistent = now_s - record.onset_s[kind] >= SLOW_START_DELAY_S
            if (
                kind == 'slowness'
                and is_persistent
                and not record.slow_start.is_cold
            ):
                record.slow_start.restart('suddenly slow', now_s)
            return
        reason = f'{kind} {record.score:.2f} of threshold'
        if len(self.records_in_use) > self._floor or self._restore_better(
            record, now_s
        ):
            record.eject(reason, now_s)
        else:
            record.is_kept_for_floor = True
            record.reason = f'{reason}, kept for the floor'

    def _restore_better(
        self, record: server_records.ServerRecord, now_s: float
    ) -> bool:
        """Restore the least bad unused server if clearly better than `record`.

        When all servers are bad, the least bad ones stay in use.
        """
        best = min(
            (
                r
                for r in self.records.values()
                if r.state != 'in use' and not r.is_out
            ),
            key=lambda r: r.severity,
            default=None,
        )
        if best is None or best.severity + SWAP_MARGIN > record.severity:
            return False
        best.restore('less bad than another server', now_s)
        return True

    def _is_common_fault(
        self,
        record: server_records.ServerRecord,
        kind: str,
        in_use: list[server_records.ServerRecord],
        now_s: float,
    ) -> bool:
        """Return whether most other servers show the same fault.

        If most servers of this pool do, summaries from the other domains
        that are recent enough count too.
        """
        local = [
            other.is_affected(kind, now_s)
            for other in in_use
            if other is not record
            and other.evidence.errors.count(now_s) >= MIN_REPORTS
        ]
        if sum(local) * 2 <= len(local):
            return False
        earliest_s = record.onset_s[kind] + REMOTE_LAG_S
        votes = [
            server_stats.is_affected(stats, kind)
            for remote in self._list_current_remotes(now_s)
            if remote.received_s >= earliest_s
            for stats in remote.list_stats()
        ]
        return sum(local + votes) * 2 > len(local + votes)

    def _list_current_remotes(
        self, now_s: float
    ) -> list[server_stats.RemoteStats]:
        return [
            remote
            for remote in self.remote_stats.values()
            if now_s - remote.received_s < REMOTE_MAX_AGE_S
        ]

    def _list_other_stats(
        self, record: server_records.ServerRecord
    ) -> list[server_stats.ServerStats]:
        local = (
            stats
            for name, stats in self._stats_by_server.items()
            if name != record.server.name
        )
        return [*local, *self._remote_server_stats]

    def _compute_baseline(
        self,
        record: server_records.ServerRecord,
    ) -> evidence.Baseline:
        """Return the baseline: medians over the service's other servers.

        The larger of the past and the recent median counts, so that the
        baseline soon rises when all servers become slow.
        """
        others = self._list_other_stats(record)
        past = [s.past for s in others if s.past] or [_UNKNOWN]
        recent = [s.recent for s in others if s.recent] or [_UNKNOWN]
        error_ratio = statistics.median(
            baseline.error_ratio for baseline in past
        )
        min_latency_s = MIN_BASELINE_S
        own_latency = record.evidence.long_term_latency
        if len(others) >= MIN_COMPARED_SERVERS:
            recent_ratio = statistics.median(
                baseline.error_ratio for baseline in recent
            )
            error_ratio = max(error_ratio, recent_ratio)
        elif own_latency.mean:
            # With few other servers, a single faster one must not make this
            # one look slow.
            min_latency_s = max(min_latency_s, math.exp(own_latency.mean))
        elif past == [_UNKNOWN]:
            min_latency_s = server_records.DEFAULT_LATENCY_S
        baseline_latency_s = max(
            statistics.median(baseline.latency_s for baseline in past),
            statistics.median(baseline.latency_s for baseline in recent),
            min_latency_s,
        )
        return evidence.Baseline(
            baseline_latency_s, ERROR_RATIO_MARGIN * error_ratio
        )

    def _schedule_trials(self, now_s: float) -> None:
        lacks_servers = any(r.is_kept_for_floor for r in self.records.values())
        for record in self.records.values():
            if record.state == 'ejected' and (
                now_s >= record.ejected_until_s or lacks_servers
            ):
                record.state = 'trial'
