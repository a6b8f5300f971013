"""Tests of the headers by which backend servers report on a request."""

import pytest

from cranberryscale.connection import backend_headers
from cranberryscale.platform import header_names


OWN = backend_headers.BackendHeaders()


@pytest.mark.parametrize(
    'names,status,pairs,expected',
    [
        (OWN, 503, (('X-Not-Run', 'True'),), True),
        (OWN, 503, (('X-Not-Run', 'no'),), False),
        (OWN, 503, (), False),
        # By default only a 503 response can state it.
        (OWN, 500, (('X-Not-Run', 'true'),), False),
        (OWN, 421, (), False),
        (header_names.BACKEND_HEADERS, 503, (('X-Not-Executed', '1'),), True),
        (header_names.BACKEND_HEADERS, 400, (('X-Not-Executed', '1'),), True),
        (header_names.BACKEND_HEADERS, 421, (), True),
        (header_names.BACKEND_HEADERS, 503, (), False),
        (header_names.BACKEND_HEADERS, 200, (('X-Not-Executed', '1'),), False),
    ],
)
def test_only_an_unambiguous_statement_counts_as_not_run(
    names, status, pairs, expected
):
    """A request that ran must not be sent again."""
    assert names.is_not_run(status, pairs) is expected


def test_cold_start_header_value_is_case_insensitive():
    assert OWN.is_cold_start((('X-Cold-Start', 'True'),))
    assert not OWN.is_cold_start((('X-Cold-Start', '0'),))
    assert not header_names.BACKEND_HEADERS.is_cold_start(
        (('X-Cold-Start', 'true'),)
    )
