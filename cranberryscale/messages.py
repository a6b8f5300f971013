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
    'FinishOnce',
    'GossipEntry',
    'GossipPull',
    'GossipReply',
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


class AssignmentRecord(NamedTuple):
    """Define an assignment: a view version and the suspected members."""

    view_version: int
    suspected: tuple[str, ...]


class GossipEntry(NamedTuple):
    """Tell how long ago a member spoke and what it granted then.

    `member` is a short hash of the name. `assignment` and `previous` index
    GossipReply.assignments, -1 for none. Ages are in tenths of a second,
    rounded up; `assignment_age` is the age of the current assignment when
    the member spoke.
    """

    member: int
    incarnation: int
    age_ds: int
    assignment: int
    assignment_age_ds: int
    previous: int
    confirmed_age_ds: int


class GossipPull(NamedTuple):
    """Ask for the receiver's table of members."""

    view_version: int
    subtree_versions: dict[str, int]


class GossipReply(NamedTuple):
    """Return the sender's table of members and what it has in force."""

    view_version: int
    subtree_versions: dict[str, int]
    assignments: tuple[AssignmentRecord, ...]
    entries: tuple[GossipEntry, ...]


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
    21: FinishOnce,
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
    FinishOnce,
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
