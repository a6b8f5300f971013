"""How a request gets its place: from holders, or alone when they are silent.

An instance that gets no answer decides by itself at once: it admits from its
own part of the customer's rate, chooses a server by what it last heard and
makes no second attempts.
"""

import datetime
from typing import NamedTuple

from cranberryscale import clock as clocks
from cranberryscale import core as cores
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale import messages
from cranberryscale.process import metrics
from cranberryscale.process import shards
from cranberryscale.request import actions
from cranberryscale.request import routes
from cranberryscale.version import configuration
from cranberryscale.version import keys


__all__ = ['CoreAdmission', 'CoreDecisionContext']

# A permit or admission is used at once; a process that was paused for longer
# asks again.
VALID = datetime.timedelta(seconds=1)
ALONE = 'alone'
# How often an instance that starts asks for tokens again. Holders may start as
# well, and then know within some tenths of a second what they may give.
START_PAUSE = datetime.timedelta(milliseconds=100)
# A second queue is tried if the first turns the request away after all.
QUEUES_TRIED = 2


class _Question(NamedTuple):
    """Hold what is asked of a shard's holder, and since when."""

    action: actions.AskPermit
    request_id: str
    began: datetime.timedelta
    shard: shards.Shard
    may_wait: bool
    # Whether another queue has been tried before.
    is_second: bool = False


class _Offer(NamedTuple):
    """Hold the answer of a shard's holder."""

    shard: shards.Shard
    holder: str
    reply: messages.ServerReply


def _rank_offer(offer: _Offer) -> tuple[bool, int, float]:
    """Rank the shortest queue for good servers first.

    Servers that fail at once have room, so their queue is the shortest.
    """
    reply = offer.reply
    return (bool(reply.code), reply.doubt, reply.wait_s)


class CoreDecisionContext:
    """Answer request.actions.Facts from a core."""

    def __init__(self, core: cores.Core, clock: clocks.Clock):
        self.routes = routes.SlashPrefixRouteTable()
        self._core = core
        self._clock = clock

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force, or raise NotReady."""
        return self._core.current_configuration

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""
        return self._clock.read_elapsed()

    def can_serve_keyed_requests(self) -> bool:
        """Serve by the last known keys, however old.

        An instance that nobody can tell of a withdrawal still serves; see
        docs/limits.md.
        """
        return True

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key that is valid now, or None."""
        try:
            return keys.find_customer(self.get_configuration(), key).name
        except errors.RequestError:
            return None


