"""Permits that this entry instance has in use.

A new holder of a pool counts what its predecessors granted by asking every
instance. What an instance answers must stay true, so it uses no permit that
it had asked for before it answered.
"""

import datetime
from typing import NamedTuple

from cranberryscale import messages


__all__ = ['LocalPermit', 'LocalPermitTable', 'PoolKey']


class PoolKey(NamedTuple):
    """Name the backend servers of a service in a failure domain."""

    service: str
    domain: str


class LocalPermit(NamedTuple):
    """Describe a permit in use until it is reported or `expires`."""

    permit_id: str
    server: str
    pool: PoolKey
    expires: datetime.timedelta


class LocalPermitTable:
    """Own the permits in use at this instance."""

    def __init__(self):
        self._uses: dict[str, LocalPermit] = {}
        self._surveyed: dict[PoolKey, datetime.timedelta] = {}

    def __len__(self) -> int:
        """Return the number of permits in use."""
        return len(self._uses)

    def add(self, use: LocalPermit, asked_at: datetime.timedelta) -> bool:
        """Record a granted permit; return False if it must not be used."""
        surveyed_at = self._surveyed.get(use.pool)
        if surveyed_at is not None and asked_at <= surveyed_at:
            return False
        self._uses[use.permit_id] = use
        return True

    def remove(self, permit_id: str) -> LocalPermit | None:
        """Remove a permit; None if it is not in use."""
        return self._uses.pop(permit_id, None)

    def answer_survey(
        self, pool: PoolKey, now: datetime.timedelta
    ) -> messages.SurveyReply:
        """Return the permits of a pool that are in use."""
        self._surveyed[pool] = now
        return messages.SurveyReply(
            tuple(
                messages.SurveyPermit(
                    use.permit_id,
                    use.server,
                    (use.expires - now).total_seconds(),
                )
                for use in self._uses.values()
                if use.pool == pool and use.expires > now
            )
        )

    def expire(self, now: datetime.timedelta) -> None:
        """Drop permits whose request must have ended."""
        for use in tuple(self._uses.values()):
            if use.expires <= now:
                del self._uses[use.permit_id]
