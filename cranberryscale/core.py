"""The decisions of one instance that finds the others by gossip.

`Core` opens no sockets, reads no clock and starts no threads. Its driver
holds one lock around it, passes it the messages of other instances
(`handle_message`), the updates of the store (`apply_store_update`) and the
time, and sends the messages that its methods return.
"""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
import functools
import heapq
import random
from typing import Any
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import fallback
from cranberryscale.process import fleet_buckets
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import retry_budgets
from cranberryscale.process.pool import retry_ledgers
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_pool
from cranberryscale.process.pool import server_statements
from cranberryscale.process import quotas
from cranberryscale.process import rendezvous
from cranberryscale.process import request_crashes
from cranberryscale.process import roster
from cranberryscale.process import shards
from cranberryscale.process import store_follower
from cranberryscale.process import token_queue
from cranberryscale.version import configuration
from cranberryscale.version import deployment
from cranberryscale.version import replica


__all__ = ['Core', 'make_history_report']


# How often holders are told again of a request that is refused, since a
# message may have been lost.
INFORM_INTERVAL = datetime.timedelta(seconds=2)
# A core advances every 100 ms. After a longer break others may have taken it
# for down, which it learns with its next checks of other instances.
PAUSE_LIMIT = datetime.timedelta(milliseconds=600)
RESUME_TIME = datetime.timedelta(milliseconds=1500)


def _make_dispatch_request(
    message: messages.AskServer, sender: str
) -> dispatch_requests.DispatchRequest:
    return dispatch_requests.DispatchRequest(
        message.request_id,
        sender,
        datetime.timedelta(seconds=message.target_s),
        datetime.timedelta(seconds=message.waited_s),
        datetime.timedelta(seconds=message.remaining_s),
        message.priority,
        message.excluded,
        message.is_repeat,
        message.is_idempotent,
        message.may_wait,
        message.is_new,
        message.customer,
        message.kind,
        datetime.timedelta(seconds=message.longest_wait_s),
        message.is_paid,
        message.retries is not None,
    )


class _InformedHolders(NamedTuple):
    """Holders of a service's shards that were told of a request at a time."""

    service: str
    holders: frozenset[str]
    at: datetime.timedelta


def make_history_report(
    service: str, outcome: str, history: request_crashes.RequestHistory
) -> messages.FinishRequest:
    """Return a report without a permit."""
    return messages.FinishRequest(
        shards.Shard(service, ''), 0, outcome, 0.0, history=history
    )


