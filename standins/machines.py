"""A local deployment: key-value store, stand-in servers and instances.

The instances read their configuration and the servers' entries from the store,
not from Consul as those of standins.fleet do. The store and the servers run in
threads of the caller's process. Each instance is a real process with its own
settings, listening on loopback.
"""

import base64
from collections.abc import Iterable
from collections.abc import Mapping
from concurrent import futures
import contextlib
import http.server
import itertools
import json
import math
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import types
from typing import Any
from typing import NamedTuple
import urllib.parse

import urllib3

from standins import fleet


__all__ = [
    'FleetEnvironment',
    'Instance',
    'KeyValueStoreServer',
    'StandInServer',
    'encode_configuration',
]

ROOT = pathlib.Path(__file__).parent.parent
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
SPAWN_TIMEOUT_S = 5.0
RECENT_REQUESTS = 500
DOMAINS = ('a', 'b', 'c')
HOST = 'h.example'
LISTENERS = ('callers', 'health', 'peers', 'directory', 'operators')


class _LoopbackHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *_values) -> None:
        """Log nothing: tests read the recorded requests instead."""

    def send_whole_response(
        self, status: int, body: bytes, headers: dict[str, str] | None = None
    ) -> None:
        """Send a response with its length and body."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class _LoopbackServer(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def __init__(self, owner: Any, handler: type):
        super().__init__(('127.0.0.1', 0), handler)
        self.owner = owner
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Return host:port."""
        return f'127.0.0.1:{self.server_port}'

    def handle_error(self, request, client_address) -> None:
        """Ignore errors of connections that the client closed early."""


class _StoreHandler(_LoopbackHandler):
    def do_GET(self) -> None:
        """Respond to a call of the store's HTTP interface."""
        store = self.server.owner
        path, _, query = self.path.partition('?')
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        store.calls += 1
        if store.is_silent:
            time.sleep(STOP_TIMEOUT_S)
        if store.refusal_status:
            self._send(StoreAnswer(store.era, store.refusal_status))
            return
        match path:
            case '/cranberryscale/kv-range':
                self._send(store.read_range(fields))
            case '/cranberryscale/kv-watch':
                self._send(store.wait_events(fields))
            case _:
                self._send(StoreAnswer(store.era, 404))

    def _send(self, answer: 'StoreAnswer') -> None:
        headers = {}
        era = self.server.owner.era_header.format(era=answer.era)
        if era:
            headers['Store-Era'] = era
        body = b''
        if answer.value is not None:
            headers['Content-Type'] = 'application/json'
            body = json.dumps(answer.value).encode()
        self.send_whole_response(answer.status, body, headers)


class StoreAnswer(NamedTuple):
    """An answer of the store, with the era of its content."""

    era: int
    status: int = 200
    value: dict[str, Any] | None = None


class _StoreCopy(NamedTuple):
    entries: dict[str, dict]
    events: list[dict]
    first_revision: int
    revision: int


