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


class TestReport:
    # Guards against: each poll of a calm engine costs a connection.
    async def test_is_polled_on_one_connection(self):
        async def script(request: str, place: int, send: Send) -> None:
            await send(report(3))

        async with OddEngine(script) as engine:
            for _ in range(20):
                assert (await engine.client.report()).unwrap().sequence == 3
            assert engine.connections == 1

    # Guards against: a late copy of an older report hides that the engine took an order.
    async def test_that_is_older_than_a_known_one_is_requested_again(self):
        async def script(request: str, place: int, send: Send) -> None:
            if place == 3:
                await send(report(3))
                await asyncio.sleep(LATE_S)
            await send(report(3 if place == 1 and engine.connections == 1 else 4))

        async with OddEngine(script) as engine:
            found = [(await engine.client.report()).unwrap().sequence for _ in range(4)]
            assert found == [3, 4, 4, 4]
            assert engine.connections == 2

    # Guards against: a report behind which another one came is taken for the newer of the two.
    async def test_behind_which_bytes_came_is_requested_again(self):
        async def script(request: str, place: int, send: Send) -> None:
            await send(report(place, born=5) + (report(7, born=6) if place == 2 else b""))

        async with OddEngine(script) as engine:
            first = (await engine.client.report()).unwrap()
            second = (await engine.client.report()).unwrap()
            assert (first.sequence, second.sequence, engine.connections) == (1, 1, 2)

    # Guards against: the answer to a piece of the stage is decoded as a report.
    async def test_is_not_the_answer_to_another_kind_of_request(self):
        async def script(request: str, place: int, send: Send) -> None:
            if "report" in request and place > 1:
                await send(answer(b'{"held": [1]}'))
                await asyncio.sleep(LATE_S)
            await send(report(3) if "report" in request else answer(b'{"held": [1]}'))

        async with OddEngine(script) as engine:
            assert (await engine.client.list_staged("m")).unwrap() == [1]
            assert (await engine.client.report()).unwrap().sequence == 3

    # Guards against: an engine that started again, and counts from 0, is not believed.
    async def test_of_a_new_life_is_taken(self):
        async def script(request: str, place: int, send: Send) -> None:
            await send(report(4) if engine.connections == 1 else report(0, born=0))
            raise ConnectionError

        async with OddEngine(script) as engine:
            assert (await engine.client.report()).unwrap().sequence == 4
            await asyncio.sleep(LATE_S)
            assert (await engine.client.report()).unwrap().sequence == 0

    # Guards against: a report without end fills the stager's memory.
    async def test_has_a_bound(self):
        sent = 0

        async def script(request: str, place: int, send: Send) -> None:
            nonlocal sent
            await send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                await send(b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
                sent += 0x1000

        async with OddEngine(script) as engine:
            assert (await engine.client.report()).is_err()
            assert sent < 8 * 1024 * 1024  # what sockets buffer beside the bound


class TestStagedPiece:
    # Guards against: a damaged piece passes by a late copy of its answer in an earlier check.
    async def test_is_read_again_on_another_connection(self):
        async def script(request: str, place: int, send: Send) -> None:
            index = int(request.rsplit("=", 1)[1])
            if place > 2:
                await send(answer(b"good %d" % index))
                await asyncio.sleep(LATE_S)
            await send(answer(b"%b %d" % (b"good" if engine.connections == 1 else b"bad", index)))

        async with OddEngine(script) as engine:
            client = engine.client
            first = [(await client.read_staged_piece("m", index)).unwrap() for index in range(2)]
            second = [(await client.read_staged_piece("m", index)).unwrap() for index in range(2)]
            assert first == [b"good 0", b"good 1"]
            assert second == [b"bad 0", b"bad 1"]
            assert engine.connections == 2
