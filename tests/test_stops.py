"""Planned stops under load: an accepted request always gets an answer."""

import contextlib
import socket
import subprocess
import sys
import threading
import time

import pytest

from cranberryscale.connection import listeners
import harness


CALLERS = 12
REQUEST = (
    b'GET /r HTTP/1.1\r\nHost: h\r\nX-Api-Key: '
    + harness.KEY.encode()
    + b'\r\n\r\n'
)


@contextlib.contextmanager
def keep_processors_busy(count):
    """Run processes that compute all the time."""
    processes = [
        subprocess.Popen([sys.executable, '-c', 'while True: pass'])
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


class Caller(threading.Thread):
    """Sends requests until no connection is accepted any more.

    `cut` counts connections on which a request was sent and that ended
    without a complete answer.
    """

    def __init__(self, port):
        super().__init__(daemon=True)
        self._port = port
        self.answered = self.refused = self.cut = 0

    def run(self):
        while True:
            try:
                sock = socket.create_connection(('127.0.0.1', self._port), 5)
            except ConnectionRefusedError:
                return
            with sock:
                sock.settimeout(5)
                self._use(sock)

    def _use(self, sock):
        """Send requests until the server asks to close the connection."""
        answer = b'\r\n\r\n'
        while b'connection: close' not in answer.lower():
            answer = self._exchange(sock)
            if answer.startswith(b'HTTP/1.1 200 '):
                self.answered += 1
            elif answer.startswith(b'HTTP/1.1 503 '):
                assert b'"not run"' in answer
                self.refused += 1
            else:
                self.cut += 1
                return

    def _exchange(self, sock):
        answer = b''
        with contextlib.suppress(ConnectionError):
            sock.sendall(REQUEST)
            while part := sock.recv(65536):
                answer += part
                if self._is_complete(answer):
                    return answer
        return b''

    @staticmethod
    def _is_complete(answer):
        head, end, body = answer.partition(b'\r\n\r\n')
        for line in head.lower().split(b'\r\n'):
            if line.startswith(b'content-length:'):
                return bool(end) and len(body) == int(line[15:])
        return False


def stop_under_load():
    """Stop a listener as a daemon does; return its callers."""
    with harness.GatewayStack(harness.serve_hello) as stack:
        callers = [Caller(stack.port) for _ in range(CALLERS)]
        for caller in callers:
            caller.start()
        time.sleep(0.1)
        stack.gateway.drain(harness.plan_shutdown(0.1 * harness.SECOND))
        time.sleep(0.15)
        stack.gateway.wait_idle(harness.SECOND)
        stack.listener.stop()
        for caller in callers:
            caller.join(10)
            assert not caller.is_alive()
    return callers


@pytest.mark.parametrize('busy', [0, 6])
def test_planned_stop_answers_every_accepted_request(busy):
    """Closing a listener used to reset the connections in its queue."""
    with keep_processors_busy(busy):
        callers = [c for _ in range(6) for c in stop_under_load()]
    assert sum(c.cut for c in callers) == 0
    assert sum(c.answered for c in callers) > 30
    assert sum(c.refused for c in callers) > 30


def test_idle_connections_are_closed_without_delay_of_the_stop():
    with harness.GatewayStack(harness.serve_hello) as stack:
        idle = [stack.connect() for _ in range(20)]
        time.sleep(0.1)
        stack.gateway.drain(harness.plan_shutdown(0 * harness.SECOND))
        started = time.monotonic()
        stack.listener.stop()
        # The last requests are waited for 0.1 s, handshakes for 0.02 s.
        assert time.monotonic() - started < 1
        assert [harness.read_all(sock) for sock in idle] == [b''] * 20


def test_listener_that_rejects_handshakes_keeps_those_that_are_complete():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        port = listener.getsockname()[1]
        early = socket.create_connection(('127.0.0.1', port), 1)
        listeners.reject_handshakes(listener)
        with pytest.raises(TimeoutError):
            socket.create_connection(('127.0.0.1', port), 0.3)
        accepted, _ = listener.accept()
        early.sendall(b'request')
        assert accepted.recv(7) == b'request'
        accepted.close()
        early.close()


ANSWER_BYTES = 200_000


def serve_large_answer(server, sock, number):
    """Respond to each request after 0.2 s, with more than a window holds."""
    while head := server.read_head(sock):
        time.sleep(0.2)
        answer = (
            b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % ANSWER_BYTES
        )
        sock.sendall(harness.copy_request_id(head, answer))
        sock.sendall(b'x' * ANSWER_BYTES)


def read_slowly(sock):
    """Read as a caller with a small window; return all bytes received."""
    data = b''
    with contextlib.suppress(ConnectionResetError):
        while part := sock.recv(4096):
            data += part
            time.sleep(0.002)
    return data


@pytest.mark.parametrize('further', [0, 1, 3])
def test_answer_before_pipelined_requests_is_whole_in_a_planned_stop(further):
    """Guards against a reset by requests that lie unread at the close."""
    with harness.GatewayStack(serve_large_answer) as proxy:
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.settimeout(5)
            sock.connect(('127.0.0.1', proxy.port))
            sock.sendall(REQUEST)
            time.sleep(0.05)
            sock.sendall(REQUEST * further)
            proxy.gateway.drain(harness.plan_shutdown(3 * harness.SECOND))
            data = read_slowly(sock)
    head, _, body = data.partition(b'\r\n\r\n')
    assert b'Connection: close' in head
    assert len(body) == ANSWER_BYTES


def serve_after(delay_s):
    """Return a serve function that responds to each request after a delay."""

    def serve(server, sock, number):
        while head := server.read_head(sock):
            time.sleep(delay_s)
            answer = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'
            sock.sendall(harness.copy_request_id(head, answer))

    return serve


def test_stop_of_the_listener_leaves_its_running_requests_alone():
    """Stopping used to raise AttributeError while a request was running.

    The daemon then closed neither its other listeners nor its connections to
    other instances. Disconnecting the callers, as cheroot does, would end
    their requests.
    """
    with harness.GatewayStack(
        serve_after(1.3), threads=1, timeout=10 * harness.SECOND
    ) as stack:
        waiting = [stack.connect() for _ in range(2)]
        for sock in waiting:
            sock.sendall(REQUEST)
            time.sleep(0.1)
        started = time.monotonic()
        stack.listener.stop()
        # Of which shutdown_s is 1.0, the last requests and handshakes 0.12.
        assert 1 < time.monotonic() - started < 1.5
        answers = [harness.read_all(sock) for sock in waiting]
    assert [answer[:12] for answer in answers] == [b'HTTP/1.1 200'] * 2
    assert [answer[-5:] for answer in answers] == [b'hello'] * 2
