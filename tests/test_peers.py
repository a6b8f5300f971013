"""Guard the interface between instances against bad and hostile input."""

import datetime
import socket

import grpc
import pytest

from cranberryscale.connection import peer_frames
from cranberryscale.connection import peers
from cranberryscale import errors
from cranberryscale import messages


SECRET = 'a secret for tests only'
WAIT = datetime.timedelta(seconds=2)


def find_port():
    """Return a free port on loopback."""
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


@pytest.fixture
def fleet():
    """Run a server named b that records what it answers."""
    answered = []

    def answer(frame, message):
        answered.append((frame.sender, message))
        return messages.Done()

    server = peers.PeerServer(peer_frames.Signer('b', 1, SECRET), answer)
    address = f'127.0.0.1:{find_port()}'
    server.start(address)
    yield server, address, answered
    server.stop(datetime.timedelta(0))


def _send_raw(address, data):
    with grpc.insecure_channel(address) as channel:
        call = channel.unary_unary(f'/{peers.SERVICE}/{peers.METHOD}')
        return call(data, timeout=2)


def test_a_signed_call_is_answered(fleet):
    """A call between members must arrive once and be acknowledged."""
    _, address, answered = fleet
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    assert client.call('b', address, messages.FetchView(), WAIT) == (
        messages.Done()
    )
    assert answered == [('a', messages.FetchView())]
    client.close()


def _pack(**changes):
    name, secret = changes.get('name', 'a'), changes.get('secret', SECRET)
    signer = peer_frames.Signer(name, 1, secret)
    body = changes.get('body', messages.encode(messages.FetchView()))
    return signer.pack(changes.get('target', 'b'), body)[1]


@pytest.mark.parametrize(
    ('data', 'code'),
    [
        (b'', 'message_undecodable'),
        (b'\x93\x01\x02\x03', 'message_undecodable'),
        (_pack(secret='another secret here'), 'peer_unproven'),
        (_pack()[:-1] + b'\x00', 'peer_unproven'),
        (_pack(target='c'), 'message_misdirected'),
        (_pack(body=b'\xffxx'), 'message_undecodable'),
        (_pack().replace(b'\x97\x01', b'\x97\x02', 1), 'peer_protocol'),
    ],
)
def test_bad_calls_are_refused_and_counted(fleet, data, code):
    """Garbage, strangers and other versions must change nothing."""
    server, address, answered = fleet
    try:
        _send_raw(address, data)
    except grpc.RpcError as error:
        assert error.code() == grpc.StatusCode.PERMISSION_DENIED
    assert server.traffic.refused == {code: 1}
    assert not answered


def test_replayed_calls_and_earlier_incarnations_are_refused(fleet):
    """A repeated or late call of a replaced process must change nothing."""
    server, address, answered = fleet
    data = _pack()
    _send_raw(address, data)
    _send_raw(address, data)
    _send_raw(address, peer_frames.Signer('a', 2, SECRET).pack('b', b'')[1])
    _send_raw(address, _pack())
    assert len(answered) == 1
    assert server.traffic.refused['message_replayed'] == 2


def test_a_reply_to_another_call_is_refused():
    """A crossed reply must not be taken for the answer."""
    a, b = (peer_frames.Signer(name, 1, SECRET) for name in 'ab')
    with pytest.raises(errors.PeerError) as caught:
        a.unpack_reply(b.pack_reply('a', 7, b''), 'b', 8)
    assert caught.value.code == 'message_misdirected'


def test_an_unreachable_peer_is_a_typed_error():
    """A dead peer must be reported within the timeout."""
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    address = f'127.0.0.1:{find_port()}'
    with pytest.raises(errors.PeerError) as caught:
        client.call('b', address, messages.FetchView(), WAIT)
    assert caught.value.code == 'peer_unreachable'
    client.close()
