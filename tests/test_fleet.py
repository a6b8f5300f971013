"""Tests for the whole fleet: separate processes, real sockets and faults.

One fleet serves all tests of this module; each test leaves it healthy.
"""

import json
import pathlib
import re
import signal
import time

import pytest
import urllib3

from standins import fleet


EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'ponte-nova'
KEY = 'pn-example-tejo-sailing-1'
OTHER_KEY = 'pn-example-sintra-tours-1'
WITHDRAWAL_LIMIT_S = 4.0
OUT_LIMIT_S = 3.0
RECOVERY_LIMIT_S = 30.0
START_LIMIT_S = 5.0


@pytest.fixture(scope='module')
def running_fleet(tmp_path_factory):
    """Run twelve instances in three failure domains.

    The four members of a failure domain keep their quorum of three without
    one of them.
    """
    folder = tmp_path_factory.mktemp('fleet')
    with fleet.LocalFleet(EXAMPLE, folder, 12) as started_fleet:
        yield started_fleet


def _get(
    running_fleet, member, path='/events', key=KEY, method='GET', **fields
):
    headers = {'X-Api-Key': key} if key else {}
    headers |= fields.pop('headers', {})
    return running_fleet.http.request(
        method,
        f'http://{member.callers}{path}',
        headers=headers,
        timeout=10,
        **fields,
    )


def _read_servers(running_fleet):
    url = f'http://127.0.0.1:{running_fleet.backend_port}/servers'
    return json.loads(running_fleet.http.request('GET', url).data)


def _wait_until(check, limit_s):
    began = time.monotonic()
    while not check():
        if time.monotonic() - began > limit_s:
            pytest.fail(f'not within {limit_s} s')
        time.sleep(0.05)
    return time.monotonic() - began


def test_every_service_is_reachable_through_every_instance(running_fleet):
    """Every instance must reach every service."""
    for member in running_fleet.members:
        for path, key in (
            ('/guides/x', KEY),
            ('/bookings/1', OTHER_KEY),
            ('/events', KEY),
            ('/events/today', None),
        ):
            # Token buckets are empty when a lease starts, so a customer with
            # a low rate has to wait for its first tokens.
            _wait_until(
                lambda m=member, p=path, k=key: (
                    _get(running_fleet, m, p, k).status == 200
                ),
                START_LIMIT_S,
            )


def test_no_key_reaches_a_backend_server_or_a_log(running_fleet):
    """API keys must not be forwarded to backend servers or logged."""
    member = running_fleet.members[0]
    for request_fields in (
        {'headers': {'Authorization': f'Bearer {KEY}'}, 'key': None},
        {'headers': {'Cookie': f'api_key={KEY}; a=b'}, 'key': None},
        {'path': f'/events?api_key={KEY}&a=b', 'key': None},
        {'key': KEY},
        {'key': 'pn-example-unknown-9'},
    ):
        assert _get(running_fleet, member, **request_fields).status in (
            200,
            401,
        )
    received = json.dumps(_read_servers(running_fleet))
    logs = ''.join(p.read_text() for p in running_fleet.folder.glob('*.log'))
    assert 'tejo-sailing' in logs
    for secret in (KEY, 'pn-example-unknown-9'):
        assert secret not in received
        assert secret not in logs


def test_which_endpoint_lists_instances_of_several_domains(running_fleet):
    """Callers have no load balancer and depend on these addresses."""
    member = running_fleet.members[0]
    response = _get(
        running_fleet,
        member,
        '/.well-known/cranberryscale/which?service=events',
    )
    listing = json.loads(response.data)
    assert response.status == 200
    known = {m.callers: m.domain for m in running_fleet.members}
    assert len({known[a] for a in listing['addresses'][:3]}) == 3
    assert listing['lifetime_s'] > 0


def test_a_withdrawn_key_is_refused_on_an_open_connection(running_fleet):
    """A withdrawn key must also be refused on connections that are open."""
    member = running_fleet.members[-1]
    text = running_fleet.read_document('accounts', 'keys.toml')
    host, port = member.callers.split(':')
    connection = urllib3.HTTPConnectionPool(host, int(port), maxsize=1)

    def is_refused():
        response = connection.request(
            'GET', '/events', headers={'X-Api-Key': OTHER_KEY}
        )
        return response.status == 401

    assert not is_refused()
    withdrawn = re.sub(
        r'(customer = "sintra-tours")', r'\1\nwithdrawn = true', text, count=1
    )
    running_fleet.publish_document('accounts', 'keys.toml', withdrawn)
    _wait_until(is_refused, WITHDRAWAL_LIMIT_S)
    assert connection.num_connections == 1
    running_fleet.publish_document('accounts', 'keys.toml', text)
    _wait_until(lambda: not is_refused(), WITHDRAWAL_LIMIT_S)