class KeyValueStoreServer:
    """An in-memory key-value store with revisions, served over HTTP.

    A `refusal_status` other than 0 is the status of all its responses. While
    `is_silent`, it delays them by STOP_TIMEOUT_S. In `era_header`, the value
    of the header with the era, "{era}" stands for the era; empty for none.
    """

    def __init__(self, page_size: int = 500):
        self.calls = 0
        self.refusal_status = 0
        self.is_silent = False
        self._page_size = page_size
        # Reentrant, since `write_again` calls `put` and `remove`.
        self._changed = threading.Condition(threading.RLock())
        self._entries: dict[str, dict] = {}
        self._events: list[dict] = []
        self._first_revision = 1
        self.revision = 1
        self.era = 1
        self.era_header = '{era}'
        self._copy: _StoreCopy | None = None
        # Entries that the last return from a copy lost, None for removed ones.
        self._lost: dict[str, bytes | None] = {}
        self._listener = _LoopbackServer(self, _StoreHandler)
        self.address = self._listener.address

    def put(self, key: str, body: bytes) -> int:
        """Write an entry, notify watches and return its revision."""
        with self._changed:
            self._lost.pop(key, None)
            self.revision += 1
            item = {
                'key': key,
                'value': base64.b64encode(body).decode(),
                'revision': self.revision,
                'created': self.revision,
                'lease': 0,
            }
            self._entries[key] = item
            self._events.append(item)
            self._changed.notify_all()
            return self.revision

    def remove(self, key: str) -> None:
        """Remove an entry and notify watches."""
        with self._changed:
            self._lost.pop(key, None)
            self.revision += 1
            if self._entries.pop(key, None) is not None:
                self._events.append(
                    {'key': key, 'revision': self.revision, 'removed': True}
                )
            self._changed.notify_all()

    def compact(self) -> None:
        """Drop past events, so that watches must read all entries again."""
        with self._changed:
            self._events.clear()
            self._first_revision = self.revision + 1

    def take_copy(self) -> None:
        """Copy the present state, in place of the last copy."""
        with self._changed:
            self._copy = _StoreCopy(
                dict(self._entries),
                list(self._events),
                self._first_revision,
                self.revision,
            )

    def restore_copy(self) -> None:
        """Go back to the copy, whose revisions are given out again."""
        with self._changed:
            for key in {*self._entries, *self._copy.entries}:
                item = self._entries.get(key)
                if item != self._copy.entries.get(key):
                    self._lost[key] = item and base64.b64decode(item['value'])
            self._entries = dict(self._copy.entries)
            self._events = list(self._copy.events)
            self._first_revision = self._copy.first_revision
            self.revision = self._copy.revision
            self.era += 1
            self._changed.notify_all()

    def write_again(self) -> None:
        """Repeat what the writers of lost entries had written last."""
        with self._changed:
            for key, body in tuple(self._lost.items()):
                if body is None:
                    self.remove(key)
                else:
                    self.put(key, body)

    def read_range(self, fields: dict[str, str]) -> StoreAnswer:
        """Return one page of the entries under a prefix, in order of keys."""
        prefix, after = fields.get('prefix', ''), fields.get('after', '')
        with self._changed:
            keys = sorted(
                key
                for key in self._entries
                if key.startswith(prefix) and key > after
            )
            page = {
                'items': [
                    self._entries[key] for key in keys[: self._page_size]
                ],
                'has-more': len(keys) > self._page_size,
                'current-rev': self.revision,
            }
            return StoreAnswer(self.era, value=page)

    def wait_events(self, fields: dict[str, str]) -> StoreAnswer:
        """Return events after a revision, 410 if the store has none of them.

        Waits for the first event up to `wait-ms` milliseconds.
        """
        after, wait_s = int(fields['after']), int(fields['wait-ms']) / 1000
        with self._changed:
            self._changed.wait_for(lambda: self.revision != after, wait_s)
            if after + 1 < self._first_revision or after > self.revision:
                return StoreAnswer(self.era, 410)
            events = [e for e in self._events if e['revision'] > after]
            value = {'events': events, 'current-rev': self.revision}
            return StoreAnswer(self.era, value=value)

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown()
        self._listener.server_close()


