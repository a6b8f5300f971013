"""An upstream rejects a request before it has read its chunked body.

The client's next chunk arrives in two pieces, cut inside the line of its
size. What is sent on to the next upstream is a shorter body than the
client's, and that upstream runs it.
"""

import pathlib
import socket
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib3'))
import standin  # noqa: E402

REQUESTS = 24
FIRST, SECOND = 0x4000, 0x1000
SPLIT_S = 0.4
DEADLINE_MS = 6000


class BookingUpstream(standin.Upstream):
    """A sound upstream that keeps the bodies of what it ran."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.bodies = {}

    def run(self, handler, request_id, body, headers):
        self.bodies.setdefault(request_id, []).append(body)
        super().run(handler, request_id, body, headers)


class FullUpstream(standin.Upstream):
    """An upstream that is full: it rejects requests by their heads."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        outer = self

        class FullHandler(standin.Handler):
            def handle_any(self):
                if self.path == '/health':
                    self.answer(200, b'', [('X-Instance-Id', outer.name)])
                    return
                time.sleep(0.1)
                request_id = self.headers.get('X-Request-Id', '')
                outer.record(request_id, 'rejected', self)
                self.answer(503, b'', [('X-Request-Id', request_id),
                                       ('X-Instance-Id', outer.name),
                                       ('X-Not-Executed', '1'),
                                       ('Connection', 'close')])
                self.close_connection = True

            do_GET = do_POST = do_HEAD = handle_any

        self.server.RequestHandlerClass = FullHandler


def make_card(request_id, size):
    lines, n = b'', 0
    while len(lines) + 60 < size:
        n += 1
        lines += b'NOTE:seat %d of booking %s\r\n' % (n, request_id.encode())
    return lines + b'NOTE:' + b'x' * (size - len(lines) - 7) + b'\r\n'


def send_booking(machine, request_id, first, second):
    host, port = machine.addresses['callers'].split(':')
    head = (f'POST /bookings/7 HTTP/1.1\r\nHost: {standin.HOST}\r\n'
            f'X-Request-Id: {request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n'
            'Transfer-Encoding: chunked\r\n\r\n').encode()
    size = b'%x' % len(second)
    try:
        with socket.create_connection((host, int(port)), timeout=DEADLINE_MS / 1000) as sock:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.sendall(head + b'%x\r\n' % len(first) + first + b'\r\n' + size[:1])
            time.sleep(SPLIT_S)
            sock.sendall(size[1:] + b'\r\n' + second + b'\r\n0\r\n\r\n')
            line = sock.makefile('rb').readline()
            return int(line.split()[1]) if line else 0
    except OSError:
        return 0


def run(folder, trouble):
    system = standin.System(folder, 3)
    try:
        sound = [BookingUpstream(f's-{zone}', 'bookings', zone) for zone in system.zones]
        full = [FullUpstream(f'f-{zone}', 'bookings', zone) for zone in system.zones]
        for upstream in sound + (full if trouble else []):
            system.add_upstream(upstream)
        routes = [standin.make_route('r-b', '/bookings/', 'bookings', 'non_idempotent',
                                     timeout='6000ms')]
        system.store.put('op/config', standin.make_config(5, routes, ['bookings']))
        system.start()
        time.sleep(3)
        broken = 0
        for n in range(REQUESTS):
            request_id = f'{n:06x}9c41d07b{n:02x}'
            first, second = make_card(request_id, FIRST), make_card(request_id, SECOND)
            machine = system.machines[n % 3]
            status = send_booking(machine, request_id, first, second)
            ran = [(u.name, body) for u in sound for body in u.bodies.get(request_id, ())]
            rejected = [u.name for u in full for _, i, _ in u.arrivals if i == request_id]
            wrong = [name for name, body in ran if body != first + second]
            broken += bool(wrong)
            system.write(
                f'{request_id} by {machine.label}: sent {len(first + second)} bytes, '
                f'rejected by {rejected}, run by {[(u, len(b)) for u, b in ran]}, '
                f'answered {status}{", CHANGED" if wrong else ""}')
            time.sleep(0.1)
        system.write(f'{broken} of {REQUESTS} requests were run with a changed body')
        return broken
    finally:
        system.close()


standin.main(run, HERE)
