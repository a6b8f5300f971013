"""What is asked of the holder of a pool, and what it answers."""

import datetime
from typing import NamedTuple


__all__ = [
    'DispatchDenial',
    'DispatchPermit',
    'DispatchRequest',
    'DispatchResult',
    'QueuePlace',
]

ZERO = datetime.timedelta(0)


class DispatchRequest(NamedTuple):
    """Describe a request that needs a backend server.

    `target` is the time within which an answer is on time, counted from
    the request's arrival `waited` ago; `remaining` is the time left. Unless
    it `may_wait`, the request wants a free slot at a good server only.
    """

    request_id: str
    sender: str
    target: datetime.timedelta
    waited: datetime.timedelta
    remaining: datetime.timedelta
    priority: int = 0
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    is_idempotent: bool = False
    may_wait: bool = True
    # Whether the request is to be counted among those that repeats are
    # allowed for; it is asked for several times, but counts once.
    is_new: bool = True


class DispatchPermit(NamedTuple):
    """Allow a request at a server.

    `first_byte_timeout` is how long silence of the server is usual.
    """

    permit_id: int
    server: str
    first_byte_timeout: datetime.timedelta


class DispatchDenial(NamedTuple):
    """Refuse a request with a code of the error table."""

    code: str
    retry_after: datetime.timedelta


class QueuePlace(NamedTuple):
    """Keep a request's place for as long as it is asked for again.

    To one that may not wait: offer a place with this expected `wait`. `doubt`
    tells how bad the best server there is, 0 if the request would get a good
    one.
    """

    wait: datetime.timedelta = ZERO
    doubt: int = 0


DispatchResult = DispatchPermit | DispatchDenial | QueuePlace
