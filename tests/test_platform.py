"""Tests for the client and the stand-in of the Consul protocol.

One table of cases runs with plain HTTP calls and through the client, so
that both sides are compared with the protocol instead of each other.
"""

import base64
import contextlib
import datetime
import json
import threading
import time

import pytest
import urllib3

from cranberryscale.connection import consul_client
from cranberryscale import errors
from cranberryscale.version import subtrees
from cranberryscale.version import view
from standins import platform as standin
from standins import store


VALUES = {
    'cranberryscale/net/manifest.toml': 'version = 1',
    'cranberryscale/net/a.toml': '# ç',
    'cranberryscale-other/net/a.toml': 'x',
}
INSTANCES = [
    {
        'ID': name,
        'Address': '127.0.0.1',
        'Port': 9000,
        'Meta': {
            'domain': 'd',
            'callers': '127.0.0.1:9001',
            'operators': '127.0.0.1:9002',
            **extra,
        },
        'Checks': checks,
    }
    for name, extra, checks in (
        ('i2', {'leaving': 'true'}, []),
        ('i1', {}, [{'Name': 'leaving', 'Status': 'passing'}]),
        ('i3', {}, [{'Name': 'leaving', 'Status': 'critical'}]),
        ('i4', {'domain': ''}, []),
    )
]
SHORT = datetime.timedelta(seconds=0.2)


@contextlib.contextmanager
def serve(make, fake_store):
    """Serve a store on loopback and yield the URL."""
    server = make(fake_store)
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    try:
        yield f'http://127.0.0.1:{server.server_port}'
    finally:
        fake_store.stop()
        server.shutdown()
        server.server_close()


@pytest.fixture
def fake_store():
    """Return a store with subtrees and instances."""
    consul_store = store.ConsulStore()
    consul_store.put_values(VALUES)
    consul_store.put_instances(INSTANCES)
    return consul_store


@pytest.fixture
def url(fake_store):
    """Serve the store for reads."""
    with serve(standin.make_server, fake_store) as address:
        yield address


@pytest.fixture
def client(url):
    """Return a client of the stand-in."""
    return consul_client.ConsulClient(url, 'cranberryscale', 'cranberryscale')


def wait_until(check, limit_s=10):
    """Wait until the check holds or the limit is over."""
    until = time.monotonic() + limit_s
    while not check() and time.monotonic() < until:
        time.sleep(0.01)


def read_plainly(url, kind, index, wait_s=0.2):
    """Return status, index and decoded body of a plain HTTP call."""
    path, fields = {
        'subtrees': ('/v1/kv/cranberryscale/', {'recurse': ''}),
        'teams': ('/v1/kv/cranberryscale/', {'keys': '', 'separator': '/'}),
        'instances': ('/v1/health/service/cranberryscale', {}),
    }[kind]
    if index:
        fields = {**fields, 'index': str(index), 'wait': f'{wait_s}s'}
    response = urllib3.request('GET', url + path, fields=fields, retries=False)
    body = json.loads(response.data) if response.status == 200 else None
    return (
        response.status,
        int(response.headers.get('X-Consul-Index', 0)),
        body,
    )


def read_by_client(client, kind, index, wait=SHORT):
    """Return the client's result of one kind."""
    read = {
        'subtrees': client.read_subtrees,
        'teams': client.watch_teams,
        'instances': client.read_instances,
    }[kind]
    return read(index, wait)


def change(fake_store, kind):
    """Publish a change of what is read as this kind."""
    if kind == 'instances':
        fake_store.put_instances(INSTANCES[:1])
    else:
        fake_store.put_values({'cranberryscale/net/a.toml': 'y'})


KINDS = ('subtrees', 'teams', 'instances')
# Index relative to the current one, whether a change is published meanwhile,
# wait, and shortest and longest duration in seconds. Responses that must not
# wait may take almost the whole wait, so that the test does not fail on a busy
# machine.
WAITS = (
    (None, False, 2, 0, 1.9),
    (0, False, 0.2, 0.19, 2),
    (0, True, 2, 0.05, 1.9),
    (-1, False, 2, 0, 1.9),
)


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize(('offset', 'publish', 'wait_s', 'low', 'high'), WAITS)
@pytest.mark.parametrize('plain', [True, False])
def test_blocking_query_returns_on_a_change_or_after_the_wait(
    fake_store, url, client, kind, offset, publish, wait_s, low, high, plain
):
    """A watch must return on a change, neither earlier nor later."""
    current = read_plainly(url, kind, 0)[1]
    index = 0 if offset is None else current + offset
    if publish:
        timer = threading.Timer(0.08, change, (fake_store, kind))
        timer.start()
    started = time.monotonic()
    if plain:
        found = read_plainly(url, kind, index, wait_s)[1]
    else:
        found = read_by_client(
            client, kind, index, datetime.timedelta(seconds=wait_s)
        ).index
    assert low <= time.monotonic() - started <= high
    if publish:
        timer.join()
        assert found > current
    else:
        assert found == current


