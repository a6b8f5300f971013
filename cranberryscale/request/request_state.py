"""What is known about one request and what follows from it."""

import datetime
import zlib

from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.version import configuration


__all__ = ['PERMIT_EXPIRED', 'OUTCOME_BY_CODE', 'RequestState']

# Bounds the servers that a request is offered to, connections that fail
# included; those that may run it are bounded by the route.
ATTEMPT_LIMIT = 5
SERVER_ERROR = 500
# Raised when the permit or token ran out before the first byte was sent.
PERMIT_EXPIRED = 'pool_unavailable'

# What each failure says about the backend server.
OUTCOME_BY_CODE = {
    'backend_timeout': 'silent',
    'backend_refused': 'refused',
    'backend_broken': 'error',
    'answer_truncated': 'truncated',
    'answer_crossed': 'crossed',
    'answer_wrong': 'wrong',
}


class RequestState:
    """Hold what was decided on one request so far."""

    def __init__(
        self, request: actions.ParsedRequest, context: actions.DecisionContext
    ):
        self.request = request
        self.context = context
        self.route: configuration.Route | None = None
        self.customer = ''
        self.server = ''
        self.attempts = 0
        # Attempts that a server may have run.
        self.possible_runs = 0
        self.has_reached_server = False
        self.permits_asked = 0
        self.excluded: tuple[str, ...] = ()
        self.tokens_valid_until: datetime.timedelta | None = None
        # Whether that token is enough for further attempts.
        self.covers_repeats = False
        self.has_idempotency_record = False
        self.may_have_run = False
        self.last_error: errors.FleetError | None = None
        # Set while an answer waits for a second attempt that may replace it.
        self.held_response: actions.ResponseReceived | None = None
        # Set while a second attempt is due in place of a silent server.
        self.reserved_permit: actions.PermitGranted | None = None

    def authorize(self) -> None:
        """Check key and route against the configuration in force now."""
        request, context = self.request, self.context
        self.route = context.routes.find_route(
            context.get_configuration(),
            request.host,
            request.path,
            request.method,
        )
        if self.route.open_to_all:
            self.customer = ''
            return
        if not request.key:
            raise errors.make_error('key_missing')
        if not context.can_serve_keyed_requests():
            raise errors.make_error('configuration_unconfirmed')
        customer = context.find_customer(request.key)
        if customer is None or customer != (self.customer or customer):
            raise errors.make_error('key_unknown')
        if self.route.customers and customer not in self.route.customers:
            raise errors.make_error('customer_forbidden', self.route.name)
        self.customer = customer

    @property
    def service(self) -> str:
        """Return the service that runs the request.

        The part of a divided route follows from the request's id, so that
        it stays the same for all attempts under one configuration.
        """
        draw = zlib.crc32(self.request.request_id.encode()) / 2**32
        return self.route.choose_service(draw)

    @property
    def priority(self) -> int:
        """Return the customer's priority, else that of the route."""
        customers = self.context.get_configuration().customers
        customer = customers.get(self.customer)
        if customer is None or customer.priority is None:
            return self.route.priority
        return customer.priority

    @property
    def has_attempts_left(self) -> bool:
        """Tell whether the route allows one more attempt."""
        can_run = self.possible_runs < self.route.max_attempts
        return can_run and self.attempts < ATTEMPT_LIMIT

    @property
    def deadline(self) -> datetime.timedelta:
        """Return when the request must have ended."""
        limit = self.request.received + self.route.timeout
        asked = self.request.deadline
        return limit if asked is None else min(limit, asked)

    @property
    def remaining(self) -> datetime.timedelta:
        """Return the time left, or raise DeadlineTooShort."""
        remaining = self.deadline - self.context.read_elapsed()
        if remaining <= datetime.timedelta(0):
            raise errors.make_error('deadline_too_short')
        return remaining

    @property
    def is_repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.is_idempotent(self.request.method)

    @property
    def has_valid_tokens(self) -> bool:
        """Tell whether no token is needed or one is held."""
        return not self.customer or (
            self.tokens_valid_until is not None
            and self.context.read_elapsed() < self.tokens_valid_until
        )

    def find_server(
        self, permit: actions.PermitGranted
    ) -> configuration.BackendServer | None:
        """Return the permit's server if the permit may be used now."""
        current = self.context.get_configuration()
        server = current.servers.get(permit.server)
        if server is None or server.service != self.service:
            return None
        if current.is_server_out(server):
            return None
        in_time = self.context.read_elapsed() < permit.start_until
        return server if in_time else None

    def record_attempt(
        self, event: actions.ResponseReceived | actions.AttemptFailed
    ) -> None:
        """Count an attempt by whether it arrived and may have run."""
        match event:
            case actions.ResponseReceived(not_run=not_run):
                self.has_reached_server = True
                self.possible_runs += not not_run
            case actions.AttemptFailed(is_sent=True):
                self.has_reached_server = True
                self.possible_runs += 1

    def decide_retry(
        self, event: actions.ResponseReceived | actions.AttemptFailed
    ) -> bool:
        """Tell whether to send the request once more."""
        match event:
            case actions.ResponseReceived(not_run=not_run, status=status):
                allowed = not_run or (
                    status >= SERVER_ERROR
                    and self.route.retries_errors
                    and self.is_repeatable
                )
            case actions.AttemptFailed(error=error, is_sent=is_sent):
                # A caller that left or failed to send needs no answer.
                is_server_fault = error.code in OUTCOME_BY_CODE
                is_expired = error.code == PERMIT_EXPIRED
                allowed = (is_server_fault or is_expired) and (
                    not is_sent or self.is_repeatable
                )
        return (
            allowed
            and event.can_resend
            and self.has_attempts_left
            and self.context.read_elapsed() < self.deadline
            and self.context.routes.spend_retry(self.route)
        )

    def find_first_byte_deadline(
        self, first_byte_timeout: datetime.timedelta | None = None
    ) -> datetime.timedelta:
        """Return when to give up on a silent server.

        Half of the time is kept for a second attempt where one is allowed,
        more if the server's silence is unusual after `patience`.
        """
        is_last = self.possible_runs + 1 >= self.route.max_attempts
        if is_last or not (self.is_repeatable and self.has_attempts_left):
            return self.deadline
        half = self.deadline - self.remaining / 2
        if first_byte_timeout is None:
            return half
        return min(half, self.context.read_elapsed() + first_byte_timeout)

    def classify_failure(self, event: actions.AttemptFailed) -> str:
        """Return what a failure says about the server."""
        if event.error.code not in OUTCOME_BY_CODE:
            return 'cancelled' if event.is_sent else 'unused'
        limit = self.request.received + self.route.timeout
        if event.error.code == 'backend_timeout' and self.deadline < limit:
            # The caller allowed less time than the route does.
            return 'cancelled'
        return OUTCOME_BY_CODE[event.error.code]

    def make_outcome(
        self, code: str, ran: str, status: int = 0
    ) -> actions.RequestOutcome:
        """Return the outcome."""
        unspent = not self.may_have_run and self.tokens_valid_until is not None
        return actions.RequestOutcome(
            code,
            ran,
            status,
            self.route.name if self.route else '',
            self.customer,
            self.server,
            self.attempts,
            self.has_idempotency_record,
            unspent,
        )
