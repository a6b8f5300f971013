"""Tests of the connections of an instance to other instances."""

from concurrent import futures
import datetime

import pytest
import test_core

from cranberryscale import clock
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import metrics
from cranberryscale.request import actions
from cranberryscale.request import core_admission
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


def ask_server(driver, number, **fields):
    """Ask this instance, which is the holder, for a server."""
    message = test_core.make_ask_server(
        request_id=f'r{number}/0', remaining_s=600.0, target_s=1.0, **fields
    )
    return driver.call_instance('10.0.0.1:1', message, test_core.SECOND)


def finish_request(driver, permit_id):
    message = messages.FinishRequest(test_core.SHARD, permit_id, 'ok', 0.1)
    driver.call_instance('10.0.0.1:1', message, test_core.SECOND)


def test_queued_request_is_told_once_that_it_has_a_result():
    """Guards holders against waking all queued requests at each report."""
    driver = make_driver()
    permits = [ask_server(driver, n) for n in range(100)]
    granted = [reply for reply in permits if reply.server]
    assert len(granted) == 2
    first, second = len(granted), len(granted) + 1
    with (
        driver.follow_result(f'r{first}/0') as first_ready,
        driver.follow_result(f'r{second}/0') as second_ready,
    ):
        finish_request(driver, granted[0].permit_id)
        assert first_ready.is_set()
        assert not second_ready.is_set()
        assert ask_server(driver, first).server
        finish_request(driver, granted[-1].permit_id)
        assert second_ready.is_set()
    driver.close()


def test_requests_with_the_same_id_are_followed_side_by_side():
    driver = make_driver()
    with driver.follow_result('r/0'):
        with driver.follow_result('r/0') as later:
            driver._set_ready('r/0')
        assert later.is_set()
    driver.close()


class MessageCounter:
    """Counts the questions for a server at a driver."""

    def __init__(self, driver):
        self.asked = 0
        self._call = driver.call_instance
        driver.call_instance = self.call

    def call(self, target, message, timeout):
        self.asked += isinstance(message, messages.AskServer)
        return self._call(target, message, timeout)


def test_queued_request_asks_again_only_for_its_result():
    driver = make_driver()
    context = core_admission.CoreDecisionContext(driver.core, driver._clock)
    admission = core_admission.CoreAdmission(
        driver, context, driver._clock, metrics.Metrics()
    )
    replies = [ask_server(driver, n) for n in range(60)]
    granted = [reply.permit_id for reply in replies if reply.server]
    counter = MessageCounter(driver)
    action = actions.AskPermit('x', 'c', 600 * test_core.SECOND, (), True)
    with futures.ThreadPoolExecutor(1) as pool:
        result = pool.submit(admission.ask_permit, action, 'last')
        machines.FleetEnvironment.wait_for(lambda: counter.asked == 2, 5)
        for number in range(len(granted), len(replies)):
            finish_request(driver, granted.pop(0))
            granted.append(ask_server(driver, number).permit_id)
        finish_request(driver, granted.pop(0))
        assert result.result(5).server == 'i1'
        # Two for a place in a long queue, those of the others, and one to
        # collect the result.
        assert counter.asked == 2 + 58 + 1
    driver.close()
