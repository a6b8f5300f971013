"""Discrete event simulation of gossip and leases in a fleet.

Pulls and replies arrive after random delays, and may be lost, duplicated and
reordered. Every process has a clock with its own offset and rate, so code that
compares the clocks of two processes fails.
"""

import datetime
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

from cranberryscale import messages
from cranberryscale.process import leases
from cranberryscale.process import membership
from cranberryscale.version import settings
from cranberryscale.version import view


__all__ = [
    'GossipFleet',
    'Process',
    'make_lease_terms',
    'make_view',
    'to_timedelta',
]


def to_timedelta(seconds: float) -> datetime.timedelta:
    """Return a number of seconds as a timedelta."""
    return datetime.timedelta(seconds=seconds)


def make_lease_terms(
    lease_settings: settings.LeaseSettings,
) -> leases.LeaseTerms:
    """Return the lease terms of the settings."""
    return leases.LeaseTerms(
        to_timedelta(lease_settings.lease_s),
        to_timedelta(lease_settings.suspect_s),
        lease_settings.drift_ratio,
    )


def make_view(
    count: int, version: int = 1, first: int = 0
) -> view.MembershipView:
    """Return a view of `count` members in three failure domains.

    Names are numbered from `first`.
    """
    return view.MembershipView(
        version,
        tuple(
            view.Member(f'i{n:03}', f'd{n % 3}', '', '', '')
            for n in range(first, first + count)
        ),
    )


class Process(NamedTuple):
    """Incarnation of a member, with the rate and offset of its clock."""

    name: str
    member: membership.Membership
    clock_rate: float
    clock_offset_s: float

    def read_clock(self, at: float) -> datetime.timedelta:
        """Return the reading of this clock at a simulated time in s."""
        return to_timedelta(self.clock_offset_s + at * self.clock_rate)


