"""Strict header parsing and body framing of HTTP/1.1, for both directions.

Parsers that disagree on where a message ends allow request smuggling, so
every ambiguous form is refused and never interpreted.
"""

from collections.abc import Callable
from collections.abc import Iterable
import re
import sys
from typing import Any
from typing import NamedTuple

from cranberryscale import errors


__all__ = [
    'CALLER_CODES',
    'SERVER_CODES',
    'BodyCodes',
    'ChunkedBody',
    'EmptyBody',
    'Framing',
    'HeaderPairs',
    'LengthBody',
    'ReplayBody',
    'UnframedBody',
    'check_request_framing',
    'find_header_values',
    'parse_header_line',
    'read_header_pairs',
]

HeaderPairs = tuple[tuple[str, str], ...]

BLOCK_BYTES = 65536
MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 8192
# A body up to this size is buffered, so that the request can be sent again.
MAX_REPLAY_BYTES = 65536
# Fields of a head that are read before they are charged.
CHARGED_FIELDS = 64

_TOKEN = re.compile(rb'[!#$%&\'*+\-.^_`|~0-9A-Za-z]+')
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_LENGTH = re.compile(r'[0-9]{1,15}')
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,12})[ \t]*(;[^\r\n\x00]*)?\r\n')
_HOST = re.compile(r'(\[[0-9A-Fa-f:.]+\]|[A-Za-z0-9._-]+)(:[0-9]{1,5})?')


class BodyCodes(NamedTuple):
    """Error codes for a body that ends early or is malformed."""

    truncated: str
    malformed: str


CALLER_CODES = BodyCodes('caller_gone', 'bad_request')
SERVER_CODES = BodyCodes('answer_truncated', 'answer_truncated')


class Framing(NamedTuple):
    """Framing of a request body: chunked, or `length` bytes long."""

    length: int
    chunked: bool


class EmptyBody:
    """Body without bytes, and base class of the other bodies."""

    finished = True
    received_bytes = 0

    def read_some(self) -> bytes:
        """Return b''."""
        return b''

    def watch(self, other: int) -> None:
        """Make reads raise OtherReady once the other socket is readable."""

    def stop_watching(self) -> None:
        """Stop watching the other socket."""


class LengthBody(EmptyBody):
    """Body of known length on a buffered stream."""

    def __init__(self, stream: Any, length: int, codes: BodyCodes):
        self._stream = stream
        self.remaining = length
        self._codes = codes
        self.received_bytes = 0

    @property
    def finished(self) -> bool:
        """Return whether the whole body was read."""
        return self.remaining == 0

    def read_some(self) -> bytes:
        """Return the next bytes, b'' at the end, or raise if cut short."""
        if self.remaining == 0:
            return b''
        data = self._stream.read1(min(self.remaining, BLOCK_BYTES))
        if not data:
            raise errors.make_error(
                self._codes.truncated, f'{self.remaining} bytes missing'
            )
        self.remaining -= len(data)
        self.received_bytes += len(data)
        return data


class UnframedBody(EmptyBody):
    """Body that ends with its connection.

    A reset connection raises an error; only a regular end completes the body.
    """

    def __init__(self, stream: Any, codes: BodyCodes):
        self._stream = stream
        self._codes = codes
        self.received_bytes = 0
        self.finished = False

    def read_some(self) -> bytes:
        """Return the next bytes, b'' at the end."""
        if self.finished:
            return b''
        try:
            data = self._stream.read1(BLOCK_BYTES)
        except ConnectionResetError as error:
            raise errors.make_error(self._codes.truncated, 'reset') from error
        self.received_bytes += len(data)
        self.finished = not data
        return data


class ChunkedBody(EmptyBody):
    """Chunked body on a buffered stream; trailers are discarded."""

    def __init__(self, stream: Any, limit_bytes: int, codes: BodyCodes):
        self._stream = stream
        self._limit_bytes = limit_bytes
        self._codes = codes
        self._chunk_remaining_bytes = 0
        self.received_bytes = 0
        self.finished = False

    def _read_line(self) -> bytes:
        line = self._stream.readline(MAX_CHUNK_LINE_BYTES)
        if not line:
            raise errors.make_error(self._codes.truncated, 'chunk missing')
        return line

    def _read_trailers(self) -> None:
        size = 0
        while (line := self._stream.readline(MAX_TRAILER_BYTES)) != b'\r\n':
            size += len(line)
            if not line:
                raise errors.make_error(self._codes.truncated, 'trailers')
            if size > MAX_TRAILER_BYTES or not line.endswith(b'\r\n'):
                raise errors.make_error(self._codes.malformed, 'trailers')
            parse_header_line(line, self._codes.malformed)
        self.finished = True

    def _start_chunk(self) -> None:
        match = _CHUNK_SIZE.fullmatch(self._read_line())
        if match is None:
            raise errors.make_error(self._codes.malformed, 'chunk size')
        self._chunk_remaining_bytes = int(match[1], 16)
        if (
            self.received_bytes + self._chunk_remaining_bytes
            > self._limit_bytes
        ):
            raise errors.make_error('body_too_large', self._limit_bytes)
        if self._chunk_remaining_bytes == 0:
            self._read_trailers()

    def read_some(self) -> bytes:
        """Return the next bytes, b'' at the end, or raise if cut short."""
        if not self.finished and self._chunk_remaining_bytes == 0:
            self._start_chunk()
        if self.finished:
            return b''
        data = self._stream.read1(
            min(self._chunk_remaining_bytes, BLOCK_BYTES)
        )
        if not data:
            raise errors.make_error(self._codes.truncated, 'chunk cut short')
        self._chunk_remaining_bytes -= len(data)
        self.received_bytes += len(data)
        if self._chunk_remaining_bytes == 0 and self._read_line() != b'\r\n':
            raise errors.make_error(self._codes.malformed, 'chunk end')
        return data


