"""Parses callers' HTTP requests: authentication, target, deadline and idempotency key."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import secrets

from aiohttp import web
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.entry.call import (
    MODEL_PATH,
    REPEATABLE_METHODS,
    Call,
    chat_affinity,
    chat_cost_tokens,
    chat_parts,
    chat_prompt_tokens,
    decode_chat,
)
from leadhollow.entry.call_result import DEADLINE_HEADER, REPEATABLE_HEADER
from leadhollow.entry.idempotency import parse_idempotency_key
from leadhollow.failure import Failure
from leadhollow.settings.model import EntrySettings
from leadhollow.state.catalog import Catalog
from leadhollow.state.records import StoredRow

SERVICE_PREFIX = "/services/"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
X_REQUEST_ID_HEADER = "X-Request-Id"
MAX_REQUEST_ID_CHARACTERS = 128
MAX_DEADLINE_MS = 3_600_000
FORWARDED_HEADERS = ("Content-Type", "Accept", "Accept-Language", "If-Match", "If-None-Match")
SERVICE_COST_TOKENS = 16.0

_PROCESS_TOKEN = secrets.token_hex(8)
_request_numbers = itertools.count()


class CallParser:
    """Turns HTTP requests into calls.

    Parameters
    ----------
    catalog
        Contains the rows that define API keys, models and services.
    """

    __slots__ = ("_catalog", "_settings")

    def __init__(self, *, settings: EntrySettings, catalog: Catalog) -> None:
        self._settings = settings
        self._catalog = catalog

    async def parse(self, request: web.Request, request_id: str) -> Result[Call, Failure]:
        """Authenticate and parse a request.

        Errors
        ------
        KEY_UNKNOWN, REQUEST_MALFORMED, BODY_TOO_LARGE, DEADLINE_INVALID, IDEMPOTENCY_KEY_INVALID,
        MODEL_NOT_ALLOWED, SERVICE_UNKNOWN, NO_CAPACITY
            Nothing was run.
        """
        stored = self._authenticate(request)
        if stored.is_err():
            return Err(stored.unwrap_err())
        try:
            body = await request.read()
        except web.HTTPRequestEntityTooLarge:
            limit = self._settings.body_limit_bytes
            detail = f"the limit is {limit} bytes"
            return Err(Failure(code=Code.BODY_TOO_LARGE, detail=detail))
        deadline_s = self._deadline_s(request)
        if deadline_s.is_err():
            return Err(deadline_s.unwrap_err())
        key = request.headers.get(IDEMPOTENCY_KEY_HEADER)
        parsed_key: Result[str, Failure] = Ok("") if key is None else parse_idempotency_key(key)
        if parsed_key.is_err():
            return Err(parsed_key.unwrap_err())
        if request.path == MODEL_PATH and request.method == "POST":
            return self._model_call(
                request,
                request_id,
                stored=stored.unwrap(),
                body=body,
                key=parsed_key.unwrap(),
                deadline_s=deadline_s.unwrap(),
            )
        if request.path.startswith(SERVICE_PREFIX):
            return self._service_call(
                request,
                request_id,
                stored=stored.unwrap(),
                body=body,
                key=parsed_key.unwrap(),
                deadline_s=deadline_s.unwrap(),
            )
        detail = f"nothing at {request.method} {request.path}"
        return Err(Failure(code=Code.SERVICE_UNKNOWN, detail=detail))

    def _authenticate(self, request: web.Request) -> Result[StoredRow, Failure]:
        if self._catalog.revision == 0:
            detail = "this entry has not received the table yet"
            return Err(Failure(code=Code.NO_CAPACITY, detail=detail))
        scheme, _, key = request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return Err(Failure(code=Code.KEY_UNKNOWN, detail="expected Authorization: Bearer KEY"))
        digest = hashlib.sha256(key.strip().encode()).hexdigest()
        stored = self._catalog.group_of_key(digest)
        return Err(Failure(code=Code.KEY_UNKNOWN)) if stored is None else Ok(stored)

    def _deadline_s(self, request: web.Request) -> Result[float, Failure]:
        text = request.headers.get(DEADLINE_HEADER)
        deadline_ms = self._settings.default_deadline_ms
        if text is not None:
            if not text.isascii() or not text.isdigit() or not 0 < int(text) <= MAX_DEADLINE_MS:
                detail = f"expected 1 to {MAX_DEADLINE_MS}, found {text[:32]!r}"
                return Err(Failure(code=Code.DEADLINE_INVALID, detail=detail))
            deadline_ms = int(text)
        return Ok(asyncio.get_running_loop().time() + deadline_ms / 1000)

    def _model_call(
        self,
        request: web.Request,
        request_id: str,
        *,
        stored: StoredRow,
        body: bytes,
        key: str,
        deadline_s: float,
    ) -> Result[Call, Failure]:
        decoded = decode_chat(body)
        if decoded.is_err():
            return Err(decoded.unwrap_err())
        chat = decoded.unwrap()
        if chat.model not in stored.row.models:
            detail = f"{stored.row.group} may not use {chat.model!r}"
            return Err(Failure(code=Code.MODEL_NOT_ALLOWED, detail=detail))
        repeatable = request.headers.get(REPEATABLE_HEADER, "true").lower() != "false"
        return Ok(
            Call(
                request_id=request_id,
                stored=stored,
                model=chat.model,
                service="",
                method="POST",
                path=MODEL_PATH,
                headers={"Content-Type": "application/json", X_REQUEST_ID_HEADER: request_id},
                body=body,
                repeatable=repeatable,
                key=key,
                stream=chat.stream,
                prompt_tokens=chat_prompt_tokens(chat),
                cost_tokens=chat_cost_tokens(chat),
                affinity=chat_affinity(chat),
                priority=chat.priority,
                parts=chat_parts(chat),
                deadline_s=deadline_s,
            )
        )

    def _service_call(
        self,
        request: web.Request,
        request_id: str,
        *,
        stored: StoredRow,
        body: bytes,
        key: str,
        deadline_s: float,
    ) -> Result[Call, Failure]:
        service, _, tail = request.path.removeprefix(SERVICE_PREFIX).partition("/")
        rule = stored.row.services.get(service)
        if rule is None:
            detail = f"{stored.row.group} may not use {service!r}"
            return Err(Failure(code=Code.SERVICE_UNKNOWN, detail=detail))
        repeatable = rule.repeatable or request.method in REPEATABLE_METHODS
        if request.headers.get(REPEATABLE_HEADER, "").lower() == "false":
            repeatable = False
        path = f"/{tail}" + (f"?{request.query_string}" if request.query_string else "")
        headers = {
            name: request.headers[name] for name in FORWARDED_HEADERS if name in request.headers
        }
        headers[X_REQUEST_ID_HEADER] = request_id
        return Ok(
            Call(
                request_id=request_id,
                stored=stored,
                model="",
                service=service,
                method=request.method,
                path=path,
                headers=headers,
                body=body,
                repeatable=repeatable,
                key=key,
                stream=False,
                prompt_tokens=SERVICE_COST_TOKENS,
                cost_tokens=SERVICE_COST_TOKENS,
                affinity=b"",
                priority=0,
                deadline_s=deadline_s,
            )
        )


def new_request_id(request: web.Request) -> str:
    """Make a unique request id that begins with the id that the caller sent, if it is usable."""
    caller_id = request.headers.get(X_REQUEST_ID_HEADER, "")
    usable = (
        caller_id.isascii()
        and caller_id.isprintable()
        and len(caller_id) <= MAX_REQUEST_ID_CHARACTERS
    )
    prefix = f"{caller_id}." if caller_id and usable else ""
    # The caller's own id need not be unique.
    return f"{prefix}{_PROCESS_TOKEN}-{next(_request_numbers):x}"


__all__ = ["CallParser", "new_request_id"]
