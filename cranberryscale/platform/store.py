"""The client of the platform's read-only key-value store."""

import base64
import binascii
from collections.abc import Iterable
import datetime
import re
from typing import Annotated
from typing import Any
from typing import NamedTuple

from absl import logging
import msgspec

from cranberryscale import clock as clocks
from cranberryscale.connection import http_calls
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.platform import entry_decoding
from cranberryscale.version import replica


__all__ = ['PlatformStoreUpdate', 'StoreClient']

_RANGE = '/cranberryscale/kv-range'
_WATCH = '/cranberryscale/kv-watch'
_STATUS_GONE = 410
_ERA_HEADER = 'store-era'
# Larger eras would not fit into messages to other instances.
_ERA = re.compile(r'[0-9]{1,18}')
# The store responds in 4 ms; a slower response counts as an outage.
RESPONSE_TIMEOUT = datetime.timedelta(seconds=1)
# Added to the wait of a watch call before the connection counts as dead.
WATCH_SLACK = datetime.timedelta(milliseconds=600)
# A page has up to 500 entries or 1 MB. The limit ends reads of a store that
# always reports another page.
PAGE_LIMIT = 1000
CONNECTIONS = 2
BLOCK_BYTES = 65536
# Several times the largest page. Memory must not grow with a faulty response.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


# Larger revisions would not fit into messages to other instances.
_Revision = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _StoreItem(msgspec.Struct):
    key: str
    revision: _Revision
    # Base64; absent if the entry was removed.
    value: str | None = None
    removed: bool = False


class _RangeResponse(msgspec.Struct, rename='kebab'):
    items: list[msgspec.Raw]
    has_more: bool
    current_rev: _Revision


class _WatchResponse(msgspec.Struct, rename='kebab'):
    events: list[msgspec.Raw]
    current_rev: _Revision


class PlatformStoreUpdate(NamedTuple):
    """A snapshot of all entries, or the changes up to a revision."""

    changes: tuple[replica.EntryChange, ...]
    revision: int
    is_snapshot: bool
    era: int = 0


class _Answer(NamedTuple):
    """The decoded body of an answer, and its era."""

    body: Any
    era: int


def _make_change(item: _StoreItem) -> replica.EntryChange:
    if item.removed or item.value is None:
        return replica.EntryChange(item.key, item.revision)
    try:
        body = base64.b64decode(item.value, validate=True)
    except binascii.Error:
        # Rejected by the decoder, like other undecodable entries.
        body = b''
    return replica.EntryChange(item.key, item.revision, body)


def _decode_items(items: Iterable[msgspec.Raw]) -> Iterable[_StoreItem]:
    """Yield the items; skip and log those that cannot be decoded."""
    for raw in items:
        try:
            yield msgspec.json.decode(raw, type=_StoreItem)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            logs.log_event(
                'store_item_skipped',
                logging.WARNING,
                kind=type(error).__name__,
                reason=error,
                bytes=len(raw),
            )


class StoreClient:
    """A client of the store; `calls` is the number of HTTP calls made.

    An answer without a readable era is taken for one of the last known era.

    Raises PlatformUnavailable and PlatformMalformed.
    """

    def __init__(self, address: str, clock: clocks.Clock | None = None):
        self.calls = 0
        self._clock = clock or clocks.SystemClock()
        self._address = address
        self._pool = self._make_pool()
        # The latest era that an answer named or a caller knew.
        self._known_era = 0

    def _make_pool(self) -> http_calls.CallPool:
        return http_calls.CallPool(self._address, self._clock, CONNECTIONS)

    def read_all(self, era: int = 0) -> PlatformStoreUpdate:
        """Return a snapshot of all entries; `era` is the last known era."""
        self._known_era = max(self._known_era, era)
        changes: list[replica.EntryChange] = []
        after, revision, snapshot_era = None, None, None
        for _ in range(PAGE_LIMIT):
            fields = {'prefix': entry_decoding.KEY_PREFIX}
            if after is not None:
                fields['after'] = after
            page, page_era = self._fetch(
                _RANGE, fields, RESPONSE_TIMEOUT, _RangeResponse
            )
            if after is not None and page_era != snapshot_era:
                # The earlier pages are of another era.
                changes.clear()
                after = revision = None
                continue
            items = tuple(_decode_items(page.items))
            changes += [_make_change(item) for item in items]
            if revision is None:
                # Later pages may be newer. A watch from the revision of the
                # first page returns the changes since then once more.
                revision, snapshot_era = page.current_rev, page_era
            if not page.has_more:
                return PlatformStoreUpdate(
                    tuple(changes), revision, True, snapshot_era
                )
            if not items:
                # The next page begins after a key, and a snapshot without
                # the remaining pages would remove their entries.
                break
            # If the last items of the page were skipped, the next page
            # returns them once more.
            after = items[-1].key
        raise errors.make_error('platform_malformed', 'no last page')

    def wait_for_changes(
        self, revision: int, wait: datetime.timedelta, era: int = 0
    ) -> PlatformStoreUpdate:
        """Wait for changes after a revision of an era and return them.

        Returns all entries if the store no longer has these changes or is in
        another era, where the same revision has other content.
        """
        self._known_era = max(self._known_era, era)
        fields = {
            'prefix': entry_decoding.KEY_PREFIX,
            'after': str(revision),
            'wait-ms': str(int(wait.total_seconds() * 1000)),
        }
        try:
            response, answer_era = self._fetch(
                _WATCH, fields, wait + WATCH_SLACK, _WatchResponse
            )
        except _RevisionTooOld:
            return self.read_all()
        if answer_era != era:
            return self.read_all()
        changes = tuple(
            _make_change(event) for event in _decode_items(response.events)
        )
        return PlatformStoreUpdate(changes, response.current_rev, False, era)

    def _fetch(
        self,
        path: str,
        fields: dict[str, str],
        timeout: datetime.timedelta,
        response_type: type,
    ) -> _Answer:
        self.calls += 1
        try:
            response = self._pool.request('GET', path, fields, timeout)
            body = self._read_body(response, timeout)
        except http_calls.CallFailed as error:
            # Other connections of the pool may be dead as well.
            self._pool.close()
            self._pool = self._make_pool()
            raise errors.make_error('platform_unavailable', error) from error
        era = self._read_era(response.find_header(_ERA_HEADER))
        if response.status == _STATUS_GONE:
            raise _RevisionTooOld(path)
        if response.status != 200:
            raise errors.make_error('platform_unavailable', response.status)
        try:
            return _Answer(msgspec.json.decode(body, type=response_type), era)
        except (msgspec.MsgspecError, RecursionError, ValueError) as error:
            raise errors.make_error('platform_malformed', error) from error

    def _read_era(self, value: str) -> int:
        """Return the era of an answer, by default the last known one."""
        if not _ERA.fullmatch(value.strip()):
            return self._known_era
        self._known_era = max(self._known_era, int(value))
        return int(value)

    def _read_body(
        self, response: http_calls.CallResponse, timeout: datetime.timedelta
    ) -> bytes:
        """Return the body; a response may be faulty and never end."""
        until = self._clock.read_elapsed() + timeout
        body = bytearray()
        while block := response.read1(BLOCK_BYTES):
            body += block
            is_late = self._clock.read_elapsed() >= until
            if is_late or len(body) > MAX_RESPONSE_BYTES:
                response.close()
                raise errors.make_error('platform_malformed', 'no end')
        response.release_conn()
        return bytes(body)


class _RevisionTooOld(Exception):  # noqa: N818
    """Raised when the store no longer has the changes after a revision."""
