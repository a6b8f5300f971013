"""Guard instances against crowds of callers that do not behave.

Each test starts one instance whose limits are low, so that a small crowd is
enough, and checks what does not depend on the speed of the machine: that the
process lives within its memory and descriptors, and that an ordinary request
and the readiness check are answered while the crowd stays connected.
"""

import contextlib
import itertools
import json
import os
import re
import socket
import time
from typing import NamedTuple

import pytest

from cranberryscale import errors
from standins import machines


KEY = 'key-of-t1-0001'
MEMORY_MB = 110
MAX_FDS = 600
# Of sockets of callers and of pages, beside those of a calm process.
MAX_MORE_FDS = 150
LIMITS = {
    'header_bytes': 65536,
    'body_bytes': 64 * 1024 * 1024,
    'threads': 40,
    'queued_connections': 80,
    'stall_s': 0.5,
}
MAX_BODY_BYTES = 32 * 1024 * 1024
CROWD_S = 2.0
# Bounds a test that fails; no check measures time.
PATIENCE_S = 10.0
RETRY_S = 0.1
BLOCK = b'x' * 65536
# Where a crowd sends its requests: listener, path and method.
PLACES = {
    'route': ('callers', '/read/1', 'POST'),
    'no route': ('callers', '/nowhere/1', 'POST'),
    'ready': ('health', '/cranberryscale/ready', 'POST'),
}
PROMISES_NOT_RUN = {b'408', b'421', b'429', b'503'}
REFUSAL = re.compile(
    rb'HTTP/1.1 (\d+) [^{}]*?\r\n\r\n(\{"code": [^{}]*\})', re.S
)
REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))


class Form(NamedTuple):
    """What each caller of a crowd sends.

    `head` is added to the request line and host, `pieces` make the rest:
    each is sent as often as its number says. `pause_s` passes between sends,
    `reads` is whether answers are read, `callers` the size of the crowd.
    """

    head: bytes
    pieces: tuple[tuple[bytes, int], ...] = ()
    callers: int = 64
    pause_s: float = 0.0
    reads: bool = True


def make_id(name):
    return name.replace(' ', '-')


def make_fields(count):
    return b''.join(b'%x:\r\n' % n for n in range(0x1000, 0x1000 + count))


MIB = 1024 * 1024
ONE_SHORT = (BLOCK, 63), (BLOCK[1:], 1)
FORMS = {
    'whole body that stops short': Form(
        b'Content-Length: %d\r\n\r\n' % (4 * MIB), ONE_SHORT
    ),
    'small pieces that stop short': Form(
        b'Content-Length: 60000\r\n\r\n', ((b'xy', 4000),)
    ),
    'small chunks that stop short': Form(
        b'Transfer-Encoding: chunked\r\n\r\n',
        ((b'2\r\nxy\r\n' * 1000, 12),),
    ),
    'large chunks that stop short': Form(
        b'Transfer-Encoding: chunked\r\n\r\n',
        ((b'10000\r\n' + BLOCK + b'\r\n', 64),),
    ),
    'length over the limit': Form(
        b'Content-Length: %d\r\n\r\n' % 10**9, ((BLOCK, 1000),)
    ),
    'chunks over the limit': Form(
        b'Transfer-Encoding: chunked\r\n\r\n',
        ((b'10000\r\n' + BLOCK + b'\r\n', 1000),),
    ),
    'chunk over the limit': Form(
        b'Transfer-Encoding: chunked\r\n\r\nfffffff\r\n', ((BLOCK, 1000),)
    ),
    'many fields': Form(
        make_fields(9000) + b'Content-Length: 9\r\n\r\n', ((b'x', 8),)
    ),
    'field without end': Form(b'X-Filler: ', ((BLOCK, 1000),)),
    'fields without end': Form(b'', ((b'a:\r\n' * 16384, 200),)),
    'requests ahead without reading': Form(
        b'Content-Length: 0\r\n\r\n', ((b'', 20000),), reads=False
    ),
    'head that stops half-way': Form(b'X-Filler: x'),
    'head sent slowly': Form(b'X-Filler: ', ((b'x', 1000),), pause_s=0.05),
    'body sent slowly': Form(
        b'Content-Length: 60000\r\n\r\n', ((b'x', 1000),), pause_s=0.05
    ),
    'answer read by nobody': Form(
        b'Content-Length: %d\r\n\r\n' % MIB, ((BLOCK, 16),), reads=False
    ),
    'few bodies that hold a server': Form(
        b'Content-Length: 100000\r\n\r\n', ((b'xy', 10),), callers=20
    ),
    'nothing sent': Form(b'', callers=200),
}


