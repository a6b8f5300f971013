"""Tests for finding the events of a request in several logs."""

from cranberryscale import commands
from cranberryscale import logs
from cranberryscale import traces


def write_log(path, *lines):
    path.write_text('\n'.join(lines) + '\n')


def make_line(at, event, **fields):
    text = logs.format_event(event, **fields)
    return f'at=2026-01-01T00:00:{at} level=info {text}'


def test_lines_of_all_instances_come_in_order(tmp_path, capsys):
    write_log(
        tmp_path / 'a.log',
        make_line('01.100', 'quota', request_id='r1', admitted=True),
        make_line('01.400', 'request', request_id='r1', status=503),
        make_line('01.200', 'quota', request_id='r12', admitted=True),
        'no event here r1',
    )
    write_log(
        tmp_path / 'b.log',
        make_line('01.300', 'dispatch', request_id='r1', code='pool_busy'),
    )
    logs_given = [str(tmp_path / 'b.log'), str(tmp_path / 'a.log')]
    assert commands.main(['trace', 'r1', *logs_given]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert [line.split()[2] for line in shown] == [
        'quota:',
        'dispatch:',
        'request:',
    ]
    assert 'code=pool_busy' in shown[1]
    assert commands.main(['trace', 'r9', *logs_given]) != 0


def test_a_missing_log_is_an_error_not_an_empty_result(tmp_path, capsys):
    missing = str(tmp_path / 'none.log')
    assert commands.main(['trace', 'r1', missing]) != 0
    assert 'none.log' in capsys.readouterr().err


def test_quoted_values_are_read_back():
    text = make_line('01.000', 'request', request_id='r', ran='not run')
    line = traces.parse_line(text, 'a')
    assert (line.event, line.fields['ran']) == ('request', 'not run')
