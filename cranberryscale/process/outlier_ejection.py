"""Which backend servers of a pool are in use, ejected or on trial."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import statistics

from cranberryscale.process import evidence
from cranberryscale.process import server_records
from cranberryscale.process import server_stats
from cranberryscale.version import configuration


__all__ = ['OutlierEjector']

# Evidence is weighed at most this often, since it reads every permit.
WEIGH_EVERY_S = 0.05

# One trial costs about 25 ms, so the pool spends at most 5% of one slot.
TRIAL_EVERY_S = 0.5
# Evidence of slowness that restarts the ramp, as part of the threshold.
RAMP_SCORE = 0.6
# A lower limit delays the verdict, and a server that is slow enough to be
# ejected is ejected within this time.
RAMP_AFTER_S = 2.0
# Summaries of other domains lag, so they vote only this long after the
# evidence began.
REMOTE_LAG_S = 2.0
REMOTE_LIFETIME_S = 5.0


LEAST_COUNT = 5
_NOTHING = evidence.Baseline(0.0, 0.0)
FEW_SERVERS = 3
LEAST_USUAL_S = 0.005
ERROR_MARGIN = 1.5
WORSE_BY = 0.25


class OutlierEjector:
    """Decide on all servers of a pool."""

    def __init__(self) -> None:
        self.records: dict[str, server_records.ServerRecord] = {}
        self.remote_stats: dict[str, server_stats.RemoteStats] = {}
        self._floor = 0
        self._weighed_s = -math.inf
        self._next_trial_s = 0.0
        self._views: dict[str, server_stats.ServerStats] = {}
        self._remote_views: list[server_stats.ServerStats] = []

    def load(
        self,
        servers: tuple[configuration.BackendServer, ...],
        out: frozenset[str],
        floor_fraction: float,
        now_s: float,
    ) -> None:
        """Replace the published servers, of which `out` get no work.

        The floor counts servers that operators took out as lost already.
        """
        self._floor = math.ceil(floor_fraction * len(servers))
        before, self.records = self.records, {}
        for server in servers:
            is_out = server.name in out
            record = before.get(server.name)
            if record is None or record.server.address != server.address:
                reason = 'new' if before else 'new holder'
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
        """Take one trial from the pool's budget."""
        self._next_trial_s = now_s + TRIAL_EVERY_S

    def evaluate(
        self, list_ages: Callable[[str, float], Iterable[float]], now_s: float
    ) -> None:
        """Eject, ramp and schedule trials according to the evidence."""
        if now_s - self._weighed_s < WEIGH_EVERY_S:
            return
        self._weighed_s = now_s
        used = self.records_in_use
        ages = {
            r.server.name: tuple(list_ages(r.server.name, now_s)) for r in used
        }
        self._views = {
            r.server.name: server_stats.compute_stats(
                r, ages[r.server.name], now_s
            )
            for r in used
        }
        self._remote_views = [
            sight
            for remote in self._list_fresh(now_s)
            for sight in remote.list_stats()
        ]
        for record in self.records.values():
            # Trials are compared with what is usual now, too.
            record.baseline = self._find_usual(record)
        for record in used:
            record.update_scores(ages[record.server.name], now_s)
        for record in sorted(used, key=lambda r: r.score, reverse=True):
            self._judge(record, used, now_s)
        self._schedule_trials(now_s)

    def _judge(
        self,
        record: server_records.ServerRecord,
        used: list[server_records.ServerRecord],
        now_s: float,
    ) -> None:
        if record.score < server_records.AFFECTED_SCORE:
            record.is_kept_for_floor = False
        if record.score < RAMP_SCORE:
            return
        kind = 'errors' if record.errors > record.slowness else 'slowness'
        if self._is_common(record, kind, used, now_s):
            return
        others = [s.recent for s in self._list_others(record) if s.recent]
        view = self._views[record.server.name]
        if not server_stats.is_outlier(view, kind, others):
            return
        if record.score < 1:
            is_old = now_s - record.onset_s[kind] >= RAMP_AFTER_S
            if kind == 'slowness' and is_old and not record.slow_start.is_cold:
                record.slow_start.restart('suddenly slow', now_s)
            return
        reason = f'{kind} {record.score:.2f} of threshold'
        if len(self.records_in_use) > self._floor or self._swap(record, now_s):
            record.eject(reason, now_s)
        else:
            record.is_kept_for_floor = True
            record.reason = f'{reason}, kept for the floor'

    def _swap(self, record: server_records.ServerRecord, now_s: float) -> bool:
        # The least bad servers serve when all are bad.
        best = min(
            (
                r
                for r in self.records.values()
                if r.state != 'in use' and not r.is_out
            ),
            key=lambda r: r.severity,
            default=None,
        )
        if best is None or best.severity + WORSE_BY > record.severity:
            return False
        best.restore('less bad than another server', now_s)
        return True

    def _is_common(
        self,
        record: server_records.ServerRecord,
        kind: str,
        used: list[server_records.ServerRecord],
        now_s: float,
    ) -> bool:
        """Tell whether most other servers show the same fault.

        When most servers here do, the other domains' answers are awaited.
        """
        local = [
            other.is_affected(kind, now_s)
            for other in used
            if other is not record
            and other.evidence.errors.count(now_s) >= LEAST_COUNT
        ]
        if sum(local) * 2 <= len(local):
            return False
        since_s = record.onset_s[kind] + REMOTE_LAG_S
        votes = [
            server_stats.is_affected(sight, kind)
            for remote in self._list_fresh(now_s)
            if remote.received_s >= since_s
            for sight in remote.list_stats()
        ]
        return sum(local + votes) * 2 > len(local + votes)

    def _list_fresh(self, now_s: float) -> list[server_stats.RemoteStats]:
        return [
            remote
            for remote in self.remote_stats.values()
            if now_s - remote.received_s < REMOTE_LIFETIME_S
        ]

    def _list_others(
        self, record: server_records.ServerRecord
    ) -> list[server_stats.ServerStats]:
        local = (
            sight
            for name, sight in self._views.items()
            if name != record.server.name
        )
        return [*local, *self._remote_views]

    def _find_usual(
        self,
        record: server_records.ServerRecord,
    ) -> evidence.Baseline:
        """Return the medians over the service's other servers.

        Their last second counts as well as their past, so that a slowness
        of all servers soon becomes usual.
        """
        others = self._list_others(record)
        past = [s.past for s in others if s.past] or [_NOTHING]
        recent = [s.recent for s in others if s.recent] or [_NOTHING]
        error_ratio = statistics.median(u.error_ratio for u in past)
        least_s = LEAST_USUAL_S
        own = record.evidence.long_term_latency
        if len(others) >= FEW_SERVERS:
            recent_ratio = statistics.median(u.error_ratio for u in recent)
            error_ratio = max(error_ratio, recent_ratio)
        elif own.mean:
            # A single faster server must not make this one look slow.
            least_s = max(least_s, math.exp(own.mean))
        elif past == [_NOTHING]:
            least_s = server_records.DEFAULT_LATENCY_S
        usual_s = max(
            statistics.median(u.latency_s for u in past),
            statistics.median(u.latency_s for u in recent),
            least_s,
        )
        return evidence.Baseline(usual_s, ERROR_MARGIN * error_ratio)

    def _schedule_trials(self, now_s: float) -> None:
        is_short = any(r.is_kept_for_floor for r in self.records.values())
        for record in self.records.values():
            if record.state == 'ejected' and (
                now_s >= record.ejected_until_s or is_short
            ):
                record.state = 'trial'
