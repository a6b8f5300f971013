"""Adapter between the holder of a pool and the simulation."""

from collections.abc import Iterable
import datetime
import random as random_module
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process.leased import pools


__all__ = ['HolderPool', 'FakePoolLease']


class FakePoolLease(NamedTuple):
    """Test double of process.leases.Lease."""

    resource: str
    since: datetime.timedelta
    until: datetime.timedelta


class HolderPool:
    """Pool of one failure domain with a holder and its lease."""

    def __init__(self, simulation: Any, domain: str):
        self._simulation = simulation
        self.domain = domain
        self.holder = pools.PoolHolder(
            'app', domain, random_module.Random(f'{simulation.seed}{domain}')
        )
        self.held_since_s: float | None = 0.0
        self.requests_by_ticket: dict[int, Any] = {}
        self.holder.load_members(simulation.members, self.now)
        self.silent_members: frozenset[str] = frozenset()
        self.load_servers()

    @property
    def now(self) -> datetime.timedelta:
        """Return the simulated time."""
        return datetime.timedelta(seconds=self._simulation.now_s)

    def load_servers(self) -> None:
        """Load the simulation's configuration."""
        self.holder.load_servers(self._simulation.configuration, self.now)

    def replace_holder(self, lost_member: str, takeover_s: float) -> None:
        """End the lease now and start a new one `takeover_s` later.

        The lost member also serves callers, so it replies to no survey.
        """
        self.held_since_s = None
        self.silent_members = frozenset((lost_member,))
        self._simulation.schedule(
            self._simulation.now_s + takeover_s, self._start_holding
        )

    def _start_holding(self) -> None:
        self.held_since_s = self._simulation.now_s

    @property
    def lease(self) -> FakePoolLease | None:
        """Return the current lease, None between two holders."""
        if self.held_since_s is None:
            return None
        since = datetime.timedelta(seconds=self.held_since_s)
        return FakePoolLease(
            'pool', since, self.now + datetime.timedelta(seconds=8)
        )

    def ask_permit(self, request: Any) -> None:
        """Request a permit; the simulation gets the reply, now or later."""
        message = messages.TakePermit(
            'app',
            self.domain,
            request.request_id,
            request.customer,
            request.deadline_s - self._simulation.now_s,
            request.excluded,
            request.probe_ok,
        )
        reply = self.holder.request_permit(
            message, request.instance, self.lease, self.now
        )
        if isinstance(reply, pools.PermitDeferral):
            self.requests_by_ticket[reply.ticket] = request
            self._deliver_replies(self.holder.advance(self.lease, self.now))
        else:
            self._simulation.handle_permit_reply(self, request, reply)

    def report_permit(self, request: Any, report: Any) -> None:
        """Report a finished request to the holder."""
        self._deliver_replies(
            self.holder.finish_permit(
                report, request.instance, self.lease, self.now
            )
        )

    def run_due_work(self) -> None:
        """Answer the holder's survey and advance its queue."""
        for member in self.holder.list_unsurveyed(self.lease, self.now):
            if member not in self.silent_members:
                reply = self._simulation.make_survey_reply(self, member)
                self._deliver_replies(
                    self.holder.record_survey_reply(
                        member, reply, self.lease, self.now
                    )
                )
        self._deliver_replies(self.holder.advance(self.lease, self.now))

    def exchange_summaries(self, others: Iterable['HolderPool']) -> None:
        """Record the summaries of the other domains' holders."""
        for other in others:
            if other is not self and other.held_since_s is not None:
                self.holder.record_summary(
                    other.domain, other.holder.summarize(self.now), self.now
                )

    def list_states(self) -> dict[str, str]:
        """Return the state of each server by name."""
        snapshots = self.holder.list_server_snapshots(self.lease, self.now)
        return {snapshot.server: snapshot.state for snapshot in snapshots}

    def _deliver_replies(
        self, deferred_replies: tuple[pools.DeferredReply, ...]
    ) -> None:
        for deferred_reply in deferred_replies:
            request = self.requests_by_ticket.pop(deferred_reply.ticket)
            self._simulation.handle_permit_reply(
                self, request, deferred_reply.reply
            )
