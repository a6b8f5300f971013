"""Tests of single rules of grants and leases."""

import datetime

import pytest

from cranberryscale.process import lease_grants
from cranberryscale.process import leases
from cranberryscale.version import view


TERMS = leases.LeaseTerms(
    datetime.timedelta(seconds=8), datetime.timedelta(seconds=5), 0.01
)
NAMES = ('a', 'b', 'c', 'd')
LIST = view.MembershipView(
    1, tuple(view.Member(name, 'd0', '', '', '') for name in NAMES)
)
RESOURCES = tuple(view.LeasedResource('', 'budget', str(n)) for n in range(40))


def at(seconds):
    """Return a time on the clock of the process under test."""
    return datetime.timedelta(seconds=seconds)


def make_table(name='a', published=LIST, incarnation=1):
    """Return a table that started at 0 and considers all members alive."""
    table = leases.LeaseTable(name, incarnation, TERMS, at(0))
    table.load_view(published, at(0))
    table.set_alive(dict.fromkeys(NAMES, 1) | {name: incarnation}, at(0))
    return table


def find_resource(*ranking):
    """Return a resource whose ranking starts with these members."""
    return next(
        resource
        for resource in RESOURCES
        if [m.name for m in view.rank_members(LIST, resource)][: len(ranking)]
        == list(ranking)
    )


def make_grants(eligible=NAMES, recent=(), incarnation=1):
    """Return grants as another member would announce them."""
    return lease_grants.LeaseGrants(
        frozenset(
            lease_grants.Identity(
                lease_grants.hash_member(name, 'd0'), incarnation
            )
            for name in eligible
        ),
        frozenset(lease_grants.hash_member(name, 'd0') for name in recent),
    )


def announce_grants(table, name, seconds, grants):
    """Record an announcement of a member's grants in a table."""
    identity = lease_grants.Identity(lease_grants.hash_member(name, 'd0'), 1)
    table.record_grants(
        lease_grants.GrantAnnouncement(at(seconds), identity, grants)
    )


def find_grantee_name(table, resource, seconds):
    """Return the name of the member that a table grants to, or None."""
    grants = table.make_grants(at(seconds))
    if grants is None:
        return None
    evaluation = table.member_directory.find_evaluation(grants)
    grantee = table.member_directory.choose_grantee(evaluation, resource)
    return grantee and table.member_directory.get_name(grantee.member)


def test_new_process_grants_nothing_at_first():
    """Before its restart the process may have granted to another member."""
    table = make_table()
    assert table.make_grants(at(8.07)) is None
    assert table.make_grants(at(8.08)) is not None


def test_new_holder_waits_and_others_are_not_interrupted():
    """Granting too early makes two holders; waiting must stop no other."""
    table = make_table()
    moved, kept = find_resource('b', 'c'), find_resource('c', 'b')
    assert find_grantee_name(table, moved, 20) == 'b'
    table.set_alive(dict.fromkeys('acd', 1), at(20))
    assert find_grantee_name(table, moved, 20) is None
    assert find_grantee_name(table, moved, 28.07) is None
    assert find_grantee_name(table, moved, 28.08) == 'c'
    assert find_grantee_name(table, kept, 20) == 'c'


def test_return_of_a_member_restarts_the_waiting_time():
    """Otherwise a flapping member and its successor could both hold."""
    table = make_table()
    moved = find_resource('b', 'c')
    table.set_alive(dict.fromkeys('acd', 1), at(20))
    table.set_alive(dict.fromkeys('abcd', 1), at(24))
    assert find_grantee_name(table, moved, 30) is None
    assert find_grantee_name(table, moved, 32.08) == 'b'


def test_new_incarnation_of_a_holder_waits():
    """The previous process of that name may still hold its lease."""
    table = make_table()
    moved = find_resource('b', 'c')
    table.set_alive(dict.fromkeys('acd', 1) | {'b': 2}, at(20))
    assert find_grantee_name(table, moved, 28.07) is None
    assert find_grantee_name(table, moved, 28.08) == 'b'


