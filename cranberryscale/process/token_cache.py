"""Tokens that an entry instance holds for its next requests."""

import collections
import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import share_states
from cranberryscale.process import token_bucket


__all__ = ['CustomerTokens', 'TokenCache']

# An entry instance requests as many tokens as it uses in this time.
BATCH_TIME = datetime.timedelta(milliseconds=20)
BATCH_REQUESTS = 16
MAX_REPORTED_SPENT = 16
# Weight of one request in the ratio of denied requests, and the ratios from
# which a customer counts as over or far over its rate.
OUTCOME_WEIGHT = 0.2
OVER_RATE_RATIO = 0.3
FAR_OVER_RATE_RATIO = 0.6
DEMAND_WINDOW = datetime.timedelta(seconds=1)
IDLE_TIME = datetime.timedelta(seconds=10)


class TokenBatch(NamedTuple):
    """Unspent tokens of one grant."""

    share: token_bucket.BudgetShare
    grant_id: int
    amount: int
    expires: datetime.timedelta


class CustomerTokens:
    """One customer's tokens, demand and shares at an entry instance.

    `requested` maps the ids of unanswered requests to amounts, `spent` the
    index of a share to its grants that were spent and not yet reported.
    `unsettled` counts the tokens of a grant that were taken out and not
    settled.
    """

    def __init__(self, now: datetime.timedelta):
        self.batches: list[TokenBatch] = []
        self.known_shares: dict[int, share_states.ShareState] = {}
        self.demand_per_s = 0.0
        self.last_request_at = now
        self.requested: dict[str, int] = {}
        self.spent: dict[int, list[int]] = {}
        self.unsettled: collections.Counter[int] = collections.Counter()
        self.waiting_requests = 0
        self.denied_ratio = 0.0

    @property
    def token_count(self) -> int:
        """Return the number of unspent tokens."""
        return sum(batch.amount for batch in self.batches)

    def remove_expired(self, now: datetime.timedelta) -> None:
        """Remove the tokens that have expired."""
        self.batches = [batch for batch in self.batches if batch.expires > now]

    def record_demand(self, now: datetime.timedelta) -> None:
        """Update the estimated request rate by one request."""
        window_s = DEMAND_WINDOW.total_seconds()
        elapsed_s = (now - self.last_request_at).total_seconds()
        kept_ratio = max(1 - elapsed_s / window_s, 0.0)
        self.demand_per_s = self.demand_per_s * kept_ratio + 1 / window_s
        self.last_request_at = now

    def record_outcome(self, is_denied: bool) -> None:
        """Update the ratio of recent requests that were over the rate."""
        self.denied_ratio += (is_denied - self.denied_ratio) * OUTCOME_WEIGHT

    @property
    def is_over_rate(self) -> bool:
        """Return whether many recent requests were over the rate."""
        return self.denied_ratio >= OVER_RATE_RATIO

    def find_denial_limit(self, shares: int) -> int:
        """Return the number of denials after which a request is refused.

        Asking every share on behalf of a customer that is far over its rate
        would cost several messages for each refusal.
        """
        if not self.is_over_rate:
            return shares
        return 2 if self.denied_ratio < FAR_OVER_RATE_RATIO else 1

    def choose_amount(self) -> int:
        """Return how many tokens to request: 1 for infrequent callers."""
        wanted = round(self.demand_per_s * BATCH_TIME.total_seconds())
        available = self.token_count + sum(self.requested.values())
        return max(min(wanted, BATCH_REQUESTS) - available, 1)


