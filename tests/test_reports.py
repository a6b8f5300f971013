"""What operators of similar systems reported: see docs/reports.md."""

import itertools
import random
import re
import socket
import struct
import threading
import time
import tracemalloc

import pytest

from cranberryscale.connection import backends
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
import harness


HEAD = b'HTTP/1.1 200 OK\r\n'
RESET = struct.pack('ii', 1, 0)
MEMORY_LIMIT_BYTES = 16 * http_heads.MAX_HEAD_BYTES
ENDLESS_HEADS = {
    'line': (b'', b'x' * 4096),
    'header': (HEAD + b'X-A: ', b'x' * 4096),
    'headers': (HEAD, b'X-A: ' + b'x' * 60000 + b'\r\n'),
    'short headers': (HEAD, b'X: y\r\n'),
    'interim': (
        b'',
        b'HTTP/1.1 103 Early\r\n'
        + b'X: %b\r\n' % (b'x' * 60000) * 9
        + b'\r\n',
    ),
    'zeros': (b'', bytes(4096)),
}
ENDLESS_BODIES = {
    'unframed': (HEAD + b'\r\n', b'x' * 4096),
    'chunked': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10\r\n0123456789abcdef\r\n',
    ),
    'extensions': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1;%b\r\nx\r\n' % (b'e' * 200),
    ),
    'length': (HEAD + b'Content-Length: 999999999999\r\n\r\n', b'x' * 4096),
}


def make_endless_server(start, piece):
    def serve(server, sock, number):
        server.read_head(sock)
        sock.sendall(start)
        while True:
            sock.sendall(piece)

    return harness.FakeServer(serve)


def forward(address, seconds):
    """Send one request; return the response or raise ForwardFailed."""
    until = harness.CLOCK.read_elapsed() + seconds * harness.SECOND
    pairs = (('Host', 'h'), ('X-Request-Id', 'id-1'))
    head = http_heads.RequestHead(
        'GET', '/x', pairs, http_framing.Framing(0, False), 'id-1'
    )
    client = backends.BackendClient(
        harness.CLOCK, harness.SECOND, allows_unframed=True
    )
    limits = backends.ExchangeLimits(until, until)
    body = http_framing.EmptyBody()
    return client.send(address, head, body, limits).receive()


@pytest.mark.parametrize('kind', ENDLESS_HEADS)
def test_head_without_end_is_given_up_in_bounded_memory(kind):
    """A head could have 200 lines of 64 KiB after 16 interim ones."""
    server = make_endless_server(*ENDLESS_HEADS[kind])
    tracemalloc.start()
    began = time.monotonic()
    try:
        with pytest.raises(backends.ForwardFailed) as caught:
            forward(server.address, 30)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        server.close()
    assert caught.value.error.code == 'backend_broken'
    assert caught.value.is_sent
    assert time.monotonic() - began < 5
    assert peak < MEMORY_LIMIT_BYTES


@pytest.mark.parametrize('kind', ENDLESS_BODIES)
def test_body_without_end_is_streamed_in_bounded_memory(kind):
    server = make_endless_server(*ENDLESS_BODIES[kind])
    tracemalloc.start()
    try:
        response = forward(server.address, 1)
        with pytest.raises(backends.ForwardFailed) as caught:
            response.prefetch_body()
            for _ in response.iter_body():
                pass
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        server.close()
    assert caught.value.error.code == 'backend_timeout'
    assert peak < MEMORY_LIMIT_BYTES


def test_request_whose_answer_is_lost_runs_once_and_is_not_denied():
    """The connection is reset after each number of bytes of the answer."""
    answer = HEAD + b'Content-Length: 5\r\nX-Request-Id: %b\r\n\r\nhello'
    runs = itertools.count()
    cut_at = 0

    def serve(server, sock, number):
        head = server.read_head(sock)
        next(runs)
        request_id = re.search(rb'X-Request-Id: (.*)\r\n', head)[1]
        sock.sendall((answer % request_id)[:cut_at])
        # The answer arrives before the reset, which would discard it.
        time.sleep(0.002)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    with harness.GatewayStack(serve, idempotent=False) as proxy:
        length = len(answer % (b'0' * 32))
        for cut_at in range(length):
            data = proxy.send_raw(b'POST /r/x HTTP/1.1')
            assert re.match(rb'HTTP/1.1 50[024] ', data), (cut_at, data)
            assert b'"ran": "unknown"' in data
            assert next(runs) == 2 * cut_at + 1


