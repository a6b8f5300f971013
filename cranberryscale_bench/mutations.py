"""Mutation testing: check that the tests detect broken rules.

Each mutation is applied to a copy of the packages in a temporary folder; the
checkout is never changed. The same tests must first pass on an unchanged copy,
since otherwise a failing test would not prove that it detects the mutation.
"""

import argparse
from collections.abc import Iterable
from collections.abc import Iterator
from concurrent import futures
import contextlib
import os
import pathlib
import re
import shutil
import subprocess
import sys
import tempfile
import time
from typing import NamedTuple

from cranberryscale_bench import crash_mutants
from cranberryscale_bench import mutants
from cranberryscale_bench import pool_mutants
from cranberryscale_bench import report_mutants
from cranberryscale_bench import request_mutants
from cranberryscale_bench import retry_mutants
from cranberryscale_bench import statement_mutants


__all__ = ['MutationOutcome', 'list_mutations', 'main']

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Folders of the packages and of the files that tests read.
COPIED_FOLDERS = (
    'cranberryscale',
    'cranberryscale_bench',
    'docs',
    'examples',
    'model',
    'standins',
    'tests',
)
TIME_LIMIT_S = 120
# On the unchanged copy, the tests of all chosen mutations run in one process.
UNCHANGED_LIMIT_S = 300
PARALLEL = 2

_FAILED = re.compile(r'^(?:FAILED|ERROR) tests/test_(\S+::\w+)', re.M)


class MutationOutcome(NamedTuple):
    """Outcome of one mutation.

    `result` is "found", "survived", "time limit" or "not run"; `test` is
    the first failing test.
    """

    mutation: mutants.Mutation
    result: str
    test: str
    seconds: float


def list_mutations() -> tuple[mutants.Mutation, ...]:
    """Return all mutations."""
    return (
        mutants.MUTATIONS
        + pool_mutants.MUTATIONS
        + request_mutants.MUTATIONS
        + report_mutants.MUTATIONS
        + retry_mutants.MUTATIONS
        + statement_mutants.MUTATIONS
        + crash_mutants.MUTATIONS
    )


@contextlib.contextmanager
def _copy_sources() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory(prefix='mutation-') as name:
        folder = pathlib.Path(name)
        for each in COPIED_FOLDERS:
            shutil.copytree(
                ROOT / each,
                folder / each,
                ignore=shutil.ignore_patterns('__pycache__'),
            )
        shutil.copy(ROOT / 'pyproject.toml', folder)
        yield folder


def _run_tests(
    folder: pathlib.Path, names: Iterable[str], limit_s: float
) -> subprocess.CompletedProcess[str]:
    paths = [f'tests/test_{name}.py' for name in names]
    return subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'pytest', '-x', '--tb=no', '-rfE', *paths],
        cwd=folder,
        env=os.environ | {'PYTHONPATH': str(folder)},
        capture_output=True,
        text=True,
        timeout=limit_s,
    )


def _classify_run(
    completed: subprocess.CompletedProcess[str],
) -> tuple[str, str]:
    """Return the result and the first failing test.

    Only a failing test counts as found: a mutation that prevents the import
    breaks no rule.
    """
    failed = _FAILED.search(completed.stdout)
    match completed.returncode, failed:
        case 0, _:
            return 'survived', ''
        case 1, re.Match():
            return 'found', failed[1]
    return 'not run', ''


def _run_mutation(mutation: mutants.Mutation) -> MutationOutcome:
    started_s = time.monotonic()
    with _copy_sources() as folder:
        path = folder / mutation.file
        source = path.read_text()
        mutated_source = source.replace(
            mutation.original, mutation.replacement
        )
        path.write_text(mutated_source)
        tests = _list_tests(mutation)
        try:
            completed = _run_tests(folder, tests, TIME_LIMIT_S)
            result, test = _classify_run(completed)
        except subprocess.TimeoutExpired:
            result, test = 'time limit', ''
    if mutated_source == source:
        result = 'not run'
    return MutationOutcome(
        mutation, result, test, time.monotonic() - started_s
    )


def _list_tests(mutation: mutants.Mutation) -> list[str]:
    """Return the test files to run, the quicker ones first.

    For each `test_x.py` these include `test_decisions_x.py` if it exists.
    """
    names = (f'decisions_{name}' for name in mutation.tests)
    decision_tests = [
        n for n in names if (ROOT / f'tests/test_{n}.py').exists()
    ]
    return [*decision_tests, *mutation.tests]


def _check_unchanged(chosen: Iterable[mutants.Mutation]) -> str:
    """Run the tests on an unchanged copy; return the failure or ''."""
    names = sorted({n for each in chosen for n in _list_tests(each)})
    with _copy_sources() as folder:
        completed = _run_tests(folder, names, UNCHANGED_LIMIT_S)
    result, test = _classify_run(completed)
    return '' if result == 'survived' else test or completed.stdout[-500:]


def _print_outcomes(
    outcomes: Iterable[MutationOutcome],
) -> Iterator[MutationOutcome]:
    for outcome in outcomes:
        mutation = outcome.mutation
        found = f'`{outcome.test}`' if outcome.test else outcome.result
        print(
            f'| {mutation.name} | {mutation.rule} | {found} '
            f'| {outcome.seconds:.1f} |',
            flush=True,
        )
        yield outcome


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    names = [mutation.name for mutation in list_mutations()]
    parser.add_argument(
        '--only', action='append', choices=names, metavar='NAME'
    )
    parser.add_argument('--list', action='store_true')
    return parser.parse_args(arguments)


def main(arguments: list[str] | None = None) -> int:
    """Run the mutations; return 0 if all were found, 1 otherwise.

    Return 2 if the tests fail without a mutation.
    """
    options = _parse(arguments)
    chosen = [
        mutation
        for mutation in list_mutations()
        if not options.only or mutation.name in options.only
    ]
    if options.list:
        print('\n'.join(f'{each.name}: {each.rule}' for each in chosen))
        return 0
    if failure := _check_unchanged(chosen):
        print(f'tests fail without a mutation: {failure}')
        return 2
    print('| mutation | rule | found by | seconds |')
    print('|---|---|---|---|')
    with futures.ThreadPoolExecutor(PARALLEL) as pool:
        outcomes = list(_print_outcomes(pool.map(_run_mutation, chosen)))
    found = sum(outcome.result == 'found' for outcome in outcomes)
    print(f'\n{found} of {len(outcomes)} mutations found')
    return 0 if found == len(outcomes) else 1


if __name__ == '__main__':
    sys.exit(main())
