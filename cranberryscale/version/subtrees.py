"""Subtrees: the documents of one team with their manifest.

A subtree is either complete and valid, or rejected with all its faults.
"""

import hashlib
import json
import pathlib
import tomllib
from typing import Annotated
from typing import Iterator
from typing import Mapping
from typing import NamedTuple

import msgspec

from cranberryscale import errors
from cranberryscale.version import documents
from cranberryscale.version import tables


__all__ = [
    'MANIFEST',
    'PATHS_TABLE',
    'Manifest',
    'Subtree',
    'UncheckedSubtree',
    'format_manifest',
    'load_directory',
    'make_manifest',
    'parse_subtree',
    'read_manifest',
]

MANIFEST = 'manifest.toml'

# A derived table with one row per method, host and prefix of a route.
PATHS_TABLE = 'paths'
METHODS = frozenset(
    (
        'CONNECT',
        'DELETE',
        'GET',
        'HEAD',
        'OPTIONS',
        'PATCH',
        'POST',
        'PUT',
        'TRACE',
    )
)

DocumentName = Annotated[
    str, msgspec.Meta(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]*\.toml\Z')
]
Digest = Annotated[str, msgspec.Meta(pattern=r'^[0-9a-f]{64}\Z')]
PersonName = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A subtree's version, owner, author and document digests."""

    version: Annotated[int, msgspec.Meta(ge=1, lt=1 << 62)]
    owner: PersonName
    changed_by: PersonName
    documents: dict[DocumentName, Digest]


class UncheckedSubtree(NamedTuple):
    """A subtree as read from the platform or a peer, not yet validated.

    `modify_index` is the manifest's ModifyIndex, 0 if unknown: of two subtrees
    that conflict, the one with the higher index is rejected.
    """

    team: str
    documents: dict[str, str]
    modify_index: int = 0


class Subtree(NamedTuple):
    """A validated subtree; `documents` includes the manifest."""

    team: str
    manifest: Manifest
    documents: dict[str, str]
    rows: tuple[documents.TableRow, ...]
    modify_index: int = 0

    @property
    def version(self) -> int:
        """Return the subtree's version."""
        return self.manifest.version

    @property
    def names(self) -> frozenset[tuple[str, str]]:
        """Return the names that the subtree defines, as (table, name)."""
        return frozenset((row.table, row.name) for row in self.rows)


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


def _check_digests(
    manifest: Manifest, unchecked: UncheckedSubtree
) -> Iterator[documents.DocumentFault]:
    path = f'{unchecked.team}/{MANIFEST}'
    for name, digest in sorted(manifest.documents.items()):
        if name == MANIFEST:
            reason = 'the manifest cannot list itself'
        elif name not in unchecked.documents:
            reason = f'document {name!r} is missing'
        elif _digest(unchecked.documents[name]) != digest:
            reason = f'document {name!r} does not have the listed digest'
        else:
            continue
        yield documents.DocumentFault(path, 1, reason, 'subtree_incomplete')
    for name in sorted(unchecked.documents.keys() - manifest.documents.keys()):
        if name != MANIFEST:
            reason = f'document {name!r} is not in the manifest'
            yield documents.DocumentFault(
                path, 1, reason, 'subtree_incomplete'
            )


def _read_document(
    unchecked: UncheckedSubtree, name: str, known: Subtree | None
) -> Iterator[documents.TableRow | documents.DocumentFault]:
    path, text = f'{unchecked.team}/{name}', unchecked.documents[name]
    if known and known.documents.get(name) == text:
        yield from (
            row
            for row in known.rows
            if row.path == path and row.table != PATHS_TABLE
        )
        return
    for part in documents.parse_document(path, text):
        match part:
            case documents.TableRow():
                yield _set_team(part, unchecked.team)
            case fault:
                yield fault


def _set_team(row: documents.TableRow, team: str) -> documents.TableRow:
    # Customers store their team, so that status pages can show an owner.
    if row.table == 'customers':
        return row._replace(value=row.value._replace(team=team))
    return row


