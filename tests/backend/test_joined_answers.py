"""Answers of an engine that are sent twice or cut; a request gets its own answer or a failure."""

from __future__ import annotations

import asyncio
import re

import pytest

from leadhollow.backend.engine_client import EngineClient, EngineResponseHead
from leadhollow.http_client import HttpClient
from leadhollow.wire.generated.ttypes import Dispatch
from tests.raw_http import RawCaller, RawServer

REQUESTS = 4


class Sink:
    """Keeps a response."""

    def __init__(self) -> None:
        self.status = 0
        self.data = b""

    async def on_head(self, head: EngineResponseHead) -> None:
        self.status = head.status

    async def on_data(self, data: bytes) -> None:
        self.data += data


def answer(body: bytes, *, status: str = "200 OK") -> bytes:
    return b"HTTP/1.1 %b\r\nContent-Length: %d\r\n\r\n%b" % (status.encode(), len(body), body)


async def wrong_answers(extras: list[bytes], *, late_s: float) -> list[int]:
    """Return the requests that got another answer than their own; each second one fails."""

    async def serve(connection: RawCaller) -> None:
        while True:
            head = await connection.read_until(b"\r\n\r\n")
            number = int(re.search(rb"/(\d+) ", head)[1])  # type: ignore[index]
            status = "500 Internal Server Error" if number % 2 else "200 OK"
            await connection.send(answer(b"own %d" % number, status=status))
            await asyncio.sleep(late_s)
            await connection.send(extras[number % len(extras)])

    found = []
    async with RawServer(serve) as server:
        http = HttpClient()
        engine = EngineClient(http=http, url=f"http://{server.address}")
        for number in range(REQUESTS):
            sink = Sink()
            dispatch = Dispatch(
                method="GET", path=f"/{number}", headers={}, body=b"", deadline_ms=500
            )
            ran = await engine.run(dispatch, sink)
            own = (500 if number % 2 else 200, b"own %d" % number)
            if ran.is_ok() and (sink.status, sink.data) != own:
                found.append(number)
            await asyncio.sleep(0.01)
        await http.close()
    return found


class TestAnswersOfAnEngine:
    # Guards against: a second answer to one request is taken for the answer to the next one.
    @pytest.mark.parametrize("late_s", [0.0, 0.001, 0.005])
    async def test_that_come_twice_belong_to_no_other_request(self, late_s):
        copies = [answer(b"own 0"), answer(b"own 1", status="500 Internal Server Error")]
        assert await wrong_answers(copies, late_s=late_s) == []

    # Guards against: the beginning of a second answer is joined with the head of the next one.
    @pytest.mark.parametrize("late_s", [0.0, 0.005])
    async def test_that_begin_twice_belong_to_no_other_request(self, late_s):
        copies = [answer(b"own 0")[:cut] for cut in (1, 5, 12, 17, 20, 40)]
        assert await wrong_answers(copies, late_s=late_s) == []

    # Guards against: the bytes of a second answer fill up the body of one that was cut.
    async def test_that_are_cut_are_not_filled_up(self):
        own, second = answer(b"own " * 50), answer(b"other " * 60)
        wrong = []
        for cut in range(1, len(own), 3):

            async def serve(connection: RawCaller, cut: int = cut) -> None:
                await connection.read_until(b"\r\n\r\n")
                await connection.send(own[:cut])
                await asyncio.sleep(0.001)
                await connection.send(second)
                await connection.read_to_end()

            async with RawServer(serve) as server:
                engine = EngineClient(http=HttpClient(), url=f"http://{server.address}")
                sink = Sink()
                dispatch = Dispatch(method="GET", path="/", headers={}, body=b"", deadline_ms=200)
                ran = await engine.run(dispatch, sink)
                if ran.is_ok() and (sink.status, sink.data) != (200, b"own " * 50):
                    wrong.append(cut)
        assert wrong == []
