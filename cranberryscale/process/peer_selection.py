"""Choice of the member to send the next gossip pull to."""

import collections
from collections.abc import Sequence
import random


__all__ = ['PeerSelector']

# Every third pull goes to the parent in the configuration tree.
_PARENT_PULL_PERIOD = 3
# One pull in this many goes to a suspected member, so that its return is
# noticed without spending most pulls on members that are down.
_SUSPECTED_PULL_PERIOD = 8
# Unanswered pulls in a row after which a member counts as unresponsive.
_UNRESPONSIVE_AFTER_PULLS = 3


class PeerSelector:
    """Selector of the peer of each pull, which counts unanswered pulls."""

    def __init__(self):
        self._pulls = 0
        self._ring_pulls = 0
        self._unanswered: collections.Counter[str] = collections.Counter()

    def choose_peer(
        self,
        name: str,
        ring: Sequence[str],
        suspected: Sequence[str],
        parent: str | None,
        rng: random.Random,
    ) -> str | None:
        """Return the member that `name` pulls from next, None if it is alone.

        Pulls go around the ring of members at distances that double, so a
        heartbeat reaches all members in about log2(n) rounds; with random
        targets the slowest member takes twice as long.
        """
        self._pulls += 1
        if parent is not None and self._pulls % _PARENT_PULL_PERIOD == 0:
            return parent
        others = len(ring) - 1
        if suspected and not (
            others and rng.randrange(_SUSPECTED_PULL_PERIOD)
        ):
            return rng.choice(suspected)
        if not others:
            return None
        self._ring_pulls += 1
        distance = 1 << self._ring_pulls % others.bit_length()
        position = ring.index(name) + distance
        candidates = (
            ring[(position + step) % len(ring)] for step in range(len(ring))
        )
        # In most rounds a member that left the latest pull unanswered is
        # skipped, so that a partition costs few pulls before members are
        # suspected.
        includes_unanswered = not rng.randrange(_SUSPECTED_PULL_PERIOD)
        return next(
            (
                each
                for each in candidates
                if each != name
                and (includes_unanswered or not self._unanswered[each])
            ),
            ring[position % len(ring)],
        )

    def record_pull(self, target: str) -> None:
        """Count a pull as unanswered until its reply arrives."""
        self._unanswered[target] += 1

    def record_reply(self, sender: str) -> None:
        """Record that a member replied."""
        del self._unanswered[sender]

    def is_unresponsive(self, target: str) -> bool:
        """Return whether the latest pulls from a member got no reply."""
        return self._unanswered[target] >= _UNRESPONSIVE_AFTER_PULLS
