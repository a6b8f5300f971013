"""Guard the gateway over real sockets, against hostile and broken peers."""

import contextlib
import datetime
import json
import socket
import threading
import time
import tracemalloc

from absl import logging
import harness
import pytest

from cranberryscale import errors
from cranberryscale.request import actions

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
    with harness.GatewayStack(harness.serve_hello) as made:
        yield made


def wait_for_end(server, sock, number):
    server.read_head(sock)
    while sock.recv(100):
        pass


@pytest.fixture(scope='module')
def sink():
    """Give a server that never answers before the body has ended."""
    with harness.GatewayStack(wait_for_end) as made:
        yield made


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
def test_doubtful_request_is_refused_and_never_forwarded(stack, name):
    """Two readings of one message let a caller hide a second request."""
    before = len(stack.server.received)
    data = stack.send_raw(SMUGGLING[name] + b'\r\n\r\n' + GET, head=False)
    status, answer = parse(data.partition(b'}')[0] + b'}')
    assert status == 400
    assert answer['ran'] == errors.NOT_RUN
    assert answer['code'] in (
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
    status, answer = parse(data)
    assert (status, answer['code']) == (400, 'bad_request')
    assert answer['ran'] == errors.UNKNOWN, 'the head was sent already'


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
def test_limits_and_refusals_are_typed(stack, data, status, code):
    """Callers decide by code and `ran` whether to try again."""
    close = b'\r\nConnection: close\r\n\r\n'
    got, answer = parse(stack.send_raw(data + close, head=False))
    assert (got, answer['code']) == (status, code)
    assert answer['ran'] == errors.NOT_RUN
    assert set(answer) == {'code', 'reason', 'ran', 'request_id'}


def test_pipelined_requests_and_leading_body_bytes_stay_apart(stack):
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


def test_key_appears_in_no_byte_sent_on_and_in_no_log_line(caplog):
    """A backend server or a log reader could act as the customer."""
    logging.set_verbosity(logging.INFO)
    caplog.set_level('DEBUG')
    with harness.GatewayStack(harness.serve_hello) as made:
        for line in (
            b'Cookie: a=1; api_key=' + KEY,
            b'Authorization: Bearer ' + KEY,
            b'Referer: http://h/?api_key=' + KEY,
            b'X-Request-Id: ' + KEY,
            b'X-Copy: ' + KEY,
        ):
            query = b'?api_key=' + KEY + b'&%61pi_key=' + KEY
            head = b'GET /r/x' + query + b' HTTP/1.1\r\n' + line
            assert b'200 OK' in made.send_raw(head)
        made.send_raw(b'GET /none?api_key=' + KEY + b' HTTP/1.1')
        made.send_raw(b'GET /r/' + KEY + b' HTTP/1.1')
        made.send_raw(b'GET /r/x HTTP/1.1\r\nBad ' + KEY)
        assert made.server.received.count(b'GET /r/x HTTP') == 5
        assert KEY not in bytes(made.server.received)
    text = '\n'.join(record.getMessage() for record in caplog.records)
    assert 'event=request ' in text
    assert harness.KEY not in text


def test_slow_sender_times_out_and_silent_ones_hold_no_thread():
    """A few slow callers must not occupy all threads of an instance."""
    with harness.GatewayStack(
        harness.serve_hello, sender_s=0.5, threads=2
    ) as made:
        idle = [made.connect() for _ in range(20)]
        assert b'200 OK' in made.send_raw(GET)
        with made.connect() as sock:
            started = time.monotonic()
            for byte in b'GET /r/x HTT':
                sock.sendall(bytes((byte,)))
                time.sleep(0.1)
                if time.monotonic() - started > 0.6:
                    break
            status, answer = parse(harness.read_all(sock))
        assert (status, answer['code']) == (408, 'request_timeout')
        assert time.monotonic() - started < 1.5
        for sock in idle:
            sock.close()


def serve_silence(server, sock, number):
    server.read_head(sock)
    if not sock.recv(1):
        server.received += b'<closed>'


def test_slow_body_ends_at_the_deadline():
    """A body that never ends must not hold a slot of a server."""
    head = POST + b'\r\nX-Deadline-Ms: 300\r\nContent-Length: 9\r\n\r\nab'
    with harness.GatewayStack(wait_for_end) as made:
        with made.connect() as sock:
            sock.sendall(head)
            status, answer = parse(harness.read_all(sock))
        # 408 would promise that nothing ran.
        assert (status, answer['code']) == (502, 'request_timeout')
        assert answer['ran'] == errors.UNKNOWN
        assert wait_for(lambda: made.admission.reports == ['cancelled'])


@pytest.mark.parametrize('phase', ['waiting', 'reading'])
def test_caller_that_leaves_cancels_the_backend_request(phase):
    """Work for a caller that left takes slots from others."""

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

    with harness.GatewayStack(serve) as made:
        with made.connect() as sock:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
            time.sleep(0.2)
        assert wait_for(lambda: made.outcomes)
        assert made.outcomes[0].code == 'caller_gone'
        assert made.outcomes[0].ran == errors.UNKNOWN
        assert made.admission.reports == ['cancelled']
        if phase == 'waiting':
            assert wait_for(lambda: b'<closed>' in made.server.received)


def test_silent_server_ends_at_the_deadline_and_is_reported():
    """A silent server must neither hold the caller nor stay unseen."""
    with harness.GatewayStack(serve_silence, timeout=SECOND / 2) as made:
        started = time.monotonic()
        status, answer = parse(made.send_raw(b'POST /r/x HTTP/1.1'))
        assert time.monotonic() - started < 1
        assert (status, answer['code']) == (504, 'backend_timeout')
        assert answer['ran'] == errors.UNKNOWN
        assert made.admission.reports == ['silent']


def test_idempotent_request_is_answered_by_a_second_server():
    """One broken server of two must not fail requests that may repeat."""

    def serve(server, sock, number):
        server.read_head(sock)
        if number > 1:
            sock.sendall(HELLO)

    with harness.GatewayStack(serve) as made:
        assert b'hello' in made.send_raw(GET)
        assert made.admission.reports == ['error', 'ok']
        assert made.outcomes[0].attempts == 2


def test_request_that_was_shed_is_sent_again_with_its_body():
    """X-Not-Run says that even a POST may be repeated."""

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

    with harness.GatewayStack(serve) as made:
        data = b'POST /r/x HTTP/1.1\r\nContent-Length: 4\r\n\r\nbody'
        data = data.replace(b'\r\nC', AUTH + b'\r\nConnection: close\r\nC', 1)
        assert b'hello' in made.send_raw(data, head=False)
        assert made.server.received.count(b'\r\n\r\nbody') == 2
        assert made.admission.reports == ['shed', 'ok']


CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
SHORT_CHUNK = CHUNKED_HEAD + b'5\r\nhello\r\n'
# Longer than what is read before the answer begins.
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
def test_truncated_answer_is_visible_to_the_caller(data, version):
    """An answer that looks complete but is not misleads the caller."""
    with harness.GatewayStack(harness.make_serve_once(data)) as made:
        data = made.send_raw(b'GET /r/x HTTP/' + version)
        assert data.endswith(b'<reset>')
        assert not data.endswith(b'0\r\n\r\n')
        assert made.admission.reports == ['truncated']


@pytest.mark.parametrize('version', [b'1.1', b'1.0'])
@pytest.mark.parametrize('data', [SHORT_CHUNK, SHORT_CHUNK + b'0\r\n'])
def test_short_truncated_chunks_become_a_whole_refusal(data, version):
    """Nothing of an answer that is short and cut off reaches a caller."""
    with harness.GatewayStack(harness.make_serve_once(data)) as made:
        status, answer = parse(made.send_raw(b'GET /r/x HTTP/' + version))
        assert (status, answer['code']) == (502, 'answer_truncated')
        assert answer['ran'] == errors.UNKNOWN
        assert set(made.admission.reports) == {'truncated'}


def test_short_truncated_answer_is_replaced():
    """Before a byte went to the caller, another server may still answer."""

    def serve(server, sock, number):
        server.read_head(sock)
        sock.sendall(HELLO if number == 2 else HELLO[:-1])

    with harness.GatewayStack(serve) as made:
        assert made.send_raw(GET).endswith(b'hello')
        assert made.admission.reports == ['truncated', 'ok']
        status, answer = parse(made.send_raw(b'POST /r/x HTTP/1.1'))
        assert (status, answer['code']) == (502, 'answer_truncated')
        assert answer['ran'] == errors.UNKNOWN


def test_caller_that_left_while_waiting_for_a_permit_is_not_served():
    """The queue of a busy pool holds requests whose callers gave up."""
    with harness.GatewayStack(harness.serve_hello) as made:
        ask_permit, left = made.admission.ask_permit, threading.Event()
        made.admission.ask_permit = lambda *a: left.wait(3) and ask_permit(*a)
        with made.connect() as sock:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
        time.sleep(0.1)
        left.set()
        assert wait_for(lambda: made.outcomes)
        assert made.outcomes[0].code == 'caller_gone'
        assert made.outcomes[0].ran == errors.NOT_RUN
        assert made.admission.reports == ['unused']
        assert not made.server.received


def test_crossed_answer_is_dropped():
    """Another request's answer may hold another customer's data."""
    crossed = HELLO.replace(b'C', b'X-Request-Id: other\r\nC', 1)
    with harness.GatewayStack(harness.make_serve_once(crossed)) as made:
        data = made.send_raw(b'POST /r/x HTTP/1.1')
        assert parse(data)[1]['code'] == 'answer_crossed'
        assert b'hello' not in data
        assert made.admission.reports == ['crossed']


@pytest.mark.parametrize(
    'method,status,body',
    [
        (b'HEAD', b'200 OK', b''),
        (b'GET', b'204 No', b''),
        (b'GET', b'304 N', b''),
    ],
)
def test_answers_without_body_keep_the_connection_in_step(
    method, status, body
):
    """Bytes of a body that must not be there would answer the next one."""

    def serve(server, sock, number):
        while head := server.read_head(sock):
            answer = b'HTTP/1.1 ' + status + b'\r\nContent-Length: 5\r\n\r\n'
            sock.sendall(harness.copy_request_id(head, answer))

    with harness.GatewayStack(serve) as made:
        one = method + b' /r/x HTTP/1.1' + AUTH + b'\r\n'
        data = made.send_raw(
            one + b'\r\n' + one + b'Connection: close\r\n\r\n', head=False
        )
        assert data.count(b'HTTP/1.1 ' + status) == 2
        assert data.endswith(b'\r\n\r\n')
        assert (b'Content-Length: 5' in data) == (status != b'204 No')
        assert made.server.connections == 1


def test_large_bodies_stream_with_bounded_memory():
    """Bodies held in memory would end an instance of 256 MiB."""
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
    with harness.GatewayStack(serve, **fields) as made, made.connect() as sock:
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
    """The length of a chunked body is only known while it arrives."""
    data = POST + b'\r\nTransfer-Encoding: chunked\r\n\r\n'
    data += b'ffff\r\n' + b'x' * 65535 + b'\r\n'
    with sink.connect() as sock:
        sock.sendall(data)
        sock.sendall(b'fffff\r\n')
        status, answer = parse(harness.read_all(sock))
    assert (status, answer['code']) == (413, 'body_too_large')
    assert answer['ran'] == errors.UNKNOWN


def test_body_is_asked_for_only_when_it_is_wanted(stack):
    """A refused request must not make the caller send its body."""
    expect = b'\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n'
    with stack.connect() as sock:
        sock.sendall(POST + expect)
        assert sock.recv(100) == b'HTTP/1.1 100 Continue\r\n\r\n'
        sock.sendall(b'ok')
        assert b'200 OK' in sock.recv(1000)
    with stack.connect() as sock:
        sock.sendall(POST.replace(KEY, b'bad') + expect)
        assert harness.read_all(sock).startswith(b'HTTP/1.1 401')


def test_unexpected_fault_is_a_typed_answer_and_a_log_line(caplog):
    """A fault in one request must not end the instance or the count."""
    caplog.set_level('DEBUG')
    with harness.GatewayStack(harness.serve_hello) as made:
        ask_permit = made.admission.ask_permit
        made.admission.ask_permit = lambda *_: 1 // 0
        status, answer = parse(made.send_raw(GET))
        assert (status, answer['code']) == (500, 'internal')
        assert answer['ran'] == errors.NOT_RUN
        made.admission.ask_permit = ask_permit
        made.admission.report_permit = lambda *_: 1 // 0
        assert b'hello' in made.send_raw(GET)
        assert made.gateway.wait_idle(SECOND)
    text = caplog.text
    assert text.count('event=request_fault') == 2
    assert 'kind=ZeroDivisionError' in text


def test_drain_refuses_after_the_leave_time_and_cuts_nothing():
    """A graceful shutdown cuts no request and refuses no named address."""
    release = threading.Event()

    def serve(server, sock, number):
        server.read_head(sock)
        release.wait(3)
        sock.sendall(HELLO)

    with harness.GatewayStack(serve) as made, made.connect() as running:
        running.sendall(GET + AUTH + b'\r\n\r\n')
        assert wait_for(lambda: made.gateway.running == 1)
        made.gateway.drain(harness.CLOCK.read_elapsed() + SECOND / 5)
        with made.connect() as early:
            early.sendall(GET + AUTH + b'\r\n\r\n')
            assert wait_for(lambda: made.gateway.running == 2)
            time.sleep(0.3)
            status, answer = parse(
                made.send_raw(GET + AUTH + b'\r\n\r\n', False)
            )
            assert (status, answer['code']) == (503, 'shutting_down')
            assert not made.gateway.wait_idle(SECOND / 100)
            release.set()
            for sock in (running, early):
                data = harness.read_all(sock)
                assert data.endswith(b'hello')
                assert b'Connection: close' in data
        assert made.gateway.wait_idle(SECOND)


def test_more_requests_than_threads_and_queue_are_refused():
    """An instance at its limit must say so at once and stay alive."""
    with harness.GatewayStack(serve_silence, threads=1) as made:
        made.listener.requests._queue.limit = 1
        socks = [made.connect() for _ in range(6)]
        for sock in socks:
            sock.sendall(GET + AUTH + b'\r\n\r\n')
            time.sleep(0.05)
        time.sleep(0.2)
        refused = 0
        for sock in socks[2:]:
            status, answer = parse(harness.read_all(sock))
            refused += (status, answer['code']) == (503, 'instance_busy')
        assert refused == 4
        for sock in socks:
            sock.close()


def test_once_key_is_finished_and_unspent_token_returned(stack):
    """A lost end leaves the idempotency key running for ever."""
    stack.admission.finished.clear()
    stack.admission.returned.clear()
    stack.send_raw(b'POST /r/x HTTP/1.1\r\nIdempotency-Key: k1')
    assert wait_for(lambda: stack.admission.finished == [errors.RAN])
    permit = stack.admission.ask_permit
    stack.admission.ask_permit = lambda *_: harness.actions.AdmissionDenied(
        'pool_busy'
    )
    data = stack.send_raw(b'POST /r/x HTTP/1.1\r\nIdempotency-Key: k2')
    stack.admission.ask_permit = permit
    assert b'Retry-After: 1' in data
    assert wait_for(lambda: errors.NOT_RUN in stack.admission.finished)
    assert len(stack.admission.returned) == 1


def test_half_sent_head_closes_quietly(stack):
    """Port scans and broken callers must not raise in a thread."""
    for data in (b'', b'GET', GET + b'\r\nHost'):
        with stack.connect() as sock:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            harness.read_all(sock)
    assert b'200 OK' in stack.send_raw(GET)


@pytest.mark.parametrize('has_second', [True, False])
def test_silent_server_keeps_its_request_until_another_takes_it(has_second):
    """The exchange stays open while a second attempt is asked for."""
    answered = []

    def serve(server, sock, number):
        server.read_head(sock)
        if number == 1:
            time.sleep(0.4)
        with contextlib.suppress(OSError):
            sock.sendall(HELLO)
            answered.append(number)

    with harness.GatewayStack(serve) as made:
        original = made.admission.ask_permit

        def ask_permit(action, request_id):
            if action.is_repeat and not has_second:
                return actions.AdmissionDenied('repeats_spent')
            permit = original(action, request_id)
            patience = datetime.timedelta(milliseconds=100)
            return permit._replace(first_byte_timeout=patience)

        made.admission.ask_permit = ask_permit
        began = time.monotonic()
        data = made.send_raw(GET)
        took = time.monotonic() - began
        assert b'hello' in data
        if has_second:
            assert took < 0.35
            assert made.admission.reports == ['silent', 'ok']
        else:
            assert took >= 0.35
            assert made.admission.reports == ['ok']
            assert answered == [1]
