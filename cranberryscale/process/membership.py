"""Membership by pull-based gossip, and suspicion of unresponsive members.

Only replies to this instance's own pulls carry fresh heartbeats: a heartbeat
counts from the time the pull was sent minus the age in the reply, so a delay
in either direction only makes it older.
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
    """Table of members' heartbeats, which also updates the lease table."""

    def __init__(self, table: leases.LeaseTable, now: datetime.timedelta):
        self.table = table
        self.terms = table.terms
        self.unlisted_heartbeat_count = 0
        self._listening_since = now
        self._advanced_at = now
        self._listed_ids: frozenset[int] = frozenset()
        self._heartbeats: dict[int, gossip.Heartbeat] = {}
        self._member_health: dict[str, failure_detector.MemberHealth] = {}
        self._confirmed_at: datetime.timedelta | None = None
        self._decoder = gossip.Decoder()
        self._peer_selector = peer_selection.PeerSelector()
        self._view_to_fetch: tuple[str, int] | None = None
        self._view_wanted_at = now - table.terms.lease

    @property
    def is_superseded(self) -> bool:
        """Return whether a newer incarnation uses this instance's name."""
        return self.table.is_retired

    @property
    def view_to_fetch(self) -> tuple[str, int] | None:
        """Return the target of the next FetchView and its list version.

        None if no list has to be fetched.
        """
        return self._view_to_fetch

    @property
    def alive_members(self) -> frozenset[str]:
        """Return the listed members that are not suspected."""
        own_name = {self.table.name} & self.table.view.names
        return own_name | {
            name
            for name, health in self._member_health.items()
            if health.alive
        }

    def load_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow a published instance list, which may be an older one."""
        self.table.load_view(published, now)
        listed = self.table.member_ids
        self._member_health = {
            name: self._member_health.get(
                name, failure_detector.MemberHealth()
            )
            for name in listed
            if name != self.table.name
        }
        self._listed_ids = frozenset(listed.values())
        self._heartbeats = {
            member: heartbeat
            for member, heartbeat in self._heartbeats.items()
            if member in self._listed_ids
        }
        self._view_to_fetch = None
        self.advance(now)

    def merge_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow an instance list from another instance if it is newer.

        The members of an older list are remembered, so that grants of
        instances that follow it can be evaluated.
        """
        if published.version > self.table.view.version:
            self.load_view(published, now)
        else:
            self.table.merge_view(published, now)
            self._view_to_fetch = None

    def record_confirmation(self, at: datetime.timedelta) -> None:
        """Record when this instance's configuration was confirmed."""
        if self._confirmed_at is None or at > self._confirmed_at:
            self._confirmed_at = at

    def advance(self, now: datetime.timedelta) -> None:
        """Update suspicions and leases; `make_pull` calls it each time.

        Only this call changes what the instance grants. After a pause of its
        own the instance has received no heartbeats, so it suspects no further
        member until it has listened for the suspicion timeout.
        """
        if now - self._advanced_at > self.terms.suspect / 2:
            self._listening_since = now
        self._advanced_at = max(now, self._advanced_at)
        for name, health in self._member_health.items():
            heartbeat = self._heartbeats.get(self.table.member_ids[name])
            if heartbeat is None:
                continue
            if not health.alive or now - heartbeat.at > self.terms.suspect:
                self._member_health[name] = (
                    failure_detector.evaluate_member_health(
                        health,
                        now - heartbeat.at,
                        now - self._listening_since,
                        now,
                        self.terms.suspect,
                    )
                )
        incarnations = {
            name: self._heartbeats[
                self.table.member_ids[name]
            ].identity.incarnation
            for name, health in self._member_health.items()
            if health.alive
        }
        incarnations[self.table.name] = self.table.incarnation
        self.table.set_alive(incarnations, now)

    def choose_peer(
        self, rng: random.Random, parent: str | None = None
    ) -> str | None:
        """Return the member to pull from next, None if there is none."""
        ring = {self.table.name} | {
            name
            for name, health in self._member_health.items()
            if health.alive or health.fresh_since is not None
        }
        stale = self._member_health.keys() - ring
        if parent not in self._member_health:
            parent = None
        return self._peer_selector.choose_peer(
            self.table.name,
            sorted(ring),
            sorted(stale),
            parent,
            rng,
        )

    def make_pull(
        self,
        target: str,
        now: datetime.timedelta,
        subtree_versions: Mapping[str, int],
    ) -> messages.GossipPull:
        """Return the pull to send to a member now."""
        self._peer_selector.record_pull(target)
        self.advance(now)
        identities = gossip.list_identities(
            self._collect_heartbeats(now).values()
        )
        return messages.GossipPull(
            self.table.member_ids.get(self.table.name, 0),
            self.table.incarnation,
            self._decoder.remember_identities(identities),
            self.table.view.version,
            dict(subtree_versions),
        )

    def answer_pull(
        self,
        pull: messages.GossipPull,
        now: datetime.timedelta,
        subtree_versions: Mapping[str, int],
    ) -> messages.GossipReply:
        """Return the reply to a pull: the table of members.

        A pull may have been delayed in the network, so it is not a heartbeat
        of its sender, but it shows the sender's incarnation.
        """
        sender = lease_grants.Identity(pull.member, pull.incarnation)
        self._record_incarnation(sender, now)
        reply = gossip.encode_heartbeats(
            self._collect_heartbeats(now), pull, now, self.terms.drift_ratio
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
        """Merge the newer entries of the reply to a pull sent at `sent_at`.

        Raises MessageUndecodable, without any change, if the reply is
        malformed.
        """
        named = self._decoder.find_identities(reply)
        heartbeats = self._decoder.decode_heartbeats(reply, named, sent_at)
        self._peer_selector.record_reply(sender)
        self._check_peer_view(sender, reply.view_version, named, now)
        # A reply without identities refers to ones that this instance sent.
        for identity in named if reply.identities else ():
            self._record_incarnation(identity, now)
        own_id = self.table.member_ids.get(self.table.name)
        for heartbeat in heartbeats:
            if heartbeat.identity.member not in self._listed_ids:
                self.unlisted_heartbeat_count += 1
            elif heartbeat.identity.member != own_id:
                self._record_heartbeat(heartbeat)
        self.table.renew(now)

    def list_heard_one_way(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return members with fresh heartbeats that leave pulls unanswered."""
        return tuple(
            name
            for name, age in sorted(self.list_heartbeat_ages(now).items())
            if age <= self.terms.suspect
            and self._peer_selector.is_unresponsive(name)
        )

    def list_heartbeat_ages(
        self, now: datetime.timedelta
    ) -> dict[str, datetime.timedelta]:
        """Return the age of each other member's latest heartbeat."""
        return {
            name: now - self._heartbeats[self.table.member_ids[name]].at
            for name in self._member_health
            if self.table.member_ids[name] in self._heartbeats
        }

    def list_confirmation_ages(
        self, now: datetime.timedelta, within: datetime.timedelta
    ) -> dict[str, datetime.timedelta | None]:
        """Return the configuration ages of members with a recent heartbeat.

        Heartbeats up to the age `within` are recent. This instance is
        included; None stands for never confirmed, or too long ago to be
        relayed.
        """
        own_age = (
            None if self._confirmed_at is None else now - self._confirmed_at
        )
        ages = {self.table.name: own_age}
        for name, age in self.list_heartbeat_ages(now).items():
            if age <= within:
                known = self._heartbeats[
                    self.table.member_ids[name]
                ].confirmed_age
                ages[name] = None if known is None else known + age
        return ages

    def list_heartbeats(
        self, now: datetime.timedelta
    ) -> dict[str, tuple[datetime.timedelta, datetime.timedelta | None]]:
        """Return the age of each member's latest heartbeat.

        The second value is the age of the member's confirmation at that
        moment, None for never or too long ago.
        """
        own_age = (
            None if self._confirmed_at is None else now - self._confirmed_at
        )
        return {self.table.name: (datetime.timedelta(0), own_age)} | {
            name: (
                age,
                self._heartbeats[self.table.member_ids[name]].confirmed_age,
            )
            for name, age in self.list_heartbeat_ages(now).items()
        }

    def _check_peer_view(
        self,
        sender: str,
        version: int,
        identities: tuple[lease_grants.Identity, ...],
        now: datetime.timedelta,
    ) -> None:
        is_known = self.table.member_directory.is_known
        has_unknown_members = any(
            not is_known(identity.member) for identity in identities
        )
        if has_unknown_members or version > self.table.view.version:
            if now - self._view_wanted_at >= self.terms.lease / 4:
                self._view_to_fetch = (sender, version)
                self._view_wanted_at = now

    def _collect_heartbeats(
        self, now: datetime.timedelta
    ) -> dict[int, gossip.Heartbeat]:
        drift_factor = 1 + self.terms.drift_ratio
        heartbeats = {
            member: heartbeat
            for member, heartbeat in self._heartbeats.items()
            if now - heartbeat.at <= gossip.MAX_HEARTBEAT_AGE / drift_factor
        }
        own_id = self.table.member_ids.get(self.table.name)
        if own_id is not None and not self.is_superseded:
            confirmed_age = None
            if self._confirmed_at is not None:
                confirmed_age = now - self._confirmed_at
            heartbeats[own_id] = gossip.Heartbeat(
                now,
                lease_grants.Identity(own_id, self.table.incarnation),
                self.table.make_grants(now),
                confirmed_age,
            )
        return heartbeats

    def _record_incarnation(
        self, identity: lease_grants.Identity, now: datetime.timedelta
    ) -> None:
        """Discard the heartbeats of earlier incarnations of a member."""
        if identity.member == self.table.member_ids.get(self.table.name):
            if identity.incarnation > self.table.incarnation:
                self.table.retire()
            return
        known = self._heartbeats.get(identity.member)
        at = known.at if known else now - 2 * gossip.MAX_HEARTBEAT_AGE
        if identity.incarnation and identity.member in self._listed_ids:
            if not known or identity.incarnation > known.identity.incarnation:
                self._record_heartbeat(gossip.Heartbeat(at, identity))

    def _record_heartbeat(self, heartbeat: gossip.Heartbeat) -> None:
        if gossip.is_newer(
            heartbeat, self._heartbeats.get(heartbeat.identity.member)
        ):
            self._heartbeats[heartbeat.identity.member] = heartbeat
            self.table.record_grants(
                lease_grants.GrantAnnouncement(
                    heartbeat.at, heartbeat.identity, heartbeat.grants
                )
            )
