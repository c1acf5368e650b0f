"""Backend servers that answer long requests before they have read them, and a raw caller."""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import random
from collections.abc import Callable

from leadhollow.settings.address import Address
from tests.node.site import HOST, PlainServer
from tests.raw_http import RawCaller

LONG_BYTES = 16 * 1024
EARLY_AFTER_S = 0.02
_attempts = itertools.count(1 << 60)  # apart from those of the site


class EarlyServer(PlainServer):
    """Plain server that may answer before the body is in, and keeps the connection.

    Attributes
    ----------
    early
        Returns the status of the early answer to a long request; 0 for none.
    refuses
        Whether an early answer says that the request was not executed.
    resets
        Whether it resets the connection in place of an early answer.
    ran
        Digests of the bodies that it ran, by attempt.
    fails_each
        Whole requests of which one is answered with 500; 0 for none.
    failures
        Number of these answers.
    open_connections
        Connections that are open now.
    """

    def __init__(self, *, instance: str, service: str) -> None:
        super().__init__(instance=instance, service=service)
        self.early: Callable[[], int] = lambda: 0
        self.refuses = True
        self.resets = False
        self.early_answers = 0
        self.fails_each = 0
        self.failures = 0
        self.ran: dict[str, str] = {}
        self._server: asyncio.Server | None = None
        self.open_connections: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**20)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self.open_connections):
            writer.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.open_connections.add(writer)
        try:
            while True:
                await self._serve_one(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.open_connections.discard(writer)
            writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = [line.partition(":") for line in head.split("\r\n")[1:]]
        fields = {name.lower(): value.strip() for name, _, value in lines}
        attempt = fields.get("x-attempt-id", "")
        if fields.get("x-expect-instance") != self.instance:
            await read_body(reader, fields)
            self._answer(writer, 421, attempt)
            return
        status = self.early() if int(fields.get("content-length", LONG_BYTES)) >= LONG_BYTES else 0
        refuses, resets = self.refuses, self.resets
        if status:
            self.early_answers += 1
            await asyncio.sleep(EARLY_AFTER_S)
            if resets:
                writer.transport.abort()
                raise ConnectionResetError
            self._answer(writer, status, attempt, not_executed=refuses)
            await read_body(reader, fields)
            return
        body = await read_body(reader, fields)
        await self.run(attempt, body)
        failed = await self.fails(attempt)
        self.failures += failed
        self._answer(writer, 500 if failed else 200, attempt)

    async def fails(self, attempt: str) -> bool:
        """Return whether a request is answered with 500."""
        return bool(self.fails_each) and len(self.ran) % self.fails_each == 0

    async def run(self, attempt: str, body: bytes) -> None:
        """Run a request."""
        self.ran[attempt] = digest(body)

    def _answer(
        self, writer: asyncio.StreamWriter, status: int, attempt: str, *, not_executed: bool = False
    ) -> None:
        word = "X-Not-Executed: 1" if not_executed else "X-Response-Signature: signed"
        writer.write(
            f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {attempt}\r\nX-Instance-Id: {self.instance}\r\n"
            f"{word}\r\nContent-Length: 2\r\n\r\nok".encode()
        )


class LongCaller:
    """Caller that sends long bodies in pieces on one kept connection.

    Parameters
    ----------
    pause_s
        Time between two pieces.

    Attributes
    ----------
    sent
        Digests of the bodies that it sent, by attempt.
    """

    def __init__(self, *, address: str, path: str = "/ask/", pause_s: float = 0.0) -> None:
        self._address = Address.parse(address).unwrap()
        self.path = path
        self.pause_s = pause_s
        self._caller: RawCaller | None = None
        self.sent: dict[str, str] = {}

    async def request(
        self, size: int, *, chunked: bool, piece_bytes: int = 32 * 1024
    ) -> tuple[int, bytes, str]:
        """Send a request; return status and head of its answer, and its attempt id.

        The whole body is sent, also after an early answer.
        """
        if self._caller is None:
            self._caller = await RawCaller.connect(self._address)
        attempt = f"{next(_attempts):016x}"
        body = random.randbytes(size)
        self.sent[attempt] = digest(body)
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        head = (
            f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: 4000\r\n{framing}\r\n\r\n"
        )
        await self._caller.send(head.encode())
        sending = asyncio.create_task(
            self._send_body(body, chunked=chunked, piece_bytes=piece_bytes)
        )
        try:
            answer, _ = await self._caller.read_answer()
            await sending
        finally:
            sending.cancel()
        return int(answer.split(b" ")[1]), answer, attempt

    async def send_part(self, size: int, *, part: int) -> bytes:
        """Send the head and a part of a body on a new connection; return all that comes back."""
        caller = await RawCaller.connect(self._address)
        attempt = f"{next(_attempts):016x}"
        self.sent[attempt] = ""
        await caller.send(
            f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n"
            f"Content-Length: {size}\r\n\r\n".encode() + bytes(part)
        )
        received = await caller.read_to_end()
        caller.close()
        return received

    async def _send_body(self, body: bytes, *, chunked: bool, piece_bytes: int) -> None:
        assert self._caller is not None
        for start in range(0, len(body), piece_bytes):
            piece = body[start : start + piece_bytes]
            await self._caller.send(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await asyncio.sleep(self.pause_s)
        if chunked:
            await self._caller.send(b"0\r\n\r\n")

    def close(self) -> None:
        if self._caller is not None:
            self._caller.close()
            self._caller = None


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Read the body of a request in either framing."""
    if "chunked" not in fields.get("transfer-encoding", ""):
        return await reader.readexactly(int(fields.get("content-length", "0")))
    parts = []
    while size := int(await reader.readline(), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


def digest(body: bytes) -> str:
    """Return a digest of a body."""
    return hashlib.sha256(body).hexdigest()


__all__ = ["EarlyServer", "LongCaller", "digest"]
