"""The choice of the member to pull from."""

import collections
from collections.abc import Sequence
import random


__all__ = ['PeerSelector']

# Every third pull goes to the configuration parent.
_PARENT_PULLS = 3
# One pull in so many goes to a suspected member, so that its return is
# noticed without spending most pulls on dead members.
_SUSPECTED_PULLS = 8
# Pulls without a reply after which a member counts as silent.
_LOST_PULLS = 3


class PeerSelector:
    """Choose peers in turn and count the pulls that got no reply."""

    def __init__(self):
        self._pulls = 0
        self._hops = 0
        self._unanswered: collections.Counter[str] = collections.Counter()

    def choose_peer(
        self,
        name: str,
        ring: Sequence[str],
        suspected: Sequence[str],
        parent: str | None,
        source: random.Random,
    ) -> str | None:
        """Return whom `name` pulls from next, None when there is nobody.

        Pulls go around the ring of members at distances that double, so
        that a sign of life passes all members in about log2(n) rounds;
        with random members the slowest needs twice as long.
        """
        self._pulls += 1
        if parent is not None and self._pulls % _PARENT_PULLS == 0:
            return parent
        others = len(ring) - 1
        if suspected and not (others and source.randrange(_SUSPECTED_PULLS)):
            return source.choice(suspected)
        if not others:
            return None
        self._hops += 1
        distance = 1 << self._hops % others.bit_length()
        place = ring.index(name) + distance
        onward = (
            ring[(place + step) % len(ring)] for step in range(len(ring))
        )
        # A member that let the latest pull go unanswered is passed over in
        # most rounds, so that a cut costs few pulls before suspicion.
        patient = not source.randrange(_SUSPECTED_PULLS)
        return next(
            (
                each
                for each in onward
                if each != name and (patient or not self._unanswered[each])
            ),
            ring[place % len(ring)],
        )

    def note_pull(self, target: str) -> None:
        """Count a pull until its reply arrives."""
        self._unanswered[target] += 1

    def note_reply(self, sender: str) -> None:
        """Record that a member answers."""
        del self._unanswered[sender]

    def is_silent(self, target: str) -> bool:
        """Tell whether the latest pulls from a member got no reply."""
        return self._unanswered[target] >= _LOST_PULLS
