"""A loopback proxy in front of a stand-in: cuts, resets and slows what goes through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import time
from enum import Enum

from tests.soak.odd_bytes import OddBytes
from tests.soak.spans import Spans

CHUNK_BYTES = 16 * 1024
SLOW_S = 0.25
ABORT_ON_CLOSE = struct.pack("ii", 1, 0)


class Path(Enum):
    """What becomes of the bytes."""

    OPEN = "open"
    CUT = "cut"  # nothing passes, and nothing tells so
    SLOW = "slow"


class Proxy:
    """Listens at one address and passes everything on to another.

    Attributes
    ----------
    harmed
        When it was not open.
    reset_s
        When its connections were reset.
    odd
        Changes what comes from the other address; None to pass it on as it is.
    """

    def __init__(self, *, host: str, port: int, target_port: int) -> None:
        self.host = host
        self.port = port
        self.target_port = target_port
        self.harmed = Spans()
        self.reset_s: list[float] = []
        self.odd: OddBytes | None = None
        self._path = Path.OPEN
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Where others reach the stand-in."""
        return f"{self.host}:{self.port}"

    @property
    def path(self) -> Path:
        """May be changed at any moment; connections that stand feel it too."""
        return self._path

    @path.setter
    def path(self, path: Path) -> None:
        self._path = path
        self.harmed.end(time.monotonic())
        if path is not Path.OPEN:
            self.harmed.begin(time.monotonic())

    async def start(self) -> None:
        """Open the listener."""
        self._server = await asyncio.start_server(self._pass_on, self.host, self.port)

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.reset()

    def reset(self) -> None:
        """Reset all connections that stand."""
        self.reset_s.append(time.monotonic())
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT_ON_CLOSE)
            writer.transport.abort()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await self._held()
        try:
            inner_reader, inner_writer = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, inner_writer}
        self._writers |= both
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, inner_writer))
                group.create_task(self._copy(inner_reader, writer, self.odd))
        except* OSError:
            pass
        finally:
            self._writers -= both
            for each in both:
                each.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        odd: OddBytes | None = None,
    ) -> None:
        async def write(data: bytes) -> None:
            if data:
                writer.write(data)
                await writer.drain()

        feed = write if odd is None else odd.connection(write).feed
        while data := await reader.read(CHUNK_BYTES):
            await self._held()
            await feed(data)
        writer.close()

    async def _held(self) -> None:
        if self.path is Path.SLOW:
            await asyncio.sleep(SLOW_S)
        while self.path is Path.CUT:
            await asyncio.sleep(0.02)


__all__ = ["Path", "Proxy"]
