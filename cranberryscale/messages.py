"""Messages between instances.

All are NamedTuples encoded by msgspec as MessagePack arrays, so each message
is defined once. Durations are seconds, since a duration must not depend on
the sender's clock.
"""

from typing import Any
from typing import NamedTuple

import msgspec

from cranberryscale import errors


__all__ = [
    'PROTOCOL_VERSION',
    'Done',
    'Failure',
    'FetchSubtrees',
    'FetchView',
    'GossipPull',
    'GossipReply',
    'GrantRecord',
    'PermitDenial',
    'PermitGrant',
    'PermitReport',
    'PermitReports',
    'PoolSummary',
    'PoolSummaryReply',
    'ReturnTokens',
    'ServerSummary',
    'SubtreeRecord',
    'SubtreesReply',
    'SurveyPermit',
    'SurveyPool',
    'SurveyReply',
    'TakePermit',
    'TakeTokens',
    'TokenDenial',
    'TokenGrant',
    'ViewReply',
    'decode',
    'encode',
    'list_calls',
]

PROTOCOL_VERSION = 1


class GrantRecord(NamedTuple):
    """Say to whom a member grants, as bitmaps over GossipReply.identities.

    `eligible` marks who may hold resources; `recent` marks members whose
    eligibility or incarnation changed within the waiting time.
    """

    eligible: bytes
    recent: bytes


class GossipPull(NamedTuple):
    """Ask for the receiver's table of members.

    `member` is a short hash of the sender's name and failure domain;
    `roster` is the digest of the sender's identities.
    """

    member: int
    incarnation: int
    roster: int
    view_version: int
    subtree_versions: dict[str, int]


class GossipReply(NamedTuple):
    """Return the sender's table of members and what it has in force.

    `identities` packs member hashes and incarnations and is empty when the
    roster is the one of the pull. The columns have one byte per identity:
    `ages` since the member spoke and `confirmed_ages` of its configuration
    at that moment in tenths of a second, rounded up, and the index of what
    it granted in `records`; 255 means none.
    """

    view_version: int
    subtree_versions: dict[str, int]
    roster: int
    identities: bytes
    ages: bytes
    confirmed_ages: bytes
    record_indexes: bytes
    records: tuple[GrantRecord, ...]


class FetchView(NamedTuple):
    """Ask for the receiver's instance list."""


class ViewReply(NamedTuple):
    """Return an instance list, members as rows of version.view.Member."""

    version: int
    members: tuple[tuple[str, str, str, str, str, bool], ...]


class FetchSubtrees(NamedTuple):
    """Ask for subtrees newer than the versions given."""

    have: dict[str, int]


class SubtreeRecord(NamedTuple):
    """Carry a subtree's documents that changed since `base` (0: all)."""

    team: str
    version: int
    base: int
    documents: dict[str, str]
    removed: tuple[str, ...] = ()


class SubtreesReply(NamedTuple):
    """Return newer subtrees."""

    subtrees: tuple[SubtreeRecord, ...]


class TakeTokens(NamedTuple):
    """Ask the holder of a share for tokens of a customer's budget.

    `once_key` is the digest of an idempotency key, empty for none.
    """

    customer: str
    share: int
    amount: int
    request_id: str
    once_key: str = ''


class TokenGrant(NamedTuple):
    """Give tokens that may be spent for `valid_s` after the request."""

    grant_id: int
    amount: int
    valid_s: float


class TokenDenial(NamedTuple):
    """Refuse tokens with a code of the error table."""

    code: str
    retry_after_s: float


class ReturnTokens(NamedTuple):
    """Give back unspent tokens of a grant."""

    customer: str
    share: int
    grant_id: int
    amount: int


class TakePermit(NamedTuple):
    """Ask a pool's holder for a permit to run one request.

    `probe_ok` allows a trial at an ejected server: set for idempotent
    requests only.
    """

    service: str
    domain: str
    request_id: str
    customer: str
    remaining_s: float
    excluded: tuple[str, ...] = ()
    probe_ok: bool = False


class PermitGrant(NamedTuple):
    """Permit one request at a backend server.

    The request must start within `start_within_s` of asking.
    """

    permit_id: str
    server: str
    start_within_s: float


class PermitDenial(NamedTuple):
    """Refuse a permit with a code of the error table."""

    code: str
    retry_after_s: float


class PermitReport(NamedTuple):
    """Report the end of a permitted request.

    `outcome` is "ok", "error", "shed", "wrong", "truncated", "crossed",
    "silent", "refused", "cancelled" or "unused". `cold` is the server's own
    hint that it is in cold start.
    """

    permit_id: str
    server: str
    outcome: str
    latency_s: float
    cold: bool = False


class PermitReports(NamedTuple):
    """Carry reports for one pool."""

    service: str
    domain: str
    reports: tuple[PermitReport, ...]


class SurveyPool(NamedTuple):
    """Ask which permits of a pool the receiver has in use.

    The receiver accepts no permit of an earlier holder afterwards.
    """

    service: str
    domain: str


class SurveyPermit(NamedTuple):
    """Describe a permit in use."""

    permit_id: str
    server: str
    remaining_s: float


class SurveyReply(NamedTuple):
    """Return the permits in use at the sender."""

    permits: tuple[SurveyPermit, ...]


class PoolSummary(NamedTuple):
    """Ask a pool's holder for recent evidence on its servers."""

    service: str
    domain: str


class ServerSummary(NamedTuple):
    """Summarize recent evidence on one backend server."""

    server: str
    count: int
    median_latency_s: float
    error_ratio: float


class PoolSummaryReply(NamedTuple):
    """Return recent evidence on a pool's servers."""

    servers: tuple[ServerSummary, ...]


class Done(NamedTuple):
    """Acknowledge a message that has no other reply."""


class Failure(NamedTuple):
    """Refuse a message with a code of the error table."""

    code: str
    value: str = ''


# Wire tags. A tag is never reused for another message.
_TAGS: dict[int, type] = {
    1: GossipPull,
    2: GossipReply,
    3: FetchView,
    4: ViewReply,
    5: FetchSubtrees,
    6: SubtreesReply,
    7: TakeTokens,
    8: TokenGrant,
    9: TokenDenial,
    10: ReturnTokens,
    11: TakePermit,
    12: PermitGrant,
    13: PermitDenial,
    14: PermitReports,
    15: SurveyPool,
    16: SurveyReply,
    17: PoolSummary,
    18: PoolSummaryReply,
    19: Done,
    20: Failure,
}
_TAG_OF = {kind: tag for tag, kind in _TAGS.items()}
_DECODERS = {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _TAGS.items()}
_ENCODER = msgspec.msgpack.Encoder()
_CALLS = (
    GossipPull,
    FetchView,
    FetchSubtrees,
    TakeTokens,
    ReturnTokens,
    TakePermit,
    PermitReports,
    SurveyPool,
    PoolSummary,
)


def list_calls() -> tuple[type, ...]:
    """Return the messages that one instance may send to another unasked."""
    return _CALLS


def encode(message: Any) -> bytes:
    """Return the wire form: one tag byte and a MessagePack array."""
    return bytes((_TAG_OF[type(message)],)) + _ENCODER.encode(message)


def decode(body: bytes) -> Any:
    """Return the message, or raise MessageUndecodable."""
    if not body or body[0] not in _DECODERS:
        raise errors.make_error('message_undecodable', body[:1].hex())
    try:
        return _DECODERS[body[0]].decode(memoryview(body)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise errors.make_error('message_undecodable', err) from err
