"""Which backend server runs a request, and which requests wait or go.

The holder of a service's pool counts the requests of the whole fleet at each
server. A request gets a free slot at the soundest server, else it waits in
a short queue; what cannot be served in time is refused at once.

Load patterns: a surge of all callers (the queue serves the urgent first, and
among equals those that can still be on time); servers slow or gone (the
expected wait grows with the slots that are left, so refusals begin at once);
cold servers that return together (each gets no more than it bears).
"""

from collections.abc import Callable
import datetime
import itertools
from typing import NamedTuple
import zlib

from cranberryscale.process import asks
from cranberryscale.process import choice
from cranberryscale.process import health
from cranberryscale.process import loads
from cranberryscale.process import repeats
from cranberryscale.process import servers
from cranberryscale.version import configuration


__all__ = ['Pool']

ZERO = datetime.timedelta(0)
# A waiting instance asks again before this; otherwise it is gone.
RENEW_WITHIN = datetime.timedelta(milliseconds=600)
QUEUE_LIMIT = 512
RETRY_MIN = datetime.timedelta(milliseconds=100)
# Above this use of capacity arrivals count as a surge.
LATE_USE = 0.95
# Above this use of the good servers' capacity doubted ones are used as well.
RISK_USE = 0.95
# Part of the time left that a late request may wait for those ahead of it;
# new ones that can be on time overtake it meanwhile.
LATE_SHARE = 0.6
SURGE_SHARE = 0.4


class _Running(NamedTuple):
    server: str
    sender: str
    kind: datetime.timedelta
    until: datetime.timedelta
    is_repeat: bool


class _Waiting:
    def __init__(self, ask: asks.Ask, now: datetime.timedelta):
        self.ask = ask
        self.due = now + ask.target - ask.waited
        self.until = now + ask.remaining
        self.renewed = now

    def describe(self, now: datetime.timedelta) -> asks.Ask:
        """Return the question as it would be asked now."""
        waited = self.ask.target - (self.due - now)
        return self.ask._replace(waited=waited, remaining=self.until - now)


