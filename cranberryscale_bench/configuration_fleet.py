"""A fleet's configuration decisions, driven by fake messages and time.

Instances run the real acceptance, election and confirmation code. The
service, the messages and the members' signs of life are small fakes.
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


__all__ = ['CHANGE_S', 'END_S', 'MEMBERS', 'Fault', 'Fleet', 'Service']

MEMBERS = 44
DOMAINS = ('d0', 'd1', 'd2')
STEP_S = 0.05
GOSSIP_S = 0.5
SUSPECT_S = 5.0
CONNECT_TIMEOUT_S = 1.0
CHANGE_S = 30.0
END_S = 45.0
KEY = 'bench-key'


class Fault(NamedTuple):
    """Describe when the service and messages fail; times in seconds.

    `reaches(instance, now)` tells whether an instance reaches the service,
    `connects(a, b, now)` whether two instances reach each other, `runs`
    whether an instance runs. `is_stale(now)` makes the service serve its
    first version. `counted` are the instances whose configuration counts,
    `known_s` is when anybody could first know of the change, and
    `refusal_bound` is the target for keyed requests refused before, 0 if
    none applies.
    """

    reaches: Callable[[int, float], bool] = lambda i, now: True
    connects: Callable[[int, int, float], bool] = lambda a, b, now: True
    runs: Callable[[int, float], bool] = lambda i, now: True
    is_stale: Callable[[float], bool] = lambda now: False
    loss: float = 0.0
    counted: frozenset[int] = frozenset(range(MEMBERS))
    known_s: float = CHANGE_S
    refusal_bound: float = 0.0


def _make_offer(version: int) -> subtrees.UncheckedSubtree:
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


_OFFERS = {version: _make_offer(version) for version in (1, 2)}


def _to_delta(seconds: float) -> datetime.timedelta:
    return datetime.timedelta(seconds=seconds)


class Service:
    def __init__(self, fault: Fault):
        self._fault = fault
        self.calls = 0

    def find_version(self, now: float) -> int:
        return 1 if now < CHANGE_S or self._fault.is_stale(now) else 2


class Instance:
    """Drive one instance's real decisions from fake messages."""

    def __init__(self, number: int, phase: float, members: int):
        self.number = number
        self._members = members
        self.name = f'i{number:02}'
        self.tree = tree.ConfigurationTree()
        terms = confirmation.DisseminationTerms()
        self.spread = dissemination.Dissemination(
            self.name, terms, _to_delta(0)
        )
        self.signs: dict[str, tuple[float, datetime.timedelta | None]] = {}
        self.next_pull = self.next_gossip = phase
        self.seen = 0
        self.call: tuple[float, float] | None = None
        self.reverts = 0

    @property
    def version(self) -> int:
        return self.tree.versions.get('t', 0)

    def serves_key(self, now: float) -> bool:
        published = self.tree.configuration.keys.get(keys.digest_key(KEY))
        if published is None or published.withdrawn:
            return False
        heard = [
            confirmation.HeartbeatAges(_to_delta(now - at), age)
            for name, (at, age) in self.signs.items()
            if name != self.name
        ]
        return self.spread.decide_keyed(
            _to_delta(now), heard, self._members
        ).serves

    def call_service(self, now: float, service: Service, fault: Fault):
        if self.call is None:
            if not self.spread.should_read(_to_delta(now)):
                return
            service.calls += 1
            self.call = (now, now + 0.5 * 17 / 16)
        sent_at, until = self.call
        if not fault.reaches(self.number, now):
            if now >= sent_at + CONNECT_TIMEOUT_S:
                self.call = None
                self.spread.record_service_failure(_to_delta(now))
            return
        version = service.find_version(now)
        if now < until and version == self.seen:
            return
        self.call, self.seen = None, version
        before = self.version
        # A change costs a second call that reads the documents.
        service.calls += version != before
        self.tree.apply_subtrees([_OFFERS[version]])
        self.reverts += self.version < before
        self.spread.record_service_answer(
            _to_delta(sent_at),
            _to_delta(now),
            self.tree.is_covered_by({'t': version}),
        )

    def pull(self, other: 'Instance', now: float, is_full: bool) -> None:
        at = _to_delta(now)
        if other.spread.record_pull_age(
            self.name, self.spread.find_confirmation_age(at), at
        ):
            other.next_pull = now
        if self.tree.is_behind(other.tree.versions):
            before = self.version
            self.tree.apply_records(
                other.tree.make_records(self.tree.versions)
            )
            self.reverts += self.version < before
        self.spread.record_pull_reply(
            other.name,
            other.spread.make_confirmation(at),
            at,
            at,
            not self.tree.is_behind(other.tree.versions),
        )
        if is_full:
            other.signs[other.name] = (
                now,
                other.spread.find_confirmation_age(at),
            )
            for name, sign in other.signs.items():
                if sign[0] > self.signs.get(name, (-1.0, None))[0]:
                    self.signs[name] = sign


class Fleet:
    """Step all instances and note what a caller would see."""

    def __init__(self, fault: Fault, seed: int, members: int = MEMBERS):
        self._random = random.Random(seed)
        self._fault = fault
        self.service = Service(fault)
        self.instances = [
            Instance(n, self._random.random() * GOSSIP_S, members)
            for n in range(members)
        ]
        self._names = {one.name: one for one in self.instances}
        self.listed = view.MembershipView(
            1,
            tuple(
                view.Member(one.name, DOMAINS[one.number % 3], '', '', '')
                for one in self.instances
            ),
        )
        self.in_force_s: dict[int, float] = {}
        self.key_served_s = 0.0
        self.refused_steps = self.steps = 0

    def run(self) -> 'Fleet':
        for step in range(int(END_S / STEP_S)):
            now = step * STEP_S
            for one in self.instances:
                if self._fault.runs(one.number, now):
                    self._step(one, now)
            if now >= CHANGE_S - 10:
                self._observe(now)
        return self

    def _step(self, one: Instance, now: float) -> None:
        if one.next_gossip <= now:
            hurry = 2 if one.spread.should_gossip_faster(_to_delta(now)) else 1
            one.next_gossip = now + GOSSIP_S / hurry
            self._suspect(one, now)
            name = self._random.choice(sorted(self._names))
            self._pull(one, name, now, True)
        one.call_service(now, self.service, self._fault)
        if one.next_pull <= now:
            one.next_pull = now + one.spread.pull_interval.total_seconds()
            for name in one.spread.list_pull_targets(_to_delta(now)):
                self._pull(one, name, now, False)

    def _suspect(self, one: Instance, now: float) -> None:
        suspected = frozenset(
            name
            for name in self._names
            if now > SUSPECT_S
            and now - one.signs.get(name, (0.0, None))[0] > SUSPECT_S
        )
        one.spread.load_members(self.listed, suspected)

    def _pull(
        self, one: Instance, name: str, now: float, is_full: bool
    ) -> None:
        other = self._names[name]
        if other is one:
            return
        fails = (
            not self._fault.runs(other.number, now)
            or not self._fault.connects(one.number, other.number, now)
            or self._random.random() < self._fault.loss
        )
        if fails:
            one.spread.record_pull_failure(name, _to_delta(now))
        else:
            one.pull(other, now, is_full)

    def _observe(self, now: float) -> None:
        for one in self.instances:
            if not self._fault.runs(one.number, now):
                continue
            if one.version > 1 and one.number in self._fault.counted:
                self.in_force_s.setdefault(one.number, now)
            serves = one.serves_key(now)
            if now < CHANGE_S:
                self.steps += 1
                self.refused_steps += not serves
            elif serves:
                self.key_served_s = now
