"""Elected readers of the configuration service and the tree below them.

Two live members of each failure domain are readers. Every instance computes
the tree from the instance list and its own suspicions; a temporary
disagreement only costs a few additional calls.
"""

import functools
from typing import Iterator
from typing import NamedTuple

from cranberryscale.version import view


__all__ = ['FAN_OUT', 'ReaderTree', 'build_reader_tree']

READERS_PER_DOMAIN = 2
# Each level below the readers has this many times the members of the level
# above it.
FAN_OUT = 16
# Candidates for the parent, the parent itself included.
STANDBY_PARENTS = 4


class ReaderTree(NamedTuple):
    """Live members of each failure domain in the order of election."""

    ranks: tuple[tuple[str, tuple[str, ...]], ...]

    @property
    def readers(self) -> tuple[str, ...]:
        """Return the readers of all failure domains."""
        return tuple(
            name
            for _, names in self.ranks
            for name in names[:READERS_PER_DOMAIN]
        )

    @property
    def depth(self) -> int:
        """Return the number of levels below the readers."""
        size = max((len(names) for _, names in self.ranks), default=0)
        return sum(1 for start, _ in _list_levels(size) if start)

    def find_rank(self, domain: str, name: str) -> tuple[int, int]:
        """Return the member's rank and the number of ranked members.

        Leaving members have no rank of their own and come after all others.
        """
        names = dict(self.ranks).get(domain, ())
        if name in names:
            return names.index(name), len(names)
        return len(names), len(names) + 1

    def list_readers(self, domain: str) -> tuple[str, ...]:
        """Return the readers of one failure domain."""
        return dict(self.ranks).get(domain, ())[:READERS_PER_DOMAIN]

    def list_parents(self, domain: str, name: str) -> tuple[str, ...]:
        """Return the parent in the tree, followed by its stand-bys.

        Stand-bys are on the parent's level, so that the load stays evenly
        spread. Empty for a reader.
        """
        names = dict(self.ranks).get(domain, ())
        rank, _ = self.find_rank(domain, name)
        levels = list(_list_levels(rank + 1))
        if len(levels) < 2:
            return ()
        (above, end), (start, _) = levels[-2:]
        level = names[above:end]
        if not level:
            return ()
        # Children are spread over the whole level above, so that the second
        # reader carries half of a small failure domain.
        first = (rank - start) % len(level)
        return (level[first:] + level[:first])[:STANDBY_PARENTS]


def _list_levels(size: int) -> Iterator[tuple[int, int]]:
    start, width = 0, READERS_PER_DOMAIN
    while start < size:
        yield start, start + width
        start, width = start + width, width * FAN_OUT


@functools.lru_cache(maxsize=64)
def build_reader_tree(
    listed: view.MembershipView, suspected: frozenset[str]
) -> ReaderTree:
    """Return the tree of the members that are alive and not leaving."""
    return ReaderTree(
        tuple(
            (
                domain,
                tuple(
                    member.name
                    for member in view.rank_members(
                        listed, view.LeasedResource(domain, 'reader', '')
                    )
                    if not member.leaving and member.name not in suspected
                ),
            )
            for domain in listed.domains
        )
    )
