"""A planned stop: requests that are taken late in it lose their answers."""

import os
import pathlib
import signal
import sys
import tempfile
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

import stage  # noqa: E402

# With TROUBLE=0 the case runs without its disruption.
IS_TROUBLED = os.environ.get('TROUBLE', '1') != '0'
KEY = 'ctnfzs989anu6wsjnban'
ZONES = ('lisboa-a', 'lisboa-b', 'lisboa-c')
# Below the largest work of event-browse (5.7 s) and seat-book (2.8 s) in
# sites/pontenova-gw.toml, and below the routes' timeouts.
WORK_S = {'events': 3.5, 'bookings': 2.75}
# Of the two kinds in the site file.
KINDS = (
    ('GET', '/events/list', 10000, b''),
    ('POST', '/bookings/seat', 6000, b'seat=12'),
)
GRACE_S = 6.0
# LOST excuses a request that was sent no later than this after the SIGTERM.
EXCUSED_S = 3.0
SEND_INTERVAL_S = 0.1


class Sender(threading.Thread):
    """One client request on a new connection."""

    def __init__(self, record, address, number):
        super().__init__(daemon=True)
        self.record, self.address = record, address
        self.method, self.path, self.deadline_ms, self.body = KINDS[number % 2]
        self.request_id = f'{0x9C41D07B00000000 + number:016x}'
        self.answer, self.sent_at, self.ended_at = None, None, None

    def run(self):
        data = stage.format_request(
            self.method,
            self.path,
            self.request_id,
            KEY,
            self.deadline_ms,
            self.body,
        )
        limit_s = self.deadline_ms / 1000 + 1
        try:
            with stage.socket.create_connection(self.address, 1) as sock:
                sock.settimeout(limit_s)
                sock.sendall(data)
                self.sent_at = time.monotonic()
                self.record.write(
                    'sent', id=self.request_id, method=self.method
                )
                self.answer, _ = stage.read_answer(sock)
        except OSError as error:
            self.record.write(
                'not_sent', id=self.request_id, error=type(error).__name__
            )
        self.ended_at = time.monotonic()
        if self.answer is not None:
            self.record.write(
                'answer',
                id=self.request_id,
                status=self.answer.status,
                complete=self.answer.is_complete,
                error=self.answer.error,
            )


def run(record):
    store = stage.Store(record)
    upstreams = [
        stage.Upstream(
            record,
            f'i-{service}-{number}',
            service,
            ZONES[number % 3],
            lambda path, s=service: (WORK_S[s], 400),
        )
        for service in ('events', 'bookings')
        for number in range(9)
    ]
    store.put(
        'op/config',
        stage.make_configuration(
            12,
            [
                # With one attempt the upstream is never given up for another.
                stage.make_route(
                    'event-browse',
                    '/events/',
                    'idempotent',
                    'events',
                    **{'max-attempts': 1},
                ),
                # The site's timeout of this kind.
                stage.make_route(
                    'seat-book',
                    '/bookings/',
                    'non_idempotent',
                    'bookings',
                    timeout='3s',
                ),
            ],
            {'events': 16.0, 'bookings': 16.0},
            [{'name': 'sese880', 'api-keys': [KEY], 'rate-per-s': 0}],
        ),
    )
    for upstream in upstreams:
        store.put(f'servers/{upstream.name}', upstream.make_entry())
    with tempfile.TemporaryDirectory() as folder:
        with stage.Fleet(record, folder, store, ZONES, 2) as fleet:
            return drive(record, fleet.instances[1], upstreams)


def drive(record, stopped, upstreams):
    senders = []

    def send_until(at):
        while time.monotonic() < at:
            sender = Sender(record, stopped.front, len(senders))
            sender.start()
            senders.append(sender)
            time.sleep(SEND_INTERVAL_S)

    send_until(time.monotonic() + 1.0)
    stop_at = time.monotonic()
    if IS_TROUBLED:
        stopped.send_signal(signal.SIGTERM)
    send_until(stop_at + GRACE_S - 0.3)
    for sender in senders:
        sender.join()
    if IS_TROUBLED:
        try:
            stopped.process.wait(max(0.1, stop_at + GRACE_S - time.monotonic()))
        except stage.subprocess.TimeoutExpired:
            stopped.send_signal(signal.SIGKILL)
    ran = {request_id for u in upstreams for _, request_id in u.runs}
    broken = False
    for sender in senders:
        if sender.sent_at is None or sender.request_id not in ran:
            continue
        since_s = sender.sent_at - stop_at
        lost = sender.answer is None or not sender.answer.is_complete
        # An answer of its own in place of the upstream's counts as well; the
        # route's timeout and the deadline have not been reached.
        replaced = not lost and sender.answer.status != 200
        if lost or replaced:
            excused = since_s <= EXCUSED_S
            record.write(
                'lost',
                id=sender.request_id,
                method=sender.method,
                sent_after_sigterm_s=round(since_s, 3),
                lasted_s=round(sender.ended_at - sender.sent_at, 3),
                status=sender.answer.status if sender.answer else 0,
                excused=excused,
            )
            broken = broken or not excused
    return broken


stage.run_case(run, FOLDER)
