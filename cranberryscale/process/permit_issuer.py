"""State of a pool's holder during one uninterrupted lease."""

from collections.abc import Iterator
import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import fair_queue
from cranberryscale.process import issued_permits
from cranberryscale.process import outlier_ejection
from cranberryscale.process import server_records
from cranberryscale.process import server_stats
from cranberryscale.process import slot_selection
from cranberryscale.process import survey
from cranberryscale.version import configuration


__all__ = ['DeferredReply', 'PermitIssuer', 'PoolTiming']

# Outcomes after which the backend server may still be running the request.
_UNFINISHED = frozenset(('cancelled', 'silent', 'truncated'))
# A warm server either obeys a cancellation or finishes within this multiple
# of the usual latency. Holding every cancelled permit until its deadline
# would let one customer that disconnects block the pool.
_CANCEL_FACTOR = 12
_CANCEL_LEAST_S = 0.25

_BUSY_RETRY_S = 0.1
_SURVEY_RETRY_S = 0.25
_EMPTY_RETRY_S = 1.0


def _deny_busy(code: str) -> messages.PermitDenial:
    return messages.PermitDenial(code, _BUSY_RETRY_S)


class PoolTiming(NamedTuple):
    """Set the times of permits; equal on all instances.

    `request_limit` is the longest permitted route timeout.
    """

    request_limit: datetime.timedelta = datetime.timedelta(seconds=30)
    start_within: datetime.timedelta = datetime.timedelta(seconds=0.25)
    drift_ratio: float = 0.01


class DeferredReply(NamedTuple):
    """Answer a queued request."""

    ticket: int
    reply: messages.PermitGrant | messages.PermitDenial


