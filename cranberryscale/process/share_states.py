"""State of a customer's budget shares as known to an entry instance."""

from collections.abc import Sequence
import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import token_bucket


__all__ = [
    'ShareState',
    'TimedReply',
    'estimate_tokens',
    'order_shares',
    'update_state',
]

ZERO = datetime.timedelta()
# First and longest time for which order_shares leaves out a share whose holder
# did not answer; it doubles with each unanswered call.
NO_REPLY_BACKOFF = datetime.timedelta(milliseconds=250)
MAX_NO_REPLY_BACKOFF = datetime.timedelta(seconds=4)
# For this long, order_shares leaves out a share whose holder lost its lease.
NOT_HOLDER_BACKOFF = datetime.timedelta(milliseconds=250)


class TimedReply(NamedTuple):
    """The reply of a share's holder, None if there was none in time.

    The request was sent at `sent_at`; the reply arrived, or was given up, at
    `ended_at`.
    """

    reply: messages.TokenGrant | messages.TokenDenial | None
    sent_at: datetime.timedelta
    ended_at: datetime.timedelta


class ShareState(NamedTuple):
    """The last known state of one share.

    `left` tokens were on hand at the time `at`. The share is not called until
    `blocked_until`, since it denied (`is_denied`) or did not answer.
    `unanswered_calls` counts calls in a row without an answer; an answer of a
    former holder (`not_holder`) sets it to 1.
    """

    left: float | None = None
    at: datetime.timedelta = ZERO
    blocked_until: datetime.timedelta = ZERO
    is_denied: bool = False
    unanswered_calls: int = 0


UNKNOWN_STATE = ShareState()


def _estimate_fill(
    share: token_bucket.BudgetShare, state: ShareState, now: datetime.timedelta
) -> float:
    if state.left is None:
        return 1.0
    accrued = share.rate_per_s * (now - state.at).total_seconds()
    return min((state.left + accrued) / max(share.burst_requests, 1), 1.0)


def estimate_tokens(
    states: dict[int, ShareState],
    share: token_bucket.BudgetShare,
    now: datetime.timedelta,
) -> float:
    """Return the estimated tokens of a share, 0 if unknown."""
    state = states.get(share.index)
    if state is None or state.left is None:
        return 0.0
    return _estimate_fill(share, state, now) * share.burst_requests


def order_shares(
    shares: Sequence[token_bucket.BudgetShare],
    states: dict[int, ShareState],
    domain: str,
    now: datetime.timedelta,
    tie_breakers: Sequence[float],
) -> tuple[token_bucket.BudgetShare, ...]:
    """Return the shares to call now, the best first.

    The share with the highest estimated fill comes first. `tie_breakers`,
    random numbers from 0 to 1 for each share, choose among equals in
    proportion to the rates at which the shares accrue. While a share is
    unresponsive, the share of the own failure domain `domain` comes first and
    unresponsive ones last. Blocked shares are left out.
    """
    is_any_unresponsive = any(
        state.unanswered_calls for state in states.values()
    )

    def make_sort_key(share):
        state = states.get(share.index, UNKNOWN_STATE)
        is_near = is_any_unresponsive and share.resource.scope == domain
        fill = round(_estimate_fill(share, state, now), 1)
        # The largest of u ** (1 / weight) is a choice by weight.
        weighted_tie_breaker = -(
            tie_breakers[share.index] ** (1 / max(share.rate_per_s, 1e-6))
        )
        return (
            state.unanswered_calls > 0,
            not is_near,
            -fill,
            weighted_tie_breaker,
        )

    unblocked = (
        share
        for share in shares
        if states.get(share.index, UNKNOWN_STATE).blocked_until <= now
    )
    return tuple(sorted(unblocked, key=make_sort_key))


def update_state(state: ShareState, timed_reply: TimedReply) -> ShareState:
    """Return the state of a share after a reply."""
    now = timed_reply.ended_at
    match timed_reply.reply:
        case messages.TokenGrant(left=left):
            return ShareState(left, now)
        case messages.TokenDenial('rate_exceeded', retry_after_s, left):
            retry = datetime.timedelta(seconds=min(retry_after_s, 3600))
            return ShareState(left, now, now + retry, True)
        case messages.TokenDenial('not_holder'):
            return state._replace(
                blocked_until=now + NOT_HOLDER_BACKOFF,
                is_denied=False,
                unanswered_calls=1,
            )
        case messages.TokenDenial():
            # The denial is about an idempotency key, so it says nothing of the
            # share.
            return state
    backoff = NO_REPLY_BACKOFF * 2 ** min(state.unanswered_calls, 10)
    return state._replace(
        blocked_until=now + min(backoff, MAX_NO_REPLY_BACKOFF),
        is_denied=False,
        unanswered_calls=state.unanswered_calls + 1,
    )
