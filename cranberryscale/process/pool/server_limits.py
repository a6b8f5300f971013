"""Limits that backend servers name in their answers.

A server in need names the number of requests per second that it takes from
the whole fleet, in each of its answers for as long as the limit stands.
Operators tolerate, in any WINDOW, BOUND_RATIO times what the limit allows and
BOUND_REQUESTS more. The holder of the server's shard starts its requests from
a token bucket of the limit; all others start none, also while the holder does
not answer. The parts that add up to what is tolerated:

- the rate and burst of the holder, times PART_MARGIN: a holder that counts
  only a part of the known instances uses that part of the limit, so the sides
  of a partition together use the whole;
- the rate of PERMIT_DELAY, by which permits of one window may be used in the
  next;
- the rate of HANDOVER_TIME, for which an instance and its successor may both
  take themselves for the holder. A new holder starts with an empty bucket.

Instances learn limits from the answers that they pass on and from each other:
a request for a server brings the holder the limits that its sender knows, and
each reply those that the holder knows. So a successor knows a limit as soon as
an instance asks it that the server had told.

Load pattern: servers that ask for less work while the demand stays the same,
one of them, most or all.
"""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import itertools
import re
from typing import NamedTuple

from cranberryscale.process import fleet_buckets
from cranberryscale.version import configuration


__all__ = [
    'BOUND_RATIO',
    'BOUND_REQUESTS',
    'CLAIM_TIME',
    'HANDOVER_TIME',
    'PERMIT_VALIDITY',
    'WINDOW',
    'LimitChange',
    'LimitStatement',
    'LimitTable',
    'LimitedStarts',
    'ServerLimit',
    'find_usable_part',
    'read_numbers',
    'read_statement',
]

# What operators tolerate.
WINDOW = datetime.timedelta(seconds=4)
BOUND_RATIO = 1.5
BOUND_REQUESTS = 5.0
# Requests that a bucket holds: as many at any limit, and those of this time.
# Queued requests are granted every 100 ms.
BURST_REQUESTS = 2.0
BURST_TIME = datetime.timedelta(milliseconds=250)
# One tenth of the instances may be down without a loss of rate.
PART_MARGIN = 1.1
# Number of instances assumed by one that has not found any other.
ASSUMED_INSTANCES = 300
# A permit must be collected and used within these times.
CLAIM_TIME = datetime.timedelta(milliseconds=200)
PERMIT_VALIDITY = datetime.timedelta(milliseconds=400)
PERMIT_DELAY = CLAIM_TIME + PERMIT_VALIDITY
# Instances agree on a new holder within this time.
HANDOVER_TIME = datetime.timedelta(milliseconds=500)
# Lower limits, down to 0, are taken as this one: without a request nobody
# would learn that the limit has ended.
MIN_RATE_PER_S = 0.2

# Larger limits never bind, and keep the arithmetic away from infinity.
MAX_RATE_PER_S = 1e6
# A server may name another limit in each answer; changes of one server are
# reported at most this often.
REPORT_INTERVAL = datetime.timedelta(seconds=1)
# What is known of a server is kept this long while its entry is missing, since
# entries come back after an outage of the store.
MISSING_RETENTION = datetime.timedelta(minutes=1)

# Of a limit in a message; older ones are of no interest.
MAX_AGE_S = 86_400.0

_NUMBER = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')


class LimitStatement(NamedTuple):
    """What one answer says of its server's limit, None if it names none."""

    rate_per_s: float | None


class ServerLimit(NamedTuple):
    """A limit in a message between instances, None if it has ended.

    It was stated `age_s` seconds ago.
    """

    server: str
    rate_per_s: float | None
    age_s: float


class LimitChange(NamedTuple):
    """A change of the limit in force at a server, None without one."""

    server: str
    rate_per_s: float | None


def read_numbers(values: Iterable[str]) -> tuple[float, ...]:
    """Return the plain decimal numbers in the values of a header."""
    items = (item.strip() for value in values for item in value.split(','))
    return tuple(float(item) for item in items if _NUMBER.fullmatch(item))


def read_statement(values: Iterable[str]) -> LimitStatement | None:
    """Return what the values of the header say; None if that is unreadable.

    Of several limits the smallest counts. Values that are no plain decimal
    numbers, among them negative ones and NaN, are ignored.
    """
    values = tuple(values)
    if not values:
        return LimitStatement(None)
    rates = read_numbers(values)
    return LimitStatement(min(*rates, MAX_RATE_PER_S)) if rates else None


class _KnownLimit(NamedTuple):
    """The latest statement of a server's process that started `started_ms`.

    An answer that names no limit was `stated_at` the time when its request
    was sent, since the server may have named one in the meantime.
    """

    rate_per_s: float | None
    stated_at: datetime.timedelta
    started_ms: int


