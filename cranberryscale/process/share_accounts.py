"""What a holder remembers of one share that is in use."""

import datetime
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import token_bucket


__all__ = ['IssuedGrant', 'Loan', 'ShareAccount', 'ShareEstimate']

# A loan that was not answered for this long is given up.
SILENCE = datetime.timedelta(seconds=1)
# Pause after the first loan that was denied; doubles up to 16 times. When
# a customer is over its rate all its shares are empty, and loans would only
# move messages.
BORROW_PAUSE = datetime.timedelta(milliseconds=10)
ZERO = datetime.timedelta()
# A holder below this part of its burst takes tokens from fuller shares.
BORROW_BELOW_RATIO = 0.5


class IssuedGrant(NamedTuple):
    """Remember an answer; `lot` is the loan it was taken from, 0: none."""

    grant_id: int
    amount: int
    expires: datetime.timedelta
    lot: int
    returned: bool = False


class Loan(NamedTuple):
    """Hold tokens taken from another share's holder."""

    lender: token_bucket.BudgetShare
    grant_id: int
    amount: int
    expires: datetime.timedelta


class ShareEstimate(NamedTuple):
    """Remember what another share had left."""

    left: float
    at: datetime.timedelta


class ShareAccount:
    """Hold the bucket of one share under one lease and what goes with it."""

    def __init__(
        self,
        share: token_bucket.BudgetShare,
        since: datetime.timedelta,
        rate_drift_ratio: float,
    ):
        self.since = since
        self.bucket = token_bucket.TokenBucket(share, since, rate_drift_ratio)
        self.grants: dict[str, IssuedGrant] = {}
        self.lots: dict[int, Loan] = {}
        self.estimates: dict[int, ShareEstimate] = {}
        self.pending: dict[str, datetime.timedelta] = {}
        self.borrow_at = since
        self.fruitless = 0

    @property
    def borrowed(self) -> int:
        """Return the unspent tokens taken from other shares."""
        return sum(lot.amount for lot in self.lots.values())

    @property
    def left(self) -> float:
        """Return the tokens that are on hand or due, loans included."""
        return self.bucket.ideal_tokens + self.borrowed

    @property
    def fill_ratio(self) -> float:
        """Return tokens on hand, loans included, over the burst."""
        burst = self.bucket.share.burst_requests
        tokens = self.bucket.tokens + self.borrowed
        return tokens / burst if burst else 0.0

    def fits(self, share: token_bucket.BudgetShare, lease) -> bool:
        """Tell whether this is the account of the share under the lease."""
        same = self.bucket.share.resource == share.resource
        return same and self.since == lease.since

    @property
    def is_idle(self) -> bool:
        """Tell whether dropping the account would lose nothing."""
        return self.bucket.is_full and not (
            self.grants or self.lots or self.pending
        )

    def advance(self, now: datetime.timedelta) -> None:
        """Accrue tokens and forget what has expired."""
        self.bucket.advance(now)
        for request_id in [
            key for key, g in self.grants.items() if g.expires <= now
        ]:
            del self.grants[request_id]
        for grant_id in [
            key for key, lot in self.lots.items() if lot.expires <= now
        ]:
            del self.lots[grant_id]
        for request_id in [
            key for key, at in self.pending.items() if at + SILENCE <= now
        ]:
            del self.pending[request_id]

    def find_lot(self) -> Loan | None:
        """Return the loan that expires first and has tokens left."""
        return min(
            (lot for lot in self.lots.values() if lot.amount),
            key=lambda lot: lot.expires,
            default=None,
        )

    def choose_amount(
        self, request: messages.TakeTokens
    ) -> tuple[int, Loan | None]:
        """Return how many tokens to give, and the loan to take them from."""
        on_hand = int(self.bucket.tokens)
        if request.have_ratio >= 0:
            # The lender stays at least as full as the borrower was.
            spare = self.fill_ratio - request.have_ratio
            spare *= self.bucket.share.burst_requests
            return min(request.amount, on_hand, int(spare)), None
        lot = self.find_lot()
        if lot is not None:
            return min(request.amount, lot.amount), lot
        # Batches only from plenty: what one entry keeps others cannot use.
        return min(request.amount, on_hand, max(on_hand // 4, 1)), None

    def make_grant(
        self,
        grant_id: int,
        request: messages.TakeTokens,
        terms: token_bucket.BudgetTerms,
        until: datetime.timedelta,
        now: datetime.timedelta,
    ) -> IssuedGrant | None:
        """Debit tokens and remember the grant; None when there are none.

        The grant expires with the lease at `until` at the latest.
        """
        amount, lot = self.choose_amount(request)
        if amount < 1:
            return None
        lending = request.have_ratio >= 0
        valid = self.limit_loan(terms) if lending else terms.grant_validity
        expires = min(now + valid, until)
        if lot is not None:
            expires = min(expires, lot.expires)
            left = lot.amount - amount
            self.lots[lot.grant_id] = lot._replace(amount=left)
        else:
            self.bucket.take(grant_id, amount, expires)
        source = lot.grant_id if lot else 0
        grant = IssuedGrant(grant_id, amount, expires, source)
        self.grants[request.request_id] = grant
        return grant

    def limit_loan(
        self, terms: token_bucket.BudgetTerms
    ) -> datetime.timedelta:
        """Return how long tokens of this share may be lent."""
        share = self.bucket.share
        refill_s = share.burst_requests / max(share.rate_per_s, 1e-6)
        limit_s = terms.loan_limit.total_seconds()
        valid_s = min(refill_s * terms.loan_fraction, limit_s)
        return max(datetime.timedelta(seconds=valid_s), terms.grant_validity)

    def count_loan(self, granted: bool, now: datetime.timedelta) -> None:
        """Set when to try the next loan: later when others have no spare."""
        self.fruitless = 0 if granted else min(self.fruitless + 1, 4)
        pause = BORROW_PAUSE * (2**self.fruitless) if not granted else ZERO
        self.borrow_at = now + pause

    def choose_loan(
        self,
        shares: tuple[token_bucket.BudgetShare, ...],
        now: datetime.timedelta,
    ) -> tuple[token_bucket.BudgetShare, int] | None:
        """Return the fullest other share and how much to take from it."""
        own, fill = self.bucket.share, self.fill_ratio
        if fill >= BORROW_BELOW_RATIO or not own.burst_requests:
            return None
        others = (s for s in shares if s.index != own.index)
        lender = max(others, key=lambda s: self.guess_fill(s, now))
        spare = self.guess_fill(lender, now) - fill
        # With this amount both are equally full afterwards.
        amount = int(
            spare
            / (1 / max(lender.burst_requests, 1) + 1 / own.burst_requests)
        )
        return (lender, amount) if amount >= 1 else None

    def guess_fill(
        self, share: token_bucket.BudgetShare, now: datetime.timedelta
    ) -> float:
        """Return the fill of another share, full when nothing is known."""
        known = self.estimates.get(share.index)
        if known is None:
            return 1.0
        gained = share.rate_per_s * (now - known.at).total_seconds()
        burst = max(share.burst_requests, 1)
        return min((known.left + gained) / burst, 1.0)
