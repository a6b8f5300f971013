"""Tests that customers stay within their budgets and can use them."""

import datetime
import random
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import pytest

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import share_states
from cranberryscale.process import token_acquisition
from cranberryscale.process import token_bucket
from cranberryscale.process import token_cache
from cranberryscale.version import configuration
from cranberryscale.version import view
from cranberryscale_bench import admission_measures


TERMS = token_bucket.BudgetTerms(rate_drift_ratio=0.005)
RESOURCE = view.LeasedResource('', 'budget', 'c/0')
SHARE = token_bucket.BudgetShare('c', RESOURCE, 10.0, 20, 0)
# Clocks that differ from each other by up to 1%.
SPEEDS = (0.995, 1.0, 1.005)


def seconds(value):
    """Return a duration."""
    return datetime.timedelta(seconds=value)


class Lease(NamedTuple):
    """A lease as the lease table returns it."""

    since: datetime.timedelta
    until: datetime.timedelta


def make_holder(seed=1):
    """Return a holder with the default terms."""
    return budgets.BudgetHolder(
        token_bucket.BudgetTerms(), random.Random(seed)
    )


def request_grant(
    holder, now, amount=1, request_id='r', lease=None, share=SHARE, **kw
):
    """Request tokens, by default under a lease from 0 to 100 s."""
    lease = lease or Lease(seconds(0), seconds(100))
    request = messages.TakeTokens('c', 0, amount, request_id, **kw)
    return holder.request_tokens(request, share, lease, seconds(now))


