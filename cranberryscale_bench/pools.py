"""Measurements of pool holders against instances that decide alone."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import functools
import itertools
import os

from cranberryscale.version import configuration
from cranberryscale_bench import alone
from cranberryscale_bench import pool_model
from cranberryscale_bench import results


__all__ = ['QUICK_CASES', 'list_cases']

SIZES = {
    'ponte-nova': pool_model.Size('events', 6, 0.04, 14),
    'guild': pool_model.Size('records', 2, 0.1, 14),
}
# Services of each user, for the hour of healthy traffic.
HOUR_SERVERS = {'ponte-nova': (6, 13, 14), 'guild': (6, 10, 14)}
DETECTION_BOUNDS_S = {'slow': 2.0, 'wrong': 2.0, 'error': 2.0, 'silent': 3.0}
SECOND_FAULTS = ('alone', 'holder-lost', 'instance-paused', 'other-gray')
TRIALS = 20
# Suspicion and a lease pass before another instance holds the pool.
HOLDER_GAP_S = 13.0
WARM_S = 15.0
# A run that detects nothing counts with this time.
DETECTION_LIMIT_S = 10.0
PAUSE_MEAN_S = 60.0
PAUSE_S = 0.2
FAULT_EVERY_S = 20
OUT_STATES = ('ejected', 'trial')
HOUR_S = float(os.environ.get('POOL_HOUR_S', '3600'))
MOVE_S = 15.0
FAIR_S = 40.0

MakePool = Callable[[pool_model.Model, str], object]


def _add_fault(
    model: pool_model.Model,
    fault: str,
    domain: str = 'd1',
    gap_s: float = HOLDER_GAP_S,
) -> None:
    match fault:
        case 'holder-lost':
            # The lost holder is an entry instance too: it never replies to
            # the survey and serves no callers.
            model.pools[domain].replace_holder('i0', gap_s)
            model.paused['i0'] = model.now_s + 1000.0
        case 'instance-paused':
            model.paused['i3'] = model.now_s + 3.0
        case 'other-gray':
            model.servers['s3'].slow_factor = 10.0


def _turn_gray(server: pool_model.Server, mode: str) -> None:
    match mode:
        case 'slow':
            server.slow_factor = 10.0
        case 'silent':
            server.is_silent = True
        case 'wrong' | 'error':
            server.wrong_ratio, server.wrong_outcome = 0.3, mode


def _detect(
    size: pool_model.Size, mode: str, fault: str, make: MakePool, seed: int
) -> float:
    model = pool_model.Model(size, seed, make)
    model.run(WARM_S)
    _turn_gray(model.servers['s0'], mode)
    # The new holder starts without evidence while the fault begins.
    _add_fault(model, fault, 'd0', 0.0)
    since_s = model.now_s

    def is_found() -> bool:
        return model.pools['d0'].list_states()['s0'] == 'ejected'

    model.run(DETECTION_LIMIT_S, is_found)
    return model.now_s - since_s


def _measure_detection(
    user: str, mode: str, fault: str
) -> Iterator[results.Result]:
    size = SIZES[user]
    name = f'pools.detection.{user}.{mode}.{fault}'
    ours, base = (
        sorted(
            _detect(size, mode, fault, make, seed) for seed in range(TRIALS)
        )
        for make in (pool_model.HolderPool, alone.AlonePool)
    )
    bound = DETECTION_BOUNDS_S[mode]
    places = {'detection_s': TRIALS // 2, 'detection_worst_s': -1}
    for measure, place in places.items():
        yield results.Result(
            name, measure, ours[place], base[place], bound, 's'
        )


def _count_ejections(
    size: pool_model.Size, fault: str, make: MakePool, seconds: float
) -> int:
    """Return how often a healthy server was ejected."""
    model = pool_model.Model(size, 1, make)
    model.pause_servers(PAUSE_MEAN_S, PAUSE_S)
    false, before = 0, {}
    started_s = model.now_s
    for second in itertools.count(1):
        if model.now_s - started_s >= seconds:
            return false
        model.run(1.0)
        if second % FAULT_EVERY_S == 0:
            _add_fault(model, fault)
        states = {}
        for pool in model.pools.values():
            states |= pool.list_states()
        false += sum(
            state in OUT_STATES and before.get(name) not in OUT_STATES
            for name, state in states.items()
            if model.servers[name].slow_factor == 1.0
        )
        before = states


def _measure_false_ejections(
    user: str, fault: str, seconds: float
) -> Iterator[results.Result]:
    ours, base = (
        sum(
            _count_ejections(
                SIZES[user]._replace(servers=count), fault, make, seconds
            )
            for count in HOUR_SERVERS[user]
        )
        for make in (pool_model.HolderPool, alone.AlonePool)
    )
    yield results.Result(
        f'pools.healthy.{user}.{fault}.{seconds:.0f}s',
        'false_ejections',
        ours,
        base,
        0,
        'count',
    )


def _make_faultless(user: str, make: MakePool) -> pool_model.Model:
    """Return a model whose servers give no random errors."""
    model = pool_model.Model(SIZES[user], 1, make)
    for server in model.servers.values():
        server.error_ratio = 0.0
    return model


def _measure_fairness(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make: MakePool) -> float:
        model = _make_faultless(user, make)
        model.run(WARM_S)
        model.weights['b'] *= 5
        model.results.clear()
        _add_fault(model, fault)
        model.run(FAIR_S)
        success = []
        for customer in model.weights:
            rows = model.results.items()
            total = sum(n for (name, _), n in rows if name == customer)
            if customer != 'b':
                success.append(model.results[customer, 'ok'] / total)
        return min(success) / max(success)

    yield results.Result(
        f'pools.fairness.{user}.{fault}',
        'worst_customer_success_ratio',
        measure(pool_model.HolderPool),
        measure(alone.AlonePool),
        0.99,
        'ratio',
    )


def _set_domain(model: pool_model.Model, state: str) -> None:
    domain = configuration.FailureDomain('d0', state)
    model.load(model.configuration._replace(domains={'d0': domain}))


def _measure_domain_move(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make: MakePool) -> float:
        model = _make_faultless(user, make)
        model.run(WARM_S)
        model.results.clear()
        _set_domain(model, 'out')
        _add_fault(model, fault)
        model.run(MOVE_S)
        for server in model.list_domain('d0'):
            server.turn_cold()
        _set_domain(model, 'in')
        model.run(MOVE_S)
        served = sum(model.results[name, 'ok'] for name in model.weights)
        return served / sum(model.results.values())

    yield results.Result(
        f'pools.domain-move.{user}.{fault}',
        'domain_move_service_ratio',
        measure(pool_model.HolderPool),
        measure(alone.AlonePool),
        0.999,
        'ratio',
    )


def _measure_cold_start(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make: MakePool) -> float:
        model = pool_model.Model(SIZES[user], 1, make)
        model.run(WARM_S)
        _set_domain(model, 'out')
        model.run(3.0)
        cold = model.list_domain('d0')
        for server in cold:
            server.turn_cold()
            server.peak_ratio = 0.0
        _set_domain(model, 'in')
        model.run(0.5)
        _add_fault(model, fault)
        model.run(10.0)
        return max(server.peak_ratio for server in cold)

    yield results.Result(
        f'pools.cold-start.{user}.{fault}',
        'cold_start_overrun_ratio',
        measure(pool_model.HolderPool),
        measure(alone.AlonePool),
        1.0,
        'ratio',
    )


def _measure_slots(user: str, fault: str) -> Iterator[results.Result]:
    def measure(make: MakePool) -> float:
        size = SIZES[user]._replace(load=1.5)
        model = pool_model.Model(size, 1, make)
        model.run(WARM_S)
        _add_fault(model, fault)
        model.run(10.0)
        return max(server.peak_ratio for server in model.servers.values())

    yield results.Result(
        f'pools.slots.{user}.{fault}',
        'slot_overrun_ratio',
        measure(pool_model.HolderPool),
        measure(alone.AlonePool),
        1.0,
        'ratio',
    )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    cases: dict[str, Callable[[], Iterable[results.Result]]] = {}
    for user, fault in itertools.product(SIZES, SECOND_FAULTS):
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
