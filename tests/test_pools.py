"""Tests of the holder of a pool: permits, fair queue and survey."""

import collections
import datetime
import random
from typing import NamedTuple

import pytest

from cranberryscale import messages
from cranberryscale.process.leased import fair_queue
from cranberryscale.process.leased import pools
from cranberryscale.version import configuration


MEMBERS = frozenset(f'i{n}' for n in range(6))


class Lease(NamedTuple):
    """Stand-in for process.leases.Lease."""

    resource: str
    since: datetime.timedelta
    until: datetime.timedelta


def at(seconds):
    """Return a point in time."""
    return datetime.timedelta(seconds=seconds)


def lease(since_s, until_s=10**6):
    """Return a lease on the pool."""
    return Lease('pool', at(since_s), at(until_s))


def make_configuration(servers=2, slots=4, out=(), limit=64, **values):
    """Return a configuration of one service with warm servers in a domain."""
    published = {
        f's{n}': configuration.BackendServer(
            f's{n}',
            'app',
            'd',
            f'h:{n}',
            slots,
            state='out' if f's{n}' in out else 'in',
            **({'cold_slots': slots} | values),
        )
        for n in range(servers)
    }
    services = {'app': configuration.Service('app', queue_limit=limit)}
    return configuration.Configuration(services=services, servers=published)


def make_holder(answering=MEMBERS, **values):
    """Return a holder whose survey at time 0 the members answered."""
    holder = pools.PoolHolder('app', 'd', random.Random(1))
    holder.load_members(MEMBERS, at(0))
    holder.load_servers(make_configuration(**values), at(0))
    for member in sorted(answering):
        reply = messages.SurveyReply(())
        holder.record_survey_reply(member, reply, lease(0), at(0))
    return holder


def send_request(
    holder, now_s, sender='i0', held=None, customer='c', **values
):
    """Return the holder's reply to a request for a permit."""
    request = messages.TakePermit(
        'app',
        'd',
        'r',
        customer,
        values.pop('remaining_s', 5.0),
        **values,
    )
    return holder.request_permit(request, sender, held or lease(0), at(now_s))


def send_report(holder, grant, now_s, outcome='ok', sender='i0', held=None):
    """Report the end of a request and return the deferred replies."""
    message = messages.PermitReport(
        grant.permit_id, grant.server, outcome, 0.04
    )
    return holder.finish_permit(message, sender, held or lease(0), at(now_s))


def count_running(holder, now_s, held=None):
    """Return the permits in use at each server."""
    rows = holder.list_server_snapshots(held or lease(0), at(now_s))
    return {row.server: row.running for row in rows}


