"""Network calls, store access and threads around a core.

The loops in this module only transfer messages; the core decides what to
send and how to react to replies.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from concurrent import futures
import contextlib
import datetime
import threading
from typing import Any
from typing import Protocol

from absl import logging

from cranberryscale import clock as clocks
from cranberryscale.connection import peer_frames
from cranberryscale.connection import peers
from cranberryscale import core as cores
from cranberryscale import errors
from cranberryscale import logs
from cranberryscale import messages
from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process import roster
from cranberryscale.process import store_follower
from cranberryscale.version import replica


__all__ = ['CoreDriver', 'KeyValueStore']

PEER_THREADS = 96
WORKERS = 12
TICK_INTERVAL = datetime.timedelta(milliseconds=100)
# A call between failure domains takes 2 ms. The retransmission of a lost
# packet takes 200 ms, which is too long to wait for.
HOLDER_TIMEOUT = datetime.timedelta(milliseconds=150)
# How long an instance counts as unresponsive after a call without a reply,
# unless it replies to a later one.
UNRESPONSIVE_TIME = datetime.timedelta(seconds=1)
PULL_TIMEOUT = datetime.timedelta(milliseconds=400)
EXCHANGE_TIMEOUT = datetime.timedelta(milliseconds=700)
EXCHANGE_INTERVAL = datetime.timedelta(seconds=1)
SEED_INTERVAL = datetime.timedelta(seconds=2)
JOIN_INTERVAL = datetime.timedelta(milliseconds=200)
IDLE_POLL_INTERVAL = datetime.timedelta(milliseconds=250)
# Used until the first update of the store, since requests wait for it.
START_POLL_INTERVAL = datetime.timedelta(milliseconds=50)


class StoreUpdate(Protocol):
    """A snapshot of all entries, or the changes up to a revision."""

    changes: tuple[replica.EntryChange, ...]
    revision: int
    is_snapshot: bool
    era: int


class KeyValueStore(Protocol):
    """A client of the platform's store; raises ConfigurationError."""

    calls: int

    def read_all(self, era: int = 0) -> StoreUpdate:
        """Return a snapshot of all entries; `era` is the last known era."""

    def wait_for_changes(
        self, revision: int, wait: datetime.timedelta, era: int = 0
    ) -> StoreUpdate:
        """Wait for changes after a revision of an era and return them."""


