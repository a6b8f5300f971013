"""Guard the limits that backend servers name, with real processes.

A server that names a limit gets no more than one and a half times what it
allows, and five requests, in any four seconds, from all instances together.
"""

from concurrent import futures
import itertools
import random
import time
from typing import NamedTuple

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
