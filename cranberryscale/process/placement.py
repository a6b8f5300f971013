"""Mapping of budgets and pools to the resources that instances lease."""

import functools

from cranberryscale.process import budgets
from cranberryscale.version import configuration
from cranberryscale.version import view


__all__ = ['POOL_KIND', 'list_shares', 'make_pool_resource']

POOL_KIND = 'pool'


@functools.lru_cache(maxsize=16384)
def _split_budget(
    customer: configuration.Customer,
    domains: tuple[str, ...],
    floor_fraction: float,
):
    return budgets.split_budget(customer, domains, floor_fraction)


@functools.lru_cache(maxsize=16384)
def make_pool_resource(service: str, domain: str) -> view.LeasedResource:
    """Return the resource that the holder of a pool leases."""
    return view.LeasedResource(domain, POOL_KIND, service)


def list_shares(current: configuration.Configuration, customer: str):
    """Return the shares of a customer's budget, () if it is unknown.

    The failure domains come from the configuration and not from the instance
    list, so that all instances divide a budget alike.
    """
    found = current.customers.get(customer)
    if found is None:
        return ()
    domains = tuple(sorted(current.domains))
    return _split_budget(found, domains, current.floor_fraction)
