"""Benchmark cases for the CPU time of holders and of key look-ups.

Holders are those of budgets and pools. The fleet has one instance, which holds
all leases. Times of a call include the encoding and decoding of both messages.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import functools
import time
from typing import Any

from cranberryscale import messages
from cranberryscale.version import keys
from cranberryscale.version import tree
from cranberryscale_bench import capacity_fits as fits
from cranberryscale_bench import capacity_fixtures as fixtures
from cranberryscale_bench import results


__all__ = ['list_cases']

MS = datetime.timedelta(milliseconds=1)
ROUNDS_PER_BLOCK = 60
BLOCK_TIME = ROUNDS_PER_BLOCK * 50 * MS
# Requests at a holder between two runs of its background work, 50 ms apart.
BATCH_SIZE = 10


def _measure_step_us(
    node: Any, run_step: Callable[[Any, int], None], batch_size: int
):
    """Return the mean CPU time in us of one step in the fastest block.

    Each block has ROUNDS_PER_BLOCK rounds of `batch_size` steps, 50 ms apart.
    The node's background work before each round is not included.
    """
    now, number, blocks = fixtures.START + fixtures.LEASE_WAIT, 0, []
    for _ in range(fits.REPEATS):
        used = 0.0
        for _ in range(ROUNDS_PER_BLOCK):
            now += 50 * MS
            fixtures.run_due_work(node, now)
            started_s = time.process_time()
            for _ in range(batch_size):
                run_step(now, number)
                number += 1
            used += time.process_time() - started_s
        blocks.append(used / ROUNDS_PER_BLOCK / batch_size)
    return min(blocks) * 1e6


def _call(node: Any, message: Any, now: datetime.timedelta) -> Any:
    request = messages.decode(messages.encode(message))
    answer = node.handle_message('i000', request, now)
    return messages.decode(messages.encode(answer))


def _measure_tokens(count: int) -> dict[str, float]:
    """Return the CPU time of TakeTokens, by number of buckets in use."""
    node = fixtures.start_holder({'c.toml': fixtures.list_customers(count)})
    refused = []

    def take_tokens(now: datetime.timedelta, number: int) -> None:
        name = f'customer-{number % count:07}'
        request = messages.TakeTokens(name, 0, 1, f'{number:032x}')
        if not isinstance(_call(node, request, now), messages.TokenGrant):
            refused.append(number)

    # Each bucket gets at most 20 requests/s. A share has a rate of 25/s; above
    # it, denied requests would be measured.
    batch_size = min(count, 100)
    used = _measure_step_us(node, take_tokens, batch_size)
    # Buckets start empty, so their first requests may be denied.
    if len(refused) > 2 * count:
        raise ValueError(len(refused))
    now = fixtures.START + fixtures.LEASE_WAIT + fits.REPEATS * BLOCK_TIME
    return {
        'take_tokens_us': used,
        'turn_us': fits.measure_us(lambda: node.pop_background_plans(now), 10),
    }


def _measure_permits(servers: int) -> dict[str, float]:
    """Return the CPU time of a permit and its report, by pool size."""
    node = fixtures.start_holder({'p.toml': fixtures.list_pools(1, servers)})
    granted = []

    def run_request(now: datetime.timedelta, number: int) -> None:
        request = messages.TakePermit('s0', 'd0', f'{number:032x}', 'c', 5.0)
        answer = _call(node, request, now)
        granted.append(isinstance(answer, messages.PermitGrant))
        if granted[-1]:
            report = messages.PermitReport(
                answer.permit_id, answer.server, 'ok', 0.02
            )
            _call(node, messages.PermitReports('s0', 'd0', (report,)), now)

    used = _measure_step_us(node, run_request, BATCH_SIZE)
    if sum(granted) < 0.9 * len(granted):
        raise ValueError(sum(granted))
    return {'permit_and_report_us': used}


def _measure_keys(count: int) -> dict[str, float]:
    accepted = tree.ConfigurationTree()
    # Several documents, since the configuration service limits values to 1 MB.
    parts = {
        f'{make.__name__}-{first}.toml': make(1000, first)
        for make in (fixtures.list_customers, fixtures.list_keys)
        for first in range(0, count, 1000)
    }
    accepted.apply_subtrees([fixtures.make_subtree('t', parts)])
    current = accepted.configuration
    return {
        'find_customer_us': fits.measure_us(
            lambda: keys.find_customer(current, 'key-7'), 5000
        )
    }


def _measure_pools(domain: str, count: int) -> dict[str, float]:
    # The instance is in domain d0, so it holds only the pools of d0.
    parts = {'p.toml': fixtures.list_pools(count, 2, domain)}
    node = fixtures.start_holder(parts)
    now = fixtures.START + fixtures.LEASE_WAIT + 50 * MS
    for _ in range(4):
        fixtures.run_due_work(node, now)
    if len(node.resource_holder.list_pool_statuses(now)) != (
        count if domain == 'd0' else 0
    ):
        raise ValueError(domain)

    def advance() -> None:
        node.advance(now)

    return {'advance_us': fits.measure_us(advance, 10)}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    cases: dict[str, tuple[str, tuple[int, ...], Any]] = {
        'tokens': ('bucket', (1, 100, 1000), _measure_tokens),
        'permits': ('server', (2, 6, 14), _measure_permits),
        'keys': ('key', (1000, 4000, 16000), _measure_keys),
        'pools_held': (
            'pool',
            (10, 100, 400),
            functools.partial(_measure_pools, 'd0'),
        ),
        'pools_published': (
            'pool',
            (10, 100, 400),
            functools.partial(_measure_pools, 'd1'),
        ),
    }
    return {
        f'capacity/{case}': functools.partial(fits.measure_sizes, case, *parts)
        for case, parts in cases.items()
    }
