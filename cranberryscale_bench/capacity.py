"""Processor time and bytes of an instance's work, as slopes.

The objects are the real ones and no sockets are used. Every time includes
the encoding and decoding of messages, since each crosses a process. Points
are the least of several repeats.
"""

from collections.abc import Callable
from collections.abc import Iterable
import functools
import itertools
import statistics
import time
from typing import Any

from cranberryscale import messages
from cranberryscale.process import calls
from cranberryscale.version import settings
from cranberryscale.version import tree
from cranberryscale.version import view
from cranberryscale_bench import capacity_fits as fits
from cranberryscale_bench import capacity_fixtures as fixtures
from cranberryscale_bench import gossip_fleet
from cranberryscale_bench import results


__all__ = ['list_cases']

MEMBERS = (4, 11, 22, 44, 100)
WARM_UP_S = 20
SUBTREES = {'accounts': 17, 'guides': 4, 'bookings': 9, 'events': 21}
CHANGED_CUSTOMERS = 50
MERGE_REPEATS = 21


def _measure_gossip(count: int) -> dict[str, float]:
    """Return the cost of a pull of one member from another."""
    fleet = gossip_fleet.GossipFleet(
        gossip_fleet.make_view(count), 1, settings.LeaseSettings()
    )
    fleet.run(WARM_UP_S)
    one, other = (fleet.processes[name] for name in ('i001', 'i002'))
    now, then = (each.read_clock(fleet.now) for each in (one, other))

    def pull() -> bytes:
        return messages.encode(one.member.make_pull('i002', now, SUBTREES))

    def answer(body: bytes) -> bytes:
        asked = messages.decode(body)
        return messages.encode(other.member.answer_pull(asked, then, SUBTREES))

    asked = pull()
    reply = answer(asked)

    resource = view.LeasedResource('', 'budget', 'customer-0/0')
    holder = fleet.list_holders(resource)[0]
    table, held_at = holder.member.table, holder.read_clock(fleet.now)
    return {
        'pull_us': fits.measure_us(pull),
        'answer_us': fits.measure_us(lambda: answer(asked)),
        'merge_us': _measure_merge(fleet, one, other),
        'pull_bytes': len(asked),
        'reply_bytes': len(reply),
        'find_lease_us': fits.measure_us(
            lambda: table.find_lease(resource, held_at), 5000
        ),
        'find_holder_us': fits.measure_us(
            lambda: table.find_holder(resource), 5000
        ),
        'first_find_holder_us': _measure_first_find_holder(table),
    }


def _measure_merge(fleet: Any, one: Any, other: Any) -> float:
    """Return the cost of merging a reply with fresh ages, the median."""
    times = []
    for _ in range(MERGE_REPEATS):
        now, then = (each.read_clock(fleet.now) for each in (one, other))
        pull = one.member.make_pull('i002', now, SUBTREES)
        reply = other.member.answer_pull(pull, then, SUBTREES)
        body = messages.encode(reply)
        began = time.process_time()
        one.member.merge_reply('i002', messages.decode(body), now, now)
        times.append(time.process_time() - began)
        fleet.run(settings.LeaseSettings().gossip_s)
    return statistics.median(times) * 1e6


def _measure_first_find_holder(table: Any) -> float:
    numbers = itertools.count()

    def find() -> None:
        name = f'customer-{next(numbers)}/0'
        table.find_holder(view.LeasedResource('', 'budget', name))

    return fits.measure_us(find)


def _load_two_instances(count: int, subtree: Any) -> tuple[Any, Any]:
    """Return two loaded instances of a fleet, neither with a lease."""
    nodes = [fixtures.make_node(count, name) for name in ('i000', 'i001')]
    for each in nodes:
        each.load_subtrees([subtree], fixtures.START, fixtures.START)
        each.advance(fixtures.START)
    return nodes[0], nodes[1]


def _measure_member(count: int) -> dict[str, float]:
    """Return the cost of a confirmation, of directions and of a turn."""
    documents = {
        'c.toml': fixtures.list_customers(8),
        'p.toml': fixtures.list_pools(3, 14),
    }
    one, other = _load_two_instances(
        count, fixtures.make_subtree('t', documents)
    )
    now = fixtures.START
    digest = one.synchronizer.tree.versions_digest
    pull = messages.encode(messages.ConfirmationPull(digest, 5))
    reply = messages.encode(
        other.handle_message('i000', messages.decode(pull), now)
    )

    def confirm() -> None:
        plan = one.synchronizer._plan_confirmation('i001', now)
        body = messages.encode(next(plan).message)
        answer = other.handle_message('i000', messages.decode(body), now)
        answered = messages.decode(messages.encode(answer))
        try:
            plan.send(calls.CallResult(answered, now, now))
        except StopIteration:
            return

    return {
        'confirmation_us': fits.measure_us(confirm, 200),
        'confirmation_pull_bytes': len(pull),
        'confirmation_reply_bytes': len(reply),
        'which_us': fits.measure_us(
            lambda: one.choose_addresses('customer-0000000', 's0', now), 200
        ),
        'advance_us': fits.measure_us(lambda: one.advance(now), 200),
    }


