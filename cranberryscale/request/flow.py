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
        state.customer, once_key, state.remaining, state.is_most_urgent
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


def _ask_permit(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, actions.PermitGranted]:
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
    )
    match (yield action):
        case actions.PermitGranted() as permit:
            return permit
        case actions.AdmissionDenied(code=code, retry_after=retry_after):
            raise errors.make_error(code, action.service, retry_after)


def _make_report(
    state: request_state.RequestState,
    permit: actions.PermitGranted,
    outcome: str,
    started_at: datetime.timedelta | None = None,
    response: actions.ResponseReceived | None = None,
) -> actions.ReportPermit:
    now = state.context.read_elapsed()
    return actions.ReportPermit(
        state.service,
        permit.server,
        permit.permit_id,
        outcome,
        now - (now if started_at is None else started_at),
        response is not None and response.cold,
        None if response is None else response.statement,
    )


def _obtain_permit(
    state: request_state.RequestState,
) -> Generator[
    actions.Action,
    actions.Event,
    tuple[actions.PermitGranted, configuration.BackendServer],
]:
    """Return a permit and its server.

    The wait for a permit may be long, so route, API key, token, deadline,
    shutdown and server are checked after it.
    """
    while state.permits_asked < PERMIT_LIMIT:
        state.permits_asked += 1
        if not state.has_valid_tokens:
            yield from _ask_tokens(state)
        service = state.service
        permit, state.reserved_permit = state.reserved_permit, None
        if permit is None:
            permit = yield from _ask_permit(state)
        unused = _make_report(state, permit, 'unused')
        try:
            # If the token expired while waiting for the permit, only the token
            # is renewed. Returning the permit as well made an instance at 100
            # requests/s ask twice for each request and never catch up.
            if not state.has_valid_tokens:
                yield from _ask_tokens(state)
            state.authorize()
            state.check_shutdown()
            remaining = state.remaining
        except errors.FleetError:
            yield unused
            raise
        server = state.find_usable_server(permit)
        if server and state.has_valid_tokens and remaining:
            return permit, server
        yield unused
        if server is None and state.service == service:
            state.excluded += (permit.server,)
    raise errors.make_error('pool_unavailable', state.service)


def _deliver_response(
    state: request_state.RequestState,
    permit: actions.PermitGranted,
    event: actions.ResponseReceived,
    started_at,
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome]:
    received_at = state.context.read_elapsed()
    delivery = yield actions.DeliverResponse()
    outcome = 'error' if event.status >= 500 else 'ok'
    if delivery.error is not None:
        outcome = request_state.OUTCOME_BY_CODE.get(
            delivery.error.code, 'cancelled'
        )
    report = _make_report(state, permit, outcome, started_at, event)
    yield report._replace(latency=received_at - started_at)
    state.may_have_run = True
    if delivery.error is None:
        return state.make_outcome('ok', errors.RAN, event.status)
    return state.make_outcome(
        delivery.error.code, delivery.error.entry.ran, event.status
    )


def _replace_unresponsive_server(
    state: request_state.RequestState, event: actions.FirstByteTimedOut
) -> Generator[actions.Action, actions.Event, actions.Event]:
    """Reserve another server, or keep waiting if there is none.

    Abandoning the exchange before another server is reserved would lose a
    response that may still arrive.
    """
    timeout = actions.AttemptFailed(
        errors.make_error('backend_timeout', state.server),
        True,
        event.can_resend,
    )
    if event.can_resend and state.has_valid_tokens:
        excluded, had_reached_server = state.excluded, state.has_reached_server
        state.excluded += (state.server,)
        state.has_reached_server = True
        try:
            state.reserved_permit = yield from _ask_permit(state)
            return timeout
        except errors.FleetError:
            state.excluded, state.has_reached_server = (
                excluded,
                had_reached_server,
            )
    return (yield actions.KeepWaiting())


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
    permit: actions.PermitGranted,
    event: actions.ResponseReceived | actions.AttemptFailed,
    started_at: datetime.timedelta,
) -> Generator[actions.Action, actions.Event, tuple[errors.FleetError, str]]:
    """Report a failed attempt; return its error and whether it ran."""
    if isinstance(event, actions.ResponseReceived) and event.not_run:
        yield _make_report(state, permit, 'shed', started_at, event)
        error = errors.make_error('backend_refused', state.server)
        return error, errors.NOT_RUN
    if isinstance(event, actions.ResponseReceived):
        yield _make_report(state, permit, 'error', started_at, event)
        error = errors.make_error('backend_broken', event.status)
        return error, errors.UNKNOWN
    yield _make_report(
        state, permit, state.classify_failure(event), started_at
    )
    return event.error, errors.UNKNOWN if event.is_sent else errors.NOT_RUN


def _attempt_forward(
    state: request_state.RequestState,
) -> Generator[actions.Action, actions.Event, actions.RequestOutcome | None]:
    """Make one attempt; return the outcome, or None to try again."""
    try:
        permit, server = yield from _obtain_permit(state)
    except errors.FleetError:
        # Without another attempt the result of the previous one stands.
        if state.held_response is not None:
            return (yield from _deliver_held_response(state))
        if state.last_error is not None:
            raise state.last_error from None
        raise
    state.server = server.name
    state.attempts += 1
    started_at = state.context.read_elapsed()
    first_byte_until = state.find_first_byte_deadline(
        permit.first_byte_timeout
    )
    event = yield actions.ForwardRequest(
        server,
        permit.permit_id,
        min(
            permit.start_until, state.tokens_valid_until or permit.start_until
        ),
        state.deadline,
        first_byte_until,
        state.route.body_limit_bytes,
        state.customer,
        state.is_repeatable,
        permit.first_byte_timeout is not None
        and first_byte_until < state.deadline,
    )
    if isinstance(event, actions.FirstByteTimedOut):
        event = yield from _replace_unresponsive_server(state, event)
    state.record_attempt(event)
    should_retry = state.decide_retry(event)
    if isinstance(event, actions.ResponseReceived) and not event.not_run:
        if not should_retry:
            return (
                yield from _deliver_response(state, permit, event, started_at)
            )
        state.held_response = event
    error, ran = yield from _report_failure(state, permit, event, started_at)
    if ran != errors.NOT_RUN:
        # The request may have run, so its token is spent.
        state.may_have_run = True
        if not state.covers_repeats:
            state.tokens_valid_until = None
    if not should_retry:
        if state.held_response is not None:
            return (yield from _deliver_held_response(state))
        raise error
    state.last_error = error
    state.excluded += (server.name,)
    return None


def _run(state: request_state.RequestState) -> _Steps:
    state.authorize()
    state.check_shutdown()
    state.context.routes.credit_retry_budget(state.route)
    if state.request.body_bytes > state.route.body_limit_bytes:
        raise errors.make_error('body_too_large', state.route.body_limit_bytes)
    while True:
        outcome = yield from _attempt_forward(state)
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
    ReportPermit and RefuseRequest.
    """
    state = request_state.RequestState(request, context)
    try:
        return (yield from _run(state))
    except errors.FleetError as error:
        ran = _find_ran(state, error)
        yield actions.RefuseRequest(error, ran)
        return state.make_outcome(error.code, ran, error.entry.status)
