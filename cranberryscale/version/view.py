"""Membership views and the placement of resources on their members.

A membership view is one version of the published instance list. Placement
uses rendezvous hashing, so that a change of one member moves only the
resources of that member.
"""

import functools
import hashlib
from typing import NamedTuple


__all__ = [
    'REGION_SCOPE',
    'LeasedResource',
    'Member',
    'MembershipView',
    'choose_holder',
    'count_quorum',
    'list_scope_members',
    'rank_members',
    'score_member',
]

REGION_SCOPE = ''

# The smallest simple fraction for which 44 members keep a quorum after the
# loss of one of three failure domains, and any two quorums still share a
# member after 10 of 44 members were replaced at once.
QUORUM_NUMERATOR = 7
QUORUM_DENOMINATOR = 11


class Member(NamedTuple):
    """A published instance; addresses are host:port."""

    name: str
    domain: str
    peer_address: str
    caller_address: str
    operator_address: str
    leaving: bool = False


class LeasedResource(NamedTuple):
    """A resource that at most one instance at a time holds a lease on.

    `scope` is REGION_SCOPE or the name of a failure domain, `kind` is "budget"
    or "pool". Resources of the kinds "caller" and "reader" are never leased:
    they only rank members, for discovery and for the election of readers.
    """

    scope: str
    kind: str
    name: str


class MembershipView(NamedTuple):
    """One version of the instance list, with members sorted by name."""

    version: int
    members: tuple[Member, ...]

    @property
    def names(self) -> frozenset[str]:
        """Return the names of all members."""
        return frozenset(member.name for member in self.members)

    @property
    def domains(self) -> tuple[str, ...]:
        """Return the failure domains of the members, sorted."""
        return tuple(sorted({member.domain for member in self.members}))

    def find_member(self, name: str) -> Member | None:
        """Return the member with this name, or None."""
        return next((m for m in self.members if m.name == name), None)


@functools.lru_cache(maxsize=65536)
def score_member(member: str, resource: LeasedResource) -> bytes:
    """Return the rendezvous hashing score of a member for a resource."""
    text = '\x00'.join((member, *resource))
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=1024)
def list_scope_members(view: MembershipView, scope: str) -> tuple[Member, ...]:
    """Return the members that vote on leases of resources of this scope."""
    if scope == REGION_SCOPE:
        return view.members
    return tuple(m for m in view.members if m.domain == scope)


def rank_members(
    view: MembershipView, resource: LeasedResource
) -> tuple[Member, ...]:
    """Return the members of the resource's scope, by descending score."""
    return tuple(
        sorted(
            list_scope_members(view, resource.scope),
            key=lambda member: score_member(member.name, resource),
            reverse=True,
        )
    )


def choose_holder(
    view: MembershipView, resource: LeasedResource, suspected: frozenset[str]
) -> str | None:
    """Return the name of the member that should hold the resource.

    Leaving and suspected members are skipped; None if no member is eligible.
    """
    eligible = (
        member
        for member in list_scope_members(view, resource.scope)
        if not member.leaving and member.name not in suspected
    )
    chosen = max(
        eligible, key=lambda m: score_member(m.name, resource), default=None
    )
    return chosen.name if chosen else None


def count_quorum(size: int) -> int:
    """Return the number of the `size` members that must grant a lease."""
    return -(-QUORUM_NUMERATOR * size // QUORUM_DENOMINATOR)
