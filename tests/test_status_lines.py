"""Guard against answers whose status is no final status of HTTP.

Real instances meet backend servers that send them as raw bytes.
"""

import itertools
import json
import re
import socket
import threading
import time
from typing import NamedTuple

import harness
import pytest

from cranberryscale.connection import peer_frames
from cranberryscale.connection import peers
from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.platform import store
from standins import machines


KEY = 'key-of-t1-0001'
MARK = b'bytes-of-the-faulty-server'
REQUEST_BODY = b'x' * 1000000
INTERIM_PAUSE_S = 0.02
# Longer than the deadlines of all requests.
CLOSE_TIMEOUT_S = 3.0
REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))
STATUS_LINES = {
    'zero': b'HTTP/1.1 000 OK',
    'zero-alone': b'HTTP/1.1 000',
    'below-100': b'HTTP/1.1 099 OK',
    'leading-zero': b'HTTP/1.1 0200 OK',
    'two-digits': b'HTTP/1.1 20 OK',
    'four-digits': b'HTTP/1.1 2000 OK',
    'six-hundred': b'HTTP/1.1 600 OK',
    'largest': b'HTTP/1.1 999 OK',
    'plus': b'HTTP/1.1 +200 OK',
    'minus': b'HTTP/1.1 -200 OK',
    'underscore': b'HTTP/1.1 2_00 OK',
    'fraction': b'HTTP/1.1 200.0 OK',
    'second-space': b'HTTP/1.1  200 OK',
    'tab': b'HTTP/1.1\t200 OK',
    'leading-space': b' HTTP/1.1 200 OK',
    'letters': b'HTTP/1.1 2OO OK',
    'arabic-digits': 'HTTP/1.1 \u0662\u0660\u0660 OK'.encode(),
    'superscript': b'HTTP/1.1 2\xb2\xb2 OK',
    'no-status': b'HTTP/1.1',
    'no-status-but-space': b'HTTP/1.1 ',
    'reason-only': b'HTTP/1.1 OK',
    'switching': b'HTTP/1.1 101 Switching Protocols',
    'version-2': b'HTTP/2.0 200 OK',
    'version-2-short': b'HTTP/2 200 OK',
    'version-0.9': b'HTTP/0.9 200 OK',
    'version-1.2': b'HTTP/1.2 200 OK',
    'version-1.10': b'HTTP/1.10 200 OK',
    'version-1': b'HTTP/1 200 OK',
    'lower-case': b'http/1.1 200 OK',
    'other-protocol': b'ICY 200 OK',
    'headers-only': b'X-First: 1',
    'nul': b'HTTP/1.1 200 O\0K',
    'nul-for-space': b'HTTP/1.1\x00200 OK',
    'control': b'HTTP/1.1 200 O\x1bK',
    'carriage-return': b'HTTP/1.1 200 O\rK',
    'folded': b'HTTP/1.1 200 OK\r\n and more',
    'line-feed-alone': b'HTTP/1.1 200 OK\nX-A: b',
    'empty-line-first': b'\r\nHTTP/1.1 200 OK',
    'byte-order-mark': b'\xef\xbb\xbfHTTP/1.1 200 OK',
}
INTERIM_STATUSES = (b'100', b'102', b'103', b'199')


class Fault(NamedTuple):
    """Bytes that a server sends for a request.

    The head has a body, or with `is_followed` a proper answer behind it. Then
    the server sends `repeated` until the connection is closed, or closes it
    itself with `closes`.
    """

    status_line: bytes
    closes: bool = False
    is_followed: bool = False
    repeated: bytes = b''
    pause_s: float = 0.0

    def make_bytes(self, head):
        """Return the first bytes, framed like a whole answer."""
        head_lines = self.status_line + b'\r\n' + find_id_line(head)
        if self.is_followed:
            return head_lines + b'\r\n' + make_answer(head, MARK, MARK)
        if self.closes or self.repeated:
            return head_lines + b'X-Upstream-Seal: %b\r\n\r\n' % MARK
        return make_answer(head, MARK, MARK, self.status_line)


