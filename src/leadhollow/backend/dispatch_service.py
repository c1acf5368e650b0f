"""Runs the attempts that entries dispatch, if the gate admits them, and streams the responses."""

from __future__ import annotations

import asyncio

from result import Err, Ok, Result

from leadhollow.backend.engine_backoff import RETRY_AFTER_HEADER
from leadhollow.backend.engine_client import EngineClient, EngineResponseHead
from leadhollow.backend.engine_life import EngineLife
from leadhollow.backend.engine_limit import REQUEST_LIMIT_HEADER
from leadhollow.backend.gate import AttemptKey, Gate, attempt_key
from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.forward.events import Event
from leadhollow.kernel import clocks
from leadhollow.observe.logs import get_logger
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Dispatch, Output, Tombstone, TombstoneReply
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink

EVENT_SEPARATOR = b"\n\n"
LAST_EVENT_PREFIX = b"data: [DONE]"
ERROR_EVENT_PREFIX = b'data: {"error"'
NO_FIELDS: frozenset[bytes] = frozenset()
EVENT_STREAM = "text/event-stream"
FORWARDED_HEADERS = ("Content-Type", "Content-Language", "ETag", "Location", "Cache-Control")

log = get_logger("dispatch")


class _FrameSink:
    """Converts the response of an engine into as few numbered output frames as possible.

    Of an event stream only complete events are sent, without delay; the stream is complete once its
    last event has arrived. Of other bodies the latest part is held back, and a short response thus
    fits in one frame.
    """

    __slots__ = (
        "_attempt",
        "_gate",
        "_headers",
        "_held_back",
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
        self._held_back = b""
        self._is_events = False
        self._status = 0
        self._headers: dict[str, str] | None = None
        self.ended = False

    async def on_head(self, head: EngineResponseHead) -> None:
        """Store status and headers for the first frame; record limit and back-off of the engine."""
        self._gate.limit.record_response(head.values(REQUEST_LIMIT_HEADER), sent_s=self._sent_s)
        self._gate.backoff.record_response(
            self._attempt, head.status, head.values(RETRY_AFTER_HEADER)
        )
        self._status = head.status
        self._is_events = any(kind.startswith(EVENT_STREAM) for kind in head.values("Content-Type"))
        self._headers = {
            name: values[0] for name in FORWARDED_HEADERS if (values := head.values(name))
        }

    async def on_data(self, data: bytes) -> None:
        """Send what is complete."""
        if self._is_events:
            await self._send_events(data)
            return
        if self._held_back:
            await self._sink.send(self._output(self._held_back))
        self._held_back = data

    def finish(self) -> Result[Output, Failure]:
        """Return the last frame, or a failure if the response is incomplete."""
        if self._is_events and not self.ended:
            detail = "the stream ended before its last event"
            return Err(Failure(code=Code.ENGINE_FAILED, detail=detail))
        return Ok(self._output(b"" if self._is_events else self._held_back, last=True))

    async def _send_events(self, data: bytes) -> None:
        complete, separator, self._held_back = (self._held_back + data).rpartition(EVENT_SEPARATOR)
        if not separator:
            return
        if ERROR_EVENT_PREFIX in complete:
            message = "the engine reported an error within the stream"
            raise ValueError(message)
        events = complete.split(EVENT_SEPARATOR)
        if not all(Event(data=event, event_id=None).is_proper(NO_FIELDS) for event in events):
            message = "the stream holds what is no event, as of another response"
            raise ValueError(message)
        if events[-1].startswith(LAST_EVENT_PREFIX):
            self.ended = True
            events.pop()
        if events:
            text = EVENT_SEPARATOR.join(events) + EVENT_SEPARATOR
            await self._sink.send(self._output(text, tokens=len(events)))

    def _output(self, data: bytes, *, last: bool = False, tokens: int = 0) -> Output:
        status, headers = self._status, self._headers
        self._status, self._headers = 0, None  # only the first frame carries these
        output = Output(self._sequence, data, status, headers, last, 0, tokens, "")
        self._sequence += 1
        return output


class DispatchService:
    """Handles dispatches and tombstones of entries."""

    __slots__ = ("_engine", "_gate", "_life", "_tasks")

    def __init__(
        self, *, gate: Gate, engine: EngineClient, life: EngineLife, handlers: HandlerTable
    ) -> None:
        self._gate = gate
        self._engine = engine
        self._life = life
        self._tasks: set[asyncio.Task[Result[Output, Failure]]] = set()
        handlers.on_stream(Dispatch, self._on_dispatch)
        handlers.on_call(Tombstone, self._on_tombstone)

    async def start(self) -> Result[None, Failure]:
        """Nothing to begin."""
        return Ok(None)

    async def drain(self) -> None:
        """Wait for the attempts in progress."""
        await self._gate.wait_idle()

    async def stop(self) -> None:
        """Cancel the attempts that still run."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

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
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await asyncio.shield(task)
        except asyncio.CancelledError:
            if dispatch.repeatable:
                task.cancel()  # no caller waits; one that may not be repeated is completed
            raise

    async def _run(self, dispatch: Dispatch, sink: StreamSink) -> Result[Output, Failure]:
        frame_sink = _FrameSink(sink=sink, gate=self._gate, attempt=attempt_key(dispatch))
        life = self._life.name
        try:
            ran = await self._engine.run(dispatch, frame_sink)
            ended = Err(ran.unwrap_err()) if ran.is_err() else frame_sink.finish()
            if ended.is_err() and ended.unwrap_err().code is Code.ENGINE_FAILED:
                return Err(await self._explain(ended.unwrap_err(), life))
            return ended
        finally:
            self._gate.release(dispatch)

    async def _explain(self, failure: Failure, life: str) -> Failure:
        """Return the failure of an attempt, or one that names the life that ended under it."""
        if not await self._engine.is_gone():
            return failure
        self._life.record_end(life)
        log.warning("engine ended while it ran requests", life=life, failure=str(failure))
        return Failure(code=Code.ENGINE_ENDED, detail=life)

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
