"""Client of the platform's read-only Consul HTTP API.

Uses KV reads, service health and blocking queries
(developer.hashicorp.com/consul/api-docs/features/blocking).
"""

import datetime
from typing import Any
from typing import NamedTuple

import msgspec
import urllib3

from cranberryscale import clock as clocks
from cranberryscale.connection import consul_entries
from cranberryscale import errors
from cranberryscale.version import subtrees
from cranberryscale.version import view


__all__ = ['ConsulClient', 'InstanceList', 'SubtreeList']

MAX_RESPONSE_BYTES = 64 << 20
CONNECT_TIMEOUT = datetime.timedelta(seconds=1)
# Responses take milliseconds; the rest allows for a busy machine.
RESPONSE_GRACE = datetime.timedelta(seconds=0.5)
# The service may add jitter of up to wait/16.
JITTER_DIVISOR = 16


class SubtreeList(NamedTuple):
    """Published subtrees of the configuration.

    `index` is to be passed to the next call; it is 0 after the service's
    index went backwards. `is_stale` is set if the service reports that it has
    no leader.
    """

    index: int
    is_stale: bool
    offers: tuple[subtrees.UncheckedSubtree, ...]


class InstanceList(NamedTuple):
    """Published instances; `index` and `is_stale` as in SubtreeList."""

    index: int
    is_stale: bool
    instances: view.MembershipView


class _IndexedValue(NamedTuple):
    index: int
    version: int
    is_stale: bool
    value: Any


def _format_wait(wait: datetime.timedelta) -> str:
    return f'{int(wait.total_seconds() * 1000)}ms'


class ConsulClient:
    """Client that reads and watches what the platform publishes.

    Calls raise PlatformUnavailable if the service does not respond or
    responds with an error, and PlatformMalformed if the response does not
    follow the protocol. `calls` counts all calls, failed ones included.
    Thread-safe.
    """

    def __init__(
        self,
        url: str,
        prefix: str,
        instance_service: str,
        clock: clocks.Clock | None = None,
    ):
        self.calls = 0
        self._clock = clock or clocks.SystemClock()
        self._url = url.rstrip('/')
        self._prefix = prefix.strip('/')
        self._service = instance_service
        self._pool = urllib3.PoolManager(retries=False, maxsize=4)

    def watch_teams(self, index: int, wait: datetime.timedelta) -> SubtreeList:
        """Wait for a change after `index` without reading documents.

        Only the names of the teams are requested, since the service sends its
        whole response again at the end of each wait.
        """
        result = self._read(
            f'/v1/kv/{self._prefix}/',
            {'keys': '', 'separator': '/'},
            index,
            wait,
            tuple[str, ...],
        )
        teams = (key.rstrip('/').rpartition('/')[2] for key in result.value)
        return SubtreeList(
            result.index,
            result.is_stale,
            tuple(subtrees.UncheckedSubtree(team, {}) for team in teams),
        )

    def read_subtrees(
        self,
        index: int = 0,
        wait: datetime.timedelta = datetime.timedelta(seconds=10),
    ) -> SubtreeList:
        """Return all subtrees, at once for index 0, else after a change."""
        result = self._read(
            f'/v1/kv/{self._prefix}/',
            {'recurse': ''},
            index,
            wait,
            tuple[consul_entries.KvEntry, ...],
        )
        offers = consul_entries.group_subtrees(self._prefix, result.value)
        return SubtreeList(result.index, result.is_stale, offers)

    def read_instances(
        self,
        index: int = 0,
        wait: datetime.timedelta = datetime.timedelta(seconds=10),
    ) -> InstanceList:
        """Return all instances, at once for index 0, else after a change."""
        result = self._read(
            f'/v1/health/service/{self._service}',
            {},
            index,
            wait,
            tuple[consul_entries.HealthEntry, ...],
        )
        members = tuple(sorted(consul_entries.parse_members(result.value)))
        published_view = view.MembershipView(result.version, members)
        return InstanceList(result.index, result.is_stale, published_view)

    def _read(
        self,
        path: str,
        fields: dict[str, str],
        index: int,
        wait: datetime.timedelta,
        kind: Any,
    ) -> _IndexedValue:
        limit = RESPONSE_GRACE + CONNECT_TIMEOUT
        if index > 0:
            fields |= {'index': str(index), 'wait': _format_wait(wait)}
            limit = wait + wait / JITTER_DIVISOR + RESPONSE_GRACE
        status, headers, body = self._fetch(path, fields, limit)
        if status == 404:
            body = b'[]'
        elif status != 200:
            raise errors.make_error(
                'platform_unavailable', f'{path}: status {status}'
            )
        version = self._read_index(path, headers)
        try:
            value = msgspec.json.decode(body, type=kind)
        except (ValueError, RecursionError) as error:
            raise errors.make_error(
                'platform_malformed', f'{path}: {error}'
            ) from error
        stale = headers.get('X-Consul-KnownLeader', 'true') == 'false'
        return _IndexedValue(
            version if version >= index else 0, version, stale, value
        )

    def _read_index(self, path: str, headers: Any) -> int:
        # An index below 1 would turn blocking queries into a busy loop.
        text = headers.get('X-Consul-Index', '')
        well_formed = text.isascii() and text.isdigit() and len(text) < 19
        if not well_formed or int(text) < 1:
            raise errors.make_error(
                'platform_malformed', f'{path}: X-Consul-Index {text!r}'
            )
        return int(text)

    def _fetch(
        self, path: str, fields: dict[str, str], limit: datetime.timedelta
    ) -> tuple[int, Any, bytes]:
        self.calls += 1
        timeout = urllib3.Timeout(
            connect=CONNECT_TIMEOUT.total_seconds(),
            read=limit.total_seconds(),
        )
        try:
            response = self._pool.request(
                'GET',
                self._url + path,
                fields=fields,
                timeout=timeout,
                redirect=False,
                preload_content=False,
            )
            try:
                body = self._read_body(path, response, limit)
            except BaseException:
                response.close()
                raise
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.make_error(
                'platform_unavailable', f'{path}: {type(error).__name__}'
            ) from error
        response.release_conn()
        return response.status, response.headers, body

    def _read_body(
        self,
        path: str,
        response: urllib3.BaseHTTPResponse,
        limit: datetime.timedelta,
    ) -> bytes:
        # The timeout of the pool bounds each read only. This bounds the time
        # for a service that sends one byte at a time.
        until = self._clock.read_elapsed() + limit
        body = bytearray()
        while block := response.read1(1 << 16):
            body += block
            if len(body) > MAX_RESPONSE_BYTES:
                raise errors.make_error(
                    'platform_malformed', f'{path}: over 64 MiB'
                )
            if self._clock.read_elapsed() > until:
                raise errors.make_error(
                    'platform_unavailable', f'{path}: response too slow'
                )
        return bytes(body)
