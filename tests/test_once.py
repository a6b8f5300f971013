"""Guard the memory of idempotency keys against double runs."""

import random

import pytest

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import budgets
from cranberryscale.process import idempotency
from tests import test_budgets


seconds = test_budgets.seconds
LEASE = test_budgets.Lease(seconds(0), seconds(100))


def begin(memory, request_id='r1', now=1.0, key='k'):
    """Register a request for customer c."""
    return memory.register('c', key, request_id, seconds(now))


def test_repeat_is_recognized_until_expiry():
    """A repeated booking must be refused while the key is remembered."""
    memory = idempotency.IdempotencyRegistry(seconds(10))
    assert begin(memory) is idempotency.KeyState.STARTED
    assert begin(memory) is idempotency.KeyState.STARTED
    assert begin(memory, 'r2') is idempotency.KeyState.RUNNING
    memory.finish('c', 'k', 'r1', True, seconds(2))
    assert begin(memory, 'r2') is idempotency.KeyState.FINISHED
    assert begin(memory, 'r1') is idempotency.KeyState.FINISHED
    assert begin(memory, 'r2', 11) is idempotency.KeyState.STARTED
    assert len(memory) == 1


def test_request_that_did_not_run_may_be_repeated():
    """Only the request that holds the key may give it up."""
    memory = idempotency.IdempotencyRegistry(seconds(10))
    begin(memory)
    memory.finish('c', 'k', 'r2', False, seconds(2))
    assert begin(memory, 'r2') is idempotency.KeyState.RUNNING
    memory.finish('c', 'k', 'r1', False, seconds(2))
    assert begin(memory, 'r2') is idempotency.KeyState.STARTED


def test_full_memory_refuses_instead_of_forgetting():
    """Forgetting a key early would let its request run twice."""
    memory = idempotency.IdempotencyRegistry(seconds(10), limit=2)
    begin(memory, key='a')
    begin(memory, key='b')
    with pytest.raises(errors.RequestError) as caught:
        begin(memory, key='c', now=4)
    assert caught.value.code == 'budget_unavailable'
    assert caught.value.retry_after == seconds(7)
    assert begin(memory, 'r2', key='a') is idempotency.KeyState.RUNNING


def ask(memory, holder, request_id, lease=LEASE, now=50):
    """Send TakeTokens with a once key to share 0."""
    request = messages.TakeTokens('c', 0, 1, request_id, 'k')
    return idempotency.request_tokens_once(
        holder, memory, request, test_budgets.SHARE, lease, seconds(now)
    )


def test_duplicate_gets_no_token():
    """A repeat must be refused before it costs a token or runs."""
    memory = idempotency.IdempotencyRegistry(seconds(60))
    holder = test_budgets.make_holder()
    assert ask(memory, holder, 'r1').amount == 1
    assert ask(memory, holder, 'r2').code == 'duplicate_running'
    memory.finish('c', 'k', 'r1', True, seconds(51))
    assert ask(memory, holder, 'r2').code == 'duplicate_finished'


def test_key_is_registered_when_the_share_is_empty():
    """A token from another share must not bypass the memory."""
    memory = idempotency.IdempotencyRegistry(seconds(60))
    lease = test_budgets.Lease(seconds(50), seconds(100))
    holder = budgets.BudgetHolder(test_budgets.TERMS, random.Random(1))
    assert ask(memory, holder, 'r1', lease).amount == 0
    assert ask(memory, holder, 'r2', lease).code == 'duplicate_running'


def test_keys_are_dropped_with_the_lease():
    """Another holder may have served the key between two leases."""
    memory = idempotency.IdempotencyRegistry(seconds(60))
    holder = test_budgets.make_holder()
    ask(memory, holder, 'r1')
    assert ask(memory, holder, 'r2', None).code == 'not_holder'
    assert len(memory) == 0
