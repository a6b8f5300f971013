"""Benchmark cases for CPU time and message sizes, by size of the fleet.

They run the production code without sockets. Every time includes the encoding
and decoding of messages, since these go to other processes. Times are the
minimum of several repeats if not stated otherwise.
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
    """Return the cost of one gossip pull and of lease look-ups."""
    fleet = gossip_fleet.GossipFleet(
        gossip_fleet.make_view(count), 1, settings.LeaseSettings()
    )
    fleet.run(WARM_UP_S)
    puller, responder = (fleet.processes[name] for name in ('i001', 'i002'))
    now, responder_now = (
        instance.read_clock(fleet.now) for instance in (puller, responder)
    )

    def pull() -> bytes:
        return messages.encode(puller.member.make_pull('i002', now, SUBTREES))

    def answer(body: bytes) -> bytes:
        request = messages.decode(body)
        return messages.encode(
            responder.member.answer_pull(request, responder_now, SUBTREES)
        )

    pull_body = pull()
    reply_body = answer(pull_body)

    resource = view.LeasedResource('', 'budget', 'customer-0/0')
    holder = fleet.list_holders(resource)[0]
    table, held_at = holder.member.table, holder.read_clock(fleet.now)
    return {
        'pull_us': fits.measure_us(pull),
        'answer_us': fits.measure_us(lambda: answer(pull_body)),
        'merge_us': _measure_merge(fleet, puller, responder),
        'pull_bytes': len(pull_body),
        'reply_bytes': len(reply_body),
        'find_lease_us': fits.measure_us(
            lambda: table.find_lease(resource, held_at), 5000
        ),
        'find_holder_us': fits.measure_us(
            lambda: table.find_holder(resource), 5000
        ),
        'first_find_holder_us': _measure_first_find_holder(table),
    }


def _measure_merge(fleet: Any, puller: Any, responder: Any) -> float:
    """Return the median CPU time in us of merging a reply with new ages."""
    times = []
    for _ in range(MERGE_REPEATS):
        now, responder_now = (
            instance.read_clock(fleet.now) for instance in (puller, responder)
        )
        pull = puller.member.make_pull('i002', now, SUBTREES)
        reply = responder.member.answer_pull(pull, responder_now, SUBTREES)
        body = messages.encode(reply)
        started_s = time.process_time()
        puller.member.merge_reply('i002', messages.decode(body), now, now)
        times.append(time.process_time() - started_s)
        fleet.run(settings.LeaseSettings().gossip_s)
    return statistics.median(times) * 1e6


def _measure_first_find_holder(table: Any) -> float:
    numbers = itertools.count()

    def find() -> None:
        name = f'customer-{next(numbers)}/0'
        table.find_holder(view.LeasedResource('', 'budget', name))

    return fits.measure_us(find)


def _load_two_instances(count: int, subtree: Any) -> tuple[Any, Any]:
    """Return two instances of a fleet with configuration, without leases."""
    nodes = [fixtures.make_node(count, name) for name in ('i000', 'i001')]
    for instance in nodes:
        instance.load_subtrees([subtree], fixtures.START, fixtures.START)
        instance.advance(fixtures.START)
    return nodes[0], nodes[1]


def _measure_member(count: int) -> dict[str, float]:
    """Return the cost of a confirmation, an address look-up and `advance`."""
    documents = {
        'c.toml': fixtures.list_customers(8),
        'p.toml': fixtures.list_pools(3, 14),
    }
    puller, responder = _load_two_instances(
        count, fixtures.make_subtree('t', documents)
    )
    now = fixtures.START
    digest = puller.synchronizer.tree.versions_digest
    pull = messages.encode(messages.ConfirmationPull(digest, 5))
    reply = messages.encode(
        responder.handle_message('i000', messages.decode(pull), now)
    )

    def confirm() -> None:
        plan = puller.synchronizer._plan_confirmation('i001', now)
        body = messages.encode(next(plan).message)
        answer = responder.handle_message('i000', messages.decode(body), now)
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
            lambda: puller.choose_addresses('customer-0000000', 's0', now), 200
        ),
        'advance_us': fits.measure_us(lambda: puller.advance(now), 200),
    }


def _measure_change_members(count: int) -> dict[str, float]:
    """Return the CPU time of a change of one document, by fleet size."""
    documents = {
        'c.toml': fixtures.list_customers(8),
        'p.toml': fixtures.list_pools(3, 14),
    }
    puller, _ = _load_two_instances(
        count, fixtures.make_subtree('t', documents)
    )
    versions = itertools.count(2)
    times = []
    for _ in range(fits.REPEATS):
        version = next(versions)
        documents['c.toml'] = fixtures.list_customers(8) + f'# {version}\n'
        subtree = fixtures.make_subtree('t', documents, version)
        started_s = time.process_time()
        puller.load_subtrees([subtree], fixtures.START, fixtures.START)
        puller.advance(fixtures.START)
        times.append(time.process_time() - started_s)
    return {'change_us': min(times) * 1e6}


def _make_customer_subtrees(total: int) -> list[Any]:
    """Return subtrees with customers and their keys, 500 customers each."""
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
    """Return the cost of a change of 50 customers, by number of customers."""
    source, target = tree.ConfigurationTree(), tree.ConfigurationTree()
    published_subtrees = _make_customer_subtrees(total)
    started_s = time.process_time()
    source.apply_subtrees(published_subtrees)
    load_duration_s = time.process_time() - started_s
    all_records = source.make_records({})
    started_s = time.process_time()
    target.apply_records(all_records)
    load_duration_s = min(load_duration_s, time.process_time() - started_s)
    times, size_bytes = [], 0
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
        started_s = time.process_time()
        outcomes = target.apply_records(messages.decode(body).subtrees)
        times.append(time.process_time() - started_s)
        size_bytes = len(body)
        if not isinstance(outcomes[0], tree.SubtreeAcceptance):
            raise ValueError(outcomes)
    return {
        'change_us': min(times) * 1e6,
        'change_bytes': size_bytes,
        'first_load_us': load_duration_s * 1e6,
        'first_load_bytes': len(
            messages.encode(messages.SubtreesReply(all_records))
        ),
    }


def _measure_change_document(count: int) -> dict[str, float]:
    """Return the cost of a change, by size of the changed document."""
    target, times, size_bytes = tree.ConfigurationTree(), [], 0
    for version in range(1, fits.REPEATS + 1):
        text = fixtures.list_customers(count) + f'# {version}\n'
        subtree = fixtures.make_subtree('t', {'c.toml': text}, version)
        record = messages.SubtreeRecord('t', version, 0, subtree.documents)
        body = messages.encode(messages.SubtreesReply((record,)))
        started_s = time.process_time()
        target.apply_records(messages.decode(body).subtrees)
        times.append(time.process_time() - started_s)
        size_bytes = len(body)
    return {'change_us': min(times) * 1e6, 'change_bytes': size_bytes}


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
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
