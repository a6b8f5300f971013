"""How an entry instance obtains tokens and permits from their holders."""

import datetime
import random
from typing import Any
from typing import Callable
from typing import Iterable
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import allotments
from cranberryscale.process import attempts
from cranberryscale.process import budgets
from cranberryscale.process import calls
from cranberryscale.process import facts as share_facts
from cranberryscale.process import ledger
from cranberryscale.process import placement
from cranberryscale.request import actions
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = ['Admission', 'Fleet']

# After a call to a holder failed it is asked last for this long.
SILENCE = datetime.timedelta(seconds=1)
# A pool that was busy is asked last for this long.
BUSY = datetime.timedelta(milliseconds=50)
ZERO = datetime.timedelta()
RETRY_S = 0.25
REPORT_ATTEMPTS = 4
# Over the 50 ms between two calls, so that no token expires in between.
RETURN_MARGIN = datetime.timedelta(milliseconds=55)
REPORT_PAUSE = datetime.timedelta(milliseconds=50)

# Of several denials, the one that tells the caller most goes first.
_DENIAL_ORDER = (
    'pool_busy',
    'deadline_too_short',
    'no_backend_server',
    'pool_unavailable',
)


class Fleet(NamedTuple):
    """Give what admission needs to know of the rest of the instance."""

    name: str
    domain: str
    peer_timeout: datetime.timedelta
    get_configuration: Callable[[], configuration.Configuration]
    find_holder: Callable[[view.Resource], str | None]


