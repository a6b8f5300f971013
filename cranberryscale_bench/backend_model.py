"""Model of backend servers in simulated time, from a seed."""

import random as random_module
from typing import NamedTuple

from cranberryscale.version import configuration


__all__ = ['HOP_S', 'Server', 'Size', 'make_configuration']

HOP_S = 0.001
# Spread of lognormal service times; the mean is 1.133 times the median.
SIGMA = 0.5
MEAN_FACTOR = 1.133


class Size(NamedTuple):
    """Describe a user's usual load on one service."""

    name: str
    slots: int
    service_s: float
    servers: int
    domains: int = 3
    load: float = 0.6
    instances: int = 44


class Server:
    """Model one backend server.

    `capable` is how many requests it can run; more than that are shed.
    """

    def __init__(
        self,
        published: configuration.BackendServer,
        service_s: float,
        random: random_module.Random,
    ):
        self.published = published
        self.name = published.name
        self.capable = published.slots
        self.slow_factor = 1.0
        self.wrong_ratio = 0.0
        self.wrong_outcome = 'wrong'
        self.error_ratio = 0.005
        self.is_silent = False
        self.pause_until_s = 0.0
        self.paused_s = 0.0
        self.running = 0
        self.peak_ratio = 0.0
        self._service_s = service_s
        self._random = random

    def turn_cold(self) -> None:
        """Run only the cold slots until enough requests completed."""
        self.capable = self.published.cold_slots
        self._warm_completions = 0

    def run(self, now_s: float, remaining_s: float) -> tuple[str, float]:
        """Start a request; return its outcome and how long it takes."""
        self.running += 1
        self.peak_ratio = max(self.peak_ratio, self.running / self.capable)
        if self.running > self.capable:
            return 'shed', HOP_S
        draw = self._random.random
        took_s = self._service_s * self._random.lognormvariate(0, SIGMA)
        took_s *= self.slow_factor
        if now_s < self.pause_until_s:
            took_s += self.pause_until_s - now_s
        if self.is_silent or took_s > remaining_s:
            return 'silent', remaining_s
        if draw() < self.wrong_ratio:
            return self.wrong_outcome, took_s
        return ('error' if draw() < self.error_ratio else 'ok'), took_s

    def finish(self, outcome: str) -> None:
        """End a request."""
        self.running -= 1
        if outcome == 'ok' and self.capable < self.published.slots:
            self._warm_completions += 1
            if self._warm_completions >= self.published.ramp_completions:
                self._warm_completions = 0
                self.capable += 1


def make_configuration(
    size: Size, floor_fraction: float = 0.5
) -> configuration.Configuration:
    """Return a configuration with one service spread over the domains."""
    servers = {
        f's{number}': configuration.BackendServer(
            f's{number}',
            'app',
            f'd{number % size.domains}',
            f'127.0.0.1:{number}',
            size.slots,
        )
        for number in range(size.servers)
    }
    return configuration.Configuration(
        services={'app': configuration.Service('app', floor_fraction)},
        servers=servers,
    )
