"""Entries that another writer left in the store.

One entry that is nested too deeply, or that has a number or a port out of
range, must not stop an instance from following the other entries.
"""

import base64
import contextlib
import datetime
import io
import json
import signal
import time

import hypothesis
from hypothesis import strategies
import pytest

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.platform import entry_decoding
from cranberryscale.platform import store
from cranberryscale.process import shards
from cranberryscale.version import replica
from standins import machines
import test_published


KEY = 'key-of-t1-0001'
NOW = datetime.timedelta(seconds=100)
DEEP = b'[' * 200_000 + b']' * 200_000
HUGE = b'1' + b'0' * 400
INFO = {'service': 'x', 'version': 'v1', 'zone': 'a', 'slots': 2}


def insert_raw(body: bytes, field: bytes, value: bytes) -> bytes:
    """Return a JSON object with a first field of a raw value."""
    return b'{"%b": %b, ' % (field, value) + body[1:]


def make_status(**fields) -> bytes:
    status = {'state': 'ready', 'sequence': 4, 'warmup-left': '0ms'}
    return test_published.make_server(status=status | fields)


ODD_ADDRESSES = [
    '10.0.0.9:0',
    '10.0.0.9:65536',
    '10.0.0.9:99999999999',
    '10.0.0.9:-1',
    '10.0.0.9:+80',
    '10.0.0.9:8_0',
    '10.0.0.9:٣٤',
    '10.0.0.9:²',
    '10.0.0.999:80',
    'name.example:80',
    ':80',
    '10.0.0.9',
    '10.0.0.9:80\r\nX: y',
]
ODD_SERVERS = {
    'deep': DEEP,
    'deep object': b'{"a":' * 100_000 + b'1' + b'}' * 100_000,
    'deep field': insert_raw(test_published.make_server(), b'extra', DEEP),
    'huge born': test_published.make_server(born=10**30),
    'negative born': test_published.make_server(born=-1),
    'born beyond messages': test_published.make_server(born=2**64),
    'huge slots': test_published.make_server(info=INFO | {'slots': 10**9}),
    'huge sequence': make_status(sequence=10**30),
    'infinite number': insert_raw(
        test_published.make_server(), b'born', HUGE + b'e400'
    ),
    'huge warm-up': make_status(**{'warmup-left': '1' + '0' * 40 + 's'}),
    'warm-up beyond any date': make_status(
        **{'warmup-left': '86399999999999s'}
    ),
    'lone surrogate': test_published.make_server().replace(
        b'"x"', b'"\\ud800"'
    ),
} | {
    f'address {address!r}': test_published.make_server(address=address)
    for address in ODD_ADDRESSES
}


@pytest.mark.parametrize('body', ODD_SERVERS.values(), ids=ODD_SERVERS)
def test_odd_server_entry_is_refused_and_the_next_ones_are_applied(body):
    store_replica = test_published.make_replica()
    events = store_replica.apply(
        [
            test_published.make_change('servers/i1', 11, body),
            test_published.make_change('servers/i2', 12, body),
            test_published.make_change(
                'servers/i3', 13, test_published.make_server()
            ),
        ],
        13,
        NOW,
    )
    assert set(store_replica.current_configuration.servers) == {'i3'}
    assert [e.event for e in events].count('entry_refused') == 2
    assert store_replica.revision == 13


@pytest.mark.parametrize('name', ['a\r\nb', 'a b', 'é', '', 'x' * 201])
def test_server_name_that_no_header_can_hold_is_refused(name):
    with pytest.raises(errors.FleetError, match='document_invalid'):
        entry_decoding.decode_entry(
            f'servers/{name}', test_published.make_server()
        )


@pytest.mark.parametrize(
    'body',
    [
        DEEP,
        insert_raw(test_published.make_policy(9), b'extra', DEEP),
        test_published.make_policy(9).replace(b'16384', HUGE),
        test_published.make_policy(9).replace(b'37, 37', b'37, 1e400'),
        test_published.make_policy(9).replace(b'37, 37', b'37, 1e308'),
        test_published.make_policy(9).replace(b'5.1', HUGE),
        test_published.make_policy(9).replace(b'"t1", ["k1"], 1', b'')
        + b'{"tenants": 1}',
        test_published.make_policy(9).replace(b'1500ms', b'1' * 40 + b's'),
        test_published.make_policy(9).replace(
            b'"0.5s", 2', b'"0.5s", ' + HUGE
        ),
    ],
)
def test_odd_configuration_leaves_the_last_good_one_in_force(body):
    store_replica = test_published.make_replica()
    events = store_replica.apply(
        [
            test_published.make_change('op/config', 11, body),
            test_published.make_change(
                'servers/i2', 12, test_published.make_server()
            ),
        ],
        12,
        NOW,
    )
    assert events[0].event == 'entry_refused'
    assert store_replica.policy.version == 1
    assert 'i2' in store_replica.current_configuration.servers


