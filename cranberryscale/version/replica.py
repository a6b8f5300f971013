"""A local replica of the platform's key-value store.

The store holds entries under keys, each with the revision of its last
change. Instances read the store or receive its entries from each other, in
any order and more than once, so an entry is replaced only by one of a later
revision.

The store may come back from a copy that lacks its latest changes. It then
starts an era, whose entries replace those of the era before also where their
revisions are lower. What was in force stays so until its writers have had time
to write it again, see docs/design/store-era.md.
"""

from collections.abc import Callable
from collections.abc import Iterable
import datetime
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale.version import configuration


__all__ = [
    'EntryChange',
    'EraChange',
    'Evacuation',
    'Policy',
    'ReplicaEvent',
    'RequestLimits',
    'ServerEntry',
    'StoreReplica',
]

# A server whose entry expired during an outage of the store writes it again
# within about two seconds of the store's return.
REMOVAL_GRACE = datetime.timedelta(seconds=2)
# Removed entries that are kept for instances that receive changes late.
REMOVALS_LIMIT = 4096
# The store drops the entry of a dead server after three heartbeats, and an
# instance learns that within two more seconds. An entry that is still there
# after this time belongs to a server that is alive.
COPY_HOLD = datetime.timedelta(seconds=8)


class EntryChange(NamedTuple):
    """One entry as of a revision; `body` None means removed."""

    key: str
    revision: int
    body: bytes | None = None


class ServerEntry(NamedTuple):
    """The state that a backend server publishes about itself.

    `warmup_left` is the remaining warm-up when the entry was written.
    `started_ms` is the Unix time of the server's start; it distinguishes two
    incarnations with the same name.
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
    """Limits on the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout: datetime.timedelta
    idle_timeout: datetime.timedelta


class Policy(NamedTuple):
    """One version of the operators' settings, without backend servers.

    `assumptions` describes how values that are not known here are treated.
    """

    version: int
    configuration: configuration.Configuration
    limits: RequestLimits
    assumptions: tuple[str, ...] = ()


class Evacuation(NamedTuple):
    """A failure domain whose backend servers receive no new requests."""

    domain: str


DecodedEntry = ServerEntry | Policy | Evacuation


class ReplicaEvent(NamedTuple):
    """A change of the replica, for the log."""

    event: str
    subject: str
    revision: int
    detail: str = ''


class EraChange(NamedTuple):
    """A change of the store's era, with the revision of the new entries."""

    old: int
    new: int
    revision: int


class _Removal(NamedTuple):
    """The removal of an entry, and the start of the server's process.

    `started_ms` is None if the entry was no server or was not known.
    """

    revision: int
    started_ms: int | None


