"""Tests of following the store and of server selection without a holder."""

import collections
import datetime
import random

import pytest

from cranberryscale.process import fallback
from cranberryscale.process import roster
from cranberryscale.process import shards
from cranberryscale.process import store_follower
from cranberryscale.version import configuration


START = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
STEP = datetime.timedelta(milliseconds=100)


class Simulation:
    """Simulated instances and a store that rejects those in `rejected`."""

    def __init__(self, count=12):
        self.now = START
        self.calls = 0
        self.rejected = set()
        self.lost = set()
        records = [
            roster.InstanceRecord(f'n{n:02}', 1, 1, 'abc'[n % 3], f'c{n}', 1.0)
            for n in range(count)
        ]
        self.followers = {}
        for n, record in enumerate(records):
            rng = random.Random(n)
            members = roster.Roster(record, (), rng, START)
            members.merge(records, START)
            self.followers[record.name] = store_follower.StoreFollower(
                members, rng, START
            )
        self.reading = {}
        self.pull_at = {}

    def step(self):
        self.now += STEP
        for name, follower in self.followers.items():
            if name in self.lost:
                continue
            self.read(name, follower)
            if name not in self.pull_at:
                self.pull_at[name] = START + follower.find_pull_interval(START)
            if self.now >= self.pull_at[name]:
                interval = follower.find_pull_interval(self.now)
                self.pull_at[name] = self.now + interval
                self.pull(follower)

    def read(self, name, follower):
        if name in self.reading:
            if self.now < self.reading[name]:
                return
            del self.reading[name]
            if name in self.rejected:
                follower.record_store_failure(self.now)
            else:
                follower.record_store_answer(self.now)
        if follower.should_read(self.now):
            self.calls += 1
            # The first call is answered with all entries at once.
            is_short = name in self.rejected or not follower.is_confirmed
            wait = STEP if is_short else store_follower.STORE_POLL_WAIT
            self.reading[name] = self.now + wait

    def pull(self, follower):
        source = follower.choose_source(self.now)
        if source is None:
            return
        if source in self.lost:
            follower.record_pull_failure(source, self.now)
            return
        other = self.followers[source]
        age = other.find_staleness(self.now) if other.is_confirmed else None
        follower.record_pull_reply(age, self.now, source)

    def run(self, seconds):
        for _ in range(int(seconds * SECOND / STEP)):
            self.step()

    def find_max_staleness(self):
        return max(
            follower.find_staleness(self.now)
            for name, follower in self.followers.items()
            if name not in self.lost
        )

    def list_readers(self):
        return [n for n, f in self.followers.items() if f.is_reader()]


def test_only_a_few_readers_call_the_store():
    """Calls of the store are limited and cost money."""
    simulation = Simulation(44)
    simulation.run(3)
    simulation.calls = 0
    simulation.run(10)
    assert simulation.find_max_staleness() <= 2 * SECOND
    assert len(simulation.list_readers()) == 6
    assert simulation.calls <= 6 * 11


def test_instances_that_start_together_get_the_entries_at_once():
    """Requests wait for the entries, and are refused after a second.

    After the loss of all instances of the deployment Guild, half of them were
    ready only 0.7 s after their start, when they first pulled.
    """
    simulation = Simulation(44)
    simulation.run(0.5)
    assert all(f.is_confirmed for f in simulation.followers.values())


def test_an_instance_that_cannot_join_reads_the_store_early():
    """If all start together, seeds do not respond yet.

    On day trouble-1 of the deployment Guild, instances waited 0.7 s for an
    unresponsive seed before they read the configuration.
    """
    record = roster.InstanceRecord('n1', 1, 1, 'a', 'c1', 1.0)
    rng = random.Random(1)
    members = roster.Roster(record, ('seed',), rng, START)
    follower = store_follower.StoreFollower(members, rng, START)
    assert not follower.should_read(START + STEP)
    assert follower.should_read(START + 3 * STEP)


def test_a_source_that_has_just_started_is_skipped_only_briefly():
    simulation = Simulation(12)
    follower = next(
        f for f in simulation.followers.values() if not f.is_reader()
    )
    first = follower.choose_source(START + STEP)
    follower.record_pull_reply(None, START + STEP, first)
    assert follower.choose_source(START + 2 * STEP) != first
    later = START + STEP + store_follower.STALE_PULL_INTERVAL
    assert follower.choose_source(later) == first


def test_readers_that_the_store_rejects_are_replaced():
    simulation = Simulation()
    simulation.run(3)
    simulation.rejected = set(simulation.list_readers())
    simulation.run(4)
    assert simulation.find_max_staleness() <= 2.5 * SECOND


def test_age_stays_bounded_while_one_instance_reaches_the_store():
    simulation = Simulation()
    simulation.run(3)
    simulation.rejected = set(list(simulation.followers)[1:])
    simulation.run(6)
    assert simulation.find_max_staleness() <= 3 * SECOND


def test_lost_readers_are_replaced():
    simulation = Simulation()
    simulation.run(3)
    simulation.lost = set(simulation.list_readers())
    simulation.run(4)
    assert simulation.find_max_staleness() <= 2.5 * SECOND


def test_calls_of_an_unavailable_store_are_limited():
    simulation = Simulation(44)
    simulation.run(3)
    simulation.rejected = set(simulation.followers)
    simulation.run(3)
    simulation.calls = 0
    simulation.run(10)
    assert (
        simulation.calls
        <= 44 * 10 / (store_follower.MAX_RETRY_DELAY / SECOND) * 2.2
    )


