"""The client of the platform's read-only key-value store."""

import base64
import binascii
import datetime
import socket
from typing import NamedTuple

import msgspec
import urllib3

from cranberryscale import errors
from cranberryscale.platform import entry_decoding
from cranberryscale.version import replica


__all__ = ['PlatformStoreUpdate', 'StoreClient']

_RANGE = '/cranberryscale/kv-range'
_WATCH = '/cranberryscale/kv-watch'
_STATUS_GONE = 410
# The store answers in 4 ms; a slower answer counts as an outage.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
# Added to the wait of a watch call before the connection counts as dead.
WATCH_SLACK = datetime.timedelta(milliseconds=600)
# A page has up to 500 entries or 1 MB. The limit ends reads of a store that
# always reports another page.
PAGE_LIMIT = 1000


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Base64; absent if the entry was removed.
    value: str | None = None
    removed: bool = False


class _Range(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    has_more: bool
    current_rev: int


class _Watch(msgspec.Struct, rename='kebab'):
    events: list[_Item]
    current_rev: int


class PlatformStoreUpdate(NamedTuple):
    """A snapshot of all entries, or the changes up to a revision."""

    changes: tuple[replica.EntryChange, ...]
    revision: int
    is_snapshot: bool


def _make_change(item: _Item) -> replica.EntryChange:
    if item.removed or item.value is None:
        return replica.EntryChange(item.key, item.revision)
    try:
        body = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Rejected by the decoder, like other undecodable entries.
        body = b''
    return replica.EntryChange(item.key, item.revision, body)


class StoreClient:
    """A client of the store; `calls` is the number of HTTP calls made.

    Raises PlatformUnavailable and PlatformMalformed.
    """

    def __init__(self, address: str):
        self.calls = 0
        self._address = address
        self._pool = self._make_pool()

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        host, port = self._address.rsplit(':', 1)
        return urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=2,
            retries=False,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )

    def read_all(self) -> PlatformStoreUpdate:
        """Return a snapshot of all entries."""
        changes: list[replica.EntryChange] = []
        after, revision = None, None
        for _ in range(PAGE_LIMIT):
            fields = {'prefix': entry_decoding.KEY_PREFIX}
            if after is not None:
                fields['after'] = after
            page = self._fetch(_RANGE, fields, ANSWER_TIMEOUT, _Range)
            changes += [_make_change(item) for item in page.items]
            if revision is None:
                # Later pages may be newer. A watch from the revision of the
                # first page returns the changes since then once more.
                revision = page.current_rev
            if not page.has_more or not page.items:
                return PlatformStoreUpdate(tuple(changes), revision, True)
            after = page.items[-1].key
        raise errors.make_error('platform_malformed', 'too many pages')

    def wait_changes(
        self, revision: int, wait: datetime.timedelta
    ) -> PlatformStoreUpdate:
        """Wait for changes after a revision and return them.

        Returns all entries if the store no longer has these changes.
        """
        fields = {
            'prefix': entry_decoding.KEY_PREFIX,
            'after': str(revision),
            'wait-ms': str(int(wait.total_seconds() * 1000)),
        }
        try:
            answer = self._fetch(_WATCH, fields, wait + WATCH_SLACK, _Watch)
        except _RevisionTooOld:
            return self.read_all()
        changes = tuple(_make_change(event) for event in answer.events)
        return PlatformStoreUpdate(changes, answer.current_rev, False)

    def _fetch(
        self,
        path: str,
        fields: dict[str, str],
        timeout: datetime.timedelta,
        kind: type,
    ):
        self.calls += 1
        seconds = timeout.total_seconds()
        try:
            answer = self._pool.request(
                'GET',
                path,
                fields=fields,
                redirect=False,
                timeout=urllib3.Timeout(total=seconds),
            )
        except urllib3.exceptions.HTTPError as error:
            # Other connections of the pool may be dead as well.
            self._pool.close()
            self._pool = self._make_pool()
            raise errors.make_error(
                'platform_unavailable', type(error).__name__
            ) from error
        if answer.status == _STATUS_GONE:
            raise _RevisionTooOld(path)
        if answer.status != 200:
            raise errors.make_error('platform_unavailable', answer.status)
        try:
            return msgspec.json.decode(answer.data, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise errors.make_error('platform_malformed', error) from error


class _RevisionTooOld(Exception):  # noqa: N818
    """The store no longer has the changes after the revision."""
