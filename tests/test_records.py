"""Tests of the audit trail and the metrics."""

import datetime
import json

import pytest

from cranberryscale.process import audit
from cranberryscale.process import metrics


AT = datetime.datetime(2026, 12, 4, tzinfo=datetime.timezone.utc)


def _make_trail(count=5):
    lines = []
    trail = audit.AuditTrail('i01', 7, lines.append)
    for number in range(count):
        trail.add(AT, 'subtree_accepted', team='events', to_version=number)
    return [json.loads(line) for line in lines]


def test_unchanged_trail_has_no_breaks():
    """A trail read back from its JSON lines must verify."""
    assert audit.check_chain(_make_trail()) == ()


def _edit_record(records):
    records[2]['fields']['to_version'] = 99


def _forge_record(records):
    _edit_record(records)
    records[2]['digest'] = audit._compute_digest(records[2])


def _remove_record(records):
    del records[2]


@pytest.mark.parametrize(
    'damage', [_edit_record, _forge_record, _remove_record]
)
def test_edited_and_missing_records_are_detected(damage):
    """Edited, forged and missing records must be detected."""
    records = _make_trail()
    damage(records)
    assert audit.check_chain(records)


def test_a_failing_sink_does_not_fail_the_caller():
    """A full disk or closed pipe must not fail the calling code."""

    def fail(line):
        raise OSError('closed')

    trail = audit.AuditTrail('i01', 7, fail)
    trail.add(AT, 'subtree_accepted')
    assert trail.sink_failures == 1
    assert len(trail.list_records()) == 1


def test_metrics_render_counts_and_quantiles():
    """Dashboards read counters and quantiles by these names."""
    registry = metrics.Metrics()
    for value_ms in range(1, 101):
        registry.record(
            'request_seconds',
            datetime.timedelta(milliseconds=value_ms),
            service='events',
        )
    registry.count('refused', code='rate_exceeded')
    text = registry.render().decode()
    assert 'cranberryscale_refused_total{code="rate_exceeded"} 1.0' in text
    assert 'cranberryscale_request_seconds_count' in text
    quantile = next(
        line for line in text.splitlines() if 'quantile="0.99"' in line
    )
    assert 0.098 <= float(quantile.split()[-1]) <= 0.1
