"""Tests for the validation of published documents."""

import collections
import pathlib
import re

import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from cranberryscale import errors
from cranberryscale.version import documents
from cranberryscale.version import settings
from cranberryscale.version import subtrees
from cranberryscale.version import tables


GOOD = '''
[[customers]]
name = "c"
rate_per_s = 5
burst_requests = 10
[[keys]]
digest = "%s"
customer = "c"
[[routes]]
name = "r"
prefix = "/r"
service = "s"
[[services]]
name = "s"
[[servers]]
name = "u"
service = "s"
domain = "d"
address = "127.0.0.1:9"
slots = 2
[[domains]]
name = "d"
[fleet]
floor_fraction = 0.3
''' % ('a' * 64)


def list_faults(text):
    """Return the faults of a document."""
    parts = documents.parse_document('t/d.toml', text)
    return [
        part for part in parts if isinstance(part, documents.DocumentFault)
    ]


def test_good_document_has_rows_of_every_table():
    """A valid document must be accepted."""
    rows = documents.parse_document('t/d.toml', GOOD)
    assert {row.table for row in rows} == set(documents.list_tables())


@pytest.mark.parametrize(
    ('line', 'new', 'reason'),
    [
        ('rate_per_s = 5', 'rate_per_s = 0', '> 0'),
        ('rate_per_s = 5', 'rate_per_s = nan', '> 0'),
        ('rate_per_s = 5', 'rate_per_s = inf', '<= '),
        ('rate_per_s = 5', 'rate_per_s = true', 'bool'),
        ('burst_requests = 10', 'burst_requests = 0', '>= 1'),
        ('slots = 2', 'slots = 0', '>= 1'),
        ('slots = 2', 'cold_slots = 0\nslots = 2', '>= 1'),
        ('slots = 2', 'cold_slots = 3\nslots = 2', 'cold_slots'),
        ('floor_fraction = 0.3', 'floor_fraction = 1.1', '<= 1'),
        ('prefix = "/r"', 'prefix = "r"', 'regex'),
        ('prefix = "/r"', 'timeout_s = 31\nprefix = "/r"', '<= 30'),
        ('prefix = "/r"', 'timeout_s = 0\nprefix = "/r"', '> 0'),
        ('prefix = "/r"', 'prefx = "/r"\nprefix = "/r"', "mean 'prefix'"),
        ('[[routes]]', '[[route]]', "mean 'routes'"),
        ('[fleet]', '[[fleet]]', 'must be written as [fleet]'),
        ('[[domains]]', '[domains]', 'must be written as [[domains]]'),
        ('address = "127.0.0.1:9"', 'address = "127.0.0.1:0"', 'port'),
        ('digest = "a', 'digest = "A', 'regex'),
        ('[[domains]]', 'x = """\n[[domains]]\n"""\n[[domains]]', "'x'"),
    ],
)
def test_fault_names_its_line(line, new, reason):
    """Each fault must have the line that operators have to correct."""
    text = GOOD.replace(line, new, 1)
    number = GOOD[: GOOD.index(line)].count('\n') + 1
    (fault,) = list_faults(text)
    assert reason in fault.reason
    assert fault[0:2] == ('t/d.toml', number)
    assert fault.code == 'document_invalid'


def test_all_faults_are_found_in_one_run():
    """Operators must not have to correct faults one at a time."""
    text = GOOD.replace('slots = 2', 'slots = 0\nx = 1\ncold_slots = 0')
    text = text.replace('rate_per_s = 5', '').replace('"/r"', '"r"')
    assert len(list_faults(text)) == 5


def test_syntax_fault_names_its_line():
    """A document that is not TOML must be reported as a fault with a line."""
    assert list_faults('\n\na = \n')[0].line == 3


