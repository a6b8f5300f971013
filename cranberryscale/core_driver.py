"""Conversations with other instances and the store, around a core.

The loops here only carry messages; what to send and what follows from the
answers is decided by the core.
"""

from concurrent import futures
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
from cranberryscale.process import roster
from cranberryscale.process import store_follower
from cranberryscale.version import replica


__all__ = ['CoreDriver', 'KeyValueStore']

PEER_THREADS = 96
WORKERS = 12
TICK = datetime.timedelta(milliseconds=100)
# A request that waits for a server keeps a thread of the holder this long,
# then asks again.
QUEUE_WAIT = datetime.timedelta(milliseconds=250)
# A call between failure domains takes 2 ms; retransmission of one lost
# packet takes 200 ms, which is not worth waiting for.
HOLDER_TIMEOUT = datetime.timedelta(milliseconds=150)
# A holder that did not answer is left alone this long, unless it does.
SILENCE = datetime.timedelta(seconds=1)
PULL_TIMEOUT = datetime.timedelta(milliseconds=400)
EXCHANGE_TIMEOUT = datetime.timedelta(milliseconds=700)
EXCHANGE_INTERVAL = datetime.timedelta(seconds=1)
SEED_INTERVAL = datetime.timedelta(seconds=2)
JOIN_INTERVAL = datetime.timedelta(milliseconds=200)
IDLE_POLL = datetime.timedelta(milliseconds=250)
# The same until the store has first been heard of; requests wait for that.
START_POLL = datetime.timedelta(milliseconds=50)


class StoreUpdate(Protocol):
    """Hold changes as of a revision; `is_snapshot` for all entries."""

    changes: tuple[replica.EntryChange, ...]
    revision: int
    is_snapshot: bool


class KeyValueStore(Protocol):
    """Read the platform's store; raises ConfigurationError."""

    calls: int

    def read_all(self) -> StoreUpdate:
        """Return all entries."""

    def wait_changes(
        self, revision: int, wait: datetime.timedelta
    ) -> StoreUpdate:
        """Return the changes after a revision, waiting for the first."""


