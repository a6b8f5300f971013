"""Token bucket that counts what it has given away.

Amounts are integers in millionths of a millionth of a token and times are
integers in microseconds, so that no rounding ever creates a token.
"""

import datetime
import heapq
from typing import NamedTuple

from cranberryscale.version import view as view_module


__all__ = ['BudgetShare', 'BudgetTerms', 'TokenBucket']

UNIT = 10**12
MICROSECOND = datetime.timedelta(microseconds=1)


class BudgetTerms(NamedTuple):
    """Hold the times of grants; equal on all instances.

    `grant_validity` is how long a grant to an entry instance may be spent.
    What is granted and may still be spent occupies the burst, so a longer
    time takes `rate x grant_validity` off a customer's usable burst.
    `loan_fraction` is the part of a share's refill time (burst / rate) that
    tokens may stay with another holder, at least `grant_validity` and at most
    `loan_limit`.
    `drift_ratio` bounds the difference in speed between any two clocks and
    shortens every validity. `rate_drift_ratio` bounds how much faster than
    real time a holder's clock runs and lowers the accrual: the kernel slews
    CLOCK_BOOTTIME by at most 500 ppm, and an undisciplined oscillator is
    closer than that.
    """

    grant_validity: datetime.timedelta = datetime.timedelta(milliseconds=50)
    loan_fraction: float = 0.25
    loan_limit: datetime.timedelta = datetime.timedelta(milliseconds=500)
    drift_ratio: float = 0.01
    rate_drift_ratio: float = 0.0005
    max_wait: datetime.timedelta = datetime.timedelta(milliseconds=50)


class BudgetShare(NamedTuple):
    """Describe one part of a customer's rate and burst.

    `index` is the position in the result of cut_shares.
    """

    customer: str
    resource: view_module.LeasedResource
    rate_per_s: float
    burst_requests: int
    index: int = 0


class TokenBucket:
    """Accrue tokens so that `tokens + outstanding <= burst` at all times.

    Outstanding tokens were given away and may still be spent. Since at most
    `burst` tokens exist at the start of any window, and `rate x window`
    are added in it, no window sees more than `rate x window + burst` spent,
    however late within their validity tokens are spent.
    """

    def __init__(
        self,
        share: BudgetShare,
        since: datetime.timedelta,
        rate_drift_ratio: float,
    ):
        self.share = share
        self._drift = rate_drift_ratio
        self._at = since
        self._tokens = 0
        self._ideal = 0
        self._outstanding = 0
        self._grants: dict[int, int] = {}
        self._expiries: list[tuple[datetime.timedelta, int]] = []
        self._set_limits()

    @property
    def tokens(self) -> float:
        """Return the tokens on hand at the last advance."""
        return self._tokens / UNIT

    @property
    def outstanding(self) -> float:
        """Return the tokens given away that may still be spent."""
        return self._outstanding / UNIT

    @property
    def ideal_tokens(self) -> float:
        """Return what a bucket would have whose tokens are spent at once.

        The difference to `tokens` is what outstanding tokens kept from
        accruing; it is due to a caller within the validity of a grant.
        """
        return self._ideal / UNIT

    @property
    def is_full(self) -> bool:
        """Tell whether the bucket has its whole burst on hand."""
        return self._tokens >= self._burst

    def _set_limits(self) -> None:
        # Units per microsecond; rounded down.
        rate = self.share.rate_per_s * 1e6 / (1 + self._drift)
        self._rate = max(int(rate), 0)
        self._burst = self.share.burst_requests * UNIT

    def _accrue(self, until: datetime.timedelta) -> None:
        if until <= self._at:
            return
        added = self._rate * ((until - self._at) // MICROSECOND)
        ceiling = max(self._burst - self._outstanding, 0)
        self._tokens = min(self._tokens + added, ceiling)
        self._ideal = min(self._ideal + added, self._burst)
        self._at = until

    def advance(self, now: datetime.timedelta) -> None:
        """Accrue until now; outstanding tokens make room as they expire."""
        while self._expiries and self._expiries[0][0] <= now:
            expires, grant_id = heapq.heappop(self._expiries)
            self._accrue(expires)
            self._outstanding -= self._grants.pop(grant_id)
        self._accrue(now)

    def change_share(
        self, share: BudgetShare, now: datetime.timedelta
    ) -> None:
        """Adopt a changed rate or burst; tokens on hand never grow by it."""
        self.advance(now)
        self.share = share
        self._set_limits()
        ceiling = max(self._burst - self._outstanding, 0)
        self._tokens = min(self._tokens, ceiling)
        self._ideal = min(self._ideal, self._burst)

    def take(
        self, grant_id: int, amount: int, expires: datetime.timedelta
    ) -> bool:
        """Move tokens to outstanding; call advance first."""
        if amount * UNIT > self._tokens:
            return False
        self._tokens -= amount * UNIT
        self._ideal -= amount * UNIT
        self._outstanding += amount * UNIT
        self._grants[grant_id] = amount * UNIT
        heapq.heappush(self._expiries, (expires, grant_id))
        return True

    def give_back(self, grant_id: int, amount: int) -> None:
        """Credit unspent tokens if they are still outstanding."""
        held = self._grants.get(grant_id, 0)
        credit = min(max(amount, 0) * UNIT, held)
        if credit:
            self._grants[grant_id] = held - credit
            self._outstanding -= credit
            self._tokens += credit
            self._ideal = min(self._ideal + credit, self._burst)

    def close(self, grant_id: int) -> None:
        """Stop counting a grant as outstanding: it was spent."""
        self._outstanding -= self._grants.get(grant_id, 0)
        if grant_id in self._grants:
            self._grants[grant_id] = 0

    def find_wait(self, amount: int) -> datetime.timedelta | None:
        """Return how long until `amount` tokens are on hand.

        None means never. The wait is exact unless tokens come back early.
        """
        missing = amount * UNIT - self._tokens
        if missing <= 0:
            return datetime.timedelta()
        if not self._rate or amount * UNIT > self._burst:
            return None
        at, tokens, outstanding = self._at, self._tokens, self._outstanding
        for expires, grant_id in (*sorted(self._expiries), (None, 0)):
            ready = at + MICROSECOND * -(-missing // self._rate)
            fits = outstanding + amount * UNIT <= self._burst
            if fits and (expires is None or ready <= expires):
                return ready - self._at
            if expires is None:
                return None
            gained = self._rate * ((expires - at) // MICROSECOND)
            ceiling = max(self._burst - outstanding, 0)
            tokens = min(tokens + gained, ceiling)
            missing = max(amount * UNIT - tokens, 0)
            at = expires
            outstanding -= self._grants[grant_id]
        return None
