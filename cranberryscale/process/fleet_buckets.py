"""Token buckets of which each instance holds a part.

A part below one token is that part of the time for which a token may be
spent. Where the times of the instances are spread evenly, they hold no more
tokens together than the sum of their parts.
"""

import datetime
from typing import NamedTuple
import zlib


__all__ = ['Bucket', 'BucketLimits', 'FleetPosition']


class FleetPosition(NamedTuple):
    """Position of an instance among the `instances` that are known.

    `ratio` is the part of these that are up, or of the whole that the instance
    may use. Without `has_predecessor` no other instance has been up for long
    enough to have been a holder.
    """

    name: str
    rank: int
    instances: int
    ratio: float = 1.0
    has_predecessor: bool = True

    def find_phase(self, resource: str) -> float:
        """Return a fraction that is spread evenly over the instances.

        An instance that knows of no other draws it from its name.
        """
        if self.instances <= 1:
            return zlib.crc32(f'{self.name} {resource}'.encode()) / 2**32
        offset = zlib.crc32(resource.encode()) / 2**32
        return (self.rank / self.instances + offset) % 1


class BucketLimits(NamedTuple):
    """Rate and burst of a bucket, and the tokens with which it starts."""

    rate_per_s: float
    burst: float
    start: float = 0.0


class Bucket:
    """A token bucket whose limits may differ at each request."""

    def __init__(
        self, limits: BucketLimits, phase: float, now: datetime.timedelta
    ):
        self.tokens = limits.start + (phase if limits.burst < 1 else 0.0)
        self.updated_at = now

    def accrue(self, limits: BucketLimits, now: datetime.timedelta) -> None:
        """Add the tokens since the last update, unless it lies ahead."""
        if now > self.updated_at:
            since = now - self.updated_at
            self.tokens += limits.rate_per_s * since.total_seconds()
            self.updated_at = now
        if limits.burst >= 1:
            self.tokens = min(limits.burst, self.tokens)
        elif self.tokens >= 1:
            part = self.tokens % 1
            self.tokens = part + (part < limits.burst)