class RandomOperations:
    """Random operations on two shares and two entry instances.

    Messages are lost, delayed and duplicated. The rates are high for the
    bursts, so that a token that is counted twice or spent too late exceeds the
    bound at once.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.at_us = 0
        self.shares = tuple(
            token_bucket.BudgetShare(
                'c', RESOURCE._replace(name=f'c/{n}'), rate, 4, n
            )
            for n, rate in enumerate((150.3, 60.1))
        )
        self.holders = [self.replace_holder() for _ in self.shares]
        self.caches = [
            (token_cache.TokenCache(TERMS), self.random.choice(SPEEDS))
            for _ in range(2)
        ]
        self.in_flight = []
        self.spent_s = []
        self.tokens = []
        self.count = 0

    def replace_holder(self):
        """Return a holder whose lease starts now, on its own clock."""
        speed = self.random.choice(SPEEDS)
        since = self.read_clock(speed)
        lease = Lease(
            since, since + seconds(self.random.choice((0.06, 0.5, 2)))
        )
        holder = budgets.BudgetHolder(TERMS, self.random)
        return holder, lease, speed

    def read_clock(self, speed):
        """Return a clock that runs at this speed."""
        microseconds = int((self.at_us + 10**9) * speed)
        return datetime.timedelta(microseconds=microseconds)

    def send_later(self, deliver):
        """Keep a message, which is delivered later: never, once or twice."""
        self.in_flight = [*self.in_flight[-30:], deliver]

    def send_token_request(self, number):
        """Let an entry instance request tokens from a share's holder."""
        cache, speed = self.caches[number % 2]
        share = self.shares[number // 2 % 2]
        self.count += 1
        sent_at = self.read_clock(speed)
        share_message = cache.make_request(share, f'r{self.count}', sent_at)
        amount = self.random.choice((1, 3, 4))
        share_message = share_message._replace(
            message=share_message.message._replace(amount=amount)
        )

        def arrive():
            reply = self.handle_message(share_message)
            self.send_later(
                lambda: cache.apply_reply(
                    share_message,
                    share_states.TimedReply(
                        reply, sent_at, self.read_clock(speed)
                    ),
                )
            )

        self.send_later(arrive)

    def handle_message(self, share_message):
        """Handle a message at the current holder of the share."""
        holder, lease, speed = self.holders[share_message.share.index]
        now = self.read_clock(speed)
        if isinstance(share_message.message, messages.ReturnTokens):
            return holder.return_tokens(share_message.message, now)
        reply = holder.request_tokens(
            share_message.message, share_message.share, lease, now
        )
        loan = holder.plan_loan(self.shares, share_message.message, now)
        if loan is not None:
            self.send_later(
                lambda: self.request_loan(
                    loan, holder, speed, now, share_message
                )
            )
        return reply

    def request_loan(self, loan, holder, speed, sent_at, share_message):
        """Deliver a request for a loan and send its reply."""
        reply = self.handle_message(loan)
        self.send_later(
            lambda: holder.apply_loan_reply(
                loan,
                share_message.share.index,
                reply,
                sent_at,
                self.read_clock(speed),
            )
        )

    def start_requests(self, cache, now):
        """Start the requests whose tokens are still valid."""
        kept = [pair for pair in self.tokens if pair[0] is not cache]
        for _, token in (p for p in self.tokens if p[0] is cache):
            if now < token.expires:
                self.spent_s.append(self.at_us / 1e6)
            cache.settle(token, True, now)
        self.tokens = kept

    def run_operation(self, operation, number):
        """Run one random operation."""
        cache, speed = self.caches[number % 2]
        match operation:
            case 'pass':
                self.at_us += (1, 13, 97, 997, 8_009)[number % 5]
            case 'ask':
                self.send_token_request(number)
            case 'deliver' | 'double' if self.in_flight:
                # Mostly recent ones: old ones have expired.
                back = number % min(len(self.in_flight), 5)
                deliver = self.in_flight[-1 - back]
                if operation == 'deliver':
                    self.in_flight.remove(deliver)
                deliver()
            case 'spend':
                self.start_requests(cache, self.read_clock(speed))
                while token := cache.spend('c', self.read_clock(speed)):
                    self.tokens.append((cache, token))
            case 'return':
                share_messages = cache.collect_returns(
                    self.read_clock(speed), seconds(1)
                )
                for share_message in share_messages:
                    self.send_later(
                        lambda share_message=share_message: (
                            self.handle_message(share_message)
                        )
                    )
            case 'replace':
                index = number % 2
                _, lease, speed = self.holders[index]
                if lease.until <= self.read_clock(speed):
                    self.holders[index] = self.replace_holder()
            case 'drop':
                holder, lease, speed = self.holders[number % 2]
                holder.remove_idle(lambda *_: lease, self.read_clock(speed))


OPERATIONS = ('ask', 'deliver', 'double', 'drop', 'pass', 'replace')
OPERATIONS += ('return', 'spend')


def run_operations(seed, weights, steps):
    """Return the operations run and their over_admission_ratio."""
    operations = RandomOperations(seed)
    for operation in operations.random.choices(OPERATIONS, weights, k=steps):
        operations.run_operation(operation, operations.random.randrange(60))
    rate = sum(share.rate_per_s for share in operations.shares)
    burst = sum(share.burst_requests for share in operations.shares)
    ratio = admission_measures.compute_over_admission_ratio(
        operations.spent_s, rate, burst
    )
    return operations, ratio


@hypothesis.settings(
    derandomize=True, deadline=None, max_examples=40, database=None
)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    weights=strategies.tuples(
        *(strategies.integers(1, 6) for _ in OPERATIONS)
    ),
)
def test_no_window_is_over_rate_and_burst(seed, weights):
    """No order of messages, pauses and handovers may create a token."""
    _, ratio = run_operations(seed, weights, 4000)
    assert ratio <= 1 + 1e-9


def test_random_operations_admit_under_saturation():
    """The property test must reach admissions, handovers and the burst."""
    operations, ratio = run_operations(7, (6, 12, 1, 1, 4, 1, 1, 6), 20_000)
    assert len(operations.spent_s) > 500
    assert ratio > 0.8


def test_bucket_of_a_new_lease_starts_empty():
    """A burst for each new holder would exceed the rate."""
    holder = make_holder()
    assert request_grant(holder, 50, 5).amount == 5
    later = Lease(seconds(60), seconds(100))
    reply = request_grant(holder, 60.05, 1, 'r2', later)
    assert reply.code == 'rate_exceeded'


