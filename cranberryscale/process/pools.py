"""Permits of one pool: the backend servers of a service in one domain.

Times inside are float seconds, since every request reads them many times;
the interface takes datetime.timedelta.
"""

import datetime
import random as random_module
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import fair_queue
from cranberryscale.process import permit_issuer
from cranberryscale.process import server_stats
from cranberryscale.process import slot_selection
from cranberryscale.version import configuration as configurations


__all__ = ['DeferredReply', 'PermitDeferral', 'PoolHolder', 'PoolTiming']

PoolTiming = permit_issuer.PoolTiming
DeferredReply = permit_issuer.DeferredReply

_NO_HOLDER_RETRY_S = 0.25


class PermitDeferral(NamedTuple):
    """Say that the answer comes later, as a Resolved with this ticket."""

    ticket: int


class PoolHolder:
    """Decide on a pool while this instance holds its lease.

    Every method that may grant takes the current lease (attributes `since`
    and `until`) or None. When `since` changes, all state is dropped and a
    survey of the members begins. Call `advance` at least every 0.1 s.
    """

    def __init__(
        self,
        service: str,
        domain: str,
        random: random_module.Random,
        terms: PoolTiming = PoolTiming(),
    ):
        self._service = service
        self._domain = domain
        self._random = random
        self._terms = terms
        self._configuration = configurations.Configuration()
        self._members: frozenset[str] = frozenset()
        self._removed_s: dict[str, float] = {}
        self._remotes: dict[str, server_stats.RemoteStats] = {}
        self._tenure: permit_issuer.PermitIssuer | None = None
        self._next_ticket = 1
        self._resolved: list[DeferredReply] = []

    def load_servers(
        self,
        configuration: configurations.Configuration,
        now: datetime.timedelta,
    ) -> None:
        """Replace the configuration; servers that are out get no permit."""
        self._configuration = configuration
        if self._tenure:
            self._load_tenure(self._tenure, now.total_seconds())

    def load_members(
        self, members: frozenset[str], now: datetime.timedelta
    ) -> None:
        """Replace the names of the instances that may hold permits."""
        removed = self._members - members
        self._removed_s |= dict.fromkeys(removed, now.total_seconds())
        self._members = members
        self._list_surveyed(now.total_seconds())

    def list_unsurveyed(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[str, ...]:
        """Return the members to send SurveyPool to, this one included."""
        tenure = self._find_tenure(lease, now)
        if tenure is None:
            return ()
        return tenure.survey.list_pending(now.total_seconds())

    def record_survey_reply(
        self,
        sender: str,
        reply: messages.SurveyReply,
        lease: Any,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        """Add a member's permits in use.

        Pass only replies to questions asked under this lease.
        """
        tenure = self._find_tenure(lease, now)
        if tenure is not None:
            tenure.record_survey_reply(sender, reply, now.total_seconds())
        return self._collect(tenure, now)

    def request_permit(
        self,
        request: messages.TakePermit,
        sender: str,
        lease: Any,
        now: datetime.timedelta,
    ) -> messages.PermitGrant | messages.PermitDenial | PermitDeferral:
        """Grant, deny or queue a permit for the sending instance.

        After Queued, call `advance`: it may answer this or other requests.
        """
        tenure = self._find_tenure(lease, now)
        if tenure is None:
            return messages.PermitDenial(
                'pool_unavailable', _NO_HOLDER_RETRY_S
            )
        ticket, self._next_ticket = self._next_ticket, self._next_ticket + 1
        now_s = now.total_seconds()
        remaining_s = request.remaining_s * (1 + self._terms.drift_ratio)
        entry = fair_queue.QueuedRequest(
            now_s + remaining_s, ticket, now_s, sender, request
        )
        reply = tenure.request_permit(entry, now_s)
        return PermitDeferral(ticket) if reply is None else reply

    def finish_permit(
        self,
        report: messages.PermitReport,
        sender: str,
        lease: Any,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        """Take a report and return the queued requests now answered."""
        tenure = self._find_tenure(lease, now)
        if tenure is not None:
            tenure.finish_permit(report, sender, now.total_seconds())
        return self._collect(tenure, now)

    def advance(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[DeferredReply, ...]:
        """Expire, weigh evidence and return the requests now answered."""
        return self._collect(self._find_tenure(lease, now), now)

    def cancel_ticket(self, ticket: int) -> None:
        """Forget a queued request whose instance no longer waits."""
        if self._tenure:
            self._tenure.cancel(ticket)

    def record_summary(
        self,
        domain: str,
        reply: messages.PoolSummaryReply,
        now: datetime.timedelta,
    ) -> None:
        """Take the evidence of another domain's holder of the service."""
        remote = self._remotes.setdefault(domain, server_stats.RemoteStats())
        remote.record_summary(reply.servers, now.total_seconds())

    def summarize(self, now: datetime.timedelta) -> messages.PoolSummaryReply:
        """Return recent evidence for the service's other pool holders."""
        if self._tenure is None:
            return messages.PoolSummaryReply(())
        return self._tenure.summarize(now.total_seconds())

    def list_server_snapshots(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[slot_selection.ServerSnapshot, ...]:
        """Return the state of each server and its reason."""
        tenure = self._find_tenure(lease, now)
        return (
            tenure.list_server_snapshots(now.total_seconds()) if tenure else ()
        )

    def _list_surveyed(self, now_s: float) -> frozenset[str]:
        """Return the members and those removed a short time ago."""
        limit_s = self._terms.request_limit.total_seconds()
        self._removed_s = {
            name: removed_s
            for name, removed_s in self._removed_s.items()
            if now_s - removed_s < limit_s and name not in self._members
        }
        return self._members | frozenset(self._removed_s)

    def _load_tenure(
        self, tenure: permit_issuer.PermitIssuer, now_s: float
    ) -> None:
        servers = self._configuration.list_pool(self._service, self._domain)
        out = frozenset(
            server.name
            for server in servers
            if self._configuration.is_server_out(server)
        )
        service = self._configuration.services.get(
            self._service, configurations.Service(self._service)
        )
        tenure.load(service, servers, out, now_s)

    def _find_tenure(
        self, lease: Any, now: datetime.timedelta
    ) -> permit_issuer.PermitIssuer | None:
        """Return the state under this lease, new if the lease is."""
        old = self._tenure
        if lease is not None and lease.until <= now:
            lease = None
        if old is not None and (lease is None or lease.since != old.since):
            self._resolved.extend(old.close())
            self._tenure = None
        if lease is None:
            return None
        if self._tenure is None:
            self._tenure = permit_issuer.PermitIssuer(
                lease.since,
                self._list_surveyed(now.total_seconds()),
                self._remotes,
                f'{self._random.getrandbits(48):012x}',
                self._terms,
            )
            self._load_tenure(self._tenure, now.total_seconds())
        self._tenure.until_s = lease.until.total_seconds()
        return self._tenure

    def _collect(
        self,
        tenure: permit_issuer.PermitIssuer | None,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        closed, self._resolved = tuple(self._resolved), []
        if tenure is None:
            return closed
        return closed + tuple(tenure.advance(now.total_seconds()))
