"""Tests of the division of a service's servers into shards."""

import collections

import pytest

from cranberryscale.process import shards
from cranberryscale.version import configuration


def make_servers(**counts):
    return {
        f's{domain}{n}': configuration.BackendServer(
            f's{domain}{n}', 'x', domain, f'{domain}{n}:1', 2
        )
        for domain, count in counts.items()
        for n in range(count)
    }


def make_configuration(**counts):
    return configuration.Configuration(servers=make_servers(**counts))


@pytest.mark.parametrize('count', [1, 32, 33, 400])
def test_each_server_is_in_one_shard(count):
    published = make_configuration(a=count, b=3)
    counts = shards.count_shards(published)['x']
    assert counts['a'] == -(-count // shards.SERVERS_PER_SHARD)
    all_shards = [
        shards.Shard('x', domain, index, counts[domain])
        for domain in counts
        for index in range(counts[domain])
    ]
    for server in published.servers.values():
        assert sum(shard.has_server(server) for shard in all_shards) == 1


def test_no_shard_is_much_larger_than_the_others():
    """The work of one holder must not grow with the fleet."""
    published = make_configuration(a=400)
    count = shards.count_shards(published)['x']['a']
    sizes = collections.Counter(
        index
        for server in published.servers.values()
        for index in range(count)
        if shards.Shard('x', 'a', index, count).has_server(server)
    )
    assert max(sizes.values()) <= 2 * shards.SERVERS_PER_SHARD


def test_shards_of_the_own_domain_come_first_and_the_others_rotate():
    counts = {'a': 1, 'b': 2, 'c': 1}
    seconds = collections.Counter()
    for number in range(300):
        ordered = shards.order_shards('x', counts, 'b', f'r{number}')
        assert [shard.domain for shard in ordered][0] == 'b'
        assert {shard.domain for shard in ordered} == set(counts)
        seconds[ordered[1].domain] += 1
    assert min(seconds.values()) >= 100


def test_domains_without_servers_have_no_shards():
    ordered = shards.order_shards('x', {'a': 1, 'c': 1}, 'b', 'r')
    assert {shard.domain for shard in ordered} == {'a', 'c'}
    assert shards.order_shards('x', {}, 'b', 'r') == ()


def test_number_of_shards_to_try_is_bounded():
    counts = {f'd{n}': 1 for n in range(40)}
    ordered = shards.order_shards('x', counts, 'd7', 'r')
    assert len(ordered) == shards.MAX_SHARDS_TRIED
