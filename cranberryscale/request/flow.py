"""Decision logic for one request, without I/O.

`decide_request` is a generator that yields actions and receives the event
that each of them led to; its caller performs the actions. A request is
reported as "not run" only if it certainly did not run, and sent again only
if that is safe.
"""

from collections.abc import Generator
import datetime

from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.request import request_state
from cranberryscale.version import configuration


__all__ = ['decide_request']

# Extra permits, for those that arrived too late or whose server was removed
# meanwhile. Each costs a round trip to a holder.
EXTRA_PERMITS = 2
PERMIT_LIMIT = request_state.ATTEMPT_LIMIT + EXTRA_PERMITS


_Steps = Generator[actions.Action, actions.Event, actions.RequestOutcome]


def _ask_tokens(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, None]:
    # The idempotency key was recorded with the first request for tokens.
    once_key = '' if state.has_idempotency_record else state.request.once_key
    action = actions.AskTokens(
        state.customer,
        once_key,
        state.remaining,
        state.is_most_urgent,
        state.route.target,
        state.context.read_elapsed() - state.request.received,
        state.priority,
    )
    match (yield action):
        case actions.TokensGranted(valid_until=until, covers_repeats=covers):
            state.tokens_valid_until = until
            state.covers_repeats = covers
            state.has_idempotency_record = (
                state.has_idempotency_record or bool(once_key)
            )
        case actions.AdmissionDenied(code=code, retry_after=retry_after):
            raise errors.make_error(code, state.customer, retry_after)


def _reserve_permit(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, request_state.ReservedPermit]:
    action = actions.AskPermit(
        state.service,
        state.customer,
        state.remaining,
        state.excluded,
        state.is_repeatable,
        state.route.target,
        state.context.read_elapsed() - state.request.received,
        state.priority,
        state.has_reached_server,
        kind=state.route.name,
    )
    match (yield action):
        case actions.PermitGranted() as permit:
            return request_state.ReservedPermit(action.service, permit)
        case actions.AdmissionDenied(code=code, retry_after=retry_after):
            raise errors.make_error(code, action.service, retry_after)


def _make_report(
    state: request_state.RequestState,
    exchange: request_state.OpenExchange,
    outcome: str,
    response: actions.ResponseReceived | None = None,
) -> actions.ReportPermit:
    return actions.ReportPermit(
        exchange.service,
        exchange.permit.server,
        exchange.permit.permit_id,
        outcome,
        state.context.read_elapsed() - exchange.started_at,
        response is not None and response.cold,
        None if response is None else response.statement,
        target=state.route.target,
    )


def _make_unused_report(
    reserved: request_state.ReservedPermit,
) -> actions.ReportPermit:
    return actions.ReportPermit(
        reserved.service,
        reserved.permit.server,
        reserved.permit.permit_id,
        'unused',
        datetime.timedelta(0),
    )


def _obtain_permit(
    state: request_state.RequestState,
) -> Generator[
    actions.Action,
    actions.Event,
    tuple[request_state.ReservedPermit, configuration.BackendServer],
]:
    """Return a permit and its server.

    The wait for a permit may be long, so route, API key, token, deadline,
    shutdown and server are checked after it.
    """
    while state.permits_asked < PERMIT_LIMIT:
        state.permits_asked += 1
        if not state.has_valid_tokens:
            yield from _ask_tokens(state)
        reserved, state.reserved_permit = state.reserved_permit, None
        if reserved is None:
            reserved = yield from _reserve_permit(state)
        unused = _make_unused_report(reserved)
        try:
            # If the token expired while waiting for the permit, only the token
            # is renewed. Returning the permit as well made an instance at 100
            # requests/s ask twice for each request and never catch up.
            if not state.has_valid_tokens:
                yield from _ask_tokens(state)
            state.authorize()
            state.check_shutdown()
            state.check_repeat()
            remaining = state.remaining
        except errors.FleetError:
            yield unused
            raise
        server = state.find_usable_server(reserved.permit)
        if server and state.has_valid_tokens and remaining:
            return reserved, server
        yield unused
        if server is None and state.service == reserved.service:
            state.excluded += (reserved.permit.server,)
    raise errors.make_error('pool_unavailable', state.service)


