"""Tests for the command line's checks and tables."""

import datetime
import json
import pathlib
import shutil

import pytest

from cranberryscale import commands
from cranberryscale import errors
from cranberryscale.process import audit


ROOT = pathlib.Path(__file__).parent.parent
EXAMPLES = ROOT / 'examples'
AT = datetime.datetime(2026, 12, 4, tzinfo=datetime.timezone.utc)


@pytest.mark.parametrize('example', ['ponte-nova', 'guild'])
def test_the_examples_have_no_faults(example, capsys):
    """Documents copied from the examples must be accepted."""
    path = str(EXAMPLES / example)
    assert commands.main(['check', '--documents', path]) == commands.EXIT_OK
    assert capsys.readouterr().out == 'no faults\n'


def test_every_fault_is_listed_with_path_and_line(tmp_path, capsys):
    """One run must list the faults of the settings and of all teams."""
    tree = tmp_path / 'documents'
    shutil.copytree(EXAMPLES / 'guild', tree)
    for team, word in (('roster', 'prefix'), ('records', 'timeout_s')):
        path = tree / team / 'service.toml'
        path.write_text(path.read_text().replace(word, f'{word}x', 1))
        manifest = tree / team / 'manifest.toml'
        manifest_arguments = ['manifest', str(tree / team), '--version', '2']
        manifest_arguments += ['--owner', 'o', '--changed-by', 'c']
        assert commands.main(manifest_arguments) == commands.EXIT_OK
        manifest.write_text(capsys.readouterr().out)
    settings = tmp_path / 'settings.toml'
    settings.write_text('name = 1')
    check_arguments = [
        'check',
        '--documents',
        str(tree),
        '--settings',
        str(settings),
    ]
    assert commands.main([*check_arguments, '--json']) == commands.EXIT_FAULTS
    faults = json.loads(capsys.readouterr().out)['faults']
    text = '\n'.join(faults)
    assert 'settings.toml' in text
    assert 'roster/service.toml:8: ' in text
    assert 'records/service.toml:10: ' in text


def test_a_saved_audit_trail_is_verified(tmp_path, capsys):
    """Saved audit lines must be verifiable without a fleet."""
    lines = []
    trail = audit.AuditTrail('i01', 1, lines.append)
    for number in range(3):
        trail.add(AT, 'subtree_in_force', to_version=number)
    path = tmp_path / 'audit.jsonl'
    path.write_text('\n'.join(lines))
    audit_arguments = ['audit', '--file', str(path)]
    assert commands.main(audit_arguments) == commands.EXIT_OK
    path.write_text('\n'.join((lines[0], lines[2])))
    assert commands.main(audit_arguments) == commands.EXIT_FAULTS
    assert 'records are missing' in capsys.readouterr().out


def test_the_errors_page_is_current():
    """The documented error table must match the code."""
    page = (ROOT / 'docs' / 'errors.md').read_text('utf-8')
    assert page == errors.render_table()


@pytest.mark.parametrize('text', [None, '{', '[' * 100_000, '\udcff'])
def test_an_unreadable_audit_file_is_reported(text, tmp_path, capsys):
    path = tmp_path / 'audit.jsonl'
    if text is not None:
        path.write_text(text, 'utf-8', 'surrogateescape')
    assert commands.main(['audit', '--file', str(path)]) == 3
    assert str(path) in capsys.readouterr().err


def test_explain_requires_an_instance(capsys):
    with pytest.raises(SystemExit) as caught:
        commands.main(['explain', '--path', '/events'])
    assert caught.value.code == 2
    assert '--operators' in capsys.readouterr().err
