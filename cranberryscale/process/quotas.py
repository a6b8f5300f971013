"""Customers' rate limits over the whole fleet, without agreement on a holder.

The holder of a customer admits its requests from one token bucket. While it
does not answer, the next instance in the order of holders, its successor,
admits a few; without both, each instance decides alone. In any window
operators tolerate an excess of requests beyond the rate and burst. It is
divided among all that may admit in one window, so that the bound holds by
construction:

- HOLDER_PART raises the rate and burst of the holder;
- START_PART is what an instance may admit before it has been the holder for
  HANDOVER_TIME. A previous holder may just have spent the rate of this time,
  so tokens accrue only afterwards. STARTS_PER_WINDOW instances may start in a
  window;
- ALONE_PART is what all instances that decide alone admit together.

A holder's rate is further scaled by the ratio of the recently known instances
that it still counts as up, so both sides of a partition together admit one
rate.

Load patterns:

- one customer far over its rate, at all instances at once, while its holders
  are lost one after the other;
- callers that return together, after the loss of all instances or in clumps.
  A request that is given a token soon waits for it, in the order of arrival,
  instead of being refused. The bucket then holds a debt, so the rate is the
  same, and a request whose wait would be too long is refused at once;
- one customer over its rate for long. Waiting would only delay each of its
  requests, so it ends after some seconds, until the customer is well inside
  its rate again;
- one customer over its rate with requests that can wait for seconds, beside
  requests that cannot. The former take no token before it has accrued: they
  have places in a queue (see token_queue) and their instances ask again. It
  gets at least every eighth token.
"""

import datetime
from typing import NamedTuple

from cranberryscale.process import fleet_buckets
from cranberryscale.process import token_queue
from cranberryscale.version import configuration


__all__ = [
    'ASSUMED_INSTANCES',
    'BOOKING_LIMIT',
    'LocalQuota',
    'QuotaBounds',
    'QuotaDecision',
    'QuotaHolder',
]

# Parts of the tolerated excess; with all starts of a window they add up to 1.
HOLDER_PART = 0.3
START_PART = 0.3
STARTS_PER_WINDOW = 2
ALONE_PART = 0.1
# Instances agree on a new holder within this time.
HANDOVER_TIME = datetime.timedelta(seconds=0.5)
# Number of instances assumed by an instance that knows of no other.
ASSUMED_INSTANCES = 16
IDLE_TIME = datetime.timedelta(seconds=60)
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)
# An instance decides alone only until it knows the next holder.
ALONE_RETRY_AFTER = datetime.timedelta(seconds=1)
# How long after the first wait for a token further ones are given, which is
# enough for the demand that returns after a loss of all instances.
WAITING_TIME = datetime.timedelta(seconds=3)
# Requests that can wait for longer queue instead of booking a token, which
# requests with less time could not wait for.
BOOKING_LIMIT = datetime.timedelta(milliseconds=400)
# Part of its wait after which a request expects its turn if it queues, since
# more urgent requests will arrive meanwhile.
NEW_WAIT_RATIO = 0.5
# Part of the rate from which on bookings count as competing with the queue.
COMPETING_RATIO = 0.1
# Part of the burst from which on a customer is well inside its rate.
RECOVERED_RATIO = 0.5


class QuotaDecision(NamedTuple):
    """Decision whether a request is within the rate.

    An admitted request may start after `delay`; another one may be repeated
    then. One that `is_waiting` keeps its place if it is.
    """

    is_admitted: bool
    delay: datetime.timedelta = datetime.timedelta(0)
    is_waiting: bool = False


class QuotaBounds(NamedTuple):
    """Tolerance of the operators: the largest number of requests in a window.

    It is (rate x window + burst) x (1 + excess) + slack.
    """

    window: datetime.timedelta
    excess: float
    slack: float

    def find_excess(self, customer: configuration.Customer) -> float:
        """Return the tolerated requests beyond the rate and burst."""
        nominal = (
            customer.rate_per_s * self.window.total_seconds()
            + customer.burst_requests
        )
        return nominal * self.excess + self.slack

    def find_extra_burst(self, customer: configuration.Customer) -> float:
        """Return the part of the excess that does not grow with the window."""
        return customer.burst_requests * self.excess + self.slack


