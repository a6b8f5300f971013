"""Acceptance of subtrees: whole or not at all, with increasing versions.

When a version of a subtree is rejected, the last valid version stays in
force. A subtree that disappears from the platform stays in force as well,
since a partial answer of the platform looks the same.
"""

from typing import Iterable
from typing import Iterator
from typing import Mapping
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.version import configuration
from cranberryscale.version import documents
from cranberryscale.version import resolution
from cranberryscale.version import subtrees


__all__ = [
    'ConfigurationTree',
    'FullSubtreeNeeded',
    'Outcome',
    'SubtreeAcceptance',
    'SubtreeRejection',
]

# Versions for which a delta can be sent; a peer further behind gets the whole
# subtree. At 50,000 changes a day over several teams, eight versions suffice
# for every peer that pulls at least every few seconds.
HISTORY_LIMIT = 8

# Rejections remembered so that each is reported once.
REJECTIONS_LIMIT = 1024


class SubtreeAcceptance(NamedTuple):
    """The event that a version of a subtree came into force."""

    team: str
    owner: str
    changed_by: str
    from_version: int
    to_version: int


class SubtreeRejection(NamedTuple):
    """The event that a version of a subtree was rejected.

    `owner`, `changed_by` and `to_version` are empty or 0 if the manifest
    cannot be read.
    """

    team: str
    owner: str
    changed_by: str
    from_version: int
    to_version: int
    code: str
    faults: tuple[documents.DocumentFault, ...]


class FullSubtreeNeeded(NamedTuple):
    """A request for the whole subtree, since a delta cannot be applied."""

    team: str
    version: int


Outcome = SubtreeAcceptance | SubtreeRejection | FullSubtreeNeeded


