"""Tests of the capacity cases: wrong slopes cause wrong fleet sizes."""

import socket
import threading

import pytest

from cranberryscale_bench import capacity
from cranberryscale_bench import capacity_fits
from cranberryscale_bench import capacity_holders
from cranberryscale_bench import capacity_memory
from cranberryscale_bench import capacity_wire


def test_fit_recovers_a_line():
    """Every estimate for other fleet sizes uses the fit."""
    fit = capacity_fits.fit_line({4: 11.0, 10: 23.0, 44: 91.0})
    assert fit == pytest.approx((2.0, 3.0, 0.0), abs=1e-9)


def test_residual_is_the_farthest_point():
    """An average residual would hide a single point far from the line."""
    fit = capacity_fits.fit_line({0: 0.0, 1: 4.0, 2: 0.0})
    assert fit.slope == pytest.approx(0)
    assert fit.residual == pytest.approx(4 - 4 / 3)


def test_results_contain_points_and_fit():
    """A slope cannot be verified without its points."""
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
def test_measurements_run_without_refusals(module, name):
    """Refusals cost less than grants, so the measurements raise on them."""
    values = getattr(module, name)(4)
    assert all(value > 0 for value in values.values())


def test_memory_of_referenced_objects_is_counted():
    """Freed memory must not count, memory in use must."""
    kept = capacity_memory._measure_bytes(lambda: bytearray(100_000))
    freed = capacity_memory._measure_bytes(lambda: len(bytearray(100_000)))
    assert 100_000 <= kept < 110_000
    assert freed < 10_000


def test_proxy_counts_both_directions():
    """The limit of 2 KB/s is on sent bytes, so directions must not mix."""
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
