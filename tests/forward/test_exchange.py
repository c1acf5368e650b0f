"""What is sent and heard in one attempt, whatever changes on the way."""

from __future__ import annotations

import asyncio
import random

import pytest
from result import Ok

from leadhollow.codes import Code
from leadhollow.decide.server import Server
from leadhollow.decide.server_backoff import ServerBackoff
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward.dialect import DispatchMetadata
from leadhollow.forward.exchange import AttemptEnd, BackendClient
from leadhollow.forward.request_body import RequestBody
from leadhollow.forward.self_reports import SelfReports
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.client_connection import open_connection
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.platform.callers import PlatformCalls
from leadhollow.settings.address import Address

ATTEMPT = "a-1"


def answer(*fields: str, status: str = "200 OK") -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *fields, "Content-Length: 0", "", ""]).encode()


class Feed:
    source = ""

    def on_full_update(self, listener) -> None:
        return

    def on_backoffs(self, listener) -> None:
        return


class SlowPool:
    """Gives a connection when a test lets it."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.asked = asyncio.Event()
        self.released = 0

    async def acquire(self, address: str, *, fresh: bool, timeout_s: float):
        self.asked.set()
        await self.open.wait()
        opened = await open_connection(Address.parse(address).unwrap(), timeout_s=1.0)
        return Ok(opened.unwrap())

    def release(self, address: str, connection) -> None:
        self.released += 1
        connection.close()

    def drop(self, address: str) -> None:
        return


class Bench:
    """One server that answers every request alike, and an entry's board and exchanger."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = answers
        self.requests = 0

    async def __aenter__(self) -> Bench:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.table = InstanceTable(forget_after_s=60.0)
        self.board = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.announce("i-1")
        self.pool = SlowPool()
        reports = SelfReports(directory=self.board, feed=Feed(), peers=None, seed=1)
        self.exchanger = BackendClient(
            dialect=PlatformCalls(), pool=self.pool, listeners=(reports,)
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(b"".join(self.answers))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def announce(self, instance: str, *, address: str = "") -> None:
        self.table.merge(
            Instance(
                instance=instance,
                service="s",
                address=address or self.address,
                failure_domain="d",
                sequence=1,
                state=InstanceState.READY,
                slots=1,
                served=(),
                heard_s=asyncio.get_running_loop().time(),
            )
        )

    @property
    def server(self) -> Server:
        found = self.board.server("i-1")
        assert found is not None
        return found

    async def ask(self):
        nothing = IncomingBody(pause=lambda: None, resume=lambda: None)
        head = RequestHead(method=b"GET", target=b"/", headers=Headers())
        body = RequestBody(head=head, incoming=nothing, limit_bytes=1)
        body.complete = True
        return await self.exchanger.send(
            server=self.server,
            own_call=OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0),
            head=head,
            body=body,
            attempt_id=ATTEMPT,
            dispatch=Dispatch(deadline_ms=1.0, instance="i-1", organisation=None),
            fresh=False,
        )


class TestRequestThatWaitsForAConnection:
    # Guards against: a request that was placed before its server said that it leaves is sent there.
    @pytest.mark.parametrize("gone", [False, True])
    async def test_is_not_sent_to_a_server_that_leaves_meanwhile(self, gone):
        async with Bench(answer()) as bench:
            asking = asyncio.create_task(bench.ask())
            await bench.pool.asked.wait()
            if gone:
                bench.table.deregister("i-1")
            else:
                bench.table.record_leaving("i-1@0")
            bench.pool.open.set()
            failed = (await asking).unwrap_err()
            assert failed.end is AttemptEnd.WITHHELD
            assert failed.failure.code is Code.DRAINING
            assert (bench.requests, bench.pool.released) == (0, 1)


class TestAnswer:
    async def heard(self, *answers: bytes) -> Bench:
        async with Bench(*answers) as bench:
            bench.announce("i-2", address="127.0.0.1:1")
            bench.pool.open.set()
            (await bench.ask()).unwrap().abort()
        return bench

    def leaves(self, bench: Bench, instance: str) -> bool:
        found = bench.table.get(instance)
        assert found is not None
        return found.state is InstanceState.DRAINING

    @pytest.mark.parametrize("status", ["200 OK", "429 Busy", "500 Failed", "503 Away"])
    async def test_of_any_status_may_say_that_its_server_leaves(self, status):
        bench = await self.heard(answer("Server-Leaving: 1", status=status))
        assert self.leaves(bench, "i-1")
        assert bench.board.servers("s") == [bench.board.server("i-2")]

    async def test_to_an_earlier_request_counts_as_well(self):
        stray = answer("X-Attempt-Id: a-0", "Server-Leaving: 1")
        bench = await self.heard(stray, answer(f"X-Attempt-Id: {ATTEMPT}"))
        assert self.leaves(bench, "i-1")

    # Guards against: the word of a server binds another one that has its address, or had it.
    async def test_of_another_incarnation_binds_that_one(self):
        said = answer("Server-Leaving: 1", "X-Instance-Id: i-2", status="421 Misdirected")
        bench = await self.heard(said)
        assert self.leaves(bench, "i-2")
        assert not self.leaves(bench, "i-1")

    async def test_of_an_incarnation_without_a_name_binds_nobody(self):
        bench = await self.heard(answer("Server-Leaving: 1", status="421 Misdirected"))
        assert not self.leaves(bench, "i-1")

    # Guards against: the answer of a server at the same address ends the rest of another one.
    async def test_of_another_incarnation_ends_no_rest(self):
        async with Bench(answer("X-Instance-Id: i-2", status="421 Misdirected")) as bench:
            bench.announce("i-2", address="127.0.0.1:1")
            rest = bench.server.backoff = ServerBackoff(clock=lambda: 0.0, source=random.Random(1))
            rest.record_peer_backoff(3.0)
            bench.pool.open.set()
            (await bench.ask()).unwrap().abort()
            assert bench.server.backoff is rest