class CoreDriver:
    """The lock, threads and connections around a core."""

    def __init__(
        self,
        core: cores.Core,
        clock: clocks.Clock,
        store: KeyValueStore,
    ):
        self.core = core
        self.lock = threading.RLock()
        self.store = store
        self._clock = clock
        # Set when a holder tells that a queued request has a result, by the
        # request's id in messages.
        self._results_ready: dict[str, threading.Event] = {}
        self._stopping = threading.Event()
        self._unresponsive_until: dict[str, datetime.timedelta] = {}
        self._store_is_up: bool | None = None
        # Changes of the replica by kind of event.
        self.event_counts: collections.Counter[str] = collections.Counter()
        self._exchange_at = clock.read_elapsed()
        name, epoch = core.instance_settings.name, core.roster.own_record.epoch
        signer = peer_frames.Signer(name, epoch, '')
        self.client = peers.PeerClient(signer)
        self.server = peers.PeerServer(
            signer,
            self._handle_frame,
            PEER_THREADS,
            peer_frames.ReplayGuard(orders_incarnations=False),
        )
        self._workers = futures.ThreadPoolExecutor(WORKERS, 'fleet')

    # Lifecycle

    def start(self) -> None:
        """Start the server for other instances and the background loops."""
        self.server.start(self.core.instance_settings.addresses.peers)
        for loop in (
            self._tick,
            self._keep_checking,
            self._keep_pulling,
            self._keep_reading,
        ):
            threading.Thread(
                target=self._run_loop, args=(loop,), daemon=True
            ).start()

    def close(self) -> None:
        """Close all connections; calls in progress end with errors."""
        self._stopping.set()
        self.server.stop(datetime.timedelta(milliseconds=100))
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def _run_loop(self, loop) -> None:
        while not self._stopping.is_set():
            try:
                loop()
            except Exception as error:
                # If a loop ended, the instance would stop communicating.
                logs.log_event(
                    'loop_fault',
                    logging.ERROR,
                    loop=loop.__name__,
                    kind=type(error).__name__,
                    reason=error,
                )
                self._stopping.wait(IDLE_POLL_INTERVAL.total_seconds())

    # Calls

    def call_instance(
        self, target: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        """Send a message to an instance and return its reply.

        A message to this instance is handled without the network. Raises
        FleetError.
        """
        if target == self.core.instance_settings.name:
            return self._handle_locally(target, message)
        try:
            reply = self.client.call(target, target, message, timeout)
        except errors.PeerError as error:
            if error.code == 'peer_unreachable':
                self._record_unresponsive(target)
            raise
        with self.lock:
            self._unresponsive_until.pop(target, None)
            self.core.roster.record_contact(target, self._clock.read_elapsed())
        return reply

    def _record_unresponsive(self, target: str) -> None:
        with self.lock:
            now = self._clock.read_elapsed()
            is_new = target not in self._unresponsive_until
            self._unresponsive_until[target] = now + UNRESPONSIVE_TIME
            self.core.roster.schedule_check(target)
        if is_new:
            logs.log_event('instance_silent', target=target)
            # Until it is known to be down, nobody takes its place.
            self._submit(self._check_repeatedly, target)

    def is_unresponsive(self, target: str) -> bool:
        """Return whether a recent call to the instance got no reply."""
        with self.lock:
            until = self._unresponsive_until.get(target)
            if until is None:
                return False
            if self._clock.read_elapsed() < until:
                return True
            del self._unresponsive_until[target]
            return False

    def send(self, target: str, message: Any) -> None:
        """Send a message from a worker thread; a failure is only logged."""
        self._submit(self._send_or_log, target, message)

    def call_instances(
        self, calls: Mapping[str, Any], timeout: datetime.timedelta
    ) -> tuple[Any, ...]:
        """Send each instance its message; return the replies in time.

        Failures are only logged.
        """
        submitted = [
            self._submit(self._send_or_log, target, message)
            for target, message in calls.items()
        ]
        done, _ = futures.wait(
            filter(None, submitted), timeout.total_seconds()
        )
        replies = (f.result() for f in done if f.exception() is None)
        return tuple(reply for reply in replies if reply is not None)

    def _submit(
        self, function: Callable[..., Any], *values: Any
    ) -> futures.Future | None:
        try:
            return self._workers.submit(function, *values)
        except RuntimeError:
            # The thread pool was shut down.
            return None

    def _send_or_log(self, target: str, message: Any) -> Any:
        try:
            return self.call_instance(target, message, HOLDER_TIMEOUT)
        except errors.FleetError as error:
            logs.log_event(
                'message_lost',
                target=target,
                message=type(message).__name__,
                code=error.code,
            )
            return None

    def _handle_frame(self, frame: peer_frames.Frame, message: Any) -> Any:
        return self._handle_locally(frame.sender, message)

    def _handle_locally(self, sender: str, message: Any) -> Any:
        if isinstance(message, messages.ResultReady):
            self._set_ready(message.request_id)
            return messages.Done()
        with self.lock:
            reply = self._handle_message(sender, message)
            notices = self.core.collect_results()
        match message:
            case messages.AskServer():
                self._log_dispatch(sender, message, reply)
        self._send_notices(notices)
        return reply

    # Queued requests

    @contextlib.contextmanager
    def follow_result(self, request_id: str) -> Iterator[threading.Event]:
        """Yield an event that is set when a queued request has a result."""
        ready = self._results_ready[request_id] = threading.Event()
        try:
            yield ready
        finally:
            # A caller may have sent another request with this id meanwhile.
            if self._results_ready.get(request_id) is ready:
                del self._results_ready[request_id]

    def _set_ready(self, request_id: str) -> None:
        ready = self._results_ready.get(request_id)
        if ready is not None:
            ready.set()

    def _send_notices(
        self, notices: tuple[dispatch_requests.ResultNotice, ...]
    ) -> None:
        """Tell the senders of queued requests that these have results.

        A sender that does not get the notice collects the result later.
        """
        for notice in notices:
            if notice.sender == self.core.instance_settings.name:
                self._set_ready(notice.request_id)
            else:
                self.send(
                    notice.sender, messages.ResultReady(notice.request_id)
                )

    def _log_dispatch(
        self,
        sender: str,
        message: messages.AskServer,
        reply: messages.ServerReply,
    ) -> None:
        if not (reply.server or reply.code):
            # Still queued: the sender repeats the message.
            return
        pool = self.core.pools[message.shard]
        now = self._clock.read_elapsed()
        logs.log_event(
            'dispatch',
            request_id=message.request_id.partition('/')[0],
            service=message.shard.service,
            domain=message.shard.domain,
            sender=sender,
            server=reply.server,
            health=pool.describe_health(reply.server, now),
            limit=self.core.statements.limits.find_rate(reply.server),
            kind=message.kind,
            **pool.describe_work(reply.server, message.kind),
            code=reply.code,
            idempotent=message.is_idempotent,
            is_repeat=message.is_repeat,
            is_paid=message.is_paid or bool(reply.code and reply.permit_id),
            **(pool.describe_retries(now) if message.is_repeat else {}),
            waited_ms=round(message.waited_s * 1000),
            remaining_ms=round(message.remaining_s * 1000),
            priority=message.priority,
            queued=pool.queue_length,
            running=pool.running_count,
            out=','.join(reply.ejected),
            **self.core.describe_configuration(now),
        )

    def _handle_message(self, sender: str, message: Any) -> Any:
        return self.core.handle_message(
            sender, message, self._clock.read_elapsed()
        )

    # Loops

    def _tick(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL.total_seconds()):
            with self.lock:
                now = self._clock.read_elapsed()
                events = self.core.advance(now)
                changes = tuple(self.core.statements.collect_changes(now))
                notices = self.core.collect_results()
                calls = (
                    *self.core.collect_histories(now),
                    *self.core.collect_retry_shares(now),
                )
                targets = ()
                if self.core.roster.has_updates:
                    targets = self.core.roster.choose_update_targets()
                    check = self._make_check()
            self._send_notices(notices)
            self.log_events(events)
            for change in changes:
                logs.log_event(
                    change.event, server=change.server, value=change.value
                )
            for name in targets:
                self._workers.submit(self._check, name, check)
            for holder, message in calls:
                self.send(holder, message)

    def _make_check(self) -> messages.Check:
        current_roster = self.core.roster
        return messages.Check(
            current_roster.digest, current_roster.collect_updates()
        )

    def _keep_checking(self) -> None:
        self._join()
        seed_at = self._clock.read_elapsed()
        interval = roster.CHECK_INTERVAL
        while not self._stopping.wait(interval.total_seconds()):
            now = self._clock.read_elapsed()
            with self.lock:
                interval = self.core.roster.find_check_interval(now)
                target = self.core.roster.choose_check_target()
                seed = None
                if now >= seed_at:
                    seed_at = now + SEED_INTERVAL
                    seed = self.core.roster.choose_seed()
            if seed is not None:
                self._workers.submit(self._exchange, seed)
            if target is not None:
                self._workers.submit(self._check_repeatedly, target)

    def _join(self) -> None:
        while not self._stopping.is_set():
            with self.lock:
                seed = self.core.roster.choose_seed()
                is_alone = len(self.core.roster.list_up()) < 2
            if not is_alone or seed is None:
                return
            self._exchange(seed)
            self._stopping.wait(JOIN_INTERVAL.total_seconds())

    def _check_repeatedly(self, target: str) -> None:
        for _ in range(roster.FAILED_CHECK_LIMIT):
            with self.lock:
                check = self._make_check()
            if self._check(target, check):
                return

    def _check(self, target: str, check: messages.Check) -> bool:
        started_at = self._clock.read_elapsed()
        try:
            reply = self.call_instance(target, check, roster.CHECK_TIMEOUT)
        except errors.FleetError:
            with self.lock:
                is_down = self.core.roster.record_failed_check(
                    target, started_at, self._clock.read_elapsed()
                )
            if is_down:
                logs.log_event('instance_down', target=target)
            return False
        with self.lock:
            now = self._clock.read_elapsed()
            self.core.roster.merge(reply.news, now)
            differs = reply.digest != self.core.roster.digest
        if differs and not check.news:
            self._exchange_rate_limited(target)
        return True

    def _exchange_rate_limited(self, target: str) -> None:
        # While many instances start, the digests differ at every check. Full
        # exchanges are rate-limited, since the news in checks transfer most of
        # the records.
        now = self._clock.read_elapsed()
        with self.lock:
            if now < self._exchange_at:
                return
            self._exchange_at = now + EXCHANGE_INTERVAL
        self._exchange(target)

    def _exchange(self, target: str) -> None:
        with self.lock:
            message = messages.Exchange(self.core.roster.records)
        try:
            reply = self.call_instance(target, message, EXCHANGE_TIMEOUT)
        except errors.FleetError as error:
            logs.log_event('exchange_failed', target=target, code=error.code)
            return
        with self.lock:
            self.core.roster.merge(reply.records, self._clock.read_elapsed())

    def _keep_pulling(self) -> None:
        interval = store_follower.STALE_PULL_INTERVAL
        while not self._stopping.wait(interval.total_seconds()):
            with self.lock:
                now = self._clock.read_elapsed()
                interval = self.core.follower.find_pull_interval(now)
                source = self.core.follower.choose_source(now)
                known = self.core.replica
                message = messages.PullChanges(known.revision, known.era)
            if source is not None:
                self._pull_changes(source, message, now)

    def _pull_changes(
        self,
        source: str,
        message: messages.PullChanges,
        sent_at: datetime.timedelta,
    ) -> None:
        try:
            reply = self.call_instance(source, message, PULL_TIMEOUT)
        except errors.FleetError as error:
            logs.log_event('pull_failed', target=source, code=error.code)
            with self.lock:
                self.core.follower.record_pull_failure(
                    source, self._clock.read_elapsed()
                )
            return
        with self.lock:
            events = self.core.receive_changes_reply(
                source, reply, sent_at, self._clock.read_elapsed()
            )
        self.log_events(events, source)

    def _keep_reading(self) -> None:
        while not self._stopping.is_set():
            with self.lock:
                should_read = self.core.follower.should_read(
                    self._clock.read_elapsed()
                )
                is_confirmed = self.core.follower.is_confirmed
            if should_read:
                self._read_store()
            else:
                pause = (
                    IDLE_POLL_INTERVAL if is_confirmed else START_POLL_INTERVAL
                )
                self._stopping.wait(pause.total_seconds())

    def _read_store(self) -> None:
        with self.lock:
            revision, era = self.core.replica.revision, self.core.replica.era
        try:
            if revision == 0:
                update = self.store.read_all(era)
            else:
                update = self.store.wait_for_changes(
                    revision, store_follower.STORE_POLL_WAIT, era
                )
        except errors.FleetError as error:
            with self.lock:
                self.core.follower.record_store_failure(
                    self._clock.read_elapsed()
                )
            self._log_store_state(False, error.code, error.value)
            return
        with self.lock:
            events = self.core.receive_store_update(
                update.changes,
                update.revision,
                update.is_snapshot,
                update.era,
                self._clock.read_elapsed(),
            )
        self._log_store_state(True)
        self.log_events(events, 'store')

    def close_unknown_peers(self) -> None:
        """Close the connections to instances that left the roster."""
        with self.lock:
            known = {record.name for record in self.core.roster.records}
            known.update(self.core.roster.seeds)
        self.client.retain(frozenset(known))
        self.server.retain_senders(frozenset(known))

    def _log_store_state(
        self, is_up: bool, code: str = '', value: object = ''
    ) -> None:
        if is_up == self._store_is_up:
            return
        self._store_is_up = is_up
        event = 'store_reached' if is_up else 'store_lost'
        logs.log_event(event, code=code, reason=value)

    def log_events(
        self,
        events: tuple[replica.ReplicaEvent | replica.EraChange, ...],
        source: str = 'clock',
    ) -> None:
        """Log and count changes of the replica with their source."""
        for event in events:
            match event:
                case replica.EraChange(old, new, revision):
                    name = 'era_changed'
                    fields = {'old': old, 'new': new, 'revision': revision}
                case replica.ReplicaEvent(name, subject, revision, detail):
                    fields = {
                        'subject': subject,
                        'revision': revision,
                        'detail': detail,
                    }
            self.event_counts[name] += 1
            logs.log_event(name, **fields, source=source)

    def announce_leaving(self) -> None:
        """Announce to the other instances that this instance is leaving."""
        with self.lock:
            self.core.roster.set_state(
                roster.InstanceState.LEAVING, self._clock.read_elapsed()
            )
