"""Account of a budget share at its holder: token bucket, grants and loans.

The holder of a share that runs low borrows tokens from the holder of a fuller
share of the same budget.
"""

import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import token_bucket


__all__ = ['IssuedGrant', 'Loan', 'ShareAccount', 'ShareEstimate']

# Time without a reply after which a requested loan is given up.
LOAN_TIMEOUT = datetime.timedelta(seconds=1)
# Unit of the delay after a denied loan: the delay is twice this after the
# first denial, doubles with each further one and is 16 times this at most.
# When a customer is over its rate, all its shares are empty, and requests for
# loans would only add messages.
LOAN_RETRY_DELAY = datetime.timedelta(milliseconds=10)
ZERO = datetime.timedelta()
# A holder borrows from fuller shares when its fill is below this.
MIN_FILL_RATIO = 0.5


class IssuedGrant(NamedTuple):
    """A grant that was issued to an entry instance or lent to a holder.

    `loan_id` is the grant id of the loan its tokens come from, 0 if they come
    from the share's own bucket.
    """

    grant_id: int
    amount: int
    expires: datetime.timedelta
    loan_id: int
    returned: bool = False


class Loan(NamedTuple):
    """Tokens borrowed from the holder of another share."""

    lender: token_bucket.BudgetShare
    grant_id: int
    amount: int
    expires: datetime.timedelta


class ShareEstimate(NamedTuple):
    """The tokens that another share had left at the time `at`."""

    left: float
    at: datetime.timedelta


