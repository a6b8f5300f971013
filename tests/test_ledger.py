"""Guard what an instance tells a new pool holder about its permits."""

import datetime

from cranberryscale.process import local_permits


POOL = local_permits.PoolKey('events', 'lisbon-a')


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _use(number, expires_s=10):
    return local_permits.LocalPermit(
        f'p{number}', 'events-1', POOL, _at(expires_s)
    )


def test_a_survey_names_every_permit_in_use():
    """A permit left out would let the new holder overrun a server."""
    uses = local_permits.LocalPermitTable()
    assert uses.add(_use(1), _at(1))
    assert uses.add(_use(2), _at(1))
    uses.remove('p2')
    reply = uses.answer_survey(POOL, _at(2))
    assert [p.permit_id for p in reply.permits] == ['p1']
    assert reply.permits[0].remaining_s == 8


def test_a_grant_asked_for_before_the_survey_is_not_used():
    """A late grant of the old holder is unknown to the new one."""
    uses = local_permits.LocalPermitTable()
    uses.answer_survey(POOL, _at(2))
    assert not uses.add(_use(1), _at(1))
    assert not uses.add(_use(2), _at(2))
    assert uses.add(_use(3), _at(2.001))
    other = local_permits.PoolKey('events', 'lisbon-b')
    assert uses.add(_use(4)._replace(pool=other), _at(1))


def test_expired_permits_are_dropped():
    """Permits of requests that ended must not block a server for good."""
    uses = local_permits.LocalPermitTable()
    uses.add(_use(1, 5), _at(1))
    assert uses.answer_survey(POOL, _at(6)).permits == ()
    uses.expire(_at(6))
    assert len(uses) == 0
