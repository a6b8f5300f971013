"""Name resolution across subtrees: duplicates, references and merging."""

import functools
import hashlib
from typing import Any
from typing import Iterable
from typing import Iterator
from typing import Mapping

from cranberryscale.version import configuration
from cranberryscale.version import documents
from cranberryscale.version import subtrees


__all__ = [
    'digest_versions',
    'find_conflicts',
    'group_rows',
    'merge_configuration',
]

# Table -> name -> row, of one subtree or of all.
Groups = Mapping[str, Mapping[str, Any]]
Conflict = tuple[str, documents.DocumentFault]

_TABLES = (*documents.list_tables(), subtrees.PATHS_TABLE)


def _find_duplicates(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    groups: Mapping[str, Groups],
) -> Iterator[Conflict]:
    for team, candidate in candidates.items():
        for other in (accepted.keys() | candidates.keys()) - {team}:
            other_candidate = candidates.get(other)
            if other_candidate and (other_candidate.modify_index, other) > (
                candidate.modify_index,
                team,
            ):
                # The other subtree is newer, so the fault is reported there.
                continue
            for table, rows in groups[team].items():
                for name in rows.keys() & groups[other][table].keys():
                    first, row = groups[other][table][name], rows[name]
                    yield (
                        team,
                        documents.DocumentFault(
                            row.path,
                            row.line,
                            f'{table} {name!r} is already defined in '
                            f'{first.path} line {first.line}',
                        ),
                    )


def _find_missing(
    rows: tuple[documents.TableRow, ...], names: Groups
) -> Iterator[documents.DocumentFault]:
    for row in rows:
        for table, name, line in row.references:
            if name not in names[table]:
                reason = f'{name!r} is in no {table} table'
                yield documents.DocumentFault(row.path, line, reason)


def _find_removed(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    names: Groups,
) -> Iterator[Conflict]:
    removed = {
        place: team
        for team in candidates.keys() & accepted.keys()
        for place in accepted[team].names - candidates[team].names
        if place[1] not in names[place[0]]
    }
    if not removed:
        return
    for team in accepted.keys() - candidates.keys():
        for fault in _find_dangling_references(accepted[team], removed):
            yield fault


def _find_dangling_references(
    subtree: subtrees.Subtree, removed: Mapping[tuple[str, str], str]
) -> Iterator[Conflict]:
    for row in subtree.rows:
        for table, name, line in row.references:
            if (table, name) in removed:
                team = removed[table, name]
                yield (
                    team,
                    documents.DocumentFault(
                        f'{team}/{subtrees.MANIFEST}',
                        1,
                        f'{table} {name!r} was removed but is used in '
                        f'{row.path} line {line}',
                    ),
                )


def _replace_rows(
    old: list[Groups],
    new: list[Groups],
    table: str,
    known: Mapping[str, Any],
) -> Mapping[str, Any]:
    removed_names = {name for group in old for name in group[table]}
    added = {
        name: row.value for group in new for name, row in group[table].items()
    }
    if not removed_names and not added:
        return known
    values = dict(known)
    for name in removed_names:
        values.pop(name, None)
    return values | added


def group_rows(subtree: subtrees.Subtree) -> Groups:
    """Return the subtree's rows by table and name."""
    groups: dict[str, dict[str, Any]] = {table: {} for table in _TABLES}
    for row in subtree.rows:
        groups[row.table][row.name] = row
    return groups


def find_conflicts(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    groups: Mapping[str, Groups],
) -> dict[str, list[documents.DocumentFault]]:
    """Return, by team, why candidates conflict with the accepted subtrees.

    `groups` holds the rows of every team, those of the candidate where there
    is one. Faults are attributed to candidates only: what is in force stays.
    """
    names: dict[str, set[str]] = {
        table: set().union(*(group[table] for group in groups.values()))
        for table in _TABLES
    }
    conflicts: dict[str, list[documents.DocumentFault]] = {}
    for team, fault in _find_duplicates(accepted, candidates, groups):
        conflicts.setdefault(team, []).append(fault)
    for team, candidate in candidates.items():
        for fault in _find_missing(candidate.rows, names):
            conflicts.setdefault(team, []).append(fault)
    for team, fault in _find_removed(accepted, candidates, names):
        conflicts.setdefault(team, []).append(fault)
    return conflicts


def digest_versions(versions: Mapping[str, int]) -> int:
    """Return a 63-bit digest of the versions by team."""
    text = '\0'.join(f'{team}={versions[team]}' for team in sorted(versions))
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') >> 1


def merge_configuration(
    before: configuration.Configuration,
    versions: Mapping[str, int],
    old: Iterable[Groups],
    new: Iterable[Groups],
) -> configuration.Configuration:
    """Return the configuration with the rows of some subtrees replaced.

    Only tables that change are copied, so that the cost of a change is small
    compared with the size of the configuration.
    """
    replace = functools.partial(_replace_rows, list(old), list(new))
    routes = replace('routes', {route.name: route for route in before.routes})
    default = configuration.Configuration().floor_fraction
    fleet = replace('fleet', {'fleet': before.floor_fraction})
    return configuration.Configuration(
        versions=dict(sorted(versions.items())),
        customers=replace('customers', before.customers),
        keys=replace('keys', before.keys),
        # Longest prefix first, so that the first match is the most specific.
        routes=tuple(
            sorted(routes.values(), key=lambda r: (-len(r.prefix), r.name))
        ),
        services=replace('services', before.services),
        servers=replace('servers', before.servers),
        domains=replace('domains', before.domains),
        floor_fraction=fleet.get('fleet', default),
    )
