"""Permits that the holder of a pool issued and that are in use.

Each permit in use occupies one slot of a backend server.
"""

import collections
from collections.abc import Iterator
import heapq
from typing import NamedTuple


__all__ = ['IssuedPermit', 'IssuedPermitTable']

# An instance counts as alive for this long after its last message. Instances
# normally send several messages a second; half a second of missing reports
# from a crashed instance is far too little evidence to eject a server.
_ALIVE_TIMEOUT_S = 0.5


class IssuedPermit(NamedTuple):
    """Permit in use, from the grant until its report or expiry.

    `is_ended` marks a permit whose request ended at the entry instance but
    may still be running at the backend server.
    """

    permit_id: str
    server: str
    sender: str
    granted_s: float
    expires_s: float
    is_trial: bool = False
    is_ended: bool = False


class IssuedPermitTable:
    """Table of permits in use, counted by server and entry instance."""

    def __init__(self) -> None:
        self._permits: dict[str, IssuedPermit] = {}
        self._by_server: dict[str, dict[str, IssuedPermit]] = {}
        self._by_sender: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._expiries: list[tuple[float, str]] = []
        self._last_activity_s: dict[str, float] = {}

    def record_activity(self, sender: str, now_s: float) -> None:
        """Record that an entry instance sent a message."""
        self._last_activity_s[sender] = now_s

    def add(self, permit: IssuedPermit) -> None:
        """Add or replace a permit."""
        self.remove(permit.permit_id)
        self._permits[permit.permit_id] = permit
        self._by_server.setdefault(permit.server, {})[permit.permit_id] = (
            permit
        )
        self._by_sender[permit.server, permit.sender] += 1
        heapq.heappush(self._expiries, (permit.expires_s, permit.permit_id))

    def find(self, permit_id: str) -> IssuedPermit | None:
        """Return the permit, or None when it has ended or expired."""
        return self._permits.get(permit_id)

    def remove(self, permit_id: str) -> IssuedPermit | None:
        """Remove and return the permit, None when there is none."""
        permit = self._permits.pop(permit_id, None)
        if permit:
            del self._by_server[permit.server][permit_id]
            key = (permit.server, permit.sender)
            self._by_sender[key] -= 1
            if not self._by_sender[key]:
                del self._by_sender[key]
        return permit

    def expire(self, now_s: float) -> list[IssuedPermit]:
        """Remove and return the permits whose deadline has passed."""
        expired = []
        while self._expiries and self._expiries[0][0] <= now_s:
            permit = self._permits.get(heapq.heappop(self._expiries)[1])
            if permit and permit.expires_s <= now_s:
                expired.append(self.remove(permit.permit_id))
        return expired

    def count(self, server: str) -> int:
        """Return the permits in use at a server over all instances."""
        return len(self._by_server.get(server, ()))

    def count_by_sender(self, server: str, sender: str) -> int:
        """Return the permits that one instance has in use at a server."""
        return self._by_sender.get((server, sender), 0)

    def list_request_ages(self, server: str, now_s: float) -> Iterator[float]:
        """Return the ages in seconds of the requests running at a server.

        If the entry instance has stopped sending messages, the age is counted
        up to its last one, so that a crashed or paused instance is no evidence
        against the server.
        """
        return (
            self._find_last_alive_s(permit.sender, now_s) - permit.granted_s
            for permit in self._by_server.get(server, {}).values()
            if not permit.is_ended
        )

    def _find_last_alive_s(self, sender: str, now_s: float) -> float:
        last_activity_s = self._last_activity_s.get(sender, 0.0)
        return (
            now_s
            if now_s - last_activity_s < _ALIVE_TIMEOUT_S
            else last_activity_s
        )
