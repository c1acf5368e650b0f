"""Request bodies of the operator HTTP API; unknown fields are rejected."""

from __future__ import annotations

from typing import TypeVar

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.commands import RowEdit
from leadhollow.state.row_rules import check_row

MAXIMUM_OPERATION_ID = 128

Body = TypeVar("Body", bound=msgspec.Struct)


class EditBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of an edit of table rows."""

    operation_id: str
    operator: str
    edits: tuple[RowEdit, ...]
    wait_ms: int = 0
    dry_run: bool = False


class PublishBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request that publishes a model version."""

    operation_id: str
    model: str
    version: str
    root: str
    size_bytes: int
    origin_url: str


class DrainBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a request that starts or ends the drain of a backend server."""

    operation_id: str
    operator: str
    server: str
    draining: bool = True


async def decode_body(request: web.Request, body_type: type[Body]) -> Result[Body, Failure]:
    """Read and decode the body of a request."""
    try:
        return Ok(msgspec.json.decode(await request.read(), type=body_type))
    except web.HTTPRequestEntityTooLarge:
        return Err(Failure(code=Code.BODY_TOO_LARGE))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.REQUEST_MALFORMED, detail=str(error)))


def check_edit(body: EditBody) -> Failure | None:
    """Return what is invalid in an edit regardless of the table, or None."""
    if not body.operation_id or len(body.operation_id) > MAXIMUM_OPERATION_ID:
        return Failure(code=Code.ROW_INVALID, detail="expected 1 to 128", field="operation_id")
    if not body.edits:
        return Failure(code=Code.ROW_INVALID, detail="expected at least one", field="edits")
    seen = set()
    for edit in body.edits:
        if edit.group in seen:
            return Failure(code=Code.ROW_INVALID, detail="stands twice", field=edit.group)
        seen.add(edit.group)
        if edit.row is not None:
            failure = check_row(edit.row)
            if failure is not None:
                return failure
    return None


__all__ = ["DrainBody", "EditBody", "PublishBody", "check_edit", "decode_body"]
