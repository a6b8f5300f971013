"""Simulation of faults that leave resources without a holder."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from cranberryscale.version import view
from cranberryscale_bench import gossip_fleet


__all__ = ['FAULTS', 'InterruptionStats', 'measure_fault']

OBSERVATION_S = 45
STEP_S = 0.1


class InterruptionStats(NamedTuple):
    """Numbers of resources watched and interrupted, and for how long.

    `largest_holders` is the largest number of holders at the same time.
    """

    watched: int
    interrupted: int
    longest_s: float
    largest_holders: int


def _find_holder(fleet: gossip_fleet.GossipFleet) -> gossip_fleet.Process:
    return fleet.list_holders(view.LeasedResource('', 'budget', 'customer-0'))[
        0
    ]


def _lose_holder(fleet: gossip_fleet.GossipFleet) -> None:
    fleet.stop(_find_holder(fleet))


def _restart_holder(fleet: gossip_fleet.GossipFleet) -> None:
    holder = _find_holder(fleet)
    published = holder.member.table.view
    fleet.stop(holder)
    fleet.start(holder.name, published)


def _pause_holder(fleet: gossip_fleet.GossipFleet) -> None:
    fleet.pause(_find_holder(fleet), 30)


def _replace_ten(fleet: gossip_fleet.GossipFleet) -> None:
    count = len(fleet.processes)
    published = gossip_fleet.make_view(count, version=2, first=10)
    for member in gossip_fleet.make_view(10).members:
        fleet.stop(fleet.processes[member.name])
    for member in published.members[-10:]:
        fleet.start(member.name, published)
    fleet.publish(published)


def _lose_domain(fleet: gossip_fleet.GossipFleet) -> None:
    for process in tuple(fleet.processes.values()):
        listed = process.member.table.view.find_member(process.name)
        if listed.domain == 'd0':
            fleet.stop(process)


def _partition_domain(fleet: gossip_fleet.GossipFleet) -> None:
    published = gossip_fleet.make_view(len(fleet.processes))
    domain_members = frozenset(
        m.name for m in view.list_scope_members(published, 'd0')
    )
    fleet.partition(domain_members, published.names - domain_members)


def _publish_older_view(fleet: gossip_fleet.GossipFleet) -> None:
    count = len(fleet.processes)
    older_view = gossip_fleet.make_view(count - 4, version=0)
    fleet.publish(older_view, sorted(fleet.processes)[::4])


# Faults, with the scopes that they leave without members.
FAULTS: dict[
    str, tuple[Callable[[gossip_fleet.GossipFleet], None], frozenset[str]]
] = {
    'lose_holder': (_lose_holder, frozenset()),
    'restart_holder': (_restart_holder, frozenset()),
    'pause_holder_30_s': (_pause_holder, frozenset()),
    'replace_10': (_replace_ten, frozenset()),
    'lose_domain': (_lose_domain, frozenset(['d0'])),
    'cut_domain': (_partition_domain, frozenset()),
    'revert_list_on_a_quarter': (_publish_older_view, frozenset()),
}


def measure_fault(
    name: str,
    fleet: gossip_fleet.GossipFleet,
    resources: Iterable[view.LeasedResource],
) -> InterruptionStats:
    """Inject a fault now; return what it interrupts in OBSERVATION_S."""
    fault, lost_scopes = FAULTS[name]
    watched = [each for each in resources if each.scope not in lost_scopes]
    for resource in watched:
        fleet.list_holders(resource)
    fault(fleet)
    unheld_s = dict.fromkeys(watched, 0.0)
    longest_unheld_s = dict.fromkeys(watched, 0.0)
    max_holders = 0
    for _ in range(round(OBSERVATION_S / STEP_S)):
        fleet.run(STEP_S)
        for resource in watched:
            holders = len(fleet.list_holders(resource))
            max_holders = max(max_holders, holders)
            unheld_s[resource] = (
                0.0 if holders else unheld_s[resource] + STEP_S
            )
            longest_unheld_s[resource] = max(
                longest_unheld_s[resource], unheld_s[resource]
            )
    return InterruptionStats(
        len(watched),
        sum(seconds > 0 for seconds in longest_unheld_s.values()),
        max(longest_unheld_s.values()),
        max_holders,
    )
