"""Tests of the election of readers and the confirmation of configurations."""

import collections
import datetime

import hypothesis
from hypothesis import strategies
import pytest

from cranberryscale.process import confirmation
from cranberryscale.process import dissemination
from cranberryscale.process import reader_tree
from cranberryscale.version import view


TERMS = confirmation.DisseminationTerms()


def duration(seconds):
    """Return a duration."""
    return datetime.timedelta(seconds=seconds)


def make_view(count, domains=3, leaving=()):
    """Return a view of `count` members in `domains` failure domains."""
    names = [f'i{n:04}' for n in range(count)]
    return view.MembershipView(
        1,
        tuple(
            view.Member(
                name, f'd{n % domains:02}', '', '', '', name in leaving
            )
            for n, name in enumerate(names)
        ),
    )


def make_dissemination(name='i0000', count=44, suspected=(), now=0):
    """Return the dissemination state of an instance."""
    state = dissemination.Dissemination(name, TERMS, duration(now))
    state.load_members(make_view(count), frozenset(suspected))
    return state


def find_names(count=44):
    """Return a reader and a non-reader of the same failure domain."""
    tree = reader_tree.build_reader_tree(make_view(count), frozenset())
    _, names = tree.ranks[0]
    return names[0], names[5]


@pytest.mark.parametrize('count', [4, 11, 22, 44])
def test_two_live_readers_in_each_domain(count):
    """A domain whose readers leave or are suspected would get no changes."""
    listed = make_view(count)
    first = reader_tree.build_reader_tree(listed, frozenset()).readers
    leaving = make_view(count, leaving=first[:1])
    second = reader_tree.build_reader_tree(
        leaving, frozenset(first[1:2])
    ).readers
    assert not set(second) & set(first[:2])
    for domain in listed.domains:
        live = [
            member.name
            for member in leaving.members
            if member.domain == domain and member.name not in first[:2]
        ]
        assert len(set(live) & set(second)) == min(2, len(live))


@pytest.mark.parametrize(('count', 'domains'), [(44, 3), (8700, 12)])
def test_tree_bounds_children_and_age(count, domains):
    """A parent with too many children, or a deep tree, is too slow."""
    listed = make_view(count, domains)
    tree = reader_tree.build_reader_tree(listed, frozenset())
    assert len(tree.readers) == 2 * domains
    children = collections.Counter(
        tree.list_parents(member.domain, member.name)[0]
        for member in listed.members
        if member.name not in tree.readers
    )
    assert max(children.values()) <= reader_tree.FAN_OUT
    assert sum(children.values()) == count - 2 * domains
    # The confirmation must stay valid after one lost pull.
    slack = TERMS.find_pull_interval(tree.depth) + TERMS.answer
    assert TERMS.find_staleness_bound(tree.depth) + slack <= TERMS.max_age


def test_failed_parent_is_replaced_until_it_answers():
    """A lost parent must not stop its children until it is suspected."""
    _, name = find_names()
    state = make_dissemination(name)
    parent = state.find_parent(duration(0))
    state.record_pull_failure(parent, duration(0))
    other = state.find_parent(duration(0.1))
    assert other in state.reader_tree.readers and other != parent
    fresh = confirmation.Confirmation(duration(0.1), other)
    state.record_pull_reply(parent, fresh, duration(0.2), duration(0.3), True)
    assert state.find_parent(duration(0.4)) == parent


def test_parent_without_confirmation_is_passed_over():
    """A parent that is alive but itself cut off must be skipped."""
    _, name = find_names()
    state = make_dissemination(name)
    parent = state.find_parent(duration(0))
    old = confirmation.Confirmation(duration(9), '')
    state.record_pull_reply(parent, old, duration(0), duration(0), True)
    assert state.find_parent(duration(0.1)) not in (parent, None)


def test_reader_pulls_from_readers_of_other_domains():
    """Readers that only call the service never notice that it is stale."""
    name, _ = find_names()
    state = make_dissemination(name)
    targets = {state.list_pull_targets(duration(n))[0] for n in range(4)}
    own = state.reader_tree.list_readers('d00')
    assert targets == set(state.reader_tree.readers) - set(own)


def test_lone_instance_that_reaches_the_service_becomes_the_root():
    """Readers without access must learn which instance reaches the service."""
    reader, name = find_names()
    root, isolated = make_dissemination(name), make_dissemination(reader)
    assert not root.should_read(duration(1)) and isolated.should_read(
        duration(1)
    )
    late = TERMS.find_staleness_bound(1).total_seconds() + 0.5
    assert root.should_read(duration(late))
    root.record_service_answer(duration(late), duration(late), True)
    assert root.should_read(duration(late + 0.2))
    assert set(root.list_pull_targets(duration(late))) == set(
        root.reader_tree.readers
    )
    assert isolated.record_pull_age(
        name, root.find_confirmation_age(duration(late)), duration(late)
    )
    assert isolated.find_parent(duration(late)) == name
    reported = root.make_confirmation(duration(late + 0.1))
    isolated.record_pull_reply(
        name, reported, duration(late + 0.1), duration(late + 0.1), True
    )
    assert isolated.find_confirmation_age(duration(late + 0.1)) == duration(
        0.1
    )
    assert isolated.make_confirmation(duration(late + 0.1)).source == name
    isolated.record_service_answer(
        duration(late + 0.1), duration(late + 0.2), True
    )
    reported = isolated.make_confirmation(duration(late + 0.3))
    root.record_pull_reply(
        reader, reported, duration(late + 0.3), duration(late + 0.3), True
    )
    assert not root.should_read(duration(late + 0.5))


