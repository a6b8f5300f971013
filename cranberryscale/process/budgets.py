"""Shares of customers' budgets and the holder's side of them."""

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

KIND = 'budget'
# A holder answers about one TakeTokens a request, and a share of this rate
# stays well under what one instance can answer.
SHARE_RATE_PER_S = 200
# The loss of a holder leaves its share idle for about 13 s, so customers
# with enough burst get several regional shares and lose only a small part.
REGIONAL_SHARES = 8
SHARE_BURST_REQUESTS = 10
DOMAIN_BURST_REQUESTS = 5
# Retry-After of a share that never has a token.
NEVER_S = 3600.0


class ShareMessage(NamedTuple):
    """Send a message to the holder of a share."""

    share: token_bucket.BudgetShare
    message: messages.TakeTokens | messages.ReturnTokens


class BudgetHolder:
    """Answer requests for tokens of the shares that this instance holds.

    The caller passes the lease it holds for the share, or None. A bucket
    starts empty at the start of its lease and is dropped with it. A bucket
    that is not in memory is rebuilt as "empty at the start of the lease and
    unused since", which is exact because only full buckets are dropped.
    """

    def __init__(self, terms: token_bucket.BudgetTerms, rng: random.Random):
        self._terms = terms
        self._accounts: dict[tuple[str, int], share_accounts.ShareAccount] = {}
        self._random = rng
        # Grant identifiers of an earlier process must not match.
        self._next_id = rng.getrandbits(46) << 16

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
        if account is None or not account.fits(share, lease):
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
        """Return a grant, or a denial (`not_holder` or `rate_exceeded`)."""
        account = self._find_account(share, lease, now)
        if account is None:
            return messages.TokenDenial('not_holder', 0.0)
        for grant_id in request.spent:
            account.bucket.close(grant_id)
        if request.amount < 1:
            valid_s = self._terms.grant_validity.total_seconds()
            return messages.TokenGrant(0, 0, valid_s, account.left)
        known = account.grants.get(request.request_id)
        if known is None:
            self._next_id += 1
            known = account.make_grant(
                self._next_id, request, self._terms, lease.until, now
            )
        if known is None:
            return _make_denial(account)
        valid_s = (known.expires - now).total_seconds()
        return messages.TokenGrant(
            known.grant_id, known.amount, valid_s, account.left
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
        lot = account.lots.get(grant.lot)
        if lot is not None:
            amount += lot.amount
            account.lots[lot.grant_id] = lot._replace(amount=amount)
        elif not grant.lot:
            account.bucket.give_back(grant.grant_id, amount)

    def plan_loan(
        self,
        shares: tuple[token_bucket.BudgetShare, ...],
        request: messages.TakeTokens,
        now: datetime.timedelta,
    ) -> ShareMessage | None:
        """Return what to ask of the fullest other share, if it is fuller.

        Call after take_tokens and send without delaying the answer; only
        one loan for a share is under way at a time. A holder that is asked
        for a loan does not borrow, or loans would chase each other.
        """
        if request.have_ratio >= 0 or len(shares) == 1:
            return None
        account = self._accounts.get((request.customer, request.share))
        if account is None or account.pending or account.borrow_at > now:
            return None
        chosen = account.choose_loan(shares, now)
        if chosen is None:
            return None
        lender, amount = chosen
        request_id = f'loan-{self._random.getrandbits(64):016x}'
        account.pending[request_id] = now
        message = messages.TakeTokens(
            request.customer, lender.index, amount, request_id
        )
        fill = account.fill_ratio
        return ShareMessage(lender, message._replace(have_ratio=fill))

    def apply_loan_reply(
        self,
        ask: ShareMessage,
        index: int,
        reply: messages.TokenGrant | messages.TokenDenial | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Credit a loan that is still valid counted from `sent_at`.

        `reply` None means that the lender did not answer. A second reply to
        the same request is ignored.
        """
        account = self._accounts.get((ask.share.customer, index))
        if account is None or ask.message.request_id not in account.pending:
            return
        del account.pending[ask.message.request_id]
        left = getattr(reply, 'left', 0.0)
        account.estimates[ask.share.index] = share_accounts.ShareEstimate(
            left, now
        )
        account.count_loan(isinstance(reply, messages.TokenGrant), now)
        match reply:
            case messages.TokenGrant(grant_id, amount, valid_s):
                valid_s *= 1 - self._terms.drift_ratio
                expires = sent_at + datetime.timedelta(seconds=valid_s)
                lot = share_accounts.Loan(ask.share, grant_id, amount, expires)
                account.lots[grant_id] = lot
        account.advance(now)

    def collect_returns(
        self, now: datetime.timedelta, margin: datetime.timedelta
    ) -> tuple[ShareMessage, ...]:
        """Give back loans that expire within `margin`, debiting first."""
        asks = []
        for account in self._accounts.values():
            account.advance(now)
            for lot in list(account.lots.values()):
                if lot.amount and lot.expires <= now + margin:
                    del account.lots[lot.grant_id]
                    message = messages.ReturnTokens(
                        lot.lender.customer,
                        lot.lender.index,
                        lot.grant_id,
                        lot.amount,
                    )
                    asks.append(ShareMessage(lot.lender, message))
        return tuple(asks)

    def list_buckets(self) -> Iterable[token_bucket.TokenBucket]:
        """Return the buckets in memory, for operators."""
        return (account.bucket for account in self._accounts.values())

    def drop_idle(
        self,
        find_lease: Callable[
            [view_module.LeasedResource, datetime.timedelta], object
        ],
        now: datetime.timedelta,
    ) -> None:
        """Drop buckets that are full and unused or whose lease ended."""
        for key, account in list(self._accounts.items()):
            lease = find_lease(account.bucket.share.resource, now)
            account.advance(now)
            ended = lease is None or lease.since != account.since
            if ended or account.is_idle:
                del self._accounts[key]


def _make_denial(account: share_accounts.ShareAccount) -> messages.TokenDenial:
    wait = account.bucket.find_wait(1)
    wait_s = wait.total_seconds() if wait is not None else NEVER_S
    return messages.TokenDenial('rate_exceeded', wait_s, account.left)


def _list_parts(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
) -> Iterable[tuple[str, str, float, int]]:
    """Yield (cell, name, rate, burst) of each share."""
    count = max(len(domains), 1)
    burst = customer.burst_requests
    # The region keeps at least one request of the burst.
    part = min(int(burst * floor_fraction / count), (burst - 1) // count)
    if part < DOMAIN_BURST_REQUESTS or not domains:
        part, floor_fraction, domains = 0, 0.0, ()
    burst -= part * count
    rate = customer.rate_per_s * (1 - floor_fraction)
    wanted = min(REGIONAL_SHARES, burst // SHARE_BURST_REQUESTS)
    by_rate = math.ceil(rate / SHARE_RATE_PER_S)
    regional = max(min(max(by_rate, wanted), burst), 1)
    for n in range(regional):
        whole = burst // regional + (n < burst % regional)
        cell, name = view_module.REGION_SCOPE, f'{customer.name}/{n}'
        yield cell, name, rate / regional, whole
    domain_rate = customer.rate_per_s * floor_fraction / count
    for domain in domains:
        yield domain, customer.name, domain_rate, part


def split_budget(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
) -> tuple[token_bucket.BudgetShare, ...]:
    """Split a budget into regional shares, then failure domain shares.

    The rates and bursts add up to the customer's. Bursts are whole, and a
    customer whose domain part would be under DOMAIN_BURST_REQUESTS has no
    domain shares, since it would lose more to fractions of tokens in many
    buckets than it gains. A burst of 0 gives a share that admits nothing.
    """
    parts = _list_parts(customer, domains, floor_fraction)
    return tuple(
        token_bucket.BudgetShare(
            customer.name,
            view_module.LeasedResource(cell, KIND, name),
            rate_per_s,
            burst_requests,
            index,
        )
        for index, (cell, name, rate_per_s, burst_requests) in enumerate(parts)
    )
