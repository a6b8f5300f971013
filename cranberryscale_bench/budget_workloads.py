"""Customers, arrivals and faults for the budget cases."""

import itertools
import random
from typing import NamedTuple

from cranberryscale.version import configuration
from cranberryscale.version import view as view_module
from cranberryscale_bench import budget_fakes


__all__ = [
    'CUSTOMERS',
    'FAULT_NAMES',
    'BudgetFaults',
    'make_arrivals',
    'make_faults',
    'scale_customers',
]

START_S = 5.0
MOVE_INTERVAL_S = 3.0
BURST_DURATION_S = 0.02
BURST_FILL_RATIO = 0.9
CUSTOMERS = tuple(
    configuration.Customer(f'c{n}', rate_per_s, burst_requests)
    for n, (rate_per_s, burst_requests) in enumerate(
        (
            (400.0, 200),
            (200.0, 100),
            (100.0, 60),
            (40.0, 20),
            (20.0, 20),
            (10.0, 10),
            (2.0, 5),
            (0.5, 3),
        )
    )
)
# pause_entry pauses random instances, at which callers' requests arrive;
# pause_holder pauses holders of budget shares.
FAULT_NAMES = (
    'duplication',
    'holder_change',
    'loss',
    'partition',
    'pause_entry',
    'pause_holder',
    'restart',
)


class BudgetFaults(NamedTuple):
    """Faults of one run, as simulated by budget_fakes and budget_fleet.

    `suspected_in_region` and `suspected_everywhere` are the instances that
    the others suspect, in the region's scope only or in the domains' too.
    """

    loss_ratio: float = 0.0
    duplicate_ratio: float = 0.0
    delayed_ratio: float = 0.0
    partitions: tuple[budget_fakes.FaultInterval, ...] = ()
    pauses: tuple[budget_fakes.FaultInterval, ...] = ()
    suspected_in_region: tuple[budget_fakes.FaultInterval, ...] = ()
    suspected_everywhere: tuple[budget_fakes.FaultInterval, ...] = ()
    restarts_s: tuple[float, ...] = ()


def scale_customers(factor: float) -> tuple[configuration.Customer, ...]:
    """Return CUSTOMERS with rates and bursts multiplied; bursts are >= 3."""
    return tuple(
        c._replace(
            rate_per_s=c.rate_per_s * factor,
            burst_requests=max(int(c.burst_requests * factor), 3),
        )
        for c in CUSTOMERS
    )


def _make_poisson_arrivals(customer, pattern, load_ratio, seconds, names, rng):
    at_s = last_move_s = START_S
    instance = rng.choice(names)
    while True:
        at_s += rng.expovariate(customer.rate_per_s * load_ratio)
        if at_s > START_S + seconds:
            return
        has_moved = (
            pattern == 'moving' and at_s > last_move_s + MOVE_INTERVAL_S
        )
        if pattern == 'uniform' or has_moved:
            instance, last_move_s = rng.choice(names), at_s
        yield at_s, customer.name, instance


def _make_burst_arrivals(customer, load_ratio, seconds, names, rng):
    count = max(int(customer.burst_requests * BURST_FILL_RATIO), 1)
    period_s = count / (customer.rate_per_s * load_ratio)
    at_s = START_S + rng.random() * period_s
    while at_s < START_S + seconds:
        instance = rng.choice(names)
        for number in range(count):
            yield (
                at_s + number * BURST_DURATION_S / count,
                customer.name,
                instance,
            )
        at_s += period_s


def make_arrivals(
    customers: tuple[configuration.Customer, ...],
    pattern: str,
    load_ratios: dict[str, float],
    seconds: float,
    names: tuple[str, ...],
    rng: random.Random,
) -> list[tuple[float, str, str]]:
    """Return (time in s, customer, instance), sorted by time.

    `load_ratios` maps customers to the offered part of their rates. Patterns
    are "uniform", "one" (instance), "moving" (from one instance to another)
    and "bursts".
    """
    sources = (
        _make_burst_arrivals(c, load_ratios[c.name], seconds, names, rng)
        if pattern == 'bursts'
        else _make_poisson_arrivals(
            c, pattern, load_ratios[c.name], seconds, names, rng
        )
        for c in customers
    )
    return sorted(itertools.chain.from_iterable(sources))


