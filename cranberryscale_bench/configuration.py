"""Benchmark cases for the dissemination of the configuration.

They run in the simulated time of configuration_fleet. The baseline is that
each instance polls the configuration service every 30 s.
"""

import functools
import random
from typing import Callable
from typing import Iterable

from cranberryscale.process import confirmation
from cranberryscale.process import reader_tree
from cranberryscale.version import view
from cranberryscale_bench import configuration_fleet as fleets
from cranberryscale_bench import results


__all__ = ['list_cases']

SEEDS = range(3)
BASELINE_POLL_S = 30.0
DISSEMINATION_BOUND_S = 4.0
REFUSAL_BOUND = 0.001
MAX_SERVICE_CALLS_PER_S = 2000.0
CHANGES_PER_DAY = 50000


def _measure_baseline(
    fault: fleets.ConfigurationFault, seed: int
) -> tuple[float, float, int]:
    """Return two times in s and the number of reverts of the baseline.

    The times are those until the new configuration is in force and until the
    withdrawn key is refused.
    """
    rng, service = random.Random(seed), fleets.FakeConfigurationService(fault)
    last_in_force_s, last_key_served_s, reverts = (
        fleets.CHANGE_S,
        fleets.CHANGE_S,
        0,
    )
    for number in range(fleets.MEMBERS):
        at_s, version, changed_at_s = rng.random() * BASELINE_POLL_S, 1, None
        while at_s < fleets.CHANGE_S + 4 * BASELINE_POLL_S:
            if fault.runs(number, at_s) and fault.can_reach_service(
                number, at_s
            ):
                read_version = service.find_version(at_s)
                reverts += read_version < version
                version = read_version
                changed_at_s = changed_at_s or (at_s if version > 1 else None)
            at_s += BASELINE_POLL_S
        if not fault.runs(number, fleets.END_S):
            continue
        at_s = changed_at_s or fleets.CHANGE_S + 4 * BASELINE_POLL_S
        last_key_served_s = max(last_key_served_s, at_s)
        if number in fault.measured:
            last_in_force_s = max(last_in_force_s, at_s)
    return (
        last_in_force_s - fault.first_known_s,
        last_key_served_s - fault.first_known_s,
        reverts,
    )


def _measure(
    case: str, make_fault: Callable[[int], fleets.ConfigurationFault]
):
    """Yield the results of one case, the worst of all seeds."""
    values, baselines = [], []
    for seed in SEEDS:
        fault = make_fault(seed)
        fleet = fleets.ConfigurationFleet(fault, seed).run()
        is_complete = fleet.in_force_at_s.keys() == fault.measured
        in_force_s = max(
            fleet.in_force_at_s.values() if is_complete else (fleets.END_S,),
            default=fault.first_known_s,
        )
        reverts = sum(instance.reverts for instance in fleet.instances)
        served_s = max(0.0, fleet.last_key_served_s - fault.first_known_s)
        refused_ratio = fleet.refused_steps / fleet.steps
        values.append(
            (
                in_force_s - fault.first_known_s,
                served_s,
                reverts,
                refused_ratio,
            )
        )
        baselines.append((*_measure_baseline(fault, seed), 0.0))
    rows = (
        ('config_in_force_s', DISSEMINATION_BOUND_S, 's'),
        ('key_withdrawal_s', DISSEMINATION_BOUND_S, 's'),
        ('config_reverts', 0, 'count'),
        ('keyed_refusal_ratio', make_fault(0).refusal_bound, 'ratio'),
    )
    for position, (measure, bound, unit) in enumerate(rows):
        if unit == 'ratio' and not bound:
            continue
        value = max(row[position] for row in values)
        baseline = max(row[position] for row in baselines)
        yield results.Result(case, measure, value, baseline, bound, unit)


def _find_reader_numbers() -> tuple[int, ...]:
    fleet = fleets.ConfigurationFleet(fleets.ConfigurationFault(), 0)
    fleet.instances[0].disseminator.load_members(
        fleet.published_view, frozenset()
    )
    names = fleet.instances[0].disseminator.reader_tree.readers
    return tuple(int(name[1:]) for name in names)


def _choose_non_reader(seed: int) -> int:
    others = sorted(set(range(fleets.MEMBERS)) - set(_find_reader_numbers()))
    return random.Random(seed).choice(others)


def _make_outage_except_one(
    since_s: float,
) -> Callable[[int], fleets.ConfigurationFault]:
    def make(seed: int) -> fleets.ConfigurationFault:
        only_instance = _choose_non_reader(seed)
        return fleets.ConfigurationFault(
            can_reach_service=lambda i, now: (
                now < since_s or i == only_instance
            ),
            refusal_bound=REFUSAL_BOUND
            if since_s < fleets.CHANGE_S - 15
            else 0.0,
        )

    return make


def _make_outage_end(seed: int) -> fleets.ConfigurationFault:
    only_instance = _choose_non_reader(seed)
    return fleets.ConfigurationFault(
        can_reach_service=lambda i, now: (
            now < 5 or (i == only_instance and now >= 34)
        ),
        first_known_s=34,
    )


def _make_stale_return(seed: int) -> fleets.ConfigurationFault:
    return fleets.ConfigurationFault(
        can_reach_service=lambda i, now: (
            not fleets.CHANGE_S + 2 <= now < fleets.CHANGE_S + 6
        ),
        is_stale=lambda now: now >= fleets.CHANGE_S + 6,
        refusal_bound=REFUSAL_BOUND,
    )


