"""Tests of the gateway over sockets, with hostile and broken peers."""

import contextlib
import datetime
import json
import re
import socket
import threading
import time
import tracemalloc

from absl import logging
import harness
import pytest

from cranberryscale.connection import http_servers
from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.request import flow
from cranberryscale import traces

SECOND = datetime.timedelta(seconds=1)
KEY = harness.KEY.encode()
GET = b'GET /r/x HTTP/1.1'
AUTH = b'\r\nHost: h\r\nX-Api-Key: ' + KEY
HELLO = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello'


def parse(data):
    """Return status and decoded JSON body."""
    head, _, body = data.partition(b'\r\n\r\n')
    return int(head.split()[1]), json.loads(body)


def wait_for(condition):
    until = time.monotonic() + 3
    while not condition() and time.monotonic() < until:
        time.sleep(0.01)
    return condition()


@pytest.fixture(scope='module')
def stack():
    with harness.GatewayStack(harness.serve_hello) as proxy:
        yield proxy


def wait_for_end(server, sock, number):
    server.read_head(sock)
    while sock.recv(100):
        pass


@pytest.fixture(scope='module')
def sink():
    """Gateway with a server that does not respond before the body ends."""
    with harness.GatewayStack(wait_for_end) as proxy:
        yield proxy


POST = b'POST /r/x HTTP/1.1' + AUTH
SMUGGLING = {
    'length twice': POST + b'\r\nContent-Length: 1\r\nContent-Length: 1',
    'length list': POST + b'\r\nContent-Length: 1, 1',
    'length sign': POST + b'\r\nContent-Length: +1',
    'length minus': POST + b'\r\nContent-Length: -1',
    'length underscore': POST + b'\r\nContent-Length: 1_0',
    'both': POST + b'\r\nContent-Length: 1\r\nTransfer-Encoding: chunked',
    'chunked twice': POST + b'\r\nTransfer-Encoding: chunked, chunked',
    'coding': POST + b'\r\nTransfer-Encoding: gzip, chunked',
    'identity': POST + b'\r\nTransfer-Encoding: identity',
    'hidden coding': POST + b'\r\nTransfer-Encoding: \x0bchunked',
    'space in name': POST + b'\r\nContent-Length : 1',
    'folded': POST + b'\r\nX-A: 1\r\n b',
    'folded coding': POST + b'\r\nTransfer-Encoding:\r\n chunked',
    'bare CR': POST + b'\r\nX-A: 1\rX-B: 2',
    'bare LF': POST + b'\nX-A: 1',
    'NUL': POST + b'\r\nX-A: \x00',
    'two hosts': POST + b'\r\nHost: i',
    'no host': b'GET /r/x HTTP/1.1',
    'bad host': b'GET /r/x HTTP/1.1\r\nHost: h/\r\nX-Api-Key: ' + KEY,
    'other host': b'GET http://i/r/x HTTP/1.1' + AUTH,
    'other scheme': b'GET ftp://h/r/x HTTP/1.1' + AUTH,
    'old coding': b'POST /r/x HTTP/1.0' + AUTH + b'\r\nTransfer-Encoding: '
    b'chunked',
    'connect': b'CONNECT h:80 HTTP/1.1' + AUTH,
    'asterisk': b'OPTIONS * HTTP/1.1' + AUTH,
    'version': b'GET /r/x HTTP/1.+1' + AUTH,
    'double slash': b'GET //i/r/x HTTP/1.1' + AUTH,
    'CR in target': b'GET /r/\rx HTTP/1.1' + AUTH,
    'dots': b'GET /open/%2e%2e/r HTTP/1.1' + AUTH,
    'deadline': POST + b'\r\nX-Deadline-Ms: 1.5',
    'key in path': b'GET /r/' + KEY + b' HTTP/1.1' + AUTH,
    'two keys': POST + b'\r\nCookie: api_key=other',
}


@pytest.mark.parametrize('name', SMUGGLING)
def test_ambiguous_request_is_refused_and_never_forwarded(stack, name):
    """Ambiguous message boundaries allow request smuggling."""
    before = len(stack.server.received)
    data = stack.send_raw(SMUGGLING[name] + b'\r\n\r\n' + GET, head=False)
    status, details = parse(data.partition(b'}')[0] + b'}')
    assert status == 400
    assert details['ran'] == errors.NOT_RUN
    assert details['code'] in (
        'bad_request',
        'ambiguous_length',
        'ambiguous_key',
    )
    assert len(stack.server.received) == before
    assert KEY not in data


