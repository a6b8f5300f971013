"""Actions and events of the decision logic for one request.

`flow.decide_request` yields actions; the code that performs an action sends
back the event that it led to.
"""

import datetime
from typing import NamedTuple
from typing import Protocol

from cranberryscale import errors
from cranberryscale.process.pool import server_statements
from cranberryscale.process import shutdown
from cranberryscale.request import routes
from cranberryscale.version import configuration


__all__ = [
    'Action',
    'AdmissionDenied',
    'AskPermit',
    'AskTokens',
    'AttemptFailed',
    'DecisionContext',
    'DeliverResponse',
    'DeliveryEnded',
    'Event',
    'FirstByteTimedOut',
    'ForwardRequest',
    'KeepWaiting',
    'ParsedRequest',
    'PermitGranted',
    'RefuseRequest',
    'ReportOverdue',
    'ReportPermit',
    'RequestOutcome',
    'ResponseReceived',
    'TokensGranted',
]


class DecisionContext(Protocol):
    """Current state that decisions on requests are based on.

    `shutdown_plan` is None until the instance shuts down.
    """

    routes: routes.RouteTable
    shutdown_plan: shutdown.ShutdownPlan | None

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""

    def can_serve_keyed_requests(self) -> bool:
        """Return whether requests with an API key may be served now."""

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a currently valid API key, or None."""

    def is_avoided(self, server: str) -> bool:
        """Return whether a server wants no requests of this instance now."""


class ParsedRequest(NamedTuple):
    """Request of a caller, as far as decisions depend on it.

    `path` is normalized by `routes.clean_path`, `host` has no port. `received`
    and `deadline` are elapsed times; without a deadline only the route's
    timeout applies. `once_key` is the digest of the idempotency key, if any.
    """

    request_id: str
    method: str
    host: str
    path: str
    key: str
    received: datetime.timedelta
    deadline: datetime.timedelta | None = None
    once_key: str = ''
    body_bytes: int = 0


class AskTokens(NamedTuple):
    """Action: obtain a token of the customer's rate budget.

    `remaining` is the time until the request's deadline. `is_urgent` is set
    if none of the customer's requests is more urgent. `target` is the latency
    objective, counted from the arrival of the request `waited` ago; zero for
    none.
    """

    customer: str
    once_key: str
    remaining: datetime.timedelta = datetime.timedelta(0)
    is_urgent: bool = True
    target: datetime.timedelta = datetime.timedelta(0)
    waited: datetime.timedelta = datetime.timedelta(0)
    priority: int = 0


class AskPermit(NamedTuple):
    """Action: obtain a permit to run at a backend server of the service.

    `target` is the latency objective, counted from the arrival of the request
    `waited` ago. `probe_ok` allows a trial at an ejected server. `is_repeat`
    marks another attempt of a request that a server has already received.
    `digest` is that of request_crashes, empty for requests that run once.
    `kind` names requests that are alike: those of one route.
    """

    service: str
    customer: str
    remaining: datetime.timedelta
    excluded: tuple[str, ...]
    probe_ok: bool
    target: datetime.timedelta = datetime.timedelta(seconds=1)
    waited: datetime.timedelta = datetime.timedelta(0)
    priority: int = 0
    is_repeat: bool = False
    digest: bytes = b''
    kind: str = ''


class ForwardRequest(NamedTuple):
    """Action: send the request to a server, starting before `start_until`.

    Exchanges of earlier attempts that have not ended stay open. The event is
    the first one of any open exchange, or FirstByteTimedOut if none comes by
    `first_byte_until`. `attempt` is the number of the attempt, from 1.
    """

    server: configuration.BackendServer
    permit_id: str
    start_until: datetime.timedelta
    deadline: datetime.timedelta
    first_byte_until: datetime.timedelta
    body_limit_bytes: int
    customer: str = ''
    is_repeatable: bool = False
    attempt: int = 1


class KeepWaiting(NamedTuple):
    """Action: wait for the first event of any open exchange.

    The event is FirstByteTimedOut if none comes by the elapsed time `until`;
    without it, exchanges end at the deadline.
    """

    until: datetime.timedelta | None = None


class DeliverResponse(NamedTuple):
    """Action: deliver the received response to the caller."""


class ReportPermit(NamedTuple):
    """Action: return a permit and report how the server behaved.

    `statement` is what the server's answer says of it, None without answer.
    `target` is the latency objective of the request.
    """

    service: str
    server: str
    permit_id: str
    outcome: str
    latency: datetime.timedelta
    cold: bool = False
    statement: server_statements.ServerStatement | None = None
    digest: bytes = b''
    target: datetime.timedelta = datetime.timedelta(0)


class ReportOverdue(NamedTuple):
    """Action: report that a server is silent for longer than usual.

    The request with the permit is still waited for.
    """

    service: str
    server: str
    permit_id: str


class RefuseRequest(NamedTuple):
    """Action: answer with an error.

    `ran` is whether the request ran: errors.RAN, NOT_RUN or UNKNOWN.
    """

    error: errors.FleetError
    ran: str


Action = (
    AskTokens
    | AskPermit
    | ForwardRequest
    | KeepWaiting
    | DeliverResponse
    | ReportOverdue
    | ReportPermit
    | RefuseRequest
)


class TokensGranted(NamedTuple):
    """Event: one request of the customer is admitted until `valid_until`.

    With `covers_repeats` further attempts of the request need no token.
    """

    valid_until: datetime.timedelta
    covers_repeats: bool = False


class PermitGranted(NamedTuple):
    """Event: one request may run at the server if it starts in time.

    A server that takes longer than `first_byte_timeout` to send the first
    byte is unusually slow.
    """

    permit_id: str
    server: str
    start_until: datetime.timedelta
    first_byte_timeout: datetime.timedelta | None = None


class AdmissionDenied(NamedTuple):
    """Event: a token or permit was denied; `code` is in the error table."""

    code: str
    retry_after: datetime.timedelta | None = None


class ResponseReceived(NamedTuple):
    """Event: the head of a response arrived.

    `not_run` is set if the response states that the request did not run
    (X-Not-Run), `can_resend` if the request's body can be sent again, `cold`
    if the response states a cold start. `statement` is what it says of its
    server, `attempt` the number of the attempt, None for the latest.
    """

    status: int
    not_run: bool = False
    can_resend: bool = True
    cold: bool = False
    statement: server_statements.ServerStatement | None = None
    attempt: int | None = None


class AttemptFailed(NamedTuple):
    """Event: an attempt produced no usable response.

    `is_sent` is False only if certainly no byte of the request was sent.
    `attempt` is the number of the attempt, None for the latest.
    """

    error: errors.FleetError
    is_sent: bool
    can_resend: bool = True
    attempt: int | None = None


class FirstByteTimedOut(NamedTuple):
    """Event: no byte arrived in time; the exchanges are still open."""

    can_resend: bool = True


class DeliveryEnded(NamedTuple):
    """Event: the delivery ended; it is complete if `error` is None."""

    error: errors.FleetError | None = None


Event = (
    TokensGranted
    | PermitGranted
    | AdmissionDenied
    | ResponseReceived
    | AttemptFailed
    | FirstByteTimedOut
    | DeliveryEnded
)


class RequestOutcome(NamedTuple):
    """Result of a finished request; `code` is "ok" or an error code.

    `server_limit` is the limit per second that the last answer named.
    """

    code: str
    ran: str
    status: int = 0
    route: str = ''
    customer: str = ''
    server: str = ''
    attempts: int = 0
    has_idempotency_record: bool = False
    has_unspent_token: bool = False
    server_limit: float | None = None
