"""Permits in use at an entry instance, which received the requests.

A new holder of a pool asks every instance for the permits granted by earlier
holders. The reply must stay complete, so an instance does not use a permit
that it requested before it replied.
"""

import datetime
from typing import NamedTuple

from cranberryscale import messages


__all__ = ['LocalPermit', 'LocalPermitTable', 'PoolKey']


class PoolKey(NamedTuple):
    """Identity of a pool: a service in a failure domain."""

    service: str
    domain: str


class LocalPermit(NamedTuple):
    """Permit in use until its report or `expires`."""

    permit_id: str
    server: str
    pool: PoolKey
    expires: datetime.timedelta


class LocalPermitTable:
    """Table of the permits in use at this instance."""

    def __init__(self):
        self._permits: dict[str, LocalPermit] = {}
        self._surveyed_at: dict[PoolKey, datetime.timedelta] = {}

    def __len__(self) -> int:
        """Return the number of permits in use."""
        return len(self._permits)

    def add(
        self, permit: LocalPermit, requested_at: datetime.timedelta
    ) -> bool:
        """Add a granted permit; return False if it must not be used.

        That is so if the pool was surveyed after the permit was requested.
        """
        surveyed_at = self._surveyed_at.get(permit.pool)
        if surveyed_at is not None and requested_at <= surveyed_at:
            return False
        self._permits[permit.permit_id] = permit
        return True

    def remove(self, permit_id: str) -> LocalPermit | None:
        """Remove and return a permit, None if it is not in use."""
        return self._permits.pop(permit_id, None)

    def answer_survey(
        self, pool: PoolKey, now: datetime.timedelta
    ) -> messages.SurveyReply:
        """Return the permits of a pool in use, with their remaining time."""
        self._surveyed_at[pool] = now
        return messages.SurveyReply(
            tuple(
                messages.SurveyPermit(
                    permit.permit_id,
                    permit.server,
                    (permit.expires - now).total_seconds(),
                )
                for permit in self._permits.values()
                if permit.pool == pool and permit.expires > now
            )
        )

    def expire(self, now: datetime.timedelta) -> None:
        """Remove the permits whose request must have ended."""
        for permit in tuple(self._permits.values()):
            if permit.expires <= now:
                del self._permits[permit.permit_id]
