"""Connections to a server that go silent together cost one request its time, not each."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward.dialect import DispatchMetadata, ResponseMetadata
from leadhollow.forward.exchange import SILENT_S, BackendClient
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.request_body import RequestBody
from leadhollow.http1.body import IncomingBody
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.settings.deployment import Listener, LoopbackAddresses

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
KEPT = 3


class PlainDialect:
    """No fields of its own."""

    def dispatch_headers(self, head, dispatch):
        return Headers()

    def parse_response(self, head):
        return ResponseMetadata(attempt_id=None, signed=True, not_executed=False)


class SilentServer:
    """Answers each request, until the connections that are open go silent."""

    def __init__(self) -> None:
        self.connections = 0
        self.silent_up_to = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number > self.silent_up_to:
                    writer.write(ANSWER)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def a_server(address: str) -> Server:
    instance = Instance(
        instance="i",
        service="s",
        address=address,
        failure_domain="d",
        sequence=1,
        state=InstanceState.READY,
        slots=1,
        served=(),
        heard_s=0.0,
    )
    return Server(instance=instance)


class Client:
    """An exchanger with its pool."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool()
        self.exchanger = BackendClient(dialect=PlainDialect(), pool=self.pool, listeners=())

    async def ask(self) -> bytes:
        nothing = IncomingBody(pause=lambda: None, resume=lambda: None)
        head = RequestHead(method=b"GET", target=b"/", headers=Headers())
        body = RequestBody(head=head, incoming=nothing, limit_bytes=1)
        body.complete = True
        begun = await self.exchanger.send(
            server=a_server(self.address),
            own_call=OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0),
            head=head,
            body=body,
            attempt_id="",
            dispatch=Dispatch(deadline_ms=1.0, instance="i", organisation=None),
            fresh=False,
        )
        exchange = begun.unwrap()
        data = (await exchange.read()).unwrap()
        assert (await exchange.read()).unwrap() == b""
        await asyncio.sleep(0.02)  # the others are still on their way
        exchange.finish()
        return data


class TestExchanger:
    @pytest.mark.parametrize(("waited_s", "kept"), [(SILENT_S / 3, True), (2 * SILENT_S, False)])
    def test_closes_idle_connections_once_one_of_them_was_silent(self, waited_s, kept):
        async def work() -> None:
            address = LoopbackAddresses()("one", Listener.WIRE)
            server = SilentServer()
            host, _, port = address.partition(":")
            listener = await asyncio.start_server(server.serve, host, int(port))
            client = Client(address)
            await asyncio.gather(*(client.ask() for _ in range(KEPT)))
            assert server.connections == KEPT
            server.silent_up_to = KEPT
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.ask(), waited_s)
            if kept:
                assert client.pool.reused == 1
                server.silent_up_to = 0
            assert await client.ask() == b"ok"
            assert server.connections == (KEPT if kept else KEPT + 1)
            await client.pool.stop()
            listener.close()

        asyncio.run(asyncio.wait_for(work(), 10))
