"""Weighted rendezvous hashing of resources to instances.

Every instance computes the same order of the candidates without communication,
the loss of a candidate moves only the resources that it coordinated, and a
candidate is chosen in proportion to its cores.
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
    """Resource that one instance coordinates, such as a service's pool."""

    kind: str
    name: str


class Candidate(Protocol):
    """Interface of an instance that may coordinate resources."""

    name: str
    cores: float


_Candidate = TypeVar('_Candidate', bound=Candidate)


@functools.lru_cache(maxsize=65536)
def _score(name: str, cores: float, resource: CoordinatedResource) -> float:
    text = '\x00'.join((name, *resource)).encode()
    digest = hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
    # Strictly between 0 and 1, so that the logarithm is defined.
    uniform = (int.from_bytes(digest) + 0.5) / 2 ** (8 * _HASH_BYTES)
    return -cores / math.log(uniform)


def rank_candidates(
    candidates: Iterable[_Candidate], resource: CoordinatedResource
) -> list[_Candidate]:
    """Return the candidates in order of preference."""
    return sorted(
        candidates,
        key=lambda c: _score(c.name, c.cores, resource),
        reverse=True,
    )


def choose_candidate(
    candidates: Iterable[_Candidate], resource: CoordinatedResource
) -> _Candidate | None:
    """Return the preferred candidate, or None without candidates."""
    return max(
        candidates,
        key=lambda c: _score(c.name, c.cores, resource),
        default=None,
    )
