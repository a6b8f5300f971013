"""Tests for the replica of the store and the decoding of its entries."""

import datetime
import json

import pytest

from cranberryscale.platform import entry_decoding
from cranberryscale.version import keys
from cranberryscale.version import replica


START = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)


def make_policy(version=1, key='k1', **changes):
    document = {
        'version': f'{version:08x}',
        'routes': {
            'columns': [
                'name',
                'host',
                'prefix',
                'route-type',
                'timeout',
                'target-latency',
                'priority',
                'split',
                'max-attempts',
                'public',
                'service',
            ],
            'rows': [
                [
                    'r1',
                    'h',
                    '/a/',
                    'non_idempotent',
                    '1500ms',
                    '0.5s',
                    2,
                    None,
                    2,
                    False,
                    'x',
                ],
                [
                    'r2',
                    'h',
                    '/b/',
                    'idempotent',
                    None,
                    '500ms',
                    1,
                    [
                        {'service': 'x', 'weight': 90},
                        {'service': 'y', 'weight': 10},
                    ],
                    2,
                    True,
                    None,
                ],
            ],
        },
        'services': {
            'columns': ['name', 'max-conns', 'warmup', 'warmup-per-s'],
            'rows': [['x', 360, '3s', 5.1], ['y', 360, '3s', 5.1]],
        },
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 1000,
            'header-timeout': '3000ms',
            'idle-timeout': '15s',
        },
        'tenants': {
            'columns': ['name', 'api-keys', 'priority', 'rate-per-s', 'burst'],
            'rows': [['t1', [key], 1, 37, 37], ['t2', [], None, None, None]],
        },
    }
    return json.dumps(document | changes).encode()


def make_server(state='ready', warmup='0ms', born=5, **changes):
    entry = {
        'address': '10.0.0.9:80',
        'born': born,
        'info': {'service': 'x', 'version': 'v1', 'zone': 'a', 'slots': 2},
        'status': {'state': state, 'sequence': 4, 'warmup-left': warmup},
    }
    return json.dumps(entry | changes).encode()


def make_change(key, revision, body=None):
    return replica.EntryChange(key, revision, body)


def make_replica(*changes, revision=10):
    store_replica = replica.StoreReplica(entry_decoding.decode_entry)
    base = [
        make_change('op/config', 1, make_policy()),
        make_change('servers/i1', 2, make_server()),
    ]
    store_replica.apply((*base, *changes), revision, START)
    return store_replica


def test_platform_entries_are_decoded():
    current = make_replica().current_configuration
    first, second = current.routes
    assert (first.name, first.host, first.prefix) == ('r1', 'h', '/a/')
    assert first.idempotent is False
    assert first.timeout == 1.5 * SECOND
    assert first.target == 0.5 * SECOND
    assert first.body_limit_bytes == 1000
    assert second.open_to_all
    assert [second.choose_service(d) for d in (0.0, 0.89, 0.95)] == [
        'x',
        'x',
        'y',
    ]
    assert keys.find_customer(current, 'k1').name == 't1'
    assert current.customers['t2'].rate_per_s == 0
    assert current.services['x'].cold_rate_per_s == 5.1
    server = current.servers['i1']
    assert (server.service, server.domain) == ('x', 'a')
    assert (server.address, server.slots) == ('10.0.0.9:80', 2)


def test_keys_are_kept_as_digests_only():
    assert 'k1' not in repr(make_replica().current_configuration.keys)


def test_changes_in_any_order_and_twice_give_the_same_configuration():
    changes = [
        make_change('op/config', 11, make_policy(2)),
        make_change('servers/i1', 12, make_server('draining')),
        make_change('servers/i2', 13, make_server()),
        make_change('servers/i2', 14),
    ]
    forward, backward = make_replica(), make_replica()
    forward.apply(changes, 14, START)
    backward.apply(reversed(changes), 14, START)
    backward.apply(changes, 14, START)
    assert forward.current_configuration == backward.current_configuration
    assert set(forward.current_configuration.servers) == {'i1'}
    assert forward.current_configuration.is_server_out(
        forward.current_configuration.servers['i1']
    )


def test_an_older_policy_version_is_never_applied():
    """Outdated readers and instances may still send an older version."""
    store_replica = make_replica(make_change('op/config', 20, make_policy(7)))
    store_replica.apply(
        [make_change('op/config', 15, make_policy(5))], 15, START
    )
    assert store_replica.policy.version == 7
    events = store_replica.apply(
        [make_change('op/config', 30, make_policy(6))], 30, START
    )
    assert store_replica.policy.version == 7
    assert events[0].event == 'policy_stale'


def test_a_snapshot_removes_entries_that_it_does_not_contain():
    store_replica = make_replica(make_change('servers/i2', 5, make_server()))
    store_replica.replace(
        [
            make_change('op/config', 1, make_policy()),
            make_change('servers/i2', 5, make_server()),
        ],
        40,
        START,
    )
    assert set(store_replica.current_configuration.servers) == {'i2'}
    assert store_replica.revision == 40


