"""Parsing and validation of published TOML documents.

All faults of a document are reported in one run. tomllib does not report
the line numbers of values, so they are found by scanning the text.
"""

import datetime
import difflib
import functools
import re
import tomllib
from typing import Any
from typing import Iterator
from typing import Mapping
from typing import NamedTuple

import msgspec

from cranberryscale.version import tables


__all__ = [
    'DocumentFault',
    'Reference',
    'TableRow',
    'list_tables',
    'parse_document',
]

# A value of the key-value store holds at most 1 MiB.
DOCUMENT_LIMIT_BYTES = 1 << 20


class DocumentFault(NamedTuple):
    """One fault of a published document."""

    path: str
    line: int
    reason: str
    code: str = 'document_invalid'


class Reference(NamedTuple):
    """A reference to a row that must exist in an accepted subtree."""

    table: str
    name: str
    line: int


class TableRow(NamedTuple):
    """One validated row of a document's table, with its location.

    `value` is an object of the `configuration` module, or the floor
    fraction for the table "fleet".
    """

    table: str
    name: str
    value: Any
    path: str
    line: int
    references: tuple[Reference, ...] = ()


_HEADER = re.compile(r'\s*(\[\[?)\s*([^\[\]]+?)\s*\]\]?\s*(?:#.*)?$')
_ASSIGNMENT = re.compile(r'''\s*["']?([A-Za-z0-9_.-]+)["']?\s*=''')


class _LineIndex:
    """An index of the lines of table headers and keys in a TOML text."""

    def __init__(self, text: str):
        self._lines: dict[tuple[str, int, str], int] = {}
        counts: dict[str, int] = {}
        table, index = '', 0
        open_quotes = ''
        for number, line in enumerate(text.splitlines(), 1):
            if not open_quotes:
                if header := _HEADER.match(line):
                    table = header[2].strip('"\'')
                    index = counts.get(table, 0)
                    counts[table] = index + 1
                    self._lines[table, index, ''] = number
                elif found := _ASSIGNMENT.match(line):
                    location = (table, index, found[1])
                    self._lines.setdefault(location, number)
            open_quotes = _track_multiline_string(open_quotes, line)

    def find(self, table: str, index: int, key: str = '') -> int:
        """Return the line of a key, or else of its table, or else 1."""
        locations = (
            (table, index, key),
            (table, index, ''),
            ('', 0, table),
        )
        return next((self._lines[p] for p in locations if p in self._lines), 1)


def _track_multiline_string(open_quotes: str, line: str) -> str:
    # Tracks multi-line strings, whose text may look like a table header.
    for mark in re.findall(r'"""|\'\'\'', line):
        if not open_quotes:
            open_quotes = mark
        elif open_quotes == mark:
            open_quotes = ''
    return open_quotes


def _format_suggestion(name: str, known: Mapping[str, Any]) -> str:
    close = difflib.get_close_matches(name, known, n=1, cutoff=0.5)
    return f'; did you mean {close[0]!r}?' if close else ''


def _convert(
    table: tables.TableSchema, row: Mapping[str, Any], found: dict[str, Any]
) -> Iterator[tuple[str, str]]:
    for name in row.keys() - table.fields.keys():
        hint = _format_suggestion(name, table.fields)
        yield name, f'unknown name {name!r}{hint}'
    for name, field in table.fields.items():
        if name not in row:
            if field.required:
                yield '', f'{name!r} is missing'
            continue
        try:
            value = msgspec.convert(row[name], field.kind)
        except msgspec.ValidationError as error:
            yield name, f'{name} = {str(row[name])[:80]!r}: {error}'
            continue
        if name.endswith('_s') and field.target:
            value = datetime.timedelta(seconds=value)
        found[field.target or name] = value


def _check_field_combinations(
    found: Mapping[str, Any],
) -> Iterator[tuple[str, str]]:
    match found:
        case {'slots': slots, 'cold_slots': cold} if cold > slots:
            yield 'cold_slots', f'cold_slots = {cold} is over slots = {slots}'
        case {'open_to_all': True, 'customers': names} if names:
            yield 'customers', 'a route open to all cannot name customers'
    match found:
        case {'address': address}:
            port = int(address.rpartition(':')[2])
            if not 0 < port < 65536:
                yield 'address', f'port {port} is not between 1 and 65535'


def _list_references(
    table: tables.TableSchema, row: Mapping[str, Any], find: Any
) -> Iterator[Reference]:
    for name, field in table.fields.items():
        if field.refers_to and name in row:
            names = row[name]
            for target in [names] if isinstance(names, str) else names:
                yield Reference(field.refers_to, target, find(name))


def _read_row(
    name: str, row: Any, path: str, find: Any
) -> Iterator[TableRow | DocumentFault]:
    table = tables.TABLES[name]
    if not isinstance(row, dict):
        yield DocumentFault(path, find(''), f'{name!r} must contain tables')
        return
    table = tables.TABLES[name]
    found: dict[str, Any] = {}
    faults = [*_convert(table, row, found), *_check_field_combinations(found)]
    if faults:
        yield from (
            DocumentFault(path, find(key), reason) for key, reason in faults
        )
        return
    references = tuple(_list_references(table, row, find))
    key = row[table.key] if table.key else name
    value = table.build(**found)
    yield TableRow(name, key, value, path, find(''), references)


def _read_tables(
    path: str, data: Mapping[str, Any], lines: _LineIndex
) -> Iterator[TableRow | DocumentFault]:
    for name, rows in data.items():
        if name not in tables.TABLES:
            hint = _format_suggestion(name, tables.TABLES)
            line = lines.find(name, 0)
            yield DocumentFault(path, line, f'unknown table {name!r}{hint}')
            continue
        single = not tables.TABLES[name].key
        if single is not isinstance(rows, dict):
            form = f'[{name}]' if single else f'[[{name}]]'
            line = lines.find(name, 0)
            yield DocumentFault(
                path, line, f'{name!r} must be written as {form}'
            )
            continue
        for index, row in enumerate([rows] if single else _as_list(rows)):
            find = functools.partial(lines.find, name, index)
            yield from _read_row(name, row, path, find)


def _as_list(rows: Any) -> list[Any]:
    return rows if isinstance(rows, list) else [rows]


def list_tables() -> tuple[str, ...]:
    """Return the names of the tables that documents may contain."""
    return tuple(tables.TABLES)


def parse_document(
    path: str, text: str
) -> tuple[TableRow | DocumentFault, ...]:
    """Return the validated rows of a document and all its faults."""
    if len(text.encode('utf-8', 'surrogatepass')) > DOCUMENT_LIMIT_BYTES:
        return (DocumentFault(path, 1, 'the document is over 1 MiB'),)
    try:
        data = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        line = re.search(r'line (\d+)', str(error))
        return (DocumentFault(path, int(line[1]) if line else 1, str(error)),)
    except (RecursionError, ValueError) as error:
        return (DocumentFault(path, 1, f'{type(error).__name__}: {error}'),)
    return tuple(_read_tables(path, data, _LineIndex(text)))
