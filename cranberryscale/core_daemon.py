"""The daemon of an instance on machines without a published list."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import os
import pathlib
import random
import signal
import sys
import threading
import time
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
from cranberryscale.request import actions
from cranberryscale.request import core_admission
from cranberryscale.request import gateway
from cranberryscale.version import deployment
from cranberryscale.version import replica


__all__ = ['CoreDaemon', 'PlatformAdapter']

PAGE_THREADS = 3
# The requests that run were waited for before.
STOP_TIMEOUT = datetime.timedelta(milliseconds=200)
STOP_LIMIT_S = 0.3
# Callers keep an answer of the directory this long.
ANSWER_LIFETIME = datetime.timedelta(seconds=2)
ADDRESS_LIMIT = 64
# Part of the time from SIGTERM to SIGKILL in which new requests are served:
# callers still hold answers that name the instance.
SERVE_RATIO = 0.55
# What is left of that time for the last requests to end.
EXIT_MARGIN = datetime.timedelta(milliseconds=700)
SETTINGS_INTERVAL = datetime.timedelta(seconds=1)
# Idle connections to servers; they close theirs after 10 s.
IDLE_LIMIT = datetime.timedelta(seconds=8)
BACKEND_CONNECTIONS = 16
# How often connections to servers and instances that are gone are closed. A
# server that lapses for a moment keeps its connections most of the time.
TRIM_INTERVAL = datetime.timedelta(seconds=10)
# From the start until an instance knows the configuration and the others
# takes half of this where all instances start together.
START_TIME = datetime.timedelta(seconds=1)
START_POLL_S = 0.02


class PlatformAdapter(NamedTuple):
    """Hold what an adapter provides.

    `open_store(address)` returns the client of the store; `decode` turns
    its entries into facts; `make_pages(entry)` returns the WSGI callables
    for callers that ask for addresses and for the platform's own checks.
    """

    open_store: Callable[[str], core_driver.KeyValueStore]
    decode: Callable[[str, bytes], replica.DecodedEntry | None]
    backend_headers: backend_headers.BackendHeaders
    make_endpoints: Callable


class CoreDaemon:
    """Run one instance until it is told to leave."""

    def __init__(
        self,
        path: pathlib.Path,
        machine: PlatformAdapter,
        clock: clocks.Clock | None = None,
    ):
        self._path = path
        self._machine = machine
        self.options = deployment.load_deployment(path)
        self.clock = clock or clocks.SystemClock()
        self._began = self.clock.read_elapsed()
        # Higher than that of an earlier life, unless the clock was set back;
        # the roster corrects that when it hears of the earlier life.
        epoch = int(self.clock.read_wall().timestamp() * 1000)
        self.core = cores.Core(
            self.options,
            epoch,
            machine.decode,
            random.Random(),
            self.clock.read_elapsed(),
        )
        self.driver = core_driver.CoreDriver(
            self.core,
            self.clock,
            machine.open_store(self.options.platform.address),
        )
        self.metrics = metrics.Metrics()
        self.facts = core_admission.CoreDecisionContext(self.core, self.clock)
        self.backends = backends.BackendClient(
            self.clock,
            datetime.timedelta(seconds=self.options.timeouts.connect_s),
            IDLE_LIMIT,
            BACKEND_CONNECTIONS,
            allows_unframed=True,
        )
        self.gateway = gateway.Gateway(
            core_admission.CoreAdmission(
                self.driver,
                self.facts,
                self.clock,
                self.metrics,
                self._began + START_TIME,
            ),
            self.backends,
            self.clock,
            self._observe,
            machine.backend_headers,
            lambda: self.core.describe_configuration(
                self.clock.read_elapsed()
            ),
            self._await_start,
        )
        self._prepared = threading.Event()
        self._stopping = threading.Event()
        self._leaving = threading.Event()
        self._reload = threading.Event()
        self._is_stop_logged = False
        self._listeners = tuple(self._make_listeners())

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self._take_signals()
        self.driver.start()
        for loop in (self._watch_settings, self._keep_trimming):
            threading.Thread(target=loop, daemon=True).start()
        for listener in self._listeners:
            listener.start()
        logs.log_event(
            'started',
            name=self.options.name,
            label=self.options.label,
            epoch=self.core.roster.own_record.epoch,
            seeds=','.join(self.options.seeds),
        )
        threading.Thread(target=self._become_ready, daemon=True).start()
        self._stopping.wait()
        for listener in self._listeners:
            listener.stop()
        self.driver.close()
        self._note_stop()

    def _note_stop(self) -> None:
        """Log the end once; a timer may end the process before the rest."""
        if not self._is_stop_logged:
            self._is_stop_logged = True
            logs.log_event('stopped', name=self.options.name)

    @property
    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.core.roster.own_record.state == roster.InstanceState.READY

    def list_addresses(self) -> tuple[str, ...]:
        """Return the addresses that callers may use."""
        with self.driver.lock:
            return self.core.list_addresses(ADDRESS_LIMIT)

    @property
    def answer_lifetime(self) -> datetime.timedelta:
        """Return how long callers may keep the addresses."""
        return min(ANSWER_LIFETIME, self.options.terms.longest_answer)

    def _await_start(self) -> None:
        """Hold a request that came while the instance starts.

        In a moment the configuration is there, and holders of rates that
        know of each other; callers that are refused seldom come back in time.
        """
        if self._prepared.is_set():
            return
        left = self._began + START_TIME - self.clock.read_elapsed()
        self._prepared.wait(max(0.0, left.total_seconds()))

    def _become_ready(self) -> None:
        if not self._wait_until(self._is_configured):
            return
        if not self._leaving.is_set():
            self._note_ready()
        if self._wait_until(self._has_settled):
            self._prepared.set()

    def _wait_until(self, check: Callable[[], bool]) -> bool:
        """Return True once the check holds, False if the instance stops."""
        while not check():
            if self._stopping.wait(START_POLL_S):
                return False
        return True

    def _is_configured(self) -> bool:
        return self.core.replica.policy is not None

    def _note_ready(self) -> None:
        with self.driver.lock:
            self.core.roster.set_state(
                roster.InstanceState.READY, self.clock.read_elapsed()
            )
        logs.log_event(
            'ready',
            revision=self.core.replica.revision,
            version=self.core.replica.policy.version,
        )

    def _has_settled(self) -> bool:
        with self.driver.lock:
            return self.core.roster.has_finished_joining(
                self.clock.read_elapsed()
            )

    def _take_signals(self) -> None:
        signal.signal(signal.SIGTERM, lambda *_: self.shut_down())
        signal.signal(signal.SIGINT, lambda *_: self.shut_down())
        signal.signal(signal.SIGHUP, lambda *_: self._reload.set())

    def _make_listeners(self) -> Iterable[http_servers.ServerThread]:
        addresses = self.options.addresses
        pages = self._machine.make_endpoints(self)
        yield http_servers.ServerThread(
            http_servers.CallerServer(self.options, self.clock, self.gateway),
            self._stopping.set,
        )
        for address, app in (
            (addresses.health, pages),
            (addresses.directory, pages),
            (addresses.operators, self._show_metrics),
        ):
            yield http_servers.ServerThread(
                http_servers.PageServer(
                    address, app, PAGE_THREADS, STOP_TIMEOUT
                ),
                self._stopping.set,
            )

    def _show_metrics(self, environ: dict, start_response) -> list[bytes]:
        self.metrics.set_gauge('requests_running', self.gateway.running)
        self.metrics.set_gauge('store_calls', self.driver.store.calls)
        body = self.metrics.render()
        start_response(
            '200 OK',
            [
                ('Content-Type', 'text/plain; version=0.0.4'),
                ('Content-Length', str(len(body))),
            ],
        )
        return [body]

    def shut_down(self) -> None:
        """Stop being given out, finish what runs, then end."""
        if self._leaving.is_set():
            return
        self._leaving.set()
        threading.Thread(target=self._drain).start()

    def _drain(self) -> None:
        grace = self.options.terms.grace
        began = self.clock.read_elapsed()
        logs.log_event(
            'leaving',
            name=self.options.name,
            running=self.gateway.running,
            grace_s=grace.total_seconds(),
        )
        self.driver.announce_leaving()
        serve_for = grace * SERVE_RATIO
        self.gateway.drain(began + serve_for)
        time.sleep(serve_for.total_seconds())
        left = began + grace - EXIT_MARGIN - self.clock.read_elapsed()
        is_idle = self.gateway.wait_idle(max(left, datetime.timedelta(0)))
        if not is_idle:
            logs.log_event(
                'drain_incomplete',
                logging.WARNING,
                running=self.gateway.running,
            )
        self._note_stop()
        timer = threading.Timer(STOP_LIMIT_S, _end_process)
        timer.daemon = True
        timer.start()
        self._stopping.set()

    def _keep_trimming(self) -> None:
        """Close what belongs to servers and instances that are gone."""
        while not self._stopping.wait(TRIM_INTERVAL.total_seconds()):
            with self.driver.lock:
                servers = (
                    self.core.replica.current_configuration.servers.values()
                )
                addresses = frozenset(server.address for server in servers)
            self.backends.retain(addresses)
            self.driver.close_unknown_peers()

    def _watch_settings(self) -> None:
        """Load the settings again when they change or SIGHUP asks for it."""
        known = self._read_stamp()
        while not self._stopping.is_set():
            asked = self._reload.wait(SETTINGS_INTERVAL.total_seconds())
            self._reload.clear()
            stamp = self._read_stamp()
            if asked or stamp != known:
                known = stamp
                self._load_settings()

    def _read_stamp(self) -> tuple[int, int]:
        try:
            status = self._path.stat()
        except OSError:
            # It is being replaced; the next look sees the new one.
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def _load_settings(self) -> None:
        try:
            options = deployment.load_deployment(self._path)
        except errors.FleetError as error:
            logs.log_event('settings_refused', logging.WARNING, reason=error)
            return
        with self.driver.lock:
            self.core.apply_settings(options)
        self.options = options
        logs.log_event('settings_loaded', seeds=','.join(options.seeds))

    def _observe(
        self, outcome: actions.RequestOutcome, elapsed: datetime.timedelta
    ) -> None:
        self.metrics.record('request_seconds', elapsed, code=outcome.code)
        self.metrics.count('requests', code=outcome.code, ran=outcome.ran)


def _end_process(code: int = 0) -> NoReturn:
    """End now: threads that wait for silent servers would hold it back."""
    logs.flush()
    os._exit(code)


def run(path: pathlib.Path, machine: PlatformAdapter) -> NoReturn:
    """Run an instance with the settings at `path`, and end the process."""
    logs.set_up(sys.stdout)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    code = 0
    try:
        CoreDaemon(path, machine).serve()
    except errors.FleetError as error:
        logs.log_event('start_failed', logging.ERROR, reason=error)
        code = 1
    _end_process(code)
