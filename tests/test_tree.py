"""Tests for the acceptance of subtrees."""

import hashlib
import pathlib
import random
import re

import hypothesis
from hypothesis import strategies
import pytest

from cranberryscale import messages
from cranberryscale.version import keys
from cranberryscale.version import subtrees
from cranberryscale.version import tree
from standins import manifests


DOMAINS = '[[domains]]\nname = "d"\n'
SERVICES = '[[services]]\nname = "s"\n'
ROUTES = '[[routes]]\nname = "r"\nprefix = "/"\nservice = "s"\n'


def make_texts(version, **texts):
    """Return a subtree's documents with a matching manifest."""
    texts = {f'{name}.toml': text for name, text in texts.items()}
    digests = (
        f'"{name}" = "{hashlib.sha256(text.encode()).hexdigest()}"\n'
        for name, text in texts.items()
    )
    head = f'version = {version}\nowner = "o"\nchanged_by = "w"\n'
    manifest = f'{head}[documents]\n{"".join(digests)}'
    return {**texts, 'manifest.toml': manifest}


def make_subtree(team, version, modify_index=0, **texts):
    """Return an unchecked subtree with a matching manifest."""
    return subtrees.UncheckedSubtree(
        team, make_texts(version, **texts), modify_index
    )


def make_tree(*subtrees_given):
    """Return a tree that has accepted the subtrees."""
    config_tree = tree.ConfigurationTree()
    for outcome in config_tree.apply_subtrees(subtrees_given):
        assert isinstance(outcome, tree.SubtreeAcceptance)
    return config_tree


def test_acceptance_has_owner_and_versions():
    """Auditors must be able to trace a change to its owner."""
    config_tree = make_tree(make_subtree('net', 3, domains=DOMAINS))
    outcomes = config_tree.apply_subtrees([make_subtree('net', 5, domains='')])
    assert outcomes == (tree.SubtreeAcceptance('net', 'o', 'w', 3, 5),)
    assert config_tree.versions == {'net': 5}
    assert config_tree.configuration.domains == {}


@pytest.mark.parametrize('version', [1, 2, 3])
def test_version_never_decreases(version):
    """An outdated reader must not apply an older or different version."""
    config_tree = make_tree(make_subtree('net', 3, domains=DOMAINS))
    before = config_tree.configuration
    (rejection,) = config_tree.apply_subtrees(
        [make_subtree('net', version, domains='')]
    )
    assert rejection.code == 'subtree_stale'
    assert config_tree.configuration is before
    assert (
        config_tree.apply_subtrees([make_subtree('net', version, domains='')])
        == ()
    )


def test_partial_subtree_changes_nothing():
    """A partially read change must not come into force."""
    config_tree = make_tree(make_subtree('net', 1, a=DOMAINS, b=SERVICES))
    before = config_tree.configuration
    unchecked = make_subtree('net', 2, a='', b='')
    partial = {n: t for n, t in unchecked.documents.items() if n != 'b.toml'}
    mixed = {**unchecked.documents, 'b.toml': SERVICES}
    for texts in (partial, mixed, {'a.toml': ''}):
        (rejection,) = config_tree.apply_subtrees(
            [subtrees.UncheckedSubtree('net', texts)]
        )
        assert rejection.code == 'subtree_incomplete'
        assert config_tree.configuration is before
    assert (
        config_tree.apply_subtrees([subtrees.UncheckedSubtree('net', {})])
        == ()
    )  # already reported
    assert config_tree.configuration is before
    assert isinstance(
        config_tree.apply_subtrees([unchecked])[0],
        tree.SubtreeAcceptance,
    )


def test_subtree_missing_from_a_response_stays_in_force():
    """A partial response of the platform must not remove customers."""
    config_tree = make_tree(make_subtree('net', 1, a=DOMAINS))
    assert config_tree.apply_subtrees([]) == ()
    assert config_tree.configuration.domains
    assert not config_tree.is_covered_by({}) and config_tree.is_covered_by(
        {'net': 1}
    )


