"""Tests of what is remembered of requests under which servers end."""

import datetime
import math

import pytest

from cranberryscale.process import request_crashes


START = datetime.timedelta(seconds=100)
SECOND = datetime.timedelta(seconds=1)
MILLISECOND = SECOND / 1000
DIGEST = request_crashes.make_digest(('GET', 'h', '/a', 'c'))
PROCESSES = tuple(
    request_crashes.ServerProcess(f's{number}', 1) for number in range(5)
)


def make_table(crashes, at=START):
    table = request_crashes.CrashTable()
    for process in PROCESSES[:crashes]:
        table.record_crash(DIGEST, process, at)
    return table


def test_requests_that_differ_in_one_part_have_other_digests():
    parts = [
        ('GET', 'h', '/a', 'c'),
        ('HEAD', 'h', '/a', 'c'),
        ('GET', 'h', '/a?', 'c'),
        ('GET', 'h', '/', 'ac'),
        ('GET', 'h', '/a', ''),
    ]
    assert len({request_crashes.make_digest(each) for each in parts}) == 5


def test_request_is_refused_after_ends_of_different_processes():
    table = make_table(1)
    table.record_crash(DIGEST, PROCESSES[0], START + SECOND)
    assert not table.is_refused(DIGEST, START + SECOND)
    # The same server has started again.
    table.record_crash(DIGEST, PROCESSES[0]._replace(started_ms=2), START)
    assert table.is_refused(DIGEST, START + SECOND)
    assert not table.is_refused(b'other', START + SECOND)
    later = START + SECOND + request_crashes.RETENTION
    assert not table.is_refused(DIGEST, later)


def test_response_shows_that_earlier_ends_had_other_causes():
    table = make_table(3)
    table.record_response(DIGEST, START - MILLISECOND)
    assert table.is_refused(DIGEST, START)
    table.record_response(DIGEST, START)
    assert not table.is_refused(DIGEST, START)


def test_request_with_responses_is_tried_again_only_once():
    table = make_table(0)
    table.record_response(DIGEST, START)
    now = START + SECOND
    limit = request_crashes.ANSWERED_CRASH_LIMIT
    for process in PROCESSES[:limit]:
        assert not table.is_refused(DIGEST, now)
        table.record_crash(DIGEST, process, now)
    assert table.is_refused(DIGEST, now)
    now += request_crashes.RECOVERY_TIME
    assert not table.is_refused(DIGEST, now)
    table.record_crash(DIGEST, PROCESSES[limit], now)
    assert table.is_refused(DIGEST, now + 50 * SECOND)


@pytest.mark.parametrize('crashes', [3, 4, 5])
def test_common_request_is_refused_briefly_after_ends_at_once(crashes):
    """Servers that ended together cut off several attempts of it."""
    table = request_crashes.CrashTable()
    table.record_response(DIGEST, START)
    for number, process in enumerate(PROCESSES[:crashes]):
        table.record_crash(DIGEST, process, START + number * MILLISECOND)
    last = START + (crashes - 1) * MILLISECOND
    recovered = last + request_crashes.RECOVERY_TIME
    assert table.is_refused(DIGEST, recovered - MILLISECOND)
    assert not table.is_refused(DIGEST, recovered)
    process = request_crashes.ServerProcess('s9', 1)
    table.record_crash(DIGEST, process, recovered)
    assert table.is_refused(DIGEST, recovered + 30 * SECOND)


def test_exchanges_make_nothing_seem_more_recent():
    """Each message takes a while, and adds it to what it brings."""
    tables = [make_table(1), request_crashes.CrashTable()]
    tables[0].record_response(b'other', START)
    now = START
    for number in range(400):
        for digest in (DIGEST, b'other'):
            sent = tables[number % 2].make_history(digest, now)
            margin = request_crashes.REPLY_MARGIN * (number % 2)
            arrives = now + 50 * MILLISECOND
            tables[1 - number % 2].merge(sent, arrives, margin)
        now += 60 * MILLISECOND
    for table in tables:
        crash = table.make_history(DIGEST, now).crashes[0]
        age_s = (now - START).total_seconds()
        assert crash.age_s == pytest.approx(age_s, abs=0.1)
        response_age_s = table.make_history(b'other', now).response_age_s
        assert response_age_s == pytest.approx(age_s, abs=0.1)


def test_what_is_remembered_is_bounded():
    table = request_crashes.CrashTable()
    for number in range(3 * request_crashes.MAX_RESPONSES):
        digest = request_crashes.make_digest((str(number),))
        table.record_crash(digest, PROCESSES[0], START)
        table.record_response(
            request_crashes.make_digest((f'r{number}',)), START
        )
    assert len(table._crashes) == request_crashes.MAX_REQUESTS
    assert len(table._responses) == request_crashes.MAX_RESPONSES
    assert table.list_crashes(digest, START)


@pytest.mark.parametrize('age_s', [-1.0, math.nan, math.inf, 1e9])
def test_ages_that_no_instance_sends_change_nothing(age_s):
    table = make_table(2)
    crashes = tuple(
        request_crashes.ServerCrash(*process, age_s) for process in PROCESSES
    )
    history = request_crashes.RequestHistory(DIGEST, crashes, age_s)
    table.merge(history, START)
    assert table.is_refused(DIGEST, START)
    other = request_crashes.CrashTable()
    other.merge(history, START)
    assert other.list_crashes(DIGEST, START) == {}
