"""Which backend servers of a pool are in use, ejected or on trial."""

from collections.abc import Callable
from collections.abc import Iterable
import math
import statistics

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
# Summaries of other domains lag, so they vote only this long after the
# evidence began.
REMOTE_LAG_S = 2.0
REMOTE_LIFETIME_S = 5.0

# Others count as slow too from this multiple of the usual latency.
COMMON_SLOW_FACTOR = 2.0
COMMON_BAD_RATIO = 0.15

LEAST_COUNT = 5
LEAST_REMOTE = 2
FEW_SERVERS = 3
LEAST_USUAL_S = 0.005
ERROR_MARGIN = 1.5
WORSE_BY = 0.25


class Remote:
    """Hold what another domain's pool holder said about its servers."""

    def __init__(self) -> None:
        self.received_s = -math.inf
        self.servers: tuple[messages.ServerSummary, ...] = ()
        self._latency: dict[str, evidence.Decayed] = {}
        self._errors: dict[str, evidence.Decayed] = {}

    def take(
        self, servers: tuple[messages.ServerSummary, ...], now_s: float
    ) -> None:
        """Take a summary and add it to what is usual."""
        self.received_s = now_s
        self.servers = tuple(s for s in servers if s.count >= LEAST_REMOTE)
        for name in set(self._latency) - {s.server for s in servers}:
            del self._latency[name], self._errors[name]
        for summary in self.servers:
            self._latency.setdefault(
                summary.server, evidence.Decayed(evidence.LATENCY_MEMORY_S)
            ).add(math.log(max(summary.median_latency_s, 1e-6)), now_s)
            self._errors.setdefault(
                summary.server, evidence.Decayed(evidence.ERROR_MEMORY_S)
            ).add(summary.error_ratio, now_s)

    def list_usual(self) -> list[evidence.Baseline]:
        """Return what is usual at each server."""
        return [
            evidence.Baseline(
                math.exp(self._latency[name].mean), self._errors[name].mean
            )
            for name in self._latency
        ]


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
                reason = 'new' if before else 'new holder'
                record = standings.Record(server, is_out, now_s, reason)
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
        if record.score < standings.COMMON_SCORE:
            record.is_kept = False
        if record.score < RAMP_SCORE:
            return
        kind = 'errors' if record.errors > record.slowness else 'slowness'
        is_common = self._is_common(record, kind, used, now_s)
        if is_common and record.score >= 1:
            record.evidence.relearn()
        if is_common or is_common is None:
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
    ) -> bool | None:
        """Tell whether most other servers show the same fault.

        None means that the other domains' answers are awaited.
        """
        local = [
            other.is_affected(kind, now_s)
            for other in used
            if other is not record
            and other.evidence.errors.count(now_s) >= LEAST_COUNT
        ]
        if sum(local) * 2 <= len(local):
            return False
        fresh = self._list_fresh(now_s)
        if not any(remote.servers for remote in fresh):
            return True
        onset_s = record.evidence.onset_s
        since_s = (now_s if onset_s is None else onset_s) + REMOTE_LAG_S
        votes = [
            _is_affected(summary, kind, record.usual)
            for remote in fresh
            if remote.received_s >= since_s
            for summary in remote.servers
        ]
        if not votes:
            return None
        return sum(local + votes) * 2 > len(local + votes)

    def _list_fresh(self, now_s: float) -> list[Remote]:
        return [
            remote
            for remote in self.remotes.values()
            if now_s - remote.received_s < REMOTE_LIFETIME_S
        ]

    def _find_usual(
        self,
        record: standings.Record,
        used: list[standings.Record],
        now_s: float,
    ) -> evidence.Baseline:
        """Return the medians over the service's other servers."""
        usual = [
            evidence.Baseline(
                math.exp(r.evidence.latency.mean), r.evidence.errors.mean
            )
            for r in used
            if r is not record
            and r.evidence.latency.count(now_s) >= LEAST_COUNT
        ]
        for remote in self._list_fresh(now_s):
            usual.extend(remote.list_usual())
        latencies = [u.latency_s for u in usual] or [0.0]
        ratios = [u.error_ratio for u in usual] or [0.0]
        least_s = LEAST_USUAL_S
        own = record.evidence.history
        if len(usual) < FEW_SERVERS and own.count(now_s) >= LEAST_COUNT:
            # A single faster server must not make this one look slow.
            least_s = max(least_s, math.exp(own.mean))
        elif not usual:
            least_s = standings.UNKNOWN_USUAL_S
        return evidence.Baseline(
            max(statistics.median(latencies), least_s),
            ERROR_MARGIN * statistics.median(ratios),
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
        return summary.error_ratio > COMMON_BAD_RATIO
    return summary.median_latency_s > COMMON_SLOW_FACTOR * usual.latency_s
