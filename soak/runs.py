"""One run of the soak: the real programs, callers and faults of one seed."""

import itertools
import pathlib
import random
import signal
import threading
import time
from typing import NamedTuple

from soak import checks
from soak import faults
from soak import relay
from standins import machines


__all__ = ['Report', 'play']

KEYS = {
    't1': ['key-of-t1-0001', 'key-of-t1-0002'],
    't2': ['key-of-t2-0001'],
}
# Withdrawn and given back; the others stay valid throughout.
LOOSE_KEY = 'key-of-t1-0002'
DEADLINE_MS = 1500
# A drained instance ends itself within this time.
GRACE_S = 6.0
# After the last fault servers may still be on trial and instances starting.
BACK_S = 6.0
SLOW_S = 0.4


class Report(NamedTuple):
    """Hold what a run did and what it found."""

    seed: int
    requests: int
    served: int
    faults: int
    findings: tuple[checks.Finding, ...]


class _Field:
    """Own the stand-ins and instances, with a relay on each link."""

    def __init__(self, folder: pathlib.Path, instances: int, servers: int):
        self.runs: list[machines.Run] = []
        self.store = machines.Store()
        self.version = 1
        self.keys = {name: list(own) for name, own in KEYS.items()}
        self.publish()
        self.servers = [
            machines.Server(
                f's-{service}{number}',
                service,
                machines.DOMAINS[number % len(machines.DOMAINS)],
                self.runs,
            )
            for service in ('x', 'y')
            for number in range(servers)
        ]
        self.server_links = [relay.Relay(s.address) for s in self.servers]
        for server, link in zip(self.servers, self.server_links, strict=True):
            server.address = link.address
            self.store.put(f'servers/{server.name}', server.make_entry())
        self.store_links = [
            relay.Relay(self.store.address) for _ in range(instances)
        ]
        self.instances = [
            machines.Instance(number, folder, link.address)
            for number, link in enumerate(self.store_links)
        ]
        self.caller_links = [
            relay.Relay(instance.addresses['callers'])
            for instance in self.instances
        ]
        self.seeds = [i.addresses['peers'] for i in self.instances[:3]]

    def publish(self) -> None:
        """Write the next version of the configuration."""
        self.version += 1
        policy = machines.make_policy(self.version, self.keys)
        self.store.put('op/config', policy)

    def start(self) -> None:
        """Start all instances and wait until each is ready."""
        for instance in self.instances:
            instance.start(self.seeds)
        machines.Fleet.wait_for(
            lambda: all(i.is_ready() for i in self.instances)
        )

    def close(self) -> None:
        """End what this object started."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)
        for instance in self.instances:
            instance.wait()
        links = (*self.server_links, *self.store_links, *self.caller_links)
        for link in links:
            link.close()
        for server in self.servers:
            server.close()
        self.store.close()


class _Run:
    """Play faults and callers against a field, and note what was so when."""

    def __init__(self, field: _Field, seed: int, seconds: float, rate: float):
        self.field = field
        self.seed = seed
        self.seconds = seconds
        self.rate = rate
        self.seen: list[checks.Seen] = []
        self.withdrawn: list[checks.Span] = []
        self.left: list[checks.Span] = []
        self.stops: list[checks.Span] = []
        self.disturbed: list[checks.Span] = []
        self.count = 0
        self._busy: set[str] = set()
        self._lock = threading.Lock()
        self._ids = itertools.count(seed * 1_000_000 + 1)

    # Callers

    def _send(self, rng: random.Random) -> None:
        number = rng.randrange(len(self.field.instances))
        customer = rng.choice(list(KEYS))
        key = rng.choice(KEYS[customer])
        is_idempotent = rng.random() < 0.5
        path = '/read/a' if is_idempotent else '/book/b'
        request_id = f'{next(self._ids):016x}'
        sent_s = time.monotonic()
        status, headers, body = machines.send_request(
            self.field.caller_links[number].address,
            path,
            request_id,
            key,
            'POST',
            b'data',
            DEADLINE_MS,
        )
        self.seen.append(
            checks.Seen(
                request_id,
                number,
                customer,
                key,
                is_idempotent,
                sent_s,
                time.monotonic(),
                status,
                headers,
                body,
            )
        )

    def _keep_calling(self, until_s: float) -> None:
        rng = random.Random(self.seed)
        threads = []
        at_s = time.monotonic()
        while at_s < until_s:
            at_s += rng.expovariate(self.rate)
            time.sleep(max(0.0, at_s - time.monotonic()))
            draw = random.Random(rng.random())
            thread = threading.Thread(target=self._send, args=(draw,))
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()

    # Faults

    def _strike(self, fault: faults.Fault) -> None:
        field = self.field
        names = [f'i{n}' for n in range(len(field.instances))]
        instance = fault.target % len(names)
        server = fault.target % len(field.servers)
        match fault.kind:
            case 'kill' | 'stop' | 'pause':
                target = names[instance]
            case 'store_link' | 'caller_link':
                target = f'{fault.kind}{instance}'
            case 'server_link' | 'server_errors' | 'server_slow' | 'drain':
                target = f'server{server}'
            case _:
                target = fault.kind
        with self._lock:
            if target in self._busy:
                return
            self._busy.add(target)
            self.count += 1
        since_s = time.monotonic()
        try:
            self._do(fault, instance, server)
        finally:
            until_s = time.monotonic()
            with self._lock:
                self._busy.discard(target)
            self._note(fault, names[instance], since_s, until_s)

    def _note(
        self, fault: faults.Fault, name: str, since_s: float, until_s: float
    ) -> None:
        span = checks.Span(name, since_s, until_s)
        match fault.kind:
            case 'stop':
                self.stops.append(span)
                # Callers that come while it is gone are refused.
                self.disturbed.append(
                    span._replace(since_s=since_s + GRACE_S / 2)
                )
            case 'kill' | 'pause' | 'store_link' | 'caller_link':
                self.disturbed.append(span)
            case 'server_link' | 'server_errors' | 'server_slow':
                self.disturbed.append(span._replace(what='all'))

    def _do(self, fault: faults.Fault, instance: int, server: int) -> None:
        field = self.field
        process = field.instances[instance]
        backend = field.servers[server]
        match fault.kind:
            case 'kill':
                process.send_signal(signal.SIGKILL)
                process.wait()
                time.sleep(fault.for_s / 2)
                process.start(field.seeds)
                self._await_ready(process)
            case 'stop':
                process.send_signal(signal.SIGTERM)
                process.wait(GRACE_S + 1)
                process.start(field.seeds)
                self._await_ready(process)
            case 'pause':
                process.send_signal(signal.SIGSTOP)
                time.sleep(fault.for_s)
                process.send_signal(signal.SIGCONT)
            case 'server_link':
                self._change_link(field.server_links[server], fault)
            case 'store_link':
                self._change_link(field.store_links[instance], fault)
            case 'caller_link':
                self._change_link(field.caller_links[instance], fault)
            case 'server_errors':
                backend.status = 500
                time.sleep(fault.for_s)
                backend.status = 200
            case 'server_slow':
                backend.work_s, usual_s = SLOW_S, backend.work_s
                time.sleep(fault.for_s)
                backend.work_s = usual_s
            case 'drain':
                self._drain(backend, fault.for_s)
            case 'evacuate':
                self._evacuate(fault)
            case 'withdraw_key':
                self._withdraw_key(fault.for_s)
            case 'forget_history':
                field.store.drop_history()

    @staticmethod
    def _await_ready(process: machines.Instance) -> None:
        machines.Fleet.wait_for(process.is_ready)

    @staticmethod
    def _change_link(link: relay.Relay, fault: faults.Fault) -> None:
        link.set_mode(fault.mode)
        time.sleep(fault.for_s)
        link.set_mode(relay.Mode.OPEN)

    def _drain(self, server: machines.Server, for_s: float) -> None:
        key = f'servers/{server.name}'
        self.field.store.put(key, server.make_entry('draining'))
        since_s = time.monotonic()
        time.sleep(checks.BINDING_S + for_s)
        self.left.append(checks.Span(server.name, since_s, time.monotonic()))
        self.field.store.put(key, server.make_entry())

    def _evacuate(self, fault: faults.Fault) -> None:
        domain = machines.DOMAINS[fault.target % len(machines.DOMAINS)]
        key = f'op/evacuate/{domain}'
        self.field.store.put(key, b'{}')
        since_s = time.monotonic()
        time.sleep(checks.BINDING_S + fault.for_s)
        until_s = time.monotonic()
        self.left.extend(
            checks.Span(server.name, since_s, until_s)
            for server in self.field.servers
            if server.domain == domain
        )
        self.field.store.remove(key)

    def _withdraw_key(self, for_s: float) -> None:
        field = self.field
        field.keys['t1'].remove(LOOSE_KEY)
        field.publish()
        since_s = time.monotonic()
        time.sleep(checks.BINDING_S + for_s)
        self.withdrawn.append(
            checks.Span(LOOSE_KEY, since_s, time.monotonic())
        )
        field.keys['t1'].append(LOOSE_KEY)
        field.publish()

    def play(self) -> Report:
        """Strike all faults beside the callers, then check the promises."""
        began_s = time.monotonic()
        until_s = began_s + self.seconds
        calling = threading.Thread(target=self._keep_calling, args=(until_s,))
        calling.start()
        striking = []
        for fault in faults.draw_faults(self.seed, self.seconds):
            time.sleep(max(0.0, began_s + fault.at_s - time.monotonic()))
            thread = threading.Thread(target=self._strike, args=(fault,))
            thread.start()
            striking.append(thread)
        for thread in striking:
            thread.join()
        calling.join()
        time.sleep(BACK_S)
        back_s = time.monotonic()
        rng = random.Random(self.seed)
        for _ in range(4 * len(self.field.instances)):
            self._send(rng)
        return self._check(back_s)

    def _check(self, back_s: float) -> Report:
        # What was given up may still run for a moment.
        time.sleep(DEADLINE_MS / 1000)
        seen = tuple(self.seen)
        findings = checks.check_all(
            seen,
            tuple(self.field.runs),
            tuple(self.withdrawn),
            tuple(self.left),
            tuple(self.stops),
            tuple(self.disturbed),
            back_s,
        )
        return Report(
            self.seed,
            len(seen),
            sum(request.status == 200 for request in seen),
            self.count,
            tuple(findings),
        )


def play(
    folder: pathlib.Path,
    seed: int,
    seconds: float = 15.0,
    instances: int = 4,
    servers: int = 4,
    rate_per_s: float = 30.0,
) -> Report:
    """Play one seed; logs of the instances stay in the folder."""
    field = _Field(folder, instances, servers)
    try:
        field.start()
        return _Run(field, seed, seconds, rate_per_s).play()
    finally:
        field.close()
