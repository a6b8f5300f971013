"""A replay of requests of different work at a pool, without network.

Work has a long tail: a log-normal spread of 0.8, and one request in a hundred
takes five times as long. Servers differ in speed, and half of them slow down
when nearly full. A request without an answer in time gets a second attempt.
"""

import datetime
import heapq
import itertools
import random
from typing import NamedTuple

import test_dispatch

from cranberryscale.process.pool import dispatch_requests
from cranberryscale.process.pool import server_pool
from cranberryscale.process.pool import server_statements


SECOND = test_dispatch.SECOND
START = test_dispatch.START
POLL = 10 * test_dispatch.MS
SLOTS = 6
SLOWNESS = (0.6, 0.7, 0.8, 0.9, 1.0, 1.0, 1.1, 1.3, 1.6, 2.0)
SPREAD = 0.8
# A full server lets a few requests wait and refuses others.
MAX_WAITING = 3
NO_LIMIT = server_statements.read_statement((), (), ())


class Kind(NamedTuple):
    """Requests with the same mean work and target, in seconds."""

    name: str
    work_s: float
    target_s: float
    deadline_s: float
    rate_per_s: float


class Result(NamedTuple):
    """How a request ended; `took_s` is None if it was refused."""

    kind: Kind
    took_s: float | None
    server: str
    arrived_s: float


class Attempt(NamedTuple):
    """A request at a server, with a permit of a pool."""

    pool: server_pool.ServerPool
    permit_id: int
    server: str
    since: datetime.timedelta
    request: dispatch_requests.DispatchRequest
    state: dict


