"""Tokens that an entry instance holds, and where it asks for more."""

import datetime
import random
from collections.abc import Generator
from collections.abc import Sequence
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import bucket as bucket_module
from cranberryscale.process import budgets
from cranberryscale.version import view as view_module


__all__ = [
    'Admitted',
    'Allotments',
    'Answer',
    'Pause',
    'Refused',
    'ShareFacts',
    'order_shares',
]

ZERO = datetime.timedelta()
# A frequent caller's entry asks for what it uses in this time.
BATCH_TIME = datetime.timedelta(milliseconds=20)
BATCH_REQUESTS = 16
DEMAND_MEMORY = datetime.timedelta(seconds=1)
# First and longest time for which a silent share is asked last only.
SILENCE = datetime.timedelta(milliseconds=250)
SILENCE_LIMIT = datetime.timedelta(seconds=4)
# A holder that lost its lease sends the caller away for this long.
NOT_HOLDER = datetime.timedelta(milliseconds=250)
IDLE = datetime.timedelta(seconds=10)


class Pause(NamedTuple):
    """Wait before the next step; a token is due then."""

    delay: datetime.timedelta


class Answer(NamedTuple):
    """Tell the reply to an Ask, None when there was none in time."""

    reply: messages.TokenGrant | messages.TokenDenial | None
    sent_at: datetime.timedelta
    now: datetime.timedelta


class Admitted(NamedTuple):
    """Let the request run; a token was spent at `at`."""

    at: datetime.timedelta


class Refused(NamedTuple):
    """Refuse the request with a code of the error table."""

    code: str
    retry_after: datetime.timedelta


class ShareFacts(NamedTuple):
    """Hold what an entry instance knows of one share.

    `left` tokens were on hand at `at`. The share is `denied` or silent
    until `blocked_until`; `failures` counts silences in a row.
    """

    left: float | None = None
    at: datetime.timedelta = ZERO
    blocked_until: datetime.timedelta = ZERO
    denied: bool = False
    failures: int = 0


class Lot(NamedTuple):
    """Hold unspent tokens of one grant."""

    share: bucket_module.Share
    grant_id: int
    amount: int
    expires: datetime.timedelta


def _guess_fill(
    share: bucket_module.Share, facts: ShareFacts, now: datetime.timedelta
) -> float:
    if facts.left is None:
        return 1.0
    gained = share.rate_per_s * (now - facts.at).total_seconds()
    return min((facts.left + gained) / max(share.burst_requests, 1), 1.0)


def order_shares(
    shares: Sequence[bucket_module.Share],
    facts: dict[int, ShareFacts],
    domain: str,
    now: datetime.timedelta,
    ties: Sequence[float],
) -> tuple[bucket_module.Share, ...]:
    """Return the shares worth asking now, the best first.

    Regional shares come first, since their holders draw on the others; the
    own failure domain's share comes before them once one was silent, and
    other domains' shares come last. Within a tier the share that is
    probably fullest is first. `ties` has one number a share and spreads
    callers that know nothing. Shares that denied or were silent recently
    are left out.
    """
    none = ShareFacts()
    silent = any(fact.failures for fact in facts.values())

    def rank(share):
        fact = facts.get(share.index, none)
        if share.resource.cell == view_module.REGION_CELL:
            tier = 1
        elif share.resource.cell == domain:
            tier = 0 if silent else 2
        else:
            tier = 3
        fill = _guess_fill(share, fact, now)
        return fact.failures > 0, tier, -round(fill, 1), ties[share.index]

    open_shares = (
        share
        for share in shares
        if facts.get(share.index, none).blocked_until <= now
    )
    return tuple(sorted(open_shares, key=rank))


