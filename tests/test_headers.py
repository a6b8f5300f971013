"""Tests of header parsing and of the removal of API keys."""

import base64
import datetime
import io

import hypothesis
from hypothesis import strategies
import pytest

from cranberryscale.connection import http_framing
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.request import headers

KEY = 'secret-key-1234'
SOURCE = headers.RequestSource('10.0.0.1', 'h', 'id-1')
SECOND = datetime.timedelta(seconds=1)
BASIC = base64.b64encode(f'user:{KEY}'.encode()).decode()
PLACES = [
    ((('Authorization', f'Bearer {KEY}'),), ''),
    ((('authorization', f'bEaReR  {KEY}'),), ''),
    ((('Authorization', f'Basic {BASIC}'),), ''),
    ((('x-aPi-kEy', KEY), ('X-API-KEY', KEY)), ''),
    ((('X_Api_Key', KEY),), ''),
    ((('Cookie', f'a=1; api_key={KEY}; b=2'),), ''),
    ((('Cookie', f'API_KEY="{KEY}"'), ('Cookie', f'api_key={KEY}')), ''),
    ((), f'api_key={KEY}'),
    ((), f'a=1&%61pi%5Fkey={KEY}&api_key={KEY}&b=2'),
    ((), f'a=1;api_key={KEY}'),
    ((), 'api_key=' + ''.join(f'%{ord(c):02x}' for c in KEY)),
]


def limit_examples(test):
    settings = hypothesis.settings(
        derandomize=True, max_examples=150, deadline=None
    )
    return settings(test)


def make_headers(pairs, key=KEY):
    return headers.make_request_headers(pairs, key, SOURCE, SECOND)


@pytest.mark.parametrize('pairs,query', PLACES)
def test_api_key_is_found_and_removed_everywhere(pairs, query):
    """A backend server that receives a key could act as the customer."""
    assert headers.read_api_key(pairs, query) == KEY
    referer = ('Referer', f'http://h/p?api_key={KEY}&z=1')
    extra = (referer, ('X-Copy', KEY), ('X-Other', f'a {KEY} b'))
    sent = make_headers((*pairs, *extra))
    target = headers.remove_api_key(f'/p?{query}' if query else '/p', KEY)
    text = repr(sent) + target
    assert KEY not in text
    assert KEY not in headers.urllib.parse.unquote(text)
    assert BASIC not in text
    assert ('Referer', 'http://h/p?z=1') in sent


def test_other_parameters_and_cookies_stay():
    """Removing the key must not change the rest of the request."""
    target = headers.remove_api_key(f'/p?a=%20&api_key={KEY}&b&c=', KEY)
    assert target == '/p?a=%20&b&c='
    sent = make_headers((('Cookie', f'a=1; api_key={KEY}; b="2"'),))
    assert ('Cookie', 'a=1; b="2"') in sent


def test_differing_keys_are_refused():
    """The choice between two keys must not depend on their order."""
    with pytest.raises(errors.RequestError) as caught:
        headers.read_api_key((('X-Api-Key', KEY),), 'api_key=other')
    assert caught.value.code == 'ambiguous_key'
    assert KEY not in str(caught.value)


def test_hop_by_hop_headers_are_not_forwarded():
    """Forwarding them would let a caller control the next connection."""
    pairs = (
        ('Connection', 'close, X-Secret'),
        ('X-Secret', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Upgrade', 'h2c'),
        ('TE', 'trailers'),
        ('Keep-Alive', '5'),
        ('Proxy-Authorization', 'x'),
        ('Accept', '*/*'),
    )
    names = {name for name, _ in make_headers(pairs)}
    assert 'Accept' in names
    assert not names & {name for name, _ in pairs[:-1]}
    back = headers.filter_response_headers(pairs, 'id-1', True)
    assert {name for name, _ in back} == {'Accept', 'Via', 'X-Request-Id'}


def test_forwarding_and_tracing_headers_are_sent():
    """Servers need the caller's address and one trace over all hops."""
    trace = f'00-{"a" * 32}-{"b" * 16}-01'
    sent = dict(
        make_headers(
            (
                ('X-Forwarded-For', '1.2.3.4'),
                ('X-Forwarded-Proto', 'https'),
                ('traceparent', trace),
                ('Via', '1.0 x'),
            )
        )
    )
    assert sent['X-Forwarded-For'] == '1.2.3.4, 10.0.0.1'
    assert sent['X-Forwarded-Proto'] == 'http'
    assert sent['Forwarded'] == 'for=10.0.0.1;host="h";proto=http'
    assert sent['Via'] == '1.0 x, 1.1 cranberryscale'
    assert sent['traceparent'] == trace
    assert sent['X-Deadline-Ms'] == '1000'
    assert 'traceparent' not in dict(make_headers((('traceparent', 'x'),)))


@pytest.mark.parametrize('given', ['a b', 'x' * 129, '', KEY, 'a\x7f'])
def test_malformed_request_id_is_replaced(given):
    """An id with special characters could forge a log line."""
    pairs = (('X-Request-Id', given),)
    assert headers.choose_request_id(pairs, KEY, 'new') == 'new'
    assert headers.choose_request_id((('X-Request-Id', 'a'),), KEY, 'n') == 'a'


@limit_examples
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                'Authorization Cookie X-Api-Key Referer X-Deadline-Ms '
                'Connection Content-Length Transfer-Encoding Host'.split()
            ),
            strategies.text(
                strategies.characters(max_codepoint=255), max_size=30
            ),
        ),
        max_size=6,
    ),
    strategies.text(max_size=40),
)
def test_any_headers_give_typed_errors_only(pairs, query):
    """Any other exception would end as an internal error."""
    pairs = tuple(pairs)
    steps = (
        lambda: http_framing.check_request_framing(pairs, True),
        lambda: headers.read_deadline(pairs),
        lambda: make_headers(pairs, headers.read_api_key(pairs, query)),
        lambda: headers.remove_api_key(f'/?{query}', KEY),
        lambda: headers.filter_response_headers(pairs, 'id', True),
    )
    for step in steps:
        try:
            step()
        except errors.RequestError:
            pass


@limit_examples
@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_typed_errors_only(data):
    """Header lines and chunks are untrusted input."""
    for read in (
        http_framing.read_header_pairs,
        lambda stream: list(
            iter(
                http_framing.ChunkedBody(
                    stream, 100, http_framing.CALLER_CODES
                ).read_some,
                b'',
            )
        ),
    ):
        try:
            read(io.BufferedReader(io.BytesIO(data)))
        except errors.RequestError as error:
            assert error.code in (
                'bad_request',
                'caller_gone',
                'body_too_large',
            )


@limit_examples
@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=50), max_size=5)
)
def test_chunks_decode_to_what_was_encoded(blocks):
    """A body must arrive unchanged, and leave the following bytes."""
    encoded = b''.join(b'%X;x=1\r\n%b\r\n' % (len(b), b) for b in blocks)
    stream = io.BufferedReader(io.BytesIO(encoded + b'0\r\nT: 1\r\n\r\nnext'))
    body = http_framing.ChunkedBody(stream, 1000, http_framing.CALLER_CODES)
    replay = http_framing.ReplayBody(body)
    for _ in range(2):
        replay.rewind()
        assert b''.join(iter(replay.read_some, b'')) == b''.join(blocks)
    assert stream.read() == b'next'


@limit_examples
@hypothesis.given(strategies.text())
def test_log_line_stays_one_line(text):
    """A value sent by a caller must not forge a second event."""
    line = logs.format_event('request', value=text, other=1)
    assert len(line.splitlines()) == 1
    assert line.endswith(' other=1')