class _StandInServerHandler(_LoopbackHandler):
    def setup(self) -> None:
        """Register the connection, so that the server can end it."""
        super().setup()
        self.server.owner.connections.add(self.connection)

    def finish(self) -> None:
        """Forget the connection."""
        self.server.owner.connections.discard(self.connection)
        super().finish()

    def handle_request(self) -> None:
        """Run a request, or refuse it as not executed."""
        server: StandInServer = self.server.owner
        request_id = self.headers.get('X-Request-Id', '')
        body = self.rfile.read(int(self.headers.get('Content-Length', '0')))
        target = self.headers.get('X-Target-Instance')
        echo = {'X-Request-Id': request_id} | server.make_statements()
        if server.is_down:
            self.close_connection = True
            return
        if target not in (None, server.name):
            self.send_whole_response(421, b'', echo)
            return
        refusal = {'X-Not-Executed': '1'}
        rest = server.rest
        server.arrivals.append(
            Arrival(request_id, time.monotonic(), float(rest or 0))
        )
        if self.path == server.fatal_path:
            server.crash()
            self.close_connection = True
            return
        if rest:
            refusal['Retry-After'] = rest
        is_repeat = server.repeats != 'run' and server.has_run_elsewhere(
            request_id
        )
        if is_repeat and server.repeats == 'reset':
            self.close_connection = True
            return
        if (
            rest
            or is_repeat
            or server.draw_shed()
            or not server.start_request(
                request_id, self.headers, self.command, self.path
            )
        ):
            self.send_whole_response(503, b'', echo | refusal)
            return
        work = server.start_work(request_id)
        if self.path in server.fatal_paths:
            server.end()
        end = 'dropped'
        try:
            is_waited = self._wait_until(work.due_s)
            if not is_waited or server.is_dying:
                self.close_connection = True
                return
            status = server.status
            content = f'{server.name} {request_id} '.encode() + body
            seal = {'X-Upstream-Seal': f'{server.name}.{request_id}'}
            self.send_whole_response(status, content, echo | seal)
            end = 'answered'
        finally:
            server.finish_work(work, end)
            server.finish_request()

    def _wait_until(self, due_s: float) -> bool:
        """Wait; return False if the connection is closed before the time."""
        left_s = max(0.001, due_s - time.monotonic())
        self.connection.settimeout(None if math.isinf(left_s) else left_s)
        try:
            if not self.connection.recv(1, socket.MSG_PEEK):
                return False
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            self.connection.settimeout(None)
        time.sleep(max(0.0, due_s - time.monotonic()))
        return True

    do_GET = do_POST = handle_request


class Arrival(NamedTuple):
    """A request that reached a server, which may have turned it away.

    `rest_s` is then the time to come back that it named.
    """

    request_id: str
    at_s: float
    rest_s: float = 0.0


class Work(NamedTuple):
    """The work of a server on one request.

    `due_s` is when the answer is complete, infinite for one that never is.
    `end` is "answered", "dropped" (the connection was closed by the other
    end), "died" (the server ended) or, for work that goes on, "open".
    """

    server: str
    request_id: str
    began_s: float
    due_s: float
    ended_s: float
    end: str


class ExecutedRequest(NamedTuple):
    """A request that a server ran; names of headers are in lower case."""

    server: str
    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    at_s: float


