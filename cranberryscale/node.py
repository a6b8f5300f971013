"""All decisions of one instance behind one entry point, without I/O.

Whoever wants to drive the decisions with their own time and network uses
`Node` and nothing else:

- `load_list` and `load_subtrees` bring in what the platform published;
- `advance` every 50 ms, `plan_gossip` every `find_gossip_interval`,
  `plan_confirmations` every `pull_interval` and `drop_idle` every few
  seconds keep it going; `take_errands` returns plans;
- `answer` answers a message of another instance, `take_resolved` returns
  the answers that were put off;
- `plan_tokens`, `plan_permit`, `report_permit` and `plan_finish_once` serve
  a request, in the order that request.flow asks for.

A plan (see process.calls) is driven by sending each Call to its target's
`answer` and the Reply back into the plan. Every method takes the elapsed
time of this instance's clock. A node is not thread-safe.
"""

import datetime
import random
from typing import Any
from typing import Iterable

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import bucket
from cranberryscale.process import calls
from cranberryscale.process import confirmation
from cranberryscale.process import discovery
from cranberryscale.process import holding
from cranberryscale.process import leases
from cranberryscale.process import membership
from cranberryscale.process import once
from cranberryscale.process import placement
from cranberryscale.process import spread
from cranberryscale.process import status
from cranberryscale.process import upkeep
from cranberryscale.request import actions
from cranberryscale.request import asking
from cranberryscale.request import permits
from cranberryscale.request import tokens
from cranberryscale.version import configuration
from cranberryscale.version import settings
from cranberryscale.version import view


__all__ = ['Node', 'Ticket']

Ticket = holding.Ticket


def _seconds(value: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=value)


