"""One gRPC call between two processes: processor time and wire bytes."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import multiprocessing
import socket
import statistics
import subprocess
import sys
import threading
import time
from typing import Any

from cranberryscale.connection import peer_frames
from cranberryscale.connection import peers
from cranberryscale import messages
from cranberryscale_bench import capacity_fixtures
from cranberryscale_bench import results


__all__ = ['CountingProxy', 'list_cases']

REPEATS = 5
CALLS = 1000
WARM_UP_CALLS = 200
COUNTED_CALLS = 200
CALL_TIMEOUT = datetime.timedelta(seconds=5)
# IPv4 and TCP headers without options. A packet is taken to be what one
# read returns; acknowledgements that carry no data are not counted.
PACKET_HEADER_BYTES = 40

# Not ru_maxrss, which counts what the parent had in use before exec.
_READ_MEMORY = (
    'import cranberryscale.node_daemon as _\n'
    'lines = open("/proc/self/status").read().splitlines()\n'
    'print(next(x.split()[1] for x in lines if x.startswith("VmRSS")))'
)
_SPAWN = multiprocessing.get_context('spawn')
_DIGEST = (1 << 62) - 1
_VERSIONS = {'accounts': 17, 'guides': 4, 'bookings': 9, 'events': 21}
_TOKEN_REQUEST = messages.TakeTokens('customer-0000001', 0, 1, 'f' * 32)

_REPORT = messages.PermitReport('f' * 16, 'u1', 'ok', 0.02)
_MESSAGES = {
    'tokens': _TOKEN_REQUEST,
    'permit': messages.TakePermit('s0', 'd0', 'f' * 32, 'customer-1', 5.0),
    'report': messages.PermitReports('s0', 'd0', (_REPORT,)),
    'confirmation': messages.ConfirmationPull(_DIGEST, 5),
    **{
        f'gossip_{count}': messages.GossipPull(
            count, 1 << 40, _DIGEST, 7, _VERSIONS
        )
        for count in (11, 44, 100)
    },
}


class CountingProxy:
    """Pass on TCP connections and count what is sent to the server."""

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self._lock = threading.Lock()
        self._server = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._server.getsockname()[1]
        # Bytes and packets, to the server and back.
        self.counts = {True: [0, 0], False: [0, 0]}
        self._start_thread(self._accept)

    def _start_thread(self, action: Callable[..., None], *parts: Any) -> None:
        threading.Thread(target=action, args=parts, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                caller, _ = self._server.accept()
                server = socket.create_connection(self._target)
            except OSError:
                return
            self._start_thread(self._forward_both_ways, caller, server)

    def _forward_both_ways(
        self, caller: socket.socket, server: socket.socket
    ) -> None:
        with caller, server:
            back = threading.Thread(
                target=self._forward, args=(server, caller, False), daemon=True
            )
            back.start()
            self._forward(caller, server, True)
            back.join()

    def _forward(
        self, source: socket.socket, target: socket.socket, is_to_server: bool
    ) -> None:
        try:
            while data := source.recv(65536):
                with self._lock:
                    self.counts[is_to_server][0] += len(data)
                    self.counts[is_to_server][1] += 1
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def close(self) -> None:
        """Accept no further connections."""
        self._server.close()


def _make_gossip_reply(message: messages.GossipPull) -> messages.GossipReply:
    """Return a reply of the steady state for `message.member` members."""
    count = message.member
    bits = messages.GrantRecord(bytes(-(-count // 8)), b'')
    ages = bytes(range(count))
    versions = message.subtree_versions
    return messages.GossipReply(
        7, versions, _DIGEST, b'', ages, ages, bytes(count), (bits,)
    )


_REPLIES: dict[type, Callable[[Any], Any]] = {
    messages.TakeTokens: lambda _: messages.TokenGrant(1, 1, 0.5, 100.0),
    messages.TakePermit: lambda _: messages.PermitGrant('f' * 16, 'u1', 1.0),
    messages.PermitReports: lambda _: messages.Done(),
    messages.ConfirmationPull: lambda asked: messages.ConfirmationReply(
        5, 'i000', asked.versions_digest, {}
    ),
    messages.GossipPull: _make_gossip_reply,
}


def _handle_message(_frame: peer_frames.Frame, message: Any) -> Any:
    # A list's version carries the server's processor time in nanoseconds.
    if isinstance(message, messages.FetchView):
        return messages.ViewReply(time.process_time_ns(), ())
    return _REPLIES[type(message)](message)


def _serve(port: int, stop: Any) -> None:
    signer = peer_frames.Signer('b', 1, capacity_fixtures.SECRET)
    server = peers.PeerServer(signer, _handle_message)
    server.start(f'127.0.0.1:{port}')
    stop.recv()
    server.stop(datetime.timedelta(0))


def _find_port() -> int:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def _wait_for_port(port: int) -> None:
    until = time.monotonic() + 20
    while time.monotonic() < until:
        try:
            socket.create_connection(('127.0.0.1', port), 1).close()
        except OSError:
            time.sleep(0.05)
        else:
            return
    raise TimeoutError(port)


def _call(client: peers.PeerClient, address: str, message: Any) -> Any:
    return client.call('b', address, message, CALL_TIMEOUT)


def _measure_once(
    client: peers.PeerClient, address: str
) -> tuple[float, float, float]:
    """Return us a call: processor time of both sides, median duration."""
    cpu_time_request = messages.FetchView()
    served_ns = _call(client, address, cpu_time_request).version
    used_ns, took_ns = time.process_time_ns(), []
    for _ in range(CALLS):
        began_ns = time.monotonic_ns()
        _call(client, address, _TOKEN_REQUEST)
        took_ns.append(time.monotonic_ns() - began_ns)
    used_ns = time.process_time_ns() - used_ns
    served_ns = _call(client, address, cpu_time_request).version - served_ns
    return (
        used_ns / CALLS / 1e3,
        served_ns / CALLS / 1e3,
        statistics.median(took_ns) / 1e3,
    )


def _count_bytes(
    client: peers.PeerClient, port: int, message: Any
) -> tuple[float, float]:
    """Return bytes a call with estimated headers, out and back."""
    proxy = CountingProxy(('127.0.0.1', port))
    for _ in range(WARM_UP_CALLS):
        _call(client, proxy.address, message)
    before = {way: tuple(counts) for way, counts in proxy.counts.items()}
    for _ in range(COUNTED_CALLS):
        _call(client, proxy.address, message)
    sums = (
        proxy.counts[way][0]
        - before[way][0]
        + PACKET_HEADER_BYTES * (proxy.counts[way][1] - before[way][1])
        for way in (True, False)
    )
    sent, received = (total / COUNTED_CALLS for total in sums)
    proxy.close()
    return sent, received


def _measure_all(port: int) -> Iterable[results.Result]:
    client = peers.PeerClient(
        peer_frames.Signer('a', 1, capacity_fixtures.SECRET)
    )
    address = f'127.0.0.1:{port}'
    for _ in range(WARM_UP_CALLS):
        _call(client, address, _TOKEN_REQUEST)
    runs = [_measure_once(client, address) for _ in range(REPEATS)]
    values = [
        *zip(
            ('caller', 'callee', 'duration'),
            (min(column) for column in zip(*runs)),
            ('us', 'us', 'us'),
        ),
    ]
    for name, message in _MESSAGES.items():
        sent, received = _count_bytes(client, port, message)
        values.append((f'{name}_sent', sent, 'bytes'))
        values.append((f'{name}_received', received, 'bytes'))
    client.close()
    for measure, value, unit in values:
        yield results.Result(
            'capacity/call', measure, value, None, None, unit, results.PROCESS
        )


def measure_call() -> Iterable[results.Result]:
    """Yield what one call costs; least of five runs of 1,000 calls."""
    port = _find_port()
    stop, child_pipe = _SPAWN.Pipe()
    server = _SPAWN.Process(
        target=_serve, args=(port, child_pipe), daemon=True
    )
    server.start()
    try:
        _wait_for_port(port)
        yield from _measure_all(port)
    finally:
        stop.send(None)
        server.join(10)
        if server.is_alive():
            server.kill()


def measure_process() -> Iterable[results.Result]:
    """Yield the resident memory of a process that only imports the daemon."""
    done = subprocess.run(
        [sys.executable, '-c', _READ_MEMORY],
        capture_output=True,
        text=True,
        check=True,
    )
    used = int(done.stdout) / 1024
    yield results.Result(
        'capacity/process', 'memory', used, None, None, 'MiB', results.PROCESS
    )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the measurements by name."""
    return {
        'capacity/call': measure_call,
        'capacity/process': measure_process,
    }
