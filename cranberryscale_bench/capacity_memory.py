"""Memory of the state that an instance keeps, by tracemalloc."""

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
from cranberryscale_bench import capacity_model as model
from cranberryscale_bench import capacity_slopes as slopes
from cranberryscale_bench import gossip_fleet
from cranberryscale_bench import results


__all__ = ['list_cases']

MS = datetime.timedelta(milliseconds=1)


def _measure_bytes(make: Callable[[], Any]) -> float:
    """Return the bytes that are still in use while the result is kept."""
    gc.collect()
    tracemalloc.start()
    try:
        kept = make()
        gc.collect()
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del kept
    return used


def _copy_text(text: str) -> str:
    # A text as it arrives: its bytes belong to this instance alone.
    return text.encode().decode()


def _load(*texts: str) -> tuple[Any, ...]:
    accepted = tree.ConfigurationTree()
    documents = {f'd{n}.toml': _copy_text(t) for n, t in enumerate(texts)}
    outcomes = accepted.apply_subtrees([model.make_offer('t', documents)])
    if not isinstance(outcomes[0], tree.SubtreeAcceptance):
        raise ValueError(outcomes)
    current = accepted.configuration
    book = routes.RouteTable()
    if current.routes:
        book.find_route(current, '', '/a/0', 'GET')
    return accepted, keys.KeyIndex(current.keys), book


def _load_members(count: int) -> Any:
    published = gossip_fleet.make_view(count)
    fleet = gossip_fleet.Fleet(published, 1, settings.LeaseSettings())
    fleet.run(10)
    teller = fleet.processes['i001'].member
    now = fleet.processes['i001'].read_clock(fleet.now)

    def make() -> Any:
        rows = tuple(
            tuple(_copy_text(f) if isinstance(f, str) else f for f in member)
            for member in published.members
        )
        listed = view.MembershipView(
            1, tuple(view.Member(*row) for row in rows)
        )
        node = model.make_node(count, listed=listed)
        members = node.synchronizer.membership
        pull = members.make_pull('i001', model.START, {})
        reply = teller.answer_pull(pull, now, {})
        members.merge_reply('i001', reply, model.START, model.START + MS)
        return node

    return make


def _fill_buckets(count: int) -> Callable[[], Any]:
    node = model.start_holder({'c.toml': model.list_customers(count)})
    now = model.START + model.LEASE_WAIT + 100 * MS

    def make() -> Any:
        for n in range(count):
            name = f'customer-{n:07}'
            asked = messages.TakeTokens(name, 0, 1, f'{n:032x}')
            node.handle_message('i000', asked, now)
        return node

    # Look-ups fill caches of the placement that are not part of a bucket.
    return make


def _fill_once(count: int) -> Any:
    memory = idempotency.IdempotencyRegistry(datetime.timedelta(seconds=600))
    for n in range(count):
        memory.register(
            'customer-0000000', f'{n:064x}', f'{n:032x}', model.START
        )
    if len(memory) != count:
        raise ValueError(len(memory))
    return memory


def _hold_pools(count: int, servers: int) -> Any:
    node = model.make_node(1)
    documents = {'p.toml': model.list_pools(count, servers)}
    node.load_subtrees(
        [model.make_offer('t', documents)], model.START, model.START
    )

    def make() -> Any:
        now = model.START + model.LEASE_WAIT
        for step in range(4):
            model.drive(node, now + step * 50 * MS)
        return node

    return make


def _measure(
    case: str,
    per: str,
    sizes: tuple[int, ...],
    prepare: Callable[[int], Callable[[], Any]],
) -> Iterable[results.Result]:
    points = {n: _measure_bytes(prepare(n)) for n in sizes}
    return slopes.list_results(case, 'memory', 'bytes', per, points)


def _bind(make: Callable[..., Any], *parts: Any) -> Callable[[], Any]:
    return functools.partial(make, *parts)


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the measurements by name."""
    documents = (250, 500, 1000, 2000)
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
            documents,
            lambda n: _bind(_load, model.list_pools(1, n)),
        ),
        'memory_customers': (
            'customer',
            documents,
            lambda n: _bind(_load, model.list_customers(n)),
        ),
        'memory_customers_keys': (
            'customer with key',
            documents,
            lambda n: _bind(
                _load, model.list_customers(n), model.list_keys(n)
            ),
        ),
        'memory_routes': (
            'route',
            documents,
            lambda n: _bind(_load, model.list_routes(n)),
        ),
        'memory_once': (
            'key',
            (1000, 4000, 16000),
            lambda n: _bind(_fill_once, n),
        ),
    }
    return {
        f'capacity/{case}': functools.partial(_measure, case, *parts)
        for case, parts in cases.items()
    }
