"""Requests for backend servers and the answers of a pool's holder."""

import datetime
from typing import NamedTuple


__all__ = [
    'DispatchDenial',
    'DispatchPermit',
    'DispatchRequest',
    'DispatchResult',
    'OVERDUE',
    'QueuePlace',
    'ResultNotice',
]

ZERO = datetime.timedelta(0)
# Outcome of a request that goes on at a server which is unusually silent.
OVERDUE = 'overdue'


class DispatchRequest(NamedTuple):
    """A request that needs a backend server.

    `target` is the latency within which the response is on time, counted from
    the arrival of the request `waited` ago; `remaining` is the time left.
    Unless it `may_wait`, the request is for a free slot at a healthy server
    only, or for a place in the queue where the expected wait is at most
    `longest_wait`. `customer` is empty for requests without a key; `kind`
    names requests that are alike. A retry that `is_paid` costs nothing here,
    since the holder of another shard has granted it. With `can_use_elsewhere`
    it can be granted here for a server of another shard.
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
    # Whether to count the request as a first attempt, by which retries are
    # limited. A request may be sent to several pools, and again after a
    # failed connection, but counts once.
    is_new: bool = True
    customer: str = ''
    kind: str = ''
    longest_wait: datetime.timedelta = ZERO
    is_paid: bool = False
    can_use_elsewhere: bool = True


class DispatchPermit(NamedTuple):
    """Permission to send a request to a server.

    If no byte arrives within `first_byte_timeout`, which is unusual for the
    server, a second attempt may start.
    """

    permit_id: int
    server: str
    first_byte_timeout: datetime.timedelta


class DispatchDenial(NamedTuple):
    """A denial with a code of the error table.

    A retry with a `permit_id` is granted all the same, at a server of another
    shard.
    """

    code: str
    retry_after: datetime.timedelta
    permit_id: int = 0


class QueuePlace(NamedTuple):
    """A place in the queue, kept as long as the instance polls for it.

    A request that may not wait is only offered one: `wait` is the expected
    wait and `doubt` the health state of the best server, 0 if the request
    would get a healthy one. It has the place if `is_queued`.
    """

    wait: datetime.timedelta = ZERO
    doubt: int = 0
    is_queued: bool = False


class ResultNotice(NamedTuple):
    """A queued request that has a result, and the instance that waits."""

    sender: str
    request_id: str


DispatchResult = DispatchPermit | DispatchDenial | QueuePlace