class _Bucket(fleet_buckets.Bucket):
    """A bucket that also gives out tokens that are due soon."""

    def __init__(
        self,
        limits: fleet_buckets.BucketLimits,
        phase: float,
        now: datetime.timedelta,
    ):
        super().__init__(limits, phase, now)
        # The largest start that was credited.
        self.start = limits.start
        self.admitted_at: datetime.timedelta | None = None
        # When the first request found no token since the last recovery.
        self._short_since: datetime.timedelta | None = None
        self._queue = token_queue.TokenQueue()

    def spend(
        self,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta,
        request: token_queue.TokenRequest | None = None,
    ) -> QuotaDecision:
        """Spend a token for a request that can wait for it.

        With `request`, it can also ask again.
        """
        self._queue.remove_abandoned(now)
        if self.tokens >= limits.burst * RECOVERED_RATIO:
            self._short_since = None
        if request is None:
            return self._book(limits, now, longest_wait)
        if (
            request.request_id in self._queue
            or request.longest_wait > BOOKING_LIMIT
        ):
            return self._wait(limits, now, request)
        decision = self._book(limits, now, longest_wait)
        if decision.is_admitted or decision.delay > request.late_wait:
            return decision
        return self._wait(limits, now, request)

    def _book(
        self,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta,
    ) -> QuotaDecision:
        """Spend a token of those that the queue leaves, or the next one."""
        free = self.tokens - self._queue.reserved
        if free >= 1:
            self._queue.record_token(token_queue.BOOKING_RANK, now)
            return self._admit(now)
        if limits.rate_per_s <= 0:
            return QuotaDecision(False, HANDOVER_TIME)
        delay = self._find_delay(1 - free, limits.rate_per_s, now)
        if self._is_short_lately(now, WAITING_TIME) and delay <= longest_wait:
            self._queue.record_token(token_queue.BOOKING_RANK, now)
            return self._admit(now, delay)
        return QuotaDecision(False, max(delay, MIN_RETRY_AFTER))

    def _find_delay(
        self, tokens: float, rate_per_s: float, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return how long the tokens take to accrue."""
        accrual = datetime.timedelta(seconds=tokens / rate_per_s)
        return max(self.updated_at - now, datetime.timedelta(0)) + accrual

    def _is_short_lately(
        self, now: datetime.timedelta, limit: datetime.timedelta
    ) -> bool:
        """Return whether tokens have been short for less than `limit`."""
        if self._short_since is None:
            self._short_since = now
        return now - self._short_since < limit

    def _wait(
        self,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
        request: token_queue.TokenRequest,
    ) -> QuotaDecision:
        """Spend a token if it is the request's turn, or give it a place."""
        request_id = request.request_id
        is_new = request_id not in self._queue
        is_late = request.longest_wait <= BOOKING_LIMIT
        ahead = self._queue.add(request, now, is_late)
        if self.tokens - max(ahead, self._queue.reserved) >= 1:
            return self._serve(request_id, now)
        if limits.rate_per_s <= 0:
            self._queue.remove(request_id)
            can_return = request.longest_wait > HANDOVER_TIME
            return QuotaDecision(False, HANDOVER_TIME, can_return)
        if self._queue.has_credit(request_id):
            delay = self._find_delay(1 - self.tokens, limits.rate_per_s, now)
            if now + delay <= self._queue.find_start_limit(request_id):
                return self._serve(request_id, now, delay)
        delay = self._find_turn(request_id, limits, now)
        margin = 1.0
        if is_new:
            margin = NEW_WAIT_RATIO * self._may_queue(request, limits, now)
        limit = self._queue.find_start_limit(request_id) - now
        if delay > limit * margin:
            self._queue.remove(request_id)
            return QuotaDecision(False, max(delay, MIN_RETRY_AFTER))
        delay = self._queue.postpone(request_id, delay, now)
        return QuotaDecision(False, delay, True)

    def _serve(
        self,
        request_id: str,
        now: datetime.timedelta,
        delay: datetime.timedelta = datetime.timedelta(0),
    ) -> QuotaDecision:
        decision = self._admit(now, delay)
        self._queue.serve(request_id, now)
        return decision

    def _may_queue(
        self,
        request: token_queue.TokenRequest,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
    ) -> bool:
        """Return whether a new request may queue for a token.

        In a lasting shortage a queue serves no more requests, but it lets
        more urgent ones go first.
        """
        before = self._queue.find_rate_before(request.priority, now)
        return (
            self._is_short_lately(now, WAITING_TIME)
            or before > limits.rate_per_s * COMPETING_RATIO
        )

    def _find_turn(
        self,
        request_id: str,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
    ) -> datetime.timedelta:
        """Return when a request's turn is expected.

        One that would be late goes behind all that can be on time.
        """
        ahead = max(self.updated_at - now, datetime.timedelta(0))
        while True:
            turn_s = self._queue.find_turn(
                request_id, self.tokens, limits.rate_per_s, now
            )
            delay = ahead + datetime.timedelta(seconds=max(0.0, turn_s))
            if now + delay <= self._queue.find_start_limit(request_id):
                return delay
            if not self._queue.move_back(request_id):
                return delay

    def _admit(
        self,
        now: datetime.timedelta,
        delay: datetime.timedelta = datetime.timedelta(0),
    ) -> QuotaDecision:
        self.tokens -= 1
        self.admitted_at = now + delay
        return QuotaDecision(True, delay)


class _HeldBucket(_Bucket):
    """The bucket of a holder or of its successor.

    `is_held` tells whether the instance was the holder at the last request.
    """

    def __init__(
        self,
        limits: fleet_buckets.BucketLimits,
        phase: float,
        now: datetime.timedelta,
    ):
        super().__init__(limits, phase, now)
        self.is_held = False

    def release(self) -> None:
        """Keep only a start, since another instance is the holder now."""
        self.is_held = False
        self.tokens = min(self.tokens, self.start)
        self._queue.clear()

    def hold(self, since: datetime.timedelta) -> None:
        """Let tokens accrue from an elapsed time on, if not held before."""
        if not self.is_held:
            self.is_held = True
            self.updated_at = since

    def restart(
        self,
        limits: fleet_buckets.BucketLimits,
        now: datetime.timedelta,
        window: datetime.timedelta,
    ) -> None:
        """Credit the start, at most once in a window.

        A holder that has just started knows few other instances; the rest of
        its start is credited once it knows them.
        """
        if limits.start > self.start:
            self.tokens += limits.start - self.start
            self.start = limits.start
        if self.is_held or self.admitted_at is None:
            return
        if now - self.admitted_at > window:
            self.tokens = max(self.tokens, limits.start)


class QuotaHolder:
    """The token buckets of the customers that this instance coordinates."""

    def __init__(self, bounds: QuotaBounds):
        self._bounds = bounds
        self._buckets: dict[str, _HeldBucket] = {}

    def _find_limits(
        self, customer: configuration.Customer, ratio: float, is_holder: bool
    ) -> fleet_buckets.BucketLimits:
        bounds = self._bounds
        start = START_PART * bounds.find_excess(customer) * ratio
        if not is_holder:
            return fleet_buckets.BucketLimits(0.0, max(1.0, start), start)
        extra_burst = HOLDER_PART * bounds.find_extra_burst(customer)
        return fleet_buckets.BucketLimits(
            customer.rate_per_s * (1 + HOLDER_PART * bounds.excess) * ratio,
            max(1.0, customer.burst_requests + extra_burst) * ratio,
            start,
        )

    def admit(
        self,
        customer: configuration.Customer,
        position: fleet_buckets.FleetPosition,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta = datetime.timedelta(0),
        is_holder: bool = True,
        request: token_queue.TokenRequest | None = None,
    ) -> QuotaDecision:
        """Spend a token for one request, which can wait for it.

        With `request`, it can also ask again. An instance that is not the
        holder by its own records admits a start.
        """
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        limits = self._find_limits(customer, position.ratio, is_holder)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            phase = position.find_phase(customer.name)
            bucket = _HeldBucket(limits, phase, now)
            self._buckets[customer.name] = bucket
        if not is_holder:
            bucket.release()
        bucket.restart(limits, now, self._bounds.window)
        if is_holder:
            delay = HANDOVER_TIME * position.has_predecessor
            bucket.hold(now + delay)
        bucket.accrue(limits, now)
        return bucket.spend(limits, now, longest_wait, request)

    def list_held(self) -> tuple[str, ...]:
        """Return the customers of which this instance was the holder."""
        return tuple(
            name for name, bucket in self._buckets.items() if bucket.is_held
        )

    def release(self, customer: str) -> None:
        """Stop accruing tokens for a customer with another holder."""
        self._buckets[customer].release()

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove customers without requests; they start with new buckets."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if now - bucket.updated_at < IDLE_TIME
        }


