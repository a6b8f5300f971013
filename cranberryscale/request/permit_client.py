"""Client of pool holders: obtains permits and returns them."""

import datetime
import random
from typing import Iterable
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import calls
from cranberryscale.process import local_permits
from cranberryscale.process import placement
from cranberryscale.request import actions
from cranberryscale.request import holder_client
from cranberryscale.version import configuration


__all__ = ['PermitClient']

# A pool that was busy is tried last for this long.
BUSY_TIME = datetime.timedelta(milliseconds=50)
RETRY_AFTER_S = 0.25

# Of several denials, the most informative one for the caller comes first.
_DENIAL_ORDER = (
    'pool_busy',
    'deadline_too_short',
    'no_backend_server',
    'pool_unavailable',
)


class PermitClient(holder_client.HolderClient):
    """Client that obtains permits and tracks those in use here."""

    def __init__(
        self, instance: holder_client.InstanceContext, rng: random.Random
    ):
        super().__init__(instance)
        self._random = rng
        self._permits = local_permits.LocalPermitTable()
        self._busy_until: dict[local_permits.PoolKey, datetime.timedelta] = {}
        self._reports: dict[
            local_permits.PoolKey, list[messages.PermitReport]
        ] = {}
        self._indexed_configuration: configuration.Configuration | None = None
        self._domains: dict[str, tuple[str, ...]] = {}

    def plan_permit(
        self,
        action: actions.AskPermit,
        request_id: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Return PermitGranted or AdmissionDenied for one attempt.

        Pools with a free slot are preferred, first that of the own failure
        domain. If all are busy, the request queues at the pool with the
        shortest wait.
        """
        request = _PermitRequest(action, request_id, now + action.remaining)
        denials: dict[local_permits.PoolKey, messages.PermitDenial] = {}
        for pool in self._order_pools(action.service, now):
            reply, now = yield from self._request_permit(
                pool, request, now, False
            )
            if isinstance(reply, actions.PermitGranted):
                return reply
            denials[pool] = reply
        busy = [p for p, d in denials.items() if d.code == 'pool_busy']
        if busy:
            pool = min(busy, key=lambda p: denials[p].retry_after_s)
            reply, now = yield from self._request_permit(
                pool, request, now, True
            )
            if isinstance(reply, actions.PermitGranted):
                return reply
            denials[pool] = reply
        return _choose_denial(denials.values())

    def _order_pools(
        self, service: str, now: datetime.timedelta
    ) -> tuple[local_permits.PoolKey, ...]:
        def rank(domain):
            pool = local_permits.PoolKey(service, domain)
            holder = self._instance.find_holder(
                placement.make_pool_resource(service, domain)
            )
            return (
                self._is_unresponsive(holder, now),
                self._busy_until.get(pool, holder_client.ZERO) > now,
                domain != self._instance.domain,
                self._random.random(),
            )

        ordered = sorted(self._list_domains(service), key=rank)
        return tuple(
            local_permits.PoolKey(service, domain) for domain in ordered
        )

    def _list_domains(self, service: str) -> tuple[str, ...]:
        """Return the failure domains with servers of the service in use."""
        current = self._instance.get_configuration()
        if current is not self._indexed_configuration:
            found: dict[str, set[str]] = {}
            for server in current.servers.values():
                if not current.is_server_out(server):
                    found.setdefault(server.service, set()).add(server.domain)
            self._domains = {k: tuple(sorted(v)) for k, v in found.items()}
            self._indexed_configuration = current
        return self._domains.get(service, ())

    def _request_permit(
        self,
        pool: local_permits.PoolKey,
        request: '_PermitRequest',
        now: datetime.timedelta,
        may_queue: bool,
    ):
        """Return the permit or the denial, and the current time."""
        holder = self._instance.find_holder(
            placement.make_pool_resource(*pool)
        )
        remaining = request.until - now
        message = messages.TakePermit(
            *pool,
            request.request_id,
            request.action.customer,
            remaining.total_seconds(),
            request.action.excluded,
            request.action.probe_ok,
            may_queue,
        )
        timeout = self._instance.peer_timeout
        if may_queue:
            timeout = max(timeout, remaining)
        result = yield from calls.call_member(holder, message, timeout, now)
        self._record_result(holder, result)
        return self._apply_result(pool, request, result), result.now

    def _apply_result(
        self,
        pool: local_permits.PoolKey,
        request: '_PermitRequest',
        result: calls.CallResult,
    ) -> actions.PermitGranted | messages.PermitDenial:
        match result.message:
            case messages.PermitGrant() as grant:
                return self._apply_grant(pool, request, grant, result)
            case messages.PermitDenial(code=code) as denial:
                if code == 'pool_busy':
                    self._busy_until[pool] = result.now + BUSY_TIME
                return denial
        return messages.PermitDenial('pool_unavailable', RETRY_AFTER_S)

    def _apply_grant(
        self,
        pool: local_permits.PoolKey,
        request: '_PermitRequest',
        grant: messages.PermitGrant,
        result: calls.CallResult,
    ) -> actions.PermitGranted | messages.PermitDenial:
        permit = local_permits.LocalPermit(
            grant.permit_id, grant.server, pool, request.until
        )
        start = datetime.timedelta(seconds=grant.start_within_s)
        start_until = result.sent_at + start
        if self._permits.add(permit, result.sent_at):
            return actions.PermitGranted(
                grant.permit_id, grant.server, start_until
            )
        self._queue_report(
            pool,
            messages.PermitReport(
                grant.permit_id, grant.server, 'unused', 0.0
            ),
        )
        return messages.PermitDenial('pool_unavailable', RETRY_AFTER_S)

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Return a permit; plan_reports sends the report."""
        permit = self._permits.remove(action.permit_id)
        if permit is not None:
            self._queue_report(
                permit.pool,
                messages.PermitReport(
                    action.permit_id,
                    action.server,
                    action.outcome,
                    action.latency.total_seconds(),
                    action.cold,
                ),
            )

    def _queue_report(
        self, pool: local_permits.PoolKey, report: messages.PermitReport
    ) -> None:
        self._reports.setdefault(pool, []).append(report)

    def list_unreported_pools(self) -> tuple[local_permits.PoolKey, ...]:
        """Return the pools with reports that are not yet sent."""
        return tuple(self._reports)

    def plan_reports(
        self, pool: local_permits.PoolKey, now: datetime.timedelta
    ) -> calls.Plan:
        """Send all reports of a pool to its holder.

        Reports that cannot be delivered are dropped after REPORT_ATTEMPTS
        attempts; the permits then expire with their requests' deadlines.
        """
        reports = tuple(self._reports.pop(pool, ()))
        for attempt in range(holder_client.REPORT_ATTEMPTS):
            holder = self._instance.find_holder(
                placement.make_pool_resource(*pool)
            )
            result = yield from calls.call_member(
                holder,
                messages.PermitReports(*pool, reports),
                self._instance.peer_timeout,
                now,
            )
            if result.error is None or not reports:
                return
            now = (
                yield calls.Sleep(
                    holder_client.REPORT_RETRY_DELAY * (attempt + 1)
                )
            ).now

    def answer_survey(
        self, message: messages.SurveyPool, now: datetime.timedelta
    ) -> messages.SurveyReply:
        """Return the permits of a pool that are in use at this instance."""
        pool = local_permits.PoolKey(message.service, message.domain)
        return self._permits.answer_survey(pool, now)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Remove expired permits and the state of holders and pools."""
        self._permits.expire(now)
        self._remove_expired(now)
        for pool, until in tuple(self._busy_until.items()):
            if until <= now:
                del self._busy_until[pool]


class _PermitRequest(NamedTuple):
    action: actions.AskPermit
    request_id: str
    until: datetime.timedelta


def _choose_denial(
    denials: Iterable[messages.PermitDenial],
) -> actions.AdmissionDenied:
    found = {denial.code: denial for denial in denials}
    for code in _DENIAL_ORDER:
        if code in found:
            retry_after = datetime.timedelta(seconds=found[code].retry_after_s)
            return actions.AdmissionDenied(code, retry_after)
    if found:
        code, denial = next(iter(found.items()))
        retry_after = datetime.timedelta(seconds=denial.retry_after_s)
        return actions.AdmissionDenied(code, retry_after)
    return actions.AdmissionDenied(
        'no_backend_server', datetime.timedelta(seconds=1)
    )
