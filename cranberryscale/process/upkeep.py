"""Gossip and configuration between instances, as plans."""

import datetime
import random
from typing import Any
from typing import Iterable

from cranberryscale import messages
from cranberryscale.process import calls
from cranberryscale.process import membership
from cranberryscale.process import spread
from cranberryscale.version import subtrees
from cranberryscale.version import tree
from cranberryscale.version import view


__all__ = ['Upkeep']

# A random member is pulled once in so many turns; the other turns go to the
# parent, so that withdrawn keys and new lists arrive in time.
RANDOM_TURNS = 2


class Upkeep:
    """Own membership, the accepted configuration and its confirmation."""

    def __init__(
        self,
        members: membership.Membership,
        confirmation: spread.Spread,
        rng: random.Random,
        peer_timeout: datetime.timedelta,
    ):
        self.membership = members
        self.spread = confirmation
        self.tree = tree.Tree()
        self._random = rng
        self._peer_timeout = peer_timeout
        self._outcomes: list[Any] = []
        self._alive: frozenset[str] = frozenset()
        self._turn = 0

    def load_view(self, published: view.View, now) -> None:
        """Follow a version of the instance list."""
        self.membership.load_view(published, now)
        self._follow_members(published)

    def advance(self, now: datetime.timedelta) -> None:
        """Update suspicion; call at least each gossip interval."""
        self.membership.advance(now)
        if self.membership.alive != self._alive:
            self._follow_members(self.membership.table.view)

    def _follow_members(self, published: view.View) -> None:
        self._alive = self.membership.alive
        self.spread.load_members(published, published.names - self._alive)

    def offer(
        self,
        offers: Iterable[subtrees.Offer],
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Judge an answer of the configuration service, and confirm."""
        offers = tuple(offers)
        self._outcomes.extend(self.tree.offer(offers))
        self.note_service(subtrees.read_versions(offers), sent_at, now)

    def note_service(self, offered, sent_at, now) -> None:
        """Record an answer of the service and what it offered."""
        is_current = self.tree.covers(offered)
        self.spread.note_service_answer(sent_at, now, is_current)
        self._note_confirmed(now)

    def _note_confirmed(self, now: datetime.timedelta) -> None:
        age = self.spread.find_age(now)
        if age is not None:
            self.membership.set_confirmed(now - age)

    def take_outcomes(self) -> list[Any]:
        """Return what became of offered subtrees, once."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def plan_pulls(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield the pulls of this turn."""
        self.advance(now)
        targets = list(self.spread.list_targets(now))
        self._turn += 1
        if self._turn % RANDOM_TURNS == 0 or not targets:
            peer = self.membership.choose_peer(self._random)
            targets += [peer] if peer and peer not in targets else []
        for target in targets:
            yield self.plan_pull(target, now)

    def plan_pull(self, target: str, now: datetime.timedelta) -> calls.Plan:
        """Pull from a member and fetch what it has that is newer."""
        own = self.spread.make_confirmation(now)
        pull = self.membership.make_pull(
            target, now, self.tree.versions
        )._replace(confirmed_age_s=_to_seconds(own.age))
        pulled = yield from calls.ask(target, pull, self._peer_timeout, now)
        if pulled.message is None:
            self.spread.note_failure(target, pulled.now)
            return
        reply = pulled.message
        self.membership.merge_reply(target, reply, pulled.sent_at, pulled.now)
        now = pulled.now
        if self.tree.is_newer(reply.subtree_versions):
            now = yield from self._plan_fetch(target, now)
        told = spread.Confirmation(
            _from_seconds(reply.confirmed_age_s), reply.confirmed_source
        )
        is_current = not self.tree.is_newer(reply.subtree_versions)
        self.spread.note_parent(target, told, pulled.sent_at, now, is_current)
        self._note_confirmed(now)
        yield from self._plan_list(now)

    def _plan_fetch(self, target: str, now: datetime.timedelta):
        """Fetch newer subtrees, whole where a delta does not fit."""
        have = dict(self.tree.versions)
        for _ in range(2):
            fetched = yield from calls.ask(
                target,
                messages.FetchSubtrees(have),
                self._peer_timeout * 4,
                now,
            )
            now = fetched.now
            if fetched.message is None:
                break
            outcomes = self.tree.apply(fetched.message.subtrees)
            missing = {
                each.team
                for each in outcomes
                if isinstance(each, tree.NeedAll)
            }
            self._outcomes.extend(
                each for each in outcomes if not isinstance(each, tree.NeedAll)
            )
            if not missing:
                break
            have = {
                team: version
                for team, version in self.tree.versions.items()
                if team not in missing
            }
        return now

    def _plan_list(self, now: datetime.timedelta):
        wanted = self.membership.wanted_list
        if wanted is None:
            return
        fetched = yield from calls.ask(
            wanted[0], messages.FetchView(), self._peer_timeout, now
        )
        if fetched.message is not None:
            self.learn_view(fetched.message, fetched.now)

    def learn_view(self, reply: messages.ViewReply, now) -> None:
        """Take over a peer's instance list if it is newer."""
        members = tuple(view.Member(*row) for row in reply.members)
        published = view.View(reply.version, members)
        self.membership.learn_view(published, now)
        self._follow_members(self.membership.table.view)

    def answer_pull(
        self, sender: str, pull: messages.GossipPull, now
    ) -> messages.GossipReply:
        """Return the table of members and the confirmation."""
        age = _from_seconds(pull.confirmed_age_s)
        self.spread.note_hint(sender, age, now)
        own = self.spread.make_confirmation(now)
        reply = self.membership.answer_pull(pull, now, self.tree.versions)
        return reply._replace(
            confirmed_age_s=_to_seconds(own.age),
            confirmed_source=own.source,
        )

    def answer_fetch(
        self, message: messages.FetchSubtrees
    ) -> messages.SubtreesReply:
        """Return the subtrees that a peer lacks."""
        return messages.SubtreesReply(self.tree.make_records(message.have))

    def answer_view(self) -> messages.ViewReply:
        """Return the instance list."""
        listed = self.membership.table.view
        rows = tuple(tuple(member) for member in listed.members)
        return messages.ViewReply(listed.version, rows)

    def decide_keyed(self, now: datetime.timedelta) -> spread.Decision:
        """Tell whether keyed requests may be served now."""
        ages = self.membership.list_heard(now)
        heard = (
            spread.Heard(age, confirmed)
            for name, (age, confirmed) in ages.items()
            if name != self.membership.table.name
        )
        members = len(self.membership.table.view.members)
        return self.spread.can_serve_keyed(now, heard, members)


def _to_seconds(age: datetime.timedelta | None) -> float:
    return -1.0 if age is None else age.total_seconds()


def _from_seconds(age_s: float) -> datetime.timedelta | None:
    return None if age_s < 0 else datetime.timedelta(seconds=age_s)
