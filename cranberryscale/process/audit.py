"""The audit trail: who changed what, when it was accepted and in force.

Each record carries the digest of the record before it, so a gap or an edit
shows. Records never hold keys.
"""

import collections
import datetime
import hashlib
import json
import threading
from typing import Any
from typing import Callable
from typing import Iterable
from typing import NamedTuple
from typing import TypedDict


__all__ = [
    'AuditRecord',
    'AuditTrail',
    'ChainBreak',
    'check_chain',
    'encode_record',
]

# Older records are dropped from memory; they went to the sink before.
KEPT_RECORDS = 10000


class AuditRecord(TypedDict):
    """Hold one audit record; `digest` covers all other fields."""

    instance: str
    incarnation: int
    number: int
    at: str
    event: str
    fields: dict[str, Any]
    previous: str
    digest: str


class ChainBreak(NamedTuple):
    """Report a break of the chain before or at record `number`."""

    instance: str
    incarnation: int
    number: int
    reason: str


def _digest(record: AuditRecord) -> str:
    covered = {name: record[name] for name in record if name != 'digest'}
    text = json.dumps(covered, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()


def encode_record(record: AuditRecord) -> str:
    """Return the record as one line of JSON."""
    return json.dumps(record, sort_keys=True, separators=(',', ':'))


class AuditTrail:
    """Chain records and pass each to the sink, a callable for one line."""

    def __init__(
        self,
        instance: str,
        incarnation: int,
        sink: Callable[[str], None],
    ):
        self._instance = instance
        self._incarnation = incarnation
        self._sink = sink
        self._lock = threading.Lock()
        self._number = 0
        self._previous = ''
        self._kept: collections.deque[AuditRecord] = collections.deque(
            maxlen=KEPT_RECORDS
        )
        self.sink_failures = 0

    def add(
        self, at: datetime.datetime, event: str, **fields: Any
    ) -> AuditRecord:
        """Append a record and return it.

        A sink that fails is counted; it must not fail the caller.
        """
        with self._lock:
            self._number += 1
            record = AuditRecord(
                instance=self._instance,
                incarnation=self._incarnation,
                number=self._number,
                at=at.isoformat(),
                event=event,
                fields=fields,
                previous=self._previous,
                digest='',
            )
            record['digest'] = self._previous = _digest(record)
            self._kept.append(record)
            try:
                self._sink(encode_record(record))
            except (OSError, ValueError):
                self.sink_failures += 1
        return record

    def list_records(self, after: int = 0) -> tuple[AuditRecord, ...]:
        """Return the kept records with a number above `after`."""
        with self._lock:
            return tuple(r for r in self._kept if r['number'] > after)


def _check_record(record: AuditRecord, before: AuditRecord | None) -> str:
    if record['digest'] != _digest(record):
        return 'record was changed'
    if before is None:
        return ''
    if record['number'] != before['number'] + 1:
        return 'records are missing'
    if record['previous'] != before['digest']:
        return 'chain is broken'
    return ''


def check_chain(records: Iterable[AuditRecord]) -> tuple[ChainBreak, ...]:
    """Return the breaks in the chains of one or more instances."""
    before: dict[tuple[str, int], AuditRecord] = {}
    faults = []
    for record in records:
        origin = (record['instance'], record['incarnation'])
        reason = _check_record(record, before.get(origin))
        if reason:
            faults.append(ChainBreak(*origin, record['number'], reason))
        before[origin] = record
    return tuple(faults)
