"""Tests of the decision logic: retries, permits and reported outcomes."""

import datetime

import harness
import pytest

from cranberryscale import clock
from cranberryscale import errors
from cranberryscale.request import actions
from cranberryscale.request import flow
from cranberryscale.version import configuration

SECOND = datetime.timedelta(seconds=1)
START = 1000 * SECOND


class ScriptedRequest:
    """Driver of one request with a manual clock and scripted events."""

    def __init__(self, *events, method='GET', once_key='', **route_fields):
        wall = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
        self.clock = clock.ManualClock(wall, START)
        self.context = harness.FakeDecisionContext(
            harness.make_configuration(**route_fields),
            self.clock.read_elapsed,
        )
        self.context.routes.credit_retry_budget = lambda route: None
        self.events = list(events)
        self.performed = []
        self.before_reply = {}
        self.replies = {}
        self.request = actions.ParsedRequest(
            'id', method, 'h', '/r/x', harness.KEY, START, None, once_key
        )

    def reply(self, action):
        kind = type(action).__name__
        self.before_reply.get(kind, lambda: None)()
        if self.replies.get(kind):
            return self.replies[kind].pop(0)
        now = self.clock.read_elapsed()
        match action:
            case actions.AskTokens():
                return actions.TokensGranted(now + SECOND)
            case actions.AskPermit():
                left = [n for n in ('b1', 'b2') if n not in action.excluded]
                if not left:
                    return actions.AdmissionDenied('no_backend_server')
                return actions.PermitGranted('p', left[0], now + SECOND)
            case actions.ForwardRequest():
                return self.events.pop(0)
            case actions.KeepWaiting():
                return actions.FirstByteTimedOut()
            case actions.DeliverResponse():
                return actions.DeliveryEnded()

    def run(self):
        steps = flow.decide_request(self.request, self.context)
        event = None
        try:
            while True:
                action = steps.send(event)
                self.performed.append(action)
                event = self.reply(action)
        except StopIteration as stop:
            return stop.value

    def count(self, kind):
        return sum(isinstance(action, kind) for action in self.performed)

    def list_reports(self):
        return [
            a.outcome
            for a in self.performed
            if isinstance(a, actions.ReportPermit)
        ]


def failed(code, is_sent, can_resend=True):
    return actions.AttemptFailed(errors.make_error(code), is_sent, can_resend)


OK = actions.ResponseReceived(200)
SHED = actions.ResponseReceived(503, not_run=True)

# Event of the first attempt; number of forwards for GET and POST if a second
# attempt would succeed; `ran` without a retry; outcome reported to the holder.
TABLE = [
    (OK, 1, 1, errors.RAN, 'ok'),
    (actions.ResponseReceived(500), 1, 1, errors.RAN, 'error'),
    (actions.ResponseReceived(503), 1, 1, errors.RAN, 'error'),
    (SHED, 2, 2, errors.NOT_RUN, 'shed'),
    (SHED._replace(can_resend=False), 1, 1, errors.NOT_RUN, 'shed'),
    (failed('backend_refused', False), 2, 2, errors.NOT_RUN, 'refused'),
    (failed('backend_timeout', False), 2, 2, errors.NOT_RUN, 'silent'),
    (failed('pool_unavailable', False), 2, 2, errors.NOT_RUN, 'unused'),
    (failed('backend_broken', True), 2, 1, errors.UNKNOWN, 'error'),
    (failed('backend_timeout', True), 2, 1, errors.UNKNOWN, 'silent'),
    (failed('answer_truncated', True), 2, 1, errors.UNKNOWN, 'truncated'),
    (failed('answer_crossed', True), 2, 1, errors.UNKNOWN, 'crossed'),
    (failed('backend_broken', True, False), 1, 1, errors.UNKNOWN, 'error'),
    (failed('backend_refused', False, False), 1, 1, errors.NOT_RUN, 'refused'),
    (failed('caller_gone', True), 1, 1, errors.UNKNOWN, 'cancelled'),
    (failed('caller_gone', False), 1, 1, errors.NOT_RUN, 'unused'),
    (failed('request_timeout', True), 1, 1, errors.UNKNOWN, 'cancelled'),
    (failed('body_too_large', True), 1, 1, errors.UNKNOWN, 'cancelled'),
    (failed('bad_request', True), 1, 1, errors.UNKNOWN, 'cancelled'),
]