def test_calls_are_paced_when_the_service_fails():
    """A refused connection must not cause a busy loop."""
    state = make_dissemination(find_names()[0])
    state.record_service_failure(duration(1))
    assert not state.should_read(duration(1.4)) and state.should_read(
        duration(1.5)
    )
    state.record_service_answer(duration(2), duration(2.01), True)
    assert not state.should_read(duration(2.1)) and state.should_read(
        duration(2.2)
    )


def test_probes_stay_within_the_read_budget():
    """Probes by thousands of instances must not overload the service."""
    listed = make_view(8700, 12)
    probes = 0
    for member in listed.members[:600]:
        state = dissemination.Dissemination(member.name, TERMS, duration(0))
        state.load_members(listed, frozenset())
        if state.is_reader:
            continue
        for step in range(50, 250):
            if state.should_read(duration(step / 10)):
                state.record_service_failure(duration(step / 10))
                probes += 1
    assert probes / 600 * 8700 / 20 < 2000


def test_only_current_answers_confirm():
    """A stale service, or a peer with newer subtrees, must not confirm."""
    state = make_dissemination()
    state.record_service_answer(duration(1), duration(1), False)
    reported = confirmation.Confirmation(duration(0), 'i0001')
    state.record_pull_reply('i0001', reported, duration(1), duration(1), False)
    assert state.find_confirmation_age(duration(1)) is None
    assert state.decide_keyed(duration(1), (), 44).reason == 'never_confirmed'


def test_delayed_replies_confirm_nothing_late():
    """A reply that waited in a buffer must not count as fresh."""
    state = make_dissemination()
    reported = confirmation.Confirmation(duration(1), 'i0001')
    state.record_pull_reply(
        'i0001', reported, duration(10), duration(60), True
    )
    assert state.find_confirmation_age(duration(60)) == duration(51)
    assert not state.decide_keyed(duration(60), (), 44).serves


def make_heartbeats(count, age=1.0, confirmed_age=60.0):
    """Return `count` equal heartbeats."""
    confirmed = None if confirmed_age is None else duration(confirmed_age)
    return (confirmation.HeartbeatAges(duration(age), confirmed),) * count


@pytest.mark.parametrize(
    ('now', 'agreed', 'heartbeats', 'reason'),
    [
        (13.9, 10, (), 'confirmed'),
        (14.1, 10, (), 'members_unheard'),
        (70, 69, make_heartbeats(27), 'nobody_confirms'),
        (70, 69, make_heartbeats(27, confirmed_age=None), 'nobody_confirms'),
        # The instance is cut off together with a minority.
        (70, 69, make_heartbeats(26), 'members_unheard'),
        # The instance was paused and has no heartbeat of any member since.
        (70, 69, make_heartbeats(43, age=5), 'members_unheard'),
        # The members had a valid confirmation when they sent their heartbeats.
        (14.1, 13, make_heartbeats(43, 3.5, 0.5), 'members_unheard'),
        # One of them reaches the service.
        (
            70,
            69,
            make_heartbeats(42) + make_heartbeats(1, 0.5, 1.0),
            'others_confirm',
        ),
        # The instance was paused and has not pulled from any peer since.
        (70, 10, make_heartbeats(43), 'peers_unread'),
    ],
)
def test_keyed_requests_are_served_only_with_confirmation_or_quorum(
    now, agreed, heartbeats, reason
):
    """Withdrawn keys must be refused; others must work during an outage."""
    state = make_dissemination()
    state.record_service_answer(duration(10), duration(10), True)
    reported = confirmation.Confirmation(None, '')
    state.record_pull_reply(
        'i0001', reported, duration(agreed), duration(agreed), True
    )
    decision = state.decide_keyed(duration(now), heartbeats, 44)
    assert decision.reason == reason
    assert decision.serves == (reason in ('confirmed', 'nobody_confirms'))


def test_single_instance_serves_through_an_outage():
    """A fleet of one instance has no peer to agree with."""
    state = make_dissemination(count=1)
    state.record_service_answer(duration(0), duration(0), True)
    assert state.list_pull_targets(duration(1)) == ()
    assert state.decide_keyed(duration(99), (), 1).serves


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(['answer', 'parent', 'hint', 'failure']),
            strategies.floats(0, 5),
            strategies.floats(0, 5),
            strategies.booleans(),
        ),
        max_size=20,
    )
)
def test_confirmation_is_never_later_than_its_cause(events):
    """No order of events may make a confirmation seem too recent."""
    state, now, best = make_dissemination('i0003'), 0.0, None
    for kind, delay, age, is_current in events:
        sent, now = now, now + delay
        reported = confirmation.Confirmation(duration(age), 'i0001')
        match kind:
            case 'answer':
                state.record_service_answer(
                    duration(sent), duration(now), is_current
                )
                causes = [sent] if is_current else []
            case 'parent':
                state.record_pull_reply(
                    'i0001',
                    reported,
                    duration(sent),
                    duration(now),
                    is_current,
                )
                causes = [sent - age] if is_current else []
            case 'hint':
                state.record_pull_age('i0001', duration(age), duration(now))
                causes = []
            case 'failure':
                state.record_pull_failure('i0001', duration(now))
                causes = []
        best = max([*causes, *([] if best is None else [best])], default=None)
        found = state.find_confirmation_age(duration(now))
        assert (found is None) == (best is None)
        if best is not None:
            assert found >= duration(now) - duration(best) - duration(1e-5)
        assert state.find_parent(duration(now)) != 'i0003'