@pytest.mark.parametrize('slots', [1, 2, 3, 6])
def test_random_traffic_stays_within_slots(slots):
    """No order of events may exceed a server's slots or an instance's half.

    Instances request, report, queue and miss deadlines at random.
    """
    rng = random.Random(slots)
    holder = make_holder(slots=slots, limit=4)
    running, waiting = {}, {}
    for step in range(2000):
        now_s = 1 + step * 0.01
        # Instances and backend servers stop at the deadline.
        for permit_id, (_, _, ends_s) in tuple(running.items()):
            if ends_s <= now_s:
                del running[permit_id]
        sender = rng.choice(sorted(MEMBERS))
        remaining_s = rng.uniform(1, 9)
        replies = ()
        if rng.random() < 0.6:
            reply = send_request(
                holder, now_s, sender, remaining_s=remaining_s
            )
            if isinstance(reply, pools.PermitDeferral):
                waiting[reply.ticket] = sender, now_s + remaining_s
                replies = holder.advance(lease(0), at(now_s))
            elif isinstance(reply, messages.PermitGrant):
                running[reply.permit_id] = sender, reply, now_s + remaining_s
        elif running:
            owner, grant, _ = running.pop(rng.choice(sorted(running)))
            outcome = rng.choice(('ok', 'ok', 'ok', 'unused'))
            replies = send_report(holder, grant, now_s, outcome, owner)
        for ticket, reply in replies:
            owner, ends_s = waiting.pop(ticket)
            if isinstance(reply, messages.PermitGrant):
                running[reply.permit_id] = owner, reply, ends_s
        granted = [
            (owner, grant.server) for owner, grant, _ in running.values()
        ]
        by_server = collections.Counter(server for _, server in granted)
        by_owner = collections.Counter(granted)
        assert max(by_server.values(), default=0) <= slots
        assert max(by_owner.values(), default=0) <= -(-slots // 2)


def test_no_permit_without_lease_and_no_start_after_its_end():
    """A former holder must not let requests start after its lease.

    The next holder may issue permits for the same slots by then.
    """
    holder = make_holder()
    reply = send_request(holder, 1, held=lease(0, 1))
    assert reply.code == 'pool_unavailable'
    holder = make_holder()
    grant = send_request(holder, 1, held=lease(0, 1.1))
    assert grant.start_within_s == pytest.approx(0.1)


def test_start_limit_of_queued_grant_includes_the_wait():
    """Counted from the request, the limit would pass before the grant."""
    holder = make_holder(servers=1, slots=2)
    first_grant = send_request(holder, 1)
    send_request(holder, 1, 'i1')
    ticket = send_request(holder, 1, 'i2').ticket
    ((replied_ticket, grant),) = send_report(holder, first_grant, 2)
    assert replied_ticket == ticket
    assert grant.start_within_s == pytest.approx(1.25)


def test_unreported_permit_expires_at_its_deadline():
    """A lost instance must not keep slots, nor lose them too early.

    The server may run the request until its deadline.
    """
    holder = make_holder(servers=1)
    send_request(holder, 1, remaining_s=2.0)
    assert count_running(holder, 3.01) == {'s0': 1}
    assert count_running(holder, 3.03) == {'s0': 0}


@pytest.mark.parametrize('outcome', ['silent', 'truncated', 'cancelled'])
def test_unfinished_request_keeps_its_slot(outcome):
    """The server may still run the request; a new one would overload it."""
    values = {'cold_slots': 1} if outcome == 'cancelled' else {}
    holder = make_holder(servers=1, **values)
    grant = send_request(holder, 1)
    send_report(holder, grant, 1.1, outcome)
    assert count_running(holder, 5.9) == {'s0': 1}
    assert count_running(holder, 6.2) == {'s0': 0}


def test_cancelled_requests_do_not_block_warm_servers():
    """One customer that keeps disconnecting must not use up all slots."""
    holder = make_holder(servers=1)
    for step in range(30):
        grant = send_request(holder, 1 + step / 10)
        send_report(holder, grant, 1.05 + step / 10)
    grant = send_request(holder, 5)
    send_report(holder, grant, 5.01, 'cancelled')
    assert count_running(holder, 5.1) == {'s0': 1}
    assert count_running(holder, 6) == {'s0': 0}


def test_report_of_another_instance_releases_no_slot():
    """A faulty instance must not release the slots of another one."""
    holder = make_holder()
    grant = send_request(holder, 1, 'i0')
    send_report(holder, grant, 1.1, sender='i1')
    assert sum(count_running(holder, 1.2).values()) == 1


def test_new_lease_waits_for_the_survey():
    """Requests permitted earlier still run when another holder begins.

    Without the survey the new holder would overload the servers.
    """
    holder = make_holder()
    send_request(holder, 1)
    new_lease = lease(20)
    assert send_request(holder, 20, held=new_lease).code == 'pool_unavailable'
    assert set(holder.list_unsurveyed(new_lease, at(20))) == MEMBERS
    permits = tuple(messages.SurveyPermit(f'p{n}', 's0', 4.0) for n in (1, 2))
    for member in sorted(MEMBERS):
        reply = messages.SurveyReply(permits if member == 'i1' else ())
        holder.record_survey_reply(member, reply, new_lease, at(20))
    assert count_running(holder, 20, new_lease) == {'s0': 2, 's1': 0}
    # The instance already has its half of s0.
    grants = [send_request(holder, 20, 'i1', new_lease) for _ in range(3)]
    assert [g.server for g in grants[:2]] == ['s1', 's1']
    assert isinstance(grants[2], pools.PermitDeferral)
    holder.finish_permit(
        messages.PermitReport('p1', 's0', 'ok', 0.1), 'i1', new_lease, at(21)
    )
    assert count_running(holder, 21, new_lease)['s0'] == 2


def test_member_without_reply_counts_with_its_maximum_until_the_limit():
    """A member that does not reply may be using half of every server."""
    holder = make_holder(answering=MEMBERS - {'i5'}, servers=1)
    grants = [send_request(holder, 1, f'i{n}') for n in range(3)]
    assert isinstance(grants[1], messages.PermitGrant)
    assert isinstance(grants[2], pools.PermitDeferral)
    assert send_request(holder, 1, 'i5').code == 'pool_unavailable'
    ticket = send_request(holder, 31, 'i5').ticket
    replies = dict(holder.advance(lease(0), at(31)))
    assert isinstance(replies[ticket], messages.PermitGrant)


def test_members_removed_just_before_the_lease_are_surveyed():
    """An instance that was just replaced may still run requests."""
    holder = make_holder()
    holder.load_members(MEMBERS - {'i5'}, at(15))
    assert 'i5' in holder.list_unsurveyed(lease(20), at(20))
    assert 'i5' not in holder.list_unsurveyed(lease(60), at(60))


def test_out_and_excluded_servers_get_no_requests():
    """Requests at servers that operators took out would disturb their work.

    Servers that failed the same request before are excluded as well.
    """
    holder = make_holder(servers=3)
    holder.load_servers(make_configuration(3, out=('s0',)), at(1))
    for n in range(6):
        grant = send_request(holder, 1, f'i{n}', excluded=('s1',))
        if isinstance(grant, messages.PermitGrant):
            assert grant.server == 's2'
    reply = send_request(holder, 1, excluded=('s1', 's2'))
    assert reply.code == 'no_backend_server'
    domain = {'d': configuration.FailureDomain('d', 'out')}
    out = make_configuration(3)._replace(domains=domain)
    holder.load_servers(out, at(2))
    assert send_request(holder, 2).code == 'no_backend_server'


def test_lost_lease_denies_queued_requests():
    """Queued requests must not wait for a holder that lost its lease."""
    holder = make_holder(servers=1, slots=1)
    send_request(holder, 1)
    ticket = send_request(holder, 1, 'i1').ticket
    ((replied_ticket, reply),) = holder.advance(None, at(2))
    assert (replied_ticket, reply.code) == (ticket, 'pool_unavailable')


def test_queue_denies_requests_that_cannot_finish_in_time():
    """Requests that finish after their deadline would waste slots."""
    holder = make_holder(servers=1, slots=2)
    for step in range(20):
        send_report(
            holder, send_request(holder, 1 + step / 10), 1.04 + step / 10
        )
    assert (
        send_request(holder, 4, remaining_s=0.01).code == 'deadline_too_short'
    )
    send_request(holder, 4, 'i0')
    send_request(holder, 4, 'i1')
    ticket = send_request(holder, 4, 'i2', remaining_s=0.2).ticket
    ((replied_ticket, reply),) = holder.advance(lease(0), at(4.3))
    assert (replied_ticket, reply.code) == (ticket, 'deadline_too_short')


def test_full_queue_favours_customers_with_fewer_requests():
    """A customer that fills the queue must not block other customers."""
    holder = make_holder(servers=1, slots=1, limit=3)
    first_grant = send_request(holder, 1, customer='big')
    waiting = [
        send_request(holder, 1, f'i{n}', customer='big') for n in (1, 2, 3)
    ]
    assert send_request(holder, 1, 'i4', customer='big').code == 'pool_busy'
    small_reply = send_request(holder, 1, 'i5', customer='small')
    assert isinstance(small_reply, pools.PermitDeferral)
    replies = dict(send_report(holder, first_grant, 1.1))
    assert replies[waiting[2].ticket].code == 'pool_busy'
    assert isinstance(replies[waiting[0].ticket], messages.PermitGrant)


def test_queue_takes_turns_and_sorts_by_deadline():
    """Neither many requests nor early arrival may decide the order.

    Customers take turns; a customer's requests go by deadline.
    """
    waiting = fair_queue.FairQueue()
    for ticket, (customer, deadline_s) in enumerate(
        (('a', 9), ('a', 5), ('a', 7), ('b', 8))
    ):
        request = messages.TakePermit('app', 'd', 'r', customer, 1.0)
        waiting.add(
            fair_queue.QueuedRequest(deadline_s, ticket, 0, 'i', request)
        )
    order = []
    while len(waiting):
        queued = next(waiting.iterate())
        waiting.dequeue(queued)
        order.append((queued.customer, queued.deadline_s))
    assert order == [('a', 5), ('b', 8), ('a', 7), ('a', 9)]
