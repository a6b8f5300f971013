"""The promises, checked from what callers and backend servers see."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from standins import machines


__all__ = ['Interval', 'ObservedRequest', 'Violation', 'check_all']

# These statuses say that a request has not run and will not.
NOT_RUN = frozenset((408, 421, 429, 503))
# Withdrawn keys and leaving servers bind within this time.
PROPAGATION_LIMIT_S = 2.0
# An instance binds that was undisturbed for this long before.
SETTLING_S = 3.0


class ObservedRequest(NamedTuple):
    """Describe one request as its caller saw it; status 0 is no answer."""

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


class Interval(NamedTuple):
    """Say that something was so in a time; `subject` names it."""

    subject: str
    since_s: float
    until_s: float


class Violation(NamedTuple):
    """Name a broken promise and the request or server concerned."""

    promise: str
    detail: str


def _is_undisturbed(
    disturbed: Iterable[Interval], name: str, at_s: float
) -> bool:
    return not any(
        span.subject in (name, 'all')
        and span.since_s <= at_s <= span.until_s + SETTLING_S
        for span in disturbed
    )


def check_at_most_once(
    seen: Iterable[ObservedRequest], runs: Iterable[machines.ExecutedRequest]
) -> Iterable[Violation]:
    """Yield requests that may run once and ran more often."""
    counts = collections.Counter(run.request_id for run in runs)
    for request in seen:
        if not request.is_idempotent and counts[request.request_id] > 1:
            yield Violation('at most once', request.request_id)


def check_refused_not_run(
    seen: Iterable[ObservedRequest], runs: Iterable[machines.ExecutedRequest]
) -> Iterable[Violation]:
    """Yield requests that were refused as not run, though they ran."""
    ran = {run.request_id for run in runs}
    for request in seen:
        if request.status in NOT_RUN and request.request_id in ran:
            yield Violation('true refusals', request.request_id)


def check_whole_answers(
    seen: Iterable[ObservedRequest], runs: Iterable[machines.ExecutedRequest]
) -> Iterable[Violation]:
    """Yield successes that are not a server's whole answer to the request."""
    ran = {(run.server, run.request_id) for run in runs}
    for request in seen:
        if request.status != 200:
            continue
        server = request.headers.get('x-upstream-seal', '').partition('.')[0]
        whole = f'{server} {request.request_id} '.encode()
        is_own = (server, request.request_id) in ran
        if not is_own or not request.body.startswith(whole):
            yield Violation('whole answers', request.request_id)


def check_customer_identity(
    seen: Iterable[ObservedRequest], runs: Iterable[machines.ExecutedRequest]
) -> Iterable[Violation]:
    """Yield runs for another customer than the key's, or that saw the key."""
    by_id = {request.request_id: request for request in seen}
    for run in runs:
        request = by_id.get(run.request_id)
        if request is None:
            yield Violation('runs were asked for', run.request_id)
        elif run.headers.get('x-tenant') != request.customer:
            yield Violation('own customer', run.request_id)
        elif request.key in str(run.headers):
            yield Violation('key kept from servers', run.request_id)


def check_withdrawn_keys(
    seen: Iterable[ObservedRequest],
    withdrawn: Iterable[Interval],
    disturbed: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield requests served under a key that was withdrawn before."""
    disturbed = tuple(disturbed)
    for span in withdrawn:
        for request in seen:
            if (
                request.key == span.subject
                and request.status == 200
                and span.since_s + PROPAGATION_LIMIT_S
                < request.sent_s
                < span.until_s
                and _is_undisturbed(
                    disturbed, f'i{request.instance}', request.sent_s
                )
            ):
                yield Violation('withdrawn keys', request.request_id)


def check_drained_servers(
    runs: Iterable[machines.ExecutedRequest],
    left: Iterable[Interval],
    disturbed: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield runs at servers that had left, where nothing was disturbed."""
    calm_after = max((span.until_s for span in disturbed), default=0.0)
    for span in left:
        since_s = max(
            span.since_s + PROPAGATION_LIMIT_S, calm_after + SETTLING_S
        )
        for run in runs:
            if (
                run.server == span.subject
                and since_s < run.at_s < span.until_s
            ):
                yield Violation('leaving servers', run.request_id)


def check_graceful_stops(
    seen: Iterable[ObservedRequest],
    stops: Iterable[Interval],
    disturbed: Iterable[Interval],
) -> Iterable[Violation]:
    """Yield requests cut off by an instance that was told to stop."""
    disturbed = tuple(disturbed)
    for span in stops:
        for request in seen:
            if (
                f'i{request.instance}' == span.subject
                and request.status == 0
                and span.since_s <= request.sent_s
                and request.ended_s <= span.until_s
                and _is_undisturbed(disturbed, span.subject, request.sent_s)
                and _is_undisturbed(disturbed, span.subject, request.ended_s)
            ):
                yield Violation('graceful stops', request.request_id)


def check_recovery(
    seen: Iterable[ObservedRequest], since_s: float
) -> Iterable[Violation]:
    """Yield requests that were not served after all faults had ended."""
    for request in seen:
        if request.sent_s >= since_s and request.status != 200:
            yield Violation(
                'service back',
                f'{request.request_id} {request.status} i{request.instance}',
            )


def check_all(
    seen: tuple[ObservedRequest, ...],
    runs: tuple[machines.ExecutedRequest, ...],
    withdrawn: tuple[Interval, ...],
    left: tuple[Interval, ...],
    stops: tuple[Interval, ...],
    disturbed: tuple[Interval, ...],
    back_s: float,
) -> Iterable[Violation]:
    """Yield everything that broke a promise."""
    yield from check_at_most_once(seen, runs)
    yield from check_refused_not_run(seen, runs)
    yield from check_whole_answers(seen, runs)
    yield from check_customer_identity(seen, runs)
    yield from check_withdrawn_keys(seen, withdrawn, disturbed)
    yield from check_drained_servers(runs, left, disturbed)
    yield from check_graceful_stops(seen, stops, disturbed)
    yield from check_recovery(seen, back_s)
