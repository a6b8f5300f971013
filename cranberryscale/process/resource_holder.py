"""Resources that this instance holds leases on: budget shares and pools."""

import datetime
import itertools
import random
from typing import Any
from typing import Callable
from typing import Iterable
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import calls
from cranberryscale.process import idempotency
from cranberryscale.process.leased import pools
from cranberryscale.process import leases
from cranberryscale.process import local_permits
from cranberryscale.process import placement
from cranberryscale.process import status
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = ['HolderContext', 'ResourceHolder', 'Ticket']

# Maximum number of customers whose leases are looked up in each `advance`,
# which bounds its work. Buckets of further customers are empty at their first
# request.
LEASE_LOOKUP_LIMIT = 500
SURVEY_INTERVAL = datetime.timedelta(seconds=0.25)
SUMMARY_INTERVAL = datetime.timedelta(seconds=1)
# Longer than the 50 ms between two calls of plan_loan_returns, so that no loan
# expires in between.
LOAN_RETURN_MARGIN = datetime.timedelta(milliseconds=55)


class HolderContext(NamedTuple):
    """Parts of the instance that a holder uses."""

    name: str
    peer_timeout: datetime.timedelta
    get_configuration: Callable[[], configuration.Configuration]
    find_holder: Callable[[view.LeasedResource], str | None]
    find_lease: Callable[
        [view.LeasedResource, datetime.timedelta], leases.Lease | None
    ]


class Ticket(NamedTuple):
    """Identity of a queued request for a permit."""

    pool: local_permits.PoolKey
    number: int


