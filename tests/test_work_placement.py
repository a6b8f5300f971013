"""Tests of placement by the work of requests and the speed of servers."""

import pytest
import test_dispatch
import work_replay

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import load_statistics
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import server_pool
from cranberryscale.process.pool import server_statements


MS = test_dispatch.MS
SECOND = test_dispatch.SECOND
START = test_dispatch.START
LIGHT = work_replay.Kind('light', 0.13, 0.5, 2.0, 36.0)
HEAVY = work_replay.Kind('heavy', 0.81, 5.0, 10.0, 49.0)
SEEDS = range(1, 9)


def replay(is_work_aware, seed, holders=1):
    """Return 12 s of requests, of which each holder places some for 0.2 s."""
    pools = [work_replay.make_pool(is_work_aware) for _ in range(holders)]
    played = work_replay.Replay(pools[0], seed=seed)
    for turn in range(60):
        played.replace_pool(0.2 * turn, pools[turn % holders])
    played.send(12, LIGHT, HEAVY)
    return played


def request(pool, number, now=START, **fields):
    return pool.request_permit(
        test_dispatch.make_request(number, **fields), now
    )


def teach(pool, kinds, now=START):
    """Let a pool learn kinds, given as lists of works in ms by name."""
    for number in range(60):
        for kind, works_ms in kinds.items():
            permit = request(pool, f'{kind}{number}', now, kind=kind)
            took = works_ms[number % len(works_ms)] * MS
            pool.finish_permit(permit.permit_id, 'ok', took, now)


def make_pool():
    """Return a pool of two servers with six slots each."""
    published = test_dispatch.make_configuration(2, 6)
    statements = server_statements.StatementTable()
    statements.load_servers(published.servers, START)
    budget = retry_budgets.RetryBudget(0.2, 60, 10 * SECOND)
    pool = server_pool.ServerPool('x', budget, statements=statements)
    pool.load_servers(published)
    return pool


def find_late_ratio(is_work_aware, holders):
    """Return the part of the light requests that are late."""
    results = [
        result
        for seed in SEEDS
        for result in replay(is_work_aware, seed, holders).results
    ]
    assert work_replay.summarize(results, HEAVY).in_target >= 0.99
    return 1 - work_replay.summarize(results, LIGHT).in_target


def test_requests_of_two_kinds_are_not_later_at_servers_that_differ():
    assert find_late_ratio(True, 1) <= find_late_ratio(False, 1)


def test_stated_load_keeps_two_holders_from_filling_the_same_servers():
    """Instances may disagree for seconds on who holds a shard.

    Each counts only its own requests, so servers were full for one holder
    and free for the other.
    """
    assert find_late_ratio(True, 2) <= 0.75 * find_late_ratio(False, 2)


def test_fast_servers_get_more_of_the_work():
    played = replay(True, 1)
    counts = {f's{n}': 0 for n in range(10)}
    for _, server, _ in played.starts:
        counts[server] += 1
    fast, slow = (
        sum(counts[s] for s in each)
        for each in (('s0', 's1', 's2'), ('s7', 's8', 's9'))
    )
    # Their speeds differ by a factor of 2.3.
    assert fast >= 2 * slow
    assert min(counts.values()) > 0, 'all stay in use'


def test_with_nothing_learned_the_decision_is_that_of_running_requests():
    """Same servers, request by request, before the first estimates."""
    pools = [work_replay.make_pool(each) for each in (False, True)]
    for number in range(40):
        now = START + number * 7 * MS
        kind = ('light', 'heavy')[number % 2]
        permits = [request(pool, number, now, kind=kind) for pool in pools]
        assert permits[0] == permits[1]
        if number % 3 == 0:
            for pool, permit in zip(pools, permits, strict=True):
                pool.finish_permit(permit.permit_id, 'ok', 50 * MS, now)


def test_server_with_less_remaining_work_goes_before_one_with_fewer_requests():
    pool = make_pool()
    teach(pool, {'light': [100], 'heavy': [1500]})
    # Until then the first long answers count as those of a slow server.
    now = START + 3 * SECOND
    heavy = request(pool, 1, now, kind='heavy')
    other = ({'s0', 's1'} - {heavy.server}).pop()
    for number in (2, 3):
        excluded = (heavy.server,)
        light = request(pool, number, now, kind='light', excluded=excluded)
        assert light.server == other
    assert request(pool, 4, now, kind='light').server == other


