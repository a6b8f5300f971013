"""Requests of one customer that wait for tokens of its rate.

Load pattern: a customer over its rate for some seconds, with requests that
can wait for seconds beside requests that cannot. The holder keeps the order;
the instances hold the requests and ask again when told to.
"""

import bisect
import datetime
import math
from typing import NamedTuple


__all__ = ['ASK_LIMIT', 'TokenQueue', 'TokenRequest']

ZERO = datetime.timedelta(0)
# How often a request asks again at most.
ASK_LIMIT = 5
# An instance that asks this much later than it was told has ended, or its
# caller has left.
ASK_GRACE = datetime.timedelta(milliseconds=500)
MIN_INTERVAL = datetime.timedelta(milliseconds=50)
SWEEP_INTERVAL = datetime.timedelta(milliseconds=200)
# Tokens that other requests may get for each one of those that have waited
# longest. While requests wait, every eighth token goes to these, so no rank
# starves.
TOKENS_PER_TURN = 7
MIN_SHARE = 1 / (1 + TOKENS_PER_TURN)
# Tokens that are kept for requests that have not asked again yet.
RESERVE_LIMIT = 1
RATE_TIME = datetime.timedelta(seconds=1)
# Rank of requests that book tokens instead of waiting in the queue.
BOOKING_RANK = -1


class TokenRequest(NamedTuple):
    """Request for a token that can be repeated under the same id.

    It is on time if it starts within `longest_wait`, and a late response is
    still of use if it starts within `late_wait`. Requests with a lower number
    as `priority` go first.
    """

    request_id: str
    longest_wait: datetime.timedelta
    late_wait: datetime.timedelta = ZERO
    priority: int = 0


class _Place(NamedTuple):
    """Place in the queue, by rank and the latest time at which to start.

    Requests that cannot be on time go last.
    """

    is_late: bool
    priority: int
    start_by: datetime.timedelta
    number: int
    request_id: str

    @property
    def by_arrival(self) -> tuple[int, str]:
        """Return the sort key in the order of arrival."""
        return (self.number, self.request_id)


