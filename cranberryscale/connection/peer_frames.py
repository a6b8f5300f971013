"""Signed frames of the messages between instances.

A frame names its sender and target and carries a counter and a MAC keyed
with the fleet's secret, so that malformed, replayed and unauthenticated calls
are refused before a message is decoded. The secret of a `core` fleet is
empty, so there the MAC does not authenticate.
"""

import hashlib
import hmac
import itertools
import threading
from typing import NamedTuple

import msgspec

from cranberryscale import errors
from cranberryscale import messages


__all__ = ['Frame', 'ReplayGuard', 'Signer']

MAC_BYTES = 16
# Calls of one sender may be reordered by as many as it has threads.
REPLAY_WINDOW = 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024


class Frame(NamedTuple):
    """Encoded message with its authentication data."""

    protocol: int
    sender: str
    incarnation: int
    target: str
    counter: int
    mac: bytes
    body: bytes


_DECODER = msgspec.msgpack.Decoder(Frame)
_ENCODER = msgspec.msgpack.Encoder()


class Signer:
    """Encoder and verifier of frames for one instance."""

    def __init__(self, name: str, incarnation: int, secret: str):
        self._name = name
        self._incarnation = incarnation
        self._secret = secret.encode()
        self._counter = itertools.count(1)

    def _sign(self, frame: Frame) -> bytes:
        signed = _ENCODER.encode(frame._replace(mac=b''))
        return hmac.digest(self._secret, signed, hashlib.sha256)[:MAC_BYTES]

    def pack(self, target: str, body: bytes) -> tuple[int, bytes]:
        """Return the counter and the encoded frame of a call."""
        counter = next(self._counter)
        return counter, self.pack_reply(target, counter, body)

    def pack_reply(self, target: str, counter: int, body: bytes) -> bytes:
        """Return the encoded frame of a reply to the call `counter`."""
        frame = Frame(
            messages.PROTOCOL_VERSION,
            self._name,
            self._incarnation,
            target,
            counter,
            b'',
            body,
        )
        return _ENCODER.encode(frame._replace(mac=self._sign(frame)))

    def unpack(self, data: bytes) -> Frame:
        """Return the decoded frame if it is authentic, or raise PeerError."""
        if len(data) > MAX_FRAME_BYTES:
            raise errors.make_error('message_undecodable', len(data))
        try:
            frame = _DECODER.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise errors.make_error('message_undecodable', error) from error
        if frame.protocol != messages.PROTOCOL_VERSION:
            raise errors.make_error('peer_protocol', frame.protocol)
        if not hmac.compare_digest(frame.mac, self._sign(frame)):
            raise errors.make_error('peer_unproven', frame.sender)
        if frame.target != self._name:
            raise errors.make_error('message_misdirected', frame.target)
        return frame

    def unpack_reply(self, data: bytes, sender: str, counter: int) -> bytes:
        """Return the body of the reply to one call, or raise PeerError."""
        frame = self.unpack(data)
        if (frame.sender, frame.counter) != (sender, counter):
            raise errors.make_error('message_misdirected', frame.sender)
        return frame.body


class ReplayGuard:
    """Protection against replayed calls and calls of earlier incarnations.

    `orders_incarnations` must be False where a wall clock that was set back
    can give a later process the lower incarnation. Any other incarnation then
    replaces the known one. Thread-safe.
    """

    def __init__(self, orders_incarnations: bool = True):
        self._orders_incarnations = orders_incarnations
        self._lock = threading.Lock()
        self._records: dict[str, tuple[int, int, set[int]]] = {}

    def check(self, frame: Frame) -> None:
        """Record a call, or raise MessageReplayed."""
        with self._lock:
            incarnation, highest, recent = self._records.get(
                frame.sender, (0, 0, set())
            )
            is_earlier = frame.incarnation < incarnation
            if is_earlier and self._orders_incarnations:
                raise errors.make_error('message_replayed', frame.sender)
            if frame.incarnation != incarnation:
                highest, recent = 0, set()
            oldest = highest - REPLAY_WINDOW
            if frame.counter <= oldest or frame.counter in recent:
                raise errors.make_error('message_replayed', frame.counter)
            recent.add(frame.counter)
            highest = max(highest, frame.counter)
            if len(recent) > 2 * REPLAY_WINDOW:
                recent = {c for c in recent if c > highest - REPLAY_WINDOW}
            self._records[frame.sender] = (frame.incarnation, highest, recent)

    def retain(self, senders: frozenset[str]) -> None:
        """Remove the records of all other senders."""
        with self._lock:
            for name in self._records.keys() - senders:
                del self._records[name]
