"""Audit trail: who changed what, when it was accepted and when in force.

Each record contains the digest of the previous record, so missing and edited
records are detected. Records never contain keys.
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

# Number of records kept in memory; older ones are dropped, since all were
# passed to the sink before.
KEPT_RECORDS = 10000


class AuditRecord(TypedDict):
    """One record of the trail; `digest` covers all other fields."""

    instance: str
    incarnation: int
    number: int
    at: str
    event: str
    fields: dict[str, Any]
    previous: str
    digest: str


class ChainBreak(NamedTuple):
    """Break of the digest chain before or at record `number`."""

    instance: str
    incarnation: int
    number: int
    reason: str


def _compute_digest(record: AuditRecord) -> str:
    covered = {name: record[name] for name in record if name != 'digest'}
    text = json.dumps(covered, sort_keys=True, separators=(',', ':'))
    return hashlib.sha256(text.encode()).hexdigest()


def encode_record(record: AuditRecord) -> str:
    """Return the record as one line of JSON."""
    return json.dumps(record, sort_keys=True, separators=(',', ':'))


class AuditTrail:
    """Chain of records, each passed as one line to a sink.

    `sink` is a callable that takes the line. It is safe for concurrent calls.
    """

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
        self._recent: collections.deque[AuditRecord] = collections.deque(
            maxlen=KEPT_RECORDS
        )
        self.sink_failures = 0

    def add(
        self, at: datetime.datetime, event: str, **fields: Any
    ) -> AuditRecord:
        """Append a record and return it.

        An OSError or ValueError of the sink is counted, not raised, so that a
        failing sink does not fail the caller.
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
            record['digest'] = self._previous = _compute_digest(record)
            self._recent.append(record)
            try:
                self._sink(encode_record(record))
            except (OSError, ValueError):
                self.sink_failures += 1
        return record

    def list_records(self, after: int = 0) -> tuple[AuditRecord, ...]:
        """Return the records in memory with a number above `after`."""
        with self._lock:
            return tuple(r for r in self._recent if r['number'] > after)


def _find_break(
    record: AuditRecord, previous_record: AuditRecord | None
) -> str:
    if record['digest'] != _compute_digest(record):
        return 'record was changed'
    if previous_record is None:
        return ''
    if record['number'] != previous_record['number'] + 1:
        return 'records are missing'
    if record['previous'] != previous_record['digest']:
        return 'chain is broken'
    return ''


def check_chain(records: Iterable[AuditRecord]) -> tuple[ChainBreak, ...]:
    """Return the breaks in the chains of one or more instances."""
    previous_records: dict[tuple[str, int], AuditRecord] = {}
    breaks = []
    for record in records:
        origin = (record['instance'], record['incarnation'])
        reason = _find_break(record, previous_records.get(origin))
        if reason:
            breaks.append(ChainBreak(*origin, record['number'], reason))
        previous_records[origin] = record
    return tuple(breaks)
