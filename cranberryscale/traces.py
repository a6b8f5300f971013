"""Collection of the events of one request from the logs of all instances."""

from collections.abc import Iterable
from collections.abc import Iterator
import json
import pathlib
import re
from typing import NamedTuple


__all__ = ['LogLine', 'find_lines', 'format_line', 'parse_line']

_PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')
# Fields of every event, which are not repeated in the output.
_COMMON_FIELDS = frozenset(('at', 'level', 'event', 'request_id'))


class LogLine(NamedTuple):
    """One event of an instance's log."""

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
        # The line was truncated while it was written.
        return text


def parse_line(text: str, instance: str) -> LogLine | None:
    """Return the event in a line, or None if the line has no event."""
    fields = {name: _read_value(value) for name, value in _PAIR.findall(text)}
    if 'event' not in fields:
        return None
    return LogLine(fields.get('at', ''), instance, fields['event'], fields)


def find_lines(
    paths: Iterable[pathlib.Path], request_id: str
) -> tuple[LogLine, ...]:
    """Return the events of a request from several logs, sorted by time.

    Raises OSError for a log that cannot be read.
    """

    def read_matching() -> Iterator[LogLine]:
        for path in paths:
            with path.open(encoding='utf-8', errors='replace') as log:
                for text in log:
                    if request_id in text:
                        yield from _parse_matching(text, path.stem, request_id)

    return tuple(
        sorted(read_matching(), key=lambda line: (line.at, line.instance))
    )


def _parse_matching(
    text: str, instance: str, request_id: str
) -> Iterator[LogLine]:
    line = parse_line(text, instance)
    if line is not None and line.fields.get('request_id') == request_id:
        yield line


def format_line(line: LogLine) -> str:
    """Return a readable line: time, instance, event and its other fields."""
    shown = (
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in _COMMON_FIELDS and value != ''
    )
    return f'{line.at} {line.instance} {line.event}: {" ".join(shown)}'
