"""The client of the platform's read-only store."""

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
_GONE = 410
# The store answers in 4 ms; slower than this it counts as away.
ANSWER_TIMEOUT = datetime.timedelta(seconds=1)
# A call that waits for changes shows a silent connection this much later.
WATCH_SLACK = datetime.timedelta(milliseconds=600)
# Pages hold 500 entries or 1 MB; more would be a store that never ends.
PAGE_LIMIT = 1000


class _Item(msgspec.Struct):
    key: str
    revision: int
    # Base64; absent where the entry was removed.
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
    """Hold entries; `is_snapshot` tells a whole reading from changes."""

    changes: tuple[replica.EntryChange, ...]
    revision: int
    is_snapshot: bool


def _make_change(item: _Item) -> replica.EntryChange:
    if item.removed or item.value is None:
        return replica.EntryChange(item.key, item.revision)
    try:
        body = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Refused when it is decoded, like other unreadable entries.
        body = b''
    return replica.EntryChange(item.key, item.revision, body)


class StoreClient:
    """Read entries and wait for changes; `calls` counts the calls.

    Raises PlatformUnavailable and PlatformMalformed.
    """

    def __init__(self, address: str):
        self.calls = 0
        self._address = address
        self._pool = self._open_pool()

    def _open_pool(self) -> urllib3.HTTPConnectionPool:
        host, port = self._address.rsplit(':', 1)
        return urllib3.HTTPConnectionPool(
            host,
            int(port),
            maxsize=2,
            retries=False,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )

    def read_all(self) -> PlatformStoreUpdate:
        """Return all entries."""
        changes: list[replica.EntryChange] = []
        after, revision = None, None
        for _ in range(PAGE_LIMIT):
            fields = {'prefix': entry_decoding.KEY_PREFIX}
            if after is not None:
                fields['after'] = after
            page = self._read(_RANGE, fields, ANSWER_TIMEOUT, _Range)
            changes += [_make_change(item) for item in page.items]
            if revision is None:
                # Later pages may be newer; changes since the first one are
                # seen again by watching from here.
                revision = page.current_rev
            if not page.has_more or not page.items:
                return PlatformStoreUpdate(tuple(changes), revision, True)
            after = page.items[-1].key
        raise errors.make_error('platform_malformed', 'too many pages')

    def wait_changes(
        self, revision: int, wait: datetime.timedelta
    ) -> PlatformStoreUpdate:
        """Return the changes after a revision, or all if it is too old."""
        fields = {
            'prefix': entry_decoding.KEY_PREFIX,
            'after': str(revision),
            'wait-ms': str(int(wait.total_seconds() * 1000)),
        }
        try:
            answer = self._read(_WATCH, fields, wait + WATCH_SLACK, _Watch)
        except _HistoryGone:
            return self.read_all()
        changes = tuple(_make_change(event) for event in answer.events)
        return PlatformStoreUpdate(changes, answer.current_rev, False)

    def _read(
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
            # Other connections of the pool may have gone silent as well.
            self._pool.close()
            self._pool = self._open_pool()
            raise errors.make_error(
                'platform_unavailable', type(error).__name__
            ) from error
        if answer.status == _GONE:
            raise _HistoryGone(path)
        if answer.status != 200:
            raise errors.make_error('platform_unavailable', answer.status)
        try:
            return msgspec.json.decode(answer.data, type=kind)
        except (msgspec.MsgspecError, ValueError) as error:
            raise errors.make_error('platform_malformed', error) from error


class _HistoryGone(Exception):  # noqa: N818
    """Report that the store has dropped the changes asked for."""
