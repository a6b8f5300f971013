"""Messages between instances.

All are NamedTuples that msgspec encodes as MessagePack arrays, so each
message is defined only once. Times are sent as durations in seconds, since
they must not depend on the sender's clock.
"""

from typing import Any
from typing import NamedTuple
import zlib

import msgspec

from cranberryscale import errors
from cranberryscale.process.pool import retry_ledgers
from cranberryscale.process.pool import server_limits
from cranberryscale.process.pool import server_statements
from cranberryscale.process import request_crashes
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
    'ResultReady',
    'ReturnTokens',
    'ServerReply',
    'ServerSummary',
    'ShareRetries',
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
    """The members that a member grants leases to.

    Both fields are bitmaps over GossipReply.identities. `eligible` marks
    members that may hold resources; `recent` marks members whose
    eligibility or incarnation changed within the waiting time.
    """

    eligible: bytes
    recent: bytes


class GossipPull(NamedTuple):
    """A request for the receiver's table of members.

    `member` is a short hash of the sender's name and failure domain; `roster`
    is the digest of the sender's identities.
    """

    member: int
    incarnation: int
    roster: int
    view_version: int
    subtree_versions: dict[str, int]


class GossipReply(NamedTuple):
    """The sender's table of members and its versions in force.

    `identities` packs member hashes and incarnations and is empty when the
    roster is the one of the pull. The other bytes fields are columns with one
    byte per identity, 255 for none. `ages` is the time since the member's
    heartbeat and `confirmed_ages` the age of its configuration's confirmation
    at that time, both in tenths of a second, rounded up. `record_indexes` is
    the index of the member's grants in `records`.
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
    """A request for the receiver's instance list."""


class ViewReply(NamedTuple):
    """An instance list, with members as rows of version.view.Member."""

    version: int
    members: tuple[tuple[str, str, str, str, str, bool], ...]


class FetchSubtrees(NamedTuple):
    """A request for subtrees newer than the given versions."""

    have: dict[str, int]


class SubtreeRecord(NamedTuple):
    """The documents of a subtree that changed since `base` (0: all)."""

    team: str
    version: int
    base: int
    documents: dict[str, str]
    removed: tuple[str, ...] = ()


class SubtreesReply(NamedTuple):
    """Newer subtrees."""

    subtrees: tuple[SubtreeRecord, ...]


class ConfirmationPull(NamedTuple):
    """A request for the age of the receiver's confirmation.

    `versions_digest` is the digest of the subtree versions in force at the
    sender. `confirmed_age_ds` (tenths of a second, -1 for never) is only a
    hint, since the transmission time of the message is unknown.
    """

    versions_digest: int
    confirmed_age_ds: int


class ConfirmationReply(NamedTuple):
    """The age of the sender's confirmation and its original source.

    `subtree_versions` is empty if they are those of the pull.
    """

    confirmed_age_ds: int
    source: str
    versions_digest: int
    subtree_versions: dict[str, int]


class TakeTokens(NamedTuple):
    """A request to the holder of a share for tokens of a customer's budget.

    `once_key` is the digest of an idempotency key, empty for none.
    `have_ratio` is how full the sender's own share is if it is a holder that
    requests a loan, and negative if it is an entry instance. `spent` lists
    grants of this share of which no tokens are left.
    """

    customer: str
    share: int
    amount: int
    request_id: str
    once_key: str = ''
    have_ratio: float = -1.0
    spent: tuple[int, ...] = ()


class TokenGrant(NamedTuple):
    """Tokens that may be spent for `valid_s` after the request.

    `left` is the number of tokens left in the share, so that the sender can
    choose the fullest share next time. An amount of 0 acknowledges only the
    `once_key`.
    """

    grant_id: int
    amount: int
    valid_s: float
    left: float = 0.0


class TokenDenial(NamedTuple):
    """A refusal of tokens, with a code of the error table."""

    code: str
    retry_after_s: float
    left: float = 0.0


class ReturnTokens(NamedTuple):
    """Unspent tokens of a grant, returned to the share."""

    customer: str
    share: int
    grant_id: int
    amount: int


class FinishOnce(NamedTuple):
    """A report to share 0's holder that a request ended, and whether it ran.

    Sent for requests with an idempotency key only.
    """

    customer: str
    once_key: str
    request_id: str
    ran: bool


