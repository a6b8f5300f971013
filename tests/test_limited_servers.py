"""Guard the limits that backend servers name, with real processes.

A server that names a limit gets no more than one and a half times what it
allows, and five requests, in any four seconds, from all instances together.
"""

import collections
from concurrent import futures
import itertools
import json
import random
import re
import signal
import time
from typing import NamedTuple

from cranberryscale import commands
from standins import machines


KEY = 'key-of-t1-0001'
WINDOW_S = 4.0
# The bound holds from this long after a limit was first named.
CONTACT_S = 3.0


class Answer(NamedTuple):
    """An answer as its caller saw it."""

    sent_s: float
    took_s: float
    status: int
    headers: dict[str, str]


class Callers:
    """Callers that send to random instances at a steady rate."""

    def __init__(self, fleet):
        self.answers = []
        self._fleet = fleet
        self._rng = random.Random(1)
        self._ids = itertools.count(1)
        self._executor = futures.ThreadPoolExecutor(60)

    def send_for(self, seconds, rate_per_s):
        at_s = time.monotonic()
        until_s = at_s + seconds
        while at_s < until_s:
            running = [
                i for i in self._fleet.instances if i.process.poll() is None
            ]
            address = self._rng.choice(running).addresses['callers']
            self._executor.submit(self._send, address, next(self._ids))
            at_s += self._rng.expovariate(rate_per_s)
            time.sleep(max(0.0, at_s - time.monotonic()))

    def _send(self, address, number):
        sent_s = time.monotonic()
        status, headers, _ = machines.send_request(
            address, '/read/1', f'{number:016x}', KEY
        )
        took_s = time.monotonic() - sent_s
        self.answers.append(Answer(sent_s, took_s, status, headers))

    def finish(self):
        self._executor.shutdown()


def find_bound(limit_per_s):
    return 1.5 * limit_per_s * WINDOW_S + 5


def find_most_arrivals(server, since_s):
    """Return the largest number of arrivals in a window from a time on."""
    times = [at_s for at_s in server.arrivals_s if at_s >= since_s]
    return max(
        (sum(s <= t < s + WINDOW_S for t in times) for s in times), default=0
    )


def test_server_gets_no_more_than_its_limit_from_all_instances(tmp_path):
    """Guards against a limit that no instance reads."""
    with machines.FleetEnvironment(tmp_path, instances=6) as fleet:
        limited = fleet.servers[0]
        callers = Callers(fleet)
        callers.send_for(2, 40)
        limited.limit = '3.0'
        named_s = time.monotonic()
        callers.send_for(9, 40)
        ended_s = time.monotonic()
        callers.finish()
    statuses = [answer.status for answer in callers.answers]
    most = find_most_arrivals(limited, named_s + CONTACT_S)
    assert most <= find_bound(3.0)
    # The server is used, and what it cannot take goes to others.
    used = [t for t in limited.arrivals_s if named_s + 1 < t < ended_s]
    assert len(used) > 0.5 * 3.0 * (ended_s - named_s - 1)
    assert statuses.count(200) == len(statuses)


def explain(instance, capsys):
    """Return what the command says of a request of service x."""
    arguments = ['--path', '/read/1', '--host', machines.HOST]
    address = instance.addresses['operators']
    commands.main(['explain', '--operators', address, *arguments])
    return json.loads(capsys.readouterr().out)


def test_callers_are_refused_at_once_when_all_servers_are_limited(
    tmp_path, capsys, monkeypatch
):
    """Guards against waits that end in a refusal, and against bursts."""
    monkeypatch.setenv(commands.KEY_VARIABLE, KEY)
    with machines.FleetEnvironment(tmp_path, instances=6) as fleet:
        limited = [s for s in fleet.servers if s.service == 'x']
        callers = Callers(fleet)
        callers.send_for(1, 20)
        for server in limited:
            server.limit = '2'
        named_s = time.monotonic()
        callers.send_for(8, 40)
        explanations = [explain(i, capsys) for i in fleet.instances]
        callers.finish()
        metrics = [
            instance.fetch_page('operators', '/metrics')[1].decode()
            for instance in fleet.instances
        ]
    for server in limited:
        most = find_most_arrivals(server, named_s + CONTACT_S)
        assert most <= find_bound(2.0)
    late = [a for a in callers.answers if a.sent_s > named_s + 1]
    refused = [answer for answer in late if answer.status == 503]
    served = [answer for answer in late if answer.status == 200]
    others = [a for a in late if a.status not in (200, 503)]
    assert not others
    # Six requests a second are taken for seven seconds.
    assert len(served) > 0.8 * 6 * 7
    times = sorted(answer.took_s for answer in refused)
    assert times[len(times) // 2] < 0.3
    assert all(
        0.1 <= float(answer.headers['retry-after']) <= 5 for answer in refused
    )
    assert any('code="pool_limited"' in text for text in metrics)
    assert all('cranberryscale_servers_limited 3' in text for text in metrics)
    for found in explanations:
        assert (found['refused'], found['service']) == (None, 'x')
        assert [s['limit_per_s'] for s in found['servers']] == [2.0] * 3
    held = [s for e in explanations for s in e['servers'] if s['health']]
    names = ['s-x0', 's-x1', 's-x2']
    assert sorted(server['server'] for server in held) == names
    assert any(server['is_at_limit'] for server in held)


def find_holder(fleet, domain):
    """Return the instance that most others logged as a shard's holder."""
    pattern = re.compile(rf'event=permit .*domain={domain} holder=(\S+) ')
    found = collections.Counter()
    for instance in fleet.instances:
        found.update(pattern.findall(instance.log_path.read_text())[-5:])
    peers = found.most_common(1)[0][0]
    return next(i for i in fleet.instances if i.addresses['peers'] == peers)


def test_limits_hold_while_holders_are_killed_and_frozen(tmp_path):
    """Guards real processes against successors that use a limit again."""
    with machines.FleetEnvironment(tmp_path, instances=9) as fleet:
        limited = [s for s in fleet.servers if s.service == 'x']
        callers = Callers(fleet)
        callers.send_for(2, 40)
        for server in limited:
            server.limit = '3.0'
        named_s = time.monotonic()
        callers.send_for(2, 40)
        killed = find_holder(fleet, 'a')
        killed.send_signal(signal.SIGKILL)
        killed.wait()
        callers.send_for(1, 40)
        killed.start(fleet.seeds)
        frozen = find_holder(fleet, 'b')
        frozen.send_signal(signal.SIGSTOP)
        callers.send_for(2, 40)
        frozen.send_signal(signal.SIGCONT)
        callers.send_for(5, 40)
        callers.finish()
    for server in limited:
        most = find_most_arrivals(server, named_s + CONTACT_S)
        assert 0 < most <= find_bound(3.0)
