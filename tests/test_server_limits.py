"""Tests of the limits on requests that backend servers name."""

import datetime

import pytest

from cranberryscale.platform import header_names
from cranberryscale.process import server_limits
from cranberryscale.version import configuration


SECOND = datetime.timedelta(seconds=1)
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
    found = header_names.BACKEND_HEADERS.list_limits(pairs)
    assert server_limits.read_statement(found) == expected


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
