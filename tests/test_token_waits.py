"""Tests of the order in which requests of one customer get its tokens.

The replay has no network: requests ask the holder, wait or ask again as told,
and are on time if their start leaves the usual latency of their kind.
"""

import collections
import heapq
import random
from typing import NamedTuple

import pytest
import test_quota_bounds
import test_quotas

from cranberryscale import messages
from cranberryscale.process import quotas
from cranberryscale.process import token_queue
from cranberryscale.request import token_waits
from cranberryscale.version import configuration


START, SECOND = test_quotas.START, test_quotas.SECOND
ZERO = 0 * SECOND
LONG_AFTER_START = 60 * SECOND


class Kind(NamedTuple):
    """A kind of requests; times in seconds."""

    name: str
    share: float
    usual_s: float
    target_s: float
    deadline_s: float
    priority: int = 0

    def find_wait(self, elapsed):
        return token_waits.find_token_wait(
            self.target_s * SECOND - elapsed,
            self.deadline_s * SECOND - elapsed,
            self.usual_s * SECOND,
            LONG_AFTER_START,
            self.priority == 0,
        )


SHORT = Kind('short', 0.17, 0.13, 0.5, 2)
MIDDLE = Kind('middle', 0.59, 0.4, 1.2, 2.5, 1)
LONG = Kind('long', 0.24, 0.8, 5, 5, 2)
KINDS = (SHORT, MIDDLE, LONG)


def book(kind, _number):
    """Ask as instances do that only book tokens."""
    limit = min(0.4, kind.deadline_s / 3) * (1 if kind.priority == 0 else 0.5)
    return limit * SECOND, None


def book_whole_wait(kind, _number):
    return kind.find_wait(ZERO).on_time, None


def queue(kind, number, elapsed=ZERO):
    wait = kind.find_wait(elapsed)
    request = token_queue.TokenRequest(
        f'r{number}', wait.on_time, wait.late, kind.priority
    )
    return wait.on_time, request


class Replay:
    """Requests of one customer at its holder.

    `phases` are pairs of seconds and requests per second. `counts` has the
    results by kind and `asks` the asks of each request.
    """

    def __init__(self, customer, phases, seed=1, ask=queue, kinds=KINDS):
        self.customer = customer
        self.ask = ask
        self.holders = [test_quotas.make_holder()]
        self.counts = collections.Counter()
        self.starts = []
        self.asks = collections.Counter()
        self.refusals = []
        rng = random.Random(seed)
        self._events = []
        at = START
        for seconds, rate_per_s in phases:
            until = at + seconds * SECOND
            while (at := at + rng.expovariate(rate_per_s) * SECOND) < until:
                kind = rng.choices(kinds, [k.share for k in kinds])[0]
                self._events.append((at, len(self._events), kind, at))
            at = until
        heapq.heapify(self._events)

    def run(self):
        while self._events:
            now, number, kind, arrived = heapq.heappop(self._events)
            elapsed = now - arrived
            if self.ask is queue:
                longest, request = queue(kind, number, elapsed)
            else:
                longest, request = self.ask(kind, number)
            self.asks[number] += 1
            decision = self.holders[-1].admit(
                self.customer,
                test_quotas.WHOLE,
                now,
                longest,
                request=request,
            )
            self._handle(decision, now, number, kind, arrived)
        return self

    def _handle(self, decision, now, number, kind, arrived):
        if decision.is_waiting:
            again = now + decision.delay
            heapq.heappush(self._events, (again, number, kind, arrived))
        elif decision.is_admitted:
            started = now + decision.delay
            self.starts.append((started, kind.name))
            used = started - arrived + kind.usual_s * SECOND
            is_late = used > kind.target_s * SECOND
            self.counts[kind.name, 'late' if is_late else 'on time'] += 1
        else:
            self.refusals.append((kind.name, now - arrived, decision.delay))
            self.counts[kind.name, 'refused'] += 1

    def find_ratio(self, name, *results):
        counted = sum(self.counts[name, result] for result in results)
        names = ('on time', 'late', 'refused')
        return counted / sum(self.counts[name, result] for result in names)


SMALL = configuration.Customer('c', 9.0, 9)
LARGE = configuration.Customer('c', 37.0, 37)
# Seconds, and demand as a part of the rate. Usual is 0.625 of it.
HOT = ((2, 0.625), (6.5, 7.5 * 0.625), (4, 0.625))
LASTING = ((20, 2.0),)


