"""Answers of the engine beside a gate that are late, cut, joined or without end."""

from __future__ import annotations

import asyncio
import resource

import pytest
from result import Err, Ok, Result

from leadhollow.backend.change_signal import ChangeSignal
from leadhollow.backend.dispatch_service import _FrameSink
from leadhollow.backend.engine_client import EngineClient, LoadOrder
from leadhollow.backend.gate import Gate
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http_client import HttpClient
from leadhollow.wire.generated.ttypes import Dispatch, Output
from tests.http1.odd_peer import OddPeer, Send, answer

LATE_S = 0.02
DEADLINE_MS = 600


class Frames:
    """Collects what an entry would get."""

    def __init__(self) -> None:
        self.data = b""
        self.status = 0

    async def send(self, output: Output) -> None:
        self.data += output.data or b""
        self.status = self.status or output.status or 0


class OddEngine(OddPeer):
    """An odd engine and its gate."""

    async def __aenter__(self) -> OddEngine:
        await super().__aenter__()
        self.http = HttpClient()
        self.relayed = b""
        self.client = EngineClient(http=self.http, url=f"http://{self.address}")
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.http.close()
        await super().__aexit__()

    async def run(self, path: str, *, method: str = "GET") -> Result[tuple[int, bytes], Failure]:
        """Run a request; return status and body of its answer."""
        frames = Frames()
        dispatch = Dispatch(
            path, 1, 1, "g", "m", "r", True, DEADLINE_MS, method, path, {}, b"", 0, True
        )
        gate = Gate(slots=1, signal=ChangeSignal())
        sink = _FrameSink(sink=frames, gate=gate, attempt=(path, 1))  # type: ignore[arg-type]
        ran = await self.client.run(dispatch, sink)
        self.relayed = frames.data
        ended = Err(ran.unwrap_err()) if ran.is_err() else sink.finish()
        if ended.is_err():
            return Err(ended.unwrap_err())
        await frames.send(ended.unwrap())
        return Ok((frames.status, frames.data))


class TestLateAnswer:
    # Guards against: a late second answer to one request is taken for the answer to the next.
    @pytest.mark.parametrize("method", ["GET", "POST"])
    async def test_is_not_taken_for_that_of_the_next_request(self, method):
        async def script(request: str, place: int, send: Send) -> None:
            if place > 1:
                await send(answer(b"/1"))
                await asyncio.sleep(LATE_S)
            await send(answer(request.split(" ")[1].encode()))

        async with OddEngine(script) as engine:
            found = [(await engine.run(path, method=method)).unwrap()[1] for path in ("/1", "/2")]
            assert found == [b"/1", b"/2"]

    # Guards against: the answer to an earlier load order acknowledges one that was refused.
    async def test_does_not_acknowledge_a_load(self):
        body = b'{"model": "m", "version": "1", "root": "r"}'

        async def script(request: str, place: int, send: Send) -> None:
            if place > 1:
                await send(answer(body))
                await asyncio.sleep(LATE_S)
            first = len(engine.arrived) == 1
            await send(answer(body) if first else answer(status="409 Conflict"))

        order = LoadOrder(model="m", version="1", root="r", path="p", fence=1)
        async with OddEngine(script) as engine:
            assert (await engine.client.load(order)).is_ok()
            assert (await engine.client.load(order)).unwrap_err().code is Code.FENCE_OLD


class TestJoinedAnswer:
    # Guards against: the head and the events of another answer are passed on as a stream's own.
    async def test_does_not_go_on_with_another_stream(self):
        own = b"data: own 0\n\ndata: own 1\n\ndata: [DONE]\n\n"
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        foreign = head + b"\r\ndata: foreign\n\ndata: [DONE]\n\n"
        wrong = []
        for cut in range(len(own)):

            async def script(request: str, place: int, send: Send, cut: int = cut) -> None:
                await send(head + b"Connection: close\r\n\r\n" + own[:cut] + foreign)
                raise ConnectionError

            async with OddEngine(script) as engine:
                ran = await engine.run("/")
                if ran.is_ok() or not own.startswith(engine.relayed):
                    wrong.append((cut, engine.relayed))
        assert wrong == []

    # Guards against: two answers of no length are passed on as one body.
    async def test_is_no_body_of_no_length(self):
        wrong = []
        for cut in range(1, 20):

            async def script(request: str, place: int, send: Send, cut: int = cut) -> None:
                await send(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + b"x" * cut)
                await send(answer(b"foreign"))
                raise ConnectionError

            async with OddEngine(script) as engine:
                if (await engine.run("/")).is_ok():
                    wrong.append(cut)
        assert wrong == []


class TestBounds:
    # Guards against: a head without end fills a gate's memory.
    @pytest.mark.parametrize(
        ("start", "more"),
        [
            (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x" * 10_000),
            (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 1_000),
        ],
    )
    async def test_end_a_head_without_end(self, start, more):
        sent = 0

        async def script(request: str, place: int, send: Send) -> None:
            nonlocal sent
            await send(start)
            while True:
                await send(more)
                sent += len(more)

        async with OddEngine(script) as engine:
            ran = await asyncio.wait_for(engine.run("/"), 10)
            assert ran.unwrap_err().code is Code.ENGINE_FAILED
            assert sent < 16 * 1024 * 1024

    # Guards against: interim answers without end outlast the deadline, or fill a gate's memory.
    async def test_end_interim_answers_at_the_deadline(self):
        async def script(request: str, place: int, send: Send) -> None:
            while True:
                await send(b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n" * 100)

        async with OddEngine(script) as engine:
            before_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            ran = await asyncio.wait_for(engine.run("/"), 10)
            assert ran.unwrap_err().code in (Code.DEADLINE_PASSED, Code.ENGINE_FAILED)
            grown_kib = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before_kib
            assert grown_kib < 32 * 1024

    # Guards against: what an engine says of its model is read without end.
    async def test_end_a_body_without_end(self):
        sent = 0

        async def script(request: str, place: int, send: Send) -> None:
            nonlocal sent
            await send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                await send(b"1000\r\n" + b"x" * 0x1000 + b"\r\n")
                sent += 0x1000

        async with OddEngine(script) as engine:
            assert (await engine.client.running_model()).is_err()
            assert sent < 16 * 1024 * 1024


__all__: list[str] = []