def test_route_of_unknown_kind_runs_once_and_the_others_are_in_force():
    """One new word on a route used to void the whole configuration."""
    document = json.loads(test_published.make_policy(9))
    document['routes']['rows'][1][3] = 'upload'
    document['routes']['columns'].append('colour')
    for row in document['routes']['rows']:
        row.append('green')
    store_replica = test_published.make_replica()
    events = store_replica.apply(
        [
            test_published.make_change(
                'op/config', 11, json.dumps(document).encode()
            )
        ],
        11,
        NOW,
    )
    current = store_replica.current_configuration
    assert [route.is_idempotent('GET') for route in current.routes] == [
        False,
        False,
    ]
    assert [e.event for e in events] == ['entry_assumed', 'entry_in_force']
    assert "'r2' of kind 'upload'" in events[0].detail


def test_downloads_are_idempotent():
    body = test_published.make_policy(9).replace(
        b'"non_idempotent"', b'"download"'
    )
    policy = entry_decoding.decode_entry('op/config', body)
    assert policy.configuration.routes[0].is_idempotent('GET')
    assert policy.assumptions == ()


_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=12)
    | strategies.sampled_from(ODD_ADDRESSES + ['1e9s', '10.0.0.9:80']),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=3
        )
    ),
    max_leaves=8,
)
_PATHS = [
    ('address',),
    ('born',),
    ('info',),
    ('info', 'service'),
    ('info', 'zone'),
    ('info', 'slots'),
    ('status', 'state'),
    ('status', 'sequence'),
    ('status', 'warmup-left'),
    ('version',),
    ('routes', 'columns'),
    ('routes', 'rows', 0),
    ('routes', 'rows', 1, 7),
    ('routes', 'rows', 0, 6),
    ('routes', 'rows', 0, 8),
    ('services', 'rows', 0, 3),
    ('limits', 'max-body-bytes'),
    ('tenants', 'rows', 0, 3),
    ('tenants', 'rows', 0, 4),
]


def replace_part(document, path, value):
    """Replace a part of a document unless it has no such part any more."""
    place = document
    with contextlib.suppress(IndexError, KeyError, TypeError):
        for step in path[:-1]:
            place = place[step]
        place[path[-1]] = value


@hypothesis.settings(max_examples=400, deadline=None)
@hypothesis.given(
    strategies.sampled_from(['servers/i9', 'op/config', 'op/evacuate/a']),
    strategies.lists(
        strategies.tuples(strategies.sampled_from(_PATHS), _VALUES),
        max_size=3,
    ),
    strategies.binary(max_size=30),
)
def test_any_entry_is_used_or_refused_and_travels_to_other_instances(
    key, edits, rest
):
    """Whatever an entry holds, reading goes on and messages can carry it."""
    base = test_published.make_policy(9)
    if key != 'op/config':
        base = test_published.make_server()
    document = json.loads(base)
    for path, value in edits:
        replace_part(document, path, value)
    body = json.dumps(document).encode() + (rest if not edits else b'')
    store_replica = test_published.make_replica()
    store_replica.apply(
        [
            test_published.make_change(key, 11, body),
            test_published.make_change(
                'servers/i2', 12, test_published.make_server()
            ),
        ],
        12,
        NOW,
    )
    store_replica.advance(NOW * 2)
    current = store_replica.current_configuration
    assert 'i2' in current.servers
    reply = messages.ChangesReply(12, 0.0, store_replica.list_changes_since(0))
    assert messages.decode(messages.encode(reply)) == reply
    for server in current.servers.values():
        shard = shards.Shard(server.service, server.domain, 0, 1)
        ask = messages.AskServer(shard, 'r', 1.0, 0.0, 1.0, 1)
        assert messages.decode(messages.encode(ask)) == ask


