"""Which backend servers of a pool are in use, ejected or on trial."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import statistics
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import evidence
from cranberryscale.process import standings
from cranberryscale.version import configuration


__all__ = ['Ejections', 'Remote']

# Evidence is weighed at most this often, since it reads every permit.
WEIGH_EVERY_S = 0.05

# One trial costs about 25 ms, so the pool spends at most 5% of one slot.
TRIAL_EVERY_S = 0.5
# Evidence of slowness that restarts the ramp, as part of the threshold.
RAMP_SCORE = 0.6
# A lower limit delays the verdict, and a server that is slow enough to be
# ejected is ejected within this time.
RAMP_AFTER_S = 2.0
# Others with this part of the threshold show the same fault.
COMMON_SCORE = 0.3
# Summaries of other domains lag, so they vote only this long after the
# evidence began.
REMOTE_LAG_S = 2.0
REMOTE_LIFETIME_S = 5.0

LEAST_COUNT = 5
FEW_SERVERS = 3
LEAST_USUAL_S = 0.005
ERROR_MARGIN = 1.5
WORSE_BY = 0.25


class Remote(NamedTuple):
    """Hold what another domain's pool holder said about its servers."""

    received_s: float
    servers: tuple[messages.ServerSummary, ...]


class Ejections:
    """Decide on all servers of a pool."""

    def __init__(self) -> None:
        self.records: dict[str, standings.Record] = {}
        self.remotes: dict[str, Remote] = {}
        self._floor = 0
        self._weighed_s = -math.inf
        self._next_trial_s = 0.0

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
                record = standings.Record(server, is_out, now_s)
            elif record.is_out and not is_out:
                record.restore('taken in', now_s)
            record.server, record.is_out = server, is_out
            record.ramp.load_server(server)
            self.records[server.name] = record

    @property
    def used(self) -> list[standings.Record]:
        """Return the records of the servers in use."""
        return [r for r in self.records.values() if r.is_used]

    def find_trial(self, now_s: float) -> list[standings.Record]:
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

    def weigh(
        self, list_ages: Callable[[str, float], Iterable[float]], now_s: float
    ) -> None:
        """Eject, ramp and schedule trials according to the evidence."""
        if now_s - self._weighed_s < WEIGH_EVERY_S:
            return
        self._weighed_s = now_s
        used = self.used
        for record in used:
            record.usual = self._find_usual(record, used, now_s)
            record.weigh(list_ages(record.server.name, now_s), now_s)
        for record in sorted(used, key=lambda r: r.score, reverse=True):
            self._judge(record, used, now_s)
        self._schedule_trials(now_s)

    def _judge(
        self,
        record: standings.Record,
        used: list[standings.Record],
        now_s: float,
    ) -> None:
        if record.score < COMMON_SCORE:
            record.is_kept = False
        if record.score < RAMP_SCORE:
            return
        kind = 'errors' if record.errors > record.slowness else 'slowness'
        if self._is_common(record, kind, used, now_s):
            return
        if record.score < 1:
            onset_s = record.evidence.onset_s or now_s
            if (
                kind == 'slowness'
                and not record.ramp.is_cold
                and now_s - onset_s >= RAMP_AFTER_S
            ):
                record.ramp.restart('suddenly slow', now_s)
            return
        reason = f'{kind} {record.score:.2f} of threshold'
        if len(self.used) > self._floor or self._swap(record, now_s):
            record.eject(reason, now_s)
        else:
            record.is_kept = True
            record.reason = f'{reason}, kept for the floor'

    def _swap(self, record: standings.Record, now_s: float) -> bool:
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
        record: standings.Record,
        kind: str,
        used: list[standings.Record],
        now_s: float,
    ) -> bool:
        """Tell whether most other servers show the same fault."""
        local = [
            getattr(other, kind) >= COMMON_SCORE
            for other in used
            if other is not record
            and other.evidence.errors.count(now_s) >= LEAST_COUNT
        ]
        if sum(local) * 2 <= len(local):
            return False
        onset_s = record.evidence.onset_s
        since_s = (now_s if onset_s is None else onset_s) + REMOTE_LAG_S
        votes = local + [
            _is_affected(summary, kind, record.usual)
            for remote in self.remotes.values()
            if remote.received_s >= max(since_s, now_s - REMOTE_LIFETIME_S)
            for summary in remote.servers
            if summary.count >= LEAST_COUNT
        ]
        return sum(votes) * 2 > len(votes)

    def _find_usual(
        self,
        record: standings.Record,
        used: list[standings.Record],
        now_s: float,
    ) -> evidence.Baseline:
        """Return the medians over the service's other servers."""
        others = [
            r.evidence
            for r in used
            if r is not record and r.evidence.latency.count(now_s) > 5
        ]
        summaries = [
            summary
            for remote in self.remotes.values()
            if now_s - remote.received_s < REMOTE_LIFETIME_S
            for summary in remote.servers
            if summary.count >= LEAST_COUNT
        ]
        latencies = [math.exp(e.latency.mean) for e in others]
        latencies += [s.median_latency_s for s in summaries]
        ratios = [e.errors.mean for e in others]
        ratios += [s.error_ratio for s in summaries]
        if len(latencies) < FEW_SERVERS:
            # A single faster server must not make this one look slow.
            own = record.evidence.history
            least_s = math.exp(own.mean) if own.count(now_s) > 5 else 0.0
        else:
            least_s = 0.0
        usual_s = max(statistics.median(latencies or [0.0]), least_s)
        return evidence.Baseline(
            max(usual_s or standings.UNKNOWN_USUAL_S, LEAST_USUAL_S),
            ERROR_MARGIN * statistics.median(ratios or [0.0]),
        )

    def _schedule_trials(self, now_s: float) -> None:
        is_short = any(r.is_kept for r in self.records.values())
        for record in self.records.values():
            if record.state == 'ejected' and (
                now_s >= record.until_s or is_short
            ):
                record.state = 'trial'


def _is_affected(
    summary: messages.ServerSummary, kind: str, usual: evidence.Baseline
) -> bool:
    if kind == 'errors':
        return summary.error_ratio > evidence.BAD_RATIO / 2
    slow_s = usual.latency_s * evidence.SLOW_FACTOR
    return summary.median_latency_s > slow_s