def replay(customer, phases, ask=queue, seeds=range(8), kinds=KINDS):
    """Return the replays of several seeds with the sum of their results."""
    phases = [(s, ratio * customer.rate_per_s) for s, ratio in phases]
    replays = [
        Replay(customer, phases, seed, ask, kinds).run() for seed in seeds
    ]
    total = Replay(customer, ())
    for each in replays:
        total.counts += each.counts
    return total, replays


@pytest.mark.parametrize('customer', [SMALL, LARGE], ids=('small', 'large'))
def test_requests_with_little_time_go_first_when_a_customer_is_hot(customer):
    """Load pattern: a customer sends 7.5 times its usual for 6.5 s.

    A request with seconds to spare was refused after 0.2 s, while the tokens
    it had booked were missing to requests that could not wait.
    """
    booked, _ = replay(customer, HOT, book)
    queued, _ = replay(customer, HOT)
    gain = {
        kind.name: queued.find_ratio(kind.name, 'on time')
        - booked.find_ratio(kind.name, 'on time')
        for kind in KINDS
    }
    assert gain['short'] > 0.05
    assert gain['middle'] > -0.03
    served = [
        sum(n for (_, result), n in each.counts.items() if result == 'on time')
        for each in (booked, queued)
    ]
    assert served[1] >= served[0]


@pytest.mark.parametrize('customer', [SMALL, LARGE], ids=('small', 'large'))
def test_lasting_overload_starves_no_kind(customer):
    """Each kind is served at least a quarter as often as all are."""
    total, _ = replay(customer, LASTING)
    served = sum(n for (_, r), n in total.counts.items() if r != 'refused')
    ratio = served / sum(total.counts.values())
    for kind in KINDS:
        assert total.find_ratio(kind.name, 'on time', 'late') > ratio / 4


def test_requests_with_much_time_do_not_push_others_into_refusal():
    """Load pattern: many requests with much time at once, then others.

    The short ones alone are well inside the rate.
    """
    counts = {}
    for ask in (book_whole_wait, queue):
        played = Replay(LARGE, [(3, 10)], 2, ask, (SHORT,))
        clump = [
            (
                START + n * SECOND / 400,
                1000 + n,
                LONG,
                START + n * SECOND / 400,
            )
            for n in range(100)
        ]
        played._events = sorted(played._events + clump)
        counts[ask] = played.run().counts
    assert counts[queue]['short', 'on time'] > 25
    assert counts[queue]['short', 'refused'] == 0
    assert counts[queue]['long', 'on time'] > LARGE.burst_requests + 30
    assert counts[book_whole_wait]['short', 'refused'] > 10


@pytest.mark.parametrize('phases', [HOT, LASTING], ids=('hot', 'lasting'))
def test_refusals_come_at_once_and_asks_are_few(phases):
    _, replays = replay(LARGE, phases)
    refusals = [r for each in replays for r in each.refusals]
    at_once = sum(waited == ZERO for _, waited, _ in refusals)
    assert at_once > 0.95 * len(refusals)
    assert all(delay > ZERO for _, _, delay in refusals)
    most = max(max(each.asks.values()) for each in replays)
    assert most <= token_queue.ASK_LIMIT + 2
    for each in replays:
        assert sum(each.asks.values()) < 2 * len(each.asks)


@pytest.mark.parametrize('phases', [HOT, LASTING], ids=('hot', 'lasting'))
@pytest.mark.parametrize('customer', [SMALL, LARGE], ids=('small', 'large'))
def test_queue_keeps_the_bound_of_the_rate(customer, phases):
    _, replays = replay(customer, phases)
    bound = customer.rate_per_s * test_quotas.WINDOW_S
    bound = (bound + customer.burst_requests) * 1.25
    bound += test_quotas.SLACK_REQUESTS
    for each in replays:
        starts = [at for at, _ in each.starts]
        assert test_quotas.find_max_admissions(starts) <= bound


def test_every_eighth_token_goes_to_the_request_that_waited_longest():
    """Bound on starvation, while bookings take all that accrues."""
    holder = test_quotas.make_holder()
    for number in range(LARGE.burst_requests * 2):
        holder.admit(LARGE, test_quotas.WHOLE, START, 0.4 * SECOND)
    waiting, served, booked = {}, 0, 0
    for tick in range(10000):
        now = START + tick * SECOND / 500
        if tick % 50 == 0:
            waiting[f'w{tick}'] = now
        for name in [n for n, at in waiting.items() if at <= now]:
            request = token_queue.TokenRequest(name, 4 * SECOND, ZERO, 2)
            decision = holder.admit(
                LARGE, test_quotas.WHOLE, now, 4 * SECOND, request=request
            )
            if decision.is_waiting:
                waiting[name] = now + decision.delay
                continue
            del waiting[name]
            served += decision.is_admitted
        decision = holder.admit(LARGE, test_quotas.WHOLE, now, 0.4 * SECOND)
        booked += decision.is_admitted
    assert served >= (served + booked) / 8 - len(waiting)


