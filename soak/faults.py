"""Which faults strike when, drawn from a seed."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from soak import relay


__all__ = ['Fault', 'Kind', 'draw_faults']

# Relay modes that last; the others strike once.
LASTING = (relay.Mode.DELAY, relay.Mode.ONE_WAY, relay.Mode.SILENT)
ONCE = (relay.Mode.RESET, relay.Mode.STALE)
# Faults overlap: a new one begins this often on average.
INTERVAL_S = 0.8
LONGEST_S = 3.0
# The last part of a run is left for what was struck to come back.
QUIET_PART = 0.2

KINDS = {
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


class Fault(NamedTuple):
    """Strike target number `target` at `at_s` for `for_s`."""

    at_s: float
    kind: Kind
    target: int
    for_s: float
    mode: relay.Mode = relay.Mode.OPEN


def _draw_one(rng: random.Random, at_s: float) -> Fault:
    (kind,) = rng.choices(list(KINDS), list(KINDS.values()))
    fault = Fault(at_s, kind, rng.randrange(1000), rng.uniform(0.3, LONGEST_S))
    if not kind.endswith('_link'):
        return fault
    mode = rng.choice((*LASTING, *ONCE))
    for_s = 0.0 if mode in ONCE else fault.for_s
    return fault._replace(mode=mode, for_s=for_s)


def draw_faults(seed: int, seconds: float) -> Iterable[Fault]:
    """Yield the faults of a run in the order of their begin."""
    rng = random.Random(seed)
    at_s = 0.5
    end_s = seconds * (1 - QUIET_PART) - LONGEST_S
    while at_s < end_s:
        yield _draw_one(rng, at_s)
        # In series, and some at the same moment.
        if rng.random() > 0.25:
            at_s += rng.expovariate(1 / INTERVAL_S)
