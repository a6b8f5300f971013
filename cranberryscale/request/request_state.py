"""State of one request, and the decisions that follow from it alone."""

from collections.abc import Iterator
import datetime
from typing import NamedTuple
import zlib

from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.version import configuration


__all__ = [
    'OUTCOME_BY_CODE',
    'OpenExchange',
    'PERMIT_EXPIRED',
    'RequestState',
    'ReservedPermit',
    'SERVER_ERROR',
]

# Upper bound of attempts including refused connections. Attempts that may have
# run are further bounded by the route's max_attempts.
ATTEMPT_LIMIT = 5
SERVER_ERROR = 500
# Error code of a permit or token that expired before the first byte was sent.
PERMIT_EXPIRED = 'pool_unavailable'

# Outcome that is reported on the backend server for each error code.
OUTCOME_BY_CODE = {
    'backend_timeout': 'silent',
    'backend_refused': 'refused',
    'backend_broken': 'error',
    'backend_ended': 'ended',
    'answer_truncated': 'truncated',
    'answer_crossed': 'crossed',
    'answer_wrong': 'wrong',
}


class ReservedPermit(NamedTuple):
    """A permit, and the service for which it was granted."""

    service: str
    permit: actions.PermitGranted


class OpenExchange(NamedTuple):
    """An attempt whose result is not known; times are elapsed times.

    A server that has sent nothing by `first_byte_until` is overdue.
    """

    attempt: int
    service: str
    permit: actions.PermitGranted
    started_at: datetime.timedelta
    first_byte_until: datetime.timedelta
    is_overdue: bool = False


