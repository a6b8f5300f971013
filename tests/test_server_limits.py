"""Tests of the limits on requests that backend servers name."""

import datetime

import pytest
import test_dispatch

from cranberryscale.platform import header_names
from cranberryscale.process import fleet_buckets
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_pool
from cranberryscale.process.pool import server_statements
from cranberryscale.version import configuration


SECOND = datetime.timedelta(seconds=1)
MILLISECOND = SECOND / 1000
START = 100 * SECOND
NAMED = server_limits.LimitStatement(2.5)
NONE_NAMED = server_limits.LimitStatement(None)


def make_table(started_ms=1):
    table = server_limits.LimitTable()
    table.load_servers(make_servers(started_ms), START)
    return table


def make_servers(started_ms):
    server = configuration.BackendServer(
        's1', 'x', 'a', 'h:1', 2, started_ms=started_ms
    )
    return {'s1': server}


@pytest.mark.parametrize(
    ('values', 'expected'),
    [
        ((), NONE_NAMED),
        (('2.5',), NAMED),
        ((' 2.50 ',), NAMED),
        (('0',), server_limits.LimitStatement(0.0)),
        (('.5',), server_limits.LimitStatement(0.5)),
        (('7', '2.5'), NAMED),
        (('7, 2.5',), NAMED),
        (('2.5, many',), NAMED),
        (('9' * 400,), server_limits.LimitStatement(1e6)),
        (('1000000000000',), server_limits.LimitStatement(1e6)),
        (('',), None),
        (('-2.5',), None),
        (('nan',), None),
        (('inf',), None),
        (('1e3',), None),
        (('2,5x',), server_limits.LimitStatement(2.0)),
        (('\u0662',), None),
        (('many',), None),
    ],
)
def test_odd_limits_have_a_stated_meaning(values, expected):
    """Guards against exceptions and against limits that nobody named."""
    pairs = tuple(('Server-Limit', value) for value in values)
    found = header_names.BACKEND_HEADERS.read_statement(200, pairs)
    assert found.limit == expected


def test_limit_stands_until_a_later_request_is_answered_without_one():
    """Guards against answers that overtake each other."""
    table = make_table()
    table.record('s1', NAMED, START, START + SECOND)
    table.record('s1', NONE_NAMED, START, START + 2 * SECOND)
    assert table.find_rate('s1') == 2.5
    table.record('s1', None, START + 2 * SECOND, START + 3 * SECOND)
    assert table.find_rate('s1') == 2.5
    table.record('s1', NONE_NAMED, START + 2 * SECOND, START + 3 * SECOND)
    assert table.find_rate('s1') is None


def test_limit_ends_with_the_process_that_named_it():
    """A server that restarts under its name starts without a limit."""
    table = make_table()
    table.record('s1', NAMED, START, START)
    table.load_servers({}, START + SECOND)
    assert table.find_rate('s1') == 2.5
    table.load_servers(make_servers(1), START + 2 * SECOND)
    assert table.find_rate('s1') == 2.5
    table.load_servers(make_servers(2), START + 3 * SECOND)
    assert table.find_rate('s1') is None


def test_changes_of_a_limit_are_reported_at_most_once_a_second():
    """A server that names another limit in each answer must not fill logs."""
    table = make_table()
    table.record('s1', NAMED, START, START)
    assert list(table.collect_changes(START)) == [('s1', 2.5)]
    for step in range(1, 10):
        now = START + step * SECOND / 10
        statement = server_limits.LimitStatement(float(step))
        table.record('s1', statement, now, now)
        assert list(table.collect_changes(now)) == []
    now = START + SECOND
    assert list(table.collect_changes(now)) == [('s1', 9.0)]
    table.record('s1', NONE_NAMED, now, now)
    assert list(table.collect_changes(now + SECOND)) == [('s1', None)]
    assert list(table.collect_changes(now + 2 * SECOND)) == []


