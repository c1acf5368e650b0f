"""Tests of what the client reports for a change whose response was lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from leadhollow.codes import Code, Outcome
from leadhollow.failure import Failure
from leadhollow.operator_client import OperatorClient
from leadhollow.problem import PROBLEM_TYPE, problem_of
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from leadhollow.state.commands import RowEdit
from tests.support import row

Replica = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Read a whole request and return its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    return await reader.readexactly(length)


def refuses(code: Code) -> Replica:
    """Create a replica that responds with a problem document."""

    async def respond(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        problem = problem_of(Failure(code=code), outcome=Outcome.UNKNOWN, request_id="")
        body = msgspec.json.encode(problem)
        head = (
            f"HTTP/1.1 {problem.status} X\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        writer.close()

    return respond


async def loses_response(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Read the request and close the connection without a response."""
    await read_request(reader)
    writer.close()


async def failure_of_edit(*replicas: Replica | None) -> Failure:
    """Send an edit to replicas in turn, None for one that is down; return the failure."""
    servers = []
    urls = []
    addresses = LoopbackAddresses()
    for replica in replicas:
        if replica is None:
            urls.append(f"http://{addresses(f'down{len(urls)}', Listener.WIRE)}")
            continue
        server = await asyncio.start_server(replica, "127.0.0.1", 0)
        servers.append(server)
        urls.append(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}")
    client = OperatorClient(urls=tuple(urls), token="t")
    edit = RowEdit(group="a", expected_revision=0, row=row("a"))
    changed = await client.edit([edit], operator="test", operation_id="op-7")
    await client.close()
    for server in servers:
        server.close()
    return changed.unwrap_err()


class TestLostResponse:
    @pytest.mark.parametrize(
        "replicas",
        [
            (loses_response, None),
            (loses_response, refuses(Code.NO_MAJORITY)),
            (refuses(Code.EDIT_UNKNOWN), None),
            (refuses(Code.EDIT_UNKNOWN), refuses(Code.NO_MAJORITY)),
            (refuses(Code.EDIT_UNKNOWN), refuses(Code.OPERATOR_TOKEN)),
        ],
    )
    async def test_outcome_stays_unknown_whatever_later_replicas_respond(self, replicas):
        failure = await failure_of_edit(*replicas)
        assert failure.code is Code.EDIT_UNKNOWN
        assert "op-7" in failure.detail


class TestNothingAccepted:
    async def test_is_reported_where_no_replica_is_reachable(self):
        assert (await failure_of_edit(None, None)).code is Code.OPERATOR_UNREACHABLE

    async def test_is_reported_where_no_replica_has_a_majority(self):
        failure = await failure_of_edit(refuses(Code.NO_MAJORITY), None)
        assert failure.code in (Code.NO_MAJORITY, Code.OPERATOR_UNREACHABLE)
