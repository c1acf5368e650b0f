"""One connection of a caller: requests are read, handed on and answered one after the other."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import cast

import httptools

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.http1.reply import ReplyWriter
from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveClock, ActiveTimer, active_timeout
from leadhollow.observe.logs import get_logger

LINGER_S = 1.0  # time a caller gets to read an early answer before its unread bytes reset it
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

log = get_logger("http")


class HttpLimits:
    """What callers may send, and how long they may take.

    Parameters
    ----------
    header_bytes, body_bytes
        Largest head and body of a request.
    header_timeout_ms
        Time between the first byte of a request and the end of its head.
    idle_timeout_ms
        Time that a connection without a request stays open. Both count only while we could hear
        the caller.
    """

    __slots__ = ("body_bytes", "header_bytes", "header_timeout_ms", "idle_timeout_ms")

    def __init__(
        self,
        *,
        header_bytes: int = 16 * 1024,
        body_bytes: int = 4 * 1024 * 1024,
        header_timeout_ms: int = 3_000,
        idle_timeout_ms: int = 15_000,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class IncomingRequest:
    """A request whose head has been read; its body may still arrive.

    Parameters
    ----------
    received_s
        Loop time at which the head was complete.
    """

    __slots__ = ("body", "head", "keep_alive", "received_s")

    def __init__(self, *, head: RequestHead, body: IncomingBody, received_s: float) -> None:
        self.head = head
        self.body = body
        self.received_s = received_s
        self.keep_alive = True


Handler = Callable[[IncomingRequest, ReplyWriter], Awaitable[None]]


class ServerConnection(asyncio.Protocol):
    """Reads requests off one socket.

    The handler runs in the connection's one task; that task is cancelled when the caller leaves.

    Parameters
    ----------
    handler
        Answers one request.
    limits
        Gives the limits in force now.
    closing
        Tells whether the server is about to stop, so that answers say that the connection ends.
    """

    __slots__ = (
        "_clock",
        "_is_closing",
        "_connections",
        "_current",
        "_writable",
        "_handler",
        "_head_bytes",
        "_header_timer",
        "_headers",
        "_idle_since_s",
        "_idle_timer",
        "_idle_expired",
        "_in_head",
        "_limits",
        "_parser",
        "_error_status",
        "_requests",
        "_target",
        "_task",
        "_transport",
        "_wake",
        "busy",
    )

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], HttpLimits],
        is_closing: Callable[[], bool],
        connections: set[ServerConnection],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_closing = is_closing
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: deque[IncomingRequest] = deque()
        self._current: IncomingRequest | None = None
        self._error_status: HTTPStatus | None = None
        self._target = b""
        self._headers = Headers()
        self._head_bytes = 0
        self._in_head = False
        self._header_timer: ActiveTimer | None = None
        self._clock: ActiveClock = active_time.clock()
        self._idle_since_s: float | None = None  # while no request is read or answered
        self._idle_timer: ActiveTimer | None = None
        self._idle_expired = False
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self.busy = False

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the connection's task."""
        socket_transport = cast("asyncio.Transport", transport)  # uvloop's is no subclass of it
        self._transport = socket_transport
        self._connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._run(socket_transport))
        self._schedule_idle_check(self._idle_s())

    def data_received(self, data: bytes) -> None:
        """Parse what arrived."""
        if self._error_status is not None:
            return
        if self._in_head or self._current is None:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)  # nothing but HTTP/1.1 is spoken here
        except httptools.HttpParserError as error:
            log.warning("request not understood", error=str(error))
            self._reject(HTTPStatus.BAD_REQUEST)
        if self._in_head and self._head_bytes > self._limits().header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        if self._in_head and self._header_timer is None:
            self._header_timer = ActiveTimer(
                delay_s=self._limits().header_timeout_ms / 1000, callback=self._on_header_timeout
            )

    def eof_received(self) -> bool:
        """Treat a half-closed connection as left."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress: nobody waits for its answer."""
        self._connections.discard(self)
        self._stop_header_timer()
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    # the parser's callbacks

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._target = b""
        self._headers = Headers()
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Hand the request on."""
        self._in_head = False
        self._stop_header_timer()
        if self._head_bytes > self._limits().header_bytes and self._encoded_head_bytes() > (
            self._limits().header_bytes
        ):
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._head_bytes = 0
        head = RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            http_1_0=self._parser.get_http_version() == "1.0",
        )
        body = IncomingBody(pause=self._pause_reading, resume=self._resume_reading)
        request = IncomingRequest(
            head=head, body=body, received_s=asyncio.get_running_loop().time()
        )
        request.keep_alive = self._parser.should_keep_alive()
        self._current = request
        self._requests.append(request)
        if b"100-continue" in head.headers.tokens(b"expect") and self._transport is not None:
            self._transport.write(CONTINUE)
        self._wake.set()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._current is not None:
            self._current.body.feed(data)

    def on_message_complete(self) -> None:
        """Note that the request is whole."""
        if self._current is not None:
            self._current.keep_alive = self._parser.should_keep_alive()
            self._current.body.finish()
            self._current = None

    # control by the server

    def close_if_idle(self) -> None:
        """Close unless a request is being read or answered."""
        if not self.busy and not self._requests and not self._in_head and self._transport:
            self._transport.close()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes of an answer wait for the caller to read."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """End at once; what the caller has not read is dropped."""
        if self._transport is not None:
            self._transport.abort()

    # the connection's task

    async def _run(self, transport: asyncio.Transport) -> None:
        try:
            while await self._wait_request():
                request = self._requests.popleft()
                self.busy = True
                closed = await self._serve(transport, request)
                self.busy = False
                if closed:
                    break
            if self._error_status is not None:
                await self._send_error(transport, self._error_status)
        except asyncio.CancelledError:
            if not transport.is_closing():
                transport.abort()
            raise
        except Exception:
            log.exception("connection failed")
            transport.abort()
        else:
            transport.close()

    async def _wait_request(self) -> bool:
        """Wait for the next request; False where the connection ends without one."""
        while not self._requests:
            if self._error_status is not None or (self._idle_expired and not self._in_head):
                return False
            self._idle_expired = False
            self._wake.clear()
            self._idle_since_s = self._clock.active_s()
            await self._wake.wait()
            self._idle_since_s = None
        self._idle_expired = False
        return True

    def _idle_s(self) -> float:
        return self._limits().idle_timeout_ms / 1000

    def _schedule_idle_check(self, delay_s: float) -> None:
        """Look later whether the connection is idle: requests set no timer of their own."""
        self._idle_timer = ActiveTimer(delay_s=delay_s, callback=self._check_idle)

    def _check_idle(self) -> None:
        if self._idle_since_s is None or self._in_head:
            self._schedule_idle_check(self._idle_s())
            return
        left_s = self._idle_s() - (self._clock.active_s() - self._idle_since_s)
        if left_s <= 0:
            self._idle_expired = True
            self._wake.set()
        self._schedule_idle_check(left_s if left_s > 0 else self._idle_s())

    async def _serve(self, transport: asyncio.Transport, request: IncomingRequest) -> bool:
        """Answer one request; True where the connection must end."""
        reply = ReplyWriter(
            transport=transport,
            request=request.head,
            writable=self._writable,
            close_after=not request.keep_alive or self._is_closing(),
        )
        try:
            await self._handler(request, reply)
        except Exception:
            log.exception("handler failed", method=request.head.method, path=request.head.path)
            if not reply.started:
                await reply.send(HTTPStatus.BAD_GATEWAY, Headers())
        if not reply.finished:
            reply.abort()
            return True
        if reply.close_after:
            await self._linger(request)
            return True
        if not request.body.complete:
            await self._drain_body(request)
        return request.body.failed

    async def _drain_body(self, request: IncomingRequest) -> None:
        """Read the rest of a body that was answered early."""
        while not request.body.complete and not request.body.failed:
            read = await request.body.read()
            if read.is_err() or not read.unwrap():
                return

    async def _linger(self, request: IncomingRequest) -> None:
        """Let the caller take its answer before bytes that nobody read reset the connection."""
        if request.body.complete:
            return
        try:
            async with active_timeout(LINGER_S):
                await self._drain_body(request)
        except TimeoutError:
            return

    async def _send_error(self, transport: asyncio.Transport, status: HTTPStatus) -> None:
        head = RequestHead(method=b"GET", target=b"/", headers=Headers())
        reply = ReplyWriter(
            transport=transport, request=head, writable=self._writable, close_after=True
        )
        await reply.send(status, Headers())

    def _reject(self, status: HTTPStatus) -> None:
        if self._error_status is None:
            self._error_status = status
        if self._current is not None:
            self._current.body.fail(Failure(code=Code.REQUEST_MALFORMED))
        self._wake.set()

    def _on_header_timeout(self) -> None:
        if self._in_head:
            self._reject(HTTPStatus.REQUEST_TIMEOUT)

    def _encoded_head_bytes(self) -> int:
        fields = sum(len(name) + len(value) + 4 for name, value in self._headers)
        return len(self._target) + fields

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()


__all__ = ["Handler", "HttpLimits", "IncomingRequest", "ServerConnection"]