@pytest.mark.parametrize('event,gets,posts,ran,report', TABLE)
def test_failure_point_decides_retry_and_ran(event, gets, posts, ran, report):
    """A wrong retry, or a wrong "not run", makes a request run twice."""
    for method, forwards in (('GET', gets), ('POST', posts)):
        script = ScriptedRequest(event, OK, method=method)
        outcome = script.run()
        assert script.count(actions.ForwardRequest) == forwards
        assert outcome.ran == (errors.RAN if forwards == 2 else ran)
        assert script.list_reports()[0] == report
    script = ScriptedRequest(event, retry_ratio=0.0)
    script.context.routes.spend_retry = lambda route: False
    assert script.run().ran == ran, 'without retry budget'
    assert script.count(actions.ForwardRequest) == 1


def test_result_stays_unknown_after_a_refused_second_attempt():
    """The first attempt may have run, whatever happens to the second."""
    script = ScriptedRequest(
        failed('backend_broken', True), failed('backend_refused', False)
    )
    script.context.routes.spend_retry = lambda route: True
    outcome = script.run()
    assert (outcome.code, outcome.ran) == ('backend_refused', errors.UNKNOWN)
    assert not outcome.has_unspent_token


def test_attempt_that_may_have_run_spends_its_token():
    """Two runs on one token would exceed the customer's rate."""
    script = ScriptedRequest(failed('backend_broken', True), OK)
    script.run()
    assert script.count(actions.AskTokens) == 2
    script = ScriptedRequest(SHED, OK)
    script.run()
    assert script.count(actions.AskTokens) == 1


def test_first_failure_is_returned_when_the_retry_is_denied():
    """A retry without a token must not hide the first failure."""
    script = ScriptedRequest(failed('backend_timeout', True))
    script.replies['AskTokens'] = [
        actions.TokensGranted(START + SECOND),
        actions.AdmissionDenied('rate_exceeded'),
    ]
    outcome = script.run()
    assert (outcome.code, outcome.ran) == ('backend_timeout', errors.UNKNOWN)


def test_retry_budget_is_a_ratio_of_the_requests():
    """Unbounded retries multiply the load of a failing service."""
    script = ScriptedRequest()
    table = type(script.context.routes)()
    route = script.context.current.routes[0]
    for _ in range(100):
        table.credit_retry_budget(route)
    assert sum(table.spend_retry(route) for _ in range(100)) == 10


def withdraw_key(script):
    script.context.keys.clear()


def unconfirm_configuration(script):
    script.context.confirmed = False


def replace_current(script, **fields):
    script.context.current = script.context.current._replace(**fields)


def remove_route(script):
    replace_current(script, routes=())


def disable_domain(script):
    out = configuration.FailureDomain('d1', 'out')
    replace_current(script, domains={'d1': out})


def remove_servers(script):
    replace_current(script, servers={})


def advance_clock(script):
    script.clock.advance(SECOND)


@pytest.mark.parametrize(
    'change,code',
    [
        (withdraw_key, 'key_unknown'),
        (unconfirm_configuration, 'configuration_unconfirmed'),
        (remove_route, 'route_unknown'),
        (disable_domain, 'pool_busy'),
        (remove_servers, 'pool_busy'),
        (lambda s: s.clock.advance(3 * SECOND), 'deadline_too_short'),
    ],
)
def test_change_while_waiting_for_a_permit_stops_the_forward(change, code):
    """Key, route, domain or time may become invalid during the wait."""
    script = ScriptedRequest()
    granted = [actions.PermitGranted('p', 'b1', START + 9 * SECOND)]
    script.replies['AskPermit'] = granted + [
        actions.AdmissionDenied('pool_busy')
    ]
    script.before_reply['AskPermit'] = lambda: change(script)
    outcome = script.run()
    assert (outcome.code, outcome.ran) == (code, errors.NOT_RUN)
    assert script.count(actions.ForwardRequest) == 0
    assert set(script.list_reports()) == {'unused'}


