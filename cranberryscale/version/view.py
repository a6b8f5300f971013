"""Versions of the published instance list and the placement of resources.

Placement uses rendezvous hashing, so a change of one member moves only the
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

# The smallest simple fraction with which 44 members keep a quorum after one
# of three failure domains is lost and two quorums still share a member after
# 10 of 44 were replaced at once.
QUORUM_NUMERATOR = 7
QUORUM_DENOMINATOR = 11


class Member(NamedTuple):
    """Describe one published instance; addresses are host:port."""

    name: str
    domain: str
    peer_address: str
    caller_address: str
    operator_address: str
    leaving: bool = False


class LeasedResource(NamedTuple):
    """Name something that one instance at a time may hold.

    `cell` is REGION_CELL or the name of a failure domain, `kind` is
    "budget" or "pool".
    """

    scope: str
    kind: str
    name: str


class MembershipView(NamedTuple):
    """Hold one version of the instance list, members sorted by name."""

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
    """Return the rendezvous score of a member's name for a resource."""
    text = '\x00'.join((member, *resource))
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


@functools.lru_cache(maxsize=1024)
def list_scope_members(view: MembershipView, cell: str) -> tuple[Member, ...]:
    """Return the members that decide on resources of this cell."""
    if cell == REGION_SCOPE:
        return view.members
    return tuple(m for m in view.members if m.domain == cell)


def rank_members(
    view: MembershipView, resource: LeasedResource
) -> tuple[Member, ...]:
    """Return the cell's members in the order in which they may hold."""
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

    Leaving and suspected members are passed over; None when nobody is left.
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
    """Return how many of `size` members must grant a lease."""
    return -(-QUORUM_NUMERATOR * size // QUORUM_DENOMINATOR)