class StandInServer:
    """A backend server that appends the requests it runs to `executed`.

    It runs at most `slots` requests at a time, each for `service_s`. While
    `limit` is set, all answers name it, and while `is_leaving`, all say so.
    While `rest` is set, all requests are turned away, with it as the time to
    come back. `arrivals` are all requests that arrived, whether they ran or
    not. `born` tells its processes apart. While `is_mute`, it works on
    requests without ever answering, while `is_down`, it closes all
    connections, and while `is_dying`, it closes them in place of a response.
    A request for one of `fatal_paths` ends it as soon as it runs; one for
    `fatal_path` ends its process, which restarts at once, and `crashes`
    counts these.

    It refuses `shed_ratio` of the requests as not executed, whether it has a
    free slot or not.

    `repeats` is what it does with requests that another server of `executed`
    began to run: "run", "shed" (refuse as not executed) or "reset" (close the
    connection).
    """

    def __init__(
        self,
        name: str,
        service: str,
        domain: str,
        executed: list[ExecutedRequest],
        slots: int = 4,
        service_s: float = 0.03,
    ):
        self.name = name
        self.service = service
        self.domain = domain
        self.slots = slots
        self.service_s = service_s
        self.status = 200
        self.limit = ''
        self.is_leaving = False
        self.is_dying = False
        self.rest = ''
        self.is_mute = False
        self.is_down = False
        self.ended_s = 0.0
        self.repeats = 'run'
        self.shed_ratio = 0.0
        self.fatal_paths: set[str] = set()
        self.fatal_path = ''
        self.crashes = 0
        self.born = 1
        self.arrivals: list[Arrival] = []
        self.connections: set[socket.socket] = set()
        self._work: list[Work] = []
        self._open_work: list[Work] = []
        self._executed = executed
        self._rng = random.Random(name)
        self._running = 0
        self._lock = threading.Lock()
        self._listener = _LoopbackServer(self, _StandInServerHandler)
        self.address = self._listener.address

    def start_request(
        self, request_id, headers, method: str, path: str
    ) -> bool:
        """Occupy a slot and record the request; False if none is free."""
        with self._lock:
            if self._running >= self.slots:
                return False
            self._running += 1
        lower_headers = {
            name.lower(): value for name, value in headers.items()
        }
        self._executed.append(
            ExecutedRequest(
                self.name,
                request_id,
                method,
                path,
                lower_headers,
                time.monotonic(),
            )
        )
        return True

    def draw_shed(self) -> bool:
        """Return whether to refuse a request as not executed."""
        with self._lock:
            return self._rng.random() < self.shed_ratio

    def has_run_elsewhere(self, request_id: str) -> bool:
        """Return whether another server began to run the request lately."""
        recent = itertools.islice(reversed(self._executed), RECENT_REQUESTS)
        return any(
            run.request_id == request_id and run.server != self.name
            for run in recent
        )

    def start_work(self, request_id: str) -> Work:
        """Record that work on a request begins."""
        now_s = time.monotonic()
        due_s = math.inf if self.is_mute else now_s + self.service_s
        work = Work(self.name, request_id, now_s, due_s, math.inf, 'open')
        with self._lock:
            self._open_work.append(work)
        return work

    def finish_work(self, work: Work, end: str) -> None:
        """Record how work ended, unless the server's end was recorded."""
        with self._lock:
            if work in self._open_work:
                self._end_work(work, end)

    def _end_work(self, work: Work, end: str) -> None:
        self._open_work.remove(work)
        self._work.append(work._replace(ended_s=time.monotonic(), end=end))

    @property
    def work(self) -> tuple[Work, ...]:
        """Return the work on all requests, open work at the end."""
        with self._lock:
            return (*self._work, *self._open_work)

    def end(self) -> None:
        """End like a process: close all connections and drop all work."""
        with self._lock:
            self.is_down = True
            self.ended_s = time.monotonic()
            for work in tuple(self._open_work):
                self._end_work(work, 'died')
        for connection in tuple(self.connections):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def restart(self) -> None:
        """Accept connections as a new process."""
        self.born += 1
        self.is_down = False

    @property
    def arrivals_s(self) -> list[float]:
        """Return the times of all arrivals."""
        return [arrival.at_s for arrival in self.arrivals]

    def make_statements(self) -> dict[str, str]:
        """Return the headers by which all answers describe the server."""
        statements = {'Server-Limit': self.limit} if self.limit else {}
        if self.is_leaving:
            statements['Server-Leaving'] = '1'
        return statements

    def crash(self) -> None:
        """End the process and start another one."""
        with self._lock:
            self.crashes += 1
            self.born += 1

    def finish_request(self) -> None:
        """Free the request's slot."""
        with self._lock:
            self._running -= 1

    def make_entry(self, state: str = 'ready', warmup: str = '0ms') -> bytes:
        """Return the entry that the server writes to the store."""
        return json.dumps(
            {
                'address': self.address,
                'born': self.born,
                'info': {
                    'service': self.service,
                    'version': 'v1',
                    'zone': self.domain,
                    'slots': self.slots,
                },
                'status': {
                    'state': state,
                    'sequence': 1,
                    'warmup-left': warmup,
                },
            }
        ).encode()

    def close(self) -> None:
        """Stop listening."""
        self._listener.shutdown()
        self._listener.server_close()


