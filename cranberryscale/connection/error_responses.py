"""Error responses that an instance makes itself: JSON with a typed code."""

import datetime
import http
import json
import math
from typing import NamedTuple

from cranberryscale import errors


__all__ = ['ErrorResponse', 'make_error_response']

# Retry-After of a retryable error without a known delay.
DEFAULT_RETRY_AFTER_S = 1
# Another instance can be tried at once; the delay keeps callers from retrying
# in a tight loop.
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=100)
# Statuses from which callers may conclude that a request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))

# Reason phrases of statuses that are unknown to the standard library.
_REASONS = {499: 'Client Closed Request'}


class ErrorResponse(NamedTuple):
    """Complete error response."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def _find_retry_after_s(
    error: errors.FleetError, has_decimals: bool
) -> float | int:
    if has_decimals and error.entry.status in NOT_RUN_STATUSES:
        delay = error.retry_after or MIN_RETRY_AFTER
        return round(max(delay, MIN_RETRY_AFTER).total_seconds(), 2)
    if error.retry_after is not None:
        return max(1, math.ceil(error.retry_after.total_seconds()))
    if error.entry.status in (429, 503):
        return DEFAULT_RETRY_AFTER_S
    return 0


def _find_status(error: errors.FleetError, ran: str | None) -> int:
    # A request that may have run must not get one of these statuses.
    if (
        ran not in (None, errors.NOT_RUN)
        and error.entry.status in NOT_RUN_STATUSES
    ):
        return http.HTTPStatus.BAD_GATEWAY
    return error.entry.status


def make_error_response(
    error: errors.FleetError,
    request_id: str,
    ran: str | None = None,
    has_decimals: bool = False,
) -> ErrorResponse:
    """Return the response for an error.

    `ran` overrides the error table if more is known, since the same error may
    occur before or after bytes were sent to a backend server.
    `has_decimals` allows fractions of a second in Retry-After.
    """
    entry, status = error.entry, _find_status(error, ran)
    body = json.dumps(
        {
            'code': entry.code,
            'reason': str(error).removeprefix(f'{entry.code}: '),
            'ran': ran or entry.ran,
            'request_id': request_id,
        }
    ).encode()
    reason = _REASONS.get(status) or http.HTTPStatus(status).phrase
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        ('X-Request-Id', request_id),
    ]
    promises_not_run = status in NOT_RUN_STATUSES
    retry_after_s = _find_retry_after_s(error, has_decimals)
    if retry_after_s and (promises_not_run or status == entry.status):
        headers.append(('Retry-After', str(retry_after_s)))
    if entry.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return ErrorResponse(f'{status} {reason}', headers, body)
