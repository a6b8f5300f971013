"""Past and recent latency and error ratio of the servers of a service."""

import math
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process.leased import evidence
from cranberryscale.process.leased import server_records


__all__ = [
    'RemoteStats',
    'ServerStats',
    'compute_stats',
    'is_affected',
    'is_outlier',
]

# A server of another domain counts as affected by slowness from this multiple
# of its own past latency, and by errors from this ratio.
AFFECTED_LATENCY_FACTOR = 2.0
AFFECTED_ERROR_RATIO = 0.15
MIN_PAST_REPORTS = 5
MIN_RECENT_REPORTS = 1


class ServerStats(NamedTuple):
    """Past and recent baseline of one server, None without enough reports."""

    past: evidence.Baseline | None
    recent: evidence.Baseline | None


class RemoteStats:
    """Statistics of servers in another domain, from its holder's summaries.

    `received_s` is when the last summary arrived.
    """

    def __init__(self) -> None:
        self.received_s = -math.inf
        self.servers: tuple[messages.ServerSummary, ...] = ()
        self._latency: dict[str, evidence.DecayingMean] = {}
        self._errors: dict[str, evidence.DecayingMean] = {}

    def record_summary(
        self, servers: tuple[messages.ServerSummary, ...], now_s: float
    ) -> None:
        """Record a summary and add it to the past of each server in it."""
        self.received_s = now_s
        self.servers = tuple(
            s for s in servers if s.count >= MIN_RECENT_REPORTS
        )
        for name in set(self._latency) - {s.server for s in servers}:
            del self._latency[name], self._errors[name]
        for summary in self.servers:
            self._latency.setdefault(
                summary.server,
                evidence.DecayingMean(evidence.LATENCY_TIME_CONSTANT_S),
            ).add(math.log(max(summary.median_latency_s, 1e-6)), now_s)
            self._errors.setdefault(
                summary.server,
                evidence.DecayingMean(evidence.ERROR_TIME_CONSTANT_S),
            ).add(summary.error_ratio, now_s)

    def list_stats(self) -> list[ServerStats]:
        """Return the statistics of each server in the last summary."""
        return [
            ServerStats(
                evidence.Baseline(
                    math.exp(self._latency[s.server].mean),
                    self._errors[s.server].mean,
                ),
                evidence.Baseline(s.median_latency_s, s.error_ratio),
            )
            for s in self.servers
        ]


def is_affected(stats: ServerStats, kind: str) -> bool:
    """Return whether another domain's server shows this kind of fault."""
    if kind == 'errors':
        return stats.recent.error_ratio > AFFECTED_ERROR_RATIO
    affected_latency_s = AFFECTED_LATENCY_FACTOR * stats.past.latency_s
    return stats.recent.latency_s > affected_latency_s


def is_outlier(
    stats: ServerStats, kind: str, others: list[evidence.Baseline]
) -> bool:
    """Return whether the server is worse now than most other servers.

    Its error ratio must exceed the upper quartile of the others, its latency
    SLOW_FACTOR times the upper quartile. The evidence may be from before a
    change that affected all servers, and when all are slow, their recent
    latencies vary widely.
    """
    if stats.recent is None:
        return False
    if not others:
        return True
    rank = len(others) * 3 // 4
    if kind == 'errors':
        ratio = sorted(o.error_ratio for o in others)[rank]
        return stats.recent.error_ratio > ratio
    latency_s = sorted(o.latency_s for o in others)[rank]
    return stats.recent.latency_s > evidence.SLOW_FACTOR * latency_s


def compute_stats(
    record: server_records.ServerRecord,
    ages_s: tuple[float, ...],
    now_s: float,
) -> ServerStats:
    """Compute the statistics of a server of this pool.

    `ages_s` are the ages of its running requests.
    """
    observed = record.evidence
    past = recent = None
    if observed.latency.count(now_s) >= MIN_PAST_REPORTS:
        past = evidence.Baseline(
            math.exp(observed.latency.mean), observed.errors.mean
        )
    summary = record.summarize(ages_s, now_s)
    if summary.count >= MIN_RECENT_REPORTS:
        recent = evidence.Baseline(
            summary.median_latency_s, summary.error_ratio
        )
    return ServerStats(past, recent)
