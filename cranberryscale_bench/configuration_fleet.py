"""Simulation of how a configuration spreads through a fleet.

Instances run the production code that accepts configuration, elects readers
and confirms versions. The configuration service, the messages and the
heartbeats are test doubles, and time moves in steps of STEP_S.
"""

import datetime
import hashlib
import random
from typing import Callable
from typing import NamedTuple

from cranberryscale.process import confirmation
from cranberryscale.process import dissemination
from cranberryscale.version import keys
from cranberryscale.version import subtrees
from cranberryscale.version import tree
from cranberryscale.version import view


__all__ = [
    'CHANGE_S',
    'END_S',
    'MEMBERS',
    'ConfigurationFault',
    'ConfigurationFleet',
    'FakeConfigurationService',
]

MEMBERS = 44
DOMAINS = ('d0', 'd1', 'd2')
STEP_S = 0.05
GOSSIP_INTERVAL_S = 0.5
SUSPECT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
CHANGE_S = 30.0
END_S = 45.0
KEY = 'bench-key'


class ConfigurationFault(NamedTuple):
    """Faults of service, network and instances; times are in seconds.

    `can_reach_service(instance, now)` returns whether an instance reaches the
    service, `can_connect(a, b, now)` whether two instances reach each other,
    and `runs(instance, now)` whether an instance runs. While
    `is_stale(now)`, the service serves its first version. `loss` is the ratio
    of lost messages. `measured` are the instances in which the new
    configuration must be in force, and `first_known_s` is the earliest time
    at which an instance can know of the change. `refusal_bound` is the largest
    permitted ratio of keyed requests refused before the change, 0 if none
    applies.
    """

    can_reach_service: Callable[[int, float], bool] = lambda i, now: True
    can_connect: Callable[[int, int, float], bool] = lambda a, b, now: True
    runs: Callable[[int, float], bool] = lambda i, now: True
    is_stale: Callable[[float], bool] = lambda now: False
    loss: float = 0.0
    measured: frozenset[int] = frozenset(range(MEMBERS))
    first_known_s: float = CHANGE_S
    refusal_bound: float = 0.0


def _make_subtree(version: int) -> subtrees.UncheckedSubtree:
    withdrawn = 'true' if version > 1 else 'false'
    text = (
        '[[customers]]\nname = "c"\nrate_per_s = 1\nburst_requests = 1\n'
        f'[[keys]]\ndigest = "{keys.digest_key(KEY)}"\ncustomer = "c"\n'
        f'withdrawn = {withdrawn}\n'
    )
    digest = hashlib.sha256(text.encode()).hexdigest()
    manifest = (
        f'version = {version}\nowner = "o"\nchanged_by = "c"\n'
        f'[documents]\n"a.toml" = "{digest}"\n'
    )
    return subtrees.UncheckedSubtree(
        't', {'a.toml': text, 'manifest.toml': manifest}
    )


_SUBTREES = {version: _make_subtree(version) for version in (1, 2)}


