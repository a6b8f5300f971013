"""Tests of slow start."""

from cranberryscale import messages
from cranberryscale.process.leased import server_records
from cranberryscale.process.leased import slow_start
from cranberryscale.version import configuration


SERVER = configuration.BackendServer(
    's', 'app', 'd', 'h:1', 3, cold_slots=1, ramp_completions=2
)


def make_report(outcome, cold=False):
    """Return the report of a finished request."""
    return messages.PermitReport('p', 's', outcome, 0.04, cold)


def make_warm_record():
    """Return the record of a warm server."""
    record = server_records.ServerRecord(SERVER, False, 0.0)
    for _ in range(4):
        record.record_report(make_report('ok'), 1.0, 2.0)
    assert not record.slow_start.is_cold
    return record


def test_limit_rises_only_with_completions_since_the_restart():
    """Requests granted before a restart must not raise the limit."""
    limiter = slow_start.SlowStart(SERVER, 'new', 5.0)
    limits = []
    for granted_s in (4.0, 4.0, 5.0, 6.0, 6.0, 6.0, 6.0):
        limiter.record_success(granted_s)
        limits.append(limiter.limit)
    assert limits == [1, 1, 1, 2, 2, 3, 3]


def test_shedding_restarts_slow_start_once():
    """Shed requests granted before the restart must not restart it again."""
    record = make_warm_record()
    record.record_report(make_report('shed'), 9.0, 10.0)
    assert (record.slow_start.limit, record.slow_start.reason) == (
        1,
        'shedding',
    )
    record.record_report(make_report('ok'), 10.0, 10.1)
    record.record_report(make_report('ok'), 10.0, 10.1)
    record.record_report(make_report('shed'), 9.5, 10.2)
    assert record.slow_start.limit == 2


def test_shedding_counts_as_error_only_at_the_lowest_limit():
    """A server that became cold must not be ejected for a burst of sheds."""
    record = make_warm_record()
    for _ in range(20):
        record.record_report(make_report('shed'), 9.0, 10.0)
    assert record.evidence.error_score == 0
    record.record_report(make_report('shed'), 10.5, 11.0)
    assert record.evidence.error_score > 0


def test_cold_hint_lowers_the_limit_only_for_a_time():
    """A wrong hint must not keep a server at the lowest limit forever."""
    record = make_warm_record()
    record.record_report(make_report('ok', cold=True), 10.0, 10.0)
    assert record.slow_start.reason == 'reported cold'
    for _ in range(6):
        record.record_report(make_report('ok', cold=True), 11.0, 12.0)
    assert record.slow_start.limit == 3


def test_published_slots_change_a_warm_limit():
    """A change of the published slots must apply to a warm server at once."""
    record = make_warm_record()
    record.slow_start.load_server(SERVER._replace(slots=5))
    assert record.slow_start.limit == 5
    record.slow_start.load_server(SERVER._replace(slots=2))
    assert record.slow_start.limit == 2
