"""Guard requests in planned stops against answers that replace the server's.

Instances run as real processes. They stop while the server of a request is
at work, and whatever else happens, its answer arrives before the deadline.
"""

from concurrent import futures
import itertools
import signal
import time

import pytest

from standins import machines

KEY = 'key-of-t1-0001'
TIMEOUT_S = 3
REQUESTS = 3
# Longer than usual, so that a second server is looked for.
SLOW_S = 1.3
# Over half of the time.
VERY_SLOW_S = 2.0
# Longer than any request.
MUTE_S = 6
_REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))


@pytest.fixture
def fleet(tmp_path):
    with machines.FleetEnvironment(tmp_path) as environment:
        revision = environment.store.put(
            'op/config',
            machines.encode_configuration(
                2, environment.keys, timeout=f'{TIMEOUT_S}s'
            ),
        )
        environment.wait_for(lambda: has_revision(environment, revision), 8)
        yield environment


def has_revision(fleet, revision):
    return all(
        f'revision={revision}' in instance.log_path.read_text()
        for instance in fleet.instances
    )


def list_servers(fleet):
    """Return the servers of the requests, the first instance's own first."""
    return [server for server in fleet.servers if server.service == 'x']


def send(fleet):
    """Send a request to the first instance; return its status and server."""
    status, _, body = machines.send_request(
        fleet.instances[0].addresses['callers'],
        '/read/1',
        next(_REQUEST_IDS),
        KEY,
        deadline_ms=TIMEOUT_S * 1000,
    )
    return status, body.decode().partition(' ')[0]


def has_handed_over(instance):
    """Return whether another instance grants the last permit."""
    address = instance.addresses['peers']
    permits = [
        line
        for line in instance.log_path.read_text().splitlines()
        if 'event=permit ' in line
    ]
    return f'holder={address} ' not in permits[-1]


def start_requests(executor, fleet):
    return [executor.submit(send, fleet) for _ in range(REQUESTS)]


def shed(server):
    server.slots = 0


def die(server):
    server.is_dying = True
    server.service_s = 0.1


def be_mute(server):
    server.service_s = MUTE_S


@pytest.mark.parametrize('fail_server', [shed, die, be_mute])
def test_answer_of_the_first_server_is_delivered_in_a_stop(fleet, fail_server):
    """A second server that fails must not end the exchange with the first.

    The instance and a holder get SIGTERM while the first server works.
    """
    first, *others = list_servers(fleet)
    first.service_s = SLOW_S
    for server in others:
        fail_server(server)
    with futures.ThreadPoolExecutor(REQUESTS) as executor:
        requests = start_requests(executor, fleet)
        time.sleep(0.1)
        fleet.instances[0].send_signal(signal.SIGTERM)
        fleet.instances[1].send_signal(signal.SIGTERM)
        results = [request.result() for request in requests]
    assert results == [(200, first.name)] * REQUESTS


def test_answer_is_delivered_in_a_stop_without_a_holder(fleet):
    """Half of the time must not end an exchange that no holder can replace.

    The shards of the stopping instance have moved to the others, which then
    stand still.
    """
    stopping = fleet.instances[0]
    stopping.send_signal(signal.SIGTERM)
    fleet.wait_for(
        lambda: send(fleet)[0] == 200 and has_handed_over(stopping), 2
    )
    for server in list_servers(fleet):
        server.service_s = VERY_SLOW_S
    for holder in fleet.instances[1:]:
        holder.send_signal(signal.SIGSTOP)
    with futures.ThreadPoolExecutor(REQUESTS) as executor:
        requests = start_requests(executor, fleet)
        results = [request.result() for request in requests]
    assert 'holder=alone' in stopping.log_path.read_text()
    assert [status for status, _ in results] == [200] * REQUESTS
