"""When a pool refuses a request, and when its caller may return.

Load patterns: a surge that takes more than the servers have (a request is
refused as soon as it is known that no slot will be free in time); callers
that are refused together (their returns are spread).
"""

import datetime
from typing import NamedTuple
import zlib

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import request_queue


__all__ = ['MIN_RETRY_AFTER', 'PoolLoad', 'find_retry_after', 'find_wait']

MIN_RETRY_AFTER = datetime.timedelta(milliseconds=100)
# Above this utilization, arrivals count as a surge.
SURGE_UTILIZATION = 0.95
# Part of its remaining time that a request that will miss its target may wait
# for the requests ahead of it. New requests that can meet their target
# overtake it meanwhile.
LATE_WAIT_RATIO = 0.6
SURGE_WAIT_RATIO = 0.4


class PoolLoad(NamedTuple):
    """What a request finds at a pool; rates are requests per second.

    The servers complete `capacity`. Requests of higher priority arrive at
    `rate_before`, and with those of the same priority at `rate`. `ahead`
    requests of the `queued` ones go first. Without `has_room_at_limits`,
    limits keep servers from starting the request. `is_over_share` tells
    whether its customer got more than its share.
    """

    capacity: float
    rate_before: float
    rate: float
    ahead: int
    queued: int
    has_room_at_limits: bool = True
    is_over_share: bool = False


def find_wait(
    request: dispatch_requests.DispatchRequest,
    usual: datetime.timedelta,
    load: PoolLoad,
) -> datetime.timedelta | None:
    """Return the expected wait for a slot, or None if it is too long.

    A request that can meet its target waits for the requests ahead of it
    and for those of higher priority that arrive meanwhile. A request that
    will miss its target is served from the capacity that all others leave.
    During a surge only a few of these are queued, to be served when the
    surge ends, and none where servers are at their limit: limits last for
    longer than a request can wait. Those of a customer over its share are
    the first to be refused then.
    """
    spare = load.capacity - load.rate_before
    least = load.capacity * request_queue.MIN_SHARE
    if max(spare, least) <= 0:
        return None
    wait = datetime.timedelta(seconds=(load.ahead + 1) / max(spare, least))
    if request.waited + wait + usual <= request.target:
        return wait
    if spare <= 0:
        return None
    wait = datetime.timedelta(seconds=(load.queued + 1) / spare)
    is_surge = load.rate > load.capacity * SURGE_UTILIZATION
    if is_surge and (load.is_over_share or not load.has_room_at_limits):
        return None
    spare_time = request.remaining - usual
    ratio = SURGE_WAIT_RATIO if is_surge else LATE_WAIT_RATIO
    return wait if wait <= spare_time * ratio else None


def find_retry_after(
    request: dispatch_requests.DispatchRequest, usual: datetime.timedelta
) -> datetime.timedelta:
    """Return when a denied request may be retried.

    That is after about the time of one request. Requests that are denied
    together must not return together, so the time is spread evenly by a
    hash of the request id.
    """
    jitter = zlib.crc32(request.request_id.encode()) / 2**32
    return max(MIN_RETRY_AFTER, usual * (0.5 + jitter))