def test_subtrees_are_grouped_and_ordered(client, url):
    """Keys outside the prefix must not become documents."""
    (unchecked,) = client.read_subtrees().unchecked_subtrees
    texts = {'manifest.toml': 'version = 1', 'a.toml': '# ç'}
    assert unchecked == subtrees.UncheckedSubtree('net', texts, 2)
    rows = read_plainly(url, 'subtrees', 0)[2]
    assert {
        row['Key']: base64.b64decode(row['Value']).decode() for row in rows
    } == {k: v for k, v in VALUES.items() if k.startswith('cranberryscale/')}
    assert [
        o.team for o in client.watch_teams(0, SHORT).unchecked_subtrees
    ] == ['net']


def test_instances_are_converted_to_a_view(client):
    """An invalid registration must not hide the other instances."""
    response = client.read_instances()
    assert response.instances.version == response.index
    assert response.instances.members == tuple(
        view.Member(
            name, 'd', '127.0.0.1:9000', '127.0.0.1:9001', '127.0.0.1:9002', x
        )
        for name, x in (('i1', False), ('i2', True), ('i3', True))
    )


@pytest.mark.parametrize('kind', KINDS)
@pytest.mark.parametrize(
    ('faults', 'code'),
    [
        (store.ConsulFaults(down=True), 'platform_unavailable'),
        (store.ConsulFaults(hang=True), 'platform_unavailable'),
        (store.ConsulFaults(slow_s=3), 'platform_unavailable'),
        (store.ConsulFaults(malformed='json'), 'platform_malformed'),
        (store.ConsulFaults(malformed='index'), 'platform_malformed'),
    ],
)
def test_platform_faults_raise_typed_errors(
    fake_store, client, kind, faults, code
):
    """A failing platform must neither block nor crash an instance."""
    fake_store.set_faults(faults)
    started = time.monotonic()
    with pytest.raises(errors.ConfigurationError) as caught:
        read_by_client(client, kind, 1)
    assert caught.value.code == code
    assert time.monotonic() - started < 2
    # On a busy machine the stand-in may count the call after the client has
    # given it up.
    wait_until(lambda: fake_store.calls > 0)
    assert client.calls == fake_store.calls == 1
    fake_store.set_faults(store.ConsulFaults())
    assert read_by_client(client, kind, 0).index


def test_undecodable_values_are_typed_errors_or_skipped(fake_store, client):
    """Corrupt responses are the platform's fault, bad values the team's."""
    fake_store.set_faults(store.ConsulFaults(malformed='base64'))
    with pytest.raises(errors.ConfigurationError) as caught:
        client.read_subtrees()
    assert caught.value.code == 'platform_malformed'
    fake_store.set_faults(store.ConsulFaults())
    large = 'x' * ((1 << 20) + 1)
    fake_store.put_values({'cranberryscale/net/a.toml': large})
    assert client.read_subtrees().unchecked_subtrees[0].documents == {
        'manifest.toml': 'version = 1'
    }


def test_decreasing_index_restarts_the_watch(fake_store, client):
    """The index may decrease after a restore; a watch must not block then."""
    fake_store.set_faults(store.ConsulFaults(is_stale=True))
    fake_store.put_values({'cranberryscale/net/a.toml': 'y'})
    fake_store.set_faults(store.ConsulFaults())
    latest = client.read_subtrees().index
    assert client.read_subtrees(latest + 5, SHORT).index == 0


def test_standin_makes_stale_partial_and_late_responses(fake_store, client):
    """The stand-in must reproduce the faults that instances tolerate."""
    fake_store.set_faults(
        store.ConsulFaults(is_stale=True, hidden=('manifest.toml',))
    )
    fake_store.put_values({'cranberryscale/net/a.toml': 'new'})
    assert client.read_subtrees().unchecked_subtrees[0].documents == {
        'a.toml': '# ç'
    }
    fake_store.set_faults(store.ConsulFaults(list_lag_s=0.3))
    time.sleep(0.35)
    fake_store.put_instances([])
    assert len(client.read_instances().instances.members) == 3
    time.sleep(0.35)
    assert client.read_instances().instances.members == ()


def test_missing_prefix_is_empty(client, fake_store):
    """An empty store before the first publication is not a fault."""
    fake_store.remove_values('cranberryscale/')
    assert client.read_subtrees().unchecked_subtrees == ()


def test_unreachable_platform_raises_a_typed_error():
    """An address without a listener must raise a typed error."""
    client = consul_client.ConsulClient('http://127.0.0.1:1', 'a', 'b')
    with pytest.raises(errors.ConfigurationError) as caught:
        client.read_subtrees()
    assert caught.value.code == 'platform_unavailable'


def test_control_address_changes_the_store(fake_store):
    """Operators of a local fleet publish through the control address."""
    with serve(standin.make_control_server, fake_store) as url:
        for path, body in (
            ('/values', {'cranberryscale/a/b.toml': 'z'}),
            ('/instances', []),
            ('/faults', {'down': True, 'hidden': ['x']}),
        ):
            response = urllib3.request('PUT', url + path, json=body)
            assert response.status == 200
        assert fake_store.faults == store.ConsulFaults(
            down=True, hidden=('x',)
        )
        assert urllib3.request('PUT', url + '/faults', json=1).status == 400
        urllib3.request('DELETE', url + '/values/cranberryscale/a/')
        response = urllib3.request('GET', url + '/')
        assert json.loads(response.data)['calls'] == 0
