"""The daemon of an instance that finds the others by gossip."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import os
import pathlib
import random
import signal
import sys
import threading
from typing import NamedTuple
from typing import NoReturn

from absl import logging

from cranberryscale import clock as clocks
from cranberryscale.connection import backend_headers
from cranberryscale.connection import backends
from cranberryscale.connection import http_servers
from cranberryscale import core as cores
from cranberryscale import core_driver
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.process import metrics
from cranberryscale.process import roster
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.request import core_admission
from cranberryscale.request import core_pages
from cranberryscale.request import gateway
from cranberryscale import signals
from cranberryscale.version import deployment
from cranberryscale.version import replica


__all__ = ['CoreDaemon', 'PlatformAdapter']

PAGE_THREADS = 3
# Short, since running requests were waited for earlier.
STOP_TIMEOUT = datetime.timedelta(milliseconds=200)
# The process exits by force if stopping takes longer.
STOP_LIMIT_S = 0.5
# How long callers may cache a response of the directory.
ANSWER_LIFETIME = datetime.timedelta(seconds=2)
ADDRESS_LIMIT = 64
SETTINGS_INTERVAL = datetime.timedelta(seconds=1)
# How long connections to backend servers may be idle. Servers close them after
# 10 s.
IDLE_LIMIT = datetime.timedelta(seconds=8)
BACKEND_CONNECTIONS = 16
# How often connections to removed servers and instances are closed. Since it
# is long, a server that disappears for a moment usually keeps its connections.
TRIM_INTERVAL = datetime.timedelta(seconds=10)
# How long requests wait for the start of an instance. When all instances start
# together, it takes half of this to receive the configuration and to find the
# other instances.
START_TIME = datetime.timedelta(seconds=1)
START_POLL_S = 0.02


class PlatformAdapter(NamedTuple):
    """The platform-specific parts of an instance.

    `open_store(address)` returns a client of the store and `decode` decodes
    its entries. `make_endpoints(daemon)` returns the WSGI application for the
    directory and the platform's readiness checks.
    """

    open_store: Callable[[str], core_driver.KeyValueStore]
    decode: Callable[[str, bytes], replica.DecodedEntry | None]
    backend_headers: backend_headers.BackendHeaders
    make_endpoints: Callable


class CoreDaemon:
    """The process of one instance: a core, its driver and its servers."""

    def __init__(
        self,
        path: pathlib.Path,
        adapter: PlatformAdapter,
        clock: clocks.Clock | None = None,
    ):
        self._path = path
        self._adapter = adapter
        self.instance_settings = deployment.load_deployment(path)
        self.clock = clock or clocks.SystemClock()
        self._started_at = self.clock.read_elapsed()
        # Higher than in the previous incarnation, unless the clock was set
        # back. The roster corrects that when it receives the older record.
        epoch = int(self.clock.read_wall().timestamp() * 1000)
        self.core = cores.Core(
            self.instance_settings,
            epoch,
            adapter.decode,
            random.Random(),
            self.clock.read_elapsed(),
        )
        self.driver = core_driver.CoreDriver(
            self.core,
            self.clock,
            adapter.open_store(self.instance_settings.platform.address),
        )
        self.metrics = metrics.Metrics()
        self.decision_context = core_admission.CoreDecisionContext(
            self.core, self.clock
        )
        self.backends = backends.BackendClient(
            self.clock,
            datetime.timedelta(
                seconds=self.instance_settings.timeouts.connect_s
            ),
            IDLE_LIMIT,
            BACKEND_CONNECTIONS,
            allows_unframed=True,
        )
        self.gateway = gateway.Gateway(
            core_admission.CoreAdmission(
                self.driver,
                self.decision_context,
                self.clock,
                self.metrics,
                self._started_at + START_TIME,
            ),
            self.backends,
            self.clock,
            self._record_outcome,
            adapter.backend_headers,
            lambda: self.core.describe_configuration(
                self.clock.read_elapsed()
            ),
            self._wait_for_start,
        )
        self._start_complete = threading.Event()
        self._stopping = threading.Event()
        self._leaving = threading.Event()
        self._reload_requested = threading.Event()
        self._is_stop_logged = False
        self._server_threads = tuple(self._make_server_threads())

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self._install_signal_handlers()
        self.driver.start()
        for loop in (self._watch_settings, self._run_trim_loop):
            threading.Thread(target=loop, daemon=True).start()
        for server_thread in self._server_threads:
            server_thread.start()
        logs.log_event(
            'started',
            name=self.instance_settings.name,
            label=self.instance_settings.label,
            epoch=self.core.roster.own_record.epoch,
            seeds=','.join(self.instance_settings.seeds),
            unset_terms=','.join(self.instance_settings.unset_terms),
        )
        threading.Thread(target=self._become_ready, daemon=True).start()
        self._stopping.wait()
        for server_thread in self._server_threads:
            server_thread.stop()
        self.driver.close()
        self._log_stop()

    def _log_stop(self) -> None:
        """Log the stop only once, since a timer may end the process early."""
        if not self._is_stop_logged:
            self._is_stop_logged = True
            logs.log_event('stopped', name=self.instance_settings.name)

    @property
    def is_ready(self) -> bool:
        """Return whether callers may use this instance."""
        return self.core.roster.own_record.state == roster.InstanceState.READY

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses that callers may use."""
        with self.driver.lock:
            return self.core.list_addresses(ADDRESS_LIMIT)

    @property
    def answer_lifetime(self) -> datetime.timedelta:
        """Return how long callers may cache the addresses."""
        return min(
            ANSWER_LIFETIME, self.instance_settings.terms.longest_answer
        )

    def _wait_for_start(self, until: datetime.timedelta | None) -> None:
        """Delay a request that arrives while the instance starts.

        Shortly afterwards the configuration is known, and the quota holders
        know each other. Callers that are refused instead rarely retry in time.
        """
        if self._start_complete.is_set():
            return
        limit = self._started_at + START_TIME
        if until is not None:
            limit = min(limit, until)
        time_left = limit - self.clock.read_elapsed()
        self._start_complete.wait(max(0.0, time_left.total_seconds()))

    def _become_ready(self) -> None:
        if not self._wait_until(self._is_configured):
            return
        if not self._leaving.is_set():
            self._set_ready()
        if self._wait_until(self._has_finished_joining):
            self._start_complete.set()

    def _wait_until(self, check: Callable[[], bool]) -> bool:
        """Return True once the check holds, or False if the instance stops."""
        while not check():
            if self._stopping.wait(START_POLL_S):
                return False
        return True

    def _is_configured(self) -> bool:
        return self.core.replica.policy is not None

    def _set_ready(self) -> None:
        with self.driver.lock:
            self.core.roster.set_state(
                roster.InstanceState.READY, self.clock.read_elapsed()
            )
        logs.log_event(
            'ready',
            revision=self.core.replica.revision,
            version=self.core.replica.policy.version,
        )

    def _has_finished_joining(self) -> bool:
        with self.driver.lock:
            return self.core.roster.has_finished_joining(
                self.clock.read_elapsed()
            )

    def _install_signal_handlers(self) -> None:
        signals.handle_signals(
            {
                signal.SIGTERM: self.shut_down,
                signal.SIGINT: self.shut_down,
                signal.SIGHUP: self._reload_requested.set,
            }
        )

    def _make_server_threads(self) -> Iterable[http_servers.ServerThread]:
        addresses = self.instance_settings.addresses
        endpoints = self._adapter.make_endpoints(self)
        pages = core_pages.CorePages(
            self.driver, self.decision_context, self._render_metrics
        )
        yield http_servers.ServerThread(
            http_servers.CallerServer(
                self.instance_settings, self.clock, self.gateway
            ),
            self.shut_down,
        )
        for address, app in (
            (addresses.health, endpoints),
            (addresses.directory, endpoints),
            (addresses.operators, pages),
        ):
            yield http_servers.ServerThread(
                http_servers.PageServer(
                    address, app, PAGE_THREADS, STOP_TIMEOUT
                ),
                self.shut_down,
            )

    def _render_metrics(self) -> bytes:
        self.metrics.set_gauge('requests_running', self.gateway.running)
        self.metrics.set_gauge('store_calls', self.driver.store.calls)
        with self.driver.lock:
            statements = self.core.statements
            limited_count = len(statements.limits.list_rates())
            avoided = statements.list_avoided(self.clock.read_elapsed())
            works = [
                (shard.service, kind, known.median_s, known.unusual_s)
                for shard, pool in self.core.pools.items()
                for kind, known in pool.list_work()
            ]
        self.metrics.set_gauge('servers_limited', limited_count)
        self.metrics.set_gauge('servers_avoided', len(avoided))
        for service, kind, median_s, unusual_s in works:
            labels = {'service': service, 'kind': kind}
            self.metrics.set_gauge('work_median_seconds', median_s, **labels)
            self.metrics.set_gauge('work_p90_seconds', unusual_s, **labels)
        for event, count in tuple(self.driver.event_counts.items()):
            self.metrics.set_gauge('store_events', count, event=event)
        return self.metrics.render()

    def shut_down(self) -> None:
        """Stop being listed, finish the requests in progress, then exit."""
        if self._leaving.is_set():
            return
        self._leaving.set()
        threading.Thread(target=self._drain).start()

    def _drain(self) -> None:
        grace = self.instance_settings.terms.grace
        plan = shutdown.plan_shutdown(self.clock.read_elapsed(), grace)
        logs.log_event(
            'leaving',
            name=self.instance_settings.name,
            running=self.gateway.running,
            grace_s=grace.total_seconds(),
        )
        self.driver.announce_leaving()
        self.gateway.drain(plan)
        self._sleep_until(plan.accepts_until)
        time_left = plan.ends_at - self.clock.read_elapsed()
        is_idle = self.gateway.wait_idle(max(time_left, datetime.timedelta(0)))
        if not is_idle:
            logs.log_event(
                'drain_incomplete',
                logging.WARNING,
                running=self.gateway.running,
            )
        self._log_stop()
        timer = threading.Timer(STOP_LIMIT_S, _end_process)
        timer.daemon = True
        timer.start()
        self._stopping.set()

    def _sleep_until(self, at: datetime.timedelta) -> None:
        delay = at - self.clock.read_elapsed()
        self.clock.sleep(max(delay, datetime.timedelta(0)))

    def _run_trim_loop(self) -> None:
        """Close connections to servers and instances that were removed."""
        while not self._stopping.wait(TRIM_INTERVAL.total_seconds()):
            with self.driver.lock:
                servers = (
                    self.core.replica.current_configuration.servers.values()
                )
                addresses = frozenset(server.address for server in servers)
            self.backends.retain(addresses)
            self.driver.close_unknown_peers()

    def _watch_settings(self) -> None:
        """Reload the settings when the file changes or on SIGHUP."""
        known = self._read_file_stamp()
        while not self._stopping.is_set():
            is_requested = self._reload_requested.wait(
                SETTINGS_INTERVAL.total_seconds()
            )
            self._reload_requested.clear()
            stamp = self._read_file_stamp()
            if is_requested or stamp != known:
                known = stamp
                self._load_settings()

    def _read_file_stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError:
            # The file is being replaced; the next check finds the new one.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def _load_settings(self) -> None:
        try:
            instance_settings = deployment.load_deployment(self._path)
        except errors.FleetError as error:
            logs.log_event('settings_refused', logging.WARNING, reason=error)
            return
        with self.driver.lock:
            self.core.apply_settings(instance_settings)
        self.instance_settings = instance_settings
        logs.log_event(
            'settings_loaded', seeds=','.join(instance_settings.seeds)
        )

    def _record_outcome(
        self, outcome: actions.RequestOutcome, elapsed: datetime.timedelta
    ) -> None:
        self.metrics.record('request_seconds', elapsed, code=outcome.code)
        self.metrics.count('requests', code=outcome.code, ran=outcome.ran)


def _end_process(code: int = 0) -> NoReturn:
    """Exit immediately, without waiting for threads blocked on servers."""
    logs.flush()
    os._exit(code)


def run(path: pathlib.Path, adapter: PlatformAdapter) -> NoReturn:
    """Run an instance with the settings at `path`, then exit the process."""
    logs.set_up(sys.stdout)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    code = 0
    try:
        CoreDaemon(path, adapter).serve()
    except errors.FleetError as error:
        logs.log_event('start_failed', logging.ERROR, reason=error)
        code = 1
    _end_process(code)
