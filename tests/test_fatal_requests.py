"""Guard requests under which servers end, with real processes."""

import random

from standins import machines


KEY = 'key-of-t1-0001'
FATAL_PATH = '/read/fatal?q=1'
# The third may be under way while the second ends.
MAX_CRASHES = 3


def send_often(fleet, path, times):
    """Send a request to random instances; return the statuses."""
    rng = random.Random(1)
    statuses = []
    for number in range(times):
        address = rng.choice(fleet.instances).addresses['callers']
        status, _, _ = machines.send_request(
            address, path, f'{path} {number}'.encode().hex()[:32], KEY
        )
        statuses.append(status)
        for server in fleet.servers:
            fleet.store.put(f'servers/{server.name}', server.make_entry())
    return statuses


def test_request_ends_few_servers_at_whatever_instances_it_arrives(tmp_path):
    """Guards against callers who send it again to other instances."""
    with machines.FleetEnvironment(tmp_path, instances=6) as fleet:
        for server in fleet.servers:
            server.fatal_path = FATAL_PATH
        statuses = send_often(fleet, FATAL_PATH, 12)
        others = send_often(fleet, '/read/fatal?q=2', 12)
        crashes = sum(server.crashes for server in fleet.servers)
        metrics = [
            instance.fetch_page('operators', '/metrics')[1].decode()
            for instance in fleet.instances
        ]
    assert crashes <= MAX_CRASHES
    # It ran, so no promise that it has not; and nobody waits.
    assert set(statuses) == {502}
    assert others == [200] * 12
    assert any('code="request_crashes"' in text for text in metrics)


def test_request_that_one_server_cuts_off_is_served(tmp_path):
    """Guards against one reset that condemns a healthy request."""
    with machines.FleetEnvironment(tmp_path, instances=6) as fleet:
        fleet.servers[0].fatal_path = '/read/1'
        statuses = send_often(fleet, '/read/1', 40)
        assert fleet.servers[0].crashes
    assert statuses.count(200) == len(statuses)
