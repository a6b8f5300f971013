"""Guard the stand-in backend server that other tests depend on.

If it did not fail as it should, tests of gray failures would pass without
testing anything.
"""

import http.client
import json
import threading
import time

import pytest

from standins import backend
from standins import behavior


FAST = behavior.Behavior(slots=2, service_s=0.01, sigma=0.0)


@pytest.fixture
def serve_backend():
    """Yield a function that serves a backend.

    It returns the backend and a function that opens a connection to it.
    """
    listeners = []

    def start(parameters=FAST):
        state = behavior.BackendState('b1', parameters)
        listener = backend.serve(state, '127.0.0.1')
        listeners.append(listener)

        def connect():
            return http.client.HTTPConnection(
                *listener.server_address, timeout=5
            )

        return state, connect

    yield start
    for listener in listeners:
        listener.shutdown()
        listener.server_close()


def send_request(connect, method='GET', **headers):
    """Send one request and return the response and its body."""
    connection = connect()
    header_fields = {
        key.replace('_', '-'): text for key, text in headers.items()
    }
    connection.request(method, '/x', headers=header_fields)
    response = connection.getresponse()
    return response, response.read()


def wait_for(check):
    """Wait until the check returns true, at most 3 s."""
    end_s = time.monotonic() + 3
    while not check():
        assert time.monotonic() < end_s
        time.sleep(0.01)


def test_counts_runs_and_echoes_ids(serve_backend):
    """Other tests find duplicate executions and leaked keys by these."""
    state, connect = serve_backend()
    for _ in range(2):
        response, _ = send_request(
            connect, 'POST', X_Request_Id='r1', Idempotency_Key='k1'
        )
        assert response.headers['X-Request-Id'] == 'r1'
        assert response.headers['X-Load']
    assert state.runs['r1'] == 2
    assert state.keyed_runs['k1'] == 2
    assert b'Idempotency-Key: k1' in state.received_heads[0]


def test_shed_requests_did_not_run(serve_backend):
    """Tests rely on it that a request with X-Not-Run did not run."""
    state, connect = serve_backend(FAST._replace(slots=1, service_s=0.4))
    slow = threading.Thread(target=send_request, args=(connect,))
    slow.start()
    wait_for(lambda: state.snapshot()['running'])
    response, _ = send_request(connect, X_Request_Id='r2')
    slow.join()
    assert response.status == 503
    assert response.headers['X-Not-Run'] == 'true'
    assert 'r2' not in state.runs


def test_cancellation_and_deadline_stop_work(serve_backend):
    """A server that kept working would hide a missing cancellation."""
    state, connect = serve_backend(FAST._replace(service_s=5.0))
    connection = connect()
    connection.request('GET', '/x')
    wait_for(lambda: state.snapshot()['running'])
    connection.close()
    wait_for(lambda: state.counts['cancelled'] == 1)
    with pytest.raises(http.client.HTTPException):
        send_request(connect, X_Deadline_Ms='50')
    assert state.counts['late'] == 1


def test_failure_modes(serve_backend):
    """Each mode must cause the gray failure of its name."""
    state, connect = serve_backend()
    send_request(connect, X_Request_Id='before')
    state.set_mode(behavior.FailureMode('crossed'))
    response, _ = send_request(connect, X_Request_Id='mine')
    assert response.headers['X-Request-Id'] == 'before'
    state.set_mode(behavior.FailureMode('truncated'))
    with pytest.raises(http.client.IncompleteRead):
        send_request(connect)
    state.set_mode(behavior.FailureMode('error'))
    assert send_request(connect)[0].status == 500
    state.set_mode(behavior.FailureMode('silent'))
    started_s = time.monotonic()
    with pytest.raises(http.client.HTTPException):
        send_request(connect, X_Deadline_Ms='200')
    assert time.monotonic() - started_s >= 0.2


def test_cold_server_is_limited_and_warms_up(serve_backend):
    """A cold server that accepts any load would hide overload."""
    state, connect = serve_backend(FAST._replace(slots=3, warm_completions=2))
    state.reset_to_cold()
    assert state.start_request()
    assert not state.start_request()
    state.finish_request('completed')
    send_request(connect)
    wait_for(lambda: not state.is_cold)


def test_control_address():
    """Tests of whole fleets change failure modes over HTTP."""
    state = behavior.BackendState('b1', FAST)
    control = backend.serve_control({'b1': state}, '127.0.0.1')
    connection = http.client.HTTPConnection(*control.server_address)
    for body, status in (({'name': 'slow'}, 200), ({'name': 'odd'}, 400)):
        connection.request('PUT', '/servers/b1/mode', json.dumps(body))
        response = connection.getresponse()
        response.read()
        assert response.status == status
    assert state.mode.name == 'slow'
    connection.close()
    control.shutdown()
    control.server_close()
