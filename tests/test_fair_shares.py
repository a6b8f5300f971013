"""Tests of who goes first at a full pool, with the loads that fill it."""

import collections
import datetime

import pytest
import test_dispatch

from cranberryscale.process.pool import customer_work
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import refusals
from cranberryscale.process.pool import request_queue


SECOND, MS = test_dispatch.SECOND, test_dispatch.MS
START = test_dispatch.START
# 18 slots complete 120 requests a second.
CAPACITY_PER_S = 120
CUSTOMERS = [f'c{number}' for number in range(9)]
HOT = 'hot'
LONG = {'kind': 'long', 'target': 5 * SECOND, 'remaining': 5 * SECOND}
SHORT = {'kind': 'short', 'target': 500 * MS, 'remaining': 1500 * MS}


class Replay(test_dispatch.Simulation):
    """A simulation that counts the results by customer and kind."""

    def __init__(self, run=test_dispatch.succeed, seed=1):
        published = test_dispatch.make_configuration(9)
        super().__init__(test_dispatch.make_pool(published), run, seed)
        self.counts = collections.Counter()

    def _end(self, request, outcome):
        super()._end(request, outcome)
        for name in {request.customer, request.kind}:
            self.counts[name, outcome] += 1

    def send(self, seconds, loads):
        """Send requests for a time; `loads` are rates with their fields."""
        until = self.now + seconds * SECOND
        while self.now < until:
            for rate_per_s, fields in loads:
                expected = rate_per_s * test_dispatch.STEP / SECOND
                for _ in range(20):
                    if self.rng.random() < expected / 20:
                        self.arrive(
                            **{
                                name: self.rng.choice(value)
                                if isinstance(value, list)
                                else value
                                for name, value in fields.items()
                            }
                        )
            self.step()

    def find(self, outcome, *names):
        """Return the part of the requests of some names with an outcome."""
        ended = [n for (name, _), n in self.counts.items() if name in names]
        return sum(self.counts[name, outcome] for name in names) / sum(ended)


def replay_hot_customer(is_known, seed):
    replay = Replay(seed=seed)
    customers = CUSTOMERS if is_known else ['']
    usual = (54, {'customer': customers, 'kind': 'usual'})
    replay.send(3, [usual, (12, {'customer': HOT * is_known, 'kind': HOT})])
    replay.send(6, [usual, (150, {'customer': HOT * is_known, 'kind': HOT})])
    replay.finish()
    return replay


def test_hot_customer_pays_for_its_load_itself():
    """Load pattern: one customer sends many times its usual for 6 s.

    The pool then gets 1.7 times what it completes.
    """
    on_time = {}
    for is_known in (False, True):
        replays = [replay_hot_customer(is_known, seed) for seed in range(4)]
        on_time[is_known] = [
            sum(r.find('ok', name) for r in replays) / len(replays)
            for name in ('usual', HOT)
        ]
    assert on_time[False][0] < 0.85
    assert on_time[True][0] > on_time[False][0] + 0.1
    # What the others leave, which is over a third of its demand.
    assert on_time[True][1] > 0.35


def test_without_customers_it_decides_as_with_one():
    counts = []
    for customer in ('', 'only'):
        replay = Replay()
        replay.send(5, [(200, {'customer': customer, 'kind': 'all'})])
        replay.finish()
        counts.append(
            {k: n for k, n in replay.counts.items() if k[0] == 'all'}
        )
    assert counts[0] == counts[1]


def test_requests_with_seconds_left_wait_through_a_surge():
    """Load pattern: a surge of 3 s of urgent requests beside others.

    The others were refused at once, though their targets leave 4 s.
    """
    replay = Replay()
    calm = [(40, SHORT | {'priority': 0}), (15, LONG | {'priority': 2})]
    surge = [(122, SHORT | {'priority': 0}), (15, LONG | {'priority': 2})]
    replay.send(3, calm)
    replay.send(2.5, surge)
    replay.send(3, calm)
    replay.finish()
    assert replay.find('ok', 'long') > 0.97
    assert replay.find('ok', 'short') > 0.9


