"""Which instances a caller should use.

No balancer stands in front of the fleet, so the answer itself spreads the
load: over failure domains, and within each over the instances that rank
highest for the customer or service, the less loaded ones first.
"""

from collections.abc import Mapping
import itertools
import random
from typing import Iterable
from typing import NamedTuple

from cranberryscale.version import view


__all__ = ['DiscoveryAnswer', 'choose_addresses', 'count_addresses']

KIND = 'caller'
LEAST_ADDRESSES = 3
MOST_ADDRESSES = 12
# One instance serves some hundred requests a second; an address for each
# hundred leaves room for the loss of some.
RATE_PER_ADDRESS = 100.0
LOAD_STEPS = 4


class DiscoveryAnswer(NamedTuple):
    """Answer a caller; keep the addresses for `lifetime_s` at most."""

    addresses: tuple[str, ...]
    lifetime_s: float
    version: int


def count_addresses(rate_per_s: float) -> int:
    """Return how many addresses a customer of this rate gets."""
    wanted = int(rate_per_s // RATE_PER_ADDRESS) + LEAST_ADDRESSES
    return min(wanted, MOST_ADDRESSES)


def _rank(
    members: Iterable[view.Member],
    subject: str,
    loads: Mapping[str, float],
    near: frozenset[str],
) -> list[view.Member]:
    resource = view.LeasedResource('', KIND, subject)
    return sorted(
        members,
        key=lambda member: (
            int(loads.get(member.name, 0.0) * LOAD_STEPS),
            member.name not in near,
            view.score_member(member.name, resource),
        ),
    )


def choose_addresses(
    listed: view.MembershipView,
    usable: frozenset[str],
    subject: str,
    count: int,
    loads: Mapping[str, float],
    near: frozenset[str],
    rng: random.Random,
) -> tuple[str, ...]:
    """Return callers' addresses, one failure domain after another.

    `usable` names the members that serve; leaving ones are left out.
    `near` names those that hold the customer's budget: a request there
    saves a hop. Which failure domain comes first is drawn for each answer,
    so that callers that use the first address only spread as well.
    """
    serving = [
        member
        for member in listed.members
        if member.name in usable and not member.leaving
    ]
    domains = sorted({member.domain for member in serving})
    rng.shuffle(domains)
    ranked = (
        _rank((m for m in serving if m.domain == d), subject, loads, near)
        for d in domains
    )
    rounds = itertools.zip_longest(*ranked)
    chosen = (m for each in rounds for m in each if m is not None)
    return tuple(m.caller_address for m in itertools.islice(chosen, count))
