"""What the decision on a request asks for and what it is told."""

import datetime
from typing import NamedTuple
from typing import Protocol

from cranberryscale import errors
from cranberryscale.request import routes
from cranberryscale.version import configuration


__all__ = [
    'Action',
    'Answered',
    'AskPermit',
    'AskTokens',
    'Deliver',
    'Delivered',
    'Denied',
    'Event',
    'Facts',
    'Failed',
    'Forward',
    'Outcome',
    'PermitGranted',
    'Refuse',
    'ReportPermit',
    'Request',
    'Resume',
    'Silent',
    'TokensGranted',
]


class Facts(Protocol):
    """Give what the decision needs to know, as of now."""

    routes: routes.RouteBook

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""

    def may_serve_keyed(self) -> bool:
        """Tell whether the configuration is confirmed recently enough."""

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key that is valid now, or None."""


class Request(NamedTuple):
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


class Forward(NamedTuple):
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
    may_resume: bool = False


class Resume(NamedTuple):
    """Go on waiting for the server that was silent."""


class Deliver(NamedTuple):
    """Give the answer that has arrived to the caller."""


class ReportPermit(NamedTuple):
    """Give the permit back with what was seen of the server."""

    service: str
    server: str
    permit_id: str
    outcome: str
    latency: datetime.timedelta
    cold: bool = False


class Refuse(NamedTuple):
    """End with an error; `ran` is the truth of this request."""

    error: errors.FleetError
    ran: str


Action = (
    AskTokens | AskPermit | Forward | Resume | Deliver | ReportPermit | Refuse
)


class TokensGranted(NamedTuple):
    """Allow one request of the customer until this elapsed time.

    With `covers_repeats` further attempts of the request need no token.
    """

    valid_until: datetime.timedelta
    covers_repeats: bool = False


class PermitGranted(NamedTuple):
    """Allow one request at the server, started before this elapsed time.

    Silence of the server longer than `patience` is unusual.
    """

    permit_id: str
    server: str
    start_until: datetime.timedelta
    patience: datetime.timedelta | None = None


class Denied(NamedTuple):
    """Refuse tokens or a permit with a code of the error table."""

    code: str
    retry_after: datetime.timedelta | None = None


class Answered(NamedTuple):
    """Report the head of an answer; `not_run` if it says X-Not-Run.

    `can_resend` tells whether the request's body is still available.
    """

    status: int
    not_run: bool = False
    can_resend: bool = True
    cold: bool = False


class Failed(NamedTuple):
    """Report that no usable answer came.

    `is_sent` is False only if certainly no byte was sent.
    """

    error: errors.FleetError
    is_sent: bool
    can_resend: bool = True


class Silent(NamedTuple):
    """Report that nothing came so far and the exchange is still open."""

    can_resend: bool = True


class Delivered(NamedTuple):
    """Report the end of the delivery; `error` None means complete."""

    error: errors.FleetError | None = None


Event = (
    TokensGranted
    | PermitGranted
    | Denied
    | Answered
    | Failed
    | Silent
    | Delivered
)


class Outcome(NamedTuple):
    """Summarize a request that ended; `code` is "ok" or an error's code."""

    code: str
    ran: str
    status: int = 0
    route: str = ''
    customer: str = ''
    server: str = ''
    attempts: int = 0
    has_once: bool = False
    has_unspent: bool = False
