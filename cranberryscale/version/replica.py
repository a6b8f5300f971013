"""What an instance believes of the store, and in which version.

A store holds entries under keys, each with the revision of its last change.
Instances read it or learn it from each other, in any order and more than
once, so an entry is replaced only by one of a later revision.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = [
    'EntryChange',
    'Evacuation',
    'Policy',
    'ReplicaEvent',
    'RequestLimits',
    'ServerEntry',
    'StoreReplica',
]

# A server that lost its entry while the store was away writes it again
# within about two seconds of the store's return.
REMOVAL_GRACE = datetime.timedelta(seconds=2)
# Removals are remembered for those who learn of changes late.
REMOVALS_KEPT = 4096


class EntryChange(NamedTuple):
    """Describe one entry as of a revision; `body` None means removed."""

    key: str
    revision: int
    body: bytes | None = None


class ServerEntry(NamedTuple):
    """Hold what a backend server says of itself.

    `warmup_left` is how long it stays cold from when the entry was written.
    `started_ms` is the Unix time of its start, which tells two lives of
    one name apart.
    """

    name: str
    service: str
    domain: str
    address: str
    slots: int
    is_draining: bool = False
    warmup_left: datetime.timedelta = datetime.timedelta(0)
    started_ms: int = 0


class RequestLimits(NamedTuple):
    """Bound what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Policy(NamedTuple):
    """Hold one version of what operators set, without backend servers."""

    version: int
    configuration: configuration.Configuration
    limits: RequestLimits


class Evacuation(NamedTuple):
    """Say that a failure domain's backend servers get nothing new."""

    domain: str


DecodedEntry = ServerEntry | Policy | Evacuation


class ReplicaEvent(NamedTuple):
    """Describe a change of belief, for the log."""

    event: str
    subject: str
    revision: int
    detail: str = ''


