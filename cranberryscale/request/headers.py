"""Rewriting of request and response headers, and API key handling."""

import base64
import binascii
from collections.abc import Iterable
import datetime
import re
from typing import NamedTuple
import urllib.parse

from cranberryscale.connection import backend_headers
from cranberryscale.connection import http_framing
from cranberryscale import errors


__all__ = [
    'RequestSource',
    'choose_request_id',
    'make_request_headers',
    'filter_response_headers',
    'read_deadline',
    'read_api_key',
    'remove_api_key',
]

VIA = '1.1 cranberryscale'
# A shorter key cannot be distinguished from ordinary text in other headers.
MIN_SEARCHED_KEY_LENGTH = 4

_HOP_BY_HOP = frozenset(
    'connection http2-settings keep-alive proxy-authenticate '
    'proxy-authentication-info proxy-authorization proxy-connection te '
    'trailer trailers transfer-encoding upgrade'.split()
)
# Replaced by the proxy, or never forwarded.
_REPLACED = frozenset(
    'authorization content-length expect forwarded host traceparent '
    'tracestate via x-api-key x-deadline-ms x-forwarded-for '
    'x-forwarded-host x-forwarded-proto x-request-id'.split()
)
_REQUEST_ID = re.compile(r'[A-Za-z0-9._~+/=-]{1,128}')
_TRACE = re.compile(
    r'(?!ff)[0-9a-f]{2}-(?!0{32})[0-9a-f]{32}-(?!0{16})[0-9a-f]{16}-'
    r'[0-9a-f]{2}'
)
_DEADLINE = re.compile(r'[0-9]{1,9}')
_SEPARATOR = re.compile(r'([&;])')


class RequestSource(NamedTuple):
    """Caller's address, requested host and id of a request."""

    address: str
    host: str
    request_id: str


def _normalize(name: str) -> str:
    # Many servers treat X_Api_Key and X-Api-Key as the same header name.
    return name.lower().replace('_', '-')


def _is_key_name(name: str) -> bool:
    plain = urllib.parse.unquote_plus(name).strip().lower()
    return plain.replace('-', '_') == 'api_key'


def _split_query(query: str) -> Iterable[tuple[str, str, str]]:
    """Yield separator, parameter and name of each parameter, undecoded."""
    pieces = ['', *_SEPARATOR.split(query)]
    for separator, piece in zip(pieces[::2], pieces[1::2], strict=True):
        yield separator, piece, piece.partition('=')[0]


def _strip_query(query: str, key: str) -> str:
    kept = (
        separator + piece
        for separator, piece, name in _split_query(query)
        if not _is_key_name(name) and not _contains_key(piece, key)
    )
    return ''.join(kept).lstrip('&;')


def _split_cookies(value: str) -> Iterable[tuple[str, str]]:
    for part in value.split(';'):
        name, _, content = part.strip().partition('=')
        if name:
            yield name.strip(), content.strip()


def _strip_cookies(value: str, key: str) -> str:
    return '; '.join(
        f'{name}={content}'
        for name, content in _split_cookies(value)
        if not _is_key_name(name) and not _contains_key(content, key)
    )


def _contains_key(text: str, key: str) -> bool:
    if len(key) < MIN_SEARCHED_KEY_LENGTH:
        return False
    if key in text:
        return True
    is_encoded = '%' in text or '+' in text
    return is_encoded and key in urllib.parse.unquote_plus(text)


def _read_authorization(value: str) -> str:
    scheme, _, rest = value.strip().partition(' ')
    rest = rest.strip()
    match scheme.lower():
        case 'bearer':
            return rest
        case 'basic':
            try:
                text = base64.b64decode(rest, validate=True).decode()
            except (binascii.Error, UnicodeDecodeError) as error:
                raise errors.make_error(
                    'bad_request', 'Authorization: Basic'
                ) from error
            user, _, password = text.partition(':')
            return password or user
    return ''


def _list_keys(pairs: http_framing.HeaderPairs, query: str) -> Iterable[str]:
    for name, value in pairs:
        match _normalize(name):
            case 'authorization':
                yield _read_authorization(value)
            case 'x-api-key':
                yield value
            case 'cookie':
                for cookie, content in _split_cookies(value):
                    if _is_key_name(cookie):
                        yield content.strip('"')
    for _, piece, name in _split_query(query):
        if _is_key_name(name):
            yield urllib.parse.unquote_plus(piece.partition('=')[2])


def read_api_key(pairs: http_framing.HeaderPairs, query: str) -> str:
    """Return the caller's API key, or '' without one.

    The key may be in `Authorization` (Bearer, or Basic as the password or,
    without one, the user name), in `X-Api-Key`, in the query parameter
    `api_key` and in the cookie `api_key`. Raises AmbiguousKey unless all
    occurrences are equal.
    """
    keys = {key for key in _list_keys(pairs, query) if key}
    if len(keys) > 1:
        raise errors.make_error('ambiguous_key', f'{len(keys)} keys')
    return keys.pop() if keys else ''


def remove_api_key(target: str, key: str) -> str:
    """Return the target without the key; raise BadRequest if in the path."""
    path, mark, query = target.partition('?')
    if _contains_key(path, key):
        raise errors.make_error('bad_request', 'the key is in the path')
    stripped = _strip_query(query, key)
    # An empty query that the caller sent is preserved.
    return path + mark + stripped if stripped or not query else path


