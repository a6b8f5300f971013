"""Tests of connections to backend servers: errors, reuse and limits."""

import base64
import datetime
import hashlib
import itertools
import re
import socket
import threading
import time

import harness
import pytest

from cranberryscale.connection import backends
from cranberryscale.connection import connection_pool
from cranberryscale.connection import http_framing
from cranberryscale.connection import http_heads
from cranberryscale.connection import open_exchanges
from cranberryscale import errors
from cranberryscale.request import request_state

SECOND = datetime.timedelta(seconds=1)
# An id is used once on a connection.
REQUEST_NUMBERS = itertools.count(1)
HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'


class Chunks(http_framing.EmptyBody):
    """A request body that is read block by block."""

    def __init__(self, *blocks):
        self.blocks = list(blocks)

    def read_some(self):
        return self.blocks.pop(0) if self.blocks else b''


def make_client(connections=2, idle=SECOND):
    return backends.BackendClient(harness.CLOCK, SECOND / 2, idle, connections)


def send(
    client,
    address,
    method='GET',
    body=None,
    seconds=0.6,
    start=1.0,
    caller=-1,
    request_id=None,
):
    request_id = request_id or f'id-{next(REQUEST_NUMBERS)}'
    now = harness.CLOCK.read_elapsed()
    body_framing = http_framing.Framing(0, body is not None)
    pairs = (('Host', 'h'), ('X-Request-Id', request_id))
    head = http_heads.RequestHead(
        method, '/x', pairs, body_framing, request_id
    )
    until = now + seconds * SECOND
    limits = backends.ExchangeLimits(now + start * SECOND, until, caller)
    return client.send(address, head, body or http_framing.EmptyBody(), limits)


def forward(client, address, *args, **options):
    return send(client, address, *args, **options).receive()


@pytest.mark.parametrize(
    'start', [HELLO[:9], b'HTTP/1.1 102 Processing\r\n\r\n']
)
def test_answer_that_has_begun_is_read_to_its_end(start):
    """The time for the first byte must not end a head that arrives slowly."""

    def serve(server, sock, number):
        response = harness.copy_request_id(server.read_head(sock), HELLO)
        sock.sendall(start)
        time.sleep(0.3)
        sock.sendall(response.removeprefix(start))

    server = harness.FakeServer(serve)
    exchanges = open_exchanges.OpenExchanges(harness.CLOCK)
    exchanges.add(1, send(make_client(), server.address, seconds=2))
    assert exchanges.wait(harness.CLOCK.read_elapsed() + SECOND / 10) == 1
    response = exchanges.remove(1).receive()
    assert b''.join(response.iter_body()) == b'hello'
    response.finish()
    server.close()


PART = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhe'


@pytest.mark.parametrize(
    'part',
    [b'H', b'HTTP/1.1 103 E\r\n\r\n', PART, PART.replace(b'200', b'503')],
)
def test_part_of_a_response_does_not_hide_a_whole_one(part):
    """A server that stalls in its response must not block the other one."""

    def serve_part(server, sock, number):
        server.read_head(sock)
        sock.sendall(part)
        server.read_head(sock)

    def serve_late(server, sock, number):
        response = harness.copy_request_id(server.read_head(sock), HELLO)
        time.sleep(0.2)
        sock.sendall(response)

    servers = [harness.FakeServer(s) for s in (serve_part, serve_late)]
    exchanges = open_exchanges.OpenExchanges(harness.CLOCK)
    for number, server in enumerate(servers):
        exchanges.add(number, send(make_client(), server.address, seconds=2))
    assert exchanges.wait() == 1
    response = exchanges.remove(1).receive()
    assert b''.join(response.iter_body()) == b'hello'
    for server in servers:
        server.close()


def test_response_that_arrived_is_read_after_the_deadline():
    """The instance may have been busy when it arrived."""

    def serve(server, sock, number):
        sock.sendall(harness.copy_request_id(server.read_head(sock), HELLO))

    server = harness.FakeServer(serve)
    exchange = send(make_client(), server.address, seconds=0.2)
    time.sleep(0.3)
    assert b''.join(exchange.receive().iter_body()) == b'hello'
    server.close()


