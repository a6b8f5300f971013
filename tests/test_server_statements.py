"""Guard what backend servers say of themselves in their answers.

A leaving server gets no request that came later than two seconds after an
instance passed on an answer that says so, from that instance. A server that
turned an instance away for a time gets at most two requests from it between
half a second later and the end of that time.
"""

import time

import pytest
import test_dispatch
import test_limited_servers

from cranberryscale.platform import header_names
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_pool
from cranberryscale.process.pool import server_statements
from standins import machines


SECOND = test_dispatch.SECOND
START = test_dispatch.START
NO_LIMIT = server_limits.LimitStatement(None)
SILENT = server_statements.ServerStatement(NO_LIMIT)
LEAVING = SILENT._replace(is_leaving=True)
DRAIN_S = 2.0


def make_table(started_ms=0, servers=1):
    published = test_dispatch.make_configuration(servers)
    table = server_statements.StatementTable()
    table.load_servers(
        {
            name: server._replace(started_ms=started_ms)
            for name, server in published.servers.items()
        },
        START,
    )
    return table


@pytest.mark.parametrize(
    ('status', 'headers', 'is_leaving', 'rest_s'),
    [
        (200, {'Server-Leaving': '1'}, True, 0),
        (200, {'server-leaving': ' 1 '}, True, 0),
        (200, {'Server-Leaving': '0'}, False, 0),
        (200, {'Server-Leaving': 'soon'}, False, 0),
        (503, {'Retry-After': '2'}, False, 2),
        (503, {'Retry-After': '0.75'}, False, 0.75),
        (503, {'Retry-After': '0'}, False, 0),
        (503, {'Retry-After': '86400'}, False, 60),
        (503, {'Retry-After': '9' * 400}, False, 60),
        (503, {'Retry-After': '1, 3'}, False, 3),
        (503, {'Retry-After': '-1'}, False, 0),
        (503, {'Retry-After': 'nan'}, False, 0),
        (503, {'Retry-After': 'Sun, 06 Dec 2026 08:00:00 GMT'}, False, 0),
        (503, {'Retry-After': ''}, False, 0),
        (500, {'Retry-After': '2'}, False, 0),
        (429, {'Retry-After': '2'}, False, 0),
    ],
)
def test_odd_statements_have_a_stated_meaning(
    status, headers, is_leaving, rest_s
):
    """Guards against exceptions, and servers that are shut out for long."""
    found = header_names.BACKEND_HEADERS.read_statement(
        status, tuple(headers.items())
    )
    assert (found.is_leaving, found.rest_s) == (is_leaving, rest_s)


def test_server_that_wants_rest_is_avoided_until_its_end():
    """A shorter time that is named later does not end an earlier one."""
    table = make_table()
    long, short = SILENT._replace(rest_s=5.0), SILENT._replace(rest_s=1.0)
    table.record_own('s0', long, START, START)
    table.record_own('s0', short, START, START + SECOND)
    assert table.find_rest('s0', START + SECOND) == 4 * SECOND
    assert table.is_avoided('s0', START + 4.9 * SECOND)
    assert table.list_avoided(START + 5 * SECOND) == ()


def test_rest_concerns_the_instance_that_was_turned_away():
    """Another instance may still be served."""
    table = make_table()
    table.record('s0', SILENT._replace(rest_s=5.0), START, START)
    assert not table.is_avoided('s0', START)


def test_statements_end_with_the_process_that_made_them():
    """A server that restarts under its name is a new one."""
    table = make_table(started_ms=1)
    table.record_own('s0', LEAVING._replace(rest_s=5.0), START, START)
    assert table.list_avoided(START) == ('s0',)
    restarted = test_dispatch.make_configuration(1).servers
    table.load_servers(restarted, START)
    assert table.list_avoided(START) == ()


def test_leaving_stands_until_a_later_request_is_answered_without_it():
    """An answer to an earlier request may arrive later."""
    table = make_table()
    table.record('s0', LEAVING, START, START + SECOND)
    table.record('s0', SILENT, START, START + 2 * SECOND)
    assert table.is_leaving('s0')
    table.record('s0', SILENT, START + 2 * SECOND, START + 3 * SECOND)
    assert not table.is_leaving('s0')
    events = [change.event for change in table.collect_changes(START)]
    assert events == ['server_leaving'] * 2


def make_pool(count, slots=2):
    published = test_dispatch.make_configuration(count, slots)
    statements = make_table(servers=count)
    budget = retry_budgets.RetryBudget(0.2, 60, 10 * SECOND)
    pool = server_pool.ServerPool('x', budget, statements=statements)
    pool.load_servers(published)
    return pool, statements


