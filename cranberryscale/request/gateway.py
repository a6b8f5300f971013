"""The WSGI application that serves the requests of callers."""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
import threading
from typing import Protocol

from absl import logging

from cranberryscale import clock as clocks
from cranberryscale.connection import backend_headers
from cranberryscale.connection import backends as backend_connections
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale.process import shutdown
from cranberryscale.request import actions
from cranberryscale.request import proxied_requests


__all__ = ['AdmissionControl', 'Gateway']

Observer = Callable[[actions.RequestOutcome, datetime.timedelta], None]


class AdmissionControl(Protocol):
    """Admission of requests, by other instances if need be; thread-safe."""

    context: actions.DecisionContext

    def ask_tokens(
        self, action: actions.AskTokens, request_id: str
    ) -> actions.TokensGranted | actions.AdmissionDenied:
        """Return a token of the customer's rate budget, or the denial."""

    def ask_permit(
        self,
        action: actions.AskPermit,
        request_id: str,
        is_answered: Callable[[], bool] = lambda: False,
    ) -> actions.PermitGranted | actions.AdmissionDenied:
        """Return a permit, after waiting in the pool's queue if necessary.

        The wait may end early once `is_answered` returns True: an exchange of
        the request that is still open has an event.
        """

    def report_overdue(self, action: actions.ReportOverdue) -> None:
        """Report a server that is silent for long; must not block."""

    def report_permit(self, action: actions.ReportPermit) -> None:
        """Return a permit and report how the request ended at its server.

        If the server ended under the request, this may wait until holders
        know it. Otherwise it must not block.
        """

    def settle_token(self, request_id: str, is_spent: bool) -> None:
        """Release a request's token; an unspent one may be used again."""

    def finish_once(
        self, customer: str, once_key: str, request_id: str, ran: str
    ) -> None:
        """Record the result of a request with an idempotency key."""


class Gateway:
    """WSGI application that proxies requests to backend servers.

    `observe` is called with the outcome and duration of each request.
    `describe_configuration` returns version and age of the configuration for
    the log. `wait_until_started` blocks until requests can be decided, at
    most until an elapsed time, if one is given.
    """

    def __init__(
        self,
        admission: AdmissionControl,
        backends: backend_connections.BackendClient,
        clock: clocks.Clock,
        observe: Observer | None = None,
        header_names: backend_headers.BackendHeaders = (
            backend_headers.BackendHeaders()
        ),
        describe_configuration: Callable[[], dict[str, object]] = dict,
        wait_until_started: Callable[
            [datetime.timedelta | None], None
        ] = lambda until: None,
    ):
        self._describe_configuration = describe_configuration
        self.wait_until_started = wait_until_started
        self.header_names = header_names
        self.admission = admission
        self.backends = backends
        self.clock = clock
        self._observe = observe
        self._running = 0
        self._changed = threading.Condition()

    def __call__(self, environ: dict, start_response) -> Iterable[bytes]:
        """Serve one request."""
        request = proxied_requests.ProxiedRequest(
            self, environ['cranberryscale.request'], start_response
        )
        self._update_running_count(request, True)
        try:
            return request.start()
        except Exception as error:
            # Every exception must end as an error response and a log event.
            try:
                return request.fail(error)
            finally:
                # A stop would wait for a request that could not be refused.
                self._update_running_count(request, False)

    @property
    def running(self) -> int:
        """Return the number of requests in progress."""
        return self._running

    @property
    def is_draining(self) -> bool:
        """Return whether `drain` was called."""
        return self.admission.context.shutdown_plan is not None

    def check_accepting(self) -> None:
        """Raise ShuttingDown if new requests are refused."""
        plan = self.admission.context.shutdown_plan
        if (
            plan is not None
            and self.clock.read_elapsed() >= plan.accepts_until
        ):
            raise errors.make_error('shutting_down')

    def drain(self, plan: shutdown.ShutdownPlan) -> None:
        """Refuse the requests that the plan does not admit any more.

        From now on, responses ask callers to close their connections.
        """
        self.admission.context.shutdown_plan = plan

    def wait_idle(self, timeout: datetime.timedelta) -> bool:
        """Wait until no request is in progress; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._running == 0, timeout.total_seconds()
            )

    def _update_running_count(
        self, request: proxied_requests.ProxiedRequest, is_running: bool
    ) -> None:
        with self._changed:
            if request.is_counted != is_running:
                request.is_counted = is_running
                self._running += 1 if is_running else -1
                self._changed.notify_all()

    def _report_outcome(
        self,
        request: proxied_requests.ProxiedRequest,
        outcome: actions.RequestOutcome,
    ) -> None:
        if outcome.has_idempotency_record:
            self.admission.finish_once(
                outcome.customer,
                request.once_key,
                request.request_id,
                outcome.ran,
            )
        if outcome.customer:
            self.admission.settle_token(
                request.request_id, not outcome.has_unspent_token
            )

    def finish(
        self,
        request: proxied_requests.ProxiedRequest,
        outcome: actions.RequestOutcome,
    ) -> None:
        """Record and log the outcome of a request."""
        elapsed = self.clock.read_elapsed() - request.received
        try:
            self._report_outcome(request, outcome)
            if self._observe is not None:
                self._observe(outcome, elapsed)
        except Exception as error:
            # The response is already decided, so an error here is only logged.
            self.log_fault(request.request_id, type(error).__name__, 'finish')
        self._update_running_count(request, False)
        logs.log_event(
            'request',
            request_id=request.request_id,
            method=request.method,
            route=outcome.route,
            customer=outcome.customer,
            server=outcome.server,
            server_limit=outcome.server_limit,
            status=outcome.status,
            code=outcome.code,
            ran=outcome.ran,
            attempts=outcome.attempts,
            duration_ms=round(elapsed.total_seconds() * 1000, 1),
            **self._describe_configuration(),
        )

    def log_dropped(
        self,
        request_id: str,
        reason: str,
        exchange: proxied_requests.DroppedExchange,
    ) -> None:
        """Log that a request failed whose server had not answered yet."""
        logs.log_event(
            'exchange_dropped',
            request_id=request_id,
            reason=reason,
            server=exchange.server,
            permit=exchange.permit_id,
            time_left_ms=round(exchange.time_left.total_seconds() * 1000),
            draining=self.is_draining,
        )

    def log_fault(self, request_id: str, kind: str, where: str) -> None:
        """Log an unexpected exception without its message.

        The message may contain a part of the request and thus an API key.
        """
        logs.log_event(
            'request_fault',
            logging.ERROR,
            request_id=request_id,
            kind=kind,
            where=where,
        )
