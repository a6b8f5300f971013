"""The daemon of an instance with a published list: servers and threads."""

import datetime
import random
import sys
import threading
import time

from absl import logging
from cheroot import wsgi
import cherrypy
from cherrypy.process import servers

from cranberryscale import clock as clocks
from cranberryscale.connection import backends
from cranberryscale.connection import http_servers
from cranberryscale import logs
from cranberryscale import node
from cranberryscale import node_admission
from cranberryscale import node_driver
from cranberryscale.process import audit
from cranberryscale.process import metrics
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.request import gateway
from cranberryscale.request import pages
from cranberryscale.version import settings
from cranberryscale import watcher


__all__ = ['NodeDaemon']

ADVANCE_INTERVAL_S = 0.05
DROP_IDLE_INTERVAL_S = 5.0
OPERATOR_THREADS = 4
OPERATOR_REQUEST_BYTES = 65536


def _write_audit(line: str) -> None:
    # Instances have no disk; the platform collects standard output.
    sys.stdout.write(line + '\n')
    sys.stdout.flush()


class NodeDaemon:
    """The process of one instance: a node, its driver and its servers."""

    def __init__(
        self,
        instance_settings: settings.Settings,
        clock: clocks.Clock | None = None,
    ):
        self.instance_settings = instance_settings
        self.clock = clock or clocks.SystemClock()
        now = self.clock.read_elapsed()
        # Increases with every start, even on another machine, unless the
        # clock was set back.
        incarnation = int(self.clock.read_wall().timestamp() * 1000)
        self.node = node.Node(
            instance_settings, incarnation, random.Random(), now
        )
        self.driver = node_driver.NodeDriver(
            self.node, self.clock, instance_settings.secret
        )
        self.metrics = metrics.Metrics()
        self.audit = audit.AuditTrail(
            instance_settings.name, incarnation, _write_audit
        )
        self.decision_context = node_admission.NodeDecisionContext(
            self.node, self.driver.lock, self.clock
        )
        self.watcher = watcher.PlatformWatcher(self)
        self.gateway = gateway.Gateway(
            node_admission.NodeAdmission(
                self.driver, self.decision_context, self.metrics
            ),
            backends.BackendClient(
                self.clock,
                datetime.timedelta(
                    seconds=instance_settings.timeouts.connect_s
                ),
            ),
            self.clock,
            self._record_outcome,
        )
        self._stopping = threading.Event()
        self._leaving = threading.Event()

    def serve(self) -> None:
        """Serve until SIGTERM or SIGINT."""
        self.driver.server.start(self.instance_settings.addresses.peers)
        self._mount_servers()
        for loop in (
            self._run_timer_loop,
            self.watcher.watch_documents,
            self.watcher.watch_instances,
        ):
            threading.Thread(target=loop, daemon=True).start()
        cherrypy.engine.start()
        logs.log_event(
            'started',
            name=self.instance_settings.name,
            incarnation=self.node.incarnation,
        )
        cherrypy.engine.block()
        self._stopping.set()
        self.driver.close()
        logs.log_event('stopped', name=self.instance_settings.name)

    @property
    def is_stopping(self) -> bool:
        """Return whether background threads must end."""
        return self._stopping.is_set()

    def _mount_servers(self) -> None:
        cherrypy.config.update(
            {'environment': 'production', 'log.screen': False}
        )
        cherrypy.tree.graft(self.gateway, '/')
        cherrypy.tree.graft(
            pages.InstanceAddressPage(self), '/.well-known/cranberryscale'
        )
        cherrypy.server.unsubscribe()
        caller_server = http_servers.CallerServer(
            self.instance_settings, self.clock, cherrypy.tree
        )
        servers.ServerAdapter(
            cherrypy.engine, caller_server, caller_server.bind_addr
        ).subscribe()
        host, port = self.instance_settings.addresses.operators.rsplit(':', 1)
        operator_server = wsgi.Server(
            (host, int(port)),
            cherrypy.Application(pages.OperatorPages(self)),
            numthreads=OPERATOR_THREADS,
        )
        operator_server.max_request_header_size = OPERATOR_REQUEST_BYTES
        operator_server.max_request_body_size = OPERATOR_REQUEST_BYTES
        servers.ServerAdapter(
            cherrypy.engine, operator_server, (host, int(port))
        ).subscribe()
        handler = cherrypy.engine.signal_handler
        handler.handlers = {
            'SIGTERM': self.shut_down,
            'SIGINT': self.shut_down,
        }
        handler.subscribe()

    def shut_down(self) -> None:
        """Stop being listed, finish the requests in progress, then exit.

        Callers cache earlier responses for their lifetime and the list lags,
        so the instance keeps serving for that long before it refuses
        requests.
        """
        if self._leaving.is_set():
            return
        self._leaving.set()
        threading.Thread(target=self._drain).start()

    def _drain(self) -> None:
        timeouts = self.instance_settings.timeouts
        grace_s = timeouts.answer_lifetime_s + timeouts.list_lag_s
        grace = datetime.timedelta(seconds=grace_s)
        limit = datetime.timedelta(seconds=timeouts.shutdown_s)
        logs.log_event(
            'leaving', name=self.instance_settings.name, grace_s=grace_s
        )
        self.node.is_leaving = True
        accepts_until = self.clock.read_elapsed() + grace
        self.gateway.drain(
            shutdown.ShutdownPlan(
                accepts_until, accepts_until, accepts_until + limit
            )
        )
        time.sleep(grace_s)
        if not self.gateway.wait_idle(limit):
            logs.log_event(
                'drain_incomplete',
                logging.WARNING,
                running=self.gateway.running,
            )
        self.driver.start(
            self.node.pop_background_plans(self.clock.read_elapsed())
        )
        cherrypy.engine.exit()

    def _run_timer_loop(self) -> None:
        gossip_at = pull_at = idle_at = self.clock.read_elapsed()
        while not self._stopping.wait(ADVANCE_INTERVAL_S):
            now = self.clock.read_elapsed()
            plans = []
            with self.driver.lock:
                self.node.advance(now)
                if now >= pull_at:
                    pull_at = now + self.node.pull_interval
                    plans.extend(self.node.plan_confirmations(now))
                if now >= gossip_at:
                    gossip_at = now + self.node.find_gossip_interval(now)
                    plans.extend(self.node.plan_gossip(now))
                if now >= idle_at:
                    idle_at = now + datetime.timedelta(
                        seconds=DROP_IDLE_INTERVAL_S
                    )
                    self.node.remove_idle(now)
                plans.extend(self.node.pop_background_plans(now))
                self.driver.deliver_deferred_replies()
            self.driver.start(plans)
            self.watcher.record_outcomes()

    def _record_outcome(
        self, outcome: actions.RequestOutcome, elapsed: datetime.timedelta
    ) -> None:
        self.metrics.record('request_seconds', elapsed, route=outcome.route)
        self.metrics.count('requests', code=outcome.code, ran=outcome.ran)

    def record_gauges(self) -> None:
        """Set the gauges whose values other objects hold."""
        traffic = self.driver.server.traffic
        sent = traffic.control_bytes + self.driver.client.control_bytes
        self.metrics.set_gauge('control_bytes_sent', sent)
        self.metrics.set_gauge('platform_calls', self.watcher.calls)
        self.metrics.set_gauge('requests_running', self.gateway.running)
        for code, count in traffic.refused.items():
            self.metrics.set_gauge('peer_messages_refused', count, code=code)
