"""A small deployment on loopback for the cases of this review.

The store and the upstreams are threads of the calling process. Each instance
is a process with the command of deploy/system.toml and settings rendered like
those of deploy/settings.template.toml. Only the standard library and the
project's own store stand-in are used.
"""

import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
DEPENDENCIES = ROOT / 'target' / 'deps'
sys.path[:0] = [str(ROOT), str(DEPENDENCIES)]

from standins import machines  # noqa: E402

HOST = 'shop.example'
ZONES = ('a', 'b', 'c')
KEY = 'key-of-tenant-one-0001'
SEAL = 'X-Upstream-Seal'

# Bounds of a small deployment, from DEPLOY.md.
TERMS = {
    'contact': '3000ms',
    'drain': '2000ms',
    'grace': '6s',
    'config_apply': '2000ms',
    'evacuation': '5000ms',
    'longest_answer': '5s',
    'repeat_ratio': 0.2,
    'repeat_window': '10s',
    'repeat_slack': 62,
    'quota_window': '5s',
    'quota_excess': 0.25,
    'quota_slack': 20,
    'floor_ratio': 0.7,
}


class Record:
    """The record of a run: what was sent, answered and run, by time."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open('w', encoding='utf-8')
        self._lock = threading.Lock()
        self._began = time.monotonic()

    def add(self, event: str, /, **fields) -> None:
        """Write one line."""
        at = time.monotonic() - self._began
        text = ' '.join(f'{k}={v!r}' for k, v in fields.items())
        with self._lock:
            self._file.write(f'{at:8.3f} {event} {text}\n')
            self._file.flush()


class Request:
    """A request as an upstream received it."""

    def __init__(self, method, target, headers, at):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b''
        self.at = at

    @property
    def request_id(self) -> str:
        return self.headers.get('x-request-id', '')


class Broken(Exception):
    """The other end closed the connection or sent no valid message."""


class Stream:
    """Reader of HTTP messages on a socket."""

    def __init__(self, sock: socket.socket):
        self.sock = sock
        self._data = b''

    def _fill(self) -> None:
        try:
            data = self.sock.recv(65536)
        except OSError as error:
            raise Broken(type(error).__name__) from error
        if not data:
            raise Broken('end of file')
        self._data += data

    def read_until(self, end: bytes) -> bytes:
        while end not in self._data:
            self._fill()
        head, _, self._data = self._data.partition(end)
        return head

    def read_exactly(self, count: int) -> bytes:
        while len(self._data) < count:
            self._fill()
        data, self._data = self._data[:count], self._data[count:]
        return data

    def read_to_end(self) -> bytes:
        try:
            while True:
                self._fill()
        except Broken as error:
            if str(error) != 'end of file':
                raise
        data, self._data = self._data, b''
        return data

    def read_chunks(self) -> bytes:
        body = b''
        while True:
            size = int(self.read_until(b'\r\n').partition(b';')[0], 16)
            if not size:
                while self.read_until(b'\r\n'):
                    pass
                return body
            body += self.read_exactly(size)
            if self.read_exactly(2) != b'\r\n':
                raise Broken('chunk end')

    def read_head(self) -> tuple[str, dict[str, str]]:
        lines = self.read_until(b'\r\n\r\n').decode('latin-1').split('\r\n')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        return lines[0], headers

    def read_body(self, headers: dict[str, str]) -> bytes:
        if headers.get('transfer-encoding', '').lower() == 'chunked':
            return self.read_chunks()
        return self.read_exactly(int(headers.get('content-length', '0')))


class Upstream:
    """An upstream that runs requests and records each run.

    `on_head(upstream, request, stream)` may answer before the body is read;
    it returns True if it ended the request. `work_s` is the time of a run.
    `respond(upstream, request, stream)` writes the answer.
    """

    def __init__(self, stage, name, service, zone, slots=6, work_s=0.02):
        self.stage = stage
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.born = int(time.time() * 1000)
        self.warmup = '0ms'
        self.state = 'ready'
        self.on_head = None
        self.on_run = None
        self.respond = Upstream.answer
        self.is_accepting = True
        self.connections: set[socket.socket] = set()
        self.listener = socket.create_server(('127.0.0.1', 0), backlog=256)
        self.address = '127.0.0.1:%d' % self.listener.getsockname()[1]
        self._sequence = itertools.count(1)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connections.add(sock)
            threading.Thread(
                target=self._serve, args=(sock,), daemon=True
            ).start()

    def _serve(self, sock: socket.socket) -> None:
        stream = Stream(sock)
        with contextlib.suppress(Broken, OSError, ValueError):
            while self._serve_one(stream):
                pass
        self.connections.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def _serve_one(self, stream: Stream) -> bool:
        line, headers = stream.read_head()
        method, target, _ = line.split(' ', 2)
        request = Request(method, target, headers, time.monotonic())
        record = self.stage.record
        if headers.get('x-target-instance', self.name) != self.name:
            stream.read_body(headers)
            record.add('misdirected', server=self.name, id=request.request_id)
            self.send(stream, request, 421, b'')
            return True
        if self.on_head is not None and self.on_head(self, request, stream):
            return True
        try:
            request.body = stream.read_body(headers)
        except (Broken, ValueError) as error:
            record.add(
                'body_incomplete',
                server=self.name,
                id=request.request_id,
                why=str(error),
            )
            raise
        self.stage.add_run(self, request)
        if self.on_run is not None and self.on_run(self, request, stream):
            return False
        time.sleep(self.work_s)
        return self.respond(self, request, stream) is not False

    def send(self, stream, request, status, body, **headers) -> None:
        """Send a whole answer."""
        lines = [
            f'HTTP/1.1 {status} Answer',
            f'X-Request-Id: {request.request_id}',
            f'Content-Length: {len(body)}',
        ]
        lines += [f'{n.replace("_", "-")}: {v}' for n, v in headers.items()]
        head = '\r\n'.join((*lines, '\r\n')).encode('latin-1')
        stream.sock.sendall(head + body)

    def answer(self, request, stream) -> bool:
        """Send a sealed success that names server, id and body length."""
        body = f'{self.name} {request.request_id} {len(request.body)}'
        self.send(
            stream,
            request,
            200,
            body.encode(),
            X_Upstream_Seal=f'{self.name}.{request.request_id}',
        )
        return True

    def publish(self) -> None:
        """Write the entry to the store."""
        entry = {
            'address': self.address,
            'born': self.born,
            'info': {
                'service': self.service,
                'version': 'v1',
                'zone': self.zone,
                'slots': self.slots,
            },
            'status': {
                'state': self.state,
                'sequence': next(self._sequence),
                'warmup-left': self.warmup,
            },
        }
        self.stage.store.put(
            f'servers/{self.name}', json.dumps(entry).encode()
        )

    def close(self) -> None:
        """Stop listening and end all connections."""
        with contextlib.suppress(OSError):
            self.listener.close()
        for sock in tuple(self.connections):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


class Dose:
    """Which answers of the upstreams are troubled, by the pages' limits.

    At most a share of the upstreams is troubled, and there at most the part
    `x` of the requests that reached them.
    """

    def __init__(self, upstreams, share: float, x: float):
        self._x = x
        self._arrived = {
            u: 0 for u in upstreams[: int(len(upstreams) * share)]
        }
        self._troubled = dict.fromkeys(self._arrived, 0)
        self._lock = threading.Lock()

    def count(self, upstream) -> None:
        """Count a request that reached an upstream."""
        with self._lock:
            if upstream in self._arrived:
                self._arrived[upstream] += 1

    def take(self, upstream) -> bool:
        """Return whether one more answer of an upstream may be troubled."""
        with self._lock:
            if upstream not in self._arrived:
                return False
            used = self._troubled[upstream] + 1
            if used > self._x * self._arrived[upstream]:
                return False
            self._troubled[upstream] = used
            return True

    def describe(self) -> str:
        """Return the counts for the record."""
        return ', '.join(
            f'{u.name}: {self._troubled[u]} of {n}'
            for u, n in self._arrived.items()
        )


def read_run_command() -> list[str]:
    """Return the command of the deploy file, run by this interpreter."""
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    words = shlex.split(deploy['roles']['entry']['run'])
    return [sys.executable, *words[1:]]


# In random order, each of them used once.
_PORTS = iter(random.sample(range(15000, 32000), 17000))


def find_ports(count: int) -> list[int]:
    """Return free ports below those that the kernel gives to clients."""
    found = []
    for port in _PORTS:
        try:
            socket.create_server(('127.0.0.1', port)).close()
        except OSError:
            continue
        found.append(port)
        if len(found) == count:
            break
    return found


class Instance:
    """One process of the system."""

    LISTENERS = ('callers', 'health', 'peers', 'directory', 'operators')

    def __init__(self, stage, number: int):
        self.stage = stage
        self.label = f'front-{number}'
        self.zone = ZONES[number % len(ZONES)]
        ports = find_ports(len(self.LISTENERS))
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(self.LISTENERS, ports, strict=True)
        }
        self.settings = stage.folder / f'{self.label}.toml'
        self.log = stage.folder / f'{self.label}.log'
        self.store_address = stage.store.address
        # The address by which the others know it; that of a relay, if any.
        self.name = self.addresses['peers']
        self.process = None

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.addresses['callers'].split(':')
        return host, int(port)

    def start(self) -> None:
        """Write the settings and start the process."""
        seeds = [i.name for i in self.stage.instances[:3]]
        lines = [
            f'name = "{self.name}"',
            f'label = "{self.label}"',
            f'domain = "{self.zone}"',
            'region = "r"',
            'cores = 0.86',
            'core_speed = 1',
            'memory_mb = 300',
            'max_fds = 4100',
            f'seeds = {json.dumps(seeds)}',
            '[addresses]',
            *(f'{n} = "{a}"' for n, a in self.addresses.items()),
            '[platform]',
            f'address = "{self.store_address}"',
            '[terms]',
            *(f'{n} = {json.dumps(v)}' for n, v in TERMS.items()),
        ]
        self.settings.write_text('\n'.join(lines) + '\n')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CRANBERRYSCALE_BOOT'] = str(self.settings)
        environment['PYTHONPATH'] = f'{DEPENDENCIES}:{ROOT}'
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                read_run_command(),
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )
        self.stage.record.add('start', instance=self.label)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.stage.record.add(
                'signal', instance=self.label, signal=number.name
            )
            self.process.send_signal(number)

    def fetch(self, listener: str, path: str) -> tuple[int, bytes]:
        """Return status and body of a page, status 0 without an answer."""
        host, port = self.addresses[listener].split(':')
        try:
            with socket.create_connection((host, int(port)), 1) as sock:
                sock.settimeout(1)
                sock.sendall(
                    f'GET {path} HTTP/1.1\r\nHost: x\r\n'
                    'Connection: close\r\n\r\n'.encode()
                )
                stream = Stream(sock)
                line, headers = stream.read_head()
                return int(line.split()[1]), stream.read_body(headers)
        except (OSError, Broken, ValueError):
            return 0, b''

    def list_addresses(self) -> list[str]:
        """Return what the directory of this instance names."""
        path = f'/cranberryscale/resolve?name={HOST}&region=r&zone={self.zone}'
        status, body = self.fetch('directory', path)
        return json.loads(body)['addresses'] if status == 200 else []


class Answer:
    """What a client saw; status 0 and `why` without a whole answer."""

    def __init__(self, status=0, headers=None, body=b'', why=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.why = why


class Stage:
    """Store, upstreams and instances of one run."""

    def __init__(self, case: pathlib.Path, instances=3):
        self.record = Record(case / 'record.txt')
        self._temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = pathlib.Path(self._temporary.name)
        self.store = machines.KeyValueStoreServer()
        self.upstreams: list[Upstream] = []
        self.runs: list[tuple[Upstream, Request]] = []
        self._lock = threading.Lock()
        self.instances = [Instance(self, n) for n in range(instances)]
        self.version = 0

    def add_upstream(self, name, service, zone, **fields) -> Upstream:
        upstream = Upstream(self, name, service, zone, **fields)
        self.upstreams.append(upstream)
        upstream.publish()
        return upstream

    def add_run(self, upstream: Upstream, request: Request) -> None:
        """Record that an upstream begins to run a request."""
        with self._lock:
            self.runs.append((upstream, request))
        self.record.add(
            'run',
            server=upstream.name,
            id=request.request_id,
            method=request.method,
            target=request.target,
            tenant=request.headers.get('x-tenant'),
            body_bytes=len(request.body),
        )

    def configure(self, routes, services, tenants, **limits) -> None:
        """Write the next configuration.

        `routes` are dictionaries, `services` maps names to fields, `tenants`
        are dictionaries.
        """

        def make_table(rows):
            columns = list(dict.fromkeys(k for row in rows for k in row))
            return {
                'columns': columns,
                'rows': [[row.get(c) for c in columns] for row in rows],
            }

        self.version += 3
        document = {
            'version': f'{self.version:08x}',
            'routes': make_table(routes),
            'services': make_table(
                [{'name': n} | f for n, f in services.items()]
            ),
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 1048576,
                'header-timeout': '3s',
                'idle-timeout': '15s',
            }
            | limits,
            'tenants': make_table(tenants),
        }
        self.store.put('op/config', json.dumps(document).encode())
        self.record.add('configuration', version=self.version)

    def start(self, limit_s=25.0) -> None:
        """Start all instances; wait until each names all of them."""
        for instance in self.instances:
            instance.start()
        expected = {i.addresses['callers'] for i in self.instances}
        until = time.monotonic() + limit_s
        while any(set(i.list_addresses()) != expected for i in self.instances):
            if time.monotonic() > until:
                raise TimeoutError('the instances did not become ready')
            time.sleep(0.1)
        # Every instance is in touch and may hold what it is to hold.
        time.sleep(3.5)
        self.record.add('ready')

    def close(self) -> None:
        """End all processes that were started."""
        for instance in self.instances:
            if instance.process is not None:
                with contextlib.suppress(OSError):
                    instance.process.send_signal(signal.SIGCONT)
                    instance.process.kill()
                instance.process.wait(10)
        for upstream in self.upstreams:
            upstream.close()
        self._temporary.cleanup()


def make_head(
    method, target, request_id, key=KEY, deadline_ms=5000, **headers
) -> bytes:
    """Return the head of a request as a client sends it."""
    lines = [
        f'{method} {target} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: {request_id}',
        f'X-Deadline-Ms: {deadline_ms}',
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines += [f'{n.replace("_", "-")}: {v}' for n, v in headers.items()]
    return '\r\n'.join((*lines, '\r\n')).encode('latin-1')


def read_answer(stream: Stream) -> Answer:
    """Read one whole answer; interim ones are skipped."""
    try:
        while True:
            line, headers = stream.read_head()
            status = int(line.split()[1])
            if status >= 200:
                break
        if status == 204 or status == 304:
            body = b''
        elif 'content-length' in headers or 'transfer-encoding' in headers:
            body = stream.read_body(headers)
        else:
            body = stream.read_to_end()
        return Answer(status, headers, body)
    except (Broken, ValueError, IndexError, TimeoutError) as error:
        return Answer(why=str(error))


def exchange(stage, instance, request_id, head, body=b'') -> Answer:
    """Send a request on a new connection; record and return its answer."""
    stage.record.add('sent', id=request_id, instance=instance.label)
    try:
        with socket.create_connection(instance.address, 2) as sock:
            sock.settimeout(8)
            sock.sendall(head + body)
            answer = read_answer(Stream(sock))
    except OSError as error:
        answer = Answer(why=type(error).__name__)
    stage.record.add(
        'answer', id=request_id, status=answer.status, why=answer.why
    )
    return answer


def send_usual(stage, count: int, method, target, prefix, **headers) -> None:
    """Send usual requests, one after the other, to all instances in turn."""
    served = 0
    for number in range(count):
        request_id = f'{prefix}{number:04}'
        head = make_head(method, target, request_id, **headers)
        instance = stage.instances[number % len(stage.instances)]
        served += exchange(stage, instance, request_id, head).status == 200
    stage.record.add('usual_requests', sent=count, served=served)
    if served < count * 0.95:
        raise RuntimeError(f'{served} of {count} usual requests were served')


def run_case(
    case_file: str, play, is_troubled: bool, instances: int = 3
) -> None:
    """Run `play(stage, is_troubled)`, with or without the disruption.

    Exits with 0 if the rule held, 1 if it was broken, 2 if it could not run.

    `play` returns the list of breaks of the rule.
    """
    case = pathlib.Path(case_file).resolve().parent
    stage = None
    code = 2
    try:
        stage = Stage(case, instances)
        stage.record.add('disruption', is_on=is_troubled)
        breaks = play(stage, is_troubled)
        for text in breaks:
            stage.record.add('BROKEN', what=text)
            print('broken:', text)
        code = 1 if breaks else 0
        print('rule broken' if breaks else 'rule held')
        stage.record.add('verdict', code=code)
    except Exception as error:
        print(f'could not run: {type(error).__name__}: {error}')
        if stage is not None:
            stage.record.add('could_not_run', why=repr(error))
    finally:
        if stage is not None:
            if os.environ.get('KEEP_LOGS'):
                target = pathlib.Path(os.environ['KEEP_LOGS'])
                target.mkdir(parents=True, exist_ok=True)
                for path in stage.folder.glob('*.log'):
                    (target / path.name).write_bytes(path.read_bytes())
            stage.close()
    sys.stdout.flush()
    os._exit(code)
