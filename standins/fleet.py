"""A complete local fleet: platform, backend servers and instances.

Used by `make run`, by tests and by measurements with real processes. Each
part is a separate process, so that it can be killed or suspended.
"""

import argparse
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import time
from typing import Any
from typing import NamedTuple

import urllib3

from cranberryscale import console
from cranberryscale.version import configuration
from cranberryscale.version import subtrees
from cranberryscale.version import tree


__all__ = ['LocalFleet', 'main']

READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
# Below the range from which Linux assigns ports to outgoing connections.
LISTEN_PORTS = (10240, 32768)
# Token buckets start empty when their lease is acquired, so customers with
# low rates would be refused in the first seconds.
FILL_S = 3.0
SECRET = 'a secret for fleets on loopback'
PREFIX = 'cranberryscale'
SERVER_ADDRESS = re.compile(r'^(address = )"127\.0\.0\.1:(\d+)"', re.MULTILINE)

_SETTINGS_TEMPLATE = """\
name = "{name}"
domain = "{domain}"
secret = "{secret}"
[addresses]
callers = "{callers}"
peers = "{peers}"
operators = "{operators}"
[platform]
url = "{url}"
[timeouts]
answer_lifetime_s = {lifetime_s}
list_lag_s = {lag_s}
"""


class Member(NamedTuple):
    """The name, failure domain and addresses of one instance."""

    name: str
    domain: str
    callers: str
    peers: str
    operators: str


# All ports in random order; each is tried once before any is tried again.
_ports = itertools.cycle(
    random.sample(range(*LISTEN_PORTS), k=LISTEN_PORTS[1] - LISTEN_PORTS[0])
)


