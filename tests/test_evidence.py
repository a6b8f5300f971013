"""Tests of outlier ejection: detection, trials, restoring and the floor."""

import math
import random

import pytest

from cranberryscale import messages
from cranberryscale.process.leased import evidence
from cranberryscale.process.leased import server_records
from cranberryscale.version import configuration
from cranberryscale_bench import pool_simulation
from cranberryscale_bench import pools


BASELINE = evidence.Baseline(0.1, 0.0)
SMALL = pool_simulation.ServiceProfile('records', 2, 0.1, 6, instances=12)


def make_simulation(profile=SMALL, seed=1, **values):
    """Return a simulation after 15 s, when its servers are warm."""
    simulation = pool_simulation.PoolSimulation(profile, seed, **values)
    simulation.run(15)
    return simulation


def list_states(simulation):
    """Return the state of each server by name."""
    states = {}
    for pool in simulation.pools.values():
        states |= pool.list_states()
    return states


def test_increments_are_likelihood_ratios():
    """The bound exp(-h) on false alarms needs E[exp(increment)] <= 1."""
    rng = random.Random(1)
    draws = [
        math.exp(evidence.score_latency(0.1 * rng.lognormvariate(0, 0.6), 0.1))
        for _ in range(50000)
    ]
    assert sum(draws) / len(draws) <= 1
    server_evidence = evidence.ServerEvidence()
    server_evidence.add('error', 0.1, BASELINE, 1.0)
    bad = math.exp(server_evidence.error_score)
    healthy = (1 - evidence.BAD_ERROR_RATIO) / (
        1 - evidence.HEALTHY_ERROR_RATIO
    )
    error_ratio = evidence.HEALTHY_ERROR_RATIO
    assert error_ratio * bad + (1 - error_ratio) * healthy <= 1 + 1e-9


