"""Retry budget of one shard, whoever holds it.

In any window operators tolerate ratio x first attempts + slack retries of a
service, over all instances. A shard has an equal part of the slack. A holder
grants a retry if two limits allow it:

- its own, over each span since it became the holder: KEPT_PART of the slack
  at once, ACCRUED_PART of it over a window, and EARNED_PART of the ratio for
  each first attempt that it counted in the span. For a span that reaches back
  to its start, START_PART takes the place of KEPT_PART;
- that of the shard over the window: what holders granted beyond the first
  attempts that each of them counted, as far as it is known, is no more than
  KEPT_PART and ACCRUED_PART together.

What all holders may grant in a window is a sum of parts:

- the retries that a holder has kept, KEPT_PART, of one holder only: any other
  one has become the holder within the window;
- the starts of holders that do not know what was granted before: all
  instances have started anew, or a partition has two sides. START_COUNT times
  START_PART;
- ACCRUED_PART over the window and over the time in which retries of the
  window before are used, GRANT_DELAY;
- the earned part, over the same time.

Instances use their part of START_PART, KEPT_PART and ACCRUED_PART: the part
of the known instances that they count, times a margin, so that the sides of a
partition together use one.

Load patterns: many backend servers fail at once, and retrying every request
would double the load on the others; meanwhile instances stop, are killed or
cut off in series, and each successor is asked for retries at once.
"""

from collections.abc import Callable
from collections.abc import Iterator
import datetime
from typing import NamedTuple

from cranberryscale.process.pool import retry_ledgers


__all__ = [
    'ACCRUED_PART',
    'EARNED_PART',
    'GRANT_DELAY',
    'KEPT_PART',
    'START_COUNT',
    'START_PART',
    'BudgetShare',
    'BudgetState',
    'RetryBudget',
]

KEPT_PART = 0.35
START_PART = 0.23
ACCRUED_PART = 0.15
EARNED_PART = 0.9
# Starts in a window for which the sum of the parts has room.
START_COUNT = 2
# A permit is used within this time.
GRANT_DELAY = datetime.timedelta(seconds=1)
# Suspect servers, where a retry is foreseeable, are used only while less than
# this part of the window's limit is spent; the rest is for unforeseen retries.
RESERVE_RATIO = 0.6
# What is left is found again after this time, or after a change.
UPDATE_INTERVAL = datetime.timedelta(milliseconds=50)


class BudgetShare(NamedTuple):
    """What an instance may use of a shard's budget at a time.

    `slack` is that of the shard, and `part` the part of it that the instance
    may use, which has been the holder since `held_since`.
    """

    slack: float
    part: float
    held_since: datetime.timedelta


class BudgetState(NamedTuple):
    """What a holder has counted in the window, and its limit on retries.

    `overdraft` is what others granted beyond the first attempts that they
    counted. The instance has been the holder for `age`.
    """

    first_attempts: int
    retries: int
    others_retries: int
    overdraft: float
    left: float
    age: datetime.timedelta


