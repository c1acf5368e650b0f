"""Commands of the replicated log, their answers, and the encoding of both."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import CatalogItem, Row
from leadhollow.state.voters import ChangeVoters
from leadhollow.weights.named_versions import PieceManifest

MAX_COMMAND_BYTES = 4 * 1024 * 1024
"""Disks of control VMs hold a few times as much. A route takes some 50 bytes of it."""


class RowEdit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Edit of one row.

    Parameters
    ----------
    expected_revision
        Revision that the operator has seen; 0 if the row must not exist yet.
    row
        New row, or None to remove it.
    """

    group: str
    expected_revision: int
    row: Row | None


class EditRows(msgspec.Struct, frozen=True, kw_only=True, tag="edit-rows"):
    """Edits one or more rows atomically."""

    operation_id: str
    operator: str
    edits: tuple[RowEdit, ...]


class PublishVersion(msgspec.Struct, frozen=True, kw_only=True, tag="publish-version"):
    """Publishes a model version."""

    operation_id: str
    model: str
    version: str
    root: str
    size_bytes: int
    origin_url: str


class SetDrain(msgspec.Struct, frozen=True, kw_only=True, tag="set-drain"):
    """Starts or ends the drain of a backend server."""

    operation_id: str
    operator: str
    server: str
    draining: bool


class TakeLease(msgspec.Struct, frozen=True, kw_only=True, tag="take-lease"):
    """Grants a lease to a new holder; the leader proposes it only if the lease is free."""

    name: str
    holder: str
    ttl_ms: int
    replaced_fence: int


class Claim(msgspec.Struct, frozen=True, kw_only=True, tag="claim"):
    """Claims a caller's idempotency key for one request."""

    group: str
    key: str
    digest: str
    request_id: str
    entry: str


class FinishClaim(msgspec.Struct, frozen=True, kw_only=True, tag="finish-claim"):
    """Stores the result of a claimed request."""

    group: str
    key: str
    request_id: str
    outcome: str
    code: int
    status: int
    content_type: str
    body: bytes


class ExpireClaims(msgspec.Struct, frozen=True, kw_only=True, tag="expire-claims"):
    """Removes all claims up to a log index."""

    through_index: int


class ReplaceRouteTable(msgspec.Struct, frozen=True, kw_only=True, tag="replace-route-table"):
    """Replaces the route table if the new one has a higher number.

    Parameters
    ----------
    table
        Encoded and compressed table, see :mod:`leadhollow.state.route_tables`.
    source
        Document of the operator, compressed; it is returned unchanged on request.
    """

    number: int
    table: bytes
    source: bytes


class NameVersion(msgspec.Struct, frozen=True, kw_only=True, tag="name-version"):
    """Names a version of weights that engines are to run."""

    model: str
    number: int


class DescribeVersion(msgspec.Struct, frozen=True, kw_only=True, tag="describe-version"):
    """Adds the manifest of a version, as read from the origin."""

    model: str
    number: int
    manifest: PieceManifest


class SetEvacuation(msgspec.Struct, frozen=True, kw_only=True, tag="set-evacuation"):
    """Starts or ends the evacuation of a failure domain; nothing changes if it is already so.

    Parameters
    ----------
    seen_revision
        Revision of the catalog at the replica that received the order, when it received it.
    received_ms
        Wall-clock time of receipt in Unix milliseconds, shown to operators.
    """

    domain: str
    evacuated: bool
    seen_revision: int
    received_ms: int


class TermStart(msgspec.Struct, frozen=True, kw_only=True, tag="term-start"):
    """Empty command of a new leader; its commit also commits all entries before it."""


class ReadBarrier(msgspec.Struct, frozen=True, kw_only=True, tag="read-barrier"):
    """Changes nothing; a reader that has applied it sees all that was accepted before."""


Command = (
    EditRows
    | PublishVersion
    | SetDrain
    | TakeLease
    | Claim
    | FinishClaim
    | ExpireClaims
    | TermStart
    | ReadBarrier
    | ReplaceRouteTable
    | NameVersion
    | DescribeVersion
    | ChangeVoters
    | SetEvacuation
)


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """Answer to a command of an operator.

    Parameters
    ----------
    code
        0 if accepted.
    current
        On a conflict, the current items.
    """

    code: int = 0
    detail: str = ""
    revision: int = 0
    current: tuple[CatalogItem, ...] = ()


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="claim-answer"):
    """Answer to a claim: whether the key was free, or else the state of its request."""

    fresh: bool
    code: int = 0
    request_id: str = ""
    finished: FinishClaim | None = None


AnyAnswer = Answer | ClaimAnswer

_command_decoder = msgspec.msgpack.Decoder(Command)
_answer_decoder = msgspec.msgpack.Decoder(AnyAnswer)
_encoder = msgspec.msgpack.Encoder()


def encode(value: Command | AnyAnswer) -> bytes:
    """Encode a command or an answer."""
    return _encoder.encode(value)


def encode_bounded(command: Command) -> Result[bytes, Failure]:
    """Encode a command that is to be replicated.

    Errors
    ------
    COMMAND_TOO_LARGE
        The detail names the size and the limit.
    """
    encoded = encode(command)
    if len(encoded) > MAX_COMMAND_BYTES:
        detail = f"{len(encoded)} bytes once encoded, {MAX_COMMAND_BYTES} are allowed"
        return Err(Failure(code=Code.COMMAND_TOO_LARGE, detail=detail))
    return Ok(encoded)


def decode_command(data: bytes) -> Result[Command, Failure]:
    """Decode a command.

    Errors
    ------
    COMMAND_INVALID
        The bytes are not a command that this release knows.
    """
    try:
        return Ok(_command_decoder.decode(data))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.COMMAND_INVALID, detail=str(error)))


def decode_answer(data: bytes) -> Result[AnyAnswer, Failure]:
    """Decode an answer."""
    try:
        return Ok(_answer_decoder.decode(data))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.COMMAND_INVALID, detail=str(error)))


__all__ = [
    "Answer",
    "AnyAnswer",
    "ChangeVoters",
    "Claim",
    "ClaimAnswer",
    "Command",
    "DescribeVersion",
    "EditRows",
    "ExpireClaims",
    "FinishClaim",
    "NameVersion",
    "PublishVersion",
    "ReadBarrier",
    "ReplaceRouteTable",
    "RowEdit",
    "SetDrain",
    "SetEvacuation",
    "TakeLease",
    "TermStart",
    "decode_answer",
    "decode_command",
    "encode",
    "encode_bounded",
]
