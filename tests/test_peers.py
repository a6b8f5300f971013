"""Tests of calls between instances, with malformed and hostile input."""

from concurrent import futures
import datetime
import socket
import threading

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
def peer():
    """Server named b that records the calls that it handles."""
    handled = []

    def handle_message(frame, message):
        handled.append((frame.sender, message))
        return messages.Done()

    server = peers.PeerServer(
        peer_frames.Signer('b', 1, SECRET), handle_message
    )
    address = f'127.0.0.1:{find_port()}'
    server.start(address)
    yield server, address, handled
    server.stop(datetime.timedelta(0))


def send_raw(address, data):
    with grpc.insecure_channel(address) as channel:
        call = channel.unary_unary(f'/{peers.SERVICE}/{peers.METHOD}')
        return call(data, timeout=2)


def test_a_signed_call_is_answered(peer):
    """A call between members must be handled once and acknowledged."""
    _, address, handled = peer
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    assert client.call('b', address, messages.FetchView(), WAIT) == (
        messages.Done()
    )
    assert handled == [('a', messages.FetchView())]
    client.close()


def pack_call(**changes):
    name, secret = changes.get('name', 'a'), changes.get('secret', SECRET)
    signer = peer_frames.Signer(name, 1, secret)
    body = changes.get('body', messages.encode(messages.FetchView()))
    return signer.pack(changes.get('target', 'b'), body)[1]


@pytest.mark.parametrize(
    ('data', 'code'),
    [
        (b'', 'message_undecodable'),
        (b'\x93\x01\x02\x03', 'message_undecodable'),
        (pack_call(secret='another secret here'), 'peer_unproven'),
        (pack_call()[:-1] + b'\x00', 'peer_unproven'),
        (pack_call(target='c'), 'message_misdirected'),
        (pack_call(body=b'\xffxx'), 'message_undecodable'),
        (pack_call().replace(b'\x97\x01', b'\x97\x02', 1), 'peer_protocol'),
    ],
)
def test_malformed_and_unauthenticated_calls_are_refused(peer, data, code):
    """Malformed or unauthenticated calls must have no effect."""
    server, address, handled = peer
    try:
        send_raw(address, data)
    except grpc.RpcError as error:
        assert error.code() == grpc.StatusCode.PERMISSION_DENIED
    assert server.traffic.refused == {code: 1}
    assert not handled


def test_replayed_calls_and_earlier_incarnations_are_refused(peer):
    """Replayed calls and late calls of a replaced process have no effect."""
    server, address, handled = peer
    data = pack_call()
    send_raw(address, data)
    send_raw(address, data)
    send_raw(address, peer_frames.Signer('a', 2, SECRET).pack('b', b'')[1])
    send_raw(address, pack_call())
    assert len(handled) == 1
    assert server.traffic.refused['message_replayed'] == 2


def test_a_reply_to_another_call_is_refused():
    """The reply to one call must not be accepted for another."""
    a, b = (peer_frames.Signer(name, 1, SECRET) for name in 'ab')
    with pytest.raises(errors.PeerError) as caught:
        a.unpack_reply(b.pack_reply('a', 7, b''), 'b', 8)
    assert caught.value.code == 'message_misdirected'


def test_an_unreachable_peer_is_a_typed_error():
    """An unreachable peer must be reported within the timeout."""
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    address = f'127.0.0.1:{find_port()}'
    with pytest.raises(errors.PeerError) as caught:
        client.call('b', address, messages.FetchView(), WAIT)
    assert caught.value.code == 'peer_unreachable'
    client.close()


class SlowPeer:
    """Server named b whose replies to FetchView wait for `proceed`."""

    def __init__(self):
        self.started = threading.Semaphore(0)
        self.proceed = threading.Event()
        self._server = peers.PeerServer(
            peer_frames.Signer('b', 1, SECRET), self._handle_message
        )
        self.address = f'127.0.0.1:{find_port()}'
        self._server.start(self.address)

    def _handle_message(self, frame, message):
        if isinstance(message, messages.FetchView):
            self.started.release()
            self.proceed.wait(5)
        return messages.Done()

    def close(self):
        self.proceed.set()
        self._server.stop(datetime.timedelta(0))


@pytest.fixture
def slow_peer():
    server = SlowPeer()
    yield server
    server.close()


@pytest.fixture
def opened_channels(monkeypatch):
    """gRPC channels in the order of opening, with whether they are open."""
    is_open = []
    open_channel = grpc.insecure_channel

    def open_recorded(address, options):
        channel = open_channel(address, options)
        close, number = channel.close, len(is_open)
        is_open.append(True)

        def close_recorded():
            is_open[number] = False
            close()

        channel.close = close_recorded
        return channel

    monkeypatch.setattr(grpc, 'insecure_channel', open_recorded)
    return is_open


def time_out(client, address, count=peers.TIMEOUTS_BEFORE_RECONNECT):
    """Make calls that end with a timeout."""
    for _ in range(count):
        with pytest.raises(errors.PeerError):
            client.call('b', address, messages.FetchView(), WAIT / 20)


def test_timeouts_do_not_end_other_calls(slow_peer, opened_channels):
    """Replacing a channel used to cancel all of its calls.

    Holders whose replies took longer than the limits of some callers were
    taken for unresponsive by all of them.
    """
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    with futures.ThreadPoolExecutor(1) as executor:
        patient = executor.submit(
            client.call, 'b', slow_peer.address, messages.FetchView(), WAIT
        )
        assert slow_peer.started.acquire(timeout=1)
        time_out(client, slow_peer.address)
        assert opened_channels == [True, True]
        assert not patient.done()
        slow_peer.proceed.set()
        assert patient.result() == messages.Done()
    assert opened_channels == [False, True]
    client.close()
    assert opened_channels == [False, False]


def test_replaced_channels_end_with_their_calls(slow_peer, opened_channels):
    """An address that stays silent must not hold more and more channels."""
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    time_out(client, slow_peer.address, 3 * peers.TIMEOUTS_BEFORE_RECONNECT)
    assert opened_channels == [False, False, False, True]
    client.close()


def test_timeouts_of_calls_on_a_replaced_channel_do_not_count(
    slow_peer, opened_channels
):
    """They say nothing about the channel that replaced it."""
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    with futures.ThreadPoolExecutor(4) as executor:
        calls = [
            executor.submit(
                client.call,
                'b',
                slow_peer.address,
                messages.FetchView(),
                limit,
            )
            for limit in (WAIT / 10, WAIT / 10, WAIT / 4, WAIT / 4)
        ]
        assert all(isinstance(c.exception(), errors.PeerError) for c in calls)
    assert opened_channels == [False, True]
    client.close()


def test_closing_the_client_ends_its_calls(slow_peer):
    client = peers.PeerClient(peer_frames.Signer('a', 1, SECRET))
    with futures.ThreadPoolExecutor(1) as executor:
        call = executor.submit(
            client.call, 'b', slow_peer.address, messages.FetchView(), WAIT
        )
        assert slow_peer.started.acquire(timeout=1)
        client.close()
        assert isinstance(call.exception(WAIT.seconds / 2), errors.PeerError)