def find_id_line(head):
    return re.search(rb'X-Request-Id: .*\r\n', head)[0]


def make_answer(head, seal, body, status_line=b'HTTP/1.1 200 OK'):
    return (
        b'%b\r\nX-Upstream-Seal: %b\r\n' % (status_line, seal)
        + find_id_line(head)
        + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    )


PROCESSING = b'HTTP/1.1 102 Processing\r\nX-A: %b\r\n\r\n' % MARK
FAULTS = {
    **{name: Fault(line) for name, line in STATUS_LINES.items()},
    **{
        f'{status.decode()}-and-end': Fault(
            b'HTTP/1.1 %b Interim' % status, True
        )
        for status in INTERIM_STATUSES
    },
    **{
        f'{status.decode()}-and-answer': Fault(
            b'HTTP/1.1 %b Status' % status, is_followed=True
        )
        for status in (b'000', b'099', b'101', b'0100', b'600')
    },
    'interim-without-end': Fault(b'HTTP/1.1 100 C', repeated=PROCESSING),
    'slow-interim-without-end': Fault(
        b'HTTP/1.1 100 C', repeated=PROCESSING, pause_s=INTERIM_PAUSE_S
    ),
}


class Arrival(NamedTuple):
    """A request at a server; `place` counts those of its connection."""

    request_id: str
    place: int


class FaultyServer:
    """A server that sends the fault that a request's path names.

    Requests that arrive again and all other paths get a proper answer.
    `surplus` holds what arrived on a connection after a fault, and
    `open_connections` counts those that were not closed then.
    """

    def __init__(self, name, arrivals):
        self.name = name
        self.arrivals = arrivals
        self.surplus = []
        self.open_connections = 0
        self.pending = 0
        self._server = harness.FakeServer(self._serve)
        self.address = self._server.address

    def _serve(self, server, sock, number):
        for place in itertools.count(1):
            head = server.read_head(sock)
            if not head:
                return
            request_id = find_id_line(head).split()[1].decode()
            is_again = any(a.request_id == request_id for a in self.arrivals)
            self.arrivals.append(Arrival(request_id, place))
            fault = FAULTS.get(head.split()[1].decode().split('/')[2])
            if fault is not None and not is_again:
                self._send_fault(sock, fault, head)
                return
            body = find_id_line(head).split()[1]
            sock.sendall(make_answer(head, self.name.encode(), body))

    def _send_fault(self, sock, fault, head):
        self.pending += 1
        try:
            sock.sendall(fault.make_bytes(head))
            until = time.monotonic() + CLOSE_TIMEOUT_S
            while fault.repeated and time.monotonic() < until:
                sock.sendall(fault.repeated)
                time.sleep(fault.pause_s)
            if not fault.closes:
                sock.settimeout(CLOSE_TIMEOUT_S)
                self._watch_end(sock)
        finally:
            self.pending -= 1

    def _watch_end(self, sock):
        try:
            while data := sock.recv(4096):
                self.surplus.append(data)
        except TimeoutError:
            self.open_connections += 1


class Caller:
    """A connection of a caller to an instance."""

    def __init__(self, address):
        host, port = address.split(':')
        self._sock = socket.create_connection((host, int(port)), 5)
        self._stream = self._sock.makefile('rb')

    def send(self, path, method='GET', deadline_ms=2000, request_body=b''):
        """Send a request; return its id, the status, the head and the body."""
        request_id = next(REQUEST_IDS)
        self._sock.sendall(
            (
                f'{method} {path} HTTP/1.1\r\nHost: {machines.HOST}\r\n'
                f'X-Request-Id: {request_id}\r\n'
                f'X-Deadline-Ms: {deadline_ms}\r\n'
                f'Authorization: Bearer {KEY}\r\n'
                f'Content-Length: {len(request_body)}\r\n\r\n'
            ).encode()
            + request_body
        )
        head = b''.join(iter(self._stream.readline, b'\r\n'))
        status = re.match(rb'HTTP/1.1 ([2-5][0-9]{2}) ', head)
        length = re.search(rb'(?i)\r\ncontent-length: (\d+)\r\n', head)
        assert status and length, head
        body = self._stream.read(int(length[1]))
        return request_id, int(status[1]), head, body

    def has_more(self):
        """Return whether bytes arrive that no request has asked for."""
        self._sock.settimeout(0.01)
        try:
            return bool(self._stream.peek(1))
        except TimeoutError:
            return False

    def close(self):
        self._sock.close()