class GossipFleet:
    """Processes that gossip in simulated time; times are in seconds.

    `blocked_links` are pairs of names (from, to) between which no message
    is delivered. `loss_ratio` and `duplicate_ratio` apply to each message, and
    `delay_range_s` is the range of its delay.
    """

    def __init__(
        self,
        published: view.MembershipView,
        seed: int,
        lease_settings: settings.LeaseSettings,
    ):
        self.now = 0.0
        self.lease_settings = lease_settings
        self.random = random.Random(seed)
        self.blocked_links: set[tuple[str, str]] = set()
        self.loss_ratio = 0.0
        self.duplicate_ratio = 0.0
        self.delay_range_s = (0.001, 0.01)
        self.sent_bytes = 0
        self.processes: dict[str, Process] = {}
        self._resume_at: dict[int, float] = {}
        self._stopped: set[int] = set()
        self._incarnations = itertools.count(1)
        self._events: list[tuple[float, int, Any]] = []
        self._sequence = itertools.count()
        self._views: dict[int, view.MembershipView] = {}
        for member in published.members:
            self.start(member.name, published)

    @property
    def paused_until(self) -> float:
        """Return the time at which the last pause ends."""
        return max(self._resume_at.values(), default=0.0)

    def start(self, name: str, published: view.MembershipView) -> Process:
        """Start a new incarnation; earlier ones continue to run."""
        drift = self.lease_settings.drift_ratio / 2
        clock_rate = 1 + self.random.uniform(-drift, drift)
        clock_offset_s = self.random.uniform(1000, 100000)
        now = to_timedelta(clock_offset_s + self.now * clock_rate)
        table = leases.LeaseTable(
            name,
            next(self._incarnations),
            make_lease_terms(self.lease_settings),
            now,
        )
        member = membership.Membership(table, now)
        process = Process(name, member, clock_rate, clock_offset_s)
        self.processes[name] = process
        member.load_view(published, now)
        wait_s = self.random.uniform(0, self.lease_settings.gossip_s)
        self._schedule(wait_s, process, self._pull)
        return process

    def stop(self, process: Process) -> None:
        """Stop a process without notice."""
        self._stopped.add(id(process.member))
        if self.processes.get(process.name) is process:
            del self.processes[process.name]

    def pause(self, process: Process, seconds: float) -> None:
        """Pause a process; it handles the messages of that time afterwards."""
        self._resume_at[id(process.member)] = self.now + seconds

    def publish(
        self, published: view.MembershipView, names: Any = None
    ) -> None:
        """Deliver a view to the processes with these names, or to all."""
        for process in tuple(self.processes.values()):
            if names is None or process.name in names:
                self._schedule(0, process, self._load_view, published)

    def partition(self, side: frozenset[str], other: frozenset[str]) -> None:
        """Block all messages between two sides of a partition."""
        self.blocked_links |= {(a, b) for a in side for b in other}
        self.blocked_links |= {(b, a) for a in side for b in other}

    def run(self, seconds: float) -> None:
        """Process the events of the next seconds."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, (process, action, arguments) = heapq.heappop(
                self._events
            )
            resume_at = self._resume_at.get(id(process.member), 0)
            if id(process.member) in self._stopped:
                continue
            if resume_at > self.now:
                self._schedule(
                    resume_at - self.now, process, action, *arguments
                )
            else:
                action(process, *arguments)
        self.now = until

    def list_holders(
        self, resource: view.LeasedResource, extra: tuple[Process, ...] = ()
    ) -> list[Process]:
        """Return the processes, including `extra`, that have the lease now."""
        return [
            process
            for process in (*self.processes.values(), *extra)
            if process.member.table.find_lease(
                resource, process.read_clock(self.now)
            )
        ]

    def _schedule(
        self, wait_s: float, process: Process, action: Any, *arguments: Any
    ) -> None:
        event = (process, action, arguments)
        heapq.heappush(
            self._events, (self.now + wait_s, next(self._sequence), event)
        )

    def _load_view(
        self, process: Process, published: view.MembershipView
    ) -> None:
        process.member.load_view(published, process.read_clock(self.now))

    def _send(
        self, source: str, target: Process, action: Any, *arguments: Any
    ) -> None:
        copies = 1 + (self.random.random() < self.duplicate_ratio)
        for _ in range(copies):
            if (source, target.name) in self.blocked_links:
                continue
            if self.random.random() >= self.loss_ratio:
                wait_s = self.random.uniform(*self.delay_range_s)
                self._schedule(wait_s, target, action, *arguments)

    def _pull(self, process: Process) -> None:
        self._schedule(self.lease_settings.gossip_s, process, self._pull)
        now = process.read_clock(self.now)
        member = process.member
        target = member.choose_peer(self.random, self._find_parent(process))
        if target is None:
            return
        body = messages.encode(member.make_pull(target, now, {}))
        self.sent_bytes += len(body)
        receiver = self.processes.get(target)
        if receiver is not None:
            self._send(
                process.name, receiver, self._handle_pull, process, body, now
            )
        if member.view_to_fetch and member.view_to_fetch[0] in self.processes:
            source = self.processes[member.view_to_fetch[0]]
            if (source.name, process.name) not in self.blocked_links:
                member.merge_view(source.member.table.view, now)

    def _handle_pull(
        self,
        process: Process,
        sender: Process,
        body: bytes,
        sent_at: datetime.timedelta,
    ) -> None:
        reply = process.member.answer_pull(
            messages.decode(body), process.read_clock(self.now), {}
        )
        body = messages.encode(reply)
        self.sent_bytes += len(body)
        self._send(
            process.name,
            sender,
            self._handle_reply,
            process.name,
            body,
            sent_at,
        )

    def _handle_reply(
        self,
        process: Process,
        sender: str,
        body: bytes,
        sent_at: datetime.timedelta,
    ) -> None:
        process.member.merge_reply(
            sender,
            messages.decode(body),
            sent_at,
            process.read_clock(self.now),
        )

    def _find_parent(self, process: Process) -> str | None:
        """Return one of the first two members of the failure domain.

        Return None for these two themselves and for members not listed.
        """
        published = process.member.table.view
        own = published.find_member(process.name)
        if own is None:
            return None
        first = [
            m.name for m in view.list_scope_members(published, own.domain)[:2]
        ]
        return None if process.name in first else self.random.choice(first)
