"""Tests for the check of a configuration before it is sent."""

import copy
import json
import pathlib

import pytest
import test_published

from cranberryscale import commands
from cranberryscale.platform import configuration_check
from cranberryscale.version import findings


ROOT = pathlib.Path(__file__).parent.parent
KEY = 'a-secret-key-of-t1'
OTHER_KEY = 'a-secret-key-of-t2'
BASE = json.loads(test_published.make_policy(5, KEY))
BASE['tenants']['rows'][1][1] = [OTHER_KEY]
BASE['tenants']['rows'][0][2] = None
BASE['routes']['rows'][0][8] = 1
for column in BASE['services']['columns'][:]:
    if column == 'max-conns':
        BASE['services']['columns'].remove(column)
        for row in BASE['services']['rows']:
            del row[1]
VERY_DEEP = b'{"version": ' + b'[' * 100_000


def make_document(*edits):
    """Return the base with edits, each a path and the new value."""
    document = copy.deepcopy(BASE)
    for path, value in edits:
        place = document
        for step in path[:-1]:
            place = place[step]
        if isinstance(place, list) and path[-1] == len(place):
            place.append(value)
        else:
            place[path[-1]] = value
    return document


def edit_row(table, row, column, value):
    return (
        (table, 'rows', row, BASE[table]['columns'].index(column)),
        value,
    )


def run(tmp_path, capsys, document, in_force=None, as_json=True):
    """Return the exit code and the output."""
    paths = [tmp_path / 'new.json', tmp_path / 'old.json']
    for path, content in zip(paths, (document, in_force), strict=True):
        if content is not None:
            data = content if isinstance(content, bytes) else None
            path.write_bytes(data or json.dumps(content).encode())
    arguments = ['check-configuration', str(paths[0])]
    if in_force is not None:
        arguments += ['--in-force', str(paths[1])]
    code = commands.main(arguments + ['--json'] * as_json)
    output = capsys.readouterr()
    assert 'secret' not in output.out + output.err
    return code, json.loads(output.out) if as_json else output.out


def make_row(table, **values):
    return [values.get(c.replace('-', '_')) for c in BASE[table]['columns']]


