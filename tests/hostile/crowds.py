"""Callers that exceed limits, stop just short of an end, or do not read: one function a kind."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections.abc import Awaitable, Callable

from tests.hostile.deployment import BODY_LIMIT_BYTES
from tests.node.site import HOST

RECONNECT_S = 0.05
BLOCK = bytes(65_536)
PIECE_BYTES = 8 * 1024
_numbers = itertools.count(1)

Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Encode the head of a request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {next(_numbers) + 10**9:016x}",
        "X-Deadline-Ms: 60000",
        *fields,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def unfinished_head(*fields: str) -> bytes:
    """Encode a head without its end."""
    return head("/plain/a", *fields).removesuffix(b"\r\n")


async def write_without_end(writer: asyncio.StreamWriter, block: bytes) -> None:
    """Write the same bytes again and again until the connection ends."""
    while True:
        writer.write(block)
        await writer.drain()


async def stay(reader: asyncio.StreamReader) -> None:
    """Keep the connection open until the peer ends it."""
    while await reader.read(65_536):
        pass


async def short_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A head of 15 KiB in short fields, without its end."""
    writer.write(unfinished_head() + b"a:b\r\n" * 2_600)
    await stay(reader)


async def endless_field(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """One field without end."""
    writer.write(unfinished_head() + b"X-Field: ")
    await write_without_end(writer, b"x" * 65_536)


async def endless_fields(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Short fields without end."""
    writer.write(unfinished_head())
    await write_without_end(writer, b"a:b\r\n" * 13_000)


async def announced_body(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A body that is announced as 1 TB, and sent."""
    writer.write(head("/plain/a", f"Content-Length: {10**12}"))
    await write_without_end(writer, BLOCK)


async def chunks_without_end(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A chunked body without end."""
    writer.write(head("/plain/a", "Transfer-Encoding: chunked"))
    await write_without_end(writer, b"10000\r\n" + BLOCK + b"\r\n")


def nearly_whole(path: str, size_bytes: int, *, piece_bytes: int = 0) -> Behaviour:
    """Return a caller that sends a body but for its last byte, whole or piece by piece."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(head(path, f"Content-Length: {size_bytes}"))
        step = piece_bytes or size_bytes
        left = size_bytes - 1
        while left > 0:
            writer.write(bytes(min(step, left)))
            left -= step
            await writer.drain()
            if piece_bytes:
                await asyncio.sleep(0.002)
        await stay(reader)

    return run


async def pipelined(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Many requests of 15 KiB at once on one connection, behind one that never ends."""
    writer.write(head("/plain/a", f"Content-Length: {8}", "X-Field: " + "x" * 15_000) + bytes(8))
    for _ in range(63):
        writer.write(head("/plain/a", "X-Field: " + "x" * 15_000, method="GET"))
        await writer.drain()
    await stay(reader)


async def small_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A body in chunks of two bytes."""
    writer.write(head("/plain/a", "Transfer-Encoding: chunked"))
    for _ in range(10):
        writer.write(b"2\r\nxx\r\n" * 9_000)
        await writer.drain()
    await stay(reader)


async def endless_small_chunks(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Chunks of two bytes without end."""
    writer.write(head("/plain/a", "Transfer-Encoding: chunked"))
    await write_without_end(writer, b"2\r\nxx\r\n" * 9_000)


async def empty_lines(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Empty lines without end before a request."""
    await write_without_end(writer, b"\r\n" * 32_768)


async def endless_trailers(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Trailers without end."""
    writer.write(head("/plain/a", "Transfer-Encoding: chunked") + b"2\r\nxx\r\n0\r\n")
    await write_without_end(writer, b"a:b\r\n" * 13_000)


async def endless_extension(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """An extension of a chunk without end."""
    writer.write(head("/plain/a", "Transfer-Encoding: chunked") + b"2;a=")
    await write_without_end(writer, b"x" * 65_536)


async def unread_responses(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A long response that is asked for and not read."""
    writer.write(head("/long/a", method="GET"))
    await writer.drain()
    await asyncio.Event().wait()


async def silent(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Nothing is sent."""
    await stay(reader)


ENTRY_CROWDS: dict[str, Behaviour] = {
    "short-fields": short_fields,
    "endless-field": endless_field,
    "endless-fields": endless_fields,
    "announced-body": announced_body,
    "chunks-without-end": chunks_without_end,
    "nearly-whole": nearly_whole("/plain/a", BODY_LIMIT_BYTES),
    "nearly-whole-in-pieces": nearly_whole("/plain/a", BODY_LIMIT_BYTES, piece_bytes=PIECE_BYTES),
    "nearly-whole-once": nearly_whole("/once/a", BODY_LIMIT_BYTES),
    "nearly-whole-buffered": nearly_whole("/plain/a", 250 * 1024),
    "pipelined": pipelined,
    "small-chunks": small_chunks,
    "empty-lines": empty_lines,
    "endless-trailers": endless_trailers,
    "endless-extension": endless_extension,
    "unread-responses": unread_responses,
}


class Crowd:
    """Connections that all behave the same way, and come back when they are closed."""

    def __init__(self, *, address: str, behaviours: list[Behaviour]) -> None:
        self._host, _, port = address.partition(":")
        self._port = int(port)
        self._behaviours = behaviours
        self._tasks: list[asyncio.Task[None]] = []

    async def stay(self, span_s: float) -> None:
        """Let the crowd come, and leave after a time."""
        self.come()
        await asyncio.sleep(span_s)
        await self.leave()

    def come(self) -> None:
        """Start all connections."""
        self._tasks = [asyncio.create_task(self._run(behaviour)) for behaviour in self._behaviours]

    async def leave(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(self, behaviour: Behaviour) -> None:
        while True:
            with contextlib.suppress(OSError):
                await self._connect(behaviour)
            await asyncio.sleep(RECONNECT_S)

    async def _connect(self, behaviour: Behaviour) -> None:
        sock = socket.socket()
        sock.setblocking(False)
        # a small window, so that unread responses wait in the entry
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        try:
            await asyncio.get_running_loop().sock_connect(sock, (self._host, self._port))
            reader, writer = await asyncio.open_connection(sock=sock, limit=4_096)
        except BaseException:
            sock.close()
            raise
        try:
            await behaviour(reader, writer)
        finally:
            writer.transport.abort()


__all__ = [
    "ENTRY_CROWDS",
    "Behaviour",
    "Crowd",
    "endless_small_chunks",
    "head",
    "silent",
    "stay",
    "unread_responses",
]
