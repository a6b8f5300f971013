"""Placement at servers to which instances have idle connections."""

import random

import pytest

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import idle_connections
from tests import test_dispatch


SECOND, MS = test_dispatch.SECOND, test_dispatch.MS
START = test_dispatch.START
SENDERS = [f'e{n}' for n in range(30)]
SERVERS, SLOTS = 15, 6


class ConnectionCounter(test_dispatch.Simulation):
    """A simulation whose instances keep their connections to servers.

    Requests that run once use one that was idle for less than a second.
    """

    def __init__(self, pool, run):
        super().__init__(pool, run)
        self.granted = self.reused = 0
        self._idle = {}

    def _handle(self, request, arrived, result):
        if isinstance(result, dispatch_requests.DispatchPermit):
            key = (request.sender, result.server)
            limit = 8 * SECOND if request.is_idempotent else SECOND
            idle = self._idle.setdefault(key, [])
            self.granted += 1
            self.reused += bool(idle) and self.now - idle.pop() < limit
        super()._handle(request, arrived, result)

    def step(self):
        ended = [end for end in self._ends if end[0] <= self.now + 10 * MS]
        super().step()
        for *_, server, request, _ in ended:
            idle = self._idle.setdefault((request.sender, server), [])
            idle.append(self.now)


def replay_load(rate_per_s):
    """Replay many instances that share few servers."""
    published = test_dispatch.make_configuration(SERVERS, SLOTS)
    rng = random.Random(3)

    def run(server, now):
        return 'ok', rng.uniform(150, 450) * MS

    simulation = ConnectionCounter(test_dispatch.make_pool(published), run)
    simulation.send_requests(
        6, rate_per_s, sender=SENDERS, is_idempotent=[True, False, False]
    )
    simulation.finish()
    return simulation


def test_most_requests_find_an_idle_connection():
    simulation = replay_load(60)
    assert simulation.reused > 0.5 * simulation.granted
    assert simulation.find_ratio('ok') > 0.99


def test_busy_servers_are_not_preferred_for_their_connections():
    """Near saturation the least loaded server counts, as without."""
    simulation = replay_load(200)
    assert simulation.find_ratio('ok') > 0.9


@pytest.mark.parametrize(
    ('age', 'is_idempotent', 'is_reusable'),
    [
        (0.8 * SECOND, False, True),
        (1.1 * SECOND, False, False),
        (1.1 * SECOND, True, True),
        (6 * SECOND, True, False),
    ],
)
def test_connection_is_reusable_for_a_time(age, is_idempotent, is_reusable):
    idle = idle_connections.IdleConnections()
    idle.release('e1', START)
    assert idle.is_reusable('e1', is_idempotent, START + age) == is_reusable
    assert not idle.is_reusable('e2', is_idempotent, START)


def test_claimed_connection_is_not_reusable():
    idle = idle_connections.IdleConnections()
    idle.release('e1', START)
    idle.release('e1', START + MS)
    idle.claim('e1')
    assert idle.is_reusable('e1', True, START + MS)
    idle.claim('e1')
    assert not idle.is_reusable('e1', True, START + MS)
