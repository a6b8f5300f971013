"""Draws the schedule of faults of a run from a seed."""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import random
from typing import NamedTuple

from soak import relay


__all__ = ['PLANS', 'Kind', 'ScheduledFault', 'draw_faults']

# Modes that stay for the duration of a fault; the others act at once.
LASTING_MODES = (
    relay.RelayMode.DELAY,
    relay.RelayMode.ONE_WAY,
    relay.RelayMode.SILENT,
)
INSTANT_MODES = (relay.RelayMode.RESET, relay.RelayMode.STALE)
# Mean time between the starts of two faults, which may overlap.
MEAN_INTERVAL_S = 0.8
MAX_DURATION_S = 3.0
# The last part of a run has no faults, so that everything can recover.
QUIET_RATIO = 0.2

# Limits last for long, since they have to hold some seconds after they began.
LIMITS_PER_S = ('0.5', '1', '2.0', '4', '4.5, many')
LOWEST_SHARED_LIMIT = 2

# How often each kind is drawn, relative to the others.
KIND_WEIGHTS = {
    'kill': 2.0,
    'stop': 2.0,
    'pause': 1.5,
    'server_link': 4.0,
    'store_link': 2.0,
    'caller_link': 1.0,
    'server_errors': 2.0,
    'server_slow': 1.0,
    'drain': 1.0,
    'evacuate': 1.0,
    'withdraw_key': 1.0,
    'forget_history': 0.5,
}
Kind = str

# Faults of the plan "handovers", in which requests, grants and processes pass
# from one to another while servers are slow.
HANDOVER_WEIGHTS = {
    'stop': 3.0,
    'kill': 2.0,
    'pause': 1.0,
    'hang_up': 1.5,
    'reconfigure': 1.5,
    'store_link': 1.0,
    'server_link': 1.5,
    'server_mute': 2.0,
    'server_ends': 1.5,
    'repeats_shed': 1.5,
    'repeats_reset': 1.5,
    'drain': 1.0,
    'evacuate': 0.5,
}
# Kinds that strike several instances or servers one after the other.
SERIES_LENGTHS = {
    'stop': (1, 2, 3),
    'kill': (1, 2, 3),
    'hang_up': (1, 4),
    'server_mute': (1, 2),
    'server_ends': (1, 3),
}
MAX_SERIES_INTERVAL_S = 1.2
# Faults of the plan "deadly" besides requests that end servers.
DEADLY_WEIGHTS = {
    'stop': 2.0,
    'kill': 1.0,
    'pause': 1.0,
    'reconfigure': 1.0,
    'store_link': 1.0,
}
DEADLY_INTERVAL_S = 2.5
# Faults of the plan "copies", mostly changes that bind also if the store loses
# them.
COPIES_WEIGHTS = {
    'drain': 3.0,
    'evacuate': 2.0,
    'withdraw_key': 2.0,
    'reconfigure': 1.0,
    'server_ends': 1.0,
    'store_link': 1.0,
    'kill': 0.5,
    'stop': 0.5,
    'pause': 0.5,
}
# A copy of the store is that old when it replaces the store.
COPY_AGES_S = (0.5, 5.0)
COPY_INTERVAL_S = 2.0
# Faults of the plan "repeats" beside servers that shed most requests: holders
# of repeats follow each other or exist side by side.
REPEATS_WEIGHTS = {
    'kill': 3.0,
    'stop': 2.0,
    'pause': 1.5,
    'server_link': 0.5,
    'reconfigure': 0.5,
}
SHED_RATIOS = (0.5, 0.85)
# Longer than half of the time of most requests, and shorter than all of it.
SLOW_ANSWERS_S = (0.85, 1.2)
MAX_SLOW_TIME_S = 6.0
QUICK_TIME_S = 1.5


class ScheduledFault(NamedTuple):
    """A fault that starts `start_s` after the start of the run.

    `target` modulo the number of possible targets chooses one. `mode` is used
    by faults of links only, `limit` by servers that name one: a server, or all
    of its service (`service_limit`), `rest` by those that name a time to come
    back, `answer_s` by those that take so long for an answer, and
    `shed_ratio` by those that refuse so many requests.
    """

    start_s: float
    kind: Kind
    target: int
    duration_s: float
    mode: relay.RelayMode = relay.RelayMode.OPEN
    limit: str = ''
    rest: str = ''
    answer_s: float = 0.0
    shed_ratio: float = 0.0