class Pool:
    """Coordinate those servers of one service for which `covers` holds."""

    def __init__(
        self,
        service: str,
        budget: repeats.RepeatBudget,
        covers: Callable[[configuration.BackendServer], bool] | None = None,
    ):
        self.service = service
        self._budget = budget
        self._covers = covers or (lambda server: server.service == service)
        self._choice = choice.Choice(service, budget)
        self._running: dict[int, _Running] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[str, tuple[asks.Permit, datetime.timedelta]] = {}
        self._denied: dict[str, asks.Denial] = {}
        self._latencies = loads.Latencies()
        self._arrivals = loads.Arrivals()
        self._ids = itertools.count(1)

    def load(self, published: configuration.Configuration) -> None:
        """Take the servers in use; what is known of the others is lost."""
        self._choice.terms = published.services.get(
            self.service, self._choice.terms
        )
        loaded = {}
        for entry in published.servers.values():
            if published.is_server_out(entry) or not self._covers(entry):
                continue
            known = self._choice.known.get(entry.name)
            if known is None or known.entry.started_ms != entry.started_ms:
                known = servers.Server(entry)
            known.entry = entry
            loaded[entry.name] = known
        self._choice.known = loaded

    @property
    def queue_length(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return len(self._running)

    def list_ejected(self, now: datetime.timedelta) -> tuple[str, ...]:
        """Return the servers that are out of use."""
        return tuple(
            name
            for name, server in self._choice.known.items()
            if server.health.judge(now) == health.Verdict.OUT
        )

    def describe_health(self, name: str, now: datetime.timedelta) -> str:
        """Return what is thought of a server, for the log."""
        server = self._choice.known.get(name)
        return server.health.judge(now).name.lower() if server else ''

    def ask(self, ask: asks.Ask, now: datetime.timedelta) -> asks.Result:
        """Return a permit, a refusal or a place in the queue.

        Asking again with the same request id keeps the place.
        """
        granted = self._granted.pop(ask.request_id, None)
        if granted is not None:
            return granted[0]
        denied = self._denied.pop(ask.request_id, None)
        if denied is not None:
            return denied
        known = self._waiting.get(ask.request_id)
        if known is not None:
            known.renewed = now
            return asks.Queued()
        return self._admit(ask, now)

    def _admit(self, ask: asks.Ask, now: datetime.timedelta) -> asks.Result:
        self._expire(now)
        if not any(self._choice.list_usable(ask, now)):
            return asks.Denial(
                'no_backend_server', max(RETRY_MIN, ask.target / 4)
            )
        self._choice.note_arrival(ask, now)
        if not ask.may_wait:
            return self._offer(ask, now)
        if not self._count(ask, now):
            return asks.Denial('repeats_spent', ask.target)
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            server = self._choose(ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None:
            # An uncertain answer is better than none.
            server = self._choice.pick_any(ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            if ask.is_repeat:
                self._budget.give_back()
            return asks.Denial('pool_busy', self._find_retry(ask))
        self._waiting[ask.request_id] = waiting
        return asks.Queued()

    def _count(self, ask: asks.Ask, now: datetime.timedelta) -> bool:
        """Count an arrival; return False if it may not be repeated."""
        self._arrivals.note(ask.priority, now)
        if ask.is_repeat:
            return self._budget.take(now)
        if ask.is_new:
            self._budget.count_first(now)
        return True

    def _offer(self, ask: asks.Ask, now: datetime.timedelta) -> asks.Result:
        """Return a permit for a good server, or what waiting would bring."""
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            server = self._choice.pick_good(ask, now)
            if server is not None:
                if not self._count(ask, now):
                    return asks.Denial('repeats_spent', ask.target)
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            return asks.Denial('pool_busy', self._find_retry(ask))
        return asks.Queued(wait, self._choice.find_doubt(ask, now))

    def _grant(
        self, ask: asks.Ask, server: servers.Server, now: datetime.timedelta
    ) -> asks.Permit:
        permit = asks.Permit(
            next(self._ids),
            server.entry.name,
            self._latencies.find_patience(ask.target),
        )
        server.running[permit.permit_id] = now
        server.starts.append(now)
        self._running[permit.permit_id] = _Running(
            server.entry.name,
            ask.sender,
            ask.target,
            now + ask.remaining,
            ask.is_repeat,
        )
        return permit

    def report(
        self,
        permit_id: int,
        outcome: str,
        latency: datetime.timedelta,
        now: datetime.timedelta,
    ) -> None:
        """Take a permit back and learn from how the request ended.

        `outcome` is "ok", "unused", "cancelled", "shed", "refused" (no
        connection) or one of health.FAILURES.
        """
        running = self._running.pop(permit_id, None)
        if running is None:
            return
        server = self._choice.known.get(running.server)
        if server is not None:
            had_room = len(server.running) <= max(1, server.entry.slots // 2)
            server.running.pop(permit_id, None)
            self._learn(server, running, outcome, latency, had_room, now)
        self.advance(now)

    def _learn(
        self,
        server: servers.Server,
        running: _Running,
        outcome: str,
        latency: datetime.timedelta,
        had_room: bool,
        now: datetime.timedelta,
    ) -> None:
        match outcome:
            case 'ok':
                usual = self._latencies.find_usual(running.kind)
                server.health.note_success(latency / usual, now, now - latency)
                self._latencies.note(running.kind, latency)
            case 'refused':
                server.health.note_link(running.sender, now)
            case 'shed':
                server.health.note_shed(had_room, now)
            case _ if outcome in health.FAILURES:
                server.health.note_failure(outcome, now)
        if running.is_repeat and outcome in ('unused', 'refused'):
            self._budget.give_back()

    def advance(self, now: datetime.timedelta) -> None:
        """Give free slots to those that wait, and refuse the hopeless."""
        self._expire(now)
        if not self._waiting:
            return
        for waiting in tuple(self._waiting.values()):
            self._drop_hopeless(waiting, now)
        for waiting in sorted(
            self._waiting.values(), key=lambda w: self._find_place(w, now)
        ):
            if not any(s.has_slot for s in self._choice.known.values()):
                return
            ask = waiting.describe(now)
            server = self._choose(ask, now)
            if server is not None:
                del self._waiting[ask.request_id]
                permit = self._grant(ask, server, now)
                self._granted[ask.request_id] = (permit, now)

    def _drop_hopeless(
        self, waiting: _Waiting, now: datetime.timedelta
    ) -> None:
        ask = waiting.ask
        if now - waiting.renewed > RENEW_WITHIN:
            # The instance that waited is gone.
            del self._waiting[ask.request_id]
        elif waiting.until - now < self._latencies.find_usual(ask.target) / 2:
            self._deny(ask, RETRY_MIN)
        elif ask.is_new and self._choice.find_doubt(ask, now):
            # Another queue may still have good servers.
            self._deny(ask, RETRY_MIN)

    def _deny(self, ask: asks.Ask, retry_after: datetime.timedelta) -> None:
        del self._waiting[ask.request_id]
        self._denied[ask.request_id] = asks.Denial('pool_busy', retry_after)

    @property
    def has_results(self) -> bool:
        """Tell whether requests that waited have an answer."""
        return bool(self._granted or self._denied)

    def _expire(self, now: datetime.timedelta) -> None:
        over = [i for i, run in self._running.items() if now >= run.until]
        for permit_id in over:
            self._release(permit_id)
        unclaimed = [
            (request_id, permit.permit_id)
            for request_id, (permit, at) in self._granted.items()
            if now - at > RENEW_WITHIN
        ]
        for request_id, permit_id in unclaimed:
            del self._granted[request_id]
            self._release(permit_id)
        if len(self._denied) > QUEUE_LIMIT:
            self._denied.clear()

    def _release(self, permit_id: int) -> None:
        running = self._running.pop(permit_id, None)
        if running is not None and running.server in self._choice.known:
            self._choice.known[running.server].running.pop(permit_id, None)

    def _find_place(self, waiting: _Waiting, now: datetime.timedelta):
        # The urgent first; among equals, those that can still be on time.
        usual = self._latencies.find_usual(waiting.ask.target)
        is_late = now + usual > waiting.due
        return (waiting.ask.priority, is_late, waiting.due)

    def _count_ahead(self, waiting: _Waiting) -> int:
        place = (waiting.ask.priority, waiting.due)
        return sum(
            (other.ask.priority, other.due) < place
            for other in self._waiting.values()
        )

    def _choose(
        self, ask: asks.Ask, now: datetime.timedelta
    ) -> servers.Server | None:
        """Return the server to use now, None to wait for one."""
        chosen = self._choice.pick_usable(ask, now)
        if chosen is None and self._may_risk(ask, now):
            return self._choice.pick_doubted(ask, now)
        return chosen

    def _may_risk(self, ask: asks.Ask, now: datetime.timedelta) -> bool:
        """Tell whether a doubted server is better than to wait.

        What runs once is lost where the server fails it, so it waits for a
        good one while it can still be on time and these keep up.
        """
        usual = self._latencies.find_usual(ask.target)
        if not self._choice.avoids_risk(ask):
            return True
        if ask.waited + usual >= ask.target:
            return True
        capacity = self._find_capacity(ask, now)
        return (
            self._arrivals.find_rate(ask.priority, now) > capacity * RISK_USE
        )

    def _find_capacity(self, ask: asks.Ask, now: datetime.timedelta) -> float:
        """Return how many requests a second the usable servers complete."""
        slots = sum(s.entry.slots for s in self._choice.list_usable(ask, now))
        busy = [
            self._latencies.find_usual(run.kind)
            for run in self._running.values()
        ]
        usual = sum(busy, ZERO) / len(busy) if busy else None
        usual = usual or self._latencies.find_usual(ask.target)
        return slots / usual.total_seconds()

    def _estimate_wait(
        self, waiting: _Waiting, now: datetime.timedelta
    ) -> datetime.timedelta | None:
        """Return when a slot is free, or None if that is too late.

        A request that can be on time waits for those ahead of it and for
        the more urgent ones that arrive meanwhile. One that will be late is
        served from what all others leave. While arrivals take up the
        capacity only few such wait, for when the surge ends.
        """
        ask = waiting.ask
        usual = self._latencies.find_usual(ask.target)
        capacity = self._find_capacity(ask, now)
        ahead = self._count_ahead(waiting) + 1
        spare = capacity - self._arrivals.find_rate(ask.priority - 1, now)
        if spare <= 0:
            return None
        wait = datetime.timedelta(seconds=ahead / spare)
        if now + wait + usual <= waiting.due:
            return wait
        ahead = len(self._waiting) + 1
        wait = datetime.timedelta(seconds=ahead / spare)
        is_surge = (
            self._arrivals.find_rate(ask.priority, now) > capacity * LATE_USE
        )
        spare_time = ask.remaining - usual
        limit = spare_time * (SURGE_SHARE if is_surge else LATE_SHARE)
        return wait if wait <= limit else None

    def _find_retry(self, ask: asks.Ask) -> datetime.timedelta:
        """Return when to come back: after what waits now, spread evenly.

        Requests refused together must not come back together, so the
        pause is drawn from the request's id.
        """
        draw = zlib.crc32(ask.request_id.encode()) / 2**32
        usual = self._latencies.find_usual(ask.target)
        return max(RETRY_MIN, usual * (0.5 + draw))
