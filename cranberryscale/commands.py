"""The command line interface.

All sub-commands are read-only: operators change the fleet by publishing.
Exit codes: 0 success, 1 the check found faults, 2 wrong usage, 3 settings
or documents that cannot be read, 4 no instance could be reached, 5 the check
of a configuration found warnings only.
"""

import argparse
import json
import os
import pathlib
import sys
import time
from typing import Any
from typing import Iterable

from cranberryscale import console
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale import node_daemon
from cranberryscale import operators
from cranberryscale.platform import configuration_check
from cranberryscale import traces
from cranberryscale.version import findings
from cranberryscale.version import settings
from cranberryscale.version import subtrees
from cranberryscale.version import tree


__all__ = ['main']

EXIT_OK = 0
EXIT_FAULTS = 1
EXIT_INVALID = 3
EXIT_UNREACHABLE = 4
EXIT_WARNINGS = 5
_EXIT_BY_LEVEL = {
    findings.ERROR: EXIT_FAULTS,
    findings.WARNING: EXIT_WARNINGS,
}
KEY_VARIABLE = 'CRANBERRYSCALE_KEY'
CLEAR_SCREEN = '\x1b[2J\x1b[H'


def _print(text: str) -> None:
    sys.stdout.write(text if text.endswith('\n') else text + '\n')
    sys.stdout.flush()


def _print_json(value: Any) -> None:
    _print(json.dumps(value, indent=2, sort_keys=True))


def _read_key() -> dict[str, str]:
    # The key is read from the environment, since arguments are visible in
    # process listings.
    key = os.environ.get(KEY_VARIABLE, '')
    return {'X-Api-Key': key} if key else {}


def _serve(options: argparse.Namespace) -> int:
    instance_settings = settings.load_settings(options.settings)
    logs.set_up()
    node_daemon.NodeDaemon(instance_settings).serve()
    return EXIT_OK


def _list_faults(options: argparse.Namespace) -> Iterable[str]:
    if options.settings:
        try:
            settings.load_settings(options.settings)
        except errors.ConfigurationError as error:
            yield str(error)
    if options.documents:
        configuration_tree = tree.ConfigurationTree()
        unchecked_subtrees = subtrees.load_directory(options.documents)
        for outcome in configuration_tree.apply_subtrees(unchecked_subtrees):
            if isinstance(outcome, tree.SubtreeRejection):
                yield from (
                    f'{fault.path}:{fault.line}: {fault.reason}'
                    for fault in outcome.faults
                )


def _check_configuration(options: argparse.Namespace) -> int:
    try:
        body = options.configuration.read_bytes()
        in_force = options.in_force and options.in_force.read_bytes()
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    found, changes = configuration_check.check_configuration(body, in_force)
    if options.json:
        _print_json(
            {
                'findings': [finding._asdict() for finding in found],
                'differences': [change._asdict() for change in changes],
            }
        )
    else:
        _print(console.render_findings(found, changes))
    return _EXIT_BY_LEVEL.get(findings.find_worst_level(found), EXIT_OK)


def _show_faults(options: argparse.Namespace) -> int:
    faults = list(_list_faults(options))
    if options.json:
        _print_json({'faults': faults})
    else:
        _print('\n'.join(faults) if faults else 'no faults')
    return EXIT_FAULTS if faults else EXIT_OK


def _make_manifest(options: argparse.Namespace) -> int:
    _print(
        subtrees.make_manifest(
            options.directory,
            options.version,
            options.owner,
            options.changed_by,
        )
    )
    return EXIT_OK


def _show_status(options: argparse.Namespace) -> int:
    client = operators.OperatorClient(options.operators)
    responses = client.fetch_statuses()
    statuses = operators.list_reachable(responses)
    unreachable = operators.list_unreachable(responses)
    if options.json:
        _print_json({'instances': statuses, 'unreachable': unreachable})
    else:
        _print(console.render_fleet(statuses, unreachable))
    return EXIT_OK if statuses else EXIT_UNREACHABLE


def _watch(options: argparse.Namespace) -> int:
    while True:
        if not options.json:
            _print(CLEAR_SCREEN)
        code = _show_status(options)
        if options.once:
            return code
        time.sleep(options.interval_s)


def _show_audit(options: argparse.Namespace) -> int:
    if options.file:
        try:
            lines = options.file.read_text('utf-8').splitlines()
            records = list(map(json.loads, lines))
        except (OSError, RecursionError, ValueError) as error:
            sys.stderr.write(f'{options.file}: {error}\n')
            return EXIT_INVALID
        responses = (operators.InstanceResponse(str(options.file), records),)
    else:
        client = operators.OperatorClient(options.operators)
        responses = client.fetch_audits()
    if all(response.error for response in responses):
        return EXIT_UNREACHABLE
    records, faults = operators.merge_audit(responses, options.team)
    if options.json:
        _print_json({'records': records, 'faults': faults})
    else:
        _print(console.render_audit(records, faults))
    return EXIT_FAULTS if faults else EXIT_OK


def _explain(options: argparse.Namespace) -> int:
    client = operators.OperatorClient(options.operators)
    fields = {
        'path': options.path,
        'method': options.method,
        'host': options.host,
    }
    _print_json(
        client.fetch(options.operators[0], '/explain', fields, _read_key())
    )
    return EXIT_OK


