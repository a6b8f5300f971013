"""Guard the limits of backend servers while holders change.

The bound is the operators': in any window BOUND_RATIO times what a limit
allows and BOUND_REQUESTS more, summed over the instances that have passed on
an answer that names it.
"""

import bisect
import collections
import heapq
import random
from typing import NamedTuple

import pytest
import test_core
import test_published

from cranberryscale import messages
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_statements
from cranberryscale.process import roster
from cranberryscale.process import shards


SECOND = test_core.SECOND
MILLISECOND = SECOND / 1000
TICK = SECOND / 10
# The server names its limit from then on. Instances know each other before.
START = test_core.START + 20 * SECOND
WARM_UP = 2 * SECOND
CONTACT = 3 * SECOND
TOLD_AFTER = SECOND / 2
DETECTION = 1.2 * SECOND
LATENCY = 100 * MILLISECOND
SHARD = shards.Shard('x', 'a')
LIMITED = 'i1'
SLOTS = 12
MIN_DEMAND_PER_S = 40
DEMAND_RATIO = 4


def find_bound(limit_per_s):
    window_s = server_limits.WINDOW.total_seconds()
    allowed = server_limits.BOUND_RATIO * limit_per_s * window_s
    return allowed + server_limits.BOUND_REQUESTS


class Change(NamedTuple):
    """A change of the fleet, `at` seconds after the limit was named."""

    at: float
    kind: str


