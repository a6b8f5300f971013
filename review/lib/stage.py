"""Stand-ins for the scripts of this review: store, upstreams and clients.

Only the standard library is used. The programs of the project are started
with the command of deploy/system.toml and with settings rendered from
deploy/settings.template.toml. All addresses are loopback addresses.
"""

import base64
import contextlib
import http.server
import json
import os
import pathlib
import random
import re
import select
import signal
import socket
import subprocess
import sys
import threading
import time
import tomllib
import urllib.parse
import urllib.request


ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = 'jepu9.example'
READY_LIMIT_S = 25.0
# The bounds of sites/pontenova-gw.toml, as a settings file has them.
BOUNDS = {
    'contact': '3000ms',
    'drain': '2000ms',
    'grace': '6s',
    'config-apply': '2000ms',
    'evac': '5000ms',
    'ttl_max': '5s',
    'budget-ratio': 0.2,
    'budget-window': '10s',
    'budget-slack': 62,
    'quota-window': '5s',
    'quota-excess': 0.25,
    'quota-slack': 20,
    'floor-share': 0.7,
}


class CannotRun(Exception):
    """The case could not be run; it says nothing about the rule."""


class Record:
    """The file record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / 'record.txt').open('w')
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def write(self, event, **fields):
        """Append a line with the seconds since the start."""
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        with self._lock:
            at = time.monotonic() - self._started
            self._file.write(f'{at:9.3f} {event} {text}\n')
            self._file.flush()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_values):
        pass


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def __init__(self, owner, handler, port=0):
        super().__init__(('127.0.0.1', port), handler)
        self.owner = owner
        self.address = f'127.0.0.1:{self.server_port}'
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def handle_error(self, request, client_address):
        pass


class _StoreHandler(_Handler):
    def do_GET(self):
        store = self.server.owner
        path, _, query = self.path.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path.endswith('/kv-range'):
            status, value = 200, store.read_range(fields)
        elif path.endswith('/kv-watch'):
            status, value = 200, store.wait_events(fields)
        else:
            status, value = 404, {}
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header('Content-Type', 'application/json')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Store:
    """The platform's store, as PROTOCOL.md describes its reading calls."""

    def __init__(self, record):
        self._record = record
        self._changed = threading.Condition()
        self._items, self._events = {}, []
        self.revision = 10
        self._listener = _Listener(self, _StoreHandler)
        self.address = self._listener.address

    def put(self, key, value):
        """Write an entry; the return is its acknowledgement."""
        with self._changed:
            self.revision += 1
            body = base64.b64encode(json.dumps(value).encode()).decode()
            item = {
                'key': key,
                'value': body,
                'revision': self.revision,
                'created': self.revision,
                'lease': 0,
            }
            self._items[key] = item
            self._events.append(item)
            self._changed.notify_all()
        self._record.write('store_put', key=key, revision=self.revision)

    def remove(self, key):
        """Remove an entry; the return is its acknowledgement."""
        with self._changed:
            self.revision += 1
            del self._items[key]
            self._events.append(
                {'key': key, 'revision': self.revision, 'removed': True}
            )
            self._changed.notify_all()
        self._record.write('store_remove', key=key, revision=self.revision)

    def read_range(self, fields):
        """Return a page of the entries."""
        prefix, after = fields.get('prefix', ''), fields.get('after', '')
        with self._changed:
            keys = sorted(
                k for k in self._items if k.startswith(prefix) and k > after
            )
            return {
                'items': [self._items[k] for k in keys[:500]],
                'has-more': len(keys) > 500,
                'current-rev': self.revision,
            }

    def wait_events(self, fields):
        """Return the events after a revision once there are any."""
        after, wait_s = int(fields['after']), int(fields['wait-ms']) / 1000
        with self._changed:
            self._changed.wait_for(lambda: self.revision > after, wait_s)
            events = [e for e in self._events if e['revision'] > after]
            return {'events': events, 'current-rev': self.revision}


