"""The decisions of one instance with a published instance list, without I/O.

`Node` is the only entry point for a driver that provides time and network:

- `load_view` and `load_subtrees` load what the platform published;
- `advance` is called every 50 ms, `plan_gossip` every
  `find_gossip_interval`, `plan_confirmations` every `pull_interval` and
  `remove_idle` every few seconds; `pop_background_plans` returns plans;
- `handle_message` handles a message of another instance, and
  `pop_deferred_replies` returns replies that were deferred;
- `plan_tokens`, `plan_permit`, `report_permit` and `plan_finish_once` serve
  a request, in the order of the actions of request.flow.

A plan (see process.calls) is executed by passing the message of each Call to
`handle_message` of its target, and sending the CallResult to the plan. All
methods take the elapsed time of this instance's clock. A node is not
thread-safe.
"""

import datetime
import random
from typing import Any
from typing import Iterable

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import calls
from cranberryscale.process import confirmation
from cranberryscale.process import discovery
from cranberryscale.process import dissemination
from cranberryscale.process import idempotency
from cranberryscale.process import leases
from cranberryscale.process import membership
from cranberryscale.process import placement
from cranberryscale.process import resource_holder
from cranberryscale.process import status
from cranberryscale.process import synchronization
from cranberryscale.process import token_bucket
from cranberryscale.request import actions
from cranberryscale.request import holder_client
from cranberryscale.request import permit_client
from cranberryscale.request import token_client
from cranberryscale.version import configuration
from cranberryscale.version import settings
from cranberryscale.version import view


__all__ = ['Node', 'Ticket']

Ticket = resource_holder.Ticket


def _make_duration(duration_s: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=duration_s)


