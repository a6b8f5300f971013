"""The table of members as carried by gossip replies.

Steady state is compact: the identities are left out when both sides have
the same, and all members share one grant record.
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
    'LONGEST_AGE',
    'digest_roster',
    'encode_signs',
    'is_newer',
    'list_roster',
    'round_age',
]

# The longest age that one byte carries; older signs are not relayed.
LONGEST_AGE = datetime.timedelta(seconds=25)
_AGE_UNIT = datetime.timedelta(milliseconds=100)
_NONE = 255
# How many rosters and records are kept for replies that refer to them.
_KEPT_ROSTERS = 16
_KEPT_RECORDS = 512
_IDENTITY = struct.Struct('>IQ')


class Heartbeat(NamedTuple):
    """Hold a member's latest sign of life, spoken at `at` or later.

    `confirmed_age` is the age of its configuration when it spoke.
    """

    at: datetime.timedelta
    identity: lease_grants.Identity
    grants: lease_grants.LeaseGrants | None = None
    confirmed_age: datetime.timedelta | None = None


def is_newer(sign: Heartbeat, known: Heartbeat | None) -> bool:
    """Tell whether a sign replaces the one known of the same member.

    A later incarnation replaces an earlier one at once, however old the
    sign; an earlier incarnation never counts again.
    """
    if known is None:
        return True
    if sign.identity.incarnation != known.identity.incarnation:
        return sign.identity.incarnation > known.identity.incarnation
    return sign.at > known.at


def round_age(age: datetime.timedelta) -> int:
    """Return an age in tenths of a second, rounded up; 255 for too old."""
    return max(0, min(_NONE, -(-age // _AGE_UNIT)))


def list_roster(
    signs: Iterable[Heartbeat],
) -> tuple[lease_grants.Identity, ...]:
    """Return all identities that the signs and their grants name."""
    signs = tuple(signs)
    named = {sign.identity for sign in signs}
    records = {sign.grants for sign in signs if sign.grants is not None}
    for record in records:
        named |= record.eligible
    missing = set().union(*(record.recent for record in records))
    missing -= {identity.member for identity in named}
    named |= {lease_grants.Identity(member, 0) for member in missing}
    return tuple(sorted(named))


def digest_roster(roster: tuple[lease_grants.Identity, ...]) -> int:
    """Return a 64-bit digest of the identities."""
    return _digest(_pack_roster(roster))


def encode_signs(
    signs: Mapping[int, Heartbeat],
    pull: messages.GossipPull,
    now: datetime.timedelta,
    drift_ratio: float,
) -> messages.GossipReply:
    """Return the reply that relays all signs, with ages grown by drift."""
    roster = list_roster(signs.values())
    digest = digest_roster(roster)
    known = {sign.identity: sign for sign in signs.values()}
    column = tuple(known.get(identity) for identity in roster)
    distinct = dict.fromkeys(sign.grants for sign in column if sign)
    distinct.pop(None, None)
    # Grants beyond the index range are left out, which is safe.
    chosen = tuple(itertools.islice(distinct, _NONE))
    index = {record: place for place, record in enumerate(chosen)}
    bits = {identity: 1 << place for place, identity in enumerate(roster)}
    member_bits = collections.Counter()
    for identity, bit in bits.items():
        member_bits[identity.member] += bit
    grow = 1 + drift_ratio
    return messages.GossipReply(
        pull.view_version,
        pull.subtree_versions,
        digest,
        b'' if digest == pull.roster else _pack_roster(roster),
        bytes(
            round_age((now - sign.at) * grow) if sign else _NONE
            for sign in column
        ),
        bytes(
            _NONE
            if sign is None or sign.confirmed_age is None
            else round_age(sign.confirmed_age)
            for sign in column
        ),
        bytes(
            index.get(sign.grants, _NONE) if sign else _NONE for sign in column
        ),
        tuple(_encode_record(record, bits, member_bits) for record in chosen),
    )


def _digest(body: bytes) -> int:
    digest = hashlib.blake2b(body, digest_size=8).digest()
    return int.from_bytes(digest, 'big')


def _pack_roster(roster: tuple[lease_grants.Identity, ...]) -> bytes:
    return b''.join(_IDENTITY.pack(*identity) for identity in roster)


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


def _select(
    roster: tuple[lease_grants.Identity, ...], packed: bytes
) -> Iterable[lease_grants.Identity]:
    number = int.from_bytes(packed, 'little')
    if number.bit_length() > len(roster):
        raise errors.make_error('message_undecodable', len(packed))
    return (
        identity
        for place, identity in enumerate(roster)
        if number >> place & 1
    )


class Decoder:
    """Decode replies, keeping the rosters and records seen lately."""

    def __init__(self):
        self._rosters: dict[int, tuple[lease_grants.Identity, ...]] = {}
        self._records: dict[
            tuple[int, messages.GrantRecord], lease_grants.LeaseGrants
        ] = {}

    def keep_roster(self, roster: tuple[lease_grants.Identity, ...]) -> int:
        """Keep the roster of a pull for its reply and return its digest."""
        digest = digest_roster(roster)
        self._rosters.pop(digest, None)
        self._rosters[digest] = roster
        if len(self._rosters) > _KEPT_ROSTERS:
            del self._rosters[next(iter(self._rosters))]
        if len(self._records) > _KEPT_RECORDS:
            self._records.clear()
        return digest

    def find_roster(
        self, reply: messages.GossipReply
    ) -> tuple[lease_grants.Identity, ...]:
        """Return the roster of a reply, or raise MessageUndecodable."""
        body = reply.identities
        if not body and reply.roster in self._rosters:
            return self._rosters[reply.roster]
        if len(body) % _IDENTITY.size or reply.roster != _digest(body):
            raise errors.make_error('message_undecodable', reply.roster)
        return tuple(
            map(lease_grants.Identity._make, _IDENTITY.iter_unpack(body))
        )

    def decode_signs(
        self,
        reply: messages.GossipReply,
        roster: tuple[lease_grants.Identity, ...],
        sent_at: datetime.timedelta,
    ) -> tuple[Heartbeat, ...]:
        """Return the signs in a reply to a pull that was sent at `sent_at`.

        Raises MessageUndecodable when the columns do not fit the roster.
        """
        columns = (reply.ages, reply.confirmed_ages, reply.record_indexes)
        if any(len(column) != len(roster) for column in columns):
            raise errors.make_error('message_undecodable', len(roster))
        records = tuple(
            self._decode_record(reply.roster, record, roster)
            for record in reply.records
        )
        if any(len(records) <= i < _NONE for i in reply.record_indexes):
            raise errors.make_error('message_undecodable', len(records))
        return tuple(
            Heartbeat(
                sent_at - age * _AGE_UNIT,
                identity,
                None if index == _NONE else records[index],
                None if confirmed == _NONE else confirmed * _AGE_UNIT,
            )
            for identity, age, confirmed, index in zip(roster, *columns)
            if age != _NONE
        )

    def _decode_record(
        self,
        digest: int,
        record: messages.GrantRecord,
        roster: tuple[lease_grants.Identity, ...],
    ) -> lease_grants.LeaseGrants:
        given = self._records.get((digest, record))
        if given is None:
            given = lease_grants.LeaseGrants(
                frozenset(_select(roster, record.eligible)),
                frozenset(
                    each.member for each in _select(roster, record.recent)
                ),
            )
            self._records[digest, record] = given
        return given
