"""Tokens that an entry instance holds for its next requests."""

import collections
import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import share_states
from cranberryscale.process import token_bucket


__all__ = ['CustomerTokens', 'TokenCache']

# A frequent caller's entry asks for what it uses in this time.
BATCH_TIME = datetime.timedelta(milliseconds=20)
BATCH_REQUESTS = 16
SPENT_LIMIT = 16
OUTCOME_WEIGHT = 0.2
OVER_RATE_RATIO = 0.3
FAR_OVER_RATE_RATIO = 0.6
DEMAND_MEMORY = datetime.timedelta(seconds=1)
IDLE = datetime.timedelta(seconds=10)


class TokenBatch(NamedTuple):
    """Hold unspent tokens of one grant."""

    share: token_bucket.BudgetShare
    grant_id: int
    amount: int
    expires: datetime.timedelta


class CustomerTokens:
    """Hold one customer's tokens and what is known of its shares."""

    def __init__(self, now: datetime.timedelta):
        self.lots: list[TokenBatch] = []
        self.facts: dict[int, share_states.ShareState] = {}
        self.demand_per_s = 0.0
        self.seen_at = now
        self.asked: dict[str, int] = {}
        self.spent: dict[int, list[int]] = {}
        self.unsettled: collections.Counter[int] = collections.Counter()
        self.pausing = 0
        self.refused_ratio = 0.0

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

    def count_outcome(self, refused: bool) -> None:
        """Update the part of recent requests that were over the rate."""
        self.refused_ratio += (refused - self.refused_ratio) * OUTCOME_WEIGHT

    @property
    def is_over_rate(self) -> bool:
        """Tell whether many recent requests were over the rate."""
        return self.refused_ratio >= OVER_RATE_RATIO

    def limit_denials(self, shares: int) -> int:
        """Return after how many denials a request is refused.

        Asking every share on behalf of a customer that is far over its rate
        would cost several messages for each refusal.
        """
        if not self.is_over_rate:
            return shares
        return 2 if self.refused_ratio < FAR_OVER_RATE_RATIO else 1

    def choose_amount(self) -> int:
        """Return how many tokens to ask for: 1 for rare callers."""
        wanted = round(self.demand_per_s * BATCH_TIME.total_seconds())
        coming = self.held + sum(self.asked.values())
        return max(min(wanted, BATCH_REQUESTS) - coming, 1)


class TokenCache:
    """Obtain, hold and spend tokens at an entry instance.

    Validity is counted from the time of asking and checked right before
    spending, so an instance that was paused spends nothing that expired.
    """

    def __init__(self, terms: token_bucket.BudgetTerms):
        self._terms = terms
        self._states: dict[str, CustomerTokens] = {}

    def __len__(self) -> int:
        """Return the number of customers in memory."""
        return len(self._states)

    def get_customer(
        self, customer: str, now: datetime.timedelta
    ) -> CustomerTokens:
        """Return what is held for a customer, from now on if nothing."""
        state = self._states.get(customer)
        if state is None:
            state = self._states[customer] = CustomerTokens(now)
        return state

    def spend(
        self, customer: str, now: datetime.timedelta
    ) -> TokenBatch | None:
        """Take out one token that is valid now, the one that expires first.

        The token occupies the burst until it is settled or expires, so its
        request must start before then; `settle` must follow.
        """
        state = self._states.get(customer)
        if state is None:
            return None
        state.advance(now)
        if not state.lots:
            return None
        lot = min(state.lots, key=lambda held: held.expires)
        state.lots.remove(lot)
        if lot.amount > 1:
            state.lots.append(lot._replace(amount=lot.amount - 1))
        state.unsettled[lot.grant_id] += 1
        return lot._replace(amount=1)

    def settle(
        self, token: TokenBatch, is_spent: bool, now: datetime.timedelta
    ) -> None:
        """Record that a request started, or keep its token for another."""
        state = self.get_customer(token.share.customer, now)
        state.unsettled[token.grant_id] -= 1
        if not is_spent and token.expires > now:
            state.lots.append(token)
        held = {lot.grant_id for lot in state.lots}
        if state.unsettled[token.grant_id] <= 0:
            del state.unsettled[token.grant_id]
            if is_spent and token.grant_id not in held:
                spent = state.spent.setdefault(token.share.index, [])
                spent.append(token.grant_id)

    def add_grant(
        self,
        share: token_bucket.BudgetShare,
        grant: messages.TokenGrant,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Hold a grant's tokens unless they expired on the way."""
        valid_s = grant.valid_s * (1 - self._terms.drift_ratio)
        expires = sent_at + datetime.timedelta(seconds=valid_s)
        if expires > now and grant.amount > 0:
            lot = TokenBatch(share, grant.grant_id, grant.amount, expires)
            self.get_customer(share.customer, now).lots.append(lot)

    def apply_reply(
        self, ask: budgets.ShareMessage, answer: share_states.TimedReply
    ) -> bool:
        """Credit and remember an answer; tell whether it counted.

        A second answer to the same request is ignored.
        """
        share, message = ask
        state = self.get_customer(share.customer, answer.now)
        if state.asked.pop(message.request_id, None) is None:
            return False
        before = state.facts.get(share.index, share_states.ShareState())
        state.facts[share.index] = share_states.update(before, answer)
        match answer.reply:
            case messages.TokenGrant() as grant:
                self.add_grant(share, grant, answer.sent_at, answer.now)
        return True

    def give_up(self, ask: budgets.ShareMessage) -> None:
        """Stop expecting the answer, which is ignored if it still comes."""
        state = self._states.get(ask.share.customer)
        if state is not None:
            state.asked.pop(ask.message.request_id, None)

    def make_request(
        self,
        share: token_bucket.BudgetShare,
        request_id: str,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> budgets.ShareMessage:
        """Return a request for tokens and expect its answer."""
        state = self.get_customer(share.customer, now)
        amount = state.choose_amount()
        state.asked[request_id] = amount
        # Tells what was spent, so that it stops occupying the burst before
        # it would expire. A grant expires soon, so only a few matter.
        spent = tuple(state.spent.pop(share.index, ())[-SPENT_LIMIT:])
        message = messages.TakeTokens(
            share.customer,
            share.index,
            amount,
            request_id,
            once_key,
            spent=spent,
        )
        return budgets.ShareMessage(share, message)

    def collect_returns(
        self, now: datetime.timedelta, margin: datetime.timedelta
    ) -> tuple[budgets.ShareMessage, ...]:
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
                    asks.append(budgets.ShareMessage(lot.share, message))
        return tuple(asks)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget customers that sent nothing for a while."""
        for customer, state in list(self._states.items()):
            busy = (
                state.asked or state.pausing or state.lots or state.unsettled
            )
            if not busy and state.seen_at + IDLE <= now:
                del self._states[customer]
