"""Customers' rate limits, split into shares with a token bucket each.

A budget is a customer's rate and burst over the whole fleet. Each share of it
is held by one instance at a time, under a lease. The holder grants tokens to
entry instances, and borrows from the holders of fuller shares.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import math
import random
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import share_accounts
from cranberryscale.process import token_bucket
from cranberryscale.version import configuration
from cranberryscale.version import view as view_module


__all__ = ['BudgetHolder', 'ShareMessage', 'split_budget']

RESOURCE_KIND = 'budget'
# A holder answers about one TakeTokens a request, and a share of this rate
# stays well under what one instance can answer.
TARGET_SHARE_RATE_PER_S = 200
# The loss of a holder leaves its share unused for about 13 s, so customers
# with enough burst get several regional shares and lose only a small part.
DEFAULT_REGIONAL_SHARES = 8
MIN_SHARE_BURST_REQUESTS = 10
MIN_DOMAIN_BURST_REQUESTS = 5
# Retry-After when a share never gets a token.
NEVER_RETRY_AFTER_S = 3600.0


class ShareMessage(NamedTuple):
    """A message to the holder of a share."""

    share: token_bucket.BudgetShare
    message: messages.TakeTokens | messages.ReturnTokens


class BudgetHolder:
    """The accounts of the shares that this instance holds.

    The caller passes the lease it holds for the share, or None. A bucket
    starts empty at the start of its lease and is dropped with it. A bucket
    that is not in memory is rebuilt as "empty at the start of the lease and
    unused since", which is exact because only full buckets are dropped.
    """

    def __init__(self, terms: token_bucket.BudgetTerms, rng: random.Random):
        self._terms = terms
        self._accounts: dict[tuple[str, int], share_accounts.ShareAccount] = {}
        self._random = rng
        # Grant ids must differ from those of an earlier process of this
        # instance.
        self._last_grant_id = rng.getrandbits(46) << 16

    def __len__(self) -> int:
        """Return the number of buckets in memory."""
        return len(self._accounts)

    def _find_account(
        self, share: token_bucket.BudgetShare, lease, now: datetime.timedelta
    ) -> share_accounts.ShareAccount | None:
        key = (share.customer, share.index)
        if lease is None or lease.until <= now:
            self._accounts.pop(key, None)
            return None
        account = self._accounts.get(key)
        if account is None or not account.matches(share, lease):
            account = self._accounts[key] = share_accounts.ShareAccount(
                share, lease.since, self._terms.rate_drift_ratio
            )
        if account.bucket.share != share:
            account.bucket.change_share(share, now)
        account.advance(now)
        return account

    def request_tokens(
        self,
        request: messages.TakeTokens,
        share: token_bucket.BudgetShare,
        lease,
        now: datetime.timedelta,
    ) -> messages.TokenGrant | messages.TokenDenial:
        """Return a grant, or a denial (`not_holder` or `rate_exceeded`).

        A repeated request gets the same grant. Tokens that the request reports
        as spent stop being outstanding.
        """
        account = self._find_account(share, lease, now)
        if account is None:
            return messages.TokenDenial('not_holder', 0.0)
        for grant_id in request.spent:
            account.bucket.record_spent(grant_id)
        if request.amount < 1:
            valid_s = self._terms.grant_validity.total_seconds()
            return messages.TokenGrant(0, 0, valid_s, account.left)
        grant = account.grants.get(request.request_id)
        if grant is None:
            self._last_grant_id += 1
            grant = account.make_grant(
                self._last_grant_id, request, self._terms, lease.until, now
            )
        if grant is None:
            return _make_denial(account)
        valid_s = (grant.expires - now).total_seconds()
        return messages.TokenGrant(
            grant.grant_id, grant.amount, valid_s, account.left
        )

    def return_tokens(
        self, request: messages.ReturnTokens, now: datetime.timedelta
    ) -> None:
        """Credit tokens that are still outstanding, once for each grant."""
        account = self._accounts.get((request.customer, request.share))
        if account is None or request.amount < 1:
            return
        account.advance(now)
        found = next(
            (
                (key, grant)
                for key, grant in account.grants.items()
                if grant.grant_id == request.grant_id and not grant.returned
            ),
            None,
        )
        if found is None:
            return
        key, grant = found
        account.grants[key] = grant._replace(returned=True)
        amount = min(request.amount, grant.amount)
        loan = account.loans.get(grant.loan_id)
        if loan is not None:
            amount += loan.amount
            account.loans[loan.grant_id] = loan._replace(amount=amount)
        elif not grant.loan_id:
            account.bucket.refund(grant.grant_id, amount)

    def plan_loan(
        self,
        shares: tuple[token_bucket.BudgetShare, ...],
        request: messages.TakeTokens,
        now: datetime.timedelta,
    ) -> ShareMessage | None:
        """Return a request to the fullest other share, if it is fuller.

        Call after request_tokens and send without delaying the reply; only one
        loan for a share is under way at a time. A holder that receives a
        request for a loan does not borrow itself, or requests for loans could
        circulate among the shares.
        """
        if request.have_ratio >= 0 or len(shares) == 1:
            return None
        account = self._accounts.get((request.customer, request.share))
        if (
            account is None
            or account.pending_loans
            or account.next_loan_at > now
        ):
            return None
        chosen = account.choose_loan(shares, now)
        if chosen is None:
            return None
        lender, amount = chosen
        request_id = f'loan-{self._random.getrandbits(64):016x}'
        account.pending_loans[request_id] = now
        message = messages.TakeTokens(
            request.customer, lender.index, amount, request_id
        )
        own_fill = account.fill_ratio
        return ShareMessage(lender, message._replace(have_ratio=own_fill))

    def apply_loan_reply(
        self,
        loan_request: ShareMessage,
        index: int,
        reply: messages.TokenGrant | messages.TokenDenial | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Credit a loan if it is still valid, counted from `sent_at`.

        `reply` is None if the lender did not answer. A second reply to the
        same request is ignored.
        """
        account = self._accounts.get((loan_request.share.customer, index))
        if (
            account is None
            or loan_request.message.request_id not in account.pending_loans
        ):
            return
        del account.pending_loans[loan_request.message.request_id]
        left = getattr(reply, 'left', 0.0)
        account.estimates[loan_request.share.index] = (
            share_accounts.ShareEstimate(left, now)
        )
        account.record_loan_reply(isinstance(reply, messages.TokenGrant), now)
        match reply:
            case messages.TokenGrant(grant_id, amount, valid_s):
                valid_s *= 1 - self._terms.drift_ratio
                expires = sent_at + datetime.timedelta(seconds=valid_s)
                loan = share_accounts.Loan(
                    loan_request.share, grant_id, amount, expires
                )
                account.loans[grant_id] = loan
        account.advance(now)

    def collect_returns(
        self, now: datetime.timedelta, margin: datetime.timedelta
    ) -> tuple[ShareMessage, ...]:
        """Remove the loans that expire within `margin`.

        Return the messages that return their tokens to the lenders.
        """
        returns = []
        for account in self._accounts.values():
            account.advance(now)
            for loan in list(account.loans.values()):
                if loan.amount and loan.expires <= now + margin:
                    del account.loans[loan.grant_id]
                    message = messages.ReturnTokens(
                        loan.lender.customer,
                        loan.lender.index,
                        loan.grant_id,
                        loan.amount,
                    )
                    returns.append(ShareMessage(loan.lender, message))
        return tuple(returns)

    def list_buckets(self) -> Iterable[token_bucket.TokenBucket]:
        """Return the buckets in memory, for operators."""
        return (account.bucket for account in self._accounts.values())

    def remove_idle(
        self,
        find_lease: Callable[
            [view_module.LeasedResource, datetime.timedelta], object
        ],
        now: datetime.timedelta,
    ) -> None:
        """Remove buckets that are full and unused or whose lease ended."""
        for key, account in list(self._accounts.items()):
            lease = find_lease(account.bucket.share.resource, now)
            account.advance(now)
            is_lease_over = lease is None or lease.since != account.since
            if is_lease_over or account.is_idle:
                del self._accounts[key]


