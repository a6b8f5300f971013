"""Acceptance of subtrees: whole or not at all, versions never lower.

A subtree that is refused leaves the last good version in force. A subtree
that disappears from the platform stays in force too, since a partial answer
looks the same.
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
# subtree. At 50,000 changes a day over some teams, eight versions cover every
# peer that pulls at least every few seconds.
HISTORY_LIMIT = 8

# Refusals remembered so that each is reported once.
REFUSALS_LIMIT = 1024


class SubtreeAcceptance(NamedTuple):
    """Record that a version of a subtree came into force."""

    team: str
    owner: str
    changed_by: str
    from_version: int
    to_version: int


class SubtreeRejection(NamedTuple):
    """Record why a version of a subtree did not come into force.

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
    """Ask for the whole subtree, since a delta does not fit."""

    team: str
    version: int


Outcome = SubtreeAcceptance | SubtreeRejection | FullSubtreeNeeded


class ConfigurationTree:
    """Hold the accepted subtrees and merge them."""

    def __init__(self) -> None:
        self._accepted: dict[str, subtrees.Subtree] = {}
        self._groups: dict[str, resolution.Groups] = {}
        self._history: dict[str, dict[int, Mapping[str, str]]] = {}
        self._refused: dict[str, SubtreeRejection] = {}
        self._configuration = configuration.Configuration()
        self._digest = resolution.digest_versions({})

    @property
    def configuration(self) -> configuration.Configuration:
        """Return the configuration in force; it never changes in place."""
        return self._configuration

    @property
    def versions(self) -> Mapping[str, int]:
        """Return the version in force of each team."""
        return self._configuration.versions

    @property
    def versions_digest(self) -> int:
        """Return 63 bits that stand for the versions in force."""
        return self._digest

    def is_behind(self, offered: Mapping[str, int]) -> bool:
        """Tell whether a peer has a subtree version that is not in force."""
        return any(
            version > self.versions.get(team, 0)
            for team, version in offered.items()
        )

    def is_covered_by(self, offered: Mapping[str, int]) -> bool:
        """Tell whether versions offered are as new as those in force.

        An answer of the platform that does not cover what is in force is
        stale or partial and confirms nothing.
        """
        return all(
            offered.get(team, 0) >= version
            for team, version in self.versions.items()
        )

    def apply_subtrees(
        self, offers: Iterable[subtrees.UncheckedSubtree]
    ) -> tuple[Outcome, ...]:
        """Accept or refuse subtrees read from the platform or a directory.

        All offers are judged together, so that changes of several teams
        that need each other can come into force at once. A refusal that
        was reported before is not reported again.
        """
        return tuple(self._note(self._judge(offers)))

    def apply_records(
        self, records: Iterable[messages.SubtreeRecord]
    ) -> tuple[Outcome, ...]:
        """Accept or refuse subtrees sent by a peer."""
        offers, missing = [], []
        deltas: set[str] = set()
        for record in records:
            if record.base == 0:
                offers.append(
                    subtrees.UncheckedSubtree(record.team, record.documents)
                )
            elif record.base == self.versions.get(record.team, 0):
                deltas.add(record.team)
                offers.append(self._expand(record))
            elif record.version > self.versions.get(record.team, 0):
                missing.append(FullSubtreeNeeded(record.team, record.version))
        outcomes = (
            FullSubtreeNeeded(outcome.team, outcome.to_version)
            if isinstance(outcome, SubtreeRejection)
            and outcome.code == 'subtree_incomplete'
            and outcome.team in deltas
            else outcome
            for outcome in self._judge(offers)
        )
        return (*missing, *self._note(outcomes))

    def make_records(
        self, have: Mapping[str, int]
    ) -> tuple[messages.SubtreeRecord, ...]:
        """Return what a peer with these versions lacks, as deltas."""
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

    def _expand(
        self, record: messages.SubtreeRecord
    ) -> subtrees.UncheckedSubtree:
        texts = self._accepted[record.team].documents | record.documents
        kept = {
            name: text
            for name, text in texts.items()
            if name not in record.removed or name in record.documents
        }
        return subtrees.UncheckedSubtree(record.team, kept)

    def _judge(
        self, offers: Iterable[subtrees.UncheckedSubtree]
    ) -> Iterator[Outcome]:
        candidates: dict[str, subtrees.Subtree] = {}
        for judged in map(self._judge_alone, offers):
            match judged:
                case subtrees.Subtree(team=team):
                    rival = candidates.get(team)
                    if not rival or rival.version < judged.version:
                        candidates[team] = judged
                case SubtreeRejection():
                    yield judged
        yield from self._judge_together(candidates)

    def _judge_alone(
        self, offer: subtrees.UncheckedSubtree
    ) -> subtrees.Subtree | SubtreeRejection | None:
        known = self._accepted.get(offer.team)
        if known and known.documents == offer.documents:
            return None
        manifest = subtrees.read_manifest(offer)
        if isinstance(manifest, documents.DocumentFault):
            return self._refuse(offer.team, None, (manifest,))
        if known and manifest.version <= known.version:
            same = manifest.version == known.version
            fault = documents.DocumentFault(
                f'{offer.team}/{subtrees.MANIFEST}',
                1,
                f'version {manifest.version} is in force with other content'
                if same
                else f'version {known.version} is in force already',
                'subtree_stale',
            )
            return self._refuse(offer.team, manifest, (fault,))
        parsed = subtrees.parse_subtree(offer, known)
        if isinstance(parsed, subtrees.Subtree):
            return parsed
        return self._refuse(offer.team, manifest, parsed)

    def _judge_together(
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
                yield self._refuse(team, manifest, tuple(faults))
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

    def _refuse(
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

    def _note(self, outcomes: Iterable[Outcome]) -> Iterator[Outcome]:
        for outcome in outcomes:
            match outcome:
                case SubtreeAcceptance(team=team):
                    self._refused.pop(team, None)
                case SubtreeRejection(team=team):
                    if self._refused.get(team) == outcome:
                        continue
                    if len(self._refused) >= REFUSALS_LIMIT:
                        self._refused.clear()
                    self._refused[team] = outcome
            yield outcome
