"""Heads of requests to and responses from backend servers.

http.client is not used, since its general mail parser took a fifth of the
time of a request and accepts headers that must not be forwarded.
"""

import datetime
import re
from typing import Any
from typing import NamedTuple

from cranberryscale.connection import http_framing
from cranberryscale import errors


__all__ = [
    'RequestHead',
    'ResponseHead',
    'format_request_head',
    'is_readable_response',
    'open_response_body',
    'read_response_head',
]

# Of a response's head together with the interim ones before it. A faulty
# server may send lines or heads without end.
MAX_HEAD_BYTES = 65536
MAX_HEADERS = 200
SWITCHING_PROTOCOLS = 101
# Methods whose requests have a Content-Length even if the body is empty.
_BODY_METHODS = frozenset(('PATCH', 'POST', 'PUT'))
_BROKEN = 'backend_broken'
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([01]) ([1-5][0-9]{2})(?: ([\t -~\x80-\xff]*))?\r\n'
)
_KEEP_ALIVE_TIMEOUT = re.compile(r'\btimeout=([0-9]{1,6})\b')
_LENGTH = re.compile(r'[0-9]{1,15}')
_LENGTH_LINE = re.compile(rb'\r\ncontent-length: *([0-9]{1,15})', re.I)
_END_OF_HEAD = b'\r\n\r\n'


class RequestHead(NamedTuple):
    """Request line and headers; `framing` describes the body."""

    method: str
    target: str
    pairs: http_framing.HeaderPairs
    framing: http_framing.Framing
    request_id: str


class ResponseHead(NamedTuple):
    """Status line and headers of a final response."""

    status: int
    reason: str
    pairs: http_framing.HeaderPairs
    is_http_11: bool

    @property
    def will_close(self) -> bool:
        """Return whether the server closes the connection afterwards."""
        words = ','.join(
            http_framing.find_header_values(self.pairs, 'connection')
        )
        return not self.is_http_11 or 'close' in words.lower()

    @property
    def keep_alive(self) -> datetime.timedelta | None:
        """Return the server's keep-alive timeout, or None if it sent none."""
        for value in http_framing.find_header_values(self.pairs, 'keep-alive'):
            found = _KEEP_ALIVE_TIMEOUT.search(value)
            if found:
                return datetime.timedelta(seconds=int(found[1]))
        return None


def format_request_head(head: RequestHead) -> bytes:
    """Return the encoded request head; its parts must be valid."""
    lines = [f'{head.method} {head.target} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in head.pairs]
    if head.framing.chunked:
        lines.append('Transfer-Encoding: chunked')
    elif head.framing.length or head.method in _BODY_METHODS:
        lines.append(f'Content-Length: {head.framing.length}')
    return '\r\n'.join((*lines, '\r\n')).encode('latin-1')


class _HeadReader:
    """Reader of the lines of a head, of at most MAX_HEAD_BYTES in total."""

    def __init__(self, stream: Any):
        self._stream = stream
        self._remaining_bytes = MAX_HEAD_BYTES

    def readline(self) -> bytes:
        """Return the next line, or raise BackendBroken if it is too long."""
        line = self._stream.readline(self._remaining_bytes)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes <= 0:
            raise errors.make_error(_BROKEN, 'head of the answer too large')
        return line


def _read_header_pairs(stream: _HeadReader) -> http_framing.HeaderPairs:
    pairs = []
    while (line := stream.readline()) != b'\r\n':
        if not line or len(pairs) >= MAX_HEADERS:
            raise errors.make_error(_BROKEN, 'headers of the answer')
        pairs.append(http_framing.parse_header_line(line, _BROKEN))
    return tuple(pairs)


def read_response_head(stream: Any) -> ResponseHead:
    """Return the head of the final response; interim (1xx) ones are skipped.

    Raises BackendBroken, or ConnectionResetError without any response. Servers
    may send interim responses all the time while they work, so only their size
    is bounded.
    """
    reader = _HeadReader(stream)
    while True:
        line = reader.readline()
        if not line:
            raise ConnectionResetError('no response')
        match = _STATUS_LINE.fullmatch(line)
        if match is None or int(match[2]) == SWITCHING_PROTOCOLS:
            break
        pairs = _read_header_pairs(reader)
        if int(match[2]) >= 200:
            reason = (match[3] or b'').decode('latin-1')
            return ResponseHead(int(match[2]), reason, pairs, match[1] == b'1')
    raise errors.make_error(_BROKEN, 'status line of the answer')


def is_readable_response(data: bytes | None, limit: int) -> bool:
    """Return whether received bytes hold a response to be read now.

    `data` is None without any, and empty at the end of the connection. Of a
    body with a length, as much as fits into `limit` must have arrived.
    """
    if not data:
        return data is not None
    while data.startswith(b'HTTP/1.1 1'):
        _, _, data = data.partition(_END_OF_HEAD)
    head, end, body = data.partition(_END_OF_HEAD)
    if not end:
        return len(data) >= limit
    length = _LENGTH_LINE.search(head)
    missing = (int(length[1]) if length else 0) - len(body)
    return missing <= 0 or len(data) >= limit


def _parse_length(lengths: set[str]) -> int:
    if len(lengths) != 1 or not _LENGTH.fullmatch(min(lengths)):
        raise errors.make_error(_BROKEN, 'no single length of the answer')
    return int(min(lengths))


def open_response_body(
    stream: Any,
    head: ResponseHead,
    method: str,
    allows_unframed: bool = False,
) -> Any:
    """Return the body that follows the head, or raise BackendBroken.

    With `allows_unframed`, a body without a length ends with the connection.
    """
    lengths = set(
        http_framing.find_header_values(head.pairs, 'content-length')
    )
    codings = http_framing.find_header_values(head.pairs, 'transfer-encoding')
    if head.status == 204:
        return http_framing.EmptyBody()
    if method == 'HEAD' or head.status == 304:
        # The length is that of the body which was left out.
        if lengths:
            _parse_length(lengths)
        return http_framing.EmptyBody()
    if codings:
        if lengths or [c.lower() for c in codings] != ['chunked']:
            raise errors.make_error(_BROKEN, 'ambiguous length of the answer')
        return http_framing.ChunkedBody(
            stream, 2**62, http_framing.SERVER_CODES
        )
    if not lengths and allows_unframed:
        return http_framing.UnframedBody(stream, http_framing.SERVER_CODES)
    # Without a length a broken connection looks like the end of the body, so
    # a truncated response could not be detected.
    return http_framing.LengthBody(
        stream, _parse_length(lengths), http_framing.SERVER_CODES
    )
