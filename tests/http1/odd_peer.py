"""A server whose answers a script writes, as odd as it likes, and a count of its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from leadhollow.settings.address import Address

Send = Callable[[bytes], Awaitable[None]]
Script = Callable[[str, int, Send], Awaitable[None]]
"""Answers a request, given its method and target and its place on its connection, from 1."""


def answer(body: bytes = b"", *, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


class OddPeer:
    """Runs a script for each request.

    Attributes
    ----------
    arrived
        Requests (method and target) with the number of the connection that each came on.
    """

    def __init__(self, script: Script) -> None:
        self.script = script
        self.arrived: list[tuple[str, int]] = []
        self.connections = 0
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> OddPeer:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        self.address = Address(host=host, port=port)
        return self

    async def __aexit__(self, *_: object) -> None:
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        connection, place = self.connections, 0
        task = asyncio.current_task()
        assert task is not None
        self._tasks.append(task)

        async def send(data: bytes) -> None:
            writer.write(data)
            await writer.drain()

        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(_content_length(head))
                place += 1
                request = head.split(b" HTTP/1.1", 1)[0].decode()
                self.arrived.append((request, connection))
                await self.script(request, place, send)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def _content_length(head: bytes) -> int:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


__all__ = ["OddPeer", "Script", "Send", "answer"]