def _count_runs(running_fleet, domain):
    servers = running_fleet.configuration.servers
    return sum(
        sum(counters['runs'].values())
        for name, counters in _read_servers(running_fleet).items()
        if servers[name].domain == domain
    )


def test_an_evacuated_domain_gets_no_new_requests(running_fleet):
    """Requests sent to a domain that is being evacuated may be lost."""
    text = running_fleet.read_document('platform', 'domains.toml')
    out = re.sub(
        r'(name = "belem"\n)(state = "in")?', r'\1state = "out"', text, count=1
    )
    running_fleet.publish_document('platform', 'domains.toml', out)
    time.sleep(OUT_LIMIT_S)
    before = _count_runs(running_fleet, 'belem')
    for number in range(60):
        member = running_fleet.members[number % 12]
        assert _get(running_fleet, member).status == 200
    assert _count_runs(running_fleet, 'belem') == before
    running_fleet.publish_document('platform', 'domains.toml', text)

    def is_back():
        for member in running_fleet.members:
            assert _get(running_fleet, member).status == 200
        return _count_runs(running_fleet, 'belem') > before

    _wait_until(is_back, RECOVERY_LIMIT_S)


def test_the_fleet_serves_while_the_platform_is_unavailable(running_fleet):
    """Keys must remain valid while no instance can reach the platform."""
    running_fleet.call_platform_control('PUT', '/faults', {'down': True})
    time.sleep(6)
    codes = {_get(running_fleet, m).status for m in running_fleet.members}
    running_fleet.call_platform_control('PUT', '/faults', {})
    assert codes == {200}


def test_a_killed_holder_is_replaced(running_fleet):
    """Budget shares and pools of a killed instance must get new holders."""
    target = running_fleet.members[1]
    others = [m for m in running_fleet.members if m != target]
    running_fleet.send_signal(target.name, signal.SIGKILL)

    def is_held():
        pools = set()
        for member in others:
            status = running_fleet.fetch_status(member)
            pools |= {(p['service'], p['domain']) for p in status['pools']}
        return len(pools) == 9

    _wait_until(is_held, RECOVERY_LIMIT_S)
    for member in others:
        assert _get(running_fleet, member).status == 200
    running_fleet.processes[target.name].wait()
    running_fleet.start_instance(target)
    _wait_until(
        lambda: (running_fleet.fetch_status(target) or {}).get('ready'),
        RECOVERY_LIMIT_S,
    )


def test_a_resumed_instance_holds_no_expired_lease(running_fleet):
    """A process that is resumed must not use leases that were taken over."""
    target = running_fleet.members[2]
    running_fleet.send_signal(target.name, signal.SIGSTOP)
    time.sleep(20)
    running_fleet.send_signal(target.name, signal.SIGCONT)
    status = running_fleet.fetch_status(target)
    holders = {}
    for member in running_fleet.members:
        for pool in running_fleet.fetch_status(member)['pools']:
            key = (pool['service'], pool['domain'])
            assert key not in holders, (key, holders[key], member.name)
            holders[key] = member.name
    assert status['instance'] == target.name


def test_termination_aborts_no_request(running_fleet):
    """SIGTERM must not abort requests that are running."""
    target = running_fleet.members[3]
    url = f'http://{target.callers}/events'
    pool = urllib3.PoolManager(retries=False)
    running_fleet.send_signal(target.name, signal.SIGTERM)
    served = refused = 0
    while running_fleet.processes[target.name].poll() is None:
        try:
            response = pool.request('GET', url, headers={'X-Api-Key': KEY})
        except urllib3.exceptions.NewConnectionError:
            break
        if response.status == 200:
            served += 1
        else:
            assert json.loads(response.data)['ran'] == 'not run'
            refused += 1
        time.sleep(0.01)
    assert running_fleet.processes[target.name].wait(30) == 0
    assert served > 20