def test_the_end_of_an_outage_is_detected():
    """Entries may have expired during the outage."""
    simulation = Simulation()
    simulation.run(3)
    follower = simulation.followers['n00']
    assert follower.record_store_answer(simulation.now) is False
    later = simulation.now + store_follower.OUTAGE_AFTER + SECOND
    assert follower.record_store_answer(later) is True
    other = simulation.followers['n01']
    assert other.record_pull_reply(0 * SECOND, later + SECOND, 'n00') is True


def test_a_reply_with_an_older_confirmation_does_not_lower_the_age():
    simulation = Simulation()
    simulation.run(3)
    follower = simulation.followers['n00']
    before = follower.find_staleness(simulation.now)
    follower.record_pull_reply(50 * SECOND, simulation.now, 'n01')
    assert follower.find_staleness(simulation.now) == before


def make_servers(count):
    return configuration.Configuration(
        servers={
            f's{n}': configuration.BackendServer(
                f's{n}', 'x', 'abc'[n % 3], f'h{n}:1', 2
            )
            for n in range(count)
        }
    )


def test_fallback_selection_spreads_requests_and_avoids_failed_servers():
    """With an unresponsive holder, all instances may choose at once."""
    selector = fallback.FallbackSelector(random.Random(1))
    published = make_servers(6)
    chosen = []
    for _ in range(60):
        server = selector.choose_server(published, 'x', 'a', (), START)
        selector.record_start(server)
        chosen.append(server)
    assert max(map(chosen.count, set(chosen))) <= 20
    selector.record_end('s0', 'error', START)
    selector.record_end('s1', 'refused', START)
    selector.record_ejected(shards.Shard('x', 'a'), ['s2'])
    later = {
        selector.choose_server(published, 'x', 'a', ('s3',), START)
        for _ in range(50)
    }
    assert later and later <= {'s4', 's5'}
    assert selector.list_unreachable(START) == ('s1',)
    assert selector.list_unreachable(START + fallback.UNREACHABLE_TIME) == ()


def test_fallback_selection_skips_cold_and_leaving_servers():
    published = make_servers(3)
    servers = published.servers
    servers['s0'] = servers['s0']._replace(is_cold=True)
    servers['s1'] = servers['s1']._replace(state='out')
    selector = fallback.FallbackSelector(random.Random(1))
    chosen = {
        selector.choose_server(published, 'x', 'a', (), START)
        for _ in range(9)
    }
    assert chosen == {'s2'}
    assert selector.choose_server(published, 'x', 'a', ('s2',), START) is None


def test_a_domain_whose_readers_are_rejected_pulls_from_other_domains():
    """Its instances must not all call the store themselves.

    On day trouble-1 of the grown deployment Guild, there were 3,716 calls,
    three times those of the readers, while the store rejected a third of the
    instances.
    """
    simulation = Simulation(44)
    simulation.run(3)
    normal_calls = simulation.calls
    simulation.run(10)
    normal_calls = simulation.calls - normal_calls
    simulation.rejected = {
        name
        for name, follower in simulation.followers.items()
        if follower.is_reader() and name in list(simulation.followers)[::3]
    } | set(list(simulation.followers)[:12])
    simulation.run(2)
    simulation.calls = 0
    simulation.run(10)
    assert simulation.calls <= 2 * normal_calls
    assert simulation.find_max_staleness() <= 2 * SECOND


@pytest.mark.parametrize('phase_steps', range(11))
def test_followers_of_rejected_readers_stay_within_the_time_for_changes(
    phase_steps,
):
    """A new configuration has to be in force everywhere within two seconds.

    On day trouble-1 of the deployment Guild the store turned one domain away.
    Its instances pulled for over a second from readers that had nothing new,
    then waited for the next pull, and used the old version for 2.1 s.
    """
    simulation = Simulation(44)
    simulation.run(3 + phase_steps / 10)
    simulation.rejected = set(list(simulation.followers)[::3])
    oldest = datetime.timedelta(0)
    for _ in range(60):
        simulation.step()
        oldest = max(oldest, simulation.find_max_staleness())
    assert oldest < 2 * SECOND


def test_call_after_changes_is_delayed_to_batch_further_ones():
    """Each change ends the pending call of every reader."""
    simulation = Simulation(1)
    follower = simulation.followers['n00']
    follower.record_store_answer(START, has_changes=True)
    assert not follower.should_read(START + STEP)
    assert follower.should_read(START + store_follower.CHANGE_BATCH_DELAY)
    follower.record_store_answer(START + SECOND)
    assert follower.should_read(START + SECOND)


def test_pulls_are_spread_over_the_readers_of_a_domain():
    """Instances of a domain are spread evenly over its readers.

    On day scale-1 of the grown deployment Guild, all pulled from one reader,
    its link was full for three seconds, and servers that had left were used
    for too long.
    """
    simulation = Simulation(count=75)
    while simulation.now < START + 3 * SECOND:
        simulation.step()
    pulls_by_reader = collections.Counter(
        follower.choose_source(simulation.now)
        for name, follower in simulation.followers.items()
        if name[1:] in {f'{n:02}' for n in range(0, 75, 3)}
        and not follower.is_reader()
    )
    assert len(pulls_by_reader) == store_follower.READERS_PER_DOMAIN
    assert min(pulls_by_reader.values()) >= sum(pulls_by_reader.values()) / 4