class CoreAdmission:
    """Do what the gateway needs from other instances.

    Until `started_by`, requests wait for tokens rather than be refused:
    holders that have just started themselves give out little.
    """

    def __init__(
        self,
        fleet: core_driver.CoreDriver,
        facts: CoreDecisionContext,
        clock: clocks.Clock,
        recorded: metrics.Metrics,
        started_by: datetime.timedelta = datetime.timedelta(0),
    ):
        self.context = facts
        self._fleet = fleet
        self._core = fleet.core
        self._clock = clock
        self._metrics = recorded
        self._started_by = started_by

    # Customers' rates

    def ask_tokens(
        self, action: actions.AskTokens, request_id: str
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        """Return whether the request is inside its customer's rate."""
        customer = self.context.get_configuration().customers.get(
            action.customer
        )
        if customer is not None and customer.rate_per_s <= 0:
            return self._grant_tokens()
        while True:
            reply = self._ask_quota_logged(action.customer, request_id)
            if reply.is_admitted:
                return self._grant_tokens()
            pause = datetime.timedelta(seconds=reply.retry_after_s)
            left = self._started_by - self._clock.read_elapsed()
            if left <= datetime.timedelta(0):
                return actions.AdmissionDenied('rate_exceeded', pause)
            self._clock.sleep(min(pause, left, START_PAUSE))

    def _ask_quota_logged(
        self, customer: str, request_id: str
    ) -> messages.QuotaReply:
        reply, holder = self._ask_quota(customer)
        logs.log_event(
            'quota',
            request_id=request_id,
            customer=customer,
            holder=holder,
            admitted=reply.is_admitted,
            retry_after_s=round(reply.retry_after_s, 3),
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        return reply

    def _grant_tokens(self) -> actions.TokensGranted:
        # Admission is not asked for again while the request runs.
        day = datetime.timedelta(days=1)
        until = self._clock.read_elapsed() + day
        return actions.TokensGranted(until, covers_repeats=True)

    def _ask_quota(self, customer: str) -> tuple[messages.QuotaReply, str]:
        with self._fleet.lock:
            now = self._clock.read_elapsed()
            holder = self._core.find_quota_holder(customer, now)
        if not self._fleet.is_unresponsive(holder):
            try:
                reply = self._fleet.call_instance(
                    holder,
                    messages.AskQuota(customer),
                    core_driver.HOLDER_TIMEOUT,
                )
                return reply, holder
            except errors.FleetError as error:
                self._note_alone('quota', holder, error)
        with self._fleet.lock:
            admission = self._core.admit_locally(
                customer, self._clock.read_elapsed()
            )
        retry_s = admission.retry_after.total_seconds()
        return messages.QuotaReply(admission.is_admitted, retry_s), ALONE

    def _note_alone(
        self, matter: str, holder: str, error: errors.FleetError
    ) -> None:
        self._metrics.count('decisions_alone', matter=matter)
        logs.log_event(
            'decided_alone', matter=matter, holder=holder, code=error.code
        )

    # Backend servers

    def ask_permit(
        self, action: actions.AskPermit, request_id: str
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Return a permit, waiting in the pool's queue if need be."""
        began = self._clock.read_elapsed()
        result = self._ask_servers(action, request_id, began)
        waited = self._clock.read_elapsed() - began
        self._metrics.record('step_seconds', waited, step='permit')
        return result

    def _ask_servers(
        self,
        action: actions.AskPermit,
        request_id: str,
        began: datetime.timedelta,
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        with self._fleet.lock:
            asked = self._core.list_shards(action.service, request_id)
        offers = []
        for shard in asked:
            # A free slot in another domain goes before a place in a queue.
            question = _Question(action, request_id, began, shard, False)
            offer = self._ask_shard(question)
            if offer is not None and offer.reply.server:
                return self._take_reply(question, offer)
            if offer is not None:
                offers.append(offer)
        if asked and not offers:
            return self._choose_alone(action, request_id)
        answer = actions.AdmissionDenied(
            'no_backend_server', action.target / 4
        )
        ranked = sorted(offers, key=_rank_offer)[:QUEUES_TRIED]
        for number, offer in enumerate(ranked):
            question = _Question(
                action, request_id, began, offer.shard, True, number > 0
            )
            answer = self._wait_in_queue(question)
            if isinstance(answer, actions.PermitGranted):
                return answer
        return answer

    def _wait_in_queue(
        self, question: _Question
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        while True:
            offer = self._ask_shard(question)
            if offer is None:
                return self._choose_alone(question.action, question.request_id)
            if offer.reply.server or offer.reply.code:
                return self._take_reply(question, offer)

    def _ask_shard(self, question: _Question) -> _Offer | None:
        """Return the answer of the shard's holder, None if it is silent."""
        action = question.action
        with self._fleet.lock:
            now = self._clock.read_elapsed()
            holder = self._core.find_shard_holder(question.shard, now)
            unreached = self._core.fallback.list_unreachable(now)
        passed = now - question.began
        remaining = action.remaining - passed
        if remaining <= datetime.timedelta(0):
            reply = messages.ServerReply(code='pool_busy')
            return _Offer(question.shard, holder, reply)
        if self._fleet.is_unresponsive(holder):
            return None
        message = messages.AskServer(
            question.shard,
            f'{question.request_id}/{len(action.excluded)}',
            action.target.total_seconds(),
            (action.waited + passed).total_seconds(),
            remaining.total_seconds(),
            action.priority,
            tuple({*action.excluded, *unreached}),
            action.is_repeat,
            action.probe_ok,
            question.may_wait,
            not (action.excluded or question.is_second),
        )
        timeout = core_driver.HOLDER_TIMEOUT
        if question.may_wait:
            timeout += core_driver.QUEUE_WAIT
        try:
            reply = self._fleet.call_instance(holder, message, timeout)
        except errors.FleetError as error:
            self._note_alone('pool', holder, error)
            return None
        with self._fleet.lock:
            self._core.fallback.record_ejected(question.shard, reply.ejected)
        return _Offer(question.shard, holder, reply)

    def _take_reply(
        self, question: _Question, offer: _Offer
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        action, request_id = question.action, question.request_id
        shard, holder, reply = offer
        logs.log_event(
            'permit',
            request_id=request_id,
            service=action.service,
            domain=shard.domain,
            holder=holder,
            server=reply.server,
            code=reply.code,
            is_repeat=action.is_repeat,
            excluded=','.join(action.excluded),
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        if reply.code:
            return actions.AdmissionDenied(
                reply.code, datetime.timedelta(seconds=reply.retry_after_s)
            )
        patience = datetime.timedelta(seconds=reply.patience_s)
        number = reply.permit_id
        permit_id = (
            f'{holder} {number} {shard.index} {shard.count} {shard.domain}'
        )
        return self._grant(reply.server, permit_id, patience)

    def _choose_alone(
        self, action: actions.AskPermit, request_id: str
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        if action.is_repeat:
            return actions.AdmissionDenied('repeats_spent')
        with self._fleet.lock:
            server = self._core.fallback.choose(
                self.context.get_configuration(),
                action.service,
                self._core.options.domain,
                action.excluded,
                self._clock.read_elapsed(),
            )
        logs.log_event(
            'permit',
            request_id=request_id,
            service=action.service,
            holder=ALONE,
            server=server,
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        if server is None:
            return actions.AdmissionDenied(
                'no_backend_server', action.target / 4
            )
        return self._grant(server, ALONE, None)

    def _grant(
        self,
        server: str,
        permit_id: str,
        patience: datetime.timedelta | None,
    ) -> actions.PermitGranted:
        with self._fleet.lock:
            self._core.fallback.record_start(server)
        until = self._clock.read_elapsed() + VALID
        return actions.PermitGranted(permit_id, server, until, patience)

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Give a permit back; the report is sent by another thread."""
        with self._fleet.lock:
            self._core.fallback.record_end(
                action.server, action.outcome, self._clock.read_elapsed()
            )
        if action.permit_id == ALONE:
            return
        holder, number, index, count, domain = action.permit_id.split(' ', 4)
        self._fleet.send(
            holder,
            messages.FinishRequest(
                shards.Shard(action.service, domain, int(index), int(count)),
                int(number),
                action.outcome,
                action.latency.total_seconds(),
            ),
        )

    def settle_token(self, request_id: str, is_spent: bool) -> None:
        """Do nothing: an admission cannot be given to another request."""

    def finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str
    ) -> None:
        """Do nothing: no instance remembers idempotency keys for others."""
