"""Names across subtrees: merging, duplicates and missing references."""

from typing import Any
from typing import Iterator
from typing import Mapping

from cranberryscale.version import configuration
from cranberryscale.version import documents
from cranberryscale.version import subtrees


__all__ = ['find_conflicts', 'group_items', 'merge']

# Table -> name -> item, of one subtree or of all.
Groups = Mapping[str, Mapping[str, Any]]
Conflict = tuple[str, documents.Fault]

_TABLES = (*documents.list_tables(), subtrees.PATHS)


def _find_duplicates(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    groups: Mapping[str, Groups],
) -> Iterator[Conflict]:
    for team, candidate in candidates.items():
        for other in (accepted.keys() | candidates.keys()) - {team}:
            rival = candidates.get(other)
            if rival and (rival.order, other) > (candidate.order, team):
                # The other one is newer and gets the blame.
                continue
            for table, items in groups[team].items():
                for name in items.keys() & groups[other][table].keys():
                    first, item = groups[other][table][name], items[name]
                    yield (
                        team,
                        documents.Fault(
                            item.path,
                            item.line,
                            f'{table} {name!r} is already defined in '
                            f'{first.path} line {first.line}',
                        ),
                    )


def _find_missing(
    items: tuple[documents.Item, ...], names: Groups
) -> Iterator[documents.Fault]:
    for item in items:
        for table, name, line in item.references:
            if name not in names[table]:
                reason = f'{name!r} is in no {table} table'
                yield documents.Fault(item.path, line, reason)


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
    for item in subtree.items:
        for table, name, line in item.references:
            if (table, name) in removed:
                team = removed[table, name]
                yield (
                    team,
                    documents.Fault(
                        f'{team}/{subtrees.MANIFEST}',
                        1,
                        f'{table} {name!r} was removed but is used in '
                        f'{item.path} line {line}',
                    ),
                )


def group_items(subtree: subtrees.Subtree) -> Groups:
    """Return the subtree's items by table and name."""
    groups: dict[str, dict[str, Any]] = {table: {} for table in _TABLES}
    for item in subtree.items:
        groups[item.table][item.name] = item
    return groups


def find_conflicts(
    accepted: Mapping[str, subtrees.Subtree],
    candidates: Mapping[str, subtrees.Subtree],
    groups: Mapping[str, Groups],
) -> dict[str, list[documents.Fault]]:
    """Return, by team, why candidates don't fit the accepted subtrees.

    `groups` holds the items of every team, those of the candidate where
    there is one. Only candidates are blamed: what is in force stays.
    """
    names: dict[str, set[str]] = {
        table: set().union(*(group[table] for group in groups.values()))
        for table in _TABLES
    }
    conflicts: dict[str, list[documents.Fault]] = {}
    for team, fault in _find_duplicates(accepted, candidates, groups):
        conflicts.setdefault(team, []).append(fault)
    for team, candidate in candidates.items():
        for fault in _find_missing(candidate.items, names):
            conflicts.setdefault(team, []).append(fault)
    for team, fault in _find_removed(accepted, candidates, names):
        conflicts.setdefault(team, []).append(fault)
    return conflicts


def merge(
    accepted: Mapping[str, subtrees.Subtree], groups: Mapping[str, Groups]
) -> configuration.Configuration:
    """Return the configuration of all accepted subtrees together."""
    merged: dict[str, dict[str, Any]] = {
        table: {
            name: item.value
            for team in sorted(groups)
            for name, item in groups[team][table].items()
        }
        for table in documents.list_tables()
    }
    # The longest prefix first, so that the first match is the best.
    routes = sorted(
        merged['routes'].values(), key=lambda r: (-len(r.prefix), r.name)
    )
    fleet = merged['fleet']
    fraction = {'floor_fraction': fleet['fleet']} if fleet else {}
    return configuration.Configuration(
        versions={team: accepted[team].version for team in sorted(accepted)},
        customers=merged['customers'],
        keys=merged['keys'],
        routes=tuple(routes),
        services=merged['services'],
        servers=merged['servers'],
        domains=merged['domains'],
        **fraction,
    )