def fetch(client, address, **options):
    response = forward(client, address, **options)
    data = b''.join(response.iter_body())
    response.finish()
    return data


def serve_silence(server, sock, number):
    server.read_head(sock)
    sock.recv(1)


def reset_at_once(server, sock, number):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b'\1\0\0\0\0\0\0\0')


def serve_slowly(server, sock, number):
    server.read_head(sock)
    for byte in HELLO:
        sock.sendall(bytes((byte,)))
        time.sleep(0.05)


CRLF2 = b'\r\n\r\n'
HEAD = b'HTTP/1.1 200 OK\r\n'


@pytest.mark.parametrize(
    'serve,code',
    [
        (serve_silence, 'backend_timeout'),
        (serve_slowly, 'backend_timeout'),
        (harness.make_serve_once(), 'backend_ended'),
        (harness.make_serve_once(reset=True), 'backend_broken'),
        (harness.make_serve_once(b'HTTP/1.1 2'), 'backend_broken'),
        (harness.make_serve_once(HEAD + b'Conte'), 'backend_broken'),
        (harness.make_serve_once(b'SSH-2.0-x\r\n'), 'backend_broken'),
        (harness.make_serve_once(HEAD + b'X: a' + CRLF2), 'backend_broken'),
        (
            harness.make_serve_once(HEAD + b'Content-Length: -1' + CRLF2),
            'backend_broken',
        ),
        (
            harness.make_serve_once(
                HEAD + b'Content-Length: 1\r\nContent-Length: 2' + CRLF2
            ),
            'backend_broken',
        ),
        (
            harness.make_serve_once(
                HEAD + b'Transfer-Encoding: gzip, chunked' + CRLF2
            ),
            'backend_broken',
        ),
        (
            harness.make_serve_once(b'HTTP/1.1 100 Continue\r\n\r\n' * 20),
            'backend_broken',
        ),
        (
            harness.make_serve_once(b'HTTP/1.1 101 Switching\r\n\r\n'),
            'backend_broken',
        ),
        (harness.make_serve_once(HELLO[:-1]), 'answer_truncated'),
        (harness.make_serve_once(HELLO[:-1], reset=True), 'backend_broken'),
        (
            harness.make_serve_once(
                HEAD + b'Transfer-Encoding: chunked' + CRLF2 + b'5\r\nhello'
            ),
            'answer_truncated',
        ),
        (
            harness.make_serve_once(
                HEAD
                + b'Transfer-Encoding: chunked'
                + CRLF2
                + b'5\r\nhello\r\n-1\r\n'
            ),
            'answer_truncated',
        ),
        (
            harness.make_serve_once(HEAD + b'X-Request-Id: id-2' + CRLF2),
            'backend_broken',
        ),
        (
            harness.make_serve_once(
                HELLO.replace(b'Content', b'X-Request-Id: id-2\r\nContent')
            ),
            'answer_crossed',
        ),
    ],
)
def test_broken_response_is_an_error_with_unknown_result(serve, code):
    """Once a byte was sent, only a complete response shows the result."""
    server = harness.FakeServer(serve)
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(make_client(), server.address)
    assert caught.value.error.code == code
    assert caught.value.is_sent
    server.close()


@pytest.mark.parametrize(
    'method,status', [('HEAD', b'200 OK'), ('GET', b'304 Not Modified')]
)
@pytest.mark.parametrize(
    'lengths,code',
    [
        ((b'x',), 'backend_broken'),
        ((b'-1',), 'backend_broken'),
        ((b'5, 5',), 'backend_broken'),
        ((b'5', b'6'), 'backend_broken'),
        ((b'1' * 5000,), 'backend_broken'),
        ((), None),
        ((b'5',), None),
        ((b'5', b'5'), None),
    ],
)
def test_length_of_a_response_without_body_is_checked(
    method, status, lengths, code
):
    """Such a length used to fail in the HTTP server for callers."""
    headers = b''.join(b'Content-Length: %b\r\n' % n for n in lengths)
    server = harness.FakeServer(
        harness.make_serve_once(b'HTTP/1.1 %b\r\n%b\r\n' % (status, headers))
    )
    if code is None:
        assert fetch(make_client(), server.address, method=method) == b''
    else:
        with pytest.raises(backends.ForwardFailed) as caught:
            fetch(make_client(), server.address, method=method)
        assert caught.value.error.code == code
        assert caught.value.is_sent
    server.close()


