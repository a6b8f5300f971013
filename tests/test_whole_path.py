"""Guard the whole path over separate processes and real sockets."""

import contextlib
import hashlib
import json
import socket
import subprocess
import sys
import time

import pytest
import urllib3


KEY = 'ponte-test-key-1'


def _find_port():
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


@contextlib.contextmanager
def _run(*arguments):
    process = subprocess.Popen([sys.executable, '-m', *map(str, arguments)])
    try:
        yield process
    finally:
        process.terminate()
        process.wait(20)


def _write_documents(folder, backend_port):
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    team = folder / 'documents' / 'events'
    team.mkdir(parents=True)
    team.joinpath('events.toml').write_text(
        f"""
[[customers]]
name = "alfama"
rate_per_s = 50.0
burst_requests = 20
[[keys]]
digest = "{digest}"
customer = "alfama"
[[routes]]
name = "events"
prefix = "/events"
service = "events"
[[services]]
name = "events"
[[servers]]
name = "events-1"
service = "events"
domain = "lisbon-a"
address = "127.0.0.1:{backend_port}"
slots = 6
[[domains]]
name = "lisbon-a"
"""
    )
    folder.joinpath('instances.json').write_text('[]')


def _write_settings(folder, caller_port, platform_port):
    path = folder / 'settings.toml'
    path.write_text(
        f"""
name = "i01"
domain = "lisbon-a"
secret = "a secret for tests only"
[addresses]
callers = "127.0.0.1:{caller_port}"
peers = "127.0.0.1:{_find_port()}"
operators = "127.0.0.1:{_find_port()}"
[platform]
url = "http://127.0.0.1:{platform_port}"
"""
    )
    return path


def _request(url, headers, until_status, limit_s=20):
    deadline = time.monotonic() + limit_s
    while True:
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = urllib3.request(
                'GET', url, headers=headers, retries=False
            )
            if answer.status == until_status:
                return answer
        if time.monotonic() > deadline:
            pytest.fail(f'no status {until_status} within {limit_s} s')
        time.sleep(0.1)


def test_a_request_reaches_its_backend_server_without_its_key(tmp_path):
    """A break anywhere in the path, or a key leaked to a backend server."""
    backend_port, platform_port, caller_port = (_find_port() for _ in range(3))
    _write_documents(tmp_path, backend_port)
    path = _write_settings(tmp_path, caller_port, platform_port)
    url = f'http://127.0.0.1:{caller_port}/events/1'
    with (
        _run('standins.backend', '--name=events-1', '--port', backend_port),
        _run(
            'standins.platform',
            '--port',
            platform_port,
            '--documents',
            tmp_path / 'documents',
            '--instances',
            tmp_path / 'instances.json',
        ),
        _run('cranberryscale.commands', 'serve', '--settings', path),
    ):
        answer = _request(url, {'X-Api-Key': KEY}, 200)
        seen = json.loads(answer.data)
        refusal = _request(url, {'X-Api-Key': 'wrong'}, 401)
    assert seen['server'] == 'events-1'
    assert KEY not in answer.data.decode()
    assert json.loads(refusal.data)['ran'] == 'not run'
