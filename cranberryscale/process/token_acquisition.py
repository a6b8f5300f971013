"""Acquisition of a budget token for one request, as a generator.

Takes a token from the entry instance's cache, or else asks the holders of the
customer's shares, the one estimated to be fullest first.
"""

from collections.abc import Generator
import datetime
import random
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import share_states
from cranberryscale.process import token_bucket
from cranberryscale.process import token_cache


__all__ = [
    'TokenWait',
    'TokenAcquired',
    'TokenAcquisition',
    'TokenAcquisitionFailed',
]

ZERO = datetime.timedelta()


class TokenWait(NamedTuple):
    """Delay of an acquisition until a denied share has a token again."""

    delay: datetime.timedelta


class TokenAcquired(NamedTuple):
    """Acquired token; the request must start before the token expires.

    The token was taken out at the time `at` and must be settled.
    """

    at: datetime.timedelta
    token: token_cache.TokenBatch


class TokenAcquisitionFailed(NamedTuple):
    """Failed acquisition with a code of the error table."""

    code: str
    retry_after: datetime.timedelta


class TokenAcquisition:
    """The acquisition of a token for one request.

    `run` yields ShareMessage and is sent a TimedReply for it, or yields
    TokenWait and is sent the time after the wait. It returns TokenAcquired or
    TokenAcquisitionFailed. A failure has the code `rate_exceeded` if the
    shares that could be reached all denied, and `budget_unavailable` if none
    could be reached. If the holder rejects the once key, the failure has the
    code of that denial.
    """

    def __init__(
        self,
        cache: token_cache.TokenCache,
        shares: tuple[token_bucket.BudgetShare, ...],
        domain: str,
        terms: token_bucket.BudgetTerms,
        rng: random.Random,
        request_id: str,
    ):
        self._cache = cache
        self._shares = shares
        self._domain = domain
        self._terms = terms
        self._random = rng
        self._request_id = request_id
        self._customer = shares[0].customer
        self._tried_shares: set[int] = set()
        self._silent_share: token_bucket.BudgetShare | None = None
        self._can_retry_silent = True
        self._waited = ZERO
        self._denials = 0

    @property
    def once_request_id(self) -> str:
        """Return the request id under which a once key is registered."""
        return f'{self._request_id}/0'

    def run(
        self, now: datetime.timedelta, once_key: str = ''
    ) -> Generator[
        budgets.ShareMessage | TokenWait,
        share_states.TimedReply | datetime.timedelta,
        TokenAcquired | TokenAcquisitionFailed,
    ]:
        """Return the outcome; with a once key, share 0 comes first."""
        tokens = self._cache.get_customer(self._customer, now)
        tokens.record_demand(now)
        if once_key:
            timed_reply = yield from self._register_key(now, once_key)
            now = timed_reply.ended_at
            failure = _check_registration(timed_reply)
            if failure is not None:
                return failure
        while not (token := self._cache.spend(self._customer, now)):
            share = self._choose_share(tokens, now)
            if share is not None:
                now = (yield from self._request_tokens(share, now)).ended_at
                continue
            delay = self._find_delay(tokens, now)
            if delay is None:
                failure = _make_failure(tokens, self._shares, now)
                tokens.record_outcome(failure.code == 'rate_exceeded')
                return failure
            now = yield from self._wait(tokens, delay)
        tokens.record_outcome(False)
        return TokenAcquired(now, token)

    def _request_tokens(
        self,
        share: token_bucket.BudgetShare,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> Generator[
        budgets.ShareMessage, share_states.TimedReply, share_states.TimedReply
    ]:
        # Each share gets its own request id and a repeated request keeps it,
        # so that a lost reply costs no second token.
        request_id = f'{self._request_id}/{share.index}'
        self._tried_shares.add(share.index)
        request = self._cache.make_request(share, request_id, now, once_key)
        try:
            timed_reply = yield request
            self._cache.apply_reply(request, timed_reply)
        finally:
            self._cache.cancel_request(request)
        if timed_reply.reply is None and self._can_retry_silent:
            self._silent_share = share
        match timed_reply.reply:
            case messages.TokenDenial('rate_exceeded'):
                self._denials += 1
        return timed_reply

    def _register_key(
        self, now: datetime.timedelta, once_key: str
    ) -> Generator[
        budgets.ShareMessage, share_states.TimedReply, share_states.TimedReply
    ]:
        first = self._shares[0]
        timed_reply = yield from self._request_tokens(first, now, once_key)
        if timed_reply.reply is None:
            # A repeated registration of the same request has no effect.
            timed_reply = yield from self._request_tokens(
                first, timed_reply.ended_at, once_key
            )
        return timed_reply

    def _wait(
        self,
        tokens: token_cache.CustomerTokens,
        delay: datetime.timedelta,
    ) -> Generator[TokenWait, datetime.timedelta, datetime.timedelta]:
        tokens.waiting_requests += 1
        try:
            now = yield TokenWait(delay)
        finally:
            tokens.waiting_requests -= 1
        self._waited += delay
        self._tried_shares.clear()
        self._denials = 0
        return now

    def _choose_share(
        self, tokens: token_cache.CustomerTokens, now: datetime.timedelta
    ) -> token_bucket.BudgetShare | None:
        if self._denials >= tokens.find_denial_limit(len(self._shares)):
            return None
        tie_breakers = [self._random.random() for _ in self._shares]
        ordered = share_states.order_shares(
            self._shares, tokens.known_shares, self._domain, now, tie_breakers
        )
        untried = (s for s in ordered if s.index not in self._tried_shares)
        share = next(untried, None)
        if share is None and self._silent_share is not None:
            share, self._silent_share = self._silent_share, None
            self._can_retry_silent = False
        return share

    def _find_delay(
        self, tokens: token_cache.CustomerTokens, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        delay = min(
            (
                share_state.blocked_until - now
                for share_state in tokens.known_shares.values()
                if share_state.is_denied and share_state.blocked_until > now
            ),
            default=None,
        )
        limit = self._terms.max_wait
        if (
            delay is None
            or self._waited + delay > limit
            or tokens.is_over_rate
        ):
            return None
        available = sum(
            share_states.estimate_tokens(tokens.known_shares, share, now)
            for share in self._shares
        )
        # With fewer tokens, a single bucket of the whole budget would deny as
        # well, and a token spent here would be missing for the next request.
        return delay if available >= 1 + tokens.waiting_requests else None


def _check_registration(
    timed_reply: share_states.TimedReply,
) -> TokenAcquisitionFailed | None:
    match timed_reply.reply:
        case messages.TokenGrant():
            return None
        case messages.TokenDenial(code, retry_after_s) if code != 'not_holder':
            retry_after = datetime.timedelta(seconds=retry_after_s)
            return TokenAcquisitionFailed(code, retry_after)
    return TokenAcquisitionFailed(
        'budget_unavailable', share_states.NO_REPLY_BACKOFF
    )


def _make_failure(
    tokens: token_cache.CustomerTokens,
    shares: tuple[token_bucket.BudgetShare, ...],
    now: datetime.timedelta,
) -> TokenAcquisitionFailed:
    states = [
        tokens.known_shares.get(s.index, share_states.ShareState())
        for s in shares
    ]
    denied = [state for state in states if state.is_denied]
    retry_after = min(state.blocked_until for state in denied or states) - now
    code = 'rate_exceeded' if denied else 'budget_unavailable'
    return TokenAcquisitionFailed(code, max(retry_after, ZERO))
