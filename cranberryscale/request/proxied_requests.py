"""One proxied request: runs the decision logic and streams the bodies."""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import errno
import hashlib
import re
import traceback
from typing import NamedTuple

from cranberryscale.connection import backends
from cranberryscale.connection import caller_requests
from cranberryscale.connection import deadline_socket
from cranberryscale.connection import error_responses
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
from cranberryscale.connection import open_exchanges
from cranberryscale import errors
from cranberryscale.process import request_crashes
from cranberryscale.request import actions
from cranberryscale.request import flow
from cranberryscale.request import headers
from cranberryscale.request import request_state
from cranberryscale.request import routes


__all__ = ['DroppedExchange', 'ProxiedRequest']

# Longest idle time of a connection on which a non-idempotent request is sent.
# A connection that was idle for longer may no longer reach the server.
RUN_ONCE_IDLE_LIMIT = datetime.timedelta(seconds=1)
# Part of a request's time that it waits for an instance that is starting. With
# all of it, requests with 0.8 s ended unserved at the end of the wait.
START_WAIT_RATIO = 0.5
# Refusals for want of slots of or connections to backend servers, which
# stalled callers may occupy.
SHORT_OF_ROOM_CODES = frozenset(('backend_refused', 'pool_busy'))

_PORT = re.compile(r':[0-9]*$')


def _digest_once_key(pairs: http_framing.HeaderPairs) -> str:
    found = http_framing.find_header_values(pairs, 'idempotency-key')
    if len(found) > 1:
        raise errors.make_error('bad_request', 'several Idempotency-Key')
    if not found or not found[0]:
        return ''
    return hashlib.sha256(found[0].encode('latin-1')).hexdigest()


def _is_ended_here(error: errors.FleetError) -> bool:
    """Return whether the server had not ended the exchange."""
    is_server_fault = error.code in request_state.OUTCOME_BY_CODE
    return error.code == 'backend_timeout' or not is_server_fault


class DroppedExchange(NamedTuple):
    """Exchange that was closed before its server had answered."""

    server: str
    permit_id: str
    time_left: datetime.timedelta


