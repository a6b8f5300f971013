"""Command line of the benchmarks."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import importlib
import pathlib
import pkgutil
import subprocess
import sys
import time

import cranberryscale_bench
from cranberryscale_bench import results


__all__ = ['find_cases', 'main']

DEFAULT_OUT = pathlib.Path('build/bench.jsonl')
DEFAULT_REPORT = pathlib.Path('build/report.html')
Case = Callable[[], Iterable[results.Result]]


def _list_modules():
    for info in pkgutil.iter_modules(cranberryscale_bench.__path__):
        # report has no cases and needs an optional library.
        if info.name not in ('report', '__main__', 'commands'):
            yield importlib.import_module(f'cranberryscale_bench.{info.name}')


def find_cases(quick: bool = False) -> dict[str, Case]:
    """Return all cases by name, or only those in QUICK_CASES of a module."""
    cases: dict[str, Case] = {}
    for module in _list_modules():
        if not hasattr(module, 'list_cases'):
            continue
        chosen = getattr(module, 'QUICK_CASES', ()) if quick else None
        for name, case in module.list_cases().items():
            if chosen is None or name in chosen:
                cases[name] = case
    return dict(sorted(cases.items()))


def _find_commit() -> str:
    completed = subprocess.run(
        ['git', 'describe', '--always', '--dirty', '--abbrev=12'],
        capture_output=True,
        text=True,
        check=False,
        cwd=pathlib.Path(__file__).parent,
    )
    return completed.stdout.strip() or 'unknown'


def _run_list(args: argparse.Namespace) -> int:
    quick = find_cases(quick=True)
    for name in find_cases():
        print(f'{name} quick={str(name in quick).lower()}')
    return 0


def _select(names: Sequence[str], quick: bool) -> dict[str, Case]:
    cases = find_cases(quick and not names)
    unknown = sorted(set(names) - set(cases))
    if unknown:
        raise SystemExit(f'unknown_case names={",".join(unknown)}')
    return {name: cases[name] for name in names} if names else cases


def _run_cases(args: argparse.Namespace) -> int:
    commit, failed_count = _find_commit(), 0
    args.out.parent.mkdir(parents=True, exist_ok=True)
    with args.out.open('w', encoding='utf-8') as out:
        for name, case in _select(args.cases, args.quick).items():
            print(f'case={name} state=started', file=sys.stderr, flush=True)
            started_s = time.monotonic()
            for result in case():
                out.write(results.format_line(result, commit) + '\n')
                out.flush()
                failed_count += not result.ok
                _print_result(result)
            took_s = time.monotonic() - started_s
            print(
                f'case={name} state=finished took_s={took_s:.1f}',
                file=sys.stderr,
                flush=True,
            )
    return 1 if failed_count else 0


def _print_result(result: results.Result) -> None:
    print(
        f'case={result.case} measure={result.measure} '
        f'value={result.value:.6g} baseline={result.baseline} '
        f'bound={result.bound} unit={result.unit} '
        f'ok={str(result.ok).lower()}',
        file=sys.stderr,
        flush=True,
    )


def _run_report(args: argparse.Namespace) -> int:
    # Imported here since matplotlib is an optional dependency.
    report = importlib.import_module('cranberryscale_bench.report')
    args.out.parent.mkdir(parents=True, exist_ok=True)
    rows = tuple(results.read_results(args.results))
    args.out.write_text(report.make_page(rows), encoding='utf-8')
    return 0


def _compare(args: argparse.Namespace) -> int:
    """Print both values of each measure; return 1 if one fails.

    A measure fails if it is missing or out of its bound.
    """
    before = {r[:2]: r for r in results.read_results(args.before)}
    after = {r[:2]: r for r in results.read_results(args.after)}
    failed_count = 0
    for key in sorted(before.keys() | after.keys()):
        old, new = before.get(key), after.get(key)
        state = _classify_change(old, new)
        failed_count += state in ('broken', 'missing')
        print(
            f'case={key[0]} measure={key[1]} '
            f'before={old.value if old else None} '
            f'after={new.value if new else None} state={state}'
        )
    return 1 if failed_count else 0


def _classify_change(
    old: results.Result | None, new: results.Result | None
) -> str:
    if new is None:
        return 'missing'
    if not new.ok:
        return 'broken'
    if old is None:
        return 'new'
    if old.value == new.value:
        return 'same'
    is_larger = new.value > old.value
    is_better = is_larger == (new.measure in results.LARGER_IS_BETTER)
    return 'better' if is_better else 'worse'


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='cranberryscale-bench')
    commands = parser.add_subparsers(required=True)
    list_parser = commands.add_parser('list', help='list the cases')
    list_parser.set_defaults(run=_run_list)
    run = commands.add_parser('run', help='run cases, all by default')
    run.add_argument('cases', nargs='*', metavar='CASE')
    run.add_argument('--quick', action='store_true')
    run.add_argument('--out', type=pathlib.Path, default=DEFAULT_OUT)
    run.set_defaults(run=_run_cases)
    report = commands.add_parser('report', help='write an HTML page')
    report.add_argument('--results', type=pathlib.Path, default=DEFAULT_OUT)
    report.add_argument('--out', type=pathlib.Path, default=DEFAULT_REPORT)
    report.set_defaults(run=_run_report)
    compare = commands.add_parser('compare', help='compare two result files')
    compare.add_argument('before', type=pathlib.Path)
    compare.add_argument('after', type=pathlib.Path)
    compare.set_defaults(run=_compare)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run a command; return 1 if a value is out of its bound."""
    args = _make_parser().parse_args(argv)
    return args.run(args)


if __name__ == '__main__':
    sys.exit(main())
