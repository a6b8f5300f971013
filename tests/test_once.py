"""Tests of the registry of idempotency keys, which prevents double runs."""

import random

import pytest

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import idempotency
from tests import test_budgets


seconds = test_budgets.seconds
LEASE = test_budgets.Lease(seconds(0), seconds(100))


def register_key(registry, request_id='r1', now=1.0, key='k'):
    """Register a request for customer c."""
    return registry.register('c', key, request_id, seconds(now))


def test_repeat_is_recognized_until_expiry():
    """A repeated request must be refused until its key expires."""
    registry = idempotency.IdempotencyRegistry(seconds(10))
    assert register_key(registry) is idempotency.KeyState.STARTED
    assert register_key(registry) is idempotency.KeyState.STARTED
    assert register_key(registry, 'r2') is idempotency.KeyState.RUNNING
    registry.finish('c', 'k', 'r1', True, seconds(2))
    assert register_key(registry, 'r2') is idempotency.KeyState.FINISHED
    assert register_key(registry, 'r1') is idempotency.KeyState.FINISHED
    assert register_key(registry, 'r2', 11) is idempotency.KeyState.STARTED
    assert len(registry) == 1


def test_request_that_did_not_run_may_be_repeated():
    """Only the request that registered the key may free it."""
    registry = idempotency.IdempotencyRegistry(seconds(10))
    register_key(registry)
    registry.finish('c', 'k', 'r2', False, seconds(2))
    assert register_key(registry, 'r2') is idempotency.KeyState.RUNNING
    registry.finish('c', 'k', 'r1', False, seconds(2))
    assert register_key(registry, 'r2') is idempotency.KeyState.STARTED


def test_full_registry_refuses_new_keys():
    """Removing a key early would let its request run twice."""
    registry = idempotency.IdempotencyRegistry(seconds(10), limit=2)
    register_key(registry, key='a')
    register_key(registry, key='b')
    with pytest.raises(errors.RequestError) as caught:
        register_key(registry, key='c', now=4)
    assert caught.value.code == 'budget_unavailable'
    assert caught.value.retry_after == seconds(7)
    assert (
        register_key(registry, 'r2', key='a') is idempotency.KeyState.RUNNING
    )


def request_tokens(registry, holder, request_id, lease=LEASE, now=50):
    """Send TakeTokens with a once key to share 0."""
    request = messages.TakeTokens('c', 0, 1, request_id, 'k')
    return idempotency.request_tokens_once(
        holder, registry, request, test_budgets.SHARE, lease, seconds(now)
    )


def test_duplicate_gets_no_token():
    """A duplicate must be refused before it costs a token or runs."""
    registry = idempotency.IdempotencyRegistry(seconds(60))
    holder = test_budgets.make_holder()
    assert request_tokens(registry, holder, 'r1').amount == 1
    assert request_tokens(registry, holder, 'r2').code == 'duplicate_running'
    registry.finish('c', 'k', 'r1', True, seconds(51))
    assert request_tokens(registry, holder, 'r2').code == 'duplicate_finished'


def test_key_is_registered_when_the_share_is_empty():
    """A token from another share must not bypass the registry."""
    registry = idempotency.IdempotencyRegistry(seconds(60))
    lease = test_budgets.Lease(seconds(50), seconds(100))
    holder = budgets.BudgetHolder(test_budgets.TERMS, random.Random(1))
    assert request_tokens(registry, holder, 'r1', lease).amount == 0
    assert (
        request_tokens(registry, holder, 'r2', lease).code
        == 'duplicate_running'
    )


def test_keys_are_dropped_with_the_lease():
    """Another holder may have served the key between two leases."""
    registry = idempotency.IdempotencyRegistry(seconds(60))
    holder = test_budgets.make_holder()
    request_tokens(registry, holder, 'r1')
    assert request_tokens(registry, holder, 'r2', None).code == 'not_holder'
    assert len(registry) == 0
