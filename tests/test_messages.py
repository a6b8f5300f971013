"""Tests for the wire format of messages between instances."""

import json
from typing import NamedTuple
import zlib

import msgspec
import pytest

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_statements
from cranberryscale.process import shards
from cranberryscale.version import replica
from cranberryscale.version import view


def make_view(count, domains=3, version=1):
    """Return a view of `count` members spread over the domains."""
    return view.MembershipView(
        version,
        tuple(
            view.Member(f'i{n:02}', f'd{n % domains}', '', '', '')
            for n in range(count)
        ),
    )


def test_every_call_round_trips():
    """A message must decode to what was encoded."""
    message = messages.TakePermit('events', 'd1', 'r1', 'c1', 2.5, ('s1',))
    assert messages.decode(messages.encode(message)) == message


@pytest.mark.parametrize(
    'body', [b'', b'\x00', b'\xff\x90', b'\x07\x90', b'\x07', b'\x07\xc1']
)
def test_bad_bytes_are_typed_errors(body):
    """Invalid data from a peer must raise a typed error only."""
    with pytest.raises(errors.PeerError) as caught:
        messages.decode(body)
    assert caught.value.code == 'message_undecodable'


@pytest.mark.parametrize('size', range(40, 45))
def test_quorum_survives_a_domain_and_ten_replacements(size):
    """A quorum must survive the loss of a domain; two must share a member."""
    quorum = view.count_quorum(size)
    assert size - -(-size // 3) >= quorum
    assert 2 * quorum > size + 10


def test_placement_moves_only_the_lost_members_resources():
    """The loss of a member must not move the resources of others."""
    full = make_view(44)
    resources = [view.LeasedResource('', 'budget', str(n)) for n in range(500)]
    before = {r: view.choose_holder(full, r, frozenset()) for r in resources}
    lost = frozenset(['i07'])
    moved = [
        r for r in resources if view.choose_holder(full, r, lost) != before[r]
    ]
    assert moved
    assert {before[r] for r in moved} == lost


def make_large_reply(routes=1000):
    """Return the reply to a pull after a change of a large policy."""
    rows = [[f'r{n}', f'h{n}.example', f'/p{n}/', '5s'] for n in range(routes)]
    body = json.dumps({'routes': rows}).encode()
    change = replica.EntryChange('op/config', 7, body)
    return messages.ChangesReply(7, 0.1, (change,))


def test_a_large_reply_takes_a_third_of_its_size_on_the_wire():
    """A reader sends each configuration to all instances of its domain.

    Links of 5 Mbit/s need a quarter of a second for 160 KB.
    """
    reply = make_large_reply()
    encoded = messages.encode(reply)
    assert len(encoded) <= len(reply.changes[0].body) / 3
    assert messages.decode(encoded) == reply


@pytest.mark.parametrize(
    'packed',
    [
        b'',
        b'no stream',
        zlib.compress(b''),
        zlib.compress(messages.encode(messages.Done()))[:-3],
        zlib.compress(bytes(messages.MESSAGE_LIMIT_BYTES + 1)),
    ],
    ids=['empty', 'garbage', 'nothing', 'cut', 'too large'],
)
def test_bad_compressed_bytes_are_typed_errors(packed):
    """Data that decompresses without end must not exhaust memory."""
    with pytest.raises(errors.PeerError) as caught:
        messages.decode(bytes((messages.COMPRESSED_TAG,)) + packed)
    assert caught.value.code == 'message_undecodable'


def test_fields_at_their_default_are_left_out_at_the_end():
    """Programs without the newer fields could not read the message."""

    class OlderAskServer(NamedTuple):
        shard: shards.Shard
        request_id: str
        target_s: float
        waited_s: float
        remaining_s: float
        priority: int = 0
        excluded: tuple[str, ...] = ()
        is_repeat: bool = False
        is_idempotent: bool = False
        may_wait: bool = True
        is_new: bool = True

    shard = shards.Shard('x', 'a')
    message = messages.AskServer(shard, 'r/0', 0.5, 0.0, 1.0, is_new=False)
    body = messages.encode(message)
    older = msgspec.msgpack.decode(body[1:], type=OlderAskServer)
    assert tuple(older) == tuple(message)[: len(older)]
    assert messages.decode(body) == message
    limit = server_limits.ServerLimit('s1', None, 0.5)
    limited = message._replace(limits=(limit,))
    assert messages.decode(messages.encode(limited)) == limited
    statement = server_statements.ServerStatement(
        server_limits.LimitStatement(2.5), True, 0.5
    )
    finished = messages.FinishRequest(shard, 1, 'ok', 0.1, statement)
    assert messages.decode(messages.encode(finished)) == finished