def test_leaving_server_gets_no_request_on_any_path():
    """First attempts, repeats, trials and queued requests alike."""
    pool, statements = make_pool(3)
    simulation = test_dispatch.Simulation(
        pool,
        lambda server, now: (
            'error' if server == 's1' else 'ok',
            test_dispatch.WORK,
        ),
        max_retries=1,
    )
    fields = {'priority': [0, 1], 'is_idempotent': [True, True, False]}
    simulation.send_requests(4, 60, **fields)
    assert pool.queue_length > 0
    said_at = simulation.now
    statements.record('s0', LEAVING, said_at, said_at)
    simulation.send_requests(4, 60, **fields)
    simulation.finish()
    late = {server for at, server in simulation.starts if at > said_at}
    assert late == {'s1', 's2'}


def test_service_whose_servers_all_leave_refuses_at_once():
    """Guards against requests that wait for a server that never comes."""
    pool, statements = make_pool(2)
    for server in ('s0', 's1'):
        statements.record(server, LEAVING, START, START)
    request = test_dispatch.make_request(1)
    denial = pool.request_permit(request, START)
    assert denial.code == 'no_backend_server'


def test_server_that_asked_one_instance_for_rest_is_used_last():
    """Otherwise the others would take the place of the one turned away."""
    pool, _ = make_pool(2, slots=8)
    first = pool.request_permit(test_dispatch.make_request(1), START)
    rest = SILENT._replace(rest_s=3.0)
    pool.finish_permit(first.permit_id, 'shed', 0 * SECOND, START, rest)
    other = {'s0': 's1', 's1': 's0'}[first.server]
    now = START + 2 * SECOND
    permits = [
        pool.request_permit(test_dispatch.make_request(n), now)
        for n in range(2, 8)
    ]
    assert {permit.server for permit in permits} == {other}
    excluding = test_dispatch.make_request(9, excluded=(other,))
    assert isinstance(
        pool.request_permit(excluding, now), dispatch_requests.DispatchPermit
    )


def send_requests(fleet, seconds, rate_per_s):
    """Send requests; return the callers once all are answered."""
    callers = test_limited_servers.Callers(fleet)
    callers.send_for(seconds, rate_per_s)
    callers.finish()
    return callers


def test_leaving_server_gets_no_late_request_from_any_instance(tmp_path):
    """Guards real processes against a server that says only in answers."""
    with machines.FleetEnvironment(tmp_path, instances=4) as fleet:
        leaving = fleet.servers[0]
        send_requests(fleet, 1.5, 30)
        leaving.is_leaving = True
        said_s = time.monotonic()
        callers = send_requests(fleet, 4, 30)
    late = [at for at in leaving.arrivals_s if at > said_s + DRAIN_S]
    assert late == []
    assert leaving.arrivals_s
    assert {answer.status for answer in callers.answers} == {200}


def test_server_that_turned_an_instance_away_is_left_alone(tmp_path):
    """Guards against requests inside the time that the server named."""
    with machines.FleetEnvironment(tmp_path, instances=1) as fleet:
        resting = fleet.servers[0]
        send_requests(fleet, 1.5, 20)
        resting.rest = '3'
        said_s = time.monotonic()
        callers = send_requests(fleet, 2.9, 20)
        resting.rest = ''
        first_s = min(at for at in resting.arrivals_s if at > said_s)
        inside = [
            at for at in resting.arrivals_s if first_s + 0.5 < at < first_s + 3
        ]
        assert len(inside) <= 2
        callers = send_requests(fleet, 3, 20)
        back = [at for at in resting.arrivals_s if at > first_s + 3]
    assert back
    assert {answer.status for answer in callers.answers} == {200}


def test_callers_are_told_when_the_first_server_can_be_asked_again(tmp_path):
    """All servers turned the instance away; it knows until when."""
    with machines.FleetEnvironment(tmp_path, instances=1) as fleet:
        resting = [s for s in fleet.servers if s.service == 'x']
        for server in resting:
            server.rest = '4'
        send_requests(fleet, 1, 20)
        callers = send_requests(fleet, 1, 20)
    refused = [answer for answer in callers.answers if answer.status == 503]
    assert len(refused) == len(callers.answers)
    times = sorted(answer.took_s for answer in refused)
    assert times[len(times) // 2] < 0.1
    waits = [float(answer.headers['retry-after']) for answer in refused]
    assert all(1 < wait <= 4 for wait in waits)
    assert waits[-1] < waits[0]
