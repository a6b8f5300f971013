"""Stand-ins of the third review: store, upstreams, clients, instances.

They use the standard library only and keep to PROTOCOL.md: the store answers
kv-key, kv-range and kv-watch, upstreams echo the id, check the target, sign
their answers and tell their load. All addresses are loopback addresses.
"""

import base64
import bisect
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'shop.example'
# Bounds of the small site files.
CONTACT_S = 3.0
DRAIN_S = 2.0
CONFIG_APPLY_S = 2.0
GRACE_S = 6.0
# Machines that the settings of all name for finding the others.
SEEDS = 3
# Machines of this run, which are ended whatever happens.
STARTED = []
GIVEN_PORTS = set()


def free_ports(count):
    """Return free loopback ports, none of which the system gives to clients.

    A connection of another process could take one of those before its
    listener does.
    """
    found = []
    while len(found) < count:
        port = random.SystemRandom().randrange(10000, 30000)
        with socket.socket() as sock:
            try:
                sock.bind(('127.0.0.1', port))
            except OSError:
                continue
        if port not in GIVEN_PORTS:
            GIVEN_PORTS.add(port)
            found.append(port)
    return found


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def __init__(self, owner, handler, port=0):
        self.owner = owner
        super().__init__(('127.0.0.1', port), handler)
        threading.Thread(target=self.serve_forever, args=(0.1,), daemon=True).start()

    def handle_error(self, request, client_address):
        pass

    @property
    def address(self):
        return f'127.0.0.1:{self.server_port}'


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_):
        pass

    def answer(self, status, body=b'', headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class _StoreHandler(Handler):
    def do_GET(self):
        store, caller = self.server.owner
        path, _, query = self.path.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        call = path.rpartition('/')[2]
        store.note_call(caller, call)
        value, status = store.serve(call, fields)
        body = b'' if value is None else json.dumps(value).encode()
        self.answer(status, body, [('Content-Type', 'application/json')])


class Store:
    """The platform's store; each machine has an address of its own there.

    `calls` is the last time of each machine's calls by kind, so that it can be
    told which machines read. Nothing that was written is lost.
    """

    def __init__(self):
        self.changed = threading.Condition()
        self.items, self.events, self.revision, self.calls = {}, [], 100, {}

    def open_listener(self, caller):
        return Server((self, caller), _StoreHandler)

    def note_call(self, caller, call):
        self.calls[caller, call] = time.monotonic()

    def list_readers(self, within_s=1.5):
        now = time.monotonic()
        return sorted(c for (c, call), at in self.calls.items()
                      if call == 'kv-watch' and now - at < within_s)

    def put(self, key, value):
        """Write an item; return when it was acknowledged."""
        with self.changed:
            self.revision += 1
            item = {'key': key,
                    'value': base64.b64encode(json.dumps(value).encode()).decode(),
                    'revision': self.revision,
                    'created': self.items.get(key, {}).get('created', self.revision),
                    'lease': 0}
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
            return time.monotonic()

    def remove(self, key):
        """Remove an item; return when it was acknowledged."""
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({'key': key, 'revision': self.revision, 'removed': True})
            self.changed.notify_all()
            return time.monotonic()

    def serve(self, call, fields):
        with self.changed:
            match call:
                case 'kv-key':
                    item = self.items.get(fields['key'])
                    if item is None:
                        return None, 404
                    return item | {'current-rev': self.revision}, 200
                case 'kv-range':
                    return self._range(fields), 200
                case 'kv-watch':
                    return self._watch(fields), 200
        return None, 404

    def _range(self, fields):
        prefix, after = fields.get('prefix', ''), fields.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(prefix))
        keys = keys[bisect.bisect_right(keys, after):] if after else keys
        return {'items': [self.items[key] for key in keys[:500]],
                'has-more': len(keys) > 500, 'current-rev': self.revision}

    def _watch(self, fields):
        after, prefix = int(fields['after']), fields.get('prefix', '')

        def find():
            start = bisect.bisect_right(self.events, after, key=lambda e: e['revision'])
            return [e for e in self.events[start:] if e['key'].startswith(prefix)]

        self.changed.wait_for(find, int(fields['wait-ms']) / 1000)
        return {'events': find(), 'current-rev': self.revision}