def _draw_fault(rng: random.Random, at_s: float) -> ScheduledFault:
    (kind,) = rng.choices(list(KIND_WEIGHTS), list(KIND_WEIGHTS.values()))
    fault = ScheduledFault(
        at_s, kind, rng.randrange(1000), rng.uniform(0.3, MAX_DURATION_S)
    )
    if not kind.endswith('_link'):
        return fault
    mode = rng.choice((*LASTING_MODES, *INSTANT_MODES))
    duration_s = 0.0 if mode in INSTANT_MODES else fault.duration_s
    return fault._replace(mode=mode, duration_s=duration_s)


def _draw_limit(
    rng: random.Random, at_s: float, end_s: float
) -> ScheduledFault:
    kind = rng.choice(('server_limit', 'service_limit'))
    limits = LIMITS_PER_S
    if kind == 'service_limit':
        limits = LIMITS_PER_S[LOWEST_SHARED_LIMIT:]
    return ScheduledFault(
        at_s,
        kind,
        rng.randrange(1000),
        rng.uniform(0.7, 1.0) * (end_s - at_s),
        limit=rng.choice(limits),
    )


def _draw_limits(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    # A generator of its own keeps the other faults of known seeds.
    rng = random.Random(f'limits {seed}')
    at_s = rng.uniform(0.5, 1.5)
    end_s = seconds * (1 - QUIET_RATIO)
    while at_s < end_s / 2:
        yield _draw_limit(rng, at_s, end_s)
        at_s += rng.expovariate(1 / MAX_DURATION_S)


def _draw_statements(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    rng = random.Random(f'statements {seed}')
    at_s = rng.uniform(0.5, 2.5)
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    while at_s < end_s:
        kind = rng.choice(('server_leaving', 'server_rest'))
        rest = rng.choice(('0.8', '1.5', '3')) if kind == 'server_rest' else ''
        yield ScheduledFault(
            at_s,
            kind,
            rng.randrange(1000),
            rng.uniform(0.5, MAX_DURATION_S),
            rest=rest,
        )
        at_s += rng.expovariate(1 / MAX_DURATION_S)


def _draw_others(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    rng = random.Random(seed)
    at_s = 0.5
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    while at_s < end_s:
        yield _draw_fault(rng, at_s)
        # A quarter of the faults start together with the one before.
        if rng.random() > 0.25:
            at_s += rng.expovariate(1 / MEAN_INTERVAL_S)


def _draw_mixed(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    return heapq.merge(
        _draw_others(seed, seconds),
        _draw_limits(seed, seconds),
        _draw_statements(seed, seconds),
        key=lambda fault: fault.start_s,
    )


def _draw_slow_servers(
    rng: random.Random, end_s: float
) -> Iterable[ScheduledFault]:
    at_s = rng.uniform(0.2, 0.8)
    while at_s < end_s:
        duration_s = rng.uniform(MAX_SLOW_TIME_S / 2, MAX_SLOW_TIME_S)
        yield ScheduledFault(
            at_s,
            rng.choice(('server_slow_answers', 'service_slow_answers')),
            rng.randrange(1000),
            min(duration_s, end_s + MAX_DURATION_S - at_s),
            answer_s=rng.uniform(*SLOW_ANSWERS_S),
        )
        at_s += rng.expovariate(1 / QUICK_TIME_S)


def _draw_handover(
    rng: random.Random, at_s: float, weights: Mapping[Kind, float]
) -> Iterable[ScheduledFault]:
    (kind,) = rng.choices(list(weights), list(weights.values()))
    first = rng.randrange(1000)
    for number in range(rng.choice(SERIES_LENGTHS.get(kind, (1,)))):
        fault = ScheduledFault(
            at_s, kind, first + number, rng.uniform(0.5, MAX_DURATION_S)
        )
        if kind.endswith('_link'):
            mode = rng.choice((relay.RelayMode.SILENT, *INSTANT_MODES))
            fault = fault._replace(mode=mode)
            if mode in INSTANT_MODES:
                fault = fault._replace(duration_s=0.0)
        yield fault
        at_s += rng.uniform(0.0, MAX_SERIES_INTERVAL_S)


def _draw_handover_series(
    rng: random.Random,
    end_s: float,
    weights: Mapping[Kind, float] = HANDOVER_WEIGHTS,
) -> Iterable[ScheduledFault]:
    at_s = rng.uniform(1.0, 2.0)
    while at_s < end_s:
        yield from _draw_handover(rng, at_s, weights)
        if rng.random() > 0.25:
            at_s += rng.expovariate(1 / MEAN_INTERVAL_S)


def _draw_handovers(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    slow = _draw_slow_servers(random.Random(f'slow servers {seed}'), end_s)
    series = _draw_handover_series(random.Random(f'handovers {seed}'), end_s)
    yield from sorted((*slow, *series), key=lambda fault: fault.start_s)


def _draw_deadly_requests(
    rng: random.Random, end_s: float
) -> Iterable[ScheduledFault]:
    at_s = rng.uniform(0.5, 1.5)
    while at_s < end_s:
        duration_s = rng.uniform(MAX_DURATION_S / 2, MAX_DURATION_S)
        yield ScheduledFault(
            at_s, 'deadly_request', rng.randrange(1000), duration_s
        )
        at_s += rng.expovariate(1 / DEADLY_INTERVAL_S)


def _draw_deadly(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    deadly = _draw_deadly_requests(random.Random(f'deadly {seed}'), end_s)
    others = _draw_handover_series(
        random.Random(f'beside deadly {seed}'), end_s, DEADLY_WEIGHTS
    )
    yield from sorted((*deadly, *others), key=lambda fault: fault.start_s)


def _draw_store_copies(
    rng: random.Random, end_s: float
) -> Iterable[ScheduledFault]:
    at_s = rng.uniform(0.5, 2.0)
    while at_s < end_s:
        age_s = rng.uniform(*COPY_AGES_S)
        yield ScheduledFault(at_s, 'store_copy', 0, age_s)
        at_s += age_s + rng.expovariate(1 / COPY_INTERVAL_S)


def _draw_copies(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    copies = _draw_store_copies(
        random.Random(f'copies {seed}'), end_s - MAX_DURATION_S
    )
    others = _draw_handover_series(
        random.Random(f'beside copies {seed}'), end_s, COPIES_WEIGHTS
    )
    yield from sorted((*copies, *others), key=lambda fault: fault.start_s)


def _draw_repeats(seed: int, seconds: float) -> Iterable[ScheduledFault]:
    end_s = seconds * (1 - QUIET_RATIO) - MAX_DURATION_S
    rng = random.Random(f'repeats {seed}')
    at_s = rng.uniform(0.0, 1.0)
    yield ScheduledFault(
        at_s,
        'service_sheds',
        0,
        end_s + MAX_DURATION_S / 2 - at_s,
        shed_ratio=rng.uniform(*SHED_RATIOS),
    )
    yield from _draw_handover_series(
        random.Random(f'beside repeats {seed}'), end_s, REPEATS_WEIGHTS
    )


PLANS = {
    'mixed': _draw_mixed,
    'handovers': _draw_handovers,
    'deadly': _draw_deadly,
    'copies': _draw_copies,
    'repeats': _draw_repeats,
}


def draw_faults(
    seed: int, seconds: float, plan: str = 'mixed'
) -> Iterable[ScheduledFault]:
    """Yield the faults of a run in the order of their starts.

    The plan "mixed" has faults of all kinds; "handovers" has slow servers and
    series of faults by which their requests pass to other servers, and holders
    and processes are replaced; "deadly" has requests that end the servers that
    run them, while instances come and go; "copies" has a store that comes back
    from copies of itself, beside changes and short faults; "repeats" has a
    service that sheds most requests while instances stop, are killed and
    paused in series.
    """
    yield from PLANS[plan](seed, seconds)