def _make_pauses(names, seconds, durations_s, rng):
    return tuple(
        budget_fakes.FaultInterval(
            start_s, start_s + duration_s, frozenset([name])
        )
        for name in names
        for duration_s in durations_s
        for start_s in (START_S + rng.random() * seconds * 0.7,)
    )


def _add_fault(faults, fault, seconds, view, holders, rng) -> BudgetFaults:
    third_s = START_S + seconds / 3
    match fault:
        case 'loss':
            return faults._replace(loss_ratio=0.03, delayed_ratio=0.05)
        case 'duplication':
            return faults._replace(duplicate_ratio=0.2, delayed_ratio=0.1)
        case 'pause_entry':
            names = rng.sample(sorted(view.names), 12)
            pauses = _make_pauses(names, seconds, (0.03, 0.2, 2.0), rng)
            return faults._replace(pauses=faults.pauses + pauses)
        case 'pause_holder':
            pauses = _make_pauses(holders[:4], seconds, (0.04, 4.0, 9.0), rng)
            detected_pauses = tuple(
                p
                for p in pauses
                if p.end_s - p.start_s > budget_fakes.SUSPECT_S
            )
            return faults._replace(
                pauses=faults.pauses + pauses,
                suspected_everywhere=faults.suspected_everywhere
                + detected_pauses,
            )
        case 'holder_change':
            absence = budget_fakes.FaultInterval(
                third_s, third_s + 12, frozenset(holders)
            )
            return faults._replace(
                suspected_everywhere=(*faults.suspected_everywhere, absence)
            )
        case 'partition':
            names = frozenset(m.name for m in view.members if m.domain == 'd0')
            partition = budget_fakes.FaultInterval(
                third_s - 3, third_s + seconds / 2, names
            )
            return faults._replace(
                partitions=(partition,), suspected_in_region=(partition,)
            )
        case 'restart':
            return faults._replace(restarts_s=(START_S + seconds * 0.4,))
    raise ValueError(fault)


def make_faults(
    names: tuple[str, ...],
    seconds: float,
    view: view_module.MembershipView,
    holders: tuple[str, ...],
    rng: random.Random,
) -> BudgetFaults:
    """Return the named faults.

    `holders` are the instances that pause_holder and holder_change affect.
    Raises ValueError for an unknown name.
    """
    faults = BudgetFaults()
    for name in names:
        faults = _add_fault(faults, name, seconds, view, holders, rng)
    return faults


def list_suspicion_changes(
    faults: BudgetFaults, domains: tuple[str, ...]
) -> tuple[budget_fakes.SuspicionChange, ...]:
    """Return when members start and stop to suspect others, by scope."""
    region = frozenset([view_module.REGION_SCOPE])
    intervals_by_scopes = (
        (region, faults.suspected_in_region + faults.suspected_everywhere),
        (frozenset(domains), faults.suspected_everywhere),
    )
    changes = [
        budget_fakes.SuspicionChange(
            at_s, frozenset(), 0.0, region | set(domains), True
        )
        for at_s in faults.restarts_s
    ]
    for scopes, intervals in intervals_by_scopes:
        edges = [(i.start_s, budget_fakes.SUSPECT_S) for i in intervals]
        edges += [(i.end_s, budget_fakes.RECOVERY_DELAY_S) for i in intervals]
        for at_s, detection_delay_s in edges:
            suspected = frozenset().union(
                *(i.names for i in intervals if i.start_s <= at_s < i.end_s)
            )
            changes.append(
                budget_fakes.SuspicionChange(
                    at_s, suspected, detection_delay_s, scopes
                )
            )
    return tuple(changes)
