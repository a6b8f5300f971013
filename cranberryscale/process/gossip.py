"""Encoding of the table of members in gossip replies.

For each member, a reply has the age of its latest heartbeat and the lease
grants that it announced. An identity is a member and its incarnation.

Replies are small in the steady state: the identities are left out if both
sides have the same ones, and members with equal grants share one grant record.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import hashlib
import itertools
import struct
from typing import NamedTuple

from cranberryscale import errors
from cranberryscale import messages
from cranberryscale.process import lease_grants


__all__ = [
    'Decoder',
    'Heartbeat',
    'MAX_HEARTBEAT_AGE',
    'digest_identities',
    'encode_age',
    'encode_heartbeats',
    'is_newer',
    'list_identities',
]

# Largest age that fits into one byte; older heartbeats are not relayed.
MAX_HEARTBEAT_AGE = datetime.timedelta(seconds=25)
_AGE_UNIT = datetime.timedelta(milliseconds=100)
_NO_VALUE = 255
# Bounds on the identity lists and grant records that are cached for replies
# that refer to them.
_MAX_IDENTITY_LISTS = 16
_MAX_GRANT_RECORDS = 512
_IDENTITY = struct.Struct('>IQ')


class Heartbeat(NamedTuple):
    """Latest heartbeat of a member, which was sent at `at` or later.

    `confirmed_age` is the age of the member's confirmation (see
    process.confirmation) at that moment.
    """

    at: datetime.timedelta
    identity: lease_grants.Identity
    grants: lease_grants.LeaseGrants | None = None
    confirmed_age: datetime.timedelta | None = None


def is_newer(heartbeat: Heartbeat, known: Heartbeat | None) -> bool:
    """Return whether a heartbeat replaces the known one of its member.

    A later incarnation replaces an earlier one at once, however old its
    heartbeat; an earlier incarnation never counts again.
    """
    if known is None:
        return True
    if heartbeat.identity.incarnation != known.identity.incarnation:
        return heartbeat.identity.incarnation > known.identity.incarnation
    return heartbeat.at > known.at


def encode_age(age: datetime.timedelta) -> int:
    """Return an age in tenths of a second, rounded up; 255 if too old."""
    return max(0, min(_NO_VALUE, -(-age // _AGE_UNIT)))


def list_identities(
    heartbeats: Iterable[Heartbeat],
) -> tuple[lease_grants.Identity, ...]:
    """Return all identities that the heartbeats and their grants name."""
    heartbeats = tuple(heartbeats)
    named = {heartbeat.identity for heartbeat in heartbeats}
    records = {
        heartbeat.grants
        for heartbeat in heartbeats
        if heartbeat.grants is not None
    }
    for record in records:
        named |= record.eligible
    missing = set().union(*(record.recent for record in records))
    missing -= {identity.member for identity in named}
    named |= {lease_grants.Identity(member, 0) for member in missing}
    return tuple(sorted(named))


def digest_identities(identities: tuple[lease_grants.Identity, ...]) -> int:
    """Return a 64-bit digest of the identities."""
    return _digest(_pack_identities(identities))


def encode_heartbeats(
    heartbeats: Mapping[int, Heartbeat],
    pull: messages.GossipPull,
    now: datetime.timedelta,
    drift_ratio: float,
) -> messages.GossipReply:
    """Return the reply that relays the heartbeats.

    Ages are increased by the bound on clock drift.
    """
    identities = list_identities(heartbeats.values())
    digest = digest_identities(identities)
    known = {
        heartbeat.identity: heartbeat for heartbeat in heartbeats.values()
    }
    column = tuple(known.get(identity) for identity in identities)
    distinct = dict.fromkeys(
        heartbeat.grants for heartbeat in column if heartbeat
    )
    distinct.pop(None, None)
    # Grants beyond the range of the index are left out, which is safe.
    chosen = tuple(itertools.islice(distinct, _NO_VALUE))
    index = {record: position for position, record in enumerate(chosen)}
    bits = {
        identity: 1 << position for position, identity in enumerate(identities)
    }
    member_bits = collections.Counter()
    for identity, bit in bits.items():
        member_bits[identity.member] += bit
    drift_factor = 1 + drift_ratio
    return messages.GossipReply(
        pull.view_version,
        pull.subtree_versions,
        digest,
        b'' if digest == pull.roster else _pack_identities(identities),
        bytes(
            encode_age((now - heartbeat.at) * drift_factor)
            if heartbeat
            else _NO_VALUE
            for heartbeat in column
        ),
        bytes(
            _NO_VALUE
            if heartbeat is None or heartbeat.confirmed_age is None
            else encode_age(heartbeat.confirmed_age)
            for heartbeat in column
        ),
        bytes(
            index.get(heartbeat.grants, _NO_VALUE) if heartbeat else _NO_VALUE
            for heartbeat in column
        ),
        tuple(_encode_record(record, bits, member_bits) for record in chosen),
    )


def _digest(body: bytes) -> int:
    digest = hashlib.blake2b(body, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _pack_identities(identities: tuple[lease_grants.Identity, ...]) -> bytes:
    return b''.join(_IDENTITY.pack(*identity) for identity in identities)


def _encode_record(
    record: lease_grants.LeaseGrants,
    bits: Mapping[lease_grants.Identity, int],
    member_bits: Mapping[int, int],
) -> messages.GrantRecord:
    return messages.GrantRecord(
        _pack_bits(sum(bits[identity] for identity in record.eligible)),
        _pack_bits(sum(member_bits[member] for member in record.recent)),
    )


def _pack_bits(number: int) -> bytes:
    return number.to_bytes(-(-number.bit_length() // 8), 'little')


def _select_identities(
    identities: tuple[lease_grants.Identity, ...], packed: bytes
) -> Iterable[lease_grants.Identity]:
    number = int.from_bytes(packed, 'little')
    if number.bit_length() > len(identities):
        raise errors.make_error('message_undecodable', len(packed))
    return (
        identity
        for position, identity in enumerate(identities)
        if number >> position & 1
    )


class Decoder:
    """Decoder of replies, with a cache of recent identities and records."""

    def __init__(self):
        self._identities_by_digest: dict[
            int, tuple[lease_grants.Identity, ...]
        ] = {}
        self._grants_by_record: dict[
            tuple[int, messages.GrantRecord], lease_grants.LeaseGrants
        ] = {}

    def remember_identities(
        self, identities: tuple[lease_grants.Identity, ...]
    ) -> int:
        """Store a pull's identities for its reply; return their digest."""
        digest = digest_identities(identities)
        self._identities_by_digest.pop(digest, None)
        self._identities_by_digest[digest] = identities
        if len(self._identities_by_digest) > _MAX_IDENTITY_LISTS:
            del self._identities_by_digest[
                next(iter(self._identities_by_digest))
            ]
        if len(self._grants_by_record) > _MAX_GRANT_RECORDS:
            self._grants_by_record.clear()
        return digest

    def find_identities(
        self, reply: messages.GossipReply
    ) -> tuple[lease_grants.Identity, ...]:
        """Return the identities of a reply, or raise MessageUndecodable."""
        body = reply.identities
        if not body and reply.roster in self._identities_by_digest:
            return self._identities_by_digest[reply.roster]
        if len(body) % _IDENTITY.size or reply.roster != _digest(body):
            raise errors.make_error('message_undecodable', reply.roster)
        return tuple(
            map(lease_grants.Identity._make, _IDENTITY.iter_unpack(body))
        )

    def decode_heartbeats(
        self,
        reply: messages.GossipReply,
        identities: tuple[lease_grants.Identity, ...],
        sent_at: datetime.timedelta,
    ) -> tuple[Heartbeat, ...]:
        """Return the heartbeats in the reply to a pull sent at `sent_at`.

        Raises MessageUndecodable if the columns do not fit the identities.
        """
        columns = (reply.ages, reply.confirmed_ages, reply.record_indexes)
        if any(len(column) != len(identities) for column in columns):
            raise errors.make_error('message_undecodable', len(identities))
        records = tuple(
            self._decode_record(reply.roster, record, identities)
            for record in reply.records
        )
        if any(len(records) <= i < _NO_VALUE for i in reply.record_indexes):
            raise errors.make_error('message_undecodable', len(records))
        return tuple(
            Heartbeat(
                sent_at - age * _AGE_UNIT,
                identity,
                None if index == _NO_VALUE else records[index],
                None if confirmed == _NO_VALUE else confirmed * _AGE_UNIT,
            )
            for identity, age, confirmed, index in zip(identities, *columns)
            if age != _NO_VALUE
        )

    def _decode_record(
        self,
        digest: int,
        record: messages.GrantRecord,
        identities: tuple[lease_grants.Identity, ...],
    ) -> lease_grants.LeaseGrants:
        grants = self._grants_by_record.get((digest, record))
        if grants is None:
            grants = lease_grants.LeaseGrants(
                frozenset(_select_identities(identities, record.eligible)),
                frozenset(
                    each.member
                    for each in _select_identities(identities, record.recent)
                ),
            )
            self._grants_by_record[digest, record] = grants
        return grants
