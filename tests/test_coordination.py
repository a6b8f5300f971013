"""Guard that a request goes on when the instances it asks do not help."""

import datetime
import threading

import pytest
import test_core
import test_published

from cranberryscale import clock
from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import metrics
from cranberryscale.request import actions
from cranberryscale.request import core_admission


START = test_core.START
SECOND = test_core.SECOND
WALL = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


class FakeFleet:
    """Answer with `replies` by message type; an exception is raised."""

    def __init__(self, core, replies):
        self.core = core
        self.lock = threading.RLock()
        self.replies = replies
        self.asked = []
        self.sent = []
        self.silent = False

    def is_unresponsive(self, target):
        return self.silent

    def call_instance(self, target, message, timeout):
        self.asked.append(message)
        reply = self.replies[type(message)]
        if isinstance(reply, list):
            reply = reply.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    def send(self, target, message):
        self.sent.append(message)


def make(core=None, started_by=START, **replies):
    core = core or test_core.make_core()
    found = {getattr(messages, name): r for name, r in replies.items()}
    fleet = FakeFleet(core, found)
    manual = clock.ManualClock(WALL, START)
    facts = core_admission.CoreDecisionContext(core, manual)
    return fleet, core_admission.CoreAdmission(
        fleet, facts, manual, metrics.Metrics(), started_by
    )


ASK = actions.AskPermit('x', 'c', SECOND, (), True)
LOST = [
    errors.make_error('peer_unreachable'),
    errors.make_error('not_ready'),
    errors.make_error('not_holder'),
]


@pytest.mark.parametrize('error', LOST, ids=lambda e: e.code)
def test_a_holder_that_does_not_help_leaves_the_instance_to_itself(error):
    fleet, made = make(AskQuota=error, AskServer=error)
    granted = made.ask_tokens(actions.AskTokens('c', ''), 'r')
    assert isinstance(granted, actions.TokensGranted)
    permit = made.ask_permit(ASK, 'r')
    assert permit.server == 'i1'
    report = actions.ReportPermit('x', 'i1', permit.permit_id, 'ok', SECOND)
    made.report_permit(report)
    assert fleet.sent == []


def test_a_silent_holder_is_not_asked():
    fleet, made = make()
    fleet.silent = True
    assert made.ask_permit(ASK, 'r').server == 'i1'
    assert fleet.asked == []


def test_alone_no_second_attempt_is_made():
    """All instances may be alone at once; together they would be too many."""
    _, made = make(AskServer=LOST[0])
    answer = made.ask_permit(ASK._replace(is_repeat=True), 'r')
    assert answer.code == 'repeats_spent'


def test_alone_the_own_part_of_the_rate_is_all_there_is():
    _, made = make(AskQuota=LOST[0])
    ask = actions.AskTokens('c', '')
    answers = [made.ask_tokens(ask, f'r{n}') for n in range(20)]
    denied = [a for a in answers if isinstance(a, actions.AdmissionDenied)]
    assert len(denied) >= 17
    assert denied[0].code == 'rate_exceeded'
    assert denied[0].retry_after > 0 * SECOND


@pytest.mark.parametrize(('started_s', 'asked'), [(1, 4), (0.15, 4), (0, 1)])
def test_tokens_are_waited_for_while_the_instance_starts(started_s, asked):
    """Holders that start as well give out little, and more in a moment."""
    denied = messages.QuotaReply(False, 0.06)
    replies = [denied, denied, denied, messages.QuotaReply(True, 0.0)]
    fleet, made = make(started_by=START + started_s * SECOND, AskQuota=replies)
    answer = made.ask_tokens(actions.AskTokens('c', ''), 'r')
    assert len(fleet.asked) == asked
    if asked == 4:
        assert isinstance(answer, actions.TokensGranted)
    else:
        assert answer == actions.AdmissionDenied(
            'rate_exceeded', 0.06 * SECOND
        )


def test_an_instance_that_starts_does_not_wait_as_long_as_holders_say():
    """Those that start as well name the pause of a rate yet divided.

    Seen on Ponte Nova's grown trouble-1: 124 refusals, most of them in the
    second after the start of all.
    """
    replies = [
        messages.QuotaReply(False, 5.0),
        messages.QuotaReply(True, 0.0),
    ]
    fleet, made = make(started_by=START + SECOND, AskQuota=replies)
    answer = made.ask_tokens(actions.AskTokens('c', ''), 'r')
    assert isinstance(answer, actions.TokensGranted)


def test_a_place_in_the_queue_is_asked_for_again():
    queued = messages.ServerReply()
    given = messages.ServerReply(3, 'i1', 0.2)
    fleet, made = make(AskServer=[queued, queued, given])
    permit = made.ask_permit(ASK, 'r')
    assert (permit.server, permit.first_byte_timeout) == ('i1', 0.2 * SECOND)
    assert len({m.request_id for m in fleet.asked}) == 1
    made.report_permit(
        actions.ReportPermit('x', 'i1', permit.permit_id, 'ok', SECOND)
    )
    (sent,) = fleet.sent
    assert (sent.permit_id, sent.outcome) == (3, 'ok')