class ReplayBody(EmptyBody):
    """Body that can be read again from its start while it is small."""

    def __init__(self, body: EmptyBody):
        self._body = body
        # One buffer, since a list of small blocks would need many times the
        # memory of their bytes.
        self._kept = bytearray()
        self._position = 0
        self._total_bytes = 0
        self.limit_bytes = sys.maxsize

    @property
    def can_resend(self) -> bool:
        """Return whether everything read so far can be read again."""
        return self._total_bytes <= MAX_REPLAY_BYTES

    def rewind(self) -> None:
        """Return to the first byte."""
        self._position = 0

    def watch(self, other: int) -> None:
        """Make reads raise OtherReady once the other socket is readable."""
        self._body.watch(other)

    def stop_watching(self) -> None:
        """Stop watching the other socket."""
        self._body.stop_watching()

    def read_some(self) -> bytes:
        """Return the next bytes, b'' at the end."""
        if self._position < len(self._kept):
            data = bytes(self._kept[self._position :])
            self._position = len(self._kept)
            return data
        data = self._body.read_some()
        self._total_bytes += len(data)
        if self._total_bytes > self.limit_bytes:
            raise errors.make_error('body_too_large', self.limit_bytes)
        if not self.can_resend:
            self._kept = bytearray()
            self._position = 0
        elif data:
            self._kept += data
            self._position = len(self._kept)
        return data


def parse_header_line(
    line: bytes, code: str = 'bad_request'
) -> tuple[str, str]:
    """Return name and value, or raise an error with this code.

    The line may contain an API key, so errors never quote it.
    """
    if line[:1] in (b' ', b'\t'):
        raise errors.make_error(code, 'folded header line')
    if not line.endswith(b'\r\n'):
        raise errors.make_error(code, 'header line without CRLF')
    name, colon, value = line[:-2].partition(b':')
    if not colon or not _TOKEN.fullmatch(name):
        raise errors.make_error(code, 'header name')
    if _CONTROL.search(value):
        raise errors.make_error(code, 'control character in a header')
    return name.decode('ascii'), value.strip(b' \t').decode('latin-1')


def read_header_pairs(
    stream: Any, charge: Callable[[int, int], None] = lambda fields, size: None
) -> HeaderPairs:
    """Read header lines up to the empty line, or raise BadRequest.

    `charge` is called with the number and the bytes of the fields that were
    read since its last call, and may raise.
    """
    pairs, size = [], 0
    while (line := stream.readline()) != b'\r\n':
        if not line:
            raise errors.make_error('bad_request', 'headers cut short')
        pairs.append(parse_header_line(line))
        size += len(line)
        if len(pairs) % CHARGED_FIELDS == 0:
            charge(CHARGED_FIELDS, size)
            size = 0
    charge(len(pairs) % CHARGED_FIELDS, size)
    return tuple(pairs)


def find_header_values(
    pairs: Iterable[tuple[str, str]], name: str
) -> list[str]:
    """Return the values of the headers of this lower-case name."""
    return [value for key, value in pairs if key.lower() == name]


def _check_host(pairs: HeaderPairs, is_required: bool) -> None:
    hosts = find_header_values(pairs, 'host')
    if len(hosts) > 1 or (is_required and not hosts):
        raise errors.make_error('bad_request', f'{len(hosts)} Host headers')
    if hosts and not _HOST.fullmatch(hosts[0]):
        raise errors.make_error('bad_request', 'Host')


def check_request_framing(
    pairs: HeaderPairs, is_http_11: bool, requires_host: bool = True
) -> Framing:
    """Return the body framing, or raise AmbiguousLength or BadRequest."""
    _check_host(pairs, is_http_11 and requires_host)
    lengths = find_header_values(pairs, 'content-length')
    codings = find_header_values(pairs, 'transfer-encoding')
    if len(lengths) + len(codings) > 1:
        raise errors.make_error(
            'ambiguous_length', 'several Content-Length or Transfer-Encoding'
        )
    if codings:
        if not is_http_11 or codings[0].lower() != 'chunked':
            raise errors.make_error('ambiguous_length', 'Transfer-Encoding')
        return Framing(0, True)
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise errors.make_error('ambiguous_length', 'Content-Length')
    return Framing(int(lengths[0]) if lengths else 0, False)
