"""Writing of a response to a caller."""

from __future__ import annotations

import asyncio
import socket
import struct
from http import HTTPStatus

from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import (
    BODYLESS_STATUSES,
    LAST_CHUNK,
    RequestHead,
    encode_chunk,
)

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER on, with 0 s: closing sends a reset


class ReplyWriter:
    """Writes one response on a connection: start, any number of writes, finish or abort.

    Nothing is written after its end.

    Parameters
    ----------
    request
        The request, which determines the framing of the body.
    writable
        Event that is set while the write buffer has room.
    close_after
        Whether the connection ends after the response.
    """

    __slots__ = (
        "_chunked",
        "_ends_with_connection",
        "_remaining_bytes",
        "_request",
        "_transport",
        "_writable",
        "bytes_sent",
        "close_after",
        "finished",
        "started",
        "status",
    )

    def __init__(
        self,
        *,
        transport: asyncio.Transport,
        request: RequestHead,
        writable: asyncio.Event,
        close_after: bool,
    ) -> None:
        self._transport = transport
        self._request = request
        self._writable = writable
        self._chunked = False
        self._remaining_bytes: int | None = None
        self._ends_with_connection = False
        self.close_after = close_after
        self.started = False
        self.finished = False
        self.status = 0
        self.bytes_sent = 0

    def start(
        self,
        status: int,
        headers: Headers,
        *,
        reason: bytes | None = None,
        content_length: int | None = None,
    ) -> None:
        """Write the head of the response.

        Parameters
        ----------
        headers
            Fields other than the hop-by-hop ones and those that frame the body.
        reason
            Reason phrase; None for the standard one.
        content_length
            Length of the body in bytes; None if it is not known in advance.
        """
        if self.finished:  # the connection may be that of the next response by now
            return
        self.started = True
        self.status = status
        phrase = _phrase(status) if reason is None else reason
        lines = [b"HTTP/1.1 %d %b\r\n" % (status, phrase), headers.encode()]
        bodyless = self._request.method == b"HEAD" or status in BODYLESS_STATUSES
        if content_length is not None and status not in BODYLESS_STATUSES:
            lines.append(b"Content-Length: %d\r\n" % content_length)
        self._remaining_bytes = 0 if bodyless else content_length
        if not bodyless and content_length is None:
            if self._request.http_1_0:
                self.close_after = True
                self._ends_with_connection = True
            else:
                self._chunked = True
                lines.append(b"Transfer-Encoding: chunked\r\n")
        if self.close_after:
            lines.append(b"Connection: close\r\n")
        lines.append(b"\r\n")
        self._transport.write(b"".join(lines))

    async def write(self, data: bytes) -> None:
        """Write a part of the body; waits while the write buffer is full."""
        if not data or self._remaining_bytes == 0 or self.finished:
            return
        if self._remaining_bytes is not None:
            data = data[: self._remaining_bytes]
            self._remaining_bytes -= len(data)
        self.bytes_sent += len(data)
        self._transport.write(encode_chunk(data) if self._chunked else data)
        if not self._writable.is_set():
            await self._writable.wait()

    def finish(self) -> None:
        """Complete the response; abort it if the body is shorter than declared."""
        if self.finished:
            return
        if self._remaining_bytes:  # shorter than declared: must not look complete
            self.abort()
            return
        self.finished = True
        if self._chunked:
            self._transport.write(LAST_CHUNK)

    def abort(self) -> None:
        """Abort the connection, so the response cannot be taken for a complete one.

        A response that ends with its connection needs a reset for this.
        """
        self.close_after = True
        sock = self._transport.get_extra_info("socket")
        if self.started and self._ends_with_connection and sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    async def send(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Write a whole response."""
        self.start(status, headers, content_length=len(body))
        await self.write(body)
        self.finish()


def _phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b""


__all__ = ["ReplyWriter"]
