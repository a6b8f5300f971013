"""Guard detection, ejection, return and the floor."""

import math
import random

import pytest

from cranberryscale import messages
from cranberryscale.process import evidence
from cranberryscale.process import server_records
from cranberryscale.version import configuration
from cranberryscale_bench import pool_model
from cranberryscale_bench import pools


USUAL = evidence.Baseline(0.1, 0.0)
SMALL = pool_model.Size('records', 2, 0.1, 6, instances=12)


def make_model(size=SMALL, seed=1, **values):
    """Return a model that has run long enough to be warm."""
    model = pool_model.Model(size, seed, **values)
    model.run(15)
    return model


def list_states(model):
    """Return the states of all servers."""
    states = {}
    for pool in model.pools.values():
        states |= pool.list_states()
    return states


def test_increments_are_likelihood_ratios():
    """The stated bound exp(-h) needs E[exp(increment)] <= 1."""
    rng = random.Random(1)
    draws = [
        math.exp(evidence.score_latency(0.1 * rng.lognormvariate(0, 0.6), 0.1))
        for _ in range(50000)
    ]
    assert sum(draws) / len(draws) <= 1
    scored = evidence.ServerEvidence()
    scored.add('error', 0.1, USUAL, 1.0)
    bad = math.exp(scored.error_score)
    healthy = (1 - evidence.BAD_RATIO) / (1 - evidence.HEALTHY_RATIO)
    share = evidence.HEALTHY_RATIO
    assert share * bad + (1 - share) * healthy <= 1 + 1e-9


@pytest.mark.parametrize('slots', [1, 2, 3, 6, 8])
def test_half_of_the_slots_cannot_reach_the_threshold(slots):
    """One paused instance must not eject a server."""
    half = -(-slots // 2)
    assert (
        half * evidence.MAX_SCORE_INCREMENT
        < evidence.compute_slowness_threshold(slots, 0.04)
    )


@pytest.mark.parametrize('mode', ['slow', 'wrong', 'silent'])
@pytest.mark.parametrize('user', sorted(pools.SIZES))
def test_gray_servers_are_ejected_in_time(user, mode):
    """Detection time is what the operators measure first."""
    size = pools.SIZES[user]._replace(servers=6)
    took_s = pools._detect(size, mode, 'alone', pool_model.HolderPool, 3)
    assert took_s <= pools.DETECTION_BOUNDS_S[mode]


def test_healthy_noise_ejects_nobody():
    """Pauses and random errors are usual."""
    for user in sorted(pools.SIZES):
        size = pools.SIZES[user]._replace(servers=6)
        make = pool_model.HolderPool
        assert pools._count_ejections(size, 'alone', make, 20) == 0


@pytest.mark.parametrize('factor', [3.0, 10.0])
def test_common_slowness_ejects_nobody(factor):
    """A slow database behind all servers is no server's fault."""
    model = make_model()
    for server in model.servers.values():
        server.slow_factor = factor
    model.run(15)
    assert 'ejected' not in list_states(model).values()


def test_dead_instances_are_no_evidence():
    """A lost rack leaves permits without reports at many servers."""
    model = make_model(pools.SIZES['guild'])
    for name in ('i0', 'i3', 'i6', 'i9', 'i12'):
        model.paused[name] = model.now_s + 1000
    for _ in range(20):
        model.run(0.5)
        states = list_states(model)
        assert not {'ejected', 'trial'} & set(states.values())


def test_floor_holds_when_all_servers_are_bad():
    """Ejecting the last servers turns slow service into none."""
    model = make_model(pools.SIZES['guild'])
    for server in model.servers.values():
        if server.published.domain == 'd0':
            server.wrong_ratio, server.wrong_outcome = 0.6, 'error'
    for _ in range(40):
        model.run(0.5)
        rows = model.pools['d0'].holder.list_server_snapshots(
            model.pools['d0'].lease, model.pools['d0'].now
        )
        used = [row for row in rows if row.state in ('in use', 'cold')]
        assert len(used) >= math.ceil(len(rows) * 0.5)
    assert any('kept for the floor' in row.reason for row in rows)


def test_recovered_server_returns_by_trials_and_ramp():
    """An ejected server must come back without operators."""
    model = make_model()
    server = model.servers['s0']
    server.is_silent = True
    model.run(4)
    assert list_states(model)['s0'] in ('ejected', 'trial')
    server.is_silent = False
    model.run(25)
    assert list_states(model)['s0'] in ('cold', 'in use')


def test_trials_are_compared_with_what_is_usual_now():
    """A server ejected before all became slower could never return."""
    model = make_model(deadline_s=8.0)
    model.servers['s0'].is_silent = True
    model.run(4)
    assert list_states(model)['s0'] in ('ejected', 'trial')
    model.servers['s0'].is_silent = False
    for server in model.servers.values():
        server.slow_factor = 6.0
    model.size = model.size._replace(load=0.1)
    model.run(60)
    assert list_states(model)['s0'] in ('cold', 'in use')


def test_flapping_doubles_the_time_out_up_to_a_bound():
    """A flapping server would otherwise hurt callers again and again."""
    server = configuration.BackendServer('s', 'app', 'd', 'h:1', 2)
    record = server_records.ServerRecord(server, False, 0.0)
    now_s, outs = 0.0, []
    for _ in range(9):
        record.eject('errors', now_s)
        outs.append(record.ejection_s)
        now_s += record.ejection_s + 5
        record.restore('trials passed', now_s)
    assert outs == [4, 8, 16, 32, 64, 128, 256, 256, 256]
    record.eject('errors', now_s + 256 * server_records.STEADY_FACTOR)
    assert record.ejection_s == server_records.BASE_EJECTION_S


def test_failed_trial_keeps_the_server_out():
    """One good answer is no proof of recovery."""
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
def test_trials_stay_within_the_budget_and_need_consent(probe_ratio):
    """A trial costs 25 ms and may fail the caller's request."""
    model = make_model()
    model.servers['s0'].is_silent = True
    model.run(3)
    assert list_states(model)['s0'] == 'ejected'
    model.probe_ratio = probe_ratio
    runs = []

    def run(now_s, remaining_s):
        runs.append(now_s)
        model.servers['s0'].running += 1
        return 'error', 0.05

    model.servers['s0'].run = run
    model.run(60)
    assert bool(runs) == bool(probe_ratio)
    gaps = [late - soon for soon, late in zip(runs, runs[1:], strict=False)]
    assert min(gaps, default=1) >= 0.45
