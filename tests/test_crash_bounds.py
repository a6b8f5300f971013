"""Guard how many servers end under one request, over all instances.

Callers send a request under which each server ends to random instances, which
reach each other, are lost or are cut off from each other.
"""

import contextlib
import datetime
import random
import threading

from msgspec import structs
import pytest
import test_coordination
import test_core
import test_published

from cranberryscale import clock
from cranberryscale import core as cores
from cranberryscale import errors
from cranberryscale.platform import entry_decoding
from cranberryscale.process import metrics
from cranberryscale.process import request_crashes
from cranberryscale.process import roster
from cranberryscale.request import actions
from cranberryscale.request import core_admission


SECOND = test_core.SECOND
MILLISECOND = SECOND / 1000
START = test_core.START
WALL = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
DOMAINS = ('a', 'b', 'c')
MAX_ATTEMPTS = 2
LATENCY = 50 * MILLISECOND
DEADLY = request_crashes.make_digest(('GET', 'h', '/deadly', 'c'))
COMMON = request_crashes.make_digest(('GET', 'h', '/common', ''))


class RoutedDriver:
    """Driver that passes messages to the cores of a fleet."""

    def __init__(self, fleet, name):
        self.core = fleet.cores[name]
        self.lock = threading.RLock()
        self._fleet = fleet
        self._name = name

    def is_unresponsive(self, target):
        return False

    def call_instance(self, target, message, timeout):
        self._fleet.messages += target != self._name
        self._fleet.advance(MILLISECOND)
        if not self._fleet.can_reach(self._name, target):
            raise errors.make_error('peer_unreachable', target)
        now = self._fleet.clock.read_elapsed()
        return self._fleet.cores[target].handle_message(
            self._name, message, now
        )

    @contextlib.contextmanager
    def follow_result(self, request_id):
        yield test_coordination.ImmediateNotice()

    def send(self, target, message):
        self.call_instances({target: message}, LATENCY)

    def call_instances(self, calls, timeout):
        replies = []
        for target, message in calls.items():
            with contextlib.suppress(errors.PeerError):
                replies.append(self.call_instance(target, message, timeout))
        return replies


