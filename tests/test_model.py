"""Guard the specifications: sound rules hold, seeded defects are found."""

import pytest

from model import check


CASES = check.list_cases()


@pytest.mark.parametrize('case', CASES, ids=lambda case: case.name)
def test_case_is_as_expected(case):
    """A model that misses a seeded defect would miss a real one as well."""
    found = check.check_case(case)
    assert found.holds is case.holds
    assert (found.steps > 0) is not case.holds