class StoreReplica:
    """The known entries of the store and the configuration in force.

    All entries are of one `era`. `decode(key, body)` returns the decoded
    entry, or None for a key that is not used, and raises DocumentInvalid.
    """

    def __init__(self, decode: Callable[[str, bytes], DecodedEntry | None]):
        self._decode = decode
        self._changes: dict[str, EntryChange] = {}
        self._decoded: dict[str, DecodedEntry] = {}
        self._cold_until: dict[str, datetime.timedelta] = {}
        # Keys whose removal is deferred, and until when.
        self._deferred: dict[str, datetime.timedelta] = {}
        self._defer_until = datetime.timedelta(0)
        # Removals of this era and earlier ones, oldest first.
        self._removals: dict[str, _Removal] = {}
        # Keys of removed servers that the copy contains, and until when their
        # entries are not used.
        self._held: dict[str, datetime.timedelta] = {}
        self._policy: Policy | None = None
        self._policy_body = b''
        self._current_configuration = configuration.Configuration()
        self.era = 0
        self.revision = 0

    @property
    def policy(self) -> Policy | None:
        """Return the policy in force, or None before the first one."""
        return self._policy

    @property
    def current_configuration(self) -> configuration.Configuration:
        """Return the configuration in force."""
        return self._current_configuration

    @property
    def removal_count(self) -> int:
        """Return the number of removals that are known."""
        return len(self._removals)

    def is_outdated(self, revision: int, is_snapshot: bool, era: int) -> bool:
        """Return whether an update is older than the replica."""
        if era == self.era:
            return is_snapshot and revision < self.revision
        return era < self.era

    def list_changes_since(self, revision: int) -> tuple[EntryChange, ...]:
        """Return the changes after a revision, oldest first."""
        newer = (c for c in self._changes.values() if c.revision > revision)
        return tuple(sorted(newer, key=lambda change: change.revision))

    def apply(
        self,
        changes: Iterable[EntryChange],
        revision: int,
        now: datetime.timedelta,
        era: int = 0,
    ) -> tuple[ReplicaEvent | EraChange, ...]:
        """Apply changes that are complete up to `revision`.

        Those of a later era are all of its entries; those of an earlier one
        are ignored.
        """
        if era > self.era:
            return self.replace(changes, revision, now, era)
        if era < self.era:
            return ()
        events = [
            event
            for change in changes
            for event in self._apply_change(change, now)
        ]
        self.revision = max(self.revision, revision)
        return self._rebuild_configuration(events) if events else ()

    def replace(
        self,
        entries: Iterable[EntryChange],
        revision: int,
        now: datetime.timedelta,
        era: int = 0,
    ) -> tuple[ReplicaEvent | EraChange, ...]:
        """Replace all entries by those of a revision, removing missing ones.

        A snapshot older than the replica is ignored.
        """
        if self.is_outdated(revision, True, era):
            return ()
        if era > self.era:
            events = [*self._start_era(entries, revision, now, era)]
            return self._rebuild_configuration(events)
        found = {entry.key: entry for entry in entries}
        missing = (
            EntryChange(key, revision)
            for key, known in self._changes.items()
            if known.body is not None
            and key not in found
            and known.revision <= revision
        )
        return self.apply((*missing, *found.values()), revision, now, era)

    def _start_era(
        self,
        entries: Iterable[EntryChange],
        revision: int,
        now: datetime.timedelta,
        era: int,
    ) -> Iterable[ReplicaEvent | EraChange]:
        """Replace all entries by the first snapshot of an era."""
        yield EraChange(self.era, era, revision)
        known, self._changes = self._changes, {}
        held, self._held = self._held, {}
        self.era, self.revision = era, revision
        found = {entry.key: entry for entry in entries}
        for key, entry in found.items():
            is_unchanged = known.get(key) == entry and key not in held
            if entry.body is None or is_unchanged:
                self._changes[key] = entry
            else:
                yield from self._apply_copied(entry, known.get(key), now)
        for key in self._decoded:
            if key not in found or found[key].body is None:
                yield self._keep_missing(key, now)

    def _apply_copied(
        self,
        change: EntryChange,
        known: EntryChange | None,
        now: datetime.timedelta,
    ) -> Iterable[ReplicaEvent]:
        """Apply an entry of the copy unless it would undo a later state.

        The copy is older than the change that it would undo, so an entry of a
        higher revision was written in the new era.
        """
        try:
            copied = self._decode(change.key, change.body)
        except errors.FleetError:
            copied = None
        in_force = self._decoded.get(change.key)
        match copied, in_force, self._removals.get(change.key):
            case ServerEntry(), _, _Removal(revision, started_ms) if (
                change.revision < revision
                and (started_ms is None or copied.started_ms <= started_ms)
            ):
                yield self._hold(change, now, 'removed')
            case ServerEntry(), ServerEntry(), None if (
                known is not None
                and change.revision <= known.revision
                and copied.started_ms < in_force.started_ms
            ):
                self._record_removal(known)
                self._deferred[change.key] = now + REMOVAL_GRACE
                yield self._hold(change, now, 'later process')
            case ServerEntry(), ServerEntry(is_draining=True), None if (
                known is not None
                and change.revision <= known.revision
                and copied.started_ms == in_force.started_ms
                and not copied.is_draining
            ):
                # A server does not become ready again as the same process.
                yield self._keep(change, known.body, 'draining')
            case _:
                yield from self._apply_change(change, now)

    def _hold(
        self, change: EntryChange, now: datetime.timedelta, detail: str
    ) -> ReplicaEvent:
        self._changes[change.key] = change
        self._held[change.key] = now + COPY_HOLD
        return ReplicaEvent('entry_kept', change.key, change.revision, detail)

    def _keep(
        self, change: EntryChange, body: bytes, detail: str
    ) -> ReplicaEvent:
        """Keep an entry in force, also in what other instances receive."""
        self._changes[change.key] = change._replace(body=body)
        return ReplicaEvent('entry_kept', change.key, change.revision, detail)

    def _keep_missing(self, key: str, now: datetime.timedelta) -> ReplicaEvent:
        """Keep an entry that the copy lost, for a while unless a policy."""
        change = self._changes.get(key, EntryChange(key, self.revision))
        match self._decoded[key]:
            case Policy():
                return self._keep(change, self._policy_body, 'missing')
            case Evacuation():
                grace = COPY_HOLD
            case ServerEntry():
                grace = REMOVAL_GRACE
        self._changes[key] = change
        self._record_removal(change)
        self._deferred.setdefault(key, now + grace)
        return ReplicaEvent('entry_kept', key, change.revision, 'missing')

    def _record_removal(self, change: EntryChange) -> None:
        earlier = self._removals.pop(change.key, None)
        match self._decoded.get(change.key):
            case ServerEntry(started_ms=started_ms):
                pass
            case _:
                started_ms = earlier.started_ms if earlier else None
        self._removals[change.key] = _Removal(change.revision, started_ms)
        while len(self._removals) > REMOVALS_LIMIT:
            del self._removals[next(iter(self._removals))]

    def release_held(
        self, now: datetime.timedelta
    ) -> tuple[ReplicaEvent, ...]:
        """Use entries of removed servers that the store has kept for long.

        Call this only after an answer of the store.
        """
        keys = [key for key, until in self._held.items() if now >= until]
        events = []
        for key in keys:
            del self._held[key]
            events += self._apply_body(self._changes[key], now)
        return self._rebuild_configuration(events) if keys else ()

    def defer_removals(self, now: datetime.timedelta) -> None:
        """Defer removals of servers, since the store has just returned."""
        self._defer_until = now + REMOVAL_GRACE

    def advance(self, now: datetime.timedelta) -> tuple[ReplicaEvent, ...]:
        """Perform deferred removals and end warm-ups that are over."""
        expired_keys = [
            key for key, until in self._deferred.items() if now >= until
        ]
        events = []
        for key in expired_keys:
            del self._deferred[key]
            # The removal may have been dropped as one of too many.
            change = self._changes.get(key, EntryChange(key, self.revision))
            events += self._remove(key, change.revision, now)
        warm_keys = [key for key, at in self._cold_until.items() if now >= at]
        for key in warm_keys:
            del self._cold_until[key]
        if not (expired_keys or warm_keys):
            return ()
        return self._rebuild_configuration(events)

    def _apply_change(
        self, change: EntryChange, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        known = self._changes.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        self._changes[change.key] = change
        self._held.pop(change.key, None)
        if change.body is None:
            self._record_removal(change)
            decoded = self._decoded.get(change.key)
            if isinstance(decoded, ServerEntry) and now < self._defer_until:
                self._deferred[change.key] = self._defer_until
                return
            yield from self._remove(change.key, change.revision, now)
            return
        yield from self._apply_body(change, now)

    def _apply_body(
        self, change: EntryChange, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        self._deferred.pop(change.key, None)
        self._removals.pop(change.key, None)
        try:
            decoded = self._decode(change.key, change.body)
        except errors.FleetError as error:
            yield ReplicaEvent(
                'entry_refused', change.key, change.revision, str(error)
            )
            yield from self._handle_undecodable(change, now)
            return
        if decoded is not None:
            yield from self._apply_decoded(change, decoded, now)

    def _handle_undecodable(
        self, change: EntryChange, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        # A server whose entry cannot be decoded is no longer used, whereas
        # the last valid policy stays in force.
        if isinstance(self._decoded.get(change.key), ServerEntry):
            yield from self._remove(change.key, change.revision, now)

    def _apply_decoded(
        self,
        change: EntryChange,
        decoded: DecodedEntry,
        now: datetime.timedelta,
    ) -> Iterable[ReplicaEvent]:
        match decoded:
            case Policy():
                if self._policy and decoded.version <= self._policy.version:
                    # Instances that receive the change need the one in force.
                    self._changes[change.key] = change._replace(
                        body=self._policy_body
                    )
                    yield ReplicaEvent(
                        'policy_stale',
                        change.key,
                        change.revision,
                        f'version {decoded.version}',
                    )
                    return
                self._policy, self._policy_body = decoded, change.body
                detail = f'version {decoded.version}'
                for assumption in decoded.assumptions:
                    yield ReplicaEvent(
                        'entry_assumed',
                        change.key,
                        change.revision,
                        assumption,
                    )
            case ServerEntry():
                self._start_warmup(change.key, decoded, now)
                detail = 'draining' if decoded.is_draining else 'ready'
            case Evacuation():
                detail = 'out'
        self._decoded[change.key] = decoded
        yield ReplicaEvent(
            'entry_in_force', change.key, change.revision, detail
        )

    def _start_warmup(
        self, key: str, entry: ServerEntry, now: datetime.timedelta
    ) -> None:
        if entry.warmup_left > datetime.timedelta(0):
            self._cold_until[key] = now + entry.warmup_left

    def _remove(
        self, key: str, revision: int, now: datetime.timedelta
    ) -> Iterable[ReplicaEvent]:
        match self._decoded.get(key):
            case None | Policy():
                # Without a policy an instance would refuse every request.
                return
            case Evacuation(domain=domain):
                self._restart_warmups(domain, now)
        del self._decoded[key]
        self._cold_until.pop(key, None)
        yield ReplicaEvent('entry_removed', key, revision)

    def _restart_warmups(self, domain: str, now: datetime.timedelta) -> None:
        # Servers become cold while they receive no requests.
        services = self._current_configuration.services
        for key, decoded in self._decoded.items():
            if isinstance(decoded, ServerEntry) and decoded.domain == domain:
                service = services.get(decoded.service)
                if service is not None:
                    self._cold_until[key] = now + service.warmup

    def _rebuild_configuration(
        self, events: list[ReplicaEvent | EraChange]
    ) -> tuple[ReplicaEvent | EraChange, ...]:
        self._drop_old_removals()
        if self._policy is not None:
            self._current_configuration = self._policy.configuration._replace(
                servers=dict(self._list_servers()),
                domains=dict(self._list_evacuated_domains()),
            )
        return tuple(events)

    def _list_servers(
        self,
    ) -> Iterable[tuple[str, configuration.BackendServer]]:
        for key, decoded in self._decoded.items():
            if isinstance(decoded, ServerEntry):
                yield (
                    decoded.name,
                    configuration.BackendServer(
                        decoded.name,
                        decoded.service,
                        decoded.domain,
                        decoded.address,
                        decoded.slots,
                        state='out' if decoded.is_draining else 'in',
                        is_cold=key in self._cold_until,
                        started_ms=decoded.started_ms,
                    ),
                )

    def _list_evacuated_domains(
        self,
    ) -> Iterable[tuple[str, configuration.FailureDomain]]:
        for decoded in self._decoded.values():
            if isinstance(decoded, Evacuation):
                yield (
                    decoded.domain,
                    configuration.FailureDomain(decoded.domain, 'out'),
                )

    def _drop_old_removals(self) -> None:
        removed = [c for c in self._changes.values() if c.body is None]
        if len(removed) > REMOVALS_LIMIT:
            removed.sort(key=lambda change: change.revision)
            for change in removed[: len(removed) - REMOVALS_LIMIT // 2]:
                del self._changes[change.key]
