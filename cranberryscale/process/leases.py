"""Leases on resources, granted to this instance by a quorum of members."""

from collections.abc import Mapping
import datetime
from typing import NamedTuple

from cranberryscale.process import lease_grants
from cranberryscale.version import view


__all__ = ['Lease', 'LeaseTable', 'LeaseTerms']


class LeaseTerms(NamedTuple):
    """Durations of leases; all instances use the same.

    `lease` is how long a grant is valid, `suspect` the age of the latest
    heartbeat at which a member is suspected. `drift_ratio` bounds how much
    faster the clock of one instance may run than that of another.
    """

    lease: datetime.timedelta
    suspect: datetime.timedelta
    drift_ratio: float

    @property
    def wait(self) -> datetime.timedelta:
        """Return how long a member grants to nobody before a new holder."""
        return self.lease * (1 + self.drift_ratio)


class Lease(NamedTuple):
    """Resource held by this instance; times are of its own clock.

    `since` changes whenever the lease was interrupted.
    """

    resource: view.LeasedResource
    since: datetime.timedelta
    until: datetime.timedelta


class _KnownGrants(NamedTuple):
    announcement: lease_grants.GrantAnnouncement
    evaluation: lease_grants.GrantEvaluation


class LeaseTable:
    """Table of the grants that this instance makes and of its leases.

    It is not safe for concurrent calls; its owner serializes them.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        terms: LeaseTerms,
        now: datetime.timedelta,
    ):
        self.name = name
        self.incarnation = incarnation
        self.terms = terms
        self.view = view.MembershipView(0, ())
        self.directory = lease_grants.MemberDirectory()
        self._started_at = now
        self._retired = False
        self._identity: lease_grants.Identity | None = None
        self._ids: dict[str, int] = {}
        self._scope_members: dict[str, tuple[int, ...]] = {}
        self._alive_incarnations: Mapping[str, int] = {}
        self._eligible: dict[int, int] = {}
        self._changed_at: dict[int, datetime.timedelta] = {}
        self._known: dict[int, _KnownGrants] = {}
        self._pending: dict[int, lease_grants.GrantAnnouncement] = {}
        self._cached_grants: lease_grants.LeaseGrants | None = None
        self._holders: dict[view.LeasedResource, str | None] = {}
        self._leases: dict[view.LeasedResource, Lease] = {}
        self._not_held: set[view.LeasedResource] = set()

    @property
    def member_ids(self) -> Mapping[str, int]:
        """Return the hashes of the listed members that have a unique one."""
        return self._ids

    @property
    def is_retired(self) -> bool:
        """Return whether a newer incarnation uses this instance's name."""
        return self._retired

    def retire(self) -> None:
        """Stop granting and holding leases for good."""
        self._retired = True
        self._leases.clear()

    def load_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow a published instance list, which may be an older one."""
        self.view = published
        self.merge_view(published, now)
        hashes = {
            member.name: lease_grants.hash_member(member.name, member.domain)
            for member in published.members
        }
        self._ids = {
            name: member
            for name, member in hashes.items()
            if self.directory.is_resolvable(member)
        }
        self._identity = None
        if self.name in self._ids:
            self._identity = lease_grants.Identity(
                self._ids[self.name], self.incarnation
            )
        self._scope_members = {
            scope: tuple(
                hashes[member.name]
                for member in view.list_scope_members(published, scope)
            )
            for scope in (view.REGION_SCOPE, *published.domains)
        }
        for gone in self._known.keys() - set(self._ids.values()):
            del self._known[gone]
        self._update_eligible(now)
        self.renew(now)

    def merge_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Remember the members of an instance list without following it."""
        self.directory.add_members(published, now)
        announcements = [known.announcement for known in self._known.values()]
        announcements.extend(self._pending.values())
        self._known.clear()
        self._pending.clear()
        for each in announcements:
            self.record_grants(each)

    def set_alive(
        self, incarnations: Mapping[str, int], now: datetime.timedelta
    ) -> None:
        """Set the members that are not suspected, with their incarnations."""
        if incarnations != self._alive_incarnations:
            self._alive_incarnations = dict(incarnations)
            self._update_eligible(now)
        self.renew(now)

    def record_grants(
        self, announcement: lease_grants.GrantAnnouncement
    ) -> None:
        """Record the grants that a member announced.

        Grants that name unknown members wait for a list that has these; until
        then the member's earlier grants count, until they expire.
        """
        member = announcement.identity.member
        known = self._known.get(member)
        if known and known.announcement.identity != announcement.identity:
            self._known.pop(member)
        self._pending.pop(member, None)
        if announcement.grants is None:
            self._known.pop(member, None)
        elif (
            found := self.directory.find_evaluation(announcement.grants)
        ) is None:
            self._pending[member] = announcement
        else:
            self._known[member] = _KnownGrants(announcement, found)

    def make_grants(
        self, now: datetime.timedelta
    ) -> lease_grants.LeaseGrants | None:
        """Return what this instance grants now, None for nothing."""
        if self._retired:
            return None
        if self._cached_grants is not None:
            return self._cached_grants
        wait = self.terms.wait
        self._changed_at = {
            member: at
            for member, at in self._changed_at.items()
            if lease_grants.is_waiting(at, now, wait)
        }
        grants = lease_grants.make_grants(
            self._eligible, self._changed_at, self._started_at, now, wait
        )
        # Without recent changes the grants stay the same and can be cached.
        self._cached_grants = None if self._changed_at else grants
        return grants

    def renew(self, now: datetime.timedelta) -> None:
        """Extend or end the leases after a change of grants."""
        self._not_held.clear()
        self._record_own_grants(now)
        for resource in tuple(self._leases):
            self._renew_lease(resource, now)

    def find_holder(self, resource: view.LeasedResource) -> str | None:
        """Return the member that this instance asks for a resource."""
        try:
            return self._holders[resource]
        except KeyError:
            pass
        suspected = self.view.names - {
            self.directory.get_name(member) for member in self._eligible
        }
        found = view.choose_holder(self.view, resource, suspected)
        self._holders[resource] = found
        return found

    def find_lease(
        self, resource: view.LeasedResource, now: datetime.timedelta
    ) -> Lease | None:
        """Return this instance's lease on a resource, None if not held."""
        lease = self._leases.get(resource)
        if lease is None and resource not in self._not_held:
            lease = self._renew_lease(resource, now)
        return lease if lease and now < lease.until else None

    def _update_eligible(self, now: datetime.timedelta) -> None:
        eligible = {
            self._ids[member.name]: self._alive_incarnations[member.name]
            for member in self.view.members
            if not member.leaving
            and member.name in self._alive_incarnations
            and member.name in self._ids
        }
        before, self._eligible = self._eligible, eligible
        self._holders.clear()
        # Before the end of the first waiting time nothing was granted yet.
        if not lease_grants.is_waiting(self._started_at, now, self.terms.wait):
            self._changed_at.update(
                (member, now)
                for member in before.keys() | eligible.keys()
                if before.get(member) != eligible.get(member)
            )
        self._cached_grants = None

    def _is_granted(
        self, known: _KnownGrants, resource: view.LeasedResource
    ) -> bool:
        found = known.evaluation.found.get(resource)
        if found is None:
            found = self.directory.choose_grantee(known.evaluation, resource)
        return found == self._identity

    def _record_own_grants(self, now: datetime.timedelta) -> None:
        if self._identity is not None:
            grants = self.make_grants(now)
            self.record_grants(
                lease_grants.GrantAnnouncement(now, self._identity, grants)
            )

    def _renew_lease(
        self, resource: view.LeasedResource, now: datetime.timedelta
    ) -> Lease | None:
        """Evaluate the grants of a resource; extend, start or end its lease.

        The instance also has to be the holder under its own assignment, so it
        never holds a resource for which it would ask another instance.
        """
        before = self._leases.get(resource)
        until = None
        if self._identity is not None and not self._retired:
            if self.find_holder(resource) == self.name:
                until = self._find_expiry(resource)
        if until is None or until <= now:
            self._leases.pop(resource, None)
            self._not_held.add(resource)
            return None
        continued = before is not None and now < before.until
        since = before.since if continued else now
        self._leases[resource] = Lease(resource, since, until)
        return self._leases[resource]

    def _find_expiry(
        self, resource: view.LeasedResource
    ) -> datetime.timedelta | None:
        members = self._scope_members.get(resource.scope, ())
        known = (self._known[each] for each in members if each in self._known)
        return lease_grants.find_quorum_expiry(
            (
                each.announcement.at
                for each in known
                if self._is_granted(each, resource)
            ),
            view.count_quorum(len(members)),
            self.terms.lease,
        )
