"""How budgets and pools map to resources that instances hold."""

import functools

from cranberryscale.process import budgets
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = ['POOL_KIND', 'list_shares', 'make_pool_resource']

POOL_KIND = 'pool'


@functools.lru_cache(maxsize=16384)
def _cut_shares(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
):
    return budgets.split_budget(customer, domains, floor_fraction)


@functools.lru_cache(maxsize=16384)
def make_pool_resource(service: str, domain: str) -> view.LeasedResource:
    """Return the resource that a pool's holder leases."""
    return view.LeasedResource(domain, POOL_KIND, service)


def list_shares(current: configuration.Configuration, customer: str):
    """Return the shares of a customer's budget, () if it is unknown.

    The failure domains come from the configuration and not from the list of
    instances, so that all instances cut budgets alike.
    """
    found = current.customers.get(customer)
    if found is None:
        return ()
    domains = tuple(sorted(current.domains))
    return _cut_shares(found, domains, current.floor_fraction)