class RetryBudget:
    """A limit on the retries of a shard in each window.

    `ledger` has the attempts that are known; `find_share` returns what this
    instance may use. Without them it is the only holder there ever was.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: datetime.timedelta,
        ledger: retry_ledgers.RetryLedger | None = None,
        find_share: Callable[[datetime.timedelta], BudgetShare] | None = None,
    ):
        self._credit = ratio * EARNED_PART
        self._window = window
        self._ledger = ledger or retry_ledgers.RetryLedger(0, window)
        sole = BudgetShare(slack, 1.0, -window)
        self._find_share = find_share or (lambda now: sole)
        # When the retries that can be refunded were granted, by request.
        self._granted_at: dict[str, datetime.timedelta] = {}
        self._left = 0.0
        self._has_reserve = False
        self._updated_at: datetime.timedelta | None = None
        self._version = -1

    def record_first_attempt(self, now: datetime.timedelta) -> None:
        """Record the first attempt of a request."""
        self._ledger.record_first_attempt(now)

    def try_spend(self, request_id: str, now: datetime.timedelta) -> bool:
        """Record a retry; return False if the budget is spent."""
        if self._find_left(now) < 1:
            return False
        self._grant(request_id, now)
        return True

    def refund(self, request_id: str) -> None:
        """Remove a retry that reached no backend server."""
        granted_at = self._granted_at.pop(request_id, None)
        if granted_at is not None:
            self._ledger.remove_retry(granted_at)

    def renew(self, request_id: str, now: datetime.timedelta) -> None:
        """Count a retry that has waited for a server as granted now."""
        if request_id in self._granted_at:
            self.refund(request_id)
            self._grant(request_id, now)

    def has_reserve(self, now: datetime.timedelta) -> bool:
        """Return whether enough is left to use servers that may fail."""
        return self._find_left(now) >= 1 and self._has_reserve

    def describe(self, now: datetime.timedelta) -> BudgetState:
        """Return what was counted in the window and what is left."""
        own = self._ledger.list_own(now)
        overdraft, others_retries = self._ledger.find_overdraft(
            self._credit, now
        )
        return BudgetState(
            sum(count.first_attempts for count in own),
            sum(count.retries for count in own),
            others_retries,
            overdraft,
            self._find_left(now),
            now - self._find_share(now).held_since,
        )

    def _grant(self, request_id: str, now: datetime.timedelta) -> None:
        self._ledger.record_retry(now)
        self._granted_at = {
            other: at
            for other, at in self._granted_at.items()
            if now - at <= self._window
        }
        self._granted_at[request_id] = now

    def _find_left(self, now: datetime.timedelta) -> float:
        """Return how many retries may be granted, negative if overdrawn."""
        if (
            self._updated_at is None
            or now - self._updated_at >= UPDATE_INTERVAL
            or self._version != self._ledger.version
        ):
            self._left = min(self._list_limits(now))
            self._updated_at = now
            self._version = self._ledger.version
        return self._left

    def _list_limits(self, now: datetime.timedelta) -> Iterator[float]:
        """Yield what is left by the limit of each span."""
        share = self._find_share(now)
        counts = self._ledger.list_own(now)
        yield from self._list_own_limits(share, counts, now)
        overdraft, _ = self._ledger.find_overdraft(self._credit, now)
        slack = (KEPT_PART + ACCRUED_PART) * share.slack
        limit = slack + self._find_earned(counts, now) - overdraft
        retries = sum(count.retries for count in counts)
        self._has_reserve = retries < RESERVE_RATIO * limit
        yield limit - retries

    def _list_own_limits(
        self,
        share: BudgetShare,
        counts: list[retry_ledgers.IntervalCount],
        now: datetime.timedelta,
    ) -> Iterator[float]:
        slack = share.slack * share.part
        kept, earned, retries = KEPT_PART * slack, 0.0, 0
        yield max(1.0, kept)
        for count in counts:
            if count.started_at <= max(share.held_since, now - self._window):
                break
            earned += self._credit * count.first_attempts
            retries += count.retries
            accrued = self._find_accrued(slack, now - count.started_at)
            yield max(1.0, kept + accrued + earned) - retries
        # Parts below one retry add up over the instances, so the limit of the
        # longest span is not rounded up.
        span = min(self._window, now - share.held_since)
        if span < self._window:
            kept = START_PART * slack
        counts = [
            count
            for count in counts
            if count.started_at > share.held_since - retry_ledgers.INTERVAL
        ]
        earned = self._find_earned(counts, now)
        retries = sum(count.retries for count in counts)
        yield kept + self._find_accrued(slack, span) + earned - retries

    def _find_accrued(self, slack: float, span: datetime.timedelta) -> float:
        return ACCRUED_PART * slack * (span / self._window)

    def _find_earned(
        self,
        counts: list[retry_ledgers.IntervalCount],
        now: datetime.timedelta,
    ) -> float:
        return self._credit * sum(
            count.first_attempts
            for count in counts
            if self._ledger.is_whole(count, now)
        )
