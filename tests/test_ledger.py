"""Tests of the permits in use at an instance and its survey replies."""

import datetime

from cranberryscale.process import local_permits


POOL = local_permits.PoolKey('events', 'lisbon-a')


def _at(seconds):
    return datetime.timedelta(seconds=seconds)


def _make_permit(number, expires_s=10):
    return local_permits.LocalPermit(
        f'p{number}', 'events-1', POOL, _at(expires_s)
    )


def test_survey_reply_lists_every_permit_in_use():
    """With a permit missing, the new holder would overload a server."""
    table = local_permits.LocalPermitTable()
    assert table.add(_make_permit(1), _at(1))
    assert table.add(_make_permit(2), _at(1))
    table.remove('p2')
    reply = table.answer_survey(POOL, _at(2))
    assert [p.permit_id for p in reply.permits] == ['p1']
    assert reply.permits[0].remaining_s == 8


def test_grant_requested_before_the_survey_is_not_used():
    """A grant of the old holder that arrives late is unknown to the new one.

    Using it would overload the server.
    """
    table = local_permits.LocalPermitTable()
    table.answer_survey(POOL, _at(2))
    assert not table.add(_make_permit(1), _at(1))
    assert not table.add(_make_permit(2), _at(2))
    assert table.add(_make_permit(3), _at(2.001))
    other = local_permits.PoolKey('events', 'lisbon-b')
    assert table.add(_make_permit(4)._replace(pool=other), _at(1))


def test_expired_permits_are_dropped():
    """Permits without a report must not use a server's slots forever."""
    table = local_permits.LocalPermitTable()
    table.add(_make_permit(1, 5), _at(1))
    assert table.answer_survey(POOL, _at(6)).permits == ()
    table.expire(_at(6))
    assert len(table) == 0
