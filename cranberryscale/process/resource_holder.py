"""What an instance answers as the holder of shares and pools."""

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
from cranberryscale.process import leases
from cranberryscale.process import local_permits
from cranberryscale.process import placement
from cranberryscale.process import pools
from cranberryscale.process import status
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = ['HolderContext', 'ResourceHolder', 'Ticket']

# Bounds the work of each advance; customers beyond it start empty.
BEGIN_LIMIT = 500
SURVEY_PAUSE = datetime.timedelta(seconds=0.25)
SUMMARY_PAUSE = datetime.timedelta(seconds=1)
# Over the 50 ms between two calls, so that no loan expires in between.
RETURN_MARGIN = datetime.timedelta(milliseconds=55)


class HolderContext(NamedTuple):
    """Give what a holder needs to know of the rest of the instance."""

    name: str
    peer_timeout: datetime.timedelta
    get_configuration: Callable[[], configuration.Configuration]
    find_holder: Callable[[view.LeasedResource], str | None]
    find_lease: Callable[
        [view.LeasedResource, datetime.timedelta], leases.Lease | None
    ]


class Ticket(NamedTuple):
    """Name a queued request for a permit."""

    pool: local_permits.PoolKey
    number: int


class ResourceHolder:
    """Own the buckets, idempotency keys and pools that are held here."""

    def __init__(
        self,
        fleet: HolderContext,
        terms: Any,
        memory: idempotency.IdempotencyRegistry,
        rng: random.Random,
    ):
        self._fleet = fleet
        self._random = rng
        self._budgets = budgets.BudgetHolder(terms, rng)
        self._once = memory
        self._pools: dict[local_permits.PoolKey, pools.PoolHolder] = {}
        self._members: frozenset[str] = frozenset()
        self._loaded: configuration.Configuration | None = None
        self._errands: list[calls.Plan] = []
        self._resolved: dict[Ticket, Any] = {}
        self._survey_at: dict[local_permits.PoolKey, datetime.timedelta] = {}
        self._summary_at: dict[local_permits.PoolKey, datetime.timedelta] = {}

    def load_members(
        self, names: frozenset[str], now: datetime.timedelta
    ) -> None:
        """Follow the instance list."""
        self._members = names
        for holder in self._pools.values():
            holder.load_members(names, now)

    def request_tokens(
        self, message: messages.TakeTokens, now: datetime.timedelta
    ) -> messages.TokenGrant | messages.TokenDenial:
        """Answer a request for tokens, with its idempotency key if any."""
        current = self._fleet.get_configuration()
        shares = placement.list_shares(current, message.customer)
        if not 0 <= message.share < len(shares):
            return messages.TokenDenial('not_holder', 0.0)
        share = shares[message.share]
        lease = self._fleet.find_lease(share.resource, now)
        reply = idempotency.request_tokens_once(
            self._budgets, self._once, message, share, lease, now
        )
        ask = self._budgets.plan_loan(shares, message, now)
        if ask is not None:
            self._errands.append(self._plan_loan(ask, message.share, now))
        return reply

    def _plan_loan(
        self, ask: budgets.ShareMessage, index: int, now: datetime.timedelta
    ) -> calls.Plan:
        holder = self._fleet.find_holder(ask.share.resource)
        reply = yield from calls.call_member(
            holder, ask.message, self._fleet.peer_timeout, now
        )
        self._budgets.apply_loan_reply(
            ask, index, reply.message, reply.sent_at, reply.now
        )

    def return_tokens(
        self, message: messages.ReturnTokens, now: datetime.timedelta
    ) -> messages.Done:
        """Credit tokens that came back unspent."""
        self._budgets.return_tokens(message, now)
        return messages.Done()

    def request_permit(
        self, sender: str, message: messages.TakePermit, now
    ) -> messages.PermitGrant | messages.PermitDenial | Ticket:
        """Grant, deny or queue a request for a permit."""
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is None:
            return messages.PermitDenial('no_backend_server', 1.0)
        lease = self._find_lease(pool, now)
        reply = holder.request_permit(message, sender, lease, now)
        if isinstance(reply, pools.PermitDeferral):
            self._resolve(pool, holder.advance(lease, now))
            return Ticket(pool, reply.ticket)
        return reply

    def cancel_ticket(self, ticket: Ticket) -> None:
        """Forget a queued request whose instance no longer waits."""
        holder = self._pools.get(ticket.pool)
        if holder is not None:
            holder.cancel_ticket(ticket.number)
        self._resolved.pop(ticket, None)

    def record_reports(
        self, sender: str, message: messages.PermitReports, now
    ) -> messages.Done:
        """Free the slots of requests that ended and take the evidence."""
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is not None:
            lease = self._find_lease(pool, now)
            for report in message.reports:
                self._resolve(
                    pool, holder.finish_permit(report, sender, lease, now)
                )
        return messages.Done()

    def summarize(
        self, message: messages.PoolSummary, now: datetime.timedelta
    ) -> messages.PoolSummaryReply:
        """Return recent evidence on a pool held here."""
        pool = local_permits.PoolKey(message.service, message.domain)
        holder = self._find_pool(pool)
        if holder is None or self._find_lease(pool, now) is None:
            return messages.PoolSummaryReply(())
        return holder.summarize(now)

    def advance(self, now: datetime.timedelta) -> None:
        """Answer queued requests and start surveys and summaries."""
        self._load_pools(now)
        self._begin_leases(now)
        for pool, holder in self._pools.items():
            lease = self._find_lease(pool, now)
            self._resolve(pool, holder.advance(lease, now))
            if lease is not None:
                self._start_survey(pool, holder, lease, now)
                self._start_summaries(pool, holder, now)

    def _begin_leases(self, now: datetime.timedelta) -> None:
        """Look up the leases on shares before their first request.

        A bucket is empty when its lease begins, and a lease begins when it
        is first looked up: the first request of a customer was refused.
        """
        current = self._fleet.get_configuration()
        for customer in itertools.islice(current.customers, BEGIN_LIMIT):
            for share in placement.list_shares(current, customer):
                holder = self._fleet.find_holder(share.resource)
                if holder == self._fleet.name:
                    self._fleet.find_lease(share.resource, now)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget buckets that are full and unused."""
        self._budgets.drop_idle(self._fleet.find_lease, now)

    def pop_background_plans(self) -> list[calls.Plan]:
        """Return the plans that are to be driven, once."""
        errands, self._errands = self._errands, []
        return errands

    def pop_deferred_replies(self) -> dict[Ticket, Any]:
        """Return the answers to queued requests, once."""
        resolved, self._resolved = self._resolved, {}
        return resolved

    def plan_loan_returns(
        self, now: datetime.timedelta
    ) -> Iterable[calls.Plan]:
        """Yield plans that give back loans before they expire."""
        for ask in self._budgets.collect_returns(now, RETURN_MARGIN):
            holder = self._fleet.find_holder(ask.share.resource)
            yield calls.call_member(
                holder, ask.message, self._fleet.peer_timeout, now
            )

    def _find_lease(
        self, pool: local_permits.PoolKey, now
    ) -> leases.Lease | None:
        return self._fleet.find_lease(placement.make_pool_resource(*pool), now)

    def _find_pool(
        self, pool: local_permits.PoolKey
    ) -> pools.PoolHolder | None:
        return self._pools.get(pool)

    def _resolve(
        self,
        pool: local_permits.PoolKey,
        resolved: Iterable[pools.DeferredReply],
    ) -> None:
        for ticket, reply in resolved:
            self._resolved[Ticket(pool, ticket)] = reply

    def _load_pools(self, now: datetime.timedelta) -> None:
        current = self._fleet.get_configuration()
        if current is self._loaded:
            return
        self._loaded = current
        published = {
            local_permits.PoolKey(server.service, server.domain)
            for server in current.servers.values()
        }
        for pool in self._pools.keys() - published:
            self._resolve(pool, self._pools.pop(pool).advance(None, now))
        for pool in published - self._pools.keys():
            holder = pools.PoolHolder(*pool, self._random)
            holder.load_members(self._members, now)
            self._pools[pool] = holder
        for holder in self._pools.values():
            holder.load_servers(current, now)

    def _start_survey(self, pool, holder, lease, now) -> None:
        if now < self._survey_at.get(pool, now):
            return
        self._survey_at[pool] = now + SURVEY_PAUSE
        for member in holder.list_unsurveyed(lease, now):
            self._errands.append(
                self._plan_survey(pool, member, lease.since, now)
            )

    def _plan_survey(self, pool, member, since, now) -> calls.Plan:
        reply = yield from calls.call_member(
            member,
            messages.SurveyPool(*pool),
            self._fleet.peer_timeout,
            now,
        )
        lease = self._find_lease(pool, reply.now)
        holder = self._find_pool(pool)
        current = lease is not None and lease.since == since
        if current and holder and reply.message is not None:
            self._resolve(
                pool,
                holder.record_survey_reply(
                    member, reply.message, lease, reply.now
                ),
            )

    def _start_summaries(self, pool, holder, now) -> None:
        if now < self._summary_at.get(pool, now):
            return
        self._summary_at[pool] = now + SUMMARY_PAUSE
        for other in self._pools:
            if other.service == pool.service and other != pool:
                self._errands.append(self._plan_summary(holder, other, now))

    def _plan_summary(
        self, holder, other: local_permits.PoolKey, now
    ) -> calls.Plan:
        reply = yield from calls.call_member(
            self._fleet.find_holder(placement.make_pool_resource(*other)),
            messages.PoolSummary(*other),
            self._fleet.peer_timeout,
            now,
        )
        if reply.message is not None:
            holder.record_summary(other.domain, reply.message, reply.now)

    def report_pools(self, now) -> list[status.PoolStatus]:
        """Return the pools held here, for operators."""
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
        self._once.finish(
            message.customer,
            message.once_key,
            message.request_id,
            message.ran,
            now,
        )
        return messages.Done()

    def report_budgets(self, now) -> list[status.BudgetStatus]:
        """Return the shares held and in use here, for operators."""
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