def test_knowledge_of_other_instances_counts_if_it_is_newer():
    """A late message must not bring back a limit that has ended."""
    table = make_table()
    table.merge([server_limits.ServerLimit('s1', 2.5, 1.0)], START)
    assert table.find_rate('s1') == 2.5
    table.merge([server_limits.ServerLimit('s1', 9.0, 2.0)], START)
    assert table.find_rate('s1') == 2.5
    table.merge([server_limits.ServerLimit('s1', None, 0.5)], START)
    assert table.find_rate('s1') is None
    table.merge([server_limits.ServerLimit('s1', 2.5, 0.6)], START)
    assert table.find_rate('s1') is None


@pytest.mark.parametrize(
    ('rate_per_s', 'age_s'),
    [
        (float('nan'), 0.0),
        (-1.0, 0.0),
        (2.5, float('nan')),
        (2.5, -1.0),
        (2.5, 1e300),
    ],
)
def test_odd_limits_of_other_instances_are_ignored(rate_per_s, age_s):
    """Guards against an exception that ends the handling of a request."""
    table = make_table()
    table.merge([server_limits.ServerLimit('s1', rate_per_s, age_s)], START)
    table.merge([server_limits.ServerLimit('s2', 2.5, 0.0)], START)
    assert table.list_rates() == {}


class LimitedPool:
    """A pool whose servers all name a limit, None for those without."""

    def __init__(self, limits, slots=2):
        published = test_dispatch.make_configuration(len(limits), slots)
        statements = server_statements.StatementTable()
        statements.load_servers(published.servers, START)
        self.table = statements.limits
        self.ratio = 1.0
        budget = retry_budgets.RetryBudget(0.2, 60, 10 * SECOND)
        self.pool = server_pool.ServerPool(
            'x',
            budget,
            statements=statements,
            find_limit_position=lambda now: fleet_buckets.FleetPosition(
                '', 0, 1, self.ratio
            ),
        )
        self.pool.load_servers(published)
        for number, rate_per_s in enumerate(limits):
            if rate_per_s is not None:
                self.name_limit(f's{number}', rate_per_s)

    def name_limit(self, server, rate_per_s, now=START):
        statement = server_limits.LimitStatement(rate_per_s)
        self.table.record(server, statement, now, now)
        self.pool.advance(now)

    def ask(self, number, now, **fields):
        request = test_dispatch.make_request(number, **fields)
        return self.pool.request_permit(request, now)


def find_most_starts(starts, server):
    times = [at for at, name in starts if name == server]
    return max(
        sum(first <= at < first + server_limits.WINDOW for at in times)
        for first in times
    )


@pytest.mark.parametrize('limit_per_s', [0.5, 2.0, 12.0])
def test_limit_binds_first_attempts_repeats_and_queued_requests(limit_per_s):
    """Guards each path on which a server gets requests, under a surge."""
    limited = LimitedPool([limit_per_s, limit_per_s, None])
    failing = []

    def run(server, now):
        outcome = 'error' if server in failing else 'ok'
        return outcome, test_dispatch.WORK

    simulation = test_dispatch.Simulation(limited.pool, run, max_retries=1)
    for failing[:] in (['s0'], ['s2'], []):
        simulation.send_requests(
            5, 80, priority=[0, 1, 2], is_idempotent=[True, True, False]
        )
    window_s = server_limits.WINDOW.total_seconds()
    for server in ('s0', 's1'):
        most = find_most_starts(simulation.starts, server)
        assert most <= 1.5 * limit_per_s * window_s + 5


def test_what_limited_servers_cannot_take_goes_to_others():
    """Guards against refusals while another server has room."""
    limited = LimitedPool([1.0, None], slots=4)
    simulation = test_dispatch.Simulation(limited.pool, test_dispatch.succeed)
    simulation.send_requests(10, 15)
    simulation.finish()
    assert simulation.find_ratio('ok') == 1
    used = [at for at, server in simulation.starts if server == 's0']
    assert len(used) >= 9


