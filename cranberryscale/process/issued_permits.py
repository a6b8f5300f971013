"""Permits in use at the backend servers of one pool."""

import collections
from collections.abc import Iterator
import heapq
from typing import NamedTuple


__all__ = ['IssuedPermit', 'IssuedPermitTable']

# An instance heard from this recently is taken to be alive. Usual instances
# speak several times a second; half a second of a dead instance's silence is
# far too little evidence for an ejection.
_ALIVE_S = 0.5


class IssuedPermit(NamedTuple):
    """Describe a permit in use.

    `is_ended` marks a permit whose request ended at the entry instance but
    may still run at the backend server.
    """

    permit_id: str
    server: str
    sender: str
    granted_s: float
    expires_s: float
    is_trial: bool = False
    is_ended: bool = False


class IssuedPermitTable:
    """Count permits by server and instance until they end or expire."""

    def __init__(self) -> None:
        self._permits: dict[str, IssuedPermit] = {}
        self._by_server: dict[str, dict[str, IssuedPermit]] = {}
        self._by_sender: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._expiries: list[tuple[float, str]] = []
        self._heard_s: dict[str, float] = {}

    def record_activity(self, sender: str, now_s: float) -> None:
        """Record a sign of life of an entry instance."""
        self._heard_s[sender] = now_s

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
        """Yield for how long each running request has not been reported.

        Ages end at the last sign of life of a silent instance, so that a
        dead or paused instance is no evidence against a server.
        """
        return (
            self._read_alive_s(permit.sender, now_s) - permit.granted_s
            for permit in self._by_server.get(server, {}).values()
            if not permit.is_ended
        )

    def _read_alive_s(self, sender: str, now_s: float) -> float:
        heard_s = self._heard_s.get(sender, 0.0)
        return now_s if now_s - heard_s < _ALIVE_S else heard_s
