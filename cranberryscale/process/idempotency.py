"""Memory of idempotency keys at the holder of a customer's share 0."""

import collections
import datetime
import enum
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import token_bucket


__all__ = ['IdempotencyRegistry', 'KeyState', 'request_tokens_once']

ENTRY_LIMIT = 100_000


class KeyState(enum.Enum):
    """Tell what is known of a request with an idempotency key."""

    STARTED = 'started'
    RUNNING = 'running'
    FINISHED = 'finished'


class KeyRecord(NamedTuple):
    """Remember which request uses a key, and until when."""

    request_id: str
    expires: datetime.timedelta
    finished: bool


class IdempotencyRegistry:
    """Remember keys for `lifetime`, per lease of the customer's share 0.

    A key is never forgotten early while the lease lasts: when `limit` keys
    are remembered, new ones are refused with `budget_unavailable`.
    """

    def __init__(self, lifetime: datetime.timedelta, limit: int = ENTRY_LIMIT):
        self._lifetime = lifetime
        self._limit = limit
        # In the order of expiry, since all keys have the same lifetime.
        self._entries: collections.OrderedDict[tuple[str, str], KeyRecord] = (
            collections.OrderedDict()
        )
        self._leases: dict[str, datetime.timedelta] = {}

    def __len__(self) -> int:
        """Return the number of keys remembered."""
        return len(self._entries)

    def _expire(self, now: datetime.timedelta) -> None:
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.expires > now:
                return
            del self._entries[key]

    def sync_lease(self, customer: str, lease) -> bool:
        """Forget the customer's keys if the lease is another or None.

        Returns whether there is a lease.
        """
        since = lease.since if lease is not None else None
        if self._leases.get(customer) != since:
            self.drop_customer(customer)
            if since is not None:
                self._leases[customer] = since
        return lease is not None

    def drop_customer(self, customer: str) -> None:
        """Forget the customer's keys; another instance may hold them now."""
        if self._leases.pop(customer, None) is not None:
            for key in [k for k in self._entries if k[0] == customer]:
                del self._entries[key]

    def register(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        now: datetime.timedelta,
    ) -> KeyState:
        """Register a request; STARTED also when it registered itself before.

        Raises BudgetUnavailable when the memory is full.
        """
        self._expire(now)
        key = (customer, once_key)
        entry = self._entries.get(key)
        if entry is not None:
            if entry.finished:
                return KeyState.FINISHED
            same = entry.request_id == request_id
            return KeyState.STARTED if same else KeyState.RUNNING
        if len(self._entries) >= self._limit:
            raise errors.make_error(
                'budget_unavailable', len(self._entries), self._find_wait(now)
            )
        expires = now + self._lifetime
        self._entries[key] = KeyRecord(request_id, expires, False)
        return KeyState.STARTED

    def _find_wait(self, now: datetime.timedelta) -> datetime.timedelta:
        return next(iter(self._entries.values())).expires - now

    def finish(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        ran: bool,
        now: datetime.timedelta,
    ) -> None:
        """Record the end of a request, or forget one that did not run.

        Only the request that registered the key may finish it. Use `ran`
        False only when it is certain that the request did not run.
        """
        self._expire(now)
        key = (customer, once_key)
        entry = self._entries.get(key)
        if entry is None or entry.request_id != request_id:
            return
        if ran:
            self._entries[key] = entry._replace(finished=True)
        elif not entry.finished:
            del self._entries[key]


def _register(
    memory: IdempotencyRegistry,
    request: messages.TakeTokens,
    now: datetime.timedelta,
) -> messages.TokenDenial | None:
    try:
        state = memory.register(
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
    memory: IdempotencyRegistry,
    request: messages.TakeTokens,
    share: token_bucket.BudgetShare,
    lease,
    now: datetime.timedelta,
) -> messages.TokenGrant | messages.TokenDenial:
    """Answer TakeTokens, registering its once key first if it has one.

    A grant of 0 tokens means: registered, but the share is empty. The sender
    asks other shares and reports the request as not run if it gets none.
    """
    if not request.once_key:
        return holder.request_tokens(request, share, lease, now)
    if lease is not None and lease.until <= now:
        lease = None
    if not memory.sync_lease(request.customer, lease):
        return messages.TokenDenial('not_holder', 0.0)
    refusal = _register(memory, request, now)
    if refusal is not None:
        return refusal
    reply = holder.request_tokens(request, share, lease, now)
    if isinstance(reply, messages.TokenDenial):
        return messages.TokenGrant(0, 0, 0.0, reply.left)
    return reply
