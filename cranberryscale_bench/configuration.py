"""Measures of how the configuration spreads, with an injected clock.

Instances run the real acceptance, election and confirmation code. The
service, the messages and the members' signs of life are small fakes. The
baseline is each instance reading the service itself every 30 s.
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
BOUND_S = 4.0
REFUSAL_BOUND = 0.001
SERVICE_READS_PER_S = 2000.0
CHANGES_A_DAY = 50000


def _measure_baseline(
    fault: fleets.Fault, seed: int
) -> tuple[float, float, int]:
    source, service = random.Random(seed), fleets.Service(fault)
    last_force, last_key, reverts = fleets.CHANGE_S, fleets.CHANGE_S, 0
    for number in range(fleets.MEMBERS):
        at, version, changed = source.random() * BASELINE_POLL_S, 1, None
        while at < fleets.CHANGE_S + 4 * BASELINE_POLL_S:
            if fault.runs(number, at) and fault.reaches(number, at):
                read = service.find_version(at)
                reverts += read < version
                version = read
                changed = changed or (at if version > 1 else None)
            at += BASELINE_POLL_S
        if not fault.runs(number, fleets.END_S):
            continue
        at = changed or fleets.CHANGE_S + 4 * BASELINE_POLL_S
        last_key = max(last_key, at)
        if number in fault.counted:
            last_force = max(last_force, at)
    return last_force - fault.known_s, last_key - fault.known_s, reverts


def _measure(case: str, make_fault: Callable[[int], fleets.Fault]):
    """Return the results of one case, the worst of all seeds."""
    values, baselines = [], []
    for seed in SEEDS:
        fault = make_fault(seed)
        fleet = fleets.Fleet(fault, seed).run()
        is_complete = fleet.in_force_s.keys() == fault.counted
        in_force = max(
            fleet.in_force_s.values() if is_complete else (fleets.END_S,),
            default=fault.known_s,
        )
        reverts = sum(one.reverts for one in fleet.instances)
        served = max(0.0, fleet.key_served_s - fault.known_s)
        refused = fleet.refused_steps / fleet.steps
        values.append((in_force - fault.known_s, served, reverts, refused))
        baselines.append((*_measure_baseline(fault, seed), 0.0))
    rows = (
        ('config_in_force_s', BOUND_S, 's'),
        ('key_withdrawal_s', BOUND_S, 's'),
        ('config_reverts', 0, 'count'),
        ('keyed_refusal_ratio', make_fault(0).refusal_bound, 'ratio'),
    )
    for position, (measure, bound, unit) in enumerate(rows):
        if unit == 'ratio' and not bound:
            continue
        value = max(row[position] for row in values)
        baseline = max(row[position] for row in baselines)
        yield results.Result(case, measure, value, baseline, bound, unit)


def _find_readers() -> tuple[int, ...]:
    idle = fleets.Fleet(fleets.Fault(), 0)
    idle.instances[0].spread.load_members(idle.listed, frozenset())
    names = idle.instances[0].spread.reader_tree.readers
    return tuple(int(name[1:]) for name in names)


def _choose_outsider(seed: int) -> int:
    others = sorted(set(range(fleets.MEMBERS)) - set(_find_readers()))
    return random.Random(seed).choice(others)


def _make_one_reachable(since_s: float) -> Callable[[int], fleets.Fault]:
    def make(seed: int) -> fleets.Fault:
        only = _choose_outsider(seed)
        return fleets.Fault(
            reaches=lambda i, now: now < since_s or i == only,
            refusal_bound=REFUSAL_BOUND
            if since_s < fleets.CHANGE_S - 15
            else 0.0,
        )

    return make


def _make_outage_end(seed: int) -> fleets.Fault:
    only = _choose_outsider(seed)
    return fleets.Fault(
        reaches=lambda i, now: now < 5 or (i == only and now >= 34),
        known_s=34,
    )


def _make_stale_return(seed: int) -> fleets.Fault:
    return fleets.Fault(
        reaches=lambda i, now: (
            not fleets.CHANGE_S + 2 <= now < fleets.CHANGE_S + 6
        ),
        is_stale=lambda now: now >= fleets.CHANGE_S + 6,
        refusal_bound=REFUSAL_BOUND,
    )


def _make_readers_lost(seed: int) -> fleets.Fault:
    lost = frozenset(_find_readers()[::2])
    return fleets.Fault(
        runs=lambda i, now: i not in lost or now < fleets.CHANGE_S,
        counted=frozenset(range(fleets.MEMBERS)) - lost,
    )


def _make_minority(seed: int) -> fleets.Fault:
    cut = frozenset(random.Random(seed).sample(range(fleets.MEMBERS), 14))

    def is_cut(number: int, now: float) -> bool:
        return now >= fleets.CHANGE_S - 0.1 and number in cut

    return fleets.Fault(
        reaches=lambda i, now: not is_cut(i, now),
        connects=lambda a, b, now: is_cut(a, now) == is_cut(b, now),
        counted=frozenset(range(fleets.MEMBERS)) - cut,
    )


def _make_cut_at_return(seed: int) -> fleets.Fault:
    # The cut off have a quorum's word, not older than the cut, that nobody
    # reaches the service; it must not outlive the bound.
    cut = frozenset(random.Random(seed).sample(range(fleets.MEMBERS), 14))

    def is_cut(number: int, now: float) -> bool:
        return now >= fleets.CHANGE_S and number in cut

    return fleets.Fault(
        reaches=lambda i, now: (
            now < 8 or (now >= fleets.CHANGE_S and i not in cut)
        ),
        connects=lambda a, b, now: is_cut(a, now) == is_cut(b, now),
        counted=frozenset(range(fleets.MEMBERS)) - cut,
        refusal_bound=REFUSAL_BOUND,
    )


def _make_pause(seed: int) -> fleets.Fault:
    paused = frozenset(random.Random(seed).sample(range(fleets.MEMBERS), 10))
    return fleets.Fault(
        runs=lambda i, now: i not in paused or not 28 <= now < 38,
        counted=frozenset(range(fleets.MEMBERS)) - paused,
    )


def _measure_service_down() -> Iterable[results.Result]:
    """Return how many keyed requests an outage of hours refuses."""
    fault = fleets.Fault(reaches=lambda i, now: now < 8)
    ratios = []
    for seed in SEEDS:
        fleet = fleets.Fleet(fault, seed).run()
        ratios.append(fleet.refused_steps / fleet.steps)
    name, measure = 'service_down', 'keyed_refusal_ratio'
    yield results.Result(
        name, measure, max(ratios), 0.0, REFUSAL_BOUND, 'ratio'
    )


def _make_view(members: int, domains: int) -> view.MembershipView:
    return view.MembershipView(
        1,
        tuple(
            view.Member(f'i{n:05}', f'd{n % domains:02}', '', '', '')
            for n in range(members)
        ),
    )


def _measure_read_budget() -> Iterable[results.Result]:
    """Return the calls on the service, measured for small fleets.

    For 8,700 instances the election gives the number of readers, each of
    which makes at most one call per watch and per change.
    """
    for members in (4, 11, 22, 44):
        fleet = fleets.Fleet(fleets.Fault(), 0, members).run()
        calls = fleet.service.calls / fleets.END_S
        yield _make_budget(members, calls)
    layout = reader_tree.build_reader_tree(_make_view(8700, 12), frozenset())
    watches_per_s = 1 / confirmation.DisseminationTerms().watch.total_seconds()
    changes_per_s = 2 * CHANGES_A_DAY / 86400
    yield _make_budget(
        8700, len(layout.readers) * (watches_per_s + changes_per_s)
    )


def _make_budget(members: int, calls: float) -> results.Result:
    return results.Result(
        f'read_budget_{members}',
        'config_service_calls_per_s',
        calls,
        members / BASELINE_POLL_S,
        SERVICE_READS_PER_S,
        'calls/s',
    )


_FAULTS: dict[str, Callable[[int], fleets.Fault]] = {
    'no_faults': lambda seed: fleets.Fault(refusal_bound=REFUSAL_BOUND),
    'message_loss': lambda seed: fleets.Fault(
        loss=0.1, refusal_bound=REFUSAL_BOUND
    ),
    'one_instance_reaches': _make_one_reachable(8),
    'one_instance_keeps_reaching': _make_one_reachable(fleets.CHANGE_S - 0.1),
    'outage_ends_for_one': _make_outage_end,
    'stale_after_return': _make_stale_return,
    'half_of_readers_lost': _make_readers_lost,
    'minority_cut_off': _make_minority,
    'cut_off_as_service_returns': _make_cut_at_return,
    'paused_instances': _make_pause,
}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the measures by case."""
    return {
        **{
            f'configuration/{case}': functools.partial(_measure, case, make)
            for case, make in _FAULTS.items()
        },
        'configuration/service_down': _measure_service_down,
        'configuration/read_budget': _measure_read_budget,
    }
