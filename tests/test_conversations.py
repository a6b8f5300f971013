"""Tests of the connections of an instance to other instances."""

from concurrent import futures
import datetime
import time

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


class BusyHolder:
    """A driver whose one server is full; it counts the calls of its core.

    `queue` lets requests arrive that wait for a slot of the server.
    """

    def __init__(self):
        self.driver = make_driver()
        self.name = self.driver.core.instance_settings.name
        self.handled = 0
        handle_message = self.driver.core.handle_message

        def count(*values):
            self.handled += 1
            return handle_message(*values)

        self.driver.core.handle_message = count
        self.permits = []
        while (reply := self.ask(f'p{len(self.permits)}', False)).server:
            self.permits.append(reply.permit_id)
        self.handled = 0

    def ask(self, request_id, may_wait=True):
        message = test_core.make_ask_server(
            request_id=request_id,
            may_wait=may_wait,
            target_s=30.0,
            remaining_s=60.0,
        )
        return self.driver.call_instance(self.name, message, test_core.SECOND)

    def queue(self, callers, count):
        asked = [callers.submit(self.ask, f'q{n}') for n in range(count)]
        machines.FleetEnvironment.wait_for(
            lambda: self.handled >= count, test_core.SECOND.total_seconds()
        )
        return asked

    def finish(self):
        message = messages.FinishRequest(
            test_core.SHARD, self.permits.pop(), 'ok', 0.1
        )
        self.driver.call_instance(self.name, message, test_core.SECOND)


def test_freed_slot_wakes_only_the_request_that_gets_it():
    """Load pattern: a surge with a hundred requests in one pool's queue.

    Each freed slot woke all of them, their senders asked again at once, and
    the holder had no time left to answer: on one day 2,382 calls to holders
    got no reply within five seconds of surge.
    """
    holder = BusyHolder()
    with futures.ThreadPoolExecutor(40) as callers:
        asked = holder.queue(callers, 40)
        holder.finish()
        time.sleep(0.05)
        assert sum(future.done() for future in asked) == 1
        assert holder.handled == 42
        replies = [future.result() for future in asked]
    assert sum(bool(reply.server) for reply in replies) == 1
    holder.driver.close()


def test_holder_of_a_long_queue_still_answers():
    """Queued requests leave half of the threads for other messages."""
    holder = BusyHolder()
    count = core_driver.QUEUE_THREADS + 10
    with futures.ThreadPoolExecutor(count) as callers:
        asked = holder.queue(callers, count)
        time.sleep(0.05)
        assert sum(future.done() for future in asked) == 10
    holder.driver.close()
