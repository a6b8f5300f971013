"""Free slots of a pool's backend servers and the choice among them."""

import math
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import issued_permits
from cranberryscale.process import outlier_ejection
from cranberryscale.process import server_records
from cranberryscale.process import survey


__all__ = ['ServerSnapshot', 'SlotSelector']

# Latencies within half a natural logarithm count as equal, so that servers
# of equal load take turns and all of them give evidence.
_LATENCY_STEP = 2.0
# Part of a threshold from which a server is suspected: one error.
_SUSPECT_SCORE = 0.2
# Estimates need this many recent completions.
_LEAST_COUNT = 10
# With the usual spread, 92% of requests finish within twice the median.
_MOST_FACTOR = 2.0


def _rank(record: server_records.ServerRecord, probe_ok: bool) -> int:
    """Return 0 for servers to choose first, 3 for the last resort.

    Requests that may be repeated go to suspected servers first, because the
    verdict needs a number of requests and not time; the others avoid them.
    """
    if record.is_kept_for_floor:
        return 3
    if record.score < _SUSPECT_SCORE:
        return 1
    return 0 if probe_ok else 2


class ServerSnapshot(NamedTuple):
    """Describe a backend server to operators.

    `state` is "in use", "ejected", "trial", "cold" or "out"; `limit` is how
    many requests may run now, `assumed` how many are assumed to run for
    members that have not replied to the survey.
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
    """Combine ramps, permits in use, the survey and ejections."""

    def __init__(
        self,
        ledger: issued_permits.IssuedPermitTable,
        survey_: survey.Survey,
        ejections_: outlier_ejection.OutlierEjector,
    ):
        self._ledger = ledger
        self._survey = survey_
        self._ejections = ejections_

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
        return limit - self._ledger.count(record.server.name)

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether some server could run another request."""
        return any(
            self.count_free(record, now_s) > 0
            for record in self._ejections.records.values()
            if record.state != 'ejected' and not record.is_out
        )

    def choose_server(
        self, request: messages.TakePermit, sender: str, now_s: float
    ) -> server_records.ServerRecord | None:
        """Return the least loaded server in use, None without a free slot."""
        best, best_key = None, None
        for record in self._ejections.records.values():
            if not record.is_in_use:
                continue
            free = self.count_free(record, now_s)
            if free <= 0 or not self._may_use(record, request, sender):
                continue
            step = round(_LATENCY_STEP * record.evidence.latency.mean)
            key = (
                _rank(record, request.probe_ok),
                -free,
                step,
                record.last_granted_s,
            )
            if best_key is None or key < best_key:
                best, best_key = record, key
        return best

    def choose_trial_server(
        self, request: messages.TakePermit, sender: str, now_s: float
    ) -> server_records.ServerRecord | None:
        """Return an ejected server to try, within the pool's budget.

        A trial never uses a slot that an earlier request may still have.
        """
        if not request.probe_ok:
            return None
        return next(
            (
                record
                for record in self._ejections.list_trial_servers(now_s)
                if self._may_use(record, request, sender)
                and not self._ledger.count(record.server.name)
                and self.count_free(record, now_s) > 0
            ),
            None,
        )

    def _may_use(
        self,
        record: server_records.ServerRecord,
        request: messages.TakePermit,
        sender: str,
    ) -> bool:
        name = record.server.name
        return name not in request.excluded and self._ledger.count_by_sender(
            name, sender
        ) < survey.compute_instance_limit(record.server.slots)

    def estimate_service_s(self, now_s: float) -> float:
        """Return a time in which most requests finish, 0 while unknown."""
        known = [
            r.evidence.latency
            for r in self._ejections.records.values()
            if r.is_in_use and r.evidence.latency.count(now_s) >= _LEAST_COUNT
        ]
        if not known:
            return 0.0
        usual = sum(latency.mean for latency in known) / len(known)
        return _MOST_FACTOR * math.exp(usual)

    def estimate_wait_s(self, ahead: int, now_s: float) -> float:
        """Return how long a request waits behind `ahead` others."""
        limit = sum(
            r.slow_start.limit
            for r in self._ejections.records.values()
            if r.is_in_use
        )
        usual_s = self.estimate_service_s(now_s) / _MOST_FACTOR
        return (ahead + 1) * usual_s / max(1, limit)

    def list_server_snapshots(
        self, now_s: float
    ) -> tuple[ServerSnapshot, ...]:
        """Return the state of each server, for operators."""
        return tuple(
            self._describe(record, now_s)
            for record in self._ejections.records.values()
        )

    def _describe(
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
            self._ledger.count(record.server.name),
            self._survey.count_assumed(slots, now_s),
            0 if state in ('out', 'ejected') else record.slow_start.limit,
            slots,
            round(record.score, 3),
        )