def test_late_second_copies_never_reach_another_caller():
    """Whole, half or glued copies arrive 0 to 20 ms after the answer."""
    rng = random.Random(7)

    def serve(server, sock, number):
        while head := server.read_head(sock):
            name = re.search(rb'GET /r/(\w+) ', head)[1]
            answer = harness.copy_request_id(
                head,
                HEAD + b'Content-Length: %d\r\n\r\n%b' % (len(name), name),
            )
            copy = rng.choice((answer, answer[: len(answer) // 2], answer * 2))
            sock.sendall(answer)
            delay_s = rng.choice((0, 0, 0.001, 0.005, 0.02))
            if rng.random() < 0.5:
                time.sleep(delay_s)
                sock.sendall(copy)

    def call(first):
        for number in range(first, first + 250):
            data = proxy.send_raw(b'GET /r/n%d HTTP/1.1' % number)
            status, _, body = data.partition(b'\r\n\r\n')
            if status.startswith(b'HTTP/1.1 200 '):
                served.append(body == b'n%d' % number)

    served = []
    with harness.GatewayStack(serve) as proxy:
        callers = [
            threading.Thread(target=call, args=(n * 1000,)) for n in range(4)
        ]
        for caller in callers:
            caller.start()
        for caller in callers:
            caller.join()
    assert all(served)
    assert len(served) > 500


BODY = bytes(range(256)) * 1200
FRAMINGS = {
    'length': (b'Content-Length: %d\r\n' % len(BODY), BODY),
    'chunked': (
        b'Transfer-Encoding: chunked\r\n',
        b'%x\r\n%b\r\n0\r\n\r\n' % (len(BODY), BODY),
    ),
    'unframed': (b'', BODY),
}


def is_complete(data):
    """Return whether a caller would take the response for a whole one."""
    if data.endswith(b'<reset>'):
        return False
    head, _, body = data.partition(b'\r\n\r\n')
    length = re.search(rb'(?i)content-length: (\d+)', head)
    if length:
        return len(body) == int(length[1])
    if b'chunked' in head.lower():
        return body.endswith(b'0\r\n\r\n')
    return True


@pytest.mark.parametrize('version', [b'1.0', b'1.1'])
@pytest.mark.parametrize('framing', FRAMINGS)
def test_answer_that_breaks_off_never_looks_complete(framing, version):
    header, body = FRAMINGS[framing]
    rng = random.Random(3)
    cut_at = 0

    def serve(server, sock, number):
        head = server.read_head(sock)
        answer = harness.copy_request_id(head, HEAD + header + b'\r\n')
        sock.sendall(answer + body[:cut_at])
        if framing == 'unframed':
            # An end without a reset completes such a body.
            time.sleep(0.05)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    with harness.GatewayStack(serve) as proxy:
        proxy.backends._allows_unframed = True
        for _ in range(12):
            cut_at = rng.randrange(len(body))
            data = proxy.send_raw(b'GET /r/x HTTP/%b' % version)
            if data.startswith(b'HTTP/1.1 200 '):
                assert not is_complete(data), (framing, cut_at, len(data))
        cut_at = len(body)
        if framing != 'unframed':
            data = proxy.send_raw(b'GET /r/x HTTP/%b' % version)
            assert is_complete(data)
            assert data.startswith(b'HTTP/1.1 200 ')


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('framing', FRAMINGS)
def test_answer_that_ends_inside_its_head_is_no_success(framing, is_reset):
    """Guards against a 200 with an empty or short body, framed as whole."""
    header, body = FRAMINGS[framing]
    cut_at = 0

    def serve(server, sock, number):
        head = server.read_head(sock)
        answer = harness.copy_request_id(head, HEAD + header + b'\r\n')
        sock.sendall((answer + body)[:cut_at])
        if is_reset:
            time.sleep(0.01)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    with harness.GatewayStack(serve) as proxy:
        proxy.backends._allows_unframed = True
        request = b'GET /r/x HTTP/1.1\r\nX-Request-Id: 0123456789abcdef'
        echo = b'X-Request-Id: 0123456789abcdef\r\n'
        head_size = len(HEAD + echo + header + b'\r\n')
        for cut_at in range(0, head_size, 3 if is_reset else 1):
            data = proxy.send_raw(request)
            assert data.startswith(b'HTTP/1.1 502 '), (cut_at, data)
            assert b'"ran": "unknown"' in data
        cut_at = head_size + len(body)
        if not is_reset:
            assert proxy.send_raw(request).startswith(b'HTTP/1.1 200 ')