def _to_timedelta(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


class FakeConfigurationService:
    """Service whose version becomes 2 at CHANGE_S, with a count of calls."""

    def __init__(self, fault: ConfigurationFault):
        self._fault = fault
        self.calls = 0

    def find_version(self, now: float) -> int:
        """Return the version that the service serves."""
        return 1 if now < CHANGE_S or self._fault.is_stale(now) else 2


class ConfigurationInstance:
    """Configuration and dissemination state of one instance."""

    def __init__(self, number: int, first_gossip_s: float, member_count: int):
        self.number = number
        self._member_count = member_count
        self.name = f'i{number:02}'
        self.tree = tree.ConfigurationTree()
        terms = confirmation.DisseminationTerms()
        self.disseminator = dissemination.Dissemination(
            self.name, terms, _to_timedelta(0)
        )
        self.heartbeats: dict[
            str, tuple[float, datetime.timedelta | None]
        ] = {}
        self.next_pull_s = self.next_gossip_s = first_gossip_s
        self.seen_version = 0
        self.open_call: tuple[float, float] | None = None
        self.reverts = 0

    @property
    def version(self) -> int:
        """Return the version in force, 0 if none."""
        return self.tree.versions.get('t', 0)

    def is_key_accepted(self, now: float) -> bool:
        """Return whether a request with KEY would be served."""
        published_key = self.tree.configuration.keys.get(keys.digest_key(KEY))
        if published_key is None or published_key.withdrawn:
            return False
        peer_ages = [
            confirmation.HeartbeatAges(_to_timedelta(now - at), age)
            for name, (at, age) in self.heartbeats.items()
            if name != self.name
        ]
        return self.disseminator.decide_keyed(
            _to_timedelta(now), peer_ages, self._member_count
        ).serves

    def call_service(
        self,
        now: float,
        service: FakeConfigurationService,
        fault: ConfigurationFault,
    ):
        """Start, continue or end a watch call to the service."""
        if self.open_call is None:
            if not self.disseminator.should_read(_to_timedelta(now)):
                return
            service.calls += 1
            # The service may add jitter of up to 1/16 to the wait.
            self.open_call = (now, now + 0.5 * 17 / 16)
        sent_at, until = self.open_call
        if not fault.can_reach_service(self.number, now):
            if now >= sent_at + CONNECT_TIMEOUT_S:
                self.open_call = None
                self.disseminator.record_service_failure(_to_timedelta(now))
            return
        version = service.find_version(now)
        if now < until and version == self.seen_version:
            return
        self.open_call, self.seen_version = None, version
        previous_version = self.version
        # After a change, a second call reads the documents.
        service.calls += version != previous_version
        self.tree.apply_subtrees([_SUBTREES[version]])
        self.reverts += self.version < previous_version
        self.disseminator.record_service_answer(
            _to_timedelta(sent_at),
            _to_timedelta(now),
            self.tree.is_covered_by({'t': version}),
        )

    def pull_from(
        self, other: 'ConfigurationInstance', now: float, is_gossip: bool
    ) -> None:
        """Pull confirmations and newer subtrees from another instance.

        Gossip also brings the heartbeats that the other instance knows.
        """
        at = _to_timedelta(now)
        if other.disseminator.record_pull_age(
            self.name, self.disseminator.find_confirmation_age(at), at
        ):
            other.next_pull_s = now
        if self.tree.is_behind(other.tree.versions):
            previous_version = self.version
            self.tree.apply_records(
                other.tree.make_records(self.tree.versions)
            )
            self.reverts += self.version < previous_version
        self.disseminator.record_pull_reply(
            other.name,
            other.disseminator.make_confirmation(at),
            at,
            at,
            not self.tree.is_behind(other.tree.versions),
        )
        if is_gossip:
            other.heartbeats[other.name] = (
                now,
                other.disseminator.find_confirmation_age(at),
            )
            for name, heartbeat in other.heartbeats.items():
                if heartbeat[0] > self.heartbeats.get(name, (-1.0, None))[0]:
                    self.heartbeats[name] = heartbeat


class ConfigurationFleet:
    """Instances in simulated time, with the effects that callers would see.

    `in_force_at_s` maps instances to when the new configuration came into
    force there, and `last_key_served_s` is when the withdrawn key was last
    accepted. `steps` counts observations of instances before the change, and
    `refused_steps` those in which the key was refused.
    """

    def __init__(
        self, fault: ConfigurationFault, seed: int, member_count: int = MEMBERS
    ):
        self._random = random.Random(seed)
        self._fault = fault
        self.service = FakeConfigurationService(fault)
        self.instances = [
            ConfigurationInstance(
                n, self._random.random() * GOSSIP_INTERVAL_S, member_count
            )
            for n in range(member_count)
        ]
        self._names = {instance.name: instance for instance in self.instances}
        self.published_view = view.MembershipView(
            1,
            tuple(
                view.Member(
                    instance.name, DOMAINS[instance.number % 3], '', '', ''
                )
                for instance in self.instances
            ),
        )
        self.in_force_at_s: dict[int, float] = {}
        self.last_key_served_s = 0.0
        self.refused_steps = self.steps = 0

    def run(self) -> 'ConfigurationFleet':
        """Run from 0 to END_S; return the fleet itself."""
        for step in range(int(END_S / STEP_S)):
            now = step * STEP_S
            for instance in self.instances:
                if self._fault.runs(instance.number, now):
                    self._step_instance(instance, now)
            if now >= CHANGE_S - 10:
                self._record_observations(now)
        return self

    def _step_instance(
        self, instance: ConfigurationInstance, now: float
    ) -> None:
        if instance.next_gossip_s <= now:
            speedup = (
                2
                if instance.disseminator.should_gossip_faster(
                    _to_timedelta(now)
                )
                else 1
            )
            instance.next_gossip_s = now + GOSSIP_INTERVAL_S / speedup
            self._update_suspicions(instance, now)
            name = self._random.choice(sorted(self._names))
            self._pull_peer(instance, name, now, True)
        instance.call_service(now, self.service, self._fault)
        if instance.next_pull_s <= now:
            instance.next_pull_s = (
                now + instance.disseminator.pull_interval.total_seconds()
            )
            for name in instance.disseminator.list_pull_targets(
                _to_timedelta(now)
            ):
                self._pull_peer(instance, name, now, False)

    def _update_suspicions(
        self, instance: ConfigurationInstance, now: float
    ) -> None:
        suspected = frozenset(
            name
            for name in self._names
            if now > SUSPECT_S
            and now - instance.heartbeats.get(name, (0.0, None))[0] > SUSPECT_S
        )
        instance.disseminator.load_members(self.published_view, suspected)

    def _pull_peer(
        self,
        instance: ConfigurationInstance,
        name: str,
        now: float,
        is_gossip: bool,
    ) -> None:
        other = self._names[name]
        if other is instance:
            return
        is_lost = (
            not self._fault.runs(other.number, now)
            or not self._fault.can_connect(instance.number, other.number, now)
            or self._random.random() < self._fault.loss
        )
        if is_lost:
            instance.disseminator.record_pull_failure(name, _to_timedelta(now))
        else:
            instance.pull_from(other, now, is_gossip)

    def _record_observations(self, now: float) -> None:
        for instance in self.instances:
            if not self._fault.runs(instance.number, now):
                continue
            if (
                instance.version > 1
                and instance.number in self._fault.measured
            ):
                self.in_force_at_s.setdefault(instance.number, now)
            is_accepted = instance.is_key_accepted(now)
            if now < CHANGE_S:
                self.steps += 1
                self.refused_steps += not is_accepted
            elif is_accepted:
                self.last_key_served_s = now