class LimitTable:
    """The limits that this instance knows, by server."""

    def __init__(self) -> None:
        self._known: dict[str, _KnownLimit] = {}
        self._servers: Mapping[str, configuration.BackendServer] = {}
        self._reported: dict[str, tuple[float | None, datetime.timedelta]] = {}

    def load_servers(
        self,
        servers: Mapping[str, configuration.BackendServer],
        now: datetime.timedelta,
    ) -> None:
        """Replace the published servers; forget processes that ended."""
        self._servers = servers
        self._known = {
            name: known
            for name, known in self._known.items()
            if self._is_current(name, known, now)
        }
        self._reported = {
            name: (rate_per_s, at)
            for name, (rate_per_s, at) in self._reported.items()
            if rate_per_s is not None or name in self._known
        }

    def _is_current(
        self, name: str, known: _KnownLimit, now: datetime.timedelta
    ) -> bool:
        server = self._servers.get(name)
        if server is None:
            return now - known.stated_at < MISSING_RETENTION
        return server.started_ms == known.started_ms

    def find_rate(self, server: str) -> float | None:
        """Return the limit in force in requests per second, or None."""
        known = self._known.get(server)
        return known.rate_per_s if known is not None else None

    def record(
        self,
        server: str,
        statement: LimitStatement | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record what the answer to a request sent at `sent_at` states.

        Nothing is concluded from an unreadable statement (None). Without a
        limit in the answer, one that was named after `sent_at` stands.
        """
        definition = self._servers.get(server)
        if statement is None or definition is None:
            return
        rate_per_s, stated_at = statement.rate_per_s, now
        if rate_per_s is None:
            known = self._known.get(server)
            if known is None or sent_at <= known.stated_at:
                return
            stated_at = sent_at
        self._known[server] = _KnownLimit(
            rate_per_s, stated_at, definition.started_ms
        )

    def merge(
        self, limits: Iterable[ServerLimit], now: datetime.timedelta
    ) -> None:
        """Record what another instance knows, if it is newer."""
        for server, rate_per_s, age_s in limits:
            definition = self._servers.get(server)
            known = self._known.get(server)
            if definition is None or not 0 <= age_s <= MAX_AGE_S:
                continue
            if rate_per_s is None and known is None:
                continue
            if rate_per_s is not None and not 0 <= rate_per_s:
                # No instance sends these.
                continue
            stated_at = now - datetime.timedelta(seconds=age_s)
            if known is None or known.stated_at < stated_at:
                self._known[server] = _KnownLimit(
                    rate_per_s, stated_at, definition.started_ms
                )

    def list_limits(
        self,
        has_server: Callable[[configuration.BackendServer], bool],
        now: datetime.timedelta,
        ended: Container[str] = (),
    ) -> tuple[ServerLimit, ...]:
        """Return the limits in force at the servers for which the check holds.

        Those in `ended` are included if their limit has ended.
        """
        return tuple(
            ServerLimit(
                name,
                known.rate_per_s,
                max(0.0, (now - known.stated_at).total_seconds()),
            )
            for name, known in self._known.items()
            if (known.rate_per_s is not None or name in ended)
            and (server := self._servers.get(name)) is not None
            and has_server(server)
        )

    def list_rates(self) -> dict[str, float]:
        """Return the limits in force in requests per second, by server."""
        return {
            name: known.rate_per_s
            for name, known in self._known.items()
            if known.rate_per_s is not None
        }

    def collect_changes(
        self, now: datetime.timedelta
    ) -> Iterator[LimitChange]:
        """Yield the limits that changed since they were last yielded."""
        for server in {*self._known, *self._reported}:
            rate_per_s = self.find_rate(server)
            reported, at = self._reported.get(server, (None, None))
            if rate_per_s == reported or (
                at is not None and now - at < REPORT_INTERVAL
            ):
                continue
            self._reported[server] = (rate_per_s, now)
            yield LimitChange(server, rate_per_s)


def find_usable_part(up: int, known: int | None) -> float:
    """Return the part of a limit that a holder uses by its own records.

    `up` of the `known` instances are up, as far as it knows; `known` is None
    for an instance that has not found the others yet.
    """
    if known is None:
        return 1 / ASSUMED_INSTANCES
    return min(1.0, PART_MARGIN * up / known)


class LimitedStarts:
    """Token bucket for the requests that start at a limited server."""

    def __init__(self, server: str):
        self._server = server
        self._bucket: fleet_buckets.Bucket | None = None
        # Permits whose token can be returned.
        self._permits: set[int] = set()
        self.rate_per_s = 0.0

    def update(
        self,
        rate_per_s: float,
        position: fleet_buckets.FleetPosition,
        now: datetime.timedelta,
    ) -> None:
        """Accrue tokens; an instance that becomes the holder has none."""
        rate_per_s = max(rate_per_s, MIN_RATE_PER_S)
        burst = BURST_REQUESTS + rate_per_s * BURST_TIME.total_seconds()
        limits = fleet_buckets.BucketLimits(
            rate_per_s * position.ratio, burst * position.ratio
        )
        self.rate_per_s = limits.rate_per_s
        if not position.ratio:
            self._bucket = None
        elif self._bucket is None:
            phase = position.find_phase(self._server)
            self._bucket = fleet_buckets.Bucket(limits, phase, now)
        else:
            self._bucket.accrue(limits, now)

    @property
    def has_token(self) -> bool:
        """Return whether one more request may start."""
        return self._bucket is not None and self._bucket.tokens >= 1

    def list_starts(self) -> Iterator[datetime.timedelta]:
        """Yield after what times from now further requests may start."""
        if self._bucket is None:
            return
        for number in itertools.count(1):
            missing = max(0.0, number - self._bucket.tokens)
            yield datetime.timedelta(seconds=missing / self.rate_per_s)

    def spend(self, permit_id: int) -> None:
        """Spend the token of a permit."""
        if self._bucket is not None:
            self._bucket.tokens -= 1
            self._permits.add(permit_id)

    def finish(self, permit_id: int, has_started: bool) -> None:
        """Return a permit's token if its request did not reach the server."""
        is_spent = permit_id in self._permits
        self._permits.discard(permit_id)
        if is_spent and not has_started and self._bucket is not None:
            self._bucket.tokens += 1