def _show_addresses(options: argparse.Namespace) -> int:
    client = operators.OperatorClient(())
    path = '/.well-known/cranberryscale/which'
    fields = {'service': options.service} if options.service else {}
    _print_json(client.fetch(options.address, path, fields, _read_key()))
    return EXIT_OK


def _show_errors(options: argparse.Namespace) -> int:
    _print(errors.render_table())
    return EXIT_OK


def _add_fleet_options(
    parser: argparse.ArgumentParser, needs_operators: bool = False
) -> None:
    parser.add_argument(
        '--operators',
        action='append',
        default=[],
        required=needs_operators,
        metavar='HOST:PORT',
        help='operators\' address of an instance; repeat for more. One that '
        'answers is enough to find the others',
    )
    parser.add_argument('--json', action='store_true', help='print JSON')


def _add_serve_commands(commands) -> None:
    serve = commands.add_parser('serve', help='run one entry instance')
    serve.add_argument('--settings', type=pathlib.Path, required=True)
    serve.set_defaults(run=_serve)
    table = commands.add_parser('errors', help='print the error table')
    table.set_defaults(run=_show_errors)


def _add_configuration_command(commands) -> None:
    check = commands.add_parser(
        'check-configuration',
        help='check a configuration before it is written to the store',
    )
    check.add_argument('configuration', type=pathlib.Path, metavar='FILE')
    check.add_argument(
        '--in-force',
        type=pathlib.Path,
        metavar='FILE',
        help='the configuration in force, to show the differences',
    )
    check.add_argument('--json', action='store_true', help='print JSON')
    check.set_defaults(run=_check_configuration)


def _add_check_commands(commands) -> None:
    check = commands.add_parser(
        'check', help='check settings and documents, all faults in one run'
    )
    check.add_argument('--settings', type=pathlib.Path, help='TOML file')
    check.add_argument(
        '--documents',
        type=pathlib.Path,
        help='directory with one subdirectory per team',
    )
    check.add_argument('--json', action='store_true', help='print JSON')
    check.set_defaults(run=_show_faults)
    _add_configuration_command(commands)
    manifest = commands.add_parser(
        'manifest', help='print the manifest of a team\'s documents'
    )
    manifest.add_argument('directory', type=pathlib.Path)
    manifest.add_argument('--version', type=int, required=True)
    manifest.add_argument('--owner', required=True)
    manifest.add_argument('--changed-by', required=True)
    manifest.set_defaults(run=_make_manifest)


def _trace(options: argparse.Namespace) -> int:
    try:
        found = traces.find_lines(options.logs, options.request_id)
    except OSError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    for line in found:
        sys.stdout.write(traces.format_line(line) + '\n')
    return EXIT_OK if found else EXIT_INVALID


def _add_status_commands(commands) -> None:
    show = commands.add_parser('status', help='show the fleet')
    _add_fleet_options(show)
    show.set_defaults(run=_show_status)
    watch = commands.add_parser('watch', help='show the fleet continuously')
    _add_fleet_options(watch)
    watch.add_argument('--interval-s', type=float, default=1.0)
    watch.add_argument('--once', action='store_true', help='show once')
    watch.set_defaults(run=_watch)
    trail = commands.add_parser(
        'audit', help='show and verify who changed what'
    )
    _add_fleet_options(trail)
    trail.add_argument('--team', default='', help='only this subtree')
    trail.add_argument(
        '--file', type=pathlib.Path, help='verify saved audit lines instead'
    )
    trail.set_defaults(run=_show_audit)


def _add_explain_commands(commands) -> None:
    explain = commands.add_parser(
        'explain',
        help=f'show what a request with the key in {KEY_VARIABLE} '
        'would get now, without running it',
    )
    _add_fleet_options(explain, needs_operators=True)
    explain.add_argument('--path', required=True)
    explain.add_argument('--method', default='GET')
    explain.add_argument('--host', default='')
    explain.set_defaults(run=_explain)
    which = commands.add_parser(
        'which', help='show which instances a caller should use'
    )
    which.add_argument('--address', required=True, metavar='HOST:PORT')
    which.add_argument('--service', default='')
    which.set_defaults(run=_show_addresses)


def _add_trace_command(commands) -> None:
    trace = commands.add_parser(
        'trace', help='show the decisions on a request from instances\' logs'
    )
    trace.add_argument('request_id')
    trace.add_argument('logs', type=pathlib.Path, nargs='+', metavar='LOG')
    trace.set_defaults(run=_trace)


def _make_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='cranberryscale',
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = parser.add_subparsers(required=True, metavar='COMMAND')
    _add_serve_commands(commands)
    _add_check_commands(commands)
    _add_status_commands(commands)
    _add_explain_commands(commands)
    _add_trace_command(commands)
    return parser


def main(arguments: list[str] | None = None) -> int:
    """Run a sub-command and return its exit code."""
    options = _make_parser().parse_args(arguments)
    try:
        return options.run(options)
    except errors.ConfigurationError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    except errors.PeerError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_UNREACHABLE
    except KeyboardInterrupt:
        return EXIT_OK


if __name__ == '__main__':
    sys.exit(main())