@pytest.mark.parametrize(
    'body',
    [b'-1\r\n', b'+1\r\na\r\n', b'0x1\r\na\r\n', b'1\na\n', b'1\r\nab\r\n']
    + [b'1;' + b'x' * 500 + b'\r\na\r\n', b'0\r\nGET /open HTTP/1.1\r\n\r\n'],
)
def test_malformed_chunks_never_become_a_request(sink, body):
    """cheroot leaves trailers and unread chunks in the connection."""
    data = sink.send_raw(
        POST + b'\r\nTransfer-Encoding: chunked\r\n\r\n' + body + GET + AUTH,
        head=False,
    )
    assert data.count(b'HTTP/1.1') == 1
    status, details = parse(data)
    assert (status, details['code']) == (400, 'bad_request')
    assert details['ran'] == errors.UNKNOWN, 'the head was sent already'


@pytest.mark.parametrize(
    'data,status,code',
    [
        (b'GET /' + b'x' * 5000 + b' HTTP/1.1', 414, 'uri_too_long'),
        (GET + b'\r\nX-A: ' + b'x' * 5000, 431, 'headers_too_large'),
        (POST + b'\r\nContent-Length: 99999999', 413, 'body_too_large'),
        (POST + b'\r\nContent-Length: 200001', 413, 'body_too_large'),
        (b'GET /none HTTP/1.1' + AUTH, 404, 'route_unknown'),
        (b'GET /r/x HTTP/1.1\r\nHost: h', 401, 'key_missing'),
        (GET + b'\r\nHost: h\r\nX-Api-Key: bad', 401, 'key_unknown'),
        (GET + AUTH + b'\r\nX-Deadline-Ms: 0', 503, 'deadline_too_short'),
    ],
)
def test_refusals_have_typed_error_codes(stack, data, status, code):
    """Callers decide by code and `ran` whether to retry."""
    close = b'\r\nConnection: close\r\n\r\n'
    got, details = parse(stack.send_raw(data + close, head=False))
    assert (got, details['code']) == (status, code)
    assert details['ran'] == errors.NOT_RUN
    assert set(details) == {'code', 'reason', 'ran', 'request_id'}


def test_pipelined_requests_and_leading_body_bytes_are_separated(stack):
    """Bytes of one request must not be read as another."""
    first = POST + b'\r\nContent-Length: 4\r\n\r\nGET '
    last = GET + AUTH + b'\r\nConnection: close\r\n\r\n'
    data = stack.send_raw(first + first + last, head=False)
    assert data.count(b'200 OK') == 3
    assert data.count(b'hello') == 3
    absolute = b'GET http://h/r/x HTTP/1.1' + AUTH
    data = stack.send_raw(
        absolute + b'\r\nConnection: close\r\n\r\n', head=False
    )
    assert b'200 OK' in data


def test_api_key_is_neither_forwarded_nor_logged(caplog):
    """A backend server or a log reader could act as the customer."""
    logging.set_verbosity(logging.INFO)
    caplog.set_level('DEBUG')
    with harness.GatewayStack(harness.serve_hello) as proxy:
        for line in (
            b'Cookie: a=1; api_key=' + KEY,
            b'Authorization: Bearer ' + KEY,
            b'Referer: http://h/?api_key=' + KEY,
            b'X-Request-Id: ' + KEY,
            b'X-Copy: ' + KEY,
        ):
            query = b'?api_key=' + KEY + b'&%61pi_key=' + KEY
            head = b'GET /r/x' + query + b' HTTP/1.1\r\n' + line
            assert b'200 OK' in proxy.send_raw(head)
        proxy.send_raw(b'GET /none?api_key=' + KEY + b' HTTP/1.1')
        proxy.send_raw(b'GET /r/' + KEY + b' HTTP/1.1')
        proxy.send_raw(b'GET /r/x HTTP/1.1\r\nBad ' + KEY)
        assert proxy.server.received.count(b'GET /r/x HTTP') == 5
        assert KEY not in bytes(proxy.server.received)
    text = '\n'.join(record.getMessage() for record in caplog.records)
    assert 'event=request ' in text
    assert harness.KEY not in text


def test_slow_sender_times_out_and_idle_connections_use_no_thread():
    """A few slow callers must not occupy all threads of an instance."""
    with harness.GatewayStack(
        harness.serve_hello, sender_s=0.5, threads=2
    ) as proxy:
        idle = [proxy.connect() for _ in range(20)]
        assert b'200 OK' in proxy.send_raw(GET)
        with proxy.connect() as sock:
            started = time.monotonic()
            for byte in b'GET /r/x HTT':
                sock.sendall(bytes((byte,)))
                time.sleep(0.1)
                if time.monotonic() - started > 0.6:
                    break
            status, details = parse(harness.read_all(sock))
        assert (status, details['code']) == (408, 'request_timeout')
        assert time.monotonic() - started < 1.5
        for sock in idle:
            sock.close()