def test_refused_connection_is_certainly_not_sent():
    """Any request may be sent again if it was certainly not sent."""
    with socket.create_server(('127.0.0.1', 0)) as free:
        address = '127.0.0.1:%d' % free.getsockname()[1]
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(make_client(), address)
    assert caught.value.error.code == 'backend_refused'
    assert not caught.value.is_sent


def test_reset_connection_is_refused_only_if_nothing_was_sent():
    """A reset may precede or follow the first byte; `is_sent` must match."""
    server = harness.FakeServer(reset_at_once)
    for _ in range(20):
        with pytest.raises(backends.ForwardFailed) as caught:
            fetch(make_client(), server.address)
        expected = ('backend_refused', 'backend_broken')
        assert caught.value.error.code == expected[caught.value.is_sent]
    server.close()


def test_expired_permit_sends_nothing():
    """A resumed process must not start a request that another now runs."""
    server = harness.FakeServer(harness.serve_hello)
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(make_client(), server.address, start=0.0)
    assert not caught.value.is_sent
    assert not server.received
    server.close()


def test_interim_responses_are_skipped():
    """A final response after a 103 must not answer the next request."""
    server = harness.FakeServer(
        harness.make_serve_once(
            b'HTTP/1.1 100 Continue\r\n\r\n',
            b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n' + HELLO,
        )
    )
    assert fetch(make_client(), server.address) == b'hello'
    server.close()


def test_any_number_of_short_interim_responses_is_skipped():
    """A server that reports progress used to count as broken after 16."""
    processing = b'HTTP/1.1 102 Processing\r\n\r\n'
    server = harness.FakeServer(
        harness.make_serve_once(processing * 100, processing * 100, HELLO)
    )
    assert fetch(make_client(), server.address) == b'hello'
    server.close()


@pytest.mark.parametrize('has_headers', [False, True])
def test_interim_responses_without_end_are_bounded_in_bytes(has_headers):
    sent = []

    def serve(server, sock, number):
        server.read_head(sock)
        headers = b'X: %b\r\n' % (b'a' * 100) if has_headers else b''
        interim = b'HTTP/1.1 102 Processing\r\n%b\r\n' % headers
        while True:
            sock.sendall(interim)
            sent.append(len(interim))

    server = harness.FakeServer(serve)
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(make_client(), server.address, seconds=5)
    assert caught.value.error.code == 'backend_broken'
    assert sum(sent) >= http_heads.MAX_HEAD_BYTES
    server.close()


def test_slow_interim_responses_without_end_are_bounded_in_time():
    def serve(server, sock, number):
        server.read_head(sock)
        while True:
            sock.sendall(b'HTTP/1.1 102 Processing\r\n\r\n')
            time.sleep(0.01)

    server = harness.FakeServer(serve)
    started = time.monotonic()
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(make_client(), server.address)
    assert caught.value.error.code == 'backend_timeout'
    assert time.monotonic() - started < 1.5
    server.close()


def test_clean_connection_is_reused_and_an_idle_one_is_not():
    """A new connection costs 1 ms; an idle one may be half closed."""
    server = harness.FakeServer(harness.serve_hello)
    client = make_client(idle=SECOND / 5)
    for _ in range(3):
        assert fetch(client, server.address) == b'hello'
    assert server.connections == 1
    time.sleep(0.25)
    fetch(client, server.address)
    assert server.connections == 2
    server.close()


SURPLUS = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil'


@pytest.mark.parametrize('parts', [(HELLO + SURPLUS,), (HELLO, SURPLUS)])
def test_surplus_bytes_are_not_read_as_the_next_response(parts):
    """A duplicate response must not be read as the next response."""

    def serve(server, sock, number):
        while server.read_head(sock):
            for part in parts:
                sock.sendall(part)
                time.sleep(0.05)

    server = harness.FakeServer(serve)
    client = make_client()
    for _ in range(3):
        assert fetch(client, server.address) == b'hello'
        time.sleep(0.15)
    assert server.connections == 3
    server.close()


