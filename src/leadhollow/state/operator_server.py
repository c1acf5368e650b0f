"""HTTP API for operators: the table, versions, drains, history and status."""

from __future__ import annotations

import asyncio
import hmac
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web
from result import Err, Ok, Result

from leadhollow.codes import Code, Outcome
from leadhollow.failure import Failure
from leadhollow.observe.logs import get_logger
from leadhollow.problem import PROBLEM_TYPE, problem_of
from leadhollow.settings.address import Address
from leadhollow.settings.model import Settings
from leadhollow.state.catalog import Catalog
from leadhollow.state.client import StateClient
from leadhollow.state.commands import (
    Answer,
    Command,
    EditRows,
    PublishVersion,
    ReadBarrier,
    SetDrain,
)
from leadhollow.state.operator_bodies import (
    DrainBody,
    EditBody,
    PublishBody,
    check_edit,
    decode_body,
)
from leadhollow.state.operator_replies import (
    STALE_HEADER,
    EditReply,
    RowReply,
    StatusReply,
)
from leadhollow.state.row_rules import valid_name
from leadhollow.state.service import StateService
from leadhollow.state.status import build_status

PROPOSE_TIMEOUT_MS = 5_000
BARRIER_TIMEOUT_MS = 2_000
APPLIED_POLL_S = 0.01
MAXIMUM_WAIT_MS = 60_000
BODY_LIMIT_BYTES = 8 * 1024 * 1024

Body = TypeVar("Body", bound=msgspec.Struct)
Handler = Callable[[web.Request], Awaitable[Result[Any, Failure]]]

log = get_logger("operators")


