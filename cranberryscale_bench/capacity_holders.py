"""Processor time of holders of budgets and pools and of key look-ups.

One instance is the whole fleet here, so it holds everything. Each answer
includes the encoding and decoding of both messages.
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
from cranberryscale_bench import capacity_model as model
from cranberryscale_bench import capacity_slopes as slopes
from cranberryscale_bench import results


__all__ = ['list_cases']

MS = datetime.timedelta(milliseconds=1)
HOLDER_ROUNDS = 60
HOLDER_TIME = HOLDER_ROUNDS * 50 * MS
# Requests at a holder between two of its 50 ms turns.
BATCH = 10


def _time_steps(node: Any, ask: Callable[[Any, int], None], batch: int):
    """Return the processor time of one step, the least of five blocks.

    The node's own turn each 50 ms is left out of the time.
    """
    now, number, blocks = model.START + model.LEASE_WAIT, 0, []
    for _ in range(slopes.REPEATS):
        used = 0.0
        for _ in range(HOLDER_ROUNDS):
            now += 50 * MS
            model.drive(node, now)
            began = time.process_time()
            for _ in range(batch):
                ask(now, number)
                number += 1
            used += time.process_time() - began
        blocks.append(used / HOLDER_ROUNDS / batch)
    return min(blocks) * 1e6


def _call(node: Any, message: Any, now: datetime.timedelta) -> Any:
    asked = messages.decode(messages.encode(message))
    answer = node.handle_message('i000', asked, now)
    return messages.decode(messages.encode(answer))


def _measure_tokens(count: int) -> dict[str, float]:
    """Return the cost of TakeTokens where many buckets are in use."""
    node = model.start_holder({'c.toml': model.list_customers(count)})
    refused = []

    def take(now: datetime.timedelta, number: int) -> None:
        name = f'customer-{number % count:07}'
        request = messages.TakeTokens(name, 0, 1, f'{number:032x}')
        if not isinstance(_call(node, request, now), messages.TokenGrant):
            refused.append(number)

    # 20 requests/s for a bucket: a share's rate is 25, and more than that
    # would measure refusals.
    batch = min(count, 100)
    used = _time_steps(node, take, batch)
    # Buckets start empty, so the first request of each may be refused.
    if len(refused) > 2 * count:
        raise ValueError(len(refused))
    now = model.START + model.LEASE_WAIT + slopes.REPEATS * HOLDER_TIME
    return {
        'take_tokens_us': used,
        'turn_us': slopes.measure_us(
            lambda: node.pop_background_plans(now), 10
        ),
    }


def _measure_permits(servers: int) -> dict[str, float]:
    """Return the cost of a permit and its report in a pool of servers."""
    node = model.start_holder({'p.toml': model.list_pools(1, servers)})
    granted = []

    def run(now: datetime.timedelta, number: int) -> None:
        ask = messages.TakePermit('s0', 'd0', f'{number:032x}', 'c', 5.0)
        answer = _call(node, ask, now)
        granted.append(isinstance(answer, messages.PermitGrant))
        if granted[-1]:
            report = messages.PermitReport(
                answer.permit_id, answer.server, 'ok', 0.02
            )
            _call(node, messages.PermitReports('s0', 'd0', (report,)), now)

    used = _time_steps(node, run, BATCH)
    if sum(granted) < 0.9 * len(granted):
        raise ValueError(sum(granted))
    return {'permit_and_report_us': used}


def _measure_keys(count: int) -> dict[str, float]:
    accepted = tree.ConfigurationTree()
    # Values of the configuration service are at most a megabyte.
    parts = {
        f'{make.__name__}-{first}.toml': make(1000, first)
        for make in (model.list_customers, model.list_keys)
        for first in range(0, count, 1000)
    }
    accepted.apply_subtrees([model.make_offer('t', parts)])
    current = accepted.configuration
    return {
        'find_customer_us': slopes.measure_us(
            lambda: keys.find_customer(current, 'key-7'), 5000
        )
    }


def _measure_pools(domain: str, count: int) -> dict[str, float]:
    parts = {'p.toml': model.list_pools(count, 2, domain)}
    node = model.start_holder(parts)
    now = model.START + model.LEASE_WAIT + 50 * MS
    for _ in range(4):
        model.drive(node, now)
    if len(node.resource_holder.list_pool_statuses(now)) != (
        count if domain == 'd0' else 0
    ):
        raise ValueError(domain)

    def advance() -> None:
        node.advance(now)

    return {'advance_us': slopes.measure_us(advance, 10)}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the measurements by name."""
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
        f'capacity/{case}': functools.partial(
            slopes.measure_sizes, case, *parts
        )
        for case, parts in cases.items()
    }
