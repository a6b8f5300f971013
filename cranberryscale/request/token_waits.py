"""How long a request can wait for a token of its customer's rate.

Load patterns: a customer that is over its rate for some seconds, with kinds
of requests whose targets differ by a factor of ten; callers that return
together after the loss of all instances.
"""

import datetime
import threading
from typing import NamedTuple


__all__ = ['TokenWait', 'WaitLimiter', 'find_token_wait']

ZERO = datetime.timedelta(0)
# Longest wait of a request for a token of its customer's rate, also as a part
# of its remaining time: waiting must leave time to serve it.
TOKEN_WAIT_LIMIT = datetime.timedelta(milliseconds=400)
TOKEN_WAIT_RATIO = 1 / 3
# The same while the instance has just started. If all instances started
# together, the callers bring the demand of the seconds without service.
STARTUP_TOKEN_WAIT_LIMIT = datetime.timedelta(milliseconds=1500)
STARTUP_TOKEN_WAIT_RATIO = 1 / 2
STARTUP_DEMAND_TIME = datetime.timedelta(seconds=2)
# Part of this time for requests that are not the most urgent. Tokens are
# booked in the order of arrival, so otherwise requests with much time would
# take the tokens that urgent ones with little time cannot wait for.
LESS_URGENT_WAIT_RATIO = 1 / 2
# Part of the time that the target leaves beyond the usual latency. The rest is
# for the queue of a pool.
SPARE_TIME_RATIO = 2 / 3


class TokenWait(NamedTuple):
    """How long a request can wait and be on time, and be of use if late.

    `late` is zero for requests that have no latency target.
    """

    on_time: datetime.timedelta
    late: datetime.timedelta = ZERO


def find_token_wait(
    target_left: datetime.timedelta | None,
    remaining: datetime.timedelta,
    usual: datetime.timedelta,
    since_start: datetime.timedelta,
    is_urgent: bool,
) -> TokenWait:
    """Return how long a request can wait for a token.

    Its target ends after `target_left`, None without one, and its deadline
    after `remaining`; it usually takes `usual`. `since_start` is negative
    while the instance starts.
    """
    if since_start < ZERO:
        # Holders that start do not know their rate yet, so the waits that
        # they would grant are too long. Tokens are asked for again.
        return TokenWait(ZERO)
    limit, ratio = TOKEN_WAIT_LIMIT, TOKEN_WAIT_RATIO
    if since_start < STARTUP_DEMAND_TIME:
        limit, ratio = STARTUP_TOKEN_WAIT_LIMIT, STARTUP_TOKEN_WAIT_RATIO
    booking = min(limit, remaining * ratio)
    if not is_urgent:
        booking *= LESS_URGENT_WAIT_RATIO
    if target_left is None:
        return TokenWait(booking)
    spare = min(target_left, remaining) - usual
    on_time = max(ZERO, spare * SPARE_TIME_RATIO)
    if on_time <= TOKEN_WAIT_LIMIT:
        on_time = min(on_time, booking)
    late = max(ZERO, min(remaining * ratio, remaining - usual))
    return TokenWait(on_time, late)


class WaitLimiter:
    """Bound on the requests of an instance that wait for tokens.

    Each of them occupies a thread that serves callers.
    """

    def __init__(self, limit: int):
        self._slots = threading.BoundedSemaphore(limit)

    def try_acquire(self) -> bool:
        """Return whether one more request may wait."""
        return self._slots.acquire(blocking=False)

    def release(self) -> None:
        """Record that a request no longer waits."""
        self._slots.release()
