"""Gossip and configuration between instances, as plans."""

import datetime
import math
import random
from typing import Any
from typing import Iterable
from typing import Mapping

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import calls
from cranberryscale.process import confirmation
from cranberryscale.process import membership
from cranberryscale.process import spread
from cranberryscale.version import subtrees
from cranberryscale.version import tree
from cranberryscale.version import view


__all__ = ['Upkeep']


class Upkeep:
    """Own membership, the accepted configuration and its confirmation."""

    def __init__(
        self,
        members: membership.Membership,
        spreading: spread.Spread,
        rng: random.Random,
        peer_timeout: datetime.timedelta,
    ):
        self.membership = members
        self.spread = spreading
        self.tree = tree.Tree()
        self._random = rng
        self._peer_timeout = peer_timeout
        self._outcomes: list[Any] = []
        self._errands: list[calls.Plan] = []
        self._alive: frozenset[str] = frozenset()
        self._offered: Mapping[str, int] = {}

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
        self._offered = dict(_list_versions(offers))
        self.note_unchanged(sent_at, now)

    def note_unchanged(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that the service still offers what it offered last."""
        is_current = self.tree.covers(self._offered)
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

    def plan_gossip(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield the gossip pull of this turn."""
        self.advance(now)
        target = self.membership.choose_peer(self._random)
        if target is not None:
            yield self._plan_gossip(target, now)

    def _plan_gossip(self, target: str, now) -> calls.Plan:
        pull = self.membership.make_pull(target, now, self.tree.versions)
        pulled = yield from calls.ask(target, pull, self._peer_timeout, now)
        if pulled.message is None:
            return
        reply, now = pulled.message, pulled.now
        self.membership.merge_reply(target, reply, pulled.sent_at, now)
        if self.tree.is_newer(reply.subtree_versions):
            now = yield from self._plan_fetch(target, now)
        yield from self._plan_list(now)

    def plan_confirmations(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield the pulls that confirm the configuration."""
        for target in self.spread.list_targets(now):
            yield self._plan_confirmation(target, now)

    def _plan_confirmation(self, target: str, now) -> calls.Plan:
        own = self.spread.make_confirmation(now)
        pull = messages.ConfirmationPull(
            self.tree.versions_digest, _to_tenths(own.age)
        )
        pulled = yield from calls.ask(target, pull, self._peer_timeout, now)
        if pulled.message is None:
            self.spread.note_failure(target, pulled.now)
            return
        reply, now = pulled.message, pulled.now
        if self.tree.is_newer(reply.subtree_versions):
            now = yield from self._plan_fetch(target, now)
        # What was fetched may be newer than the reply, never older.
        is_current = (
            reply.versions_digest == self.tree.versions_digest
            or not self.tree.is_newer(reply.subtree_versions)
        )
        told = confirmation.Confirmation(
            _from_tenths(reply.confirmed_age_ds), reply.source
        )
        self.spread.note_parent(target, told, pulled.sent_at, now, is_current)
        self._note_confirmed(now)

    def plan_bootstrap(self, target: str, now) -> calls.Plan:
        """Fetch list and configuration; tell whether that worked."""
        fetched = yield from calls.ask(
            target, messages.FetchView(), self._peer_timeout * 4, now
        )
        if fetched.message is None:
            return False
        self.learn_view(fetched.message, fetched.now)
        yield from self._plan_fetch(target, fetched.now)
        return bool(self.tree.versions)

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

    def answer(self, sender: str, message: Any, now) -> Any:
        """Return the reply to a control message; raise PeerError."""
        match message:
            case messages.GossipPull():
                return self.membership.answer_pull(
                    message, now, self.tree.versions
                )
            case messages.ConfirmationPull():
                return self._answer_confirmation(sender, message, now)
            case messages.FetchSubtrees():
                records = self.tree.make_records(message.have)
                return messages.SubtreesReply(records)
            case messages.FetchView():
                return self.answer_view()
        kind = type(message).__name__
        raise errors.make_error('message_undecodable', kind)

    def _answer_confirmation(
        self, sender: str, pull: messages.ConfirmationPull, now
    ) -> messages.ConfirmationReply:
        age = _from_tenths(pull.confirmed_age_ds)
        if self.spread.note_hint(sender, age, now):
            self._errands.append(self._plan_confirmation(sender, now))
        own = self.spread.make_confirmation(now)
        digest = self.tree.versions_digest
        same = pull.versions_digest == digest
        return messages.ConfirmationReply(
            _to_tenths(own.age),
            own.source,
            digest,
            {} if same else dict(self.tree.versions),
        )

    def take_errands(self) -> list[calls.Plan]:
        """Return plans that became due, each once."""
        errands, self._errands = self._errands, []
        return errands

    def answer_view(self) -> messages.ViewReply:
        """Return the instance list."""
        listed = self.membership.table.view
        rows = tuple(tuple(member) for member in listed.members)
        return messages.ViewReply(listed.version, rows)

    def decide_keyed(self, now: datetime.timedelta) -> confirmation.Decision:
        """Tell whether keyed requests may be served now."""
        members = len(self.membership.table.view.members)
        return self.spread.can_serve_keyed(
            now, self._iterate_heard(now), members
        )

    def _iterate_heard(self, now) -> Iterable[confirmation.Heard]:
        # Evaluated only when the confirmation is old.
        signs = self.membership.list_signs(now)
        for name, (age, confirmed_age) in signs.items():
            if name != self.membership.table.name:
                yield confirmation.Heard(age, confirmed_age)

    def list_serving(self, now: datetime.timedelta) -> frozenset[str]:
        """Return the members that callers may be sent to.

        While some members have a confirmed configuration, those without one
        refuse keyed requests and are left out.
        """
        signs = self.membership.list_signs(now)
        confirmed = frozenset(
            name for name, (_, age) in signs.items() if age is not None
        )
        own = frozenset((self.membership.table.name,))
        return (confirmed or self.membership.alive) | own


def _list_versions(offers) -> Iterable[tuple[str, int]]:
    for offer in offers:
        manifest = subtrees.read_manifest(offer)
        if isinstance(manifest, subtrees.Manifest):
            yield offer.team, manifest.version


def _to_tenths(age: datetime.timedelta | None) -> int:
    return -1 if age is None else math.ceil(age.total_seconds() * 10)


def _from_tenths(age_ds: int) -> datetime.timedelta | None:
    return None if age_ds < 0 else datetime.timedelta(seconds=age_ds / 10)
