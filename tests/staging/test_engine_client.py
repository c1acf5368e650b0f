"""The engine's answers to a stager: each is taken only for the request that it belongs to."""

from __future__ import annotations

import asyncio
import json

from leadhollow.codes import Code
from leadhollow.platform.engines import PlatformEngine
from leadhollow.staging.engine_client import LocalEngine
from leadhollow.staging.engine_dialect import LoadOrder
from tests.http1.odd_peer import OddPeer, Send, answer

ORDER = LoadOrder(model="m", version=2, preempt=True, expected_sequence=3)
LATE_S = 0.02


def report(sequence: int, *, born: int = 1) -> bytes:
    return answer(json.dumps({"sequence": sequence, "born": born}).encode())


class OddEngine(OddPeer):
    """An odd engine and its client."""

    async def __aenter__(self) -> OddEngine:
        await super().__aenter__()
        self.client = LocalEngine(address=self.address, dialect=PlatformEngine())
        return self

    async def __aexit__(self, *_: object) -> None:
        self.client.close()
        await super().__aexit__()


class TestOrder:
    # Guards against: a late second answer to a report acknowledges an order that nobody took.
    async def test_is_not_acknowledged_by_the_answer_to_another_request(self):
        async def script(request: str, place: int, send: Send) -> None:
            if request.startswith("POST"):
                await send((report(3) if place > 1 else b"") + answer(status="409 Conflict"))
            else:
                await send(report(3))

        async with OddEngine(script) as engine:
            assert (await engine.client.report()).is_ok()
            ordered = await engine.client.order_load(ORDER, lambda: True)
            assert ordered.unwrap_err().code is Code.LOAD_REFUSED

    # Guards against: a second answer to an order acknowledges the next order.
    async def test_is_sent_on_a_connection_of_its_own(self):
        async def script(request: str, place: int, send: Send) -> None:
            if place > 1:
                await send(answer(status="202 Accepted"))
                await asyncio.sleep(LATE_S)
            await send(answer(status="409 Conflict" if engine.connections > 1 else "202 Accepted"))

        async with OddEngine(script) as engine:
            assert (await engine.client.order_load(ORDER, lambda: True)).is_ok()
            ordered = await engine.client.order_load(ORDER, lambda: True)
            assert ordered.unwrap_err().code is Code.LOAD_REFUSED
            assert [connection for _, connection in engine.arrived] == [1, 2]
