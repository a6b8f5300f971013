"""Execution of a node's plans with sockets, threads and the real clock."""

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
# Calls that wait in a pool's queue each keep a thread of the peer server, so
# fewer may wait than it has threads; otherwise reports that end the waiting
# could not be received.
PEER_THREADS = 128
WAITING_LIMIT = 96
BUSY_RETRY_S = 0.1


class NodeDriver:
    """Own the lock around a node, and its conversations with peers."""

    def __init__(self, decisions: node.Node, clock: clocks.Clock, secret: str):
        self.node = decisions
        self.lock = threading.RLock()
        self._clock = clock
        name, number = decisions.options.name, decisions.incarnation
        self._name = name
        self.client = peers.PeerClient(
            peer_frames.Signer(name, number, secret)
        )
        self.server = peers.PeerServer(
            peer_frames.Signer(name, number, secret),
            self._answer,
            PEER_THREADS,
        )
        self._workers = futures.ThreadPoolExecutor(WORKERS, 'errands')
        self._waiting: dict[node.Ticket, futures.Future] = {}
        self._seeds = dict(decisions.options.seeds)

    def close(self) -> None:
        """Stop conversations; plans under way end with errors."""
        self.server.stop(datetime.timedelta(seconds=1))
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def run(self, plan: calls.Plan) -> Any:
        """Drive a plan in this thread and return its result."""
        reply = None
        while True:
            with self.lock:
                try:
                    step = plan.send(reply)
                except StopIteration as end:
                    return end.value
                finally:
                    self._settle()
            reply = self._work(step)

    def start(self, plans: Iterable[calls.Plan]) -> None:
        """Drive plans in worker threads; their results are dropped."""
        for plan in plans:
            try:
                self._workers.submit(self._run_logged, plan)
            except RuntimeError:
                # The workers were shut down.
                return

    def deliver_deferred_replies(self) -> None:
        """Hand out the answers to queued requests."""
        with self.lock:
            self._settle()

    def _run_logged(self, plan: calls.Plan) -> None:
        try:
            self.run(plan)
        except errors.FleetError as error:
            logs.log_event('plan_failed', logging.WARNING, code=error.code)
        except Exception as error:
            # A worker thread would lose the fault silently.
            logs.log_event(
                'plan_fault',
                logging.ERROR,
                kind=type(error).__name__,
                reason=error,
            )

    def _work(self, step: calls.Call | calls.Sleep) -> calls.CallResult:
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
                message = self._answer_here(
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

    def _answer(self, frame: peer_frames.Frame, message: Any) -> Any:
        timeout = datetime.timedelta(seconds=60)
        if isinstance(message, messages.TakePermit):
            timeout = datetime.timedelta(seconds=message.remaining_s)
        return self._answer_here(frame.sender, message, timeout)

    def _answer_here(
        self, sender: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        with self.lock:
            now = self._clock.read_elapsed()
            reply = self.node.handle_message(sender, message, now)
            if isinstance(reply, node.Ticket):
                waiting = self._enqueue(reply)
            self._settle()
        if not isinstance(reply, node.Ticket):
            return reply
        if waiting is None:
            return messages.PermitDenial('pool_busy', BUSY_RETRY_S)
        return self._wait(reply, waiting, timeout)

    def _enqueue(self, ticket: node.Ticket) -> futures.Future | None:
        if len(self._waiting) >= WAITING_LIMIT:
            self.node.resource_holder.cancel_ticket(ticket)
            return None
        return self._waiting.setdefault(ticket, futures.Future())

    def _wait(
        self,
        ticket: node.Ticket,
        waiting: futures.Future,
        timeout: datetime.timedelta,
    ) -> Any:
        try:
            return waiting.result(timeout.total_seconds())
        except futures.TimeoutError:
            with self.lock:
                self._waiting.pop(ticket, None)
                if waiting.done():
                    return waiting.result()
                self.node.resource_holder.cancel_ticket(ticket)
            return messages.PermitDenial('deadline_too_short', BUSY_RETRY_S)

    def _settle(self) -> None:
        for ticket, reply in self.node.pop_deferred_replies().items():
            waiting = self._waiting.pop(ticket, None)
            if waiting is not None:
                waiting.set_result(reply)
