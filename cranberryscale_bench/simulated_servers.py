"""Backend servers in simulated time, from a seed."""

import random as random_module
from typing import NamedTuple

from cranberryscale.version import configuration


__all__ = ['HOP_S', 'SimulatedServer', 'ServiceProfile', 'make_configuration']

# One-way network delay.
HOP_S = 0.001
# Service times are lognormal; with this sigma the mean is 1.133 times the
# median.
SERVICE_TIME_SIGMA = 0.5
MEAN_TO_MEDIAN_RATIO = 1.133


class ServiceProfile(NamedTuple):
    """Size of one service of a user and its usual load.

    `load_ratio` is the offered part of the capacity of all slots, and
    `service_s` the median service time in seconds.
    """

    name: str
    slots: int
    service_s: float
    servers: int
    domains: int = 3
    load_ratio: float = 0.6
    instances: int = 44


class SimulatedServer:
    """Backend server that sheds requests above its capacity.

    `capacity` is the number of requests it can run at the same time, and
    `peak_ratio` the largest ratio of running requests to it.
    """

    def __init__(
        self,
        published: configuration.BackendServer,
        service_s: float,
        random: random_module.Random,
    ):
        self.published = published
        self.name = published.name
        self.capacity = published.slots
        self.slow_factor = 1.0
        self.wrong_ratio = 0.0
        self.wrong_outcome = 'wrong'
        self.error_ratio = 0.005
        self.is_silent = False
        self.paused_until_s = 0.0
        self.paused_s = 0.0
        self.running = 0
        self.peak_ratio = 0.0
        self._service_s = service_s
        self._random = random

    def start_cold(self) -> None:
        """Reduce the capacity to the cold slots; completions raise it."""
        self.capacity = self.published.cold_slots
        self._warm_completions = 0

    def start_request(
        self, now_s: float, remaining_s: float
    ) -> tuple[str, float]:
        """Start a request; return its outcome and its duration."""
        self.running += 1
        self.peak_ratio = max(self.peak_ratio, self.running / self.capacity)
        if self.running > self.capacity:
            return 'shed', HOP_S
        draw_uniform = self._random.random
        duration_s = self._service_s * self._random.lognormvariate(
            0, SERVICE_TIME_SIGMA
        )
        duration_s *= self.slow_factor
        if now_s < self.paused_until_s:
            duration_s += self.paused_until_s - now_s
        if self.is_silent or duration_s > remaining_s:
            return 'silent', remaining_s
        if draw_uniform() < self.wrong_ratio:
            return self.wrong_outcome, duration_s
        return (
            'error' if draw_uniform() < self.error_ratio else 'ok'
        ), duration_s

    def finish_request(self, outcome: str) -> None:
        """Release the slot of a request, and ramp up a cold server."""
        self.running -= 1
        if outcome == 'ok' and self.capacity < self.published.slots:
            self._warm_completions += 1
            if self._warm_completions >= self.published.ramp_completions:
                self._warm_completions = 0
                self.capacity += 1


def make_configuration(
    profile: ServiceProfile, floor_fraction: float = 0.5
) -> configuration.Configuration:
    """Return a configuration of one service spread over the domains."""
    servers = {
        f's{number}': configuration.BackendServer(
            f's{number}',
            'app',
            f'd{number % profile.domains}',
            f'127.0.0.1:{number}',
            profile.slots,
        )
        for number in range(profile.servers)
    }
    return configuration.Configuration(
        services={'app': configuration.Service('app', floor_fraction)},
        servers=servers,
    )
