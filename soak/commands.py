"""Run the soak from the command line."""

import argparse
import pathlib
import signal
import sys
import tempfile
from typing import NoReturn

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
    parser.add_argument('--logs', type=pathlib.Path, help='kept there')
    return parser


def _end(number: int, _frame) -> NoReturn:
    # The processes of the run are ended on the way out.
    sys.exit(128 + number)


def main(arguments: list[str] | None = None) -> int:
    """Print a line a seed and each finding; return 1 if there was one."""
    options = _make_parser().parse_args(arguments)
    signal.signal(signal.SIGTERM, _end)
    folder = options.logs or pathlib.Path(tempfile.mkdtemp())
    found = 0
    for seed in options.seeds:
        place = folder / f'seed-{seed}'
        place.mkdir(parents=True, exist_ok=True)
        report = scenario.run_scenario(
            place,
            seed,
            options.seconds,
            options.instances,
            rate_per_s=options.rate,
        )
        print(
            f'seed {seed}: {report.requests} requests, {report.served} served,'
            f' {report.faults} faults, {len(report.violations)} findings',
            flush=True,
        )
        for finding in report.violations:
            print(f'  {finding.promise}: {finding.detail}', flush=True)
        found += len(report.violations)
    print(f'logs: {folder}')
    return 1 if found else 0


if __name__ == '__main__':
    sys.exit(main())
