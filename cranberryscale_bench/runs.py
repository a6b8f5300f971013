"""Runs of the budget objects of a whole fleet over fakes."""

from collections.abc import Callable
from collections.abc import Iterable
import random
import statistics
from typing import NamedTuple

from cranberryscale.process import budgets
from cranberryscale.process import token_acquisition
from cranberryscale.process import token_bucket
from cranberryscale.version import configuration
from cranberryscale.version import view as view_module
from cranberryscale_bench import fakes
from cranberryscale_bench import fleet
from cranberryscale_bench import measures
from cranberryscale_bench import workloads


__all__ = ['DOMAINS', 'INSTANCES', 'SEED', 'Run', 'Scenario', 'find_holders']
__all__ += ['keep', 'list_success_ratios', 'run_fleet']

INSTANCES = 44
DOMAINS = ('d0', 'd1', 'd2')
SEED = 20260104


class Scenario(NamedTuple):
    """Say what is offered, which faults strike and with what settings."""

    customers: tuple[configuration.Customer, ...]
    pattern: str
    loads: dict[str, float]
    seconds: float
    fault_names: tuple[str, ...] = ()
    faults: workloads.Faults | None = None
    floor_fraction: float = 0.3
    terms: token_bucket.BudgetTerms = token_bucket.BudgetTerms()
    drift_ratio: float = 0.0005


class Run(NamedTuple):
    """Hold what a run offered and how each request ended."""

    customers: tuple[configuration.Customer, ...]
    arrivals: list[tuple[float, str, str]]
    outcomes: dict[int, tuple[float, object]]
    messages: int

    def list_admitted(self, customer: str) -> list[float]:
        """Return when the customer's tokens were spent, sorted."""
        return sorted(
            at_s
            for number, (at_s, outcome) in self.outcomes.items()
            if isinstance(outcome, token_acquisition.TokenAcquired)
            and self.arrivals[number][1] == customer
        )

    def is_admitted(self, number: int) -> bool:
        """Tell whether a request was admitted, by its arrival's number."""
        ended = self.outcomes.get(number)
        return ended is not None and isinstance(
            ended[1], token_acquisition.TokenAcquired
        )


def find_holders(view, shares) -> tuple[str, ...]:
    """Return the holders of the customers' first shares."""
    oracle = fakes.LeaseOracle(view, ())
    return tuple(
        dict.fromkeys(
            oracle.find_holder(parts[0].resource, 0)
            for parts in shares.values()
        )
    )


def _make_fleet(
    scenario: Scenario,
    view: view_module.MembershipView,
    shares: dict[str, tuple[token_bucket.BudgetShare, ...]],
    rng: random.Random,
) -> fleet.Fleet:
    faults = scenario.faults
    if faults is None:
        faults = workloads.make_faults(
            scenario.fault_names,
            scenario.seconds,
            view,
            find_holders(view, shares),
            rng,
        )
    ratios = (faults.loss_ratio, faults.double_ratio, faults.late_ratio)
    return fleet.Fleet(
        view,
        shares,
        scenario.terms,
        fakes.LeaseOracle(view, workloads.list_changes(faults, DOMAINS)),
        fakes.Network(rng, *ratios, faults.cuts),
        rng,
        faults.pauses,
        faults.restarts_s,
        scenario.drift_ratio,
    )


def run_fleet(scenario: Scenario) -> Run:
    """Run the real budget objects of 44 instances."""
    rng = random.Random(SEED)
    view = fakes.make_view(INSTANCES, len(DOMAINS))
    customers = scenario.customers
    shares = {
        c.name: budgets.split_budget(c, DOMAINS, scenario.floor_fraction)
        for c in customers
    }
    arrivals = workloads.make_arrivals(
        customers,
        scenario.pattern,
        scenario.loads,
        scenario.seconds,
        tuple(sorted(view.names)),
        rng,
    )
    played = _make_fleet(scenario, view, shares, rng)
    played.run(arrivals)
    return Run(customers, arrivals, played.outcomes, played.messages)


def keep(run: Run, numbers: set[int]) -> Run:
    """Return the run reduced to some arrivals."""
    ordered = sorted(numbers)
    outcomes = {
        position: run.outcomes[number]
        for position, number in enumerate(ordered)
        if number in run.outcomes
    }
    arrivals = [run.arrivals[number] for number in ordered]
    return run._replace(arrivals=arrivals, outcomes=outcomes)


def list_success_ratios(
    run: Run,
    customers: Iterable[configuration.Customer],
    admitted: Callable[[int], bool],
) -> list[float]:
    """Return each customer's part of the requests inside its rate."""
    inside = measures.find_inside_rate(run.arrivals, customers)
    owners = [(run.arrivals[number][1], number) for number in inside]
    return [
        statistics.fmean(
            admitted(number) for name, number in owners if name == c.name
        )
        for c in customers
    ]
