"""Holder of one pool: the backend servers of a service in one domain.

Public methods take times as datetime.timedelta. Internally times are float
seconds, because every request reads them many times.
"""

import datetime
import random as random_module
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process.leased import fair_queue
from cranberryscale.process.leased import permit_issuer
from cranberryscale.process.leased import server_stats
from cranberryscale.process.leased import slot_selection
from cranberryscale.version import configuration as configurations


__all__ = ['DeferredReply', 'PermitDeferral', 'PoolHolder', 'PoolTiming']

PoolTiming = permit_issuer.PoolTiming
DeferredReply = permit_issuer.DeferredReply

_NO_HOLDER_RETRY_S = 0.25


class PermitDeferral(NamedTuple):
    """Reply to a queued request; its DeferredReply has the same ticket."""

    ticket: int


class PoolHolder:
    """Admission control of a pool, active while this instance holds its lease.

    Every method that may grant permits takes the current lease (attributes
    `since` and `until`) or None. When `since` changes, all state is dropped
    and a survey of the members begins, which asks them for their permits in
    use. Call `advance` at least every 0.1 s.
    """

    def __init__(
        self,
        service: str,
        domain: str,
        random: random_module.Random,
        timing: PoolTiming = PoolTiming(),
    ):
        self._service = service
        self._domain = domain
        self._random = random
        self._timing = timing
        self._configuration = configurations.Configuration()
        self._members: frozenset[str] = frozenset()
        self._removed_at_s: dict[str, float] = {}
        self._stats_by_domain: dict[str, server_stats.RemoteStats] = {}
        self._issuer: permit_issuer.PermitIssuer | None = None
        self._next_ticket = 1
        self._deferred_replies: list[DeferredReply] = []

    def load_servers(
        self,
        configuration: configurations.Configuration,
        now: datetime.timedelta,
    ) -> None:
        """Replace the configuration; servers taken out get no permits."""
        self._configuration = configuration
        if self._issuer:
            self._load_issuer(self._issuer, now.total_seconds())

    def load_members(
        self, members: frozenset[str], now: datetime.timedelta
    ) -> None:
        """Replace the names of the instances that may hold permits."""
        removed = self._members - members
        self._removed_at_s |= dict.fromkeys(removed, now.total_seconds())
        self._members = members
        self._list_members_to_survey(now.total_seconds())

    def list_unsurveyed(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[str, ...]:
        """Return the members to send SurveyPool to, this one included."""
        issuer = self._find_issuer(lease, now)
        if issuer is None:
            return ()
        return issuer.survey.list_pending(now.total_seconds())

    def record_survey_reply(
        self,
        sender: str,
        reply: messages.SurveyReply,
        lease: Any,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        """Add a member's permits in use and return deferred replies.

        Pass only replies to SurveyPool messages sent under this lease.
        """
        issuer = self._find_issuer(lease, now)
        if issuer is not None:
            issuer.record_survey_reply(sender, reply, now.total_seconds())
        return self._collect_replies(issuer, now)

    def request_permit(
        self,
        request: messages.TakePermit,
        sender: str,
        lease: Any,
        now: datetime.timedelta,
    ) -> messages.PermitGrant | messages.PermitDenial | PermitDeferral:
        """Grant, deny or queue a permit for the sending instance.

        After a PermitDeferral, call `advance`: it may reply to this or to
        other requests.
        """
        issuer = self._find_issuer(lease, now)
        if issuer is None:
            return messages.PermitDenial(
                'pool_unavailable', _NO_HOLDER_RETRY_S
            )
        ticket, self._next_ticket = self._next_ticket, self._next_ticket + 1
        now_s = now.total_seconds()
        remaining_s = request.remaining_s * (1 + self._timing.drift_ratio)
        queued = fair_queue.QueuedRequest(
            now_s + remaining_s, ticket, now_s, sender, request
        )
        reply = issuer.request_permit(queued, now_s)
        return PermitDeferral(ticket) if reply is None else reply

    def finish_permit(
        self,
        report: messages.PermitReport,
        sender: str,
        lease: Any,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        """Record the end of a request and return deferred replies."""
        issuer = self._find_issuer(lease, now)
        if issuer is not None:
            issuer.finish_permit(report, sender, now.total_seconds())
        return self._collect_replies(issuer, now)

    def advance(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[DeferredReply, ...]:
        """Expire permits, evaluate the servers and return deferred replies."""
        return self._collect_replies(self._find_issuer(lease, now), now)

    def cancel_ticket(self, ticket: int) -> None:
        """Remove a queued request whose sender no longer waits."""
        if self._issuer:
            self._issuer.cancel(ticket)

    def record_summary(
        self,
        domain: str,
        reply: messages.PoolSummaryReply,
        now: datetime.timedelta,
    ) -> None:
        """Record statistics of the service's servers in another domain."""
        stats = self._stats_by_domain.setdefault(
            domain, server_stats.RemoteStats()
        )
        stats.record_summary(reply.servers, now.total_seconds())

    def summarize(self, now: datetime.timedelta) -> messages.PoolSummaryReply:
        """Return recent server statistics for holders in the other domains."""
        if self._issuer is None:
            return messages.PoolSummaryReply(())
        return self._issuer.summarize(now.total_seconds())

    def list_server_snapshots(
        self, lease: Any, now: datetime.timedelta
    ) -> tuple[slot_selection.ServerSnapshot, ...]:
        """Return the state of each server, for operators."""
        issuer = self._find_issuer(lease, now)
        return (
            issuer.list_server_snapshots(now.total_seconds()) if issuer else ()
        )

    def _list_members_to_survey(self, now_s: float) -> frozenset[str]:
        """Return the members and those removed within the request limit.

        Requests of a removed member may still be running for that long.
        """
        limit_s = self._timing.request_limit.total_seconds()
        self._removed_at_s = {
            name: removed_at_s
            for name, removed_at_s in self._removed_at_s.items()
            if now_s - removed_at_s < limit_s and name not in self._members
        }
        return self._members | frozenset(self._removed_at_s)

    def _load_issuer(
        self, issuer: permit_issuer.PermitIssuer, now_s: float
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
        issuer.load_service(service, servers, out, now_s)

    def _find_issuer(
        self, lease: Any, now: datetime.timedelta
    ) -> permit_issuer.PermitIssuer | None:
        """Return the issuer of this lease, a new one if the lease is new."""
        previous = self._issuer
        if lease is not None and lease.until <= now:
            lease = None
        if previous is not None and (
            lease is None or lease.since != previous.since
        ):
            self._deferred_replies.extend(previous.close())
            self._issuer = None
        if lease is None:
            return None
        if self._issuer is None:
            self._issuer = permit_issuer.PermitIssuer(
                lease.since,
                self._list_members_to_survey(now.total_seconds()),
                self._stats_by_domain,
                f'{self._random.getrandbits(48):012x}',
                self._timing,
            )
            self._load_issuer(self._issuer, now.total_seconds())
        self._issuer.until_s = lease.until.total_seconds()
        return self._issuer

    def _collect_replies(
        self,
        issuer: permit_issuer.PermitIssuer | None,
        now: datetime.timedelta,
    ) -> tuple[DeferredReply, ...]:
        closed, self._deferred_replies = tuple(self._deferred_replies), []
        if issuer is None:
            return closed
        return closed + tuple(issuer.advance(now.total_seconds()))