def test_grant_ends_with_the_lease():
    """A token that outlives its lease adds to the next holder's."""
    lease = Lease(seconds(0), seconds(10.02))
    reply = request_grant(make_holder(), 10, lease=lease)
    assert reply.valid_s == pytest.approx(0.02)
    assert (
        request_grant(make_holder(), 10.02, lease=lease).code == 'not_holder'
    )


def test_repeated_request_gets_the_same_grant():
    """A retry after a lost reply must not debit twice."""
    holder = make_holder()
    first, again = request_grant(holder, 50), request_grant(holder, 50.01)
    assert again.grant_id == first.grant_id
    assert again.valid_s < first.valid_s
    assert again.left == pytest.approx(first.left + 0.1, abs=1e-3)


def test_tokens_are_returned_once():
    """A duplicated ReturnTokens must not credit twice."""
    holder = make_holder()
    grant = request_grant(holder, 50, 4)
    token_return = messages.ReturnTokens('c', 0, grant.grant_id, 3)
    holder.return_tokens(token_return, seconds(50))
    holder.return_tokens(token_return, seconds(50))
    assert request_grant(holder, 50, request_id='r2').left == pytest.approx(18)


def test_removed_idle_bucket_is_rebuilt_with_its_tokens():
    """A dropped bucket must be rebuilt with the tokens it had."""
    holder = make_holder()
    lease = Lease(seconds(49), seconds(100))
    request_grant(holder, 50, 1, lease=lease)
    holder.remove_idle(lambda *_: lease, seconds(50.2))
    assert len(holder) == 1
    holder.remove_idle(lambda *_: lease, seconds(60))
    assert len(holder) == 0
    assert request_grant(holder, 60, lease=lease).left == pytest.approx(19)


def test_raised_burst_adds_no_tokens_at_once():
    """A configuration change must not fill the bucket."""
    holder = make_holder()
    request_grant(holder, 50, 5)
    bigger = SHARE._replace(burst_requests=1000)
    assert request_grant(
        holder, 50, 1, 'r2', share=bigger
    ).left == pytest.approx(14)


def test_a_denied_request_is_granted_after_retry_after():
    """A caller that waits for Retry-After must not be refused again."""
    holder = make_holder()
    for number in range(30):
        request_grant(holder, 50, 1, f'r{number}')
    denial = request_grant(holder, 50, 1, 'x')
    assert denial.code == 'rate_exceeded'
    wait_s = denial.retry_after_s
    early = request_grant(holder, 50 + wait_s - 1e-5, 1, 'x')
    assert isinstance(early, messages.TokenDenial)
    assert request_grant(holder, 50 + wait_s, 1, 'x').amount == 1


def test_late_reply_is_not_credited():
    """An instance must not spend tokens that expired during a pause."""
    cache = token_cache.TokenCache(token_bucket.BudgetTerms())
    share_message = cache.make_request(SHARE, 'r', seconds(1))
    grant = messages.TokenGrant(1, 1, 0.05)
    late_reply = share_states.TimedReply(grant, seconds(1), seconds(1.05))
    assert cache.apply_reply(share_message, late_reply)
    assert not cache.spend('c', seconds(1.05))


def test_unspent_token_serves_the_next_request():
    """A request that did not run must not cost its customer a token."""
    cache = token_cache.TokenCache(token_bucket.BudgetTerms())
    cache.add_grant(
        SHARE, messages.TokenGrant(1, 1, 0.05), seconds(1), seconds(1.01)
    )
    token = cache.spend('c', seconds(1.01))
    assert cache.spend('c', seconds(1.01)) is None
    cache.settle(token, False, seconds(1.02))
    token = cache.spend('c', seconds(1.02))
    assert cache.make_request(SHARE, 'r1', seconds(1.02)).message.spent == ()
    cache.settle(token, True, seconds(1.03))
    assert cache.make_request(SHARE, 'r2', seconds(1.03)).message.spent == (1,)