def make_entry(server, service):
    return json.dumps(
        {
            'address': server.address,
            'born': 1,
            'info': {
                'service': service,
                'version': 'v1',
                'zone': 'a',
                'slots': 6,
            },
            'status': {'state': 'ready', 'sequence': 1, 'warmup-left': '0ms'},
        }
    ).encode()


@pytest.fixture(scope='module')
def faulty(tmp_path_factory):
    """Start an instance whose services have only faulty servers.

    The services x and y have two each; requests for y run once.
    """
    arrivals = []
    servers = [FaultyServer(f'f-{n}', arrivals) for n in range(4)]
    folder = tmp_path_factory.mktemp('status')
    with machines.FleetEnvironment(folder, 1, servers=0) as fleet:
        for server, service in zip(servers, 'xxyy', strict=True):
            fleet.store.put(
                f'servers/{server.name}', make_entry(server, service)
            )
        address = fleet.instances[0].addresses['callers']
        fleet.wait_for(
            lambda: all(
                machines.send_request(address, path, next(REQUEST_IDS), KEY)[0]
                == 200
                for path in ('/read/good', '/book/good')
            )
        )
        yield fleet, servers, arrivals


def check_next_request(caller, path):
    request_id, status, head, body = caller.send(path)
    assert (status, body) == (200, request_id.encode()), (head, body)


def check_connections(servers):
    """Check that no connection was used after a fault."""
    until = time.monotonic() + 2 * CLOSE_TIMEOUT_S
    while any(s.pending for s in servers) and time.monotonic() < until:
        time.sleep(0.02)
    surplus = [data for server in servers for data in server.surplus]
    open_connections = sum(server.open_connections for server in servers)
    for server in servers:
        server.surplus.clear()
        server.open_connections = 0
    assert not surplus
    assert not open_connections


def list_arrivals(arrivals, request_id):
    return [a for a in arrivals if a.request_id == request_id]


@pytest.mark.parametrize('name', FAULTS)
def test_run_once_request_is_answered_as_unknown_and_not_repeated(
    faulty, name
):
    """The request may have run, so neither a repeat nor "not run" is safe."""
    fleet, servers, arrivals = faulty
    caller = Caller(fleet.instances[0].addresses['callers'])
    check_next_request(caller, '/book/good')
    request_id, status, head, body = caller.send(
        f'/book/{name}', 'POST', deadline_ms=400
    )
    assert status in (502, 504), (head, body)
    assert MARK not in head + body
    assert b'x-upstream-seal' not in head.lower()
    assert json.loads(body)['ran'] == 'unknown'
    check_next_request(caller, '/book/good')
    assert not caller.has_more()
    caller.close()
    assert len(list_arrivals(arrivals, request_id)) == 1
    check_connections(servers)