class _UpstreamHandler(Handler):
    def handle_any(self):
        upstream = self.server.owner
        if self.headers.get('Transfer-Encoding', '') == 'chunked':
            body = self._read_chunked()
        else:
            body = self.rfile.read(int(self.headers.get('Content-Length', 0)))
        upstream.serve(self, body)

    def _read_chunked(self):
        parts = []
        while True:
            size = int(self.rfile.readline().split(b';')[0], 16)
            parts.append(self.rfile.read(size))
            self.rfile.readline()
            if not size:
                return b''.join(parts)

    do_GET = do_POST = do_PUT = do_HEAD = do_DELETE = handle_any


class Upstream:
    """A sound upstream of one service.

    `arrivals` are (time, request id, outcome). It runs up to `slots` requests
    and rejects others, and those for another instance, as not executed.
    """

    def __init__(self, name, service, zone, slots=6, work_s=0.05):
        self.name, self.service, self.zone = name, service, zone
        self.slots, self.work_s = slots, work_s
        self.arrivals, self.running, self.sequence = [], 0, 0
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.server = Server(self, _UpstreamHandler)
        self.address = self.server.address

    def entry(self, state='ready', warmup_ms=0):
        self.sequence += 1
        return {'address': self.address, 'born': self.born,
                'info': {'service': self.service, 'version': 'v1',
                         'zone': self.zone, 'slots': self.slots},
                'status': {'state': state, 'sequence': self.sequence,
                           'warmup-left': f'{warmup_ms}ms'}}

    def serve(self, handler, body):
        request_id = handler.headers.get('X-Request-Id', '')
        target = handler.headers.get('X-Target-Instance')
        headers = [('X-Request-Id', request_id), ('X-Instance-Id', self.name),
                   ('X-Upstream-Load', f'{self.running},0,{self.slots}')]
        if target not in (None, self.name):
            self.record(request_id, 'misdirected', handler)
            handler.answer(421, b'', [*headers, ('X-Not-Executed', '1')])
            return
        with self.lock:
            is_free = self.running < self.slots
            self.running += is_free
        if not is_free:
            self.record(request_id, 'rejected', handler)
            handler.answer(503, b'', [*headers, ('X-Not-Executed', '1')])
            return
        try:
            self.record(request_id, 'ran', handler)
            self.run(handler, request_id, body, headers)
        finally:
            with self.lock:
                self.running -= 1

    def record(self, request_id, outcome, handler):
        self.arrivals.append((time.monotonic(), request_id, outcome))

    def run(self, handler, request_id, body, headers):
        time.sleep(self.work_s)
        content = f'{self.name} {request_id}'.encode()
        seal = ('X-Upstream-Seal', f'{self.name}.{request_id}')
        handler.answer(200, content, [*headers, seal])


def make_config(version, routes, services, tenants=None, warmup_per_s=16.0):
    columns = ['name', 'host', 'prefix', 'route-type', 'timeout', 'target-latency',
               'priority', 'split', 'max-attempts', 'public', 'service']
    config = {
        'version': f'{version:08x}',
        'routes': {'columns': columns,
                   'rows': [[route.get(c) for c in columns] for route in routes]},
        'services': {'columns': ['name', 'health-path', 'max-conns', 'protocol',
                                 'tls', 'warmup', 'warmup-per-s'],
                     'rows': [[n, '/health', 390, 'h1', False, '3s', warmup_per_s]
                              for n in services]},
        'limits': {'max-header-bytes': 16384, 'max-body-bytes': 67108864,
                   'header-timeout': '3000ms', 'idle-timeout': '15000ms'}}
    if tenants is not None:
        config['tenants'] = {'columns': ['name', 'api-keys', 'priority',
                                         'rate-per-s', 'burst'], 'rows': tenants}
    return config


def make_route(name, prefix, service, kind='idempotent', **more):
    return {'name': name, 'host': HOST, 'prefix': prefix, 'route-type': kind,
            'timeout': '3000ms', 'target-latency': '1500ms', 'priority': 1,
            'max-attempts': 2, 'public': True, 'service': service} | more