def encode_configuration(
    version: int,
    keys: dict[str, list[str]],
    rate_per_s: float = 0,
    timeout: str = '2s',
    more_routes: Iterable[list[Any]] = (),
) -> bytes:
    """Return a configuration as an entry of the store.

    Requests under /read/ are idempotent and go to service x, those under
    /book/ are not and go to service y. `keys` lists the API keys of each
    customer, `more_routes` further rows of routes.
    """
    route_columns = ['name', 'host', 'prefix', 'route-type', 'timeout']
    route_columns += ['target-latency', 'priority', 'max-attempts', 'service']
    return json.dumps(
        {
            'version': f'{version:08x}',
            'routes': {
                'columns': route_columns,
                'rows': [
                    ['r1', HOST, '/read/', 'idempotent']
                    + [timeout, '500ms', 2, 2, 'x'],
                    ['r2', HOST, '/book/', 'non_idempotent']
                    + [timeout, '500ms', 1, 2, 'y'],
                    *more_routes,
                ],
            },
            'services': {
                'columns': ['name', 'max-conns', 'warmup', 'warmup-per-s'],
                'rows': [['x', 400, '1s', 5.0], ['y', 400, '1s', 5.0]],
            },
            'limits': {
                'max-header-bytes': 16384,
                'max-body-bytes': 1048576,
                'header-timeout': '3s',
                'idle-timeout': '15s',
            },
            'tenants': {
                'columns': ['name', 'api-keys', 'rate-per-s', 'burst'],
                'rows': [
                    [name, list(values), rate_per_s, int(rate_per_s)]
                    for name, values in keys.items()
                ],
            },
        }
    ).encode()


def _format_settings(values: Mapping[str, float]) -> str:
    return '\n'.join(f'{name} = {value}' for name, value in values.items())


