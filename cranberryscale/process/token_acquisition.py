"""One request's way to a token, as a generator."""

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
    'Pause',
    'TokenAcquired',
    'TokenAcquisition',
    'TokenAcquisitionFailed',
]

ZERO = datetime.timedelta()


class Pause(NamedTuple):
    """Wait before the next step; a token is due then."""

    delay: datetime.timedelta


class TokenAcquired(NamedTuple):
    """Let the request start before its token expires.

    The token was taken out at `at` and must be settled.
    """

    at: datetime.timedelta
    token: token_cache.TokenBatch


class TokenAcquisitionFailed(NamedTuple):
    """Refuse the request with a code of the error table."""

    code: str
    retry_after: datetime.timedelta


class TokenAcquisition:
    """Spend a token for one request, asking holders for more as needed.

    `run` yields Ask, answered by facts.Answer, and Pause, answered by the
    time after it, and returns Admitted or Refused. A refusal is
    `rate_exceeded` when every share that could be reached denied and
    `budget_unavailable` when none could be reached.
    """

    def __init__(
        self,
        allotments: token_cache.TokenCache,
        shares: tuple[token_bucket.BudgetShare, ...],
        domain: str,
        terms: token_bucket.BudgetTerms,
        rng: random.Random,
        request_id: str,
    ):
        self._allotments = allotments
        self._shares = shares
        self._domain = domain
        self._terms = terms
        self._random = rng
        self._request_id = request_id
        self._customer = shares[0].customer
        self._tried: set[int] = set()
        self._silent: token_bucket.BudgetShare | None = None
        self._may_repeat = True
        self._waited = ZERO
        self._denials = 0

    @property
    def once_request_id(self) -> str:
        """Return the identifier under which a once key is registered."""
        return f'{self._request_id}/0'

    def run(
        self, now: datetime.timedelta, once_key: str = ''
    ) -> Generator[
        budgets.ShareMessage | Pause,
        share_states.TimedReply | datetime.timedelta,
        TokenAcquired | TokenAcquisitionFailed,
    ]:
        """Return the outcome; share 0 is asked first with a once key."""
        state = self._allotments.get_customer(self._customer, now)
        state.count_demand(now)
        if once_key:
            answer = yield from self._ask_once(now, once_key)
            now = answer.now
            refusal = _judge_once(answer)
            if refusal is not None:
                return refusal
        while not (token := self._allotments.spend(self._customer, now)):
            share = self._choose_share(state, now)
            if share is not None:
                now = (yield from self._ask(share, now)).now
                continue
            delay = self._find_delay(state, now)
            if delay is None:
                refusal = _make_refusal(state, self._shares, now)
                state.count_outcome(refusal.code == 'rate_exceeded')
                return refusal
            now = yield from self._pause(state, delay)
        state.count_outcome(False)
        return TokenAcquired(now, token)

    def _ask(
        self,
        share: token_bucket.BudgetShare,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> Generator[
        budgets.ShareMessage, share_states.TimedReply, share_states.TimedReply
    ]:
        # Each share gets its own identifier and a repeated question the
        # same one: a lost reply then costs no second token.
        request_id = f'{self._request_id}/{share.index}'
        self._tried.add(share.index)
        ask = self._allotments.make_request(share, request_id, now, once_key)
        try:
            answer = yield ask
            self._allotments.apply_reply(ask, answer)
        finally:
            self._allotments.give_up(ask)
        if answer.reply is None and self._may_repeat:
            self._silent = share
        match answer.reply:
            case messages.TokenDenial('rate_exceeded'):
                self._denials += 1
        return answer

    def _ask_once(
        self, now: datetime.timedelta, once_key: str
    ) -> Generator[
        budgets.ShareMessage, share_states.TimedReply, share_states.TimedReply
    ]:
        first = self._shares[0]
        answer = yield from self._ask(first, now, once_key)
        if answer.reply is None:
            # The same request is registered only once.
            answer = yield from self._ask(first, answer.now, once_key)
        return answer

    def _pause(
        self,
        state: token_cache.CustomerTokens,
        delay: datetime.timedelta,
    ) -> Generator[Pause, datetime.timedelta, datetime.timedelta]:
        state.pausing += 1
        try:
            now = yield Pause(delay)
        finally:
            state.pausing -= 1
        self._waited += delay
        self._tried.clear()
        self._denials = 0
        return now

    def _choose_share(
        self, state: token_cache.CustomerTokens, now: datetime.timedelta
    ) -> token_bucket.BudgetShare | None:
        if self._denials >= state.limit_denials(len(self._shares)):
            return None
        ties = [self._random.random() for _ in self._shares]
        ordered = share_states.order_shares(
            self._shares, state.facts, self._domain, now, ties
        )
        untried = (s for s in ordered if s.index not in self._tried)
        share = next(untried, None)
        if share is None and self._silent is not None:
            share, self._silent = self._silent, None
            self._may_repeat = False
        return share

    def _find_delay(
        self, state: token_cache.CustomerTokens, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        due = min(
            (
                fact.blocked_until - now
                for fact in state.facts.values()
                if fact.denied and fact.blocked_until > now
            ),
            default=None,
        )
        longest = self._terms.max_wait
        if due is None or self._waited + due > longest or state.is_over_rate:
            return None
        left = sum(
            share_states.estimate_tokens(state.facts, share, now)
            for share in self._shares
        )
        # With less, a single bucket of the whole budget would refuse as
        # well, and a token spent here would be missing for the next request.
        return due if left >= 1 + state.pausing else None


def _judge_once(
    answer: share_states.TimedReply,
) -> TokenAcquisitionFailed | None:
    match answer.reply:
        case messages.TokenGrant():
            return None
        case messages.TokenDenial(code, retry_after_s) if code != 'not_holder':
            retry = datetime.timedelta(seconds=retry_after_s)
            return TokenAcquisitionFailed(code, retry)
    return TokenAcquisitionFailed('budget_unavailable', share_states.SILENCE)


def _make_refusal(
    state: token_cache.CustomerTokens,
    shares: tuple[token_bucket.BudgetShare, ...],
    now: datetime.timedelta,
) -> TokenAcquisitionFailed:
    known = [
        state.facts.get(s.index, share_states.ShareState()) for s in shares
    ]
    denied = [fact for fact in known if fact.denied]
    retry = min(fact.blocked_until for fact in denied or known) - now
    code = 'rate_exceeded' if denied else 'budget_unavailable'
    return TokenAcquisitionFailed(code, max(retry, ZERO))