class TakePermit(NamedTuple):
    """A request to a pool's holder for a permit to send one request.

    `probe_ok` allows a trial at an ejected server; it is set for idempotent
    requests only. Without `may_queue` a busy pool refuses at once, since the
    pool of another failure domain may have a free slot.
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
    """A permit to send one request to a backend server.

    The request must start within `start_within_s` after the permit was
    requested.
    """

    permit_id: str
    server: str
    start_within_s: float


class PermitDenial(NamedTuple):
    """A refusal of a permit, with a code of the error table."""

    code: str
    retry_after_s: float


class PermitReport(NamedTuple):
    """A report on the end of a request with a permit.

    `outcome` is "ok", "error" (status of 500 or more, or a broken connection),
    "ended" (the connection ended without an answer), "shed" (the server
    states that it did not run the request), "wrong" (no valid digest or
    signature), "truncated", "crossed" (the answer to another request),
    "silent" (no answer in time), "refused" (nothing could be sent),
    "cancelled" (not ended by the server, for example by the caller) or
    "unused" (never sent). `cold` is the server's own statement that it is in
    cold start.
    """

    permit_id: str
    server: str
    outcome: str
    latency_s: float
    cold: bool = False


class PermitReports(NamedTuple):
    """Reports for one pool."""

    service: str
    domain: str
    reports: tuple[PermitReport, ...]


class SurveyPool(NamedTuple):
    """A request for the permits of a pool that are in use at the receiver.

    The receiver accepts no permit of an earlier holder afterwards.
    """

    service: str
    domain: str


class SurveyPermit(NamedTuple):
    """A permit in use."""

    permit_id: str
    server: str
    remaining_s: float


class SurveyReply(NamedTuple):
    """The permits in use at the sender."""

    permits: tuple[SurveyPermit, ...]


class PoolSummary(NamedTuple):
    """A request to a pool's holder for recent evidence on its servers."""

    service: str
    domain: str


class ServerSummary(NamedTuple):
    """A summary of recent evidence on one backend server."""

    server: str
    count: int
    median_latency_s: float
    error_ratio: float


class PoolSummaryReply(NamedTuple):
    """Recent evidence on a pool's servers."""

    servers: tuple[ServerSummary, ...]


class Check(NamedTuple):
    """A health check of an instance, with changed records of others.

    `digest` is a digest of the sender's records; if those of the receiver
    differ, it requests all of them.
    """

    digest: int
    news: tuple[roster.InstanceRecord, ...] = ()


class CheckReply(NamedTuple):
    """The reply to a check, with changed records and the merged digest."""

    digest: int
    news: tuple[roster.InstanceRecord, ...] = ()


class Exchange(NamedTuple):
    """All records of instances at the sender, and a request for all."""

    records: tuple[roster.InstanceRecord, ...]


class ExchangeReply(NamedTuple):
    """All records of instances at the sender."""

    records: tuple[roster.InstanceRecord, ...]


class PullChanges(NamedTuple):
    """A request for changes of the store after a revision of an era."""

    revision: int
    era: int = 0


class ChangesReply(NamedTuple):
    """Changes of the store, complete up to `revision`.

    `age_s` is the time since the store last confirmed them, negative if this
    instance has received nothing from the store yet. If `era` is later than
    that of the request, they are all entries; if earlier, there are none.
    """

    revision: int
    age_s: float
    changes: tuple[replica.EntryChange, ...] = ()
    era: int = 0


class AskQuota(NamedTuple):
    """A request to a customer's quota holder to admit one request.

    The request can wait for its token for `longest_wait_s`. With a request id
    it can ask again, and a late response is of use if it starts within
    `late_wait_s`. `priority` orders it among the customer's requests.
    """

    customer: str
    longest_wait_s: float = 0.0
    request_id: str = ''
    late_wait_s: float = 0.0
    priority: int = 0


class QuotaReply(NamedTuple):
    """The decision whether to admit a request.

    An admitted request may start after `delay_s`; another one may be repeated
    then. One that `is_waiting` keeps its place in the queue if the same
    request asks again then.
    """

    is_admitted: bool
    delay_s: float = 0.0
    is_waiting: bool = False


class AskServer(NamedTuple):
    """A request to the holder of a shard for a backend server.

    See dispatch_requests.DispatchRequest. `limits` are those in force at the
    shard's servers as far as the sender knows. `history` is what it knows of
    the request, None for one that runs once. `customer` is empty for requests
    without a key. `kind` names requests that are alike. A request that may not
    wait is queued all the same if it expects to wait for at most
    `longest_wait_s`. `retries` are the attempts at the shard that other
    processes have counted, for a holder that may not know of them; it is None
    if the sender does not read those of a reply. A retry that `is_paid` was
    granted by the holder of another shard.
    """

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
    limits: tuple[server_limits.ServerLimit, ...] = ()
    history: request_crashes.RequestHistory | None = None
    customer: str = ''
    kind: str = ''
    longest_wait_s: float = 0.0
    retries: tuple[retry_ledgers.RetryReport, ...] | None = None
    is_paid: bool = False


