"""Tests of decisions on the evidence of one server."""

from tests import test_ramps


def test_a_returned_server_starts_without_old_evidence():
    """Errors from before its ejection would get a server ejected again."""
    record = test_ramps.make_warm_record()
    for number in range(20):
        now_s = 10 + number / 10
        record.record_report(test_ramps.make_report('error'), now_s, now_s)
    record.update_scores((), 12)
    assert record.score >= 1
    record.eject('errors', 12)
    record.restore('trials passed', 16)
    record.update_scores((), 16)
    assert record.score == 0
