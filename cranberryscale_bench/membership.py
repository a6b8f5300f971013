"""Benchmark cases for gossip and leases.

They measure message sizes, heartbeat ages, CPU time and interruptions.
"""

from collections.abc import Callable
from collections.abc import Iterable
import statistics
import time
import timeit

from cranberryscale import messages
from cranberryscale.version import settings
from cranberryscale.version import view
from cranberryscale_bench import gossip_fleet
from cranberryscale_bench import interruptions
from cranberryscale_bench import results


__all__ = ['list_cases']

LEASE_SETTINGS = settings.LeaseSettings()
SEED = 1
MEMBERS = 44
# Estimated bytes of HTTP/2 frames, headers and signature of one call.
CALL_OVERHEAD_BYTES = 250
SENT_BOUND_BYTES_PER_S = 1536
# Percent of a core, for all control work of an instance.
CPU_BOUND_PERCENT = 1.2
LOOKUP_BOUND_US = 20
# At most 0.1% of the requests within their rate may be refused.
HELD_BOUND_RATIO = 0.999
# The suspicion timeout and the guarded lease time, then two rounds of the
# slowest gossip.
TAKEOVER_BOUND_S = LEASE_SETTINGS.suspect_s + LEASE_SETTINGS.lease_s * 1.01 + 4
WARM_UP_S = 20
SUBTREE_VERSIONS = {'entry': 17, 'guides': 4, 'bookings': 9, 'events': 21}


def _list_resources(count: int) -> tuple[view.LeasedResource, ...]:
    return tuple(
        view.LeasedResource(scope, 'budget', f'customer-{number}')
        for scope in ('', 'd0', 'd1', 'd2')
        for number in range(count)
    )


def _start_fleet(count: int, seed: int = SEED) -> gossip_fleet.GossipFleet:
    fleet = gossip_fleet.GossipFleet(
        gossip_fleet.make_view(count), seed, LEASE_SETTINGS
    )
    fleet.run(WARM_UP_S)
    return fleet


def measure_bytes() -> Iterable[results.Result]:
    """Yield encoded sizes and the bytes that one instance sends per second.

    The baseline of a reply is one that contains all identities.
    """
    for count in (4, 11, 22, 44):
        fleet = _start_fleet(count)
        sender, receiver = (fleet.processes[name] for name in ('i001', 'i002'))
        pull = sender.member.make_pull(
            'i002', sender.read_clock(fleet.now), SUBTREE_VERSIONS
        )
        now = receiver.read_clock(fleet.now)
        reply, full = (
            len(
                messages.encode(
                    receiver.member.answer_pull(each, now, SUBTREE_VERSIONS)
                )
            )
            for each in (pull, pull._replace(roster=0))
        )
        size = len(messages.encode(pull))
        calls_per_s = 1 / LEASE_SETTINGS.gossip_s
        sent, sent_full = (
            calls_per_s * (size + each + CALL_OVERHEAD_BYTES)
            for each in (reply, full)
        )
        case = f'gossip_bytes_{count}'
        yield results.Result(case, 'pull', size, None, None, 'bytes')
        yield results.Result(case, 'reply', reply, full, None, 'bytes')
        yield results.Result(
            case, 'sent', sent, sent_full, SENT_BOUND_BYTES_PER_S, 'bytes/s'
        )


def measure_freshness() -> Iterable[results.Result]:
    """Yield the distribution of heartbeat ages in a fleet without faults."""
    fleet = _start_fleet(MEMBERS)
    ages = []
    for _ in range(60):
        fleet.run(0.5)
        for process in fleet.processes.values():
            known = process.member.list_heartbeat_ages(
                process.read_clock(fleet.now)
            )
            ages.extend(age.total_seconds() for age in known.values())
    cuts = statistics.quantiles(ages, n=1000)
    case = 'gossip_age'
    yield results.Result(case, 'median', cuts[499], None, None, 's')
    yield results.Result(case, 'p99', cuts[989], None, None, 's')
    yield results.Result(case, 'p999', cuts[998], None, None, 's')
    yield results.Result(
        case, 'largest', max(ages), None, LEASE_SETTINGS.suspect_s, 's'
    )


