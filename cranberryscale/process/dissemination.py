"""Dissemination of the configuration and of its confirmation.

Readers watch the configuration service; the other instances pull from a parent
in the tree below the readers. If no reader reaches the service, an instance
that does is found and takes the place of the root.
"""

import datetime
from typing import Iterable
from typing import Iterator

from cranberryscale.process import confirmation
from cranberryscale.process import reader_tree
from cranberryscale.version import view


__all__ = ['Dissemination']

# The service handles 2,000 reads a second; at most half of these are probes by
# instances while no reader reaches the service.
PROBES_PER_S = 1000
# A member is skipped for this long after a failed pull from it, or after it
# reported no valid confirmation.
PARENT_BACKOFF = datetime.timedelta(seconds=2)


class Dissemination:
    """Choice of the members to pull from, and state of the confirmation."""

    def __init__(
        self,
        name: str,
        terms: confirmation.DisseminationTerms,
        now: datetime.timedelta,
    ):
        self._name = name
        self._terms = terms
        self._started_at = now
        self._domain = ''
        self._live_members = frozenset((name,))
        self._reader_tree = reader_tree.ReaderTree(())
        self._tracker = confirmation.ConfirmationTracker(terms)
        self._service_answered_at: datetime.timedelta | None = None
        self._service_called_at: datetime.timedelta | None = None
        self._next_call_at = now
        # Member that reaches the service, as far as known, or "".
        self._source = ''
        self._acts_as_reader = False
        self._must_announce = False
        self._pull_failed_at: dict[str, datetime.timedelta] = {}
        self._reported_stale_at: dict[str, datetime.timedelta] = {}
        self._round = 0

    @property
    def terms(self) -> confirmation.DisseminationTerms:
        """Return the durations."""
        return self._terms

    @property
    def reader_tree(self) -> reader_tree.ReaderTree:
        """Return the tree of the live members."""
        return self._reader_tree

    @property
    def is_reader(self) -> bool:
        """Return whether this instance is one of the elected readers."""
        return self._name in self._reader_tree.readers

    @property
    def pull_interval(self) -> datetime.timedelta:
        """Return the time between two calls of `list_pull_targets`."""
        return self._terms.find_pull_interval(self._reader_tree.depth)

    @property
    def staleness_bound(self) -> datetime.timedelta:
        """Return the largest age while any instance reaches the service."""
        return self._terms.find_staleness_bound(self._reader_tree.depth)

    def load_members(
        self, listed: view.MembershipView, suspected: frozenset[str]
    ) -> None:
        """Replace the instance list and the suspected members."""
        suspected -= {self._name}
        member = listed.find_member(self._name)
        self._domain = member.domain if member else ''
        self._live_members = listed.names - suspected
        self._reader_tree = reader_tree.build_reader_tree(listed, suspected)
        for name in self._pull_failed_at.keys() - self._live_members:
            del self._pull_failed_at[name]
        for name in self._reported_stale_at.keys() - self._live_members:
            del self._reported_stale_at[name]

    def find_confirmation_age(
        self, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return the age of the confirmation, None for never."""
        return self._tracker.find_confirmation_age(now)

    def should_gossip_faster(self, now: datetime.timedelta) -> bool:
        """Return whether to gossip at twice the rate, for a few seconds.

        When the service is unreachable, keyed requests are served as long as a
        quorum reports that it cannot reach the service either. Waiting for
        these reports at the usual rate would refuse keyed requests for about a
        second.
        """
        age = self.find_confirmation_age(now)
        return (
            age is not None
            and self.staleness_bound < age < 2 * self._terms.confirm
        )

    def make_confirmation(
        self, now: datetime.timedelta
    ) -> confirmation.Confirmation:
        """Return the confirmation to report to a peer that pulls."""
        source = self._name if self._reaches_service(now) else self._source
        return confirmation.Confirmation(
            self.find_confirmation_age(now), source
        )

    def should_read(self, now: datetime.timedelta) -> bool:
        """Return whether to call the service now.

        Readers always call it. The others probe it when the confirmation is
        older than it can be while a reader reaches the service, and continue
        if it answers them. Probes are spread over time by rank. Calls are at
        least a quarter of the watch time apart while the service answers and
        the whole watch time while it does not.
        """
        if now < self._next_call_at:
            return False
        if self.is_reader or self._acts_as_reader:
            return True
        live = max(1, len(self._live_members))
        probe_interval = max(
            self._terms.watch, datetime.timedelta(seconds=live / PROBES_PER_S)
        )
        rank, size = self._reader_tree.find_rank(self._domain, self._name)
        age = self.find_confirmation_age(now)
        unconfirmed_for = now - self._started_at if age is None else age
        is_due = (
            self._service_called_at is None
            or now - self._service_called_at >= probe_interval
        )
        return (
            is_due
            and unconfirmed_for
            >= self.staleness_bound + probe_interval * rank / size
        )

    def record_service_answer(
        self,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
        is_current: bool,
    ) -> None:
        """Record an answer of the service to a call sent at `sent_at`.

        `is_current` means that the versions in the answer are in force and
        that its offers were evaluated. A stale answer confirms nothing.
        """
        self._service_called_at = now
        self._next_call_at = sent_at + self._terms.watch / 4
        if not is_current:
            return
        reached_service = self._reaches_service(now)
        self._service_answered_at = max(
            sent_at, self._service_answered_at or sent_at
        )
        self._tracker.record_confirmation(sent_at)
        if not reached_service and self._reaches_service(now):
            self._must_announce = True
            self._acts_as_reader = not self.is_reader

    def record_service_failure(self, now: datetime.timedelta) -> None:
        """Record a failed call of the service."""
        self._service_called_at = now
        self._next_call_at = now + self._terms.watch
        self._acts_as_reader = self._acts_as_reader and self._reaches_service(
            now
        )

    def record_pull_reply(
        self,
        sender: str,
        reported: confirmation.Confirmation,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
        is_current: bool,
    ) -> None:
        """Record the reply to a pull sent at `sent_at`.

        `is_current` means that all the sender's subtree versions are in force
        here; if they are not, fetch and apply them first.
        """
        self._pull_failed_at.pop(sender, None)
        if not is_current:
            return
        self._tracker.record_agreement(sent_at)
        age = reported.age
        if age is None or age > self.staleness_bound:
            self._reported_stale_at[sender] = now
        else:
            self._reported_stale_at.pop(sender, None)
        if age is not None:
            is_newer = self._tracker.record_confirmation(sent_at - age)
            self._choose_source(sender, reported, is_newer)

    def record_pull_failure(self, name: str, now: datetime.timedelta) -> None:
        """Record a failed pull from a member."""
        self._pull_failed_at[name] = now
        if self._source == name:
            self._source = ''

    def record_pull_age(
        self,
        name: str,
        age: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> bool:
        """Record the age in a member's pull; return whether to pull from it.

        The pull may have been delayed, so the age in it confirms nothing.
        """
        own_age = self.find_confirmation_age(now)
        needs_source = self.is_reader and not self._reaches_service(now)
        if not needs_source or age is None or name not in self._live_members:
            return False
        if own_age is not None and age + self._terms.pull >= own_age:
            return False
        self._source = name
        return True

    def list_pull_targets(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the members to pull from now: the parent, or all readers.

        An instance that has just reached the service pulls from all readers.
        From the age in its pull, readers without access to the service learn
        that it has access.
        """
        self._round += 1
        if self._must_announce:
            self._must_announce = False
            return tuple(
                n for n in self._reader_tree.readers if n != self._name
            )
        parent = self.find_parent(now)
        return (parent,) if parent else ()

    def find_parent(self, now: datetime.timedelta) -> str | None:
        """Return the first candidate without a recent failed pull, if any.

        If all have failed, return the first candidate.
        """
        candidates = [
            name
            for name in dict.fromkeys(self._list_parents(now))
            if name != self._name
        ]
        working = (
            name
            for name in candidates
            if name not in self._pull_failed_at
            or now - self._pull_failed_at[name] >= PARENT_BACKOFF
        )
        return next(working, candidates[0] if candidates else None)

    def decide_keyed(
        self,
        now: datetime.timedelta,
        heartbeats: Iterable[confirmation.HeartbeatAges],
        members: int,
    ) -> confirmation.KeyedDecision:
        """Decide whether keyed requests may be served.

        See ConfirmationTracker.
        """
        return self._tracker.decide_keyed(
            now, heartbeats, members, self.staleness_bound
        )

    def _reaches_service(self, now: datetime.timedelta) -> bool:
        at = self._service_answered_at
        return at is not None and now - at <= (
            self._terms.max_reader_age + self._terms.watch
        )

    def _choose_source(
        self, sender: str, reported: confirmation.Confirmation, is_newer: bool
    ) -> None:
        if not is_newer:
            # A peer whose confirmation is not newer is no source for this
            # instance.
            self._source = '' if self._source == sender else self._source
            return
        if (
            reported.source not in self._live_members
            or reported.source == self._name
        ):
            return
        self._source = reported.source
        if (
            reported.source in self._reader_tree.readers
            or reported.source < self._name
        ):
            self._acts_as_reader = False

    def _list_parents(self, now: datetime.timedelta) -> Iterator[str]:
        tree = self._reader_tree
        own_readers = tree.list_readers(self._domain)
        others = [name for name in tree.readers if name not in own_readers]
        if self.is_reader:
            if self._source and not self._reaches_service(now):
                yield self._source
            # A reader pulls from the readers of other domains in turn, each
            # reader starting at another one, so that the number of readers
            # with a change doubles in each round.
            start = self._round + tree.readers.index(self._name)
            start %= max(1, len(others))
            yield from others[start:] + others[:start]
            yield from own_readers
            return
        level = tree.list_parents(self._domain, self._name)
        yield from sorted(level, key=lambda name: self._is_stale(name, now))
        yield from own_readers
        yield from others

    def _is_stale(self, name: str, now: datetime.timedelta) -> bool:
        return (
            name in self._reported_stale_at
            and now - self._reported_stale_at[name] < PARENT_BACKOFF
        )