def serve_silence(server, sock, number):
    server.read_head(sock)
    if not sock.recv(1):
        server.received += b'<closed>'


def test_slow_body_ends_at_the_deadline():
    """A body that never ends must not occupy a slot of a server."""
    head = POST + b'\r\nX-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nab'
    with harness.GatewayStack(wait_for_end) as proxy:
        with proxy.connect() as sock:
            sock.sendall(head)
            status, details = parse(harness.read_all(sock))
        # A 408 response would imply that nothing ran.
        assert (status, details['code']) == (502, 'request_timeout')
        assert details['ran'] == errors.UNKNOWN
        assert wait_for(lambda: proxy.admission.reports == ['cancelled'])


@pytest.mark.parametrize('phase', ['waiting', 'reading'])
def test_caller_disconnect_cancels_the_backend_request(phase):
    """Work for a disconnected caller would occupy a slot."""

    def serve(server, sock, number):
        server.read_head(sock)
        if phase == 'reading':
            sock.sendall(
                b'HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n'
            )
            while True:
                sock.sendall(b'x' * 65536)
        if not sock.recv(1):
            server.received += b'<closed>'

    with harness.GatewayStack(serve) as proxy:
        with proxy.connect() as sock:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
            if phase == 'reading':
                assert sock.recv(1)
            assert wait_for(lambda: b'\r\n\r\n' in proxy.server.received)
        assert wait_for(lambda: proxy.outcomes)
        assert proxy.outcomes[0].code == 'caller_gone'
        assert proxy.outcomes[0].ran == errors.UNKNOWN
        assert proxy.admission.reports == ['cancelled']
        if phase == 'waiting':
            assert wait_for(lambda: b'<closed>' in proxy.server.received)


def test_unresponsive_server_times_out_and_is_reported():
    """An unresponsive server must not block the caller and is reported."""
    with harness.GatewayStack(serve_silence, timeout=SECOND / 2) as proxy:
        started = time.monotonic()
        status, details = parse(proxy.send_raw(b'POST /r/x HTTP/1.1'))
        assert time.monotonic() - started < 1
        assert (status, details['code']) == (504, 'backend_timeout')
        assert details['ran'] == errors.UNKNOWN
        assert proxy.admission.reports == ['silent']


def test_idempotent_request_is_retried_at_another_server():
    """One broken server of two must not fail idempotent requests."""

    def serve(server, sock, number):
        server.read_head(sock)
        if number > 1:
            sock.sendall(HELLO)

    with harness.GatewayStack(serve) as proxy:
        assert b'hello' in proxy.send_raw(GET)
        assert proxy.admission.reports == ['ended', 'ok']
        assert proxy.outcomes[0].attempts == 2


def test_shed_request_is_sent_again_with_its_body():
    """After X-Not-Run even a POST request may be sent again."""

    def serve(server, sock, number):
        server.read_head(sock)
        server.received += sock.recv(100)
        if number == 1:
            sock.sendall(
                b'HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\n'
                b'Content-Length: 0\r\n\r\n'
            )
        else:
            sock.sendall(HELLO)

    with harness.GatewayStack(serve) as proxy:
        data = b'POST /r/x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody'
        data = data.replace(b'\r\nC', AUTH + b'\r\nConnection: close\r\nC', 1)
        assert b'hello' in proxy.send_raw(data, head=False)
        assert proxy.server.received.count(b'\r\n\r\nbody') == 2
        assert proxy.admission.reports == ['shed', 'ok']


CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SHORT_CHUNK = CHUNKED_HEAD + b'5\r\nhello\r\n'
# Longer than what is prefetched before the response is sent.
CHUNKED = CHUNKED_HEAD + b'20000\r\n' + b'x' * 0x20000 + b'\r\n'
LARGE = HELLO.replace(b'5', b'999999')