class OperatorHttpServer:
    """HTTP listener for operators on one state VM."""

    __slots__ = ("_runner", "_service", "_settings", "_state", "address")

    def __init__(self, *, settings: Settings, service: StateService, state: StateClient) -> None:
        self._settings = settings
        self._service = service
        self._state = state
        self._runner: web.AppRunner | None = None
        self.address = Address(host="", port=0)

    @property
    def _catalog(self) -> Catalog:
        return self._service.replica.machine.catalog

    async def start(self) -> Result[None, Failure]:
        """Open the listener."""
        if self._settings.operators is None:
            return Err(Failure(code=Code.SETTINGS_COMBINATION, field="operators"))
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        routes: list[tuple[str, str, Handler]] = [
            ("GET", "/v1/table", self._list_rows),
            ("GET", "/v1/table/{group}", self._get_row),
            ("POST", "/v1/edits", self._edit),
            ("GET", "/v1/operations/{operation_id}", self._operation),
            ("GET", "/v1/history", self._history),
            ("GET", "/v1/versions", self._versions),
            ("POST", "/v1/versions", self._publish),
            ("POST", "/v1/drains", self._drain),
            ("GET", "/v1/status", self._status),
        ]
        for method, path, handler in routes:
            application.router.add_route(method, path, self._authenticated(handler))
        runner = web.AppRunner(application, access_log=None)
        await runner.setup()
        parsed = Address.parse(self._settings.operators.listen)
        if parsed.is_err():
            return Err(parsed.unwrap_err())
        listen = parsed.unwrap()
        try:
            await web.TCPSite(runner, listen.host, listen.port).start()
        except OSError as error:
            return Err(Failure(code=Code.ADDRESS_IN_USE, detail=f"{listen}: {error}"))
        self._runner = runner
        self.address = Address(host=listen.host, port=runner.addresses[0][1])
        return Ok(None)

    async def drain(self) -> None:
        """Do nothing: requests are short, and :meth:`stop` waits for them."""

    async def stop(self) -> None:
        """Close the listener."""
        if self._runner is not None:
            await self._runner.cleanup()

    def _authenticated(self, handler: Handler) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            if not self._authorised(request):
                return _problem(Failure(code=Code.OPERATOR_TOKEN))
            result = await handler(request)
            if result.is_err():
                failure = result.unwrap_err()
                log.info("operator request refused", path=request.path, failure=str(failure))
                return _problem(failure)
            reply = web.Response(
                body=msgspec.json.encode(result.unwrap()), content_type="application/json"
            )
            if request.get("stale"):
                reply.headers[STALE_HEADER] = "true"
            return reply

        return handle

    def _authorised(self, request: web.Request) -> bool:
        if self._settings.operators is None:
            return False
        _, _, token = request.headers.get("Authorization", "").partition(" ")
        expected = self._settings.operators.token
        return hmac.compare_digest(token.strip().encode(), expected.encode())

    async def _await_accepted(self, request: web.Request) -> None:
        """Wait until all accepted changes are applied here; else mark the reply stale."""
        done = await self._state.propose(ReadBarrier(), timeout_ms=BARRIER_TIMEOUT_MS)
        if done.is_ok() and await self._wait_applied(done.unwrap().index):
            return
        request["stale"] = True

    async def _wait_applied(self, index: int) -> bool:
        for _ in range(int(BARRIER_TIMEOUT_MS / 1000 / APPLIED_POLL_S)):
            if self._service.replica.applied_index >= index:
                return True
            await asyncio.sleep(APPLIED_POLL_S)
        return False

    async def _list_rows(self, request: web.Request) -> Result[list[RowReply], Failure]:
        await self._await_accepted(request)
        return Ok(
            [reply for stored in self._catalog.rows() if (reply := self._row(stored.row.group))]
        )

    async def _get_row(self, request: web.Request) -> Result[RowReply, Failure]:
        await self._await_accepted(request)
        reply = self._row(request.match_info["group"])
        if reply is None:
            return Err(Failure(code=Code.ROW_UNKNOWN, detail=request.match_info["group"]))
        return Ok(reply)

    def _row(self, group: str) -> RowReply | None:
        stored = self._catalog.row(group)
        item = self._catalog.item(f"row/{group}")
        if stored is None or item is None:
            return None
        return RowReply(
            revision=item.revision, row=stored.row, previous_versions=stored.previous_versions
        )

    async def _edit(self, request: web.Request) -> Result[EditReply, Failure]:
        decoded = await decode_body(request, EditBody)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        body = decoded.unwrap()
        failure = check_edit(body)
        if failure is not None:
            return Err(failure)
        if body.dry_run:
            await self._await_accepted(request)
            return Ok(self._dry_run(body))
        command = EditRows(operation_id=body.operation_id, operator=body.operator, edits=body.edits)
        return await self._commit(command, wait_ms=body.wait_ms)

    def _dry_run(self, body: EditBody) -> EditReply:
        problems = []
        for edit in body.edits:
            item = self._catalog.item(f"row/{edit.group}")
            revision = 0 if item is None or item.value is None else item.revision
            if revision != edit.expected_revision:
                problems.append(f"{edit.group}: is at revision {revision}")
            for model, choice in (edit.row.models if edit.row else {}).items():
                if self._catalog.version(model, choice.version) is None:
                    problems.append(f"{edit.group}: {model} {choice.version} is not published")
        code = Code.REVISION_CONFLICT if problems else Code.OK
        return EditReply(code=int(code), detail="; ".join(problems), dry_run=True)

    async def _publish(self, request: web.Request) -> Result[EditReply, Failure]:
        decoded = await decode_body(request, PublishBody)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        body = decoded.unwrap()
        if body.size_bytes < 1:
            return Err(Failure(code=Code.EMPTY_MODEL, field="size_bytes"))
        for field in ("model", "version"):
            if not valid_name(getattr(body, field)):
                return Err(Failure(code=Code.MANIFEST_INVALID, detail="not a name", field=field))
        command = PublishVersion(**{name: getattr(body, name) for name in body.__struct_fields__})
        return await self._commit(command, wait_ms=0)

    async def _drain(self, request: web.Request) -> Result[EditReply, Failure]:
        decoded = await decode_body(request, DrainBody)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        body = decoded.unwrap()
        command = SetDrain(
            operation_id=body.operation_id,
            operator=body.operator,
            server=body.server,
            draining=body.draining,
        )
        return await self._commit(command, wait_ms=0)

    async def _commit(self, command: Command, *, wait_ms: int) -> Result[EditReply, Failure]:
        proposed = await self._state.propose(command, timeout_ms=PROPOSE_TIMEOUT_MS)
        if proposed.is_err():
            return Err(proposed.unwrap_err())
        answer = proposed.unwrap().answer
        if not isinstance(answer, Answer):
            return Err(Failure(code=Code.INTERNAL))
        reply = EditReply(
            code=answer.code,
            detail=answer.detail,
            revision=answer.revision,
            current=answer.current,
        )
        if answer.code == 0 and wait_ms:
            return Ok(await self._wait_in_force(reply, wait_ms))
        return Ok(reply)

    async def _wait_in_force(self, reply: EditReply, wait_ms: int) -> EditReply:
        domains = {peer.failure_domain for peer in self._settings.domain_replicas}
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        deadline_s = started_s + min(wait_ms, MAXIMUM_WAIT_MS) / 1000
        while True:
            applied, missing = self._service.domain_revisions.in_force(reply.revision, domains)
            if not missing or loop.time() >= deadline_s:
                return msgspec.structs.replace(
                    reply,
                    in_force=tuple(sorted(applied)),
                    not_in_force=tuple(sorted(missing)),
                    waited_ms=int((loop.time() - started_s) * 1000),
                )
            await asyncio.sleep(APPLIED_POLL_S)

    async def _operation(self, request: web.Request) -> Result[EditReply, Failure]:
        await self._await_accepted(request)
        answer = self._service.replica.machine.operation(request.match_info["operation_id"])
        if answer is None:
            return Err(Failure(code=Code.ROW_UNKNOWN, detail="no such operation was accepted"))
        return Ok(
            EditReply(
                code=answer.code,
                detail=answer.detail,
                revision=answer.revision,
                current=answer.current,
            )
        )

    async def _history(self, request: web.Request) -> Result[Any, Failure]:
        await self._await_accepted(request)
        return Ok(self._service.replica.machine.history(request.query.get("group")))

    async def _versions(self, request: web.Request) -> Result[Any, Failure]:
        await self._await_accepted(request)
        return Ok(self._catalog.versions())

    async def _status(self, request: web.Request) -> Result[StatusReply, Failure]:
        return Ok(build_status(self._settings, self._service))


def _problem(failure: Failure) -> web.Response:
    outcome = Outcome.UNKNOWN if failure.code is Code.EDIT_UNKNOWN else Outcome.NOT_EXECUTED
    problem = problem_of(failure, outcome=outcome, request_id="")
    return web.Response(
        status=problem.status, body=msgspec.json.encode(problem), content_type=PROBLEM_TYPE
    )


__all__ = ["OperatorHttpServer"]