def find_free_ports(count: int) -> list[int]:
    """Return distinct ports on loopback that are free now.

    They are below the ports that the kernel assigns to outgoing connections,
    which could otherwise occupy one before the process that is meant to
    listen there has started. That process may start much later, so a port is
    not returned again before all others were tried.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = next(_ports)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(('127.0.0.1', port))
            ports.append(port)
    return ports


class LocalFleet:
    """A running fleet whose configuration is a directory of documents.

    Settings, logs and the published copy of the documents are in `folder`.
    `count` is the number of instances; `lifetime_s` and `lag_s` are their
    settings `answer_lifetime_s` and `list_lag_s`; `service_ms` is the time
    for which a backend server runs a request. `processes` maps names to
    processes.
    """

    def __init__(
        self,
        documents: pathlib.Path,
        folder: pathlib.Path,
        count: int = 6,
        lifetime_s: float = 1.0,
        lag_s: float = 1.0,
        service_ms: float = 10.0,
    ):
        self.folder = folder
        self.http = urllib3.PoolManager(retries=False, maxsize=16)
        self.processes: dict[str, subprocess.Popen] = {}
        self._count = count
        self._times = (lifetime_s, lag_s)
        self._service_ms = service_ms
        self.backend_port = 0
        self.configuration = configuration.Configuration()
        self._documents = {
            subtree.team: dict(subtree.documents)
            for subtree in subtrees.load_directory(documents)
        }
        self._versions = dict.fromkeys(self._documents, 0)
        self.members: tuple[Member, ...] = ()
        self._platform_port, self._control_port = find_free_ports(2)

    def __enter__(self) -> 'LocalFleet':
        """Start all parts and wait until every instance is ready."""
        try:
            self._start_servers_on_free_ports()
            self._start_platform()
            self.members = tuple(self._list_members())
            self.publish_instances()
            for member in self.members:
                self.start_instance(member)
            self.wait_until_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_) -> None:
        """Stop all processes that are still running."""
        self.stop()

    def _start_servers_on_free_ports(self) -> None:
        """Replace the backend servers' ports by free ones and start them."""
        published_ports = sorted(
            {
                port
                for texts in self._documents.values()
                for text in texts.values()
                for _, port in SERVER_ADDRESS.findall(text)
            }
        )
        *free, self.backend_port = find_free_ports(len(published_ports) + 1)
        ports = dict(zip(published_ports, free))
        for texts in self._documents.values():
            for name, text in texts.items():
                texts[name] = SERVER_ADDRESS.sub(
                    lambda m: f'{m[1]}"127.0.0.1:{ports[m[2]]}"', text
                )
        for team in self._documents:
            self._write_subtree(team, 'operator@example.org')
        config_tree = tree.ConfigurationTree()
        config_tree.apply_subtrees(
            subtrees.load_directory(self.folder / 'documents')
        )
        self.configuration = config_tree.configuration
        self._start_backends()

    def _start_backends(self) -> None:
        servers = self.configuration.servers.values()
        self._start_process(
            'backends',
            'standins.backend',
            f'--control=127.0.0.1:{self.backend_port}',
            f'--slots={max(server.slots for server in servers)}',
            f'--service-ms={self._service_ms}',
            *(f'--server={s.name}={s.address}' for s in servers),
        )

    def _start_platform(self) -> None:
        documents = self.folder / 'documents'
        self.folder.joinpath('instances.json').write_text('[]')
        self._start_process(
            'platform',
            'standins.platform',
            f'--port={self._platform_port}',
            f'--control-port={self._control_port}',
            f'--documents={documents}',
            f'--instances={self.folder / "instances.json"}',
        )
        self._wait_for(
            lambda: self.call_platform_control('GET', '/') is not None
        )

    def _write_subtree(self, team: str, changed_by: str) -> dict[str, str]:
        folder = self.folder / 'documents' / team
        folder.mkdir(parents=True, exist_ok=True)
        for name, text in self._documents[team].items():
            if name != subtrees.MANIFEST:
                folder.joinpath(name).write_text(text, 'utf-8')
        self._versions[team] += 1
        manifest = subtrees.make_manifest(
            folder, self._versions[team], f'team {team}', changed_by
        )
        folder.joinpath(subtrees.MANIFEST).write_text(manifest, 'utf-8')
        return {
            f'{PREFIX}/{team}/{path.name}': path.read_text('utf-8')
            for path in folder.glob('*.toml')
        }

    def publish_document(
        self, team: str, name: str, text: str, changed_by: str = 'test'
    ) -> int:
        """Publish one changed document; return the subtree's new version."""
        self._documents[team][name] = text
        self.call_platform_control(
            'PUT', '/values', self._write_subtree(team, changed_by)
        )
        return self._versions[team]

    def read_document(self, team: str, name: str) -> str:
        """Return a published document."""
        return self._documents[team][name]

    def call_platform_control(
        self, method: str, path: str, value: Any = None
    ) -> Any:
        """Call the control address of the platform stand-in.

        Returns the decoded response, None if the platform is unreachable.
        """
        url = f'http://127.0.0.1:{self._control_port}{path}'
        body = None if value is None else json.dumps(value)
        try:
            response = self.http.request(method, url, body=body, timeout=5)
            return json.loads(response.data)
        except urllib3.exceptions.HTTPError:
            return None

    def _list_members(self):
        domains = sorted(self.configuration.domains)
        ports = [f'127.0.0.1:{p}' for p in find_free_ports(3 * self._count)]
        for number in range(self._count):
            yield Member(
                f'i{number + 1:02}',
                domains[number % len(domains)],
                *ports[3 * number : 3 * number + 3],
            )

    def publish_instances(self, leaving: frozenset[str] = frozenset()) -> None:
        """Publish the instance list; `leaving` are names of instances."""
        self.call_platform_control(
            'PUT',
            '/instances',
            [
                {
                    'ID': member.name,
                    'Address': member.peers.partition(':')[0],
                    'Port': int(member.peers.partition(':')[2]),
                    'Meta': {
                        'domain': member.domain,
                        'callers': member.callers,
                        'operators': member.operators,
                        'leaving': str(member.name in leaving).lower(),
                    },
                }
                for member in self.members
            ],
        )

    def start_instance(self, member: Member) -> None:
        """Start or restart an instance."""
        lifetime_s, lag_s = self._times
        path = self.folder / f'{member.name}.toml'
        path.write_text(
            _SETTINGS_TEMPLATE.format(
                **member._asdict(),
                secret=SECRET,
                url=f'http://127.0.0.1:{self._platform_port}',
                lifetime_s=lifetime_s,
                lag_s=lag_s,
            )
        )
        self._start_process(
            member.name,
            'cranberryscale.commands',
            'serve',
            f'--settings={path}',
        )

    def _start_process(self, name: str, *arguments: str) -> None:
        with self.folder.joinpath(f'{name}.log').open('ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=os.environ | {'PYTHONUNBUFFERED': '1'},
            )

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process, for example SIGKILL or SIGSTOP."""
        self.processes[name].send_signal(number)

    def fetch_status(self, member: Member, path: str = '/status') -> Any:
        """Return a decoded operators' page, None if there is none."""
        try:
            response = self.http.request(
                'GET', f'http://{member.operators}{path}', timeout=2
            )
            return json.loads(response.data)
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def wait_until_ready(self) -> None:
        """Wait until all instances are ready and all pools have a holder.

        Raises TimeoutError after READY_TIMEOUT_S and RuntimeError when a
        process ended.
        """
        self._wait_for(self._is_ready)

    def _is_ready(self) -> bool:
        statuses = [self.fetch_status(member) for member in self.members]
        if not all(status and status['ready'] for status in statuses):
            return False
        held = {
            (pool['service'], pool['domain'])
            for status in statuses
            for pool in status['pools']
        }
        expected = {
            (server.service, server.domain)
            for server in self.configuration.servers.values()
        }
        return expected <= held

    def _wait_for(self, check) -> None:
        limit = time.monotonic() + READY_TIMEOUT_S
        while not check():
            for name, process in self.processes.items():
                if process.poll() is not None:
                    log = self.folder.joinpath(f'{name}.log').read_text()
                    raise RuntimeError(f'{name} ended:\n{log[-2000:]}')
            if time.monotonic() > limit:
                raise TimeoutError(
                    f'fleet not ready after {READY_TIMEOUT_S} s'
                )
            time.sleep(0.1)

    def stop(self) -> None:
        """Terminate all processes, and kill those that do not end in time."""
        running = [p for p in self.processes.values() if p.poll() is None]
        for process in running:
            process.send_signal(signal.SIGCONT)
            process.terminate()
        limit = time.monotonic() + STOP_TIMEOUT_S
        for process in running:
            try:
                process.wait(max(limit - time.monotonic(), 0.1))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()


