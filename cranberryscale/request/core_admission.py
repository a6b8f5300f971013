"""Admission by the holders of quotas and shards, with a local fallback.

An instance whose call to a holder fails decides locally at once: it admits
requests from its own part of the customer's rate, chooses a server by the
last known state and makes no second attempts.
"""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import threading
from typing import NamedTuple

from cranberryscale import clock as clocks
from cranberryscale import core as cores
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale import messages
from cranberryscale.process import metrics
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import load_statistics
from cranberryscale.process.pool import server_limits
from cranberryscale.process import quotas
from cranberryscale.process import request_crashes
from cranberryscale.process import shards
from cranberryscale.process import shutdown
from cranberryscale.process import token_queue
from cranberryscale.request import actions
from cranberryscale.request import routes
from cranberryscale.request import token_waits
from cranberryscale.version import configuration
from cranberryscale.version import keys


__all__ = ['CoreAdmission', 'CoreDecisionContext']

# A permit is used at once. A process that was paused for longer than this
# requests a new one.
PERMIT_VALIDITY = datetime.timedelta(seconds=1)
# Stands for the holder in permits and log events of local decisions.
LOCAL_HOLDER = 'alone'
# Longest delay until a starting instance repeats a token request. Holders that
# start at the same time know their rate within some tenths of a second.
STARTUP_RETRY_DELAY = datetime.timedelta(milliseconds=100)
# How often a request asks for a token at most, where holders change meanwhile.
TOKEN_ASK_LIMIT = token_queue.ASK_LIMIT + 3
# Requests that may wait for tokens at a time: half of the threads for callers.
TOKEN_WAITER_LIMIT = 24
# A queued request is told when it has a result; it asks again after this time
# in case that message was lost, and so keeps its place.
QUEUE_POLL_INTERVAL = datetime.timedelta(milliseconds=500)
# How soon the answer to an earlier attempt ends the wait in a queue.
ANSWER_POLL_INTERVAL = datetime.timedelta(milliseconds=20)
# Part of the time to its target that a request waits in the nearest queue
# without asking for a free slot elsewhere.
SHORT_WAIT_RATIO = 0.1
# A second queue is tried if the first one refuses the request after all.
MAX_QUEUES_TRIED = 2


class _ServerQuery(NamedTuple):
    """Request for a server to a shard's holder.

    `started_at` is an elapsed time.
    """

    action: actions.AskPermit
    request_id: str
    started_at: datetime.timedelta
    shard: shards.Shard
    may_wait: bool
    # Whether another queue was tried before.
    is_second_queue: bool = False
    longest_wait: datetime.timedelta = datetime.timedelta(0)
    # Whether a holder that had no server has granted the retry.
    is_paid: bool = False
    # Whether to ask the successor, since the holder does not answer.
    asks_successor: bool = False

    @property
    def message_id(self) -> str:
        """Return the id of the request in messages, new for each attempt."""
        return f'{self.request_id}/{len(self.action.excluded)}'


class _ShardReply(NamedTuple):
    """Reply of a shard's holder."""

    shard: shards.Shard
    holder: str
    reply: messages.ServerReply
    asked_at: datetime.timedelta

    @property
    def has_paid(self) -> bool:
        """Return whether the holder granted a retry without a server."""
        return bool(self.reply.code and self.reply.permit_id)


class _PermitId(NamedTuple):
    """Parts of a permit's id: its holder, and the number and shard there."""

    holder: str
    number: int
    index: int
    count: int
    domain: str

    def make_shard(self, service: str) -> shards.Shard:
        """Return the shard of the service for which the permit is."""
        return shards.Shard(service, self.domain, self.index, self.count)


def _parse_permit_id(permit_id: str) -> _PermitId:
    holder, number, index, count, domain = permit_id.split(' ', 4)
    return _PermitId(holder, int(number), int(index), int(count), domain)


def _rank_reply(shard_reply: _ShardReply) -> tuple[bool, int, float]:
    """Return a sort key: the shortest queue for healthy servers first.

    Queue length alone would prefer servers that fail fast, since these are
    never busy.
    """
    reply = shard_reply.reply
    return (bool(reply.code), reply.doubt, reply.wait_s)


