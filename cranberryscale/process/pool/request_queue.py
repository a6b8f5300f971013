"""Requests that wait for a slot of a pool, in the order of their service.

Load pattern: a surge from all callers. Requests of higher priority go first,
and within a priority those of customers that got no more than their share,
those that can still meet their target, and those that must start first.
"""

from collections.abc import Iterator
import datetime

from cranberryscale.process.pool import dispatch_requests


__all__ = ['MIN_SHARE', 'QueuedRequest', 'RequestQueue']

# Part of the slots that the longest-waiting requests get while there are any,
# so that neither priorities nor targets keep requests waiting for ever.
MIN_SHARE = 1 / 8
# Slots that others may get for each of these.
STARTS_PER_TURN = 7


class QueuedRequest:
    """A request that waits for a free slot.

    Its target latency ends at `target_at`, its remaining time at `deadline`.
    It usually takes `usual`, so it is late if it starts after `latest_start`.
    The instance last polled for it at `polled_at`.
    """

    def __init__(
        self,
        request: dispatch_requests.DispatchRequest,
        usual: datetime.timedelta,
        now: datetime.timedelta,
    ):
        self.request = request
        self.usual = usual
        self.target_at = now + request.target - request.waited
        self.latest_start = self.target_at - usual
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

    `over_share` are the customers whose requests go after those of the others.
    """

    def __init__(self) -> None:
        self.over_share: frozenset[str] = frozenset()
        self._queued: dict[str, QueuedRequest] = {}
        # Slots that others got before the one for the longest wait.
        self._starts = 0

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
        """Remove a request that gets no slot."""
        del self._queued[request_id]
        self._limit_starts()

    def start(self, queued: QueuedRequest, now: datetime.timedelta) -> None:
        """Record that a request, queued or new, got a slot."""
        is_longest = queued is self._find_longest_waiting(now)
        self._queued.pop(queued.request.request_id, None)
        self._starts += -STARTS_PER_TURN if is_longest else 1
        self._limit_starts()

    def _limit_starts(self) -> None:
        most = STARTS_PER_TURN * len(self._queued)
        self._starts = max(0, min(self._starts, most))

    def _find_longest_waiting(
        self, now: datetime.timedelta
    ) -> QueuedRequest | None:
        """Return the first of those that can still meet their target."""
        return next(
            (q for q in self._queued.values() if now <= q.latest_start), None
        )

    def count_ahead(self, queued: QueuedRequest) -> int:
        """Return how many requests are expected to go before this one."""
        place = self._find_place(queued)
        return sum(
            self._find_place(other) < place for other in self._queued.values()
        )

    def list_in_order(self, now: datetime.timedelta) -> list[QueuedRequest]:
        """Return the requests in the order in which they get slots."""
        ordered = sorted(
            self._queued.values(),
            key=lambda q: (
                q.request.priority,
                q.request.customer in self.over_share,
                now > q.latest_start,
                q.latest_start,
            ),
        )
        longest = self._find_longest_waiting(now)
        if longest is not None and self._starts >= STARTS_PER_TURN:
            ordered.remove(longest)
            ordered.insert(0, longest)
        return ordered

    def _find_place(
        self, queued: QueuedRequest
    ) -> tuple[int, bool, datetime.timedelta]:
        request = queued.request
        return (
            request.priority,
            request.customer in self.over_share,
            queued.latest_start,
        )
