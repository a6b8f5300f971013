"""What a member grants at one moment, and whom it thereby names.

A member grants a resource to the best-ranked eligible member of its cell.
Whenever a member's eligibility changes, resources that it held or would
have held at any time within the waiting time are granted to nobody; all
other resources are not interrupted.
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

# Names of members that left the list stay known this long, so that grants
# of members with an older list can still be evaluated.
FORGET_MEMBER = datetime.timedelta(minutes=10)


class Identity(NamedTuple):
    """Name one process: the member's short hash and its incarnation."""

    member: int
    incarnation: int


class LeaseGrants(NamedTuple):
    """Hold what decides a member's grants at one moment.

    `recent` are the members whose eligibility or incarnation changed within
    the waiting time.
    """

    eligible: frozenset[Identity]
    recent: frozenset[int]


class GrantAnnouncement(NamedTuple):
    """Hold the grants of a member; it spoke at `at` or later."""

    at: datetime.timedelta
    identity: Identity
    grants: LeaseGrants | None


def hash_member(name: str, domain: str) -> int:
    """Return the 32-bit hash that names a member in gossip."""
    digest = hashlib.blake2b(f'{name}\x00{domain}'.encode(), digest_size=4)
    return int.from_bytes(digest.digest(), 'big')


def is_waiting(since, now, wait) -> bool:
    """Tell whether less than the waiting time has passed since a change."""
    return now - since < wait


def make_grants(
    eligible: Mapping[int, int], changed: Mapping, started, now, wait
) -> LeaseGrants | None:
    """Return what a member grants now, None shortly after its start.

    A process without memory may have granted anything before its start, so
    it grants nothing until such grants have expired. `eligible` maps member
    hashes to incarnations, `changed` to the time of their last change.
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
    """Return who is granted a resource, or None.

    `current` maps eligible members to incarnations, `ranking` holds the
    members of the resource's cell, best first. The holder was the same
    during the whole waiting time exactly if the best of all who were
    eligible then is eligible now and did not change.
    """
    best = next(
        (each for each in ranking if each in current or each in recent), None
    )
    if best is None or best in recent:
        return None
    return Identity(best, current[best])


def find_quorum_expiry(ats: Iterable, quorum: int, lease):
    """Return when fewer than a quorum of grants is within the lease time.

    None when there are fewer grants than the quorum.
    """
    latest = sorted(ats, reverse=True)
    return latest[quorum - 1] + lease if 0 < quorum <= len(latest) else None


class GrantEvaluation(NamedTuple):
    """Hold grants and the resources evaluated so far."""

    current: Mapping[int, int]
    recent: Set[int]
    found: dict[view.LeasedResource, Identity | None]


class _Place(NamedTuple):
    name: str
    domain: str


class MemberDirectory:
    """Map the hashes in gossip to the members of all lists seen lately.

    A hash that two members share stands for neither of them.
    """

    def __init__(self):
        self._places: dict[int, _Place] = {}
        self._listed_at: dict[int, datetime.timedelta] = {}
        self._ambiguous: set[int] = set()
        self._latest: LeaseGrants | None = None
        self._latest_answers: GrantEvaluation | None = None
        self._answers: dict[LeaseGrants, GrantEvaluation] = {}
        self._rankings: dict[view.LeasedResource, tuple[int, ...]] = {}

    @property
    def ambiguous_members(self) -> int:
        """Return how many hashes are shared by members."""
        return len(self._ambiguous)

    def learn_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Add the members of a list and forget those long unlisted."""
        for member in published.members:
            member_id = hash_member(member.name, member.domain)
            place = _Place(member.name, member.domain)
            if self._places.setdefault(member_id, place) != place:
                self._ambiguous.add(member_id)
            self._listed_at[member_id] = now
        for member_id, at in tuple(self._listed_at.items()):
            if now - at > FORGET_MEMBER:
                del self._places[member_id], self._listed_at[member_id]
                self._ambiguous.discard(member_id)
        self._forget_answers()

    def knows(self, member: int) -> bool:
        """Tell whether a hash stands for exactly one member."""
        return member in self._places and member not in self._ambiguous

    def is_listed(self, member: int) -> bool:
        """Tell whether a hash stands for any member, ambiguous or not."""
        return member in self._places

    def get_name(self, member: int) -> str:
        """Return the name behind a known hash."""
        return self._places[member].name

    def find_answers(self, given: LeaseGrants) -> GrantEvaluation | None:
        """Return the cached evaluation of these grants.

        None when the grants name unknown members. Most members of a reply
        share one object, which is compared first.
        """
        if given is self._latest:
            return self._latest_answers
        answers = self._answers.get(given)
        if answers is None:
            eligible = (each.member for each in given.eligible)
            if not all(map(self.knows, (*eligible, *given.recent))):
                return None
            if len(self._answers) > 4 * len(self._places) + 16:
                self._forget_answers()
            answers = GrantEvaluation(dict(given.eligible), given.recent, {})
            self._answers[given] = answers
        self._latest, self._latest_answers = given, answers
        return answers

    def choose_grantee(
        self, answers: GrantEvaluation, resource: view.LeasedResource
    ) -> Identity | None:
        """Return who is granted a resource by resolvable grants."""
        if resource not in answers.found:
            answers.found[resource] = choose_grantee(
                answers.current, answers.recent, self._rank(resource)
            )
        return answers.found[resource]

    def _rank(self, resource: view.LeasedResource) -> tuple[int, ...]:
        ranking = self._rankings.get(resource)
        if ranking is None:
            cell = (
                (view.score_member(place.name, resource), member)
                for member, place in self._places.items()
                if resource.scope in (view.REGION_SCOPE, place.domain)
            )
            ranking = tuple(member for _, member in sorted(cell, reverse=True))
            self._rankings[resource] = ranking
        return ranking

    def _forget_answers(self) -> None:
        self._answers.clear()
        self._rankings.clear()
        self._latest = None