def test_teams_that_need_each_other_come_into_force_together():
    """The first start must not depend on the order of teams."""
    make_tree(
        make_subtree('a', 1, routes=ROUTES), make_subtree('b', 1, s=SERVICES)
    )


def test_only_the_newer_subtree_is_refused():
    """A fault of one team must not remove another team's configuration."""
    config_tree = make_tree(
        make_subtree('a', 1, routes=ROUTES), make_subtree('b', 1, s=SERVICES)
    )
    removal, unrelated = make_subtree('b', 2), make_subtree('c', 1, d=DOMAINS)
    rejection, accepted = config_tree.apply_subtrees([removal, unrelated])
    assert (rejection.team, accepted.team) == ('b', 'c')
    assert "'s' was removed but is used in a/routes.toml" in str(rejection)
    duplicate = make_subtree('z', 1, d=DOMAINS)
    assert (
        config_tree.apply_subtrees([duplicate])[0].faults[0].path == 'z/d.toml'
    )
    outcomes = config_tree.apply_subtrees([make_subtree('a', 2), removal])
    assert [type(o) for o in outcomes] == [tree.SubtreeAcceptance] * 2


@pytest.mark.parametrize(
    ('line', 'accepted'),
    [
        ('', False),
        ('methods = ["GET"]\n', False),
        ('host = "a.example"\n', True),
    ],
)
def test_route_of_another_team_cannot_match_the_same_requests(line, accepted):
    """A team must not receive the requests of another team's route."""
    config_tree = make_tree(make_subtree('a', 1, routes=ROUTES, s=SERVICES))
    other_route = ROUTES.replace('"r"', '"x"') + line
    (outcome,) = config_tree.apply_subtrees(
        [make_subtree('b', 1, routes=other_route)]
    )
    assert isinstance(outcome, tree.SubtreeAcceptance) == accepted


@pytest.mark.parametrize('name', ['ponte-nova', 'guild'])
def test_examples_are_accepted(name):
    """The examples must be valid and match their manifests."""
    folder = pathlib.Path(__file__).parents[1] / 'examples' / name
    config_tree = make_tree(*subtrees.load_directory(folder))
    servers = config_tree.configuration.servers.values()
    assert len(config_tree.configuration.customers) == 8
    assert len({server.address for server in servers}) == len(servers)
    readme = (folder / 'README.md').read_text('utf-8')
    withdrawn = 0
    for key in re.findall(r'^\| `([^`]+)` \|', readme, re.MULTILINE):
        found = config_tree.configuration.keys[keys.digest_key(key)]
        withdrawn += found.withdrawn
    assert withdrawn == 1
    first = sorted(server.address for server in servers)[0]
    values = manifests.load_values_with_addresses(
        folder, {first: '127.0.0.1:1'}
    )
    subtrees_given = {}
    for path, text in values.items():
        _, team, document = path.split('/')
        subtrees_given.setdefault(team, {})[document] = text
    moved = make_tree(
        *(subtrees.UncheckedSubtree(*item) for item in subtrees_given.items())
    )
    addresses = {s.address for s in moved.configuration.servers.values()}
    assert '127.0.0.1:1' in addresses and first not in addresses


@pytest.mark.parametrize(
    ('modify_index', 'rejected_team'), [(9, 'a'), (1, 'b')]
)
def test_later_write_is_refused_when_both_are_new(modify_index, rejected_team):
    """A new instance must resolve a conflict as the other instances did."""
    config_tree = tree.ConfigurationTree()
    outcomes = config_tree.apply_subtrees(
        [
            make_subtree('a', 1, modify_index, d=DOMAINS),
            make_subtree('b', 1, 5, d=DOMAINS),
        ]
    )
    assert [
        o.team for o in outcomes if isinstance(o, tree.SubtreeRejection)
    ] == [rejected_team]