class Machine:
    """One machine of the system: the program of the deploy file."""

    def __init__(self, label, zone, folder, store, seeds_of, relays=None):
        self.label, self.zone = label, zone
        names = ('callers', 'health', 'peers', 'directory', 'operators')
        self.addresses = {n: f'127.0.0.1:{p}'
                          for n, p in zip(names, free_ports(5), strict=True)}
        self.name = self.addresses['peers']
        self.relays = relays
        if relays is not None:
            port = free_ports(1)[0]
            relays.open(self, port)
            self.name = f'127.0.0.1:{port}'
        self.folder = folder
        self.store_listener = store.open_listener(label)
        self.seeds_of = seeds_of
        self.process = None
        # Times of signals, kills and starts, for "in touch".
        self.touched_s = []

    def write_settings(self):
        path = self.folder / f'{self.label}.toml'
        addresses = '\n'.join(f'{n} = "{a}"' for n, a in self.addresses.items())
        path.write_text(
            f'name = "{self.name}"\nlabel = "{self.label}"\n'
            f'domain = "{self.zone}"\nregion = "r"\ncores = 0.86\n'
            'core_speed = 1\nmemory_mb = 300\nmax_fds = 4100\n'
            f'seeds = {json.dumps(self.seeds_of())}\n[addresses]\n{addresses}\n'
            f'[platform]\naddress = "{self.store_listener.address}"\n'
            '[terms]\ncontact = "3000ms"\ndrain = "2000ms"\ngrace = "6s"\n'
            'config_apply = "2000ms"\nevacuation = "5000ms"\n'
            'longest_answer = "5s"\nrepeat_ratio = 0.2\nrepeat_window = "10s"\n'
            'repeat_slack = 62\nquota_window = "5s"\nquota_excess = 0.25\n'
            'quota_slack = 20\nfloor_ratio = 0.7\n')
        return path

    def start(self):
        path = self.write_settings()
        environment = {n: os.environ[n] for n in ('PATH', 'HOME', 'LANG') if n in os.environ} | {
            'CRANBERRYSCALE_BOOT': str(path),
            'PYTHONPATH': str(ROOT / 'target' / 'deps')}
        with (self.folder / f'{self.label}.log').open('ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'cranberryscale.platform.program'],
                stdout=log, stderr=log, cwd=ROOT, env=environment)
        if self.relays is not None:
            self.relays.pids[self.process.pid] = self.label
        self.touched_s.append(time.monotonic())
        STARTED.append(self)

    def signal(self, number):
        self.touched_s.append(time.monotonic())
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def in_touch(self, at):
        """Return whether nothing was done to it for `contact` before."""
        return not any(at - CONTACT_S <= t <= at for t in self.touched_s)

    def get_page(self, listener, path):
        host, port = self.addresses[listener].split(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=1)
        try:
            connection.request('GET', path)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b''
        finally:
            connection.close()

    def list_addresses(self):
        status, body = self.get_page(
            'directory', f'/cranberryscale/resolve?name={HOST}&region=r&zone={self.zone}')
        return json.loads(body)['addresses'] if status == 200 else []