def test_permit_is_not_used_after_its_server_asked_for_no_requests():
    """The server answered another request during the wait for the permit."""
    script = ScriptedRequest(OK)
    script.before_reply['AskPermit'] = lambda: script.context.avoided.add('b1')
    assert script.run().server == 'b2'
    assert script.count(actions.ForwardRequest) == 1
    assert script.list_reports() == ['unused', 'ok']


def test_expired_permit_and_token_are_requested_again():
    """A process that was paused must not use an expired token or permit."""
    script = ScriptedRequest(OK, once_key='k')
    waits = [lambda: advance_clock(script), lambda: None]
    script.before_reply['AskPermit'] = lambda: waits.pop(0)()
    script.replies['AskPermit'] = [
        actions.PermitGranted('p', 'b1', START + SECOND)
    ]
    assert script.run().code == 'ok'
    assert script.list_reports() == ['unused', 'ok']
    tokens = [a for a in script.performed if isinstance(a, actions.AskTokens)]
    assert [a.once_key for a in tokens] == ['k', '']


def test_slow_permit_costs_a_second_token_but_no_second_permit():
    """Returning the permit as well made a busy instance never catch up."""
    script = ScriptedRequest(OK)
    script.replies['AskTokens'] = [actions.TokensGranted(START + SECOND)]
    script.before_reply['AskPermit'] = lambda: advance_clock(script)
    assert script.run().code == 'ok'
    assert script.count(actions.AskTokens) == 2
    assert script.list_reports() == ['ok']


@pytest.mark.parametrize(
    'code,ran',
    [
        ('rate_exceeded', errors.NOT_RUN),
        ('duplicate_running', errors.NOT_RUN),
        ('duplicate_finished', errors.RAN),
        ('budget_unavailable', errors.NOT_RUN),
    ],
)
def test_denied_token_ends_the_request(code, ran):
    """A refusal before the forward must state exactly what has run."""
    script = ScriptedRequest()
    script.replies['AskTokens'] = [actions.AdmissionDenied(code, SECOND)]
    outcome = script.run()
    assert (outcome.code, outcome.ran) == (code, ran)
    refusal = script.performed[-1]
    assert refusal.error.retry_after == SECOND


@pytest.mark.parametrize(
    'change,code',
    [
        ({'key': ''}, 'key_missing'),
        ({'key': 'x'}, 'key_unknown'),
        ({'path': '/rx'}, 'route_unknown'),
        ({'method': 'PUT'}, 'method_not_allowed'),
        ({'body_bytes': 11}, 'body_too_large'),
        ({'deadline': START}, 'deadline_too_short'),
    ],
)
def test_requests_are_checked_before_a_token_is_requested(change, code):
    """A request that is refused anyway must not use a token or permit."""
    script = ScriptedRequest(
        methods=frozenset(('GET', 'POST')), body_limit_bytes=10
    )
    script.request = script.request._replace(**change)
    outcome = script.run()
    assert outcome.code == code
    assert script.count(actions.AskPermit) == 0
    assert not outcome.has_unspent_token or code == 'deadline_too_short'


def test_open_route_needs_neither_key_nor_token():
    """Open routes must work while the configuration is unconfirmed."""
    script = ScriptedRequest(OK)
    script.context.confirmed = False
    script.request = script.request._replace(key='', path='/open')
    assert script.run().code == 'ok'
    assert script.count(actions.AskTokens) == 0


def test_forward_is_bounded_and_leaves_time_for_a_retry():
    """An unresponsive server must leave time for a second attempt."""
    for method, first_byte in (('GET', 1), ('POST', 2)):
        script = ScriptedRequest(OK, method=method)
        script.run()
        sent = next(
            a
            for a in script.performed
            if isinstance(a, actions.ForwardRequest)
        )
        assert sent.deadline == START + 2 * SECOND
        assert sent.first_byte_until == START + first_byte * SECOND
        assert sent.start_until == START + SECOND


def test_short_deadline_of_a_caller_is_no_evidence_against_a_server():
    """Short deadlines of callers must not get healthy servers ejected."""
    script = ScriptedRequest(failed('backend_timeout', True), method='POST')
    script.request = script.request._replace(deadline=START + SECOND / 10)
    script.run()
    assert script.list_reports() == ['cancelled']


