"""What the request path learns from and asks of the node."""

import datetime
import threading

from cranberryscale import clock as clocks
from cranberryscale import errors
from cranberryscale import node
from cranberryscale import node_driver
from cranberryscale.process import calls
from cranberryscale.process import metrics
from cranberryscale.request import actions
from cranberryscale.request import routes
from cranberryscale.version import configuration
from cranberryscale.version import keys


__all__ = ['NodeAdmission', 'NodeDecisionContext']


class NodeDecisionContext:
    """Answer request.actions.Facts from a node."""

    def __init__(
        self,
        decisions: node.Node,
        lock: threading.RLock,
        clock: clocks.Clock,
    ):
        self.routes = routes.RouteTable()
        self._node = decisions
        self._lock = lock
        self._clock = clock

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._node.get_configuration()

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""
        return self._clock.read_elapsed()

    def can_serve_keyed_requests(self) -> bool:
        """Tell whether the configuration is confirmed recently enough."""
        # Taken again before each effect, so a process that was paused asks
        # with the time after the pause.
        with self._lock:
            return self._node.decide_keyed(self._clock.read_elapsed()).serves

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key that is valid now, or None."""
        try:
            return keys.find_customer(self.get_configuration(), key).name
        except errors.RequestError:
            return None


class NodeAdmission:
    """Do what the gateway needs from other instances."""

    def __init__(
        self,
        conversations: node_driver.NodeDriver,
        facts: NodeDecisionContext,
        recorded: metrics.Metrics,
    ):
        self.context = facts
        self._metrics = recorded
        self._driver = conversations
        self._node = conversations.node

    def ask_tokens(
        self, action: actions.AskTokens, request_id: str
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        """Return a token of the customer's budget, or why not."""
        plan = self._node.plan_tokens(
            action.customer,
            action.once_key,
            request_id,
            self.context.read_elapsed(),
        )
        return self._run('tokens', plan)

    def ask_permit(
        self, action: actions.AskPermit, request_id: str
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Return a permit, waiting in the pool's queue if need be."""
        plan = self._node.plan_permit(
            action, request_id, self.context.read_elapsed()
        )
        return self._run('permit', plan)

    def _run(self, step: str, plan: calls.Plan):
        began = self.context.read_elapsed()
        result = self._driver.run(plan)
        taken = self.context.read_elapsed() - began
        self._metrics.record('step_seconds', taken, step=step)
        return result

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Give a permit back; the report is sent by another thread."""
        with self._driver.lock:
            self._node.report_permit(action)
            plans = self._node.pop_report_plans(self.context.read_elapsed())
        self._driver.start(plans)

    def settle_token(self, request_id: str, is_spent: bool) -> None:
        """End the use of a request's token."""
        with self._driver.lock:
            self._node.tokens.settle_token(
                request_id, is_spent, self.context.read_elapsed()
            )

    def finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str
    ) -> None:
        """Record how the request with an idempotency key ended."""
        plan = self._node.plan_finish_once(
            customer, once_key, request_id, ran, self.context.read_elapsed()
        )
        self._driver.start([plan])
