"""Guard the slopes of the capacity page: wrong ones size a fleet wrongly."""

import socket
import threading

import pytest

from cranberryscale_bench import capacity
from cranberryscale_bench import capacity_fits
from cranberryscale_bench import capacity_holders
from cranberryscale_bench import capacity_memory
from cranberryscale_bench import capacity_wire


def test_fit_recovers_a_line():
    """A wrong fit misstates every figure worked out from it."""
    fit = capacity_fits.fit_line({4: 11.0, 10: 23.0, 44: 91.0})
    assert fit == pytest.approx((2.0, 3.0, 0.0), abs=1e-9)


def test_residual_is_the_farthest_point():
    """A point far from the line must not hide behind an average."""
    fit = capacity_fits.fit_line({0: 0.0, 1: 4.0, 2: 0.0})
    assert fit.slope == pytest.approx(0)
    assert fit.residual == pytest.approx(4 - 4 / 3)


def test_results_hold_points_and_fit():
    """A slope without its points cannot be checked."""
    rows = capacity_fits.list_results(
        'x', 'time', 'us', 'member', {4: 1.0, 8: 2.0}
    )
    values = {row.measure: (row.value, row.unit) for row in rows}
    assert values['time_at_8'] == (2.0, 'us')
    assert values['time_slope'] == (pytest.approx(0.25), 'us/member')


@pytest.mark.parametrize(
    ('module', 'name'),
    [
        (capacity, '_measure_member'),
        (capacity, '_measure_change_members'),
        (capacity_holders, '_measure_permits'),
        (capacity_holders, '_measure_tokens'),
    ],
)
def test_measurements_run_on_real_objects(module, name):
    """A measurement of refusals would look cheap; these raise then."""
    values = getattr(module, name)(4)
    assert all(value > 0 for value in values.values())


def test_memory_of_kept_objects_is_counted():
    """Memory that was freed again must not count, kept memory must."""
    kept = capacity_memory._measure_bytes(lambda: bytearray(100_000))
    freed = capacity_memory._measure_bytes(lambda: len(bytearray(100_000)))
    assert 100_000 <= kept < 110_000
    assert freed < 10_000


def test_relay_counts_both_directions():
    """Bytes counted the wrong way round misjudge the limit of 2 KB/s."""
    server = socket.create_server(('127.0.0.1', 0))

    def serve():
        with server.accept()[0] as sock:
            sock.sendall(sock.recv(100) * 3)

    threading.Thread(target=serve, daemon=True).start()
    proxy = capacity_wire.CountingProxy(server.getsockname())
    host, port = proxy.address.split(':')
    with socket.create_connection((host, int(port)), 5) as sock:
        sock.sendall(b'12345')
        sock.shutdown(socket.SHUT_WR)
        received = b''
        while part := sock.recv(100):
            received += part
    proxy.close()
    server.close()
    assert received == b'12345' * 3
    assert proxy.counts[True][0] == 5
    assert proxy.counts[False][0] == 15
