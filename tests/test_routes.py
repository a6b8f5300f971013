"""Route lookups by several threads while the configuration changes."""

from cranberryscale.request import routes
from cranberryscale.version import configuration


def make_configuration(service):
    route = configuration.Route('r', '/a', service)
    return configuration.Configuration(routes=(route,))


def test_a_lookup_uses_its_own_configuration_beside_older_lookups(
    monkeypatch,
):
    """A slower thread could put its older index in place of the new one."""
    old, new = make_configuration('old'), make_configuration('new')
    table = routes.RouteTable()
    match_routes = table._find_routes

    def match_after_interruption(*arguments):
        """Let a thread with the older configuration run at this point."""
        monkeypatch.setattr(table, '_find_routes', match_routes)
        assert table.find_route(old, '', '/a', 'GET').service == 'old'
        return match_routes(*arguments)

    monkeypatch.setattr(table, '_find_routes', match_after_interruption)
    assert table.find_route(new, '', '/a', 'GET').service == 'new'


def test_the_most_urgent_routes_are_those_of_the_lowest_priority():
    urgent, other = (
        configuration.Route(name, f'/{name}', 's', priority=priority)
        for name, priority in (('a', 1), ('b', 2))
    )
    table = routes.RouteTable()
    both = configuration.Configuration(routes=(other, urgent))
    assert table.is_most_urgent(both, urgent)
    assert not table.is_most_urgent(both, other)
    alone = configuration.Configuration(routes=(other,))
    assert table.is_most_urgent(alone, other)