def test_grants_to_an_earlier_incarnation_do_not_count():
    """Members that do not know the new process still grant to the old one."""
    resource = find_resource('a')
    table = make_table(incarnation=2)
    for name in 'bcd':
        announce_grants(table, name, 20, make_grants())
    table.renew(at(20))
    assert table.find_lease(resource, at(20)) is None
    for name in 'bcd':
        announce_grants(table, name, 21, make_grants(incarnation=2))
    table.renew(at(21))
    assert table.find_lease(resource, at(21)) is not None


def test_lease_ends_with_the_quorum_of_grants():
    """A lease that outlives its grants can overlap with another."""
    resource = find_resource('a')
    table = make_table()
    for seconds, name in ((18, 'b'), (19, 'c'), (20, 'd')):
        announce_grants(table, name, seconds, make_grants())
    table.renew(at(20))
    assert view.count_quorum(4) == 3
    lease = table.find_lease(resource, at(20))
    assert (lease.since, lease.until) == (at(20), at(27))
    assert table.find_lease(resource, at(26.9)) == lease
    assert table.find_lease(resource, at(27)) is None


def test_interrupted_lease_has_a_new_start():
    """State of an earlier lease must not be used under a later one."""
    resource = find_resource('a')
    table = make_table()
    for seconds in (20, 24, 40):
        for name in 'bcd':
            announce_grants(table, name, seconds, make_grants())
        table.renew(at(seconds))
        since = table.find_lease(resource, at(seconds)).since
        assert since == at(40 if seconds == 40 else 20)


def test_no_grant_counts_while_a_better_member_changed():
    """The better-ranked member may still hold the resource."""
    resource = find_resource('b', 'a')
    table = make_table()
    table.set_alive(dict.fromkeys('acd', 1), at(20))
    for name in 'bcd':
        announce_grants(table, name, 40, make_grants('acd', recent='b'))
    table.renew(at(40))
    assert table.find_lease(resource, at(40)) is None
    for name in 'bcd':
        announce_grants(table, name, 41, make_grants('acd'))
    table.renew(at(41))
    assert table.find_lease(resource, at(41)) is not None


def test_leaving_member_grants_but_never_holds():
    """A leaving instance must not start to hold resources."""
    leaving = LIST._replace(
        members=tuple(
            member._replace(leaving=member.name == 'a')
            for member in LIST.members
        )
    )
    table = make_table(published=leaving)
    resource = find_resource('a', 'b')
    for name in 'bcd':
        announce_grants(table, name, 20, make_grants())
    table.renew(at(20))
    assert table.find_lease(resource, at(20)) is None
    assert table.find_holder(resource) == 'b'
    assert find_grantee_name(table, resource, 20) == 'b'


def test_grants_naming_unknown_members_wait_for_their_list():
    """An unknown member could rank first and already hold the resource."""
    resource = find_resource('a')
    table = make_table()
    for name in 'bcd':
        announce_grants(table, name, 20, make_grants((*NAMES, 'new')))
    table.renew(at(20))
    assert table.find_lease(resource, at(20)) is None
    newer = LIST._replace(
        members=(*LIST.members, view.Member('new', 'd0', '', '', ''))
    )
    table.merge_view(newer, at(21))
    table.renew(at(21))
    ranked = view.rank_members(newer, resource)[0].name
    assert (table.find_lease(resource, at(21)) is None) == (ranked == 'new')


def test_colliding_hashes_are_ignored(monkeypatch):
    """A hash that two members share must stand for neither of them."""
    monkeypatch.setattr(
        lease_grants, 'hash_member', lambda name, _: ord(name) | 1
    )
    table = make_table('d')
    assert table.member_directory.ambiguous_members == 1
    assert set(table.member_ids) == {'a', 'd'}


@pytest.mark.parametrize('name', ['a', 'x'])
def test_retired_or_unlisted_process_holds_nothing(name):
    """A superseded or unlisted process must not hold resources."""
    table = make_table(name)
    for other in 'bcd':
        announce_grants(table, other, 20, make_grants())
    if name == 'a':
        assert any(table.find_lease(each, at(20)) for each in RESOURCES)
        table.retire()
        assert table.make_grants(at(20)) is None
    table.renew(at(20))
    assert not any(table.find_lease(each, at(20)) for each in RESOURCES)
