"""Answers that an instance gives by itself: JSON with a typed code."""

import http
import json
import math
from typing import NamedTuple

from cranberryscale import errors


__all__ = ['Reply', 'make_reply']

# Sent when a refusal asks for a later retry without saying when.
DEFAULT_RETRY_S = 1

# Statuses without a name in the standard library.
_REASONS = {499: 'Client Closed Request'}


class Reply(NamedTuple):
    """Hold a complete answer."""

    status: str
    headers: list[tuple[str, str]]
    body: bytes


def _find_retry_s(error: errors.FleetError) -> int:
    if error.retry_after is not None:
        return max(1, math.ceil(error.retry_after.total_seconds()))
    if error.entry.status in (429, 503):
        return DEFAULT_RETRY_S
    return 0


def make_reply(
    error: errors.FleetError, request_id: str, ran: str | None = None
) -> Reply:
    """Return the answer for an error.

    `ran` replaces the error table's statement when more is known: the same
    error may come before or after bytes were sent to a backend server.
    """
    entry = error.entry
    body = json.dumps(
        {
            'code': entry.code,
            'reason': str(error).removeprefix(f'{entry.code}: '),
            'ran': ran or entry.ran,
            'request_id': request_id,
        }
    ).encode()
    reason = _REASONS.get(entry.status)
    reason = reason or http.HTTPStatus(entry.status).phrase
    headers = [
        ('Content-Type', 'application/json'),
        ('Content-Length', str(len(body))),
        ('X-Request-Id', request_id),
    ]
    if retry_s := _find_retry_s(error):
        headers.append(('Retry-After', str(retry_s)))
    if entry.status == http.HTTPStatus.UNAUTHORIZED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    return Reply(f'{entry.status} {reason}', headers, body)
