"""Guard the table of mutations against changes of the mutated code."""

import pathlib

import pytest

from cranberryscale_bench import mutations


ROOT = pathlib.Path(__file__).resolve().parent.parent
TABLE = mutations.list_mutations()


@pytest.mark.parametrize('mutation', TABLE, ids=lambda each: each.name)
def test_original_text_occurs_exactly_once(mutation):
    """A mutation whose text is gone or ambiguous would test nothing."""
    text = (ROOT / mutation.file).read_text()
    assert text.count(mutation.original) == 1
    assert mutation.original != mutation.replacement
    for name in mutation.tests:
        assert (ROOT / f'tests/test_{name}.py').exists()


def test_names_are_unique():
    """`--only` selects a mutation by its name."""
    assert len({mutation.name for mutation in TABLE}) == len(TABLE)