class ResourceHolder:
    """Token buckets, idempotency keys and pools held by this instance.

    Methods answer the messages of other instances. Plans to run in the
    background and replies to queued requests are collected until popped.
    """

    def __init__(
        self,
        context: HolderContext,
        terms: Any,
        registry: idempotency.IdempotencyRegistry,
        rng: random.Random,
    ):
        self._context = context
        self._random = rng
        self._budgets = budgets.BudgetHolder(terms, rng)
        self._idempotency = registry
        self._pools: dict[local_permits.PoolKey, pools.PoolHolder] = {}
        self._members: frozenset[str] = frozenset()
        self._loaded_configuration: configuration.Configuration | None = None
        self._background_plans: list[calls.Plan] = []
        self._deferred_replies: dict[Ticket, Any] = {}
        self._next_survey_at: dict[
            local_permits.PoolKey, datetime.timedelta
        ] = {}
        self._next_summary_at: dict[
            local_permits.PoolKey, datetime.timedelta
        ] = {}

    def load_members(
        self, names: frozenset[str], now: datetime.timedelta
    ) -> None:
        """Replace the names of the instances that may hold permits."""
        self._members = names
        for holder in self._pools.values():
            holder.load_members(names, now)

    def request_tokens(
        self, message: messages.TakeTokens, now: datetime.timedelta
    ) -> messages.TokenGrant | messages.TokenDenial:
        """Grant or deny tokens and register the idempotency key, if any."""
        current = self._context.get_configuration()
        shares = placement.list_shares(current, message.customer)
        if not 0 <= message.share < len(shares):
            return messages.TokenDenial('not_holder', 0.0)
        share = shares[message.share]
        lease = self._context.find_lease(share.resource, now)
        reply = idempotency.request_tokens_once(
            self._budgets, self._idempotency, message, share, lease, now
        )
        share_message = self._budgets.plan_loan(shares, message, now)
        if share_message is not None:
            self._background_plans.append(
                self._plan_loan(share_message, message.share, now)
            )
        return reply

    def _plan_loan(
        self,
        share_message: budgets.ShareMessage,
        index: int,
        now: datetime.timedelta,
    ) -> calls.Plan:
        holder = self._context.find_holder(share_message.share.resource)
        reply = yield from calls.call_member(
            holder, share_message.message, self._context.peer_timeout, now
        )
        self._budgets.apply_loan_reply(
            share_message, index, reply.message, reply.sent_at, reply.ended_at
        )

    def return_tokens(
        self, message: messages.ReturnTokens, now: datetime.timedelta
    ) -> messages.Done:
        """Credit tokens that were returned unspent."""
        self._budgets.return_tokens(message, now)
        return messages.Done()

    def request_permit(
        self, sender: str, message: messages.TakePermit, now
    ) -> messages.PermitGrant | messages.PermitDenial | Ticket:
        """Grant, deny or queue a request for a permit.

        Returns a Ticket if the request was queued.
        """
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is None:
            return messages.PermitDenial('no_backend_server', 1.0)
        lease = self._find_lease(pool, now)
        reply = holder.request_permit(message, sender, lease, now)
        if isinstance(reply, pools.PermitDeferral):
            self._add_deferred_replies(pool, holder.advance(lease, now))
            return Ticket(pool, reply.ticket)
        return reply

    def cancel_ticket(self, ticket: Ticket) -> None:
        """Remove a queued request whose sender no longer waits."""
        holder = self._pools.get(ticket.pool)
        if holder is not None:
            holder.cancel_ticket(ticket.number)
        self._deferred_replies.pop(ticket, None)

    def record_reports(
        self, sender: str, message: messages.PermitReports, now
    ) -> messages.Done:
        """Release the slots of finished requests and record the evidence."""
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is not None:
            lease = self._find_lease(pool, now)
            for report in message.reports:
                self._add_deferred_replies(
                    pool, holder.finish_permit(report, sender, lease, now)
                )
        return messages.Done()

    def summarize(
        self, message: messages.PoolSummary, now: datetime.timedelta
    ) -> messages.PoolSummaryReply:
        """Return recent server statistics of a pool held here."""
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is None or self._find_lease(pool, now) is None:
            return messages.PoolSummaryReply(())
        return holder.summarize(now)

    def advance(self, now: datetime.timedelta) -> None:
        """Reply to queued requests; plan surveys and summary exchanges."""
        self._load_pools(now)
        self._look_up_leases(now)
        for pool, holder in self._pools.items():
            lease = self._find_lease(pool, now)
            self._add_deferred_replies(pool, holder.advance(lease, now))
            if lease is not None:
                self._plan_surveys(pool, holder, lease, now)
                self._plan_summaries(pool, holder, now)

    def _look_up_leases(self, now: datetime.timedelta) -> None:
        """Look up the leases on shares before their first request.

        A lease begins when it is first looked up, and its bucket is empty
        then, so without this the first request of a customer is refused.
        """
        current = self._context.get_configuration()
        for customer in itertools.islice(
            current.customers, LEASE_LOOKUP_LIMIT
        ):
            for share in placement.list_shares(current, customer):
                holder = self._context.find_holder(share.resource)
                if holder == self._context.name:
                    self._context.find_lease(share.resource, now)

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove buckets that are full and unused or whose lease ended."""
        self._budgets.remove_idle(self._context.find_lease, now)

    def pop_background_plans(self) -> list[calls.Plan]:
        """Return and remove the plans to run in the background."""
        plans, self._background_plans = self._background_plans, []
        return plans

    def pop_deferred_replies(self) -> dict[Ticket, Any]:
        """Return and remove the replies to queued requests."""
        replies, self._deferred_replies = self._deferred_replies, {}
        return replies

    def plan_loan_returns(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield plans that return loaned tokens before the loans expire."""
        for share_message in self._budgets.collect_returns(
            now, LOAN_RETURN_MARGIN
        ):
            holder = self._context.find_holder(share_message.share.resource)
            yield calls.call_member(
                holder, share_message.message, self._context.peer_timeout, now
            )

    def _find_lease(
        self, pool: local_permits.PoolKey, now
    ) -> leases.Lease | None:
        return self._context.find_lease(
            placement.make_pool_resource(*pool), now
        )

    def _find_pool(
        self, pool: local_permits.PoolKey
    ) -> pools.PoolHolder | None:
        return self._pools.get(pool)

    def _add_deferred_replies(
        self,
        pool: local_permits.PoolKey,
        replies: Iterable[pools.DeferredReply],
    ) -> None:
        for ticket, reply in replies:
            self._deferred_replies[Ticket(pool, ticket)] = reply

    def _load_pools(self, now: datetime.timedelta) -> None:
        current = self._context.get_configuration()
        if current is self._loaded_configuration:
            return
        self._loaded_configuration = current
        published = {
            local_permits.PoolKey(server.service, server.domain)
            for server in current.servers.values()
        }
        for pool in self._pools.keys() - published:
            self._add_deferred_replies(
                pool, self._pools.pop(pool).advance(None, now)
            )
        for pool in published - self._pools.keys():
            holder = pools.PoolHolder(*pool, self._random)
            holder.load_members(self._members, now)
            self._pools[pool] = holder
        for holder in self._pools.values():
            holder.load_servers(current, now)

    def _plan_surveys(self, pool, holder, lease, now) -> None:
        if now < self._next_survey_at.get(pool, now):
            return
        self._next_survey_at[pool] = now + SURVEY_INTERVAL
        for member in holder.list_unsurveyed(lease, now):
            self._background_plans.append(
                self._plan_survey(pool, member, lease.since, now)
            )

    def _plan_survey(self, pool, member, since, now) -> calls.Plan:
        reply = yield from calls.call_member(
            member,
            messages.SurveyPool(*pool),
            self._context.peer_timeout,
            now,
        )
        lease = self._find_lease(pool, reply.ended_at)
        holder = self._find_pool(pool)
        is_current = lease is not None and lease.since == since
        if is_current and holder and reply.message is not None:
            self._add_deferred_replies(
                pool,
                holder.record_survey_reply(
                    member, reply.message, lease, reply.ended_at
                ),
            )

    def _plan_summaries(self, pool, holder, now) -> None:
        if now < self._next_summary_at.get(pool, now):
            return
        self._next_summary_at[pool] = now + SUMMARY_INTERVAL
        for other in self._pools:
            if other.service == pool.service and other != pool:
                self._background_plans.append(
                    self._plan_summary(holder, other, now)
                )

    def _plan_summary(
        self, holder, other: local_permits.PoolKey, now
    ) -> calls.Plan:
        reply = yield from calls.call_member(
            self._context.find_holder(placement.make_pool_resource(*other)),
            messages.PoolSummary(*other),
            self._context.peer_timeout,
            now,
        )
        if reply.message is not None:
            holder.record_summary(other.domain, reply.message, reply.ended_at)

    def list_pool_statuses(self, now) -> list[status.PoolStatus]:
        """Return the status of the pools held here, for operators."""
        held = (
            (pool, holder, self._find_lease(pool, now))
            for pool, holder in sorted(self._pools.items())
        )
        return [
            status.PoolStatus(
                service=pool.service,
                domain=pool.domain,
                lease_left_s=(lease.until - now).total_seconds(),
                servers=[
                    status.ServerStatus(**row._asdict())
                    for row in holder.list_server_snapshots(lease, now)
                ],
            )
            for pool, holder, lease in held
            if lease is not None
        ]

    def finish_once(self, message: messages.FinishOnce, now) -> messages.Done:
        """Record how a request with an idempotency key ended."""
        self._idempotency.finish(
            message.customer,
            message.once_key,
            message.request_id,
            message.ran,
            now,
        )
        return messages.Done()

    def list_budget_statuses(self, now) -> list[status.BudgetStatus]:
        """Return the status of the budget shares held, for operators."""
        return [
            status.BudgetStatus(
                customer=bucket.share.customer,
                share=bucket.share.index,
                rate_per_s=bucket.share.rate_per_s,
                burst_requests=bucket.share.burst_requests,
                tokens=bucket.tokens,
            )
            for bucket in self._budgets.list_buckets()
        ]