class CustomerState:
    """Hold one customer's tokens and what is known of its shares."""

    def __init__(self, now: datetime.timedelta):
        self.lots: list[Lot] = []
        self.facts: dict[int, ShareFacts] = {}
        self.demand_per_s = 0.0
        self.seen_at = now
        self.asked: dict[str, int] = {}
        self.pausing = 0

    @property
    def held(self) -> int:
        """Return the number of tokens held."""
        return sum(lot.amount for lot in self.lots)

    def advance(self, now: datetime.timedelta) -> None:
        """Drop tokens that have expired."""
        self.lots = [lot for lot in self.lots if lot.expires > now]

    def count_demand(self, now: datetime.timedelta) -> None:
        """Update the estimate of requests a second by one request."""
        memory_s = DEMAND_MEMORY.total_seconds()
        passed_s = (now - self.seen_at).total_seconds()
        kept = max(1 - passed_s / memory_s, 0.0)
        self.demand_per_s = self.demand_per_s * kept + 1 / memory_s
        self.seen_at = now

    def choose_amount(self) -> int:
        """Return how many tokens to ask for: 1 for rare callers."""
        wanted = round(self.demand_per_s * BATCH_TIME.total_seconds())
        coming = self.held + sum(self.asked.values())
        return max(min(wanted, BATCH_REQUESTS) - coming, 1)


