"""What an operator is told of a change whose answer was lost on the way."""

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
    """Read a whole request, giving its body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode().lower().split("\r\n")
    length = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
    return await reader.readexactly(length)


def refuses(code: Code) -> Replica:
    """Make a replica that answers with a problem."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await read_request(reader)
        problem = problem_of(Failure(code=code), outcome=Outcome.UNKNOWN, request_id="")
        body = msgspec.json.encode(problem)
        head = (
            f"HTTP/1.1 {problem.status} X\r\nContent-Type: {PROBLEM_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode() + body)
        writer.close()

    return answer


async def reads_and_hangs_up(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Take the request and lose the answer."""
    await read_request(reader)
    writer.close()


async def change_at(*replicas: Replica | None) -> Failure:
    """Send an edit to replicas in turn, None for one that is down; give what is heard of it."""
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


class TestLostAnswer:
    @pytest.mark.parametrize(
        "replicas",
        [
            (reads_and_hangs_up, None),
            (reads_and_hangs_up, refuses(Code.NO_MAJORITY)),
            (refuses(Code.EDIT_UNKNOWN), None),
            (refuses(Code.EDIT_UNKNOWN), refuses(Code.NO_MAJORITY)),
            (refuses(Code.EDIT_UNKNOWN), refuses(Code.OPERATOR_TOKEN)),
        ],
    )
    async def test_is_unknown_whatever_later_replicas_say_of_themselves(self, replicas):
        failure = await change_at(*replicas)
        assert failure.code is Code.EDIT_UNKNOWN
        assert "op-7" in failure.detail


class TestNothingSent:
    async def test_is_said_where_no_replica_could_be_reached(self):
        assert (await change_at(None, None)).code is Code.OPERATOR_UNREACHABLE

    async def test_is_said_where_no_replica_had_a_majority(self):
        failure = await change_at(refuses(Code.NO_MAJORITY), None)
        assert failure.code in (Code.NO_MAJORITY, Code.OPERATOR_UNREACHABLE)