class Caller:
    """One caller of a crowd; comes back for a while when it is closed."""

    def __init__(self, address, path, method, form):
        host, port = address.split(':')
        self._address = (host, int(port))
        self._form = form
        self._request = b'%b %b HTTP/1.1\r\nHost: %b\r\n' % (
            method.encode(),
            path.encode(),
            machines.HOST.encode(),
        )
        self._request += b'Authorization: Bearer %b\r\n' % KEY.encode()
        self._request += b'X-Deadline-Ms: 60000\r\n'
        self.sock = None
        self.received = b''
        self.connect()

    def connect(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if not self._form.reads:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.sock.settimeout(1.0)
        with contextlib.suppress(OSError):
            self.sock.connect(self._address)
        self.sock.setblocking(False)
        self._parts = self._make_parts()
        self._pending = b''
        self._due = 0.0
        self.is_done = False

    def _make_parts(self):
        """Yield what is sent; requests ahead repeat the whole request."""
        if not self._form.head and not self._form.pieces:
            return
        head = self._request + self._form.head
        yield head
        for piece, count in self._form.pieces:
            for _ in range(count):
                yield piece or head

    def advance(self, now):
        """Send and receive what is possible without waiting."""
        if self._form.reads and not self._receive():
            self.close()
            if now < self._due:
                return
            self.connect()
        if now < self._due:
            return
        try:
            for _ in range(64):
                if not self._pending:
                    self._pending = next(self._parts, b'')
                    if not self._pending:
                        self.is_done = True
                        return
                sent = self.sock.send(self._pending)
                self._pending = self._pending[sent:]
                if self._form.pause_s:
                    self._due = now + self._form.pause_s
                    return
        except BlockingIOError:
            pass
        except OSError:
            self._receive()
            self.close()
            self._due = now + RETRY_S
            self.connect()

    def _receive(self):
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self.received = (self.received + data)[-65536:]
        return bool(data)

    def close(self):
        self.sock.close()


def play_crowd(crowd, until):
    """Let the crowd send until the time is over; it stays connected."""
    while time.monotonic() < until:
        for caller in crowd:
            caller.advance(time.monotonic())
        time.sleep(0.002)


def read_status_mb(pid, name):
    with open(f'/proc/{pid}/status') as status:
        match = re.search(rf'{name}:\s+(\d+) kB', status.read())
    return int(match[1]) / 1024


def count_descriptors(pid):
    return len(os.listdir(f'/proc/{pid}/fd'))


def store_limits(fleet):
    """Write a configuration that allows large bodies and long requests."""
    text = machines.encode_configuration(2, fleet.keys, timeout='20s')
    configuration = json.loads(text)
    configuration['limits']['max-body-bytes'] = MAX_BODY_BYTES
    configuration['limits']['max-header-bytes'] = 65536
    fleet.store.put('op/config', json.dumps(configuration).encode())


@pytest.fixture
def guarded(tmp_path):
    """Start an instance with low limits."""
    fleet = machines.FleetEnvironment(tmp_path, instances=1, servers=1)
    store_limits(fleet)
    for server in fleet.servers:
        server.slots = 64
        fleet.store.put(f'servers/{server.name}', server.make_entry())
    (instance,) = fleet.instances
    instance.machine = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS}
    instance.limits = LIMITS
    with fleet:
        yield fleet


def send_ordinary(instance):
    return machines.send_request(
        instance.addresses['callers'], '/read/2', next(REQUEST_IDS), KEY
    )[0]


def check_refusals(fleet, received):
    """Check that no request ran whose refusal says that it did not."""
    executed = {request.request_id for request in fleet.executed}
    for status, body in REFUSAL.findall(received):
        refusal = json.loads(body)
        if status in PROMISES_NOT_RUN:
            assert refusal['ran'] == errors.NOT_RUN, refusal
        if refusal['ran'] == errors.NOT_RUN:
            assert refusal['request_id'] not in executed, refusal


