"""Runs the soak test from the command line."""

import argparse
import pathlib
import signal
import sys
import tempfile
from typing import NoReturn

from soak import faults
from soak import scenario


__all__ = ['main']


def _read_seeds(text: str) -> range:
    first, _, last = text.partition('-')
    return range(int(first), int(last or first) + 1)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='python -m soak.commands')
    parser.add_argument('--seeds', type=_read_seeds, default=range(1, 6))
    parser.add_argument('--seconds', type=float, default=15.0)
    parser.add_argument('--instances', type=int, default=4)
    parser.add_argument('--rate', type=float, default=30.0)
    parser.add_argument('--plan', choices=faults.PLANS, default='mixed')
    parser.add_argument(
        '--logs', type=pathlib.Path, help='folder for the logs'
    )
    return parser


def _exit(number: int, _frame) -> NoReturn:
    # The exception runs the cleanup of the scenario, which kills its
    # processes.
    sys.exit(128 + number)


def main(arguments: list[str] | None = None) -> int:
    """Run the scenario of each seed and print its result.

    Returns 1 if there was a violation, else 0.
    """
    options = _make_parser().parse_args(arguments)
    signal.signal(signal.SIGTERM, _exit)
    folder = options.logs or pathlib.Path(tempfile.mkdtemp())
    violation_count = 0
    for seed in options.seeds:
        seed_folder = folder / f'seed-{seed}'
        seed_folder.mkdir(parents=True, exist_ok=True)
        report = scenario.run_scenario(
            seed_folder,
            seed,
            options.seconds,
            options.instances,
            rate_per_s=options.rate,
            plan=options.plan,
        )
        print(
            f'seed {seed}: {report.requests} requests, {report.served} served,'
            f' {report.faults} faults, {len(report.violations)} findings,'
            f' {report.repeats_ratio:.2f} of the bound on repeats',
            flush=True,
        )
        for violation in report.violations:
            print(f'  {violation.promise}: {violation.detail}', flush=True)
        violation_count += len(report.violations)
    print(f'logs: {folder}')
    return 1 if violation_count else 0


if __name__ == '__main__':
    sys.exit(main())
