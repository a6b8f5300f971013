"""The promises, checked from what callers and backend servers see."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from standins import machines


__all__ = ['Finding', 'Seen', 'Span', 'check_all']

# These statuses say that a request has not run and will not.
NOT_RUN = frozenset((408, 421, 429, 503))
# Withdrawn keys and leaving servers bind within this time.
BINDING_S = 2.0
# An instance binds that was undisturbed for this long before.
CONTACT_S = 3.0


class Seen(NamedTuple):
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


class Span(NamedTuple):
    """Say that something was so in a time; `what` names it."""

    what: str
    since_s: float
    until_s: float


class Finding(NamedTuple):
    """Name a broken promise and the request or server concerned."""

    promise: str
    detail: str


def _is_calm(disturbed: Iterable[Span], name: str, at_s: float) -> bool:
    return not any(
        span.what in (name, 'all')
        and span.since_s <= at_s <= span.until_s + CONTACT_S
        for span in disturbed
    )


def check_once(
    seen: Iterable[Seen], runs: Iterable[machines.Run]
) -> Iterable[Finding]:
    """Yield requests that may run once and ran more often."""
    counts = collections.Counter(run.request_id for run in runs)
    for request in seen:
        if not request.is_idempotent and counts[request.request_id] > 1:
            yield Finding('at most once', request.request_id)


def check_refusals(
    seen: Iterable[Seen], runs: Iterable[machines.Run]
) -> Iterable[Finding]:
    """Yield requests that were refused as not run, though they ran."""
    ran = {run.request_id for run in runs}
    for request in seen:
        if request.status in NOT_RUN and request.request_id in ran:
            yield Finding('true refusals', request.request_id)


def check_answers(
    seen: Iterable[Seen], runs: Iterable[machines.Run]
) -> Iterable[Finding]:
    """Yield successes that are not a server's whole answer to the request."""
    ran = {(run.server, run.request_id) for run in runs}
    for request in seen:
        if request.status != 200:
            continue
        server = request.headers.get('x-upstream-seal', '').partition('.')[0]
        whole = f'{server} {request.request_id} '.encode()
        is_own = (server, request.request_id) in ran
        if not is_own or not request.body.startswith(whole):
            yield Finding('whole answers', request.request_id)


def check_customers(
    seen: Iterable[Seen], runs: Iterable[machines.Run]
) -> Iterable[Finding]:
    """Yield runs for another customer than the key's, or that saw the key."""
    by_id = {request.request_id: request for request in seen}
    for run in runs:
        request = by_id.get(run.request_id)
        if request is None:
            yield Finding('runs were asked for', run.request_id)
        elif run.headers.get('x-tenant') != request.customer:
            yield Finding('own customer', run.request_id)
        elif request.key in str(run.headers):
            yield Finding('key kept from servers', run.request_id)


def check_keys(
    seen: Iterable[Seen], withdrawn: Iterable[Span], disturbed: Iterable[Span]
) -> Iterable[Finding]:
    """Yield requests served under a key that was withdrawn before."""
    disturbed = tuple(disturbed)
    for span in withdrawn:
        for request in seen:
            if (
                request.key == span.what
                and request.status == 200
                and span.since_s + BINDING_S < request.sent_s < span.until_s
                and _is_calm(disturbed, f'i{request.instance}', request.sent_s)
            ):
                yield Finding('withdrawn keys', request.request_id)


def check_leaving(
    runs: Iterable[machines.Run],
    left: Iterable[Span],
    disturbed: Iterable[Span],
) -> Iterable[Finding]:
    """Yield runs at servers that had left, where nothing was disturbed."""
    calm_after = max((span.until_s for span in disturbed), default=0.0)
    for span in left:
        since_s = max(span.since_s + BINDING_S, calm_after + CONTACT_S)
        for run in runs:
            if run.server == span.what and since_s < run.at_s < span.until_s:
                yield Finding('leaving servers', run.request_id)


def check_graceful(
    seen: Iterable[Seen], stops: Iterable[Span], disturbed: Iterable[Span]
) -> Iterable[Finding]:
    """Yield requests cut off by an instance that was told to stop."""
    disturbed = tuple(disturbed)
    for span in stops:
        for request in seen:
            if (
                f'i{request.instance}' == span.what
                and request.status == 0
                and span.since_s <= request.sent_s
                and request.ended_s <= span.until_s
                and _is_calm(disturbed, span.what, request.sent_s)
                and _is_calm(disturbed, span.what, request.ended_s)
            ):
                yield Finding('graceful stops', request.request_id)


def check_back(seen: Iterable[Seen], since_s: float) -> Iterable[Finding]:
    """Yield requests that were not served after all faults had ended."""
    for request in seen:
        if request.sent_s >= since_s and request.status != 200:
            yield Finding(
                'service back',
                f'{request.request_id} {request.status} i{request.instance}',
            )


def check_all(
    seen: tuple[Seen, ...],
    runs: tuple[machines.Run, ...],
    withdrawn: tuple[Span, ...],
    left: tuple[Span, ...],
    stops: tuple[Span, ...],
    disturbed: tuple[Span, ...],
    back_s: float,
) -> Iterable[Finding]:
    """Yield everything that broke a promise."""
    yield from check_once(seen, runs)
    yield from check_refusals(seen, runs)
    yield from check_answers(seen, runs)
    yield from check_customers(seen, runs)
    yield from check_keys(seen, withdrawn, disturbed)
    yield from check_leaving(runs, left, disturbed)
    yield from check_graceful(seen, stops, disturbed)
    yield from check_back(seen, back_s)
