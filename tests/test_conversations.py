"""Tests of the connections of an instance to other instances."""

import datetime

import pytest
import test_core

from cranberryscale import clock
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import messages


WALL = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
# A port without a listener.
GONE = '127.0.0.1:9'
SEED = '127.0.0.1:10'


def test_channels_to_instances_outside_the_roster_are_closed():
    """Channels would pile up, since each restart uses new ports."""
    driver = core_driver.CoreDriver(
        test_core.make_core(seeds=(SEED,)),
        clock.ManualClock(WALL, test_core.START),
        store=None,
    )
    for address in (GONE, SEED):
        with pytest.raises(errors.PeerError):
            driver.call_instance(
                address, messages.AskQuota('c'), test_core.SECOND
            )
    assert driver.client.addresses == {GONE, SEED}
    driver.close_unknown_peers()
    assert driver.client.addresses == {SEED}
    driver.close()