def measure_holding() -> Iterable[results.Result]:
    """Yield the ratio of time with a holder in a fleet without faults."""
    fleet = _start_fleet(MEMBERS)
    resources = _list_resources(10)
    held = []
    for _ in range(240):
        fleet.run(0.25)
        held.extend(len(fleet.list_holders(each)) for each in resources)
    case = 'lease_without_faults'
    ratio = sum(count == 1 for count in held) / len(held)
    yield results.Result(case, 'held', ratio, None, HELD_BOUND_RATIO, 'ratio')
    yield results.Result(case, 'largest_holders', max(held), None, 1, 'count')


def measure_cpu() -> Iterable[results.Result]:
    """Yield the CPU time of gossip for one instance.

    It includes both sides of each pull and the cost of the simulation.
    """
    fleet = _start_fleet(MEMBERS)
    seconds = 20
    started_s = time.process_time()
    fleet.run(seconds)
    used_s = time.process_time() - started_s
    percent = 100 * used_s / seconds / MEMBERS
    yield results.Result(
        'gossip_cpu', 'core', percent, None, CPU_BOUND_PERCENT, 'percent'
    )


def measure_takeover() -> Iterable[results.Result]:
    """Yield the time from the loss of a holder to the lease of the next."""
    times = []
    for seed in range(8):
        fleet = _start_fleet(MEMBERS, seed)
        resource = _list_resources(1)[0]
        fleet.stop(fleet.list_holders(resource)[0])
        lost_at = fleet.now
        while not fleet.list_holders(resource) and fleet.now < lost_at + 60:
            fleet.run(0.1)
        times.append(fleet.now - lost_at)
    case = 'lost_holder'
    yield results.Result(
        case, 'median', statistics.median(times), None, None, 's'
    )
    yield results.Result(
        case, 'largest', max(times), None, TAKEOVER_BOUND_S, 's'
    )


def measure_interruptions() -> Iterable[results.Result]:
    """Yield the ratio of resources that each fault interrupts, and how long.

    A fault at one holder must not interrupt the resources of others.
    """
    for name in interruptions.FAULTS:
        found = interruptions.measure_fault(
            name, _start_fleet(MEMBERS), _list_resources(10)
        )
        ratio = found.interrupted / found.watched
        case = f'interruption_{name}'
        yield results.Result(case, 'interrupted', ratio, None, None, 'ratio')
        yield results.Result(case, 'longest', found.longest_s, None, None, 's')
        yield results.Result(
            case, 'largest_holders', found.largest_holders, None, 1, 'count'
        )


def measure_lookups() -> Iterable[results.Result]:
    """Yield the time of lease look-ups on the request path.

    The baseline evaluates all grants again.
    """
    fleet = _start_fleet(MEMBERS)
    resource = _list_resources(1)[0]
    holder = fleet.list_holders(resource)[0]
    table = holder.member.table
    now = holder.read_clock(fleet.now)

    def measure(action: Callable[[], object], count: int) -> float:
        return min(timeit.repeat(action, number=count)) / count * 1e6

    def renew() -> None:
        table.renew(now)
        table.find_lease(resource, now)

    find_lease_us = measure(lambda: table.find_lease(resource, now), 10000)
    find_holder_us = measure(lambda: table.find_holder(resource), 10000)
    recomputed_us = measure(renew, 500)
    case = f'lease_lookup_{MEMBERS}'
    yield results.Result(
        case, 'find_lease', find_lease_us, recomputed_us, LOOKUP_BOUND_US, 'us'
    )
    yield results.Result(
        case, 'find_holder', find_holder_us, None, LOOKUP_BOUND_US, 'us'
    )


def list_cases() -> dict[str, Callable[[], Iterable[results.Result]]]:
    """Return the cases by name."""
    return {
        'gossip_bytes': measure_bytes,
        'gossip_age': measure_freshness,
        'lease_without_faults': measure_holding,
        'gossip_cpu': measure_cpu,
        'lost_holder': measure_takeover,
        'lease_interruptions': measure_interruptions,
        'lease_lookup': measure_lookups,
    }
