"""Plans that exchange gossip and configuration with other instances."""

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
    """Membership, accepted configuration and confirmation of an instance."""

    def __init__(
        self,
        members: membership.Membership,
        disseminator: dissemination.Dissemination,
        rng: random.Random,
        peer_timeout: datetime.timedelta,
    ):
        self.membership = members
        self.dissemination = disseminator
        self.tree = tree.ConfigurationTree()
        self._random = rng
        self._peer_timeout = peer_timeout
        self._outcomes: list[Any] = []
        self._background_plans: list[calls.Plan] = []
        self._alive_members: frozenset[str] = frozenset()
        self._offered_versions: Mapping[str, int] = {}

    def load_view(self, published: view.MembershipView, now) -> None:
        """Follow a version of the instance list."""
        self.membership.load_view(published, now)
        self._update_members(published)

    def advance(self, now: datetime.timedelta) -> None:
        """Update suspicions; call at least once per gossip interval."""
        self.membership.advance(now)
        if self.membership.alive_members != self._alive_members:
            self._update_members(self.membership.table.view)

    def _update_members(self, published: view.MembershipView) -> None:
        self._alive_members = self.membership.alive_members
        self.dissemination.load_members(
            published, published.names - self._alive_members
        )

    def load_subtrees(
        self,
        offers: Iterable[subtrees.UncheckedSubtree],
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Evaluate the subtrees in an answer of the configuration service.

        The answer also confirms the configuration.
        """
        offers = tuple(offers)
        self._outcomes.extend(self.tree.apply_subtrees(offers))
        self._offered_versions = dict(_list_versions(offers))
        self.record_unchanged(sent_at, now)

    def record_unchanged(
        self, sent_at: datetime.timedelta, now: datetime.timedelta
    ) -> None:
        """Record that the service still offers the same subtrees."""
        is_current = self.tree.is_covered_by(self._offered_versions)
        self.dissemination.record_service_answer(sent_at, now, is_current)
        self._record_confirmation(now)

    def _record_confirmation(self, now: datetime.timedelta) -> None:
        age = self.dissemination.find_confirmation_age(now)
        if age is not None:
            self.membership.record_confirmation(now - age)

    def pop_outcomes(self) -> list[Any]:
        """Return the outcomes of offered subtrees, each once."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def plan_gossip(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield the plan of this round's gossip pull."""
        self.advance(now)
        target = self.membership.choose_peer(self._random)
        if target is not None:
            yield self._plan_gossip(target, now)

    def _plan_gossip(self, target: str, now) -> calls.Plan:
        pull = self.membership.make_pull(target, now, self.tree.versions)
        result = yield from calls.call_member(
            target, pull, self._peer_timeout, now
        )
        if result.message is None:
            return
        reply, now = result.message, result.ended_at
        self.membership.merge_reply(target, reply, result.sent_at, now)
        if self.tree.is_behind(reply.subtree_versions):
            now = yield from self._plan_subtree_fetch(target, now)
        yield from self._plan_view_fetch(now)

    def plan_confirmations(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield the plans of the pulls that confirm the configuration."""
        for target in self.dissemination.list_pull_targets(now):
            yield self._plan_confirmation(target, now)

    def _plan_confirmation(self, target: str, now) -> calls.Plan:
        own = self.dissemination.make_confirmation(now)
        pull = messages.ConfirmationPull(
            self.tree.versions_digest, _to_deciseconds(own.age)
        )
        result = yield from calls.call_member(
            target, pull, self._peer_timeout, now
        )
        if result.message is None:
            self.dissemination.record_pull_failure(target, result.ended_at)
            return
        reply, now = result.message, result.ended_at
        if self.tree.is_behind(reply.subtree_versions):
            now = yield from self._plan_subtree_fetch(target, now)
        # The fetched subtrees may be newer than the reply, never older.
        is_current = (
            reply.versions_digest == self.tree.versions_digest
            or not self.tree.is_behind(reply.subtree_versions)
        )
        reported = confirmation.Confirmation(
            _from_deciseconds(reply.confirmed_age_ds), reply.source
        )
        self.dissemination.record_pull_reply(
            target, reported, result.sent_at, now, is_current
        )
        self._record_confirmation(now)

    def plan_bootstrap(self, target: str, now) -> calls.Plan:
        """Fetch instance list and configuration; return whether both came."""
        fetched = yield from calls.call_member(
            target, messages.FetchView(), self._peer_timeout * 4, now
        )
        if fetched.message is None:
            return False
        self.merge_view(fetched.message, fetched.ended_at)
        yield from self._plan_subtree_fetch(target, fetched.ended_at)
        return bool(self.tree.versions)

    def _plan_subtree_fetch(self, target: str, now: datetime.timedelta):
        """Fetch newer subtrees, whole ones where a delta does not apply."""
        have = dict(self.tree.versions)
        for _ in range(2):
            fetched = yield from calls.call_member(
                target,
                messages.FetchSubtrees(have),
                self._peer_timeout * 4,
                now,
            )
            now = fetched.ended_at
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

    def _plan_view_fetch(self, now: datetime.timedelta):
        wanted_view = self.membership.view_to_fetch
        if wanted_view is None:
            return
        fetched = yield from calls.call_member(
            wanted_view[0], messages.FetchView(), self._peer_timeout, now
        )
        if fetched.message is not None:
            self.merge_view(fetched.message, fetched.ended_at)

    def merge_view(self, reply: messages.ViewReply, now) -> None:
        """Apply a peer's instance list if it is newer."""
        members = tuple(view.Member(*row) for row in reply.members)
        published = view.MembershipView(reply.version, members)
        self.membership.merge_view(published, now)
        self._update_members(self.membership.table.view)

    def handle_message(self, sender: str, message: Any, now) -> Any:
        """Return the reply to a control message, or raise PeerError."""
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
                return self.make_view_reply()
        kind = type(message).__name__
        raise errors.make_error('message_undecodable', kind)

    def _answer_confirmation(
        self, sender: str, pull: messages.ConfirmationPull, now
    ) -> messages.ConfirmationReply:
        age = _from_deciseconds(pull.confirmed_age_ds)
        if self.dissemination.record_pull_age(sender, age, now):
            self._background_plans.append(self._plan_confirmation(sender, now))
        own = self.dissemination.make_confirmation(now)
        digest = self.tree.versions_digest
        same = pull.versions_digest == digest
        return messages.ConfirmationReply(
            _to_deciseconds(own.age),
            own.source,
            digest,
            {} if same else dict(self.tree.versions),
        )

    def pop_background_plans(self) -> list[calls.Plan]:
        """Return the plans that became due, each once."""
        plans, self._background_plans = self._background_plans, []
        return plans

    def make_view_reply(self) -> messages.ViewReply:
        """Return the reply with the instance list."""
        listed = self.membership.table.view
        rows = tuple(tuple(member) for member in listed.members)
        return messages.ViewReply(listed.version, rows)

    def decide_keyed(
        self, now: datetime.timedelta
    ) -> confirmation.KeyedDecision:
        """Decide whether keyed requests may be served now."""
        members = len(self.membership.table.view.members)
        return self.dissemination.decide_keyed(
            now, self._iterate_heartbeat_ages(now), members
        )

    def _iterate_heartbeat_ages(
        self, now
    ) -> Iterable[confirmation.HeartbeatAges]:
        # A generator, since the values are needed only if the confirmation is
        # old.
        heartbeats = self.membership.list_heartbeats(now)
        for name, (age, confirmed_age) in heartbeats.items():
            if name != self.membership.table.name:
                yield confirmation.HeartbeatAges(age, confirmed_age)

    def list_serving(self, now: datetime.timedelta) -> frozenset[str]:
        """Return the members that callers may be sent to.

        If some members have a confirmed configuration, the members without one
        are left out, since they refuse keyed requests.
        """
        heartbeats = self.membership.list_heartbeats(now)
        confirmed = frozenset(
            name for name, (_, age) in heartbeats.items() if age is not None
        )
        own_name = frozenset((self.membership.table.name,))
        return (confirmed or self.membership.alive_members) | own_name


def _list_versions(offers) -> Iterable[tuple[str, int]]:
    for offer in offers:
        manifest = subtrees.read_manifest(offer)
        if isinstance(manifest, subtrees.Manifest):
            yield offer.team, manifest.version


def _to_deciseconds(age: datetime.timedelta | None) -> int:
    return -1 if age is None else math.ceil(age.total_seconds() * 10)


def _from_deciseconds(age_ds: int) -> datetime.timedelta | None:
    return None if age_ds < 0 else datetime.timedelta(seconds=age_ds / 10)