class Allotments:
    """Obtain, hold and spend tokens at an entry instance.

    Validity is counted from the time of asking and checked right before
    spending, so an instance that was paused spends nothing that expired.
    """

    def __init__(
        self, domain: str, terms: bucket_module.Terms, rng: random.Random
    ):
        self._domain = domain
        self._terms = terms
        self._random = rng
        self._states: dict[str, CustomerState] = {}

    def __len__(self) -> int:
        """Return the number of customers in memory."""
        return len(self._states)

    def _find_state(
        self, customer: str, now: datetime.timedelta
    ) -> CustomerState:
        state = self._states.get(customer)
        if state is None:
            state = self._states[customer] = CustomerState(now)
        return state

    def spend(self, customer: str, now: datetime.timedelta) -> bool:
        """Spend one token that is valid now, the one that expires first."""
        state = self._states.get(customer)
        if state is None:
            return False
        state.advance(now)
        if not state.lots:
            return False
        lot = min(state.lots, key=lambda held: held.expires)
        state.lots.remove(lot)
        if lot.amount > 1:
            state.lots.append(lot._replace(amount=lot.amount - 1))
        return True

    def add_grant(
        self,
        share: bucket_module.Share,
        grant: messages.TokenGrant,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Hold a grant's tokens unless they expired on the way."""
        valid_s = grant.valid_s * (1 - self._terms.drift_ratio)
        expires = sent_at + datetime.timedelta(seconds=valid_s)
        if expires > now and grant.amount > 0:
            lot = Lot(share, grant.grant_id, grant.amount, expires)
            self._find_state(share.customer, now).lots.append(lot)

    def take_answer(self, ask: budgets.Ask, answer: Answer) -> bool:
        """Credit and remember an answer; tell whether it counted.

        A second answer to the same request is ignored.
        """
        share, message = ask
        state = self._find_state(share.customer, answer.now)
        if state.asked.pop(message.request_id, None) is None:
            return False
        before = state.facts.get(share.index, ShareFacts())
        state.facts[share.index] = _update_facts(before, answer)
        match answer.reply:
            case messages.TokenGrant() as grant:
                self.add_grant(share, grant, answer.sent_at, answer.now)
        return True

    def make_ask(
        self,
        share: bucket_module.Share,
        request_id: str,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> budgets.Ask:
        """Return a request for tokens and expect its answer."""
        state = self._find_state(share.customer, now)
        amount = state.choose_amount()
        state.asked[request_id] = amount
        message = messages.TakeTokens(
            share.customer, share.index, amount, request_id, once_key
        )
        return budgets.Ask(share, message)

    def obtain(
        self,
        shares: tuple[bucket_module.Share, ...],
        request_id: str,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> Generator[
        budgets.Ask | Pause,
        Answer | datetime.timedelta,
        Admitted | Refused,
    ]:
        """Spend a token for one request, asking for more as needed.

        Yields Ask, answered by Answer, and Pause, answered by the time
        after it. With a once key, share 0 is asked first in any case.
        """
        state = self._find_state(shares[0].customer, now)
        state.count_demand(now)
        if once_key:
            ask = self.make_ask(shares[0], request_id, now, once_key)
            answer = yield ask
            now = answer.now
            self.take_answer(ask, answer)
            refusal = _judge_once(answer)
            if refusal is not None:
                return refusal
        waited = ZERO
        silent, may_repeat = None, True
        tried: dict[int, int] = {}
        while not self.spend(shares[0].customer, now):
            ask = self._choose_ask(shares, request_id, tried, now)
            if ask is None and silent is not None:
                # The same identifier gets the same grant, so a lost reply
                # costs no second token.
                share, silent = silent.share, None
                identifier = f'{request_id}/{share.index}'
                ask = self.make_ask(share, identifier, now)
                may_repeat = False
            if ask is None:
                delay = self._find_delay(state, shares, waited, now)
                if delay is None:
                    return _make_refusal(state, shares, now)
                state.pausing += 1
                now = yield Pause(delay)
                state.pausing -= 1
                waited += delay
                tried.clear()
                continue
            answer = yield ask
            now = answer.now
            self.take_answer(ask, answer)
            if answer.reply is None and may_repeat:
                silent = ask
        return Admitted(now)

    def _choose_ask(
        self,
        shares: tuple[bucket_module.Share, ...],
        request_id: str,
        tried: dict[int, int],
        now: datetime.timedelta,
    ) -> budgets.Ask | None:
        state = self._find_state(shares[0].customer, now)
        ties = [self._random.random() for _ in shares]
        ordered = order_shares(shares, state.facts, self._domain, now, ties)
        for share in ordered:
            if share.index not in tried:
                tried[share.index] = 1
                # Shares need separate identifiers: a late grant of one must
                # not be taken for the answer of another.
                identifier = f'{request_id}/{share.index}'
                return self.make_ask(share, identifier, now)
        return None

    def _find_delay(
        self,
        state: CustomerState,
        shares: tuple[bucket_module.Share, ...],
        waited: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta | None:
        longest = self._terms.longest_wait
        rate = sum(share.rate_per_s for share in shares)
        if state.pausing >= max(rate * longest.total_seconds(), 1):
            return None
        due = min(
            (
                fact.blocked_until - now
                for fact in state.facts.values()
                if fact.denied and fact.blocked_until > now
            ),
            default=None,
        )
        if due is None or waited + due > longest:
            return None
        return due

    def collect_returns(
        self, now: datetime.timedelta, margin: datetime.timedelta
    ) -> tuple[budgets.Ask, ...]:
        """Give back tokens that expire within `margin`, debiting first."""
        asks = []
        for customer, state in self._states.items():
            state.advance(now)
            for lot in list(state.lots):
                if lot.expires <= now + margin:
                    state.lots.remove(lot)
                    message = messages.ReturnTokens(
                        customer, lot.share.index, lot.grant_id, lot.amount
                    )
                    asks.append(budgets.Ask(lot.share, message))
        return tuple(asks)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget customers that sent nothing for a while."""
        for customer, state in list(self._states.items()):
            busy = state.asked or state.pausing or state.lots
            if not busy and state.seen_at + IDLE <= now:
                del self._states[customer]


def _update_facts(before: ShareFacts, answer: Answer) -> ShareFacts:
    now = answer.now
    match answer.reply:
        case messages.TokenGrant(left=left):
            return ShareFacts(left, now)
        case messages.TokenDenial('rate_exceeded', retry_after_s, left):
            retry = datetime.timedelta(seconds=min(retry_after_s, 3600))
            return ShareFacts(left, now, now + retry, True)
        case messages.TokenDenial():
            return before._replace(
                blocked_until=now + NOT_HOLDER, denied=False, failures=1
            )
    silence = SILENCE * 2 ** min(before.failures, 10)
    return before._replace(
        blocked_until=now + min(silence, SILENCE_LIMIT),
        denied=False,
        failures=before.failures + 1,
    )


def _judge_once(answer: Answer) -> Refused | None:
    match answer.reply:
        case messages.TokenGrant():
            return None
        case messages.TokenDenial(code, retry_after_s) if code != 'not_holder':
            retry = datetime.timedelta(seconds=retry_after_s)
            return Refused(code, retry)
    return Refused('budget_unavailable', SILENCE)


def _make_refusal(
    state: CustomerState,
    shares: tuple[bucket_module.Share, ...],
    now: datetime.timedelta,
) -> Refused:
    facts = [state.facts.get(s.index, ShareFacts()) for s in shares]
    denied = [fact for fact in facts if fact.denied]
    counted = denied or facts
    retry = min(fact.blocked_until for fact in counted) - now
    code = 'rate_exceeded' if denied else 'budget_unavailable'
    return Refused(code, max(retry, ZERO))
