"""Callers and backend servers on loopback that send exact bytes over raw sockets."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable

from leadhollow.settings.address import Address

RESET = struct.pack("ii", 1, 0)


class RawCaller:
    """Client side of one connection, also used by scripts for the server side."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, address: Address) -> RawCaller:
        reader, writer = await asyncio.open_connection(address.host, address.port)
        return cls(reader, writer)

    async def send(self, data: bytes) -> None:
        self.writer.write(data)
        await self.writer.drain()

    async def read_until(self, mark: bytes) -> bytes:
        async with asyncio.timeout(10):
            return await self.reader.readuntil(mark)

    async def read_answer(self) -> tuple[bytes, bytes]:
        """Read head and body of a response with a Content-Length."""
        head = await self.read_until(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        async with asyncio.timeout(10):
            return head, await self.reader.readexactly(length)

    async def read_to_end(self) -> bytes:
        async with asyncio.timeout(10):
            return await self.reader.read()

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        raw_socket = self.writer.get_extra_info("socket")
        raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.writer.transport.abort()


Script = Callable[[RawCaller], Awaitable[None]]


class RawServer:
    """Backend server that runs a script on each connection."""

    def __init__(self, script: Script) -> None:
        self._script = script
        self._server: asyncio.Server | None = None
        self.address = Address(host="127.0.0.1", port=0)
        self.connections = 0

    async def __aenter__(self) -> RawServer:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(host="127.0.0.1", port=self._server.sockets[0].getsockname()[1])
        return self

    async def __aexit__(self, *_: object) -> None:
        assert self._server is not None
        self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        try:
            await self._script(RawCaller(reader, writer))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
