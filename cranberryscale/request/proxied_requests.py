"""One request's way through the gateway: drive the decision, stream bytes."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import errno
import hashlib
import re
import traceback

from cranberryscale.connection import backends
from cranberryscale.connection import caller_requests
from cranberryscale.connection import error_responses
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.request import flow
from cranberryscale.request import headers
from cranberryscale.request import routes


__all__ = ['ProxiedRequest']

# What may run only once is not sent on a connection that may have gone
# silent since it last carried an answer.
RUN_ONCE_IDLE = datetime.timedelta(seconds=1)

_PORT = re.compile(r':[0-9]*$')


def _digest_once_key(pairs: http_framing.HeaderPairs) -> str:
    found = http_framing.find_values(pairs, 'idempotency-key')
    if len(found) > 1:
        raise errors.make_error('bad_request', 'several Idempotency-Key')
    if not found or not found[0]:
        return ''
    return hashlib.sha256(found[0].encode('latin-1')).hexdigest()


class ProxiedRequest:
    """Serve one request; iterating it yields the body of the answer."""

    def __init__(
        self, gateway, call: caller_requests.CallerRequest, start_response
    ):
        self._gateway = gateway
        self._call = call
        self._start_response = start_response
        self._body = http_framing.ReplayBody(call.rfile)
        self._steps = None
        self._forward: actions.ForwardRequest | None = None
        self._answer: backends.BackendResponse | None = None
        self._pending: backends.PendingResponse | None = None
        self._refusal: actions.RefuseRequest | None = None
        self._is_ended = False
        self.is_counted = False
        self.received = call.received
        self.request_id = call.request_id
        self.method = call.method.decode('ascii')
        self.key = ''
        self.once_key = ''

    def _read_request(self) -> actions.ParsedRequest:
        call = self._call
        path, _, query = call.uri.decode('ascii').partition('?')
        self.key = headers.read_key(call.pairs, query)
        self.request_id = headers.choose_request_id(
            call.pairs, self.key, call.request_id
        )
        self.once_key = _digest_once_key(call.pairs)
        left = headers.read_deadline(call.pairs)
        return actions.ParsedRequest(
            self.request_id,
            self.method,
            _PORT.sub('', self._host),
            routes.clean_path(path),
            self.key,
            call.received,
            None if left is None else call.received + left,
            self.once_key,
            call.inheaders.framing.length,
        )

    @property
    def _host(self) -> str:
        found = http_framing.find_values(self._call.pairs, 'host')
        return found[0].lower() if found else ''

    def start(self) -> Iterator[bytes]:
        """Decide, and return the iterable of the answer's body."""
        try:
            self._gateway.check_open()
            request = self._read_request()
        except errors.FleetError as error:
            return self._refuse(
                actions.RefuseRequest(error, errors.NOT_RUN),
                actions.RequestOutcome(
                    error.code, errors.NOT_RUN, error.entry.status
                ),
            )
        self._steps = flow.decide_request(request, self._gateway.fleet.context)
        outcome = self._advance(None)
        if outcome is None:
            return self._begin_delivery()
        return self._refuse(self._refusal, outcome)

    def _advance(self, event) -> actions.RequestOutcome | None:
        """Work until the answer can be delivered (None) or all is over."""
        try:
            while True:
                action = self._steps.send(event)
                if isinstance(action, actions.DeliverResponse):
                    return None
                event = self._work(action)
        except StopIteration as stop:
            return stop.value

    def _work(self, action: actions.Action) -> actions.Event | None:
        fleet = self._gateway.fleet
        match action:
            case actions.AskTokens():
                return fleet.ask_tokens(action, self.request_id)
            case actions.AskPermit():
                return fleet.ask_permit(action, self.request_id)
            case actions.ForwardRequest():
                self._forward = action
                self._cancel_pending()
                return self._send(action)
            case actions.KeepWaiting():
                return self._receive(self._pending.resume)
            case actions.ReportPermit():
                self._forward = None
                fleet.report_permit(action)
            case actions.RefuseRequest():
                self._refusal = action
        return None

    def _make_head(
        self, action: actions.ForwardRequest
    ) -> http_heads.RequestHead:
        call = self._call
        address = call.conn.remote_addr or ''
        host = self._host or action.server.address
        dialect = self._gateway.dialect
        remaining = action.deadline - self._gateway.clock.read_elapsed()
        return http_heads.RequestHead(
            self.method,
            headers.remove_key(call.uri.decode('ascii'), self.key),
            headers.make_request_pairs(
                call.pairs,
                self.key,
                headers.RequestSource(address, host, self.request_id),
                remaining,
                dialect,
                tuple(dialect.list_added(action.server.name, action.customer)),
            ),
            call.inheaders.framing,
            self.request_id,
        )

    def _send(self, action: actions.ForwardRequest) -> actions.Event:
        self._call.conn.wire.set_deadline(action.deadline)
        self._body.limit_bytes = action.body_limit_bytes
        self._body.rewind()
        terms = backends.ExchangeLimits(
            action.start_until,
            action.deadline,
            action.first_byte_until,
            self._call.conn.socket.fileno(),
            None if action.is_repeatable else RUN_ONCE_IDLE,
            action.may_resume,
        )
        return self._receive(
            lambda: self._gateway.backends.forward(
                action.server.address,
                self._make_head(action),
                self._body,
                terms,
            )
        )

    def _receive(
        self,
        receive: Callable[
            [], backends.BackendResponse | backends.PendingResponse
        ],
    ) -> actions.Event:
        """Return what came of an exchange."""
        self._pending = None
        try:
            answer = receive()
            if isinstance(answer, backends.PendingResponse):
                self._pending = answer
                return actions.FirstByteTimedOut(self._body.can_resend)
            answer.prefetch()
            self._check_origin(answer)
        except backends.ForwardFailed as failure:
            return actions.AttemptFailed(
                failure.error, failure.is_sent, self._body.can_resend
            )
        except errors.FleetError as error:
            return actions.AttemptFailed(error, False, self._body.can_resend)
        return self._take_answer(answer)

    def _cancel_pending(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None

    def _check_origin(self, answer: backends.BackendResponse) -> None:
        """Raise ForwardFailed for a success that is not the server's."""
        dialect = self._gateway.dialect
        if answer.status >= 300:
            return
        is_own = dialect.is_signed(answer.pairs)
        if not is_own or dialect.is_encoded(answer.pairs):
            answer.cancel()
            reason = 'encoded body' if is_own else 'no signature'
            error = errors.make_error('answer_wrong', reason)
            raise backends.ForwardFailed(error, True)

    def _take_answer(
        self, answer: backends.BackendResponse
    ) -> actions.ResponseReceived:
        dialect = self._gateway.dialect
        not_run = dialect.is_not_run(answer.status, answer.pairs)
        if not_run:
            answer.finish()
        else:
            if self._answer is not None:
                self._answer.finish()
            self._answer = answer
        return actions.ResponseReceived(
            answer.status,
            not_run,
            self._body.can_resend,
            dialect.is_cold(answer.pairs),
        )

    def _refuse(
        self, refusal: actions.RefuseRequest, outcome: actions.RequestOutcome
    ) -> list[bytes]:
        """Answer with a typed error."""
        self._is_ended = True
        self._cancel_pending()
        if self._answer is not None:
            self._answer.cancel()
        reply = error_responses.make_reply(
            refusal.error,
            self.request_id,
            refusal.ran,
            self._gateway.dialect.has_decimal_retry_after,
        )
        if refusal.error.code == 'caller_gone':
            self._call.conn.abort()
        if refusal.error.code == 'shutting_down':
            self._call.close_connection = True
        self._start_response(reply.status, reply.headers)
        self._gateway.finish(self, outcome)
        return [] if self.method == 'HEAD' else [reply.body]

    def _begin_delivery(self) -> 'ProxiedRequest':
        self._cancel_pending()
        answer = self._answer
        kept = headers.filter_answer(
            answer.pairs,
            self.request_id,
            answer.status != 204,
            self._gateway.dialect.adds_forwarding,
        )
        if self._gateway.is_draining:
            self._call.close_connection = True
        self._start_response(f'{answer.status} {answer.reason}', list(kept))
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Yield the answer's body; break the connection if it is cut."""
        writer = self._call.conn.wfile
        try:
            for data in self._answer.iterate():
                yield data
                if not self._answer.body.finished:
                    writer.flush()
            self._call.ensure_headers_sent()
            writer.flush()
        except backends.ForwardFailed as failure:
            self._end(failure.error)
            self._call.conn.abort()
            raise ConnectionAbortedError(
                errno.ECONNABORTED, failure.error.code
            ) from failure
        self._end(None)

    def close(self) -> None:
        """End a delivery that the caller did not wait for."""
        if not self._is_ended:
            self._call.conn.abort()
            self._end(errors.make_error('caller_gone'))

    def _end(self, error: errors.FleetError | None) -> None:
        self._is_ended = True
        if error is None:
            self._answer.finish()
        else:
            self._answer.cancel()
        try:
            outcome = self._advance(actions.DeliveryEnded(error))
        except Exception as fault:
            outcome = self._log_fault(fault)
        self._gateway.finish(self, outcome)

    def fail(self, error: Exception) -> list[bytes]:
        """Answer an unexpected fault as a typed error; free what is held."""
        is_sent = self._forward is not None
        if self._answer is not None:
            self._answer.cancel()
        if is_sent:
            self._gateway.fleet.report_permit(
                actions.ReportPermit(
                    self._forward.server.service,
                    self._forward.server.name,
                    self._forward.permit_id,
                    'cancelled',
                    datetime.timedelta(0),
                )
            )
        outcome = self._log_fault(error)
        if not is_sent:
            outcome = outcome._replace(ran=errors.NOT_RUN)
        return self._refuse(
            actions.RefuseRequest(errors.FleetError(), outcome.ran), outcome
        )

    def _log_fault(self, error: Exception) -> actions.RequestOutcome:
        frame = traceback.extract_tb(error.__traceback__)[-1]
        where = f'{frame.name}:{frame.lineno}'
        self._gateway.log_fault(self.request_id, type(error).__name__, where)
        fault = errors.FleetError()
        return actions.RequestOutcome(
            fault.code, errors.UNKNOWN, fault.entry.status
        )
