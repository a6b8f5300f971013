"""Guard planned stops against requests that outlast the process."""

from concurrent import futures
import contextlib
import datetime
import itertools
import signal
import time
from typing import NamedTuple

import pytest
import test_flow

from cranberryscale import errors
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from standins import machines


SECOND = datetime.timedelta(seconds=1)
START = test_flow.START
KEY = 'key-of-t1-0001'
# The grace time of the deployments, and how late after SIGTERM operators
# tolerate that a request is sent which the process does not outlast.
GRACES_S = (6, 10)
TOLERATED_S = 3.0
MILLISECONDS = range(0, 10_000, 50)


class SentRequest(NamedTuple):
    """A request that was sent after SIGTERM, and its status."""

    is_repeatable: bool
    request_id: str
    since_signal_s: float
    status: int


@pytest.mark.parametrize('grace_s', GRACES_S)
def test_plan_admits_only_what_ends_before_the_process(grace_s):
    """Guards the rule itself, for any time of arrival and any timeout."""
    plan = shutdown.plan_shutdown(START, grace_s * SECOND)
    assert plan.ends_at < START + grace_s * SECOND
    for arrival_ms, timeout_s in itertools.product(
        MILLISECONDS, (0.2, 1, 2, 3, 5, 10)
    ):
        received = START + arrival_ms / 1000 * SECOND
        deadline = received + timeout_s * SECOND
        is_certain = deadline <= plan.ends_at
        assert plan.can_pass_on(received, deadline, False) == is_certain
        if plan.can_pass_on(received, deadline, True):
            assert is_certain or arrival_ms < TOLERATED_S * 1000


@pytest.mark.parametrize('grace_s', GRACES_S)
def test_plan_serves_requests_that_end_in_time_until_it_accepts_none(grace_s):
    """Guards callers with cached addresses against needless refusals."""
    plan = shutdown.plan_shutdown(START, grace_s * SECOND)
    last = plan.accepts_until - SECOND / 100
    assert last - START > grace_s / 2 * SECOND
    assert plan.can_pass_on(last, plan.ends_at, False)
    assert plan.can_pass_on(START + SECOND, START + 60 * SECOND, True)


@pytest.mark.parametrize('method', ['GET', 'POST'])
def test_request_whose_permit_comes_too_late_in_a_stop_does_not_run(method):
    """Guards requests that wait in a queue when the stop begins."""
    script = test_flow.ScriptedRequest(test_flow.OK, method=method)

    def stop():
        script.context.shutdown_plan = shutdown.ShutdownPlan(
            START + SECOND, START, START + SECOND
        )

    script.before_reply['AskPermit'] = stop
    outcome = script.run()
    assert (outcome.code, outcome.ran) == ('shutting_down', errors.NOT_RUN)
    assert script.count(actions.ForwardRequest) == 0
    assert script.list_reports() == ['unused']


def test_refusal_in_a_stop_is_told_before_a_permit_is_asked_for():
    """Guards callers against a wait for what cannot be served any more."""
    script = test_flow.ScriptedRequest()
    script.context.shutdown_plan = shutdown.ShutdownPlan(START, START, START)
    outcome = script.run()
    assert (outcome.code, outcome.ran) == ('shutting_down', errors.NOT_RUN)
    assert script.count(actions.AskPermit) == 0
    assert script.count(actions.AskTokens) == 0


