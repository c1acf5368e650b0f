"""Forwards the frames of an attempt to the caller."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from leadhollow.codes import Code
from leadhollow.entry.call import Call
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import Output
from leadhollow.wire.streams import CallStream


class ResponseSink(Protocol):
    """Receives the response for the caller."""

    async def write_head(self, status: int, headers: dict[str, str]) -> None:
        """Accept status and headers; called once."""
        ...

    async def write(self, data: bytes) -> None:
        """Accept a part of the body."""
        ...


class DeliveredResponse:
    """Part of the response that was delivered to the caller, over all attempts of a call."""

    __slots__ = ("events", "head_sent", "root", "tokens")

    def __init__(self) -> None:
        self.head_sent = False
        self.tokens = 0
        self.events: list[bytes] = []
        self.root = ""

    def text(self) -> str:
        """Return the generated text in the delivered events."""
        parts = []
        for line in b"".join(self.events).split(b"\n\n"):
            if line.startswith(b"data: {"):
                event = msgspec.json.decode(line.removeprefix(b"data: "))
                parts.append(event["choices"][0].get("delta", {}).get("content") or "")
        return "".join(parts)


class ResponseRelay:
    """Forwards the response of one attempt.

    A stream carries the frames of one attempt only, numbered from 0; a gap fails the attempt.

    Parameters
    ----------
    root
        Root of the version that responds; empty for a plain service.
    """

    __slots__ = ("_call", "_delivered", "_root", "_sink")

    def __init__(
        self, *, call: Call, root: str, delivered: DeliveredResponse, sink: ResponseSink
    ) -> None:
        self._call = call
        self._root = root
        self._delivered = delivered
        self._sink = sink

    async def run(self, stream: CallStream) -> Failure | None:
        """Forward frames up to the last one; return None if the response is complete."""
        expected = 0
        call = self._call
        while True:
            remaining_ms = (call.deadline_s - _now_s()) * 1000
            item = await stream.next(timeout_ms=max(remaining_ms, 1))
            if item.is_err():
                if _now_s() >= call.deadline_s:
                    return Failure(code=Code.DEADLINE_PASSED, detail="it passed while it ran")
                return item.unwrap_err()
            output: Output | None = item.unwrap()
            if output is None:
                return Failure(code=Code.ENGINE_FAILED, detail="the answer has no last frame")
            if output.sequence != expected:
                return Failure(code=Code.ENGINE_FAILED, detail="a frame is missing")
            expected += 1
            failure = await self._handle_frame(output)
            if failure is not None or output.last:
                return failure

    async def _handle_frame(self, output: Output) -> Failure | None:
        delivered = self._delivered
        if output.status:
            if self._call.model and output.status >= 500:
                return Failure(code=Code.ENGINE_FAILED, detail=f"the engine said {output.status}")
            if self._call.model:
                delivered.root = self._root
            if not delivered.head_sent:
                delivered.head_sent = True
                await self._sink.write_head(output.status, dict(output.headers or {}))
        if output.data:
            if self._call.stream:
                delivered.events.append(output.data)
            delivered.tokens += output.generated_tokens or 0
            await self._sink.write(output.data)
        return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["DeliveredResponse", "ResponseRelay", "ResponseSink"]