class PermitIssuer:
    """Grant permits within slots, ramps and the share of one instance."""

    def __init__(
        self,
        since: datetime.timedelta,
        members: frozenset[str],
        remotes: dict[str, server_stats.RemoteStats],
        epoch: str,
        terms: PoolTiming,
    ):
        self.since = since
        self.until_s = since.total_seconds()
        limit_s = terms.request_limit.total_seconds() * (1 + terms.drift_ratio)
        self.survey = survey.Survey(members, since.total_seconds(), limit_s)
        self._epoch = epoch
        self._terms = terms
        self._service = configuration.Service('')
        self._ledger = issued_permits.IssuedPermitTable()
        self._queue = fair_queue.FairQueue()
        self._entries: dict[int, fair_queue.QueuedRequest] = {}
        self._dropped: list[fair_queue.QueuedRequest] = []
        self._ejections = outlier_ejection.OutlierEjector()
        self._ejections.remote_stats = remotes
        self._slots = slot_selection.SlotSelector(
            self._ledger, self.survey, self._ejections
        )
        self._next_permit = 1

    def load(
        self,
        service: configuration.Service,
        servers: tuple[configuration.BackendServer, ...],
        out: frozenset[str],
        now_s: float,
    ) -> None:
        """Replace the service and its servers in this domain."""
        self._service = service
        self._ejections.load(servers, out, service.floor_fraction, now_s)

    def record_survey_reply(
        self, sender: str, reply: messages.SurveyReply, now_s: float
    ) -> None:
        """Count a member's earlier permits as in use."""
        if not self.survey.record_reply(sender):
            return
        for row in reply.permits:
            if row.permit_id.startswith(self._epoch):
                continue
            ends_s = now_s + row.remaining_s * (1 + self._terms.drift_ratio)
            self._ledger.add(
                issued_permits.IssuedPermit(
                    row.permit_id, row.server, sender, now_s, ends_s
                )
            )

    def request_permit(
        self, entry: fair_queue.QueuedRequest, now_s: float
    ) -> messages.PermitGrant | messages.PermitDenial | None:
        """Return the answer, or None after queueing the entry."""
        self._ledger.record_activity(entry.sender, now_s)
        self._refresh(now_s)
        denial = self._find_denial(entry, now_s)
        if denial:
            return denial
        grant = self._try_grant(entry, not len(self._queue), now_s)
        if grant:
            return grant
        if not entry.request.may_queue:
            ahead = len(self._queue) + 1
            wait_s = self._slots.estimate_wait_s(ahead, now_s)
            return messages.PermitDenial('pool_busy', wait_s)
        if len(self._queue) >= self._service.queue_limit:
            surplus = self._queue.find_evictable(entry.customer)
            if surplus is None:
                return _deny_busy('pool_busy')
            self._queue.remove(surplus)
            self._dropped.append(surplus)
        self._entries[entry.ticket] = entry
        self._queue.add(entry)
        return None

    def finish_permit(
        self, report: messages.PermitReport, sender: str, now_s: float
    ) -> None:
        """Free the slot if the request is over and take the evidence."""
        self._ledger.record_activity(sender, now_s)
        permit = self._ledger.find(report.permit_id)
        if permit is None or permit.sender != sender or permit.is_ended:
            return
        record = self._ejections.records.get(permit.server)
        self._release(permit, report, record, now_s)
        if record is None:
            return
        if permit.is_trial:
            record.record_trial(report, now_s)
        elif record.state == 'in use':
            record.record_report(report, permit.granted_s, now_s)

    def advance(self, now_s: float) -> Iterator[DeferredReply]:
        """Yield the queued requests that now have an answer."""
        self._refresh(now_s)
        if not self._entries:
            return
        service_s = self._slots.estimate_service_s(now_s)
        for entry in self._queue.list_late(now_s, service_s):
            self._queue.remove(entry)
            is_hopeless = entry.deadline_s < now_s + service_s
            code = 'deadline_too_short' if is_hopeless else 'pool_busy'
            yield self._resolve(entry, _deny_busy(code))
        yield from self._drain(now_s)
        for entry in self._dropped:
            yield self._resolve(entry, _deny_busy('pool_busy'))
        self._dropped.clear()

    def _drain(self, now_s: float) -> Iterator[DeferredReply]:
        """Yield grants until no queued request can be placed.

        Each grant passes the customer's turn on, so the order starts anew.
        """
        while self._slots.has_free_slot(now_s):
            for entry in self._queue.iterate():
                grant = self._try_grant(entry, True, now_s)
                if grant:
                    break
            else:
                return
            self._queue.dequeue(entry)
            yield self._resolve(entry, grant)

    def cancel(self, ticket: int) -> None:
        """Remove a queued request without an answer."""
        entry = self._entries.pop(ticket, None)
        if entry in self._dropped:
            self._dropped.remove(entry)
        elif entry:
            self._queue.remove(entry)

    def close(self) -> list[DeferredReply]:
        """Deny what is queued, since the lease has ended."""
        denial = messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        return [DeferredReply(ticket, denial) for ticket in self._entries]

    def summarize(self, now_s: float) -> messages.PoolSummaryReply:
        """Return recent evidence on the servers in use."""
        return messages.PoolSummaryReply(
            tuple(
                record.summarize(
                    self._ledger.list_request_ages(record.server.name, now_s),
                    now_s,
                )
                for record in self._ejections.records_in_use
            )
        )

    def list_server_snapshots(
        self, now_s: float
    ) -> tuple[slot_selection.ServerSnapshot, ...]:
        """Return the state of each server."""
        self._refresh(now_s)
        return self._slots.list_server_snapshots(now_s)

    def _refresh(self, now_s: float) -> None:
        self._ledger.expire(now_s)
        self._ejections.evaluate(self._ledger.list_request_ages, now_s)

    def _resolve(
        self,
        entry: fair_queue.QueuedRequest,
        reply: messages.PermitGrant | messages.PermitDenial,
    ) -> DeferredReply:
        del self._entries[entry.ticket]
        return DeferredReply(entry.ticket, reply)

    def _find_denial(
        self, entry: fair_queue.QueuedRequest, now_s: float
    ) -> messages.PermitDenial | None:
        """Return the reason why the request cannot be served here."""
        if self.survey.is_pending(entry.sender, now_s):
            return messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        usable = [
            record
            for record in self._ejections.records_in_use
            if record.server.name not in entry.request.excluded
        ]
        if not usable:
            return messages.PermitDenial('no_backend_server', _EMPTY_RETRY_S)
        if self.survey.is_open(now_s) and all(
            self.survey.count_assumed(record.server.slots, now_s)
            >= record.server.slots
            for record in usable
        ):
            return messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        ahead = self._queue.count_ahead(entry.customer, entry.deadline_s)
        needed_s = self._slots.estimate_service_s(now_s)
        wait_s = self._slots.estimate_wait_s(ahead, now_s) if ahead else 0.0
        if entry.deadline_s - now_s < needed_s + wait_s:
            return _deny_busy('deadline_too_short')
        if now_s + wait_s > entry.waits_until_s:
            return _deny_busy('pool_busy')
        return None

    def _try_grant(
        self, entry: fair_queue.QueuedRequest, may_use: bool, now_s: float
    ) -> messages.PermitGrant | None:
        """Grant a trial or, if `may_use`, a slot at a server in use."""
        record = self._slots.choose_trial_server(
            entry.request, entry.sender, now_s
        )
        is_trial = record is not None
        if record is None and may_use:
            record = self._slots.choose_server(
                entry.request, entry.sender, now_s
            )
        if record is None or now_s >= self.until_s:
            return None
        if is_trial:
            self._ejections.spend_trial(now_s)
        permit_id = f'{self._epoch}{self._next_permit:x}'
        self._next_permit += 1
        record.last_granted_s = now_s
        self._ledger.add(
            issued_permits.IssuedPermit(
                permit_id,
                record.server.name,
                entry.sender,
                now_s,
                entry.deadline_s,
                is_trial,
            )
        )
        # Instances count from when they asked, which was before the wait.
        within_s = now_s - entry.asked_s + self._limit_start_s(now_s)
        return messages.PermitGrant(permit_id, record.server.name, within_s)

    def _limit_start_s(self, now_s: float) -> float:
        within_s = self._terms.start_within.total_seconds()
        return min(within_s, self.until_s - now_s)

    def _release(
        self,
        permit: issued_permits.IssuedPermit,
        report: messages.PermitReport,
        record: server_records.ServerRecord | None,
        now_s: float,
    ) -> None:
        """Free the permit's slot, unless the request may still run."""
        if report.outcome not in _UNFINISHED:
            self._ledger.remove(permit.permit_id)
            return
        expires_s = permit.expires_s
        is_warm = record and record.is_in_use and not record.slow_start.is_cold
        if report.outcome == 'cancelled' and is_warm:
            usual_s = _CANCEL_FACTOR * record.baseline.latency_s
            expires_s = min(
                expires_s, permit.granted_s + max(usual_s, _CANCEL_LEAST_S)
            )
        self._ledger.add(permit._replace(expires_s=expires_s, is_ended=True))
