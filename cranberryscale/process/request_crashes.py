"""Backend servers that crash under a request.

Requests are told apart by a digest, since each attempt of a caller has an id
of its own.
"""

from collections.abc import Iterable
import datetime
import hashlib
from typing import NamedTuple


__all__ = ['CrashTable', 'ServerProcess', 'make_digest']

DIGEST_BYTES = 8
RETENTION = datetime.timedelta(seconds=60)
MAX_REQUESTS = 1024


class ServerProcess(NamedTuple):
    """A process of a backend server."""

    server: str
    started_ms: int


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

    def record_crash(
        self, digest: bytes, process: ServerProcess, now: datetime.timedelta
    ) -> None:
        """Record that a connection ended without an answer."""
        crashes = self._crashes.pop(digest, {})
        crashes[process] = now
        self._crashes[digest] = crashes
        if len(self._crashes) > MAX_REQUESTS:
            del self._crashes[next(iter(self._crashes))]

    def list_crashes(
        self, digest: bytes, now: datetime.timedelta
    ) -> dict[ServerProcess, datetime.timedelta]:
        """Return the server processes that ended, and when each did."""
        return {
            process: at
            for process, at in self._crashes.get(digest, {}).items()
            if now - at < RETENTION
        }
