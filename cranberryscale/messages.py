"""Messages between instances.

All are NamedTuples encoded by msgspec as MessagePack arrays, so each message
is defined once. Durations are seconds, since a duration must not depend on
the sender's clock.
"""

from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from cranberryscale import errors
from cranberryscale.process import roster
from cranberryscale.process import shards
from cranberryscale.version import replica


__all__ = [
    'AskQuota',
    'AskServer',
    'BOOTSTRAP_CALLS',
    'COMPRESSED_TAG',
    'CONTROL_CALLS',
    'CONTROL_REPLIES',
    'PROTOCOL_VERSION',
    'ChangesReply',
    'Check',
    'CheckReply',
    'ConfirmationPull',
    'ConfirmationReply',
    'Done',
    'Exchange',
    'ExchangeReply',
    'Failure',
    'FetchSubtrees',
    'FetchView',
    'FinishOnce',
    'FinishRequest',
    'GossipPull',
    'GossipReply',
    'MESSAGE_LIMIT_BYTES',
    'GrantRecord',
    'PermitDenial',
    'PermitGrant',
    'PermitReport',
    'PermitReports',
    'PoolSummary',
    'PoolSummaryReply',
    'PullChanges',
    'QuotaReply',
    'ReturnTokens',
    'ServerReply',
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


class ConfirmationPull(NamedTuple):
    """Ask how old the receiver's confirmation is.

    `versions_digest` stands for the subtree versions in force at the sender.
    `confirmed_age_ds` (tenths of a second, -1 for never) is a hint only,
    since nobody knows how long a call was on its way.
    """

    versions_digest: int
    confirmed_age_ds: int


class ConfirmationReply(NamedTuple):
    """Tell how old the sender's confirmation is and whose it was first.

    `subtree_versions` is empty if they are those of the pull.
    """

    confirmed_age_ds: int
    source: str
    versions_digest: int
    subtree_versions: dict[str, int]


class TakeTokens(NamedTuple):
    """Ask the holder of a share for tokens of a customer's budget.

    `once_key` is the digest of an idempotency key, empty for none.
    `have_ratio` is how full the sender's own share is when it is a holder
    that asks for a loan, and negative when it is an entry instance.
    `spent` lists grants of this share of which nothing is left to spend.
    """

    customer: str
    share: int
    amount: int
    request_id: str
    once_key: str = ''
    have_ratio: float = -1.0
    spent: tuple[int, ...] = ()


class TokenGrant(NamedTuple):
    """Give tokens that may be spent for `valid_s` after the request.

    `left` is what the share has left, so that the sender can choose the
    fullest share next time. An amount of 0 acknowledges the `once_key`
    only.
    """

    grant_id: int
    amount: int
    valid_s: float
    left: float = 0.0


class TokenDenial(NamedTuple):
    """Refuse tokens with a code of the error table."""

    code: str
    retry_after_s: float
    left: float = 0.0


class ReturnTokens(NamedTuple):
    """Give back unspent tokens of a grant."""

    customer: str
    share: int
    grant_id: int
    amount: int


class FinishOnce(NamedTuple):
    """Tell the holder of share 0 how a request with a once key ended."""

    customer: str
    once_key: str
    request_id: str
    ran: bool


class TakePermit(NamedTuple):
    """Ask a pool's holder for a permit to run one request.

    `probe_ok` allows a trial at an ejected server: set for idempotent
    requests only. Without `may_queue` a busy pool denies at once, since
    another failure domain's pool may have a free slot.
    """

    service: str
    domain: str
    request_id: str
    customer: str
    remaining_s: float
    excluded: tuple[str, ...] = ()
    probe_ok: bool = False
    may_queue: bool = True


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


class Check(NamedTuple):
    """Check that an instance lives and spread news of others.

    `digest` sums up the sender's records; the receiver asks for all of
    them when its own differ.
    """

    digest: int
    news: tuple[roster.InstanceRecord, ...] = ()


class CheckReply(NamedTuple):
    """Answer a check with news and the digest after taking them."""

    digest: int
    news: tuple[roster.InstanceRecord, ...] = ()


class Exchange(NamedTuple):
    """Give all records of instances and ask for all."""

    records: tuple[roster.InstanceRecord, ...]


class ExchangeReply(NamedTuple):
    """Give all records of instances."""

    records: tuple[roster.InstanceRecord, ...]


class PullChanges(NamedTuple):
    """Ask for what changed in the store after a revision."""

    revision: int


class ChangesReply(NamedTuple):
    """Give changes, complete up to `revision`.

    `age_s` is how long ago the store last confirmed them, negative if this
    instance has not heard of the store.
    """

    revision: int
    age_s: float
    changes: tuple[replica.EntryChange, ...] = ()


class AskQuota(NamedTuple):
    """Ask the holder of a customer to admit one request."""

    customer: str


class QuotaReply(NamedTuple):
    """Admit a request, or say when to come back."""

    is_admitted: bool
    retry_after_s: float = 0.0


class AskServer(NamedTuple):
    """Ask the holder of a shard for a backend server; see asks.Ask."""

    shard: shards.Shard
    request_id: str
    target_s: float
    waited_s: float
    remaining_s: float
    priority: int = 0
    excluded: tuple[str, ...] = ()
    is_repeat: bool = False
    is_idempotent: bool = False
    may_wait: bool = True
    is_new: bool = True


class ServerReply(NamedTuple):
    """Name a server, or refuse with a code of the error table.

    With neither the request keeps its place in the queue and is asked for
    again, or may get one after `wait_s` if it did not ask for it; `doubt` is
    that of asks.Queued. `ejected` lists the servers that are out of use.
    """

    permit_id: int = 0
    server: str = ''
    patience_s: float = 0.0
    code: str = ''
    retry_after_s: float = 0.0
    ejected: tuple[str, ...] = ()
    wait_s: float = 0.0
    doubt: int = 0


class FinishRequest(NamedTuple):
    """Tell a shard's holder how a permitted request ended."""

    shard: shards.Shard
    permit_id: int
    outcome: str
    latency_s: float


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
    21: ConfirmationPull,
    22: ConfirmationReply,
    23: FinishOnce,
    24: Check,
    25: CheckReply,
    26: Exchange,
    27: ExchangeReply,
    28: PullChanges,
    29: ChangesReply,
    30: AskQuota,
    31: QuotaReply,
    32: AskServer,
    33: ServerReply,
    34: FinishRequest,
}
_TAG_OF = {kind: tag for tag, kind in _TAGS.items()}
_DECODERS = {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _TAGS.items()}
_ENCODER = msgspec.msgpack.Encoder()
# Marks a compressed message, which starts with its own tag.
COMPRESSED_TAG = 255
# Below this, headers and acknowledgements outweigh what is saved.
COMPRESS_ABOVE_BYTES = 1024
# Text of routes and keys shrinks to a fifth at the fastest level.
COMPRESS_LEVEL = 1
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