class _UpstreamHandler(_Handler):
    def handle_any(self):
        upstream = self.server.owner
        body = self.rfile.read(int(self.headers.get('Content-Length', '0')))
        request_id = self.headers.get('X-Request-Id', '')
        echo = {'X-Request-Id': request_id, 'X-Instance-Id': upstream.name}
        if self.path == upstream.health_path:
            self.reply(200, b'ok', echo)
            return
        target = self.headers.get('X-Target-Instance')
        if target not in (None, upstream.name):
            self.reply(421, b'', echo)
            return
        if not upstream.occupy():
            self.reply(503, b'full', echo | {'X-Not-Executed': '1'})
            return
        upstream.record.write(
            'run',
            id=request_id,
            upstream=upstream.name,
            method=self.command,
            path=self.path,
            tenant=self.headers.get('X-Tenant', ''),
            deadline_ms=self.headers.get('X-Deadline-Ms', ''),
        )
        upstream.runs.append((time.monotonic(), request_id))
        try:
            outcome = self.work(upstream, echo, body)
        finally:
            upstream.leave()
        upstream.record.write('ran', id=request_id, outcome=outcome)

    do_GET = do_POST = handle_any

    def work(self, upstream, echo, body):
        """Work on a request; drop it if its connection is closed."""
        work_s, size = upstream.plan(self.path)
        limit_s = int(self.headers.get('X-Deadline-Ms', '60000')) / 1000
        until = time.monotonic() + min(work_s, limit_s)
        while (left := until - time.monotonic()) > 0:
            if select.select([self.connection], [], [], left)[0]:
                with contextlib.suppress(OSError):
                    if self.connection.recv(1, socket.MSG_PEEK):
                        time.sleep(min(left, 0.02))
                        continue
                self.close_connection = True
                return 'dropped'
        if work_s > limit_s:
            self.reply(504, b'', echo)
            return 'late'
        seal = {'X-Upstream-Seal': f'{upstream.name}.{echo["X-Request-Id"]}'}
        self.reply(200, b'x' * size, echo | seal)
        return 'answered'

    def reply(self, status, body, headers):
        upstream = self.server.owner
        self.send_response(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header(
            'X-Upstream-Load', f'{upstream.running},0,{upstream.slots}'
        )
        self.send_header('Keep-Alive', 'timeout=10')
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()


class Upstream:
    """An upstream; `plan(path)` returns work time and size of the answer."""

    health_path = '/health'

    def __init__(self, record, name, service, zone, plan, slots=6):
        self.record, self.name, self.plan = record, name, plan
        self.service, self.zone, self.slots = service, zone, slots
        self.running = 0
        self.runs = []
        self._lock = threading.Lock()
        self.listener = _Listener(self, _UpstreamHandler)
        self.address = self.listener.address

    def occupy(self):
        with self._lock:
            if self.running >= self.slots:
                return False
            self.running += 1
            return True

    def leave(self):
        with self._lock:
            self.running -= 1

    def make_entry(self, state='ready', warmup_left='0ms', sequence=1):
        """Return the upstream's entry in the store."""
        return {
            'address': self.address,
            'born': 1790000000000,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': state,
                'sequence': sequence,
                'warmup-left': warmup_left,
            },
        }


def make_table(rows):
    """Encode rows of equal fields as columns and rows."""
    columns = list(rows[0])
    return {
        'columns': columns,
        'rows': [[row[name] for name in columns] for row in rows],
    }


def make_route(name, prefix, kind, service, **fields):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': HOST,
        'prefix': prefix,
        'route-type': kind,
        'service': service,
        'timeout': '5s',
        'target-latency': '1500ms',
        'priority': 1,
        'max-attempts': 3,
    } | fields


def make_configuration(version, routes, services, tenants):
    """Return a configuration as the operator writes it."""
    return {
        'version': f'{version:08x}',
        'routes': make_table(routes),
        'services': make_table(
            [
                {
                    'name': name,
                    'health-path': Upstream.health_path,
                    'max-conns': 390,
                    'warmup': '3s',
                    'warmup-per-s': rate,
                }
                for name, rate in services.items()
            ]
        ),
        'limits': {
            'max-header-bytes': 16384,
            'max-body-bytes': 1048576,
            'header-timeout': '3s',
            'idle-timeout': '15s',
        },
        'tenants': make_table(tenants),
    }


_used_ports = set()


def find_free_ports(count):
    """Return loopback ports that are free now.

    They lie below the range from which the kernel takes the ports of
    outgoing connections, which could otherwise occupy them before they are
    listened on.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(10000, 32000)
        if port in _used_ports:
            continue
        try:
            socket.create_server(('127.0.0.1', port)).close()
        except OSError:
            continue
        _used_ports.add(port)
        ports.append(port)
    return ports


def _find_value(fields, path):
    value = fields
    for part in path.split('.'):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render_template(text, fields):
    """Fill in the placeholders that the project's template uses."""

    def replace(match):
        path, _, form = match[1].partition('|')
        value = _find_value(fields, path)
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'{{([^}]*)}}', replace, text)


