"""Admission control of a pool during one uninterrupted lease.

The issuer grants, denies or queues requests for permits. Its state is dropped
when the lease ends; the next holder surveys the members for permits in use.
"""

from collections.abc import Iterator
import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process.leased import fair_queue
from cranberryscale.process.leased import issued_permits
from cranberryscale.process.leased import outlier_ejection
from cranberryscale.process.leased import server_records
from cranberryscale.process.leased import server_stats
from cranberryscale.process.leased import slot_selection
from cranberryscale.process.leased import survey
from cranberryscale.version import configuration


__all__ = ['DeferredReply', 'PermitIssuer', 'PoolTiming']

# Outcomes after which the backend server may still be running the request.
_POSSIBLY_RUNNING = frozenset(('cancelled', 'silent', 'truncated'))
# The slot of a request cancelled at a warm server is released after this
# multiple of the baseline latency: by then the server has either stopped the
# request or finished it. If every cancelled permit kept its slot until the
# deadline, one customer that disconnects could block the pool.
_CANCEL_LATENCY_FACTOR = 12
_MIN_CANCEL_S = 0.25

_BUSY_RETRY_S = 0.1
_SURVEY_RETRY_S = 0.25
_NO_SERVER_RETRY_S = 1.0


def _deny_busy(code: str) -> messages.PermitDenial:
    return messages.PermitDenial(code, _BUSY_RETRY_S)


class PoolTiming(NamedTuple):
    """Time limits of permits, the same on all instances.

    `request_limit` is the longest permitted route timeout. `start_within`
    bounds the time from the grant to the start of the request. `drift_ratio`
    bounds how much faster one instance's clock may run than another's.
    """

    request_limit: datetime.timedelta = datetime.timedelta(seconds=30)
    start_within: datetime.timedelta = datetime.timedelta(seconds=0.25)
    drift_ratio: float = 0.01


class DeferredReply(NamedTuple):
    """Final reply to a queued request."""

    ticket: int
    reply: messages.PermitGrant | messages.PermitDenial