def test_repeats_within_a_subtree_are_faults(tmp_path):
    """Of two definitions of one name, neither may silently take precedence."""
    (tmp_path / 'a.toml').write_text(GOOD)
    (tmp_path / 'b.toml').write_text('[[domains]]\nname = "d"\n')
    manifest = subtrees.make_manifest(tmp_path, 1, 'o', 'ç"')
    unchecked = subtrees.UncheckedSubtree(
        't',
        {
            'a.toml': GOOD,
            'b.toml': '[[domains]]\nname = "d"\n',
            'manifest.toml': manifest,
        },
    )
    (fault,) = subtrees.parse_subtree(unchecked)
    assert fault.path == 't/b.toml' and 't/a.toml line 21' in fault.reason


VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=5)
    | strategies.sampled_from(['in', 'd', '/p', 'a' * 64, 'h:1', 'h:99999']),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=3), inner, max_size=3
        )
    ),
    max_leaves=6,
)
ROWS = strategies.dictionaries(
    strategies.sampled_from(
        sorted({n for t in tables.TABLES.values() for n in t.fields})
    ),
    VALUES,
    max_size=6,
)
DOCUMENTS = strategies.dictionaries(
    strategies.sampled_from([*tables.TABLES, 'other']),
    VALUES | strategies.lists(ROWS, max_size=3) | ROWS,
    max_size=4,
)


def format_value(value):
    """Return a value as inline TOML, which may be invalid."""
    match value:
        case None:
            return 'null'
        case bool():
            return str(value).lower()
        case list():
            return f'[{", ".join(map(format_value, value))}]'
        case dict():
            pairs = (
                f'{format_value(k)} = {format_value(v)}'
                for k, v in value.items()
            )
            return f'{{{", ".join(pairs)}}}'
        case str():
            return '"' + re.sub(r'["\\\x00-\x1f\x7f]', '?', value) + '"'
        case _:
            return str(value)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(DOCUMENTS)
def test_arbitrary_values_give_typed_faults(document):
    """Invalid documents must not raise exceptions in an instance."""
    text = ''.join(f'{k} = {format_value(v)}\n' for k, v in document.items())
    for part in documents.parse_document('t/d.toml', text):
        assert isinstance(part, documents.TableRow | documents.DocumentFault)
        assert 1 <= part.line <= text.count('\n') + 1


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(
    strategies.text(max_size=60)
    | strategies.text('[]{}"\'=\n#a1.', max_size=60)
)
def test_arbitrary_text_gives_typed_faults(text):
    """Corrupt documents must not raise exceptions in an instance."""
    for part in documents.parse_document('t/d.toml', text):
        assert isinstance(part, documents.DocumentFault)


def test_settings_page_names_every_field():
    """Every field of settings and documents must be documented."""
    folder = pathlib.Path(__file__).parents[1]
    page = (folder / 'docs' / 'settings.md').read_text('utf-8')
    for name, table in tables.TABLES.items():
        assert f'[{name}]' in page
        assert all(f'`{field}`' in page for field in table.fields)
    for field in msgspec.structs.fields(settings.Settings):
        inner = getattr(field.type, '__struct_fields__', ())
        names = [f'{field.name}.{name}' for name in inner] or [field.name]
        assert all(f'`{name}`' in page for name in names)


@pytest.mark.parametrize('name', ['ponte-nova', 'guild'])
def test_settings_template_is_valid(name):
    """A local fleet starts with settings made from the template."""
    folder = pathlib.Path(__file__).parents[1] / 'examples' / name
    text = (folder / 'settings.template.toml').read_text('utf-8')
    words = collections.defaultdict(lambda: '21000')
    words['secret'] = 'a secret for tests only'
    text = text.format_map(words)
    assert settings.parse_settings(text, name).addresses.peers
    for wrong in ('confirm_s = 5', 'confirm_s = 0', 'unknown = 1'):
        with pytest.raises(errors.ConfigurationError):
            settings.parse_settings(f'{text}[timeouts]\n{wrong}', name)
