"""A request is not given up while a server that was sent it is at work.

The decision runs in a simulation of holders, servers and changes of the
configuration, with a manual clock.
"""

import dataclasses
import datetime
import enum
from typing import NamedTuple

import hypothesis
from hypothesis import strategies
import pytest
import test_flow

from cranberryscale import errors
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.version import configuration

SECOND = datetime.timedelta(seconds=1)
MS = datetime.timedelta(milliseconds=1)
START = test_flow.START
TIMEOUT = 2 * SECOND
GRACE = 6 * SECOND
FIRST_BYTE_TIMEOUT = 300 * MS
HOLDER_TIMEOUT = 150 * MS
SERVERS = ('b1', 'b2', 'b3', 'b4')


class Reply(enum.Enum):
    """Reply of a holder to a question for a permit."""

    GRANTED = enum.auto()
    # The permit can no longer be used when it arrives.
    LATE = enum.auto()
    # The permit is for a server that is not published.
    GONE = enum.auto()
    DENIED = enum.auto()
    # No holder answers, and the instance decides by itself.
    NONE = enum.auto()


class Holder(NamedTuple):
    """Reply to one question for a permit, and how long it takes."""

    reply: Reply
    delay: datetime.timedelta = 2 * MS


class Work(enum.Enum):
    """What a server does with a request."""

    ANSWERS = enum.auto()
    FAILS = enum.auto()
    SHEDS = enum.auto()
    DIES = enum.auto()
    REFUSES = enum.auto()
    MUTE = enum.auto()


class Server(NamedTuple):
    """What a server does with a request, and how long it takes."""

    work: Work
    duration: datetime.timedelta = 2 * MS


class Change(enum.Enum):
    """Change of the instance's state while a request is decided."""

    SHUTDOWN = enum.auto()
    ROUTE_REMOVED = enum.auto()
    KEY_WITHDRAWN = enum.auto()
    SERVERS_REMOVED = enum.auto()


class Scenario(NamedTuple):
    """Everything that a request meets.

    `holders` are the replies to its questions for permits, the last of which
    is repeated. `changes` are kinds of changes with their times.
    """

    holders: tuple[Holder, ...]
    servers: tuple[Server, ...]
    changes: tuple[tuple[datetime.timedelta, Change], ...] = ()
    method: str = 'GET'
    max_attempts: int = 3
    retries_errors: bool = False
    covers_repeats: bool = True


@dataclasses.dataclass
class Exchange:
    """Exchange with a server; open until it has a result."""

    attempt: int
    server: Server
    started_at: datetime.timedelta
    deadline: datetime.timedelta
    has_result: bool = False

    @property
    def ends_at(self):
        """Return when the server ends the exchange, or the deadline."""
        if self.server.work == Work.MUTE:
            return self.deadline
        return min(self.started_at + self.server.duration, self.deadline)

    @property
    def would_answer(self):
        """Return whether the server answers before the deadline."""
        is_answer = self.server.work in (Work.ANSWERS, Work.FAILS)
        return is_answer and self.ends_at < self.deadline

    @property
    def may_have_run(self):
        """Return whether the server may have run the request."""
        return self.server.work not in (Work.SHEDS, Work.REFUSES)

    def is_given_up(self, now):
        """Return whether the request ends now while the server is at work."""
        return (
            self.would_answer and not self.has_result and now < self.deadline
        )