class ProxiedRequest:
    """Proxied request; iterating over it yields the response body."""

    def __init__(
        self,
        gateway,
        caller_request: caller_requests.CallerRequest,
        start_response,
    ):
        self._gateway = gateway
        self._caller_request = caller_request
        self._start_response = start_response
        self._body = http_framing.ReplayBody(caller_request.rfile)
        self._steps = None
        # Attempts that are not reported yet, by server.
        self._unreported: dict[str, actions.ForwardRequest] = {}
        self._exchanges = open_exchanges.OpenExchanges(
            gateway.clock, caller_request.conn.socket.fileno()
        )
        self._response: backends.BackendResponse | None = None
        self._deadline = datetime.timedelta(0)
        self._dropped: list[DroppedExchange] = []
        self._refusal: actions.RefuseRequest | None = None
        self._is_ended = False
        self.is_counted = False
        self.received = caller_request.received
        self.request_id = caller_request.request_id
        self.method = caller_request.method.decode('ascii')
        self.key = ''
        self.once_key = ''
        self._digest = b''

    def _read_request(self) -> actions.ParsedRequest:
        caller_request = self._caller_request
        path, _, query = caller_request.uri.decode('ascii').partition('?')
        self.key = headers.read_api_key(caller_request.pairs, query)
        self.request_id = headers.choose_request_id(
            caller_request.pairs, self.key, caller_request.request_id
        )
        self.once_key = _digest_once_key(caller_request.pairs)
        time_left = headers.read_deadline(caller_request.pairs)
        return actions.ParsedRequest(
            self.request_id,
            self.method,
            _PORT.sub('', self._host),
            routes.clean_path(path),
            self.key,
            caller_request.received,
            None if time_left is None else caller_request.received + time_left,
            self.once_key,
            caller_request.inheaders.framing.length,
        )

    def _find_start_limit(
        self, request: actions.ParsedRequest
    ) -> datetime.timedelta | None:
        """Return how long the request can wait for the instance's start."""
        if request.deadline is None:
            return None
        time_left = request.deadline - request.received
        return request.received + time_left * START_WAIT_RATIO

    @property
    def _host(self) -> str:
        found = http_framing.find_header_values(
            self._caller_request.pairs, 'host'
        )
        return found[0].lower() if found else ''

    def start(self) -> Iterator[bytes]:
        """Decide and forward the request; return an iterable of the body."""
        try:
            self._gateway.check_accepting()
            request = self._read_request()
            self._gateway.wait_until_started(self._find_start_limit(request))
        except errors.FleetError as error:
            return self._refuse(
                actions.RefuseRequest(error, errors.NOT_RUN),
                actions.RequestOutcome(
                    error.code, errors.NOT_RUN, error.entry.status
                ),
            )
        self._steps = flow.decide_request(
            request, self._gateway.admission.context
        )
        outcome = self._advance(None)
        if outcome is None:
            return self._begin_delivery()
        return self._refuse(self._refusal, outcome)

    def _advance(self, event) -> actions.RequestOutcome | None:
        """Perform actions until the outcome, or None to deliver a response."""
        while True:
            try:
                action = self._steps.send(event)
            except StopIteration as stop:
                return stop.value
            if isinstance(action, actions.DeliverResponse):
                return None
            event = self._perform(action)

    def _perform(self, action: actions.Action) -> actions.Event | None:
        admission = self._gateway.admission
        match action:
            case actions.AskTokens():
                return self._ask(
                    lambda: admission.ask_tokens(action, self.request_id)
                )
            case actions.AskPermit():
                return self._ask(lambda: self._ask_permit(action))
            case actions.ForwardRequest():
                return self._send(action)
            case actions.KeepWaiting(until=until):
                return self._receive(until)
            case actions.ReportOverdue():
                self._report(lambda: admission.report_overdue(action))
            case actions.ReportPermit():
                self._end_attempt(action.server)
                report = action._replace(digest=self._digest)
                self._report(lambda: admission.report_permit(report))
            case actions.RefuseRequest():
                self._refusal = action
        return None

    def _ask(self, ask: Callable[[], actions.Event]) -> actions.Event:
        """Return the reply; an unexpected exception ends no open exchange."""
        try:
            return ask()
        except errors.FleetError as error:
            return actions.AdmissionDenied(error.code, error.retry_after)
        except Exception as error:
            if not self._exchanges and self._response is None:
                raise
            self._log_fault(error)
            return actions.AdmissionDenied(errors.FleetError().code)

    def _report(self, report: Callable[[], None]) -> None:
        """Send a report; an unexpected exception ends no request."""
        try:
            report()
        except Exception as error:
            self._log_fault(error)

    def _end_attempt(self, server: str) -> None:
        """Forget a reported attempt; close its exchange if it is open."""
        forward = self._unreported.get(server)
        if forward is not None:
            self._cancel_exchange(forward)
            del self._unreported[server]

    def _cancel_exchange(self, forward: actions.ForwardRequest) -> None:
        if self._exchanges.cancel(forward.attempt):
            self._record_dropped(forward)

    def _cancel_exchanges(self) -> None:
        for forward in self._unreported.values():
            self._cancel_exchange(forward)

    def _ask_permit(
        self, action: actions.AskPermit
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        self._digest = self._find_digest(action)
        return self._gateway.admission.ask_permit(
            action._replace(digest=self._digest),
            self.request_id,
            self._exchanges.is_ready,
        )

    def _find_digest(self, action: actions.AskPermit) -> bytes:
        """Return the digest of a request that may be sent again.

        It is empty for requests whose body cannot be read in advance.
        """
        caller_request = self._caller_request
        framing = caller_request.inheaders.framing
        is_large = framing.length > http_framing.MAX_REPLAY_BYTES
        if not action.probe_ok or framing.chunked or is_large:
            return b''
        parts = [self.method, self._host, caller_request.uri, action.customer]
        if framing.length:
            caller_request.conn.wrapped_socket.set_deadline(
                self._gateway.clock.read_elapsed() + action.remaining
            )
            self._body.rewind()
            parts.append(b''.join(iter(self._body.read_some, b'')))
        return request_crashes.make_digest(parts)

    def _make_request_head(
        self, action: actions.ForwardRequest
    ) -> http_heads.RequestHead:
        caller_request = self._caller_request
        address = caller_request.conn.remote_addr or ''
        host = self._host or action.server.address
        header_names = self._gateway.header_names
        remaining = action.deadline - self._gateway.clock.read_elapsed()
        return http_heads.RequestHead(
            self.method,
            headers.remove_api_key(
                caller_request.uri.decode('ascii'), self.key
            ),
            headers.make_request_headers(
                caller_request.pairs,
                self.key,
                headers.RequestSource(address, host, self.request_id),
                remaining,
                header_names,
                tuple(
                    header_names.list_target_headers(
                        action.server.name, action.customer
                    )
                ),
            ),
            caller_request.inheaders.framing,
            self.request_id,
        )

    def _send(self, action: actions.ForwardRequest) -> actions.Event:
        """Send the request; return the first event of any open exchange."""
        self._unreported[action.server.name] = action
        # A changed configuration may have shortened the route's timeout.
        self._deadline = max(self._deadline, action.deadline)
        self._caller_request.conn.wrapped_socket.set_deadline(self._deadline)
        self._body.limit_bytes = action.body_limit_bytes
        self._body.rewind()
        limits = backends.ExchangeLimits(
            action.start_until,
            action.deadline,
            self._caller_request.conn.socket.fileno(),
            None if action.is_repeatable else RUN_ONCE_IDLE_LIMIT,
        )
        try:
            exchange = self._gateway.backends.send(
                action.server.address,
                self._make_request_head(action),
                self._body,
                limits,
            )
        except (backends.ForwardFailed, errors.FleetError) as error:
            return self._make_failure(error, action.attempt)
        self._exchanges.add(action.attempt, exchange)
        return self._receive(action.first_byte_until)

    def _receive(self, until: datetime.timedelta | None) -> actions.Event:
        """Return the first event of any open exchange."""
        try:
            attempt = self._exchanges.wait(until)
        except deadline_socket.OtherReady as error:
            caller_gone = errors.make_error(
                'caller_gone', type(error).__name__
            )
            return actions.AttemptFailed(caller_gone, True)
        if attempt is None:
            return actions.FirstByteTimedOut(self._body.can_resend)
        try:
            response = self._exchanges.remove(attempt).receive()
            response.prefetch_body()
            self._check_signature(response)
        except (backends.ForwardFailed, errors.FleetError) as error:
            return self._make_failure(error, attempt)
        return self._accept_response(response, attempt)

    def _make_failure(
        self, error: backends.ForwardFailed | errors.FleetError, attempt: int
    ) -> actions.AttemptFailed:
        can_resend = self._body.can_resend
        match error:
            case backends.ForwardFailed():
                if error.is_sent and _is_ended_here(error.error):
                    self._record_dropped(self._find_forward(attempt))
                return actions.AttemptFailed(
                    error.error, error.is_sent, can_resend, attempt
                )
            case _:
                return actions.AttemptFailed(error, False, can_resend, attempt)

    def _find_forward(self, attempt: int) -> actions.ForwardRequest:
        return next(
            forward
            for forward in self._unreported.values()
            if forward.attempt == attempt
        )

    def _record_dropped(self, forward: actions.ForwardRequest) -> None:
        time_left = forward.deadline - self._gateway.clock.read_elapsed()
        if time_left > datetime.timedelta(0):
            self._dropped.append(
                DroppedExchange(
                    forward.server.name, forward.permit_id, time_left
                )
            )

    def _log_dropped(self, reason: str) -> None:
        for exchange in self._dropped:
            self._gateway.log_dropped(self.request_id, reason, exchange)

    def _check_signature(self, response: backends.BackendResponse) -> None:
        """Raise ForwardFailed for a success that the server did not make."""
        header_names = self._gateway.header_names
        if response.status >= 300:
            return
        is_own = header_names.is_signed(response.pairs)
        if not is_own or header_names.is_encoded(response.pairs):
            response.cancel()
            reason = 'encoded body' if is_own else 'no signature'
            error = errors.make_error('answer_wrong', reason)
            raise backends.ForwardFailed(error, True)

    def _accept_response(
        self, response: backends.BackendResponse, attempt: int
    ) -> actions.ResponseReceived:
        header_names = self._gateway.header_names
        not_run = header_names.is_not_run(response.status, response.pairs)
        if not_run:
            response.finish()
        else:
            if self._response is not None:
                self._response.finish()
            self._response = response
        return actions.ResponseReceived(
            response.status,
            not_run,
            self._body.can_resend,
            header_names.is_cold_start(response.pairs),
            header_names.read_statement(response.status, response.pairs),
            attempt,
        )

    def _refuse(
        self, refusal: actions.RefuseRequest, outcome: actions.RequestOutcome
    ) -> list[bytes]:
        """Respond with a typed error."""
        self._is_ended = True
        self._cancel_exchanges()
        self._log_dropped(refusal.error.code)
        if self._response is not None:
            self._response.cancel()
        error_response = error_responses.make_error_response(
            refusal.error,
            self.request_id,
            refusal.ran,
            self._gateway.header_names.has_decimal_retry_after,
        )
        if refusal.error.code == 'caller_gone':
            self._caller_request.conn.abort()
        if refusal.error.code in SHORT_OF_ROOM_CODES:
            self._caller_request.server.account.record_refusal()
        if refusal.error.code == 'shutting_down':
            self._caller_request.close_connection = True
        self._start_response(error_response.status, error_response.headers)
        self._gateway.finish(self, outcome)
        return [] if self.method == 'HEAD' else [error_response.body]

    def _begin_delivery(self) -> 'ProxiedRequest':
        self._cancel_exchanges()
        response = self._response
        if response.status >= request_state.SERVER_ERROR:
            self._log_dropped(f'status_{response.status}')
        response_headers = headers.filter_response_headers(
            response.pairs,
            self.request_id,
            response.status != 204,
            self._gateway.header_names.adds_forwarding,
        )
        if self._gateway.is_draining:
            self._caller_request.close_connection = True
        self._start_response(
            f'{response.status} {response.reason}', list(response_headers)
        )
        return self

    def __iter__(self) -> Iterator[bytes]:
        """Yield the response body; reset the connection if it is cut off."""
        writer = self._caller_request.conn.wfile
        try:
            for data in self._response.iter_body():
                yield data
                if not self._response.body.finished:
                    writer.flush()
            self._caller_request.ensure_headers_sent()
            writer.flush()
        except backends.ForwardFailed as failure:
            self._finish_delivery(failure.error)
            self._caller_request.conn.abort()
            raise ConnectionAbortedError(
                errno.ECONNABORTED, failure.error.code
            ) from failure
        self._finish_delivery(None)

    def close(self) -> None:
        """End a delivery that the caller abandoned."""
        if not self._is_ended:
            self._caller_request.conn.abort()
            self._finish_delivery(errors.make_error('caller_gone'))

    def _finish_delivery(self, error: errors.FleetError | None) -> None:
        self._is_ended = True
        if error is None:
            self._response.finish()
        else:
            self._response.cancel()
        try:
            outcome = self._advance(actions.DeliveryEnded(error))
        except Exception as internal_error:
            outcome = self._log_fault(internal_error)
        self._gateway.finish(self, outcome)

    def fail(self, error: Exception) -> list[bytes]:
        """Respond to an unexpected exception; release what is in use."""
        is_sent = bool(self._unreported)
        if self._response is not None:
            self._response.cancel()
        for forward in self._unreported.values():
            self._gateway.admission.report_permit(
                actions.ReportPermit(
                    forward.server.service,
                    forward.server.name,
                    forward.permit_id,
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
        internal_error = errors.FleetError()
        return actions.RequestOutcome(
            internal_error.code, errors.UNKNOWN, internal_error.entry.status
        )