def _make_denial(account: share_accounts.ShareAccount) -> messages.TokenDenial:
    wait = account.bucket.find_wait(1)
    wait_s = wait.total_seconds() if wait is not None else NEVER_RETRY_AFTER_S
    return messages.TokenDenial('rate_exceeded', wait_s, account.left)


def _list_share_parts(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
) -> Iterable[tuple[str, str, float, int]]:
    """Yield lease scope, resource name, rate and burst of each share."""
    count = max(len(domains), 1)
    burst = customer.burst_requests
    # The regional shares keep at least one request of the burst.
    domain_burst = min(
        int(burst * floor_fraction / count), (burst - 1) // count
    )
    if domain_burst < MIN_DOMAIN_BURST_REQUESTS or not domains:
        domain_burst, floor_fraction, domains = 0, 0.0, ()
    burst -= domain_burst * count
    rate = customer.rate_per_s * (1 - floor_fraction)
    by_burst = min(DEFAULT_REGIONAL_SHARES, burst // MIN_SHARE_BURST_REQUESTS)
    by_rate = math.ceil(rate / TARGET_SHARE_RATE_PER_S)
    regional = max(min(max(by_rate, by_burst), burst), 1)
    for n in range(regional):
        share_burst = burst // regional + (n < burst % regional)
        scope, name = view_module.REGION_SCOPE, f'{customer.name}/{n}'
        yield scope, name, rate / regional, share_burst
    domain_rate = customer.rate_per_s * floor_fraction / count
    for domain in domains:
        yield domain, customer.name, domain_rate, domain_burst


def split_budget(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
) -> tuple[token_bucket.BudgetShare, ...]:
    """Split a budget into regional shares, then failure domain shares.

    `floor_fraction` is the part of rate and burst for the failure domain
    shares, whose holders are instances of that domain.

    The rates and bursts add up to the customer's. Bursts are whole numbers,
    and a customer whose domain burst would be under MIN_DOMAIN_BURST_REQUESTS
    has no domain shares, since it would lose more to fractions of tokens in
    many buckets than it gains. A burst of 0 gives a share that admits nothing.
    """
    parts = _list_share_parts(customer, domains, floor_fraction)
    return tuple(
        token_bucket.BudgetShare(
            customer.name,
            view_module.LeasedResource(scope, RESOURCE_KIND, name),
            rate_per_s,
            burst_requests,
            index,
        )
        for index, (scope, name, rate_per_s, burst_requests) in enumerate(
            parts
        )
    )
