"""Carries the frames of one attempt to the caller."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from leadhollow.codes import Code
from leadhollow.entry.call import Call
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import Output
from leadhollow.wire.streams import CallStream


class CallerSink(Protocol):
    """Takes the answer for the caller."""

    async def head(self, status: int, headers: dict[str, str]) -> None:
        """Take status and headers, once."""
        ...

    async def data(self, data: bytes) -> None:
        """Take a piece of the body."""
        ...


class Delivered:
    """What the caller has of the answer so far."""

    __slots__ = ("events", "head_sent", "root", "tokens")

    def __init__(self) -> None:
        self.head_sent = False
        self.tokens = 0
        self.events: list[bytes] = []
        self.root = ""

    def text(self) -> str:
        """Give the generated text that the delivered events carried."""
        parts = []
        for line in b"".join(self.events).split(b"\n\n"):
            if line.startswith(b"data: {"):
                event = msgspec.json.decode(line.removeprefix(b"data: "))
                parts.append(event["choices"][0].get("delta", {}).get("content") or "")
        return "".join(parts)


class Relay:
    """One attempt's answer on its way.

    Only frames of this attempt come over its stream, numbered from 0; a gap ends the attempt.

    Parameters
    ----------
    root
        Version that answers; empty for a plain service.
    """

    __slots__ = ("_call", "_delivered", "_root", "_sink")

    def __init__(self, *, call: Call, root: str, delivered: Delivered, sink: CallerSink) -> None:
        self._call = call
        self._root = root
        self._delivered = delivered
        self._sink = sink

    async def run(self, stream: CallStream) -> Failure | None:
        """Carry frames until the last one; None where the answer is whole."""
        expected = 0
        call = self._call
        while True:
            left_ms = (call.deadline_s - _now_s()) * 1000
            received = await stream.next(timeout_ms=max(left_ms, 1))
            if received.is_err():
                if _now_s() >= call.deadline_s:
                    return Failure(code=Code.DEADLINE_PASSED, detail="it passed while it ran")
                return received.unwrap_err()
            output: Output | None = received.unwrap()
            if output is None:
                return Failure(code=Code.ENGINE_FAILED, detail="the answer has no last frame")
            if output.sequence != expected:
                return Failure(code=Code.ENGINE_FAILED, detail="a frame is missing")
            expected += 1
            failure = await self._take(output)
            if failure is not None or output.last:
                return failure

    async def _take(self, output: Output) -> Failure | None:
        delivered = self._delivered
        if output.status:
            if self._call.model and output.status >= 500:
                return Failure(code=Code.ENGINE_FAILED, detail=f"the engine said {output.status}")
            if self._call.model:
                delivered.root = self._root
            if not delivered.head_sent:
                delivered.head_sent = True
                await self._sink.head(output.status, dict(output.headers or {}))
        if output.data:
            if self._call.stream:
                delivered.events.append(output.data)
            delivered.tokens += output.generated_tokens or 0
            await self._sink.data(output.data)
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["CallerSink", "Delivered", "Relay"]