def _read_requests(example: pathlib.Path) -> list[dict[str, str]]:
    path = example / 'requests.json'
    return json.loads(path.read_text('utf-8'))


def _send_requests(fleet: LocalFleet, requests: list[dict[str, str]]):
    for number, example in enumerate(requests):
        member = fleet.members[number % len(fleet.members)]
        headers = {'X-Api-Key': example['key']} if example.get('key') else {}
        started = time.monotonic()
        response = fleet.http.request(
            example['method'],
            f'http://{member.callers}{example["path"]}',
            headers=headers,
            body=example.get('body'),
            timeout=10,
        )
        elapsed_ms = (time.monotonic() - started) * 1000
        yield (
            member.name,
            example['method'],
            example['path'],
            response.status,
            f'{elapsed_ms:.1f}',
            response.data[:60].decode('utf-8', 'replace'),
        )


def main() -> int:
    """Start a fleet from an example, send its requests and keep serving."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument('--example', type=pathlib.Path, required=True)
    parser.add_argument(
        '--folder', type=pathlib.Path, default=pathlib.Path('build/fleet')
    )
    parser.add_argument('--instances', type=int, default=6)
    parser.add_argument(
        '--seconds', type=float, default=0, help='0 serves until interrupted'
    )
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    print('starting; the first leases take about 10 s', flush=True)
    with LocalFleet(
        options.example, options.folder, options.instances
    ) as fleet:
        time.sleep(FILL_S)
        rows = _send_requests(fleet, _read_requests(options.example))
        head = ('instance', 'method', 'path', 'status', 'ms', 'answer')
        print(console.render_table(head, rows), flush=True)
        operators = ' '.join(
            f'--operators {member.operators}' for member in fleet.members[:2]
        )
        print(f'try: cranberryscale status {operators}', flush=True)
        with contextlib.suppress(KeyboardInterrupt):
            time.sleep(options.seconds or 1e9)
    return 0


if __name__ == '__main__':
    sys.exit(main())
