"""Choice of the instances that a caller should use.

There is no load balancer in front of the fleet, so the answer to a caller
spreads the load itself: over the failure domains, and within each over its
instances, less loaded ones first. Among equally loaded ones, the order is a
rendezvous hash of the customer or service.
"""

from collections.abc import Mapping
import itertools
import random
from typing import Iterable
from typing import NamedTuple

from cranberryscale.version import view


__all__ = ['DiscoveryAnswer', 'choose_addresses', 'count_addresses']

RESOURCE_KIND = 'caller'
MIN_ADDRESSES = 3
MAX_ADDRESSES = 12
# One instance serves several hundred requests a second; one address per
# hundred leaves room for the loss of some instances.
RATE_PER_ADDRESS = 100.0
# Loads within the same step of 1 / LOAD_STEPS count as equal.
LOAD_STEPS = 4


class DiscoveryAnswer(NamedTuple):
    """Answer to a caller; the addresses are valid for `lifetime_s`."""

    addresses: tuple[str, ...]
    lifetime_s: float
    version: int


def count_addresses(rate_per_s: float) -> int:
    """Return how many addresses a customer with this rate gets."""
    wanted = int(rate_per_s // RATE_PER_ADDRESS) + MIN_ADDRESSES
    return min(wanted, MAX_ADDRESSES)


def _rank(
    members: Iterable[view.Member],
    subject: str,
    loads: Mapping[str, float],
    preferred: frozenset[str],
) -> list[view.Member]:
    resource = view.LeasedResource('', RESOURCE_KIND, subject)
    return sorted(
        members,
        key=lambda member: (
            int(loads.get(member.name, 0.0) * LOAD_STEPS),
            member.name not in preferred,
            view.score_member(member.name, resource),
        ),
    )


def choose_addresses(
    listed: view.MembershipView,
    usable: frozenset[str],
    subject: str,
    count: int,
    loads: Mapping[str, float],
    preferred: frozenset[str],
    rng: random.Random,
) -> tuple[str, ...]:
    """Return addresses for callers, alternating between failure domains.

    `usable` names the members that serve; leaving ones are left out.
    `preferred` names the holders of the customer's budget: a request sent
    there saves a call between instances. The first failure domain is drawn at
    random for each answer, so that load is spread even if callers use the
    first address only.
    """
    serving = [
        member
        for member in listed.members
        if member.name in usable and not member.leaving
    ]
    domains = sorted({member.domain for member in serving})
    rng.shuffle(domains)
    ranked = (
        _rank((m for m in serving if m.domain == d), subject, loads, preferred)
        for d in domains
    )
    rounds = itertools.zip_longest(*ranked)
    chosen = (m for each in rounds for m in each if m is not None)
    return tuple(m.caller_address for m in itertools.islice(chosen, count))