@pytest.mark.parametrize('place', PLACES, ids=make_id)
@pytest.mark.parametrize('form', FORMS, ids=make_id)
def test_crowd_costs_neither_process_nor_other_callers(guarded, form, place):
    (instance,) = guarded.instances
    pid = instance.process.pid
    listener, path, method = PLACES[place]
    assert send_ordinary(instance) == 200
    calm_mb = read_status_mb(pid, 'VmHWM')
    calm_descriptors = count_descriptors(pid)
    address = instance.addresses[listener]
    crowd = [
        Caller(address, path, method, FORMS[form])
        for _ in range(FORMS[form].callers)
    ]
    until = time.monotonic() + PATIENCE_S
    descriptors, statuses, is_ready = 0, [], False
    play_crowd(crowd, time.monotonic() + CROWD_S)
    while time.monotonic() < until and instance.process.poll() is None:
        descriptors = max(descriptors, count_descriptors(pid))
        statuses.append(send_ordinary(instance))
        is_ready = instance.is_ready()
        if statuses[-1] == 200 and is_ready:
            break
        play_crowd(crowd, time.monotonic() + RETRY_S)
    assert instance.process.poll() is None
    peak_mb = read_status_mb(pid, 'VmHWM')
    print(
        f'calm_mb={calm_mb:.0f} peak_mb={peak_mb:.0f}',
        f'calm_descriptors={calm_descriptors} descriptors={descriptors}',
        f'statuses={statuses} is_ready={is_ready}',
    )
    for caller in crowd:
        caller.close()
        check_refusals(guarded, caller.received)
    assert peak_mb < MEMORY_MB
    assert descriptors < calm_descriptors + MAX_MORE_FDS
    assert statuses[-1] == 200
    assert is_ready


def receive_status(sock):
    """Return the status of the first response, 0 without one."""
    match = re.match(rb'HTTP/1.1 (\d+)', sock.recv(65536))
    return int(match[1]) if match else 0


# Requests inside the limits, and the status that they get at each place.
CALM_FORMS = {
    'many fields': (make_fields(9000) + b'Content-Length: 0\r\n\r\n', b''),
    'large body': (
        b'Content-Length: %d\r\n\r\n' % MAX_BODY_BYTES,
        b'x' * MAX_BODY_BYTES,
    ),
    'small chunks': (
        b'Transfer-Encoding: chunked\r\n\r\n',
        b'2\r\nxy\r\n' * 2000 + b'0\r\n\r\n',
    ),
}
CALM_STATUSES = {'no route': 404, 'ready': 200}


def test_single_request_inside_the_limits_is_served(guarded):
    """The limits of sums must not keep one caller from its own limits."""
    (instance,) = guarded.instances
    for place, status in CALM_STATUSES.items():
        for form, (head, body) in CALM_FORMS.items():
            listener, path, method = PLACES[place]
            host, port = instance.addresses[listener].split(':')
            request = f'{method} {path} HTTP/1.1\r\nHost: {machines.HOST}\r\n'
            with socket.create_connection((host, int(port)), 3) as sock:
                sock.sendall(request.encode() + head)
                # The answer may come before the body was sent.
                with contextlib.suppress(OSError):
                    sock.sendall(body)
                assert receive_status(sock) == status, (place, form)
    body = b'x' * MAX_BODY_BYTES
    status, _, answer = machines.send_request(
        instance.addresses['callers'],
        '/read/1',
        next(REQUEST_IDS),
        KEY,
        'POST',
        body,
        deadline_ms=9000,
    )
    assert status == 200
    assert answer.endswith(body)
    assert read_status_mb(instance.process.pid, 'VmHWM') < MEMORY_MB


def test_slow_caller_is_served_while_no_other_one_waits(guarded):
    """A least pace that always applied would meet callers inside the limits.

    This one takes four times as long as the limit for stalled callers.
    """
    (instance,) = guarded.instances
    host, port = instance.addresses['callers'].split(':')
    request = f'POST /read/1 HTTP/1.1\r\nHost: {machines.HOST}\r\n'
    request += f'Authorization: Bearer {KEY}\r\nContent-Length: 4\r\n\r\n'
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for part in (request[:9], request[9:40], request[40:], 'ab', 'cd'):
            sock.sendall(part.encode())
            time.sleep(LIMITS['stall_s'])
        assert receive_status(sock) == 200