@pytest.mark.parametrize(
    'name', ['zero', 'leading-zero', 'switching', '000-and-answer']
)
def test_fault_before_the_end_of_the_body_is_answered_as_unknown(faulty, name):
    """The server does not read the body, which is longer than its buffers."""
    fleet, servers, arrivals = faulty
    address = fleet.instances[0].addresses['callers']
    caller = Caller(address)
    request_id, status, head, body = caller.send(
        f'/book/{name}', 'POST', 1000, REQUEST_BODY
    )
    caller.close()
    assert status == 502, (head, body)
    assert MARK not in head + body
    assert json.loads(body)['ran'] == 'unknown'
    assert len(list_arrivals(arrivals, request_id)) == 1
    # What the server has not read of the body is all that comes.
    until = time.monotonic() + 2 * CLOSE_TIMEOUT_S
    while any(s.pending for s in servers) and time.monotonic() < until:
        time.sleep(0.02)
    for server in servers:
        assert not b''.join(server.surplus).strip(REQUEST_BODY[:1])
        server.surplus.clear()
    check_connections(servers)
    caller = Caller(address)
    check_next_request(caller, '/book/good')
    caller.close()


def test_idempotent_request_is_answered_by_another_server_or_fails(faulty):
    """Guards the answer of the second server, and its number of attempts."""
    fleet, servers, arrivals = faulty
    statuses, places = [], []
    for name in FAULTS:
        caller = Caller(fleet.instances[0].addresses['callers'])
        # Earns the right to repeat a request.
        for _ in range(12):
            check_next_request(caller, '/read/good')
        request_id, status, head, body = caller.send(
            f'/read/{name}', deadline_ms=800
        )
        statuses.append(status)
        assert MARK not in head + body, name
        if status == 200:
            assert body == request_id.encode()
        else:
            assert status in (502, 504), (name, head, body)
            assert b'x-upstream-seal' not in head.lower()
        found = list_arrivals(arrivals, request_id)
        assert 1 <= len(found) <= 2
        places.append(found[0].place)
        check_next_request(caller, '/read/good')
        assert not caller.has_more()
        caller.close()
    assert statuses.count(200) > len(statuses) / 2
    # Most faults came on connections that were kept after earlier requests.
    assert places.count(1) < len(places) / 2
    check_connections(servers)


def test_instance_goes_on_while_the_store_sends_no_status(faulty):
    """Guards the reader, which must neither end nor forget what it knows."""
    fleet, _, _ = faulty
    caller = Caller(fleet.instances[0].addresses['callers'])
    fleet.store.refusal_status = 999
    calls = fleet.store.calls
    fleet.wait_for(lambda: fleet.store.calls >= calls + 3, 8)
    check_next_request(caller, '/read/good')
    fleet.store.refusal_status = 0
    route = ['r3', machines.HOST, '/more/', 'idempotent', '2s', '500ms', 2, 2]
    fleet.store.put(
        'op/config',
        machines.encode_configuration(
            2, fleet.keys, more_routes=[[*route, 'x']]
        ),
    )
    fleet.wait_for(lambda: caller.send('/more/good')[1] == 200, 5)
    caller.close()
    assert fleet.instances[0].process.poll() is None
    log = fleet.instances[0].log_path.read_text()
    assert 'platform_unavailable' in log
    assert 'loop_fault' not in log


STORE_BODY = b'{"items":[],"events":[],"has-more":false,"current-rev":5}'
STORE_FAULTS = {
    name: fault for name, fault in FAULTS.items() if not fault.closes
}


def make_store(serve):
    server = harness.FakeServer(serve)
    return server, store.StoreClient(server.address)


def serve_store(status_line):
    def serve(server, sock, number):
        while server.read_head(sock):
            sock.sendall(
                b'%b\r\nContent-Length: %d\r\n\r\n%b'
                % (status_line, len(STORE_BODY), STORE_BODY)
            )

    return serve


def test_proper_response_of_the_store_is_read():
    server, client = make_store(serve_store(b'HTTP/1.1 200 OK'))
    for _ in range(3):
        assert client.read_all().revision == 5
        assert client.wait_for_changes(1, harness.SECOND).revision == 5
    assert server.connections == 1
    server.close()


