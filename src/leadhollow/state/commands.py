"""Commands that stand in the replicated log, and their answers."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import CatalogItem, Row
from leadhollow.state.voters import ChangeVoters
from leadhollow.weights.named_versions import PieceManifest


class RowEdit(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """One row of an edit.

    Parameters
    ----------
    expected_revision
        Revision the operator saw; 0 for a row that must not exist yet.
    row
        The new row, or None to remove it.
    """

    group: str
    expected_revision: int
    row: Row | None


class EditRows(msgspec.Struct, frozen=True, kw_only=True, tag="edit-rows"):
    """An edit of one or more rows, taken whole or not at all."""

    operation_id: str
    operator: str
    edits: tuple[RowEdit, ...]


class PublishVersion(msgspec.Struct, frozen=True, kw_only=True, tag="publish-version"):
    """Makes a model version known."""

    operation_id: str
    model: str
    version: str
    root: str
    size_bytes: int
    origin_url: str


class SetDrain(msgspec.Struct, frozen=True, kw_only=True, tag="set-drain"):
    """Sends a backend server away, or takes it back."""

    operation_id: str
    operator: str
    server: str
    draining: bool


class TakeLease(msgspec.Struct, frozen=True, kw_only=True, tag="take-lease"):
    """Gives a lease to a new holder; the leader proposes it only for a free lease."""

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
    """Stores how a claimed request ended."""

    group: str
    key: str
    request_id: str
    outcome: str
    code: int
    status: int
    content_type: str
    body: bytes


class ExpireClaims(msgspec.Struct, frozen=True, kw_only=True, tag="expire-claims"):
    """Forgets claims up to a log index."""

    through_index: int


class ReplaceRouteTable(msgspec.Struct, frozen=True, kw_only=True, tag="replace-route-table"):
    """Puts a whole route table in force; one that is not newer changes nothing.

    Parameters
    ----------
    table
        Encoded and compressed, see :mod:`leadhollow.state.route_tables`.
    source
        The operator's own document, compressed; it is given back as it came.
    """

    number: int
    table: bytes
    source: bytes


class NameVersion(msgspec.Struct, frozen=True, kw_only=True, tag="name-version"):
    """Names a version of weights that engines shall run."""

    model: str
    number: int


class DescribeVersion(msgspec.Struct, frozen=True, kw_only=True, tag="describe-version"):
    """Adds what the origin says of a version."""

    model: str
    number: int
    manifest: PieceManifest


class TermStart(msgspec.Struct, frozen=True, kw_only=True, tag="term-start"):
    """Empty command with which a new leader commits the log before it."""


class ReadBarrier(msgspec.Struct, frozen=True, kw_only=True, tag="read-barrier"):
    """Changes nothing; a reader waits for it so as to see all that was accepted before."""


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
)


class Answer(msgspec.Struct, frozen=True, kw_only=True, tag="answer"):
    """What an operator's command was answered.

    Parameters
    ----------
    code
        0 where accepted.
    current
        On a conflict, the items as they stand.
    """

    code: int = 0
    detail: str = ""
    revision: int = 0
    current: tuple[CatalogItem, ...] = ()


class ClaimAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="claim-answer"):
    """Whether a key was free, and if not, what became of its request."""

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


def decode_command(data: bytes) -> Result[Command, Failure]:
    """Decode a command.

    Errors
    ------
    COMMAND_INVALID
        The bytes are no command of this release.
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
    "TakeLease",
    "TermStart",
    "decode_answer",
    "decode_command",
    "encode",
]
