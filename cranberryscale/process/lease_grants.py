"""Grants of leases by one member.

A member grants a resource to the best-ranked eligible member of the resource's
scope. When the eligibility of a member changes, the resources that it held, or
would have held at any time within the waiting time (LeaseTerms.wait), are
granted to nobody; grants of all other resources are not interrupted.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set
import datetime
import hashlib
from typing import NamedTuple

from cranberryscale.version import view


__all__ = [
    'GrantAnnouncement',
    'GrantEvaluation',
    'Identity',
    'LeaseGrants',
    'MemberDirectory',
    'choose_grantee',
    'find_quorum_expiry',
    'hash_member',
    'is_waiting',
    'make_grants',
]

# Members that left the list stay known this long, so that grants of members
# with an older list can still be evaluated.
MEMBER_RETENTION = datetime.timedelta(minutes=10)


class Identity(NamedTuple):
    """Identity of one process: the member's hash and its incarnation."""

    member: int
    incarnation: int


class LeaseGrants(NamedTuple):
    """Inputs that determine a member's grants at one moment.

    `recent` are the members whose eligibility or incarnation changed within
    the waiting time.
    """

    eligible: frozenset[Identity]
    recent: frozenset[int]


class GrantAnnouncement(NamedTuple):
    """Grants that a member announced at `at` or later."""

    at: datetime.timedelta
    identity: Identity
    grants: LeaseGrants | None


def hash_member(name: str, domain: str) -> int:
    """Return the 32-bit hash that stands for a member in gossip."""
    digest = hashlib.blake2b(f'{name}\x00{domain}'.encode(), digest_size=4)
    return int.from_bytes(digest.digest(), 'big')


def is_waiting(since, now, wait) -> bool:
    """Return whether a change is more recent than the waiting time."""
    return now - since < wait


def make_grants(
    eligible: Mapping[int, int], changed: Mapping, started, now, wait
) -> LeaseGrants | None:
    """Return what a member grants now, None shortly after its start.

    A restarted process has no record of what it granted before, so it grants
    nothing until all such grants have expired. `eligible` maps member hashes
    to incarnations, `changed` maps them to the time of their last change.
    """
    if is_waiting(started, now, wait):
        return None
    return LeaseGrants(
        frozenset(Identity(*pair) for pair in eligible.items()),
        frozenset(
            member
            for member, at in changed.items()
            if is_waiting(at, now, wait)
        ),
    )


def choose_grantee(
    current: Mapping[int, int], recent: Set[int], ranking: Iterable[int]
) -> Identity | None:
    """Return the identity that a resource is granted to, or None.

    `current` maps eligible members to incarnations, `ranking` lists the
    members of the resource's scope, best first. The grantee was the same
    throughout the waiting time exactly if the best of all members that were
    eligible within it is eligible now and did not change.
    """
    best = next(
        (each for each in ranking if each in current or each in recent), None
    )
    if best is None or best in recent:
        return None
    return Identity(best, current[best])


def find_quorum_expiry(granted_at: Iterable, quorum: int, lease):
    """Return when fewer than a quorum of unexpired grants is left.

    None if there are fewer grants than the quorum.
    """
    latest = sorted(granted_at, reverse=True)
    return latest[quorum - 1] + lease if 0 < quorum <= len(latest) else None


class GrantEvaluation(NamedTuple):
    """Grants with a cache, `found`, of the grantee of each resource."""

    eligible: Mapping[int, int]
    recent: Set[int]
    found: dict[view.LeasedResource, Identity | None]


class _MemberEntry(NamedTuple):
    name: str
    domain: str


class MemberDirectory:
    """Directory from member hashes to the members of all recent lists.

    A hash that two members share stands for neither of them.
    """

    def __init__(self):
        self._entries: dict[int, _MemberEntry] = {}
        self._listed_at: dict[int, datetime.timedelta] = {}
        self._ambiguous: set[int] = set()
        self._latest: LeaseGrants | None = None
        self._latest_evaluation: GrantEvaluation | None = None
        self._evaluations: dict[LeaseGrants, GrantEvaluation] = {}
        self._rankings: dict[view.LeasedResource, tuple[int, ...]] = {}

    @property
    def ambiguous_members(self) -> int:
        """Return how many hashes are shared by several members."""
        return len(self._ambiguous)

    def add_members(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Add the members of a list; remove those unlisted for long."""
        for member in published.members:
            member_id = hash_member(member.name, member.domain)
            entry = _MemberEntry(member.name, member.domain)
            if self._entries.setdefault(member_id, entry) != entry:
                self._ambiguous.add(member_id)
            self._listed_at[member_id] = now
        for member_id, at in tuple(self._listed_at.items()):
            if now - at > MEMBER_RETENTION:
                del self._entries[member_id], self._listed_at[member_id]
                self._ambiguous.discard(member_id)
        self._clear_evaluations()

    def is_resolvable(self, member: int) -> bool:
        """Return whether a hash stands for exactly one member."""
        return member in self._entries and member not in self._ambiguous

    def is_known(self, member: int) -> bool:
        """Return whether a hash stands for any member, ambiguous or not."""
        return member in self._entries

    def get_name(self, member: int) -> str:
        """Return the name of the member with a known hash."""
        return self._entries[member].name

    def find_evaluation(self, grants: LeaseGrants) -> GrantEvaluation | None:
        """Return the cached evaluation of these grants.

        None if the grants name unknown members. Most members in a reply share
        one grants object, so the latest object is compared first.
        """
        if grants is self._latest:
            return self._latest_evaluation
        evaluation = self._evaluations.get(grants)
        if evaluation is None:
            eligible = (each.member for each in grants.eligible)
            if not all(map(self.is_resolvable, (*eligible, *grants.recent))):
                return None
            if len(self._evaluations) > 4 * len(self._entries) + 16:
                self._clear_evaluations()
            evaluation = GrantEvaluation(
                dict(grants.eligible), grants.recent, {}
            )
            self._evaluations[grants] = evaluation
        self._latest, self._latest_evaluation = grants, evaluation
        return evaluation

    def choose_grantee(
        self, evaluation: GrantEvaluation, resource: view.LeasedResource
    ) -> Identity | None:
        """Return the identity that evaluated grants give a resource to."""
        if resource not in evaluation.found:
            evaluation.found[resource] = choose_grantee(
                evaluation.eligible, evaluation.recent, self._rank(resource)
            )
        return evaluation.found[resource]

    def _rank(self, resource: view.LeasedResource) -> tuple[int, ...]:
        ranking = self._rankings.get(resource)
        if ranking is None:
            scored_members = (
                (view.score_member(entry.name, resource), member)
                for member, entry in self._entries.items()
                if resource.scope in (view.REGION_SCOPE, entry.domain)
            )
            ranking = tuple(
                member for _, member in sorted(scored_members, reverse=True)
            )
            self._rankings[resource] = ranking
        return ranking

    def _clear_evaluations(self) -> None:
        self._evaluations.clear()
        self._rankings.clear()
        self._latest = None
