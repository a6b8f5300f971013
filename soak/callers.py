"""Callers that send requests to instances and record how each one ends."""

import itertools
import random
import threading
import time

import urllib3

from soak import checks
from soak import environment
from standins import machines


__all__ = ['Callers']

CALLER_POOLS = 64
CALLER_CONNECTIONS = 64


class Callers:
    """Callers of the instances of an environment.

    They send `rate` requests a second, drawn from the seed. `requests` are
    those that have ended.
    """

    def __init__(
        self,
        soak_environment: environment.SoakEnvironment,
        seed: int,
        rate: float,
    ):
        self.requests: list[checks.ObservedRequest] = []
        self._environment = soak_environment
        self._seed = seed
        self._rate = rate
        self._connections = (
            urllib3.PoolManager(CALLER_POOLS, maxsize=CALLER_CONNECTIONS)
            if soak_environment.load.keeps_connections
            else None
        )
        self._ids = itertools.count(seed * 1_000_000 + 1)

    def send_request(self, rng: random.Random, can_leave: bool = True) -> None:
        """Send a drawn request and record how it ended."""
        number = rng.randrange(len(self._environment.instances))
        customer = rng.choice(list(environment.KEYS))
        key = rng.choice(environment.KEYS[customer])
        ratio = self._environment.load.idempotent_ratio
        is_idempotent = rng.random() < ratio
        request_id = self.make_id()
        # A generator of its own keeps the other requests of known seeds.
        load_rng = random.Random(request_id)
        path = (
            load_rng.choice(self._environment.load.paths)
            if is_idempotent
            else '/book/b'
        )
        deadline_ms = load_rng.choice(self._environment.load.deadlines_ms)
        patience_s = deadline_ms / 1000 + 1
        if (
            can_leave
            and load_rng.random() < self._environment.load.leaving_ratio
        ):
            patience_s = load_rng.uniform(0.2, 0.8)
        sent_s = time.monotonic()
        status, headers, body = machines.send_request(
            self._environment.caller_relays[number].address,
            path,
            request_id,
            key,
            'POST',
            b'data',
            deadline_ms,
            patience_s,
            self._connections,
        )
        ended_s = time.monotonic()
        time_s = min(deadline_ms / 1000, environment.ROUTE_TIMEOUT_S)
        self.requests.append(
            checks.ObservedRequest(
                request_id,
                number,
                customer,
                key,
                is_idempotent,
                sent_s,
                ended_s,
                status,
                headers,
                body,
                time_s,
                status == 0 and patience_s <= min(time_s, ended_s - sent_s),
            )
        )

    def send_attempt(self, number: int, path: str, request_id: str) -> None:
        """Send one attempt of a certain request to an instance."""
        customer, key = 't2', environment.KEYS['t2'][0]
        sent_s = time.monotonic()
        response = machines.send_request(
            self._environment.caller_relays[number].address,
            path,
            request_id,
            key,
            'POST',
            b'data',
            environment.DEADLINE_MS,
        )
        self.requests.append(
            checks.ObservedRequest(
                request_id,
                number,
                customer,
                key,
                True,
                sent_s,
                time.monotonic(),
                *response,
                min(
                    environment.DEADLINE_MS / 1000, environment.ROUTE_TIMEOUT_S
                ),
            )
        )

    def make_id(self) -> str:
        """Return a request id that was not used before."""
        return f'{next(self._ids):016x}'

    def send_requests(self, until_s: float) -> None:
        """Send drawn requests at the rate until the given time."""
        rng = random.Random(self._seed)
        threads = []
        at_s = time.monotonic()
        while at_s < until_s:
            at_s += rng.expovariate(self._rate)
            time.sleep(max(0.0, at_s - time.monotonic()))
            request_rng = random.Random(rng.random())
            thread = threading.Thread(
                target=self.send_request, args=(request_rng,)
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join()
