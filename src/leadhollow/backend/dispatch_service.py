"""Runs the attempts that entries dispatch, through the gate, and streams their answers."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.backend.engine_backoff import RETRY_AFTER_HEADER
from leadhollow.backend.engine_client import EngineClient, EngineResponseHead
from leadhollow.backend.engine_limit import REQUEST_LIMIT_HEADER
from leadhollow.backend.gate import AttemptKey, Gate, attempt_key
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Dispatch, Output, Tombstone, TombstoneReply
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

EVENT_END = b"\n\n"
LAST_EVENT = b"data: [DONE]"
ERROR_EVENT = b'data: {"error"'
EVENT_STREAM = "text/event-stream"
PASSED_HEADERS = ("Content-Type", "Content-Language", "ETag", "Location", "Cache-Control")

log = get_logger("dispatch")


class _WireSink:
    """Turns an engine's answer into numbered output frames, as few as it can.

    Only whole events leave, at once; an event stream is whole once its last event came. Other
    bodies are held back by one piece, so that a short answer is one frame.
    """

    __slots__ = (
        "_attempt",
        "_gate",
        "_headers",
        "_held",
        "_is_events",
        "_sent_s",
        "_sequence",
        "_sink",
        "_status",
        "ended",
    )

    def __init__(self, *, sink: StreamSink, gate: Gate, attempt: AttemptKey) -> None:
        self._attempt = attempt
        self._sink = sink
        self._gate = gate
        self._sent_s = clocks.elapsed_s()
        self._sequence = 0
        self._held = b""
        self._is_events = False
        self._status = 0
        self._headers: dict[str, str] | None = None
        self.ended = False

    async def on_head(self, head: EngineResponseHead) -> None:
        """Keep status and headers for the first frame, and note what they say of the engine."""
        self._gate.limit.record_response(head.values(REQUEST_LIMIT_HEADER), sent_s=self._sent_s)
        self._gate.backoff.record_response(
            self._attempt, head.status, head.values(RETRY_AFTER_HEADER)
        )
        self._status = head.status
        self._is_events = head.headers.get("Content-Type", "").startswith(EVENT_STREAM)
        self._headers = {
            name: head.headers[name] for name in PASSED_HEADERS if name in head.headers
        }

    async def on_data(self, data: bytes) -> None:
        """Send what is whole."""
        if self._is_events:
            await self._events(data)
            return
        if self._held:
            await self._sink.send(self._output(self._held))
        self._held = data

    def finish(self) -> Result[Output, Failure]:
        """Give the last frame, or say that the answer is not whole."""
        if self._is_events and not self.ended:
            detail = "the stream ended before its last event"
            return Err(Failure(code=Code.ENGINE_FAILED, detail=detail))
        return Ok(self._output(b"" if self._is_events else self._held, last=True))

    async def _events(self, data: bytes) -> None:
        whole, separator, self._held = (self._held + data).rpartition(EVENT_END)
        if not separator:
            return
        if ERROR_EVENT in whole:
            message = "the engine reported an error within the stream"
            raise ValueError(message)
        events = whole.split(EVENT_END)
        if events[-1].startswith(LAST_EVENT):
            self.ended = True
            events.pop()
        if events:
            text = EVENT_END.join(events) + EVENT_END
            await self._sink.send(self._output(text, tokens=len(events)))

    def _output(self, data: bytes, *, last: bool = False, tokens: int = 0) -> Output:
        status, headers = self._status, self._headers
        self._status, self._headers = 0, None  # only the first frame carries them
        output = Output(self._sequence, data, status, headers, last, 0, tokens, "")
        self._sequence += 1
        return output


class DispatchService:
    """Answers dispatches and tombstones."""

    __slots__ = ("_engine", "_gate", "_running")

    def __init__(self, *, gate: Gate, engine: EngineClient, handlers: HandlerTable) -> None:
        self._gate = gate
        self._engine = engine
        self._running: set[asyncio.Task[Result[Output, Failure]]] = set()
        handlers.on_stream(Dispatch, self._on_dispatch)
        handlers.on_call(Tombstone, self._on_tombstone)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Wait for the attempts in progress."""
        await self._gate.wait_idle()

    async def stop(self) -> None:
        """Cut what still runs."""
        for task in list(self._running):
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    async def _on_dispatch(self, dispatch: Dispatch, sink: StreamSink) -> Result[Output, Failure]:
        refusal = self._gate.admit(dispatch)
        if refusal is not None:
            log.info(
                "attempt refused",
                request_id=dispatch.request_id,
                attempt=dispatch.attempt,
                failure=str(refusal),
            )
            return Err(refusal)
        task = asyncio.get_running_loop().create_task(self._run(dispatch, sink))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if dispatch.repeatable:
                task.cancel()  # nobody waits for it; what may not be repeated runs to its end
            raise

    async def _run(self, dispatch: Dispatch, sink: StreamSink) -> Result[Output, Failure]:
        answer = _WireSink(sink=sink, gate=self._gate, attempt=attempt_key(dispatch))
        try:
            ran = await self._engine.run(dispatch, answer)
            return Err(ran.unwrap_err()) if ran.is_err() else answer.finish()
        finally:
            self._gate.release(dispatch)

    async def _on_tombstone(
        self, request: Tombstone, connection: Connection
    ) -> Result[TombstoneReply, Failure]:
        if request.incarnation != self._gate.incarnation:
            return Err(Failure(code=Code.INCARNATION_OLD))
        progress = self._gate.place_tombstone(request.request_id, request.attempt)
        if progress is None:
            return Ok(TombstoneReply(True, ""))
        return Ok(TombstoneReply(False, progress.value))


__all__ = ["DispatchService"]