class ServerReply(NamedTuple):
    """A server to use, or a refusal with a code of the error table.

    With neither, a request that may wait is queued and the sender repeats the
    message. Without `may_wait` it is queued only if `is_queued`, and `wait_s`
    is the expected wait in the queue. `doubt` is that of
    dispatch_requests.QueuePlace. `ejected` lists the servers that are ejected.
    `limits` are those in force at the shard's servers, and those of the
    request that have ended. `history` is set if servers ended under the
    request. `retries` are the attempts at the shard that are known. A refusal
    with a `permit_id` grants a retry at a server of another shard.
    """

    permit_id: int = 0
    server: str = ''
    patience_s: float = 0.0
    code: str = ''
    retry_after_s: float = 0.0
    ejected: tuple[str, ...] = ()
    wait_s: float = 0.0
    doubt: int = 0
    limits: tuple[server_limits.ServerLimit, ...] = ()
    history: request_crashes.RequestHistory | None = None
    is_queued: bool = False
    retries: tuple[retry_ledgers.RetryReport, ...] = ()


class FinishRequest(NamedTuple):
    """A report to a shard's holder on the end of a request with a permit.

    `statement` is what the server's answer says of it, None without answer.
    With the outcome dispatch_requests.OVERDUE the request goes on. `history`
    is set if servers ended under the request. It is sent to the holders of
    the service's other shards as well, with permit id 0.
    """

    shard: shards.Shard
    permit_id: int
    outcome: str
    latency_s: float
    statement: server_statements.ServerStatement | None = None
    history: request_crashes.RequestHistory | None = None


class ResultReady(NamedTuple):
    """A notice to the sender of a queued request that it has a result.

    The sender collects the result by repeating its question.
    """

    request_id: str


class ShareRetries(NamedTuple):
    """What a holder knows of the attempts at a shard, for its successor."""

    shard: shards.Shard
    retries: tuple[retry_ledgers.RetryReport, ...]


class Done(NamedTuple):
    """The acknowledgement of a message that has no other reply.

    `history` is what the receiver knows of the message's request.
    """

    history: request_crashes.RequestHistory | None = None


class Failure(NamedTuple):
    """A refusal of a message, with a code of the error table."""

    code: str
    value: str = ''


# Wire tags. A tag must never be reused for another message.
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
    35: ResultReady,
    36: ShareRetries,
}
_TAG_OF = {kind: tag for tag, kind in _TAGS.items()}
_DECODERS = {tag: msgspec.msgpack.Decoder(kind) for tag, kind in _TAGS.items()}
_ENCODER = msgspec.msgpack.Encoder()
# Tag of a compressed message; the decompressed data starts with its own tag.
COMPRESSED_TAG = 255
# Smaller messages gain nothing, since headers and acknowledgements dominate.
COMPRESS_ABOVE_BYTES = 1024
# Even the fastest level reduces routes and keys to a fifth of their size.
COMPRESS_LEVEL = 1
MESSAGE_LIMIT_BYTES = 16 * 1024 * 1024

# Messages that instances send even without requests from callers.
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
# Messages accepted from a sender that has the fleet's secret but is not yet in
# the receiver's view; they change nothing at the receiver.
BOOTSTRAP_CALLS = (FetchView, FetchSubtrees)


def _omit_trailing_defaults(message: Any) -> tuple:
    """Return the fields up to the last one that differs from its default.

    Programs that do not have the newer fields can then read the message.
    """
    values, defaults = tuple(message), message._field_defaults
    for name in reversed(message._fields):
        if name not in defaults or values[-1] != defaults[name]:
            break
        values = values[:-1]
    return values


def encode(message: Any) -> bytes:
    """Return the wire format: a tag byte and a MessagePack array.

    Large messages are compressed, since some instances have slow links.
    """
    body = bytes((_TAG_OF[type(message)],)) + _ENCODER.encode(
        _omit_trailing_defaults(message)
    )
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
    """Decode a message, or raise MessageUndecodable."""
    if body[:1] == bytes((COMPRESSED_TAG,)):
        body = _decompress(memoryview(body)[1:])
    if not body or body[0] not in _DECODERS:
        raise errors.make_error('message_undecodable', body[:1].hex())
    try:
        return _DECODERS[body[0]].decode(memoryview(body)[1:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        raise errors.make_error('message_undecodable', err) from err
