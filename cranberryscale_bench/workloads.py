"""Customers, arrivals and faults for the budget cases."""

import itertools
import random
from typing import NamedTuple

from cranberryscale.version import configuration
from cranberryscale.version import view as view_module
from cranberryscale_bench import fakes


__all__ = [
    'CUSTOMERS',
    'FAULTS',
    'Faults',
    'make_arrivals',
    'make_faults',
    'scale_customers',
]

START_S = 5.0
MOVE_S = 3.0
BURST_S = 0.02
BURST_RATIO = 0.9
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
FAULTS = (
    'duplication',
    'holder_change',
    'loss',
    'partition',
    'pause_entry',
    'pause_holder',
    'restart',
)


class Faults(NamedTuple):
    """Hold what the fakes need to play a set of faults."""

    loss_ratio: float = 0.0
    double_ratio: float = 0.0
    late_ratio: float = 0.0
    cuts: tuple[fakes.Interval, ...] = ()
    pauses: tuple[fakes.Interval, ...] = ()
    # Instances that the others pass over, within the region only or not.
    regional: tuple[fakes.Interval, ...] = ()
    everywhere: tuple[fakes.Interval, ...] = ()
    restarts_s: tuple[float, ...] = ()


def scale_customers(factor: float) -> tuple[configuration.Customer, ...]:
    """Return the customers with smaller rates and bursts."""
    return tuple(
        c._replace(
            rate_per_s=c.rate_per_s * factor,
            burst_requests=max(int(c.burst_requests * factor), 3),
        )
        for c in CUSTOMERS
    )


def _make_steady(customer, pattern, load, seconds, names, rng):
    at_s = moved_s = START_S
    here = rng.choice(names)
    while True:
        at_s += rng.expovariate(customer.rate_per_s * load)
        if at_s > START_S + seconds:
            return
        moves = pattern == 'moving' and at_s > moved_s + MOVE_S
        if pattern == 'uniform' or moves:
            here, moved_s = rng.choice(names), at_s
        yield at_s, customer.name, here


def _make_bursts(customer, load, seconds, names, rng):
    count = max(int(customer.burst_requests * BURST_RATIO), 1)
    period_s = count / (customer.rate_per_s * load)
    at_s = START_S + rng.random() * period_s
    while at_s < START_S + seconds:
        here = rng.choice(names)
        for number in range(count):
            yield at_s + number * BURST_S / count, customer.name, here
        at_s += period_s


def make_arrivals(
    customers: tuple[configuration.Customer, ...],
    pattern: str,
    loads: dict[str, float],
    seconds: float,
    names: tuple[str, ...],
    rng: random.Random,
) -> list[tuple[float, str, str]]:
    """Return (time, customer, instance), sorted by time.

    `loads` maps customers to the offered part of their rates. Patterns are
    "uniform", "one" (instance), "moving" and "bursts".
    """
    sources = (
        _make_bursts(c, loads[c.name], seconds, names, rng)
        if pattern == 'bursts'
        else _make_steady(c, pattern, loads[c.name], seconds, names, rng)
        for c in customers
    )
    return sorted(itertools.chain.from_iterable(sources))


def _make_pauses(names, seconds, lengths_s, rng):
    return tuple(
        fakes.Interval(start_s, start_s + length_s, frozenset([name]))
        for name in names
        for length_s in lengths_s
        for start_s in (START_S + rng.random() * seconds * 0.7,)
    )


def _add_fault(faults, fault, seconds, view, holders, rng) -> Faults:
    third_s = START_S + seconds / 3
    match fault:
        case 'loss':
            return faults._replace(loss_ratio=0.03, late_ratio=0.05)
        case 'duplication':
            return faults._replace(double_ratio=0.2, late_ratio=0.1)
        case 'pause_entry':
            names = rng.sample(sorted(view.names), 12)
            pauses = _make_pauses(names, seconds, (0.03, 0.2, 2.0), rng)
            return faults._replace(pauses=faults.pauses + pauses)
        case 'pause_holder':
            pauses = _make_pauses(holders[:4], seconds, (0.04, 4.0, 9.0), rng)
            long = tuple(
                p for p in pauses if p.end_s - p.start_s > fakes.SUSPECT_S
            )
            return faults._replace(
                pauses=faults.pauses + pauses,
                everywhere=faults.everywhere + long,
            )
        case 'holder_change':
            gone = fakes.Interval(third_s, third_s + 12, frozenset(holders))
            return faults._replace(everywhere=(*faults.everywhere, gone))
        case 'partition':
            names = frozenset(m.name for m in view.members if m.domain == 'd0')
            cut = fakes.Interval(third_s - 3, third_s + seconds / 2, names)
            return faults._replace(cuts=(cut,), regional=(cut,))
        case 'restart':
            return faults._replace(restarts_s=(START_S + seconds * 0.4,))
    raise ValueError(fault)


def make_faults(
    names: tuple[str, ...],
    seconds: float,
    view: view_module.MembershipView,
    holders: tuple[str, ...],
    rng: random.Random,
) -> Faults:
    """Combine faults by name; `holders` are the instances to strike."""
    faults = Faults()
    for name in names:
        faults = _add_fault(faults, name, seconds, view, holders, rng)
    return faults


def list_changes(
    faults: Faults, domains: tuple[str, ...]
) -> tuple[fakes.Change, ...]:
    """Return how the members' assignments follow the faults."""
    region = frozenset([view_module.REGION_SCOPE])
    cells = (
        (region, faults.regional + faults.everywhere),
        (frozenset(domains), faults.everywhere),
    )
    changes = [
        fakes.Change(at_s, frozenset(), 0.0, region | set(domains), True)
        for at_s in faults.restarts_s
    ]
    for cell, intervals in cells:
        edges = [(i.start_s, fakes.SUSPECT_S) for i in intervals]
        edges += [(i.end_s, fakes.NOTICE_S) for i in intervals]
        for at_s, notice_s in edges:
            suspected = frozenset().union(
                *(i.names for i in intervals if i.start_s <= at_s < i.end_s)
            )
            changes.append(fakes.Change(at_s, suspected, notice_s, cell))
    return tuple(changes)
