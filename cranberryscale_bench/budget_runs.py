"""Runs of the budgets of a whole fleet with fake leases and network."""

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
from cranberryscale_bench import admission_measures
from cranberryscale_bench import budget_fakes
from cranberryscale_bench import budget_fleet
from cranberryscale_bench import budget_workloads


__all__ = [
    'DOMAINS',
    'INSTANCES',
    'SEED',
    'BudgetRun',
    'Scenario',
    'find_share_holders',
]
__all__ += ['select_requests', 'list_success_ratios', 'run_scenario']

INSTANCES = 44
DOMAINS = ('d0', 'd1', 'd2')
SEED = 20260104


class Scenario(NamedTuple):
    """Offered load, faults and settings of a run.

    Without `faults`, these are made from `fault_names`.
    """

    customers: tuple[configuration.Customer, ...]
    pattern: str
    load_ratios: dict[str, float]
    seconds: float
    fault_names: tuple[str, ...] = ()
    faults: budget_workloads.BudgetFaults | None = None
    floor_fraction: float = 0.3
    terms: token_bucket.BudgetTerms = token_bucket.BudgetTerms()
    drift_ratio: float = 0.0005


class BudgetRun(NamedTuple):
    """Arrivals of a run and the outcome of each request.

    `outcomes` maps the number of an arrival to (time in s, outcome);
    `messages` is the number of messages between instances.
    """

    customers: tuple[configuration.Customer, ...]
    arrivals: list[tuple[float, str, str]]
    outcomes: dict[int, tuple[float, object]]
    messages: int

    def list_admitted(self, customer: str) -> list[float]:
        """Return the times in s at which tokens were acquired, sorted."""
        return sorted(
            at_s
            for number, (at_s, outcome) in self.outcomes.items()
            if isinstance(outcome, token_acquisition.TokenAcquired)
            and self.arrivals[number][1] == customer
        )

    def is_admitted(self, number: int) -> bool:
        """Return whether the request with this arrival number was admitted."""
        timed_outcome = self.outcomes.get(number)
        return timed_outcome is not None and isinstance(
            timed_outcome[1], token_acquisition.TokenAcquired
        )


def find_share_holders(view, shares) -> tuple[str, ...]:
    """Return the holders of the customers' first shares."""
    lease_schedule = budget_fakes.LeaseSchedule(view, ())
    return tuple(
        dict.fromkeys(
            lease_schedule.find_holder(parts[0].resource, 0)
            for parts in shares.values()
        )
    )


def _make_fleet(
    scenario: Scenario,
    view: view_module.MembershipView,
    shares: dict[str, tuple[token_bucket.BudgetShare, ...]],
    rng: random.Random,
) -> budget_fleet.BudgetFleet:
    faults = scenario.faults
    if faults is None:
        faults = budget_workloads.make_faults(
            scenario.fault_names,
            scenario.seconds,
            view,
            find_share_holders(view, shares),
            rng,
        )
    ratios = (faults.loss_ratio, faults.duplicate_ratio, faults.delayed_ratio)
    return budget_fleet.BudgetFleet(
        view,
        shares,
        scenario.terms,
        budget_fakes.LeaseSchedule(
            view, budget_workloads.list_suspicion_changes(faults, DOMAINS)
        ),
        budget_fakes.SimulatedNetwork(rng, *ratios, faults.partitions),
        rng,
        faults.pauses,
        faults.restarts_s,
        scenario.drift_ratio,
    )


def run_scenario(scenario: Scenario) -> BudgetRun:
    """Run the budget code of 44 instances."""
    rng = random.Random(SEED)
    view = budget_fakes.make_view(INSTANCES, len(DOMAINS))
    customers = scenario.customers
    shares = {
        c.name: budgets.split_budget(c, DOMAINS, scenario.floor_fraction)
        for c in customers
    }
    arrivals = budget_workloads.make_arrivals(
        customers,
        scenario.pattern,
        scenario.load_ratios,
        scenario.seconds,
        tuple(sorted(view.names)),
        rng,
    )
    fleet = _make_fleet(scenario, view, shares, rng)
    fleet.run(arrivals)
    return BudgetRun(customers, arrivals, fleet.outcomes, fleet.messages)


def select_requests(run: BudgetRun, numbers: set[int]) -> BudgetRun:
    """Return the run with only these arrivals, renumbered."""
    ordered = sorted(numbers)
    outcomes = {
        position: run.outcomes[number]
        for position, number in enumerate(ordered)
        if number in run.outcomes
    }
    arrivals = [run.arrivals[number] for number in ordered]
    return run._replace(arrivals=arrivals, outcomes=outcomes)


def list_success_ratios(
    run: BudgetRun,
    customers: Iterable[configuration.Customer],
    is_admitted: Callable[[int], bool],
) -> list[float]:
    """Return the admitted ratio of each customer's conforming requests."""
    conforming = admission_measures.find_conforming_arrivals(
        run.arrivals, customers
    )
    customer_requests = [
        (run.arrivals[number][1], number) for number in conforming
    ]
    return [
        statistics.fmean(
            is_admitted(number)
            for name, number in customer_requests
            if name == c.name
        )
        for c in customers
    ]