def test_path_that_a_server_would_resolve_differently_is_refused():
    """A dot segment could lead from an open route to a protected one."""
    for path in ('/open/../r', '/open/%2e%2E/r', '/open/..%2fr', '/a/..;x/r'):
        with pytest.raises(errors.RequestError):
            harness.routes.clean_path(path)
    assert harness.routes.clean_path('/%72/%2Fx//y') == '/r/x/y'


def test_attempts_that_never_ran_do_not_use_up_the_routes_attempts():
    """A refused connection must not use up the only allowed run."""
    refused = failed('backend_refused', False)
    script = ScriptedRequest(refused, OK, max_attempts=1)
    outcome = script.run()
    assert (outcome.code, outcome.attempts) == ('ok', 2)


def test_server_error_is_replaced_by_response_of_another_server():
    error = actions.ResponseReceived(500)
    script = ScriptedRequest(error, OK, retries_errors=True, max_attempts=2)
    outcome = script.run()
    assert (outcome.code, outcome.status, outcome.attempts) == ('ok', 200, 2)
    assert script.list_reports() == ['error', 'ok']


def test_non_idempotent_request_is_not_retried_after_an_error():
    error = actions.ResponseReceived(500)
    script = ScriptedRequest(error, OK, method='POST', retries_errors=True)
    assert (script.run().status, script.count(actions.ForwardRequest)) == (
        500,
        1,
    )


@pytest.mark.parametrize('is_denied', [True, False])
def test_server_error_is_delivered_without_another_response(is_denied):
    """An error of the proxy would hide the response of the server."""
    script = ScriptedRequest(
        actions.ResponseReceived(500),
        failed('backend_broken', True),
        retries_errors=True,
    )
    if is_denied:
        script.replies['AskPermit'] = [
            actions.PermitGranted('p', 'b1', START + SECOND),
            actions.AdmissionDenied('repeats_spent'),
        ]
    assert script.run().status == 500
    assert script.count(actions.DeliverResponse) == 1
    assert script.count(actions.RefuseRequest) == 0


def test_second_attempt_is_a_repeat_only_if_the_first_arrived():
    """The retry budget counts the requests that servers received."""
    for first, is_repeat in (
        (failed('backend_refused', False), False),
        (SHED, True),
        (failed('backend_timeout', True), True),
    ):
        script = ScriptedRequest(first, OK)
        script.run()
        requested = [
            a for a in script.performed if isinstance(a, actions.AskPermit)
        ]
        assert [a.is_repeat for a in requested] == [False, is_repeat]


def run_with_first_byte_timeout(script, *permits):
    script.replies['AskPermit'] = [
        actions.PermitGranted(
            'p', 'b1', START + SECOND, datetime.timedelta(milliseconds=300)
        ),
        *permits,
    ]
    return script.run()


def test_unresponsive_server_is_replaced_only_with_a_second_permit():
    """Without a permit for a second attempt the first one continues."""
    script = ScriptedRequest(actions.FirstByteTimedOut(), OK, max_attempts=2)
    second = actions.PermitGranted('q', 'b2', START + SECOND)
    assert run_with_first_byte_timeout(script, second).code == 'ok'
    assert script.list_reports() == ['silent', 'ok']
    forwards = [
        a for a in script.performed if isinstance(a, actions.ForwardRequest)
    ]
    assert [f.attempt for f in forwards] == [1, 2]
    assert forwards[0].first_byte_until < forwards[0].deadline
    assert forwards[1].first_byte_until == forwards[1].deadline
    assert script.count(actions.ReportOverdue) == 1

    script = ScriptedRequest(actions.FirstByteTimedOut(), max_attempts=2)
    script.replies['KeepWaiting'] = [OK]
    outcome = run_with_first_byte_timeout(
        script, actions.AdmissionDenied('repeats_spent')
    )
    assert (outcome.code, outcome.attempts) == ('ok', 1)
    assert script.list_reports() == ['ok']


def test_response_of_a_replaced_server_is_delivered():
    """The first server may answer although a second attempt has started."""
    for second in (OK._replace(attempt=1), SHED, failed('backend_broken', 1)):
        script = ScriptedRequest(
            actions.FirstByteTimedOut(), second, max_attempts=2
        )
        script.replies['KeepWaiting'] = [
            actions.FirstByteTimedOut(),
            OK._replace(attempt=1),
        ]
        permit = actions.PermitGranted('q', 'b2', START + SECOND)
        outcome = run_with_first_byte_timeout(
            script, permit, actions.AdmissionDenied('repeats_spent')
        )
        assert (outcome.code, outcome.server) == ('ok', 'b1')
        assert outcome.attempts == 2
        assert len(script.list_reports()) == 2
        assert script.list_reports()[-1] == 'ok'