@pytest.mark.parametrize(
    'data,version',
    [
        (LARGE, b'1.1'),
        (CHUNKED, b'1.1'),
        (CHUNKED, b'1.0'),
        (CHUNKED + b'0\r\n', b'1.0'),
    ],
)
def test_truncated_response_is_visible_to_the_caller(data, version):
    """A truncated response must not look complete to the caller."""
    with harness.GatewayStack(harness.make_serve_once(data)) as proxy:
        data = proxy.send_raw(b'GET /r/x HTTP/' + version)
        assert data.endswith(b'<reset>')
        assert not data.endswith(b'0\r\n\r\n')
        assert proxy.admission.reports == ['truncated']


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('data', [SHORT_CHUNK, SHORT_CHUNK + b'0\r\n'])
def test_short_truncated_chunked_response_becomes_an_error_response(
    data, version
):
    """No byte of a short truncated response reaches the caller."""
    with harness.GatewayStack(harness.make_serve_once(data)) as proxy:
        status, details = parse(proxy.send_raw(b'GET /r/x HTTP/' + version))
        assert (status, details['code']) == (502, 'answer_truncated')
        assert details['ran'] == errors.UNKNOWN
        assert set(proxy.admission.reports) == {'truncated'}


def test_short_truncated_response_is_replaced():
    """Another server may respond while no byte was sent to the caller."""

    def serve(server, sock, number):
        server.read_head(sock)
        sock.sendall(HELLO if number == 2 else HELLO[:-1])

    with harness.GatewayStack(serve) as proxy:
        assert proxy.send_raw(GET).endswith(b'hello')
        assert proxy.admission.reports == ['truncated', 'ok']
        status, details = parse(proxy.send_raw(b'POST /r/x HTTP/1.1'))
        assert (status, details['code']) == (502, 'answer_truncated')
        assert details['ran'] == errors.UNKNOWN


def test_disconnect_while_waiting_for_a_permit_ends_the_request():
    """Callers may disconnect while their requests are queued in a pool."""
    with harness.GatewayStack(harness.serve_hello) as proxy:
        ask_permit, disconnected = (
            proxy.admission.ask_permit,
            threading.Event(),
        )
        proxy.admission.ask_permit = lambda *a: (
            disconnected.wait(3) and ask_permit(*a)
        )
        with proxy.connect() as sock:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
        time.sleep(0.1)
        disconnected.set()
        assert wait_for(lambda: proxy.outcomes)
        assert proxy.outcomes[0].code == 'caller_gone'
        assert proxy.outcomes[0].ran == errors.NOT_RUN
        assert proxy.admission.reports == ['unused']
        assert not proxy.server.received


@pytest.mark.parametrize('method', [b'GET', b'POST'])
def test_lack_of_connections_is_not_reported_on_the_server(method):
    """It used to be reported as a refused connection.

    Two instances that reported one made the pool leave the server aside.
    """
    body = b'\r\nContent-Length: 0'
    with harness.GatewayStack(serve_silence, threads=5) as proxy:
        with contextlib.ExitStack() as stack:
            # As many as the pool has connections to the address.
            for _ in range(4):
                sock = stack.enter_context(proxy.connect())
                sock.sendall(POST + body + b'\r\n\r\n')
            assert wait_for(lambda: proxy.server.connections == 4)
            status, details = parse(
                proxy.send_raw(method + b' /r/x HTTP/1.1' + body)
            )
            assert (status, details['code']) == (503, 'pool_unavailable')
            assert details['ran'] == errors.NOT_RUN
            assert proxy.admission.reports == ['unused', 'unused']
        assert proxy.gateway.wait_idle(3 * SECOND)
        assert proxy.server.connections == 4


def test_crossed_response_is_discarded():
    """The response may contain the data of another customer."""
    crossed = HELLO.replace(b'C', b'X-Request-Id: other\r\nC', 1)
    with harness.GatewayStack(harness.make_serve_once(crossed)) as proxy:
        data = proxy.send_raw(b'POST /r/x HTTP/1.1')
        assert parse(data)[1]['code'] == 'answer_crossed'
        assert b'hello' not in data
        assert proxy.admission.reports == ['crossed']


@pytest.mark.parametrize(
    'method,status,body',
    [
        (b'HEAD', b'200 OK', b''),
        (b'GET', b'204 No', b''),
        (b'GET', b'304 N', b''),
    ],
)
def test_responses_without_body_keep_the_connection_in_sync(
    method, status, body
):
    """Unexpected body bytes would be read as the next response."""

    def serve(server, sock, number):
        while head := server.read_head(sock):
            details = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 5\r\n\r\n'
            sock.sendall(harness.copy_request_id(head, details))

    with harness.GatewayStack(serve) as proxy:
        one = method + b' /r/x HTTP/1.1' + AUTH + b'\r\n'
        data = proxy.send_raw(
            one + b'\r\n' + one + b'Connection: close\r\n\r\n', head=False
        )
        assert data.count(b'HTTP/1.1 ' + status) == 2
        assert data.endswith(b'\r\n\r\n')
        assert (b'Content-Length: 5' in data) == (status != b'204 No')
        assert proxy.server.connections == 1