class SimulatedRequest(test_flow.ScriptedRequest):
    """A request that meets a scenario.

    `given_up` are the exchanges that were given up when the request ended by
    an answer of the instance's own, or by a kept answer.
    """

    def __init__(self, scenario):
        super().__init__(
            method=scenario.method,
            timeout=TIMEOUT,
            max_attempts=scenario.max_attempts,
            retries_errors=scenario.retries_errors,
        )
        self.scenario = scenario
        published = self.context.current
        self.context.current = published._replace(
            servers={
                name: configuration.BackendServer(
                    name, 's1', 'd1', f'{name}:1', 6
                )
                for name in SERVERS
            }
        )
        self.context.routes.spend_retry = lambda route: True
        self.exchanges = []
        self.given_up = []
        self._changes = sorted(
            scenario.changes, key=lambda change: change[0], reverse=True
        )
        self._holders = list(reversed(scenario.holders))
        self._last_event = None

    # Time

    def sleep_until(self, until):
        """Advance the clock, with the changes that happen meanwhile."""
        while self._changes and START + self._changes[-1][0] <= until:
            after, change = self._changes.pop()
            self._advance(START + after)
            self._apply(change)
        self._advance(until)

    def _advance(self, until):
        now = self.clock.read_elapsed()
        self.clock.advance(max(until - now, 0 * SECOND))

    def _apply(self, change):
        match change:
            case Change.SHUTDOWN:
                self.context.shutdown_plan = shutdown.plan_shutdown(
                    self.clock.read_elapsed(), GRACE
                )
            case Change.ROUTE_REMOVED:
                test_flow.remove_route(self)
            case Change.KEY_WITHDRAWN:
                test_flow.withdraw_key(self)
            case Change.SERVERS_REMOVED:
                test_flow.remove_servers(self)

    # Actions

    def reply(self, action):
        """Return the event of an action."""
        event = self._perform(action)
        if event is not None:
            self._last_event = event
        return event

    def _perform(self, action):
        match action:
            case actions.AskTokens():
                return self._grant_tokens()
            case actions.AskPermit():
                return self._ask_holder(action)
            case actions.ForwardRequest():
                return self._forward(action)
            case actions.KeepWaiting(until=until):
                return self._wait(until)
            case actions.DeliverResponse():
                if not self._is_answer(self._last_event):
                    self._record_given_up()
                return actions.DeliveryEnded()
            case actions.RefuseRequest():
                self._record_given_up()
        return None

    @staticmethod
    def _is_answer(event):
        return (
            isinstance(event, actions.ResponseReceived) and not event.not_run
        )

    def _record_given_up(self):
        now = self.clock.read_elapsed()
        self.given_up = [e for e in self.exchanges if e.is_given_up(now)]

    def _grant_tokens(self):
        if self.count(actions.AskTokens) > 1:
            return actions.AdmissionDenied('rate_exceeded')
        until = self.clock.read_elapsed() + 100 * SECOND
        return actions.TokensGranted(until, self.scenario.covers_repeats)

    def _ask_holder(self, action):
        holder = self._holders[-1]
        if len(self._holders) > 1:
            self._holders.pop()
        is_missing = holder.reply == Reply.NONE
        delay = HOLDER_TIMEOUT if is_missing else holder.delay
        now = self.clock.read_elapsed()
        self.sleep_until(now + min(delay, action.remaining))
        now = self.clock.read_elapsed()
        left = [name for name in SERVERS if name not in action.excluded]
        if holder.reply == Reply.DENIED:
            return actions.AdmissionDenied('pool_busy')
        if not left:
            return actions.AdmissionDenied('no_backend_server')
        if is_missing and action.is_repeat:
            return actions.AdmissionDenied('repeats_spent')
        is_late = holder.reply == Reply.LATE
        return actions.PermitGranted(
            f'p{len(self.performed)}',
            'b0' if holder.reply == Reply.GONE else left[0],
            now if is_late else now + SECOND,
            None if is_missing else FIRST_BYTE_TIMEOUT,
        )

    def _forward(self, action):
        now = self.clock.read_elapsed()
        assert action.attempt == len(self.exchanges) + 1
        exchange = Exchange(
            action.attempt,
            self.scenario.servers[SERVERS.index(action.server.name)],
            now,
            action.deadline,
        )
        self.exchanges.append(exchange)
        return self._wait(action.first_byte_until)

    # Exchanges

    def _list_open(self):
        return [e for e in self.exchanges if not e.has_result]

    def _wait(self, until=None):
        """Return the first event of any exchange."""
        exchange = min(self._list_open(), key=lambda each: each.ends_at)
        if until is not None and until < exchange.ends_at:
            self.sleep_until(until)
            return actions.FirstByteTimedOut()
        self.sleep_until(exchange.ends_at)
        exchange.has_result = True
        return self._make_result(exchange)

    def _make_result(self, exchange):
        if exchange.ends_at == exchange.deadline:
            is_sent = exchange.server.work != Work.REFUSES
            return self._make_failure(exchange, 'backend_timeout', is_sent)
        match exchange.server.work:
            case Work.SHEDS:
                return self._make_response(exchange, 503, True)
            case Work.DIES:
                return self._make_failure(exchange, 'backend_broken', True)
            case Work.REFUSES:
                return self._make_failure(exchange, 'backend_refused', False)
            case Work.FAILS:
                return self._make_response(exchange, 500)
        return self._make_response(exchange, 200)

    def _make_response(self, exchange, status, not_run=False):
        return self._make_event(
            actions.ResponseReceived, exchange, status, not_run
        )

    def _make_failure(self, exchange, code, is_sent):
        return self._make_event(
            actions.AttemptFailed, exchange, errors.make_error(code), is_sent
        )

    def _make_event(self, kind, exchange, *values):
        return kind(*values)._replace(attempt=exchange.attempt)


def sample_millis(*numbers):
    return strategies.sampled_from([number * MS for number in numbers])


