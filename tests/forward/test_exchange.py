"""Sends one attempt to a backend server whose state changes, and applies its self-reports."""

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
from leadhollow.forward.self_reports import SelfReports
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.http1.client_connection import open_connection
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instance_table import InstanceTable
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.platform.callers import PlatformCalls
from leadhollow.settings.address import Address
from tests.forward.bodies import empty_body

ATTEMPT_ID = "a-1"


def encode_response(*fields: str, status: str = "200 OK") -> bytes:
    return "\r\n".join([f"HTTP/1.1 {status}", *fields, "Content-Length: 0", "", ""]).encode()


class Feed:
    source = ""

    def on_full_update(self, listener) -> None:
        return

    def on_backoffs(self, listener) -> None:
        return


class SlowPool:
    """Returns a connection once a test sets ``open``."""

    def __init__(self) -> None:
        self.open = asyncio.Event()
        self.acquiring = asyncio.Event()
        self.released = 0

    async def acquire(self, address: str, *, fresh: bool, timeout_s: float):
        self.acquiring.set()
        await self.open.wait()
        opened = await open_connection(Address.parse(address).unwrap(), timeout_s=1.0)
        return Ok(opened.unwrap())

    def release(self, address: str, connection) -> None:
        self.released += 1
        connection.close()

    def drop(self, address: str) -> None:
        return


class ClientBench:
    """One server that sends the same responses to every request, and the entry's backend client."""

    def __init__(self, *responses: bytes) -> None:
        self.responses = responses
        self.requests = 0

    async def __aenter__(self) -> ClientBench:
        self.listener = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.listener.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.table = InstanceTable(forget_after_s=60.0)
        self.directory = ServerDirectory(table=self.table, clock=asyncio.get_running_loop().time)
        self.announce("i-1")
        self.pool = SlowPool()
        reports = SelfReports(directory=self.directory, feed=Feed(), peers=None, seed=1)
        self.client = BackendClient(dialect=PlatformCalls(), pool=self.pool, listeners=(reports,))
        return self

    async def __aexit__(self, *_: object) -> None:
        self.listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                self.requests += 1
                writer.write(b"".join(self.responses))
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
        found = self.directory.server("i-1")
        assert found is not None
        return found

    async def send(self):
        head = RequestHead(method=b"GET", target=b"/", headers=Headers())
        body = await empty_body(head)
        return await self.client.send(
            server=self.server,
            own_call=OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0),
            head=head,
            body=body,
            attempt_id=ATTEMPT_ID,
            dispatch=DispatchMetadata(deadline_ms=1.0, instance="i-1", organisation=None),
            fresh=False,
        )


class TestRequestThatWaitsForAConnection:
    # Guards against: a request that was placed before its server reported leaving is still sent.
    @pytest.mark.parametrize("gone", [False, True])
    async def test_is_not_sent_if_the_server_leaves_in_the_meantime(self, gone):
        async with ClientBench(encode_response()) as bench:
            sending = asyncio.create_task(bench.send())
            await bench.pool.acquiring.wait()
            if gone:
                bench.table.deregister("i-1")
            else:
                bench.table.record_leaving("i-1@0")
            bench.pool.open.set()
            failed = (await sending).unwrap_err()
            assert failed.end is AttemptEnd.WITHHELD
            assert failed.failure.code is Code.DRAINING
            assert (bench.requests, bench.pool.released) == (0, 1)


class TestSelfReport:
    async def receive(self, *responses: bytes) -> ClientBench:
        async with ClientBench(*responses) as bench:
            bench.announce("i-2", address="127.0.0.1:1")
            bench.pool.open.set()
            (await bench.send()).unwrap().abort()
        return bench

    def is_leaving(self, bench: ClientBench, instance: str) -> bool:
        found = bench.table.get(instance)
        assert found is not None
        return found.state is InstanceState.DRAINING

    @pytest.mark.parametrize("status", ["200 OK", "429 Busy", "500 Failed", "503 Away"])
    async def test_of_leaving_is_read_from_a_response_of_any_status(self, status):
        bench = await self.receive(encode_response("Server-Leaving: 1", status=status))
        assert self.is_leaving(bench, "i-1")
        assert bench.directory.servers("s") == [bench.directory.server("i-2")]

    async def test_of_leaving_is_read_from_a_response_to_an_earlier_request(self):
        stray = encode_response("X-Attempt-Id: a-0", "Server-Leaving: 1")
        bench = await self.receive(stray, encode_response(f"X-Attempt-Id: {ATTEMPT_ID}"))
        assert self.is_leaving(bench, "i-1")

    # Guards against: a self-report is applied to another server that has or had the same address.
    async def test_of_leaving_applies_to_the_instance_that_it_names(self):
        leaving = encode_response(
            "Server-Leaving: 1", "X-Instance-Id: i-2", status="421 Misdirected"
        )
        bench = await self.receive(leaving)
        assert self.is_leaving(bench, "i-2")
        assert not self.is_leaving(bench, "i-1")

    async def test_of_leaving_without_an_instance_name_is_ignored_on_status_421(self):
        bench = await self.receive(encode_response("Server-Leaving: 1", status="421 Misdirected"))
        assert not self.is_leaving(bench, "i-1")

    # Guards against: a response of another server at the same address ends a back-off.
    async def test_of_another_instance_ends_no_backoff(self):
        async with ClientBench(
            encode_response("X-Instance-Id: i-2", status="421 Misdirected")
        ) as bench:
            bench.announce("i-2", address="127.0.0.1:1")
            backoff = bench.server.backoff = ServerBackoff(
                clock=lambda: 0.0, source=random.Random(1)
            )
            backoff.record_peer_backoff(3.0)
            bench.pool.open.set()
            (await bench.send()).unwrap().abort()
            assert bench.server.backoff is backoff
