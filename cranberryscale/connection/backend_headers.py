"""Headers exchanged between instances and backend servers.

Header names are in lower case; an empty name disables the header.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cranberryscale.connection import http_framing
from cranberryscale.process.pool import server_statements


__all__ = ['BackendHeaders']

_MISDIRECTED_STATUS = 421
_UNAVAILABLE_STATUS = 503


class BackendHeaders(NamedTuple):
    """Names and use of these headers, by default those of this project.

    The response header `not_run` states that a request did not run, if its
    value is `not_run_value` (any value if empty) and the status is one of
    `not_run_statuses`. The request header `target` names the backend server
    that the request is intended for; others respond with 421 and do not run
    it. The request header `customer` names the customer. A response without
    the header `signature` was not made by the backend server. The response
    header `cold` states a cold start, `limit` how many requests per second the
    server takes from the whole fleet, `leaving` that it leaves, and `rest`,
    in responses with status 503, for how many seconds it wants no further
    request from the instance. `load` states how many requests the server runs,
    how many wait there, and its slots, separated by commas.
    `has_decimal_retry_after` allows fractions of a second in Retry-After.
    `adds_forwarding` adds Forwarded, X-Forwarded-* and Via to requests, and
    Via to responses.
    """

    not_run: str = 'x-not-run'
    not_run_value: str = 'true'
    not_run_statuses: frozenset[int] = frozenset((503,))
    target: str = ''
    customer: str = ''
    signature: str = ''
    cold: str = 'x-cold-start'
    limit: str = ''
    leaving: str = ''
    rest: str = ''
    load: str = ''
    has_decimal_retry_after: bool = False
    adds_forwarding: bool = True

    def is_not_run(self, status: int, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the response states that the request did not run."""
        if self.target and status == _MISDIRECTED_STATUS:
            return True
        values = http_framing.find_header_values(pairs, self.not_run)
        if status not in self.not_run_statuses or not values:
            return False
        wanted = self.not_run_value
        return not wanted or values[0].lower() == wanted

    def is_cold_start(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the response states a cold start."""
        values = http_framing.find_header_values(pairs, self.cold)
        return bool(values) and values[-1].lower() == 'true'

    def read_statement(
        self, status: int, pairs: http_framing.HeaderPairs
    ) -> server_statements.ServerStatement:
        """Return what a response says of its server."""
        turns_away = status == _UNAVAILABLE_STATUS
        return server_statements.read_statement(
            http_framing.find_header_values(pairs, self.limit),
            http_framing.find_header_values(pairs, self.leaving),
            http_framing.find_header_values(pairs, self.rest)
            if turns_away
            else (),
            http_framing.find_header_values(pairs, self.load),
        )

    def is_signed(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the backend server itself made the response."""
        return not self.signature or bool(
            http_framing.find_header_values(pairs, self.signature)
        )

    def is_encoded(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether an intermediary encoded the body."""
        return bool(self.signature) and bool(
            http_framing.find_header_values(pairs, 'content-encoding')
        )

    def list_target_headers(
        self, server: str, customer: str
    ) -> Iterable[tuple[str, str]]:
        """Yield the request headers that name the server and the customer."""
        if self.target and server:
            yield self.target.title(), server
        if self.customer and customer:
            yield self.customer.title(), customer

    @property
    def reserved_names(self) -> frozenset[str]:
        """Return the request headers that callers must not set."""
        return frozenset(name for name in (self.target, self.customer) if name)
