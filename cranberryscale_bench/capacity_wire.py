"""Benchmark cases for a gRPC call between processes: CPU time and bytes."""

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
# IPv4 and TCP headers without options. The result of one read counts as one
# packet; acknowledgements without data are not counted.
PACKET_HEADER_BYTES = 40

# Reads VmRSS, since ru_maxrss would include the memory of the parent before
# exec.
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
    """TCP proxy that counts the bytes and reads in both directions.

    `counts[True]` is [bytes, reads] towards the server, `counts[False]` back.
    """

    def __init__(self, target: tuple[str, int]):
        self._target = target
        self._lock = threading.Lock()
        self._server = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._server.getsockname()[1]
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
            to_caller_thread = threading.Thread(
                target=self._forward, args=(server, caller, False), daemon=True
            )
            to_caller_thread.start()
            self._forward(caller, server, True)
            to_caller_thread.join()

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
        """Stop accepting connections."""
        self._server.close()


def _make_gossip_reply(message: messages.GossipPull) -> messages.GossipReply:
    """Return a reply as in a steady fleet of `message.member` members."""
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
    # The server's CPU time in ns is sent as the version of the view.
    if isinstance(message, messages.FetchView):
        return messages.ViewReply(time.process_time_ns(), ())
    return _REPLIES[type(message)](message)


def _serve(port: int, stop_pipe: Any) -> None:
    signer = peer_frames.Signer('b', 1, capacity_fixtures.SECRET)
    server = peers.PeerServer(signer, _handle_message)
    server.start(f'127.0.0.1:{port}')
    stop_pipe.recv()
    server.stop(datetime.timedelta(0))


def _find_port() -> int:
    with socket.socket() as sock:
        sock.bind(('127.0.0.1', 0))
        return sock.getsockname()[1]


def _wait_for_port(port: int) -> None:
    deadline_s = time.monotonic() + 20
    while time.monotonic() < deadline_s:
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
    """Return us per call: CPU time of caller and callee, median duration."""
    cpu_time_request = messages.FetchView()
    server_cpu_ns = _call(client, address, cpu_time_request).version
    client_cpu_ns, durations_ns = time.process_time_ns(), []
    for _ in range(CALLS):
        started_ns = time.monotonic_ns()
        _call(client, address, _TOKEN_REQUEST)
        durations_ns.append(time.monotonic_ns() - started_ns)
    client_cpu_ns = time.process_time_ns() - client_cpu_ns
    server_cpu_ns = (
        _call(client, address, cpu_time_request).version - server_cpu_ns
    )
    return (
        client_cpu_ns / CALLS / 1e3,
        server_cpu_ns / CALLS / 1e3,
        statistics.median(durations_ns) / 1e3,
    )


def _count_bytes(
    client: peers.PeerClient, port: int, message: Any
) -> tuple[float, float]:
    """Return the bytes per call with estimated headers, sent and received."""
    proxy = CountingProxy(('127.0.0.1', port))
    for _ in range(WARM_UP_CALLS):
        _call(client, proxy.address, message)
    counts_before = {
        is_to_server: tuple(counts)
        for is_to_server, counts in proxy.counts.items()
    }
    for _ in range(COUNTED_CALLS):
        _call(client, proxy.address, message)
    totals = (
        proxy.counts[is_to_server][0]
        - counts_before[is_to_server][0]
        + PACKET_HEADER_BYTES
        * (proxy.counts[is_to_server][1] - counts_before[is_to_server][1])
        for is_to_server in (True, False)
    )
    sent, received = (total / COUNTED_CALLS for total in totals)
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
    """Yield the cost of one call, the minimum of five runs of 1,000 calls."""
    port = _find_port()
    stop_pipe, child_pipe = _SPAWN.Pipe()
    server = _SPAWN.Process(
        target=_serve, args=(port, child_pipe), daemon=True
    )
    server.start()
    try:
        _wait_for_port(port)
        yield from _measure_all(port)
    finally:
        stop_pipe.send(None)
        server.join(10)
        if server.is_alive():
            server.kill()


def measure_process() -> Iterable[results.Result]:
    """Yield the resident memory of a process that imports the daemon."""
    completed = subprocess.run(
        [sys.executable, '-c', _READ_MEMORY],
        capture_output=True,
        text=True,
        check=True,
    )
    memory_mib = int(completed.stdout) / 1024
    yield results.Result(
        'capacity/process',
        'memory',
        memory_mib,
        None,
        None,
        'MiB',
        results.PROCESS,
    )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    return {
        'capacity/call': measure_call,
        'capacity/process': measure_process,
    }
