"""Buffer for a message body that is read while it arrives, with back-pressure on the socket."""

from __future__ import annotations

from collections.abc import Callable

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.http1.pieces import Pieces
from leadhollow.http1.wakeup import Wakeup

PAUSE_ABOVE_BYTES = 256 * 1024  # reading from the socket pauses above this many unread bytes
RESUME_BELOW_BYTES = 64 * 1024


class IncomingBody:
    """Buffers a body between the connection that receives it and the task that reads it.

    Parameters
    ----------
    pause, resume
        Pause and resume reading from the socket.

    Attributes
    ----------
    complete
        Whether the whole body was received.
    """

    __slots__ = (
        "_collected",
        "_failure",
        "_pause",
        "_paused",
        "_pieces",
        "_resume",
        "_wakeup",
        "complete",
    )

    def __init__(self, *, pause: Callable[[], None], resume: Callable[[], None]) -> None:
        self._pieces = Pieces()
        self._collected = Pieces()  # of a body that is being read as a whole
        self._pause = pause
        self._resume = resume
        self._paused = False
        self._failure: Failure | None = None
        self._wakeup = Wakeup()
        self.complete = False

    def feed(self, data: bytes) -> None:
        """Append bytes that the connection received."""
        if self.complete or self._failure is not None:
            return
        self._pieces.append(data)
        if self.buffered_bytes > PAUSE_ABOVE_BYTES and not self._paused:
            self._paused = True
            self._pause()
        self._wakeup.wake()

    @property
    def buffered_bytes(self) -> int:
        """Bytes that were received and not read yet."""
        return self._pieces.size_bytes

    def held_bytes(self) -> int:
        """Return the memory that received bytes take until their reader is done with them."""
        return self._pieces.size_bytes + self._collected.size_bytes

    def finish(self) -> None:
        """Mark the body as complete."""
        if self._failure is None:
            self.complete = True
        self._wakeup.wake()

    def fail(self, failure: Failure) -> None:
        """Mark the body as incomplete for good; bytes received before can still be read."""
        if not self.complete and self._failure is None:
            self._failure = failure
        self._wakeup.wake()

    @property
    def failed(self) -> bool:
        """Whether the body ended before it was complete."""
        return self._failure is not None

    @property
    def readable(self) -> bool:
        """Whether the next read need not wait."""
        return bool(self._pieces) or self.complete or self.failed

    async def read(self) -> Result[bytes, Failure]:
        """Return the next bytes, waiting for them if there are none.

        Returns
        -------
        Result
            Bytes, ``b""`` at the end of the body, or why the body is incomplete.
        """
        while not self._pieces:
            if self._failure is not None:
                return Err(self._failure)
            if self.complete:
                return Ok(b"")
            await self._wakeup.wait()
        data = self._pieces.pop()
        if self._paused and self.buffered_bytes < RESUME_BELOW_BYTES:
            self._paused = False
            self._resume()
        return Ok(data)

    async def read_all(self, limit_bytes: int) -> Result[bytes, Failure]:
        """Read the whole body.

        Errors
        ------
        BODY_TOO_LARGE
            The body is larger than the limit.
        """
        collected = self._collected
        try:
            while True:
                read = await self.read()
                if read.is_err():
                    return read
                data = read.unwrap()
                if not data:
                    return Ok(collected.merge())
                collected.append(data)
                if collected.size_bytes > limit_bytes:
                    detail = f"more than {limit_bytes} bytes"
                    return Err(Failure(code=Code.BODY_TOO_LARGE, detail=detail))
        finally:
            collected.clear()

    def discard(self, failure: Failure | None = None) -> None:
        """Drop the unread bytes and all that follow, and resume reading from the socket.

        Whoever ends an exchange calls this, since its reader may be gone. If bytes are missing
        then, a later read fails, so that no reader takes what it got for the whole body.

        Parameters
        ----------
        failure
            What a later read returns if bytes are missing.
        """
        if self._pieces or not self.complete:
            discarded = failure or Failure(code=Code.INTERNAL, detail="body discarded")
            self._failure = self._failure or discarded
        self._pieces.clear()
        self._collected.clear()
        if self._paused:
            self._paused = False
            self._resume()
        self._wakeup.wake()


__all__ = ["IncomingBody"]
