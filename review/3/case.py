"""The holder of a tenant's quota is killed while the tenant is hot."""

import collections
import os
import pathlib
import random
import re
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
TENANT = 'sese880'
ZONES = ('lisboa-a', 'lisboa-b', 'lisboa-c')
# 24 machines; sites/pontenova-gw.toml has 44.
MACHINES_PER_ZONE = 8
RATE_PER_S = 5
BURST = 5
# The site gives a tenant 1.6 times its usual rate as its quota, and its
# `hot_tenant` multiplies the usual by 7.5.
HOT_RATE_PER_S = RATE_PER_S / 1.6 * 7.5
HOT_S = 6.5
KILL_AFTER_S = 2.5
RESTART_AFTER_S = 0.5
DEADLINE_MS = 2500
WORK_S = 0.15
# QUOTA: (rate x window + burst) x (1 + quota-excess) + quota-slack.
WINDOW_S = 5.0
LIMIT = (RATE_PER_S * WINDOW_S + BURST) * 1.25 + 20
HOLDER = re.compile(r'event=quota .*holder=(127\.0\.0\.1:[0-9]+)')


def send(record, address, number, sent):
    request_id = f'{0x9C41D07B00000000 + number:016x}'
    data = stage.format_request('GET', '/door/', request_id, KEY, DEADLINE_MS)
    try:
        with stage.socket.create_connection(address, 1) as sock:
            sock.settimeout(DEADLINE_MS / 1000 + 1)
            sent[request_id] = time.monotonic()
            sock.sendall(data)
            answer, _ = stage.read_answer(sock)
            record.write(
                'answer',
                id=request_id,
                status=answer.status,
                at_port=address[1],
            )
            return answer.status
    except OSError as error:
        record.write('failed', id=request_id, error=type(error).__name__)
    return 0


def find_holder(instances, folder):
    """Return the instance that the logs name as holder of the quota."""
    found = collections.Counter()
    for path in pathlib.Path(folder).glob('*.log'):
        found.update(HOLDER.findall(path.read_text(errors='replace'))[-1:])
    if not found:
        raise stage.CannotRun('no log line names a holder')
    address = found.most_common(1)[0][0]
    return next(i for i in instances if i.control == address)


def run(record):
    store = stage.Store(record)
    upstreams = [
        stage.Upstream(
            record,
            f'i-events-{number}',
            'events',
            ZONES[number % 3],
            lambda path: (WORK_S, 400),
        )
        for number in range(14)
    ]
    store.put(
        'op/config',
        stage.make_configuration(
            12,
            [stage.make_route('door-list', '/door/', 'idempotent', 'events')],
            {'events': 16.0},
            [
                {
                    'name': TENANT,
                    'api-keys': [KEY],
                    'rate-per-s': RATE_PER_S,
                    'burst': BURST,
                }
            ],
        ),
    )
    for upstream in upstreams:
        store.put(f'servers/{upstream.name}', upstream.make_entry())
    with tempfile.TemporaryDirectory() as folder:
        fleet = stage.Fleet(record, folder, store, ZONES, MACHINES_PER_ZONE)
        with fleet:
            sent = drive(record, fleet, folder)
    ran_at = {
        request_id: at for u in upstreams for at, request_id in u.runs
    }
    return find_excess(record, sent, ran_at)


def drive(record, fleet, folder):
    rng = random.Random(7)
    sent, threads = {}, []

    def send_for(rate_per_s, seconds):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            address = rng.choice(fleet.instances).front
            thread = threading.Thread(
                target=send,
                args=(record, address, len(threads), sent),
                daemon=True,
            )
            thread.start()
            threads.append(thread)
            time.sleep(1 / rate_per_s)

    # The usual traffic, which is within the quota.
    send_for(RATE_PER_S / 1.6, 8.0)
    record.write('hot', rate_per_s=HOT_RATE_PER_S)
    send_for(HOT_RATE_PER_S, KILL_AFTER_S)
    holder = find_holder(fleet.instances, folder)
    record.write('holder', machine=holder.name)
    if IS_TROUBLED:
        holder.send_signal(signal.SIGKILL)
        holder.process.wait()
        threading.Timer(
            RESTART_AFTER_S, holder.start, args=(fleet.seeds,)
        ).start()
    send_for(HOT_RATE_PER_S, HOT_S - KILL_AFTER_S)
    for thread in threads:
        thread.join()
    return sent


def find_excess(record, sent, ran_at):
    """Return whether a window has more than the limit sent and run in it."""
    most, most_at = 0, 0.0
    times = [(sent[i], ran_at[i]) for i in sent if i in ran_at]
    for start, _ in times:
        count = sum(s >= start and r <= start + WINDOW_S for s, r in times)
        if count > most:
            most, most_at = count, start
    record.write(
        'window',
        most=most,
        limit=LIMIT,
        starts_s=round(most_at - min(sent.values()), 3),
    )
    print(f'{most} in a window, limit {LIMIT}')
    return most > LIMIT


stage.run_case(run, FOLDER)
