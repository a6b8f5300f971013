"""Guard the acceptance of subtrees."""

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


def make_offer(team, version, order=0, **texts):
    """Return an offer of a subtree with a matching manifest."""
    return subtrees.UncheckedSubtree(team, make_texts(version, **texts), order)


def make_tree(*offers):
    """Return a tree that has accepted the offers."""
    made = tree.ConfigurationTree()
    for outcome in made.apply_subtrees(offers):
        assert isinstance(outcome, tree.SubtreeAcceptance)
    return made


def test_acceptance_names_owner_and_versions():
    """An auditor must be able to trace a change to its owner."""
    made = make_tree(make_offer('net', 3, domains=DOMAINS))
    outcomes = made.apply_subtrees([make_offer('net', 5, domains='')])
    assert outcomes == (tree.SubtreeAcceptance('net', 'o', 'w', 3, 5),)
    assert made.versions == {'net': 5}
    assert made.configuration.domains == {}


@pytest.mark.parametrize('version', [1, 2, 3])
def test_version_never_goes_back(version):
    """A stale reader must not put an old or other version in force."""
    made = make_tree(make_offer('net', 3, domains=DOMAINS))
    before = made.configuration
    (refusal,) = made.apply_subtrees([make_offer('net', version, domains='')])
    assert refusal.code == 'subtree_stale'
    assert made.configuration is before
    assert made.apply_subtrees([make_offer('net', version, domains='')]) == ()


def test_partial_subtree_changes_nothing():
    """Half of a change must not come into force."""
    made = make_tree(make_offer('net', 1, a=DOMAINS, b=SERVICES))
    before = made.configuration
    offer = make_offer('net', 2, a='', b='')
    partial = {n: t for n, t in offer.documents.items() if n != 'b.toml'}
    mixed = {**offer.documents, 'b.toml': SERVICES}
    for texts in (partial, mixed, {'a.toml': ''}):
        (refusal,) = made.apply_subtrees(
            [subtrees.UncheckedSubtree('net', texts)]
        )
        assert refusal.code == 'subtree_incomplete'
        assert made.configuration is before
    assert (
        made.apply_subtrees([subtrees.UncheckedSubtree('net', {})]) == ()
    )  # reported before
    assert made.configuration is before
    assert isinstance(made.apply_subtrees([offer])[0], tree.SubtreeAcceptance)


def test_subtree_missing_from_an_answer_stays():
    """A partial answer of the platform must not remove customers."""
    made = make_tree(make_offer('net', 1, a=DOMAINS))
    assert made.apply_subtrees([]) == ()
    assert made.configuration.domains
    assert not made.is_covered_by({}) and made.is_covered_by({'net': 1})


def test_teams_that_need_each_other_come_into_force_together():
    """A first start must not depend on the order of teams."""
    make_tree(
        make_offer('a', 1, routes=ROUTES), make_offer('b', 1, s=SERVICES)
    )


def test_only_the_newer_subtree_is_refused():
    """One team's mistake must not undo another team's settings."""
    made = make_tree(
        make_offer('a', 1, routes=ROUTES), make_offer('b', 1, s=SERVICES)
    )
    removal, unrelated = make_offer('b', 2), make_offer('c', 1, d=DOMAINS)
    refusal, accepted = made.apply_subtrees([removal, unrelated])
    assert (refusal.team, accepted.team) == ('b', 'c')
    assert "'s' was removed but is used in a/routes.toml" in str(refusal)
    duplicate = make_offer('z', 1, d=DOMAINS)
    assert made.apply_subtrees([duplicate])[0].faults[0].path == 'z/d.toml'
    outcomes = made.apply_subtrees([make_offer('a', 2), removal])
    assert [type(o) for o in outcomes] == [tree.SubtreeAcceptance] * 2


@pytest.mark.parametrize(
    ('line', 'accepted'),
    [
        ('', False),
        ('methods = ["GET"]\n', False),
        ('host = "a.example"\n', True),
    ],
)
def test_routes_cannot_take_over_requests(line, accepted):
    """One team must not receive another team's requests."""
    made = make_tree(make_offer('a', 1, routes=ROUTES, s=SERVICES))
    rival = ROUTES.replace('"r"', '"x"') + line
    (outcome,) = made.apply_subtrees([make_offer('b', 1, routes=rival)])
    assert isinstance(outcome, tree.SubtreeAcceptance) == accepted


