"""Guard real instances whose store comes back from a copy."""

import itertools
import time

import pytest

from standins import machines


KEY = 'key-of-t1-0001'
WITHDRAWN_KEY = 'key-of-t2-0001'
BOTH = {'t1': [KEY], 't2': [WITHDRAWN_KEY]}
# Changes of the store have to be in force everywhere within this time.
PROPAGATION_S = 2.0
AWAY_S = 0.5
WRITE_AGAIN_S = 1.5
_REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))


def send(fleet, number, key=KEY):
    address = fleet.instances[number % 3].addresses['callers']
    return machines.send_request(address, '/read/1', next(_REQUEST_IDS), key)


def find_used(fleet, seconds):
    """Send requests; return the servers that ran them."""
    first = len(fleet.executed)
    until = time.monotonic() + seconds
    for number in itertools.count():
        if time.monotonic() > until:
            break
        assert send(fleet, number)[0] == 200
        assert send(fleet, number, WITHDRAWN_KEY)[0] == 401
    return {run.server for run in fleet.executed[first:]}


@pytest.fixture
def fleet(tmp_path):
    with machines.FleetEnvironment(
        tmp_path, instances=3, servers=4, keys=BOTH
    ) as environment:
        yield environment


def write_after_copy(fleet):
    """Change what binds: a policy, a drain, a removal and an evacuation."""
    store, (leaving, removed, *_) = fleet.store, fleet.servers
    config = machines.encode_configuration(2, {'t1': [KEY]})
    store.put('op/config', config)
    store.put(f'servers/{leaving.name}', leaving.make_entry('draining'))
    store.remove(f'servers/{removed.name}')
    store.put('op/evacuate/c', b'{}')
    # Revisions that are given out again.
    for _ in range(30):
        store.put('servers/s-y0', fleet.servers[4].make_entry())


def test_what_was_in_force_binds_while_the_store_returns_from_a_copy(fleet):
    """At revision 100 the store came back at 95 and was written again.

    All instances ignored it until its revisions passed the old ones.
    """
    store = fleet.store
    store.take_copy()
    write_after_copy(fleet)
    time.sleep(PROPAGATION_S)
    # The first server of x leaves, the second is removed, and the third is in
    # the domain that was taken out.
    assert find_used(fleet, 0.5) == {'s-x3'}
    store.refusal_status = 503
    time.sleep(AWAY_S)
    lost_revision = store.revision
    store.restore_copy()
    store.refusal_status = 0
    assert find_used(fleet, WRITE_AGAIN_S) == {'s-x3'}
    store.write_again()
    assert find_used(fleet, PROPAGATION_S) == {'s-x3'}
    # Changes of revisions that are lower than the lost ones.
    store.remove('op/evacuate/c')
    removed = fleet.servers[1]
    removed.restart()
    store.put(f'servers/{removed.name}', removed.make_entry())
    store.put('op/config', machines.encode_configuration(3, {'t1': [KEY]}))
    assert store.revision < lost_revision
    time.sleep(PROPAGATION_S)
    assert find_used(fleet, PROPAGATION_S) == {'s-x1', 's-x2', 's-x3'}
    for instance in fleet.instances:
        log = instance.log_path.read_text()
        assert 'event=era_changed old=1 new=2' in log


def test_instance_cut_off_during_the_change_follows_afterwards(fleet):
    """It is paused while the store returns and is written again."""
    paused = fleet.instances[0]
    fleet.store.take_copy()
    write_after_copy(fleet)
    time.sleep(PROPAGATION_S)
    paused.send_signal(machines.signal.SIGSTOP)
    try:
        fleet.store.restore_copy()
        fleet.store.write_again()
        config = machines.encode_configuration(3, BOTH)
        fleet.store.put('op/config', config)
        time.sleep(PROPAGATION_S)
    finally:
        paused.send_signal(machines.signal.SIGCONT)
    fleet.wait_for(lambda: send(fleet, 0, WITHDRAWN_KEY)[0] == 200, 4)