class PermitIssuer:
    """Issuer of a pool's permits during one uninterrupted lease.

    Limits are the slots of each server, its slow start, and the part of its
    slots that one instance may use. `since` is when the lease began and
    `until_s` when it ends; `epoch` prefixes the ids of the permits issued
    under this lease.
    """

    def __init__(
        self,
        since: datetime.timedelta,
        members: frozenset[str],
        stats_by_domain: dict[str, server_stats.RemoteStats],
        epoch: str,
        timing: PoolTiming,
    ):
        self.since = since
        self.until_s = since.total_seconds()
        limit_s = timing.request_limit.total_seconds() * (
            1 + timing.drift_ratio
        )
        self.survey = survey.Survey(members, since.total_seconds(), limit_s)
        self._epoch = epoch
        self._timing = timing
        self._service = configuration.Service('')
        self._permits = issued_permits.IssuedPermitTable()
        self._queue = fair_queue.FairQueue()
        self._waiting: dict[int, fair_queue.QueuedRequest] = {}
        self._evicted: list[fair_queue.QueuedRequest] = []
        self._ejector = outlier_ejection.OutlierEjector()
        self._ejector.remote_stats = stats_by_domain
        self._selector = slot_selection.SlotSelector(
            self._permits, self.survey, self._ejector
        )
        self._next_permit = 1

    def load_service(
        self,
        service: configuration.Service,
        servers: tuple[configuration.BackendServer, ...],
        out: frozenset[str],
        now_s: float,
    ) -> None:
        """Replace the service and its servers in this domain.

        `out` names the servers that must get no requests.
        """
        self._service = service
        self._ejector.load_servers(servers, out, service.floor_fraction, now_s)

    def record_survey_reply(
        self, sender: str, reply: messages.SurveyReply, now_s: float
    ) -> None:
        """Add the permits that a member reported as in use.

        Permits issued under this lease are in the table already.
        """
        if not self.survey.record_reply(sender):
            return
        for permit in reply.permits:
            if permit.permit_id.startswith(self._epoch):
                continue
            expires_s = now_s + permit.remaining_s * (
                1 + self._timing.drift_ratio
            )
            self._permits.add(
                issued_permits.IssuedPermit(
                    permit.permit_id, permit.server, sender, now_s, expires_s
                )
            )

    def request_permit(
        self, queued: fair_queue.QueuedRequest, now_s: float
    ) -> messages.PermitGrant | messages.PermitDenial | None:
        """Return the reply, or None if the request was queued."""
        self._permits.record_activity(queued.sender, now_s)
        self._update(now_s)
        denial = self._find_denial(queued, now_s)
        if denial:
            return denial
        grant = self._try_grant(queued, not len(self._queue), now_s)
        if grant:
            return grant
        if not queued.request.may_queue:
            ahead = len(self._queue) + 1
            wait_s = self._selector.estimate_wait_s(ahead, now_s)
            return messages.PermitDenial('pool_busy', wait_s)
        if len(self._queue) >= self._service.queue_limit:
            evicted = self._queue.find_evictable(queued.customer)
            if evicted is None:
                return _deny_busy('pool_busy')
            self._queue.remove(evicted)
            self._evicted.append(evicted)
        self._waiting[queued.ticket] = queued
        self._queue.add(queued)
        return None

    def finish_permit(
        self, report: messages.PermitReport, sender: str, now_s: float
    ) -> None:
        """Release the slot of a finished request and record the evidence.

        Ignores reports of unknown permits and of permits of other senders.
        """
        self._permits.record_activity(sender, now_s)
        permit = self._permits.find(report.permit_id)
        if permit is None or permit.sender != sender or permit.is_ended:
            return
        record = self._ejector.records.get(permit.server)
        self._release_slot(permit, report, record, now_s)
        if record is None:
            return
        if permit.is_trial:
            record.record_trial(report, now_s)
        elif record.state == 'in use':
            record.record_report(report, permit.granted_s, now_s)

    def advance(self, now_s: float) -> Iterator[DeferredReply]:
        """Yield replies to the queued requests that can be answered now."""
        self._update(now_s)
        if not self._waiting:
            return
        service_s = self._selector.estimate_service_s(now_s)
        for queued in self._queue.list_late(now_s, service_s):
            self._queue.remove(queued)
            is_too_late = queued.deadline_s < now_s + service_s
            code = 'deadline_too_short' if is_too_late else 'pool_busy'
            yield self._make_deferred_reply(queued, _deny_busy(code))
        yield from self._grant_queued(now_s)
        for queued in self._evicted:
            yield self._make_deferred_reply(queued, _deny_busy('pool_busy'))
        self._evicted.clear()

    def _grant_queued(self, now_s: float) -> Iterator[DeferredReply]:
        """Yield grants until no queued request can get a slot.

        Each grant passes the turn to the next customer, so the iteration
        starts again after it.
        """
        while self._selector.has_free_slot(now_s):
            for queued in self._queue.iterate():
                grant = self._try_grant(queued, True, now_s)
                if grant:
                    break
            else:
                return
            self._queue.dequeue(queued)
            yield self._make_deferred_reply(queued, grant)

    def cancel(self, ticket: int) -> None:
        """Remove a queued request without replying to it."""
        queued = self._waiting.pop(ticket, None)
        if queued in self._evicted:
            self._evicted.remove(queued)
        elif queued:
            self._queue.remove(queued)

    def close(self) -> list[DeferredReply]:
        """Return denials for all queued requests, as the lease has ended."""
        denial = messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        return [DeferredReply(ticket, denial) for ticket in self._waiting]

    def summarize(self, now_s: float) -> messages.PoolSummaryReply:
        """Return recent evidence on the servers in use."""
        return messages.PoolSummaryReply(
            tuple(
                record.summarize(
                    self._permits.list_request_ages(record.server.name, now_s),
                    now_s,
                )
                for record in self._ejector.records_in_use
            )
        )

    def list_server_snapshots(
        self, now_s: float
    ) -> tuple[slot_selection.ServerSnapshot, ...]:
        """Return the state of each server, for operators."""
        self._update(now_s)
        return self._selector.list_server_snapshots(now_s)

    def _update(self, now_s: float) -> None:
        self._permits.expire(now_s)
        self._ejector.evaluate(self._permits.list_request_ages, now_s)

    def _make_deferred_reply(
        self,
        queued: fair_queue.QueuedRequest,
        reply: messages.PermitGrant | messages.PermitDenial,
    ) -> DeferredReply:
        del self._waiting[queued.ticket]
        return DeferredReply(queued.ticket, reply)

    def _find_denial(
        self, queued: fair_queue.QueuedRequest, now_s: float
    ) -> messages.PermitDenial | None:
        """Return a denial if the request cannot be served here."""
        if self.survey.is_pending(queued.sender, now_s):
            return messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        usable = [
            record
            for record in self._ejector.records_in_use
            if record.server.name not in queued.request.excluded
        ]
        if not usable:
            return messages.PermitDenial(
                'no_backend_server', _NO_SERVER_RETRY_S
            )
        if self.survey.is_open(now_s) and all(
            self.survey.count_assumed(record.server.slots, now_s)
            >= record.server.slots
            for record in usable
        ):
            return messages.PermitDenial('pool_unavailable', _SURVEY_RETRY_S)
        ahead = self._queue.count_ahead(queued.customer, queued.deadline_s)
        service_s = self._selector.estimate_service_s(now_s)
        wait_s = self._selector.estimate_wait_s(ahead, now_s) if ahead else 0.0
        if queued.deadline_s - now_s < service_s + wait_s:
            return _deny_busy('deadline_too_short')
        if now_s + wait_s > queued.queue_deadline_s:
            return _deny_busy('pool_busy')
        return None

    def _try_grant(
        self,
        queued: fair_queue.QueuedRequest,
        may_use_slot: bool,
        now_s: float,
    ) -> messages.PermitGrant | None:
        """Return a grant of a trial or, if `may_use_slot`, of a free slot."""
        record = self._selector.choose_trial_server(
            queued.request, queued.sender, now_s
        )
        is_trial = record is not None
        if record is None and may_use_slot:
            record = self._selector.choose_server(
                queued.request, queued.sender, now_s
            )
        if record is None or now_s >= self.until_s:
            return None
        if is_trial:
            self._ejector.spend_trial(now_s)
        permit_id = f'{self._epoch}{self._next_permit:x}'
        self._next_permit += 1
        record.last_granted_s = now_s
        self._permits.add(
            issued_permits.IssuedPermit(
                permit_id,
                record.server.name,
                queued.sender,
                now_s,
                queued.deadline_s,
                is_trial,
            )
        )
        # The instance counts this from its request, so the queueing time is
        # added.
        within_s = (
            now_s - queued.requested_s + self._compute_start_window_s(now_s)
        )
        return messages.PermitGrant(permit_id, record.server.name, within_s)

    def _compute_start_window_s(self, now_s: float) -> float:
        within_s = self._timing.start_within.total_seconds()
        return min(within_s, self.until_s - now_s)

    def _release_slot(
        self,
        permit: issued_permits.IssuedPermit,
        report: messages.PermitReport,
        record: server_records.ServerRecord | None,
        now_s: float,
    ) -> None:
        """Release the permit's slot unless the request may still be running.

        In that case the slot is released when the permit expires.
        """
        if report.outcome not in _POSSIBLY_RUNNING:
            self._permits.remove(permit.permit_id)
            return
        expires_s = permit.expires_s
        is_warm = record and record.is_in_use and not record.slow_start.is_cold
        if report.outcome == 'cancelled' and is_warm:
            latency_bound_s = (
                _CANCEL_LATENCY_FACTOR * record.baseline.latency_s
            )
            expires_s = min(
                expires_s,
                permit.granted_s + max(latency_bound_s, _MIN_CANCEL_S),
            )
        self._permits.add(permit._replace(expires_s=expires_s, is_ended=True))