def test_late_request_of_a_planned_stop_is_answered_or_does_not_run(tmp_path):
    """Guards against requests taken late in the grace time and cut off.

    Requests that came 3.0 to 3.3 s after SIGTERM were passed on and lost at
    5.8 s without an answer, bookings included.
    """
    work_s = {'x': 3.5, 'y': 2.75}
    numbers = itertools.count()

    def send(is_repeatable, signaled_at):
        request_id = f'{next(numbers):016x}'
        method, path = (
            ('GET', '/read/1')
            if is_repeatable
            else (
                'POST',
                '/book/1',
            )
        )
        since_s = time.monotonic() - signaled_at
        status, _, _ = machines.send_request(
            instance.addresses['callers'],
            path,
            request_id,
            KEY,
            method,
            deadline_ms=6000,
        )
        return SentRequest(is_repeatable, request_id, since_s, status)

    with (
        machines.FleetEnvironment(tmp_path, instances=2, servers=9) as fleet,
        futures.ThreadPoolExecutor(120) as callers,
    ):
        instance = fleet.instances[1]
        for server in fleet.servers:
            server.service_s = work_s[server.service]
        fleet.store.put(
            'op/config',
            machines.encode_configuration(2, fleet.keys, timeout='5s'),
        )
        time.sleep(2)
        signaled_at = time.monotonic()
        instance.send_signal(signal.SIGTERM)
        sent = []
        for number in range(56):
            sent.append(callers.submit(send, number % 2 == 0, signaled_at))
            time.sleep(0.1)
        assert instance.wait(2) == 0
        requests = [future.result() for future in sent]
        executed = {run.request_id for run in fleet.executed}
    ran = [r for r in requests if r.request_id in executed]
    lost = [r for r in ran if r.status != 200]
    assert [r for r in lost if not r.is_repeatable] == []
    assert [r for r in lost if r.since_signal_s > TOLERATED_S] == []
    assert len(ran) - len(lost) > 5
    refused = [r for r in requests if r.status == 503]
    assert not executed.intersection(r.request_id for r in refused)
    assert max(r.since_signal_s for r in refused) > TOLERATED_S


# A program one of whose HTTP servers fails on SIGUSR1, as cheroot reports the
# exceptions of its threads.
_FAILING_PROGRAM = """
import os
import pathlib
import signal
import threading

from cranberryscale import core_daemon
from cranberryscale.connection import http_servers
from cranberryscale.platform import program

servers = []
make_thread = http_servers.ServerThread


def record_server(server, on_fault):
    servers.append(server)
    return make_thread(server, on_fault)


def fail():
    servers[{number}].interrupt = OSError('test')


http_servers.ServerThread = record_server
signal.signal(
    signal.SIGUSR1, lambda *_: threading.Thread(target=fail).start()
)
program.main()
"""


@pytest.mark.parametrize('number', [0, 1], ids=['callers', 'health'])
def test_fault_of_a_listener_drains_the_instance(tmp_path, number):
    """A fault of any listener used to end all requests in progress."""
    with contextlib.ExitStack() as stack:
        fleet = machines.FleetEnvironment(tmp_path, instances=2)
        instance = fleet.instances[1]
        instance.program = ('-c', _FAILING_PROGRAM.format(number=number))
        stack.enter_context(fleet)
        callers = stack.enter_context(futures.ThreadPoolExecutor(8))
        for server in fleet.servers:
            server.service_s = 1.5
        sent = [
            callers.submit(
                machines.send_request,
                instance.addresses['callers'],
                '/book/1',
                f'{request:016x}',
                KEY,
                'POST',
                deadline_ms=4000,
            )
            for request in range(4)
        ]
        fleet.wait_for(lambda: len(fleet.executed) == len(sent))
        instance.send_signal(signal.SIGUSR1)
        statuses = [future.result()[0] for future in sent]
        assert statuses == [200] * len(sent)
        assert instance.wait() == 0
    events = instance.log_path.read_text()
    assert 'event=listener_lost' in events
    assert 'event=leaving' in events


def test_stop_right_after_reloads_is_not_lost(tmp_path):
    """The kernel may deliver the last signal to a thread other than the main.

    The instance then served on until it was killed, with all its requests.
    """
    with machines.FleetEnvironment(tmp_path, instances=8) as fleet:
        for instance in fleet.instances:
            for _ in range(3):
                instance.send_signal(signal.SIGHUP)
            instance.send_signal(signal.SIGTERM)
        codes = [instance.wait(8) for instance in fleet.instances]
    assert codes == [0] * 8
