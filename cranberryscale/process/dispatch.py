"""Which backend server runs a request, and which requests wait or go.

The holder of a service's pool counts the requests of the whole fleet at each
server. A request gets a free slot at the soundest server, else it waits in
a short queue; what cannot be served in time is refused at once.

Load patterns: a surge of all callers (the queue serves the urgent first, and
among equals those that can still be on time); servers slow or gone (the
expected wait grows with the slots that are left, so refusals begin at once);
cold servers that return together (each gets no more than it bears).
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import itertools
from typing import NamedTuple
import zlib

from cranberryscale.process import health
from cranberryscale.process import repeats
from cranberryscale.version import configuration


__all__ = ['Ask', 'Denial', 'Permit', 'Pool', 'Queued', 'Result']

ZERO = datetime.timedelta(0)
# A server without a recent good answer is a risk for what may run only once.
UNPROVEN_COST = 0.8
SUSPECT_COST = 3.0
DOUBT_COST = 10.0
# A server on trial is tried out with one request at a time.
TRIAL_INTERVAL = datetime.timedelta(milliseconds=300)
# Part of the rate that a cold server bears which is used; the rest covers
# requests on their way.
COLD_USE = 0.8
COLD_WINDOW = datetime.timedelta(seconds=1)
# Until answers are seen, a request is taken to need this part of the time
# within which its answer is on time.
USUAL_RATIO = 0.35
USUAL_STEP = 0.05
# A second attempt is due when an answer takes longer than this part of the
# time within which it is on time, and this many times longer than usual.
PATIENCE_RATIO = 0.6
PATIENCE_FACTOR = 2.5
# A waiting instance asks again before this; otherwise it is gone.
RENEW_WITHIN = datetime.timedelta(milliseconds=600)
QUEUE_LIMIT = 512
RETRY_MIN = datetime.timedelta(milliseconds=100)
# The span over which arrivals are counted. A surge shorter than half of it
# is taken on whole and served late.
LOAD_WINDOW = datetime.timedelta(seconds=2)
# Above this use of capacity arrivals count as a surge.
LATE_USE = 0.95
# Above this use of the good servers' capacity doubted ones are used as well.
RISK_USE = 0.7
# Part of the time left that a late request may wait for those ahead of it;
# new ones that can be on time overtake it meanwhile.
LATE_SHARE = 0.6
SURGE_SHARE = 0.4


class Ask(NamedTuple):
    """Describe a request that needs a backend server.

    `target` is the time within which an answer is on time, counted from
    the request's arrival `waited` ago; `remaining` is the time left. Unless
    it `may_wait`, the request wants a free slot at a good server only.
    """

    request_id: str
    sender: str
    target: datetime.timedelta
    waited: datetime.timedelta
    remaining: datetime.timedelta
    priority: int = 0
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    is_idempotent: bool = False
    may_wait: bool = True


class Permit(NamedTuple):
    """Allow a request at a server.

    `patience` is how long silence of the server is usual.
    """

    permit_id: int
    server: str
    patience: datetime.timedelta


class Denial(NamedTuple):
    """Refuse a request with a code of the error table."""

    code: str
    retry_after: datetime.timedelta


class Queued(NamedTuple):
    """Keep a request's place for as long as it is asked for again.

    To one that may not wait: offer a place with this expected `wait`.
    """

    wait: datetime.timedelta = ZERO


Result = Permit | Denial | Queued


class _Running(NamedTuple):
    server: str
    sender: str
    kind: datetime.timedelta
    until: datetime.timedelta
    is_repeat: bool


class _Waiting:
    def __init__(self, ask: Ask, now: datetime.timedelta):
        self.ask = ask
        self.due = now + ask.target - ask.waited
        self.until = now + ask.remaining
        self.renewed = now

    def describe(self, now: datetime.timedelta) -> Ask:
        """Return the question as it would be asked now."""
        waited = self.ask.target - (self.due - now)
        return self.ask._replace(waited=waited, remaining=self.until - now)


class _Server:
    def __init__(self, entry: configuration.BackendServer):
        self.entry = entry
        self.health = health.ServerHealth()
        self.running: set[int] = set()
        self.starts: collections.deque[datetime.timedelta] = (
            collections.deque()
        )

    def may_try(self, now: datetime.timedelta) -> bool:
        """Tell whether another trial may begin."""
        last = self.starts[-1] if self.starts else None
        return not self.running and (
            last is None or now - last >= TRIAL_INTERVAL
        )

    def has_slot(self) -> bool:
        return len(self.running) < self.entry.slots

    def bears_start(
        self, cold_rate_per_s: float, now: datetime.timedelta
    ) -> bool:
        """Tell whether one more request may start in this second."""
        while self.starts and now - self.starts[0] >= COLD_WINDOW:
            self.starts.popleft()
        if not self.entry.is_cold or cold_rate_per_s <= 0:
            return True
        return len(self.starts) < max(1.0, cold_rate_per_s * COLD_USE)


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
        self._terms = configuration.Service(service)
        # Set while no request may be repeated, so that they have to try
        # servers out.
        self._idempotent_at: datetime.timedelta | None = None
        self._runs_once_only = True
        self._servers: dict[str, _Server] = {}
        self._running: dict[int, _Running] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._granted: dict[str, tuple[Permit, datetime.timedelta]] = {}
        self._denied: dict[str, Denial] = {}
        self._usual: dict[datetime.timedelta, float] = {}
        self._arrivals: collections.deque[tuple[datetime.timedelta, int]] = (
            collections.deque()
        )
        self._ids = itertools.count(1)

    def load(self, published: configuration.Configuration) -> None:
        """Take the servers in use; what is known of the others is lost."""
        self._terms = published.services.get(self.service, self._terms)
        servers = {}
        for entry in published.servers.values():
            if published.is_server_out(entry) or not self._covers(entry):
                continue
            known = self._servers.get(entry.name)
            if known is None or known.entry.started_ms != entry.started_ms:
                known = _Server(entry)
            known.entry = entry
            servers[entry.name] = known
        self._servers = servers

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
            for name, server in self._servers.items()
            if server.health.judge(now) == health.Verdict.OUT
        )

    def ask(self, ask: Ask, now: datetime.timedelta) -> Result:
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
            return Queued()
        return self._admit(ask, now)

    def _admit(self, ask: Ask, now: datetime.timedelta) -> Result:
        self._expire(now)
        if not any(self._list_usable(ask, now)):
            return Denial('no_backend_server', max(RETRY_MIN, ask.target / 4))
        if ask.is_idempotent:
            self._idempotent_at = now
        last = self._idempotent_at
        self._runs_once_only = last is None or now - last > LOAD_WINDOW
        if not ask.may_wait:
            return self._offer(ask, now)
        if not self._count(ask, now):
            return Denial('repeats_spent', ask.target)
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            server = self._choose(ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None:
            # An uncertain answer is better than none.
            suspect, out = health.Verdict.SUSPECT, health.Verdict.OUT
            doubted = self._list_doubted(ask, suspect, out, now)
            server = self._pick(doubted, ask, now)
            if server is not None:
                return self._grant(ask, server, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            if ask.is_repeat:
                self._budget.give_back()
            return Denial('pool_busy', self._find_retry(ask))
        self._waiting[ask.request_id] = waiting
        return Queued()

    def _count(self, ask: Ask, now: datetime.timedelta) -> bool:
        """Count an arrival; return False if it may not be repeated."""
        self._arrivals.append((now, ask.priority))
        if ask.is_repeat:
            return self._budget.take(now)
        self._budget.count_first(now)
        return True

    def _offer(self, ask: Ask, now: datetime.timedelta) -> Result:
        """Return a permit for a good server, or what waiting would bring."""
        waiting = _Waiting(ask, now)
        if not self._count_ahead(waiting):
            trials, good = (
                self._list_trials(ask, now),
                self._list_good(ask, now),
            )
            server = self._pick_first((trials, good), ask, now)
            if server is not None:
                if not self._count(ask, now):
                    return Denial('repeats_spent', ask.target)
                return self._grant(ask, server, now)
        wait = self._estimate_wait(waiting, now)
        if wait is None or len(self._waiting) >= QUEUE_LIMIT:
            return Denial('pool_busy', self._find_retry(ask))
        return Queued(wait)

    def _grant(
        self, ask: Ask, server: _Server, now: datetime.timedelta
    ) -> Permit:
        permit = Permit(
            next(self._ids), server.entry.name, self._find_patience(ask)
        )
        server.running.add(permit.permit_id)
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
        server = self._servers.get(running.server)
        if server is not None:
            had_room = len(server.running) <= max(1, server.entry.slots // 2)
            server.running.discard(permit_id)
            self._learn(server, running, outcome, latency, had_room, now)
        self.advance(now)

    def _learn(
        self,
        server: _Server,
        running: _Running,
        outcome: str,
        latency: datetime.timedelta,
        had_room: bool,
        now: datetime.timedelta,
    ) -> None:
        match outcome:
            case 'ok':
                usual = self._find_usual(running.kind)
                server.health.note_success(latency / usual, now, now - latency)
                self._note_latency(running.kind, latency)
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
            if not any(s.has_slot() for s in self._servers.values()):
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
        elif waiting.until - now < self._find_usual(ask.target) / 2:
            del self._waiting[ask.request_id]
            self._denied[ask.request_id] = Denial('pool_busy', RETRY_MIN)

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
        if running is not None and running.server in self._servers:
            self._servers[running.server].running.discard(permit_id)

    def _find_place(self, waiting: _Waiting, now: datetime.timedelta):
        # The urgent first; among equals, those that can still be on time.
        usual = self._find_usual(waiting.ask.target)
        is_late = now + usual > waiting.due
        return (waiting.ask.priority, is_late, waiting.due)

    def _count_ahead(self, waiting: _Waiting) -> int:
        place = (waiting.ask.priority, waiting.due)
        return sum(
            (other.ask.priority, other.due) < place
            for other in self._waiting.values()
        )

    def _list_usable(self, ask: Ask, now: datetime.timedelta) -> list[_Server]:
        """Return the servers that may serve the request, busy or not.

        When all are bad, they serve nevertheless.
        """
        return self._list_good(ask, now) or self._list_reachable(ask)

    def _list_reachable(self, ask: Ask) -> list[_Server]:
        return [
            server
            for name, server in self._servers.items()
            if name not in ask.excluded
        ]

    def _list_good(self, ask: Ask, now: datetime.timedelta) -> list[_Server]:
        worst = health.Verdict.SLOW
        if ask.is_idempotent and self._budget.has_reserve(now):
            # One failure is seldom the server's last, and can be repeated.
            worst = health.Verdict.SUSPECT
        return [
            server
            for server in self._list_reachable(ask)
            if server.health.judge(now) <= worst
        ]

    def _list_trials(
        self, ask: Ask, now: datetime.timedelta
    ) -> Iterable[_Server]:
        """Yield the servers that this request may try out.

        A failed trial is repeated elsewhere where that is allowed, so those
        requests go first.
        """
        if ask.is_repeat or not (ask.is_idempotent or self._runs_once_only):
            return
        returning = health.Verdict.RETURNING
        yield from self._list_doubted(ask, returning, returning, now)

    def _choose(self, ask: Ask, now: datetime.timedelta) -> _Server | None:
        """Return the server to use now, None to wait for one."""
        trials, usable = (
            self._list_trials(ask, now),
            self._list_usable(ask, now),
        )
        chosen = self._pick_first((trials, usable), ask, now)
        if chosen is None and self._may_risk(ask, now):
            suspect, worst = health.Verdict.SUSPECT, health.Verdict.RETURNING
            if ask.is_idempotent and self._budget.has_reserve(now):
                # A failure costs no more than a second attempt.
                worst = health.Verdict.OUT
            doubted = self._list_doubted(ask, suspect, worst, now)
            chosen = self._pick(doubted, ask, now)
        return chosen

    def _may_risk(self, ask: Ask, now: datetime.timedelta) -> bool:
        """Tell whether a doubted server is better than to wait.

        What runs once is lost where the server fails it, so it waits for a
        good one while it can still be on time and these keep up.
        """
        usual = self._find_usual(ask.target)
        if ask.is_idempotent or ask.waited + usual >= ask.target:
            return True
        capacity = self._find_capacity(ask, now)
        return self._find_arrivals(ask.priority, now) > capacity * RISK_USE

    def _pick_first(
        self,
        candidates: Iterable[Iterable[_Server]],
        ask: Ask,
        now: datetime.timedelta,
    ) -> _Server | None:
        """Return a server of the first group that has a free slot."""
        chosen = (self._pick(servers, ask, now) for servers in candidates)
        return next(filter(None, chosen), None)

    def _pick(
        self,
        servers: Iterable[_Server],
        ask: Ask,
        now: datetime.timedelta,
    ) -> _Server | None:
        rate = self._terms.cold_rate_per_s
        free = (
            server
            for server in servers
            if server.has_slot() and server.bears_start(rate, now)
        )
        return min(
            free, key=lambda s: self._find_cost(s, ask, now), default=None
        )

    def _list_doubted(
        self,
        ask: Ask,
        best: health.Verdict,
        worst: health.Verdict,
        now: datetime.timedelta,
    ) -> Iterable[_Server]:
        """Yield doubted servers that may get one request to try them."""
        for name, server in self._servers.items():
            verdict = server.health.judge(now)
            if (
                best <= verdict <= worst
                and name not in ask.excluded
                and server.may_try(now)
            ):
                yield server

    def _find_cost(
        self, server: _Server, ask: Ask, now: datetime.timedelta
    ) -> float:
        cost = len(server.running) / server.entry.slots
        cost += max(0.0, server.health.slowness - 1.0)
        is_risk = ask.is_repeat or not ask.is_idempotent
        if is_risk and not server.health.is_proven(now):
            cost += UNPROVEN_COST
        if server.entry.is_cold:
            cost += 1.0
        match server.health.judge(now):
            case health.Verdict.SOUND:
                return cost
            case health.Verdict.SUSPECT:
                return cost + SUSPECT_COST
            case health.Verdict.OUT:
                # Where all are bad, the one that failed first may be back.
                since = now - server.health.failed_at
                left = max(0.0, 1 - since / health.PAUSE)
                return cost + DOUBT_COST * (1 + left)
            case _:
                return cost + DOUBT_COST

    def _find_usual(self, kind: datetime.timedelta) -> datetime.timedelta:
        usual = self._usual.get(kind)
        if usual is None:
            return kind * USUAL_RATIO
        return datetime.timedelta(seconds=usual)

    def _note_latency(
        self, kind: datetime.timedelta, latency: datetime.timedelta
    ) -> None:
        # Follows the median: servers that are slow must not make slowness
        # usual while most are not.
        known = self._find_usual(kind).total_seconds()
        is_longer = latency.total_seconds() > known
        self._usual[kind] = known * (
            1 + USUAL_STEP if is_longer else 1 - USUAL_STEP
        )

    def _find_patience(self, ask: Ask) -> datetime.timedelta:
        return max(
            ask.target * PATIENCE_RATIO,
            self._find_usual(ask.target) * PATIENCE_FACTOR,
        )

    def _find_capacity(self, ask: Ask, now: datetime.timedelta) -> float:
        """Return how many requests a second the usable servers complete."""
        slots = sum(s.entry.slots for s in self._list_usable(ask, now))
        busy = [self._find_usual(run.kind) for run in self._running.values()]
        usual = sum(busy, ZERO) / len(busy) if busy else None
        usual = usual or self._find_usual(ask.target)
        return slots / usual.total_seconds()

    def _find_arrivals(self, priority: int, now: datetime.timedelta) -> float:
        """Return how many requests a second arrive that go first."""
        while self._arrivals and now - self._arrivals[0][0] > LOAD_WINDOW:
            self._arrivals.popleft()
        count = sum(other <= priority for _, other in self._arrivals)
        return count / LOAD_WINDOW.total_seconds()

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
        usual = self._find_usual(ask.target)
        capacity = self._find_capacity(ask, now)
        ahead = self._count_ahead(waiting) + 1
        spare = capacity - self._find_arrivals(ask.priority - 1, now)
        if spare <= 0:
            return None
        wait = datetime.timedelta(seconds=ahead / spare)
        if now + wait + usual <= waiting.due:
            return wait
        ahead = len(self._waiting) + 1
        wait = datetime.timedelta(seconds=ahead / spare)
        is_surge = self._find_arrivals(ask.priority, now) > capacity * LATE_USE
        spare_time = ask.remaining - usual
        limit = spare_time * (SURGE_SHARE if is_surge else LATE_SHARE)
        return wait if wait <= limit else None

    def _find_retry(self, ask: Ask) -> datetime.timedelta:
        """Return when to come back: after what waits now, spread evenly.

        Requests refused together must not come back together, so the
        pause is drawn from the request's id.
        """
        draw = zlib.crc32(ask.request_id.encode()) / 2**32
        usual = self._find_usual(ask.target)
        return max(RETRY_MIN, usual * (0.5 + draw))
