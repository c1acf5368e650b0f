"""Client connection to a backend server, for one request at a time.

A response that is delimited by the end of its connection is complete only if the connection was
closed in order. After a reset, bytes may be missing. Bytes that arrive while no request is
outstanding cannot be assigned to a request, and the connection is closed.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import select
import socket
import struct
from collections import deque
from typing import Protocol, cast

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.pieces import Pieces
from leadhollow.http1.response_parser import IncomingResponse, ResponseParser
from leadhollow.http1.wakeup import Wakeup
from leadhollow.kernel import clocks
from leadhollow.kernel.active_time import active_timeout
from leadhollow.observe.logs import get_logger
from leadhollow.settings.address import Address

UNACKNOWLEDGED_LIMIT_MS = 3_000
"""TCP_USER_TIMEOUT: a connection ends if sent bytes stay unacknowledged for longer. Without it, a
connection over a cut link hangs."""

JOINED_WAIT_S = 0.05
"""A body that ends within what looks like another response's head counts as whole after this time
without a further byte."""

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with 0 s: closing sends a reset

log = get_logger("http")
_serials = itertools.count(1)


class ConnectionListener(Protocol):
    """Is told what a connection does."""

    def record_open(self) -> None:
        """Record that a connection was made."""
        ...

    def record_received(self, size_bytes: int) -> None:
        """Record that bytes were received."""
        ...

    def record_end(self) -> None:
        """Record that a connection has ended."""
        ...


class ClientConnection(asyncio.Protocol):
    """Connection to a backend server.

    Parameters
    ----------
    listener
        Is told of the connection's begin and end, and of what it receives.

    Attributes
    ----------
    serial
        Number of the connection within this process, for log lines.
    exchange_count
        Number of requests that were sent.
    idle_since_s
        Time of `clocks.elapsed_s` at which the last exchange ended.
    kept
        Beginning of the response that its reader keeps before it relays any of it.
    """

    __slots__ = (
        "_failure",
        "_listener",
        "_open",
        "_outstanding",
        "_parser",
        "_response",
        "_responses",
        "_transport",
        "_wakeup",
        "_writable",
        "exchange_count",
        "idle_since_s",
        "kept",
        "serial",
    )

    def __init__(self, *, listener: ConnectionListener | None = None) -> None:
        self._listener = listener
        self.kept = Pieces()
        self.serial = next(_serials)
        self._parser = ResponseParser(
            on_response=self._on_response, pause=self._pause_reading, resume=self._resume_reading
        )
        self._transport: asyncio.Transport | None = None
        self._responses: deque[IncomingResponse] = deque()
        self._response: IncomingResponse | None = None  # the one read last
        self._wakeup = Wakeup()
        self._failure: Failure | None = None
        self._outstanding = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._open = True
        self.exchange_count = 0
        self.idle_since_s = 0.0

    @property
    def usable(self) -> bool:
        """Whether another request may be sent: the connection is open and keep-alive."""
        return self._open and self._parser.keep_alive

    @property
    def keep_alive_s(self) -> float | None:
        """How long the server keeps an idle connection open; None if it did not say."""
        return self._parser.keep_alive_s

    @property
    def received_more(self) -> bool:
        """Whether bytes came behind the response that was read."""
        refused = self._failure is not None and self._failure.code is Code.ENGINE_FAILED
        return refused or self._parser.in_message or bool(self._responses)

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP user timeout, which detects a dead peer."""
        socket_transport = cast("asyncio.Transport", transport)  # uvloop's does not subclass it
        self._transport = socket_transport
        if self._listener is not None:
            self._listener.record_open()
        sock = socket_transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_LIMIT_MS)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no request is outstanding."""
        if not self._outstanding:
            log.warning(
                "received bytes without an outstanding request",
                connection=self.serial,
                exchange=self.exchange_count,
                count=len(data),
            )
            self.close()
            return
        refused = self._parser.feed(data)
        if self._listener is not None:
            self._listener.record_received(len(data))
        if refused is not None:
            log.warning(
                "response refused",
                connection=self.serial,
                exchange=self.exchange_count,
                failure=str(refused),
            )
            self._fail(refused)
            self.close()
        elif self._parser.awaits_more:
            asyncio.get_running_loop().call_later(JOINED_WAIT_S, self._parser.end_response)

    def eof_received(self) -> bool:
        """End the response, as complete only if the connection was closed in order.

        A reset may be reported as an end of stream, with the error left on the socket.
        """
        self._open = False
        error = self._socket_error()
        if error:
            detail = f"the connection broke: {os.strerror(error)}"
            self._fail(Failure(code=Code.BACKEND_LOST, detail=detail))
            return False
        self._parser.end_stream()
        self._fail(Failure(code=Code.BACKEND_LOST, detail="the connection was closed"))
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the response in progress, after a reset or the end of the stream."""
        self._open = False
        if self._listener is not None:
            self._listener.record_end()
        detail = "the connection was closed" if exc is None else f"the connection broke: {exc}"
        self._fail(Failure(code=Code.BACKEND_LOST, detail=detail))

    def pause_writing(self) -> None:
        """Block writers while the write buffer is full."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Unblock writers."""
        self._writable.set()

    # interface for callers

    def begin_request(self, head: bytes, *, method: bytes) -> None:
        """Send the head of a request."""
        assert self._transport is not None
        self._outstanding = True
        self._parser.begin_request(method)
        self.exchange_count += 1
        self._transport.write(head)

    async def write(self, data: bytes) -> None:
        """Send a part of the request body; waits while the write buffer is full."""
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.write(data)
        if not self._writable.is_set():
            await self._writable.wait()

    async def read_response(self) -> Result[IncomingResponse, Failure]:
        """Wait for the head of the next response.

        Errors
        ------
        BACKEND_LOST
            The connection ended first.
        ENGINE_FAILED
            The received bytes are not an acceptable response.
        """
        while not self._responses:
            if self._failure is not None:
                return Err(self._failure)
            await self._wakeup.wait()
        self._response = self._responses.popleft()
        return Ok(self._response)

    def end_exchange(self) -> None:
        """Finish the request after its response arrived; the connection may then be reused.

        What was not read of the response is dropped, as it could keep reading paused. If there are
        bytes of another response, the connection is closed.
        """
        self._outstanding = False
        self.kept.clear()
        self.idle_since_s = clocks.elapsed_s()
        if self._response is not None:
            self._response.body.discard()
            self._response = None
        if self._responses or self._parser.in_message:
            log.warning(
                "received bytes behind a complete response",
                connection=self.serial,
                exchange=self.exchange_count,
                complete_responses=len(self._responses),
                begun=self._parser.in_message,
            )
            self.close()

    def held_bytes(self) -> int:
        """Return the memory that request and response take on this connection."""
        held = self.kept.size_bytes
        if self._transport is not None:
            held += self._transport.get_write_buffer_size()
        if self._response is not None:
            held += self._response.body.held_bytes()
        return held + sum(response.body.held_bytes() for response in self._responses)

    def retire(self) -> None:
        """Carry no further request, because bytes of another response may come."""
        self._open = False

    def has_unread_input(self) -> bool:
        """Whether the socket has bytes, or its end, that the event loop has not read yet."""
        sock = None if self._transport is None else self._transport.get_extra_info("socket")
        descriptor = -1 if sock is None else sock.fileno()
        if descriptor < 0:
            return True
        poller = select.poll()
        poller.register(descriptor, select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Abort the connection.

        If a request is outstanding, the connection is reset. The peer then drops request bytes in
        transit instead of processing them later.
        """
        self._open = False
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if self._outstanding and sock is not None and not self._transport.is_closing():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def abandon(self) -> None:
        """Close the connection and drop what was received and not read."""
        self.close()
        self.kept.clear()
        self._responses.clear()
        if self._response is not None:
            self._response.body.discard()
            self._response = None

    def _on_response(self, response: IncomingResponse) -> None:
        self._responses.append(response)
        self._wakeup.wake()

    def _socket_error(self) -> int:
        if self._transport is None:
            return 0
        sock = self._transport.get_extra_info("socket")
        if sock is None:
            return 0
        return int(sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _fail(self, failure: Failure) -> None:
        if self._failure is None:
            self._failure = failure
        self._parser.fail(failure)
        self._writable.set()
        self._wakeup.wake()

    def _pause_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.pause_reading()

    def _resume_reading(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()


async def open_connection(
    address: Address, *, timeout_s: float, listener: ConnectionListener | None = None
) -> Result[ClientConnection, Failure]:
    """Connect to a backend server.

    Parameters
    ----------
    listener
        Is told what the connection does.

    Errors
    ------
    PEER_ABSENT
        The connection was refused.
    PEER_LOST
        The address is unreachable.
    PEER_TIMEOUT
        The connection was not established in time.
    """
    loop = asyncio.get_running_loop()
    try:
        async with active_timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: ClientConnection(listener=listener), address.host, address.port
            )
    except TimeoutError:
        return Err(Failure(code=Code.PEER_TIMEOUT, detail=f"{address}: no connection in time"))
    except ConnectionRefusedError as error:
        return Err(Failure(code=Code.PEER_ABSENT, detail=f"{address}: {error}"))
    except OSError as error:
        return Err(Failure(code=Code.PEER_LOST, detail=f"{address}: {error}"))
    return Ok(connection)


__all__ = ["ClientConnection", "ConnectionListener", "IncomingResponse", "open_connection"]
