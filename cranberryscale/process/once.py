"""Memory of idempotency keys at the holder of a customer's first share.

A repeat is refused while its holder remembers the first request. The memory
is lost with the lease: what an earlier holder knew, a new one does not.
"""

import datetime
from typing import Any
from typing import NamedTuple


__all__ = ['Once', 'Started', 'Refused']

# A key takes about 300 bytes, so a full memory stays under 64 MB.
KEYS_LIMIT = 200_000


class Started(NamedTuple):
    """Let the request run; `finish` must follow."""


class Refused(NamedTuple):
    """Refuse the request with a code of the error table."""

    code: str


class _Key(NamedTuple):
    customer: str
    once_key: str


class _Entry(NamedTuple):
    request_id: str
    since: datetime.timedelta
    expires: datetime.timedelta
    is_finished: bool = False


class Once:
    """Remember requests by idempotency key for the time `keep`."""

    def __init__(self, keep: datetime.timedelta, limit: int = KEYS_LIMIT):
        self._keep = keep
        self._limit = limit
        self._entries: dict[_Key, _Entry] = {}

    def __len__(self) -> int:
        """Return the number of keys in memory."""
        return len(self._entries)

    def begin(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        lease: Any,
        now: datetime.timedelta,
    ) -> Started | Refused:
        """Start a request unless its key is known.

        The same request may ask again. A full memory refuses, since
        forgetting a key would let its request run twice.
        """
        if lease is None or lease.until <= now:
            return Refused('budget_unavailable')
        key = _Key(customer, once_key)
        known = self._entries.get(key)
        if known and known.since == lease.since and known.expires > now:
            if known.is_finished:
                return Refused('duplicate_finished')
            if known.request_id != request_id:
                return Refused('duplicate_running')
        elif len(self._entries) >= self._limit:
            return Refused('budget_unavailable')
        self._entries[key] = _Entry(request_id, lease.since, now + self._keep)
        return Started()

    def finish(
        self,
        customer: str,
        once_key: str,
        request_id: str,
        ran: bool,
        now: datetime.timedelta,
    ) -> None:
        """Record the end of a request; one that did not run is forgotten."""
        key = _Key(customer, once_key)
        known = self._entries.get(key)
        if known is None or known.request_id != request_id:
            return
        if ran:
            self._entries[key] = known._replace(
                is_finished=True, expires=now + self._keep
            )
        elif not known.is_finished:
            del self._entries[key]

    def drop_expired(self, now: datetime.timedelta) -> None:
        """Forget keys whose time is over."""
        for key, entry in tuple(self._entries.items()):
            if entry.expires <= now:
                del self._entries[key]