def _measure_change_members(count: int) -> dict[str, float]:
    """Return the cost of a change of one document at a small user."""
    parts = {
        'c.toml': fixtures.list_customers(8),
        'p.toml': fixtures.list_pools(3, 14),
    }
    one, _ = _load_two_instances(count, fixtures.make_subtree('t', parts))
    versions = itertools.count(2)
    times = []
    for _ in range(fits.REPEATS):
        version = next(versions)
        parts['c.toml'] = fixtures.list_customers(8) + f'# {version}\n'
        subtree = fixtures.make_subtree('t', parts, version)
        began = time.process_time()
        one.load_subtrees([subtree], fixtures.START, fixtures.START)
        one.advance(fixtures.START)
        times.append(time.process_time() - began)
    return {'change_us': min(times) * 1e6}


def _make_customer_subtrees(total: int) -> list[Any]:
    """Return subtrees of customers and keys, 500 customers each."""
    return [
        fixtures.make_subtree(
            f't{first}',
            {
                'c.toml': fixtures.list_customers(500, first),
                'k.toml': fixtures.list_keys(500, first),
            },
        )
        for first in range(0, total, 500)
    ]


def _measure_change_total(total: int) -> dict[str, float]:
    """Return the cost of a change of 50 customers beside many others."""
    source, target = tree.ConfigurationTree(), tree.ConfigurationTree()
    published_subtrees = _make_customer_subtrees(total)
    began = time.process_time()
    source.apply_subtrees(published_subtrees)
    loaded_s = time.process_time() - began
    all_records = source.make_records({})
    began = time.process_time()
    target.apply_records(all_records)
    loaded_s = min(loaded_s, time.process_time() - began)
    times, size = [], 0
    for version in range(1, fits.REPEATS + 1):
        text = (
            fixtures.list_customers(CHANGED_CUSTOMERS, 10**6)
            + f'# {version}\n'
        )
        source.apply_subtrees(
            [fixtures.make_subtree('z', {'c.toml': text}, version)]
        )
        records = source.make_records(target.versions)
        body = messages.encode(messages.SubtreesReply(records))
        began = time.process_time()
        outcomes = target.apply_records(messages.decode(body).subtrees)
        times.append(time.process_time() - began)
        size = len(body)
        if not isinstance(outcomes[0], tree.SubtreeAcceptance):
            raise ValueError(outcomes)
    return {
        'change_us': min(times) * 1e6,
        'change_bytes': size,
        'first_load_us': loaded_s * 1e6,
        'first_load_bytes': len(
            messages.encode(messages.SubtreesReply(all_records))
        ),
    }


def _measure_change_document(count: int) -> dict[str, float]:
    """Return the cost of a change by the size of the changed document."""
    target, times, size = tree.ConfigurationTree(), [], 0
    for version in range(1, fits.REPEATS + 1):
        text = fixtures.list_customers(count) + f'# {version}\n'
        subtree = fixtures.make_subtree('t', {'c.toml': text}, version)
        record = messages.SubtreeRecord('t', version, 0, subtree.documents)
        body = messages.encode(messages.SubtreesReply((record,)))
        began = time.process_time()
        target.apply_records(messages.decode(body).subtrees)
        times.append(time.process_time() - began)
        size = len(body)
    return {'change_us': min(times) * 1e6, 'change_bytes': size}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the measurements by name."""
    customer_counts = (4000, 16000, 32000)
    cases: dict[str, tuple[str, tuple[int, ...], Any]] = {
        'gossip': ('member', MEMBERS, _measure_gossip),
        'member': ('member', MEMBERS, _measure_member),
        'change_members': ('member', MEMBERS, _measure_change_members),
        'change_total': ('customer', customer_counts, _measure_change_total),
        'change_document': (
            'customer',
            (50, 200, 800),
            _measure_change_document,
        ),
    }
    return {
        f'capacity/{case}': functools.partial(fits.measure_sizes, case, *parts)
        for case, parts in cases.items()
    }
