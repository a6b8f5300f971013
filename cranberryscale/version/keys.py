"""Lookup of customers by API key.

Keys are published as SHA-256 digests. Digests are bucketed by prefix, and a
lookup compares every digest of the bucket in constant time, so that its
duration does not reveal how much of a guessed digest is correct. Keys are
never stored, logged or included in errors.
"""

import functools
import hashlib
import hmac
from typing import Mapping

from absl import logging

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = ['KeyIndex', 'digest_key', 'find_customer']

# With 65,536 buckets, 1.3 million keys are on average 20 per bucket.
PREFIX_LENGTH = 4


class KeyIndex:
    """An index of published keys by digest."""

    def __init__(self, published: Mapping[str, configuration.Key]):
        self._buckets: dict[str, list[configuration.Key]] = {}
        for key in published.values():
            prefix = key.digest[:PREFIX_LENGTH]
            self._buckets.setdefault(prefix, []).append(key)

    def find_key(self, digest: str) -> configuration.Key | None:
        """Return the published key with this digest, even if withdrawn."""
        found = None
        for key in self._buckets.get(digest[:PREFIX_LENGTH], ()):
            if hmac.compare_digest(key.digest, digest):
                found = key
        return found


class _KeyIndexCache:
    # Caches the index of the most recent keys. The keys are kept as well, so
    # that their identity cannot be reused; most configuration changes leave
    # the keys unchanged.
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
def _get_key_index_cache() -> _KeyIndexCache:
    return _KeyIndexCache()


def digest_key(key: str) -> str:
    """Return the SHA-256 digest of a key, in hexadecimal.

    A slow password hash is not needed: keys are random, of 128 bits or more,
    and its cost would be added to every request.
    """
    return hashlib.sha256(key.encode('utf-8', 'surrogatepass')).hexdigest()


def find_customer(
    published: configuration.Configuration, key: str
) -> configuration.Customer:
    """Return the customer with this key, or raise KeyUnknown.

    Callers cannot distinguish a withdrawn key from an unknown one; the use
    of a withdrawn key is logged.
    """
    digest = digest_key(key)
    found = _get_key_index_cache().find_index(published.keys).find_key(digest)
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
