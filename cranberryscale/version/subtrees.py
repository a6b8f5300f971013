"""Subtrees: one team's documents with their manifest.

A subtree is either complete and valid or it is refused with all faults.
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

# The table of what routes match, one item per method, host and prefix.
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
Person = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]


class Manifest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold a subtree's version, who answers for it and its digests."""

    version: Annotated[int, msgspec.Meta(ge=1, lt=1 << 62)]
    owner: Person
    changed_by: Person
    documents: dict[DocumentName, Digest]


class UncheckedSubtree(NamedTuple):
    """Hold a subtree as read from the platform or a peer, unchecked.

    `modify_index` is the manifest's ModifyIndex, 0 if unknown: of two
    subtrees that conflict, the one with the higher index is refused.
    """

    team: str
    documents: dict[str, str]
    modify_index: int = 0


class Subtree(NamedTuple):
    """Hold a checked subtree; `documents` includes the manifest."""

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
        """Return what the subtree defines, as (table, name)."""
        return frozenset((item.table, item.name) for item in self.rows)


def _digest(text: str) -> str:
    return hashlib.sha256(text.encode('utf-8', 'surrogatepass')).hexdigest()


def _check_digests(
    manifest: Manifest, offer: UncheckedSubtree
) -> Iterator[documents.DocumentFault]:
    path = f'{offer.team}/{MANIFEST}'
    for name, digest in sorted(manifest.documents.items()):
        if name == MANIFEST:
            reason = 'the manifest cannot list itself'
        elif name not in offer.documents:
            reason = f'document {name!r} is missing'
        elif _digest(offer.documents[name]) != digest:
            reason = f'document {name!r} does not have the listed digest'
        else:
            continue
        yield documents.DocumentFault(path, 1, reason, 'subtree_incomplete')
    for name in sorted(offer.documents.keys() - manifest.documents.keys()):
        if name != MANIFEST:
            reason = f'document {name!r} is not in the manifest'
            yield documents.DocumentFault(
                path, 1, reason, 'subtree_incomplete'
            )


def _read_document(
    offer: UncheckedSubtree, name: str, known: Subtree | None
) -> Iterator[documents.TableRow | documents.DocumentFault]:
    path, text = f'{offer.team}/{name}', offer.documents[name]
    if known and known.documents.get(name) == text:
        yield from (
            item
            for item in known.rows
            if item.path == path and item.table != PATHS_TABLE
        )
        return
    for part in documents.parse_document(path, text):
        match part:
            case documents.TableRow():
                yield _claim(part, offer.team)
            case fault:
                yield fault


def _claim(item: documents.TableRow, team: str) -> documents.TableRow:
    # A customer remembers its team, so that status pages can name an owner.
    if item.table == 'customers':
        return item._replace(value=item.value._replace(team=team))
    return item


def _list_paths(item: documents.TableRow) -> Iterator[documents.TableRow]:
    # Of two routes that match the same requests one would win by chance, and
    # a team could take over another team's requests.
    if item.table == 'routes':
        route = item.value
        prefix = '/' + route.prefix.strip('/')
        for method in sorted(route.methods or METHODS):
            name = f'{method} {route.host.lower()}{prefix}'
            yield documents.TableRow(
                PATHS_TABLE, name, None, item.path, item.line
            )


def _find_repeats(
    items: list[documents.TableRow],
) -> Iterator[documents.DocumentFault]:
    seen: dict[tuple[str, str], documents.TableRow] = {}
    for item in items:
        first = seen.setdefault((item.table, item.name), item)
        if first is not item:
            yield documents.DocumentFault(
                item.path,
                item.line,
                f'{item.table} {item.name!r} is already defined in '
                f'{first.path} line {first.line}',
            )


def read_manifest(
    offer: UncheckedSubtree,
) -> Manifest | documents.DocumentFault:
    """Return the offered manifest, or what is wrong with it."""
    path = f'{offer.team}/{MANIFEST}'
    if MANIFEST not in offer.documents:
        reason = 'the manifest is missing'
        return documents.DocumentFault(path, 1, reason, 'subtree_incomplete')
    try:
        msgspec.convert(offer.team, tables.Name)
        data = tomllib.loads(offer.documents[MANIFEST])
        return msgspec.convert(data, Manifest)
    except (ValueError, RecursionError) as error:
        return documents.DocumentFault(path, 1, str(error))


def parse_subtree(
    offer: UncheckedSubtree, known: Subtree | None = None
) -> Subtree | tuple[documents.DocumentFault, ...]:
    """Return the checked subtree, or all its faults.

    Documents that are as in the `known` version are not parsed again.
    """
    manifest = read_manifest(offer)
    if isinstance(manifest, documents.DocumentFault):
        return (manifest,)
    parts = [
        part
        for name in sorted(offer.documents.keys() - {MANIFEST})
        for part in _read_document(offer, name, known)
    ]
    faults = list(_check_digests(manifest, offer))
    faults.extend(p for p in parts if isinstance(p, documents.DocumentFault))
    items = [part for part in parts if isinstance(part, documents.TableRow)]
    items.extend([path for item in items for path in _list_paths(item)])
    faults.extend(_find_repeats(items))
    if faults:
        return tuple(faults)
    return Subtree(
        offer.team,
        manifest,
        dict(offer.documents),
        tuple(items),
        offer.modify_index,
    )


def format_manifest(
    texts: Mapping[str, str], version: int, owner: str, changed_by: str
) -> str:
    """Return the manifest text for documents by name."""
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
    """Return the subtrees in a directory, one subdirectory a team.

    Raise DocumentInvalid if the directory cannot be read.
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