class ShareAccount:
    """The token bucket of one share under one lease, its grants and loans.

    `grants` are by request id, `loans` by grant id, `estimates` by the index
    of the other share. `pending_loans` maps request ids to the times of
    the requests.
    """

    def __init__(
        self,
        share: token_bucket.BudgetShare,
        since: datetime.timedelta,
        rate_drift_ratio: float,
    ):
        self.since = since
        self.bucket = token_bucket.TokenBucket(share, since, rate_drift_ratio)
        self.grants: dict[str, IssuedGrant] = {}
        self.loans: dict[int, Loan] = {}
        self.estimates: dict[int, ShareEstimate] = {}
        self.pending_loans: dict[str, datetime.timedelta] = {}
        self.next_loan_at = since
        self.failed_loans = 0

    @property
    def borrowed(self) -> int:
        """Return the unspent tokens borrowed from other shares."""
        return sum(loan.amount for loan in self.loans.values())

    @property
    def left(self) -> float:
        """Return the tokens on hand or due, loans included."""
        return self.bucket.ideal_tokens + self.borrowed

    @property
    def fill_ratio(self) -> float:
        """Return the tokens on hand, loans included, over the burst."""
        burst = self.bucket.share.burst_requests
        tokens = self.bucket.tokens + self.borrowed
        return tokens / burst if burst else 0.0

    def matches(self, share: token_bucket.BudgetShare, lease) -> bool:
        """Return whether the account is for this share and lease."""
        is_same_share = self.bucket.share.resource == share.resource
        return is_same_share and self.since == lease.since

    @property
    def is_idle(self) -> bool:
        """Return whether nothing is lost when the account is dropped."""
        return self.bucket.is_full and not (
            self.grants or self.loans or self.pending_loans
        )

    def advance(self, now: datetime.timedelta) -> None:
        """Accrue tokens and remove what has expired."""
        self.bucket.advance(now)
        for request_id in [
            key for key, g in self.grants.items() if g.expires <= now
        ]:
            del self.grants[request_id]
        for grant_id in [
            key for key, loan in self.loans.items() if loan.expires <= now
        ]:
            del self.loans[grant_id]
        for request_id in [
            key
            for key, at in self.pending_loans.items()
            if at + LOAN_TIMEOUT <= now
        ]:
            del self.pending_loans[request_id]

    def find_loan(self) -> Loan | None:
        """Return the loan with tokens left that expires first, or None."""
        return min(
            (loan for loan in self.loans.values() if loan.amount),
            key=lambda loan: loan.expires,
            default=None,
        )

    def choose_amount(
        self, request: messages.TakeTokens
    ) -> tuple[int, Loan | None]:
        """Return how many tokens to grant, and the loan to take them from."""
        on_hand = int(self.bucket.tokens)
        if request.have_ratio >= 0:
            # Only a borrowing holder sends its fill. The lender stays at least
            # as full as the borrower was.
            spare = self.fill_ratio - request.have_ratio
            spare *= self.bucket.share.burst_requests
            return min(request.amount, on_hand, int(spare)), None
        loan = self.find_loan()
        if loan is not None:
            return min(request.amount, loan.amount), loan
        # Grants at most a quarter of the tokens on hand: what one entry
        # instance keeps, others cannot use.
        return min(request.amount, on_hand, max(on_hand // 4, 1)), None

    def make_grant(
        self,
        grant_id: int,
        request: messages.TakeTokens,
        terms: token_bucket.BudgetTerms,
        lease_until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> IssuedGrant | None:
        """Debit tokens and record the grant; return None if there are none.

        The grant expires at `lease_until` at the latest.
        """
        amount, loan = self.choose_amount(request)
        if amount < 1:
            return None
        is_loan = request.have_ratio >= 0
        validity = (
            self.find_loan_validity(terms) if is_loan else terms.grant_validity
        )
        expires = min(now + validity, lease_until)
        if loan is not None:
            expires = min(expires, loan.expires)
            left = loan.amount - amount
            self.loans[loan.grant_id] = loan._replace(amount=left)
        else:
            self.bucket.debit(grant_id, amount, expires)
        loan_id = loan.grant_id if loan else 0
        grant = IssuedGrant(grant_id, amount, expires, loan_id)
        self.grants[request.request_id] = grant
        return grant

    def find_loan_validity(
        self, terms: token_bucket.BudgetTerms
    ) -> datetime.timedelta:
        """Return how long tokens of this share may be lent."""
        share = self.bucket.share
        refill_s = share.burst_requests / max(share.rate_per_s, 1e-6)
        limit_s = terms.loan_limit.total_seconds()
        valid_s = min(refill_s * terms.loan_fraction, limit_s)
        return max(datetime.timedelta(seconds=valid_s), terms.grant_validity)

    def record_loan_reply(
        self, is_granted: bool, now: datetime.timedelta
    ) -> None:
        """Set when to request the next loan.

        The delay doubles with each loan in a row that was denied.
        """
        self.failed_loans = 0 if is_granted else min(self.failed_loans + 1, 4)
        delay = (
            LOAN_RETRY_DELAY * (2**self.failed_loans)
            if not is_granted
            else ZERO
        )
        self.next_loan_at = now + delay

    def choose_loan(
        self,
        shares: tuple[token_bucket.BudgetShare, ...],
        now: datetime.timedelta,
    ) -> tuple[token_bucket.BudgetShare, int] | None:
        """Return the fullest other share and how much to borrow from it.

        Return None if this share is full enough or no other is fuller.
        """
        own, fill = self.bucket.share, self.fill_ratio
        if fill >= MIN_FILL_RATIO or not own.burst_requests:
            return None
        others = (s for s in shares if s.index != own.index)
        lender = max(others, key=lambda s: self.estimate_fill(s, now))
        spare = self.estimate_fill(lender, now) - fill
        # With this amount both are equally full afterwards.
        amount = int(
            spare
            / (1 / max(lender.burst_requests, 1) + 1 / own.burst_requests)
        )
        return (lender, amount) if amount >= 1 else None

    def estimate_fill(
        self, share: token_bucket.BudgetShare, now: datetime.timedelta
    ) -> float:
        """Return the estimated fill of another share, 1.0 if unknown."""
        estimate = self.estimates.get(share.index)
        if estimate is None:
            return 1.0
        accrued = share.rate_per_s * (now - estimate.at).total_seconds()
        burst = max(share.burst_requests, 1)
        return min((estimate.left + accrued) / burst, 1.0)
