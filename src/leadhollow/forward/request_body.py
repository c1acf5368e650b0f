"""Body of a caller's request: short ones are buffered, long ones are sent while they arrive.

What was read of a long body is kept while the entry has memory for it, so that the request can be
sent to another server.
"""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.body_retention import BodyRetention
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.client_connection import ClientConnection
from leadhollow.http1.messages import LAST_CHUNK, Framing, RequestHead, encode_chunk
from leadhollow.http1.pieces import Pieces
from leadhollow.kernel.active_time import active_timeout, deadline_at

MAX_BUFFERED_BYTES = 256 * 1024  # a longer body is sent while it arrives
PIECE_BYTES = 64  # memory of a kept piece beside its bytes


class RequestBody:
    """Body of one request.

    Parameters
    ----------
    limit_bytes
        Longest body that callers may send.
    retention
        Memory for what is read beyond the buffered beginning.

    Attributes
    ----------
    failure
        Why the caller's body is not valid; None while it is.
    replayable
        Whether nothing that was read of the body has been dropped, so that a server can be sent
        all of it.
    """

    __slots__ = (
        "_beginning",
        "_collected",
        "_connections",
        "_current",
        "_ended",
        "_framing",
        "_incoming",
        "_length",
        "_limit_bytes",
        "_received",
        "_reserved_bytes",
        "_rest",
        "_retention",
        "failure",
        "replayable",
    )

    def __init__(
        self,
        *,
        head: RequestHead,
        incoming: IncomingBody,
        limit_bytes: int,
        retention: BodyRetention,
    ) -> None:
        self._incoming = incoming
        self._framing = head.framing
        self._limit_bytes = limit_bytes
        self._retention = retention
        declared = head.headers.get(b"content-length")
        self._length = int(declared) if declared is not None and declared.isdigit() else None
        self._beginning = b""
        self._collected = Pieces()  # of the beginning, until it is complete
        self._connections: list[ClientConnection] = []
        self._rest: list[bytes] = []
        self._reserved_bytes = 0
        self._received = 0
        self._ended = False
        self._current: OutgoingBody | None = None
        self.replayable = True
        self.failure: Failure | None = None

    @property
    def complete(self) -> bool:
        """Whether the complete body is held."""
        return self._ended and self.replayable

    @property
    def beginning(self) -> bytes:
        """Buffered beginning of the body; all of it if it is short."""
        return self._beginning

    def held_bytes(self) -> int:
        """Return the memory that the body takes here and on its connections to servers."""
        sending = sum(connection.held_bytes() for connection in self._connections)
        beginning = len(self._beginning) + self._collected.size_bytes
        return beginning + self._reserved_bytes + sending

    def free(self) -> None:
        """Drop what is held and close the connections to servers."""
        for connection in self._connections:
            connection.abandon()
        self.release()
        self._beginning = b""
        self._collected.clear()
        self.replayable = False

    def add_connection(self, connection: ClientConnection) -> None:
        """Count what a connection holds on which the request is sent."""
        self._connections.append(connection)

    def remove_connection(self, connection: ClientConnection) -> None:
        """Stop counting a connection that no longer serves this request."""
        if connection in self._connections:
            self._connections.remove(connection)

    @property
    def length(self) -> int | None:
        """Length in bytes; None if it is not known before the end."""
        return self._received if self.complete else self._length

    async def collect(self, *, deadline_s: float, idle_s: float) -> Result[None, Failure]:
        """Buffer the body, or the beginning of a long one.

        Parameters
        ----------
        deadline_s
            Loop time at which the caller does not wait for a response any more.
        idle_s
            Longest active time without bytes.

        Errors
        ------
        BODY_TOO_LARGE
            The body is larger than callers may send.
        REQUEST_MALFORMED
            The body ended early or its framing is invalid.
        BODY_TIMEOUT
            The body did not arrive in time.
        """
        if self._length is not None and self._length > self._limit_bytes:
            return Err(_too_large(self._limit_bytes))
        if self._incoming.complete:  # nothing to wait for
            return await self._collect(idle_s)
        try:
            async with deadline_at(deadline_s):
                return await self._collect(idle_s)
        except TimeoutError:
            detail = f"{self._received} bytes came"
            return Err(Failure(code=Code.BODY_TIMEOUT, detail=detail))

    async def _collect(self, idle_s: float) -> Result[None, Failure]:
        while self._received <= MAX_BUFFERED_BYTES:
            if self._incoming.readable:
                read = await self._next()
            else:
                async with active_timeout(idle_s):
                    read = await self._next()
            if read.is_err():
                return Err(read.unwrap_err())
            data = read.unwrap()
            if not data:
                break
            self._collected.append(data)
        self._beginning = self._collected.merge()
        self._collected.clear()
        return Ok(None)

    def outgoing(self) -> OutgoingBody:
        """Return the body for one attempt.

        Unless the body is complete, only the newest attempt goes on to read from the caller.
        """
        self._current = OutgoingBody(body=self)
        return self._current

    def is_current(self, outgoing: OutgoingBody) -> bool:
        """Return whether an attempt may read from the caller."""
        return self._current is outgoing

    def framing_fields(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields that frame the body for a backend server."""
        if self.length is None:
            return [(b"Transfer-Encoding", b"chunked")]
        if self.length == 0 and self._framing is Framing.NONE:
            return []
        return [(b"Content-Length", b"%d" % self.length)]

    def held(self, position: int) -> bytes | None:
        """Return the piece at a position of what is held, None after the last one."""
        if position == 0:
            return self._beginning
        return self._rest[position - 1] if position <= len(self._rest) else None

    async def read_next(self) -> Result[bytes, Failure]:
        """Read a piece from the caller and keep it if there is memory; ``b""`` at the end.

        Errors
        ------
        BODY_TOO_LARGE, REQUEST_MALFORMED
            As for :meth:`collect`.
        """
        read = await self._next()
        if read.is_ok() and read.unwrap():
            self._keep(read.unwrap())
        return read

    def release(self) -> None:
        """Drop what is kept beyond the beginning; the request is not sent any more."""
        self._retention.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._rest = []
        self._connections = []
        self._current = None

    def _keep(self, data: bytes) -> None:
        if self._current is None:
            return  # released
        size_bytes = len(data) + PIECE_BYTES
        if self.replayable and self._retention.try_reserve(size_bytes):
            self._reserved_bytes += size_bytes
            self._rest.append(data)
            return
        self.replayable = False
        self._retention.release(self._reserved_bytes)
        self._reserved_bytes = 0
        self._rest = []

    async def _next(self) -> Result[bytes, Failure]:
        if self._ended:
            return Ok(b"")
        read = await self._incoming.read()
        if read.is_err():
            self.failure = read.unwrap_err()
            return read
        data = read.unwrap()
        self._received += len(data)
        if self._received > self._limit_bytes:
            self.failure = _too_large(self._limit_bytes)
            return Err(self.failure)
        if not data:
            self._ended = True
        return read


class OutgoingBody:
    """The body as one attempt sends it.

    Attributes
    ----------
    framing_fields
        Header fields that frame it.
    """

    __slots__ = ("_body", "_chunked", "framing_fields")

    def __init__(self, *, body: RequestBody) -> None:
        self._body = body
        self._chunked = body.length is None
        self.framing_fields = body.framing_fields()

    async def send(self, connection: ClientConnection) -> Result[None, Failure]:
        """Send what is held of the body and then the rest as it arrives.

        Errors
        ------
        BODY_TOO_LARGE, REQUEST_MALFORMED
            The caller did not send a whole body; the connection was closed.
        NOT_SENT
            Another attempt sends the body now; the connection was closed.
        """
        body = self._body
        position = 0
        while (piece := body.held(position)) is not None:
            await self._write(connection, piece)
            position += 1
        while not body.complete:
            if not body.is_current(self):
                connection.close()
                return Err(Failure(code=Code.NOT_SENT, detail="another attempt sends the body"))
            read = await body.read_next()
            if read.is_err():
                connection.close()
                return Err(read.unwrap_err())
            if not read.unwrap():
                break
            await self._write(connection, read.unwrap())
        if self._chunked:
            await connection.write(LAST_CHUNK)
        return Ok(None)

    async def _write(self, connection: ClientConnection, data: bytes) -> None:
        if data:
            await connection.write(encode_chunk(data) if self._chunked else data)


def _too_large(limit_bytes: int) -> Failure:
    return Failure(code=Code.BODY_TOO_LARGE, detail=f"more than {limit_bytes} bytes")


__all__ = ["OutgoingBody", "RequestBody"]