@pytest.mark.parametrize('name', STORE_FAULTS)
def test_status_of_the_store_that_is_none_is_a_typed_error(name):
    """Guards against entries of a response that http.client would accept."""
    server, client = make_store(serve_store(STORE_FAULTS[name].status_line))
    for read in (
        client.read_all,
        lambda: client.wait_for_changes(1, harness.SECOND / 10),
    ):
        with pytest.raises(errors.ConfigurationError, match='platform_'):
            read()
    assert server.connections == 2
    server.close()


@pytest.mark.parametrize('pause_s', [0.0, INTERIM_PAUSE_S])
@pytest.mark.parametrize(
    'piece', [b'HTTP/1.1 100 Continue\r\n\r\n', b'HTTP/1.1 102 P\r\n\r\n']
)
def test_interim_responses_of_the_store_are_bounded_in_time(
    piece, pause_s, monkeypatch
):
    """http.client skips responses with the status 100 without end."""
    monkeypatch.setattr(store, 'RESPONSE_TIMEOUT', harness.SECOND / 4)
    stopped = threading.Event()

    def serve(server, sock, number):
        server.read_head(sock)
        while not stopped.wait(pause_s):
            sock.sendall(piece)

    server, client = make_store(serve)
    caught = []

    def read():
        try:
            client.read_all()
        except errors.ConfigurationError as error:
            caught.append(error.code)

    thread = threading.Thread(target=read, daemon=True)
    thread.start()
    thread.join(2)
    is_stuck = thread.is_alive()
    stopped.set()
    server.close()
    assert not is_stuck
    assert caught[0].startswith('platform_')


def make_frame(kind, flags, stream, payload=b''):
    return (
        len(payload).to_bytes(3, 'big')
        + bytes((kind, flags))
        + stream.to_bytes(4, 'big')
        + payload
    )


def make_field(name, value):
    """Return a literal header field of HPACK, not indexed."""
    return b'\0%c%b%c%b' % (len(name), name, len(value), value)


def serve_status_over_http2(status):
    """Answer a call with a status, a message and the code 0 of gRPC."""
    headers = make_field(b':status', status)
    headers += make_field(b'content-type', b'application/grpc')

    def serve(server, sock, number):
        sock.recv(65536)
        sock.sendall(make_frame(4, 0, 0) + make_frame(4, 1, 0))
        time.sleep(0.05)
        sock.sendall(
            make_frame(1, 4, 1, headers)
            + make_frame(0, 0, 1, b'\0\0\0\0\1x')
            + make_frame(1, 5, 1, make_field(b'grpc-status', b'0'))
        )
        while sock.recv(65536):
            pass

    return serve


def serve_bytes(data):
    def serve(server, sock, number):
        sock.recv(65536)
        sock.sendall(data)
        sock.recv(65536)

    return serve


@pytest.mark.parametrize(
    'serve,code',
    [
        (serve_bytes(b'HTTP/1.1 000 OK\r\n\r\n'), 'peer_unreachable'),
        (serve_bytes(b'HTTP/1.1 200 OK\r\n\r\n'), 'peer_unreachable'),
        (serve_status_over_http2(b'000'), 'peer_unreachable'),
        (serve_status_over_http2(b'600'), 'peer_unreachable'),
        (serve_status_over_http2(b'+20'), 'peer_unreachable'),
        # The message after a proper status is read, and is none.
        (serve_status_over_http2(b'200'), 'message_undecodable'),
    ],
    ids=['000', '200', 'http2-000', 'http2-600', 'http2-plus', 'http2-200'],
)
def test_status_of_another_instance_that_is_none_is_a_typed_error(serve, code):
    """Guards against a reply that another status than 200 comes with."""
    server = harness.FakeServer(serve)
    client = peers.PeerClient(peer_frames.Signer('i1', 1, 'secret'))
    message = messages.PullChanges(1)
    with pytest.raises(errors.PeerError) as caught:
        client.call('i2', server.address, message, harness.SECOND)
    assert caught.value.code == code
    client.close()
    server.close()