class Fleet:
    """Cores of all instances, the messages between them and one server.

    Instances that are lost, frozen or on the other side of a partition are
    unknown to the others for DETECTION. `side_of` maps instances to the sides
    of a partition.
    """

    def __init__(self, limit_per_s, instances, seed):
        self.limit_per_s = limit_per_s
        self.now = START - WARM_UP
        self.rng = random.Random(seed)
        self.arrivals = []
        self.told_at = {}
        self.denials = collections.Counter()
        self.retry_after_s = []
        self.lost = {}
        self.frozen = {}
        self.side_of = {}
        self._pending_views = []
        self._answers = []
        self._numbers = {
            f'10.0.0.{number}:1': number for number in range(1, instances + 1)
        }
        self.cores = {
            name: self._make_core(name, test_core.START)
            for name in self._numbers
        }
        self._introduce()

    def _make_core(self, name, since):
        core = test_core.make_core(
            self._numbers[name], epoch=since // MILLISECOND, since=since
        )
        info = {'service': 'x', 'version': 'v1', 'zone': 'a', 'slots': SLOTS}
        change = test_published.make_change(
            f'servers/{LIMITED}', 3, test_published.make_server(info=info)
        )
        core.apply_store_update((change,), 3, False, False, since)
        return core

    def _list_connected(self, name):
        side = self.side_of.get(name)
        return [
            other
            for other in self.cores
            if self.side_of.get(other) == side and other not in self.frozen
        ]

    def can_reach(self, name, other):
        return (
            other in self.cores
            and other not in self.frozen
            and self.side_of.get(name) == self.side_of.get(other)
        )

    def _introduce(self):
        """Exchange all records within each side of a partition.

        An instance that others consider down learns it from these first.
        """
        for name, core in self.cores.items():
            for other in self._list_connected(name):
                record = self.cores[other].roster.find_record(name)
                core.roster.merge(filter(None, [record]), self.now)
        for name, core in self.cores.items():
            if name not in self.frozen:
                records = [
                    self.cores[other].roster.own_record
                    for other in self._list_connected(name)
                ]
                core.roster.merge(records, self.now)

    def _join(self, name):
        """Let an instance receive the records of another one."""
        others = [n for n in self._list_connected(name) if n != name]
        if others:
            records = self.cores[self.rng.choice(others)].roster.records
            self.cores[name].roster.merge(records, self.now)

    def _record_down(self, names, observers):
        for observer in observers:
            core = self.cores[observer]
            records = [core.roster.find_record(name) for name in names]
            down = int(roster.InstanceState.DOWN)
            core.roster.merge(
                [
                    record._replace(state=down)
                    for record in records
                    if record is not None and record.name != observer
                ],
                self.now,
            )

    def _notice_later(self, names):
        """Let the instances that lost contact with others notice it."""
        self._pending_views.append((self.now + DETECTION, names))

    def find_holder(self):
        core = next(iter(self.cores.values()))
        holder = core.find_shard_holder(SHARD, self.now)
        return holder if holder in self.cores else next(iter(self.cores))

    def apply(self, kind):
        match kind:
            case 'lose the holder':
                self.lose(self.find_holder())
            case 'lose half':
                names = sorted(self.cores)
                for name in self.rng.sample(names, len(names) // 2):
                    self.lose(name)
            case 'restart':
                for name in tuple(self.lost):
                    del self.lost[name]
                    self.told_at.pop(name, None)
                    self.cores[name] = self._make_core(name, self.now)
                    self._join(name)
                self._introduce()
            case 'freeze the holder':
                self.frozen[self.find_holder()] = self.now
                self._notice_later(tuple(self.frozen))
            case 'wake':
                self.frozen.clear()
                self._notice_later(())
            case 'cut in two':
                names = sorted(self.cores)
                self.side_of = {name: i % 2 for i, name in enumerate(names)}
                self._notice_later(None)
            case 'isolate':
                self.side_of = {name: name for name in self.cores}
                self._notice_later(None)
            case 'heal':
                self.side_of = {}
                self._notice_later(())

    def lose(self, name):
        self.lost[name] = self.now
        del self.cores[name]
        self._notice_later((name,))

    def advance(self):
        for at, names in tuple(self._pending_views):
            if self.now >= at:
                self._pending_views.remove((at, names))
                self._update_views(names)
        for name, core in self.cores.items():
            if name not in self.frozen:
                core.advance(self.now)

    def _update_views(self, names):
        if names is None:
            for name in self.cores:
                connected = set(self._list_connected(name))
                others = [n for n in self.cores if n not in connected]
                self._record_down(others, [name])
            return
        gone = [n for n in names if n not in self.cores or n in self.frozen]
        watching = [n for n in self.cores if n not in self.frozen]
        self._record_down(gone, watching)
        if not names:
            self._introduce()

    def request(self, entry, number):
        """Ask the holder as an instance does, and send the request."""
        core = self.cores[entry]
        holder = core.find_shard_holder(SHARD, self.now)
        if not self.can_reach(entry, holder):
            excluded = core.statements.limits.list_rates()
            server = core.fallback.choose_server(
                core.current_configuration, 'x', 'a', excluded, self.now
            )
            if server is not None:
                self._arrive(entry, None, 0)
            return
        message = test_core.make_ask_server(
            request_id=f'{number}/0',
            may_wait=False,
            is_idempotent=True,
            limits=core.statements.limits.list_limits(
                SHARD.has_server, self.now
            ),
        )
        reply = self.cores[holder].handle_message(entry, message, self.now)
        core.statements.limits.merge(reply.limits, self.now)
        if reply.server:
            self._arrive(entry, holder, reply.permit_id)
        elif reply.code:
            self.denials[reply.code] += 1
            self.retry_after_s.append(reply.retry_after_s)

    def _arrive(self, entry, holder, permit_id):
        self.arrivals.append((self.now, entry))
        heapq.heappush(
            self._answers, (self.now + LATENCY, entry, holder, permit_id)
        )

    def deliver_answers(self):
        while self._answers and self._answers[0][0] <= self.now:
            at, entry, holder, permit_id = heapq.heappop(self._answers)
            if entry not in self.cores or entry in self.frozen:
                continue
            is_named = at >= START
            limit = server_limits.LimitStatement(
                self.limit_per_s if is_named else None
            )
            statement = server_statements.ServerStatement(limit)
            core = self.cores[entry]
            core.statements.record_own(LIMITED, statement, at - LATENCY, at)
            if is_named:
                self.told_at.setdefault(entry, at)
            if holder is not None and self.can_reach(entry, holder):
                self.cores[holder].handle_message(
                    entry,
                    messages.FinishRequest(
                        SHARD,
                        permit_id,
                        'ok',
                        LATENCY.total_seconds(),
                        statement,
                    ),
                    at,
                )

    def find_most(self, is_told_only=True):
        """Return the most requests in a window, of told instances or all."""
        times = [
            at
            for at, entry in self.arrivals
            if at >= START + CONTACT
            and (not is_told_only or self._was_told(entry, at))
        ]
        return max(
            (
                bisect.bisect_left(times, at + server_limits.WINDOW) - first
                for first, at in enumerate(times)
            ),
            default=0,
        )

    def _was_told(self, entry, at):
        told_at = self.told_at.get(entry)
        return told_at is not None and at >= told_at + TOLD_AFTER

    def find_rate(self, since_s, until_s):
        """Return the arrivals in a second of a span after START."""
        count = sum(
            since_s * SECOND <= at - START < until_s * SECOND
            for at, _ in self.arrivals
        )
        return count / (until_s - since_s)


def play(limit_per_s, instances, changes, seconds=9, seed=1):
    """Send requests to random instances while the fleet changes."""
    fleet = Fleet(limit_per_s, instances, seed)
    left = sorted(changes)
    tick_at = fleet.now
    demand_per_s = max(MIN_DEMAND_PER_S, DEMAND_RATIO * limit_per_s)
    number = 0
    while fleet.now < START + seconds * SECOND:
        while left and fleet.now >= START + left[0].at * SECOND:
            fleet.apply(left.pop(0).kind)
        if fleet.now >= tick_at:
            tick_at = fleet.now + TICK
            fleet.advance()
        fleet.deliver_answers()
        awake = [name for name in fleet.cores if name not in fleet.frozen]
        fleet.request(fleet.rng.choice(awake), number)
        number += 1
        fleet.now += SECOND * fleet.rng.expovariate(demand_per_s)
    return fleet


SCENARIOS = {
    'calm': (),
    'holder lost': (Change(2.5, 'lose the holder'),),
    'holder restarted': (
        Change(2.5, 'lose the holder'),
        Change(3, 'restart'),
    ),
    'holder and successor lost': (
        Change(2.5, 'lose the holder'),
        Change(4.1, 'lose the holder'),
        Change(4.6, 'restart'),
    ),
    'holder frozen': (
        Change(2.5, 'freeze the holder'),
        Change(5, 'wake'),
    ),
    'half lost': (Change(2.5, 'lose half'), Change(5, 'restart')),
    'cut in two': (Change(2, 'cut in two'), Change(6.5, 'heal')),
    'each alone': (Change(2, 'isolate'), Change(7, 'heal')),
}


CASES = [
    (instances, limit_per_s)
    for instances in (4, 40)
    for limit_per_s in (0.3, 3.0, 30.0)
] + [(292, 3.0)]


@pytest.mark.parametrize('scenario', SCENARIOS)
@pytest.mark.parametrize(('instances', 'limit_per_s'), CASES)
def test_limit_holds_over_all_instances_while_holders_change(
    scenario, instances, limit_per_s
):
    """Guards against holders that each use the whole limit of a server."""
    fleet = play(limit_per_s, instances, SCENARIOS[scenario])
    assert fleet.find_most() <= find_bound(limit_per_s)
    if instances <= 40:
        # All of them know the limit by then.
        assert fleet.find_most(False) <= find_bound(limit_per_s)


@pytest.mark.parametrize('seed', [1, 2, 7, 17, 81, 99])
def test_limit_holds_while_instances_fail_in_series(seed):
    """Guards against two holders after a partition and restarts in it.

    Seeds 81 and 99: each side's holder took itself for that of all instances
    at once. Seed 7: instances that had started did not know of the other side.
    """
    rng = random.Random(seed)
    limit_per_s = rng.choice((0.0, 1.0, 7.0, 60.0))
    kinds = ('lose the holder', 'lose half', 'restart', 'freeze the holder')
    changes = [
        Change(rng.uniform(1, 12), kind)
        for kind in (*kinds, 'wake', 'cut in two', 'heal') * 2
    ]
    fleet = play(limit_per_s, rng.choice((12, 40)), changes, 14, seed)
    assert fleet.find_most() <= find_bound(limit_per_s)


@pytest.mark.parametrize('instances', [1, 4, 40])
@pytest.mark.parametrize('limit_per_s', [1.0, 3.0, 30.0])
def test_limited_server_is_used_up_to_its_limit(instances, limit_per_s):
    """Guards against a bound that is kept by starving the server."""
    calm = play(limit_per_s, instances, ())
    assert calm.find_rate(1, 9) > 0.95 * limit_per_s
    if instances > 1:
        lost = play(limit_per_s, instances, SCENARIOS['holder restarted'])
        # The successor takes over once the loss is noticed. Two holders start
        # with an empty bucket until second 9.
        assert lost.find_rate(4, 9) * 5 >= 0.95 * limit_per_s * 5 - 2


@pytest.mark.parametrize('limit_per_s', [0.0, 0.05, 0.2, 1.0, 10.0, 1e6])
def test_parts_of_a_limit_add_up_to_less_than_the_bound(limit_per_s):
    """Guards the sum over holders, late permits and hand-overs."""
    rate_per_s = max(limit_per_s, server_limits.MIN_RATE_PER_S)
    burst_s = server_limits.BURST_TIME.total_seconds()
    time_s = server_limits.WINDOW + server_limits.PERMIT_DELAY
    holders = server_limits.PART_MARGIN * (
        rate_per_s * (time_s.total_seconds() + burst_s)
        + server_limits.BURST_REQUESTS
    )
    handover = rate_per_s * server_limits.HANDOVER_TIME.total_seconds()
    assert holders + handover <= find_bound(limit_per_s)


def ask(fleet, name, limits=()):
    """Ask an instance for a server, as another one that knows limits."""
    message = test_core.make_ask_server(may_wait=False, limits=limits)
    return fleet.cores[name].handle_message('x', message, fleet.now)


def make_calm_fleet():
    """Return a fleet of four and a limit that allows many requests."""
    fleet = Fleet(100.0, 4, 1)
    for _ in range(30):
        fleet.now += TICK
        fleet.advance()
    return fleet, (server_limits.ServerLimit(LIMITED, 100.0, 0.0),)


def test_only_the_holder_starts_requests_at_a_limited_server():
    """An instance that cannot reach the holder may ask another one."""
    fleet, limits = make_calm_fleet()
    holder = fleet.find_holder()
    for name in fleet.cores:
        ask(fleet, name, limits)
    for _ in range(3):
        fleet.now += TICK
        fleet.advance()
        for name in fleet.cores:
            reply = ask(fleet, name, limits)
            assert bool(reply.server) is (name == holder)
            assert reply.limits[0].rate_per_s == 100.0


def test_holder_learns_a_limit_with_the_question_for_a_server():
    """A successor would start requests until a first answer came back."""
    fleet, limits = make_calm_fleet()
    reply = ask(fleet, fleet.find_holder(), limits)
    assert (reply.server, reply.limits[0].server) == ('', LIMITED)


def test_holder_that_was_paused_waits_until_it_has_heard_from_others():
    """A successor may have taken over in the meantime."""
    fleet, limits = make_calm_fleet()
    holder = fleet.find_holder()
    fleet.now += 2 * SECOND
    assert not ask(fleet, holder, limits).server
    fleet.advance()
    fleet.now += TICK
    fleet.advance()
    assert not ask(fleet, holder, limits).server
    for _ in range(20):
        fleet.now += TICK
        fleet.advance()
    assert ask(fleet, holder, limits).server == LIMITED
