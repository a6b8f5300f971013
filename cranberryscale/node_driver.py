"""Execution of a node's plans with sockets, threads and the system clock."""

from concurrent import futures
import datetime
import threading
import time
from typing import Any
from typing import Iterable

from absl import logging

from cranberryscale import clock as clocks
from cranberryscale.connection import peer_frames
from cranberryscale.connection import peers
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale import messages
from cranberryscale import node
from cranberryscale.process import calls


__all__ = ['NodeDriver']

WORKERS = 24
# Each call that waits in a pool's queue occupies a thread of the peer server.
# Fewer calls may wait than there are threads, since otherwise the reports that
# free a slot could not be received.
PEER_THREADS = 128
WAITING_CALLS_LIMIT = 96
BUSY_RETRY_S = 0.1


class NodeDriver:
    """The lock around a node, its worker threads and its peer connections."""

    def __init__(
        self, driven_node: node.Node, clock: clocks.Clock, secret: str
    ):
        self.node = driven_node
        self.lock = threading.RLock()
        self._clock = clock
        name, number = (
            driven_node.instance_settings.name,
            driven_node.incarnation,
        )
        self._name = name
        self.client = peers.PeerClient(
            peer_frames.Signer(name, number, secret)
        )
        self.server = peers.PeerServer(
            peer_frames.Signer(name, number, secret),
            self._handle_frame,
            PEER_THREADS,
        )
        self._workers = futures.ThreadPoolExecutor(WORKERS, 'errands')
        self._waiting_calls: dict[node.Ticket, futures.Future] = {}
        self._seeds = dict(driven_node.instance_settings.seeds)

    def close(self) -> None:
        """Close all connections; plans in progress end with errors."""
        self.server.stop(datetime.timedelta(seconds=1))
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def run(self, plan: calls.Plan) -> Any:
        """Execute a plan in this thread and return its result."""
        reply = None
        while True:
            with self.lock:
                try:
                    step = plan.send(reply)
                except StopIteration as end:
                    return end.value
                finally:
                    self._deliver_deferred_replies()
            reply = self._execute_step(step)

    def start(self, plans: Iterable[calls.Plan]) -> None:
        """Execute plans in worker threads; their results are discarded."""
        for plan in plans:
            try:
                self._workers.submit(self._run_or_log, plan)
            except RuntimeError:
                # The thread pool was shut down.
                return

    def deliver_deferred_replies(self) -> None:
        """Deliver the replies to queued calls to their threads."""
        with self.lock:
            self._deliver_deferred_replies()

    def _run_or_log(self, plan: calls.Plan) -> None:
        try:
            self.run(plan)
        except errors.FleetError as error:
            logs.log_event('plan_failed', logging.WARNING, code=error.code)
        except Exception as error:
            # The thread pool would discard the exception silently.
            logs.log_event(
                'plan_fault',
                logging.ERROR,
                kind=type(error).__name__,
                reason=error,
            )

    def _execute_step(
        self, step: calls.Call | calls.Sleep
    ) -> calls.CallResult:
        sent_at = self._clock.read_elapsed()
        match step:
            case calls.Sleep(delay):
                time.sleep(delay.total_seconds())
                return calls.CallResult(
                    None, sent_at, self._clock.read_elapsed()
                )
            case calls.Call():
                return self._call(step, sent_at)

    def _call(
        self, call: calls.Call, sent_at: datetime.timedelta
    ) -> calls.CallResult:
        message, error = None, None
        try:
            if call.target == self._name:
                message = self._handle_locally(
                    self._name, call.message, call.timeout
                )
            else:
                address = self._find_address(call.target)
                message = self.client.call(
                    call.target, address, call.message, call.timeout
                )
        except errors.FleetError as caught:
            error = caught
        now = self._clock.read_elapsed()
        return calls.CallResult(message, sent_at, now, error)

    def _find_address(self, target: str) -> str:
        member = self.node.membership_view.find_member(target)
        if member is not None:
            return member.peer_address
        if target in self._seeds:
            return self._seeds[target]
        raise errors.make_error('peer_unknown', target)

    def _handle_frame(self, frame: peer_frames.Frame, message: Any) -> Any:
        timeout = datetime.timedelta(seconds=60)
        if isinstance(message, messages.TakePermit):
            timeout = datetime.timedelta(seconds=message.remaining_s)
        return self._handle_locally(frame.sender, message, timeout)

    def _handle_locally(
        self, sender: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        with self.lock:
            now = self._clock.read_elapsed()
            reply = self.node.handle_message(sender, message, now)
            if isinstance(reply, node.Ticket):
                waiting = self._add_waiting_call(reply)
            self._deliver_deferred_replies()
        if not isinstance(reply, node.Ticket):
            return reply
        if waiting is None:
            return messages.PermitDenial('pool_busy', BUSY_RETRY_S)
        return self._wait_for_reply(reply, waiting, timeout)

    def _add_waiting_call(self, ticket: node.Ticket) -> futures.Future | None:
        if len(self._waiting_calls) >= WAITING_CALLS_LIMIT:
            self.node.resource_holder.cancel_ticket(ticket)
            return None
        return self._waiting_calls.setdefault(ticket, futures.Future())

    def _wait_for_reply(
        self,
        ticket: node.Ticket,
        waiting: futures.Future,
        timeout: datetime.timedelta,
    ) -> Any:
        try:
            return waiting.result(timeout.total_seconds())
        except futures.TimeoutError:
            with self.lock:
                self._waiting_calls.pop(ticket, None)
                if waiting.done():
                    return waiting.result()
                self.node.resource_holder.cancel_ticket(ticket)
            return messages.PermitDenial('deadline_too_short', BUSY_RETRY_S)

    def _deliver_deferred_replies(self) -> None:
        for ticket, reply in self.node.pop_deferred_replies().items():
            waiting = self._waiting_calls.pop(ticket, None)
            if waiting is not None:
                waiting.set_result(reply)