class Fleet:
    """Instances and servers in three domains; servers restart at once.

    `side_of` maps instances to the sides of a partition. `arrivals` are the
    servers to which requests were sent, by digest.
    """

    def __init__(self, instances, servers=6, seed=1):
        self.clock = clock.ManualClock(WALL, START)
        self.rng = random.Random(seed)
        self.messages = 0
        self.arrivals = {}
        self.lost = set()
        self.side_of = {}
        self._born = {
            f's{number}': (DOMAINS[number % len(DOMAINS)], 1)
            for number in range(servers)
        }
        self._revision = 10
        self._number = 0
        self.cores = {}
        for number in range(1, instances + 1):
            core = self._make_core(number)
            self.cores[core.instance_settings.name] = core
        self._introduce()
        for server in self._born:
            self._write_entry(server)
        self.admissions = {
            name: self._make_admission(name) for name in self.cores
        }
        self.advance(5 * SECOND)

    def _make_core(self, number):
        settings = structs.replace(
            test_core.make_settings(number),
            domain=DOMAINS[number % len(DOMAINS)],
        )
        core = cores.Core(
            settings, 1, entry_decoding.decode_entry, self.rng, START
        )
        body = test_published.make_policy(tenants=test_core.CUSTOMERS)
        change = test_published.make_change('op/config', 1, body)
        core.apply_store_update((change,), 1, True, False, START)
        core.roster.set_state(roster.InstanceState.READY, START)
        return core

    def _make_admission(self, name):
        driver = RoutedDriver(self, name)
        context = core_admission.CoreDecisionContext(
            self.cores[name], self.clock
        )
        return core_admission.CoreAdmission(
            driver, context, self.clock, metrics.Metrics()
        )

    def _introduce(self):
        now = self.clock.read_elapsed()
        records = [core.roster.own_record for core in self.cores.values()]
        for core in self.cores.values():
            core.roster.merge(records, now)

    def _write_entry(self, server):
        domain, born = self._born[server]
        info = {'service': 'x', 'version': 'v1', 'zone': domain, 'slots': 4}
        body = test_published.make_server(born=born, info=info)
        self._revision += 1
        change = test_published.make_change(
            f'servers/{server}', self._revision, body
        )
        for core in self.cores.values():
            core.apply_store_update(
                (change,),
                self._revision,
                False,
                False,
                self.clock.read_elapsed(),
            )

    def advance(self, delta):
        self.clock.advance(delta)
        for name, core in self.cores.items():
            if name not in self.lost:
                self._tick(name, core)

    def _tick(self, name, core):
        now = self.clock.read_elapsed()
        core.advance(now)
        for holder, message in core.collect_histories(now):
            if self.can_reach(name, holder):
                self.cores[holder].handle_message(name, message, now)

    def can_reach(self, name, other):
        return other not in self.lost and self.side_of.get(
            name
        ) == self.side_of.get(other)

    def record_down(self):
        """Let all instances know whom they cannot reach."""
        now = self.clock.read_elapsed()
        for name, core in self.cores.items():
            gone = [n for n in self.cores if not self.can_reach(name, n)]
            records = [core.roster.find_record(other) for other in gone]
            down = int(roster.InstanceState.DOWN)
            core.roster.merge([r._replace(state=down) for r in records], now)

    def heal(self):
        """End a partition; instances learn that the others are up."""
        self.side_of = {}
        now = self.clock.read_elapsed()
        up = [c for n, c in self.cores.items() if n not in self.lost]
        for core in up:
            name = core.instance_settings.name
            views = [other.roster.find_record(name) for other in up]
            core.roster.merge(views, now)
        records = [core.roster.own_record for core in up]
        for core in up:
            core.roster.merge(records, now)

    def lose_holders(self):
        """Lose the holders of the service's shards, one in each domain."""
        now = self.clock.read_elapsed()
        core = next(c for n, c in self.cores.items() if n not in self.lost)
        self.lost |= {
            core.find_shard_holder(shard, now)
            for shard in core.list_shards('x', 'r')
        }
        self.record_down()

    def ask(self, digest, entry=None, excluded=()):
        """Ask for a server; return the instance's admission and its reply."""
        up = [name for name in self.cores if name not in self.lost]
        admission = self.admissions[entry or self.rng.choice(up)]
        self._number += 1
        reply = admission.ask_permit(
            actions.AskPermit(
                'x',
                '',
                SECOND,
                excluded,
                True,
                is_repeat=bool(excluded),
                digest=digest,
            ),
            f'r{self._number}',
        )
        if isinstance(reply, actions.PermitGranted):
            self.arrivals.setdefault(digest, []).append(reply.server)
        return admission, reply

    def finish(self, admission, permit, digest, has_ended=True):
        """Report the end of an attempt, which may have ended the server."""
        if has_ended:
            self._restart(permit.server)
        admission.report_permit(
            actions.ReportPermit(
                'x',
                permit.server,
                permit.permit_id,
                'ended' if has_ended else 'ok',
                LATENCY,
                digest=digest,
            )
        )

    def send(self, digest, is_deadly=True, resets=()):
        """Send a request as a caller does; return its code.

        It ends each server if it is deadly. Servers in `resets` cut off any
        request.
        """
        up = [name for name in self.cores if name not in self.lost]
        entry, excluded = self.rng.choice(up), ()
        while len(excluded) < MAX_ATTEMPTS:
            admission, reply = self.ask(digest, entry, excluded)
            if isinstance(reply, actions.AdmissionDenied):
                break
            self.advance(LATENCY)
            has_ended = is_deadly or reply.server in resets
            self.finish(admission, reply, digest, has_ended)
            if not has_ended:
                return 'ok'
            excluded += (reply.server,)
        return 'backend_ended' if excluded else reply.code

    def _restart(self, server):
        domain, born = self._born[server]
        self._born[server] = (domain, born + 1)

    def publish_restarts(self):
        for server in self._born:
            self._write_entry(server)

    def send_often(self, digest, times, pause=200 * MILLISECOND):
        codes = []
        for _ in range(times):
            codes.append(self.send(digest))
            self.publish_restarts()
            self.advance(pause)
        return codes


@pytest.mark.parametrize('instances', [1, 4, 40])
def test_request_that_ends_servers_is_refused_by_all_instances(instances):
    """Guards against instances that each begin anew."""
    fleet = Fleet(instances)
    codes = fleet.send_often(DEADLY, 12)
    assert len(fleet.arrivals[DEADLY]) <= request_crashes.CRASH_LIMIT
    assert set(codes[2:]) == {'request_crashes'}
    assert fleet.send(COMMON, is_deadly=False) == 'ok'


