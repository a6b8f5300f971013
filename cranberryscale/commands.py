"""The command line."""

import argparse
import pathlib
import sys

from cranberryscale import errors
from cranberryscale.process import instance
from cranberryscale.version import settings


__all__ = ['main']

EXIT_OK = 0
EXIT_INVALID = 3


def _serve(options: argparse.Namespace) -> int:
    instance.Instance(settings.load_settings(options.settings)).serve()
    return EXIT_OK


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog='cranberryscale')
    commands = parser.add_subparsers(required=True)
    serve = commands.add_parser('serve', help='run one entry instance')
    serve.add_argument('--settings', type=pathlib.Path, required=True)
    serve.set_defaults(run=_serve)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a sub-command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except errors.ConfigurationError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID


if __name__ == '__main__':
    sys.exit(main())
