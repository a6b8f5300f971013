"""Leases: resources that a quorum of members grants to this instance."""

from collections.abc import Mapping
import datetime
from typing import NamedTuple

from cranberryscale.process import lease_grants
from cranberryscale.version import view


__all__ = ['Lease', 'LeaseTable', 'LeaseTerms']


class LeaseTerms(NamedTuple):
    """Hold the times that all instances agree on.

    `drift_ratio` bounds how much faster one instance's clock may run than
    another's.
    """

    lease: datetime.timedelta
    suspect: datetime.timedelta
    drift_ratio: float

    @property
    def wait(self) -> datetime.timedelta:
        """Return how long a member grants to nobody before a new holder."""
        return self.lease * (1 + self.drift_ratio)


class Lease(NamedTuple):
    """Describe a held resource; times are of this process's clock.

    `since` changes whenever the lease was interrupted.
    """

    resource: view.LeasedResource
    since: datetime.timedelta
    until: datetime.timedelta


class _Known(NamedTuple):
    spoken: lease_grants.GrantAnnouncement
    answers: lease_grants.GrantEvaluation


class LeaseTable:
    """Own the grants that this instance gives and the leases it holds.

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
        self._started = now
        self._retired = False
        self._identity: lease_grants.Identity | None = None
        self._ids: dict[str, int] = {}
        self._cells: dict[str, tuple[int, ...]] = {}
        self._alive: Mapping[str, int] = {}
        self._eligible: dict[int, int] = {}
        self._changed: dict[int, datetime.timedelta] = {}
        self._known: dict[int, _Known] = {}
        self._pending: dict[int, lease_grants.GrantAnnouncement] = {}
        self._given: lease_grants.LeaseGrants | None = None
        self._holders: dict[view.LeasedResource, str | None] = {}
        self._leases: dict[view.LeasedResource, Lease] = {}
        self._missed: set[view.LeasedResource] = set()

    @property
    def ids(self) -> Mapping[str, int]:
        """Return the hashes of the listed members without a collision."""
        return self._ids

    @property
    def retired(self) -> bool:
        """Tell whether a newer incarnation took this instance's name."""
        return self._retired

    def retire(self) -> None:
        """Stop granting and holding for good."""
        self._retired = True
        self._leases.clear()

    def load_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Follow a published list, which may be older than the present."""
        self.view = published
        self.merge_view(published, now)
        hashes = {
            member.name: lease_grants.hash_member(member.name, member.domain)
            for member in published.members
        }
        self._ids = {
            name: member
            for name, member in hashes.items()
            if self.directory.knows(member)
        }
        self._identity = None
        if self.name in self._ids:
            self._identity = lease_grants.Identity(
                self._ids[self.name], self.incarnation
            )
        self._cells = {
            cell: tuple(
                hashes[member.name]
                for member in view.list_scope_members(published, cell)
            )
            for cell in (view.REGION_SCOPE, *published.domains)
        }
        for gone in self._known.keys() - set(self._ids.values()):
            del self._known[gone]
        self._update_eligible(now)
        self.renew(now)

    def merge_view(
        self, published: view.MembershipView, now: datetime.timedelta
    ) -> None:
        """Remember the members of a list without following it."""
        self.directory.learn_view(published, now)
        spoken = [known.spoken for known in self._known.values()]
        spoken.extend(self._pending.values())
        self._known.clear()
        self._pending.clear()
        for each in spoken:
            self.learn_grants(each)

    def set_alive(
        self, incarnations: Mapping[str, int], now: datetime.timedelta
    ) -> None:
        """Set which members are not suspected, with their incarnations."""
        if incarnations != self._alive:
            self._alive = dict(incarnations)
            self._update_eligible(now)
        self.renew(now)

    def learn_grants(self, spoken: lease_grants.GrantAnnouncement) -> None:
        """Take over what a member said that it grants.

        Grants that name unknown members wait for a list that has them; the
        member's earlier grants count meanwhile, until they expire.
        """
        member = spoken.identity.member
        known = self._known.get(member)
        if known and known.spoken.identity != spoken.identity:
            self._known.pop(member)
        self._pending.pop(member, None)
        if spoken.grants is None:
            self._known.pop(member, None)
        elif (found := self.directory.find_answers(spoken.grants)) is None:
            self._pending[member] = spoken
        else:
            self._known[member] = _Known(spoken, found)

    def make_grants(
        self, now: datetime.timedelta
    ) -> lease_grants.LeaseGrants | None:
        """Return what this instance grants now, None for nothing."""
        if self._retired:
            return None
        if self._given is not None:
            return self._given
        wait = self.terms.wait
        self._changed = {
            member: at
            for member, at in self._changed.items()
            if lease_grants.is_waiting(at, now, wait)
        }
        given = lease_grants.make_grants(
            self._eligible, self._changed, self._started, now, wait
        )
        # Without recent changes the grants stay as they are.
        self._given = None if self._changed else given
        return given

    def renew(self, now: datetime.timedelta) -> None:
        """Extend or end the leases after grants changed."""
        self._missed.clear()
        self._learn_own(now)
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
        if lease is None and resource not in self._missed:
            lease = self._renew_lease(resource, now)
        return lease if lease and now < lease.until else None

    def _update_eligible(self, now: datetime.timedelta) -> None:
        eligible = {
            self._ids[member.name]: self._alive[member.name]
            for member in self.view.members
            if not member.leaving
            and member.name in self._alive
            and member.name in self._ids
        }
        before, self._eligible = self._eligible, eligible
        self._holders.clear()
        # Nothing was granted yet before the first waiting time is over.
        if not lease_grants.is_waiting(self._started, now, self.terms.wait):
            self._changed.update(
                (member, now)
                for member in before.keys() | eligible.keys()
                if before.get(member) != eligible.get(member)
            )
        self._given = None

    def _is_granted(
        self, known: _Known, resource: view.LeasedResource
    ) -> bool:
        found = known.answers.found.get(resource)
        if found is None:
            found = self.directory.choose_grantee(known.answers, resource)
        return found == self._identity

    def _learn_own(self, now: datetime.timedelta) -> None:
        if self._identity is not None:
            given = self.make_grants(now)
            self.learn_grants(
                lease_grants.GrantAnnouncement(now, self._identity, given)
            )

    def _renew_lease(
        self, resource: view.LeasedResource, now: datetime.timedelta
    ) -> Lease | None:
        """Evaluate the grants of a resource, extending its present lease.

        The instance also has to be the holder under its own assignment, so
        it never holds what it would ask another instance for.
        """
        before = self._leases.get(resource)
        until = None
        if self._identity is not None and not self._retired:
            if self.find_holder(resource) == self.name:
                until = self._count_until(resource)
        if until is None or until <= now:
            self._leases.pop(resource, None)
            self._missed.add(resource)
            return None
        continued = before is not None and now < before.until
        since = before.since if continued else now
        self._leases[resource] = Lease(resource, since, until)
        return self._leases[resource]

    def _count_until(
        self, resource: view.LeasedResource
    ) -> datetime.timedelta | None:
        cell = self._cells.get(resource.scope, ())
        known = (self._known[each] for each in cell if each in self._known)
        return lease_grants.find_quorum_expiry(
            (
                each.spoken.at
                for each in known
                if self._is_granted(each, resource)
            ),
            view.count_quorum(len(cell)),
            self.terms.lease,
        )
