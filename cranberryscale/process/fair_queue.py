"""Queue of a pool: fair across customers, by deadline for each customer."""

import bisect
import collections
from collections.abc import Iterator
from typing import NamedTuple

from cranberryscale import messages


__all__ = ['FairQueue', 'QueuedRequest']


# There are usually three domains, so three pools to ask.
_WAIT_RATIO = 1 / 3


class QueuedRequest(NamedTuple):
    """Describe a queued request; it sorts by deadline."""

    deadline_s: float
    ticket: int
    asked_s: float
    sender: str
    request: messages.TakePermit

    @property
    def customer(self) -> str:
        """Return the customer whose turn the entry uses."""
        return self.request.customer

    @property
    def waits_until_s(self) -> float:
        """Return when the entry should rather try another domain's pool."""
        return self.asked_s + _WAIT_RATIO * (self.deadline_s - self.asked_s)


class FairQueue:
    """Hold requests in deficit round robin order over customers.

    Each request costs one unit and each turn gives one unit, so the deficit
    is always zero after a turn and needs no counter.
    """

    def __init__(self) -> None:
        self._turns: collections.OrderedDict[str, list[QueuedRequest]] = (
            collections.OrderedDict()
        )
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, entry: QueuedRequest) -> None:
        """Queue the entry behind its customer's earlier deadlines."""
        bisect.insort(self._turns.setdefault(entry.customer, []), entry)
        self._count += 1

    def remove(self, entry: QueuedRequest) -> None:
        """Remove the entry and keep its customer's place."""
        entries = self._turns[entry.customer]
        entries.remove(entry)
        self._count -= 1
        if not entries:
            del self._turns[entry.customer]

    def dequeue(self, entry: QueuedRequest) -> None:
        """Remove the entry and pass its customer's turn on."""
        self.remove(entry)
        if entry.customer in self._turns:
            self._turns.move_to_end(entry.customer)

    def iterate(self) -> Iterator[QueuedRequest]:
        """Yield the entries in the order in which they are due."""
        longest = max(map(len, self._turns.values()), default=0)
        return (
            entries[place]
            for place in range(longest)
            for entries in tuple(self._turns.values())
            if place < len(entries)
        )

    def count_ahead(self, customer: str, deadline_s: float) -> int:
        """Return how many entries would be served before a new one."""
        own = self._turns.get(customer, ())
        place = sum(entry.deadline_s <= deadline_s for entry in own)
        return place + sum(
            min(len(entries), place + 1)
            for name, entries in self._turns.items()
            if name != customer
        )

    def find_evictable(self, customer: str) -> QueuedRequest | None:
        """Return the entry to drop in favour of a customer with fewer.

        It is the latest deadline of the customer with the most entries;
        None when the asking customer has about as many itself.
        """
        most = max(self._turns.values(), key=len, default=[])
        if len(most) <= len(self._turns.get(customer, ())) + 1:
            return None
        return most[-1]

    def list_late(self, now_s: float, service_s: float) -> list[QueuedRequest]:
        """Return the entries that cannot make their deadline from here."""
        return [
            entry
            for entries in self._turns.values()
            for entry in entries
            if entry.deadline_s < now_s + service_s
            or entry.waits_until_s < now_s
        ]
