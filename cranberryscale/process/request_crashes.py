"""Backend servers that crash under a request.

A request under which several servers have ended is not sent to another one. It
is recognized by a digest, since each attempt of a caller has an id of its own.

The instance that sent a request sees its connection end without an answer. It
tells the holders of all shards of the service before the request goes on, and
each question for a server brings the holder what the sender knows of the
request. So the holders refuse the request at whatever instance it arrives
next; without a holder, an instance refuses what it knows of.

Servers end for other reasons as well, and all requests that run there are cut
off with them. One such end therefore changes nothing, and a response of any
server shows that the request is harmless: ends before it do not count. After
a response, it takes one more end to refuse the request, and it is refused for
RECOVERY_TIME only until one more server ends, so that a common request is
served again after servers ended together.

Load patterns: one request that callers repeat at many instances; many requests
that each lose one server.
"""

from collections.abc import Iterable
import datetime
import hashlib
from typing import NamedTuple


__all__ = [
    'ANSWERED_CRASH_LIMIT',
    'CRASH_LIMIT',
    'CrashTable',
    'RequestHistory',
    'ServerCrash',
    'ServerProcess',
    'make_digest',
]

DIGEST_BYTES = 8
# Servers that may end under a request before it is refused. Two attempts may
# be under way at once, and operators count from three servers on.
CRASH_LIMIT = 2
# The same for a request that was answered lately. The report of an answer
# may arrive after that of the next crash.
ANSWERED_CRASH_LIMIT = 3
# Callers repeat a request until its deadline, and operators their jobs.
RETENTION = datetime.timedelta(seconds=60)
# Servers are back within this time, if they all ended together.
RECOVERY_TIME = datetime.timedelta(seconds=4)
# A reply takes less time. Without this margin, each exchange of a response's
# age would make the response seem more recent.
REPLY_MARGIN = datetime.timedelta(milliseconds=200)
MAX_REQUESTS = 1024
MAX_RESPONSES = 4096


class ServerProcess(NamedTuple):
    """A process of a backend server."""

    server: str
    started_ms: int


class ServerCrash(NamedTuple):
    """A server process in a message that ended `age_s` seconds ago."""

    server: str
    started_ms: int
    age_s: float


class RequestHistory(NamedTuple):
    """What the sender of a message knows of a request.

    The latest response arrived `response_age_s` seconds ago, None if there is
    none.
    """

    digest: bytes
    crashes: tuple[ServerCrash, ...] = ()
    response_age_s: float | None = None


def make_digest(parts: Iterable[str | bytes]) -> bytes:
    """Return the digest of what tells a request from others."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        hasher.update(b'%d:%b' % (len(data), data))
    return hasher.digest()


class CrashTable:
    """The server processes that ended under requests, by digest."""

    def __init__(self) -> None:
        self._crashes: dict[
            bytes, dict[ServerProcess, datetime.timedelta]
        ] = {}
        self._responses: dict[bytes, datetime.timedelta] = {}

    def record_crash(
        self, digest: bytes, process: ServerProcess, now: datetime.timedelta
    ) -> None:
        """Record that a connection ended without an answer."""
        crashes = self._crashes.pop(digest, {})
        crashes[process] = now
        self._crashes[digest] = crashes
        if len(self._crashes) > MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]

    def record_response(self, digest: bytes, now: datetime.timedelta) -> None:
        """Record that a server answered; earlier crashes do not count."""
        known = self._responses.pop(digest, now)
        self._responses[digest] = max(known, now)
        if len(self._responses) > MAX_RESPONSES:
            del self._responses[next(iter(self._responses))]
        left = {
            process: at
            for process, at in self._crashes.pop(digest, {}).items()
            if at > now
        }
        if left:
            self._crashes[digest] = left

    def list_crashes(
        self, digest: bytes, now: datetime.timedelta
    ) -> dict[ServerProcess, datetime.timedelta]:
        """Return the server processes that ended, and when each did."""
        return {
            process: at
            for process, at in self._crashes.get(digest, {}).items()
            if now - at < RETENTION
        }

    def is_refused(self, digest: bytes, now: datetime.timedelta) -> bool:
        """Return whether the request must not be sent to a server now."""
        crashes = self.list_crashes(digest, now)
        responded_at = self._responses.get(digest)
        if responded_at is None or now - responded_at >= RETENTION:
            return len(crashes) >= CRASH_LIMIT
        ends = sorted(crashes.values())
        if len(ends) < ANSWERED_CRASH_LIMIT:
            return False
        # Ends within RECOVERY_TIME belong to attempts that were under way.
        if ends[-1] - ends[ANSWERED_CRASH_LIMIT - 1] >= RECOVERY_TIME:
            return True
        return now - ends[-1] < RECOVERY_TIME

    def make_history(
        self, digest: bytes, now: datetime.timedelta
    ) -> RequestHistory:
        """Return what is known of a request, for a message."""
        responded_at = self._responses.get(digest)
        is_recent = responded_at is not None and now - responded_at < RETENTION
        return RequestHistory(
            digest,
            tuple(
                ServerCrash(*process, (now - at).total_seconds())
                for process, at in self.list_crashes(digest, now).items()
            ),
            (now - responded_at).total_seconds() if is_recent else None,
        )

    def merge(
        self,
        history: RequestHistory,
        now: datetime.timedelta,
        margin: datetime.timedelta = datetime.timedelta(0),
    ) -> None:
        """Record what another instance knows of a request.

        Its latest response counts as `margin` older than stated.
        """
        digest, crashes, response_age_s = history
        known = self._responses.get(digest)
        if _is_age(response_age_s):
            at = now - datetime.timedelta(seconds=response_age_s) - margin
            if known is None or known < at:
                self.record_response(digest, at)
                known = at
        for server, started_ms, age_s in crashes:
            process = ServerProcess(server, started_ms)
            if not _is_age(age_s) or process in self._crashes.get(digest, ()):
                continue
            at = now - datetime.timedelta(seconds=age_s)
            if known is None or known < at:
                self.record_crash(digest, process, at)


def _is_age(age_s: float | None) -> bool:
    return age_s is not None and 0 <= age_s < RETENTION.total_seconds()
