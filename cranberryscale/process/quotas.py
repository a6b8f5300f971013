"""Customers' rates over the whole fleet, without agreement on a holder.

The holder of a customer admits its requests from one token bucket. Two
holders at a time, new holders and instances without one each stay inside the
customer's rate by construction:

- a holder's rate is scaled by the part of the lately known instances that it
  still counts, so the sides of a partition together admit one rate;
- a new holder starts with a part of the burst, since an earlier one may have
  just spent it;
- an instance whose holder is silent admits from its own part of the rate.

Load pattern: one customer far over its rate, at all instances at once.
"""

import datetime
from typing import NamedTuple

from cranberryscale.version import configuration


__all__ = ['ASSUMED_INSTANCES', 'LocalQuota', 'QuotaDecision', 'QuotaHolder']

# What a holder that has just started may give at once; the sum with an
# earlier holder's stays under the excess that operators tolerate.
START_RATIO = 0.25
# Part of the tolerated excess that holders give out, so that callers inside
# their rate are not refused for uneven arrivals. The rest covers instances
# that admit from their own part of the rate.
EXCESS_RATIO = 0.8
# The fewest instances that an instance which knows of no other assumes.
ASSUMED_INSTANCES = 16
IDLE_AFTER = datetime.timedelta(seconds=60)
RETRY_MIN = datetime.timedelta(milliseconds=50)


class QuotaDecision(NamedTuple):
    """Say whether a request is inside the rate, and when to come back."""

    is_admitted: bool
    retry_after: datetime.timedelta = datetime.timedelta(0)


class _Bucket:
    """Hold up to `burst` tokens that accrue at `rate_per_s`."""

    def __init__(self, tokens: float, at: datetime.timedelta):
        self.tokens = tokens
        self.at = at
        # The largest burst for which something was given at the start.
        self.started_burst = 0.0

    def take(
        self, rate_per_s: float, burst: float, now: datetime.timedelta
    ) -> QuotaDecision:
        accrued = rate_per_s * (now - self.at).total_seconds()
        self.tokens = min(burst, self.tokens + accrued)
        self.at = now
        if self.tokens >= 1:
            self.tokens -= 1
            return QuotaDecision(True)
        missing = datetime.timedelta(seconds=(1 - self.tokens) / rate_per_s)
        return QuotaDecision(False, max(missing, RETRY_MIN))


class QuotaHolder:
    """Admit requests of the customers that this instance coordinates."""

    def __init__(self, excess: float, slack: float):
        self._excess = excess * EXCESS_RATIO
        self._slack = slack * EXCESS_RATIO
        self._buckets: dict[str, _Bucket] = {}

    def admit(
        self,
        customer: configuration.Customer,
        up_ratio: float,
        now: datetime.timedelta,
    ) -> QuotaDecision:
        """Take a token for one request.

        `up_ratio` is the part of the lately known instances that is up.
        """
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        rate_per_s = customer.rate_per_s * (1 + self._excess) * up_ratio
        whole = customer.burst_requests + self._slack
        burst = max(1.0, whole * up_ratio)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = _Bucket(1.0, now)
        if burst > bucket.started_burst:
            # A holder that starts knows few others, and gives the rest of
            # what it may when it knows them.
            bucket.tokens += START_RATIO * (burst - bucket.started_burst)
            bucket.started_burst = burst
        return bucket.take(rate_per_s, burst, now)

    def drop_idle(self, now: datetime.timedelta) -> None:
        """Forget customers without requests; they start anew."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if now - bucket.at < IDLE_AFTER
        }


class LocalQuota:
    """Admit from this instance's own part while the holder is silent."""

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def admit(
        self,
        customer: configuration.Customer,
        instances: int,
        now: datetime.timedelta,
    ) -> QuotaDecision:
        """Take a token; `instances` counts those lately known."""
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        known = instances if instances > 1 else ASSUMED_INSTANCES
        burst = max(1.0, customer.burst_requests / known)
        bucket = self._buckets.setdefault(customer.name, _Bucket(1.0, now))
        return bucket.take(customer.rate_per_s / known, burst, now)
