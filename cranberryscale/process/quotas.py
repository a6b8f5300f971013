"""Customers' rate limits over the whole fleet, without agreement on a holder.

The holder of a customer admits its requests from one token bucket. The rate
holds by construction also with two holders at a time, with new holders and on
instances without a holder:

- a holder's rate is scaled by the ratio of the recently known instances that
  it still counts as up, so both sides of a partition together admit one rate;
- a new holder starts with a part of the burst, since a previous holder may
  have just spent it;
- an instance whose holder does not answer admits from its own part of the
  rate.

Load patterns:

- one customer far over its rate, at all instances at once;
- callers that return together, after the loss of all instances or in clumps.
  A request that is given a token soon waits for it, in the order of arrival,
  instead of being refused. The bucket then holds a debt, so the rate is the
  same, and a request whose wait would be too long is refused at once;
- one customer over its rate for long. Waiting would only delay each of its
  requests, so it ends after some seconds, until the customer is well inside
  its rate again.
"""

import datetime
from typing import NamedTuple

from cranberryscale.version import configuration


__all__ = ['ASSUMED_INSTANCES', 'LocalQuota', 'QuotaDecision', 'QuotaHolder']

# Part of the burst that a holder which has just started may admit at once.
# Together with that of a previous holder it stays under the excess that
# operators tolerate.
INITIAL_FILL_RATIO = 0.25
# Part of the tolerated excess that holders admit, so that callers within their
# rate are not refused for uneven arrivals. The rest covers instances that
# admit from their own part of the rate.
USED_EXCESS_RATIO = 0.8
# Number of instances assumed by an instance that knows of no other.
ASSUMED_INSTANCES = 16
IDLE_TIME = datetime.timedelta(seconds=60)
MIN_RETRY_AFTER = datetime.timedelta(milliseconds=50)
# How long after the first wait for a token further ones are given, which is
# enough for the demand that returns after a loss of all instances.
WAITING_TIME = datetime.timedelta(seconds=3)
# Part of the burst from which on a customer is well inside its rate.
RECOVERED_RATIO = 0.5


class QuotaDecision(NamedTuple):
    """Decision whether a request is within the rate.

    An admitted request may start after `delay`; another one may be repeated
    then.
    """

    is_admitted: bool
    delay: datetime.timedelta = datetime.timedelta(0)


class _VariableBucket:
    """A token bucket whose rate and burst may differ at each request."""

    def __init__(self, tokens: float, at: datetime.timedelta):
        self.tokens = tokens
        self.updated_at = at
        # The largest burst of which an initial part was credited.
        self.initial_burst = 0.0
        # When the first request found no token since the last recovery.
        self._short_since: datetime.timedelta | None = None

    def spend(
        self,
        rate_per_s: float,
        burst: float,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta,
    ) -> QuotaDecision:
        accrued = rate_per_s * (now - self.updated_at).total_seconds()
        self.tokens = min(burst, self.tokens + accrued)
        self.updated_at = now
        if self.tokens >= burst * RECOVERED_RATIO:
            self._short_since = None
        if self.tokens >= 1:
            self.tokens -= 1
            return QuotaDecision(True)
        if self._short_since is None:
            self._short_since = now
        may_wait = now - self._short_since < WAITING_TIME
        delay = datetime.timedelta(seconds=(1 - self.tokens) / rate_per_s)
        if may_wait and delay <= longest_wait:
            self.tokens -= 1
            return QuotaDecision(True, delay)
        return QuotaDecision(False, max(delay, MIN_RETRY_AFTER))


class QuotaHolder:
    """The token buckets of the customers that this instance coordinates.

    Buckets start with a part of their burst and accrue at the customer's rate
    plus a part of the excess that operators tolerate: `excess` in proportion
    to the rate, and `slack` requests in addition to the burst.
    """

    def __init__(self, excess: float, slack: float):
        self._excess = excess * USED_EXCESS_RATIO
        self._slack = slack * USED_EXCESS_RATIO
        self._buckets: dict[str, _VariableBucket] = {}

    def admit(
        self,
        customer: configuration.Customer,
        up_ratio: float,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta = datetime.timedelta(0),
    ) -> QuotaDecision:
        """Spend a token for one request, which can wait for it.

        `up_ratio` is the ratio of the recently known instances that are up.
        """
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        rate_per_s = customer.rate_per_s * (1 + self._excess) * up_ratio
        full_burst = customer.burst_requests + self._slack
        burst = max(1.0, full_burst * up_ratio)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = self._buckets[customer.name] = _VariableBucket(1.0, now)
        if burst > bucket.initial_burst:
            # A holder that has just started knows few other instances; the
            # rest of the initial part is credited once it knows them.
            bucket.tokens += INITIAL_FILL_RATIO * (
                burst - bucket.initial_burst
            )
            bucket.initial_burst = burst
        return bucket.spend(rate_per_s, burst, now, longest_wait)

    def remove_idle(self, now: datetime.timedelta) -> None:
        """Remove customers without requests; they start with new buckets."""
        self._buckets = {
            name: bucket
            for name, bucket in self._buckets.items()
            if now - bucket.updated_at < IDLE_TIME
        }


class LocalQuota:
    """This instance's own part of each customer's rate.

    Used while the customer's holder does not answer.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _VariableBucket] = {}

    def admit(
        self,
        customer: configuration.Customer,
        instances: int,
        now: datetime.timedelta,
        longest_wait: datetime.timedelta = datetime.timedelta(0),
    ) -> QuotaDecision:
        """Spend a token for one request, which can wait for it.

        `instances` is the number of recently known instances.
        """
        if customer.rate_per_s <= 0:
            return QuotaDecision(True)
        assumed_instances = instances if instances > 1 else ASSUMED_INSTANCES
        burst = max(1.0, customer.burst_requests / assumed_instances)
        bucket = self._buckets.setdefault(
            customer.name, _VariableBucket(1.0, now)
        )
        return bucket.spend(
            customer.rate_per_s / assumed_instances, burst, now, longest_wait
        )