class System:
    """Store, upstreams and machines of a small deployment, and the record."""

    def __init__(self, folder, machines, zones=('za', 'zb', 'zc'), relays=None):
        self.folder = folder
        self.record = (folder / 'record.txt').open('w')
        self.lock = threading.Lock()
        self.began = time.monotonic()
        self.work = tempfile.TemporaryDirectory()
        self.store, self.upstreams, self.zones = Store(), {}, zones
        work = pathlib.Path(self.work.name)
        self.machines = [
            Machine(f'm{n:02}', zones[n % len(zones)], work, self.store,
                    lambda: [m.name for m in self.machines[:SEEDS]], relays)
            for n in range(machines)]
        self.by_label = {m.label: m for m in self.machines}

    def write(self, text):
        with self.lock:
            self.record.write(f'{time.monotonic() - self.began:8.3f} {text}\n')
            self.record.flush()

    def add_upstream(self, upstream, warmup_ms=0):
        self.upstreams[upstream.name] = upstream
        return self.store.put(f'servers/{upstream.name}',
                              upstream.entry('ready', warmup_ms))

    def start(self, attempts=4, limit_s=15):
        """Start all machines; start them anew if they don't find each other."""
        wanted = {m.addresses['callers'] for m in self.machines}
        for _ in range(attempts):
            for machine in self.machines:
                machine.start()
            until = time.monotonic() + limit_s
            while time.monotonic() < until:
                if all(set(m.list_addresses()) == wanted for m in self.machines):
                    self.write(f'{len(self.machines)} machines are ready')
                    return
                time.sleep(0.2)
            self.write('the machines did not find each other; they start anew')
            for machine in self.machines:
                machine.kill()
        raise TimeoutError('the machines did not find each other')

    def write_requests(self, load):
        """Write what was sent, answered and run."""
        arrivals = {}
        for upstream in self.upstreams.values():
            for at, request_id, outcome in upstream.arrivals:
                arrivals.setdefault(request_id, []).append((at, outcome, upstream.name))
        for request_id, (label, sent, path) in list(load.sent.items()):
            answered, status = load.answered.get(request_id, (0, None))
            seen = [f'{outcome} by {name} at {at - self.began:.3f}'
                    for at, outcome, name in sorted(arrivals.get(request_id, ()))]
            self.record.write(
                f'{request_id} {path} sent to {label} at {sent - self.began:.3f}, '
                f'answered {status} at {answered - self.began:.3f}; {", ".join(seen)}\n')

    def close(self):
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
        for machine in self.machines:
            if machine.process is not None:
                machine.process.wait()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            subprocess.run(['cp', '-r', self.work.name, keep], check=False)
        self.work.cleanup()
        self.record.close()


def send(address, method, path, request_id, deadline_ms=2500, body=None, key='', patience_s=None):
    """Send one request; return (status or 0, headers, body)."""
    host, port = address.split(':')
    connection = http.client.HTTPConnection(
        host, int(port), timeout=patience_s or deadline_ms / 1000 + 1)
    headers = {'Host': HOST, 'X-Request-Id': request_id, 'X-Deadline-Ms': str(deadline_ms)}
    if key:
        headers['Authorization'] = f'Bearer {key}'
    try:
        connection.request(method, path, body=body, headers=headers)
        response = connection.getresponse()
        data = response.read()
        return response.status, {n.lower(): v for n, v in response.getheaders()}, data
    except (OSError, http.client.HTTPException) as error:
        return 0, {'error': type(error).__name__}, b''
    finally:
        connection.close()


class Load:
    """Clients that send requests to given machines at a steady rate.

    `sent` maps ids to (machine, time sent, path); `answered` ids to (time, status).
    """

    def __init__(self, system, seed=1):
        self.system, self.sent, self.answered = system, {}, {}
        self.stopping, self.threads = threading.Event(), []
        self.random, self.lock, self.number = random.Random(seed), threading.Lock(), 0

    def next_id(self):
        with self.lock:
            self.number += 1
            return f'{self.number:06x}{self.random.getrandbits(40):010x}'

    def request(self, machine, method, path, **more):
        request_id = self.next_id()
        self.sent[request_id] = (machine.label, time.monotonic(), path)
        status, headers, body = send(machine.addresses['callers'], method, path, request_id, **more)
        self.answered[request_id] = (time.monotonic(), status)
        return request_id, status, headers, body

    def run(self, machine, method, paths, per_s, **more):
        def loop():
            rng = random.Random(f'{machine.label}{paths}')
            while not self.stopping.wait(rng.expovariate(per_s)):
                self.request(machine, method, rng.choice(paths), **more)
        thread = threading.Thread(target=loop, daemon=True)
        thread.start()
        self.threads.append(thread)

    def stop(self):
        self.stopping.set()
        for thread in self.threads:
            thread.join(5)


def main(case, folder, limit_s=115):
    """Run `case(folder, trouble)`; exit 1 if the rule was broken, else 0."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    folder = pathlib.Path(folder)

    def give_up():
        sys.stderr.write('the case took too long\n')
        for machine in STARTED:
            if machine.process.poll() is None:
                machine.process.kill()
        os._exit(2)

    timer = threading.Timer(limit_s, give_up)
    timer.daemon = True
    timer.start()
    try:
        broken = case(folder, trouble)
    except Exception as error:  # The case could not run.
        sys.stderr.write(f'not run: {type(error).__name__}: {error}\n')
        raise SystemExit(2) from error
    raise SystemExit(1 if broken else 0)