class ConfigurationTree:
    """The accepted subtrees and the configuration merged from them."""

    def __init__(self) -> None:
        self._accepted: dict[str, subtrees.Subtree] = {}
        self._groups: dict[str, resolution.Groups] = {}
        self._history: dict[str, dict[int, Mapping[str, str]]] = {}
        self._rejected: dict[str, SubtreeRejection] = {}
        self._configuration = configuration.Configuration()
        self._digest = resolution.digest_versions({})

    @property
    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force; it is immutable."""
        return self._configuration

    @property
    def versions(self) -> Mapping[str, int]:
        """Return the version in force of each team."""
        return self._configuration.versions

    @property
    def versions_digest(self) -> int:
        """Return a 63-bit digest of the versions in force."""
        return self._digest

    def is_behind(self, offered: Mapping[str, int]) -> bool:
        """Return whether a peer has a newer version of any subtree."""
        return any(
            version > self.versions.get(team, 0)
            for team, version in offered.items()
        )

    def is_covered_by(self, offered: Mapping[str, int]) -> bool:
        """Return whether the offered versions are as new as those in force.

        An answer of the platform that does not cover the versions in force is
        stale or partial and confirms nothing.
        """
        return all(
            offered.get(team, 0) >= version
            for team, version in self.versions.items()
        )

    def apply_subtrees(
        self, unchecked: Iterable[subtrees.UncheckedSubtree]
    ) -> tuple[Outcome, ...]:
        """Validate and apply subtrees read from the platform or a directory.

        All subtrees are validated together, so that changes of several teams
        that depend on each other can come into force at once. A rejection that
        was reported before is not reported again.
        """
        return tuple(self._filter_repeats(self._validate(unchecked)))

    def apply_records(
        self, records: Iterable[messages.SubtreeRecord]
    ) -> tuple[Outcome, ...]:
        """Validate and apply subtrees sent by a peer."""
        unchecked, missing = [], []
        deltas: set[str] = set()
        for record in records:
            if record.base == 0:
                unchecked.append(
                    subtrees.UncheckedSubtree(record.team, record.documents)
                )
            elif record.base == self.versions.get(record.team, 0):
                deltas.add(record.team)
                unchecked.append(self._apply_delta(record))
            elif record.version > self.versions.get(record.team, 0):
                missing.append(FullSubtreeNeeded(record.team, record.version))
        outcomes = (
            FullSubtreeNeeded(outcome.team, outcome.to_version)
            if isinstance(outcome, SubtreeRejection)
            and outcome.code == 'subtree_incomplete'
            and outcome.team in deltas
            else outcome
            for outcome in self._validate(unchecked)
        )
        return (*missing, *self._filter_repeats(outcomes))

    def make_records(
        self, have: Mapping[str, int]
    ) -> tuple[messages.SubtreeRecord, ...]:
        """Return deltas for the subtrees that a peer with `have` lacks."""
        return tuple(
            self._make_record(team, have.get(team, 0))
            for team, version in self.versions.items()
            if version > have.get(team, 0)
        )

    def _make_record(self, team: str, base: int) -> messages.SubtreeRecord:
        subtree = self._accepted[team]
        known = self._history[team].get(base)
        if known is None:
            return messages.SubtreeRecord(
                team, subtree.version, 0, subtree.documents
            )
        listed = subtree.manifest.documents
        changed = {
            name: text
            for name, text in subtree.documents.items()
            if name == subtrees.MANIFEST or known.get(name) != listed[name]
        }
        removed = tuple(sorted(known.keys() - listed.keys()))
        return messages.SubtreeRecord(
            team, subtree.version, base, changed, removed
        )

    def _apply_delta(
        self, record: messages.SubtreeRecord
    ) -> subtrees.UncheckedSubtree:
        texts = self._accepted[record.team].documents | record.documents
        kept = {
            name: text
            for name, text in texts.items()
            if name not in record.removed or name in record.documents
        }
        return subtrees.UncheckedSubtree(record.team, kept)

    def _validate(
        self, unchecked: Iterable[subtrees.UncheckedSubtree]
    ) -> Iterator[Outcome]:
        candidates: dict[str, subtrees.Subtree] = {}
        for validated in map(self._validate_alone, unchecked):
            match validated:
                case subtrees.Subtree(team=team):
                    newest = candidates.get(team)
                    if not newest or newest.version < validated.version:
                        candidates[team] = validated
                case SubtreeRejection():
                    yield validated
        yield from self._validate_together(candidates)

    def _validate_alone(
        self, unchecked: subtrees.UncheckedSubtree
    ) -> subtrees.Subtree | SubtreeRejection | None:
        known = self._accepted.get(unchecked.team)
        if known and known.documents == unchecked.documents:
            return None
        manifest = subtrees.read_manifest(unchecked)
        if isinstance(manifest, documents.DocumentFault):
            return self._make_rejection(unchecked.team, None, (manifest,))
        if known and manifest.version <= known.version:
            same = manifest.version == known.version
            fault = documents.DocumentFault(
                f'{unchecked.team}/{subtrees.MANIFEST}',
                1,
                f'version {manifest.version} is in force with other content'
                if same
                else f'version {known.version} is in force already',
                'subtree_stale',
            )
            return self._make_rejection(unchecked.team, manifest, (fault,))
        parsed = subtrees.parse_subtree(unchecked, known)
        if isinstance(parsed, subtrees.Subtree):
            return parsed
        return self._make_rejection(unchecked.team, manifest, parsed)

    def _validate_together(
        self, candidates: dict[str, subtrees.Subtree]
    ) -> Iterator[Outcome]:
        new = {
            team: resolution.group_rows(c) for team, c in candidates.items()
        }
        while candidates:
            groups = self._groups | new
            conflicts = resolution.find_conflicts(
                self._accepted, candidates, groups
            )
            if not conflicts:
                break
            for team, faults in sorted(conflicts.items()):
                manifest = candidates.pop(team).manifest
                del new[team]
                yield self._make_rejection(team, manifest, tuple(faults))
        outcomes = [
            SubtreeAcceptance(
                team,
                found.manifest.owner,
                found.manifest.changed_by,
                self.versions.get(team, 0),
                found.version,
            )
            for team, found in sorted(candidates.items())
        ]
        if candidates:
            self._put_in_force(candidates, new)
        yield from outcomes

    def _put_in_force(
        self,
        candidates: Mapping[str, subtrees.Subtree],
        groups: Mapping[str, resolution.Groups],
    ) -> None:
        self._accepted = self._accepted | candidates
        self._configuration = resolution.merge_configuration(
            self._configuration,
            {team: found.version for team, found in self._accepted.items()},
            (self._groups[team] for team in groups if team in self._groups),
            groups.values(),
        )
        self._groups = self._groups | groups
        self._digest = resolution.digest_versions(self.versions)
        for team, candidate in candidates.items():
            history = self._history.setdefault(team, {})
            history[candidate.version] = candidate.manifest.documents
            for version in sorted(history)[:-HISTORY_LIMIT]:
                del history[version]

    def _make_rejection(
        self,
        team: str,
        manifest: subtrees.Manifest | None,
        faults: tuple[documents.DocumentFault, ...],
    ) -> SubtreeRejection:
        return SubtreeRejection(
            team,
            manifest.owner if manifest else '',
            manifest.changed_by if manifest else '',
            self.versions.get(team, 0),
            manifest.version if manifest else 0,
            faults[0].code,
            faults,
        )

    def _filter_repeats(
        self, outcomes: Iterable[Outcome]
    ) -> Iterator[Outcome]:
        for outcome in outcomes:
            match outcome:
                case SubtreeAcceptance(team=team):
                    self._rejected.pop(team, None)
                case SubtreeRejection(team=team):
                    if self._rejected.get(team) == outcome:
                        continue
                    if len(self._rejected) >= REJECTIONS_LIMIT:
                        self._rejected.clear()
                    self._rejected[team] = outcome
            yield outcome
