"""Tests of a store that comes back from a copy.

It loses what was written after the copy, gives revisions out again and names
the next era in its answers.
"""

import datetime
import random
from typing import NamedTuple

import msgspec
import pytest
import test_core
import test_published

from cranberryscale import core as cores
from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.platform import entry_decoding
from cranberryscale.platform import store
from cranberryscale.process import store_follower
from cranberryscale.version import replica
from standins import machines


START = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
SHORT = datetime.timedelta(milliseconds=50)
make_change = test_published.make_change
make_policy = test_published.make_policy
make_server = test_published.make_server
# Entries in the copy, of which the revisions up to 95 are known.
COPIED = (
    make_change('op/config', 1, make_policy(1)),
    make_change('servers/i1', 2, make_server()),
    make_change('servers/i2', 95, make_server()),
)


def make_replica(*lost):
    """Return a replica of era 3 that knows the copied and the lost changes."""
    store_replica = replica.StoreReplica(entry_decoding.decode_entry)
    store_replica.replace(COPIED, 95, START, 3)
    store_replica.apply(lost, 100, START, 3)
    return store_replica


def restore(store_replica, *written, revision=97, copied=COPIED):
    """Apply the first snapshot of era 4; return its events but the first."""
    entries = {c.key: c for c in (*copied, *written)}
    first, *events = store_replica.replace(
        entries.values(), revision, START, 4
    )
    assert first == replica.EraChange(3, 4, revision)
    return events


def list_used(store_replica):
    current = store_replica.current_configuration
    return {
        name
        for name, server in current.servers.items()
        if not current.is_server_out(server)
    }


def test_entries_of_a_new_era_replace_those_of_higher_revisions():
    store_replica = make_replica(
        make_change('servers/i2', 98, make_server(address='10.0.0.1:80')),
        make_change('servers/i3', 99, make_server()),
    )
    restore(store_replica, make_change('servers/i4', 96, make_server()))
    assert (store_replica.era, store_replica.revision) == (4, 97)
    servers = store_replica.current_configuration.servers
    assert servers['i2'].address == '10.0.0.9:80'
    assert 'i4' in servers
    store_replica.apply(
        [make_change('servers/i5', 98, make_server())], 98, START, 4
    )
    assert 'i5' in store_replica.current_configuration.servers


def test_late_updates_of_an_earlier_era_are_ignored():
    store_replica = make_replica()
    restore(store_replica)
    before = store_replica.current_configuration
    late = make_change('servers/i9', 200, make_server())
    assert store_replica.apply([late], 200, START, 3) == ()
    assert store_replica.replace([late], 200, START, 3) == ()
    assert store_replica.current_configuration is before
    assert (store_replica.era, store_replica.revision) == (4, 97)


def test_lost_policy_stays_in_force_and_is_passed_on():
    """Keys that it withdrew must not work again."""
    lost = make_change('op/config', 99, make_policy(7, key='k2'))
    store_replica = make_replica(lost)
    restore(store_replica)
    assert store_replica.policy.version == 7
    joining = replica.StoreReplica(entry_decoding.decode_entry)
    joining.apply(store_replica.list_changes_since(-1), 97, START, 4)
    assert joining.policy.version == 7
    again = make_change('op/config', 98, lost.body)
    store_replica.apply([again], 98, START, 4)
    assert store_replica.policy.version == 7
    lower = make_change('op/config', 99, make_policy(8, key='k3'))
    store_replica.apply([lower], 99, START, 4)
    assert store_replica.policy.version == 8


def test_policy_that_the_copy_does_not_contain_stays_in_force():
    store_replica = make_replica()
    restore(store_replica, copied=COPIED[1:])
    assert store_replica.policy.version == 1
    joining = replica.StoreReplica(entry_decoding.decode_entry)
    joining.apply(store_replica.list_changes_since(-1), 97, START, 4)
    assert joining.policy.version == 1


def test_leaving_server_stays_leaving_until_its_entry_changes():
    store_replica = make_replica(
        make_change('servers/i2', 98, make_server('draining'))
    )
    (event,) = restore(store_replica)
    assert (event.event, event.subject) == ('entry_kept', 'servers/i2')
    store_replica.release_held(START + 60 * SECOND)
    store_replica.advance(START + 60 * SECOND)
    assert list_used(store_replica) == {'i1'}
    # From a second copy, and at an instance that was cut off.
    store_replica.replace(COPIED, 97, START, 5)
    assert list_used(store_replica) == {'i1'}
    other = make_replica()
    other.apply(store_replica.list_changes_since(-1), 97, START, 5)
    assert list_used(other) == {'i1'}
    new = make_change('servers/i2', 98, make_server(born=6))
    store_replica.apply([new], 98, START, 5)
    assert list_used(store_replica) == {'i1', 'i2'}


