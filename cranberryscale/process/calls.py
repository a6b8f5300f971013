"""Plans: conversations between instances, without I/O.

A plan is a generator that yields Call and Wait and is sent a Reply to each.
Whoever drives it does the sending and waiting: the daemon with sockets and
threads, tests and measurements with their own network and time.
"""

from collections.abc import Generator
import datetime
from typing import Any
from typing import NamedTuple

from cranberryscale import errors


__all__ = ['Call', 'CallResult', 'Plan', 'Sleep', 'call_member']


class Call(NamedTuple):
    """Send a message to a member; `target` may be the instance itself."""

    target: str
    message: Any
    timeout: datetime.timedelta


class Sleep(NamedTuple):
    """Do nothing for a while."""

    delay: datetime.timedelta


class CallResult(NamedTuple):
    """Tell the reply to a call, or the error instead of one.

    `sent_at` is when the call was sent; validity counts from then.
    """

    message: Any
    sent_at: datetime.timedelta
    now: datetime.timedelta
    error: errors.FleetError | None = None


Plan = Generator[Call | Sleep, CallResult, Any]


def call_member(
    target: str | None,
    message: Any,
    timeout: datetime.timedelta,
    now: datetime.timedelta,
) -> Generator[Call, CallResult, CallResult]:
    """Call a member and return the Reply; no member is an error too."""
    if target is None:
        error = errors.make_error('peer_unreachable', '')
        return CallResult(None, now, now, error)
    return (yield Call(target, message, timeout))
