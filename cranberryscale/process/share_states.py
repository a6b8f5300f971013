"""What an entry instance knows of a customer's shares."""

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
    'update',
]

ZERO = datetime.timedelta()
# First and longest time for which a silent share is asked last only.
SILENCE = datetime.timedelta(milliseconds=250)
SILENCE_LIMIT = datetime.timedelta(seconds=4)
# A holder that lost its lease sends the caller away for this long.
NOT_HOLDER = datetime.timedelta(milliseconds=250)


class TimedReply(NamedTuple):
    """Tell the reply to an Ask, None when there was none in time."""

    reply: messages.TokenGrant | messages.TokenDenial | None
    sent_at: datetime.timedelta
    now: datetime.timedelta


class ShareState(NamedTuple):
    """Hold what an entry instance knows of one share.

    `left` tokens were on hand at `at`. The share is `denied` or silent
    until `blocked_until`; `failures` counts silences in a row.
    """

    left: float | None = None
    at: datetime.timedelta = ZERO
    blocked_until: datetime.timedelta = ZERO
    denied: bool = False
    failures: int = 0


UNKNOWN = ShareState()


def _guess_fill(
    share: token_bucket.BudgetShare, facts: ShareState, now: datetime.timedelta
) -> float:
    if facts.left is None:
        return 1.0
    gained = share.rate_per_s * (now - facts.at).total_seconds()
    return min((facts.left + gained) / max(share.burst_requests, 1), 1.0)


def estimate_tokens(
    facts: dict[int, ShareState],
    share: token_bucket.BudgetShare,
    now: datetime.timedelta,
) -> float:
    """Return the tokens that the share probably has, 0 when unknown."""
    known = facts.get(share.index)
    if known is None or known.left is None:
        return 0.0
    return _guess_fill(share, known, now) * share.burst_requests


def order_shares(
    shares: Sequence[token_bucket.BudgetShare],
    facts: dict[int, ShareState],
    domain: str,
    now: datetime.timedelta,
    ties: Sequence[float],
) -> tuple[token_bucket.BudgetShare, ...]:
    """Return the shares worth asking now, the best first.

    The probably fullest comes first. `ties`, random numbers from 0 to 1 for
    each share, choose among equals in proportion to the rates, as the shares
    accrue. Once a share was silent, the own failure domain's comes first and
    silent ones last. Shares that denied or were silent just now are left out.
    """
    silent = any(fact.failures for fact in facts.values())

    def rank(share):
        fact = facts.get(share.index, UNKNOWN)
        near = silent and share.resource.scope == domain
        fill = round(_guess_fill(share, fact, now), 1)
        # The largest of u ** (1 / weight) is a choice by weight.
        chance = -(ties[share.index] ** (1 / max(share.rate_per_s, 1e-6)))
        return fact.failures > 0, not near, -fill, chance

    open_shares = (
        share
        for share in shares
        if facts.get(share.index, UNKNOWN).blocked_until <= now
    )
    return tuple(sorted(open_shares, key=rank))


def update(before: ShareState, answer: TimedReply) -> ShareState:
    """Return what is known of a share after an answer."""
    now = answer.now
    match answer.reply:
        case messages.TokenGrant(left=left):
            return ShareState(left, now)
        case messages.TokenDenial('rate_exceeded', retry_after_s, left):
            retry = datetime.timedelta(seconds=min(retry_after_s, 3600))
            return ShareState(left, now, now + retry, True)
        case messages.TokenDenial('not_holder'):
            return before._replace(
                blocked_until=now + NOT_HOLDER, denied=False, failures=1
            )
        case messages.TokenDenial():
            # About an idempotency key, so it says nothing of the share.
            return before
    silence = SILENCE * 2 ** min(before.failures, 10)
    return before._replace(
        blocked_until=now + min(silence, SILENCE_LIMIT),
        denied=False,
        failures=before.failures + 1,
    )
