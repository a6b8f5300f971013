"""Spread of the configuration and of its confirmation.

Readers watch the service; the others pull from a parent in the tree below
the readers. When no reader reaches the service, any instance that does is
found and takes the place of the root.
"""

import datetime
from typing import Iterable
from typing import Iterator

from cranberryscale.process import confirmation
from cranberryscale.process import reader_tree
from cranberryscale.version import view


__all__ = ['Dissemination']

# The service serves 2,000 reads a second; at most half of it goes to
# instances that try whether they reach it when no reader does.
PROBES_PER_S = 1000
# A member whose pull failed, or that has no good confirmation itself, is
# passed over for this long.
PAUSE = datetime.timedelta(seconds=2)


class Dissemination:
    """Decide whom to read, and whether the configuration is confirmed."""

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
        self._live = frozenset((name,))
        self._layout = reader_tree.ReaderTree(())
        self._record = confirmation.ConfirmationTracker(terms)
        self._answered_at: datetime.timedelta | None = None
        self._tried_at: datetime.timedelta | None = None
        self._next_at = now
        self._source = ''
        self._volunteers = False
        self._announces = False
        self._failures: dict[str, datetime.timedelta] = {}
        self._stale: dict[str, datetime.timedelta] = {}
        self._turn = 0

    @property
    def terms(self) -> confirmation.DisseminationTerms:
        """Return the times."""
        return self._terms

    @property
    def reader_tree(self) -> reader_tree.ReaderTree:
        """Return the layout of the live members."""
        return self._layout

    @property
    def is_reader(self) -> bool:
        """Tell whether this instance is one of the elected readers."""
        return self._name in self._layout.readers

    @property
    def pull_interval(self) -> datetime.timedelta:
        """Return the time between two calls of `list_targets`."""
        return self._terms.find_pull_interval(self._layout.depth)

    @property
    def staleness_bound(self) -> datetime.timedelta:
        """Return the largest age while anybody reaches the service."""
        return self._terms.find_staleness_bound(self._layout.depth)

    def load_members(
        self, listed: view.MembershipView, suspected: frozenset[str]
    ) -> None:
        """Follow a version of the instance list and of suspicions."""
        suspected -= {self._name}
        member = listed.find_member(self._name)
        self._domain = member.domain if member else ''
        self._live = listed.names - suspected
        self._layout = reader_tree.build_reader_tree(listed, suspected)
        for name in self._failures.keys() - self._live:
            del self._failures[name]
        for name in self._stale.keys() - self._live:
            del self._stale[name]

    def find_age(self, now: datetime.timedelta) -> datetime.timedelta | None:
        """Return the age of the confirmation, None for never."""
        return self._record.find_age(now)

    def should_gossip_faster(self, now: datetime.timedelta) -> bool:
        """Tell whether to gossip twice as often, for a few seconds.

        When the service is lost, keyed requests are served as long as a
        quorum says that it is without it too. Waiting for that at the usual
        rate would refuse keyed requests for about a second.
        """
        age = self.find_age(now)
        return (
            age is not None
            and self.staleness_bound < age < 2 * self._terms.confirm
        )

    def make_confirmation(
        self, now: datetime.timedelta
    ) -> confirmation.Confirmation:
        """Return what a peer that pulls is told."""
        source = self._name if self._is_direct(now) else self._source
        return confirmation.Confirmation(self.find_age(now), source)

    def should_read(self, now: datetime.timedelta) -> bool:
        """Tell whether to call the service now.

        Readers always do. The others try when the confirmation is older
        than it can be while a reader reaches the service, and go on when it
        answers them. Tries are spread over time by rank. Calls are at least
        a quarter of the wait apart while the service answers and a whole
        wait when it does not.
        """
        if now < self._next_at:
            return False
        if self.is_reader or self._volunteers:
            return True
        live = max(1, len(self._live))
        every = max(
            self._terms.watch, datetime.timedelta(seconds=live / PROBES_PER_S)
        )
        rank, size = self._layout.find_rank(self._domain, self._name)
        age = self.find_age(now)
        quiet = now - self._started_at if age is None else age
        due = self._tried_at is None or now - self._tried_at >= every
        return due and quiet >= self.staleness_bound + every * rank / size

    def record_service_answer(
        self,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
        is_current: bool,
    ) -> None:
        """Record an answer of the service to a call of `sent_at`.

        `is_current` tells whether the answer covers the versions in force
        and what it offered was judged. A stale answer confirms nothing.
        """
        self._tried_at = now
        self._next_at = sent_at + self._terms.watch / 4
        if not is_current:
            return
        was_direct = self._is_direct(now)
        self._answered_at = max(sent_at, self._answered_at or sent_at)
        self._record.note_confirmed(sent_at)
        if not was_direct and self._is_direct(now):
            self._announces = True
            self._volunteers = not self.is_reader

    def record_service_failure(self, now: datetime.timedelta) -> None:
        """Record that a call of the service failed."""
        self._tried_at = now
        self._next_at = now + self._terms.watch
        self._volunteers = self._volunteers and self._is_direct(now)

    def record_pull_reply(
        self,
        sender: str,
        told: confirmation.Confirmation,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
        is_current: bool,
    ) -> None:
        """Record the reply to a pull of `sent_at`.

        `is_current` tells whether all the sender's subtree versions are in
        force here; if not, fetch and apply them first.
        """
        self._failures.pop(sender, None)
        if not is_current:
            return
        self._record.note_agreed(sent_at)
        age = told.age
        if age is None or age > self.staleness_bound:
            self._stale[sender] = now
        else:
            self._stale.pop(sender, None)
        if age is not None:
            is_newer = self._record.note_confirmed(sent_at - age)
            self._choose_source(sender, told, is_newer)

    def record_pull_failure(self, name: str, now: datetime.timedelta) -> None:
        """Record that a pull from a member failed."""
        self._failures[name] = now
        if self._source == name:
            self._source = ''

    def record_pull_age(
        self,
        name: str,
        age: datetime.timedelta | None,
        now: datetime.timedelta,
    ) -> bool:
        """Record the age in a pull from a member; True: pull from it now.

        The age in a pull may be old, so it confirms nothing.
        """
        own = self.find_age(now)
        heeds = self.is_reader and not self._is_direct(now)
        if not heeds or age is None or name not in self._live:
            return False
        if own is not None and age + self._terms.pull >= own:
            return False
        self._source = name
        return True

    def list_targets(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return whom to pull from now: the parent, or all readers.

        An instance that reaches the service anew pulls from all readers, so
        that those that don't reach it learn of it from the age in the pull.
        """
        self._turn += 1
        if self._announces:
            self._announces = False
            return tuple(n for n in self._layout.readers if n != self._name)
        parent = self.find_parent(now)
        return (parent,) if parent else ()

    def find_parent(self, now: datetime.timedelta) -> str | None:
        """Return the first candidate whose pulls don't fail, if any."""
        candidates = [
            name
            for name in dict.fromkeys(self._list_parents(now))
            if name != self._name
        ]
        working = (
            name
            for name in candidates
            if name not in self._failures
            or now - self._failures[name] >= PAUSE
        )
        return next(working, candidates[0] if candidates else None)

    def decide_keyed(
        self,
        now: datetime.timedelta,
        heard: Iterable[confirmation.HeartbeatAges],
        members: int,
    ) -> confirmation.KeyedDecision:
        """Decide whether keyed requests may be served.

        See ConfirmationRecord.
        """
        return self._record.decide_keyed(
            now, heard, members, self.staleness_bound
        )

    def _is_direct(self, now: datetime.timedelta) -> bool:
        at = self._answered_at
        return at is not None and now - at <= (
            self._terms.reader_age + self._terms.watch
        )

    def _choose_source(
        self, sender: str, told: confirmation.Confirmation, is_newer: bool
    ) -> None:
        if not is_newer:
            # Whoever knows no more than this instance is no source for it.
            self._source = '' if self._source == sender else self._source
            return
        if told.source not in self._live or told.source == self._name:
            return
        self._source = told.source
        if told.source in self._layout.readers or told.source < self._name:
            self._volunteers = False

    def _list_parents(self, now: datetime.timedelta) -> Iterator[str]:
        layout = self._layout
        own = layout.list_readers(self._domain)
        others = [name for name in layout.readers if name not in own]
        if self.is_reader:
            if self._source and not self._is_direct(now):
                yield self._source
            # A reader checks itself against the others in turn; each starts
            # elsewhere, so that news doubles its readers with each turn.
            turn = self._turn + layout.readers.index(self._name)
            turn %= max(1, len(others))
            yield from others[turn:] + others[:turn]
            yield from own
            return
        level = layout.list_parents(self._domain, self._name)
        yield from sorted(level, key=lambda name: self._is_stale(name, now))
        yield from own
        yield from others

    def _is_stale(self, name: str, now: datetime.timedelta) -> bool:
        return name in self._stale and now - self._stale[name] < PAUSE
