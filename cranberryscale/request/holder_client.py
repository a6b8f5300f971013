"""Base of the clients by which an entry instance calls lease holders."""

import datetime
from typing import Callable
from typing import NamedTuple

from cranberryscale.process import calls
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = [
    'HolderClient',
    'InstanceContext',
    'REPORT_ATTEMPTS',
    'REPORT_RETRY_DELAY',
    'ZERO',
]

# For this long, a holder that could not be reached is not asked for tokens and
# is the last one asked for permits.
UNRESPONSIVE_TIME = datetime.timedelta(seconds=1)
REPORT_ATTEMPTS = 4
REPORT_RETRY_DELAY = datetime.timedelta(milliseconds=50)
ZERO = datetime.timedelta()


class InstanceContext(NamedTuple):
    """Identity of this instance, and access to its state for clients."""

    name: str
    domain: str
    peer_timeout: datetime.timedelta
    get_configuration: Callable[[], configuration.Configuration]
    find_holder: Callable[[view.LeasedResource], str | None]


class HolderClient:
    """Client of lease holders that tracks which ones are unreachable."""

    def __init__(self, instance: InstanceContext):
        self._instance = instance
        self._unresponsive_until: dict[str, datetime.timedelta] = {}

    def _is_unresponsive(
        self, holder: str | None, now: datetime.timedelta
    ) -> bool:
        return self._unresponsive_until.get(holder, ZERO) > now

    def _record_result(
        self, holder: str | None, result: calls.CallResult
    ) -> None:
        if holder is None or result.error is None:
            return
        if result.error.code == 'peer_unreachable':
            self._unresponsive_until[holder] = (
                result.ended_at + UNRESPONSIVE_TIME
            )

    def _remove_expired(self, now: datetime.timedelta) -> None:
        for holder, until in tuple(self._unresponsive_until.items()):
            if until <= now:
                del self._unresponsive_until[holder]
