"""Tests of the estimates of work, and of what servers say of their load."""

import datetime
import random

import pytest
import test_dispatch

from cranberryscale.platform import header_names
from cranberryscale.process.pool import server_statements
from cranberryscale.process.pool import server_work
from cranberryscale.process.pool import work_estimates


MS = test_dispatch.MS
START = test_dispatch.START
TARGET = test_dispatch.TARGET


def record_log_normal(estimator, kind, median_s, count, seed=1):
    rng = random.Random(seed)
    for _ in range(count):
        estimator.record(kind, TARGET, median_s * rng.lognormvariate(0, 0.8))


def test_quantiles_and_mean_follow_a_long_tail():
    """The mean of a log-normal spread of 0.8 is 1.38 medians."""
    estimator = work_estimates.WorkEstimator()
    record_log_normal(estimator, 'a', 0.1, 2000)
    known = estimator.find('a', TARGET)
    assert known.median_s == pytest.approx(0.1, rel=0.2)
    assert known.likely_s == pytest.approx(0.196, rel=0.25)
    assert known.unusual_s == pytest.approx(0.279, rel=0.25)
    assert known.mean_s == pytest.approx(0.138, rel=0.2)


def test_estimate_follows_a_kind_that_becomes_slower():
    estimator = work_estimates.WorkEstimator()
    record_log_normal(estimator, 'a', 0.1, 1000)
    record_log_normal(estimator, 'a', 0.4, 1000)
    assert estimator.find('a', TARGET).median_s == pytest.approx(0.4, rel=0.25)


def test_minority_of_stuck_requests_does_not_raise_what_is_likely():
    estimator = work_estimates.WorkEstimator()
    for number in range(500):
        estimator.record('a', TARGET, 30.0 if number % 10 == 0 else 0.1)
    known = estimator.find('a', TARGET)
    assert known.median_s <= 0.13 and known.likely_s <= 0.13


def test_remaining_time_grows_with_age_in_a_long_tail():
    """A request that outlasts most of its kind is probably a long one."""
    estimator = work_estimates.WorkEstimator()
    for number in range(400):
        estimator.record('a', TARGET, 2.0 if number % 10 == 0 else 0.1)
    known = estimator.find('a', TARGET)
    fresh_s = known.find_remaining(0.0)
    assert fresh_s == pytest.approx(0.29, rel=0.2)
    assert known.find_remaining(0.3) == pytest.approx(1.7, rel=0.2)
    assert known.find_remaining(1.5) < known.find_remaining(0.3)
    assert known.find_remaining(60.0) == known.mean_s, 'nothing is known'


def test_unknown_kind_is_estimated_by_its_target():
    estimator = work_estimates.WorkEstimator()
    assert estimator.find('a', TARGET) is None
    for _ in range(work_estimates.MIN_REQUESTS):
        estimator.record('b', TARGET, 0.1)
    assert estimator.find('a', TARGET).mean_s == pytest.approx(0.1, rel=0.2)
    assert estimator.find('a', 2 * TARGET) is None
    for _ in range(work_estimates.MIN_REQUESTS):
        estimator.record('a', TARGET, 1.0)
    assert estimator.find('a', TARGET).mean_s == pytest.approx(1.0, rel=0.2)


def test_memory_is_bounded_and_keeps_the_kinds_in_use():
    """Configurations grow by many routes."""
    estimator = work_estimates.WorkEstimator()
    for number in range(1000):
        for kind in ('used', f'k{number}'):
            estimator.record(kind, number * MS, 0.1)
    assert estimator.find('used', START) is not None
    assert len(estimator._kinds) <= work_estimates.MAX_KINDS
    assert len(estimator._targets) <= work_estimates.MAX_KINDS


def test_requests_that_were_cut_off_do_not_shorten_the_estimate():
    """Requests are cut off when a second attempt from 0.15 s on is faster.

    Without them the estimate would fall, second attempts would start earlier
    and cut off more.
    """
    rng = random.Random(2)
    known, without = (work_estimates.WorkDistribution() for _ in range(2))
    for _ in range(3000):
        work_s, second_s = (0.1 * rng.lognormvariate(0, 0.8) for _ in range(2))
        if work_s <= 0.15 + second_s:
            known.record(work_s)
            without.record(work_s)
        else:
            total_s = known.estimate_total(0.15 + second_s)
            assert total_s >= 0.15 + second_s
            known.record(total_s)
    assert known.median_s == pytest.approx(0.1, rel=0.2)
    assert known.unusual_s == pytest.approx(0.279, rel=0.25)
    assert without.unusual_s < 0.279 * 0.85


def test_speeds_are_relative_to_the_median_server():
    """A minority of slow servers must not make the others seem fast.

    All ratios have a bias, which belongs to the work and not to the speed.
    """
    rng = random.Random(3)
    servers = [server_work.ServerWork() for _ in range(9)]
    new = server_work.ServerWork()
    usual = 0.0
    for _ in range(60):
        for number, server in enumerate(servers):
            ratio = (4.0 if number < 2 else 1.0) * rng.lognormvariate(0.3, 0.5)
            server.record_latency(ratio, usual)
        usual = server_work.normalize_speeds([*servers, new])
    assert all(server.slowness >= 2.5 for server in servers[:2])
    assert all(0.6 <= server.slowness <= 1.6 for server in servers[2:])
    assert new.slowness == 1.0


def test_stated_load_counts_beyond_own_requests_and_fades():
    """It shows the permits of a former holder and of local decisions."""
    work = server_work.ServerWork()
    running = server_work.RunningWork('a', TARGET, None)
    work.start(1, running)
    work.start(2, running)
    load = server_statements.LoadStatement(6, 1, 6)
    work.record_load(load, START)
    starts = {1: START, 2: START}
    assert work.find_remaining(starts, 0.5, START) == pytest.approx(2 + 5)
    later = START + datetime.timedelta(seconds=0.5)
    assert work.find_remaining(starts, 0.5, later) == pytest.approx(2 + 2.5)
    work.record_load(server_statements.LoadStatement(1, 0, 6), later)
    assert work.find_remaining(starts, 0.5, later) == pytest.approx(2)


@pytest.mark.parametrize(
    ('values', 'load'),
    [
        (('3,0,8',), (3, 0, 8)),
        ((' 3 , 12 , 8 ',), (3, 12, 8)),
        (('3,0',), None),
        (('3,0,8,1',), None),
        (('3,0,8', '3,0,8'), None),
        (('-3,0,8',), None),
        (('3,0,+8',), None),
        (('3.5,0,8',), None),
        (('\u0663,0,8',), None),
        (('\u00b2,0,8',), None),
        (('9' * 400 + ',0,8',), None),
        (('',), None),
        ((), None),
    ],
)
@pytest.mark.parametrize('status', [200, 503])
def test_odd_loads_are_ignored(status, values, load):
    pairs = tuple(('X-Upstream-Load', value) for value in values)
    found = header_names.BACKEND_HEADERS.read_statement(status, pairs)
    assert found.load == load
    assert (found.is_leaving, found.rest_s) == (False, 0.0)