def _list_match_rows(row: documents.TableRow) -> Iterator[documents.TableRow]:
    # If two routes could match the same request, the choice would be
    # arbitrary, and one team could receive another team's requests. Equal
    # rows of this table are reported as duplicates.
    if row.table == 'routes':
        route = row.value
        prefix = '/' + route.prefix.strip('/')
        for method in sorted(route.methods or METHODS):
            name = f'{method} {route.host.lower()}{prefix}'
            yield documents.TableRow(
                PATHS_TABLE, name, None, row.path, row.line
            )


def _find_duplicates(
    rows: list[documents.TableRow],
) -> Iterator[documents.DocumentFault]:
    seen: dict[tuple[str, str], documents.TableRow] = {}
    for row in rows:
        first = seen.setdefault((row.table, row.name), row)
        if first is not row:
            yield documents.DocumentFault(
                row.path,
                row.line,
                f'{row.table} {row.name!r} is already defined in '
                f'{first.path} line {first.line}',
            )


def read_manifest(
    unchecked: UncheckedSubtree,
) -> Manifest | documents.DocumentFault:
    """Return the manifest of the subtree, or its fault."""
    path = f'{unchecked.team}/{MANIFEST}'
    if MANIFEST not in unchecked.documents:
        reason = 'the manifest is missing'
        return documents.DocumentFault(path, 1, reason, 'subtree_incomplete')
    try:
        msgspec.convert(unchecked.team, tables.Name)
        data = tomllib.loads(unchecked.documents[MANIFEST])
        return msgspec.convert(data, Manifest)
    except (ValueError, RecursionError) as error:
        return documents.DocumentFault(path, 1, str(error))


def parse_subtree(
    unchecked: UncheckedSubtree, known: Subtree | None = None
) -> Subtree | tuple[documents.DocumentFault, ...]:
    """Return the validated subtree, or all its faults.

    Documents that are unchanged since the `known` version are not parsed
    again.
    """
    manifest = read_manifest(unchecked)
    if isinstance(manifest, documents.DocumentFault):
        return (manifest,)
    parts = [
        part
        for name in sorted(unchecked.documents.keys() - {MANIFEST})
        for part in _read_document(unchecked, name, known)
    ]
    faults = list(_check_digests(manifest, unchecked))
    faults.extend(p for p in parts if isinstance(p, documents.DocumentFault))
    rows = [part for part in parts if isinstance(part, documents.TableRow)]
    rows.extend([path for row in rows for path in _list_match_rows(row)])
    faults.extend(_find_duplicates(rows))
    if faults:
        return tuple(faults)
    return Subtree(
        unchecked.team,
        manifest,
        dict(unchecked.documents),
        tuple(rows),
        unchecked.modify_index,
    )


def format_manifest(
    texts: Mapping[str, str], version: int, owner: str, changed_by: str
) -> str:
    """Return the manifest text for the texts of documents by name."""
    lines = (
        f'version = {version}',
        f'owner = {json.dumps(owner, ensure_ascii=False)}',
        f'changed_by = {json.dumps(changed_by, ensure_ascii=False)}',
        '',
        '[documents]',
        *(
            f'"{name}" = "{_digest(texts[name])}"'
            for name in sorted(texts.keys() - {MANIFEST})
        ),
    )
    return '\n'.join(lines) + '\n'


def make_manifest(
    directory: pathlib.Path, version: int, owner: str, changed_by: str
) -> str:
    """Return the manifest text for the documents in a directory."""
    texts = {
        path.name: path.read_text('utf-8') for path in directory.glob('*.toml')
    }
    return format_manifest(texts, version, owner, changed_by)


def load_directory(path: pathlib.Path) -> tuple[UncheckedSubtree, ...]:
    """Load subtrees from a directory with one subdirectory per team.

    Raises DocumentInvalid if the directory cannot be read.
    """
    try:
        return tuple(
            UncheckedSubtree(
                team.name,
                {
                    file.name: file.read_text('utf-8')
                    for file in sorted(team.glob('*.toml'))
                },
            )
            for team in sorted(path.iterdir())
            if team.is_dir()
        )
    except (OSError, UnicodeDecodeError) as error:
        raise errors.make_error(
            'document_invalid', f'{path}: {error}'
        ) from error
