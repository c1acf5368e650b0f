"""One connection to a backend server: one request at a time, and what came back told apart.

An answer that ends with its connection is whole only where the connection was closed in order; a
reset means that bytes may be missing. Bytes that come while no request is outstanding belong to
nobody and end the connection.
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from collections import deque
from http import HTTPStatus
from typing import cast

import httptools
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import Framing, ResponseHead, response_framing
from leadhollow.kernel import clocks
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address

UNACKNOWLEDGED_LIMIT_MS = 3_000
"""A peer that acknowledges no byte for this long is gone; without it a cut link hangs."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # linger for no time: the kernel sends a reset

log = get_logger("http")


class IncomingResponse:
    """A response as it arrives."""

    __slots__ = ("body", "head")

    def __init__(self, *, head: ResponseHead, body: IncomingBody) -> None:
        self.head = head
        self.body = body


class ClientConnection(asyncio.Protocol):
    """One socket to a backend server.

    Attributes
    ----------
    usable
        Whether another request may be sent: open, in step, and no byte is left over.
    idle_since_s
        Loop time at which the last exchange ended.
    """

    __slots__ = (
        "_response",
        "_responses",
        "_writable",
        "_headers",
        "_failure",
        "_method",
        "_outstanding",
        "_parser",
        "_reason",
        "_transport",
        "_waiter",
        "exchange_count",
        "idle_since_s",
        "keep_alive_s",
        "usable",
    )

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._transport: asyncio.Transport | None = None
        self._responses: deque[IncomingResponse] = deque()
        self._response: IncomingResponse | None = None
        self._waiter: asyncio.Future[None] | None = None
        self._failure: Failure | None = None
        self._headers = Headers()
        self._reason = b""
        self._method = b"GET"
        self._outstanding = False
        self._writable = asyncio.Event()
        self._writable.set()
        self.usable = True
        self.exchange_count = 0
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    # asyncio's callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket and let the kernel notice a silent peer."""
        socket_transport = cast("asyncio.Transport", transport)  # uvloop's is no subclass of it
        self._transport = socket_transport
        opened = socket_transport.get_extra_info("socket")
        if opened is not None:
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse what arrived; without an outstanding request nothing may arrive."""
        if not self._outstanding:
            log.warning("bytes without a request dropped", count=len(data))
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(Failure(code=Code.ENGINE_FAILED, detail=f"no HTTP answer: {error}"))
            self.close()

    def eof_received(self) -> bool:
        """Note an end, and whether it is an orderly one.

        A reset may be told as an end of the stream with the error left on the socket.
        """
        self.usable = False
        error = self._socket_error()
        if error:
            detail = f"the connection broke: {os.strerror(error)}"
            self._fail(Failure(code=Code.BACKEND_LOST, detail=detail))
            return False
        answer = self._response
        if answer is not None and answer.head.framing is Framing.UNTIL_CLOSE:
            answer.body.finish()
            self._response = None
        self._fail(Failure(code=Code.BACKEND_LOST, detail="the connection was closed"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Note a reset, or the end that was announced."""
        self.usable = False
        detail = "the connection was closed" if exc is None else f"the connection broke: {exc}"
        self._fail(Failure(code=Code.BACKEND_LOST, detail=detail))

    def pause_writing(self) -> None:
        """Make writers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers go on."""
        self._writable.set()

    # the parser's callbacks

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self._headers = Headers()
        self._reason = b""

    def on_status(self, reason: bytes) -> None:
        """Take a part of the status line's text."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field."""
        self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Offer the answer to whoever waits; interim answers are skipped."""
        status = self._parser.get_status_code()
        if status < HTTPStatus.OK:
            return
        framing = response_framing(status=status, method=self._method, headers=self._headers)
        head = ResponseHead(
            status=status, reason=self._reason, headers=self._headers, framing=framing
        )
        body = IncomingBody(pause=self._pause_reading, resume=self._resume_reading)
        self._response = IncomingResponse(head=head, body=body)
        self.keep_alive_s = _keep_alive_s(self._headers)
        if self._method == b"HEAD":  # the parser would wait for a body that never comes
            self.usable = False
            body.finish()
            self._response = None
            self._responses.append(IncomingResponse(head=head, body=body))
        else:
            self._responses.append(self._response)
        self._wake()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._response is not None:
            self._response.body.feed(data)

    def on_message_complete(self) -> None:
        """Note that the answer is whole."""
        if self._response is None:
            return
        if not self._parser.should_keep_alive():
            self.usable = False
        self._response.body.finish()
        self._response = None

    # the caller's side

    def begin_request(self, head: bytes, *, method: bytes) -> None:
        """Send the head of a request."""
        assert self._transport is not None
        self._outstanding = True
        self._method = method
        self.exchange_count += 1
        self._transport.write(head)

    async def write(self, data: bytes) -> None:
        """Send a part of the request's body; waits while the peer reads slowly."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    async def read_response(self) -> Result[IncomingResponse, Failure]:
        """Wait for the head of the next answer.

        Errors
        ------
        BACKEND_LOST
            The connection ended first.
        ENGINE_FAILED
            What came is no HTTP.
        """
        while not self._responses:
            if self._failure is not None:
                return Err(self._failure)
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return Ok(self._responses.popleft())

    def end_exchange(self) -> None:
        """Note that the request and its answer are whole; the connection may be used again."""
        self._outstanding = False
        self.idle_since_s = clocks.elapsed_s()
        if self._responses or self._response is not None:
            self.close()

    def close(self) -> None:
        """End the connection at once: the peer sees that nobody waits any more.

        With a request outstanding the connection is reset, so that bytes which are still on their
        way are dropped and not worked on later.
        """
        self.usable = False
        if self._transport is None:
            return
        opened = self._transport.get_extra_info("socket")
        if self._outstanding and opened is not None and not self._transport.is_closing():
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def _socket_error(self) -> int:
        if self._transport is None:
            return 0
        opened = self._transport.get_extra_info("socket")
        if opened is None:
            return 0
        return int(opened.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _fail(self, failure: Failure) -> None:
        if self._failure is None:
            self._failure = failure
        if self._response is not None:
            self._response.body.fail(failure)
            self._response = None
        self._writable.set()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()


async def open_connection(
    address: Address, *, timeout_s: float
) -> Result[ClientConnection, Failure]:
    """Connect to a backend server.

    Errors
    ------
    PEER_ABSENT
        Nothing listens there.
    PEER_LOST
        There is no way there.
    PEER_TIMEOUT
        No answer in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with active_timeout(timeout_s):
            _, connection = await loop.create_connection(
                ClientConnection, address.host, address.port
            )
    except TimeoutError:
        return Err(Failure(code=Code.PEER_TIMEOUT, detail=f"{address}: no connection in time"))
    except ConnectionRefusedError as error:
        return Err(Failure(code=Code.PEER_ABSENT, detail=f"{address}: {error}"))
    except OSError as error:
        return Err(Failure(code=Code.PEER_LOST, detail=f"{address}: {error}"))
    return Ok(connection)


def _keep_alive_s(headers: Headers) -> float | None:
    """Read how long the server keeps an idle connection (``Keep-Alive: timeout=5``)."""
    for token in headers.tokens(b"keep-alive"):
        name, _, value = token.partition(b"=")
        if name.strip() == b"timeout" and value.strip().isdigit():
            return float(value)
    return None


__all__ = ["Answer", "ClientConnection", "open_connection"]
