"""Plans: exchanges between instances as generators, without I/O.

A plan yields Call and Sleep and is sent a CallResult for each. Its driver does
the sending and waiting: the daemon with sockets and threads, tests and benches
with a simulated network and clock.
"""

from collections.abc import Generator
import datetime
from typing import Any
from typing import NamedTuple

from cranberryscale import errors


__all__ = ['Call', 'CallResult', 'Plan', 'Sleep', 'call_member']


class Call(NamedTuple):
    """Message to send to a member; `target` may be the instance itself."""

    target: str
    message: Any
    timeout: datetime.timedelta


class Sleep(NamedTuple):
    """Delay before the plan continues."""

    delay: datetime.timedelta


class CallResult(NamedTuple):
    """Reply to a call, or the error instead of one.

    `sent_at` is when the call was sent; validity counts from then. `ended_at`
    is when the reply arrived or the call failed.
    """

    message: Any
    sent_at: datetime.timedelta
    ended_at: datetime.timedelta
    error: errors.FleetError | None = None


Plan = Generator[Call | Sleep, CallResult, Any]


def call_member(
    target: str | None,
    message: Any,
    timeout: datetime.timedelta,
    now: datetime.timedelta,
) -> Generator[Call, CallResult, CallResult]:
    """Call a member and return the result; without a target it is an error."""
    if target is None:
        error = errors.make_error('peer_unreachable', '')
        return CallResult(None, now, now, error)
    return (yield Call(target, message, timeout))
