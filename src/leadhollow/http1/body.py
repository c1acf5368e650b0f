"""A body that arrives while it is read, with back-pressure on its socket."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure

PAUSE_ABOVE_BYTES = 256 * 1024  # a fast sender waits once this much is unread
RESUME_BELOW_BYTES = 64 * 1024


class IncomingBody:
    """Bytes between the connection that receives them and the task that reads them.

    Parameters
    ----------
    pause, resume
        Stop and continue to read the socket.
    """

    __slots__ = (
        "_failure",
        "_pause",
        "_paused",
        "_pieces",
        "_resume",
        "_waiter",
        "complete",
        "buffered_bytes",
    )

    def __init__(self, *, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self._pieces: deque[bytes] = deque()
        self._pause = pause
        self._resume = resume
        self._paused = False
        self._failure: Failure | None = None
        self._waiter: asyncio.Future[None] | None = None
        self.complete = False
        self.buffered_bytes = 0

    def feed(self, data: bytes) -> None:
        """Take bytes from the connection."""
        if self.complete or self._failure is not None:
            return
        self._pieces.append(data)
        self.buffered_bytes += len(data)
        if self.buffered_bytes > PAUSE_ABOVE_BYTES and not self._paused:
            self._paused = True
            self._pause()
        self._wake()

    def finish(self) -> None:
        """Note that the body came whole."""
        if self._failure is None:
            self.complete = True
        self._wake()

    def fail(self, failure: Failure) -> None:
        """Note that the rest will never come; what was received before can still be read."""
        if not self.complete and self._failure is None:
            self._failure = failure
        self._wake()

    @property
    def failed(self) -> bool:
        """Whether the body ended before it was whole."""
        return self._failure is not None

    async def read(self) -> Result[bytes, Failure]:
        """Give the next bytes.

        Returns
        -------
        Result
            Bytes, ``b""`` after the last ones, or why the body is not whole.
        """
        while not self._pieces:
            if self._failure is not None:
                return Err(self._failure)
            if self.complete:
                return Ok(b"")
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = self._pieces.popleft()
        self.buffered_bytes -= len(data)
        if self._paused and self.buffered_bytes < RESUME_BELOW_BYTES:
            self._paused = False
            self._resume()
        return Ok(data)

    async def read_all(self, limit_bytes: int) -> Result[bytes, Failure]:
        """Give all that comes.

        Errors
        ------
        BODY_TOO_LARGE
            It is larger than the limit.
        """
        parts: list[bytes] = []
        size = 0
        while True:
            read = await self.read()
            if read.is_err():
                return read
            data = read.unwrap()
            if not data:
                return Ok(b"".join(parts))
            parts.append(data)
            size += len(data)
            if size > limit_bytes:
                detail = f"more than {limit_bytes} bytes"
                return Err(Failure(code=Code.BODY_TOO_LARGE, detail=detail))

    def discard(self) -> None:
        """Drop what is held and let the socket be read on."""
        self._pieces.clear()
        self.buffered_bytes = 0
        if self._paused:
            self._paused = False
            self._resume()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


__all__ = ["IncomingBody"]