@pytest.mark.parametrize(
    'written',
    [
        make_change('servers/i2', 96, make_server(born=6)),
        make_change('servers/i2', 99, make_server()),
    ],
    ids=['a new process', 'written in the new era'],
)
@pytest.mark.parametrize('body', [make_server('draining'), None])
def test_entry_that_is_not_of_the_copy_is_applied(written, body):
    store_replica = make_replica(make_change('servers/i2', 98, body))
    restore(store_replica, written, revision=99)
    assert list_used(store_replica) == {'i1', 'i2'}


def test_removed_server_that_the_copy_contains_is_not_used():
    store_replica = make_replica(make_change('servers/i2', 98))
    (event,) = restore(store_replica)
    assert (event.event, event.subject) == ('entry_kept', 'servers/i2')
    store_replica.apply([], 97, START + SECOND, 4)
    assert list_used(store_replica) == {'i1'}
    # From a second copy.
    store_replica.replace(COPIED, 96, START, 5)
    assert list_used(store_replica) == {'i1'}
    written = make_change('servers/i2', 98, make_server())
    store_replica.apply([written], 98, START + SECOND, 5)
    assert list_used(store_replica) == {'i1', 'i2'}


@pytest.mark.parametrize('is_restored_twice', [False, True])
def test_removed_server_is_used_if_the_store_keeps_its_entry(
    is_restored_twice,
):
    """One that was cut off while it expired does not write it again."""
    store_replica = make_replica(make_change('servers/i2', 98))
    restore(store_replica)
    if is_restored_twice:
        store_replica.replace(COPIED, 96, START, 5)
    almost = START + replica.COPY_HOLD - SHORT
    assert store_replica.release_held(almost) == ()
    store_replica.release_held(START + replica.COPY_HOLD)
    assert list_used(store_replica) == {'i1', 'i2'}


def test_removed_server_stays_removed_if_its_entry_goes_again():
    store_replica = make_replica(make_change('servers/i2', 98))
    restore(store_replica)
    store_replica.apply([make_change('servers/i2', 98)], 98, START, 4)
    store_replica.release_held(START + replica.COPY_HOLD)
    assert list_used(store_replica) == {'i1'}
    # A new process, written after another copy.
    written = make_change('servers/i2', 97, make_server(born=6))
    store_replica.replace((*COPIED[:2], written), 97, START, 5)
    assert list_used(store_replica) == {'i1', 'i2'}


def test_server_that_was_removed_and_returned_before_is_used():
    store_replica = make_replica(
        make_change('servers/i2', 98),
        make_change('servers/i2', 99, make_server()),
    )
    events = restore(store_replica)
    assert [event.event for event in events] == ['entry_in_force']
    assert list_used(store_replica) == {'i1', 'i2'}


def test_entry_of_an_earlier_process_does_not_replace_that_of_a_later_one():
    later = make_server(born=9, address='10.0.0.1:80')
    store_replica = make_replica(make_change('servers/i2', 98, later))
    restore(store_replica)
    servers = store_replica.current_configuration.servers
    assert servers['i2'].address == '10.0.0.1:80'
    store_replica.advance(START + replica.REMOVAL_GRACE)
    assert list_used(store_replica) == {'i1'}
    store_replica.apply(
        [make_change('servers/i2', 98, later)], 98, START + 3 * SECOND, 4
    )
    assert list_used(store_replica) == {'i1', 'i2'}


@pytest.mark.parametrize('is_written_again', [True, False])
def test_lost_entries_stay_for_the_grace_period(is_written_again):
    lost = (
        make_change('servers/i3', 96, make_server(info=DOMAIN_B)),
        make_change('op/evacuate/a', 97, b'{}'),
    )
    store_replica = make_replica(*lost)
    assert list_used(store_replica) == {'i3'}
    events = restore(store_replica, revision=95)
    assert {event.event for event in events} == {'entry_kept'}
    store_replica.advance(START + replica.REMOVAL_GRACE - SHORT)
    assert list_used(store_replica) == {'i3'}
    if is_written_again:
        store_replica.apply(lost, 97, START + SECOND, 4)
    store_replica.advance(START + replica.REMOVAL_GRACE)
    kept = {'i3'} if is_written_again else set()
    assert list_used(store_replica) == kept
    store_replica.advance(START + replica.COPY_HOLD)
    assert list_used(store_replica) == (kept or {'i1', 'i2'})