def test_servers_stated_load_counts_at_once_for_a_new_holder():
    """Requests of the former holder fill the server that answers first."""
    pool = make_pool()
    teach(pool, {'light': [100], 'heavy': [400]})
    now = START + 100 * MS
    first = request(pool, 1, now, kind='light')
    load = server_statements.LoadStatement(6, 2, 6)
    statement = work_replay.NO_LIMIT._replace(load=load)
    pool.finish_permit(first.permit_id, 'ok', 100 * MS, now, statement)
    servers = [
        request(pool, number, now, kind='light').server
        for number in range(2, 6)
    ]
    assert first.server not in servers


def test_server_that_joins_gets_work_within_seconds():
    pool = work_replay.make_pool(count=9)
    played = work_replay.Replay(pool, (1.0,) * 10)
    played.send(10, LIGHT, HEAVY)
    pool.load_servers(test_dispatch.make_configuration(10, work_replay.SLOTS))
    joined_s = (played.now - START) / SECOND
    played.send(3, LIGHT, HEAVY)
    starts = [s for at_s, s, _ in played.starts if at_s <= joined_s + 2]
    assert starts.count('s9') >= 5


@pytest.mark.parametrize('state', ['failed', 'leaving', 'full'])
def test_rules_go_before_the_least_remaining_work(state):
    """The idle server that the rules exclude stays excluded."""
    pool = make_pool()
    teach(pool, {'light': [100], 'heavy': [1500]})
    now = START + 100 * MS
    busy, idle = pool.find_server('s0'), pool.find_server('s1')
    for number in range(5):
        request(pool, f'b{number}', now, kind='heavy', excluded=('s1',))
    match state:
        case 'failed':
            for number in range(2):
                permit = request(pool, f'f{number}', now, excluded=('s0',))
                pool.finish_permit(permit.permit_id, 'error', MS, now)
        case 'leaving':
            permit = request(pool, 'l', now, excluded=('s0',))
            leaving = work_replay.NO_LIMIT._replace(is_leaving=True)
            pool.finish_permit(permit.permit_id, 'ok', MS, now, leaving)
        case 'full':
            for number in range(6):
                request(pool, f'i{number}', now, excluded=('s0',))
    assert busy.has_free_slot
    assert idle.is_leaving == (state == 'leaving')
    permit = request(pool, 'r', now, kind='light', is_idempotent=False)
    assert permit.server == 's0'


def learn_timeout(repeat_count=0, **fields):
    """Return the time of a second attempt of the kind "light".

    One in seven of the kind takes 0.3 s, the others 0.1 s.
    """
    budget = retry_budgets.RetryBudget(0.0, 10, 10 * SECOND)
    pool = server_pool.ServerPool('x', budget)
    pool.load_servers(test_dispatch.make_configuration(2, 6))
    teach(pool, {'light': [100] * 6 + [300], 'heavy': [1500]})
    for number in range(repeat_count):
        repeat = request(pool, f'p{number}', kind='light', is_repeat=True)
        pool.finish_permit(repeat.permit_id, 'ok', 100 * MS, START)
    permit = request(pool, 1, **{'kind': 'light'} | fields)
    assert isinstance(permit, dispatch_requests.DispatchPermit)
    return permit.first_byte_timeout


def test_second_attempt_is_due_while_it_is_likely_to_be_on_time():
    """Estimates are exact to a quarter."""
    early = learn_timeout(target=SECOND)
    usual = load_statistics.LatencyEstimator()
    assert early == usual.find_first_byte_timeout(SECOND)
    waited = learn_timeout(target=SECOND, waited_for=400 * MS)
    assert 470 * MS <= waited <= 520 * MS


def test_second_attempt_is_never_due_before_the_likely_time():
    late = learn_timeout(target=SECOND, waited_for=2 * SECOND)
    assert 80 * MS <= late <= 130 * MS


def test_only_unusual_requests_spend_the_rest_of_the_retry_budget():
    late = learn_timeout(4, target=SECOND, waited_for=2 * SECOND)
    assert 240 * MS <= late <= 375 * MS


def test_unknown_kind_keeps_the_time_of_its_target():
    unknown = learn_timeout(kind='new', target=3 * SECOND)
    usual = load_statistics.LatencyEstimator()
    assert unknown == usual.find_first_byte_timeout(3 * SECOND)
