"""Names across subtrees: merging, duplicates and missing references."""

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

# Table -> name -> item, of one subtree or of all.
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
            rival = candidates.get(other)
            if rival and (rival.modify_index, other) > (
                candidate.modify_index,
                team,
            ):
                # The other one is newer and gets the blame.
                continue
            for table, items in groups[team].items():
                for name in items.keys() & groups[other][table].keys():
                    first, item = groups[other][table][name], items[name]
                    yield (
                        team,
                        documents.DocumentFault(
                            item.path,
                            item.line,
                            f'{table} {name!r} is already defined in '
                            f'{first.path} line {first.line}',
                        ),
                    )


def _find_missing(
    items: tuple[documents.TableRow, ...], names: Groups
) -> Iterator[documents.DocumentFault]:
    for item in items:
        for table, name, line in item.references:
            if name not in names[table]:
                reason = f'{name!r} is in no {table} table'
                yield documents.DocumentFault(item.path, line, reason)


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
        for fault in _find_users(accepted[team], removed):
            yield fault


def _find_users(
    subtree: subtrees.Subtree, removed: Mapping[tuple[str, str], str]
) -> Iterator[Conflict]:
    for item in subtree.rows:
        for table, name, line in item.references:
            if (table, name) in removed:
                team = removed[table, name]
                yield (
                    team,
                    documents.DocumentFault(
                        f'{team}/{subtrees.MANIFEST}',
                        1,
                        f'{table} {name!r} was removed but is used in '
                        f'{item.path} line {line}',
                    ),
                )


def _replace_items(
    old: list[Groups],
    new: list[Groups],
    table: str,
    known: Mapping[str, Any],
) -> Mapping[str, Any]:
    gone = {name for group in old for name in group[table]}
    added = {
        name: item.value
        for group in new
        for name, item in group[table].items()
    }
    if not gone and not added:
        return known
    values = dict(known)
    for name in gone:
        values.pop(name, None)
    return values | added


def group_rows(subtree: subtrees.Subtree) -> Groups:
    """Return the subtree's items by table and name."""
    groups: dict[str, dict[str, Any]] = {table: {} for table in _TABLES}
    for item in subtree.rows:
        groups[item.table][item.name] = item
    return groups


def find_conflicts(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    groups: Mapping[str, Groups],
) -> dict[str, list[documents.DocumentFault]]:
    """Return, by team, why candidates don't fit the accepted subtrees.

    `groups` holds the items of every team, those of the candidate where
    there is one. Only candidates are blamed: what is in force stays.
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
    """Return 63 bits that stand for versions by team."""
    text = '\0'.join(f'{team}={versions[team]}' for team in sorted(versions))
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return int.from_bytes(digest, 'big') >> 1


def merge_configuration(
    before: configuration.Configuration,
    versions: Mapping[str, int],
    old: Iterable[Groups],
    new: Iterable[Groups],
) -> configuration.Configuration:
    """Return the configuration with some subtrees' items replaced.

    Only tables that change are copied, so that a change costs little next
    to the size of the configuration.
    """
    replace = functools.partial(_replace_items, list(old), list(new))
    routes = replace('routes', {route.name: route for route in before.routes})
    default = configuration.Configuration().floor_fraction
    fleet = replace('fleet', {'fleet': before.floor_fraction})
    return configuration.Configuration(
        versions=dict(sorted(versions.items())),
        customers=replace('customers', before.customers),
        keys=replace('keys', before.keys),
        # The longest prefix first, so that the first match is the best.
        routes=tuple(
            sorted(routes.values(), key=lambda r: (-len(r.prefix), r.name))
        ),
        services=replace('services', before.services),
        servers=replace('servers', before.servers),
        domains=replace('domains', before.domains),
        floor_fraction=fleet.get('fleet', default),
    )