class _FixedPool:
    """Stands for the connections of a store client; always responds so."""

    def __init__(self, body: bytes):
        self.status = 200
        self.find_header = lambda name: ""
        self._stream = io.BytesIO(body)
        self.read1 = self._stream.read1

    def request(self, *_, **__):
        return self

    def release_conn(self):
        pass


@pytest.mark.parametrize(
    'odd_item',
    [
        b'{"key": "servers/i2", "revision": 99999999999999999999}',
        b'{"key": "servers/i2", "revision": -1}',
        b'{"key": 5, "revision": 3}',
        b'{"revision": 3}',
        b'{"key": "servers/i2", "revision": 3, "value": 1e400}',
        b'7',
        b'null',
    ],
)
@pytest.mark.parametrize('field', [b'items', b'events'])
def test_odd_item_of_a_response_costs_only_itself(odd_item, field):
    value = base64.b64encode(test_published.make_server())
    good = b'{"key": "servers/i1", "revision": 4, "value": "%b"}' % value
    client = store.StoreClient('127.0.0.1:1')
    client._pool = _FixedPool(
        b'{"%b": [%b, %b], "has-more": false, "current-rev": 9}'
        % (field, odd_item, good)
    )
    if field == b'items':
        update = client.read_all()
    else:
        update = client.wait_for_changes(3, datetime.timedelta(0))
    assert [change.key for change in update.changes] == ['servers/i1']
    assert update.revision == 9


def test_snapshot_without_its_last_pages_is_not_used():
    """The entries of the missing pages would be taken for removed ones."""
    client = store.StoreClient('127.0.0.1:1')
    client._pool = _FixedPool(
        b'{"items": [7], "has-more": true, "current-rev": 9}'
    )
    with pytest.raises(errors.FleetError, match='platform_malformed'):
        client.read_all()


@pytest.mark.parametrize('body', [DEEP, b'{"items": ' + DEEP + b'}', b'1e400'])
def test_odd_response_is_a_typed_error(body):
    client = store.StoreClient('127.0.0.1:1')
    client._pool = _FixedPool(body)
    with pytest.raises(errors.FleetError, match='platform_malformed'):
        client.read_all()


def _find_processes(environment):
    return [i.process.pid for i in environment.instances]


@pytest.mark.parametrize('instances', [1, 3])
def test_fleet_follows_the_store_beside_odd_entries(tmp_path, instances):
    """Odd entries stand in the store at the start, come and are removed.

    Later changes must be in force within two seconds all the same, and no
    process may end.
    """

    def send(number):
        return machines.send_request(
            environment.instances[number].addresses['callers'],
            '/read/1',
            f'{number:016x}',
            key,
        )[0]

    put_all = [
        (f'servers/odd-{number}', body)
        for number, body in enumerate(ODD_SERVERS.values())
    ]
    key = KEY
    with machines.FleetEnvironment(
        tmp_path, instances=instances, keys={'t1': [KEY]}
    ) as environment:
        for name, body in put_all:
            environment.store.put(name, body)
        time.sleep(1.5)
        for number, instance in enumerate(environment.instances):
            # The second start reads a store that has the odd entries.
            instance.send_signal(signal.SIGKILL)
            instance.wait()
            instance.start(
                [i.addresses['peers'] for i in environment.instances]
            )
            environment.wait_for(lambda n=number: send(n) == 200, 10)
        started = _find_processes(environment)
        for version, key in ((8, 'key-of-t1-0008'), (9, 'key-of-t1-0009')):
            environment.store.put(
                'op/config',
                machines.encode_configuration(version, {'t1': [key]}),
            )
            time.sleep(2)
            assert {send(n) for n in range(instances)} == {200}
            for name, _ in put_all:
                environment.store.remove(name)
        assert _find_processes(environment) == started
        assert all(i.process.poll() is None for i in environment.instances)


def test_replica_never_raises_beyond_typed_errors_on_raw_bytes():
    for body in (b'', b'\x00', b'\xff' * 9, b'"' * 99, b'{' * 9999, DEEP):
        for key in ('servers/a', 'op/config', 'op/evacuate/z', 'other', ''):
            change = replica.EntryChange(key, 11, body)
            test_published.make_replica().apply([change], 11, NOW)
