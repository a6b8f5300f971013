"""What backend servers say of themselves in their answers.

Besides a limit for the whole fleet (see server_limits) a server may say that
it is leaving, and, where it turns a request away, for how long it wants
nothing further from that instance.

An instance that passed on such an answer keeps to it by itself, whatever
holders know: it sends the server no request that came later. The holder of the
server's shard learns it with the report of the request. It starts nothing more
at a leaving server, for any instance, and uses a server that wants rest last,
for the instances that were not told.

Load pattern: servers that shed load in waves. Each instance comes back when
its own time has passed, so they do not come back together.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import datetime
from typing import NamedTuple

from cranberryscale.process.pool import server_limits
from cranberryscale.version import configuration


__all__ = [
    'LoadStatement',
    'ServerStatement',
    'StatementChange',
    'StatementTable',
    'read_statement',
]

ZERO = datetime.timedelta(0)
# A server that asks for more is tried again after this time.
MAX_REST = datetime.timedelta(seconds=60)
# Longer numbers in a load are not those of a server.
MAX_LOAD_DIGITS = 5
# Changes that are kept until they are logged.
MAX_CHANGES = 100


class LoadStatement(NamedTuple):
    """How many requests a server runs, how many wait there, its slots."""

    running: int
    waiting: int
    slots: int


class ServerStatement(NamedTuple):
    """What one answer says of its server.

    `limit` is None if its statement cannot be read, `load` if it states none.
    With `rest_s` the server wants nothing from the instance for so many
    seconds.
    """

    limit: server_limits.LimitStatement | None
    is_leaving: bool = False
    rest_s: float = 0.0
    load: LoadStatement | None = None


class StatementChange(NamedTuple):
    """A change of what is believed of a server: an event and its value."""

    event: str
    server: str
    value: float | bool | None


def _read_load(values: Iterable[str]) -> LoadStatement | None:
    """Return the load that a header's only value states, or None."""
    match tuple(values):
        case (value,):
            fields = [field.strip(' \t') for field in value.split(',')]
            if len(fields) == len(LoadStatement._fields) and all(
                field.isascii()
                and field.isdigit()
                and len(field) <= MAX_LOAD_DIGITS
                for field in fields
            ):
                return LoadStatement(*map(int, fields))
    return None


def read_statement(
    limits: Iterable[str],
    leaving: Iterable[str],
    rests: Iterable[str],
    loads: Iterable[str] = (),
) -> ServerStatement:
    """Return what the values of the headers say.

    A server is leaving if a value is 1. Of several times to rest the longest
    counts, up to MAX_REST; dates, negative numbers and other values are
    ignored, and so is a load that is stated twice or not in three numbers.
    """
    rest_s = max(server_limits.read_numbers(rests), default=0.0)
    return ServerStatement(
        server_limits.read_statement(limits),
        any(value.strip() == '1' for value in leaving),
        min(rest_s, MAX_REST.total_seconds()),
        _read_load(loads),
    )


class _Leaving(NamedTuple):
    """The process of a server that said that it leaves."""

    stated_at: datetime.timedelta
    started_ms: int


class _Rest(NamedTuple):
    """Until when a server's process wants nothing from this instance."""

    until: datetime.timedelta
    started_ms: int


class StatementTable:
    """What this instance knows of the statements of servers."""

    def __init__(self) -> None:
        self.limits = server_limits.LimitTable()
        self._servers: Mapping[str, configuration.BackendServer] = {}
        self._leaving: dict[str, _Leaving] = {}
        self._rests: dict[str, _Rest] = {}
        self._changes: list[StatementChange] = []

    def load_servers(
        self,
        servers: Mapping[str, configuration.BackendServer],
        now: datetime.timedelta,
    ) -> None:
        """Replace the published servers; forget processes that ended."""
        self.limits.load_servers(servers, now)
        self._servers = servers
        self._leaving = {
            name: known
            for name, known in self._leaving.items()
            if name in servers and servers[name].started_ms == known.started_ms
        }
        self._rests = {
            name: rest
            for name, rest in self._rests.items()
            if now < rest.until
            and name in servers
            and servers[name].started_ms == rest.started_ms
        }

    def record_own(
        self,
        server: str,
        statement: ServerStatement | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record what the answer to a request of this instance states.

        `statement` is None if there was no answer.
        """
        self.record(server, statement, sent_at, now)
        definition = self._servers.get(server)
        if statement is None or definition is None or not statement.rest_s:
            return
        until = now + datetime.timedelta(seconds=statement.rest_s)
        known = self._rests.get(server)
        if known is None or known.until < until:
            self._rests[server] = _Rest(until, definition.started_ms)
            self._add_change('server_rest', server, statement.rest_s)

    def record(
        self,
        server: str,
        statement: ServerStatement | None,
        sent_at: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Record what the answer to a request of any instance states.

        A server that does not say any more that it leaves stays, if the
        request was sent after it last said so.
        """
        definition = self._servers.get(server)
        if statement is None or definition is None:
            return
        self.limits.record(server, statement.limit, sent_at, now)
        known = self._leaving.get(server)
        if statement.is_leaving:
            self._leaving[server] = _Leaving(now, definition.started_ms)
        elif known is not None and sent_at > known.stated_at:
            del self._leaving[server]
        if (server in self._leaving) != (known is not None):
            self._add_change('server_leaving', server, statement.is_leaving)

    def _add_change(
        self, event: str, server: str, value: float | bool | None
    ) -> None:
        if len(self._changes) < MAX_CHANGES:
            self._changes.append(StatementChange(event, server, value))

    def is_leaving(self, server: str) -> bool:
        """Return whether a server said that it leaves."""
        return server in self._leaving

    def is_avoided(self, server: str, now: datetime.timedelta) -> bool:
        """Return whether this instance sends the server no new requests."""
        return self.is_leaving(server) or self.find_rest(server, now) > ZERO

    def list_avoided(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the servers to which this instance sends no new requests."""
        return tuple(
            name
            for name in {*self._leaving, *self._rests}
            if self.is_avoided(name, now)
        )

    def find_rest(
        self, server: str, now: datetime.timedelta
    ) -> datetime.timedelta:
        """Return for how long a server wants nothing from this instance."""
        rest = self._rests.get(server)
        return max(ZERO, rest.until - now) if rest is not None else ZERO

    def collect_changes(
        self, now: datetime.timedelta
    ) -> Iterator[StatementChange]:
        """Yield what changed since it was last yielded, for the log."""
        changes, self._changes = self._changes, []
        yield from changes
        for server, rate_per_s in self.limits.collect_changes(now):
            yield StatementChange('server_limit', server, rate_per_s)