DUPLICATE = make_row(
    'routes',
    name='r9',
    host='H',
    prefix='/a/',
    route_type='idempotent',
    timeout='2s',
    target_latency='1s',
    service='x',
)
LIMITS = ('limits',)
SPLIT = [{'service': 'x', 'weight': 0}, {'service': 'y', 'weight': 0}]
CASES = {
    'undecodable': (b'{"version": ', 'error'),
    'undecodable, deep': (VERY_DEEP, 'error'),
    'undecodable, version': ([(('version',), '5')], 'error'),
    'undecodable, limit': ([((*LIMITS, 'idle-timeout'), '9')], 'error'),
    'row-undecodable': ([edit_row('routes', 0, 'priority', 'x')], 'error'),
    'row-undecodable, short': (
        [(('tenants', 'rows', 0), ['t1', [KEY]])],
        'error',
    ),
    'row-undecodable, key': (
        [edit_row('tenants', 0, 'priority', KEY)],
        'error',
    ),
    'duplicate, route': ([edit_row('routes', 1, 'name', 'r1')], 'error'),
    'duplicate, service': ([edit_row('services', 1, 'name', 'x')], 'error'),
    'duplicate, customer': ([edit_row('tenants', 1, 'name', 't1')], 'error'),
    'duplicate, column': ([(('tenants', 'columns', 3), 'burst')], 'error'),
    'route-shadowed': ([(('routes', 'rows', 2), DUPLICATE)], 'error'),
    'prefix-slashes': ([edit_row('routes', 0, 'prefix', '/a')], 'error'),
    'service-unknown': ([edit_row('routes', 0, 'service', 'z')], 'error'),
    'service-unknown, split': (
        [edit_row('routes', 1, 'split', [{'service': 'z', 'weight': 1}])],
        'error',
    ),
    'split-without-weight': ([edit_row('routes', 1, 'split', SPLIT)], 'error'),
    'no-service': ([edit_row('routes', 0, 'service', None)], 'error'),
    'key-shared': ([edit_row('tenants', 1, 'api-keys', [KEY])], 'error'),
    'key-empty': ([edit_row('tenants', 1, 'api-keys', [' '])], 'error'),
    'no-time': ([edit_row('routes', 0, 'timeout', '0ms')], 'error'),
    'no-routes': ([(('routes', 'rows'), [])], 'warning'),
    'prefix-unmatched': (
        [edit_row('routes', 0, 'prefix', '/a//b/')],
        'warning',
    ),
    'prefix-unmatched, dots': (
        [edit_row('routes', 0, 'prefix', '/a/../b/')],
        'warning',
    ),
    'host-unmatched': ([edit_row('routes', 0, 'host', 'h:80')], 'warning'),
    'service-unused': (
        [edit_row('routes', 1, 'split', [{'service': 'x', 'weight': 1}])],
        'warning',
    ),
    'customer-without-key': (
        [edit_row('tenants', 1, 'api-keys', [])],
        'warning',
    ),
    'part-without-weight': (
        [
            edit_row(
                'routes',
                1,
                'split',
                [
                    {'service': 'x', 'weight': 0},
                    {'service': 'y', 'weight': 1},
                ],
            )
        ],
        'warning',
    ),
    'service-and-split': (
        [edit_row('routes', 1, 'service', 'x')],
        'warning',
    ),
    'timeout-below-target': (
        [edit_row('routes', 0, 'timeout', '400ms')],
        'warning',
    ),
    'rate-without-burst': ([edit_row('tenants', 0, 'burst', 0.5)], 'warning'),
    'burst-without-rate': (
        [edit_row('tenants', 0, 'rate-per-s', None)],
        'warning',
    ),
    'rate-below-request': (
        [
            edit_row('tenants', 0, 'rate-per-s', 0.01),
            edit_row('routes', 1, 'timeout', '2s'),
        ],
        'warning',
    ),
    'warmup-without-rate': (
        [edit_row('services', 0, 'warmup-per-s', 0)],
        'warning',
    ),
    'limit-zero': ([((*LIMITS, 'max-header-bytes'), 0)], 'warning'),
    'limit-above-listener, body': (
        [((*LIMITS, 'max-body-bytes'), 2**26 + 1)],
        'warning',
    ),
    'limit-above-listener': (
        [((*LIMITS, 'max-header-bytes'), 65537)],
        'warning',
    ),
    'header-timeout-above-idle': (
        [((*LIMITS, 'header-timeout'), '16s')],
        'warning',
    ),
    'assumed': ([edit_row('routes', 0, 'route-type', 'upload')], 'warning'),
    'attempts-not-run': ([edit_row('routes', 0, 'max-attempts', 2)], 'note'),
    'priority-overridden': ([edit_row('tenants', 0, 'priority', 1)], 'note'),
    'keys-unused': ([edit_row('routes', 0, 'public', True)], 'note'),
    'column-unused': (
        [(('tenants', 'columns', 2), 'color')],
        'note',
    ),
}
CODES = {
    findings.ERROR: commands.EXIT_FAULTS,
    findings.WARNING: commands.EXIT_WARNINGS,
    findings.NOTE: commands.EXIT_OK,
}


def test_nothing_is_found_in_a_sound_configuration(tmp_path, capsys):
    code, output = run(tmp_path, capsys, BASE)
    assert (code, output) == (0, {'findings': [], 'differences': []})
    assert run(tmp_path, capsys, BASE, as_json=False)[1] == 'nothing found\n'


def test_nothing_is_found_in_a_configuration_without_customers(
    tmp_path, capsys
):
    document = make_document((('tenants',), None))
    assert run(tmp_path, capsys, document)[1]['findings'] == []


@pytest.mark.parametrize('case', CASES)
def test_fault_is_found_by_its_code(case, tmp_path, capsys):
    """Each case changes the sound configuration so that one code appears."""
    edits, level = CASES[case]
    document = edits if isinstance(edits, bytes) else make_document(*edits)
    code, output = run(tmp_path, capsys, document)
    found = {(f['code'], f['level']) for f in output['findings']}
    assert (case.partition(',')[0], level) in found
    assert code == CODES[level]
    text = run(tmp_path, capsys, document, as_json=False)[1]
    assert all(f'[{name}]' in text for name, _ in found)


def test_all_faults_are_found_in_one_run(tmp_path, capsys):
    document = make_document(
        edit_row('routes', 0, 'priority', 'x'),
        edit_row('routes', 1, 'split', SPLIT),
        edit_row('tenants', 1, 'api-keys', [KEY]),
    )
    _, output = run(tmp_path, capsys, document)
    assert {f['code'] for f in output['findings']} == {
        'row-undecodable',
        'split-without-weight',
        'key-shared',
    }


def list_differences(output):
    return {
        (d['subject'], d['field']): (d['before'], d['after'])
        for d in output['differences']
    }


