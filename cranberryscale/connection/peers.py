"""Calls between instances over gRPC.

Messages are encoded by msgspec and sent through gRPC as bytes, so that the
generic handler of grpcio serves them without generated code.
"""

from concurrent import futures
import datetime
import threading
from typing import Any
from typing import Callable
from typing import NamedTuple

import grpc

from cranberryscale.connection import peer_frames
from cranberryscale import errors
from cranberryscale import messages


__all__ = ['PeerClient', 'PeerServer', 'PeerTraffic']

SERVICE = 'cranberryscale.Peers'
METHOD = 'Call'
# After this many consecutive timeouts the connection may be dead, so it is
# replaced.
TIMEOUTS_BEFORE_RECONNECT = 2
# HTTP/2 and TCP/IP bytes of one call in one direction, measured with a
# counting relay on loopback, rounded up.
CALL_OVERHEAD_BYTES = 130

_OPTIONS = (
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
    ('grpc.enable_http_proxy', 0),
    ('grpc.max_receive_message_length', peer_frames.MAX_FRAME_BYTES),
    ('grpc.max_send_message_length', peer_frames.MAX_FRAME_BYTES),
    # Several instances share one address space on a loopback test fleet.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.so_reuseport', 0),
)


class PeerTraffic(NamedTuple):
    """Bytes sent for control messages, and refused messages by code."""

    control_bytes: int
    refused: dict[str, int]


class _Channel:
    """gRPC channel to an address that counts its calls in progress."""

    def __init__(self, address: str):
        self._channel = grpc.insecure_channel(address, _OPTIONS)
        self._call = self._channel.unary_unary(f'/{SERVICE}/{METHOD}')
        self._lock = threading.Lock()
        self._running = 0
        self._timeouts = 0
        self._is_replaced = False

    def acquire(self) -> bool:
        """Count a call; return False if the channel was replaced."""
        with self._lock:
            if self._is_replaced:
                return False
            self._running += 1
            return True

    def release(self) -> None:
        """End a call that was counted by `acquire`."""
        with self._lock:
            self._running -= 1
            is_unused = self._is_replaced and not self._running
        if is_unused:
            self._channel.close()

    def call(self, data: bytes, timeout: datetime.timedelta) -> bytes:
        """Return the reply, or raise grpc.RpcError."""
        reply_data = self._call(data, timeout=timeout.total_seconds())
        self._timeouts = 0
        return reply_data

    def record_timeout(self) -> bool:
        """Return True if the channel should be replaced."""
        with self._lock:
            self._timeouts += 1
            return self._timeouts >= TIMEOUTS_BEFORE_RECONNECT

    def close_after_calls(self) -> None:
        """Refuse new calls; close once those in progress have ended."""
        with self._lock:
            is_unused = not (self._is_replaced or self._running)
            self._is_replaced = True
        if is_unused:
            self._channel.close()

    def close(self) -> None:
        """Close at once; calls in progress end with errors."""
        self._channel.close()