class Instance:
    """One machine's process, started with the command of the deploy file."""

    def __init__(self, record, folder, number, zone, store_address):
        self.record, self.zone = record, zone
        self.name = f'front-{zone}-{number}'
        ports = find_free_ports(5)
        front, ready, control, directory, internal = ports
        self.front = ('127.0.0.1', front)
        self.ready_url = f'http://127.0.0.1:{ready}/cranberryscale/ready'
        self.resolve_url = (
            f'http://127.0.0.1:{directory}/cranberryscale/resolve'
            f'?name={HOST}&region=lisboa&zone={zone}'
        )
        self.control = f'127.0.0.1:{control}'
        self.fields = {
            'node-name': self.name,
            'ip': '127.0.0.1',
            'zone': zone,
            'region': 'lisboa',
            'limits': {'cpu-share': 0.86, 'memory-mb': 300},
            'listen': {
                'front': f'127.0.0.1:{front}',
                'ready': f'127.0.0.1:{ready}',
                'control': self.control,
                'directory': f'127.0.0.1:{directory}',
            },
            'internal-ports': [internal, internal],
            'platform': {'address': store_address},
            'bounds': BOUNDS,
            'seeds': [],
        }
        self.folder = pathlib.Path(folder)
        self.settings = self.folder / f'{self.name}.toml'
        self.process = None

    def start(self, seeds):
        """Write the settings and start the process."""
        role = tomllib.loads((ROOT / 'deploy/system.toml').read_text())[
            'roles'
        ]['entry']
        template = (ROOT / role['template']).read_text()
        self.fields['seeds'] = list(seeds)
        self.settings.write_text(render_template(template, self.fields))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['CRANBERRYSCALE_BOOT'] = str(self.settings)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            self.process = subprocess.Popen(
                role['run'].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )
        self.record.write('started', machine=self.name)

    def send_signal(self, number):
        """Send a signal to the process that this script started."""
        self.record.write(
            'signal', machine=self.name, name=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def is_ready(self):
        """Return whether the platform's readiness check passes."""
        try:
            with urllib.request.urlopen(self.ready_url, timeout=1) as reply:
                return reply.status == 200
        except OSError:
            return False

    def list_addresses(self):
        """Return the addresses that the directory names."""
        try:
            with urllib.request.urlopen(self.resolve_url, timeout=1) as reply:
                return json.load(reply)['addresses']
        except (OSError, ValueError, KeyError):
            return []


class Fleet:
    """All instances; ends them by their process ids at the end."""

    def __init__(self, record, folder, store, zones, per_zone):
        self.instances = [
            Instance(record, folder, number, zone, store.address)
            for zone in zones
            for number in range(1, per_zone + 1)
        ]
        # At most three seeds, in different zones.
        self.seeds = [
            self.instances[n * per_zone].control for n in range(len(zones))
        ][:3]

    def __enter__(self):
        try:
            for instance in self.instances:
                instance.start(self.seeds)
            self._wait_until_ready()
        except BaseException:
            self.__exit__()
            raise
        return self

    def _wait_until_ready(self):
        until = time.monotonic() + READY_LIMIT_S + len(self.instances)
        waiting = list(self.instances)
        while waiting:
            waiting = [
                i
                for i in waiting
                if len(i.list_addresses()) < len(self.instances)
            ]
            if time.monotonic() > until:
                raise CannotRun(f'{len(waiting)} instances are not ready')
            time.sleep(0.5)
        # Machines are in touch after `contact`; holders after two seconds.
        time.sleep(3.5)

    def __exit__(self, *_):
        for instance in self.instances:
            if instance.process and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
        for instance in self.instances:
            if instance.process:
                instance.process.wait()


class Answer:
    """What a client got: `status` 0 means no complete answer."""

    def __init__(self, status, body_bytes, expected_bytes, error, headers):
        self.status, self.error = status, error
        self.body_bytes, self.expected_bytes = body_bytes, expected_bytes
        self.headers = headers

    @property
    def is_complete(self):
        return bool(self.status) and self.body_bytes == self.expected_bytes


def format_request(method, path, request_id, key, deadline_ms, body=b''):
    """Return the bytes of a client's request."""
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
        f'Authorization: Bearer {key}',
    ]
    if method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


def read_answer(sock, buffered=b'', pace=None):
    """Read one answer with a length; return it and the bytes behind it.

    `pace()` is called before each read.
    """
    data, error = buffered, ''
    while True:
        head, end, rest = data.partition(b'\r\n\r\n')
        if end:
            lines = head.decode('latin-1').split('\r\n')
            headers = {
                n.strip().lower(): v.strip()
                for n, _, v in (line.partition(':') for line in lines[1:])
            }
            length = int(headers.get('content-length', '0'))
            if len(rest) >= length:
                status = int(lines[0].split()[1])
                answer = Answer(status, length, length, '', headers)
                return answer, rest[length:]
        try:
            if pace is not None:
                pace()
            part = sock.recv(65536)
            if not part:
                error = 'closed'
        except OSError as failure:
            part, error = b'', type(failure).__name__
        if not part:
            got = len(rest) if end else 0
            expected = length if end else 0
            status = int(head.split()[1]) if end else 0
            return Answer(status, got, expected or -1, error, {}), b''
        data += part


def run_case(main, folder):
    """Run a case and exit with 0 (held), 1 (broken) or 2 (cannot run)."""
    record = Record(folder)

    def stop(number, _frame):
        raise CannotRun(f'ended by signal {number}')

    signal.signal(signal.SIGTERM, stop)
    try:
        broken = main(record)
    except Exception as error:
        # An error of the script must not look like a broken rule.
        record.write('cannot_run', reason=repr(error))
        print(f'cannot run: {error!r}')
        sys.stdout.flush()
        os._exit(2)
    record.write('verdict', broken=broken)
    print('rule broken' if broken else 'rule held')
    sys.stdout.flush()
    os._exit(1 if broken else 0)
