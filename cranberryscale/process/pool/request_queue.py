"""Requests that wait for a slot of a pool, in the order of their service.

Load pattern: a surge from all callers. Requests of higher priority go first,
and within a priority those that can still meet their target.
"""

from collections.abc import Callable
from collections.abc import Iterator
import datetime

from cranberryscale.process.pool import dispatch_requests


__all__ = ['QueuedRequest', 'RequestQueue']


class QueuedRequest:
    """A request that waits for a free slot.

    Its target latency ends at `target_at`, its remaining time at `deadline`.
    The instance last polled for it at `polled_at`.
    """

    def __init__(
        self,
        request: dispatch_requests.DispatchRequest,
        now: datetime.timedelta,
    ):
        self.request = request
        self.target_at = now + request.target - request.waited
        self.deadline = now + request.remaining
        self.polled_at = now

    def make_current_request(
        self, now: datetime.timedelta
    ) -> dispatch_requests.DispatchRequest:
        """Return the request with its times brought up to now."""
        waited = self.request.target - (self.target_at - now)
        return self.request._replace(
            waited=waited, remaining=self.deadline - now
        )


class RequestQueue:
    """The waiting requests of a pool.

    `estimate_latency` returns how long a request usually takes.
    """

    def __init__(
        self,
        estimate_latency: Callable[
            [dispatch_requests.DispatchRequest], datetime.timedelta
        ],
    ):
        self._estimate_latency = estimate_latency
        self._queued: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._queued)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(tuple(self._queued.values()))

    def get(self, request_id: str) -> QueuedRequest | None:
        """Return a waiting request, or None."""
        return self._queued.get(request_id)

    def add(self, queued: QueuedRequest) -> None:
        """Add a request."""
        self._queued[queued.request.request_id] = queued

    def remove(self, request_id: str) -> None:
        """Remove a request."""
        del self._queued[request_id]

    def count_ahead(self, queued: QueuedRequest) -> int:
        """Return how many requests are expected to go before this one."""
        place = (queued.request.priority, queued.target_at)
        return sum(
            (other.request.priority, other.target_at) < place
            for other in self._queued.values()
        )

    def list_in_order(self, now: datetime.timedelta) -> list[QueuedRequest]:
        """Return the requests in the order in which they get slots."""
        return sorted(
            self._queued.values(), key=lambda q: self._find_place(q, now)
        )

    def _find_place(
        self, queued: QueuedRequest, now: datetime.timedelta
    ) -> tuple[int, bool, datetime.timedelta]:
        usual = self._estimate_latency(queued.request)
        is_late = now + usual > queued.target_at
        return (queued.request.priority, is_late, queued.target_at)