def test_late_surplus_response_is_detected_by_request_id():
    """Once the next request is sent, only the echoed id shows it."""

    def serve(server, sock, number):
        while head := server.read_head(sock):
            echo = re.search(rb'X-Request-Id: .*\r\n', head)[0]
            sock.sendall(HELLO.replace(b'Content', echo + b'Content'))
            sock.sendall(SURPLUS.replace(b'Content', echo + b'Content'))

    server = harness.FakeServer(serve)
    client = make_client()
    for number in range(50):
        try:
            data = fetch(client, server.address, request_id=f'id-{number}')
        except backends.ForwardFailed as failure:
            assert failure.error.code == 'answer_crossed'
        else:
            assert data == b'hello'
    server.close()


@pytest.mark.parametrize('method', ['GET', 'HEAD'])
def test_copy_of_an_earlier_response_ends_no_later_request(method):
    """The server is at work on the request, which may not run twice."""

    def serve(server, sock, number):
        first = server.read_head(sock)
        answer = harness.copy_request_id(first, HELLO)
        answer = answer if method == 'GET' else answer[: -len(b'hello')]
        sock.sendall(answer)
        second = server.read_head(sock)
        sock.sendall(answer)
        time.sleep(0.2)
        answer = harness.copy_request_id(second, HELLO)
        sock.sendall(answer.replace(b'hello', b'later'))
        server.read_head(sock)

    server = harness.FakeServer(serve)
    client = make_client()
    fetch(client, server.address, method=method)
    assert fetch(client, server.address, method='POST') == b'later'
    assert server.connections == 1
    server.close()


@pytest.mark.parametrize('size', [5, 200_000])
def test_wrong_body_is_detected_by_its_digest(size):
    """A caller must not receive a corrupted response as complete."""
    body = b'x' * size
    digest = base64.b64encode(hashlib.sha256(body).digest())
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n' % size
    head += b'Content-Digest: sha-256=:' + digest + b':\r\n\r\n'
    server = harness.FakeServer(harness.make_serve_once(head + body))
    assert fetch(make_client(), server.address) == body
    server.close()
    wrong = body[:-1] + b'y'
    server = harness.FakeServer(harness.make_serve_once(head + wrong))
    response = forward(make_client(), server.address)
    got = bytearray()
    with pytest.raises(backends.ForwardFailed) as caught:
        for data in response.iter_body():
            got += data
    assert caught.value.error.code == 'answer_wrong'
    assert len(got) < size
    server.close()


def test_a_server_without_echo_gets_a_connection_for_each_request():
    """Without an echoed id a late response looks like the next one."""

    def serve(server, sock, number):
        while server.read_head(sock):
            sock.sendall(HELLO)
            sock.sendall(SURPLUS)

    server = harness.FakeServer(serve)
    client = make_client()
    for _ in range(20):
        assert fetch(client, server.address) == b'hello'
    assert server.connections == 20
    server.close()


def test_response_without_echo_on_a_reused_connection_is_crossed():
    """It may be a late second response to the previous request."""

    def serve(server, sock, number):
        sock.sendall(harness.copy_request_id(server.read_head(sock), HELLO))
        server.read_head(sock)
        sock.sendall(SURPLUS)

    server = harness.FakeServer(serve)
    client = make_client()
    assert fetch(client, server.address) == b'hello'
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(client, server.address)
    assert caught.value.error.code == 'answer_crossed'
    server.close()


@pytest.mark.parametrize(
    'work_s,code', [(0.0, 'backend_broken'), (0.1, 'backend_ended')]
)
def test_reused_connection_that_closes_is_ambiguous(work_s, code):
    """The server may have run the request before it closed.

    It may also have closed the connection before the request arrived, which
    says nothing about the request.
    """

    def serve(server, sock, number):
        sock.sendall(harness.copy_request_id(server.read_head(sock), HELLO))
        server.read_head(sock)
        time.sleep(work_s)

    server = harness.FakeServer(serve)
    client = make_client()
    fetch(client, server.address)
    with pytest.raises(backends.ForwardFailed) as caught:
        fetch(client, server.address)
    assert caught.value.is_sent
    assert caught.value.error.code == code
    server.close()