def test_request_is_refused_while_holders_change():
    """A successor knows only what the instances that ask it know."""
    fleet = Fleet(40)
    losses = 3
    for _ in range(losses):
        fleet.send_often(DEADLY, 8)
        fleet.lose_holders()
    fleet.send_often(DEADLY, 8)
    most = request_crashes.CRASH_LIMIT + losses
    assert len(fleet.arrivals[DEADLY]) <= most


def test_each_side_of_a_partition_refuses_the_request():
    fleet = Fleet(12)
    fleet.side_of = {name: i % 2 for i, name in enumerate(fleet.cores)}
    fleet.record_down()
    fleet.send_often(DEADLY, 30)
    most = 2 * request_crashes.CRASH_LIMIT
    assert len(fleet.arrivals[DEADLY]) <= most


@pytest.mark.parametrize('count', [1, 2, 3, 6])
def test_attempts_that_are_under_way_at_once_add_up(count):
    """Those that begin with one end known cannot be taken back."""
    fleet = Fleet(12)
    first = fleet.ask(DEADLY)
    fleet.finish(*first, DEADLY)
    fleet.publish_restarts()
    fleet.advance(SECOND)
    running = [fleet.ask(DEADLY) for _ in range(count)]
    fleet.advance(LATENCY)
    for admission, permit in running:
        fleet.finish(admission, permit, DEADLY)
    fleet.publish_restarts()
    codes = fleet.send_often(DEADLY, 8)
    assert len(fleet.arrivals[DEADLY]) <= 1 + count
    assert set(codes) == {'request_crashes'}


@pytest.mark.parametrize('seed', range(1, 9))
def test_ends_add_up_while_instances_fail_in_series(seed):
    """Each loss of all holders and each cut costs one part of the sum."""
    fleet, parts = Fleet(24, seed=seed), 1
    for _ in range(6):
        fleet.send_often(DEADLY, 5)
        match fleet.rng.choice(['lose holders', 'cut', 'heal']):
            case 'lose holders' if len(fleet.lost) < 15:
                fleet.lose_holders()
                parts += 1
            case 'cut' if not fleet.side_of:
                names = list(fleet.cores)
                fleet.side_of = {n: fleet.rng.randrange(2) for n in names}
                fleet.record_down()
                parts += 1
            case 'heal':
                fleet.heal()
    assert len(fleet.arrivals[DEADLY]) <= parts * request_crashes.CRASH_LIMIT


@pytest.mark.parametrize('is_noticed', [False, True])
def test_instances_that_are_alone_refuse_what_they_know(is_noticed):
    fleet = Fleet(4)
    fleet.side_of = {name: name for name in fleet.cores}
    if is_noticed:
        fleet.record_down()
    fleet.send_often(DEADLY, 40)
    most = len(fleet.cores) * request_crashes.CRASH_LIMIT
    assert len(fleet.arrivals[DEADLY]) <= most


def test_requests_that_each_lose_a_server_are_not_refused():
    """Guards against one end that condemns, as when a domain fails."""
    fleet = Fleet(12)
    resets = [f's{n}' for n in range(6) if DOMAINS[n % 3] == 'a']
    for number in range(60):
        digest = request_crashes.make_digest((f'/{number}',))
        code = fleet.send(digest, False, resets=resets)
        assert code in ('ok', 'backend_ended')
    assert fleet.send(COMMON, False) == 'ok'


def test_common_request_is_served_while_servers_reset_it():
    """Guards against callers who share a request and its digest."""
    fleet = Fleet(12)
    codes = [fleet.send(COMMON, False, resets=['s0']) for _ in range(200)]
    assert codes.count('ok') == len(codes)


def test_common_request_is_served_again_after_all_servers_ended():
    """Nothing could clear it, since no server gets it any more."""
    fleet = Fleet(12)
    for _ in range(20):
        fleet.send(COMMON, False)
    everything = [f's{n}' for n in range(6)]
    codes = [fleet.send(COMMON, False, resets=everything) for _ in range(5)]
    assert 'request_crashes' in codes
    fleet.advance(request_crashes.RECOVERY_TIME)
    codes = [fleet.send(COMMON, False) for _ in range(20)]
    assert codes == ['ok'] * 20
