"""Lookup of customers by key.

Keys are published as SHA-256 digests. Digests are bucketed by prefix and
all of a bucket is compared in constant time, so that the time of a lookup
tells nothing about how much of a guessed digest is right. No key is kept,
logged or put into an error.
"""

import functools
import hashlib
import hmac
from typing import Mapping

from absl import logging

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = ['KeyIndex', 'digest_key', 'find_customer']

# 65,536 buckets hold 20 digests each on average at 1.3 million keys.
PREFIX_LENGTH = 4


class KeyIndex:
    """Find published keys by digest."""

    def __init__(self, published: Mapping[str, configuration.Key]):
        self._buckets: dict[str, list[configuration.Key]] = {}
        for key in published.values():
            prefix = key.digest[:PREFIX_LENGTH]
            self._buckets.setdefault(prefix, []).append(key)

    def find_key(self, digest: str) -> configuration.Key | None:
        """Return the published key with this digest, withdrawn or not."""
        found = None
        for key in self._buckets.get(digest[:PREFIX_LENGTH], ()):
            if hmac.compare_digest(key.digest, digest):
                found = key
        return found


class _Cache:
    # Holds the index of the last keys seen. They are held as well, so that
    # their identity stays unique; most changes leave the keys as they are.
    def __init__(self) -> None:
        self._last: tuple[Mapping[str, configuration.Key], KeyIndex] = (
            {},
            KeyIndex({}),
        )

    def find_index(
        self, published: Mapping[str, configuration.Key]
    ) -> KeyIndex:
        known, index = self._last
        if known is not published:
            index = KeyIndex(published)
            self._last = (published, index)
        return index


@functools.cache
def _make_cache() -> _Cache:
    return _Cache()


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal.

    The work factor is left out on purpose: keys are random, of 128 bits or
    more, and a slow hash would cost every request.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def find_customer(
    published: configuration.Configuration, key: str
) -> configuration.Customer:
    """Return the customer whose key this is, or raise KeyUnknown.

    Callers cannot tell a withdrawn key from one that never existed; the log
    can.
    """
    digest = digest_key(key)
    found = _make_cache().find_index(published.keys).find_key(digest)
    if found is None:
        raise errors.make_error('key_unknown')
    if found.withdrawn:
        logging.info(
            'event=withdrawn_key_refused customer=%s digest_prefix=%s',
            found.customer,
            digest[:8],
        )
        raise errors.make_error('key_unknown')
    return published.customers[found.customer]
