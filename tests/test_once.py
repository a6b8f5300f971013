"""Guard against a repeat of a non-idempotent request that runs twice."""

import datetime
from typing import NamedTuple

import pytest

from cranberryscale.process import once


class Lease(NamedTuple):
    """Stand in for process.leases.Lease."""

    since: datetime.timedelta
    until: datetime.timedelta


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


LEASE = Lease(_at(0), _at(1000))
STARTED = once.Started()


def _begin(memory, request_id, now_s, lease=LEASE, key='k'):
    return memory.begin('c', key, request_id, lease, _at(now_s))


@pytest.mark.parametrize(
    ('ran', 'now_s', 'expected'),
    [
        (None, 1, once.Refused('duplicate_running')),
        (True, 1, once.Refused('duplicate_finished')),
        (True, 599, once.Refused('duplicate_finished')),
        (False, 1, STARTED),
        (True, 700, STARTED),
    ],
)
def test_repeats(ran, now_s, expected):
    """Whether a repeat may run depends on what became of the first."""
    memory = once.Once(_at(600))
    assert _begin(memory, 'r1', 0) == STARTED
    if ran is not None:
        memory.finish('c', 'k', 'r1', ran, _at(0.5))
    assert _begin(memory, 'r2', now_s) == expected


def test_the_same_request_may_ask_again():
    """A lost reply must not turn a request into its own duplicate."""
    memory = once.Once(_at(600))
    assert _begin(memory, 'r1', 0) == _begin(memory, 'r1', 1) == STARTED
    assert _begin(memory, 'r2', 2) == once.Refused('duplicate_running')


def test_a_late_end_of_another_request_changes_nothing():
    """A crossed or late FinishOnce must not free a running key."""
    memory = once.Once(_at(600))
    _begin(memory, 'r1', 0)
    memory.finish('c', 'k', 'r0', False, _at(1))
    assert _begin(memory, 'r2', 2) == once.Refused('duplicate_running')
    memory.finish('c', 'k', 'r1', True, _at(3))
    memory.finish('c', 'k', 'r1', False, _at(4))
    assert _begin(memory, 'r2', 5) == once.Refused('duplicate_finished')


def test_without_a_lease_nothing_starts():
    """A holder that lost its lease does not know the present keys."""
    memory = once.Once(_at(600))
    refused = once.Refused('budget_unavailable')
    assert _begin(memory, 'r1', 0, None) == refused
    assert _begin(memory, 'r1', 1001) == refused


def test_a_full_memory_refuses_instead_of_forgetting():
    """Forgetting a key under load would let its request run twice."""
    memory = once.Once(_at(600), limit=2)
    for key in 'ab':
        assert _begin(memory, 'r', 0, key=key) == STARTED
    refused = once.Refused('budget_unavailable')
    assert _begin(memory, 'r', 1, key='c') == refused
    memory.drop_expired(_at(601))
    assert _begin(memory, 'r', 601, key='c') == STARTED