class RequestState:
    """Mutable state of one request while it is decided and forwarded."""

    def __init__(
        self, request: actions.ParsedRequest, context: actions.DecisionContext
    ):
        self.request = request
        self.context = context
        self.route: configuration.Route | None = None
        self.customer = ''
        self.server = ''
        self.attempts = 0
        # Exchanges that have not ended, by the number of their attempt.
        self.exchanges: dict[int, OpenExchange] = {}
        # Number of ended attempts that a server may have run.
        self.ended_runs = 0
        self.has_reached_server = False
        self.server_limit: float | None = None
        self.permits_asked = 0
        self.excluded: tuple[str, ...] = ()
        self.tokens_valid_until: datetime.timedelta | None = None
        # Whether this token also admits further attempts.
        self.covers_repeats = False
        self.has_idempotency_record = False
        self.may_have_run = False
        self.last_error: errors.FleetError | None = None
        # Response that is kept while a further attempt may replace it.
        self.held_response: actions.ResponseReceived | None = None
        # Permit for the attempt that replaces an unresponsive server.
        self.reserved_permit: ReservedPermit | None = None

    def authorize(self) -> None:
        """Check route and API key by the configuration in force now."""
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

    def check_shutdown(self) -> None:
        """Raise ShuttingDown if the instance may end before the request."""
        plan = self.context.shutdown_plan
        if plan is not None and not plan.can_pass_on(
            self.request.received, self.deadline, self.is_repeatable
        ):
            raise errors.make_error('shutting_down')

    def check_repeat(self) -> None:
        """Raise PoolUnavailable if a request may not be sent once more.

        The configuration may have changed since it was sent.
        """
        if self.possible_runs and not (
            self.is_repeatable and self.has_attempts_left
        ):
            raise errors.make_error('pool_unavailable', self.service)

    @property
    def service(self) -> str:
        """Return the service that runs the request.

        On a route with weighted services the choice is derived from the
        request id, so that it is the same for all attempts under one
        configuration.
        """
        fraction = zlib.crc32(self.request.request_id.encode()) / 2**32
        return self.route.choose_service(fraction)

    @property
    def priority(self) -> int:
        """Return the customer's priority, or else that of the route."""
        customers = self.context.get_configuration().customers
        customer = customers.get(self.customer)
        if customer is None or customer.priority is None:
            return self.route.priority
        return customer.priority

    @property
    def is_most_urgent(self) -> bool:
        """Return whether none of the customer's requests is more urgent."""
        current = self.context.get_configuration()
        customer = current.customers.get(self.customer)
        if customer is not None and customer.priority is not None:
            return True
        return self.context.routes.is_most_urgent(current, self.route)

    @property
    def possible_runs(self) -> int:
        """Return the number of attempts that a server may run or have run."""
        return self.ended_runs + len(self.exchanges)

    @property
    def has_attempts_left(self) -> bool:
        """Return whether another attempt is allowed."""
        has_runs_left = self.possible_runs < self.route.max_attempts
        return has_runs_left and self.attempts < ATTEMPT_LIMIT

    @property
    def deadline(self) -> datetime.timedelta:
        """Return the elapsed time by which the request must end."""
        limit = self.request.received + self.route.timeout
        requested = self.request.deadline
        return limit if requested is None else min(limit, requested)

    @property
    def remaining(self) -> datetime.timedelta:
        """Return the time left, or raise DeadlineTooShort."""
        remaining = self.deadline - self.context.read_elapsed()
        if remaining <= datetime.timedelta(0):
            raise errors.make_error('deadline_too_short')
        return remaining

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.is_idempotent(self.request.method)

    @property
    def has_valid_tokens(self) -> bool:
        """Return whether the request needs no token or has a valid one."""
        return not self.customer or (
            self.tokens_valid_until is not None
            and self.context.read_elapsed() < self.tokens_valid_until
        )

    def find_usable_server(
        self, permit: actions.PermitGranted
    ) -> configuration.BackendServer | None:
        """Return the permit's server, or None if the permit is not usable."""
        current = self.context.get_configuration()
        server = current.servers.get(permit.server)
        if server is None or server.service != self.service:
            return None
        if current.is_server_out(server):
            return None
        # It may have answered another request since the permit was granted.
        if self.context.is_avoided(server.name):
            return None
        is_in_time = self.context.read_elapsed() < permit.start_until
        return server if is_in_time else None

    def open_exchange(self, reserved: ReservedPermit) -> OpenExchange:
        """Record that the next attempt starts with this permit."""
        permit = reserved.permit
        first_byte_until = self.find_first_byte_deadline(
            permit.first_byte_timeout
        )
        self.attempts += 1
        self.excluded += (permit.server,)
        self.server = permit.server
        exchange = OpenExchange(
            self.attempts,
            reserved.service,
            permit,
            self.context.read_elapsed(),
            first_byte_until,
        )
        self.exchanges[self.attempts] = exchange
        return exchange

    def close_exchange(self, attempt: int | None) -> OpenExchange:
        """Remove and return the exchange of an attempt, None for the latest.

        The outcome of the request then names its server.
        """
        exchange = self.exchanges.pop(attempt or max(self.exchanges))
        self.server = exchange.permit.server
        return exchange

    def close_exchanges(self) -> Iterator[OpenExchange]:
        """Remove all open exchanges and yield them."""
        while self.exchanges:
            yield self.exchanges.popitem()[1]

    def mark_overdue(self) -> OpenExchange:
        """Mark and return the exchange whose first byte was due first."""
        exchange = min(
            self._list_timely_exchanges(), key=lambda e: e.first_byte_until
        )
        self.exchanges[exchange.attempt] = exchange._replace(is_overdue=True)
        self.has_reached_server = True
        return exchange

    def _list_timely_exchanges(self) -> tuple[OpenExchange, ...]:
        return tuple(e for e in self.exchanges.values() if not e.is_overdue)

    @property
    def first_byte_until(self) -> datetime.timedelta | None:
        """Return when the next server is overdue, None if all are."""
        return min(
            (e.first_byte_until for e in self._list_timely_exchanges()),
            default=None,
        )

    def spend_token(self) -> None:
        """Drop the token of an attempt that may run, unless it covers all."""
        if not self.covers_repeats:
            self.tokens_valid_until = None

    def record_attempt(
        self, event: actions.ResponseReceived | actions.AttemptFailed
    ) -> None:
        """Record whether an ended attempt reached a server and may have run.

        The attempt's exchange is closed already.
        """
        match event:
            case actions.ResponseReceived(not_run=not_run, statement=said):
                self.has_reached_server = True
                self.ended_runs += not not_run
                limit = said.limit if said else None
                self.server_limit = limit.rate_per_s if limit else None
            case actions.AttemptFailed(is_sent=True):
                self.has_reached_server = True
                self.ended_runs += 1

    def can_add_attempt(self, can_resend: bool) -> bool:
        """Return whether to send the request again beside an open exchange.

        Spends the retry budget.
        """
        return (
            self.is_repeatable
            and self.has_valid_tokens
            and self._can_send_again(can_resend)
        )

    def decide_retry(
        self, event: actions.ResponseReceived | actions.AttemptFailed
    ) -> bool:
        """Return whether to send the request again after an attempt ended.

        Spends the retry budget.
        """
        if self._list_timely_exchanges():
            return False
        match event:
            case actions.ResponseReceived(not_run=not_run, status=status):
                is_allowed = not_run or (
                    status >= SERVER_ERROR
                    and self.route.retries_errors
                    and self.is_repeatable
                )
            case actions.AttemptFailed(error=error, is_sent=is_sent):
                # Errors on the side of the caller are not retried.
                is_server_fault = error.code in OUTCOME_BY_CODE
                is_expired = error.code == PERMIT_EXPIRED
                is_allowed = (is_server_fault or is_expired) and (
                    not is_sent or self.is_repeatable
                )
        return is_allowed and self._can_send_again(event.can_resend)

    def _can_send_again(self, can_resend: bool) -> bool:
        return (
            can_resend
            and self.has_attempts_left
            and self.context.read_elapsed() < self.deadline
            and self.context.routes.spend_retry(self.route)
        )

    def find_first_byte_deadline(
        self, first_byte_timeout: datetime.timedelta | None = None
    ) -> datetime.timedelta:
        """Return when a server that has sent nothing is overdue.

        Half of the remaining time is reserved for another attempt where one
        is allowed, or more if the server is unusually slow after
        `first_byte_timeout`.
        """
        is_last = self.possible_runs + 1 >= self.route.max_attempts
        if is_last or not (self.is_repeatable and self.has_attempts_left):
            return self.deadline
        now = self.context.read_elapsed()
        half = (now + self.deadline) / 2
        if first_byte_timeout is None:
            return half
        return min(half, now + first_byte_timeout)

    def classify_failure(self, event: actions.AttemptFailed) -> str:
        """Return the outcome to report on the server for a failure."""
        if event.error.code not in OUTCOME_BY_CODE:
            return 'cancelled' if event.is_sent else 'unused'
        if event.error.code == 'backend_timeout':
            return self.classify_timeout()
        return OUTCOME_BY_CODE[event.error.code]

    def classify_timeout(self) -> str:
        """Return the outcome to report on a server that sent nothing.

        If the caller's deadline is shorter than the route's timeout, that is
        no evidence against the server.
        """
        limit = self.request.received + self.route.timeout
        return 'cancelled' if self.deadline < limit else 'silent'

    def make_outcome(
        self, code: str, ran: str, status: int = 0
    ) -> actions.RequestOutcome:
        """Return the outcome of the request."""
        has_unspent_token = (
            not self.may_have_run and self.tokens_valid_until is not None
        )
        return actions.RequestOutcome(
            code,
            ran,
            status,
            self.route.name if self.route else '',
            self.customer,
            self.server,
            self.attempts,
            self.has_idempotency_record,
            has_unspent_token,
            self.server_limit,
        )
