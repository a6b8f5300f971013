"""What had left or was withdrawn stays so after restarts; silent machines.

Real instances with a store that is up, down or has forgotten its history,
beside an instance that wakes up with old knowledge.
"""

from concurrent import futures
import itertools
import signal
import time

import pytest

from standins import machines


OLD_KEY, NEW_KEY = 'key-of-t1-0001', 'key-of-t1-0002'
_REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))


def send(instance, path='/read/1', key=NEW_KEY, method='GET'):
    request_id = next(_REQUEST_IDS)
    status = machines.send_request(
        instance.addresses['callers'], path, request_id, key, method=method
    )[0]
    return request_id, status


@pytest.mark.parametrize('store_state', ['up', 'forgetful', 'down'])
def test_restarted_instance_uses_nothing_that_was_withdrawn(
    tmp_path, store_state
):
    """A key and a server go while one instance sleeps; another restarts.

    The restarted one asks the store, or the instances that are there: one
    that knows of the changes, and one that wakes up at that moment.
    """
    with machines.FleetEnvironment(
        tmp_path, instances=3, keys={'t1': [OLD_KEY]}
    ) as fleet:
        sleeper, restarted, knowing = fleet.instances
        sleeper.send_signal(signal.SIGSTOP)
        fleet.store.remove('servers/s-x0')
        fleet.store.put(
            'op/config', machines.encode_configuration(8, {'t1': [NEW_KEY]})
        )
        fleet.wait_for(lambda: send(knowing)[1] == 200, 5)
        if store_state == 'forgetful':
            fleet.store.compact()
        if store_state == 'down':
            fleet.store.refusal_status = 503
        restarted.send_signal(signal.SIGKILL)
        restarted.wait()
        sleeper.send_signal(signal.SIGCONT)
        restarted.start(fleet.seeds)
        fleet.wait_for(lambda: send(restarted)[1] == 200, 10)
        time.sleep(2)
        begun = len(fleet.executed)
        for instance in fleet.instances:
            assert send(instance, key=OLD_KEY)[1] == 401
            statuses = [send(instance)[1] for _ in range(8)]
            assert statuses == [200] * 8
        assert 's-x0' not in {run.server for run in fleet.executed[begun:]}


@pytest.mark.parametrize('pause_s', [0.1, 0.5, 1.0])
def test_work_of_a_silent_machine_is_neither_repeated_nor_given_up(
    tmp_path, pause_s
):
    """Instances that coordinate or serve pause while requests run."""
    with machines.FleetEnvironment(tmp_path, instances=3) as fleet:
        for server in fleet.servers:
            server.service_s = 0.7
        entry, *others = fleet.instances
        with futures.ThreadPoolExecutor(6) as executor:
            running = [
                executor.submit(send, entry, '/book/1', OLD_KEY, 'POST')
                for _ in range(6)
            ]
            fleet.wait_for(lambda: len(fleet.executed) >= 6, 5)
            for instance in others:
                instance.send_signal(signal.SIGSTOP)
            time.sleep(pause_s)
            for instance in others:
                instance.send_signal(signal.SIGCONT)
            results = [each.result() for each in running]
        runs = [run.request_id for run in fleet.executed]
        for request_id, status in results:
            assert status == 200
            assert runs.count(request_id) == 1
