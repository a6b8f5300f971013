"""Token bucket that keeps account of the tokens it has granted.

Amounts are integers of a millionth of a millionth of a token and times are
integer microseconds, so that no rounding ever creates a token.
"""

import datetime
import heapq
from typing import NamedTuple

from cranberryscale.version import view as view_module


__all__ = ['BudgetShare', 'BudgetTerms', 'TokenBucket']

UNITS_PER_TOKEN = 10**12
MICROSECOND = datetime.timedelta(microseconds=1)


class BudgetTerms(NamedTuple):
    """Times and clock drift bounds of grants; equal on all instances.

    `grant_validity` is how long a grant to an entry instance may be spent.
    What is granted and may still be spent occupies the burst, so a longer time
    takes `rate x grant_validity` off a customer's usable burst.
    `loan_fraction` is the part of a share's refill time (burst / rate) for
    which tokens may be lent to another holder, at least `grant_validity` and
    at most `loan_limit`. `drift_ratio` bounds the difference in speed between
    any two clocks and shortens every validity. `rate_drift_ratio` bounds how
    much faster than real time a holder's clock runs and lowers the accrual:
    the kernel slews CLOCK_BOOTTIME by at most 500 ppm, and an undisciplined
    oscillator is closer than that. `max_wait` is the longest time that a
    request waits for a token.
    """

    grant_validity: datetime.timedelta = datetime.timedelta(milliseconds=50)
    loan_fraction: float = 0.25
    loan_limit: datetime.timedelta = datetime.timedelta(milliseconds=500)
    drift_ratio: float = 0.01
    rate_drift_ratio: float = 0.0005
    max_wait: datetime.timedelta = datetime.timedelta(milliseconds=50)


class BudgetShare(NamedTuple):
    """One part of a customer's rate and burst.

    `index` is the position in the result of split_budget.
    """

    customer: str
    resource: view_module.LeasedResource
    rate_per_s: float
    burst_requests: int
    index: int = 0


class TokenBucket:
    """A token bucket with `tokens + outstanding <= burst` at all times.

    Outstanding tokens were granted and may still be spent. Since at most
    `burst` tokens exist at the start of any window, and `rate x window` are
    added in it, no window sees more than `rate x window + burst` spent,
    however late within their validity tokens are spent.
    """

    def __init__(
        self,
        share: BudgetShare,
        since: datetime.timedelta,
        rate_drift_ratio: float,
    ):
        self.share = share
        self._rate_drift_ratio = rate_drift_ratio
        self._advanced_at = since
        self._token_units = 0
        self._ideal_units = 0
        self._outstanding_units = 0
        self._grant_units: dict[int, int] = {}
        self._expiries: list[tuple[datetime.timedelta, int]] = []
        self._update_limits()

    @property
    def tokens(self) -> float:
        """Return the tokens on hand at the last advance."""
        return self._token_units / UNITS_PER_TOKEN

    @property
    def outstanding(self) -> float:
        """Return the granted tokens that may still be spent."""
        return self._outstanding_units / UNITS_PER_TOKEN

    @property
    def ideal_tokens(self) -> float:
        """Return what a bucket would hold if grants were spent at once.

        The difference to `tokens` is what outstanding tokens kept from
        accruing; it is due to a caller within the validity of a grant.
        """
        return self._ideal_units / UNITS_PER_TOKEN

    @property
    def is_full(self) -> bool:
        """Return whether the whole burst is on hand."""
        return self._token_units >= self._burst_units

    def _update_limits(self) -> None:
        # Units per microsecond; rounded down.
        rate = self.share.rate_per_s * 1e6 / (1 + self._rate_drift_ratio)
        self._rate_units_per_us = max(int(rate), 0)
        self._burst_units = self.share.burst_requests * UNITS_PER_TOKEN

    def _accrue(self, until: datetime.timedelta) -> None:
        if until <= self._advanced_at:
            return
        accrued_units = self._rate_units_per_us * (
            (until - self._advanced_at) // MICROSECOND
        )
        max_units = max(self._burst_units - self._outstanding_units, 0)
        self._token_units = min(self._token_units + accrued_units, max_units)
        self._ideal_units = min(
            self._ideal_units + accrued_units, self._burst_units
        )
        self._advanced_at = until

    def advance(self, now: datetime.timedelta) -> None:
        """Accrue until now; outstanding tokens make room as they expire."""
        while self._expiries and self._expiries[0][0] <= now:
            expires, grant_id = heapq.heappop(self._expiries)
            self._accrue(expires)
            self._outstanding_units -= self._grant_units.pop(grant_id)
        self._accrue(now)

    def change_share(
        self, share: BudgetShare, now: datetime.timedelta
    ) -> None:
        """Replace the rate and burst without adding tokens."""
        self.advance(now)
        self.share = share
        self._update_limits()
        max_units = max(self._burst_units - self._outstanding_units, 0)
        self._token_units = min(self._token_units, max_units)
        self._ideal_units = min(self._ideal_units, self._burst_units)

    def debit(
        self, grant_id: int, amount: int, expires: datetime.timedelta
    ) -> bool:
        """Move tokens to outstanding; return False if there are too few.

        Call advance first.
        """
        if amount * UNITS_PER_TOKEN > self._token_units:
            return False
        self._token_units -= amount * UNITS_PER_TOKEN
        self._ideal_units -= amount * UNITS_PER_TOKEN
        self._outstanding_units += amount * UNITS_PER_TOKEN
        self._grant_units[grant_id] = amount * UNITS_PER_TOKEN
        heapq.heappush(self._expiries, (expires, grant_id))
        return True

    def refund(self, grant_id: int, amount: int) -> None:
        """Credit unspent tokens if they are still outstanding."""
        grant_units = self._grant_units.get(grant_id, 0)
        credit_units = min(max(amount, 0) * UNITS_PER_TOKEN, grant_units)
        if credit_units:
            self._grant_units[grant_id] = grant_units - credit_units
            self._outstanding_units -= credit_units
            self._token_units += credit_units
            self._ideal_units = min(
                self._ideal_units + credit_units, self._burst_units
            )

    def record_spent(self, grant_id: int) -> None:
        """Stop counting a grant as outstanding, since it was spent."""
        self._outstanding_units -= self._grant_units.get(grant_id, 0)
        if grant_id in self._grant_units:
            self._grant_units[grant_id] = 0

    def find_wait(self, amount: int) -> datetime.timedelta | None:
        """Return the time until `amount` tokens are on hand, None for never.

        The wait is exact unless tokens are refunded or reported as spent.
        """
        missing_units = amount * UNITS_PER_TOKEN - self._token_units
        if missing_units <= 0:
            return datetime.timedelta()
        if (
            not self._rate_units_per_us
            or amount * UNITS_PER_TOKEN > self._burst_units
        ):
            return None
        at, tokens, outstanding = (
            self._advanced_at,
            self._token_units,
            self._outstanding_units,
        )
        for expires, grant_id in (*sorted(self._expiries), (None, 0)):
            ready_at = at + MICROSECOND * -(
                -missing_units // self._rate_units_per_us
            )
            fits = outstanding + amount * UNITS_PER_TOKEN <= self._burst_units
            if fits and (expires is None or ready_at <= expires):
                return ready_at - self._advanced_at
            if expires is None:
                return None
            accrued_units = self._rate_units_per_us * (
                (expires - at) // MICROSECOND
            )
            max_units = max(self._burst_units - outstanding, 0)
            tokens = min(tokens + accrued_units, max_units)
            missing_units = max(amount * UNITS_PER_TOKEN - tokens, 0)
            at = expires
            outstanding -= self._grant_units[grant_id]
        return None
