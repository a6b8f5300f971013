"""Signs of life of members, spread by pulls, and suspicion.

Only replies to this instance's own pulls carry freshness: a sign counts
from the time the pull was sent minus the age in the reply, so that delays
in either direction only make it older.
"""

from collections.abc import Mapping
import datetime
import random

from cranberryscale import messages
from cranberryscale.process import failure_detector
from cranberryscale.process import gossip
from cranberryscale.process import lease_grants
from cranberryscale.process import leases
from cranberryscale.process import peer_selection
from cranberryscale.version import view


__all__ = ['Membership']


class Membership:
    """Own the table of members and feed the leases from it."""

    def __init__(self, table: leases.LeaseTable, now: datetime.timedelta):
        self.table = table
        self.terms = table.terms
        self.foreign_signs = 0
        self._listening_since = now
        self._advanced_at = now
        self._listed: frozenset[int] = frozenset()
        self._signs: dict[int, gossip.Heartbeat] = {}
        self._health: dict[str, failure_detector.MemberHealth] = {}
        self._confirmed_at: datetime.timedelta | None = None
        self._decoder = gossip.Decoder()
        self._peers = peer_selection.PeerSelector()
        self._wanted: tuple[str, int] | None = None
        self._wanted_at = now - table.terms.lease

    @property
    def is_superseded(self) -> bool:
        """Tell whether a newer incarnation took this instance's name."""
        return self.table.retired

    @property
    def view_to_fetch(self) -> tuple[str, int] | None:
        """Return whom to send FetchView, and its list version, or None."""
        return self._wanted

    @property
    def alive(self) -> frozenset[str]:
        """Return the listed members that are not suspected."""
        own = {self.table.name} & self.table.view.names
        return own | {
            name for name, health in self._health.items() if health.alive
        }

    def load_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow a published list, which may be older than the present."""
        self.table.load_view(published, now)
        listed = self.table.ids
        self._health = {
            name: self._health.get(name, failure_detector.MemberHealth())
            for name in listed
            if name != self.table.name
        }
        self._listed = frozenset(listed.values())
        self._signs = {
            member: sign
            for member, sign in self._signs.items()
            if member in self._listed
        }
        self._wanted = None
        self.advance(now)

    def merge_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow a list from another instance if it is newer.

        Members of an older list are remembered, so that grants of instances
        that follow it can be evaluated.
        """
        if published.version > self.table.view.version:
            self.load_view(published, now)
        else:
            self.table.merge_view(published, now)
            self._wanted = None

    def record_confirmation(self, at: datetime.timedelta) -> None:
        """Record when this instance's configuration was last confirmed."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def advance(self, now: datetime.timedelta) -> None:
        """Update suspicion and leases; `make_pull` does it each time.

        What this instance grants changes here only.
        After a pause of its own an instance has heard nobody and suspects
        nobody anew until it has listened for the suspicion time.
        """
        if now - self._advanced_at > self.terms.suspect / 2:
            self._listening_since = now
        self._advanced_at = max(now, self._advanced_at)
        for name, health in self._health.items():
            sign = self._signs.get(self.table.ids[name])
            if sign is None:
                continue
            if not health.alive or now - sign.at > self.terms.suspect:
                self._health[name] = failure_detector.evaluate_member_health(
                    health,
                    now - sign.at,
                    now - self._listening_since,
                    now,
                    self.terms.suspect,
                )
        incarnations = {
            name: self._signs[self.table.ids[name]].identity.incarnation
            for name, health in self._health.items()
            if health.alive
        }
        incarnations[self.table.name] = self.table.incarnation
        self.table.set_alive(incarnations, now)

    def choose_peer(
        self, source: random.Random, parent: str | None = None
    ) -> str | None:
        """Return whom to pull from next, None when there is nobody."""
        ring = {self.table.name} | {
            name
            for name, health in self._health.items()
            if health.alive or health.fresh_since is not None
        }
        stale = self._health.keys() - ring
        if parent not in self._health:
            parent = None
        return self._peers.choose_peer(
            self.table.name,
            sorted(ring),
            sorted(stale),
            parent,
            source,
        )

    def make_pull(
        self,
        target: str,
        now: datetime.timedelta,
        subtree_versions: Mapping[str, int],
    ) -> messages.GossipPull:
        """Return the pull to send to a member now."""
        self._peers.note_pull(target)
        self.advance(now)
        roster = gossip.list_roster(self._list_signs(now).values())
        return messages.GossipPull(
            self.table.ids.get(self.table.name, 0),
            self.table.incarnation,
            self._decoder.keep_roster(roster),
            self.table.view.version,
            dict(subtree_versions),
        )

    def answer_pull(
        self,
        pull: messages.GossipPull,
        now: datetime.timedelta,
        subtree_versions: Mapping[str, int],
    ) -> messages.GossipReply:
        """Return the table of members.

        The pull is no sign of life, since it may have been on its way for
        long, but it tells the sender's incarnation.
        """
        sender = lease_grants.Identity(pull.member, pull.incarnation)
        self._learn_incarnation(sender, now)
        reply = gossip.encode_signs(
            self._list_signs(now), pull, now, self.terms.drift_ratio
        )
        return reply._replace(
            view_version=self.table.view.version,
            subtree_versions=dict(subtree_versions),
        )

    def merge_reply(
        self,
        sender: str,
        reply: messages.GossipReply,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Take over what is newer in the reply to a pull of `sent_at`.

        Raises MessageUndecodable, changing nothing, when it makes no sense.
        """
        roster = self._decoder.find_roster(reply)
        signs = self._decoder.decode_signs(reply, roster, sent_at)
        self._peers.note_reply(sender)
        self._note_list(sender, reply.view_version, roster, now)
        # Without identities the roster is one of this instance's own.
        for identity in roster if reply.identities else ():
            self._learn_incarnation(identity, now)
        own = self.table.ids.get(self.table.name)
        for sign in signs:
            if sign.identity.member not in self._listed:
                self.foreign_signs += 1
            elif sign.identity.member != own:
                self._learn_sign(sign)
        self.table.renew(now)

    def list_heard_one_way(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the fresh members that do not answer this instance."""
        return tuple(
            name
            for name, age in sorted(self.list_heartbeat_ages(now).items())
            if age <= self.terms.suspect and self._peers.is_silent(name)
        )

    def list_heartbeat_ages(
        self, now: datetime.timedelta
    ) -> dict[str, datetime.timedelta]:
        """Return the ages of the other members' latest signs of life."""
        return {
            name: now - self._signs[self.table.ids[name]].at
            for name in self._health
            if self.table.ids[name] in self._signs
        }

    def list_confirmed_ages(
        self, now: datetime.timedelta, within: datetime.timedelta
    ) -> dict[str, datetime.timedelta | None]:
        """Return the configuration ages of members heard within a time.

        This instance is included; None stands for never or too long ago.
        """
        own = None if self._confirmed_at is None else now - self._confirmed_at
        ages = {self.table.name: own}
        for name, age in self.list_heartbeat_ages(now).items():
            if age <= within:
                known = self._signs[self.table.ids[name]].confirmed_age
                ages[name] = None if known is None else known + age
        return ages

    def list_signs(
        self, now: datetime.timedelta
    ) -> dict[str, tuple[datetime.timedelta, datetime.timedelta | None]]:
        """Return the age of each member's latest sign of life.

        Beside it stands the age of its configuration at that moment.
        """
        own = None if self._confirmed_at is None else now - self._confirmed_at
        return {self.table.name: (datetime.timedelta(0), own)} | {
            name: (age, self._signs[self.table.ids[name]].confirmed_age)
            for name, age in self.list_heartbeat_ages(now).items()
        }

    def _note_list(
        self,
        sender: str,
        version: int,
        roster: tuple[lease_grants.Identity, ...],
        now: datetime.timedelta,
    ) -> None:
        is_listed = self.table.directory.is_listed
        unknown = any(not is_listed(each.member) for each in roster)
        if unknown or version > self.table.view.version:
            if now - self._wanted_at >= self.terms.lease / 4:
                self._wanted = (sender, version)
                self._wanted_at = now

    def _list_signs(
        self, now: datetime.timedelta
    ) -> dict[int, gossip.Heartbeat]:
        grow = 1 + self.terms.drift_ratio
        signs = {
            member: sign
            for member, sign in self._signs.items()
            if now - sign.at <= gossip.LONGEST_AGE / grow
        }
        own = self.table.ids.get(self.table.name)
        if own is not None and not self.is_superseded:
            confirmed_age = None
            if self._confirmed_at is not None:
                confirmed_age = now - self._confirmed_at
            signs[own] = gossip.Heartbeat(
                now,
                lease_grants.Identity(own, self.table.incarnation),
                self.table.make_grants(now),
                confirmed_age,
            )
        return signs

    def _learn_incarnation(
        self, identity: lease_grants.Identity, now: datetime.timedelta
    ) -> None:
        """Drop what is known of earlier incarnations of a member."""
        if identity.member == self.table.ids.get(self.table.name):
            if identity.incarnation > self.table.incarnation:
                self.table.retire()
            return
        known = self._signs.get(identity.member)
        at = known.at if known else now - 2 * gossip.LONGEST_AGE
        if identity.incarnation and identity.member in self._listed:
            if not known or identity.incarnation > known.identity.incarnation:
                self._learn_sign(gossip.Heartbeat(at, identity))

    def _learn_sign(self, sign: gossip.Heartbeat) -> None:
        if gossip.is_newer(sign, self._signs.get(sign.identity.member)):
            self._signs[sign.identity.member] = sign
            self.table.learn_grants(
                lease_grants.GrantAnnouncement(
                    sign.at, sign.identity, sign.grants
                )
            )