DOMAIN_B = {'service': 'x', 'version': 'v1', 'zone': 'b', 'slots': 2}


def test_deferred_removals_survive_a_new_era():
    store_replica = make_replica()
    store_replica.defer_removals(START)
    store_replica.apply([make_change('servers/i1', 101)], 101, START, 3)
    restore(store_replica, copied=(COPIED[0], COPIED[2]))
    store_replica.advance(START + replica.REMOVAL_GRACE)
    assert list_used(store_replica) == {'i2'}


def test_known_removals_are_bounded(monkeypatch):
    monkeypatch.setattr(replica, 'REMOVALS_LIMIT', 10)
    store_replica = make_replica()
    for revision in range(101, 200):
        removal = make_change(f'servers/r{revision}', revision)
        store_replica.apply([removal], revision, START, 3)
    assert store_replica.removal_count <= 10


# Instances


def make_core(number=1):
    """Return a core of era 3 that knows a lost policy and server."""
    core = cores.Core(
        test_core.make_settings(number),
        1,
        entry_decoding.decode_entry,
        random.Random(number),
        START,
    )
    lost = make_change('op/config', 99, make_policy(7))
    entries = (
        *COPIED[1:],
        lost,
        make_change('servers/i3', 100, make_server()),
    )
    core.receive_store_update(entries, 100, True, 3, START)
    return core


def receive_copy(core, now=START):
    core.receive_store_update(COPIED, 97, True, 4, now)


def pull(core, source, now):
    """Let a core pull from another one, through the wire format."""
    known = core.replica
    request = messages.PullChanges(known.revision, known.era)
    reply = source.handle_message(
        'e', messages.decode(messages.encode(request)), now
    )
    reply = messages.decode(messages.encode(reply))
    return core.receive_changes_reply('source', reply, now, now)


def test_instance_that_was_cut_off_gets_the_new_era_from_another_one():
    core, other = make_core(1), make_core(2)
    receive_copy(other, START + SECOND)
    events = pull(core, other, START + 2 * SECOND)
    assert replica.EraChange(3, 4, 97) in events
    assert (core.replica.era, core.replica.revision) == (4, 97)
    assert core.replica.policy.version == 7
    assert core.follower.find_staleness(START + 2 * SECOND) == SECOND
    core.advance(START + 2 * SECOND + replica.REMOVAL_GRACE)
    assert set(core.current_configuration.servers) == {'i1', 'i2'}
    written = make_change('servers/i6', 98, make_server())
    other.receive_store_update((written,), 98, False, 4, START + 3 * SECOND)
    pull(core, other, START + 3 * SECOND)
    assert 'i6' in core.current_configuration.servers


def test_pull_from_an_instance_of_the_earlier_era_changes_nothing():
    core, other = make_core(1), make_core(2)
    receive_copy(core)
    late = make_change('servers/i9', 101, make_server())
    other.receive_store_update((late,), 101, False, 3, START + SECOND)
    (event,) = pull(core, other, START + SECOND)
    assert event.event == 'update_outdated'
    assert 'i9' not in core.current_configuration.servers
    assert core.follower.find_staleness(START + SECOND) == SECOND
    assert (
        core.follower.find_pull_interval(START + SECOND)
        == store_follower.STALE_PULL_INTERVAL
    )


@pytest.mark.parametrize(
    ('revision', 'is_snapshot', 'era'),
    [(200, False, 3), (200, True, 3), (96, True, 4)],
    ids=['late changes', 'late snapshot', 'older snapshot of no named era'],
)
def test_outdated_answers_of_the_store_do_not_confirm(
    revision, is_snapshot, era
):
    core = make_core()
    receive_copy(core)
    later = START + SECOND
    core.receive_store_update((), revision, is_snapshot, era, later)
    assert core.follower.find_staleness(later) == SECOND
    assert not core.follower.should_read(later)


