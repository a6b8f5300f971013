"""Checks the promises against what callers and backend servers observed."""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import itertools
import math
from typing import NamedTuple

from standins import machines


__all__ = [
    'Interval',
    'LinkFault',
    'NamedLimit',
    'ObservedRequest',
    'Violation',
    'check_all',
    'find_most_repeats',
    'list_most_repeats',
]

# With these statuses a request did not run and will not.
NOT_RUN = frozenset((408, 421, 429, 503))
# In a window, a service may get so many arrivals beyond the first of each
# request: the ratio of its requests and the slack. The instances' settings
# leave these bounds at their defaults.
REPEAT_WINDOW_S = 10.0
REPEAT_RATIO = 0.2
REPEAT_SLACK = 60
# Instances must stop using withdrawn keys and drained servers within this
# time.
PROPAGATION_LIMIT_S = 2.0
# Servers must get no more than 1.5 times the limit that they name and five
# requests in a window, from this long after they first named it.
LIMIT_WINDOW_S = 4.0
LIMIT_CONTACT_S = 3.0
# A server that says that it leaves gets no request that came later than this.
LEAVING_LIMIT_S = 2.0
# A server that turned an instance away gets no more than so many requests from
# it between this time and the one that it named.
REST_CONTACT_S = 0.5
REST_REQUESTS = 2
# That is required of an instance only after this time without a fault.
SETTLING_S = 3.0
# A server has to be waited for if it answers so long before the deadline.
ANSWER_MARGIN_S = 0.1
# From SIGTERM to the end of a process. In its last part, requests may be given
# up that were sent no later than this after the signal.
GRACE_S = 6.0
GRACE_END_RATIO = 1 / 6
LATE_FOR_STOP_S = 3.0
# After so many servers have ended under a request, it may be sent to servers
# only so many times more.
ENDED_SERVERS = 3
FURTHER_SENDS = 3


class ObservedRequest(NamedTuple):
    """A request as its caller saw it; status 0 is no complete response.

    `time_s` is the time that the caller's deadline and the route allow.
    `has_left` tells whether the caller closed its connection before that.
    """

    request_id: str
    instance: int
    customer: str
    key: str
    is_idempotent: bool
    sent_s: float
    ended_s: float
    status: int
    headers: dict[str, str]
    body: bytes
    time_s: float = math.inf
    has_left: bool = False

    @property
    def is_answered_by_server(self) -> bool:
        """Return whether the response is one of a server."""
        return self.status != 0 and 'x-upstream-seal' in self.headers


class Interval(NamedTuple):
    """An interval in which something held for `subject`.

    The subject is a key, a server or an instance, or "all".
    """

    subject: str
    since_s: float
    until_s: float


class NamedLimit(NamedTuple):
    """A limit that a server named in an interval."""

    server: str
    limit_per_s: float
    since_s: float
    until_s: float


class LinkFault(NamedTuple):
    """A fault of a server or its link, by which answers come later.

    `delay_s` is by how much, infinite if answers are lost.
    """

    server: str
    since_s: float
    until_s: float
    delay_s: float = math.inf


# The requests that reached each server.
Arrivals = Mapping[str, Sequence[machines.Arrival]]


class Violation(NamedTuple):
    """A broken promise and the request concerned."""

    promise: str
    detail: str


def _is_undisturbed(
    disturbances: Iterable[Interval], name: str, at_s: float
) -> bool:
    return not any(
        interval.subject in (name, 'all')
        and interval.since_s <= at_s <= interval.until_s + SETTLING_S
        for interval in disturbances
    )


def check_at_most_once(
    requests: Iterable[ObservedRequest],
    executed: Iterable[machines.ExecutedRequest],
) -> Iterable[Violation]:
    """Yield requests that are not idempotent and ran more than once."""
    counts = collections.Counter(run.request_id for run in executed)
    for request in requests:
        if not request.is_idempotent and counts[request.request_id] > 1:
            yield Violation('at most once', request.request_id)


