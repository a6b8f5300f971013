"""Limits that backend servers name in their answers.

A server in need names the number of requests per second that it takes from
the whole fleet, in each of its answers for as long as the limit stands.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
import re
from typing import NamedTuple

from cranberryscale.version import configuration


__all__ = ['LimitChange', 'LimitStatement', 'LimitTable', 'read_statement']

# Larger limits never bind, and keep the arithmetic away from infinity.
MAX_RATE_PER_S = 1e6
# A server may name another limit in each answer; changes of one server are
# reported at most this often.
REPORT_INTERVAL = datetime.timedelta(seconds=1)
# What is known of a server is kept this long while its entry is missing, since
# entries come back after an outage of the store.
MISSING_RETENTION = datetime.timedelta(minutes=1)

_RATE = re.compile(r'[0-9]+(?:\.[0-9]*)?|\.[0-9]+')


class LimitStatement(NamedTuple):
    """What one answer says of its server's limit, None if it names none."""

    rate_per_s: float | None


class LimitChange(NamedTuple):
    """A change of the limit in force at a server, None without one."""

    server: str
    rate_per_s: float | None


def read_statement(values: Iterable[str]) -> LimitStatement | None:
    """Return what the values of the header say; None if that is unreadable.

    Of several limits the smallest counts. Values that are no plain decimal
    numbers, among them negative ones and NaN, are ignored.
    """
    items = [item.strip() for value in values for item in value.split(',')]
    if not items:
        return LimitStatement(None)
    rates = [float(item) for item in items if _RATE.fullmatch(item)]
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
