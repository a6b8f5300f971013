"""The way of one request through the logs of all instances."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import re
from typing import NamedTuple


__all__ = ['LogLine', 'find_lines', 'format_line', 'parse_line']

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields that are the same on every line of a request.
_COMMON = frozenset(('at', 'level', 'event', 'request_id'))


class LogLine(NamedTuple):
    """Hold one event of one instance's log."""

    at: str
    instance: str
    event: str
    fields: dict[str, str]


def _read_value(text: str) -> str:
    if not text.startswith('"'):
        return text
    try:
        return json.loads(text)
    except ValueError:
        # A line that was cut off while it was written.
        return text


def parse_line(text: str, instance: str) -> LogLine | None:
    """Return the event in a line, None for a line of another kind."""
    fields = {name: _read_value(value) for name, value in _PAIR.findall(text)}
    if 'event' not in fields:
        return None
    return LogLine(fields.get('at', ''), instance, fields['event'], fields)


def find_lines(
    paths: Iterable[pathlib.Path], request_id: str
) -> tuple[LogLine, ...]:
    """Return the lines about a request from logs of instances, by time.

    Raises OSError for a log that cannot be read.
    """

    def read() -> Iterator[LogLine]:
        for path in paths:
            with path.open(encoding='utf-8', errors='replace') as log:
                for text in log:
                    if request_id in text:
                        yield from _match(text, path.stem, request_id)

    return tuple(sorted(read(), key=lambda line: (line.at, line.instance)))


def _match(text: str, instance: str, request_id: str) -> Iterator[LogLine]:
    line = parse_line(text, instance)
    if line is not None and line.fields.get('request_id') == request_id:
        yield line


def format_line(line: LogLine) -> str:
    """Return a line for people: when, where, what and why."""
    told = (
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in _COMMON and value != ''
    )
    return f'{line.at} {line.instance} {line.event}: {" ".join(told)}'
