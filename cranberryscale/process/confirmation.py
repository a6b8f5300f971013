"""Staleness bound of the configuration, and whether API keys are accepted.

A withdrawn API key must stop working soon, so keyed requests (those with an
API key) are served only while the configuration is known to be recent, or
while a quorum of members has no recent one either.

A confirmation is a time at which the configuration in force contained
everything published. It comes from an answer of the configuration service and
then counts from when the call was sent; or it comes from a peer whose subtrees
are all in force here and then counts from when the pull was sent minus the age
in the reply. So no delay makes it later than the truth.

Largest ages with a watch of 0.5 s, pulls every 0.5 s (0.25 s with more than
one level below the readers) and 20 ms for an answer:

  a reader                                        1.1 s
  44 instances, below a reader                    1.7 s
  44 instances, service reachable by one only     2.3 s
  8,700 instances, service reachable by one only  2.6 s

All are below the 4 s for which a confirmation is valid, with room for two lost
pulls in a row. If one pull every 0.5 s alternated between a random member and
the parent, the parent would be pulled once a second: 3.3 s with 44 instances
and 5.6 s with 8,700, which leaves no room or is too old. So the parent gets a
separate ConfirmationPull, 183 bytes in signed frames with its reply, and the
targets of gossip do not depend on the tree.

A reader is an instance that watches the service, a subtree the documents of
one team (version.subtrees).
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

# Ages in messages are in tenths of a second, rounded up.
AGE_ROUNDING = datetime.timedelta(seconds=0.1)


class DisseminationTerms(NamedTuple):
    """Durations of the dissemination; equal on all instances.

    `confirm` is how long a confirmation is valid, `watch` the wait of one long
    poll of the service, `pull` and `deep_pull` the time between two pulls from
    the parent (`deep_pull` in trees of several levels), `answer` the usual
    duration of a call.
    """

    confirm: datetime.timedelta = datetime.timedelta(seconds=4)
    watch: datetime.timedelta = datetime.timedelta(seconds=0.5)
    pull: datetime.timedelta = datetime.timedelta(seconds=0.5)
    deep_pull: datetime.timedelta = datetime.timedelta(seconds=0.25)
    answer: datetime.timedelta = datetime.timedelta(seconds=0.02)
    drift_ratio: float = 0.01

    @property
    def max_age(self) -> datetime.timedelta:
        """Return the age of the oldest valid confirmation on a slow clock."""
        return self.confirm * (1 - self.drift_ratio)

    @property
    def max_reader_age(self) -> datetime.timedelta:
        """Return a reader's largest age: two long polls with jitter."""
        return 2 * (self.watch + self.watch / 16 + self.answer)

    def find_pull_interval(self, depth: int) -> datetime.timedelta:
        """Return the time between two pulls from the parent."""
        return self.pull if depth <= 1 else self.deep_pull

    def find_staleness_bound(self, depth: int) -> datetime.timedelta:
        """Return the largest age while one instance reaches the service.

        The path leads from that instance to a reader and `depth` levels down.
        """
        hop = self.find_pull_interval(depth) + self.answer + AGE_ROUNDING
        return self.max_reader_age + (depth + 1) * hop


class Confirmation(NamedTuple):
    """Age of a confirmation and the instance that got it from the service."""

    age: datetime.timedelta | None
    source: str


class HeartbeatAges(NamedTuple):
    """Age of a member's heartbeat and of its confirmation at that time."""

    age: datetime.timedelta
    confirmed_age: datetime.timedelta | None


class KeyedDecision(NamedTuple):
    """Decision whether keyed requests are served.

    Requests are served for the reasons "confirmed" (the confirmation is
    valid) and "nobody_confirms" (a quorum has no valid one either). They are
    refused for "never_confirmed", "members_unheard" (no quorum reported that
    it has none), "others_confirm" (a member has a newer one) and
    "peers_unread" (no recent pull showed that no peer has newer subtrees).
    """

    serves: bool
    reason: str


def _is_unconfirmed(
    heartbeat: HeartbeatAges, staleness_bound: datetime.timedelta
) -> bool:
    return (
        heartbeat.confirmed_age is None
        or heartbeat.confirmed_age > staleness_bound
    )


class ConfirmationTracker:
    """Time of the latest confirmation of this instance's configuration."""

    def __init__(self, terms: DisseminationTerms):
        self._terms = terms
        self._confirmed_at: datetime.timedelta | None = None
        self._agreed_at: datetime.timedelta | None = None

    def find_confirmation_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the age of the confirmation, None for never."""
        if self._confirmed_at is None:
            return None
        return now - self._confirmed_at

    def record_confirmation(self, at: datetime.timedelta) -> bool:
        """Record a confirmation; return whether it is later than the last."""
        if self._confirmed_at is not None and at <= self._confirmed_at:
            return False
        self._confirmed_at = at
        return True

    def record_agreement(self, sent_at: datetime.timedelta) -> None:
        """Record that a pull sent at `sent_at` showed no newer subtree."""
        self._agreed_at = max(sent_at, self._agreed_at or sent_at)

    def decide_keyed(
        self,
        now: datetime.timedelta,
        heartbeats: Iterable[HeartbeatAges],
        members: int,
        staleness_bound: datetime.timedelta,
    ) -> KeyedDecision:
        """Decide whether keyed requests may be served.

        `heartbeats` are the other members' latest ones, `members` is the
        number of listed members, `staleness_bound` the largest age of a
        member's confirmation while any instance reaches the service. Without a
        valid confirmation, a quorum must have reported within the validity
        time that it had none either: then no member of the quorum knows of a
        withdrawn key.
        """
        validity = self._terms.max_age
        own_age = self.find_confirmation_age(now)
        if own_age is None:
            return KeyedDecision(False, 'never_confirmed')
        if own_age <= validity:
            return KeyedDecision(True, 'confirmed')
        fresh = [
            heartbeat for heartbeat in heartbeats if heartbeat.age <= validity
        ]
        unconfirmed = sum(
            _is_unconfirmed(heartbeat, staleness_bound) for heartbeat in fresh
        )
        if 1 + unconfirmed < view.count_quorum(members):
            return KeyedDecision(False, 'members_unheard')
        if any(
            self._has_newer_confirmation(heartbeat, own_age, staleness_bound)
            for heartbeat in fresh
        ):
            return KeyedDecision(False, 'others_confirm')
        if members > 1 and not self._has_agreed(now):
            return KeyedDecision(False, 'peers_unread')
        return KeyedDecision(True, 'nobody_confirms')

    def _has_agreed(self, now: datetime.timedelta) -> bool:
        at = self._agreed_at
        return at is not None and now - at <= self._terms.max_age

    def _has_newer_confirmation(
        self,
        heartbeat: HeartbeatAges,
        own_age: datetime.timedelta,
        staleness_bound: datetime.timedelta,
    ) -> bool:
        # Because of clock drift, ages of hours cannot be compared; a member
        # that had no confirmation for so long has nothing newer.
        if heartbeat.confirmed_age is None or _is_unconfirmed(
            heartbeat, staleness_bound
        ):
            return False
        return (
            heartbeat.age + heartbeat.confirmed_age + self._terms.pull
            < own_age
        )