def test_second_reply_is_ignored():
    """A duplicated reply must not be credited twice."""
    cache = token_cache.TokenCache(token_bucket.BudgetTerms())
    share_message = cache.make_request(SHARE, 'r', seconds(1))
    timed_reply = share_states.TimedReply(
        messages.TokenGrant(1, 1, 0.05), seconds(1), seconds(1.01)
    )
    assert cache.apply_reply(share_message, timed_reply)
    assert not cache.apply_reply(share_message, timed_reply)
    assert cache.spend('c', seconds(1.01))
    assert not cache.spend('c', seconds(1.01))


@pytest.mark.parametrize(
    ('replies', 'code'),
    [
        ((None,) * 9, 'budget_unavailable'),
        ((messages.TokenDenial('not_holder', 0),) * 9, 'budget_unavailable'),
        (
            (messages.TokenDenial('rate_exceeded', 2.0), None, None),
            'rate_exceeded',
        ),
    ],
)
def test_failure_code_distinguishes_over_rate_from_unreachable(replies, code):
    """A caller within its rate must not be told that it is over."""
    shares = (SHARE, SHARE._replace(index=1))
    acquisition = token_acquisition.TokenAcquisition(
        token_cache.TokenCache(token_bucket.BudgetTerms()),
        shares,
        'd0',
        token_bucket.BudgetTerms(),
        random.Random(1),
        'r',
    )
    steps = acquisition.run(seconds(1))
    next(steps)
    with pytest.raises(StopIteration) as ended:
        for reply in replies:
            steps.send(share_states.TimedReply(reply, seconds(1), seconds(1)))
    assert ended.value.value.code == code


@pytest.mark.parametrize('burst', [0, 1, 3, 5, 20, 60, 100, 997])
@pytest.mark.parametrize('floor_fraction', [0.0, 0.3, 1.0])
def test_shares_add_up_to_the_budget(burst, floor_fraction):
    """Shares that add up to more than the budget break the bound."""
    customer = configuration.Customer('c', 401.5, burst)
    shares = budgets.split_budget(customer, ('a', 'b', 'c'), floor_fraction)
    assert sum(share.burst_requests for share in shares) == burst
    assert sum(s.rate_per_s for s in shares) == pytest.approx(401.5)
    assert shares[0].resource.scope == view.REGION_SCOPE
    assert len({share.resource for share in shares}) == len(shares)
    assert [share.index for share in shares] == list(range(len(shares)))


def test_unresponsive_share_comes_last():
    """An unreachable region must not delay the share of the own domain."""
    near_share = SHARE._replace(
        resource=RESOURCE._replace(scope='d0'), index=1
    )
    known = {0: share_states.ShareState(unanswered_calls=1)}
    ordered = share_states.order_shares(
        (SHARE, near_share), known, 'd0', seconds(9), (0.5, 0.5)
    )
    assert ordered == (near_share, SHARE)


def test_paused_instance_spends_no_expired_tokens():
    """A token that was valid before a pause may belong to others after it."""
    cache = token_cache.TokenCache(token_bucket.BudgetTerms())
    grant = messages.TokenGrant(1, 2, 0.05)
    cache.add_grant(SHARE, grant, seconds(1), seconds(1.01))
    assert cache.spend('c', seconds(1.02))
    assert not cache.spend('c', seconds(1.05))


@pytest.mark.parametrize(('arrives', 'amount'), [(1.02, 3), (1.0499, 0)])
def test_validity_of_a_loan_counts_from_its_request(arrives, amount):
    """A loan that arrives late may have been accrued again by the lender."""
    holder = make_holder()
    shares = (SHARE, SHARE._replace(index=1))
    lease = Lease(seconds(0.99), seconds(9))
    request = messages.TakeTokens('c', 0, 1, 'r')
    holder.request_tokens(request, SHARE, lease, seconds(1))
    loan = holder.plan_loan(shares, request, seconds(1))
    reply = messages.TokenGrant(5, 3, 0.05, 9.0)
    holder.apply_loan_reply(loan, 0, reply, seconds(1), seconds(arrives))
    granted = request_grant(holder, arrives, 9, 'r2', lease)
    assert getattr(granted, 'amount', 0) == amount