class Core:
    """The state and decisions of one instance.

    `decode` decodes an entry of the store.
    """

    def __init__(
        self,
        instance_settings: deployment.Deployment,
        epoch: int,
        decode: Callable[[str, bytes], replica.DecodedEntry | None],
        rng: random.Random,
        now: datetime.timedelta,
    ):
        self.instance_settings = instance_settings
        self._rng = rng
        own = roster.InstanceRecord(
            instance_settings.name,
            epoch,
            int(roster.InstanceState.STARTING),
            instance_settings.domain,
            instance_settings.addresses.callers,
            instance_settings.capacity,
        )
        self.roster = roster.Roster(own, instance_settings.seeds, rng, now)
        self.follower = store_follower.StoreFollower(self.roster, rng, now)
        self.replica = replica.StoreReplica(decode)
        self.fallback = fallback.FallbackSelector(rng)
        self.statements = server_statements.StatementTable()
        self.crashes = request_crashes.CrashTable()
        # Who was told of requests under which servers ended, by digest.
        self._informed: dict[bytes, _InformedHolders] = {}
        self._advanced_at = now
        # Until then a successor may have taken over what this instance holds.
        self._resumes_at = now
        terms = instance_settings.terms
        bounds = quotas.QuotaBounds(
            terms.quota_window, terms.quota_excess, terms.quota_slack
        )
        self._quota_holder = quotas.QuotaHolder(bounds)
        self._local_quota = quotas.LocalQuota(bounds)
        self.pools: dict[shards.Shard, server_pool.ServerPool] = {}
        self._retry_origin = retry_ledgers.make_origin(own.name, epoch)
        self._retry_ledgers: dict[shards.Shard, retry_ledgers.RetryLedger] = {}
        # Since when this instance holds a shard, or would if it were asked.
        self._held_since: dict[shards.Shard, datetime.timedelta] = {}
        self._replaced: set[shards.Shard] = set()
        self._shard_counts: dict[str, dict[str, int]] = {}
        self._loaded_configuration: configuration.Configuration | None = None

    def apply_settings(self, instance_settings: deployment.Deployment) -> None:
        """Apply changed settings, except for addresses and the name."""
        self.instance_settings = instance_settings
        self.roster.set_seeds(instance_settings.seeds)

    # Configuration

    @property
    def current_configuration(self) -> configuration.Configuration:
        """Return the configuration in force, or raise NotReady."""
        if self.replica.policy is None:
            raise errors.make_error('not_ready')
        return self.replica.current_configuration

    def describe_configuration(
        self, now: datetime.timedelta
    ) -> dict[str, object]:
        """Return version and age of the configuration as log fields."""
        policy = self.replica.policy
        return {
            'version': policy.version if policy else 0,
            'revision': self.replica.revision,
            'age_ms': round(
                self.follower.find_staleness(now).total_seconds() * 1e3
            ),
        }

    def apply_store_update(
        self,
        changes: tuple[replica.EntryChange, ...],
        revision: int,
        is_snapshot: bool,
        is_after_outage: bool,
        now: datetime.timedelta,
        era: int = 0,
    ) -> tuple[replica.ReplicaEvent | replica.EraChange, ...]:
        """Apply a snapshot or changes from the store or another instance."""
        if is_after_outage:
            self.replica.defer_removals(now)
        update = self.replica.replace if is_snapshot else self.replica.apply
        events = update(changes, revision, now, era)
        self._update_pools(now)
        return events

    def receive_store_update(
        self,
        changes: tuple[replica.EntryChange, ...],
        revision: int,
        is_snapshot: bool,
        era: int,
        now: datetime.timedelta,
    ) -> tuple[replica.ReplicaEvent | replica.EraChange, ...]:
        """Apply an answer of the store unless it is older than the replica.

        One that is does not confirm the entries, and the next call is delayed.
        """
        if self.replica.is_outdated(revision, is_snapshot, era):
            self.follower.record_store_failure(now)
            return (self._make_outdated_event('store', revision, era),)
        is_after_outage = self.follower.record_store_answer(now, bool(changes))
        return self.apply_store_update(
            changes, revision, is_snapshot, is_after_outage, now, era
        )

    def receive_changes_reply(
        self,
        source: str,
        reply: messages.ChangesReply,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> tuple[replica.ReplicaEvent | replica.EraChange, ...]:
        """Apply the reply to a pull that was sent to `source` at a time."""
        if self.replica.is_outdated(reply.revision, False, reply.era):
            self.follower.record_pull_failure(source, now)
            return (
                self._make_outdated_event(source, reply.revision, reply.era),
            )
        age = None
        if reply.age_s >= 0:
            age = datetime.timedelta(seconds=reply.age_s)
        is_after_outage = self.follower.record_pull_reply(age, sent_at, source)
        return self.apply_store_update(
            reply.changes,
            reply.revision,
            False,
            is_after_outage,
            now,
            reply.era,
        )

    @staticmethod
    def _make_outdated_event(
        source: str, revision: int, era: int
    ) -> replica.ReplicaEvent:
        return replica.ReplicaEvent(
            'update_outdated', source, revision, f'era {era}'
        )

    def advance(
        self, now: datetime.timedelta
    ) -> tuple[replica.ReplicaEvent, ...]:
        """Perform all actions that are due."""
        self._detect_pause(now)
        self._advanced_at = now
        self._update_held(now)
        events = self.replica.advance(now)
        if self.follower.find_staleness(now) <= store_follower.STALE_AFTER:
            events += self.replica.release_held(now)
        self.roster.remove_long_down(now)
        self._quota_holder.remove_idle(now)
        for customer in self._quota_holder.list_held():
            if not self._holds_quota(customer, now):
                self._quota_holder.release(customer)
        self._update_pools(now)
        for pool in self.pools.values():
            pool.advance(now)
        return events

    def _detect_pause(self, now: datetime.timedelta) -> None:
        """Act as a new holder if this instance did not run for a time."""
        if now - self._advanced_at > PAUSE_LIMIT:
            self._resumes_at = now + RESUME_TIME
            self._advanced_at = now
            self._held_since = dict.fromkeys(self._held_since, now)

    def _update_held(self, now: datetime.timedelta) -> None:
        """Record which shards this instance holds from now on."""
        name = self.instance_settings.name
        for shard in self._held_since:
            if self.find_shard_holder(shard, now) != name:
                self._replaced.add(shard)
            elif shard in self._replaced:
                self._replaced.remove(shard)
                self._held_since[shard] = now

    def _update_pools(self, now: datetime.timedelta) -> None:
        if self._loaded_configuration is self.replica.current_configuration:
            return
        self._loaded_configuration = self.replica.current_configuration
        self.statements.load_servers(self._loaded_configuration.servers, now)
        self._shard_counts = shards.count_shards(self._loaded_configuration)
        for pool in self.pools.values():
            pool.load_servers(self._loaded_configuration)

    def collect_results(self) -> tuple[dispatch_requests.ResultNotice, ...]:
        """Return the queued requests that got a result since the last call."""
        return tuple(
            notice
            for pool in self.pools.values()
            for notice in pool.collect_results()
        )

    def _get_pool(
        self, shard: shards.Shard, now: datetime.timedelta
    ) -> server_pool.ServerPool:
        pool = self.pools.get(shard)
        if pool is None:
            terms = self.instance_settings.terms
            self._held_since[shard] = now
            budget = retry_budgets.RetryBudget(
                terms.repeat_ratio,
                terms.repeat_slack,
                terms.repeat_window,
                self._get_retry_ledger(shard),
                functools.partial(self._find_budget_share, shard),
            )
            pool = server_pool.ServerPool(
                shard.service,
                budget,
                shard.has_server,
                self.statements,
                functools.partial(self._find_limit_position, shard),
            )
            self.pools[shard] = pool
            pool.load_servers(self.current_configuration)
        return pool

    # Holders

    def list_quota_holders(
        self, customer: str, now: datetime.timedelta
    ) -> Iterator[str]:
        """Yield the customer's quota holder and then its successor."""
        resource = rendezvous.CoordinatedResource('customer', customer)
        holder = self.roster.choose_holder(resource, now)
        yield holder
        successor = self.roster.choose_holder(resource, now, excluded=holder)
        if successor != holder:
            yield successor

    def _holds_quota(self, customer: str, now: datetime.timedelta) -> bool:
        holder = next(self.list_quota_holders(customer, now))
        return holder == self.instance_settings.name

    def list_shards(
        self, service: str, request_id: str
    ) -> tuple[shards.Shard, ...]:
        """Return the shards to ask, that of the own failure domain first."""
        counts = self._shard_counts.get(service, {})
        return shards.order_shards(
            service, counts, self.instance_settings.domain, request_id
        )

    def list_shard_holders(
        self, service: str, now: datetime.timedelta
    ) -> frozenset[str]:
        """Return the holders of all shards of a service."""
        counts = self._shard_counts.get(service, {})
        return frozenset(
            self.find_shard_holder(
                shards.Shard(service, domain, index, count), now
            )
            for domain, count in counts.items()
            for index in range(count)
        )

    def start_informing(
        self, digest: bytes, service: str, now: datetime.timedelta
    ) -> frozenset[str]:
        """Return the holders to inform about a request now.

        Later ones are found by `collect_histories`.
        """
        holders = self.list_shard_holders(service, now)
        self._informed[digest] = _InformedHolders(service, holders, now)
        return holders

    def collect_histories(
        self, now: datetime.timedelta
    ) -> Iterator[tuple[str, messages.FinishRequest]]:
        """Yield the new holders of shards, and what they must know.

        Only the instances that saw a server end send this, and only about
        requests that are refused.
        """
        for digest, informed in tuple(self._informed.items()):
            if not self.crashes.list_crashes(digest, now):
                del self._informed[digest]
            elif self.crashes.is_refused(digest, now):
                is_repeated = now - informed.at >= INFORM_INTERVAL
                told = frozenset() if is_repeated else informed.holders
                holders = self.list_shard_holders(informed.service, now)
                self._informed[digest] = _InformedHolders(
                    informed.service,
                    holders,
                    now if is_repeated else informed.at,
                )
                message = make_history_report(
                    informed.service,
                    'ended',
                    self.crashes.make_history(digest, now),
                )
                for holder in holders - told:
                    yield holder, message

    def find_shard(self, server: configuration.BackendServer) -> shards.Shard:
        """Return the shard to which a server belongs."""
        counts = self._shard_counts.get(server.service, {})
        return shards.find_shard(server, counts.get(server.domain, 1))

    def find_shard_holder(
        self, shard: shards.Shard, now: datetime.timedelta, excluded: str = ''
    ) -> str:
        """Return the instance that coordinates a shard's servers.

        Without the `excluded` holder it is its successor.
        """
        name = f'{shard.service}/{shard.index}/{shard.count}'
        resource = rendezvous.CoordinatedResource('pool', name)
        return self.roster.choose_holder(resource, now, shard.domain, excluded)

    def list_addresses(self, limit: int) -> tuple[str, ...]:
        """Return addresses of ready instances for callers.

        At most `limit` addresses are returned; with more ready instances, a
        weighted random sample prefers larger ones.
        """
        ready = self.roster.list_ready()
        if len(ready) > limit:
            # Callers use the addresses evenly, so larger instances have to
            # be returned more often.
            ready = heapq.nlargest(
                limit, ready, key=lambda r: self._rng.random() ** (1 / r.cores)
            )
        return tuple(record.callers for record in ready)

    def admit_locally(
        self,
        customer: str,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta = datetime.timedelta(0),
    ) -> quotas.QuotaDecision:
        """Admit a request from this instance's local part of the quota."""
        known = self.current_configuration.customers.get(customer)
        if known is None:
            raise errors.make_error('key_unknown')
        position = self._find_position(now)
        return self._local_quota.admit(known, position, now, longest_wait)

    # Messages from other instances

    def handle_message(
        self, sender: str, message: Any, now: datetime.timedelta
    ) -> Any:
        """Return the reply to a message, or raise a FleetError."""
        if sender != self.instance_settings.name:
            self.roster.record_contact(sender, now)
        match message:
            case messages.Check(news=news):
                self.roster.merge(news, now)
                return messages.CheckReply(
                    self.roster.digest, self.roster.collect_updates()
                )
            case messages.Exchange(records=records):
                self.roster.merge(records, now)
                return messages.ExchangeReply(self.roster.records)
            case messages.PullChanges():
                return self._handle_pull(message, now)
            case messages.AskQuota():
                return self._handle_ask_quota(message, now)
            case messages.AskServer():
                return self._handle_ask_server(sender, message, now)
            case messages.FinishRequest():
                return self._handle_finish(message, now)
            case messages.ShareRetries(shard, reports):
                self._get_retry_ledger(shard).merge(reports, now)
                return messages.Done()
        raise errors.make_error('message_undecodable', type(message).__name__)

    def _handle_pull(
        self, message: messages.PullChanges, now: datetime.timedelta
    ) -> messages.ChangesReply:
        changes: tuple[replica.EntryChange, ...] = ()
        if message.era == self.replica.era:
            changes = self.replica.list_changes_since(message.revision)
        elif message.era < self.replica.era:
            changes = self.replica.list_changes_since(-1)
        age_s = -1.0
        if self.follower.is_confirmed:
            age_s = self.follower.find_staleness(now).total_seconds()
        return messages.ChangesReply(
            self.replica.revision,
            age_s,
            changes,
            self.replica.era,
        )

    def _find_quota_ratio(self, now: datetime.timedelta) -> float:
        """Return the fraction of a customer's rate that a holder may admit."""
        if not self.roster.has_finished_joining(now):
            # Instances that start together do not know each other yet, so
            # each considers itself the holder. Instances that know each other
            # agree on one holder.
            return 1 / quotas.ASSUMED_INSTANCES
        up = len(self.roster.list_up())
        recent = self.roster.count_recently_up(now)
        return up / max(up, recent)

    def _find_position(
        self, now: datetime.timedelta
    ) -> fleet_buckets.FleetPosition:
        return fleet_buckets.FleetPosition(
            self.instance_settings.name,
            self.roster.own_rank,
            self.roster.count_recently_up(now),
            self._find_quota_ratio(now),
            self.roster.has_settled_other(now),
        )

    def _find_limit_position(
        self, shard: shards.Shard, now: datetime.timedelta
    ) -> fleet_buckets.FleetPosition:
        """Return the part of the limits at a shard's servers to use here."""
        name = self.instance_settings.name
        known = self.roster.count_possibly_up()
        ratio = 0.0
        was_paused = (
            now < self._resumes_at or now - self._advanced_at > PAUSE_LIMIT
        )
        if not was_paused and self.find_shard_holder(shard, now) == name:
            has_joined = self.roster.has_finished_joining(now)
            ratio = server_limits.find_usable_part(
                self.roster.count_settled(now), known if has_joined else None
            )
        return fleet_buckets.FleetPosition(
            name, self.roster.own_rank, known, ratio
        )

    def _find_budget_share(
        self, shard: shards.Shard, now: datetime.timedelta
    ) -> retry_budgets.BudgetShare:
        """Return what this instance may use of a shard's retry budget."""
        count = sum(self._shard_counts.get(shard.service, {}).values())
        known = None
        if self.roster.has_finished_joining(now):
            known = self.roster.count_possibly_up()
        return retry_budgets.BudgetShare(
            self.instance_settings.terms.repeat_slack / max(1, count),
            server_limits.find_usable_part(len(self.roster.list_up()), known),
            self._held_since[shard],
        )

    def _get_retry_ledger(
        self, shard: shards.Shard
    ) -> retry_ledgers.RetryLedger:
        ledger = self._retry_ledgers.get(shard)
        if ledger is None:
            window = self.instance_settings.terms.repeat_window
            ledger = retry_ledgers.RetryLedger(self._retry_origin, window)
            self._retry_ledgers[shard] = ledger
        return ledger

    def list_retry_reports(
        self, shard: shards.Shard, holder: str, now: datetime.timedelta
    ) -> tuple[retry_ledgers.RetryReport, ...]:
        """Return the attempts of which a holder may not know."""
        ledger = self._get_retry_ledger(shard)
        if ledger.informed == self._identify(holder):
            return ()
        return ledger.list_reports(now)

    def merge_retry_reports(
        self,
        shard: shards.Shard,
        holder: str,
        reports: tuple[retry_ledgers.RetryReport, ...],
        now: datetime.timedelta,
    ) -> None:
        """Record the reports in the reply of a holder that has been told."""
        ledger = self._get_retry_ledger(shard)
        ledger.merge(reports, now)
        ledger.informed = self._identify(holder)

    def collect_retry_shares(
        self, now: datetime.timedelta
    ) -> Iterator[tuple[str, messages.ShareRetries]]:
        """Yield the successors of this holder, and what they must know.

        A holder that was replaced tells the one that replaced it.
        """
        name = self.instance_settings.name
        for shard in self.pools:
            reports = self._get_retry_ledger(shard).collect_share(now)
            holder = self.find_shard_holder(shard, now)
            if holder == name:
                holder = self.find_shard_holder(shard, now, excluded=name)
            if reports and holder != name:
                yield holder, messages.ShareRetries(shard, reports)

    def _identify(self, name: str) -> tuple[str, int]:
        record = self.roster.find_record(name)
        return name, record.epoch if record else 0

    def _handle_ask_quota(
        self, message: messages.AskQuota, now: datetime.timedelta
    ) -> messages.QuotaReply:
        known = self.current_configuration.customers.get(message.customer)
        if known is None:
            # The sender may have a newer configuration.
            raise errors.make_error('not_holder', message.customer)
        longest_wait = datetime.timedelta(seconds=message.longest_wait_s)
        request = None
        if message.request_id:
            request = token_queue.TokenRequest(
                message.request_id,
                longest_wait,
                datetime.timedelta(seconds=message.late_wait_s),
                message.priority,
            )
        admission = self._quota_holder.admit(
            known,
            self._find_position(now),
            now,
            longest_wait,
            self._holds_quota(message.customer, now),
            request,
        )
        return messages.QuotaReply(
            admission.is_admitted,
            admission.delay.total_seconds(),
            admission.is_waiting,
        )

    def _handle_ask_server(
        self, sender: str, message: messages.AskServer, now: datetime.timedelta
    ) -> messages.ServerReply:
        self._detect_pause(now)
        pool = self._get_pool(message.shard, now)
        ledger = self._get_retry_ledger(message.shard)
        ledger.merge(message.retries or (), now)
        self.statements.limits.merge(message.limits, now)
        history = self._merge_history(message.history, now)
        if history and self.crashes.is_refused(history.digest, now):
            result = dispatch_requests.DispatchDenial(
                'request_crashes', datetime.timedelta(0)
            )
        else:
            result = pool.request_permit(
                _make_dispatch_request(message, sender), now
            )
        ejected = pool.list_ejected(now)
        limits = self.statements.limits.list_limits(
            message.shard.has_server,
            now,
            frozenset(limit.server for limit in message.limits),
        )
        retries: tuple[retry_ledgers.RetryReport, ...] = ()
        is_told = message.retries is not None
        if is_told and sender != self.instance_settings.name:
            retries = ledger.collect_reports(sender, message.is_repeat, now)
        match result:
            case dispatch_requests.DispatchPermit(permit_id, server, patience):
                return messages.ServerReply(
                    permit_id,
                    server,
                    patience.total_seconds(),
                    ejected=ejected,
                    limits=limits,
                    history=history,
                    retries=retries,
                )
            case dispatch_requests.DispatchDenial(
                code, retry_after, permit_id
            ):
                return messages.ServerReply(
                    permit_id,
                    code=code,
                    retry_after_s=retry_after.total_seconds(),
                    ejected=ejected,
                    limits=limits,
                    history=history,
                    retries=retries,
                )
            case dispatch_requests.QueuePlace(wait, doubt, is_queued):
                return messages.ServerReply(
                    ejected=ejected,
                    limits=limits,
                    wait_s=wait.total_seconds(),
                    doubt=doubt,
                    history=history,
                    is_queued=is_queued,
                    retries=retries,
                )

    def _merge_history(
        self,
        history: request_crashes.RequestHistory | None,
        now: datetime.timedelta,
    ) -> request_crashes.RequestHistory | None:
        """Return what is known of a request if servers ended under it.

        Crashes that the sender knows may not count any more.
        """
        if history is None:
            return None
        self.crashes.merge(history, now)
        known = self.crashes.make_history(history.digest, now)
        return known if history.crashes or known.crashes else None

    def _handle_finish(
        self, message: messages.FinishRequest, now: datetime.timedelta
    ) -> messages.Done:
        history = self._merge_history(message.history, now)
        pool = self.pools.get(message.shard)
        if pool is not None:
            pool.finish_permit(
                message.permit_id,
                message.outcome,
                datetime.timedelta(seconds=message.latency_s),
                now,
                message.statement,
            )
        return messages.Done(history)
