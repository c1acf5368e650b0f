"""Idle connections to a server that go silent together delay one request, not each of them."""

from __future__ import annotations

import asyncio

import pytest

from leadhollow.decide.server import Server
from leadhollow.decide.server_load import OwnCall
from leadhollow.forward.dialect import DispatchMetadata, ResponseMetadata
from leadhollow.forward.exchange import SILENT_CONNECTION_S, BackendClient
from leadhollow.forward.pool import ConnectionPool
from leadhollow.http1.headers import Headers
from leadhollow.http1.messages import RequestHead
from leadhollow.membership.instances import Instance, InstanceState
from leadhollow.settings.deployment import Listener, LoopbackAddresses
from tests.forward.bodies import empty_body

RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CONNECTIONS = 3


ATTEMPT_ID = "a-1"


class PlainDialect:
    """Dialect without header fields of its own; each response names the request."""

    def dispatch_headers(self, head, dispatch):
        return Headers()

    def parse_response(self, head):
        return ResponseMetadata(attempt_id=ATTEMPT_ID, signed=True, not_executed=False)


class SilentServer:
    """Responds to each request, except on the first ``silent_up_to`` connections."""

    def __init__(self) -> None:
        self.connections = 0
        self.silent_up_to = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                if number > self.silent_up_to:
                    writer.write(RESPONSE)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


def make_server(address: str) -> Server:
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
    """A backend client with its connection pool."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.pool = ConnectionPool()
        self.backend_client = BackendClient(dialect=PlainDialect(), pool=self.pool, listeners=())

    async def send(self) -> bytes:
        head = RequestHead(method=b"GET", target=b"/", headers=Headers())
        body = await empty_body(head)
        sent = await self.backend_client.send(
            server=make_server(self.address),
            own_call=OwnCall(prompt_tokens=0, output_tokens=0, placed_s=0.0, predicted_ms=0.0),
            head=head,
            body=body,
            attempt_id=ATTEMPT_ID,
            dispatch=DispatchMetadata(deadline_ms=1.0, instance="i", organisation=None),
            fresh=False,
        )
        exchange = sent.unwrap()
        data = (await exchange.read()).unwrap()
        assert (await exchange.read()).unwrap() == b""
        await asyncio.sleep(0.02)  # the other requests are still running
        exchange.finish()
        return data


class TestBackendClient:
    @pytest.mark.parametrize(
        ("waited_s", "kept"), [(SILENT_CONNECTION_S / 3, True), (2 * SILENT_CONNECTION_S, False)]
    )
    def test_closes_idle_connections_after_one_of_them_was_silent(self, waited_s, kept):
        async def work() -> None:
            address = LoopbackAddresses()("one", Listener.WIRE)
            server = SilentServer()
            host, _, port = address.partition(":")
            listener = await asyncio.start_server(server.serve, host, int(port))
            client = Client(address)
            await asyncio.gather(*(client.send() for _ in range(CONNECTIONS)))
            assert server.connections == CONNECTIONS
            server.silent_up_to = CONNECTIONS
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(client.send(), waited_s)
            if kept:
                assert client.pool.reused == 1
                server.silent_up_to = 0
            assert await client.send() == b"ok"
            assert server.connections == (CONNECTIONS if kept else CONNECTIONS + 1)
            await client.pool.stop()
            listener.close()

        asyncio.run(asyncio.wait_for(work(), 10))