def test_large_bodies_stream_with_bounded_memory():
    """Buffered bodies would exceed the 256 MiB of an instance."""
    size = 24 * 1024 * 1024

    def serve(server, sock, number):
        server.read_head(sock)
        left = size
        while left:
            left -= len(sock.recv(min(left, 65536)))
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size)
        for _ in range(size // 65536):
            sock.sendall(b'y' * 65536)

    fields = {
        'body_limit_bytes': size,
        'body_bytes': size,
        'timeout': 20 * SECOND,
    }
    with (
        harness.GatewayStack(serve, **fields) as proxy,
        proxy.connect() as sock,
    ):
        sock.settimeout(20)
        tracemalloc.start()
        sock.sendall(POST + b'\r\nContent-Length: %d\r\n\r\n' % size)
        for _ in range(size // 65536):
            sock.sendall(b'x' * 65536)
        got = 0
        while got < size:
            got += len(sock.recv(65536))
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
        assert peak < 3 * 1024 * 1024


def test_chunked_upload_over_the_limit_is_refused(sink):
    """The length of a chunked body is only known as it arrives."""
    data = POST + b'\r\nTransfer-Encoding: chunked\r\n\r\n'
    data += b'ffff\r\n' + b'x' * 65535 + b'\r\n'
    with sink.connect() as sock:
        sock.sendall(data)
        sock.sendall(b'fffff\r\n')
        status, details = parse(harness.read_all(sock))
    assert (status, details['code']) == (413, 'body_too_large')
    assert details['ran'] == errors.UNKNOWN


def test_100_continue_is_sent_only_for_accepted_requests(stack):
    """The caller of a refused request must not send its body."""
    expect = b'\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n'
    with stack.connect() as sock:
        sock.sendall(POST + expect)
        assert sock.recv(100) == b'HTTP/1.1 100 Continue\r\n\r\n'
        sock.sendall(b'ok')
        assert b'200 OK' in sock.recv(1000)
    with stack.connect() as sock:
        sock.sendall(POST.replace(KEY, b'bad') + expect)
        assert harness.read_all(sock).startswith(b'HTTP/1.1 401')


def test_unexpected_exception_is_a_typed_error_and_logged(caplog):
    """An exception in one request must not affect the others."""
    caplog.set_level('DEBUG')
    with harness.GatewayStack(harness.serve_hello) as proxy:
        ask_permit = proxy.admission.ask_permit
        proxy.admission.ask_permit = lambda *_: 1 // 0
        status, details = parse(proxy.send_raw(GET))
        assert (status, details['code']) == (500, 'internal')
        assert details['ran'] == errors.NOT_RUN
        proxy.admission.ask_permit = ask_permit
        proxy.admission.report_permit = lambda *_: 1 // 0
        assert b'hello' in proxy.send_raw(GET)
        assert proxy.gateway.wait_idle(SECOND)
    text = caplog.text
    assert text.count('event=request_fault') == 2
    assert 'kind=ZeroDivisionError' in text


def serve_nothing(server, sock, number):
    """Read requests without a response."""
    while server.read_head(sock):
        pass


@pytest.mark.parametrize('is_draining', [False, True])
def test_dropped_exchange_is_logged_with_its_permit(
    caplog, monkeypatch, is_draining
):
    """The end alone does not tell that a server was still at work."""

    def decide_refusal(request, context):
        now = context.read_elapsed()
        server = context.get_configuration().servers['b1']
        yield actions.ForwardRequest(
            server,
            'holder 1',
            now + SECOND,
            now + 2 * SECOND,
            now + SECOND / 20,
            1000,
        )
        error = errors.make_error('backend_timeout', 'b1')
        yield actions.RefuseRequest(error, errors.UNKNOWN)
        return actions.RequestOutcome('backend_timeout', errors.UNKNOWN, 504)

    caplog.set_level('INFO')
    monkeypatch.setattr(flow, 'decide_request', decide_refusal)
    with harness.GatewayStack(serve_nothing) as proxy:
        if is_draining:
            proxy.gateway.drain(harness.plan_shutdown(SECOND))
        assert parse(proxy.send_raw(GET))[0] == 504
    (text,) = [
        record.getMessage()
        for record in caplog.records
        if 'exchange_dropped' in record.getMessage()
    ]
    fields = traces.parse_line(text, '').fields
    assert fields['reason'] == 'backend_timeout'
    assert (fields['server'], fields['permit']) == ('b1', 'holder 1')
    assert 1500 < int(fields['time_left_ms']) < 2000
    assert fields['draining'] == str(is_draining)


def test_answered_exchange_is_not_logged_as_dropped(caplog):
    """Only servers that had not answered count."""
    caplog.set_level('INFO')
    with harness.GatewayStack(harness.make_serve_once(reset=True)) as proxy:
        assert parse(proxy.send_raw(GET))[0] in (502, 503)
    assert 'event=request ' in caplog.text
    assert 'exchange_dropped' not in caplog.text


@pytest.mark.parametrize(
    'request_line,head',
    [
        (b'HEAD /r/x HTTP/1.1', b'HTTP/1.1 200 OK\r\nContent-Length: x'),
        (GET, b'HTTP/1.1 304 N\r\nContent-Length: 5, 5'),
    ],
)
def test_unusable_length_of_a_response_without_body_is_a_typed_error(
    request_line, head
):
    """Such requests used to count as running for ever.

    Every later stop then lasted until its end.
    """
    serve = harness.make_serve_once(head + b'\r\n\r\n')
    with harness.GatewayStack(serve) as proxy:
        data = proxy.send_raw(request_line)
        assert data.startswith(b'HTTP/1.1 502 ')
        assert proxy.gateway.wait_idle(SECOND)
        assert [o.code for o in proxy.outcomes] == ['backend_broken']
        assert proxy.admission.reports == ['error', 'error']


def test_request_whose_refusal_fails_is_not_counted_as_running(monkeypatch):
    """A stop would wait for it until its end."""

    def fail(*_):
        raise ValueError

    with harness.GatewayStack(harness.serve_hello) as proxy:
        with monkeypatch.context() as patch:
            patch.setattr(http_servers.CallerGateway, 'start_response', fail)
            status, details = parse(proxy.send_raw(GET))
        assert (status, details['code']) == (500, 'internal')
        assert proxy.gateway.running == 0
        assert b'hello' in proxy.send_raw(GET)
        assert proxy.gateway.wait_idle(SECOND)


def test_drain_refuses_new_requests_and_finishes_running_ones():
    """A graceful shutdown must not cut off or refuse callers.

    They keep the address of a leaving instance for a while, so new requests
    are served until the given time. Requests in progress finish.
    """
    release = threading.Event()

    def serve(server, sock, number):
        server.read_head(sock)
        release.wait(3)
        sock.sendall(HELLO)

    with harness.GatewayStack(serve) as proxy, proxy.connect() as running:
        running.sendall(GET + AUTH + b'\r\n\r\n')
        assert wait_for(lambda: proxy.gateway.running == 1)
        proxy.gateway.drain(harness.plan_shutdown(SECOND / 5))
        with proxy.connect() as early:
            early.sendall(GET + AUTH + b'\r\n\r\n')
            assert wait_for(lambda: proxy.gateway.running == 2)
            time.sleep(0.3)
            status, details = parse(
                proxy.send_raw(GET + AUTH + b'\r\n\r\n', False)
            )
            assert (status, details['code']) == (503, 'shutting_down')
            assert not proxy.gateway.wait_idle(SECOND / 100)
            release.set()
            for sock in (running, early):
                data = harness.read_all(sock)
                assert data.endswith(b'hello')
                assert b'Connection: close' in data
        assert proxy.gateway.wait_idle(SECOND)


def test_wait_for_the_start_leaves_half_of_the_time_to_a_request():
    """Requests with 0.8 s used to wait until nothing of it was left."""
    limits = []
    with harness.GatewayStack(harness.serve_hello) as proxy:
        proxy.gateway.wait_until_started = limits.append
        proxy.send_raw(GET)
        before = harness.CLOCK.read_elapsed()
        data = proxy.send_raw(GET + b'\r\nX-Deadline-Ms: 800')
        after = harness.CLOCK.read_elapsed()
    assert data.endswith(b'hello')
    assert limits[0] is None
    assert before < limits[1] - 0.4 * SECOND < after


def test_threads_are_started_as_requests_need_them():
    """Most instances serve a few requests a second and need one thread."""
    everyone = threading.Barrier(4)

    def serve_together(server, sock, number):
        head = server.read_head(sock)
        everyone.wait(5)
        answer = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
        sock.sendall(harness.copy_request_id(head, answer))

    with harness.GatewayStack(serve_together, threads=4) as proxy:
        threads = proxy.listener.requests._threads
        assert len(threads) == 1
        socks = [proxy.connect() for _ in range(4)]
        for sock in socks:
            sock.sendall(GET + AUTH + b'\r\nConnection: close\r\n\r\n')
        for sock in socks:
            assert harness.read_all(sock).endswith(b'ok')
        assert len(threads) == 4


def test_a_thread_that_has_just_taken_a_connection_is_not_idle():
    """The next connection would wait for the end of the first request."""
    with harness.GatewayStack(harness.serve_hello, threads=4) as proxy:
        pool = proxy.listener.requests
        pausing, taken = threading.Event(), threading.Event()
        may_go_on = threading.Event()
        take = pool._queue.get

        def take_and_pause():
            connection = take()
            if pausing.is_set():
                pausing.clear()
                taken.set()
                may_go_on.wait(5)
            return connection

        # The thread of the pool may wait in the original function for the
        # first two connections.
        pool._queue.get = take_and_pause
        proxy.send_raw(GET)
        proxy.send_raw(GET)
        pausing.set()
        with proxy.connect() as first:
            first.sendall(GET + AUTH + b'\r\n\r\n')
            assert taken.wait(5)
            assert proxy.send_raw(GET).endswith(b'hello')
            may_go_on.set()
            answer = first.recv(4096)
        assert answer.endswith(b'hello')


def test_more_requests_than_threads_and_queue_are_refused():
    """An instance at its limit must refuse at once and keep running."""
    with harness.GatewayStack(serve_silence, threads=1) as proxy:
        proxy.listener.requests._queue.limit = 1
        socks = [proxy.connect() for _ in range(6)]
        for sock in socks:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
            time.sleep(0.05)
        time.sleep(0.2)
        refused = 0
        for sock in socks[2:]:
            status, details = parse(harness.read_all(sock))
            refused += (status, details['code']) == (503, 'instance_busy')
        assert refused == 4
        for sock in socks:
            sock.close()


def serve_slowly(server, sock, number):
    """Respond to each request after 0.6 s."""
    while head := server.read_head(sock):
        time.sleep(0.6)
        sock.sendall(harness.copy_request_id(head, HELLO))


def make_slow_request(name, deadline_ms):
    return b'GET /r/%b HTTP/1.1%b\r\nX-Deadline-Ms: %d\r\n\r\n' % (
        name,
        AUTH,
        deadline_ms,
    )


def find_deadline_ms(server, name):
    """Return the deadline that a request to the server had."""
    pattern = rb'GET /r/%b .*?X-Deadline-Ms: ([0-9]+)\r\n' % name
    return int(re.search(pattern, bytes(server.received), re.DOTALL)[1])


def test_wait_for_a_thread_is_part_of_the_time_of_a_request():
    """It used to begin when a thread took up the connection."""
    with harness.GatewayStack(serve_slowly, threads=1) as proxy:
        with contextlib.ExitStack() as stack:
            first, second, late = (
                stack.enter_context(proxy.connect()) for _ in range(3)
            )
            first.sendall(make_slow_request(b'first', 2000))
            time.sleep(0.1)
            second.sendall(make_slow_request(b'second', 2000))
            late.sendall(make_slow_request(b'late', 800))
            assert second.recv(4096).endswith(b'hello')
            status, details = parse(late.recv(4096))
        # 0.5 s remained of the first request.
        assert find_deadline_ms(proxy.server, b'second') < 1600
        assert (status, details['code']) == (503, 'deadline_too_short')
        assert details['ran'] == errors.NOT_RUN
        assert b'/r/late ' not in proxy.server.received


def test_time_of_a_pipelined_request_begins_after_the_answer_before():
    with harness.GatewayStack(serve_slowly, threads=1) as proxy:
        with proxy.connect() as sock:
            sock.sendall(
                make_slow_request(b'first', 2000)
                + make_slow_request(b'second', 2000)
            )
            data = b''
            while data.count(b'hello') < 2:
                data += sock.recv(4096)
        # From its arrival on, 1.4 s would be left.
        assert find_deadline_ms(proxy.server, b'second') > 1600


def test_wait_for_a_thread_leaves_the_time_to_send_the_headers():
    """A request must be read however long it has waited."""
    with harness.GatewayStack(serve_slowly, threads=1, sender_s=0.3) as proxy:
        with proxy.connect() as first, proxy.connect() as second:
            first.sendall(make_slow_request(b'first', 2000))
            time.sleep(0.05)
            second.sendall(make_slow_request(b'second', 2000))
            assert second.recv(4096).endswith(b'hello')


def test_idempotency_key_is_finished_and_unspent_token_returned(stack):
    """Without the report the key would count as running forever."""
    stack.admission.finished.clear()
    stack.admission.returned.clear()
    stack.send_raw(b'POST /r/x HTTP/1.1\r\nIdempotency-Key: k1')
    assert wait_for(lambda: stack.admission.finished == [errors.RAN])
    original_ask_permit = stack.admission.ask_permit
    stack.admission.ask_permit = lambda *_: harness.actions.AdmissionDenied(
        'pool_busy'
    )
    data = stack.send_raw(b'POST /r/x HTTP/1.1\r\nIdempotency-Key: k2')
    stack.admission.ask_permit = original_ask_permit
    assert b'Retry-After: 1' in data
    assert wait_for(lambda: errors.NOT_RUN in stack.admission.finished)
    assert len(stack.admission.returned) == 1


def test_incomplete_head_closes_the_connection(stack):
    """Port scans and broken callers must not raise in a thread."""
    for data in (b'', b'GET', GET + b'\r\nHost'):
        with stack.connect() as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            harness.read_all(sock)
    assert b'200 OK' in stack.send_raw(GET)


@pytest.mark.parametrize('has_second', [True, False])
def test_unresponsive_server_keeps_its_request_until_replaced(has_second):
    """The exchange stays open until a second attempt is granted."""
    response_numbers = []

    def serve(server, sock, number):
        server.read_head(sock)
        if number == 1:
            time.sleep(0.4)
        with contextlib.suppress(OSError):
            sock.sendall(HELLO)
            response_numbers.append(number)

    with harness.GatewayStack(serve) as proxy:
        original = proxy.admission.ask_permit

        def ask_permit(action, request_id, is_answered):
            if action.is_repeat and not has_second:
                return actions.AdmissionDenied('repeats_spent')
            permit = original(action, request_id, is_answered)
            timeout = datetime.timedelta(milliseconds=100)
            return permit._replace(first_byte_timeout=timeout)

        proxy.admission.ask_permit = ask_permit
        began = time.monotonic()
        data = proxy.send_raw(GET)
        took = time.monotonic() - began
        assert b'hello' in data
        if has_second:
            assert took < 0.35
            assert proxy.admission.reports == ['silent', 'ok']
        else:
            assert took >= 0.35
            assert proxy.admission.reports == ['ok']
            # The server's thread records a response after it was sent.
            assert wait_for(lambda: response_numbers)
            assert response_numbers == [1]


def send_body(proxy, *blocks, length=4):
    """Send a request whose body arrives in blocks; return the response."""
    head = POST + b'\r\nConnection: close'
    with proxy.connect() as sock:
        sock.sendall(head + b'\r\nContent-Length: %d\r\n\r\n' % length)
        for block in blocks:
            time.sleep(0.05)
            sock.sendall(block)
        return harness.read_all(sock)


def test_requests_are_told_apart_by_their_bodies():
    """A digest of the head alone would refuse all requests of a route."""
    with harness.GatewayStack(harness.serve_hello, idempotent=True) as proxy:
        ask_permit, digests = proxy.admission.ask_permit, []
        proxy.admission.ask_permit = lambda action, *rest: (
            digests.append(action.digest) or ask_permit(action, *rest)
        )
        for blocks in ((b'abcd',), (b'ab', b'cd'), (b'abce',)):
            assert b'hello' in send_body(proxy, *blocks)
        assert digests[0] == digests[1] != digests[2]
        assert b'HTTP/1.1 408' in send_body(proxy, b'ab')
        assert len(digests) == 3


def test_request_that_runs_once_has_no_digest():
    """Nobody sends it again, and its body is not read in advance."""
    with harness.GatewayStack(harness.serve_hello) as proxy:
        ask_permit, digests = proxy.admission.ask_permit, []
        proxy.admission.ask_permit = lambda action, *rest: (
            digests.append(action.digest) or ask_permit(action, *rest)
        )
        assert b'hello' in send_body(proxy, b'abcd')
        assert digests == [b'']


@pytest.mark.parametrize('report', ['report_permit', 'report_overdue'])
def test_fault_in_a_report_ends_no_request(report):
    """The first server is at work and answers."""

    def serve(server, sock, number):
        server.read_head(sock)
        if number == 1:
            time.sleep(0.6)
            sock.sendall(HELLO)

    with harness.GatewayStack(serve) as proxy:
        original = proxy.admission.ask_permit

        def ask_permit(action, request_id, is_answered):
            permit = original(action, request_id, is_answered)
            timeout = datetime.timedelta(milliseconds=100)
            return permit._replace(first_byte_timeout=timeout)

        proxy.admission.ask_permit = ask_permit
        setattr(proxy.admission, report, lambda *_: 1 // 0)
        assert b'hello' in proxy.send_raw(GET)