def _make_readers_lost(seed: int) -> fleets.ConfigurationFault:
    lost = frozenset(_find_reader_numbers()[::2])
    return fleets.ConfigurationFault(
        runs=lambda i, now: i not in lost or now < fleets.CHANGE_S,
        measured=frozenset(range(fleets.MEMBERS)) - lost,
    )


def _make_minority_partition(seed: int) -> fleets.ConfigurationFault:
    partitioned = frozenset(
        random.Random(seed).sample(range(fleets.MEMBERS), 14)
    )

    def is_partitioned(number: int, now: float) -> bool:
        return now >= fleets.CHANGE_S - 0.1 and number in partitioned

    return fleets.ConfigurationFault(
        can_reach_service=lambda i, now: not is_partitioned(i, now),
        can_connect=lambda a, b, now: (
            is_partitioned(a, now) == is_partitioned(b, now)
        ),
        measured=frozenset(range(fleets.MEMBERS)) - partitioned,
    )


def _make_partition_at_return(seed: int) -> fleets.ConfigurationFault:
    # Just before the partition, a quorum reported to the partitioned instances
    # that no instance reaches the service. They must not rely on these reports
    # for longer than the bound.
    partitioned = frozenset(
        random.Random(seed).sample(range(fleets.MEMBERS), 14)
    )

    def is_partitioned(number: int, now: float) -> bool:
        return now >= fleets.CHANGE_S and number in partitioned

    return fleets.ConfigurationFault(
        can_reach_service=lambda i, now: (
            now < 8 or (now >= fleets.CHANGE_S and i not in partitioned)
        ),
        can_connect=lambda a, b, now: (
            is_partitioned(a, now) == is_partitioned(b, now)
        ),
        measured=frozenset(range(fleets.MEMBERS)) - partitioned,
        refusal_bound=REFUSAL_BOUND,
    )


def _make_pause(seed: int) -> fleets.ConfigurationFault:
    paused = frozenset(random.Random(seed).sample(range(fleets.MEMBERS), 10))
    return fleets.ConfigurationFault(
        runs=lambda i, now: i not in paused or not 28 <= now < 38,
        measured=frozenset(range(fleets.MEMBERS)) - paused,
    )


def _measure_service_down() -> Iterable[results.Result]:
    """Yield the ratio of keyed requests refused in a long outage."""
    fault = fleets.ConfigurationFault(can_reach_service=lambda i, now: now < 8)
    ratios = []
    for seed in SEEDS:
        fleet = fleets.ConfigurationFleet(fault, seed).run()
        ratios.append(fleet.refused_steps / fleet.steps)
    name, measure = 'service_down', 'keyed_refusal_ratio'
    yield results.Result(
        name, measure, max(ratios), 0.0, REFUSAL_BOUND, 'ratio'
    )


def _make_view(member_count: int, domains: int) -> view.MembershipView:
    return view.MembershipView(
        1,
        tuple(
            view.Member(f'i{n:05}', f'd{n % domains:02}', '', '', '')
            for n in range(member_count)
        ),
    )


def _measure_read_budget() -> Iterable[results.Result]:
    """Yield the calls to the service per second, measured for small fleets.

    For 8,700 instances they are computed: the reader tree gives the number of
    readers, each of which makes at most one call per watch and change.
    """
    for member_count in (4, 11, 22, 44):
        fleet = fleets.ConfigurationFleet(
            fleets.ConfigurationFault(), 0, member_count
        ).run()
        calls = fleet.service.calls / fleets.END_S
        yield _make_read_budget_result(member_count, calls)
    built_tree = reader_tree.build_reader_tree(
        _make_view(8700, 12), frozenset()
    )
    watches_per_s = 1 / confirmation.DisseminationTerms().watch.total_seconds()
    changes_per_s = 2 * CHANGES_PER_DAY / 86400
    yield _make_read_budget_result(
        8700, len(built_tree.readers) * (watches_per_s + changes_per_s)
    )


def _make_read_budget_result(
    member_count: int, calls: float
) -> results.Result:
    return results.Result(
        f'read_budget_{member_count}',
        'config_service_calls_per_s',
        calls,
        member_count / BASELINE_POLL_S,
        MAX_SERVICE_CALLS_PER_S,
        'calls/s',
    )


_FAULTS: dict[str, Callable[[int], fleets.ConfigurationFault]] = {
    'no_faults': lambda seed: fleets.ConfigurationFault(
        refusal_bound=REFUSAL_BOUND
    ),
    'message_loss': lambda seed: fleets.ConfigurationFault(
        loss=0.1, refusal_bound=REFUSAL_BOUND
    ),
    'one_instance_reaches': _make_outage_except_one(8),
    'one_instance_keeps_reaching': _make_outage_except_one(
        fleets.CHANGE_S - 0.1
    ),
    'outage_ends_for_one': _make_outage_end,
    'stale_after_return': _make_stale_return,
    'half_of_readers_lost': _make_readers_lost,
    'minority_cut_off': _make_minority_partition,
    'cut_off_as_service_returns': _make_partition_at_return,
    'paused_instances': _make_pause,
}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    return {
        **{
            f'configuration/{case}': functools.partial(_measure, case, make)
            for case, make in _FAULTS.items()
        },
        'configuration/service_down': _measure_service_down,
        'configuration/read_budget': _measure_read_budget,
    }