def test_held_entries_are_released_only_by_a_store_that_answers():
    core = make_core()
    core.receive_store_update(
        (make_change('servers/i2', 101),), 101, False, 3, START
    )
    receive_copy(core)
    later = START + replica.COPY_HOLD
    core.advance(later)
    assert 'i2' not in core.current_configuration.servers
    core.receive_store_update((), 97, False, 4, later)
    core.advance(later)
    assert 'i2' in core.current_configuration.servers


def test_era_is_sent_only_if_the_store_names_one():
    """Programs without eras could not read the messages."""

    class OlderPull(NamedTuple):
        revision: int

    class OlderReply(NamedTuple):
        revision: int
        age_s: float
        changes: tuple[replica.EntryChange, ...] = ()

    for older, message in (
        (OlderPull, messages.PullChanges(7)),
        (OlderReply, messages.ChangesReply(7, 0.1, COPIED[1:])),
    ):
        body = messages.encode(message)
        assert (
            len(msgspec.msgpack.decode(body[1:], type=older))
            == len(message) - 1
        )
        with pytest.raises(msgspec.ValidationError):
            named = messages.encode(message._replace(era=3))
            msgspec.msgpack.decode(named[1:], type=older)


# The client of the store


@pytest.fixture
def server():
    key_value_store = machines.KeyValueStoreServer(page_size=2)
    for number in range(5):
        key_value_store.put(f'servers/i{number}', make_server())
    yield key_value_store
    key_value_store.close()


def return_from_copy(key_value_store):
    key_value_store.take_copy()
    for number in range(5):
        key_value_store.put(f'servers/lost{number}', make_server())
    lost_revision = key_value_store.revision
    key_value_store.restore_copy()
    return lost_revision


def test_watch_from_a_lost_revision_ends_in_a_snapshot(server):
    client = store.StoreClient(server.address)
    assert client.read_all().era == 1
    update = client.wait_for_changes(return_from_copy(server), SHORT, 1)
    assert (update.is_snapshot, update.era, update.revision) == (True, 2, 6)
    assert len(update.changes) == 5
    server.put('servers/i9', make_server())
    update = client.wait_for_changes(6, SHORT, 2)
    assert (update.is_snapshot, update.era) == (False, 2)
    assert [change.key for change in update.changes] == ['servers/i9']


def test_watch_from_a_revision_given_out_again_ends_in_a_snapshot(server):
    """It has other content than that from which the watch was taken."""
    client = store.StoreClient(server.address)
    lost_revision = return_from_copy(server)
    while server.revision <= lost_revision:
        server.put(f'servers/new{server.revision}', make_server())
    update = client.wait_for_changes(lost_revision, SHORT, 1)
    assert (update.is_snapshot, update.era) == (True, 2)
    assert 'servers/new6' in {change.key for change in update.changes}


@pytest.mark.parametrize(
    'header', ['', 'soon', '-1', '2.0', '2, 3', '²', '9' * 40, '0x2']
)
def test_missing_or_unreadable_era_is_the_last_known_one(server, header):
    client = store.StoreClient(server.address)
    server.era_header = header
    assert client.read_all().era == 0
    assert client.wait_for_changes(server.revision, SHORT, 0).era == 0
    update = client.wait_for_changes(server.revision, SHORT, 6)
    assert (update.is_snapshot, update.era) == (False, 6)
    server.era_header = '{era}'
    server.era = 7
    update = client.wait_for_changes(server.revision, SHORT, 6)
    assert (update.is_snapshot, update.era) == (True, 7)
    server.era_header = header
    assert client.read_all().era == 7


def test_era_of_a_refusal_is_known_afterwards(server):
    client = store.StoreClient(server.address)
    server.refusal_status = 429
    server.era = 5
    with pytest.raises(errors.FleetError, match='platform_unavailable'):
        client.read_all()
    server.refusal_status, server.era_header = 0, ''
    assert client.wait_for_changes(server.revision, SHORT, 4).era == 5


def test_snapshot_has_pages_of_one_era_only(server):
    """A store may return from its copy between two pages."""
    client = store.StoreClient(server.address)
    fetch, pages = client._fetch, []

    def fetch_and_restore(*values):
        answer = fetch(*values)
        pages.append(answer)
        if len(pages) == 2:
            return_from_copy(server)
        return answer

    client._fetch = fetch_and_restore
    update = client.read_all()
    assert len(pages) == 3 + 3
    assert (update.era, len(update.changes)) == (2, 5)