class Node:
    """The state and decisions of one instance."""

    def __init__(
        self,
        instance_settings: settings.Settings,
        incarnation: int,
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self.instance_settings = instance_settings
        self.incarnation = incarnation
        self._random = rng
        self._peer_timeout = _make_duration(instance_settings.timeouts.peer_s)
        self._lease_table = self._make_lease_table(now)
        self.synchronizer = self._make_synchronizer(now)
        self.resource_holder = self._make_resource_holder()
        context = self._make_instance_context()
        self.tokens = token_client.TokenClient(
            context, self._make_budget_terms(), rng
        )
        self.permits = permit_client.PermitClient(context, rng)
        self.is_leaving = False

    def _make_lease_table(self, now: datetime.timedelta) -> leases.LeaseTable:
        terms = leases.LeaseTerms(
            _make_duration(self.instance_settings.leases.lease_s),
            _make_duration(self.instance_settings.leases.suspect_s),
            self.instance_settings.leases.drift_ratio,
        )
        return leases.LeaseTable(
            self.instance_settings.name, self.incarnation, terms, now
        )

    def _make_synchronizer(
        self, now: datetime.timedelta
    ) -> synchronization.Synchronizer:
        confirm = _make_duration(self.instance_settings.timeouts.confirm_s)
        terms = confirmation.DisseminationTerms(
            confirm=confirm,
            watch=_make_duration(
                self.instance_settings.platform.subtrees_watch_s
            ),
            drift_ratio=self.instance_settings.leases.drift_ratio,
        )
        return synchronization.Synchronizer(
            membership.Membership(self._lease_table, now),
            dissemination.Dissemination(
                self.instance_settings.name, terms, now
            ),
            self._random,
            self._peer_timeout,
        )

    def _make_budget_terms(self) -> token_bucket.BudgetTerms:
        return token_bucket.BudgetTerms(
            grant_validity=_make_duration(
                self.instance_settings.timeouts.grant_s
            )
        )

    def _make_resource_holder(self) -> resource_holder.ResourceHolder:
        context = resource_holder.HolderContext(
            self.instance_settings.name,
            self._peer_timeout,
            self.get_configuration,
            self._lease_table.find_holder,
            self._lease_table.find_lease,
        )
        registry = idempotency.IdempotencyRegistry(
            _make_duration(self.instance_settings.timeouts.once_s)
        )
        return resource_holder.ResourceHolder(
            context, self._make_budget_terms(), registry, self._random
        )

    def _make_instance_context(self) -> holder_client.InstanceContext:
        return holder_client.InstanceContext(
            self.instance_settings.name,
            self.instance_settings.domain,
            self._peer_timeout,
            self.get_configuration,
            self._lease_table.find_holder,
        )

    @property
    def membership_view(self) -> view.MembershipView:
        """Return the membership view that this instance follows."""
        return self._lease_table.view

    @property
    def pull_interval(self) -> datetime.timedelta:
        """Return the interval at which to call `plan_confirmations`."""
        return self.synchronizer.dissemination.pull_interval

    def find_gossip_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the interval at which to call `plan_gossip`.

        It is halved just after the configuration service was lost, since keyed
        requests then depend on fresh heartbeats of a quorum.
        """
        is_faster = self.synchronizer.dissemination.should_gossip_faster(now)
        return _make_duration(self.instance_settings.leases.gossip_s) / (
            2 if is_faster else 1
        )

    @property
    def not_ready_reason(self) -> str:
        """Return why callers must not use this instance, '' if they may."""
        if not self.get_configuration().versions:
            return 'no_configuration'
        if self.instance_settings.name not in self.membership_view.names:
            return 'not_listed'
        if self.synchronizer.membership.is_superseded:
            return 'superseded'
        return 'leaving' if self.is_leaving else ''

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self.synchronizer.tree.configuration

    def load_view(self, published: view.MembershipView, now) -> None:
        """Load a membership view read from the platform."""
        self.synchronizer.load_view(published, now)
        self.resource_holder.load_members(self.membership_view.names, now)

    def load_subtrees(self, unchecked_subtrees, sent_at, now) -> None:
        """Apply subtrees that the service returned to a call of `sent_at`."""
        self.synchronizer.load_subtrees(unchecked_subtrees, sent_at, now)

    def advance(self, now: datetime.timedelta) -> None:
        """Perform all actions that are due; call every 50 ms."""
        self.synchronizer.advance(now)
        self.resource_holder.load_members(self.membership_view.names, now)
        self.resource_holder.advance(now)

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Drop state that is no longer needed; call every few seconds."""
        self.resource_holder.remove_idle(now)
        self.tokens.remove_idle(now)
        self.permits.remove_idle(now)

    def plan_gossip(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield plans that exchange heartbeats; call each interval."""
        return self.synchronizer.plan_gossip(now)

    def plan_confirmations(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield plans that confirm the configuration; call each interval."""
        return self.synchronizer.plan_confirmations(now)

    def pop_background_plans(
        self, now: datetime.timedelta
    ) -> list[calls.Plan]:
        """Remove and return the plans that are due."""
        return [
            *self.synchronizer.pop_background_plans(),
            *self.resource_holder.pop_background_plans(),
            *self.resource_holder.plan_loan_returns(now),
            *self.tokens.plan_returns(now),
            *self.pop_report_plans(now),
        ]

    def pop_report_plans(self, now: datetime.timedelta) -> list[calls.Plan]:
        """Remove and return the plans that report finished permits."""
        return [
            self.permits.plan_reports(pool, now)
            for pool in self.permits.list_unreported_pools()
        ]

    def list_budget_holders(self, customer: str) -> list[str | None]:
        """Return the holder of each share of a customer's budget."""
        shares = placement.list_shares(self.get_configuration(), customer)
        return [
            self._lease_table.find_holder(share.resource) for share in shares
        ]

    def list_pool_holders(self, service: str) -> dict[str, str | None]:
        """Return the holder of the service's pool in each failure domain."""
        current = self.get_configuration()
        domains = {
            server.domain
            for server in current.servers.values()
            if server.service == service
        }
        return {
            domain: self._lease_table.find_holder(
                placement.make_pool_resource(service, domain)
            )
            for domain in sorted(domains)
        }

    def pop_deferred_replies(self) -> dict[Ticket, Any]:
        """Remove and return the replies to queued permit requests."""
        return self.resource_holder.pop_deferred_replies()

    def handle_message(self, sender: str, message: Any, now) -> Any:
        """Return the reply to a message, or a Ticket if it is deferred.

        Raises PeerError. Senders that are not in the membership view may only
        send BOOTSTRAP_CALLS.
        """
        is_known = (
            sender in self.membership_view.names
            or sender == self.instance_settings.name
        )
        if not is_known and not isinstance(message, messages.BOOTSTRAP_CALLS):
            raise errors.make_error('peer_unknown', sender)
        match message:
            case messages.TakeTokens():
                return self.resource_holder.request_tokens(message, now)
            case messages.TakePermit():
                return self.resource_holder.request_permit(
                    sender, message, now
                )
            case messages.PermitReports():
                return self.resource_holder.record_reports(
                    sender, message, now
                )
            case messages.ReturnTokens():
                return self.resource_holder.return_tokens(message, now)
            case messages.FinishOnce():
                return self.resource_holder.finish_once(message, now)
            case messages.PoolSummary():
                return self.resource_holder.summarize(message, now)
            case messages.SurveyPool():
                return self.permits.answer_survey(message, now)
            case _:
                return self.synchronizer.handle_message(sender, message, now)

    def plan_tokens(
        self, customer: str, once_key: str, request_id: str, now
    ) -> calls.Plan:
        """Return a plan that results in TokensGranted or AdmissionDenied."""
        return self.tokens.plan_tokens(customer, once_key, request_id, now)

    def plan_permit(
        self, action: actions.AskPermit, request_id: str, now
    ) -> calls.Plan:
        """Return a plan that results in PermitGranted or AdmissionDenied."""
        return self.permits.plan_permit(action, request_id, now)

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Release a permit; the report becomes a background plan."""
        self.permits.report_permit(action)

    def plan_finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str, now
    ) -> calls.Plan:
        """Return a plan that reports the end of a request.

        Sent to the holder of the request's idempotency key.
        """
        return self.tokens.plan_finish_once(
            customer, once_key, request_id, ran, now
        )

    def decide_keyed(
        self, now: datetime.timedelta
    ) -> confirmation.KeyedDecision:
        """Return whether requests with API keys may be served, and why not."""
        return self.synchronizer.decide_keyed(now)

    def choose_addresses(
        self, customer: str, service: str, now
    ) -> discovery.DiscoveryAnswer:
        """Return the instances that a caller should use."""
        current = self.get_configuration()
        found = current.customers.get(customer)
        shares = placement.list_shares(current, customer)
        holders = (self._lease_table.find_holder(s.resource) for s in shares)
        usable = self.synchronizer.list_serving(now)
        if self.not_ready_reason:
            usable -= {self.instance_settings.name}
        addresses = discovery.choose_addresses(
            self.membership_view,
            usable,
            customer or service,
            discovery.count_addresses(found.rate_per_s if found else 0.0),
            {},
            frozenset(name for name in holders if name),
            self._random,
        )
        lifetime_s = self.instance_settings.timeouts.answer_lifetime_s
        return discovery.DiscoveryAnswer(
            addresses, lifetime_s, self.membership_view.version
        )

    def report_status(self, now) -> status.InstanceStatus:
        """Return this instance's status for operators."""
        keyed = self.decide_keyed(now)
        age = self.synchronizer.dissemination.find_confirmation_age(now)
        members = self.synchronizer.membership
        current = self.get_configuration()
        return status.InstanceStatus(
            instance=self.instance_settings.name,
            domain=self.instance_settings.domain,
            incarnation=self.incarnation,
            ready=not self.not_ready_reason,
            not_ready_reason=self.not_ready_reason,
            leaving=self.is_leaving,
            keyed_requests=keyed.serves,
            keyed_reason=keyed.reason,
            confirmed_age_s=-1.0 if age is None else age.total_seconds(),
            view_version=self.membership_view.version,
            members=len(self.membership_view.members),
            suspected=sorted(
                self.membership_view.names - members.alive_members
            ),
            heard_one_way=list(members.list_heard_one_way(now)),
            subtrees=[],
            domains={d.name: d.state for d in current.domains.values()},
            pools=self.resource_holder.list_pool_statuses(now),
            budgets=self.resource_holder.list_budget_statuses(now),
        )
