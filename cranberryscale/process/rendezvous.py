"""The order in which instances may coordinate a resource.

Weighted rendezvous hashing: every instance comes to the same order without
asking, the loss of one moves only what it held, and an instance is chosen in
proportion to its cores.
"""

from collections.abc import Iterable
import functools
import hashlib
import math
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar


__all__ = [
    'Candidate',
    'CoordinatedResource',
    'choose_candidate',
    'rank_candidates',
]

_HASH_BYTES = 7


class CoordinatedResource(NamedTuple):
    """Name what is coordinated, for example the pool of a service."""

    kind: str
    name: str


class Candidate(Protocol):
    """Be an instance that may coordinate."""

    name: str
    cores: float


_Candidate = TypeVar('_Candidate', bound=Candidate)


@functools.lru_cache(maxsize=65536)
def _score(name: str, cores: float, resource: CoordinatedResource) -> float:
    text = '\x00'.join((name, *resource)).encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    # Strictly between 0 and 1, so that the logarithm exists.
    draw = (int.from_bytes(digest) + 0.5) / 2 ** (8 * _HASH_BYTES)
    return -cores / math.log(draw)


def rank_candidates(
    candidates: Iterable[_Candidate], resource: CoordinatedResource
) -> list[_Candidate]:
    """Return the candidates, the first choice first."""
    return sorted(
        candidates,
        key=lambda c: _score(c.name, c.cores, resource),
        reverse=True,
    )


def choose_candidate(
    candidates: Iterable[_Candidate], resource: CoordinatedResource
) -> _Candidate | None:
    """Return the first choice, or None without candidates."""
    return max(
        candidates,
        key=lambda c: _score(c.name, c.cores, resource),
        default=None,
    )
