"""HTTP client of the engine or plain service beside this process."""

from __future__ import annotations

import asyncio
from typing import Protocol
from urllib.parse import urlsplit

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.client_connection import ClientConnection, open_connection
from leadhollow.http1.headers import CONNECTION_FIELDS, Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.http_client import HttpClient
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address
from leadhollow.wire.generated.ttypes import Dispatch

LOAD_TIMEOUT_S = 300.0
STATUS_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.3
CONNECT_ATTEMPTS = 2
CONNECT_RETRY_DELAY_S = 0.015  # an engine at its connection limit may refuse one connection
RUN_CONNECT_TIMEOUT_S = 2.0
HTTP_PORT = 80
MAX_REPLY_BYTES = 256 * 1024  # of what an engine says of its model
OWN_FIELDS = CONNECTION_FIELDS | {b"host", b"content-length"}
BODYLESS_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "DELETE"})

log = get_logger("engine")


class RunningModel(msgspec.Struct, frozen=True, kw_only=True):
    """Model version that an engine reports as running. All fields are empty if it runs none."""

    model: str = ""
    version: str = ""
    root: str = ""


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Body of the request to load a version."""

    model: str
    version: str
    root: str
    path: str
    fence: int


class EngineResponseHead:
    """Status and headers of a streamed response."""

    __slots__ = ("headers", "status")

    def __init__(self, *, status: int, headers: Headers) -> None:
        self.status = status
        self.headers = headers

    def values(self, name: str) -> list[str]:
        """Return all values of a header."""
        found = self.headers.get_all(name.lower().encode())
        return [value.decode("utf-8", "surrogateescape") for value in found]


class ResponseSink(Protocol):
    """Receives a response while it is streamed."""

    async def on_head(self, head: EngineResponseHead) -> None:
        """Handle status and headers; called once, first."""
        ...

    async def on_data(self, data: bytes) -> None:
        """Handle the next part of the body."""
        ...


class EngineClient:
    """HTTP client of one engine or service.

    Parameters
    ----------
    url
        Base URL of the engine or service.
    """

    __slots__ = ("_address", "_http", "_path", "_url")

    def __init__(self, *, http: HttpClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")
        parsed = urlsplit(self._url)
        self._address = Address(host=parsed.hostname or "", port=parsed.port or HTTP_PORT)
        self._path = parsed.path

    async def running_model(self) -> Result[RunningModel, Failure]:
        """Request the version that the engine runs."""
        fetched = await self._http.fetch(
            "GET", f"{self._url}/admin/model", timeout_s=STATUS_TIMEOUT_S, max_bytes=MAX_REPLY_BYTES
        )
        if fetched.is_err():
            return Err(fetched.unwrap_err())
        return _decode_model(fetched.unwrap().body)

    async def load(self, order: LoadOrder) -> Result[RunningModel, Failure]:
        """Order the engine to load a version and wait until it runs it.

        Errors
        ------
        FENCE_OLD
            The engine has already seen a newer fencing number.
        LOAD_REFUSED
            The engine did not load the version, or runs another one afterwards.
        """
        fetched = await self._http.fetch(
            "POST",
            f"{self._url}/admin/load",
            body=msgspec.json.encode(order),
            headers={"Content-Type": "application/json"},
            timeout_s=LOAD_TIMEOUT_S,
            max_bytes=MAX_REPLY_BYTES,
        )
        if fetched.is_err():
            return Err(Failure(code=Code.LOAD_REFUSED, detail=fetched.unwrap_err().detail))
        reply = fetched.unwrap()
        if reply.status == 409:
            return Err(Failure(code=Code.FENCE_OLD, detail="refused by the engine"))
        if reply.status != 200:
            return Err(Failure(code=Code.LOAD_REFUSED, detail=f"HTTP {reply.status}"))
        model = _decode_model(reply.body)
        if model.is_err() or model.unwrap().root != order.root:
            return Err(Failure(code=Code.LOAD_REFUSED, detail="the engine runs another root"))
        return model

    async def run(self, dispatch: Dispatch, sink: ResponseSink) -> Result[None, Failure]:
        """Send one request to the engine and stream the response to the sink.

        Errors
        ------
        BACKEND_REFUSED
            The connection could not be made; the request was not run.
        ENGINE_FAILED
            The connection broke, the response ended early, or its bytes are not those of one
            response.
        DEADLINE_PASSED
            The deadline of the caller passed while the request ran. This is no sign of a fault of
            the engine.
        """
        try:
            async with asyncio.timeout(max(dispatch.deadline_ms, 1) / 1000):
                opened = await open_connection(self._address, timeout_s=RUN_CONNECT_TIMEOUT_S)
                if opened.is_err():
                    detail = opened.unwrap_err().detail
                    return Err(Failure(code=Code.BACKEND_REFUSED, detail=detail))
                connection = opened.unwrap()
                try:
                    return await self._exchange(connection, dispatch, sink)
                finally:
                    connection.close()
        except TimeoutError:
            return Err(Failure(code=Code.DEADLINE_PASSED, detail="it passed while it ran"))
        except (OSError, ValueError) as error:
            return Err(Failure(code=Code.ENGINE_FAILED, detail=f"{type(error).__name__}: {error}"))

    async def _exchange(
        self, connection: ClientConnection, dispatch: Dispatch, sink: ResponseSink
    ) -> Result[None, Failure]:
        head = self._request_head(dispatch)
        connection.begin_request(head.encode(), method=head.method)
        await connection.write(dispatch.body or b"")
        read = await connection.read_response()
        if read.is_err():
            return Err(_engine_failure(read.unwrap_err()))
        response = read.unwrap()
        await sink.on_head(
            EngineResponseHead(status=response.head.status, headers=response.head.headers)
        )
        while True:
            part = await response.body.read()
            if part.is_err():
                return Err(_engine_failure(part.unwrap_err()))
            data = part.unwrap()
            if not data:
                connection.end_exchange()
                return Ok(None)
            await sink.on_data(data)

    def _request_head(self, dispatch: Dispatch) -> RequestHead:
        fields = [
            (name.encode(), value.encode("utf-8", "surrogateescape"))
            for name, value in (dispatch.headers or {}).items()
        ]
        headers = Headers(items=fields).without(OWN_FIELDS)
        headers.add(b"Host", str(self._address).encode())
        headers.add(b"Connection", b"close")  # no other request may get what comes behind
        body = dispatch.body or b""
        if body or dispatch.method not in BODYLESS_METHODS:
            headers.add(b"Content-Length", b"%d" % len(body))
        target = f"{self._path}{dispatch.path}".encode()
        return RequestHead(method=dispatch.method.encode(), target=target, headers=headers)

    async def is_gone(self) -> bool:
        """Return whether nothing listens at the address of the engine.

        The engine runs on this machine, so a refused connection is no matter of the network.
        """
        for attempt in range(CONNECT_ATTEMPTS):
            if attempt:
                await asyncio.sleep(CONNECT_RETRY_DELAY_S)
            opened = await open_connection(self._address, timeout_s=CONNECT_TIMEOUT_S)
            if opened.is_ok():
                opened.unwrap().close()
                return False
            if opened.unwrap_err().code is not Code.PEER_ABSENT:
                log.warning("engine not asked", failure=str(opened.unwrap_err()))
                return False
        return True


def _engine_failure(failure: Failure) -> Failure:
    return Failure(code=Code.ENGINE_FAILED, detail=failure.detail)


def _decode_model(body: bytes) -> Result[RunningModel, Failure]:
    try:
        return Ok(msgspec.json.decode(body, type=RunningModel))
    except msgspec.MsgspecError as error:
        return Err(Failure(code=Code.LOAD_REFUSED, detail=str(error)))


__all__ = ["EngineClient", "EngineResponseHead", "LoadOrder", "ResponseSink", "RunningModel"]
