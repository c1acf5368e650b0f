"""Body of a caller's request: buffered for retries if it is small, else streamed."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.client_connection import ClientConnection
from leadhollow.http1.messages import LAST_CHUNK, Framing, RequestHead, encode_chunk

MAX_BUFFERED_BYTES = 256 * 1024  # requests with a larger body are not retried


class RequestBody:
    """Body of one request.

    Attributes
    ----------
    complete
        Whether the complete body is buffered, so that it can be sent again.
    """

    __slots__ = (
        "_data",
        "_framing",
        "_incoming",
        "_length",
        "_limit_bytes",
        "_received",
        "complete",
    )

    def __init__(self, *, head: RequestHead, incoming: IncomingBody, limit_bytes: int) -> None:
        self._incoming = incoming
        self._framing = head.framing
        self._limit_bytes = limit_bytes
        declared = head.headers.get(b"content-length")
        self._length = int(declared) if declared is not None and declared.isdigit() else None
        self._data = b""
        self._received = 0
        self.complete = False

    @property
    def buffered(self) -> bytes:
        """Buffered beginning of the body; all of it if it is complete."""
        return self._data

    @property
    def length(self) -> int | None:
        """Length in bytes; None if it is not known before the end."""
        return len(self._data) if self.complete else self._length

    @property
    def framing_fields(self) -> list[tuple[bytes, bytes]]:
        """Header fields that frame the body for a backend server."""
        if self.complete:
            if not self._data and self._framing is Framing.NONE:
                return []
            return [(b"Content-Length", b"%d" % len(self._data))]
        if self._length is not None:
            return [(b"Content-Length", b"%d" % self._length)]
        return [(b"Transfer-Encoding", b"chunked")]

    async def collect(self) -> Result[None, Failure]:
        """Buffer the body, or the beginning of a long one.

        Errors
        ------
        BODY_TOO_LARGE
            The body is larger than callers may send.
        REQUEST_MALFORMED
            The body ended early or its framing is invalid.
        """
        if self._length is not None and self._length > self._limit_bytes:
            return Err(_too_large(self._limit_bytes))
        parts = []
        while self._received <= MAX_BUFFERED_BYTES:
            read = await self._next()
            if read.is_err():
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                self.complete = True
                break
            parts.append(data)
        self._data = b"".join(parts)
        return Ok(None)

    async def send(self, connection: ClientConnection) -> Result[None, Failure]:
        """Send the buffered part and then the rest as it arrives."""
        chunked = not self.complete and self._length is None
        await connection.write(encode_chunk(self._data) if chunked else self._data)
        while not self.complete:
            read = await self._next()
            if read.is_err():
                connection.close()
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                break
            await connection.write(encode_chunk(data) if chunked else data)
        if chunked:
            await connection.write(LAST_CHUNK)
        return Ok(None)

    async def _next(self) -> Result[bytes, Failure]:
        read = await self._incoming.read()
        if read.is_ok():
            self._received += len(read.unwrap())
            if self._received > self._limit_bytes:
                return Err(_too_large(self._limit_bytes))
        return read


def _too_large(limit_bytes: int) -> Failure:
    return Failure(code=Code.BODY_TOO_LARGE, detail=f"more than {limit_bytes} bytes")


__all__ = ["RequestBody"]
