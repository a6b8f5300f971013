"""Tests of the connections of an instance to other instances."""

import datetime

import pytest
import test_core

from cranberryscale import clock
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import messages
from standins import machines


WALL = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# A port without a listener.
GONE = '127.0.0.1:9'
SEED = '127.0.0.1:10'


def make_driver(*seeds):
    return core_driver.CoreDriver(
        test_core.make_core(seeds=seeds),
        clock.ManualClock(WALL, test_core.START),
        store=None,
    )


def test_instance_that_does_not_answer_is_soon_known_to_be_down():
    """Guards a lost holder's callers against waiting for the next check.

    Without a request to the instance, a check may take 0.7 s to begin, and
    until the instance is known to be down nobody takes its place.
    """
    driver = make_driver()
    record = test_core.make_core(2).roster.own_record._replace(name=GONE)
    other = record._replace(name=SEED)
    driver.core.roster.merge([record, other], test_core.START)
    # Otherwise this instance may itself be cut off.
    driver.core.roster.record_contact(SEED, 2 * test_core.START)
    with pytest.raises(errors.PeerError):
        driver.call_instance(GONE, messages.AskQuota('c'), test_core.SECOND)
    machines.FleetEnvironment.wait_for(
        lambda: record not in driver.core.roster.list_up(), 2
    )
    driver.close()


def test_channels_to_instances_outside_the_roster_are_closed():
    """Channels would pile up, since each restart uses new ports."""
    driver = make_driver(SEED)
    for address in (GONE, SEED):
        with pytest.raises(errors.PeerError):
            driver.call_instance(
                address, messages.AskQuota('c'), test_core.SECOND
            )
    assert driver.client.addresses == {GONE, SEED}
    driver.close_unknown_peers()
    assert driver.client.addresses == {SEED}
    driver.close()
