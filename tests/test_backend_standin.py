"""Guard the stand-in backend server that other tests rely on."""

import http.client
import json
import threading
import time

import pytest

from standins import backend
from standins import behavior


FAST = behavior.Behavior(slots=2, service_s=0.01, sigma=0.0)


@pytest.fixture
def served():
    """Yield a backend and a function that opens a connection to it."""
    held = []

    def make(chosen=FAST):
        found = behavior.BackendState('b1', chosen)
        listener = backend.serve(found, '127.0.0.1')
        held.append(listener)

        def connect():
            return http.client.HTTPConnection(
                *listener.server_address, timeout=5
            )

        return found, connect

    yield make
    for listener in held:
        listener.shutdown()
        listener.server_close()


def ask(connect, method='GET', **headers):
    """Send one request and return the response and its body."""
    connection = connect()
    named = {key.replace('_', '-'): text for key, text in headers.items()}
    connection.request(method, '/x', headers=named)
    response = connection.getresponse()
    return response, response.read()


def wait_for(check):
    """Wait until the check holds, at most 3 s."""
    end_s = time.monotonic() + 3
    while not check():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_counts_runs_and_echoes_ids(served):
    """Double runs and leaked keys must be visible from outside."""
    found, connect = served()
    for _ in range(2):
        response, _ = ask(
            connect, 'POST', X_Request_Id='r1', Idempotency_Key='k1'
        )
        assert response.headers['X-Request-Id'] == 'r1'
        assert response.headers['X-Load']
    assert found.runs['r1'] == 2
    assert found.keyed_runs['k1'] == 2
    assert b'Idempotency-Key: k1' in found.received_heads[0]


def test_shed_requests_did_not_run(served):
    """A "not run" from the stand-in must be true."""
    found, connect = served(FAST._replace(slots=1, service_s=0.4))
    slow = threading.Thread(target=ask, args=(connect,))
    slow.start()
    wait_for(lambda: found.snapshot()['running'])
    response, _ = ask(connect, X_Request_Id='r2')
    slow.join()
    assert response.status == 503
    assert response.headers['X-Not-Run'] == 'true'
    assert 'r2' not in found.runs


def test_cancellation_and_deadline_stop_work(served):
    """A server that goes on after both would hide missing cancellation."""
    found, connect = served(FAST._replace(service_s=5.0))
    connection = connect()
    connection.request('GET', '/x')
    wait_for(lambda: found.snapshot()['running'])
    connection.close()
    wait_for(lambda: found.counts['cancelled'] == 1)
    with pytest.raises(http.client.HTTPException):
        ask(connect, X_Deadline_Ms='50')
    assert found.counts['late'] == 1


def test_gray_modes(served):
    """Each gray failure must look to the proxy as its name says."""
    found, connect = served()
    ask(connect, X_Request_Id='before')
    found.set_mode(behavior.FailureMode('crossed'))
    response, _ = ask(connect, X_Request_Id='mine')
    assert response.headers['X-Request-Id'] == 'before'
    found.set_mode(behavior.FailureMode('truncated'))
    with pytest.raises(http.client.IncompleteRead):
        ask(connect)
    found.set_mode(behavior.FailureMode('error'))
    assert ask(connect)[0].status == 500
    found.set_mode(behavior.FailureMode('silent'))
    began_s = time.monotonic()
    with pytest.raises(http.client.HTTPException):
        ask(connect, X_Deadline_Ms='200')
    assert time.monotonic() - began_s >= 0.2


def test_cold_server_is_limited_and_warms_up(served):
    """A cold server that takes any load would hide overrun."""
    found, connect = served(FAST._replace(slots=3, warm_completions=2))
    found.reset_to_cold()
    assert found.start_request()
    assert not found.start_request()
    found.finish_request('completed')
    ask(connect)
    wait_for(lambda: not found.is_cold)


def test_control_address():
    """Fleet tests in other processes switch failures over HTTP."""
    found = behavior.BackendState('b1', FAST)
    control = backend.serve_control({'b1': found}, '127.0.0.1')
    connection = http.client.HTTPConnection(*control.server_address)
    for body, status in (({'name': 'slow'}, 200), ({'name': 'odd'}, 400)):
        connection.request('PUT', '/servers/b1/mode', json.dumps(body))
        response = connection.getresponse()
        response.read()
        assert response.status == status
    assert found.mode.name == 'slow'
    connection.close()
    control.shutdown()
    control.server_close()