def choose_request_id(
    pairs: http_framing.HeaderPairs, key: str, new_id: str
) -> str:
    """Return the caller's request id if well-formed, else `new_id`."""
    found = http_framing.find_header_values(pairs, 'x-request-id')
    if len(found) == 1 and _REQUEST_ID.fullmatch(found[0]):
        return new_id if _contains_key(found[0], key) else found[0]
    return new_id


def read_deadline(
    pairs: http_framing.HeaderPairs,
) -> datetime.timedelta | None:
    """Return the time that `X-Deadline-Ms` allows, or None without it."""
    found = http_framing.find_header_values(pairs, 'x-deadline-ms')
    if not found:
        return None
    if len(found) > 1 or not _DEADLINE.fullmatch(found[0]):
        raise errors.make_error('bad_request', 'X-Deadline-Ms')
    return datetime.timedelta(milliseconds=int(found[0]))


def _list_dropped_names(pairs: http_framing.HeaderPairs) -> frozenset[str]:
    listed_names = (
        _normalize(word.strip())
        for value in http_framing.find_header_values(pairs, 'connection')
        for word in value.split(',')
    )
    return _HOP_BY_HOP | frozenset(listed_names)


def _strip_referer(value: str, key: str) -> str:
    base, mark, rest = value.partition('?')
    query, _, _ = rest.partition('#')
    stripped = _strip_query(query, key)
    cleaned = base + mark + stripped if stripped else base
    return '' if _contains_key(cleaned, key) else cleaned


def _append(pairs: http_framing.HeaderPairs, name: str, addition: str) -> str:
    return ', '.join(
        (*http_framing.find_header_values(pairs, name.lower()), addition)
    )


def _list_forwarded_headers(
    pairs: http_framing.HeaderPairs, key: str
) -> Iterable[tuple[str, str]]:
    dropped = _list_dropped_names(pairs)
    for name, value in pairs:
        normal = _normalize(name)
        if normal in dropped:
            continue
        match normal:
            case 'cookie':
                value = _strip_cookies(value, key)
            case 'referer':
                value = _strip_referer(value, key)
            case _ if normal in _REPLACED:
                continue
        if value and not _contains_key(value, key):
            yield name, value


def _list_trace_headers(
    pairs: http_framing.HeaderPairs,
) -> Iterable[tuple[str, str]]:
    found = http_framing.find_header_values(pairs, 'traceparent')
    if len(found) == 1 and _TRACE.fullmatch(found[0]):
        yield 'traceparent', found[0]
        for value in http_framing.find_header_values(pairs, 'tracestate'):
            yield 'tracestate', value


def _format_forwarded(source: RequestSource) -> str:
    address = source.address
    node = f'"[{address}]"' if ':' in address else address
    return f'for={node};host="{source.host}";proto=http'


def make_request_headers(
    pairs: http_framing.HeaderPairs,
    key: str,
    source: RequestSource,
    remaining: datetime.timedelta,
    header_names: backend_headers.BackendHeaders = (
        backend_headers.BackendHeaders()
    ),
    added: http_framing.HeaderPairs = (),
) -> http_framing.HeaderPairs:
    """Return the headers for the backend server, without body framing.

    `added` are headers that name the server and the customer; callers must
    not set them.
    """
    remaining_ms = max(0, int(remaining.total_seconds() * 1000))
    proxy_headers = (
        ('X-Request-Id', source.request_id),
        ('X-Deadline-Ms', str(remaining_ms)),
        *_list_trace_headers(pairs),
        *(
            _list_forwarding_headers(pairs, source)
            if header_names.adds_forwarding
            else ()
        ),
    )
    checked_headers = (
        (n, v) for n, v in proxy_headers if not _contains_key(v, key)
    )
    kept = (
        (name, value)
        for name, value in _list_forwarded_headers(pairs, key)
        if _normalize(name) not in header_names.reserved_names
    )
    return (('Host', source.host), *kept, *checked_headers, *added)


def _list_forwarding_headers(
    pairs: http_framing.HeaderPairs, source: RequestSource
) -> Iterable[tuple[str, str]]:
    yield (
        'X-Forwarded-For',
        _append(pairs, 'X-Forwarded-For', source.address),
    )
    yield 'X-Forwarded-Host', source.host
    yield 'X-Forwarded-Proto', 'http'
    yield 'Forwarded', _append(pairs, 'Forwarded', _format_forwarded(source))
    yield 'Via', _append(pairs, 'Via', VIA)


def filter_response_headers(
    pairs: http_framing.HeaderPairs,
    request_id: str,
    has_body: bool,
    adds_forwarding: bool = True,
) -> http_framing.HeaderPairs:
    """Return the headers for the caller, Content-Length included.

    A 204 response must not have a Content-Length; responses to HEAD and 304
    responses may.
    """
    dropped = _list_dropped_names(pairs) | {'x-request-id'}
    if not has_body:
        dropped |= {'content-length'}
    kept = ((n, v) for n, v in pairs if _normalize(n) not in dropped)
    if not adds_forwarding:
        return (*kept, ('X-Request-Id', request_id))
    via = _append(pairs, 'Via', VIA)
    return (
        *((n, v) for n, v in kept if n.lower() != 'via'),
        ('Via', via),
        ('X-Request-Id', request_id),
    )