def test_differences_are_listed_field_by_field_without_keys(tmp_path, capsys):
    new = make_document(
        (('version',), '00000009'),
        edit_row('routes', 0, 'name', 'r3'),
        edit_row('routes', 1, 'timeout', '1500ms'),
        edit_row('services', 0, 'warmup', '4s'),
        edit_row('tenants', 0, 'api-keys', [KEY, 'second-secret-key']),
        edit_row('tenants', 1, 'rate-per-s', 5),
        edit_row('tenants', 1, 'burst', 6),
        ((*LIMITS, 'max-body-bytes'), 2000),
    )
    code, output = run(tmp_path, capsys, new, BASE)
    assert code == 0
    assert list_differences(output) == {
        ('version', ''): ('5', '9'),
        ("route 'r1'", ''): ('present', None),
        ("route 'r3'", ''): (None, 'present'),
        ("route 'r2'", 'timeout'): ('300s', '1.5s'),
        ("service 'x'", 'warmup'): ('3s', '4s'),
        ("customer 't1'", 'keys'): (
            '1',
            '2 (1 added, 0 removed)',
        ),
        ("customer 't2'", 'rate_per_s'): ('0', '5'),
        ("customer 't2'", 'burst_requests'): ('0', '6'),
        ('limits', 'body_bytes'): ('1000', '2000'),
    }
    text = run(tmp_path, capsys, new, BASE, as_json=False)[1]
    assert "changed: route 'r1' removed\n" in text
    assert "changed: route 'r2' timeout: 300s -> 1.5s\n" in text


def test_equal_configurations_differ_in_nothing(tmp_path, capsys):
    new = make_document((('version',), '00000006'))
    _, output = run(tmp_path, capsys, new, BASE)
    assert list_differences(output) == {('version', ''): ('5', '6')}


@pytest.mark.parametrize('version', ['00000004', '00000005'])
def test_version_that_is_not_above_the_one_in_force_is_an_error(
    version, tmp_path, capsys
):
    new = make_document((('version',), version))
    code, output = run(tmp_path, capsys, new, BASE)
    assert code == commands.EXIT_FAULTS
    assert [f['code'] for f in output['findings']] == ['version-not-above']
    expected = {('version', ''): ('5', '4')} if version < '00000005' else {}
    assert list_differences(output) == expected


def test_worked_example_of_the_page_is_current(tmp_path, capsys):
    """The page shows the output for these two configurations."""
    old = make_document(
        edit_row('routes', 0, 'name', 'order'),
        edit_row('routes', 0, 'service', 'orders'),
        edit_row('routes', 1, 'name', 'search'),
        edit_row('routes', 1, 'timeout', '1500ms'),
        edit_row('routes', 1, 'split', None),
        edit_row('routes', 1, 'service', 'index'),
        edit_row('services', 0, 'name', 'orders'),
        edit_row('services', 1, 'name', 'index'),
        edit_row('tenants', 0, 'name', 'acme'),
        edit_row('tenants', 0, 'rate-per-s', None),
        edit_row('tenants', 0, 'burst', None),
    )
    new = copy.deepcopy(old) | {'version': '00000009'}
    for table, row, column, value in (
        ('routes', 0, 'name', 'orders'),
        ('routes', 0, 'service', 'order'),
        ('routes', 1, 'timeout', '400ms'),
        ('tenants', 0, 'rate-per-s', 5),
        ('tenants', 0, 'api-keys', ['secret-1', 'secret-2']),
    ):
        path, _ = edit_row(table, row, column, value)
        new[table]['rows'][row][path[-1]] = value
    code, text = run(tmp_path, capsys, new, old, as_json=False)
    assert code == commands.EXIT_FAULTS
    page = (ROOT / 'docs' / 'operators.md').read_text('utf-8')
    shown = '    ' + text.rstrip('\n').replace('\n', '\n    ')
    assert f'--in-force old.json\n{shown}\n    $ echo $?\n    1\n' in page


@pytest.mark.parametrize('content', [None, b'{'])
def test_unreadable_configuration_in_force_is_reported(
    content, tmp_path, capsys
):
    path = tmp_path / 'new.json'
    path.write_text(json.dumps(BASE))
    old = tmp_path / 'old.json'
    if content is not None:
        old.write_bytes(content)
    arguments = ['check-configuration', str(path), '--in-force', str(old)]
    assert commands.main(arguments) == commands.EXIT_INVALID
    expected = str(old) if content is None else 'configuration in force'
    assert expected in capsys.readouterr().err


def test_missing_file_is_reported(tmp_path, capsys):
    path = str(tmp_path / 'none.json')
    assert commands.main(['check-configuration', path]) == 3
    assert path in capsys.readouterr().err


@pytest.mark.parametrize('size', [1, 60, 300])
def test_parts_of_a_configuration_are_read_or_refused(size):
    """A file may be cut off anywhere."""
    data = json.dumps(BASE).encode()
    for end in range(0, len(data), size):
        reading = configuration_check.read_configuration(data[:end])
        assert reading.policy is None
        assert [f.code for f in reading.found] == ['undecodable']
