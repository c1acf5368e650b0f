"""Server connection of a caller: parses requests and passes them to a handler, one at a time."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from http import HTTPStatus
from typing import cast

import httptools

from leadhollow.codes import Code
from leadhollow.decide.shedding import Phase
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.body_drain import drain_body
from leadhollow.http1.connection_set import ConnectionSet
from leadhollow.http1.headers import Headers
from leadhollow.http1.idle_timeout import IdleTimeout
from leadhollow.http1.incoming_request import Handler, HttpLimits, IncomingRequest
from leadhollow.http1.input_throttle import InputThrottle
from leadhollow.http1.messages import RequestHead
from leadhollow.http1.reply import ReplyWriter
from leadhollow.http1.request_checks import MAX_PIPELINED_REQUESTS, is_joined
from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import ActiveClock, ActiveTimer
from leadhollow.observe.logs import get_logger
from leadhollow.observe.repeated_line import RepeatedLine

LINGER_S = 1.0  # time to read an early response; closing with unread input resets the connection
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

DRAIN_FACTOR = 2  # rest of a refused body that is read, in largest bodies
CONNECTION_BYTES = 8 * 1024  # memory of an open connection, without what it received
FIELD_BYTES = 160  # memory of a header field beside its name and value
PROGRESS_BYTES = 16 * 1024  # a connection that moves less than this makes no progress

log = get_logger("http")
_malformed = RepeatedLine(log=log, message="malformed request")
_refused = RepeatedLine(log=log, message="request refused")


class ServerConnection(asyncio.Protocol):
    """Serves the requests of one connection.

    The handler runs in the only task of the connection. That task is cancelled when the caller
    disconnects.

    Parameters
    ----------
    handler
        Handles one request.
    limits
        Returns the limits that apply now.
    is_closing
        Returns whether the server is about to stop; responses then end the connection.
    connections
        Open connections of the server, to which this one adds itself.
    """

    __slots__ = (
        "_clock",
        "_connections",
        "_current",
        "_error_status",
        "_field_count",
        "_handler",
        "_head_bytes",
        "_header_timer",
        "_headers",
        "_idle",
        "_in_head",
        "_input",
        "_is_closing",
        "_limits",
        "_moved_bytes",
        "_parser",
        "_phase_since_s",
        "_progress_s",
        "_progressed",
        "_received_bytes",
        "_reply",
        "_requests",
        "_rest_bytes",
        "_served_count",
        "_serving",
        "_shed",
        "_target",
        "_task",
        "_transport",
        "_wake",
        "_writable",
        "busy",
        "part_count",
    )

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Callable[[], HttpLimits],
        is_closing: Callable[[], bool],
        connections: ConnectionSet[ServerConnection],
    ) -> None:
        self._handler = handler
        self._limits = limits
        self._is_closing = is_closing
        self._connections = connections
        self._parser = httptools.HttpRequestParser(self)
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task[None] | None = None
        self._requests: deque[IncomingRequest] = deque()
        self._current: IncomingRequest | None = None  # whose body is being received
        self._serving: IncomingRequest | None = None
        self._reply: ReplyWriter | None = None
        self._served_count = 0
        self._shed = False
        self._error_status: HTTPStatus | None = None
        self._target = b""
        self._headers = Headers()
        self._field_count = 0  # of all heads so far
        self._head_bytes = 0
        self._received_bytes = 0
        self._moved_bytes = 0  # since the last progress
        self._progressed = False  # whether the received bytes brought a head or a part of a body
        self._rest_bytes = 0  # since the last part of a body
        self._in_head = False
        self._header_timer: ActiveTimer | None = None
        self._clock: ActiveClock = active_time.clock()
        self._progress_s = self._phase_since_s = self._clock.active_s()
        self._wake = asyncio.Event()
        self._writable = asyncio.Event()
        self._writable.set()
        self._idle = IdleTimeout(
            limit_s=self._idle_s, is_receiving=lambda: self._in_head, on_expired=self._wake.set
        )
        self._input = InputThrottle(parser=self, budget=connections.parsing)
        self.busy = False
        self.part_count = 0

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the task of the connection, unless there are too many."""
        socket_transport = cast("asyncio.Transport", transport)  # uvloop's does not subclass it
        self._transport = socket_transport
        self._input.connect(socket_transport)
        if not self._connections.add(self):
            socket_transport.abort()
            return
        self._task = asyncio.get_running_loop().create_task(self._run(socket_transport))
        self._idle.start()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and enforce the limits."""
        self._moved_bytes += len(data)
        if self._moved_bytes >= PROGRESS_BYTES:
            self._record_progress()
        fields_before = self._field_count
        self._input.feed(data)
        field_bytes = FIELD_BYTES * (self._field_count - fields_before)
        self._connections.memory.record_received(len(data) + field_bytes)

    def parse(self, data: bytes | memoryview) -> None:
        """Parse some bytes: as many as a head may have, or the rest of a body."""
        if self._error_status is not None:
            return
        if self._in_head or self._current is None:
            self._head_bytes += len(data)
        self._received_bytes = len(data)  # may hold whole heads behind the end of a request
        self._progressed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(HTTPStatus.BAD_REQUEST)  # upgrades are not supported
        except httptools.HttpParserError as error:
            _malformed.log(error=str(error))
            self._reject(HTTPStatus.BAD_REQUEST)
        awaits_head = self._in_head or (self._current is None and not self._progressed)
        if awaits_head and self._head_bytes > self._limits().header_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
        self._check_rest(len(data))
        if self._in_head and self._header_timer is None:
            self._header_timer = ActiveTimer(
                delay_s=self._limits().header_timeout_ms / 1000, callback=self._on_header_timeout
            )

    @property
    def step_bytes(self) -> int:
        """Largest step in which to parse a head, or costly input."""
        return self._limits().header_bytes + 1

    @property
    def in_body(self) -> bool:
        """Whether the next byte belongs to a body."""
        return self._current is not None

    def _check_rest(self, count: int) -> None:
        """Refuse trailers and extensions of chunks that exceed the limit of a head."""
        if self._in_head or self._current is None or self._progressed:
            self._rest_bytes = 0
        else:
            self._rest_bytes += count
            if self._rest_bytes > self._limits().header_bytes:
                _refused.log(reason="trailers or chunk extensions too long")
                self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def eof_received(self) -> bool:
        """Close the connection: a caller that half-closes it counts as disconnected."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the request in progress, whose response cannot be delivered."""
        self._connections.discard(self)
        self._drop_input()
        self._input.close()
        del self._parser  # it and this connection refer to each other
        self._stop_header_timer()
        self._idle.stop()
        self._cancel_task()

    def pause_writing(self) -> None:
        """Block writers while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()
        self._record_progress()

    # parser callbacks

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = Headers()
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailers are dropped."""
        if self._in_head:
            self._field_count += 1
            self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Queue the request for the task of the connection."""
        self._in_head = False
        self._stop_header_timer()
        if self._error_status is not None:
            return
        if len(self._requests) > MAX_PIPELINED_REQUESTS:
            _refused.log(reason="too many wait on its connection")
            self._reject(HTTPStatus.TOO_MANY_REQUESTS)
            return
        limit_bytes = self._limits().header_bytes
        received_bytes = max(self._head_bytes, self._received_bytes)
        may_exceed = self._head_bytes + self._received_bytes > limit_bytes
        if may_exceed and self._encoded_head_bytes() > limit_bytes:
            self._reject(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)
            return
        self._head_bytes = 0
        self._progressed = True
        if is_joined(self._headers):
            _refused.log(reason="its head holds another one")
            self._reject(HTTPStatus.BAD_REQUEST)
            return
        head = RequestHead(
            method=self._parser.get_method(),
            target=self._target,
            headers=self._headers,
            http_1_0=self._parser.get_http_version() == "1.0",
        )
        body = IncomingBody(pause=self._input.pause, resume=self._input.resume)
        request = IncomingRequest(
            head=head,
            body=body,
            received_s=asyncio.get_running_loop().time(),
            head_bytes=min(received_bytes, limit_bytes) + FIELD_BYTES * len(self._headers),
        )
        request.keep_alive = self._parser.should_keep_alive()
        self._current = request
        self._requests.append(request)
        self._headers = Headers()
        if b"100-continue" in head.headers.tokens(b"expect") and self._transport is not None:
            self._transport.write(CONTINUE)
        self._wake.set()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._progressed = True
        self.part_count += 1
        if self._current is not None:
            self._current.body.feed(data)

    def on_message_complete(self) -> None:
        """Complete the request."""
        if self._current is not None:
            self._current.keep_alive = self._parser.should_keep_alive()
            self._current.body.finish()
            self._current = None
            self._phase_since_s = self._clock.active_s()

    # interface for the server

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being received or handled."""
        if not self.busy and not self._requests and not self._in_head and self._transport:
            self._transport.close()

    @property
    def phase(self) -> tuple[Phase, float]:
        """What the connection is doing, and since which active time."""
        if self._current is not None:
            return Phase.UNFINISHED, self._phase_since_s
        if self.busy or self._requests:
            return Phase.SERVED, self._phase_since_s
        if self._in_head or not self._served_count or self._error_status is not None:
            return Phase.UNUSED, self._phase_since_s
        return Phase.IDLE, self._phase_since_s

    def held_bytes(self) -> int:
        """Return the memory that the connection and its requests take."""
        held = CONNECTION_BYTES + self._input.held_bytes()
        held += sum(request.held_bytes() for request in self._requests)
        if self._in_head:
            held += self._head_bytes + FIELD_BYTES * len(self._headers)
        if self._serving is not None:
            held += self._serving.held_bytes()
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        return held

    def stalled_s(self) -> float:
        """Return the active time since a notable part of what is held moved."""
        return self._clock.active_s() - self._progress_s

    def shed(self) -> None:
        """Free what the connection holds: refuse a request that is still received, else close it.

        The handler knows whether the request was sent on, and says no more than it knows.
        """
        serving = self._serving
        received = serving is not None and not serving.body.complete
        begun = self._reply is not None and self._reply.started
        self._requests.clear()
        if serving is None or not received or begun or self._shed:
            self._connections.discard(self)
            self._drop_input()
            self._cancel_task()
            self.abort()
            if serving is not None:
                serving.free()
            return
        self._shed = True
        self._error_status = HTTPStatus.SERVICE_UNAVAILABLE  # later bytes are not parsed
        self._input.drop()
        serving.body.discard(Failure(code=Code.CALLERS_OVERLOAD))

    def _cancel_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None  # its traceback refers to this connection and all that it handles

    def _drop_input(self) -> None:
        """Drop what was received and is not being handled."""
        self._input.drop()
        self._headers = Headers()
        self._target = b""
        self._requests.clear()
        self._current = None

    def _record_progress(self) -> None:
        self._moved_bytes = 0
        self._progress_s = self._clock.active_s()

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether the write buffer holds bytes of a response."""
        return self._transport is not None and self._transport.get_write_buffer_size() > 0

    def abort(self) -> None:
        """Abort the connection and drop bytes that were not sent."""
        if self._transport is not None:
            self._transport.abort()

    # task of the connection

    async def _run(self, transport: asyncio.Transport) -> None:
        try:
            while await self._wait_request():
                request = self._serving = self._requests.popleft()
                self.busy = True
                self._record_progress()
                try:
                    closed = await self._serve(transport, request)
                finally:
                    self.busy = False
                    self._serving = self._reply = None
                self._served_count += 1
                self._phase_since_s = self._clock.active_s()
                if closed or self._shed:
                    break
                request.body.discard()  # else an unread rest keeps reading paused for good
            if self._error_status is not None and not self._shed:
                await self._send_error(transport, self._error_status)
        except asyncio.CancelledError:
            # Nobody awaits this task. If it ended with the error, the error's traceback would keep
            # all that the request held until a collection of garbage.
            if not transport.is_closing():
                transport.abort()
        except Exception:
            log.exception("connection failed")
            transport.abort()
        else:
            transport.close()

    async def _wait_request(self) -> bool:
        """Wait for the next request; return False if the connection is to end without one."""
        while not self._requests:
            if self._error_status is not None or (self._idle.expired and not self._in_head):
                return False
            self._wake.clear()
            self._idle.begin_wait()
            await self._wake.wait()
            self._idle.end_wait()
        self._idle.expired = False  # a request may have come just when the wait expired
        return True

    def _idle_s(self) -> float:
        return self._limits().idle_timeout_ms / 1000

    async def _serve(self, transport: asyncio.Transport, request: IncomingRequest) -> bool:
        """Handle one request; return True if the connection must end."""
        reply = ReplyWriter(
            transport=transport,
            request=request.head,
            writable=self._writable,
            close_after=not request.keep_alive or self._is_closing(),
        )
        self._reply = reply
        try:
            await self._handler(request, reply)
        except Exception:
            log.exception("handler failed", method=request.head.method, path=request.head.path)
            if not reply.started:
                await reply.send(HTTPStatus.BAD_GATEWAY, Headers())
        if not reply.finished:
            reply.abort()
            return True
        if request.body.complete:
            return reply.close_after
        linger_s = LINGER_S if reply.close_after else self._idle_s()
        drained = await drain_body(
            request.body,
            limit_s=linger_s,
            stop_limit_s=LINGER_S,
            limit_bytes=DRAIN_FACTOR * self._limits().body_bytes,
            is_stopping=self._is_closing,
        )
        return reply.close_after or not drained

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
        self._input.drop()
        self._headers = Headers()
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


__all__ = ["ServerConnection"]
