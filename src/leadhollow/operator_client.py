"""Client of the operators' listeners of the state VMs."""

from __future__ import annotations

import asyncio
import uuid
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure, failure_from_number
from leadhollow.http_client import HttpClient, HttpReply
from leadhollow.problem import PROBLEM_TYPE
from leadhollow.state.commands import RowEdit
from leadhollow.state.operator_replies import (
    STALE_HEADER,
    EditReply,
    RowReply,
    StatusReply,
)
from leadhollow.state.records import HistoryEntry, VersionRecord
from leadhollow.weights.manifest import (
    DEFAULT_CHUNK_BYTES,
    Manifest,
    build_manifest,
    encode_manifest,
    root_hash,
)

READ_TIMEOUT_S = 10.0
EDIT_TIMEOUT_S = 70.0
UPLOAD_TIMEOUT_S = 3_600.0

Reply = TypeVar("Reply")


class OperatorClient:
    """Sends operators' requests to the first listener that responds.

    Parameters
    ----------
    urls
        Addresses of the operators' listeners, the preferred one first.
    token
        Operator token, sent with every request.

    Attributes
    ----------
    last_answer_stale
        Whether the last response came from a replica that could not confirm that it had all
        changes accepted before.
    """

    __slots__ = ("_http", "_token", "_urls", "last_answer_stale")

    def __init__(self, *, urls: tuple[str, ...], token: str) -> None:
        self._urls = urls
        self._token = token
        self._http = HttpClient()
        self.last_answer_stale = False

    async def close(self) -> None:
        """Close connections."""
        await self._http.close()

    async def rows(self) -> Result[list[RowReply], Failure]:
        """List all rows of the table."""
        return await self._get("/v1/table", list[RowReply])

    async def row(self, group: str) -> Result[RowReply, Failure]:
        """Return the row of one group."""
        return await self._get(f"/v1/table/{group}", RowReply)

    async def versions(self) -> Result[list[VersionRecord], Failure]:
        """List the published versions."""
        return await self._get("/v1/versions", list[VersionRecord])

    async def history(self, group: str) -> Result[list[HistoryEntry], Failure]:
        """List accepted changes of one group, or of all groups where the name is empty."""
        return await self._get(
            f"/v1/history?group={group}" if group else "/v1/history", list[HistoryEntry]
        )

    async def status(self) -> Result[StatusReply, Failure]:
        """Return the status of the system."""
        return await self._get("/v1/status", StatusReply)

    async def edit(
        self,
        edits: list[RowEdit],
        *,
        operator: str,
        wait_ms: int = 0,
        dry_run: bool = False,
        operation_id: str = "",
    ) -> Result[EditReply, Failure]:
        """Edit rows; an edit without a response is sent to the next listener with the same id.

        Errors
        ------
        ROW_INVALID, REVISION_CONFLICT, VERSION_UNKNOWN
            Refused; nothing changed.
        EDIT_UNKNOWN
            The edit may have been accepted; the detail has the operation id to ask for it.
        """
        operation_id = operation_id or uuid.uuid4().hex
        body = {
            "operation_id": operation_id,
            "operator": operator,
            "edits": edits,
            "wait_ms": wait_ms,
            "dry_run": dry_run,
        }
        return await self._change("/v1/edits", body, operation_id)

    async def drain(
        self, server: str, *, draining: bool, operator: str
    ) -> Result[EditReply, Failure]:
        """Drain a backend server, or cancel its drain."""
        operation_id = uuid.uuid4().hex
        body = {
            "operation_id": operation_id,
            "operator": operator,
            "server": server,
            "draining": draining,
        }
        return await self._change("/v1/drains", body, operation_id)

    async def publish(
        self,
        path: Path,
        *,
        model: str,
        version: str,
        origin_url: str,
        chunk_bytes: int = DEFAULT_CHUNK_BYTES,
    ) -> Result[VersionRecord, Failure]:
        """Hash a model file, upload it to the origin and publish the version."""
        built = await asyncio.to_thread(
            build_manifest, path, model=model, version=version, chunk_bytes=chunk_bytes
        )
        if built.is_err():
            return Err(built.unwrap_err())
        manifest: Manifest = built.unwrap()
        encoded = encode_manifest(manifest)
        folder = f"{origin_url.rstrip('/')}/{model}/{version}"
        for name, data in (("weights", path), ("manifest", encoded)):
            put = await self._put(f"{folder}/{name}", data)
            if put.is_err():
                return Err(put.unwrap_err())
        record = VersionRecord(
            model=model,
            version=version,
            root=root_hash(encoded),
            size_bytes=manifest.size_bytes,
            origin_url=folder,
        )
        operation_id = uuid.uuid4().hex
        body = {
            "operation_id": operation_id,
            "model": model,
            "version": version,
            "root": record.root,
            "size_bytes": record.size_bytes,
            "origin_url": folder,
        }
        changed = await self._change("/v1/versions", body, operation_id)
        return Err(changed.unwrap_err()) if changed.is_err() else Ok(record)

    async def _put(self, url: str, data: bytes | Path) -> Result[None, Failure]:
        put = await self._http.fetch("PUT", url, body=data, timeout_s=UPLOAD_TIMEOUT_S)
        if put.is_err():
            return Err(Failure(code=Code.ORIGIN_FAILED, detail=put.unwrap_err().detail))
        if put.unwrap().status not in (200, 201, 204):
            detail = f"PUT {url}: HTTP {put.unwrap().status}"
            return Err(Failure(code=Code.ORIGIN_FAILED, detail=detail))
        return Ok(None)

    async def _change(
        self, path: str, body: Mapping[str, object], operation_id: str
    ) -> Result[EditReply, Failure]:
        encoded = msgspec.json.encode(body)
        sent = await self._send("POST", path, body=encoded, timeout_s=EDIT_TIMEOUT_S)
        if sent.is_err():
            failure = sent.unwrap_err()
            if failure.code is Code.EDIT_UNKNOWN:
                failure = Failure(code=failure.code, detail=f"operation {operation_id}")
            return Err(failure)
        decoded = _decode(sent.unwrap(), EditReply)
        if decoded.is_ok() and decoded.unwrap().code:
            reply = decoded.unwrap()
            return Err(failure_from_number(reply.code, _conflict_text(reply)))
        return decoded

    async def _get(self, path: str, reply_type: type[Reply]) -> Result[Reply, Failure]:
        sent = await self._send("GET", path, body=None, timeout_s=READ_TIMEOUT_S)
        if sent.is_err():
            return Err(sent.unwrap_err())
        return _decode(sent.unwrap(), reply_type)

    async def _send(
        self, method: str, path: str, *, body: bytes | None, timeout_s: float
    ) -> Result[HttpReply, Failure]:
        headers = {"Authorization": f"Bearer {self._token}"}
        last = Failure(code=Code.OPERATOR_UNREACHABLE)
        may_be_accepted = False
        for url in self._urls:
            fetched = await self._http.fetch(
                method, f"{url}{path}", headers=headers, body=body, timeout_s=timeout_s
            )
            if fetched.is_err():
                failure = fetched.unwrap_err()
                may_be_accepted = may_be_accepted or failure.code is not Code.PEER_ABSENT
                last = Failure(code=Code.OPERATOR_UNREACHABLE, detail=failure.detail)
                continue
            reply = fetched.unwrap()
            if not reply.headers.get("Content-Type", "").startswith(PROBLEM_TYPE):
                self.last_answer_stale = STALE_HEADER in reply.headers
                return Ok(reply)
            last = _problem_failure(reply)
            may_be_accepted = may_be_accepted or last.code is Code.EDIT_UNKNOWN
            if last.code not in (Code.NO_MAJORITY, Code.EDIT_UNKNOWN):
                break  # after these two, the operation id makes a retry elsewhere safe
        if may_be_accepted and method != "GET":
            return Err(Failure(code=Code.EDIT_UNKNOWN, detail=last.detail))
        return Err(last)


def _decode(reply: HttpReply, reply_type: type[Reply]) -> Result[Reply, Failure]:
    try:
        return Ok(msgspec.json.decode(reply.body, type=reply_type))
    except msgspec.MsgspecError as error:
        detail = f"HTTP {reply.status}: {error}"
        return Err(Failure(code=Code.INTERNAL, detail=detail))


def _problem_failure(reply: HttpReply) -> Failure:
    try:
        problem = msgspec.json.decode(reply.body)
        return failure_from_number(int(problem["code"]), str(problem["detail"]))
    except (msgspec.MsgspecError, KeyError, ValueError):
        return Failure(code=Code.INTERNAL, detail=f"HTTP {reply.status}")


def _conflict_text(reply: EditReply) -> str:
    current = ", ".join(
        f"{item.key.removeprefix('row/')} is at revision {item.revision}" for item in reply.current
    )
    return f"{reply.detail}; {current}" if current else reply.detail


__all__ = ["OperatorClient"]