def test_delta_carries_only_what_changed():
    """A change of one document must not send all documents to peers."""
    first = make_subtree('net', 1, a=DOMAINS, b=SERVICES, c='')
    sender, receiver = make_tree(first), make_tree(first)
    sender.apply_subtrees(
        [make_subtree('net', 2, a=DOMAINS, b=SERVICES + '# x')]
    )
    (record,) = sender.make_records(receiver.versions)
    assert record.base == 1 and record.removed == ('c.toml',)
    assert record.documents.keys() == {'manifest.toml', 'b.toml'}
    assert isinstance(
        receiver.apply_records([record])[0], tree.SubtreeAcceptance
    )
    assert receiver.configuration == sender.configuration
    assert sender.make_records(receiver.versions) == ()
    (whole,) = sender.make_records({})
    assert whole.base == 0 and len(whole.documents) == 3


def test_delta_for_another_base_requests_the_full_subtree():
    """A delta for another base version must not be merged."""
    config_tree = make_tree(make_subtree('net', 2, a=DOMAINS))
    before = config_tree.configuration
    texts = make_texts(4, a='')
    other = messages.SubtreeRecord('net', 4, 3, texts)
    damaged = messages.SubtreeRecord(
        'net', 4, 2, {'manifest.toml': texts['manifest.toml']}
    )
    for record in (other, damaged):
        assert config_tree.apply_records([record]) == (
            tree.FullSubtreeNeeded('net', 4),
        )
        assert config_tree.configuration is before
    whole = messages.SubtreeRecord('net', 4, 0, texts)
    assert config_tree.apply_records([whole])[0].to_version == 4
    assert config_tree.apply_records([other]) == ()


def test_incremental_merges_equal_a_merge_from_scratch():
    """Incremental merges must not leave values of old versions."""
    source = random.Random(7)
    rows = [DOMAINS.replace('"d"', f'"d{n}"') for n in range(6)]
    rows.append('[fleet]\nfloor_fraction = 0.1\n')
    config_tree, latest, accepted = tree.ConfigurationTree(), {}, 0
    for version in range(1, 200):
        team = source.choice('abc')
        text = ''.join(source.sample(rows, 2))
        unchecked = make_subtree(team, version, rows=text)
        for outcome in config_tree.apply_subtrees([unchecked]):
            if isinstance(outcome, tree.SubtreeAcceptance):
                latest[team], accepted = unchecked, accepted + 1
    assert accepted > 20
    assert (
        make_tree(*latest.values()).configuration == config_tree.configuration
    )


NAMES = strategies.sampled_from(['net', 'a', '', '../x', 'manifest.toml'])
MANIFEST = make_texts(9, a='the digest of no text below')['manifest.toml']
TEXTS = strategies.sampled_from(
    ['', DOMAINS, SERVICES, 'x', '\udc80', MANIFEST]
) | strategies.text(max_size=20)
RECORDS = strategies.builds(
    messages.SubtreeRecord,
    NAMES,
    strategies.integers(-1, 1 << 70),
    strategies.integers(-1, 3),
    strategies.dictionaries(
        NAMES | strategies.sampled_from(['manifest.toml', 'a.toml']),
        TEXTS,
        max_size=3,
    ),
    strategies.lists(NAMES, max_size=2).map(tuple),
)


@hypothesis.settings(derandomize=True, deadline=None, max_examples=300)
@hypothesis.given(strategies.lists(RECORDS, max_size=3))
def test_arbitrary_records_are_typed_and_change_nothing(records):
    """A corrupt record must neither raise nor come into force."""
    config_tree = make_tree(make_subtree('net', 1, a=DOMAINS))
    before = config_tree.configuration
    for outcome in config_tree.apply_records(records):
        assert isinstance(
            outcome, tree.SubtreeRejection | tree.FullSubtreeNeeded
        )
    assert config_tree.configuration is before
