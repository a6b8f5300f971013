"""Guard instances against bytes without end; see docs/reports.md."""

import contextlib
import itertools
import json
import re
import socket
import threading
import time

import harness
import pytest
import test_reports

from cranberryscale import errors
from cranberryscale.platform import store
from standins import machines


KEY = 'key-of-t1-0001'
# Of the smallest machines of the deployments.
MEMORY_LIMIT_MB = 200
FLOOD_S = 2.0
FLOOD_CALLERS = 12
SEALED_HEAD = b'HTTP/1.1 200 OK\r\nX-Upstream-Seal: s\r\n'
ENDLESS_ANSWERS = test_reports.ENDLESS_HEADS | {
    f'{kind} body': (start.replace(test_reports.HEAD, SEALED_HEAD), piece)
    for kind, (start, piece) in test_reports.ENDLESS_BODIES.items()
}
REQUEST_IDS = (f'{n:016x}' for n in itertools.count(1))


def make_entry(address, service):
    """Return the entry of a faulty server in the store."""
    return json.dumps(
        {
            'address': address,
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


def replace_servers(fleet, service, server):
    """Make a faulty server the only one of its service, as a new one."""
    for standin in fleet.servers:
        if standin.service == service:
            fleet.store.remove(f'servers/{standin.name}')
    name = f'servers/f-{next(REQUEST_IDS)}'
    fleet.store.put(name, make_entry(server.address, service))
    time.sleep(1.5)
    return name


def read_peak_memory_mb(instance):
    with open(f'/proc/{instance.process.pid}/status') as status:
        match = re.search(r'VmHWM:\s+(\d+) kB', status.read())
    return int(match[1]) / 1024


class EndlessServer:
    """A server that answers each request without end."""

    def __init__(self):
        self.kind = 'zeros'
        self.requests = 0
        self._server = harness.FakeServer(self._serve)
        self.address = self._server.address

    def _serve(self, server, sock, number):
        head = server.read_head(sock)
        self.requests += 1
        start, piece = ENDLESS_ANSWERS[self.kind]
        sock.sendall(harness.copy_request_id(head, start))
        while True:
            sock.sendall(piece)


@pytest.fixture(scope='module')
def flooded(tmp_path_factory):
    """Start an instance whose service x has only an endless server."""
    server = EndlessServer()
    folder = tmp_path_factory.mktemp('flooded')
    with machines.FleetEnvironment(folder, instances=1) as fleet:
        yield fleet, server


def flood(address, until, reads):
    """Send requests; read their answers, or let them wait unread."""
    host, port = address.split(':')
    while time.monotonic() < until:
        request = (
            f'GET /read/1 HTTP/1.1\r\nHost: {machines.HOST}\r\n'
            f'X-Request-Id: {next(REQUEST_IDS)}\r\nX-Deadline-Ms: 1500\r\n'
            f'Authorization: Bearer {KEY}\r\n\r\n'
        )
        with (
            contextlib.suppress(OSError),
            socket.create_connection((host, int(port)), 1) as sock,
        ):
            sock.settimeout(0.5)
            sock.sendall(request.encode())
            while reads and time.monotonic() < until and sock.recv(65536):
                pass
            time.sleep(0 if reads else 0.5)


@pytest.mark.parametrize('kind', ENDLESS_ANSWERS)
def test_answers_without_end_cost_neither_memory_nor_other_callers(
    flooded, kind
):
    """Guards against a machine that keeps all bytes that a server sends."""
    fleet, server = flooded
    (instance,) = fleet.instances
    server.kind, server.requests = kind, 0
    name = replace_servers(fleet, 'x', server)
    address = instance.addresses['callers']
    until = time.monotonic() + FLOOD_S
    callers = [
        threading.Thread(target=flood, args=(address, until, number % 2))
        for number in range(FLOOD_CALLERS)
    ]
    for caller in callers:
        caller.start()
    statuses = []
    while time.monotonic() < until:
        response = machines.send_request(
            address, '/book/1', next(REQUEST_IDS), KEY, 'POST'
        )
        statuses.append(response[0])
        time.sleep(0.05)
    for caller in callers:
        caller.join()
    fleet.store.remove(name)
    assert instance.process.poll() is None
    assert read_peak_memory_mb(instance) < MEMORY_LIMIT_MB
    assert server.requests > 0
    assert set(statuses) == {200}


def test_response_of_the_store_without_end_is_given_up(monkeypatch):
    """Guards readers of the store, which kept the whole response."""
    monkeypatch.setattr(store, 'MAX_RESPONSE_BYTES', 1024 * 1024)

    def serve(server, sock, number):
        server.read_head(sock)
        sock.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
        while True:
            sock.sendall(b'[' * 65536)

    server = harness.FakeServer(serve)
    client = store.StoreClient(server.address)
    began = time.monotonic()
    for read in (
        client.read_all,
        lambda: client.wait_for_changes(1, harness.SECOND),
    ):
        with pytest.raises(errors.FleetError, match='platform_malformed'):
            read()
    assert time.monotonic() - began < 5
    server.close()
