"""Benchmark cases for budgets: over-admission and wrongful refusals."""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import sys

from hdrh import histogram

from cranberryscale.process import budgets
from cranberryscale.process import token_bucket
from cranberryscale_bench import admission_measures
from cranberryscale_bench import budget_fakes
from cranberryscale_bench import budget_runs
from cranberryscale_bench import budget_workloads
from cranberryscale_bench import results


__all__ = ['QUICK_CASES', 'list_cases']

# Offered load as a ratio of the rate. A caller that aims at its rate achieves
# slightly less than it.
LOAD_RATIO = 0.95
Case = Callable[[], Iterable[results.Result]]
PATTERNS = ('uniform', 'one', 'moving', 'bursts')
QUICK_CASES = frozenset(
    (
        'over_admission_loss_partition',
        'over_admission_duplication_pause_holder',
        'wrongful_refusal_small',
    )
)


def _log(**pairs: object) -> None:
    line = ' '.join(f'{key}={value}' for key, value in pairs.items())
    print(line, file=sys.stderr, flush=True)


def _measure_over_admission(run: budget_runs.BudgetRun) -> float:
    return max(
        admission_measures.compute_over_admission_ratio(
            run.list_admitted(c.name), c.rate_per_s, c.burst_requests
        )
        for c in run.customers
    )


def _measure_independent_over_admission(
    run: budget_runs.BudgetRun, parts: int
) -> float:
    return max(
        admission_measures.compute_over_admission_ratio(
            admission_measures.list_independent_admissions(
                run.arrivals, c, parts
            ),
            c.rate_per_s,
            c.burst_requests,
        )
        for c in run.customers
    )


def _run_over_admission(
    fault_names: tuple[str, ...],
) -> Iterable[results.Result]:
    case = '_'.join(('over_admission', *fault_names))
    # A quarter of the rates keeps the runs of the many pairs of faults short.
    customers = budget_workloads.scale_customers(0.25)
    load_ratios = {c.name: 2.0 for c in customers}
    run = budget_runs.run_scenario(
        budget_runs.Scenario(
            customers, 'uniform', load_ratios, 30.0, fault_names
        )
    )
    # The baselines are independent instances, with equal parts of the rates
    # and with the full rates.
    baselines = [
        _measure_independent_over_admission(run, parts)
        for parts in (budget_runs.INSTANCES, 1)
    ]
    _log(case=case, split_baseline=baselines[0], full_baseline=baselines[1])
    yield results.Result(
        case,
        'over_admission_ratio',
        _measure_over_admission(run),
        min(baselines),
        1.0,
        'ratio',
        seed=budget_runs.SEED,
    )


def _compute_wrongful_refusal_ratio(
    run: budget_runs.BudgetRun, is_admitted: Callable[[int], bool]
) -> float:
    conforming = admission_measures.find_conforming_arrivals(
        run.arrivals, run.customers
    )
    wrongful = sum(
        1 for number in conforming if not is_admitted(number)
    )  # fmt: skip
    return wrongful / max(len(run.arrivals), 1)


def _list_wrongful_refusal_results(
    case: str, run: budget_runs.BudgetRun, bound: float | None
) -> Iterable[results.Result]:
    baselines = []
    for parts in (budget_runs.INSTANCES, 1):
        independent = admission_measures.admit_independently(
            run.arrivals, run.customers, parts
        )
        baselines.append(
            _compute_wrongful_refusal_ratio(run, independent.__contains__)
        )
    _log(case=case, split_baseline=baselines[0], full_baseline=baselines[1])
    for customer in run.customers:
        customer_run = run._replace(customers=(customer,))
        value = _compute_wrongful_refusal_ratio(
            customer_run, run.is_admitted
        ) * len(run.arrivals)
        offered = sum(1 for a in run.arrivals if a[1] == customer.name)
        _log(
            case=case,
            customer=customer.name,
            offered=offered,
            wrongful=round(value),
        )
    yield results.Result(
        case,
        'wrongful_refusal_ratio',
        _compute_wrongful_refusal_ratio(run, run.is_admitted),
        min(baselines),
        bound,
        'ratio',
        seed=budget_runs.SEED,
    )


def _list_cost_results(
    case: str, run: budget_runs.BudgetRun
) -> Iterable[results.Result]:
    waits_us = histogram.HdrHistogram(1, 60_000_000, 3)
    for number, (at_s, _) in run.outcomes.items():
        if run.is_admitted(number):
            wait_s = at_s - run.arrivals[number][0]
            waits_us.record_value(max(int(wait_s * 1e6), 1))
    values = (
        ('messages_per_request', run.messages / len(run.arrivals), 'messages'),
        (
            'token_wait_p50_ms',
            waits_us.get_value_at_percentile(50) / 1e3,
            'ms',
        ),
        (
            'token_wait_p99_ms',
            waits_us.get_value_at_percentile(99) / 1e3,
            'ms',
        ),
    )
    for measure, value, unit in values:
        yield results.Result(
            case, measure, value, None, None, unit, seed=budget_runs.SEED
        )


def _run_wrongful_refusal(pattern: str) -> Iterable[results.Result]:
    case = f'wrongful_refusal_{pattern}'
    load_ratios = {c.name: LOAD_RATIO for c in budget_workloads.CUSTOMERS}
    run = budget_runs.run_scenario(
        budget_runs.Scenario(
            budget_workloads.CUSTOMERS, pattern, load_ratios, 60.0
        )
    )
    yield from _list_wrongful_refusal_results(case, run, 0.001)
    yield from _list_cost_results(case, run)


