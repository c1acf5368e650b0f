"""A backend server that answers in odd ways, and the entry's backend client with its pool."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Awaitable, Callable, Sequence

from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward.buffered_response import buffer_response
from leadhollow.forward.dialect import DispatchMetadata
from leadhollow.forward.event_source import EventSource
from leadhollow.forward.exchange import BackendClient, Exchange
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import LAST_CHUNK, RequestHead, encode_chunk
from leadhollow.kernel.active_time import active_timeout
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.platform.callers import PlatformCalls
from tests.forward.bodies import empty_body

PATIENCE_S = 0.3  # in active time, so that a busy machine fails no proper answer

Send = Callable[[bytes], Awaitable[None]]
Script = Callable[[str, Send], Awaitable[None]]
"""Answers the request with an id by sending bytes."""


def answer(
    attempt_id: str,
    *fields: str,
    status: str = "200 OK",
    size: int = 20,
    named: bool = True,
    framing: str = "length",
    parts: Sequence[bytes] | None = None,
    signature: str | None = None,
) -> bytes:
    """Return the answer of a server to a request; its signature and body hold the request's id.

    A body of several parts, if given, has a chunk for each.
    """
    parts = [body_of(attempt_id, size)] if parts is None else parts
    body = b"".join(parts)
    lines = [f"HTTP/1.1 {status}", f"X-Response-Signature: {signature or attempt_id}", *fields]
    if named:
        lines.append(f"X-Attempt-Id: {attempt_id}")
    if framing == "length":
        lines.append(f"Content-Length: {len(body)}")
    elif framing == "chunked":
        lines.append("Transfer-Encoding: chunked")
        body = b"".join(encode_chunk(part) for part in parts if part) + LAST_CHUNK
    return "\r\n".join([*lines, "", ""]).encode() + body


def body_of(attempt_id: str, size: int = 20) -> bytes:
    """Return the body of the answer to a request."""
    return (attempt_id.encode() + b".") * size


class OddServer:
    """One server whose answers a script writes, and a client that keeps its connections."""

    def __init__(self, script: Script, *, patience_s: float = PATIENCE_S) -> None:
        self.script = script
        self.patience_s = patience_s
        self.connections = 0
        self.closed_by_client = False
        self.arrived: list[str] = []
        self._writers: list[asyncio.StreamWriter] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> OddServer:
        self._listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._listener.sockets[0].getsockname()
        table = InstanceTable(forget_after_s=60.0)
        directory = ServerDirectory(table=table, clock=asyncio.get_running_loop().time)
        table.merge(
            Instance(
                instance="i-1",
                service="s",
                address=f"{host}:{port}",
                failure_domain="d",
                sequence=1,
                state=InstanceState.READY,
                slots=1,
                served=(),
                heard_s=asyncio.get_running_loop().time(),
            )
        )
        found = directory.server("i-1")
        assert found is not None
        self._server: Server = found
        self.pool = ConnectionPool()
        self.client = BackendClient(dialect=PlatformCalls(), pool=self.pool, listeners=())
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.pool.stop()
        self._listener.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.close()

    def send_unasked(self, data: bytes) -> None:
        """Send bytes on all connections, at once and without a turn of the event loop."""
        for writer in self._writers:
            os.write(writer.get_extra_info("socket").fileno(), data)

    async def exchange(self, attempt_id: str) -> Exchange | None:
        """Send a request and wait for the head of its answer; None if it failed."""
        fields = [(b"X-Attempt-Id", attempt_id.encode())]
        head = RequestHead(method=b"GET", target=b"/", headers=Headers(items=fields))
        sent = await self.client.send(
            server=self._server,
            own_call=OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0),
            head=head,
            body=await empty_body(head),
            attempt_id=attempt_id,
            dispatch=DispatchMetadata(deadline_ms=1.0, instance="i-1", organisation=None),
            fresh=False,
        )
        return None if sent.is_err() else sent.unwrap()

    async def request(self, attempt_id: str) -> tuple[int, str, bytes] | None:
        """Send a request; return status, signature and body of its answer, None if it failed."""
        exchange, found = None, None
        with contextlib.suppress(TimeoutError):
            async with active_timeout(self.patience_s):
                exchange = await self.exchange(attempt_id)
                if exchange is not None:
                    read = await buffer_response(exchange)
                    if read.is_ok():
                        signature = exchange.response.head.headers.text(b"x-response-signature")
                        found = exchange.status, signature, read.unwrap().body.merge()
        _end(exchange, whole=found is not None)
        return found

    async def events(self, attempt_id: str) -> tuple[list[bytes], bool]:
        """Send a request; return the events of its answer and whether they are complete."""
        events: list[bytes] = []
        exchange, whole = None, False
        with contextlib.suppress(TimeoutError):
            async with active_timeout(self.patience_s):
                exchange = await self.exchange(attempt_id)
                if exchange is not None:
                    source = EventSource(exchange=exchange)
                    while not whole and (read := await source.read()).is_ok():
                        events += [event.data for event in read.unwrap()]
                        whole = not read.unwrap()
        _end(exchange, whole=whole)
        return events, whole

    async def requests(self, attempt_ids: Sequence[str]) -> list[tuple[int, str, bytes] | None]:
        """Send requests one after another."""
        return [await self.request(attempt_id) for attempt_id in attempt_ids]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self._writers.append(writer)
        task = asyncio.current_task()
        assert task is not None
        self._tasks.append(task)

        async def send(data: bytes) -> None:
            if data:
                writer.write(data)
                await writer.drain()

        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                attempt_id = head.split(b"X-Attempt-Id: ", 1)[1].split(b"\r\n", 1)[0].decode()
                self.arrived.append(attempt_id)
                await self.script(attempt_id, send)
        except (OSError, asyncio.IncompleteReadError):
            self.closed_by_client = True
            writer.close()
        except EndConnection:
            writer.close()


def _end(exchange: Exchange | None, *, whole: bool) -> None:
    if exchange is not None and whole:
        exchange.finish()
    elif exchange is not None:
        exchange.abort()


class EndConnection(Exception):
    """Raised by a script to end its connection in order."""


__all__ = ["EndConnection", "OddServer", "Script", "Send", "answer", "body_of"]