class Instance:
    """One instance as a process, with addresses on loopback.

    Its settings file and log are in `folder`. `program` holds the arguments
    of the interpreter. `machine` and `limits` hold further settings of the
    top level and of the table `limits`.
    """

    program = ('-m', 'cranberryscale.platform.program')
    machine: Mapping[str, float] = types.MappingProxyType({})
    limits: Mapping[str, float] = types.MappingProxyType({})

    def __init__(self, number: int, folder: pathlib.Path, store_address: str):
        self.label = f'i{number:02}'
        self.domain = DOMAINS[number % len(DOMAINS)]
        ports = fleet.find_free_ports(len(LISTENERS))
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(LISTENERS, ports, strict=True)
        }
        self.log_path = folder / f'{self.label}.log'
        self.settings_path = folder / f'{self.label}.toml'
        self._store_address = store_address
        self.process: subprocess.Popen | None = None

    def start(self, seeds: Iterable[str]) -> None:
        """Write the settings and start the process, also after it ended."""
        quoted_seeds = ', '.join(f'"{seed}"' for seed in seeds)
        addresses = '\n'.join(
            f'{name} = "{address}"' for name, address in self.addresses.items()
        )
        # Without the table, the defaults of a deployment apply.
        limits = _format_settings(self.limits)
        limits = f'[limits]\n{limits}' if limits else ''
        self.settings_path.write_text(
            f'name = "{self.addresses["peers"]}"\n'
            f'label = "{self.label}"\n'
            f'domain = "{self.domain}"\n'
            'region = "r"\n'
            f'seeds = [{quoted_seeds}]\n'
            f'{_format_settings(self.machine)}\n'
            f'{limits}\n'
            f'[addresses]\n{addresses}\n'
            f'[platform]\naddress = "{self._store_address}"\n'
        )
        environment = os.environ | {
            'CRANBERRYSCALE_BOOT': str(self.settings_path),
            'PYTHONPATH': str(ROOT),
        }
        # A signal handler that raises runs in the main thread. If it
        # interrupted Popen, the process would run without being known here.
        # The executor does not wait for a thread during whose start it raised.
        spawned = threading.Event()
        with futures.ThreadPoolExecutor(1) as executor:
            try:
                executor.submit(self._spawn, environment, spawned).result()
            finally:
                spawned.wait(SPAWN_TIMEOUT_S)

    def _spawn(
        self, environment: dict[str, str], spawned: threading.Event
    ) -> None:
        try:
            with self.log_path.open('ab') as log:
                self.process = subprocess.Popen(
                    [sys.executable, *self.program],
                    stdout=log,
                    stderr=log,
                    cwd=ROOT,
                    env=environment,
                )
        finally:
            spawned.set()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is still running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def wait(self, limit_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to end and return its exit code."""
        return self.process.wait(limit_s)

    def fetch_page(self, listener: str, path: str) -> tuple[int, bytes]:
        """Return status and body of a page; status 0 if none was received."""
        try:
            response = urllib3.request(
                'GET',
                f'http://{self.addresses[listener]}{path}',
                retries=False,
                timeout=1.0,
            )
        except urllib3.exceptions.HTTPError:
            return 0, b''
        return response.status, response.data

    def is_ready(self) -> bool:
        """Return whether the instance reports that it is ready."""
        return self.fetch_page('health', '/cranberryscale/ready')[0] == 200

    def list_addresses(self) -> list[str]:
        """Return the addresses that the instance lists for callers."""
        status, body = self.fetch_page('directory', '/cranberryscale/resolve')
        return json.loads(body)['addresses'] if status == 200 else []


class FleetEnvironment:
    """A store, backend servers of the services x and y, and instances.

    `instances` and `servers` are their numbers, `servers` for each service.
    The requests that any server ran are in `executed`.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int = 3,
        servers: int = 3,
        keys: dict[str, list[str]] | None = None,
        rate_per_s: float = 0,
    ):
        self.executed: list[ExecutedRequest] = []
        self.store = KeyValueStoreServer()
        self.keys = keys or {'t1': ['key-of-t1-0001']}
        self.store.put(
            'op/config',
            encode_configuration(1, self.keys, rate_per_s=rate_per_s),
        )
        self.servers = [
            StandInServer(
                f's-{service}{number}',
                service,
                DOMAINS[number % len(DOMAINS)],
                self.executed,
            )
            for service in ('x', 'y')
            for number in range(servers)
        ]
        for server in self.servers:
            self.store.put(f'servers/{server.name}', server.make_entry())
        self.instances = [
            Instance(number, folder, self.store.address)
            for number in range(instances)
        ]
        self.seeds = [
            instance.addresses['peers'] for instance in self.instances[:3]
        ]

    def __enter__(self) -> 'FleetEnvironment':
        """Start the instances and wait until each lists all of them."""
        for instance in self.instances:
            instance.start(self.seeds)
        self.wait_for(self.has_converged)
        return self

    def __exit__(self, *_) -> None:
        """Kill the instances and close the servers and the store."""
        for instance in self.instances:
            if instance.process is not None:
                instance.send_signal(signal.SIGCONT)
                instance.send_signal(signal.SIGKILL)
        for instance in self.instances:
            if instance.process is not None:
                instance.process.wait(STOP_TIMEOUT_S)
        for server in self.servers:
            server.close()
        self.store.close()

    def has_converged(self) -> bool:
        """Return whether every instance lists all instances to callers."""
        expected = {i.addresses['callers'] for i in self.instances}
        return all(set(i.list_addresses()) == expected for i in self.instances)

    @staticmethod
    def wait_for(check, limit_s: float = START_TIMEOUT_S) -> None:
        """Wait until the check returns true.

        Raises TimeoutError after `limit_s` seconds.
        """
        until = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > until:
                raise TimeoutError(getattr(check, '__name__', 'check'))
            time.sleep(0.05)


def send_request(
    address: str,
    path: str,
    request_id: str,
    key: str = '',
    method: str = 'GET',
    body: bytes = b'',
    deadline_ms: int = 2000,
    patience_s: float | None = None,
    connections: urllib3.PoolManager | None = None,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request, perhaps on a connection kept from an earlier one.

    Returns status, headers and body; status 0 if no complete response
    arrived within `patience_s`, by default a second after the deadline.
    """
    if patience_s is None:
        patience_s = deadline_ms / 1000 + 1
    send = connections.request if connections else urllib3.request
    headers = {
        'Host': HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': str(deadline_ms),
    }
    if key:
        headers['Authorization'] = f'Bearer {key}'
    try:
        response = send(
            method,
            f'http://{address}{path}',
            headers=headers,
            body=body or None,
            retries=False,
            redirect=False,
            timeout=urllib3.Timeout(total=patience_s),
        )
    except (urllib3.exceptions.HTTPError, socket.error):
        return 0, {}, b''
    received = {n.lower(): value for n, value in response.headers.items()}
    return response.status, received, response.data