def check_refused_not_run(
    requests: Iterable[ObservedRequest],
    executed: Iterable[machines.ExecutedRequest],
) -> Iterable[Violation]:
    """Yield requests that ran though their status says they did not."""
    ran = {run.request_id for run in executed}
    for request in requests:
        if request.status in NOT_RUN and request.request_id in ran:
            yield Violation('true refusals', request.request_id)


def check_whole_responses(
    requests: Iterable[ObservedRequest],
    executed: Iterable[machines.ExecutedRequest],
) -> Iterable[Violation]:
    """Yield successes without a complete response of their server."""
    ran = {(run.server, run.request_id) for run in executed}
    for request in requests:
        if request.status != 200:
            continue
        server = request.headers.get('x-upstream-seal', '').partition('.')[0]
        expected = f'{server} {request.request_id} '.encode()
        is_by_server = (server, request.request_id) in ran
        if not is_by_server or not request.body.startswith(expected):
            yield Violation('whole answers', request.request_id)


def check_customer_identity(
    requests: Iterable[ObservedRequest],
    executed: Iterable[machines.ExecutedRequest],
) -> Iterable[Violation]:
    """Yield executions that expose the key or differ from the request.

    A server must run a request only if a caller sent it, under the customer
    of the key, and must not receive the key.
    """
    by_id = {request.request_id: request for request in requests}
    for run in executed:
        request = by_id.get(run.request_id)
        if request is None:
            detail = f'{run.server} {run.method} {run.path} {run.request_id}'
            yield Violation('runs were asked for', detail)
        elif run.headers.get('x-tenant') != request.customer:
            yield Violation('own customer', run.request_id)
        elif request.key in str(run.headers):
            yield Violation('key kept from servers', run.request_id)