def test_response_during_the_wait_for_a_permit_saves_the_repeat():
    """The repeat would only add load, and could fail."""
    script = ScriptedRequest(actions.FirstByteTimedOut(), max_attempts=2)
    script.replies['KeepWaiting'] = [OK]
    permit = actions.PermitGranted('q', 'b2', START + SECOND)
    outcome = run_with_first_byte_timeout(script, permit)
    assert (outcome.code, outcome.server, outcome.attempts) == ('ok', 'b1', 1)
    assert script.list_reports() == ['unused', 'ok']


def forbid_repeats(script):
    (route,) = script.context.current.routes[:1]
    route = route._replace(idempotent=False)
    replace_current(script, routes=(route,))


def move_route(script):
    (route,) = script.context.current.routes[:1]
    replace_current(script, routes=(route._replace(service='s2'),))


@pytest.mark.parametrize(
    'change', [forbid_repeats, withdraw_key, remove_route, move_route]
)
def test_change_of_the_configuration_leaves_the_exchange_open(change):
    """The repeat is not sent; the first server's answer is delivered."""
    script = ScriptedRequest(actions.FirstByteTimedOut(), max_attempts=2)
    permits = [
        actions.PermitGranted(
            'p', 'b1', START + SECOND, datetime.timedelta(milliseconds=300)
        ),
        actions.PermitGranted('q', 'b2', START + SECOND),
        actions.AdmissionDenied('pool_busy'),
        actions.AdmissionDenied('pool_busy'),
    ]
    script.replies['AskPermit'] = permits

    def change_route():
        if len(permits) == 3:
            change(script)

    script.before_reply['AskPermit'] = change_route
    script.replies['KeepWaiting'] = [OK]
    outcome = script.run()
    assert (outcome.code, outcome.server, outcome.attempts) == ('ok', 'b1', 1)
    reports = [
        (a.service, a.permit_id, a.outcome)
        for a in script.performed
        if isinstance(a, actions.ReportPermit)
    ]
    assert reports == [('s1', 'q', 'unused'), ('s1', 'p', 'ok')]


def test_the_last_attempt_waits_until_the_deadline():
    """Giving up early would fail requests that only need more time."""
    script = ScriptedRequest(OK, max_attempts=1)
    run_with_first_byte_timeout(script)
    (forward,) = [
        a for a in script.performed if isinstance(a, actions.ForwardRequest)
    ]
    assert forward.first_byte_until == forward.deadline


def test_non_idempotent_request_waits_until_the_deadline():
    script = ScriptedRequest(OK, method='POST')
    run_with_first_byte_timeout(script)
    (forward,) = [
        a for a in script.performed if isinstance(a, actions.ForwardRequest)
    ]
    assert forward.first_byte_until == forward.deadline


def test_token_that_covers_repeats_is_requested_once():
    """Requests failed when the customer's rate denied a second attempt."""
    script = ScriptedRequest(failed('backend_timeout', True), OK)
    script.replies['AskTokens'] = [
        actions.TokensGranted(START + 10 * SECOND, covers_repeats=True),
        actions.AdmissionDenied('rate_exceeded'),
    ]
    assert script.run().code == 'ok'
    assert script.count(actions.AskTokens) == 1


def test_unreachable_servers_do_not_end_a_request():
    """Three of ten servers may be unreachable from some instances.

    On day quiet-1 of the deployment Guild, requests that had not been sent to
    any server were refused after three failed connections.
    """
    script = ScriptedRequest(
        *(failed('backend_refused', False) for _ in range(4)), OK
    )
    script.replies['AskPermit'] = [
        actions.PermitGranted('p', f'b{1 + n % 2}', START + 9 * SECOND)
        for n in range(5)
    ]
    script.context.routes.spend_retry = lambda route: True
    outcome = script.run()
    assert (outcome.code, outcome.attempts) == ('ok', 5)
