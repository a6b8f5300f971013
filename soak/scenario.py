"""One run of the soak test: real programs, callers and faults of a seed."""

import pathlib
import random
import threading
import time
from typing import NamedTuple

from soak import callers
from soak import checks
from soak import environment
from soak import faults
from soak import injection


__all__ = ['ScenarioReport', 'run_scenario']

# After the last fault, servers may still be getting probe requests and
# instances may still be starting.
RECOVERY_WAIT_S = 6.0


class ScenarioReport(NamedTuple):
    """Counts of one run and the violations that it found.

    `repeats_ratio` is the largest part of the bound on repeats that a window
    of a service uses.
    """

    seed: int
    requests: int
    served: int
    faults: int
    violations: tuple[checks.Violation, ...]
    repeats_ratio: float = 0.0


class _Scenario:
    """The callers and faults of one run against a soak environment."""

    def __init__(
        self,
        soak_environment: environment.SoakEnvironment,
        seed: int,
        seconds: float,
        rate: float,
        plan: str,
    ):
        self._environment = soak_environment
        self._seed = seed
        self._seconds = seconds
        self._plan = plan
        self._callers = callers.Callers(soak_environment, seed, rate)
        self._injector = injection.FaultInjector(
            soak_environment, self._callers
        )

    def run(self) -> ScenarioReport:
        """Send requests while faults are injected, then check the promises."""
        started_s = time.monotonic()
        until_s = started_s + self._seconds
        sender = threading.Thread(
            target=self._callers.send_requests, args=(until_s,)
        )
        sender.start()
        fault_threads = []
        for fault in faults.draw_faults(self._seed, self._seconds, self._plan):
            time.sleep(max(0.0, started_s + fault.start_s - time.monotonic()))
            thread = threading.Thread(
                target=self._injector.apply_fault, args=(fault,)
            )
            thread.start()
            fault_threads.append(thread)
        for thread in fault_threads:
            thread.join()
        sender.join()
        time.sleep(RECOVERY_WAIT_S)
        recovery_s = time.monotonic()
        rng = random.Random(self._seed)
        for _ in range(4 * len(self._environment.instances)):
            self._callers.send_request(rng, can_leave=False)
        return self._check(recovery_s)

    def _check(self, recovery_s: float) -> ScenarioReport:
        # A server may still run requests whose callers gave up.
        time.sleep(max(self._environment.load.deadlines_ms) / 1000)
        injector = self._injector
        requests = tuple(self._callers.requests)
        arrivals = {
            s.name: tuple(s.arrivals) for s in self._environment.servers
        }
        violations = checks.check_all(
            requests,
            tuple(self._environment.executed),
            tuple(injector.withdrawn),
            tuple(injector.drained),
            tuple(injector.graceful_stops),
            tuple(injector.disturbances),
            arrivals,
            tuple(injector.limits),
            tuple(injector.leaving),
            recovery_s,
            tuple(w for s in self._environment.servers for w in s.work),
            tuple(injector.link_faults),
            tuple(injector.interruptions),
            tuple(injector.deadly),
        )
        return ScenarioReport(
            self._seed,
            len(requests),
            sum(request.status == 200 for request in requests),
            injector.applied_faults,
            (*injector.violations, *violations),
            max(
                ratio
                for _, ratio, *_ in checks.list_most_repeats(
                    requests, arrivals
                )
            ),
        )


def run_scenario(
    folder: pathlib.Path,
    seed: int,
    seconds: float = 15.0,
    instances: int = 4,
    servers: int = 4,
    rate_per_s: float = 30.0,
    plan: str = 'mixed',
) -> ScenarioReport:
    """Run the scenario of a seed; the instances' logs stay in `folder`."""
    soak_environment = environment.SoakEnvironment(
        folder, instances, servers, environment.LOADS[plan]
    )
    try:
        soak_environment.start()
        return _Scenario(
            soak_environment, seed, seconds, rate_per_s, plan
        ).run()
    finally:
        soak_environment.close()