# Calls that an instance sends whether or not there are requests.
CONTROL_CALLS = (
    GossipPull,
    ConfirmationPull,
    FetchView,
    FetchSubtrees,
    SurveyPool,
    PoolSummary,
    Check,
    Exchange,
    PullChanges,
)
CONTROL_REPLIES = (
    GossipReply,
    ConfirmationReply,
    ViewReply,
    SubtreesReply,
    SurveyReply,
    PoolSummaryReply,
    CheckReply,
    ExchangeReply,
    ChangesReply,
)
# Calls answered to a sender that proves the fleet's secret but is not yet in
# the receiver's list; they change nothing at the receiver.
BOOTSTRAP_CALLS = (FetchView, FetchSubtrees)


def encode(message: Any) -> bytes:
    """Return the wire form: one tag byte and a MessagePack array.

    Large messages are compressed: links of some instances are slow.
    """
    body = bytes((_TAG_OF[type(message)],)) + _ENCODER.encode(message)
    if len(body) <= COMPRESS_ABOVE_BYTES:
        return body
    return bytes((COMPRESSED_TAG,)) + zlib.compress(body, COMPRESS_LEVEL)


def _decompress(packed: memoryview) -> bytes:
    stream = zlib.decompressobj()
    try:
        body = stream.decompress(packed, MESSAGE_LIMIT_BYTES)
    except zlib.error as error:
        raise errors.make_error('message_undecodable', error) from error
    if not stream.eof:
        raise errors.make_error('message_undecodable', 'cut or too large')
    return body


def decode(body: bytes) -> Any:
    """Return the message, or raise MessageUndecodable."""
    if body[:1] == bytes((COMPRESSED_TAG,)):
        body = _decompress(memoryview(body)[1:])
    if not body or body[0] not in _DECODERS:
        raise errors.make_error('message_undecodable', body[:1].hex())
    try:
        return _DECODERS[body[0]].decode(memoryview(body)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise errors.make_error('message_undecodable', err) from err
