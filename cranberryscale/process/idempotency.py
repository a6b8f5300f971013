"""Registry of idempotency keys at the holder of a customer's share 0.

A request whose key is registered by another request is refused, whether that
one is still running or has finished. All requests of a customer register at
the same holder: that of the first share of its budget.
"""

import collections
import datetime
import enum
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import token_bucket


__all__ = ['IdempotencyRegistry', 'KeyState', 'request_tokens_once']

MAX_KEYS = 100_000


class KeyState(enum.Enum):
    """State of a request with an idempotency key; part of error codes."""

    STARTED = 'started'
    RUNNING = 'running'
    FINISHED = 'finished'


class KeyRecord(NamedTuple):
    """The request that uses a key, and when the key expires."""

    request_id: str
    expires: datetime.timedelta
    finished: bool


class IdempotencyRegistry:
    """Idempotency keys, kept for `lifetime` under one lease of share 0.

    A key is never removed early while the lease lasts: with `limit` keys
    registered, new ones are refused with `budget_unavailable`.
    """

    def __init__(self, lifetime: datetime.timedelta, limit: int = MAX_KEYS):
        self._lifetime = lifetime
        self._limit = limit
        # In the order of expiry, since all keys have the same lifetime.
        self._records: collections.OrderedDict[tuple[str, str], KeyRecord] = (
            collections.OrderedDict()
        )
        self._leases: dict[str, datetime.timedelta] = {}

    def __len__(self) -> int:
        """Return the number of registered keys."""
        return len(self._records)

    def _expire(self, now: datetime.timedelta) -> None:
        while self._records:
            key, record = next(iter(self._records.items()))
            if record.expires > now:
                return
            del self._records[key]

    def sync_lease(self, customer: str, lease) -> bool:
        """Remove the customer's keys if the lease is another one or None.

        Return whether there is a lease.
        """
        since = lease.since if lease is not None else None
        if self._leases.get(customer) != since:
            self.remove_customer(customer)
            if since is not None:
                self._leases[customer] = since
        return lease is not None

    def remove_customer(self, customer: str) -> None:
        """Remove the customer's keys; another instance may hold them now."""
        if self._leases.pop(customer, None) is not None:
            for key in [k for k in self._records if k[0] == customer]:
                del self._records[key]

    def register(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        now: datetime.timedelta,
    ) -> KeyState:
        """Register a request; return STARTED also if it registered before.

        Raises BudgetUnavailable when the registry is full.
        """
        self._expire(now)
        key = (customer, once_key)
        record = self._records.get(key)
        if record is not None:
            if record.finished:
                return KeyState.FINISHED
            is_same_request = record.request_id == request_id
            return KeyState.STARTED if is_same_request else KeyState.RUNNING
        if len(self._records) >= self._limit:
            raise errors.make_error(
                'budget_unavailable',
                len(self._records),
                self._find_retry_after(now),
            )
        expires = now + self._lifetime
        self._records[key] = KeyRecord(request_id, expires, False)
        return KeyState.STARTED

    def _find_retry_after(self, now: datetime.timedelta) -> datetime.timedelta:
        return next(iter(self._records.values())).expires - now

    def finish(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        ran: bool,
        now: datetime.timedelta,
    ) -> None:
        """Record the end of a request, or remove one that did not run.

        Only the request that registered the key may finish it. Pass `ran` as
        False only if it is certain that the request did not run.
        """
        self._expire(now)
        key = (customer, once_key)
        record = self._records.get(key)
        if record is None or record.request_id != request_id:
            return
        if ran:
            self._records[key] = record._replace(finished=True)
        elif not record.finished:
            del self._records[key]


def _register_key(
    registry: IdempotencyRegistry,
    request: messages.TakeTokens,
    now: datetime.timedelta,
) -> messages.TokenDenial | None:
    try:
        state = registry.register(
            request.customer, request.once_key, request.request_id, now
        )
    except errors.RequestError as error:
        wait_s = error.retry_after.total_seconds()
        return messages.TokenDenial(error.code, wait_s)
    if state is KeyState.STARTED:
        return None
    return messages.TokenDenial(f'duplicate_{state.value}', 1.0)


def request_tokens_once(
    holder: budgets.BudgetHolder,
    registry: IdempotencyRegistry,
    request: messages.TakeTokens,
    share: token_bucket.BudgetShare,
    lease,
    now: datetime.timedelta,
) -> messages.TokenGrant | messages.TokenDenial:
    """Answer TakeTokens, first registering its once key if it has one.

    A grant of 0 tokens means that the key is registered but the share is
    empty. The sender then tries other shares, and reports the request as not
    run if it gets no token.
    """
    if not request.once_key:
        return holder.request_tokens(request, share, lease, now)
    if lease is not None and lease.until <= now:
        lease = None
    if not registry.sync_lease(request.customer, lease):
        return messages.TokenDenial('not_holder', 0.0)
    denial = _register_key(registry, request, now)
    if denial is not None:
        return denial
    reply = holder.request_tokens(request, share, lease, now)
    if isinstance(reply, messages.TokenDenial):
        return messages.TokenGrant(0, 0, 0.0, reply.left)
    return reply
