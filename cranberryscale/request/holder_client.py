"""What an entry instance needs in order to ask holders."""

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
    'REPORT_PAUSE',
    'ZERO',
]

# After a call to a holder failed it is asked last for this long.
SILENCE = datetime.timedelta(seconds=1)
REPORT_ATTEMPTS = 4
REPORT_PAUSE = datetime.timedelta(milliseconds=50)
ZERO = datetime.timedelta()


class InstanceContext(NamedTuple):
    """Give what an entry needs to know of the rest of the instance."""

    name: str
    domain: str
    peer_timeout: datetime.timedelta
    get_configuration: Callable[[], configuration.Configuration]
    find_holder: Callable[[view.LeasedResource], str | None]


class HolderClient:
    """Remember which holders did not answer lately."""

    def __init__(self, fleet: InstanceContext):
        self._fleet = fleet
        self._silent_until: dict[str, datetime.timedelta] = {}

    def _is_silent(self, holder: str | None, now: datetime.timedelta) -> bool:
        return self._silent_until.get(holder, ZERO) > now

    def _note_reply(self, holder: str | None, reply: calls.CallResult) -> None:
        if holder is None or reply.error is None:
            return
        if reply.error.code == 'peer_unreachable':
            self._silent_until[holder] = reply.now + SILENCE

    def _drop_silences(self, now: datetime.timedelta) -> None:
        for holder, until in tuple(self._silent_until.items()):
            if until <= now:
                del self._silent_until[holder]