class StoreReplica:
    """Hold the entries and derive the configuration in force.

    `decode(key, body)` returns a fact, or None for a key of no interest,
    and raises DocumentInvalid.
    """

    def __init__(self, decode: Callable[[str, bytes], DecodedEntry | None]):
        self._decode = decode
        self._changes: dict[str, EntryChange] = {}
        self._facts: dict[str, DecodedEntry] = {}
        self._cold_until: dict[str, datetime.timedelta] = {}
        # Entries whose removal is held back, and until when.
        self._lapsing: dict[str, datetime.timedelta] = {}
        self._hold_until = datetime.timedelta(0)
        self._policy: Policy | None = None
        self._current = configuration.Configuration()
        self.revision = 0

    @property
    def policy(self) -> Policy | None:
        """Return the policy in force, None before the first."""
        return self._policy

    @property
    def current_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current

    def list_changes_since(self, revision: int) -> tuple[EntryChange, ...]:
        """Return the changes after a revision, oldest first."""
        newer = (c for c in self._changes.values() if c.revision > revision)
        return tuple(sorted(newer, key=lambda change: change.revision))

    def apply(
        self,
        changes: Iterable[EntryChange],
        revision: int,
        now: datetime.timedelta,
    ) -> tuple[ReplicaEvent, ...]:
        """Take changes that are complete up to `revision`."""
        events = [
            event for change in changes for event in self._take(change, now)
        ]
        self.revision = max(self.revision, revision)
        return self._finish(events) if events else ()

    def replace(
        self,
        entries: Iterable[EntryChange],
        revision: int,
        now: datetime.timedelta,
    ) -> tuple[ReplicaEvent, ...]:
        """Take all entries as of a revision; others are removed.

        A reading that is older than the belief changes nothing.
        """
        if revision < self.revision:
            return ()
        found = {entry.key: entry for entry in entries}
        gone = (
            EntryChange(key, revision)
            for key, known in self._changes.items()
            if known.body is not None
            and key not in found
            and known.revision <= revision
        )
        return self.apply((*gone, *found.values()), revision, now)

    def defer_removals(self, now: datetime.timedelta) -> None:
        """Hold removals back, since the store has just returned."""
        self._hold_until = now + REMOVAL_GRACE

    def advance(self, now: datetime.timedelta) -> tuple[ReplicaEvent, ...]:
        """Remove what lapsed for good, and end cold starts."""
        over = [key for key, until in self._lapsing.items() if now >= until]
        events = []
        for key in over:
            del self._lapsing[key]
            events += self._remove(key, self._changes[key].revision, now)
        warm = [key for key, at in self._cold_until.items() if now >= at]
        for key in warm:
            del self._cold_until[key]
        if not (over or warm):
            return ()
        return self._finish(events)

    def _take(
        self, change: EntryChange, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        self._changes[change.key] = change
        if change.body is None:
            fact = self._facts.get(change.key)
            if isinstance(fact, ServerEntry) and now < self._hold_until:
                self._lapsing[change.key] = self._hold_until
                return
            yield from self._remove(change.key, change.revision, now)
            return
        self._lapsing.pop(change.key, None)
        try:
            fact = self._decode(change.key, change.body)
        except errors.FleetError as error:
            yield ReplicaEvent(
                'entry_refused', change.key, change.revision, str(error)
            )
            yield from self._refuse(change, now)
            return
        if fact is not None:
            yield from self._accept(change, fact, now)

    def _refuse(
        self, change: EntryChange, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        # A server whose entry cannot be read is not to be used. The last
        # good policy stays in force.
        if isinstance(self._facts.get(change.key), ServerEntry):
            yield from self._remove(change.key, change.revision, now)

    def _accept(
        self, change: EntryChange, fact: DecodedEntry, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        match fact:
            case Policy():
                if self._policy and fact.version <= self._policy.version:
                    yield ReplicaEvent(
                        'policy_stale',
                        change.key,
                        change.revision,
                        f'version {fact.version}',
                    )
                    return
                self._policy = fact
                detail = f'version {fact.version}'
            case ServerEntry():
                self._note_cold(change.key, fact, now)
                detail = 'draining' if fact.is_draining else 'ready'
            case Evacuation():
                detail = 'out'
        self._facts[change.key] = fact
        yield ReplicaEvent(
            'entry_in_force', change.key, change.revision, detail
        )

    def _note_cold(
        self, key: str, entry: ServerEntry, now: datetime.timedelta
    ) -> None:
        if entry.warmup_left > datetime.timedelta(0):
            self._cold_until[key] = now + entry.warmup_left

    def _remove(
        self, key: str, revision: int, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        match self._facts.get(key):
            case None | Policy():
                # Without its policy an instance would refuse everything.
                return
            case Evacuation(domain=domain):
                self._mark_cold(domain, now)
        del self._facts[key]
        self._cold_until.pop(key, None)
        yield ReplicaEvent('entry_removed', key, revision)

    def _mark_cold(self, domain: str, now: datetime.timedelta) -> None:
        # Servers without requests cool down.
        services = self._current.services
        for key, fact in self._facts.items():
            if isinstance(fact, ServerEntry) and fact.domain == domain:
                service = services.get(fact.service)
                if service is not None:
                    self._cold_until[key] = now + service.warmup

    def _finish(self, events: list[ReplicaEvent]) -> tuple[ReplicaEvent, ...]:
        self._forget_removals()
        if self._policy is not None:
            self._current = self._policy.configuration._replace(
                servers=dict(self._list_servers()),
                domains=dict(self._list_domains_out()),
            )
        return tuple(events)

    def _list_servers(
        self,
    ) -> Iterable[tuple[str, configuration.BackendServer]]:
        for key, fact in self._facts.items():
            if isinstance(fact, ServerEntry):
                yield (
                    fact.name,
                    configuration.BackendServer(
                        fact.name,
                        fact.service,
                        fact.domain,
                        fact.address,
                        fact.slots,
                        state='out' if fact.is_draining else 'in',
                        is_cold=key in self._cold_until,
                        started_ms=fact.started_ms,
                    ),
                )

    def _list_domains_out(
        self,
    ) -> Iterable[tuple[str, configuration.FailureDomain]]:
        for fact in self._facts.values():
            if isinstance(fact, Evacuation):
                yield (
                    fact.domain,
                    configuration.FailureDomain(fact.domain, 'out'),
                )

    def _forget_removals(self) -> None:
        removed = [c for c in self._changes.values() if c.body is None]
        if len(removed) > REMOVALS_KEPT:
            removed.sort(key=lambda change: change.revision)
            for change in removed[: len(removed) - REMOVALS_KEPT // 2]:
                del self._changes[change.key]