def test_a_snapshot_older_than_the_replica_is_ignored():
    store_replica = make_replica(revision=50)
    assert store_replica.replace([], 49, START) == ()
    assert set(store_replica.current_configuration.servers) == {'i1'}


def test_the_policy_stays_in_force_when_the_store_is_empty():
    store_replica = make_replica()
    store_replica.replace([], 60, START)
    assert store_replica.policy.version == 1


BAD_SERVERS = [
    b'',
    b'\xff\xfe',
    b'[]',
    b'{"address": 5}',
    make_server('melting'),
    make_server(address='nowhere'),
    make_server(warmup='soon'),
    make_server(info={'service': 'x', 'zone': 'a', 'slots': 2}),
    make_server(
        info={'service': 'x', 'version': 'v', 'zone': 'a', 'slots': '2'}
    ),
    make_server(
        info={'service': 'x', 'version': 'v', 'zone': 'a', 'slots': 0}
    ),
    make_server(born='yesterday'),
]


@pytest.mark.parametrize('body', BAD_SERVERS)
def test_an_undecodable_server_entry_does_not_affect_the_others(body):
    store_replica = make_replica()
    events = store_replica.apply(
        [
            make_change('servers/i2', 11, body),
            make_change('servers/i3', 12, make_server()),
        ],
        12,
        START,
    )
    assert set(store_replica.current_configuration.servers) == {'i1', 'i3'}
    assert events[0].event == 'entry_refused'
    store_replica.apply([make_change('servers/i1', 13, body)], 13, START)
    assert set(store_replica.current_configuration.servers) == {'i3'}


BAD_POLICIES = [
    b'{"version": "00000009"',
    make_policy(9, routes={'columns': ['name'], 'rows': [['r']]}),
    make_policy().replace(b'00000001', b'9'),
    make_policy(9, routes={'columns': ['a', 'b'], 'rows': [['r']]}),
    make_policy(9, limits={}),
    make_policy(
        9,
        services={
            'columns': ['name', 'warmup'],
            'rows': [['x', 'a while']],
        },
    ),
]


@pytest.mark.parametrize('body', BAD_POLICIES)
def test_an_invalid_policy_leaves_the_last_good_one_in_force(body):
    store_replica = make_replica()
    events = store_replica.apply(
        [make_change('op/config', 11, body)], 11, START
    )
    assert events[0].event == 'entry_refused'
    assert 'k1' not in events[0].detail
    assert store_replica.policy.version == 1
    assert len(store_replica.current_configuration.routes) == 2


def test_removals_are_deferred_after_an_outage_of_the_store():
    """Servers whose entries expired write them again within two seconds."""
    store_replica = make_replica(make_change('servers/i2', 5, make_server()))
    store_replica.defer_removals(START)
    store_replica.apply(
        [make_change('servers/i1', 11), make_change('servers/i2', 12)],
        12,
        START,
    )
    assert set(store_replica.current_configuration.servers) == {'i1', 'i2'}
    later = START + 1 * SECOND
    store_replica.apply(
        [make_change('servers/i2', 13, make_server())], 13, later
    )
    store_replica.advance(START + replica.REMOVAL_GRACE)
    assert set(store_replica.current_configuration.servers) == {'i2'}


def test_a_server_is_cold_for_its_published_warmup():
    store_replica = make_replica(
        make_change('servers/i2', 5, make_server(warmup='3s'))
    )
    assert store_replica.current_configuration.servers['i2'].is_cold
    assert not store_replica.current_configuration.servers['i1'].is_cold
    store_replica.advance(START + 2.9 * SECOND)
    assert store_replica.current_configuration.servers['i2'].is_cold
    store_replica.advance(START + 3 * SECOND)
    assert not store_replica.current_configuration.servers['i2'].is_cold


def test_servers_of_a_domain_that_returns_are_cold():
    store_replica = make_replica(make_change('op/evacuate/a', 5, b'{}'))
    assert store_replica.current_configuration.is_server_out(
        store_replica.current_configuration.servers['i1']
    )
    store_replica.apply([make_change('op/evacuate/a', 11)], 11, START)
    server = store_replica.current_configuration.servers['i1']
    assert not store_replica.current_configuration.is_server_out(server)
    assert server.is_cold
    store_replica.advance(START + 3 * SECOND)
    assert not store_replica.current_configuration.servers['i1'].is_cold


def test_only_changes_after_a_revision_are_listed():
    store_replica = make_replica(make_change('servers/i2', 5, make_server()))
    assert [c.key for c in store_replica.list_changes_since(2)] == [
        'servers/i2'
    ]
    assert store_replica.list_changes_since(10) == ()


def test_without_customers_no_route_needs_a_key():
    document = json.loads(make_policy(3))
    del document['tenants']
    body = json.dumps(document).encode()
    store_replica = make_replica(make_change('op/config', 11, body))
    assert all(
        route.open_to_all
        for route in store_replica.current_configuration.routes
    )
