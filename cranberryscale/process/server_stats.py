"""What other servers did in the past and do now, here and elsewhere."""

import math
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import evidence
from cranberryscale.process import server_records


__all__ = [
    'RemoteStats',
    'ServerStats',
    'compute_stats',
    'is_affected',
    'is_outlier',
]

# Others count as slow too from this multiple of their own past latency.
COMMON_SLOW_FACTOR = 2.0
COMMON_BAD_RATIO = 0.15
LEAST_COUNT = 5
LEAST_REMOTE = 1


class ServerStats(NamedTuple):
    """Hold what a server did in the past and in the last second."""

    past: evidence.Baseline | None
    recent: evidence.Baseline | None


class RemoteStats:
    """Hold what another domain's pool holder said about its servers."""

    def __init__(self) -> None:
        self.received_s = -math.inf
        self.servers: tuple[messages.ServerSummary, ...] = ()
        self._latency: dict[str, evidence.DecayingMean] = {}
        self._errors: dict[str, evidence.DecayingMean] = {}

    def record_summary(
        self, servers: tuple[messages.ServerSummary, ...], now_s: float
    ) -> None:
        """Take a summary and add it to what is usual."""
        self.received_s = now_s
        self.servers = tuple(s for s in servers if s.count >= LEAST_REMOTE)
        for name in set(self._latency) - {s.server for s in servers}:
            del self._latency[name], self._errors[name]
        for summary in self.servers:
            self._latency.setdefault(
                summary.server,
                evidence.DecayingMean(evidence.LATENCY_MEMORY_S),
            ).add(math.log(max(summary.median_latency_s, 1e-6)), now_s)
            self._errors.setdefault(
                summary.server, evidence.DecayingMean(evidence.ERROR_MEMORY_S)
            ).add(summary.error_ratio, now_s)

    def list_stats(self) -> list[ServerStats]:
        """Return what is usual and recent at each server."""
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


def is_affected(sight: ServerStats, kind: str) -> bool:
    """Tell whether another domain's server lately got worse."""
    if kind == 'errors':
        return sight.recent.error_ratio > COMMON_BAD_RATIO
    slow_s = COMMON_SLOW_FACTOR * sight.past.latency_s
    return sight.recent.latency_s > slow_s


def is_outlier(
    sight: ServerStats, kind: str, others: list[evidence.Baseline]
) -> bool:
    """Tell whether the server is worse now than a quarter of the others.

    The evidence may be from before a change of all servers, whose last
    second differs much when they are slow.
    """
    if sight.recent is None:
        return False
    if not others:
        return True
    place = len(others) * 3 // 4
    if kind == 'errors':
        ratio = sorted(o.error_ratio for o in others)[place]
        return sight.recent.error_ratio > ratio
    latency_s = sorted(o.latency_s for o in others)[place]
    return sight.recent.latency_s > evidence.SLOW_FACTOR * latency_s


def compute_stats(
    record: server_records.ServerRecord,
    ages_s: tuple[float, ...],
    now_s: float,
) -> ServerStats:
    held = record.evidence
    past = recent = None
    if held.latency.count(now_s) >= LEAST_COUNT:
        past = evidence.Baseline(math.exp(held.latency.mean), held.errors.mean)
    summary = record.summarize(ages_s, now_s)
    if summary.count >= LEAST_REMOTE:
        recent = evidence.Baseline(
            summary.median_latency_s, summary.error_ratio
        )
    return ServerStats(past, recent)
