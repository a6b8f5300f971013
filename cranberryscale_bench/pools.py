"""Benchmark cases for pools.

The baseline is instances that decide independently, without a holder.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
import os

from cranberryscale.version import configuration
from cranberryscale_bench import pool_simulation
from cranberryscale_bench import results
from cranberryscale_bench import uncoordinated_pool


__all__ = ['QUICK_CASES', 'list_cases']

# One service of each user, an organization that runs its own fleet.
PROFILES = {
    'ponte-nova': pool_simulation.ServiceProfile('events', 6, 0.04, 14),
    'guild': pool_simulation.ServiceProfile('records', 2, 0.1, 14),
}
# Numbers of servers of each user's services, for the runs on false ejections.
HEALTHY_SERVER_COUNTS = {'ponte-nova': (6, 13, 14), 'guild': (6, 10, 14)}
DETECTION_BOUNDS_S = {'slow': 2.0, 'wrong': 2.0, 'error': 2.0, 'silent': 3.0}
# Faults besides the one that a case measures: "alone" is none, "other-gray" a
# gray failure of another server.
SECOND_FAULTS = ('alone', 'holder-lost', 'instance-paused', 'other-gray')
SEED_COUNT = 20
# The suspicion timeout and a lease pass before another instance holds the
# pool.
TAKEOVER_S = 13.0
WARM_UP_S = 15.0
# Detection time of a run in which the server is not ejected.
DETECTION_LIMIT_S = 10.0
MEAN_PAUSE_INTERVAL_S = 60.0
PAUSE_S = 0.2
FAULT_INTERVAL_S = 20
EJECTED_STATES = ('ejected', 'trial')
HOUR_S = float(os.environ.get('POOL_HOUR_S', '3600'))
DOMAIN_MOVE_S = 15.0
FAIRNESS_S = 40.0

PoolFactory = Callable[[pool_simulation.PoolSimulation, str], object]


def _inject_second_fault(
    simulation: pool_simulation.PoolSimulation,
    fault: str,
    domain: str = 'd1',
    takeover_s: float = TAKEOVER_S,
) -> None:
    match fault:
        case 'holder-lost':
            # The lost holder also serves callers: it stops serving them and
            # never replies to the survey.
            simulation.pools[domain].replace_holder('i0', takeover_s)
            simulation.paused_until_s['i0'] = simulation.now_s + 1000.0
        case 'instance-paused':
            simulation.paused_until_s['i3'] = simulation.now_s + 3.0
        case 'other-gray':
            simulation.servers['s3'].slow_factor = 10.0


def _inject_gray_failure(
    server: pool_simulation.SimulatedServer, mode: str
) -> None:
    match mode:
        case 'slow':
            server.slow_factor = 10.0
        case 'silent':
            server.is_silent = True
        case 'wrong' | 'error':
            server.wrong_ratio, server.wrong_outcome = 0.3, mode


def _simulate_detection(
    profile: pool_simulation.ServiceProfile,
    mode: str,
    fault: str,
    make_pool: PoolFactory,
    seed: int,
) -> float:
    simulation = pool_simulation.PoolSimulation(profile, seed, make_pool)
    simulation.run(WARM_UP_S)
    _inject_gray_failure(simulation.servers['s0'], mode)
    # The new holder starts without evidence just as the fault begins.
    _inject_second_fault(simulation, fault, 'd0', 0.0)
    since_s = simulation.now_s

    def is_ejected() -> bool:
        return simulation.pools['d0'].list_states()['s0'] == 'ejected'

    simulation.run(DETECTION_LIMIT_S, is_ejected)
    return simulation.now_s - since_s


def _measure_detection(
    user: str, mode: str, fault: str
) -> Iterator[results.Result]:
    profile = PROFILES[user]
    name = f'pools.detection.{user}.{mode}.{fault}'
    with_holder, without_holder = (
        sorted(
            _simulate_detection(profile, mode, fault, make_pool, seed)
            for seed in range(SEED_COUNT)
        )
        for make_pool in (
            pool_simulation.HolderPool,
            uncoordinated_pool.UncoordinatedPool,
        )
    )
    bound = DETECTION_BOUNDS_S[mode]
    ranks = {'detection_s': SEED_COUNT // 2, 'detection_worst_s': -1}
    for measure, rank in ranks.items():
        yield results.Result(
            name, measure, with_holder[rank], without_holder[rank], bound, 's'
        )


def _count_false_ejections(
    profile: pool_simulation.ServiceProfile,
    fault: str,
    make_pool: PoolFactory,
    seconds: float,
) -> int:
    """Return how often healthy servers were ejected."""
    simulation = pool_simulation.PoolSimulation(profile, 1, make_pool)
    simulation.pause_servers(MEAN_PAUSE_INTERVAL_S, PAUSE_S)
    false_ejections, previous_states = 0, {}
    started_s = simulation.now_s
    for second in itertools.count(1):
        if simulation.now_s - started_s >= seconds:
            return false_ejections
        simulation.run(1.0)
        if second % FAULT_INTERVAL_S == 0:
            _inject_second_fault(simulation, fault)
        states = {}
        for pool in simulation.pools.values():
            states |= pool.list_states()
        false_ejections += sum(
            state in EJECTED_STATES
            and previous_states.get(name) not in EJECTED_STATES
            for name, state in states.items()
            if simulation.servers[name].slow_factor == 1.0
        )
        previous_states = states


def _measure_false_ejections(
    user: str, fault: str, seconds: float
) -> Iterator[results.Result]:
    with_holder, without_holder = (
        sum(
            _count_false_ejections(
                PROFILES[user]._replace(servers=server_count),
                fault,
                make_pool,
                seconds,
            )
            for server_count in HEALTHY_SERVER_COUNTS[user]
        )
        for make_pool in (
            pool_simulation.HolderPool,
            uncoordinated_pool.UncoordinatedPool,
        )
    )
    yield results.Result(
        f'pools.healthy.{user}.{fault}.{seconds:.0f}s',
        'false_ejections',
        with_holder,
        without_holder,
        0,
        'count',
    )


def _make_error_free_simulation(
    user: str, make_pool: PoolFactory
) -> pool_simulation.PoolSimulation:
    """Return a simulation whose servers give no random errors."""
    simulation = pool_simulation.PoolSimulation(PROFILES[user], 1, make_pool)
    for server in simulation.servers.values():
        server.error_ratio = 0.0
    return simulation


def _measure_fairness(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make_pool: PoolFactory) -> float:
        simulation = _make_error_free_simulation(user, make_pool)
        simulation.run(WARM_UP_S)
        simulation.customer_weights['b'] *= 5
        simulation.outcome_counts.clear()
        _inject_second_fault(simulation, fault)
        simulation.run(FAIRNESS_S)
        success_ratios = []
        for customer in simulation.customer_weights:
            rows = simulation.outcome_counts.items()
            total = sum(n for (name, _), n in rows if name == customer)
            if customer != 'b':
                success_ratios.append(
                    simulation.outcome_counts[customer, 'ok'] / total
                )
        return min(success_ratios) / max(success_ratios)

    yield results.Result(
        f'pools.fairness.{user}.{fault}',
        'worst_customer_success_ratio',
        measure(pool_simulation.HolderPool),
        measure(uncoordinated_pool.UncoordinatedPool),
        0.99,
        'ratio',
    )


def _set_domain_state(
    simulation: pool_simulation.PoolSimulation, state: str
) -> None:
    domain = configuration.FailureDomain('d0', state)
    simulation.load_configuration(
        simulation.configuration._replace(domains={'d0': domain})
    )


def _measure_domain_move(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make_pool: PoolFactory) -> float:
        simulation = _make_error_free_simulation(user, make_pool)
        simulation.run(WARM_UP_S)
        simulation.outcome_counts.clear()
        _set_domain_state(simulation, 'out')
        _inject_second_fault(simulation, fault)
        simulation.run(DOMAIN_MOVE_S)
        for server in simulation.list_domain_servers('d0'):
            server.start_cold()
        _set_domain_state(simulation, 'in')
        simulation.run(DOMAIN_MOVE_S)
        served = sum(
            simulation.outcome_counts[name, 'ok']
            for name in simulation.customer_weights
        )
        return served / sum(simulation.outcome_counts.values())

    yield results.Result(
        f'pools.domain-move.{user}.{fault}',
        'domain_move_service_ratio',
        measure(pool_simulation.HolderPool),
        measure(uncoordinated_pool.UncoordinatedPool),
        0.999,
        'ratio',
    )


def _measure_cold_start(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make_pool: PoolFactory) -> float:
        simulation = pool_simulation.PoolSimulation(
            PROFILES[user], 1, make_pool
        )
        simulation.run(WARM_UP_S)
        _set_domain_state(simulation, 'out')
        simulation.run(3.0)
        cold_servers = simulation.list_domain_servers('d0')
        for server in cold_servers:
            server.start_cold()
            server.peak_ratio = 0.0
        _set_domain_state(simulation, 'in')
        simulation.run(0.5)
        _inject_second_fault(simulation, fault)
        simulation.run(10.0)
        return max(server.peak_ratio for server in cold_servers)

    yield results.Result(
        f'pools.cold-start.{user}.{fault}',
        'cold_start_overrun_ratio',
        measure(pool_simulation.HolderPool),
        measure(uncoordinated_pool.UncoordinatedPool),
        1.0,
        'ratio',
    )


def _measure_slots(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make_pool: PoolFactory) -> float:
        profile = PROFILES[user]._replace(load_ratio=1.5)
        simulation = pool_simulation.PoolSimulation(profile, 1, make_pool)
        simulation.run(WARM_UP_S)
        _inject_second_fault(simulation, fault)
        simulation.run(10.0)
        return max(server.peak_ratio for server in simulation.servers.values())

    yield results.Result(
        f'pools.slots.{user}.{fault}',
        'slot_overrun_ratio',
        measure(pool_simulation.HolderPool),
        measure(uncoordinated_pool.UncoordinatedPool),
        1.0,
        'ratio',
    )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name; "alone" means without a second fault."""
    cases: dict[str, Callable[[], Iterable[results.Result]]] = {}
    for user, fault in itertools.product(PROFILES, SECOND_FAULTS):
        for mode in DETECTION_BOUNDS_S:
            cases[f'pools.detection.{user}.{mode}.{fault}'] = (
                functools.partial(_measure_detection, user, mode, fault)
            )
        for name, measure in (
            ('fairness', _measure_fairness),
            ('domain-move', _measure_domain_move),
            ('cold-start', _measure_cold_start),
            ('slots', _measure_slots),
        ):
            cases[f'pools.{name}.{user}.{fault}'] = functools.partial(
                measure, user, fault
            )
        for name, seconds in (('minute', 60.0), ('hour', HOUR_S)):
            cases[f'pools.healthy-{name}.{user}.{fault}'] = functools.partial(
                _measure_false_ejections, user, fault, seconds
            )
    return cases


QUICK_CASES = tuple(
    f'pools.{name}.alone'
    for name in (
        'detection.guild.slow',
        'detection.guild.wrong',
        'detection.guild.silent',
        'healthy-minute.guild',
        'fairness.guild',
        'domain-move.guild',
        'cold-start.guild',
        'slots.guild',
    )
)