def test_a_server_that_this_instance_cannot_reach_is_named_to_the_holder():
    given = messages.ServerReply(3, 'i1', 0.2)
    fleet, made = make(AskServer=given)
    permit = made.ask_permit(ASK, 'r')
    made.report_permit(
        actions.ReportPermit('x', 'i1', permit.permit_id, 'refused', SECOND)
    )
    made.ask_permit(ASK, 'r2')
    assert fleet.asked[-1].excluded == ('i1',)


def test_a_refusal_of_the_holder_keeps_its_code_and_time():
    denial = messages.ServerReply(code='pool_busy', retry_after_s=0.4)
    _, made = make(AskServer=denial)
    answer = made.ask_permit(ASK, 'r')
    assert answer == actions.AdmissionDenied('pool_busy', 0.4 * SECOND)


class DomainFleet(FakeFleet):
    """Answer AskServer with a list of replies by the shard's domain."""

    def call_instance(self, target, message, timeout):
        self.asked.append(message)
        return self.replies[message.shard.domain].pop(0)


def make_domains(**replies):
    core = test_core.make_core()
    changes = tuple(
        test_published.make_change(
            f'servers/{domain}',
            10 + number,
            test_published.make_server(
                info={'service': 'x', 'zone': domain, 'slots': 2}
                | {'version': 'v1'}
            ),
        )
        for number, domain in enumerate(replies)
    )
    core.apply_store_update(changes, 20, False, False, START)
    fleet = DomainFleet(core, replies)
    manual = clock.ManualClock(WALL, START)
    facts = core_admission.CoreDecisionContext(core, manual)
    return fleet, core_admission.CoreAdmission(
        fleet, facts, manual, metrics.Metrics()
    )


def test_a_free_slot_in_another_domain_goes_before_a_queue():
    busy = messages.ServerReply(wait_s=0.1)
    given = messages.ServerReply(3, 'b', 0.2)
    fleet, made = make_domains(a=[busy], b=[given])
    permit = made.ask_permit(ASK, 'r')
    assert permit.server == 'b'
    made.report_permit(
        actions.ReportPermit('x', 'b', permit.permit_id, 'ok', SECOND)
    )
    assert fleet.sent[0].shard == fleet.asked[-1].shard


def test_a_request_waits_where_a_slot_is_expected_first():
    """A surge fills all domains, and one of them has the shorter queue."""
    fleet, made = make_domains(
        a=[messages.ServerReply(wait_s=0.4)],
        b=[messages.ServerReply(wait_s=0.1), messages.ServerReply(5, 'b')],
        c=[messages.ServerReply(code='pool_busy', retry_after_s=1.0)],
    )
    assert made.ask_permit(ASK, 'r').server == 'b'
    assert [m.may_wait for m in fleet.asked] == [False] * 3 + [True]


def test_a_request_is_refused_at_once_when_no_domain_has_room():
    refusal = messages.ServerReply(code='pool_busy', retry_after_s=0.3)
    fleet, made = make_domains(a=[refusal] * 2, b=[refusal] * 2)
    answer = made.ask_permit(ASK, 'r')
    assert answer == actions.AdmissionDenied('pool_busy', 0.3 * SECOND)
    assert len(fleet.asked) <= 4


def test_a_request_counts_once_towards_the_budget_of_repeats():
    """It may ask for a free slot, for two queues, and again elsewhere.

    Seen on Ponte Nova's scale-1, seed 634998486302: 224 arrivals beyond the
    first in 10 s at a service, over the operators' bound.
    """
    refusal = messages.ServerReply(code='pool_busy', retry_after_s=0.3)
    fleet, made = make_domains(a=[refusal] * 2, b=[refusal] * 2)
    made.ask_permit(ASK, 'r')
    counted = [m for m in fleet.asked if m.may_wait and m.is_new]
    assert len(counted) == 1
    fleet, made = make_domains(a=[messages.ServerReply(3, 'a')])
    made.ask_permit(ASK._replace(excluded=('b',)), 'r')
    assert not fleet.asked[0].is_new


def test_a_queue_for_good_servers_goes_before_a_shorter_one():
    """Where all servers fail at once, nobody has to wait.

    Seen on Ponte Nova's quiet-1: bookings went to servers known to fail
    while those of another domain had a slot some milliseconds later.
    """
    fleet, made = make_domains(
        a=[messages.ServerReply(wait_s=0.01, doubt=2)],
        b=[messages.ServerReply(wait_s=0.3), messages.ServerReply(5, 'b')],
    )
    assert made.ask_permit(ASK, 'r').server == 'b'


def test_doubted_servers_are_better_than_a_refusal():
    fleet, made = make_domains(
        a=[
            messages.ServerReply(wait_s=0.01, doubt=2),
            messages.ServerReply(5, 'a'),
        ],
        b=[messages.ServerReply(code='pool_busy', retry_after_s=0.3)],
    )
    assert made.ask_permit(ASK, 'r').server == 'a'
