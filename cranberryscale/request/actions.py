"""What the decision on a request asks for and what it is told."""

import datetime
from typing import NamedTuple
from typing import Protocol

from cranberryscale import errors
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
    'ReportPermit',
    'RequestOutcome',
    'ResponseReceived',
    'TokensGranted',
]


class DecisionContext(Protocol):
    """Give what the decision needs to know, as of now."""

    routes: routes.RouteTable

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""

    def can_serve_keyed_requests(self) -> bool:
        """Tell whether the configuration is confirmed recently enough."""

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key that is valid now, or None."""


class ParsedRequest(NamedTuple):
    """Describe a request; `deadline` None means the route's timeout only.

    `path` is cleaned by `routes.clean_path`, `host` has no port.
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
    """Ask for a token of the customer's budget."""

    customer: str
    once_key: str


class AskPermit(NamedTuple):
    """Ask for a permit to run at a backend server of the service.

    An answer within `target` of the request's arrival, `waited` ago, is on
    time. `is_repeat` marks a second attempt of the same request.
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


class ForwardRequest(NamedTuple):
    """Send the request to the server, starting before `start_until`.

    With `may_resume`, silence until `first_byte_until` leaves the exchange
    open.
    """

    server: configuration.BackendServer
    permit_id: str
    start_until: datetime.timedelta
    deadline: datetime.timedelta
    first_byte_until: datetime.timedelta
    body_limit_bytes: int
    customer: str = ''
    is_repeatable: bool = False
    can_resume: bool = False


class KeepWaiting(NamedTuple):
    """Go on waiting for the server that was silent."""


class DeliverResponse(NamedTuple):
    """Give the answer that has arrived to the caller."""


class ReportPermit(NamedTuple):
    """Give the permit back with what was seen of the server."""

    service: str
    server: str
    permit_id: str
    outcome: str
    latency: datetime.timedelta
    cold: bool = False


class RefuseRequest(NamedTuple):
    """End with an error; `ran` is the truth of this request."""

    error: errors.FleetError
    ran: str


Action = (
    AskTokens
    | AskPermit
    | ForwardRequest
    | KeepWaiting
    | DeliverResponse
    | ReportPermit
    | RefuseRequest
)


class TokensGranted(NamedTuple):
    """Allow one request of the customer until this elapsed time.

    With `covers_repeats` further attempts of the request need no token.
    """

    valid_until: datetime.timedelta
    covers_repeats: bool = False


class PermitGranted(NamedTuple):
    """Allow one request at the server, started before this elapsed time.

    Silence of the server longer than `first_byte_timeout` is unusual.
    """

    permit_id: str
    server: str
    start_until: datetime.timedelta
    first_byte_timeout: datetime.timedelta | None = None


class AdmissionDenied(NamedTuple):
    """Refuse tokens or a permit with a code of the error table."""

    code: str
    retry_after: datetime.timedelta | None = None


class ResponseReceived(NamedTuple):
    """Report the head of an answer; `not_run` if it says X-Not-Run.

    `can_resend` tells whether the request's body is still available.
    """

    status: int
    not_run: bool = False
    can_resend: bool = True
    cold: bool = False


class AttemptFailed(NamedTuple):
    """Report that no usable answer came.

    `is_sent` is False only if certainly no byte was sent.
    """

    error: errors.FleetError
    is_sent: bool
    can_resend: bool = True


class FirstByteTimedOut(NamedTuple):
    """Report that nothing came so far and the exchange is still open."""

    can_resend: bool = True


class DeliveryEnded(NamedTuple):
    """Report the end of the delivery; `error` None means complete."""

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
    """Summarize a request that ended; `code` is "ok" or an error's code."""

    code: str
    ran: str
    status: int = 0
    route: str = ''
    customer: str = ''
    server: str = ''
    attempts: int = 0
    has_idempotency_record: bool = False
    has_unspent_token: bool = False
