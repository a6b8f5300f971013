"""The real programs of a run, with stand-ins and relays around them."""

import pathlib
import signal
from typing import NamedTuple

from soak import relay
from standins import machines


__all__ = ['LOADS', 'Load', 'SoakEnvironment']

KEYS = {
    't1': ['key-of-t1-0001', 'key-of-t1-0002'],
    't2': ['key-of-t2-0001'],
}
DEADLINE_MS = 1500
ROUTE_TIMEOUT_S = 2.0


class Load(NamedTuple):
    """The callers and servers of a run.

    `leaving_ratio` of the callers leave before their deadline. Of the requests
    `idempotent_ratio` may run more than once. `slots` are those of each
    server. If `keeps_connections`, callers go on using all open connections,
    else one to each instance.
    """

    paths: tuple[str, ...] = ('/read/a',)
    deadlines_ms: tuple[int, ...] = (DEADLINE_MS,)
    leaving_ratio: float = 0.0
    slots: int = 4
    keeps_connections: bool = False
    more_routes: tuple[list, ...] = ()
    idempotent_ratio: float = 0.5


# A route with three attempts.
LIST_ROUTE = ['r3', machines.HOST, '/list/', 'idempotent']
LIST_ROUTE += ['2s', '500ms', 1, 3, 'x']
# The load of each plan of faults.
LOADS = {
    'mixed': Load(),
    'handovers': Load(
        ('/read/a', '/list/a'),
        (1500, 1800, 3000),
        leaving_ratio=0.05,
        slots=12,
        keeps_connections=True,
        more_routes=(LIST_ROUTE,),
    ),
    'deadly': Load(('/read/a', '/list/a'), more_routes=(LIST_ROUTE,)),
    'copies': Load(),
    'repeats': Load(
        ('/list/a',),
        slots=12,
        keeps_connections=True,
        more_routes=(LIST_ROUTE,),
        idempotent_ratio=0.9,
    ),
}


class SoakEnvironment:
    """The stand-ins and instances of a run, with relays in between.

    A relay is in front of each server, in front of the store for each
    instance, and in front of each instance for callers.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        instances: int,
        servers: int,
        load: Load,
    ):
        self.load = load
        self.executed: list[machines.ExecutedRequest] = []
        self.store = machines.KeyValueStoreServer()
        self.version = 1
        self.keys = {name: list(values) for name, values in KEYS.items()}
        self.publish()
        self.servers = [
            machines.StandInServer(
                f's-{service}{number}',
                service,
                machines.DOMAINS[number % len(machines.DOMAINS)],
                self.executed,
                load.slots,
            )
            for service in ('x', 'y')
            for number in range(servers)
        ]
        self.server_relays = [relay.Relay(s.address) for s in self.servers]
        for server, link in zip(self.servers, self.server_relays, strict=True):
            server.address = link.address
            self.store.put(f'servers/{server.name}', server.make_entry())
        self.store_relays = [
            relay.Relay(self.store.address) for _ in range(instances)
        ]
        self.instances = [
            machines.Instance(number, folder, link.address)
            for number, link in enumerate(self.store_relays)
        ]
        self.caller_relays = [
            relay.Relay(instance.addresses['callers'])
            for instance in self.instances
        ]
        self.seeds = [i.addresses['peers'] for i in self.instances[:3]]

    def publish(self) -> None:
        """Write the next version of the configuration to the store."""
        self.version += 1
        entry = machines.encode_configuration(
            self.version, self.keys, more_routes=self.load.more_routes
        )
        self.store.put('op/config', entry)

    def start(self) -> None:
        """Start all instances and wait until all are ready."""
        for instance in self.instances:
            instance.start(self.seeds)
        machines.FleetEnvironment.wait_for(
            lambda: all(i.is_ready() for i in self.instances)
        )

    def close(self) -> None:
        """Kill the instances and close all relays and stand-ins."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
        for instance in self.instances:
            instance.wait()
        relays = (*self.server_relays, *self.store_relays, *self.caller_relays)
        for link in relays:
            link.close()
        for server in self.servers:
            server.close()
        self.store.close()