class CoreDecisionContext:
    """actions.DecisionContext that reads from a core."""

    def __init__(self, core: cores.Core, clock: clocks.Clock):
        self.routes = routes.SlashPrefixRouteTable()
        self.shutdown_plan: shutdown.ShutdownPlan | None = None
        self._core = core
        self._clock = clock

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force, or raise NotReady."""
        return self._core.current_configuration

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""
        return self._clock.read_elapsed()

    def can_serve_keyed_requests(self) -> bool:
        """Return whether requests with an API key may be served: always.

        The last known keys are used however old they are, so an instance that
        receives no updates still accepts withdrawn keys; see docs/limits.md.
        """
        return True

    def is_avoided(self, server: str) -> bool:
        """Return whether a server wants no requests of this instance now."""
        return self._core.statements.is_avoided(server, self.read_elapsed())

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a currently valid API key, or None."""
        try:
            return keys.find_customer(self.get_configuration(), key).name
        except errors.RequestError:
            return None


class CoreAdmission:
    """Admission control that asks holders, or decides locally without them.

    Until `started_by`, a denied token is requested again and the request is
    not refused yet, since holders that have just started grant only a few.
    """

    def __init__(
        self,
        driver: core_driver.CoreDriver,
        decision_context: CoreDecisionContext,
        clock: clocks.Clock,
        registry: metrics.Metrics,
        started_by: datetime.timedelta = datetime.timedelta(0),
    ):
        self.context = decision_context
        self._driver = driver
        self._core = driver.core
        self._clock = clock
        self._metrics = registry
        self._started_by = started_by
        self._latencies = load_statistics.LatencyEstimator()
        self._token_waiters = token_waits.WaitLimiter(TOKEN_WAITER_LIMIT)

    # Rate limits of customers

    def ask_tokens(
        self, action: actions.AskTokens, request_id: str
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        """Return a token if the request is within its customer's rate."""
        customer = self.context.get_configuration().customers.get(
            action.customer
        )
        if customer is not None and customer.rate_per_s <= 0:
            return self._grant_tokens()
        # A request that finds all places taken can still book a token.
        can_wait = self._token_waiters.try_acquire()
        try:
            return self._wait_for_token(action, request_id, can_wait)
        finally:
            if can_wait:
                self._token_waiters.release()

    def _wait_for_token(
        self, action: actions.AskTokens, request_id: str, can_wait: bool
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        asked_at = self._clock.read_elapsed()
        asks_left = TOKEN_ASK_LIMIT
        while True:
            elapsed = self._clock.read_elapsed() - asked_at
            wait = self._find_token_wait(action, elapsed)
            reply = self._request_quota(action, request_id, wait, can_wait)
            delay = datetime.timedelta(seconds=reply.delay_s)
            if reply.is_admitted:
                self._clock.sleep(delay)
                return self._grant_tokens()
            time_left = self._started_by - self._clock.read_elapsed()
            if time_left > datetime.timedelta(0):
                self._clock.sleep(min(delay, time_left, STARTUP_RETRY_DELAY))
                continue
            asks_left -= 1
            if not (reply.is_waiting and asks_left):
                return actions.AdmissionDenied('rate_exceeded', delay)
            self._clock.sleep(delay)

    def _find_token_wait(
        self, action: actions.AskTokens, elapsed: datetime.timedelta
    ) -> token_waits.TokenWait:
        target_left = None
        if action.target:
            target_left = action.target - action.waited - elapsed
        return token_waits.find_token_wait(
            target_left,
            action.remaining - elapsed,
            self._latencies.estimate_latency(action.target),
            self._clock.read_elapsed() - self._started_by,
            action.is_urgent,
        )

    def _request_quota(
        self,
        action: actions.AskTokens,
        request_id: str,
        wait: token_waits.TokenWait,
        can_wait: bool,
    ) -> messages.QuotaReply:
        customer = action.customer
        message = messages.AskQuota(customer, wait.on_time.total_seconds())
        if can_wait and wait.late:
            message = message._replace(
                request_id=request_id,
                late_wait_s=wait.late.total_seconds(),
                priority=action.priority,
            )
        reply, holder = self._query_quota_holder(message)
        logs.log_event(
            'quota',
            request_id=request_id,
            customer=customer,
            holder=holder,
            admitted=reply.is_admitted,
            waiting=reply.is_waiting,
            delay_s=round(reply.delay_s, 3),
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        return reply

    def _grant_tokens(self) -> actions.TokensGranted:
        # One admission covers the whole request, further attempts included.
        day = datetime.timedelta(days=1)
        until = self._clock.read_elapsed() + day
        return actions.TokensGranted(until, covers_repeats=True)

    def _query_quota_holder(
        self, message: messages.AskQuota
    ) -> tuple[messages.QuotaReply, str]:
        for holder in self._list_quota_holders(message.customer):
            if self._driver.is_unresponsive(holder):
                continue
            try:
                reply = self._driver.call_instance(
                    holder, message, core_driver.HOLDER_TIMEOUT
                )
                return reply, holder
            except errors.FleetError as error:
                self._record_missing_holder(message.customer, holder, error)
        self._record_local_decision('quota')
        longest_wait = datetime.timedelta(seconds=message.longest_wait_s)
        with self._driver.lock:
            decision = self._core.admit_locally(
                message.customer,
                self._clock.read_elapsed(),
                min(longest_wait, quotas.BOOKING_LIMIT),
            )
        # The next holder is known soon.
        can_return = message.request_id and decision.delay < longest_wait
        reply = messages.QuotaReply(
            decision.is_admitted,
            decision.delay.total_seconds(),
            not decision.is_admitted and bool(can_return),
        )
        return reply, LOCAL_HOLDER

    def _list_quota_holders(self, customer: str) -> Iterator[str]:
        """Yield the holder and its successor, each found when asked for."""
        holders = self._core.list_quota_holders(
            customer, self._clock.read_elapsed()
        )
        while True:
            with self._driver.lock:
                holder = next(holders, None)
            if holder is None:
                return
            yield holder

    def _record_missing_holder(
        self, resource: str, holder: str, error: errors.FleetError
    ) -> None:
        logs.log_event(
            'holder_missing', resource=resource, holder=holder, code=error.code
        )

    def _record_local_decision(self, matter: str) -> None:
        self._metrics.count('decisions_alone', matter=matter)
        logs.log_event('decided_alone', matter=matter)

    # Backend servers

    def ask_permit(
        self,
        action: actions.AskPermit,
        request_id: str,
        is_answered: Callable[[], bool] = lambda: False,
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Return a permit, after waiting in a pool's queue if necessary.

        The wait ends when `is_answered` returns True.
        """
        started_at = self._clock.read_elapsed()
        rest = self._find_common_rest(action.service, started_at)
        if rest:
            return actions.AdmissionDenied('pool_resting', rest)
        paid: list[_ShardReply] = []
        result = self._query_shards(
            action, request_id, started_at, is_answered, paid
        )
        if not isinstance(result, actions.PermitGranted):
            self._return_retries(paid)
        waited = self._clock.read_elapsed() - started_at
        self._metrics.record('step_seconds', waited, step='permit')
        return result

    def _return_retries(self, paid: list[_ShardReply]) -> None:
        """Return the retries for which there was no server."""
        for shard, holder, reply, _ in paid:
            self._driver.send(
                holder,
                messages.FinishRequest(shard, reply.permit_id, 'unused', 0.0),
            )

    def _find_common_rest(
        self, service: str, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return for how long no server of a service wants a request.

        That is zero unless all servers that are in use say so.
        """
        published = self.context.get_configuration()
        with self._driver.lock:
            rests = [
                self._core.statements.find_rest(server.name, now)
                for server in published.servers.values()
                if server.service == service
                and not published.is_server_out(server)
                and not self._core.statements.is_leaving(server.name)
            ]
        return min(rests, default=datetime.timedelta(0))

    def _query_shards(
        self,
        action: actions.AskPermit,
        request_id: str,
        started_at: datetime.timedelta,
        is_answered: Callable[[], bool],
        paid: list[_ShardReply],
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Ask the holders; those that paid for a retry are added to `paid`."""
        with self._driver.lock:
            shards_to_ask = self._core.list_shards(action.service, request_id)
        # The request waits briefly in the nearest shard instead of asking all.
        # Otherwise a surge multiplies the messages that holders handle.
        longest_wait = (action.target - action.waited) * SHORT_WAIT_RATIO
        shard_replies, denied = [], None
        for shard in shards_to_ask:
            # A free slot in another domain is preferred to a longer queue.
            query = _ServerQuery(
                action,
                request_id,
                started_at,
                shard,
                False,
                denied is not None,
                longest_wait,
                bool(paid),
            )
            longest_wait = datetime.timedelta(0)
            with self._driver.follow_result(query.message_id) as ready:
                shard_reply = self._query_shard_holder(query)
                if shard_reply is None:
                    continue
                if shard_reply.reply.is_queued:
                    result = self._wait_in_queue(query, ready, is_answered)
                    if self._is_final(result) or is_answered():
                        return result
                    denied = result
                    continue
            if (
                shard_reply.reply.server
                or shard_reply.reply.code == 'request_crashes'
            ):
                return self._make_event(query, shard_reply)
            if shard_reply.has_paid:
                paid.append(shard_reply)
            shard_replies.append(shard_reply)
        if denied is not None and not shard_replies:
            return denied
        if shards_to_ask and not shard_replies:
            if action.is_repeat:
                granted = self._ask_successors(
                    action, request_id, started_at, shards_to_ask
                )
                if granted is not None:
                    return granted
            self._record_local_decision('pool')
            return self._choose_locally(action, request_id)
        return self._try_queues(
            action,
            request_id,
            started_at,
            shard_replies,
            denied is not None,
            is_answered,
            bool(paid),
        )

    def _ask_successors(
        self,
        action: actions.AskPermit,
        request_id: str,
        started_at: datetime.timedelta,
        shards_to_ask: tuple[shards.Shard, ...],
    ) -> actions.PermitGranted | None:
        """Return the permit of a successor while all holders are silent.

        Instances grant no retries by themselves, and may not know for a time
        that the holders are gone.
        """
        for shard in shards_to_ask:
            query = _ServerQuery(
                action,
                request_id,
                started_at,
                shard,
                False,
                asks_successor=True,
            )
            shard_reply = self._query_shard_holder(query)
            if shard_reply is None:
                continue
            if shard_reply.reply.server:
                return self._make_event(query, shard_reply)
            if shard_reply.has_paid:
                self._return_retries([shard_reply])
        return None

    def _is_final(
        self, result: actions.PermitGranted | actions.AdmissionDenied
    ) -> bool:
        """Return whether no other queue should be tried."""
        return (
            isinstance(result, actions.PermitGranted)
            or result.code == 'request_crashes'
        )

    def _try_queues(
        self,
        action: actions.AskPermit,
        request_id: str,
        started_at: datetime.timedelta,
        shard_replies: list[_ShardReply],
        was_queued: bool,
        is_answered: Callable[[], bool],
        is_paid: bool,
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        result = actions.AdmissionDenied(
            'no_backend_server', action.target / 4
        )
        ranked = sorted(shard_replies, key=_rank_reply)[:MAX_QUEUES_TRIED]
        for number, shard_reply in enumerate(ranked):
            query = _ServerQuery(
                action,
                request_id,
                started_at,
                shard_reply.shard,
                True,
                was_queued or number > 0,
                is_paid=is_paid,
            )
            with self._driver.follow_result(query.message_id) as ready:
                ready.set()
                result = self._wait_in_queue(query, ready, is_answered)
            if isinstance(result, actions.PermitGranted) or is_answered():
                return result
        return result

    def _wait_in_queue(
        self,
        query: _ServerQuery,
        ready: threading.Event,
        is_answered: Callable[[], bool],
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Ask until there is a result, at once if `ready` is set."""
        query = query._replace(may_wait=True)
        while True:
            self._wait_for_result(query, ready, is_answered)
            if is_answered():
                return actions.AdmissionDenied('pool_busy')
            ready.clear()
            shard_reply = self._query_shard_holder(query)
            if shard_reply is None:
                self._record_local_decision('pool')
                return self._choose_locally(query.action, query.request_id)
            if shard_reply.reply.server or shard_reply.reply.code:
                return self._make_event(query, shard_reply)

    def _wait_for_result(
        self,
        query: _ServerQuery,
        ready: threading.Event,
        is_answered: Callable[[], bool],
    ) -> None:
        """Wait until the holder has a result or is to be asked again.

        An earlier attempt of the request may be answered meanwhile.
        """
        now = self._clock.read_elapsed()
        ends_at = query.started_at + query.action.remaining
        until = min(now + QUEUE_POLL_INTERVAL, ends_at)
        step = ANSWER_POLL_INTERVAL if query.action.is_repeat else until - now
        while now < until and not is_answered():
            if ready.wait(min(step, until - now).total_seconds()):
                return
            now = self._clock.read_elapsed()

    def _query_shard_holder(self, query: _ServerQuery) -> _ShardReply | None:
        """Return the reply of the shard's holder, or None without one."""
        action = query.action
        with self._driver.lock:
            now = self._clock.read_elapsed()
            holder = self._core.find_shard_holder(query.shard, now)
            if query.asks_successor:
                holder = self._core.find_shard_holder(
                    query.shard, now, excluded=holder
                )
            unreachable = self._core.fallback.list_unreachable(now)
            avoided = self._core.statements.list_avoided(now)
            limits = self._core.statements.limits.list_limits(
                query.shard.has_server, now
            )
            retries = self._core.list_retry_reports(query.shard, holder, now)
            history = None
            if action.digest:
                history = self._core.crashes.make_history(action.digest, now)
        elapsed = now - query.started_at
        remaining = action.remaining - elapsed
        if remaining <= datetime.timedelta(0):
            reply = messages.ServerReply(code='pool_busy')
            return _ShardReply(query.shard, holder, reply, now)
        if self._driver.is_unresponsive(holder):
            return None
        message = messages.AskServer(
            query.shard,
            query.message_id,
            action.target.total_seconds(),
            (action.waited + elapsed).total_seconds(),
            remaining.total_seconds(),
            action.priority,
            tuple({*action.excluded, *unreachable, *avoided}),
            action.is_repeat,
            action.probe_ok,
            query.may_wait,
            not (action.excluded or query.is_second_queue),
            limits,
            history,
            action.customer,
            action.kind,
            max(0.0, query.longest_wait.total_seconds()),
            retries,
            query.is_paid,
        )
        try:
            reply = self._ask_holder(holder, message)
        except errors.FleetError as error:
            self._record_missing_holder(action.service, holder, error)
            return None
        with self._driver.lock:
            self._core.fallback.record_ejected(query.shard, reply.ejected)
            received_at = self._clock.read_elapsed()
            self._core.statements.limits.merge(reply.limits, received_at)
            self._core.merge_retry_reports(
                query.shard, holder, reply.retries, received_at
            )
        self._merge_history(reply.history)
        return _ShardReply(query.shard, holder, reply, now)

    def _ask_holder(
        self, holder: str, message: messages.AskServer
    ) -> messages.ServerReply:
        """Ask a holder, maybe one of a release without the newest fields."""
        try:
            return self._driver.call_instance(
                holder, message, core_driver.HOLDER_TIMEOUT
            )
        except errors.FleetError as error:
            if error.code != 'message_undecodable':
                raise
        older = message._replace(retries=None, is_paid=False)
        return self._driver.call_instance(
            holder, older, core_driver.HOLDER_TIMEOUT
        )

    def _make_event(
        self, query: _ServerQuery, shard_reply: _ShardReply
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        action, request_id = query.action, query.request_id
        shard, holder, reply, asked_at = shard_reply
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
            digest=action.digest.hex(),
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        if reply.code:
            return actions.AdmissionDenied(
                reply.code, datetime.timedelta(seconds=reply.retry_after_s)
            )
        first_byte_timeout = datetime.timedelta(seconds=reply.patience_s)
        number = reply.permit_id
        permit_id = (
            f'{holder} {number} {shard.index} {shard.count} {shard.domain}'
        )
        return self._grant_permit(
            reply.server, permit_id, first_byte_timeout, asked_at
        )

    def _choose_locally(
        self, action: actions.AskPermit, request_id: str
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        if action.is_repeat:
            return actions.AdmissionDenied('repeats_spent')
        now = self._clock.read_elapsed()
        with self._driver.lock:
            if self._core.crashes.is_refused(action.digest, now):
                return actions.AdmissionDenied('request_crashes')
        published = self.context.get_configuration()
        with self._driver.lock:
            limited = [
                name
                for name in self._core.statements.limits.list_rates()
                if name in published.servers
                and published.servers[name].service == action.service
            ]
            server = self._core.fallback.choose_server(
                published,
                action.service,
                self._core.instance_settings.domain,
                (
                    *action.excluded,
                    *limited,
                    *self._core.statements.list_avoided(now),
                ),
                now,
            )
        logs.log_event(
            'permit',
            request_id=request_id,
            service=action.service,
            holder=LOCAL_HOLDER,
            server=server,
            digest=action.digest.hex(),
            **self._core.describe_configuration(self._clock.read_elapsed()),
        )
        if server is None and limited:
            # Only holders keep limits, and the next one is known soon.
            return actions.AdmissionDenied(
                'pool_limited', core_driver.UNRESPONSIVE_TIME
            )
        if server is None:
            return actions.AdmissionDenied(
                'no_backend_server', action.target / 4
            )
        return self._grant_permit(server, LOCAL_HOLDER, None, now)

    def _grant_permit(
        self,
        server: str,
        permit_id: str,
        first_byte_timeout: datetime.timedelta | None,
        asked_at: datetime.timedelta,
    ) -> actions.PermitGranted:
        with self._driver.lock:
            self._core.fallback.record_start(server)
            is_limited = (
                self._core.statements.limits.find_rate(server) is not None
            )
        until = self._clock.read_elapsed() + PERMIT_VALIDITY
        if is_limited:
            until = asked_at + server_limits.PERMIT_VALIDITY
        return actions.PermitGranted(
            permit_id, server, until, first_byte_timeout
        )

    def report_overdue(self, action: actions.ReportOverdue) -> None:
        """Report a silent server; the report is sent in the background."""
        with self._driver.lock:
            self._core.fallback.record_overdue(
                action.server, self._clock.read_elapsed()
            )
        if action.permit_id == LOCAL_HOLDER:
            return
        permit = _parse_permit_id(action.permit_id)
        self._driver.send(
            permit.holder,
            messages.FinishRequest(
                permit.make_shard(action.service),
                permit.number,
                dispatch_requests.OVERDUE,
                0.0,
            ),
        )

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Return a permit; the report is sent in the background.

        Holders are told that a server ended before the request goes on.
        """
        now = self._clock.read_elapsed()
        with self._driver.lock:
            if action.outcome == 'ok' and action.target:
                self._latencies.record(action.target, action.latency)
            self._core.fallback.record_end(action.server, action.outcome, now)
            self._core.statements.record_own(
                action.server, action.statement, now - action.latency, now
            )
            history = self._record_result(action, now)
            holders = frozenset()
            if history is not None:
                holders = self._core.start_informing(
                    action.digest, action.service, now
                )
        calls = {
            holder: cores.make_history_report(
                action.service, action.outcome, history
            )
            for holder in holders
            if not self._driver.is_unresponsive(holder)
        }
        if action.permit_id != LOCAL_HOLDER:
            permit = _parse_permit_id(action.permit_id)
            calls[permit.holder] = messages.FinishRequest(
                permit.make_shard(action.service),
                permit.number,
                action.outcome,
                action.latency.total_seconds(),
                action.statement,
                history,
            )
        if action.outcome == 'ended' and history is not None:
            for reply in self._driver.call_instances(
                calls, core_driver.HOLDER_TIMEOUT
            ):
                self._merge_history(reply.history)
            return
        for holder, message in calls.items():
            self._driver.send(holder, message)

    def _merge_history(
        self, history: request_crashes.RequestHistory | None
    ) -> None:
        """Record what a holder knows of a request."""
        if history is not None:
            with self._driver.lock:
                self._core.crashes.merge(
                    history,
                    self._clock.read_elapsed(),
                    request_crashes.REPLY_MARGIN,
                )

    def _record_result(
        self, action: actions.ReportPermit, now: datetime.timedelta
    ) -> request_crashes.RequestHistory | None:
        """Record whether a server ended under a request, or answered it.

        Returns what holders must be told, or None.
        """
        crashes, digest = self._core.crashes, action.digest
        if not digest or action.outcome not in ('ended', 'ok'):
            return None
        known = crashes.list_crashes(digest, now)
        if action.outcome == 'ok':
            crashes.record_response(digest, now)
            return crashes.make_history(digest, now) if known else None
        server = self.context.get_configuration().servers.get(action.server)
        process = request_crashes.ServerProcess(
            action.server, server.started_ms if server else 0
        )
        crashes.record_crash(digest, process, now)
        logs.log_event(
            'server_ended',
            server=action.server,
            service=action.service,
            digest=digest.hex(),
            ends=len({*known, process}),
        )
        return crashes.make_history(digest, now)

    def settle_token(self, request_id: str, is_spent: bool) -> None:
        """Do nothing: an admission cannot be passed on to another request."""

    def finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str
    ) -> None:
        """Do nothing: idempotency keys are not recorded by holders here."""