class Node:
    """Decide everything that one instance decides."""

    def __init__(
        self,
        options: settings.Settings,
        incarnation: int,
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self.options = options
        self.incarnation = incarnation
        self._random = rng
        self._peer_timeout = _seconds(options.timeouts.peer_s)
        self._table = self._make_table(now)
        self.upkeep = self._make_upkeep(now)
        self.holding = self._make_holding()
        entry = self._make_entry()
        self.tokens = tokens.Tokens(entry, self._make_terms(), rng)
        self.permits = permits.Permits(entry, rng)
        self.is_leaving = False

    def _make_table(self, now: datetime.timedelta) -> leases.LeaseTable:
        terms = leases.LeaseTerms(
            _seconds(self.options.leases.lease_s),
            _seconds(self.options.leases.suspect_s),
            self.options.leases.drift_ratio,
        )
        return leases.LeaseTable(
            self.options.name, self.incarnation, terms, now
        )

    def _make_upkeep(self, now: datetime.timedelta) -> upkeep.Upkeep:
        confirm = _seconds(self.options.timeouts.confirm_s)
        terms = confirmation.SpreadTerms(
            confirm=confirm,
            watch=_seconds(self.options.platform.subtrees_watch_s),
            drift_ratio=self.options.leases.drift_ratio,
        )
        return upkeep.Upkeep(
            membership.Membership(self._table, now),
            spread.Spread(self.options.name, terms, now),
            self._random,
            self._peer_timeout,
        )

    def _make_terms(self) -> bucket.Terms:
        return bucket.Terms(grant=_seconds(self.options.timeouts.grant_s))

    def _make_holding(self) -> holding.Holding:
        fleet = holding.Fleet(
            self.options.name,
            self._peer_timeout,
            self.get_configuration,
            self._table.find_holder,
            self._table.find_lease,
        )
        memory = once.OnceMemory(_seconds(self.options.timeouts.once_s))
        return holding.Holding(fleet, self._make_terms(), memory, self._random)

    def _make_entry(self) -> asking.Fleet:
        return asking.Fleet(
            self.options.name,
            self.options.domain,
            self._peer_timeout,
            self.get_configuration,
            self._table.find_holder,
        )

    @property
    def listed(self) -> view.View:
        """Return the instance list that this instance follows."""
        return self._table.view

    @property
    def pull_interval(self) -> datetime.timedelta:
        """Return the time between two calls of `plan_confirmations`."""
        return self.upkeep.spread.interval

    def find_gossip_interval(
        self, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return the time between two calls of `plan_gossip`.

        Half as long just after the service was lost, since keyed requests
        then depend on fresh signs of a quorum.
        """
        hurried = self.upkeep.spread.is_hurried(now)
        return _seconds(self.options.leases.gossip_s) / (2 if hurried else 1)

    @property
    def not_ready_reason(self) -> str:
        """Return why callers are not to be sent here, '' if they may."""
        if not self.get_configuration().versions:
            return 'no_configuration'
        if self.options.name not in self.listed.names:
            return 'not_listed'
        if self.upkeep.membership.superseded:
            return 'superseded'
        return 'leaving' if self.is_leaving else ''

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self.upkeep.tree.configuration

    def load_list(self, published: view.View, now) -> None:
        """Follow an instance list read from the platform."""
        self.upkeep.load_view(published, now)
        self.holding.load_members(self.listed.names, now)

    def load_subtrees(self, offers, sent_at, now) -> None:
        """Judge subtrees that the service answered to a call of `sent_at`."""
        self.upkeep.offer(offers, sent_at, now)

    def advance(self, now: datetime.timedelta) -> None:
        """Do what is due; call every 50 ms."""
        self.upkeep.advance(now)
        self.holding.load_members(self.listed.names, now)
        self.holding.advance(now)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget what no longer matters; call every few seconds."""
        self.holding.drop_idle(now)
        self.tokens.drop_idle(now)
        self.permits.drop_idle(now)

    def plan_gossip(self, now: datetime.timedelta) -> Iterable[calls.Plan]:
        """Yield plans that spread signs of life; call each interval."""
        return self.upkeep.plan_gossip(now)

    def plan_confirmations(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield plans that confirm the configuration; call each interval."""
        return self.upkeep.plan_confirmations(now)

    def take_errands(self, now: datetime.timedelta) -> list[calls.Plan]:
        """Return plans that became due, each once."""
        return [
            *self.upkeep.take_errands(),
            *self.holding.take_errands(),
            *self.holding.plan_returns(now),
            *self.tokens.plan_returns(now),
            *self.take_reports(now),
        ]

    def take_reports(self, now: datetime.timedelta) -> list[calls.Plan]:
        """Return the plans that give permits back, each once."""
        return [
            self.permits.plan_reports(pool, now)
            for pool in self.permits.list_reporting()
        ]

    def list_budget_holders(self, customer: str) -> list[str | None]:
        """Return who holds each share of a customer's budget."""
        shares = placement.list_shares(self.get_configuration(), customer)
        return [self._table.find_holder(share.resource) for share in shares]

    def list_pool_holders(self, service: str) -> dict[str, str | None]:
        """Return who holds the service's pool in each failure domain."""
        current = self.get_configuration()
        domains = {
            server.domain
            for server in current.servers.values()
            if server.service == service
        }
        return {
            domain: self._table.find_holder(
                placement.make_pool(service, domain)
            )
            for domain in sorted(domains)
        }

    def take_resolved(self) -> dict[Ticket, Any]:
        """Return answers to permits that were queued, each once."""
        return self.holding.take_resolved()

    def answer(self, sender: str, message: Any, now) -> Any:
        """Return the reply to a message, or a Ticket for later.

        Raises PeerError. Only BOOTSTRAP_CALLS are answered to senders that
        are not in the instance list.
        """
        known = sender in self.listed.names or sender == self.options.name
        if not known and not isinstance(message, messages.BOOTSTRAP_CALLS):
            raise errors.make_error('peer_unknown', sender)
        match message:
            case messages.TakeTokens():
                return self.holding.take_tokens(message, now)
            case messages.TakePermit():
                return self.holding.take_permit(sender, message, now)
            case messages.PermitReports():
                return self.holding.take_reports(sender, message, now)
            case messages.ReturnTokens():
                return self.holding.return_tokens(message, now)
            case messages.FinishOnce():
                return self.holding.finish_once(message, now)
            case messages.PoolSummary():
                return self.holding.summarize(message, now)
            case messages.SurveyPool():
                return self.permits.answer_survey(message, now)
            case _:
                return self.upkeep.answer(sender, message, now)

    def plan_tokens(
        self, customer: str, once_key: str, request_id: str, now
    ) -> calls.Plan:
        """Return TokensGranted or Denied."""
        return self.tokens.plan_tokens(customer, once_key, request_id, now)

    def plan_permit(
        self, action: actions.AskPermit, request_id: str, now
    ) -> calls.Plan:
        """Return PermitGranted or Denied."""
        return self.permits.plan_permit(action, request_id, now)

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Give a permit back; the report becomes an errand."""
        self.permits.report_permit(action)

    def plan_finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str, now
    ) -> calls.Plan:
        """Tell the holder how a request with an idempotency key ended."""
        return self.tokens.plan_finish_once(
            customer, once_key, request_id, ran, now
        )

    def decide_keyed(self, now: datetime.timedelta) -> confirmation.Decision:
        """Tell whether requests with keys may be served now."""
        return self.upkeep.decide_keyed(now)

    def choose_addresses(
        self, customer: str, service: str, now
    ) -> discovery.Directions:
        """Return which instances a caller should use."""
        current = self.get_configuration()
        found = current.customers.get(customer)
        shares = placement.list_shares(current, customer)
        holders = (self._table.find_holder(s.resource) for s in shares)
        usable = self.upkeep.list_serving(now)
        if self.not_ready_reason:
            usable -= {self.options.name}
        addresses = discovery.choose_addresses(
            self.listed,
            usable,
            customer or service,
            discovery.count_addresses(found.rate_per_s if found else 0.0),
            {},
            frozenset(name for name in holders if name),
            self._random,
        )
        lifetime_s = self.options.timeouts.answer_lifetime_s
        return discovery.Directions(addresses, lifetime_s, self.listed.version)

    def report_status(self, now) -> status.InstanceStatus:
        """Return what operators see of this instance."""
        keyed = self.decide_keyed(now)
        age = self.upkeep.spread.find_age(now)
        members = self.upkeep.membership
        current = self.get_configuration()
        return status.InstanceStatus(
            instance=self.options.name,
            domain=self.options.domain,
            incarnation=self.incarnation,
            ready=not self.not_ready_reason,
            not_ready_reason=self.not_ready_reason,
            leaving=self.is_leaving,
            keyed_requests=keyed.serves,
            keyed_reason=keyed.reason,
            confirmed_age_s=-1.0 if age is None else age.total_seconds(),
            view_version=self.listed.version,
            members=len(self.listed.members),
            suspected=sorted(self.listed.names - members.alive),
            heard_one_way=list(members.list_indirect(now)),
            subtrees=[],
            domains={d.name: d.state for d in current.domains.values()},
            pools=self.holding.report_pools(now),
            budgets=self.holding.report_budgets(now),
        )
