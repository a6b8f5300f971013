"""Tests of the benchmark tool: wrong results would hide faults."""

import importlib
import random

import pytest

from cranberryscale_bench import admission_measures
from cranberryscale_bench import budget_workloads
from cranberryscale_bench import commands
from cranberryscale_bench import results


def make_result(value, bound=1.0, measure='over_admission_ratio'):
    """Return a result of one case."""
    return results.Result('case', measure, value, 2.0, bound, 'ratio')


@pytest.mark.parametrize(
    ('value', 'bound', 'measure', 'ok'),
    [
        (1.0, 1.0, 'over_admission_ratio', True),
        (1.0001, 1.0, 'over_admission_ratio', False),
        (float('nan'), 1.0, 'over_admission_ratio', False),
        (5.0, None, 'over_admission_ratio', True),
        (0.98, 0.99, 'worst_customer_success_ratio', False),
        (0.99, 0.99, 'worst_customer_success_ratio', True),
    ],
)
def test_bounds(value, bound, measure, ok):
    """A value out of its bound must not be reported as ok."""
    assert make_result(value, bound, measure).ok is ok


def compute_over_admission_ratio_slowly(times_s, rate_per_s, burst):
    """Return the largest ratio by trying every window."""
    return max(
        (end - start + 1)
        / (rate_per_s * (times_s[end] - times_s[start]) + burst)
        for start in range(len(times_s))
        for end in range(start, len(times_s))
    )


@pytest.mark.parametrize('seed', range(20))
def test_over_admission_is_exact(seed):
    """The search in linear passes must find the maximum of all windows."""
    rng = random.Random(seed)
    times_s = sorted(rng.random() * rng.choice((1, 10)) for _ in range(60))
    expected = compute_over_admission_ratio_slowly(times_s, 7.5, 4)
    found = admission_measures.compute_over_admission_ratio(times_s, 7.5, 4)
    assert found == pytest.approx(expected, rel=1e-9)


def test_ideal_bucket_admits_burst_then_rate():
    """An ideal bucket that admits too little would hide wrongful refusals."""
    customer = budget_workloads.CUSTOMERS[-1]._replace(
        rate_per_s=1.0, burst_requests=2
    )
    arrivals = [
        (at_s, customer.name, 'i') for at_s in (0, 0, 0, 0.9, 1.1, 9, 9, 9)
    ]
    conforming = admission_measures.find_conforming_arrivals(
        arrivals, (customer,)
    )
    assert conforming == {0, 1, 4, 5, 6}


def test_run_writes_results_and_fails_out_of_a_bound(tmp_path, monkeypatch):
    """A run with a value out of its bound must exit with status 1."""
    rows = {'a': [make_result(0.5)], 'b': [make_result(1.5)]}
    monkeypatch.setattr(
        commands,
        'find_cases',
        lambda quick=False: {k: lambda k=k: rows[k] for k in rows},
    )
    out = tmp_path / 'bench.jsonl'
    assert commands.main(['run', 'a', '--out', str(out)]) == 0
    assert commands.main(['run', '--out', str(out)]) == 1
    assert [row.value for row in results.read_results(out)] == [0.5, 1.5]
    with pytest.raises(SystemExit):
        commands.main(['run', 'c', '--out', str(out)])


def test_compare_reports_worse_and_missing(tmp_path, capsys):
    """A measure without a result after the change must not pass."""
    files = []
    for name, rows in (
        ('before', [make_result(0.5), make_result(3.0, None, 'other')]),
        ('after', [make_result(0.6)]),
    ):
        files.append(str(tmp_path / name))
        lines = (results.format_line(row, 'x') + '\n' for row in rows)
        (tmp_path / name).write_text(''.join(lines))
    assert commands.main(['compare', *files]) == 1
    printed = capsys.readouterr().out
    assert 'state=worse' in printed
    assert 'state=missing' in printed


def test_every_quick_case_exists():
    """A renamed case would drop out of the quick run without an error."""
    module = importlib.import_module('cranberryscale_bench.budgets')
    assert module.QUICK_CASES <= set(commands.find_cases())
    assert set(commands.find_cases(quick=True)) >= module.QUICK_CASES


def test_report_contains_plots_and_values():
    """The page must show which values are out of their bounds."""
    pytest.importorskip('matplotlib')
    report = importlib.import_module('cranberryscale_bench.report')
    page = report.make_page((make_result(1.25),))
    assert 'data:image/png;base64,' in page
    assert '<td>1.25</td>' in page
    assert '<td>False</td>' in page
