"""Guard the table of mutations against changes of the code it names."""

import pathlib

import pytest

from cranberryscale_bench import mutations


ROOT = pathlib.Path(__file__).resolve().parent.parent
TABLE = mutations.list_mutations()


@pytest.mark.parametrize('mutation', TABLE, ids=lambda each: each.name)
def test_the_text_to_replace_stands_exactly_once(mutation):
    """A stale mutation would change nothing and prove nothing."""
    text = (ROOT / mutation.file).read_text()
    assert text.count(mutation.original) == 1
    assert mutation.original != mutation.replacement
    for name in mutation.tests:
        assert (ROOT / f'tests/test_{name}.py').exists()


def test_names_are_unique():
    """`--only` must choose one mutation."""
    assert len({mutation.name for mutation in TABLE}) == len(TABLE)