class LocalQuota:
    """This instance's own part of what instances that decide alone admit.

    Used while neither the customer's holder nor its successor answers.
    """

    def __init__(self, bounds: QuotaBounds) -> None:
        self._bounds = bounds
        self._buckets: dict[str, _Bucket] = {}

    def _find_limits(
        self, customer: configuration.Customer, instances: int
    ) -> fleet_buckets.BucketLimits:
        known = instances if instances > 1 else ASSUMED_INSTANCES
        part = ALONE_PART / known
        burst = part * self._bounds.find_extra_burst(customer)
        rate_per_s = part * self._bounds.excess * customer.rate_per_s
        return fleet_buckets.BucketLimits(rate_per_s, burst, burst)

    def admit(
        self,
        customer: configuration.Customer,
        position: fleet_buckets.FleetPosition,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta = datetime.timedelta(0),
    ) -> QuotaDecision:
        """Spend a token for one request, which can wait for it."""
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        limits = self._find_limits(customer, position.instances)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            phase = position.find_phase(customer.name)
            bucket = _Bucket(limits, phase, now)
            self._buckets[customer.name] = bucket
        bucket.accrue(limits, now)
        decision = bucket.spend(limits, now, longest_wait)
        if decision.is_admitted:
            return decision
        return decision._replace(delay=min(decision.delay, ALONE_RETRY_AFTER))
