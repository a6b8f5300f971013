"""Benchmark cases for the memory of an instance's state, by tracemalloc."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import functools
import gc
import tracemalloc
from typing import Any

from cranberryscale import messages
from cranberryscale.process import idempotency
from cranberryscale.request import routes
from cranberryscale.version import keys
from cranberryscale.version import settings
from cranberryscale.version import tree
from cranberryscale.version import view
from cranberryscale_bench import capacity_fits as fits
from cranberryscale_bench import capacity_fixtures as fixtures
from cranberryscale_bench import gossip_fleet
from cranberryscale_bench import results


__all__ = ['list_cases']

MS = datetime.timedelta(milliseconds=1)


def _measure_bytes(make: Callable[[], Any]) -> float:
    """Return the bytes in use after `make`, while its result is referenced."""
    gc.collect()
    tracemalloc.start()
    try:
        retained = make()
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del retained
    return used


def _copy_text(text: str) -> str:
    # A text that arrives in a message is a new object, so copy it.
    return text.encode().decode()


def _load_documents(*texts: str) -> tuple[Any, ...]:
    accepted = tree.ConfigurationTree()
    documents = {f'd{n}.toml': _copy_text(t) for n, t in enumerate(texts)}
    outcomes = accepted.apply_subtrees([fixtures.make_subtree('t', documents)])
    if not isinstance(outcomes[0], tree.SubtreeAcceptance):
        raise ValueError(outcomes)
    current = accepted.configuration
    route_table = routes.RouteTable()
    if current.routes:
        route_table.find_route(current, '', '/a/0', 'GET')
    return accepted, keys.KeyIndex(current.keys), route_table


def _load_members(count: int) -> Any:
    published = gossip_fleet.make_view(count)
    fleet = gossip_fleet.GossipFleet(published, 1, settings.LeaseSettings())
    fleet.run(10)
    peer = fleet.processes['i001'].member
    now = fleet.processes['i001'].read_clock(fleet.now)

    def make() -> Any:
        rows = tuple(
            tuple(_copy_text(f) if isinstance(f, str) else f for f in member)
            for member in published.members
        )
        copied_view = view.MembershipView(
            1, tuple(view.Member(*row) for row in rows)
        )
        node = fixtures.make_node(count, published_view=copied_view)
        receiver = node.synchronizer.membership
        pull = receiver.make_pull('i001', fixtures.START, {})
        reply = peer.answer_pull(pull, now, {})
        receiver.merge_reply(
            'i001', reply, fixtures.START, fixtures.START + MS
        )
        return node

    return make


def _fill_buckets(count: int) -> Callable[[], Any]:
    node = fixtures.start_holder({'c.toml': fixtures.list_customers(count)})
    now = fixtures.START + fixtures.LEASE_WAIT + 100 * MS

    def make() -> Any:
        for n in range(count):
            name = f'customer-{n:07}'
            request = messages.TakeTokens(name, 0, 1, f'{n:032x}')
            node.handle_message('i000', request, now)
        return node

    # The memory includes caches of holder look-ups, which are not part of a
    # bucket.
    return make


def _fill_idempotency_keys(count: int) -> Any:
    registry = idempotency.IdempotencyRegistry(datetime.timedelta(seconds=600))
    for n in range(count):
        registry.register(
            'customer-0000000', f'{n:064x}', f'{n:032x}', fixtures.START
        )
    if len(registry) != count:
        raise ValueError(len(registry))
    return registry


def _hold_pools(count: int, servers: int) -> Any:
    node = fixtures.make_node(1)
    documents = {'p.toml': fixtures.list_pools(count, servers)}
    node.load_subtrees(
        [fixtures.make_subtree('t', documents)], fixtures.START, fixtures.START
    )

    def make() -> Any:
        now = fixtures.START + fixtures.LEASE_WAIT
        for step in range(4):
            fixtures.run_due_work(node, now + step * 50 * MS)
        return node

    return make


def _measure(
    case: str,
    per: str,
    sizes: tuple[int, ...],
    prepare: Callable[[int], Callable[[], Any]],
) -> Iterable[results.Result]:
    points = {n: _measure_bytes(prepare(n)) for n in sizes}
    return fits.list_results(case, 'memory', 'bytes', per, points)


def _bind(make: Callable[..., Any], *parts: Any) -> Callable[[], Any]:
    return functools.partial(make, *parts)


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    document_sizes = (250, 500, 1000, 2000)
    cases: dict[str, tuple[str, tuple[int, ...], Any]] = {
        'memory_members': ('member', (4, 11, 22, 44, 100), _load_members),
        'memory_buckets': ('bucket', (100, 400, 1600), _fill_buckets),
        'memory_pools': (
            'pool',
            (10, 40, 160),
            lambda n: _hold_pools(n, 2),
        ),
        'memory_pool_servers': (
            'server',
            (20, 80, 320),
            lambda n: _hold_pools(10, n // 10),
        ),
        'memory_servers': (
            'server',
            document_sizes,
            lambda n: _bind(_load_documents, fixtures.list_pools(1, n)),
        ),
        'memory_customers': (
            'customer',
            document_sizes,
            lambda n: _bind(_load_documents, fixtures.list_customers(n)),
        ),
        'memory_customers_keys': (
            'customer with key',
            document_sizes,
            lambda n: _bind(
                _load_documents,
                fixtures.list_customers(n),
                fixtures.list_keys(n),
            ),
        ),
        'memory_routes': (
            'route',
            document_sizes,
            lambda n: _bind(_load_documents, fixtures.list_routes(n)),
        ),
        'memory_once': (
            'key',
            (1000, 4000, 16000),
            lambda n: _bind(_fill_idempotency_keys, n),
        ),
    }
    return {
        f'capacity/{case}': functools.partial(_measure, case, *parts)
        for case, parts in cases.items()
    }