@pytest.mark.parametrize('slots', [1, 2, 3, 6, 8])
def test_half_of_the_slots_cannot_reach_the_threshold(slots):
    """The requests of one paused instance must not get a server ejected.

    They appear slow, and the instance may use up to half of the slots.
    """
    half = -(-slots // 2)
    assert (
        half * evidence.MAX_SCORE_INCREMENT
        < evidence.compute_slowness_threshold(slots, 0.04)
    )


@pytest.mark.parametrize('mode', ['slow', 'wrong', 'silent'])
@pytest.mark.parametrize('user', sorted(pools.PROFILES))
def test_gray_servers_are_ejected_in_time(user, mode):
    """Gray servers must be ejected within the bounds on detection time."""
    profile = pools.PROFILES[user]._replace(servers=6)
    detection_s = pools._simulate_detection(
        profile, mode, 'alone', pool_simulation.HolderPool, 3
    )
    assert detection_s <= pools.DETECTION_BOUNDS_S[mode]


def test_pauses_and_random_errors_eject_no_server():
    """Short pauses and random errors of healthy servers are normal."""
    for user in sorted(pools.PROFILES):
        profile = pools.PROFILES[user]._replace(servers=6)
        make_pool = pool_simulation.HolderPool
        assert (
            pools._count_false_ejections(profile, 'alone', make_pool, 20) == 0
        )


@pytest.mark.parametrize('factor', [3.0, 10.0])
def test_slowness_of_all_servers_ejects_none(factor):
    """A slow database behind all servers makes all of them slow at once."""
    simulation = make_simulation()
    for server in simulation.servers.values():
        server.slow_factor = factor
    simulation.run(15)
    assert 'ejected' not in list_states(simulation).values()


def test_unreported_permits_of_lost_instances_eject_no_server():
    """Instances lost together leave unreported permits at many servers.

    The age of these permits must not count as slowness of the servers.
    """
    simulation = make_simulation(pools.PROFILES['guild'])
    for name in ('i0', 'i3', 'i6', 'i9', 'i12'):
        simulation.paused_until_s[name] = simulation.now_s + 1000
    for _ in range(20):
        simulation.run(0.5)
        states = list_states(simulation)
        assert not {'ejected', 'trial'} & set(states.values())


def test_floor_holds_when_all_servers_are_bad():
    """Ejecting the last servers would stop a service that still answers."""
    simulation = make_simulation(pools.PROFILES['guild'])
    for server in simulation.servers.values():
        if server.published.domain == 'd0':
            server.wrong_ratio, server.wrong_outcome = 0.6, 'error'
    for _ in range(40):
        simulation.run(0.5)
        rows = simulation.pools['d0'].holder.list_server_snapshots(
            simulation.pools['d0'].lease, simulation.pools['d0'].now
        )
        used = [row for row in rows if row.state in ('in use', 'cold')]
        assert len(used) >= math.ceil(len(rows) * 0.5)
    assert any('kept for the floor' in row.reason for row in rows)


def test_recovered_server_returns_after_trials_and_slow_start():
    """An ejected server must come into use again without operators."""
    simulation = make_simulation()
    server = simulation.servers['s0']
    server.is_silent = True
    simulation.run(4)
    assert list_states(simulation)['s0'] in ('ejected', 'trial')
    server.is_silent = False
    simulation.run(25)
    assert list_states(simulation)['s0'] in ('cold', 'in use')


def test_trials_are_compared_with_the_current_baseline():
    """A server ejected before all became slower must be able to return.

    Compared with the baseline at its ejection, its trials would always fail.
    """
    simulation = make_simulation(deadline_s=8.0)
    simulation.servers['s0'].is_silent = True
    simulation.run(4)
    assert list_states(simulation)['s0'] in ('ejected', 'trial')
    simulation.servers['s0'].is_silent = False
    for server in simulation.servers.values():
        server.slow_factor = 6.0
    simulation.profile = simulation.profile._replace(load_ratio=0.1)
    simulation.run(60)
    assert list_states(simulation)['s0'] in ('cold', 'in use')


def test_flapping_doubles_the_ejection_up_to_a_bound():
    """With short ejections, a flapping server would fail many requests."""
    server = configuration.BackendServer('s', 'app', 'd', 'h:1', 2)
    record = server_records.ServerRecord(server, False, 0.0)
    now_s, ejections_s = 0.0, []
    for _ in range(9):
        record.eject('errors', now_s)
        ejections_s.append(record.ejection_s)
        now_s += record.ejection_s + 5
        record.restore('trials passed', now_s)
    assert ejections_s == [4, 8, 16, 32, 64, 128, 256, 256, 256]
    record.eject('errors', now_s + 256 * server_records.STEADY_FACTOR)
    assert record.ejection_s == server_records.BASE_EJECTION_S


def test_failed_trial_keeps_the_server_out():
    """A server must not return after a few successes before an error."""
    server = configuration.BackendServer('s', 'app', 'd', 'h:1', 2)
    record = server_records.ServerRecord(server, False, 0.0)
    record.eject('errors', 1.0)
    record.state = 'trial'
    for outcome in ('ok', 'ok', 'error'):
        report = messages.PermitReport('p', 's', outcome, 0.04)
        record.record_trial(report, 6.0)
    assert record.state == 'ejected'
    assert record.ejection_s == 2 * server_records.BASE_EJECTION_S


@pytest.mark.parametrize('probe_ratio', [0.0, 0.8])
def test_trials_stay_within_the_budget_and_run_repeatable_requests(
    probe_ratio,
):
    """A trial takes 25 ms and may fail the caller's request.

    Trials must be rare and run only requests that may be repeated.
    """
    simulation = make_simulation()
    simulation.servers['s0'].is_silent = True
    simulation.run(3)
    assert list_states(simulation)['s0'] == 'ejected'
    simulation.probe_ratio = probe_ratio
    runs = []

    def run(now_s, remaining_s):
        runs.append(now_s)
        simulation.servers['s0'].running += 1
        return 'error', 0.05

    simulation.servers['s0'].start_request = run
    simulation.run(60)
    assert bool(runs) == bool(probe_ratio)
    gaps = [
        later_s - earlier_s
        for earlier_s, later_s in zip(runs, runs[1:], strict=False)
    ]
    assert min(gaps, default=1) >= 0.45