class Admission:
    """Own the tokens and permits of this entry instance."""

    def __init__(self, fleet: Fleet, terms: Any, rng: random.Random):
        self._fleet = fleet
        self._random = rng
        self._terms = terms
        self.allotments = allotments.Allotments(terms)
        self.ledger = ledger.PermitLedger()
        self._silent_until: dict[str, datetime.timedelta] = {}
        self._busy_until: dict[ledger.Pool, datetime.timedelta] = {}
        self._reports: dict[ledger.Pool, list[messages.PermitReport]] = {}
        self._tokens: dict[str, Any] = {}
        self._indexed: configuration.Configuration | None = None
        self._domains: dict[str, tuple[str, ...]] = {}

    def plan_tokens(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Return TokensGranted or Denied for one request."""
        shares = placement.list_shares(
            self._fleet.get_configuration(), customer
        )
        # A token that was asked for before may have been spent.
        self.settle_token(request_id, True, now)
        if not shares:
            return actions.Denied('key_unknown')
        attempt = attempts.Attempt(
            self.allotments,
            shares,
            self._fleet.domain,
            self._terms,
            self._random,
            request_id,
        )
        steps = attempt.run(now, once_key)
        event: Any = None
        while True:
            try:
                step = steps.send(event)
            except StopIteration as end:
                if once_key and isinstance(end.value, attempts.Refused):
                    yield from self._forget_once(
                        customer, once_key, request_id, end.value, now
                    )
                return self._judge_tokens(request_id, end.value)
            match step:
                case budgets.Ask():
                    event = yield from self._ask_share(step, now)
                    now = event.now
                case attempts.Pause(delay):
                    now = event = (yield calls.Wait(delay)).now

    def _forget_once(self, customer, once_key, request_id, end, now):
        """Free an idempotency key that was registered but got no token.

        Otherwise the caller's next attempt would be refused as a duplicate.
        """
        if not end.code.startswith('duplicate_'):
            yield from self.plan_finish_once(
                customer, once_key, request_id, errors.NOT_RUN, now
            )

    def _ask_share(self, ask: budgets.Ask, now: datetime.timedelta):
        holder = self._fleet.find_holder(ask.share.resource)
        if self._silent_until.get(holder, ZERO) > now:
            holder = None
        reply = yield from calls.ask(
            holder, ask.message, self._fleet.peer_timeout, now
        )
        self._note_reply(holder, reply)
        return share_facts.Answer(reply.message, reply.sent_at, reply.now)

    def _judge_tokens(
        self, request_id: str, end: attempts.Admitted | attempts.Refused
    ) -> actions.TokensGranted | actions.Denied:
        match end:
            case attempts.Admitted(token=token):
                self._tokens[request_id] = token
                return actions.TokensGranted(token.expires)
            case attempts.Refused(code=code, retry_after=retry_after):
                return actions.Denied(code, retry_after)

    def settle_token(
        self, request_id: str, is_spent: bool, now: datetime.timedelta
    ) -> None:
        """End the use of a request's token, which may serve another."""
        token = self._tokens.pop(request_id, None)
        if token is not None:
            self.allotments.settle(token, is_spent, now)

    def _note_reply(self, holder: str | None, reply: calls.Reply) -> None:
        if holder is None or reply.error is None:
            return
        if reply.error.code == 'peer_unreachable':
            self._silent_until[holder] = reply.now + SILENCE

    def plan_permit(
        self,
        action: actions.AskPermit,
        request_id: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Return PermitGranted or Denied for one attempt.

        Pools with a free slot are preferred, the own failure domain's
        first; then the request queues at the pool with the shortest wait.
        """
        attempt = _Attempt(action, request_id, now + action.remaining)
        denials: dict[ledger.Pool, messages.PermitDenial] = {}
        for pool in self._order_pools(action.service, now):
            answer, now = yield from self._ask_pool(pool, attempt, now, False)
            if isinstance(answer, actions.PermitGranted):
                return answer
            denials[pool] = answer
        busy = [p for p, d in denials.items() if d.code == 'pool_busy']
        if busy:
            pool = min(busy, key=lambda p: denials[p].retry_after_s)
            answer, now = yield from self._ask_pool(pool, attempt, now, True)
            if isinstance(answer, actions.PermitGranted):
                return answer
            denials[pool] = answer
        return _judge_denials(denials.values())

    def _order_pools(
        self, service: str, now: datetime.timedelta
    ) -> tuple[ledger.Pool, ...]:
        def rank(domain):
            pool = ledger.Pool(service, domain)
            holder = self._fleet.find_holder(
                placement.make_pool(service, domain)
            )
            return (
                self._silent_until.get(holder, ZERO) > now,
                self._busy_until.get(pool, ZERO) > now,
                domain != self._fleet.domain,
                self._random.random(),
            )

        ordered = sorted(self._list_domains(service), key=rank)
        return tuple(ledger.Pool(service, domain) for domain in ordered)

    def _list_domains(self, service: str) -> tuple[str, ...]:
        """Return the failure domains that have servers in service."""
        current = self._fleet.get_configuration()
        if current is not self._indexed:
            found: dict[str, set[str]] = {}
            for server in current.servers.values():
                if not current.is_server_out(server):
                    found.setdefault(server.service, set()).add(server.domain)
            self._domains = {k: tuple(sorted(v)) for k, v in found.items()}
            self._indexed = current
        return self._domains.get(service, ())

    def _ask_pool(
        self,
        pool: ledger.Pool,
        attempt: '_Attempt',
        now: datetime.timedelta,
        may_queue: bool,
    ):
        """Return the permit or a denial, and the time."""
        holder = self._fleet.find_holder(placement.make_pool(*pool))
        remaining = attempt.until - now
        message = messages.TakePermit(
            *pool,
            attempt.request_id,
            attempt.action.customer,
            remaining.total_seconds(),
            attempt.action.excluded,
            attempt.action.probe_ok,
            may_queue,
        )
        timeout = self._fleet.peer_timeout
        if may_queue:
            timeout = max(timeout, remaining)
        reply = yield from calls.ask(holder, message, timeout, now)
        self._note_reply(holder, reply)
        return self._take_reply(pool, attempt, reply), reply.now

    def _take_reply(
        self, pool: ledger.Pool, attempt: '_Attempt', reply: calls.Reply
    ) -> actions.PermitGranted | messages.PermitDenial:
        match reply.message:
            case messages.PermitGrant() as grant:
                return self._take_grant(pool, attempt, grant, reply)
            case messages.PermitDenial(code=code) as denial:
                if code == 'pool_busy':
                    self._busy_until[pool] = reply.now + BUSY
                return denial
        return messages.PermitDenial('pool_unavailable', RETRY_S)

    def _take_grant(
        self,
        pool: ledger.Pool,
        attempt: '_Attempt',
        grant: messages.PermitGrant,
        reply: calls.Reply,
    ) -> actions.PermitGranted | messages.PermitDenial:
        use = ledger.Use(grant.permit_id, grant.server, pool, attempt.until)
        start = datetime.timedelta(seconds=grant.start_within_s)
        start_until = reply.sent_at + start
        if self.ledger.add(use, reply.sent_at):
            return actions.PermitGranted(
                grant.permit_id, grant.server, start_until
            )
        self._queue_report(
            pool,
            messages.PermitReport(
                grant.permit_id, grant.server, 'unused', 0.0
            ),
        )
        return messages.PermitDenial('pool_unavailable', RETRY_S)

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Give a permit back; the report leaves with plan_reports."""
        use = self.ledger.finish(action.permit_id)
        if use is not None:
            self._queue_report(
                use.pool,
                messages.PermitReport(
                    action.permit_id,
                    action.server,
                    action.outcome,
                    action.latency.total_seconds(),
                    action.cold,
                ),
            )

    def _queue_report(
        self, pool: ledger.Pool, report: messages.PermitReport
    ) -> None:
        self._reports.setdefault(pool, []).append(report)

    def list_reporting(self) -> tuple[ledger.Pool, ...]:
        """Return the pools that have reports to send."""
        return tuple(self._reports)

    def plan_reports(
        self, pool: ledger.Pool, now: datetime.timedelta
    ) -> calls.Plan:
        """Send all reports of a pool to its holder.

        Reports that do not arrive are dropped after some attempts: the
        permits then expire with their requests' deadlines.
        """
        reports = tuple(self._reports.pop(pool, ()))
        for attempt in range(REPORT_ATTEMPTS):
            holder = self._fleet.find_holder(placement.make_pool(*pool))
            reply = yield from calls.ask(
                holder,
                messages.PermitReports(*pool, reports),
                self._fleet.peer_timeout,
                now,
            )
            if reply.error is None or not reports:
                return
            now = (yield calls.Wait(REPORT_PAUSE * (attempt + 1))).now

    def answer_survey(
        self, message: messages.SurveyPool, now: datetime.timedelta
    ) -> messages.SurveyReply:
        """Return the permits of a pool in use at this instance."""
        pool = ledger.Pool(message.service, message.domain)
        return self.ledger.answer_survey(pool, now)

    def plan_returns(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield plans that give back tokens before they expire."""
        for ask in self.allotments.collect_returns(now, RETURN_MARGIN):
            holder = self._fleet.find_holder(ask.share.resource)
            yield calls.ask(holder, ask.message, self._fleet.peer_timeout, now)

    def plan_finish_once(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        ran: str,
        now: datetime.timedelta,
    ) -> calls.Plan:
        """Tell the holder of share 0 how a request ended.

        A holder that does not learn of it goes on refusing repeats as
        running, so the message is sent again a few times.
        """
        message = messages.FinishOnce(
            customer, once_key, f'{request_id}/0', ran != errors.NOT_RUN
        )
        for attempt in range(REPORT_ATTEMPTS):
            shares = placement.list_shares(
                self._fleet.get_configuration(), customer
            )
            if not shares:
                return
            holder = self._fleet.find_holder(shares[0].resource)
            reply = yield from calls.ask(
                holder, message, self._fleet.peer_timeout, now
            )
            if reply.error is None:
                return
            now = (yield calls.Wait(REPORT_PAUSE * (attempt + 1))).now

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget what no longer matters."""
        self.allotments.drop_idle(now)
        self.ledger.expire(now)
        for known in (self._silent_until, self._busy_until):
            for key in [k for k, until in known.items() if until <= now]:
                del known[key]


class _Attempt(NamedTuple):
    action: actions.AskPermit
    request_id: str
    until: datetime.timedelta


def _judge_denials(
    denials: Iterable[messages.PermitDenial],
) -> actions.Denied:
    found = {denial.code: denial for denial in denials}
    for code in _DENIAL_ORDER:
        if code in found:
            retry = datetime.timedelta(seconds=found[code].retry_after_s)
            return actions.Denied(code, retry)
    if found:
        code, denial = next(iter(found.items()))
        retry = datetime.timedelta(seconds=denial.retry_after_s)
        return actions.Denied(code, retry)
    return actions.Denied('no_backend_server', datetime.timedelta(seconds=1))
