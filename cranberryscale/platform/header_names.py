"""The platform's names of the headers exchanged with backend servers."""

from cranberryscale.connection import backend_headers


__all__ = ['BACKEND_HEADERS']

BACKEND_HEADERS = backend_headers.BackendHeaders(
    not_run='x-not-executed',
    not_run_value='',
    not_run_statuses=frozenset(range(400, 600)),
    target='x-target-instance',
    customer='x-tenant',
    signature='x-upstream-seal',
    # Servers announce a cold start in their store entries, not in responses.
    cold='',
    limit='server-limit',
    leaving='server-leaving',
    rest='retry-after',
    load='x-upstream-load',
    has_decimal_retry_after=True,
    adds_forwarding=False,
)
