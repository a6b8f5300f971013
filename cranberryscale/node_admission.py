"""Access of the request path to a node."""

from collections.abc import Callable
import datetime
import threading

from cranberryscale import clock as clocks
from cranberryscale import errors
from cranberryscale import node
from cranberryscale import node_driver
from cranberryscale.process import calls
from cranberryscale.process import metrics
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.request import routes
from cranberryscale.version import configuration
from cranberryscale.version import keys


__all__ = ['NodeAdmission', 'NodeDecisionContext']


class NodeDecisionContext:
    """A request.actions.DecisionContext that is backed by a node."""

    def __init__(
        self,
        target_node: node.Node,
        lock: threading.RLock,
        clock: clocks.Clock,
    ):
        self.routes = routes.RouteTable()
        self.shutdown_plan: shutdown.ShutdownPlan | None = None
        self._node = target_node
        self._lock = lock
        self._clock = clock

    def get_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._node.get_configuration()

    def read_elapsed(self) -> datetime.timedelta:
        """Return the elapsed time."""
        return self._clock.read_elapsed()

    def can_serve_keyed_requests(self) -> bool:
        """Return whether the configuration was confirmed recently enough."""
        # Called again before each effect, so that after a pause of the
        # process the decision uses the time after the pause.
        with self._lock:
            return self._node.decide_keyed(self._clock.read_elapsed()).serves

    def is_avoided(self, server: str) -> bool:
        """Return False: what servers say in answers is not read here."""
        return False

    def find_customer(self, key: str) -> str | None:
        """Return the customer of a key that is valid now, or None."""
        try:
            return keys.find_customer(self.get_configuration(), key).name
        except errors.RequestError:
            return None


class NodeAdmission:
    """A request.gateway.AdmissionControl that is backed by a node."""

    def __init__(
        self,
        driver: node_driver.NodeDriver,
        decision_context: NodeDecisionContext,
        recorder: metrics.Metrics,
    ):
        self.context = decision_context
        self._metrics = recorder
        self._driver = driver
        self._node = driver.node

    def ask_tokens(
        self, action: actions.AskTokens, request_id: str
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        """Acquire a token of the customer's budget."""
        plan = self._node.plan_tokens(
            action.customer,
            action.once_key,
            request_id,
            self.context.read_elapsed(),
        )
        return self._run_timed('tokens', plan)

    def ask_permit(
        self,
        action: actions.AskPermit,
        request_id: str,
        is_answered: Callable[[], bool] = lambda: False,
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Acquire a permit, waiting in the pool's queue if necessary."""
        plan = self._node.plan_permit(
            action, request_id, self.context.read_elapsed()
        )
        return self._run_timed('permit', plan)

    def _run_timed(self, step: str, plan: calls.Plan):
        started_at = self.context.read_elapsed()
        result = self._driver.run(plan)
        elapsed = self.context.read_elapsed() - started_at
        self._metrics.record('step_seconds', elapsed, step=step)
        return result

    def report_overdue(self, action: actions.ReportOverdue) -> None:
        """Do nothing: holders learn of silence when the request ends."""

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Release a permit; a worker thread sends the report."""
        with self._driver.lock:
            self._node.report_permit(action)
            plans = self._node.pop_report_plans(self.context.read_elapsed())
        self._driver.start(plans)

    def settle_token(self, request_id: str, is_spent: bool) -> None:
        """Record whether the token of a request was spent."""
        with self._driver.lock:
            self._node.tokens.settle_token(
                request_id, is_spent, self.context.read_elapsed()
            )

    def finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str
    ) -> None:
        """Report the end of a request to the holder of its idempotency key."""
        plan = self._node.plan_finish_once(
            customer, once_key, request_id, ran, self.context.read_elapsed()
        )
        self._driver.start([plan])