@pytest.mark.parametrize('name', ['ponte-nova', 'guild'])
def test_examples_are_accepted(name):
    """The examples must match the documents' rules and their manifests."""
    folder = pathlib.Path(__file__).parents[1] / 'examples' / name
    made = make_tree(*subtrees.load_directory(folder))
    servers = made.configuration.servers.values()
    assert len(made.configuration.customers) == 8
    assert len({server.address for server in servers}) == len(servers)
    readme = (folder / 'README.md').read_text('utf-8')
    withdrawn = 0
    for key in re.findall(r'^\| `([^`]+)` \|', readme, re.MULTILINE):
        found = made.configuration.keys[keys.digest_key(key)]
        withdrawn += found.withdrawn
    assert withdrawn == 1
    first = sorted(server.address for server in servers)[0]
    values = manifests.list_values(folder, {first: '127.0.0.1:1'})
    offers = {}
    for path, text in values.items():
        _, team, document = path.split('/')
        offers.setdefault(team, {})[document] = text
    moved = make_tree(
        *(subtrees.UncheckedSubtree(*item) for item in offers.items())
    )
    addresses = {s.address for s in moved.configuration.servers.values()}
    assert '127.0.0.1:1' in addresses and first not in addresses


@pytest.mark.parametrize(('order', 'blamed'), [(9, 'a'), (1, 'b')])
def test_later_write_is_refused_when_both_are_new(order, blamed):
    """A new instance must decide a conflict as older ones did."""
    made = tree.ConfigurationTree()
    outcomes = made.apply_subtrees(
        [
            make_offer('a', 1, order, d=DOMAINS),
            make_offer('b', 1, 5, d=DOMAINS),
        ]
    )
    assert [
        o.team for o in outcomes if isinstance(o, tree.SubtreeRejection)
    ] == [blamed]


def test_delta_carries_only_what_changed():
    """Peers must stay within their bytes when one document changes."""
    first = make_offer('net', 1, a=DOMAINS, b=SERVICES, c='')
    sender, receiver = make_tree(first), make_tree(first)
    sender.apply_subtrees(
        [make_offer('net', 2, a=DOMAINS, b=SERVICES + '# x')]
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


def test_delta_that_does_not_fit_asks_for_all():
    """A delta for another base must not produce a mixture."""
    made = make_tree(make_offer('net', 2, a=DOMAINS))
    before = made.configuration
    texts = make_texts(4, a='')
    other = messages.SubtreeRecord('net', 4, 3, texts)
    damaged = messages.SubtreeRecord(
        'net', 4, 2, {'manifest.toml': texts['manifest.toml']}
    )
    for record in (other, damaged):
        assert made.apply_records([record]) == (
            tree.FullSubtreeNeeded('net', 4),
        )
        assert made.configuration is before
    whole = messages.SubtreeRecord('net', 4, 0, texts)
    assert made.apply_records([whole])[0].to_version == 4
    assert made.apply_records([other]) == ()


def test_many_changes_give_what_a_new_instance_reads():
    """Merging only what changed must not leave traces of old versions."""
    source = random.Random(7)
    rows = [DOMAINS.replace('"d"', f'"d{n}"') for n in range(6)]
    rows.append('[fleet]\nfloor_fraction = 0.1\n')
    made, latest, accepted = tree.ConfigurationTree(), {}, 0
    for version in range(1, 200):
        team = source.choice('abc')
        text = ''.join(source.sample(rows, 2))
        offer = make_offer(team, version, rows=text)
        for outcome in made.apply_subtrees([offer]):
            if isinstance(outcome, tree.SubtreeAcceptance):
                latest[team], accepted = offer, accepted + 1
    assert accepted > 20
    assert make_tree(*latest.values()).configuration == made.configuration


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
    """A damaged record must neither raise nor get into force."""
    made = make_tree(make_offer('net', 1, a=DOMAINS))
    before = made.configuration
    for outcome in made.apply_records(records):
        assert isinstance(
            outcome, tree.SubtreeRejection | tree.FullSubtreeNeeded
        )
    assert made.configuration is before
