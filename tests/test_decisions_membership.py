"""Tests of single rules of gossip and suspicion."""

import datetime

from cranberryscale.process import failure_detector
from cranberryscale.process import gossip
from cranberryscale.process import lease_grants
from cranberryscale.process import leases
from cranberryscale.process import membership
from cranberryscale.version import view


def at(seconds):
    """Return a time on the clock of the process under test."""
    return datetime.timedelta(seconds=seconds)


TERMS = leases.LeaseTerms(at(8), at(5), 0.01)
LIST = view.MembershipView(
    1, tuple(view.Member(n, 'd', '', '', '') for n in 'ab')
)


def make_member(name):
    """Return the membership of a process that started at 0."""
    table = leases.LeaseTable(name, 1, TERMS, at(0))
    member = membership.Membership(table, at(0))
    member.load_view(LIST, at(0))
    return member


def pull(puller, responder, sent_s, now_s):
    """Send a pull at `sent_s` and merge its reply at `now_s`."""
    sent = puller.make_pull(responder.table.name, at(sent_s), {})
    reply = responder.answer_pull(sent, at(sent_s), {})
    puller.merge_reply(responder.table.name, reply, at(sent_s), at(now_s))


def test_age_of_a_heartbeat_includes_the_delay_of_the_reply():
    """A delayed reply must not extend a lease."""
    member = make_member('a')
    pull(member, make_member('b'), 10, 14)
    assert member.list_heartbeat_ages(at(14)) == {'b': at(4)}


def test_a_late_heartbeat_of_an_earlier_process_is_ignored():
    """Grants of an earlier process must not count beside its successor's."""
    known = gossip.Heartbeat(at(10), lease_grants.Identity(7, 2))
    delayed = gossip.Heartbeat(at(20), lease_grants.Identity(7, 1))
    assert not gossip.is_newer(delayed, known)
    assert gossip.is_newer(known, delayed)


def test_a_lost_member_returns_only_after_a_fresh_time():
    """Otherwise a flapping member moves resources each time."""
    health = failure_detector.MemberHealth(suspected=True)
    alive = []
    for now in (100, 101, 109, 110):
        health = failure_detector.evaluate_member_health(
            health, at(1), at(50), at(now), at(5)
        )
        alive.append(health.alive)
    assert alive == [False, False, False, True]


def test_a_resumed_instance_suspects_no_member_until_heartbeats_can_arrive():
    """Otherwise an instance suspects all members after its own pause.

    All resources would move to other holders.
    """
    member = make_member('a')
    pull(member, make_member('b'), 10, 10)
    alive = []
    member.advance(at(10))
    for now in (40, 41, 42, 43, 44, 45, 46):
        member.advance(at(now))
        alive.append('b' in member.alive_members)
    assert alive == [True] * 6 + [False]