class _RateEstimate:
    """Events per second over about the last RATE_TIME."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at = ZERO

    def find_rate(self, now: datetime.timedelta) -> float:
        """Return the events per second."""
        age = max(now - self._updated_at, ZERO)
        return self._rate_per_s * math.exp(-(age / RATE_TIME))

    def record(self, now: datetime.timedelta) -> None:
        """Record an event."""
        self._rate_per_s = self.find_rate(now) + 1 / RATE_TIME.total_seconds()
        self._updated_at = now


class TokenQueue:
    """The waiting requests of one customer in the order of their tokens."""

    def __init__(self) -> None:
        self._places: list[_Place] = []
        # Sort keys of those that can be on time.
        self._arrivals: list[tuple[int, str]] = []
        self._place_of: dict[str, _Place] = {}
        self._ask_by: dict[str, datetime.timedelta] = {}
        self._late_by: dict[str, datetime.timedelta] = {}
        self._intervals: dict[str, datetime.timedelta] = {}
        self._number = 0
        # Tokens that others got beside the longest waits.
        self._others = 0
        self._rates: dict[int, _RateEstimate] = {}
        self._swept_at = ZERO

    def __len__(self) -> int:
        return len(self._places)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._place_of

    @property
    def _turns(self) -> int:
        """Return the tokens that the longest waits may take out of rank."""
        return min(self._others // TOKENS_PER_TURN, len(self._arrivals))

    @property
    def reserved(self) -> int:
        """Return the tokens that only requests with credit may take."""
        return min(self._turns, RESERVE_LIMIT)

    def has_credit(self, request_id: str) -> bool:
        """Return whether a request may take a token out of its rank.

        These are those that have waited longest.
        """
        place = self._place_of[request_id]
        if place.is_late:
            return False
        index = bisect.bisect_left(self._arrivals, place.by_arrival)
        return index < self._turns

    def record_token(self, rank: int, now: datetime.timedelta) -> None:
        """Record a token that is given to a request outside of the queue."""
        self._rates.setdefault(rank, _RateEstimate()).record(now)
        if self._arrivals:
            most = TOKENS_PER_TURN * len(self._arrivals)
            self._others = min(self._others + 1, most)

    def find_rate_before(self, rank: int, now: datetime.timedelta) -> float:
        """Return the tokens per second that more urgent ranks get."""
        return sum(
            rate.find_rate(now)
            for other, rate in self._rates.items()
            if other < rank
        )

    def add(
        self,
        request: TokenRequest,
        now: datetime.timedelta,
        is_late: bool = False,
    ) -> int:
        """Add a request, if it is new; return how many are ahead of it."""
        place = self._place_of.get(request.request_id)
        if place is None:
            wait = request.late_wait if is_late else request.longest_wait
            place = self._insert(
                request.request_id, is_late, request.priority, now + wait
            )
            self._late_by[request.request_id] = now + request.late_wait
            self._ask_by[request.request_id] = now + ASK_GRACE
            longest = max(request.longest_wait, request.late_wait)
            self._intervals[request.request_id] = longest / ASK_LIMIT
        return bisect.bisect_left(self._places, place)

    def _insert(
        self,
        request_id: str,
        is_late: bool,
        priority: int,
        start_by: datetime.timedelta,
    ) -> _Place:
        self._number += 1
        place = _Place(is_late, priority, start_by, self._number, request_id)
        bisect.insort(self._places, place)
        if not is_late:
            bisect.insort(self._arrivals, place.by_arrival)
        self._place_of[request_id] = place
        return place

    def find_start_limit(self, request_id: str) -> datetime.timedelta:
        """Return the elapsed time by which a queued request must start."""
        return self._place_of[request_id].start_by

    def find_turn(
        self,
        request_id: str,
        tokens: float,
        rate_per_s: float,
        now: datetime.timedelta,
    ) -> float:
        """Return in how many seconds a request's turn is expected.

        It comes by rank, or by arrival at MIN_SHARE of the rate.
        """
        place = self._place_of[request_id]
        left = rate_per_s - self.find_rate_before(place.priority, now)
        pace = max(left, rate_per_s * MIN_SHARE)
        ahead = bisect.bisect_left(self._places, place)
        booked_s = max(0.0, -tokens) / rate_per_s
        free = max(0.0, tokens)
        turn_s = (ahead + 1 - free) / pace
        if not place.is_late:
            ahead = bisect.bisect_left(self._arrivals, place.by_arrival)
            pace = rate_per_s * MIN_SHARE
            turn_s = min(turn_s, (ahead + 1 - free) / pace)
        return booked_s + turn_s

    def move_back(self, request_id: str) -> bool:
        """Put a request behind those that can be on time.

        Returns False if it was there before.
        """
        place = self._place_of[request_id]
        if place.is_late:
            return False
        self._remove_place(place)
        late_by = self._late_by[request_id]
        self._insert(request_id, True, place.priority, late_by)
        return True

    def postpone(
        self,
        request_id: str,
        delay: datetime.timedelta,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return when a request is to ask again, after about `delay`.

        Asks are spaced out so that they are few.
        """
        interval = self._intervals[request_id]
        time_left = self.find_start_limit(request_id) - now
        delay = max(min(max(delay, interval), time_left), MIN_INTERVAL)
        self._ask_by[request_id] = now + delay + ASK_GRACE
        return delay

    def serve(self, request_id: str, now: datetime.timedelta) -> None:
        """Remove a request that got a token."""
        place = self._place_of[request_id]
        has_credit = self.has_credit(request_id)
        self.remove(request_id)
        self.record_token(place.priority, now)
        if has_credit:
            self._others = max(0, self._others - TOKENS_PER_TURN)

    def remove(self, request_id: str) -> None:
        """Remove a request that gets no token."""
        self._remove_place(self._place_of.pop(request_id))
        del self._ask_by[request_id], self._late_by[request_id]
        del self._intervals[request_id]
        if not self._arrivals:
            self._others = 0

    def _remove_place(self, place: _Place) -> None:
        del self._places[bisect.bisect_left(self._places, place)]
        if not place.is_late:
            del self._arrivals[
                bisect.bisect_left(self._arrivals, place.by_arrival)
            ]

    def remove_abandoned(self, now: datetime.timedelta) -> None:
        """Remove requests that did not ask again when they were told to."""
        if now - self._swept_at < SWEEP_INTERVAL:
            return
        self._swept_at = now
        for request_id, ask_by in tuple(self._ask_by.items()):
            if now > ask_by:
                self.remove(request_id)

    def clear(self) -> None:
        """Remove all requests, since another instance is the holder."""
        for request_id in tuple(self._place_of):
            self.remove(request_id)