def test_callers_are_refused_at_once_with_a_true_time_to_come_back():
    """All servers are at their limit; who comes back on time is served."""
    limited = LimitedPool([2.0, 2.0], slots=8)
    asked = [START + number * MILLISECOND for number in range(6)]
    results = [limited.ask(number, at) for number, at in enumerate(asked)]
    waiting = limited.pool.queue_length
    denials = results[waiting:]
    assert [denial.code for denial in denials] == ['pool_limited'] * 3
    returns = [
        at + denial.retry_after
        for at, denial in zip(asked[waiting:], denials, strict=True)
    ]
    # Each of the two servers takes a request every half second.
    assert returns == [START + s * SECOND for s in (1, 1.5, 1.5)]
    for number, at in enumerate(at + MILLISECOND for at in returns):
        limited.pool.advance(at)
        for queued in range(waiting):
            result = limited.ask(queued, at)
            assert isinstance(result, dispatch_requests.DispatchPermit)
        waiting = 0
        permit = limited.ask(f'again{number}', at)
        assert isinstance(permit, dispatch_requests.DispatchPermit)


def test_permit_that_was_not_used_costs_no_request_of_the_limit():
    """Guards against a server that is starved by requests it never got."""
    limited = LimitedPool([1.0])
    now = START + SECOND
    for number in range(5):
        permit = limited.ask(number, now)
        assert isinstance(permit, dispatch_requests.DispatchPermit)
        limited.pool.finish_permit(permit.permit_id, 'unused', 0 * SECOND, now)
    permit = limited.ask('used', now)
    limited.pool.finish_permit(permit.permit_id, 'shed', 0 * SECOND, now)
    assert limited.ask('late', now).code == 'pool_limited'


def test_limit_that_ended_or_changed_applies_at_once():
    """Guards against a limit that outlives the server's need."""
    limited = LimitedPool([0.5])
    assert limited.ask(1, START).code == 'pool_limited'
    limited.name_limit('s0', 100.0, START + SECOND)
    now = START + 1.1 * SECOND
    permit = limited.ask(2, now)
    assert isinstance(permit, dispatch_requests.DispatchPermit)
    ended = server_statements.ServerStatement(NONE_NAMED)
    limited.pool.finish_permit(permit.permit_id, 'ok', 0 * SECOND, now, ended)
    granted = [limited.ask(number, now) for number in (3, 4)]
    assert all(
        isinstance(permit, dispatch_requests.DispatchPermit)
        for permit in granted
    )


def test_instance_that_is_not_the_holder_starts_nothing_at_limited_servers():
    """Guards against a successor that acts beside the holder."""
    limited = LimitedPool([100.0, None])
    limited.ratio = 0.0
    permits = [limited.ask(number, START + SECOND) for number in range(2)]
    assert [permit.server for permit in permits] == ['s1', 's1']
    denial = limited.ask(9, START + SECOND, may_wait=False, excluded=('s1',))
    assert denial.code == 'pool_limited'
    limited.ratio = 1.0
    now = START + 2 * SECOND
    place = limited.ask(10, now, may_wait=False, excluded=('s1',))
    assert isinstance(place, dispatch_requests.QueuePlace)
    limited.pool.advance(now + SECOND / 10)
    assert limited.ask(11, now + SECOND / 10).server == 's0'


def test_late_collected_permit_of_a_limited_server_is_granted_anew():
    """Guards against permits of one window that are used in the next."""
    limited = LimitedPool([2.0])
    place = limited.ask(1, START, remaining=3 * SECOND)
    assert isinstance(place, dispatch_requests.QueuePlace)
    granted_at = START + SECOND / 2
    limited.pool.advance(granted_at)
    late = granted_at + server_limits.CLAIM_TIME + SECOND / 100
    permit = limited.ask(1, late, remaining=2 * SECOND)
    assert isinstance(permit, dispatch_requests.DispatchPermit)
    # The first permit was returned.
    assert permit.permit_id == 2
    assert limited.pool.running_count == 1