def _forward(
    state: request_state.RequestState,
    reserved: request_state.ReservedPermit,
    server: configuration.BackendServer,
) -> Generator[actions.Action, actions.Event, actions.Event]:
    """Send the request; return the first event of any open exchange.

    It is not sent if a response has arrived during the wait for the permit.
    """
    if state.exchanges:
        event = yield actions.KeepWaiting(state.context.read_elapsed())
        if not isinstance(event, actions.FirstByteTimedOut):
            yield _make_unused_report(reserved)
            return event
    exchange = state.open_exchange(reserved)
    permit = exchange.permit
    return (
        yield actions.ForwardRequest(
            server,
            permit.permit_id,
            min(
                permit.start_until,
                state.tokens_valid_until or permit.start_until,
            ),
            state.deadline,
            exchange.first_byte_until,
            state.route.body_limit_bytes,
            state.customer,
            state.is_repeatable,
            exchange.attempt,
        )
    )


def _reserve_server(
    state: request_state.RequestState, event: actions.FirstByteTimedOut
) -> Generator[actions.Action, actions.Event, bool]:
    """Reserve a further server if one is silent; return whether there is one.

    The exchange with the silent server stays open in either case.
    """
    exchange = state.mark_overdue()
    if not state.can_add_attempt(event.can_resend):
        return False
    try:
        state.reserved_permit = yield from _reserve_permit(state)
    except errors.FleetError:
        return False
    if state.classify_timeout() == 'silent':
        yield actions.ReportOverdue(
            exchange.service, exchange.permit.server, exchange.permit.permit_id
        )
    state.spend_token()
    return True


def _cancel_exchanges(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, None]:
    """Report the exchanges whose responses are not waited for any more."""
    for exchange in state.close_exchanges():
        yield _make_report(
            state,
            exchange,
            state.classify_timeout() if exchange.is_overdue else 'cancelled',
        )


def _deliver_response(
    state: request_state.RequestState,
    exchange: request_state.OpenExchange,
    event: actions.ResponseReceived,
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome]:
    received_at = state.context.read_elapsed()
    yield from _cancel_exchanges(state)
    delivery = yield actions.DeliverResponse()
    outcome = 'ok'
    if delivery.error is not None:
        outcome = request_state.OUTCOME_BY_CODE.get(
            delivery.error.code, 'cancelled'
        )
    report = _make_report(state, exchange, outcome, event)
    yield report._replace(latency=received_at - exchange.started_at)
    state.may_have_run = True
    if delivery.error is None:
        return state.make_outcome('ok', errors.RAN, event.status)
    return state.make_outcome(
        delivery.error.code, delivery.error.entry.ran, event.status
    )


def _deliver_held_response(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome]:
    """Deliver the kept response, which no further attempt has replaced."""
    response, state.held_response = state.held_response, None
    delivery = yield actions.DeliverResponse()
    if delivery.error is None:
        return state.make_outcome('ok', errors.RAN, response.status)
    return state.make_outcome(
        delivery.error.code, delivery.error.entry.ran, response.status
    )


def _report_failure(
    state: request_state.RequestState,
    exchange: request_state.OpenExchange,
    event: actions.ResponseReceived | actions.AttemptFailed,
) -> Generator[actions.Action, actions.Event, tuple[errors.FleetError, str]]:
    """Report a failed attempt; return its error and whether it ran."""
    if isinstance(event, actions.ResponseReceived) and event.not_run:
        yield _make_report(state, exchange, 'shed', event)
        error = errors.make_error('backend_refused', exchange.permit.server)
        return error, errors.NOT_RUN
    if isinstance(event, actions.ResponseReceived):
        yield _make_report(state, exchange, 'error', event)
        error = errors.make_error('backend_broken', event.status)
        return error, errors.UNKNOWN
    yield _make_report(state, exchange, state.classify_failure(event))
    return event.error, errors.UNKNOWN if event.is_sent else errors.NOT_RUN