def test_request_whose_instance_is_gone_keeps_no_token():
    holder = test_quotas.make_holder()
    while holder.admit(LARGE, test_quotas.WHOLE, START).is_admitted:
        pass
    request = token_queue.TokenRequest('gone', 4 * SECOND)
    decision = holder.admit(
        LARGE, test_quotas.WHOLE, START, 4 * SECOND, request=request
    )
    assert decision.is_waiting
    later = START + decision.delay + 2 * token_queue.ASK_GRACE
    admitted = 0
    other = token_queue.TokenRequest('other', 4 * SECOND)
    while holder.admit(LARGE, test_quotas.WHOLE, later).is_admitted:
        admitted += 1
    assert admitted >= LARGE.burst_requests
    decision = holder.admit(
        LARGE, test_quotas.WHOLE, later, 4 * SECOND, request=other
    )
    assert decision.delay <= 4 * SECOND / token_queue.ASK_LIMIT


def test_successor_lets_requests_with_time_ask_again_after_the_handover():
    """It does not know the queue, and is not the holder yet."""
    successor = test_quotas.make_holder()

    def ask(longest_wait):
        request = token_queue.TokenRequest('r', longest_wait)
        return successor.admit(
            SMALL,
            test_quotas.WHOLE,
            START,
            longest_wait,
            is_holder=False,
            request=request,
        )

    while (decision := ask(3 * SECOND)).is_admitted:
        pass
    assert decision == quotas.QuotaDecision(False, quotas.HANDOVER_TIME, True)
    assert not ask(0.3 * SECOND).is_waiting


def test_wait_leaves_the_usual_latency_until_the_target():
    for kind in KINDS:
        for waited_s in (0, 0.2, 0.4):
            wait = kind.find_wait(waited_s * SECOND)
            used_s = waited_s + kind.usual_s
            if wait.on_time > ZERO:
                assert used_s + wait.on_time / SECOND < kind.target_s
            assert used_s + wait.late / SECOND <= kind.deadline_s
    assert LONG.find_wait(ZERO).on_time > 2.5 * SECOND
    assert SHORT.find_wait(0.4 * SECOND).on_time == ZERO


class QueueingFleet(test_quota_bounds.Fleet):
    """A fleet whose requests ask again as the holders say, for 3 s."""

    def __init__(self, customer, instances):
        super().__init__(customer, instances)
        self._again = []
        self._number = 0

    def request(self, entry):
        while self._again and self._again[0][0] <= self.now:
            _, number, until, instance = heapq.heappop(self._again)
            if instance in self.cores:
                self._ask(instance, number, until)
        self._number += 1
        self._ask(entry, self._number, self.now + 3 * SECOND)

    def _ask(self, entry, number, until):
        core = self.cores[entry]
        longest_wait = max(ZERO, until - self.now)
        message = messages.AskQuota(
            'c', longest_wait / SECOND, f'r{number}', 0.5, number % 3
        )
        for holder in core.list_quota_holders('c', self.now):
            if holder not in self.cores or (self.is_cut and holder != entry):
                continue
            reply = self.cores[holder].handle_message('x', message, self.now)
            if reply.is_waiting:
                at = self.now + reply.delay_s * SECOND
                heapq.heappush(self._again, (at, number, until, entry))
            else:
                delay = reply.delay_s * SECOND
                self._record(reply.is_admitted, delay, holder)
            return
        wait = min(longest_wait, quotas.BOOKING_LIMIT)
        decision = core.admit_locally('c', self.now, wait)
        self._record(decision.is_admitted, decision.delay, 'alone')


@pytest.mark.parametrize('scenario', test_quota_bounds.SCENARIOS)
@pytest.mark.parametrize('instances', [4, 24])
@pytest.mark.parametrize(
    'customer',
    test_quota_bounds.CUSTOMERS[1:],
    ids=lambda c: f'{c.rate_per_s}/s',
)
def test_queues_of_lost_holders_stay_inside_the_bound(
    scenario, instances, customer
):
    """The requests that waited at a lost holder go to its successor."""
    fleet = QueueingFleet(customer, instances)
    changes = test_quota_bounds.SCENARIOS[scenario]
    most = test_quota_bounds.play(fleet, changes, 8)
    assert most <= test_quota_bounds.find_bound(customer)
    assert len(fleet.times) > customer.rate_per_s