DELAYS = sample_millis(2, 20, 100, 250, 400)
DURATIONS = sample_millis(2, 50, 250, 400, 700, 1000, 1400, 1700, 1900, 2200)
HOLDERS = strategies.builds(
    Holder, strategies.sampled_from((Reply.GRANTED, *Reply)), DELAYS
)
SERVER_KINDS = strategies.builds(
    Server, strategies.sampled_from((Work.ANSWERS, *Work)), DURATIONS
)
# Most requests reach a server that answers late.
FIRST_HOLDERS = strategies.sampled_from(
    [Holder(reply) for reply in (Reply.GRANTED, Reply.GRANTED, Reply.NONE)]
)
LATE_SERVERS = strategies.builds(
    Server,
    strategies.just(Work.ANSWERS),
    sample_millis(400, 600, 900, 1100, 1300, 1500, 1700, 1900),
)
FIRST_SERVERS = LATE_SERVERS | LATE_SERVERS | SERVER_KINDS
CHANGE_TIMES = sample_millis(0, 100, 310, 400, 600, 800, 1100, 1500, 1900)


@strategies.composite
def draw_scenario(draw, change):
    """Return a scenario, with a kind of change at any time."""
    changes = () if change is None else ((draw(CHANGE_TIMES), change),)
    return Scenario(
        (
            draw(FIRST_HOLDERS),
            *draw(strategies.lists(HOLDERS, min_size=1, max_size=6)),
        ),
        (
            draw(FIRST_SERVERS),
            *(draw(SERVER_KINDS) for _ in SERVERS[1:]),
        ),
        changes,
        draw(strategies.sampled_from(('GET', 'GET', 'GET', 'POST'))),
        draw(strategies.sampled_from((2, 3, 1))),
        draw(strategies.booleans()),
        draw(strategies.sampled_from((True, True, False))),
    )


def check(scenario):
    """Run a request and check the promises on its end."""
    request = SimulatedRequest(scenario)
    outcome = request.run()
    hypothesis.note(f'{outcome}')
    hypothesis.note('\n'.join(map(str, request.performed)))
    runs = sum(exchange.may_have_run for exchange in request.exchanges)
    assert runs <= (1 if scenario.method == 'POST' else scenario.max_attempts)
    # A question for a permit may end shortly after the deadline.
    assert request.clock.read_elapsed() <= START + TIMEOUT + HOLDER_TIMEOUT
    assert request.given_up == [], outcome


@pytest.mark.parametrize(
    'change', [None, *Change], ids=lambda each: each.name if each else 'NONE'
)
@hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    database=None,
    phases=(hypothesis.Phase.generate, hypothesis.Phase.shrink),
)
@hypothesis.given(strategies.data())
def test_no_request_is_given_up_while_a_server_works(change, data):
    """A request ends by a server's answer as long as one may arrive."""
    check(data.draw(draw_scenario(change)))


# The first server answers in time, though later than usual.
SLOW = Server(Work.ANSWERS, 1400 * MS)
GRANTED = Holder(Reply.GRANTED)
DENIED = Holder(Reply.DENIED)
SHEDS = Server(Work.SHEDS)


def run_slow_request(holders, *others):
    """Return the outcome of a request whose first server is slow."""
    servers = (SLOW, *others, SHEDS, SHEDS, SHEDS)[: len(SERVERS)]
    request = SimulatedRequest(Scenario(holders, servers))
    return request.run(), request.clock.read_elapsed() - START


def check_delivered(outcome, took):
    assert (outcome.code, outcome.status) == ('ok', 200)
    # The answer is not delayed by other attempts.
    assert took < SLOW.duration + 2 * HOLDER_TIMEOUT


def test_server_chosen_without_a_holder_is_waited_for():
    """A repeat needs a holder, so half of the time must not end the wait."""
    check_delivered(*run_slow_request((Holder(Reply.NONE),)))


@pytest.mark.parametrize(
    'reply', [Reply.LATE, Reply.GONE], ids=lambda each: each.name
)
def test_server_is_waited_for_if_the_second_permit_is_of_no_use(reply):
    """A permit promises no answer: its server may be gone when it comes."""
    holders = (GRANTED, Holder(reply, 300 * MS), DENIED)
    check_delivered(*run_slow_request(holders))


@pytest.mark.parametrize(
    'work',
    [Work.SHEDS, Work.DIES, Work.REFUSES, Work.MUTE],
    ids=lambda each: each.name,
)
def test_server_is_waited_for_if_the_second_one_does_not_answer(work):
    """A second server that fails must not end the first exchange."""
    holders = (GRANTED, GRANTED, DENIED)
    check_delivered(*run_slow_request(holders, Server(work, 20 * MS)))


def test_kept_answer_is_not_delivered_while_a_server_works():
    """An error is a result of last resort."""
    scenario = Scenario(
        (GRANTED, GRANTED, DENIED),
        (SLOW, Server(Work.FAILS, 20 * MS), SHEDS, SHEDS),
        retries_errors=True,
    )
    outcome = SimulatedRequest(scenario).run()
    assert (outcome.code, outcome.status) == ('ok', 200)