def _end_exchange(
    state: request_state.RequestState,
    event: actions.ResponseReceived | actions.AttemptFailed,
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome | None]:
    """Deliver the response, or record the failure and return None.

    A server error is kept, since another response may replace it.
    """
    exchange = state.close_exchange(event.attempt)
    state.record_attempt(event)
    if isinstance(event, actions.ResponseReceived) and not event.not_run:
        if event.status < request_state.SERVER_ERROR:
            return (yield from _deliver_response(state, exchange, event))
        state.held_response = event
    error, ran = yield from _report_failure(state, exchange, event)
    if ran != errors.NOT_RUN:
        state.may_have_run = True
        state.spend_token()
    if error.code == 'caller_gone':
        raise error
    state.last_error = error
    return None


def _follow_exchanges(
    state: request_state.RequestState, event: actions.Event
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome | None]:
    """Return the outcome, or None to make another attempt."""
    while True:
        if isinstance(event, actions.FirstByteTimedOut):
            if (yield from _reserve_server(state, event)):
                return None
        else:
            outcome = yield from _end_exchange(state, event)
            if outcome is not None:
                return outcome
            if state.decide_retry(event):
                return None
            if not state.exchanges:
                return (yield from _conclude(state, state.last_error))
        event = yield actions.KeepWaiting(state.first_byte_until)


def _conclude(
    state: request_state.RequestState, error: errors.FleetError
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome]:
    """End the request without a further attempt.

    While an exchange is open its server may be at work, so its response is
    waited for until the deadline before the instance answers by itself.
    """
    if state.reserved_permit is not None:
        yield _make_unused_report(state.reserved_permit)
    while state.exchanges:
        event = yield actions.KeepWaiting()
        outcome = yield from _end_exchange(state, event)
        if outcome is not None:
            return outcome
    if state.held_response is not None:
        return (yield from _deliver_held_response(state))
    raise state.last_error or error


def _run(state: request_state.RequestState) -> _Steps:
    state.authorize()
    state.check_shutdown()
    state.context.routes.credit_retry_budget(state.route)
    if state.request.body_bytes > state.route.body_limit_bytes:
        raise errors.make_error('body_too_large', state.route.body_limit_bytes)
    while True:
        try:
            reserved, server = yield from _obtain_permit(state)
        except errors.FleetError as error:
            return (yield from _conclude(state, error))
        event = yield from _forward(state, reserved, server)
        outcome = yield from _follow_exchanges(state, event)
        if outcome is not None:
            return outcome


def _find_ran(
    state: request_state.RequestState, error: errors.FleetError
) -> str:
    # Servers may have run an earlier attempt of the caller.
    if state.may_have_run or error.code == 'request_crashes':
        return errors.UNKNOWN
    if error.code == 'duplicate_finished':
        return errors.RAN
    return errors.NOT_RUN


def decide_request(
    request: actions.ParsedRequest, context: actions.DecisionContext
) -> _Steps:
    """Yield the actions for one request and return its outcome.

    The event of each action must be sent to the generator, and None for
    ReportPermit, ReportOverdue and RefuseRequest. Once the request was sent
    to a server, the instance answers by itself only when no exchange is open
    any more, or if the caller has left.
    """
    state = request_state.RequestState(request, context)
    try:
        return (yield from _run(state))
    except errors.FleetError as error:
        yield from _cancel_exchanges(state)
        ran = _find_ran(state, error)
        yield actions.RefuseRequest(error, ran)
        return state.make_outcome(error.code, ran, error.entry.status)