class CoreDriver:
    """Own the lock around a core, its threads and its connections."""

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
        self._changed = threading.Condition(self.lock)
        self._stopping = threading.Event()
        self._silent: dict[str, datetime.timedelta] = {}
        self._store_is_up: bool | None = None
        self._exchange_at = clock.read_elapsed()
        name, epoch = core.options.name, core.roster.own_record.epoch
        signer = peer_frames.Signer(name, epoch, '')
        self.client = peers.PeerClient(signer)
        self.server = peers.PeerServer(
            signer,
            self._answer,
            PEER_THREADS,
            peer_frames.ReplayGuard(orders_incarnations=False),
        )
        self._workers = futures.ThreadPoolExecutor(WORKERS, 'fleet')

    # Life

    def start(self) -> None:
        """Listen to other instances and start the loops."""
        self.server.start(self.core.options.addresses.peers)
        for loop in (
            self._tick,
            self._keep_checking,
            self._keep_pulling,
            self._keep_reading,
        ):
            threading.Thread(
                target=self._guard, args=(loop,), daemon=True
            ).start()

    def close(self) -> None:
        """Stop conversations; calls under way end with errors."""
        self._stopping.set()
        self.server.stop(datetime.timedelta(milliseconds=100))
        self._workers.shutdown(wait=False, cancel_futures=True)
        self.client.close()

    def _guard(self, loop) -> None:
        while not self._stopping.is_set():
            try:
                loop()
            except Exception as error:
                # A loop that ends would leave the instance deaf.
                logs.log_event(
                    'loop_fault',
                    logging.ERROR,
                    loop=loop.__name__,
                    kind=type(error).__name__,
                    reason=error,
                )
                self._stopping.wait(IDLE_POLL.total_seconds())

    # Calls

    def call_instance(
        self, target: str, message: Any, timeout: datetime.timedelta
    ) -> Any:
        """Return an instance's reply, this one's included."""
        if target == self.core.options.name:
            return self._answer_here(target, message)
        try:
            reply = self.client.call(target, target, message, timeout)
        except errors.PeerError as error:
            if error.code == 'peer_unreachable':
                self._note_silence(target)
            raise
        with self.lock:
            self._silent.pop(target, None)
            self.core.roster.record_contact(target, self._clock.read_elapsed())
        return reply

    def _note_silence(self, target: str) -> None:
        with self.lock:
            now = self._clock.read_elapsed()
            if target not in self._silent:
                logs.log_event('instance_silent', target=target)
            self._silent[target] = now + SILENCE
            self.core.roster.schedule_check(target)

    def is_unresponsive(self, target: str) -> bool:
        """Tell whether an instance lately did not answer."""
        with self.lock:
            until = self._silent.get(target)
            if until is None:
                return False
            if self._clock.read_elapsed() < until:
                return True
            del self._silent[target]
            return False

    def send(self, target: str, message: Any) -> None:
        """Send a message by another thread; a failure is logged."""
        try:
            self._workers.submit(self._send_logged, target, message)
        except RuntimeError:
            # The workers were shut down.
            return

    def _send_logged(self, target: str, message: Any) -> None:
        try:
            self.call_instance(target, message, HOLDER_TIMEOUT)
        except errors.FleetError as error:
            logs.log_event(
                'message_lost',
                target=target,
                message=type(message).__name__,
                code=error.code,
            )

    def _answer(self, frame: peer_frames.Frame, message: Any) -> Any:
        return self._answer_here(frame.sender, message)

    def _answer_here(self, sender: str, message: Any) -> Any:
        with self._changed:
            reply = self._decide(sender, message)
            match message:
                case messages.AskServer():
                    is_queued = not (reply.server or reply.code)
                    if is_queued and message.may_wait:
                        self._changed.wait(QUEUE_WAIT.total_seconds())
                        reply = self._decide(sender, message)
                case messages.FinishRequest():
                    self._changed.notify_all()
        if isinstance(message, messages.AskServer):
            self._log_dispatch(sender, message, reply)
        return reply

    def _log_dispatch(
        self,
        sender: str,
        message: messages.AskServer,
        reply: messages.ServerReply,
    ) -> None:
        if not (reply.server or reply.code):
            # Asked again in a moment.
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
            code=reply.code,
            idempotent=message.is_idempotent,
            waited_ms=round(message.waited_s * 1000),
            remaining_ms=round(message.remaining_s * 1000),
            priority=message.priority,
            queued=pool.queue_length,
            running=pool.running_count,
            out=','.join(reply.ejected),
            **self.core.describe_configuration(now),
        )

    def _decide(self, sender: str, message: Any) -> Any:
        return self.core.handle_message(
            sender, message, self._clock.read_elapsed()
        )

    # Loops

    def _tick(self) -> None:
        while not self._stopping.wait(TICK.total_seconds()):
            with self._changed:
                events = self.core.advance(self._clock.read_elapsed())
                if any(p.has_results for p in self.core.pools.values()):
                    self._changed.notify_all()
                listeners = ()
                if self.core.roster.has_news:
                    listeners = self.core.roster.choose_news_targets()
                    check = self._make_check()
            self.log_events(events)
            for name in listeners:
                self._workers.submit(self._check, name, check)

    def _make_check(self) -> messages.Check:
        members = self.core.roster
        return messages.Check(members.digest, members.collect_news())

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
                self._workers.submit(self._check_twice, target)

    def _join(self) -> None:
        while not self._stopping.is_set():
            with self.lock:
                seed = self.core.roster.choose_seed()
                is_alone = len(self.core.roster.list_up()) < 2
            if not is_alone or seed is None:
                return
            self._exchange(seed)
            self._stopping.wait(JOIN_INTERVAL.total_seconds())

    def _check_twice(self, target: str) -> None:
        for _ in range(roster.FAILED_CHECK_LIMIT):
            with self.lock:
                check = self._make_check()
            if self._check(target, check):
                return

    def _check(self, target: str, check: messages.Check) -> bool:
        began = self._clock.read_elapsed()
        try:
            reply = self.call_instance(target, check, roster.CHECK_TIMEOUT)
        except errors.FleetError:
            with self.lock:
                is_down = self.core.roster.record_failed_check(
                    target, began, self._clock.read_elapsed()
                )
            if is_down:
                logs.log_event('instance_down', target=target)
            return False
        with self.lock:
            now = self._clock.read_elapsed()
            self.core.roster.merge(reply.news, now)
            differs = reply.digest != self.core.roster.digest
        if differs and not check.news:
            self._exchange_seldom(target)
        return True

    def _exchange_seldom(self, target: str) -> None:
        # While many instances start, records differ at every check; news
        # carry most of them.
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
                message = messages.PullChanges(self.core.replica.revision)
            if source is not None:
                self._pull(source, message, now)

    def _pull(
        self,
        source: str,
        message: messages.PullChanges,
        asked_at: datetime.timedelta,
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
        age = None
        if reply.age_s >= 0:
            age = datetime.timedelta(seconds=reply.age_s)
        with self.lock:
            now = self._clock.read_elapsed()
            is_back = self.core.follower.record_pull_reply(
                age, asked_at, source
            )
            events = self.core.apply_store_update(
                reply.changes, reply.revision, False, is_back, now
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
                self._read()
            else:
                pause = IDLE_POLL if is_confirmed else START_POLL
                self._stopping.wait(pause.total_seconds())

    def _read(self) -> None:
        revision = self.core.replica.revision
        try:
            if revision == 0:
                reading = self.store.read_all()
            else:
                reading = self.store.wait_changes(
                    revision, store_follower.STORE_POLL_WAIT
                )
        except errors.FleetError as error:
            with self.lock:
                self.core.follower.record_store_failure(
                    self._clock.read_elapsed()
                )
            self._note_store(False, error.code, error.value)
            return
        with self.lock:
            now = self._clock.read_elapsed()
            is_back = self.core.follower.record_store_answer(
                now, bool(reading.changes)
            )
            events = self.core.apply_store_update(
                reading.changes,
                reading.revision,
                reading.is_snapshot,
                is_back,
                now,
            )
        self._note_store(True)
        self.log_events(events, 'store')

    def close_unknown_peers(self) -> None:
        """Close and forget what belongs to instances no longer known."""
        with self.lock:
            known = {record.name for record in self.core.roster.records}
            known.update(self.core.roster.seeds)
        self.client.retain(frozenset(known))
        self.server.retain_senders(frozenset(known))

    def _note_store(
        self, is_up: bool, code: str = '', value: object = ''
    ) -> None:
        if is_up == self._store_is_up:
            return
        self._store_is_up = is_up
        event = 'store_reached' if is_up else 'store_lost'
        logs.log_event(event, code=code, reason=value)

    def log_events(
        self, events: tuple[replica.ReplicaEvent, ...], source: str = 'clock'
    ) -> None:
        """Log changes of belief with where they came from."""
        for event in events:
            logs.log_event(
                event.event,
                subject=event.subject,
                revision=event.revision,
                detail=event.detail,
                source=source,
            )

    def announce_leaving(self) -> None:
        """Tell the others that this instance leaves."""
        with self.lock:
            self.core.roster.set_state(
                roster.InstanceState.LEAVING, self._clock.read_elapsed()
            )