class TokenCache:
    """The tokens of all customers at an entry instance.

    Validity is counted from the time of the request and checked right before
    spending, so an instance that was paused spends nothing that has expired.
    """

    def __init__(self, terms: token_bucket.BudgetTerms):
        self._terms = terms
        self._customers: dict[str, CustomerTokens] = {}

    def __len__(self) -> int:
        """Return the number of customers in memory."""
        return len(self._customers)

    def get_customer(
        self, customer: str, now: datetime.timedelta
    ) -> CustomerTokens:
        """Return the tokens of a customer, adding an empty entry if new."""
        tokens = self._customers.get(customer)
        if tokens is None:
            tokens = self._customers[customer] = CustomerTokens(now)
        return tokens

    def spend(
        self, customer: str, now: datetime.timedelta
    ) -> TokenBatch | None:
        """Remove and return the valid token that expires first, or None.

        The token occupies the burst until it is settled or expires, so its
        request must start before then; `settle` must follow.
        """
        tokens = self._customers.get(customer)
        if tokens is None:
            return None
        tokens.remove_expired(now)
        if not tokens.batches:
            return None
        batch = min(tokens.batches, key=lambda candidate: candidate.expires)
        tokens.batches.remove(batch)
        if batch.amount > 1:
            tokens.batches.append(batch._replace(amount=batch.amount - 1))
        tokens.unsettled[batch.grant_id] += 1
        return batch._replace(amount=1)

    def settle(
        self, token: TokenBatch, is_spent: bool, now: datetime.timedelta
    ) -> None:
        """Record that a request started, or keep its token for another."""
        tokens = self.get_customer(token.share.customer, now)
        tokens.unsettled[token.grant_id] -= 1
        if not is_spent and token.expires > now:
            tokens.batches.append(token)
        held_grant_ids = {batch.grant_id for batch in tokens.batches}
        if tokens.unsettled[token.grant_id] <= 0:
            del tokens.unsettled[token.grant_id]
            if is_spent and token.grant_id not in held_grant_ids:
                spent = tokens.spent.setdefault(token.share.index, [])
                spent.append(token.grant_id)

    def add_grant(
        self,
        share: token_bucket.BudgetShare,
        grant: messages.TokenGrant,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Add the tokens of a grant unless they have expired."""
        valid_s = grant.valid_s * (1 - self._terms.drift_ratio)
        expires = sent_at + datetime.timedelta(seconds=valid_s)
        if expires > now and grant.amount > 0:
            batch = TokenBatch(share, grant.grant_id, grant.amount, expires)
            self.get_customer(share.customer, now).batches.append(batch)

    def apply_reply(
        self,
        request: budgets.ShareMessage,
        timed_reply: share_states.TimedReply,
    ) -> bool:
        """Apply a reply; return whether it was expected.

        A second reply to the same request is ignored.
        """
        share, message = request
        tokens = self.get_customer(share.customer, timed_reply.ended_at)
        if tokens.requested.pop(message.request_id, None) is None:
            return False
        share_state = tokens.known_shares.get(
            share.index, share_states.ShareState()
        )
        tokens.known_shares[share.index] = share_states.update_state(
            share_state, timed_reply
        )
        match timed_reply.reply:
            case messages.TokenGrant() as grant:
                self.add_grant(
                    share, grant, timed_reply.sent_at, timed_reply.ended_at
                )
        return True

    def cancel_request(self, request: budgets.ShareMessage) -> None:
        """Stop expecting a reply, which is ignored if it still arrives."""
        tokens = self._customers.get(request.share.customer)
        if tokens is not None:
            tokens.requested.pop(request.message.request_id, None)

    def make_request(
        self,
        share: token_bucket.BudgetShare,
        request_id: str,
        now: datetime.timedelta,
        once_key: str = '',
    ) -> budgets.ShareMessage:
        """Return a request for tokens and expect its reply."""
        tokens = self.get_customer(share.customer, now)
        amount = tokens.choose_amount()
        tokens.requested[request_id] = amount
        # Reports what was spent, so that it stops occupying the burst before
        # it would expire. A grant expires soon, so only the latest matter.
        spent = tuple(tokens.spent.pop(share.index, ())[-MAX_REPORTED_SPENT:])
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
        """Remove the tokens that expire within `margin`.

        Return the messages that return them to the holders of their shares.
        """
        returns = []
        for customer, tokens in self._customers.items():
            tokens.remove_expired(now)
            for batch in list(tokens.batches):
                if batch.expires <= now + margin:
                    tokens.batches.remove(batch)
                    message = messages.ReturnTokens(
                        customer,
                        batch.share.index,
                        batch.grant_id,
                        batch.amount,
                    )
                    returns.append(budgets.ShareMessage(batch.share, message))
        return tuple(returns)

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove customers without requests for IDLE_TIME."""
        for customer, tokens in list(self._customers.items()):
            is_in_use = (
                tokens.requested
                or tokens.waiting_requests
                or tokens.batches
                or tokens.unsettled
            )
            if not is_in_use and tokens.last_request_at + IDLE_TIME <= now:
                del self._customers[customer]
