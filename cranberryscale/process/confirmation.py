"""Confirmation of the configuration, and whether keyed requests are served.

A confirmation is a time at which the configuration in force held everything
published. It comes from an answer of the service, counted from when the
call was sent, or from a peer whose subtrees are all in force here, counted
from when the pull was sent minus the age in the reply. So it is never later
than the truth, whatever is delayed.

Ages at most, with a watch of 0.5 s, pulls each 0.5 s (0.25 s if there is more
than one level below the readers) and 20 ms for an answer:

  a reader                                        1.1 s
  44 instances, below a reader                    1.7 s
  44 instances, service reachable by one only     2.3 s
  8,700 instances, service reachable by one only  2.6 s

All are under the 4 s for which a confirmation is good, with room for two
lost pulls in a row. The plain alternation of one pull each 0.5 s between a
random member and the parent pulls the parent once a second: 3.3 s at 44
instances and 5.6 s at 8,700, which leaves no room or is too old. So the parent
gets a ConfirmationPull of its own, 183 bytes in signed frames with its reply,
and gossip goes to random members only.
"""

import datetime
from typing import Iterable
from typing import NamedTuple

from cranberryscale.version import view


__all__ = [
    'Confirmation',
    'ConfirmationTracker',
    'DisseminationTerms',
    'HeartbeatAges',
    'KeyedDecision',
]

# Ages travel in tenths of a second, rounded up.
ROUNDING = datetime.timedelta(seconds=0.1)


class DisseminationTerms(NamedTuple):
    """Set the times; equal on all instances.

    `confirm` is how long a confirmation is good, `watch` the wait of one
    call of the service, `pull` and `deep_pull` the time between two pulls
    from the parent, `answer` the usual time of a call.
    """

    confirm: datetime.timedelta = datetime.timedelta(seconds=4)
    watch: datetime.timedelta = datetime.timedelta(seconds=0.5)
    pull: datetime.timedelta = datetime.timedelta(seconds=0.5)
    deep_pull: datetime.timedelta = datetime.timedelta(seconds=0.25)
    answer: datetime.timedelta = datetime.timedelta(seconds=0.02)
    drift_ratio: float = 0.01

    @property
    def max_age(self) -> datetime.timedelta:
        """Return the oldest good confirmation on a slow clock."""
        return self.confirm * (1 - self.drift_ratio)

    @property
    def reader_age(self) -> datetime.timedelta:
        """Return a reader's largest age: two watches with jitter."""
        return 2 * (self.watch + self.watch / 16 + self.answer)

    def find_pull_interval(self, depth: int) -> datetime.timedelta:
        """Return the time between two pulls from the parent."""
        return self.pull if depth <= 1 else self.deep_pull

    def find_staleness_bound(self, depth: int) -> datetime.timedelta:
        """Return the largest age when one instance reaches the service.

        The chain is that instance, a reader, and `depth` levels below.
        """
        hop = self.find_pull_interval(depth) + self.answer + ROUNDING
        return self.reader_age + (depth + 1) * hop


class Confirmation(NamedTuple):
    """Tell how old a confirmation is and who had it from the service."""

    age: datetime.timedelta | None
    source: str


class HeartbeatAges(NamedTuple):
    """Tell how long ago a member spoke and its confirmation's age then."""

    age: datetime.timedelta
    confirmed_age: datetime.timedelta | None


class KeyedDecision(NamedTuple):
    """Tell whether keyed requests are served.

    `reason` is "confirmed", "nobody_confirms", "never_confirmed",
    "members_unheard", "others_confirm" or "peers_unread".
    """

    serves: bool
    reason: str


def _is_without(sign: HeartbeatAges, bound: datetime.timedelta) -> bool:
    return sign.confirmed_age is None or sign.confirmed_age > bound


class ConfirmationTracker:
    """Hold when this instance's configuration was last confirmed."""

    def __init__(self, terms: DisseminationTerms):
        self._terms = terms
        self._confirmed_at: datetime.timedelta | None = None
        self._agreed_at: datetime.timedelta | None = None

    def find_age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the age of the confirmation, None for never."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def note_confirmed(self, at: datetime.timedelta) -> bool:
        """Record a confirmation; tell whether it is later than the last."""
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        return True

    def note_agreed(self, sent_at: datetime.timedelta) -> None:
        """Record that a peer asked at `sent_at` had no newer subtree."""
        self._agreed_at = max(sent_at, self._agreed_at or sent_at)

    def decide_keyed(
        self,
        now: datetime.timedelta,
        heard: Iterable[HeartbeatAges],
        members: int,
        bound: datetime.timedelta,
    ) -> KeyedDecision:
        """Decide whether keyed requests may be served.

        `heard` holds the other members' latest signs of life, `members`
        counts the listed members, `bound` is a member's largest age while
        anybody reaches the service. Without a good confirmation, a quorum must
        have said within the same time that it was without one as well: then
        nobody of it knows of a withdrawal.
        """
        limit = self._terms.max_age
        own = self.find_age(now)
        if own is None:
            return KeyedDecision(False, 'never_confirmed')
        if own <= limit:
            return KeyedDecision(True, 'confirmed')
        fresh = [sign for sign in heard if sign.age <= limit]
        without = sum(_is_without(sign, bound) for sign in fresh)
        if 1 + without < view.count_quorum(members):
            return KeyedDecision(False, 'members_unheard')
        if any(self._is_ahead(sign, own, bound) for sign in fresh):
            return KeyedDecision(False, 'others_confirm')
        if members > 1 and not self._has_agreed(now):
            return KeyedDecision(False, 'peers_unread')
        return KeyedDecision(True, 'nobody_confirms')

    def _has_agreed(self, now: datetime.timedelta) -> bool:
        at = self._agreed_at
        return at is not None and now - at <= self._terms.max_age

    def _is_ahead(
        self,
        sign: HeartbeatAges,
        own: datetime.timedelta,
        bound: datetime.timedelta,
    ) -> bool:
        # Clocks drift, so ages of hours cannot be compared; a member that
        # was without a confirmation for so long knows nothing new.
        if sign.confirmed_age is None or _is_without(sign, bound):
            return False
        return sign.age + sign.confirmed_age + self._terms.pull < own
