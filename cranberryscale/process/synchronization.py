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
from cranberryscale.process import dissemination
from cranberryscale.process import membership
from cranberryscale.version import subtrees
from cranberryscale.version import tree
from cranberryscale.version import view


__all__ = ['Synchronizer']


class Synchronizer:
    """Own membership, the accepted configuration and its confirmation."""

    def __init__(
        self,
        members: membership.Membership,
        spreading: dissemination.Dissemination,
        rng: random.Random,
        peer_timeout: datetime.timedelta,
    ):
        self.membership = members
        self.dissemination = spreading
        self.tree = tree.ConfigurationTree()
        self._random = rng
        self._peer_timeout = peer_timeout
        self._outcomes: list[Any] = []
        self._errands: list[calls.Plan] = []
        self._alive: frozenset[str] = frozenset()
        self._offered: Mapping[str, int] = {}

    def load_view(self, published: view.MembershipView, now) -> None:
        """Follow a version of the instance list."""
        self.membership.load_view(published, now)
        self._follow_members(published)

    def advance(self, now: datetime.timedelta) -> None:
        """Update suspicion; call at least each gossip interval."""
        self.membership.advance(now)
        if self.membership.alive != self._alive:
            self._follow_members(self.membership.table.view)

    def _follow_members(self, published: view.MembershipView) -> None:
        self._alive = self.membership.alive
        self.dissemination.load_members(
            published, published.names - self._alive
        )

    def handle_offers(
        self,
        offers: Iterable[subtrees.UncheckedSubtree],
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Judge an answer of the configuration service, and confirm."""
        offers = tuple(offers)
        self._outcomes.extend(self.tree.apply_subtrees(offers))
        self._offered = dict(_list_versions(offers))
        self.record_unchanged(sent_at, now)

    def record_unchanged(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that the service still offers what it offered last."""
        is_current = self.tree.is_covered_by(self._offered)
        self.dissemination.record_service_answer(sent_at, now, is_current)
        self._note_confirmed(now)

    def _note_confirmed(self, now: datetime.timedelta) -> None:
        age = self.dissemination.find_age(now)
        if age is not None:
            self.membership.record_confirmation(now - age)

    def pop_outcomes(self) -> list[Any]:
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
        pulled = yield from calls.call_member(
            target, pull, self._peer_timeout, now
        )
        if pulled.message is None:
            return
        reply, now = pulled.message, pulled.now
        self.membership.merge_reply(target, reply, pulled.sent_at, now)
        if self.tree.is_behind(reply.subtree_versions):
            now = yield from self._plan_fetch(target, now)
        yield from self._plan_list(now)

    def plan_confirmations(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield the pulls that confirm the configuration."""
        for target in self.dissemination.list_targets(now):
            yield self._plan_confirmation(target, now)

    def _plan_confirmation(self, target: str, now) -> calls.Plan:
        own = self.dissemination.make_confirmation(now)
        pull = messages.ConfirmationPull(
            self.tree.versions_digest, _to_tenths(own.age)
        )
        pulled = yield from calls.call_member(
            target, pull, self._peer_timeout, now
        )
        if pulled.message is None:
            self.dissemination.record_pull_failure(target, pulled.now)
            return
        reply, now = pulled.message, pulled.now
        if self.tree.is_behind(reply.subtree_versions):
            now = yield from self._plan_fetch(target, now)
        # What was fetched may be newer than the reply, never older.
        is_current = (
            reply.versions_digest == self.tree.versions_digest
            or not self.tree.is_behind(reply.subtree_versions)
        )
        told = confirmation.Confirmation(
            _from_tenths(reply.confirmed_age_ds), reply.source
        )
        self.dissemination.record_pull_reply(
            target, told, pulled.sent_at, now, is_current
        )
        self._note_confirmed(now)

    def plan_bootstrap(self, target: str, now) -> calls.Plan:
        """Fetch list and configuration; tell whether that worked."""
        fetched = yield from calls.call_member(
            target, messages.FetchView(), self._peer_timeout * 4, now
        )
        if fetched.message is None:
            return False
        self.merge_view(fetched.message, fetched.now)
        yield from self._plan_fetch(target, fetched.now)
        return bool(self.tree.versions)

    def _plan_fetch(self, target: str, now: datetime.timedelta):
        """Fetch newer subtrees, whole where a delta does not fit."""
        have = dict(self.tree.versions)
        for _ in range(2):
            fetched = yield from calls.call_member(
                target,
                messages.FetchSubtrees(have),
                self._peer_timeout * 4,
                now,
            )
            now = fetched.now
            if fetched.message is None:
                break
            outcomes = self.tree.apply_records(fetched.message.subtrees)
            missing = {
                each.team
                for each in outcomes
                if isinstance(each, tree.FullSubtreeNeeded)
            }
            self._outcomes.extend(
                each
                for each in outcomes
                if not isinstance(each, tree.FullSubtreeNeeded)
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
        wanted = self.membership.view_to_fetch
        if wanted is None:
            return
        fetched = yield from calls.call_member(
            wanted[0], messages.FetchView(), self._peer_timeout, now
        )
        if fetched.message is not None:
            self.merge_view(fetched.message, fetched.now)

    def merge_view(self, reply: messages.ViewReply, now) -> None:
        """Take over a peer's instance list if it is newer."""
        members = tuple(view.Member(*row) for row in reply.members)
        published = view.MembershipView(reply.version, members)
        self.membership.merge_view(published, now)
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
        if self.dissemination.record_pull_age(sender, age, now):
            self._errands.append(self._plan_confirmation(sender, now))
        own = self.dissemination.make_confirmation(now)
        digest = self.tree.versions_digest
        same = pull.versions_digest == digest
        return messages.ConfirmationReply(
            _to_tenths(own.age),
            own.source,
            digest,
            {} if same else dict(self.tree.versions),
        )

    def pop_background_plans(self) -> list[calls.Plan]:
        """Return plans that became due, each once."""
        errands, self._errands = self._errands, []
        return errands

    def answer_view(self) -> messages.ViewReply:
        """Return the instance list."""
        listed = self.membership.table.view
        rows = tuple(tuple(member) for member in listed.members)
        return messages.ViewReply(listed.version, rows)

    def decide_keyed(
        self, now: datetime.timedelta
    ) -> confirmation.KeyedDecision:
        """Tell whether keyed requests may be served now."""
        members = len(self.membership.table.view.members)
        return self.dissemination.decide_keyed(
            now, self._iterate_heard(now), members
        )

    def _iterate_heard(self, now) -> Iterable[confirmation.HeartbeatAges]:
        # Evaluated only when the confirmation is old.
        signs = self.membership.list_signs(now)
        for name, (age, confirmed_age) in signs.items():
            if name != self.membership.table.name:
                yield confirmation.HeartbeatAges(age, confirmed_age)

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
