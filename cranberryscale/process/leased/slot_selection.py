"""Choice of the backend server for a permit among those with a free slot."""

import math
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process.leased import issued_permits
from cranberryscale.process.leased import outlier_ejection
from cranberryscale.process.leased import server_records
from cranberryscale.process.leased import survey


__all__ = ['ServerSnapshot', 'SlotSelector']

# Steps of log latency per unit: latencies within half a natural logarithm
# count as equal, so that equally loaded servers take turns and all of them get
# requests that give evidence.
_LATENCY_STEPS = 2.0
# Score from which a server is suspected; a single error reaches it.
_SUSPECT_SCORE = 0.2
# Minimum number of recent completions to estimate the service time.
_MIN_COMPLETIONS = 10
# With the usual spread, 92% of requests finish within twice the median.
_SERVICE_TIME_FACTOR = 2.0


def _rank_server(record: server_records.ServerRecord, probe_ok: bool) -> int:
    """Return the preference of a server, 0 for the first choice, 3 the last.

    Requests that may be repeated go to suspected servers first, because a
    decision on ejection takes a number of requests rather than time; other
    requests avoid these servers.
    """
    if record.is_kept_for_floor:
        return 3
    if record.score < _SUSPECT_SCORE:
        return 1
    return 0 if probe_ok else 2


class ServerSnapshot(NamedTuple):
    """State of a backend server at one time, for operators.

    `state` is "in use", "ejected", "trial", "cold" or "out". `running` counts
    the permits in use, `limit` how many requests may run now, and `assumed`
    how many are assumed to run for members that have not replied to the
    survey. `evidence` is the score, 1.0 at the ejection threshold.
    """

    server: str
    state: str
    reason: str
    running: int
    assumed: int
    limit: int
    slots: int
    evidence: float


class SlotSelector:
    """Selector of servers by free slots, slow start, survey and ejection."""

    def __init__(
        self,
        permits: issued_permits.IssuedPermitTable,
        member_survey: survey.Survey,
        ejector: outlier_ejection.OutlierEjector,
    ):
        self._permits = permits
        self._survey = member_survey
        self._ejector = ejector

    def count_free(
        self, record: server_records.ServerRecord, now_s: float
    ) -> int:
        """Return how many more requests the server may run."""
        slots = record.server.slots
        limit = record.slow_start.limit
        if self._survey.is_open(now_s):
            limit = min(
                limit, slots - self._survey.count_assumed(slots, now_s)
            )
        return limit - self._permits.count(record.server.name)

    def has_free_slot(self, now_s: float) -> bool:
        """Return whether any server not ejected has a free slot."""
        return any(
            self.count_free(record, now_s) > 0
            for record in self._ejector.records.values()
            if record.state != 'ejected' and not record.is_out
        )

    def choose_server(
        self, request: messages.TakePermit, sender: str, now_s: float
    ) -> server_records.ServerRecord | None:
        """Return the server in use to choose, None without a free slot.

        Servers are ordered by suspicion, free slots, latency and time of the
        last grant.
        """
        best, best_key = None, None
        for record in self._ejector.records.values():
            if not record.is_in_use:
                continue
            free = self.count_free(record, now_s)
            if free <= 0 or not self._can_use(record, request, sender):
                continue
            latency_step = round(_LATENCY_STEPS * record.evidence.latency.mean)
            key = (
                _rank_server(record, request.probe_ok),
                -free,
                latency_step,
                record.last_granted_s,
            )
            if best_key is None or key < best_key:
                best, best_key = record, key
        return best

    def choose_trial_server(
        self, request: messages.TakePermit, sender: str, now_s: float
    ) -> server_records.ServerRecord | None:
        """Return a server for a trial within the pool's budget, or None.

        Trials run only requests that may be repeated, and only at servers at
        which no earlier request may still be running.
        """
        if not request.probe_ok:
            return None
        return next(
            (
                record
                for record in self._ejector.list_trial_servers(now_s)
                if self._can_use(record, request, sender)
                and not self._permits.count(record.server.name)
                and self.count_free(record, now_s) > 0
            ),
            None,
        )

    def _can_use(
        self,
        record: server_records.ServerRecord,
        request: messages.TakePermit,
        sender: str,
    ) -> bool:
        name = record.server.name
        return name not in request.excluded and self._permits.count_by_sender(
            name, sender
        ) < survey.compute_instance_limit(record.server.slots)

    def estimate_service_s(self, now_s: float) -> float:
        """Return the time in which most requests finish, 0 while unknown."""
        latencies = [
            r.evidence.latency
            for r in self._ejector.records.values()
            if r.is_in_use
            and r.evidence.latency.count(now_s) >= _MIN_COMPLETIONS
        ]
        if not latencies:
            return 0.0
        mean_log_latency = sum(latency.mean for latency in latencies) / len(
            latencies
        )
        return _SERVICE_TIME_FACTOR * math.exp(mean_log_latency)

    def estimate_wait_s(self, ahead: int, now_s: float) -> float:
        """Return the estimated queueing time behind `ahead` other requests."""
        limit = sum(
            r.slow_start.limit
            for r in self._ejector.records.values()
            if r.is_in_use
        )
        median_s = self.estimate_service_s(now_s) / _SERVICE_TIME_FACTOR
        return (ahead + 1) * median_s / max(1, limit)

    def list_server_snapshots(
        self, now_s: float
    ) -> tuple[ServerSnapshot, ...]:
        """Return the state of each server, for operators."""
        return tuple(
            self._make_snapshot(record, now_s)
            for record in self._ejector.records.values()
        )

    def _make_snapshot(
        self, record: server_records.ServerRecord, now_s: float
    ) -> ServerSnapshot:
        state, reason = record.state, record.reason
        if record.is_out:
            state, reason = 'out', 'taken out by operators'
        elif state == 'in use' and record.slow_start.is_cold:
            state = 'cold'
            reason = (
                reason
                if record.is_kept_for_floor
                else record.slow_start.reason
            )
        slots = record.server.slots
        return ServerSnapshot(
            record.server.name,
            state,
            reason,
            self._permits.count(record.server.name),
            self._survey.count_assumed(slots, now_s),
            0 if state in ('out', 'ejected') else record.slow_start.limit,
            slots,
            round(record.score, 3),
        )