def test_priority_starves_no_kind():
    """An urgent kind that takes all slots leaves every eighth."""
    replay = Replay()
    replay.send(
        15, [(240, SHORT | {'priority': 0}), (30, LONG | {'priority': 2})]
    )
    replay.finish()
    served = {
        kind: replay.counts[kind, 'ok'] + replay.counts[kind, 'late']
        for kind in ('short', 'long')
    }
    total = sum(served.values()) / sum(
        n for (kind, _), n in replay.counts.items() if kind in served
    )
    assert served['long'] / (15 * 30) > total / 4


def make_queued(number, **fields):
    request = test_dispatch.make_request(number, **fields)
    usual = 800 * MS if request.kind == 'slow' else 100 * MS
    return request_queue.QueuedRequest(request, usual, START)


def test_every_eighth_slot_goes_to_the_longest_wait():
    """Bound on starvation, on the decision."""
    queue = request_queue.RequestQueue()
    old = make_queued('old', target=60 * SECOND, priority=9)
    queue.add(old)
    for number in range(8):
        queue.add(make_queued(number, target=60 * SECOND, priority=0))
        first = queue.list_in_order(START)[0]
        queue.start(first, START)
    assert first is old


def test_order_is_priority_share_lateness_and_latest_start():
    queue = request_queue.RequestQueue()
    queue.over_share = frozenset({HOT})
    expected = [
        make_queued(1, priority=0, target=9 * SECOND),
        make_queued(2, priority=1, target=1500 * MS, kind='slow'),
        make_queued(3, priority=1, target=1000 * MS),
        make_queued(4, priority=1, target=700 * MS, kind='slow'),
        make_queued(5, priority=1, target=600 * MS, customer=HOT),
    ]
    for queued in reversed(expected):
        queue.add(queued)
    assert queue.list_in_order(START) == expected


@pytest.mark.parametrize(
    ('demands_s', 'capacity_s', 'share_s'),
    [
        ({'a': 1, 'b': 2}, 4, float('inf')),
        ({'a': 1, 'b': 8}, 4, 3),
        ({'a': 5, 'b': 8}, 4, 2),
        ({'a': 1, 'b': 2, 'c': 9, 'd': 9}, 11, 4),
        ({'a': 1}, 0, 0),
    ],
)
def test_fair_share_is_max_min(demands_s, capacity_s, share_s):
    assert customer_work.find_fair_share(demands_s, capacity_s) == share_s


def test_shares_are_by_work_and_not_by_requests():
    work = customer_work.CustomerWork()
    for name, count, work_ms in (('few', 4, 1000), ('many', 16, 62.5)):
        for _ in range(count):
            work.record_demand(name, work_ms * MS, START)
            work.record_grant(name, work_ms * MS, START)
    assert work.list_over_share(2, START) == {'few'}
    assert work.list_over_share(1, START) == {'few'}
    assert work.list_over_share(3, START) == frozenset()
    assert work.list_over_share(2, START + 5 * SECOND) == frozenset()


def test_full_queue_refuses_a_customer_over_its_share():
    pool = test_dispatch.make_pool(test_dispatch.make_configuration(6, 50))
    far = {'target': 10 * SECOND, 'remaining': 20 * SECOND}
    for number in range(300 + 512):
        customer = HOT if number % 4 else 'other'
        request = test_dispatch.make_request(number, customer=customer, **far)
        pool.request_permit(request, START)
    assert pool.queue_length == 512
    pool.advance(START + SECOND / 5)
    pool.collect_results()
    request = test_dispatch.make_request('new', customer='other', **far)
    result = pool.request_permit(request, START + SECOND / 5)
    assert result == dispatch_requests.QueuePlace()
    assert pool.queue_length == 512
    (refused,) = pool.collect_results()
    assert int(refused.request_id[1:]) % 4


def test_request_without_time_gets_no_share_that_others_leave():
    load = refusals.PoolLoad(120, 150, 160, 3, 20)
    request = test_dispatch.make_request(1, target=300 * MS)
    assert refusals.find_wait(request, 150 * MS, load) is None
    with_time = request._replace(target=5 * SECOND, remaining=5 * SECOND)
    wait = refusals.find_wait(with_time, 150 * MS, load)
    assert wait == datetime.timedelta(seconds=4 / 15)