class PeerClient:
    """Client that sends messages to other instances; thread-safe."""

    def __init__(self, signer: peer_frames.Signer):
        self._signer = signer
        self._lock = threading.Lock()
        self._channels: dict[str, _Channel] = {}
        self.control_bytes = 0

    def call(
        self,
        target: str,
        address: str,
        message: Any,
        timeout: datetime.timedelta,
    ) -> Any:
        """Return the reply, or raise PeerError without one.

        A Failure reply is raised as the error that it names.
        """
        counter, data = self._signer.pack(target, messages.encode(message))
        channel = self._acquire_channel(address)
        try:
            reply_data = channel.call(data, timeout)
        except grpc.RpcError as error:
            is_timeout = error.code() == grpc.StatusCode.DEADLINE_EXCEEDED
            if is_timeout and channel.record_timeout():
                self._replace_channel(address, channel)
            raise errors.make_error('peer_unreachable', target) from error
        except ValueError as error:
            # Another thread has closed the channel.
            raise errors.make_error('peer_unreachable', target) from error
        finally:
            channel.release()
        body = self._signer.unpack_reply(reply_data, target, counter)
        reply = messages.decode(body)
        self._count(message, len(data))
        if isinstance(reply, messages.Failure):
            raise errors.make_error(reply.code, reply.value)
        return reply

    def _count(self, message: Any, size: int) -> None:
        if isinstance(message, messages.CONTROL_CALLS):
            self.control_bytes += size + CALL_OVERHEAD_BYTES

    def _acquire_channel(self, address: str) -> _Channel:
        while True:
            channel = self._channels.get(address)
            if channel is None:
                with self._lock:
                    channel = self._channels.get(address)
                    if channel is None:
                        channel = self._channels[address] = _Channel(address)
            if channel.acquire():
                return channel

    def _replace_channel(self, address: str, channel: _Channel) -> None:
        """Use a new channel for new calls unless that is already so.

        Calls in progress may still be answered on the previous one. It lasts
        no longer than their timeouts.
        """
        with self._lock:
            if self._channels.get(address) is not channel:
                return
            self._channels[address] = _Channel(address)
        channel.close_after_calls()

    @property
    def addresses(self) -> frozenset[str]:
        """Return the addresses with a channel."""
        with self._lock:
            return frozenset(self._channels)

    def retain(self, addresses: frozenset[str]) -> None:
        """Close the channels to all other addresses."""
        with self._lock:
            removed = [
                self._channels.pop(address)
                for address in self._channels.keys() - addresses
            ]
        for channel in removed:
            channel.close()

    def close(self) -> None:
        """Close all channels."""
        self.retain(frozenset())


class PeerServer(grpc.GenericRpcHandler):
    """Server that authenticates messages and passes them to a handler.

    `handle_message(frame, message)` returns the reply message or raises
    PeerError.
    """

    def __init__(
        self,
        signer: peer_frames.Signer,
        handle_message: Callable[[peer_frames.Frame, Any], Any],
        threads: int = 16,
        guard: peer_frames.ReplayGuard | None = None,
    ):
        self._signer = signer
        self._handle_message = handle_message
        self._guard = peer_frames.ReplayGuard() if guard is None else guard
        self._lock = threading.Lock()
        self._refused: dict[str, int] = {}
        self._control_bytes = 0
        self._handler = grpc.unary_unary_rpc_method_handler(self._serve)
        self._server = grpc.server(
            futures.ThreadPoolExecutor(threads, 'peers'), options=_OPTIONS
        )
        self._server.add_generic_rpc_handlers((self,))

    def service(self, handler_call_details) -> Any:
        """Return the gRPC handler of the only method."""
        if handler_call_details.method == f'/{SERVICE}/{METHOD}':
            return self._handler
        return None

    def start(self, address: str) -> None:
        """Listen on host:port; raise SettingsInvalid if that fails."""
        try:
            port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise errors.make_error('settings_invalid', address) from error
        if not port:
            raise errors.make_error('settings_invalid', address)
        self._server.start()

    def stop(self, grace: datetime.timedelta) -> None:
        """Refuse new calls and wait up to `grace` for running ones."""
        self._server.stop(grace.total_seconds()).wait()

    def retain_senders(self, members: frozenset[str]) -> None:
        """Remove the replay records of all other senders."""
        self._guard.retain(members)

    @property
    def traffic(self) -> PeerTraffic:
        """Return the counts since the start."""
        with self._lock:
            return PeerTraffic(self._control_bytes, dict(self._refused))

    def _serve(self, data: bytes, context: grpc.ServicerContext) -> bytes:
        try:
            frame = self._signer.unpack(data)
        except errors.PeerError as error:
            self._count_refusal(error.code)
            context.abort(grpc.StatusCode.PERMISSION_DENIED, error.code)
        try:
            self._guard.check(frame)
            message = messages.decode(frame.body)
            reply = self._handle_message(frame, message)
        except errors.FleetError as error:
            self._count_refusal(error.code)
            reply = messages.Failure(error.code, str(error.value))
        packed = self._signer.pack_reply(
            frame.sender, frame.counter, messages.encode(reply)
        )
        if isinstance(reply, messages.CONTROL_REPLIES):
            with self._lock:
                self._control_bytes += len(packed) + CALL_OVERHEAD_BYTES
        return packed

    def _count_refusal(self, code: str) -> None:
        with self._lock:
            self._refused[code] = self._refused.get(code, 0) + 1