class Replay:
    """Requests of several kinds at servers with slots and short queues.

    `pool` may be replaced while requests run, as by a new holder.
    """

    def __init__(self, pool, slowness=SLOWNESS, seed=1):
        self.pool = pool
        self.slowness = {f's{n}': each for n, each in enumerate(slowness)}
        self.rng = random.Random(seed)
        self.now = START
        self.results: list[Result] = []
        self.starts: list[tuple[float, str, str]] = []
        self.second_attempts = 0
        self.shed = 0
        self._running = {server: [] for server in self.slowness}
        self._waiting = {server: [] for server in self.slowness}
        self._events: list[tuple] = []
        self._numbers = itertools.count()

    def draw_work(self, kind):
        work_s = kind.work_s * self.rng.lognormvariate(
            -(SPREAD**2) / 2, SPREAD
        )
        return work_s * (5 if self.rng.random() < 0.01 else 1)

    def send(self, seconds, *kinds):
        """Let requests arrive at random until all have ended."""
        for kind in kinds:
            at_s = self.rng.expovariate(kind.rate_per_s)
            while at_s < seconds:
                request = test_dispatch.make_request(
                    next(self._numbers),
                    target=kind.target_s * SECOND,
                    remaining=kind.deadline_s * SECOND,
                    kind=kind.name,
                )
                state = {'kind': kind, 'arrived': self.now + at_s * SECOND}
                state |= {'open': [], 'is_ended': False}
                self._push(at_s, self._ask, request, state)
                at_s += self.rng.expovariate(kind.rate_per_s)
        while self._events:
            self.now, _, act, *arguments = heapq.heappop(self._events)
            act(*arguments)

    def replace_pool(self, after_s, pool):
        """Let another holder with this pool take over."""
        self._push(after_s, setattr, self, 'pool', pool)

    def _push(self, delay_s, *event):
        at = self.now + delay_s * SECOND
        heapq.heappush(self._events, (at, next(self._numbers), *event))

    def _ask(self, request, state):
        if state['is_ended']:
            return
        result = self.pool.request_permit(request, self.now)
        match result:
            case dispatch_requests.DispatchPermit(permit_id, server, timeout):
                attempt = Attempt(
                    self.pool, permit_id, server, self.now, request, state
                )
                self._send(attempt, timeout)
            case dispatch_requests.DispatchDenial():
                if not state['open']:
                    self._end(state, None, '')
            case dispatch_requests.QueuePlace():
                self._push(POLL / SECOND, self._ask, request, state)

    def _send(self, attempt, timeout):
        request, state, server = attempt.request, attempt.state, attempt.server
        at_s = (self.now - START) / SECOND
        self.starts.append((at_s, server, request.kind))
        if len(self._waiting[server]) >= MAX_WAITING:
            self.shed += 1
            self._finish(attempt, 'shed')
            self._repeat(request, state, server)
            return
        state['open'].append(attempt)
        self._waiting[server].append(attempt)
        self._run_next(server)
        if not request.is_repeat:
            self._push(timeout / SECOND, self._hedge, request, state, server)

    def _run_next(self, server):
        running, waiting = self._running[server], self._waiting[server]
        while waiting and len(running) < SLOTS:
            attempt = waiting.pop(0)
            running.append(attempt)
            is_nearly_full = len(running) >= SLOTS - 1
            slowdown = 1.5 if is_nearly_full and int(server[1:]) % 2 else 1.0
            work_s = self.draw_work(attempt.state['kind'])
            took_s = work_s * self.slowness[server] * slowdown
            self._push(took_s, self._answer, attempt)

    def _hedge(self, request, state, server):
        if not state['is_ended']:
            self.second_attempts += 1
            self._repeat(request, state, server)

    def _repeat(self, request, state, server):
        waited = self.now - state['arrived']
        deadline = state['kind'].deadline_s * SECOND
        if waited >= deadline:
            return
        excluded = (*request.excluded, server)
        repeat = request._replace(
            request_id=f'{request.request_id}/{len(excluded)}',
            waited=waited,
            remaining=deadline - waited,
            excluded=excluded,
            is_repeat=True,
        )
        self._ask(repeat, state)

    def _answer(self, attempt):
        state = attempt.state
        if attempt not in state['open']:
            return
        self._close(attempt, 'ok')
        for other in tuple(state['open']):
            self._close(other, 'cancelled')
        took_s = (self.now - state['arrived']) / SECOND
        self._end(state, took_s, attempt.server)

    def _close(self, attempt, outcome):
        attempt.state['open'].remove(attempt)
        self._finish(attempt, outcome)
        for attempts in (self._running, self._waiting):
            if attempt in attempts[attempt.server]:
                attempts[attempt.server].remove(attempt)
        self._run_next(attempt.server)

    def _finish(self, attempt, outcome):
        statement = None
        if outcome != 'cancelled':
            load = server_statements.LoadStatement(
                len(self._running[attempt.server]),
                len(self._waiting[attempt.server]),
                SLOTS,
            )
            statement = NO_LIMIT._replace(load=load)
        attempt.pool.finish_permit(
            attempt.permit_id,
            outcome,
            self.now - attempt.since,
            self.now,
            statement,
        )

    def _end(self, state, took_s, server):
        state['is_ended'] = True
        arrived_s = (state['arrived'] - START) / SECOND
        self.results.append(Result(state['kind'], took_s, server, arrived_s))


class Summary(NamedTuple):
    """What callers of one kind got; latencies of answers in milliseconds."""

    in_target: float
    refused: float
    p50_ms: float
    p90_ms: float


def summarize(results, kind):
    """Return the summary of a kind."""
    ended = [each for each in results if each.kind.name == kind.name]
    took_s = sorted(r.took_s for r in ended if r.took_s is not None)
    return Summary(
        sum(each <= kind.target_s for each in took_s) / len(ended),
        1 - len(took_s) / len(ended),
        round(took_s[len(took_s) // 2] * 1000),
        round(took_s[len(took_s) * 9 // 10] * 1000),
    )


def make_pool(is_work_aware=True, count=len(SLOWNESS)):
    """Return a pool, with or without what it learns of work."""
    pool = test_dispatch.make_pool(
        test_dispatch.make_configuration(count, slots=SLOTS)
    )
    if not is_work_aware:
        pool._ranker.work.estimator.find = lambda kind, target: None
    return pool
