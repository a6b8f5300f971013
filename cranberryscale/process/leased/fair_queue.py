"""Fair queue of a pool: round robin over customers, each by deadline."""

import bisect
import collections
from collections.abc import Iterator
from typing import NamedTuple

from cranberryscale import messages


__all__ = ['FairQueue', 'QueuedRequest']


# Part of the time until the deadline that a request may wait in one queue.
# There are usually three domains, so three pools to try.
_QUEUE_TIME_RATIO = 1 / 3


class QueuedRequest(NamedTuple):
    """Queued request for a permit; it sorts by deadline.

    `ticket` identifies it in the reply; `requested_s` is when it arrived.
    """

    deadline_s: float
    ticket: int
    requested_s: float
    sender: str
    request: messages.TakePermit

    @property
    def customer(self) -> str:
        """Return the customer of the request."""
        return self.request.customer

    @property
    def queue_deadline_s(self) -> float:
        """Return when to give up, so that another pool can be tried."""
        return self.requested_s + _QUEUE_TIME_RATIO * (
            self.deadline_s - self.requested_s
        )


class FairQueue:
    """Queue in deficit round robin order over customers.

    Each request costs one unit and each turn adds one unit, so the deficit is
    always zero after a turn and needs no counter. The customers are kept in
    the order of their turns, the requests of a customer by deadline.
    """

    def __init__(self) -> None:
        self._by_customer: collections.OrderedDict[
            str, list[QueuedRequest]
        ] = collections.OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, queued: QueuedRequest) -> None:
        """Add a request, ordered by deadline among its customer's requests."""
        bisect.insort(
            self._by_customer.setdefault(queued.customer, []), queued
        )
        self._count += 1

    def remove(self, queued: QueuedRequest) -> None:
        """Remove a request; its customer keeps its turn."""
        requests = self._by_customer[queued.customer]
        requests.remove(queued)
        self._count -= 1
        if not requests:
            del self._by_customer[queued.customer]

    def dequeue(self, queued: QueuedRequest) -> None:
        """Remove a granted request and move its customer to the end."""
        self.remove(queued)
        if queued.customer in self._by_customer:
            self._by_customer.move_to_end(queued.customer)

    def iterate(self) -> Iterator[QueuedRequest]:
        """Return an iterator over the requests in the order of their turns."""
        max_length = max(map(len, self._by_customer.values()), default=0)
        return (
            requests[position]
            for position in range(max_length)
            for requests in tuple(self._by_customer.values())
            if position < len(requests)
        )

    def count_ahead(self, customer: str, deadline_s: float) -> int:
        """Return how many requests would be served before a new one."""
        own = self._by_customer.get(customer, ())
        position = sum(queued.deadline_s <= deadline_s for queued in own)
        return position + sum(
            min(len(requests), position + 1)
            for name, requests in self._by_customer.items()
            if name != customer
        )

    def find_evictable(self, customer: str) -> QueuedRequest | None:
        """Return the request to drop in favour of a customer with fewer.

        It has the latest deadline among those of the customer with the most
        requests. Returns None if `customer` itself has about as many.
        """
        longest_list = max(self._by_customer.values(), key=len, default=[])
        if len(longest_list) <= len(self._by_customer.get(customer, ())) + 1:
            return None
        return longest_list[-1]

    def list_late(self, now_s: float, service_s: float) -> list[QueuedRequest]:
        """Return the requests that cannot finish or waited for too long.

        `service_s` is the time that a request takes at a server.
        """
        return [
            queued
            for requests in self._by_customer.values()
            for queued in requests
            if queued.deadline_s < now_s + service_s
            or queued.queue_deadline_s < now_s
        ]
