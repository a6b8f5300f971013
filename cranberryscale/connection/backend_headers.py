"""The header names by which instances and backend servers understand them.

Names in lower case; an empty name means that the header is not used.
"""

from collections.abc import Iterable
from typing import NamedTuple

from cranberryscale.connection import http_framing


__all__ = ['BackendHeaders']

_MISDIRECTED_STATUS = 421


class BackendHeaders(NamedTuple):
    """Hold the names; the defaults are the project's own.

    `not_run` states that a request did not run, if it has the value
    `not_run_value` (any value if empty) and one of `not_run_statuses`.
    `target` names the backend server
    for which a request is meant; others answer 421 and do not run it.
    `customer` names the customer. An answer without `signature` was not
    made by the backend server. `cold` states a cold start.
    `has_decimal_retry_after` allows fractions of a second in Retry-After.
    `adds_forwarding` sends the Forwarded, X-Forwarded-* and Via headers.
    """

    not_run: str = 'x-not-run'
    not_run_value: str = 'true'
    not_run_statuses: frozenset[int] = frozenset((503,))
    target: str = ''
    customer: str = ''
    signature: str = ''
    cold: str = 'x-cold-start'
    has_decimal_retry_after: bool = False
    adds_forwarding: bool = True

    def is_not_run(self, status: int, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the backend server states that it ran nothing."""
        if self.target and status == _MISDIRECTED_STATUS:
            return True
        values = http_framing.find_header_values(pairs, self.not_run)
        if status not in self.not_run_statuses or not values:
            return False
        wanted = self.not_run_value
        return not wanted or values[0].lower() == wanted

    def is_cold_start(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the backend server states a cold start."""
        values = http_framing.find_header_values(pairs, self.cold)
        return bool(values) and values[-1].lower() == 'true'

    def is_signed(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether the answer is the backend server's own."""
        return not self.signature or bool(
            http_framing.find_header_values(pairs, self.signature)
        )

    def is_encoded(self, pairs: http_framing.HeaderPairs) -> bool:
        """Return whether something on the way changed the body."""
        return bool(self.signature) and bool(
            http_framing.find_header_values(pairs, 'content-encoding')
        )

    def list_target_headers(
        self, server: str, customer: str
    ) -> Iterable[tuple[str, str]]:
        """Yield the headers that name the server and the customer."""
        if self.target and server:
            yield self.target.title(), server
        if self.customer and customer:
            yield self.customer.title(), customer

    @property
    def reserved_names(self) -> frozenset[str]:
        """Return the names that callers must not set."""
        return frozenset(name for name in (self.target, self.customer) if name)