def _run_holder_loss(load_ratio: float) -> Iterable[results.Result]:
    """Lose the instance that holds the first share of the largest customer."""
    case = f'wrongful_refusal_holder_lost_load_{load_ratio}'
    customers = budget_workloads.CUSTOMERS
    view = budget_fakes.make_view(
        budget_runs.INSTANCES, len(budget_runs.DOMAINS)
    )
    shares = budgets.split_budget(customers[0], budget_runs.DOMAINS, 0.3)
    lost = frozenset(budget_runs.find_share_holders(view, {'': shares}))
    lost_interval = budget_fakes.FaultInterval(15.0, 1e9, lost)
    faults = budget_workloads.BudgetFaults(
        pauses=(lost_interval,), suspected_everywhere=(lost_interval,)
    )
    load_ratios = {c.name: load_ratio for c in customers}
    run = budget_runs.run_scenario(
        budget_runs.Scenario(
            customers, 'uniform', load_ratios, 60.0, faults=faults
        )
    )
    # Requests to the lost instance itself get no response, so they are not
    # counted as refusals.
    served = {
        number
        for number, (at_s, _, instance) in enumerate(run.arrivals)
        if instance not in lost
    }
    served_run = budget_runs.select_requests(run, served)
    yield from _list_wrongful_refusal_results(case, served_run, 0.01)


def _run_isolation() -> Iterable[results.Result]:
    """Offer 5 times one customer's rate and LOAD_RATIO of the others'."""
    case = 'budget_isolation'
    customers = budget_workloads.CUSTOMERS[1:]
    load_ratios = {c.name: LOAD_RATIO for c in customers} | {
        customers[0].name: 5.0
    }
    run = budget_runs.run_scenario(
        budget_runs.Scenario(customers, 'uniform', load_ratios, 30.0)
    )
    split_admitted = admission_measures.admit_independently(
        run.arrivals, customers, budget_runs.INSTANCES
    )
    ratios = budget_runs.list_success_ratios(
        run, customers[1:], run.is_admitted
    )
    independent = budget_runs.list_success_ratios(
        run, customers[1:], split_admitted.__contains__
    )
    # With the full rate at each instance nothing would be refused.
    _log(
        case=case,
        split_baseline=min(independent) / max(independent),
        full_baseline=1.0,
        worst=min(ratios),
        best=max(ratios),
    )
    yield results.Result(
        case,
        'worst_customer_success_ratio',
        1 - (max(ratios) - min(ratios)),
        1.0,
        0.99,
        'ratio',
        seed=budget_runs.SEED,
    )
    yield from _list_cost_results(case, run)


def _run_clock_drift(rate_drift_ratio: float) -> Iterable[results.Result]:
    """Offer twice the rates while clocks run up to 1% fast or slow.

    Only the larger `rate_drift_ratio` allows for clocks with this drift, so
    only it has a bound.
    """
    customers = budget_workloads.scale_customers(0.25)[:3]
    scenario = budget_runs.Scenario(
        customers,
        'uniform',
        {c.name: 2.0 for c in customers},
        90.0,
        terms=token_bucket.BudgetTerms(rate_drift_ratio=rate_drift_ratio),
        drift_ratio=0.01,
    )
    yield results.Result(
        f'over_admission_clocks_1_percent_allowing_{rate_drift_ratio}',
        'over_admission_ratio',
        _measure_over_admission(budget_runs.run_scenario(scenario)),
        None,
        1.0 if rate_drift_ratio >= 0.01 else None,
        'ratio',
        seed=budget_runs.SEED,
    )


def _run_small() -> Iterable[results.Result]:
    """Offer a moderate load to customers with low rates, for quick runs."""
    customers = budget_workloads.scale_customers(0.25)
    load_ratios = {c.name: 0.6 for c in customers}
    run = budget_runs.run_scenario(
        budget_runs.Scenario(customers, 'uniform', load_ratios, 40.0)
    )
    yield from _list_wrongful_refusal_results(
        'wrongful_refusal_small', run, 0.001
    )


def _run_floor(floor_fraction: float) -> Iterable[results.Result]:
    """Measure wrongful refusals with a floor fraction.

    Run once without faults and once with a failure domain partitioned.
    """
    case = f'wrongful_refusal_floor_{floor_fraction}'
    customers = budget_workloads.CUSTOMERS
    load_ratios = {c.name: 0.6 for c in customers}
    for fault_names in ((), ('partition',)):
        run = budget_runs.run_scenario(
            budget_runs.Scenario(
                customers,
                'uniform',
                load_ratios,
                40.0,
                fault_names,
                floor_fraction=floor_fraction,
            )
        )
        name = '_'.join((case, *fault_names))
        bound = None if fault_names else 0.001
        yield from _list_wrongful_refusal_results(name, run, bound)


def _list_over_admission_cases() -> dict[str, Case]:
    single_faults = ((), *((fault,) for fault in budget_workloads.FAULT_NAMES))
    pairs = itertools.combinations(budget_workloads.FAULT_NAMES, 2)
    return {
        '_'.join(('over_admission', *names)): functools.partial(
            _run_over_admission, names
        )
        for names in (*single_faults, *pairs)
    }


def list_cases() -> dict[str, Case]:
    """Return the cases by name."""
    variants = (
        ('wrongful_refusal', _run_wrongful_refusal, PATTERNS),
        (
            'wrongful_refusal_holder_lost_load',
            _run_holder_loss,
            (0.6, LOAD_RATIO),
        ),
        ('wrongful_refusal_floor', _run_floor, (0.0, 0.3, 0.6)),
        (
            'over_admission_clocks_1_percent_allowing',
            _run_clock_drift,
            (0.0005, 0.01),
        ),
    )
    varied = {
        f'{name}_{value}': functools.partial(run, value)
        for name, run, values in variants
        for value in values
    }
    return {
        **_list_over_admission_cases(),
        **varied,
        'budget_isolation': _run_isolation,
        'wrongful_refusal_small': _run_small,
    }
