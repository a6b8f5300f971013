"""Injects faults into the parts of an environment and records them."""

import signal
import subprocess
import threading
import time

from soak import callers
from soak import checks
from soak import environment
from soak import faults
from soak import relay
from standins import machines


__all__ = ['FaultInjector']

# Withdrawn and published again during a run; the other keys stay valid.
WITHDRAWN_KEY = 'key-of-t1-0002'
# An instance that was told to stop must exit within this time.
SHUTDOWN_LIMIT_S = 6.0
SLOW_SERVICE_S = 0.4
SERVICE_S = 0.03
RESTART_S = 0.4
# How often a caller sends a request that ends servers.
DEADLY_ATTEMPTS = 12
POLL_INTERVAL_S = 0.05
# How long the store is away before it comes back from a copy, and how long
# writers then take to write lost entries again.
AWAY_S = 0.4
WRITE_AGAIN_S = 1.5


class FaultInjector:
    """Injector of faults that records what was struck, and when.

    Records the intervals in which a key was withdrawn, a server drained or a
    part disturbed, and violations that are seen at once.
    """

    def __init__(
        self,
        soak_environment: environment.SoakEnvironment,
        fault_callers: callers.Callers,
    ):
        self.environment = soak_environment
        self.withdrawn: list[checks.Interval] = []
        self.drained: list[checks.Interval] = []
        self.graceful_stops: list[checks.Interval] = []
        self.disturbances: list[checks.Interval] = []
        self.interruptions: list[checks.Interval] = []
        self.link_faults: list[checks.LinkFault] = []
        self.deadly: list[frozenset[str]] = []
        self.limits: list[checks.NamedLimit] = []
        self.leaving: list[checks.Interval] = []
        self.violations: list[checks.Violation] = []
        self.applied_faults = 0
        self._callers = fault_callers
        self._active_targets: set[str] = set()
        self._lock = threading.Lock()
        # Held while a change could be lost before any instance has seen it.
        self._store_writes = threading.Lock()

    def apply_fault(self, fault: faults.ScheduledFault) -> None:
        """Inject a fault, unless its target is struck already."""
        parts = self.environment
        names = [f'i{n}' for n in range(len(parts.instances))]
        instance = fault.target % len(names)
        server = fault.target % len(parts.servers)
        match fault.kind:
            case 'kill' | 'stop' | 'pause' | 'hang_up':
                target = names[instance]
            case 'server_slow_answers':
                target = f'slow{server}'
            case 'service_slow_answers':
                target = f'slow service {fault.target % 2}'
            case 'repeats_shed' | 'repeats_reset':
                target = 'repeats'
            case 'service_sheds':
                target = f'sheds{fault.target % 2}'
            case 'store_link' | 'caller_link':
                target = f'{fault.kind}{instance}'
            case 'server_limit' | 'service_limit':
                target = f'limit{fault.target % 2}'
            case 'deadly_request':
                target = f'{fault.kind}{fault.target}'
            case _ if fault.kind.startswith('server_') or (
                fault.kind == 'drain'
            ):
                target = f'server{server}'
            case _:
                target = fault.kind
        with self._lock:
            if target in self._active_targets:
                return
            self._active_targets.add(target)
            self.applied_faults += 1
        since_s = time.monotonic()
        try:
            self._inject(fault, instance, server)
        finally:
            until_s = time.monotonic()
            with self._lock:
                self._active_targets.discard(target)
            interval = checks.Interval(names[instance], since_s, until_s)
            self._record_interval(fault, interval)
            if fault.kind == 'server_link':
                name = parts.servers[server].name
                self._record_link_fault(fault, name, since_s, until_s)

    def _record_interval(
        self, fault: faults.ScheduledFault, interval: checks.Interval
    ) -> None:
        match fault.kind:
            case 'stop':
                self.graceful_stops.append(interval)
                # Connections are refused after the exit, until the restart.
                since_s = interval.since_s + SHUTDOWN_LIMIT_S / 2
                self.disturbances.append(interval._replace(since_s=since_s))
            case 'kill' | 'pause' | 'caller_link':
                self.disturbances.append(interval)
                self.interruptions.append(interval)
            case 'store_link':
                self.disturbances.append(interval)
            case 'server_link' | 'server_errors' | 'server_slow':
                self.disturbances.append(interval._replace(subject='all'))

    def _record_link_fault(
        self,
        fault: faults.ScheduledFault,
        server: str,
        since_s: float,
        until_s: float,
    ) -> None:
        link_fault = checks.LinkFault(server, since_s, until_s)
        if fault.mode is relay.RelayMode.DELAY:
            link_fault = link_fault._replace(delay_s=2 * relay.DELAY_S)
        self.link_faults.append(link_fault)

    def _inject(
        self, fault: faults.ScheduledFault, instance: int, server: int
    ) -> None:
        parts = self.environment
        process = parts.instances[instance]
        backend = parts.servers[server]
        match fault.kind:
            case 'kill':
                process.send_signal(signal.SIGKILL)
                process.wait()
                time.sleep(fault.duration_s / 2)
                process.start(parts.seeds)
                self._wait_until_ready(process)
            case 'stop':
                process.send_signal(signal.SIGTERM)
                self._await_exit(process, instance)
                process.start(parts.seeds)
                self._wait_until_ready(process)
            case 'pause':
                process.send_signal(signal.SIGSTOP)
                time.sleep(fault.duration_s)
                process.send_signal(signal.SIGCONT)
            case 'server_link':
                self._disturb_relay(parts.server_relays[server], fault)
            case 'store_link':
                self._disturb_relay(parts.store_relays[instance], fault)
            case 'caller_link':
                self._disturb_relay(parts.caller_relays[instance], fault)
            case 'server_errors':
                backend.status = 500
                time.sleep(fault.duration_s)
                backend.status = 200
            case 'server_slow':
                backend.service_s, normal_s = SLOW_SERVICE_S, backend.service_s
                time.sleep(fault.duration_s)
                backend.service_s = normal_s
            case 'hang_up':
                process.send_signal(signal.SIGHUP)
            case 'reconfigure':
                parts.publish()
            case 'server_slow_answers' | 'service_slow_answers':
                self._slow_down(fault, server)
            case 'server_mute':
                backend.is_mute = True
                time.sleep(fault.duration_s)
                backend.is_mute = False
            case 'server_ends':
                backend.end()
                time.sleep(RESTART_S)
                self._restart_server(backend)
            case 'deadly_request':
                self._send_deadly_request(fault)
            case 'repeats_shed' | 'repeats_reset':
                self._strike_repeats(fault)
            case 'service_sheds':
                self._shed(fault)
            case 'server_limit' | 'service_limit':
                self._name_limits(fault)
            case 'server_leaving':
                self._leave(backend, fault.duration_s)
            case 'server_rest':
                backend.rest = fault.rest
                time.sleep(fault.duration_s)
                backend.rest = ''
            case 'drain':
                self._drain(backend, fault.duration_s)
            case 'evacuate':
                self._evacuate(fault)
            case 'withdraw_key':
                self._withdraw_key(fault.duration_s)
            case 'forget_history':
                parts.store.compact()
            case 'store_copy':
                self._return_from_copy(fault.duration_s)

    def _await_exit(self, process: machines.Instance, instance: int) -> None:
        """Wait until a stop ends; kill the process if it does not."""
        try:
            process.wait(SHUTDOWN_LIMIT_S + 1)
        except subprocess.TimeoutExpired:
            since_s = time.monotonic()
            process.send_signal(signal.SIGKILL)
            process.wait()
            name = f'i{instance}'
            self.interruptions.append(
                checks.Interval(name, since_s, time.monotonic())
            )
            self.violations.append(checks.Violation('stops in time', name))

    @staticmethod
    def _wait_until_ready(process: machines.Instance) -> None:
        machines.FleetEnvironment.wait_for(process.is_ready)

    @staticmethod
    def _disturb_relay(
        link: relay.Relay, fault: faults.ScheduledFault
    ) -> None:
        link.set_mode(fault.mode)
        time.sleep(fault.duration_s)
        link.set_mode(relay.RelayMode.OPEN)

    def _restart_server(self, server: machines.StandInServer) -> None:
        server.restart()
        key = f'servers/{server.name}'
        self.environment.store.put(key, server.make_entry())

    def _send_deadly_request(self, fault: faults.ScheduledFault) -> None:
        """Send a request that ends servers to one instance after another.

        Each attempt has an id of its own. It begins after the one before has
        ended, for some requests while that goes on.
        """
        parts = self.environment
        prefix = '/read/' if fault.target % 2 else '/list/'
        path = f'{prefix}deadly-{fault.target}'
        request_ids = [self._callers.make_id() for _ in range(DEADLY_ATTEMPTS)]
        self.deadly.append(frozenset(request_ids))
        for server in parts.servers:
            server.fatal_paths.add(path)
        sender = threading.Thread(
            target=self._send_deadly_attempts,
            args=(fault, path, request_ids),
        )
        sender.start()
        while sender.is_alive():
            self._restart_ended_servers()
            sender.join(POLL_INTERVAL_S)
        time.sleep(RESTART_S)
        self._restart_ended_servers()

    def _send_deadly_attempts(
        self,
        fault: faults.ScheduledFault,
        path: str,
        request_ids: list[str],
    ) -> None:
        threads = []
        for number, request_id in enumerate(request_ids, fault.target):
            thread = threading.Thread(
                target=self._callers.send_attempt,
                args=(
                    number % len(self.environment.instances),
                    path,
                    request_id,
                ),
            )
            thread.start()
            threads.append(thread)
            if fault.target % 3:
                thread.join()
            time.sleep(fault.duration_s / DEADLY_ATTEMPTS)
        for thread in threads:
            thread.join()

    def _restart_ended_servers(self) -> None:
        now_s = time.monotonic()
        for server in self.environment.servers:
            if server.is_down and server.ended_s + RESTART_S <= now_s:
                self._restart_server(server)

    def _slow_down(self, fault: faults.ScheduledFault, server: int) -> None:
        """Let a server, or all of a service, take long for answers."""
        servers = [self.environment.servers[server]]
        if fault.kind == 'service_slow_answers':
            service = 'xy'[fault.target % 2]
            servers = [
                s for s in self.environment.servers if s.service == service
            ]
        for each in servers:
            each.service_s = fault.answer_s
        time.sleep(fault.duration_s)
        for each in servers:
            each.service_s = SERVICE_S

    def _strike_repeats(self, fault: faults.ScheduledFault) -> None:
        """Let servers refuse, or break off, requests that ran elsewhere."""
        for server in self.environment.servers:
            server.repeats = fault.kind.removeprefix('repeats_')
        time.sleep(fault.duration_s)
        for server in self.environment.servers:
            server.repeats = 'run'

    def _shed(self, fault: faults.ScheduledFault) -> None:
        """Let all servers of a service refuse a part of the requests."""
        service = 'xy'[fault.target % 2]
        servers = [s for s in self.environment.servers if s.service == service]
        for server in servers:
            server.shed_ratio = fault.shed_ratio
        time.sleep(fault.duration_s)
        for server in servers:
            server.shed_ratio = 0.0

    def _name_limits(self, fault: faults.ScheduledFault) -> None:
        """Let one server of a service, or all of them, name a limit."""
        service = 'xy'[fault.target % 2]
        servers = [s for s in self.environment.servers if s.service == service]
        if fault.kind == 'server_limit':
            servers = [servers[fault.target % len(servers)]]
        for server in servers:
            server.limit = fault.limit
        since_s = time.monotonic()
        time.sleep(fault.duration_s)
        until_s = time.monotonic()
        limit_per_s = float(fault.limit.partition(',')[0])
        for server in servers:
            server.limit = ''
            self.limits.append(
                checks.NamedLimit(server.name, limit_per_s, since_s, until_s)
            )

    def _leave(
        self, server: machines.StandInServer, duration_s: float
    ) -> None:
        """Let a server say that it leaves, and then start anew."""
        server.is_leaving = True
        since_s = time.monotonic()
        time.sleep(checks.LEAVING_LIMIT_S + duration_s)
        self.leaving.append(
            checks.Interval(server.name, since_s, time.monotonic())
        )
        server.is_leaving = False
        self._restart_server(server)

    def _drain(
        self, server: machines.StandInServer, duration_s: float
    ) -> None:
        key = f'servers/{server.name}'
        with self._store_writes:
            self.environment.store.put(key, server.make_entry('draining'))
        since_s = time.monotonic()
        time.sleep(checks.PROPAGATION_LIMIT_S + duration_s)
        self.drained.append(
            checks.Interval(server.name, since_s, time.monotonic())
        )
        self.environment.store.put(key, server.make_entry())

    def _return_from_copy(self, age_s: float) -> None:
        store = self.environment.store
        store.take_copy()
        time.sleep(age_s)
        with self._store_writes:
            time.sleep(checks.PROPAGATION_LIMIT_S)
            store.refusal_status = 503
            time.sleep(AWAY_S)
            store.restore_copy()
            store.refusal_status = 0
            time.sleep(WRITE_AGAIN_S)
            store.write_again()

    def _evacuate(self, fault: faults.ScheduledFault) -> None:
        domain = machines.DOMAINS[fault.target % len(machines.DOMAINS)]
        key = f'op/evacuate/{domain}'
        with self._store_writes:
            self.environment.store.put(key, b'{}')
        since_s = time.monotonic()
        time.sleep(checks.PROPAGATION_LIMIT_S + fault.duration_s)
        until_s = time.monotonic()
        self.drained.extend(
            checks.Interval(server.name, since_s, until_s)
            for server in self.environment.servers
            if server.domain == domain
        )
        self.environment.store.remove(key)

    def _withdraw_key(self, duration_s: float) -> None:
        parts = self.environment
        with self._store_writes:
            parts.keys['t1'].remove(WITHDRAWN_KEY)
            parts.publish()
        since_s = time.monotonic()
        time.sleep(checks.PROPAGATION_LIMIT_S + duration_s)
        self.withdrawn.append(
            checks.Interval(WITHDRAWN_KEY, since_s, time.monotonic())
        )
        parts.keys['t1'].append(WITHDRAWN_KEY)
        parts.publish()
