"""Client and server ends of a streamed response."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure, failure_from_number
from leadhollow.kernel.active_time import active_timeout
from leadhollow.wire.codec import Frame
from leadhollow.wire.messages import Body, FrameKind

if TYPE_CHECKING:
    from leadhollow.wire.connection import Connection


class CallStream:
    """Client end of a streamed response."""

    __slots__ = ("_call_id", "_connection", "_finished", "_queue")

    def __init__(self, *, connection: Connection, call_id: int) -> None:
        self._connection = connection
        self._call_id = call_id
        self._queue: asyncio.Queue[Frame] = asyncio.Queue()
        self._finished = False

    def put(self, frame: Frame) -> None:
        """Queue a frame; called by the task that reads the connection."""
        self._queue.put_nowait(frame)

    async def next(self, *, timeout_ms: float | None = None) -> Result[Body | None, Failure]:
        """Wait for the next body.

        Parameters
        ----------
        timeout_ms
            How long the peer may be silent. Bytes of a partial frame extend the wait: a large
            body may take longer over a slow link, and if it was abandoned and requested again, it
            would never arrive.

        Returns
        -------
        Result
            The body, None after the last one, or why the stream failed.
        """
        if self._finished:
            return Ok(None)
        frame = await self._next_frame(None if timeout_ms is None else timeout_ms / 1000)
        if frame is None:
            return Err(Failure(code=Code.PEER_TIMEOUT))
        if frame.kind is FrameKind.ITEM:
            return Ok(frame.body)
        self._finished = True
        if frame.kind is FrameKind.ERROR:
            return Err(failure_from_number(frame.code, frame.detail))
        return Ok(frame.body)

    async def _next_frame(self, timeout_s: float | None) -> Frame | None:
        """Wait for a frame while bytes arrive; return None after a period without bytes."""
        wait_s = timeout_s
        while True:
            try:
                async with active_timeout(wait_s):
                    return await self._queue.get()
            except TimeoutError:
                partial_age_s = self._connection.partial_frame_age_s()
                if timeout_s is None or partial_age_s is None or partial_age_s >= timeout_s:
                    return None
                wait_s = timeout_s - partial_age_s

    def cancel(self) -> None:
        """Cancel the stream at the peer."""
        if not self._finished:
            self._finished = True
            self._connection.drop_stream(self._call_id, notify_peer=True)


class StreamSink:
    """Server end of a streamed response."""

    __slots__ = ("_call_id", "connection")

    def __init__(self, *, connection: Connection, call_id: int) -> None:
        self.connection = connection
        self._call_id = call_id

    def write(self, body: Body) -> None:
        """Send one item without waiting for room in the write buffer."""
        self.connection.write(Frame(kind=FrameKind.ITEM, call_id=self._call_id, body=body))

    async def send(self, body: Body) -> None:
        """Send one item; waits while the write buffer is full."""
        self.write(body)
        await self.connection.drain()


__all__ = ["CallStream", "StreamSink"]