def check_withdrawn_keys(
    requests: Iterable[ObservedRequest],
    withdrawn: Iterable[Interval],
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield requests that were served after their key was withdrawn."""
    disturbances = tuple(disturbances)
    for interval in withdrawn:
        for request in requests:
            if (
                request.key == interval.subject
                and request.status == 200
                and interval.since_s + PROPAGATION_LIMIT_S
                < request.sent_s
                < interval.until_s
                and _is_undisturbed(
                    disturbances, f'i{request.instance}', request.sent_s
                )
            ):
                yield Violation('withdrawn keys', request.request_id)


def check_drained_servers(
    executed: Iterable[machines.ExecutedRequest],
    left: Iterable[Interval],
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield executions at drained servers.

    `left` are the intervals in which a server was drained. Only executions
    after the last disturbance count.
    """
    undisturbed_from_s = max(
        (interval.until_s for interval in disturbances), default=0.0
    )
    for interval in left:
        since_s = max(
            interval.since_s + PROPAGATION_LIMIT_S,
            undisturbed_from_s + SETTLING_S,
        )
        for run in executed:
            if (
                run.server == interval.subject
                and since_s < run.at_s < interval.until_s
            ):
                yield Violation('leaving servers', run.request_id)


def check_graceful_stops(
    requests: Iterable[ObservedRequest],
    graceful_stops: Iterable[Interval],
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield requests cut off by an instance that shut down gracefully."""
    disturbances = tuple(disturbances)
    for interval in graceful_stops:
        for request in requests:
            if (
                f'i{request.instance}' == interval.subject
                and request.status == 0
                and not request.has_left
                and interval.since_s <= request.sent_s
                and request.ended_s <= interval.until_s
                and _is_undisturbed(
                    disturbances, interval.subject, request.sent_s
                )
                and _is_undisturbed(
                    disturbances, interval.subject, request.ended_s
                )
            ):
                yield Violation('graceful stops', request.request_id)


def _was_disturbed(
    disturbances: Iterable[Interval], name: str, since_s: float, until_s: float
) -> bool:
    return any(
        interval.subject in (name, 'all')
        and interval.since_s <= until_s
        and since_s <= interval.until_s
        for interval in disturbances
    )


def _find_answer_time(
    work: machines.Work, link_faults: Iterable[LinkFault]
) -> float:
    """Return when the answer would have come, infinite if it never would."""
    if work.end == 'died':
        return math.inf
    return work.due_s + sum(
        fault.delay_s
        for fault in link_faults
        if fault.server == work.server
        and fault.since_s <= work.due_s
        and work.began_s <= fault.until_s
    )


def _find_abandonment(
    request: ObservedRequest, work: machines.Work
) -> float | None:
    """Return when the instance gave up work, or None if it waited for it."""
    if work.end == 'dropped':
        return min(work.ended_s, request.ended_s)
    return request.ended_s if request.ended_s < work.ended_s else None


def _is_end_of_stop(
    request: ObservedRequest, at_s: float, stops: Iterable[Interval]
) -> bool:
    return any(
        stop.subject == f'i{request.instance}'
        and request.sent_s <= stop.since_s + LATE_FOR_STOP_S
        and stop.since_s + GRACE_S * (1 - GRACE_END_RATIO) <= at_s
        and at_s <= stop.since_s + GRACE_S + 1
        for stop in stops
    )


def _describe_loss(
    request: ObservedRequest, work: machines.Work, at_s: float
) -> str:
    sent_s = request.sent_s
    return (
        f'{request.request_id} i{request.instance} {request.status}'
        f' at {request.ended_s - sent_s:.2f},'
        f' {work.server} {work.end} at {at_s - sent_s:.2f},'
        f' due {work.due_s - sent_s:.2f} of {request.time_s:.2f} s'
    )


def check_lost_work(
    requests: Iterable[ObservedRequest],
    works: Iterable[machines.Work],
    link_faults: Sequence[LinkFault],
    graceful_stops: Sequence[Interval],
    interruptions: Sequence[Interval],
) -> Iterable[Violation]:
    """Yield requests without an answer that a server would have given.

    Work counts if its answer would have come in the time of the request and
    the instance gave it up before, by a response of its own, by none or by
    closing the connection to the server. `interruptions` are the intervals
    in which instances were killed, paused or cut off from their callers.
    """
    by_request = collections.defaultdict(list)
    for work in works:
        by_request[work.request_id].append(work)
    for request in requests:
        if (
            request.is_answered_by_server
            or request.has_left
            or _was_disturbed(
                interruptions,
                f'i{request.instance}',
                request.sent_s,
                request.ended_s,
            )
        ):
            continue
        until_s = request.sent_s + request.time_s - ANSWER_MARGIN_S
        for work in by_request[request.request_id]:
            at_s = _find_abandonment(request, work)
            if (
                at_s is not None
                and work.began_s < at_s < until_s
                and _find_answer_time(work, link_faults) < until_s
                and not _is_end_of_stop(request, at_s, graceful_stops)
            ):
                yield Violation(
                    'work not lost', _describe_loss(request, work, at_s)
                )
                break


def check_leaving_servers(
    requests: Iterable[ObservedRequest],
    arrivals: Arrivals,
    leaving: Iterable[Interval],
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield late requests to servers that said in answers that they leave.

    `leaving` are the intervals in which servers said so. An instance was told
    once it had passed on such an answer.
    """
    by_id = {request.request_id: request for request in requests}
    for server, since_s, until_s in leaving:
        told_at: dict[int, float] = {}
        for request in by_id.values():
            seal = request.headers.get('x-upstream-seal', '')
            if (
                seal.partition('.')[0] == server
                and since_s < request.sent_s
                and request.ended_s < until_s
            ):
                at_s = told_at.get(request.instance, until_s)
                told_at[request.instance] = min(at_s, request.ended_s)
        for arrival in arrivals[server]:
            request = by_id.get(arrival.request_id)
            if request is None or not since_s < arrival.at_s < until_s:
                continue
            told_s = told_at.get(request.instance, until_s)
            if request.sent_s > told_s + LEAVING_LIMIT_S and not (
                _was_disturbed(
                    disturbances,
                    f'i{request.instance}',
                    told_s,
                    arrival.at_s,
                )
            ):
                yield Violation('leaving answers', arrival.request_id)


def check_rests(
    requests: Iterable[ObservedRequest],
    arrivals: Arrivals,
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield instances that a server had turned away and that came too soon."""
    instances = {r.request_id: r.instance for r in requests}
    for server, arrived in arrivals.items():
        for refused in arrived:
            instance = instances.get(refused.request_id)
            until_s = refused.at_s + refused.rest_s
            early = [
                each
                for each in arrived
                if instances.get(each.request_id) == instance
                and refused.at_s + REST_CONTACT_S < each.at_s < until_s
            ]
            if len(early) > REST_REQUESTS and not _was_disturbed(
                disturbances, f'i{instance}', refused.at_s, until_s
            ):
                yield Violation('rests of servers', f'{server} i{instance}')


def check_deadly_requests(
    deadly: Iterable[frozenset[str]],
    arrivals: Arrivals,
    works: Sequence[machines.Work],
) -> Iterable[Violation]:
    """Yield requests sent too often after servers had ended under them.

    `deadly` are the ids of all attempts of each request under which servers
    end.
    """
    for request_ids in deadly:
        ended_at = sorted(
            work.ended_s
            for work in works
            if work.request_id in request_ids and work.end == 'died'
        )
        if len(ended_at) < ENDED_SERVERS:
            continue
        known_s = ended_at[ENDED_SERVERS - 1]
        sends = sum(
            arrival.request_id in request_ids and arrival.at_s > known_s
            for arrived in arrivals.values()
            for arrival in arrived
        )
        if sends > FURTHER_SENDS:
            yield Violation(
                'few ends under a request',
                f'{min(request_ids)}: sent {sends} times more,'
                f' {len(ended_at)} ended in {len(request_ids)} attempts',
            )


def check_limits(
    arrivals: Arrivals,
    limits: Iterable[NamedLimit],
    disturbances: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield windows in which a server got more than it allows.

    Links to servers that delay requests let those of several windows arrive
    in one.
    """
    delays = [each for each in disturbances if each.subject == 'all']
    for server, limit_per_s, since_s, until_s in limits:
        bound = 1.5 * limit_per_s * LIMIT_WINDOW_S + 5
        times = [arrival.at_s for arrival in arrivals[server]]
        for first_s in times:
            last_s = first_s + LIMIT_WINDOW_S
            if first_s < since_s + LIMIT_CONTACT_S or last_s > until_s:
                continue
            is_delayed = any(
                delay.since_s < last_s and first_s < delay.until_s + SETTLING_S
                for delay in delays
            )
            count = sum(first_s <= at_s < last_s for at_s in times)
            if count > bound and not is_delayed:
                detail = f'{server} {limit_per_s}/s: {count} of {bound}'
                yield Violation('limits of servers', detail)
                break


def _find_repeats(arrivals: Iterable[machines.Arrival]) -> list[float]:
    """Return the times of the arrivals beyond the first of each request."""
    seen: set[str] = set()
    repeats = []
    for arrival in sorted(arrivals, key=lambda each: each.at_s):
        if arrival.request_id in seen:
            repeats.append(arrival.at_s)
        seen.add(arrival.request_id)
    return repeats


def find_most_repeats(
    requests: Iterable[ObservedRequest],
    arrivals: Iterable[machines.Arrival],
) -> tuple[float, int, float]:
    """Return the largest part of the bound on repeats that a window uses.

    Then the repeats in that window and the bound. The requests are those of
    the window, of the one before it or of the one half a window before it,
    whichever has most.
    """
    sent = sorted(request.sent_s for request in requests)
    repeats = _find_repeats(arrivals)

    def count(times: Sequence[float], since_s: float) -> int:
        last = bisect.bisect_left(times, since_s + REPEAT_WINDOW_S)
        return last - bisect.bisect_left(times, since_s)

    def find_bound(since_s: float) -> float:
        most = max(
            count(sent, since_s - REPEAT_WINDOW_S * part)
            for part in (0, 0.5, 1)
        )
        return REPEAT_RATIO * most + REPEAT_SLACK

    windows = (
        (count(repeats, since_s), find_bound(since_s)) for since_s in repeats
    )
    return max(
        ((used / bound, used, bound) for used, bound in windows),
        default=(0.0, 0, REPEAT_SLACK),
    )


def list_most_repeats(
    requests: Sequence[ObservedRequest], arrivals: Arrivals
) -> Iterable[tuple[str, float, int, float]]:
    """Yield each service and what find_most_repeats returns for it.

    Idempotent requests go to service x, the others to service y.
    """
    for service, is_idempotent in (('x', True), ('y', False)):
        most = find_most_repeats(
            (r for r in requests if r.is_idempotent == is_idempotent),
            itertools.chain.from_iterable(
                arrived
                for server, arrived in arrivals.items()
                if server.startswith(f's-{service}')
            ),
        )
        yield service, *most


def check_repeats(
    requests: Sequence[ObservedRequest], arrivals: Arrivals
) -> Iterable[Violation]:
    """Yield services that got more repeats in a window than allowed."""
    for service, ratio, used, bound in list_most_repeats(requests, arrivals):
        if ratio > 1:
            yield Violation('repeats', f'{service}: {used} of {bound:.0f}')


def check_recovery(
    requests: Iterable[ObservedRequest], since_s: float
) -> Iterable[Violation]:
    """Yield requests that failed after all faults had ended."""
    for request in requests:
        if request.sent_s >= since_s and request.status != 200:
            yield Violation(
                'service back',
                f'{request.request_id} {request.status} i{request.instance}',
            )


def check_all(
    requests: tuple[ObservedRequest, ...],
    executed: tuple[machines.ExecutedRequest, ...],
    withdrawn: tuple[Interval, ...],
    left: tuple[Interval, ...],
    graceful_stops: tuple[Interval, ...],
    disturbances: tuple[Interval, ...],
    arrivals: Arrivals,
    limits: tuple[NamedLimit, ...],
    leaving: tuple[Interval, ...],
    recovery_s: float,
    works: tuple[machines.Work, ...] = (),
    link_faults: tuple[LinkFault, ...] = (),
    interruptions: tuple[Interval, ...] = (),
    deadly: tuple[frozenset[str], ...] = (),
) -> Iterable[Violation]:
    """Yield all violations of promises in one run.

    All times are on the monotonic clock. `left` are the intervals in which a
    server was drained, `leaving` those in which it said only in answers that
    it leaves; `arrivals` are the requests that reached each server;
    `recovery_s` is when all requests must be served again; `works` is what
    servers did, `interruptions` are kills, pauses and cuts from callers, and
    `deadly` the ids of the attempts of each request that ends servers.
    """
    yield from check_at_most_once(requests, executed)
    yield from check_refused_not_run(requests, executed)
    yield from check_whole_responses(requests, executed)
    yield from check_customer_identity(requests, executed)
    yield from check_withdrawn_keys(requests, withdrawn, disturbances)
    yield from check_drained_servers(executed, left, disturbances)
    yield from check_graceful_stops(requests, graceful_stops, disturbances)
    yield from check_lost_work(
        requests, works, link_faults, graceful_stops, interruptions
    )
    yield from check_deadly_requests(deadly, arrivals, works)
    yield from check_limits(arrivals, limits, disturbances)
    yield from check_repeats(requests, arrivals)
    yield from check_leaving_servers(requests, arrivals, leaving, disturbances)
    yield from check_rests(requests, arrivals, disturbances)
    yield from check_recovery(requests, recovery_s)
