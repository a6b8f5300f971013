"""Benchmark cases for a fleet of processes on loopback.

They measure the added latency of the whole request path (key, budget, permit,
forwarding) at one instance against direct requests to the same backend
servers, and the cost of an idle instance at several fleet sizes.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import multiprocessing
import pathlib
import random
import re
import tempfile
import threading
import time

from hdrh import histogram
import urllib3

from cranberryscale_bench import results
from standins import fleet


__all__ = ['list_cases']

SEED = 20261204
EXAMPLE = pathlib.Path(__file__).parent.parent / 'examples' / 'ponte-nova'
KEY = 'pn-example-alfama-walks-1'
RATES_PER_S = (50, 100, 200)
FLEET_SIZES = (4, 11, 22, 44)
INSTANCES = 12
WARM_UP_S = 2.0
DURATION_S = 8.0
SETTLE_S = 5.0
IDLE_S = 15.0
CONNECTIONS = 16
SERVICE_MS = 10.0
CLOCK_TICKS_PER_S = 100
ADDED_P99_BOUND_MS = 4.3
CPU_BOUND_PERCENT = 1.2
MEMORY_BOUND_MIB = 256.0
BYTES_BOUND_PER_S = 2048.0

_SPAWN = multiprocessing.get_context('spawn')


def _plan_arrivals(rate_per_s: float) -> list[float]:
    rng = random.Random(SEED)
    gaps = (rng.expovariate(rate_per_s) for _ in itertools.count())
    total_s = WARM_UP_S + DURATION_S
    return list(
        itertools.takewhile(lambda t: t < total_s, itertools.accumulate(gaps))
    )


class _FleetLoad:
    """Open-loop load; latency counts from when a request was due."""

    def __init__(self, addresses: list[str], rate_per_s: float):
        self._addresses = addresses
        self._due = iter(enumerate(_plan_arrivals(rate_per_s)))
        self._lock = threading.Lock()
        self._started_at = time.monotonic() + 0.5
        self.latencies_us = histogram.HdrHistogram(1, 60_000_000, 3)
        self.status_counts: dict[int, int] = {}

    def _pop_due(self) -> tuple[int, float] | None:
        with self._lock:
            return next(self._due, None)

    def _send_due_requests(self) -> None:
        http = urllib3.PoolManager(retries=False, maxsize=1)
        while (due := self._pop_due()) is not None:
            number, offset_s = due
            time.sleep(max(self._started_at + offset_s - time.monotonic(), 0))
            address = self._addresses[number % len(self._addresses)]
            response = http.request(
                'GET',
                f'http://{address}/events',
                headers={'X-Api-Key': KEY},
                timeout=10,
            )
            latency_us = (time.monotonic() - self._started_at - offset_s) * 1e6
            if offset_s >= WARM_UP_S:
                with self._lock:
                    self.latencies_us.record_value(max(1, int(latency_us)))
                    status_counts = self.status_counts
                    status_counts[response.status] = (
                        status_counts.get(response.status, 0) + 1
                    )

    def run(self) -> None:
        """Send all requests and wait for their responses."""
        workers = [
            threading.Thread(target=self._send_due_requests)
            for _ in range(CONNECTIONS)
        ]
        for worker in workers:
            worker.start()
        for worker in workers:
            worker.join()


def _run_load(pipe, addresses: list[str], rate_per_s: float) -> None:
    load = _FleetLoad(addresses, rate_per_s)
    load.run()
    values = load.latencies_us
    pipe.send(
        (
            values.get_value_at_percentile(50) / 1000,
            values.get_value_at_percentile(99) / 1000,
            load.status_counts,
        )
    )


def _measure_load(addresses: list[str], rate_per_s: float):
    parent_pipe, child_pipe = _SPAWN.Pipe()
    process = _SPAWN.Process(
        target=_run_load, args=(child_pipe, addresses, rate_per_s)
    )
    process.start()
    measured = parent_pipe.recv()
    process.join()
    return measured


def _make_fleet(count: int) -> fleet.LocalFleet:
    folder = tempfile.TemporaryDirectory(prefix='cranberryscale-bench-')
    local_fleet = fleet.LocalFleet(
        EXAMPLE, pathlib.Path(folder.name), count, service_ms=SERVICE_MS
    )
    # The folder is deleted with the fleet object.
    local_fleet.temporary = folder
    return local_fleet


def _measure_latency() -> Iterable[results.Result]:
    with _make_fleet(INSTANCES) as local_fleet:
        time.sleep(SETTLE_S)
        direct_addresses = [
            server.address
            for server in local_fleet.configuration.servers.values()
            if server.service == 'events'
        ]
        proxied_addresses = [local_fleet.members[0].callers]
        for rate in RATES_PER_S:
            case = f'whole_path_{rate}'
            direct = _measure_load(direct_addresses, rate)
            proxied = _measure_load(proxied_addresses, rate)
            refused = sum(n for c, n in proxied[2].items() if c != 200)
            rows = (
                ('added_latency_p50_ms', proxied[0] - direct[0], None),
                (
                    'added_latency_p99_ms',
                    proxied[1] - direct[1],
                    ADDED_P99_BOUND_MS,
                ),
            )
            for measure, value, bound in rows:
                yield results.Result(
                    case,
                    measure,
                    round(value, 3),
                    None,
                    bound,
                    'ms',
                    results.PROCESS,
                    SEED,
                )
            yield results.Result(
                case,
                'refused_requests',
                refused,
                None,
                None,
                'requests',
                results.PROCESS,
                SEED,
            )


def _read_cpu_s(pid: int) -> float:
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


def _read_memory_mib(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/status').read_text()
    return int(re.search(r'VmRSS:\s+(\d+)', text)[1]) / 1024


def _read_control_bytes(
    local_fleet: fleet.LocalFleet, member: fleet.Member
) -> float:
    url = f'http://{member.operators}/metrics'
    text = local_fleet.http.request('GET', url).data.decode()
    match = re.search(r'control_bytes_sent ([0-9.e+]+)', text)
    return float(match[1])


def _measure_idle_cost(count: int) -> Iterable[results.Result]:
    with _make_fleet(count) as local_fleet:
        time.sleep(SETTLE_S)
        pids = {
            m: local_fleet.processes[m.name].pid for m in local_fleet.members
        }
        before = {
            m: (_read_cpu_s(pid), _read_control_bytes(local_fleet, m))
            for m, pid in pids.items()
        }
        time.sleep(IDLE_S)
        rows = []
        for member, pid in pids.items():
            cpu_s, sent = before[member]
            used_s = _read_cpu_s(pid) - cpu_s
            bytes_sent = _read_control_bytes(local_fleet, member) - sent
            rows.append((used_s / IDLE_S * 100, bytes_sent / IDLE_S, pid))
        max_memory_mib = max(_read_memory_mib(pid) for _, _, pid in rows)
    mean_cpu = sum(row[0] for row in rows) / count
    mean_bytes = sum(row[1] for row in rows) / count
    values = (
        ('control_cpu_percent', mean_cpu, CPU_BOUND_PERCENT, '% of a core'),
        ('control_bytes_per_s', mean_bytes, BYTES_BOUND_PER_S, 'bytes/s'),
        ('memory_mib', max_memory_mib, MEMORY_BOUND_MIB, 'MiB'),
    )
    for measure, value, bound, unit in values:
        yield results.Result(
            f'idle_fleet_{count}',
            measure,
            round(value, 2),
            None,
            bound,
            unit,
            results.PROCESS,
            SEED,
        )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    sizes = {
        f'idle_fleet_{size}': functools.partial(_measure_idle_cost, size)
        for size in FLEET_SIZES
    }
    return {'whole_path': _measure_latency} | sizes