def test_connections_to_one_server_are_bounded():
    """A server accepts about 400 connections from the whole fleet."""
    server = harness.FakeServer(harness.serve_hello)
    client = make_client(connections=2)
    open_responses = [forward(client, server.address) for _ in range(2)]
    with pytest.raises(backends.ForwardFailed) as caught:
        forward(client, server.address)
    assert not caught.value.is_sent
    # It says nothing about the server.
    assert caught.value.error.code == request_state.PERMIT_EXPIRED
    open_responses[0].cancel()
    open_responses[0].cancel()
    assert fetch(client, server.address) == b'hello'
    with pytest.raises(backends.ForwardFailed):
        refused = [forward(client, server.address) for _ in range(2)]
        del refused
    server.close()


def test_connections_to_removed_servers_are_closed():
    """Each removed server would keep a few hundred connections open."""
    removed = harness.FakeServer(harness.serve_hello)
    remaining = harness.FakeServer(harness.serve_hello)
    client = make_client()
    for server in (removed, remaining):
        assert fetch(client, server.address) == b'hello'
    client.retain(frozenset((remaining.address,)))
    for server, connections in ((removed, 2), (remaining, 1)):
        assert fetch(client, server.address) == b'hello'
        assert server.connections == connections
        server.close()


def test_closed_pool_refuses_without_sending():
    server = harness.FakeServer(harness.serve_hello)
    pool = connection_pool.ConnectionPool(
        *server.address.split(':'), clock=harness.CLOCK, idle_limit=SECOND
    )
    pool.close()
    with pytest.raises(errors.FleetError) as caught:
        pool.acquire(harness.CLOCK.read_elapsed() + SECOND)
    assert caught.value.code == 'backend_refused'
    server.close()


def test_caller_disconnect_cancels_the_request():
    """Work for a disconnected caller would occupy a slot."""
    ended = threading.Event()

    def serve(server, sock, number):
        server.read_head(sock)
        if not sock.recv(1):
            ended.set()

    server = harness.FakeServer(serve)
    near, far = socket.socketpair()
    threading.Timer(0.1, far.close).start()
    with pytest.raises(backends.ForwardFailed) as caught:
        forward(make_client(), server.address, seconds=3, caller=near.fileno())
    assert caught.value.error.code == 'caller_gone'
    assert ended.wait(2)
    server.close()


def test_early_response_ends_the_upload():
    """A server that has responded need not read the rest of the body."""

    def serve(server, sock, number):
        server.read_head(sock)
        sock.sendall(HELLO.replace(b'200 OK', b'413 No'))
        sock.recv(1)
        time.sleep(0.5)

    server = harness.FakeServer(serve)
    client = make_client()
    body = Chunks(*[b'x' * 65536] * 500)
    response = forward(client, server.address, 'POST', body, seconds=3)
    assert response.status == 413
    assert b''.join(response.iter_body()) == b'hello'
    response.finish()
    assert body.blocks, 'the whole body was sent'
    forward(client, server.address)
    assert server.connections == 2, 'reused with an unfinished request'
    server.close()


def test_chunked_body_arrives_whole():
    """Framing errors in an upload would corrupt data of the server."""
    received_bodies = []

    def serve(server, sock, number):
        server.read_head(sock)
        stream = sock.makefile('rb')
        body = http_framing.ChunkedBody(
            stream, 10**6, http_framing.CALLER_CODES
        )
        received_bodies.append(b''.join(iter(body.read_some, b'')))
        sock.sendall(HELLO)

    server = harness.FakeServer(serve)
    body = Chunks(b'a' * 70000, b'b')
    assert fetch(make_client(), server.address, method='POST', body=body)
    assert received_bodies == [b'a' * 70000 + b'b']
    server.close()
