"""Lines for a reader that may stand still: nothing waits for it, and what is lost is counted."""

from __future__ import annotations

import asyncio
import io
import os
import select
import threading
import time
from collections import deque
from collections.abc import Callable

from leadhollow.kernel.clocks import boot_s
from leadhollow.observe.sinks import Sink

MAX_BUFFERED_BYTES = 256 * 1024  # most that waits for the reader
BATCH_BYTES = select.PIPE_BUF  # a pipe takes so much whole or not at all
MIN_RETRY_INTERVAL_S = 0.05
MAX_RETRY_INTERVAL_S = 1.0  # between two tries while the reader takes nothing
FINAL_FLUSH_TIMEOUT_S = 1.0  # longest time that a process which ends waits for the reader
FINAL_RETRY_INTERVAL_S = 0.005


class LineOutput:
    """Writes lines in order, without ever waiting for their reader.

    Lines for which there is no room are held back, up to a bound. Those beyond it are dropped, and
    all after them until the reader has taken what was held back; then their count is written.
    What is held back is tried again with each new line and, on an event loop, by a timer.

    Parameters
    ----------
    outlet
        Takes the bytes.
    notice
        Renders the line that says how many were dropped.
    """

    __slots__ = (
        "_writing",
        "_dropped",
        "_write_failed",
        "_buffer",
        "_buffered_bytes",
        "_lock",
        "_drop_notice",
        "_sink",
        "_retry_interval_s",
        "_batch",
        "_retry_loop",
        "_has_partial_line",
    )

    def __init__(self, *, sink: Sink, drop_notice: Callable[[int], bytes]) -> None:
        self._sink = sink
        self._drop_notice = drop_notice
        self._lock = threading.RLock()
        self._writing = False  # a collection of garbage in the middle of a write may log too
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._batch = b""  # what is tried next, kept for as long as it is refused
        self._has_partial_line = False  # whether the first one held is the rest of a line
        self._dropped = 0
        self._write_failed = False  # whether the last try met an error
        self._retry_interval_s = MIN_RETRY_INTERVAL_S
        self._retry_loop: asyncio.AbstractEventLoop | None = None

    def write(self, line: bytes) -> None:
        """Write a line, now or as soon as the reader lets us."""
        with self._lock:
            if self._has_pending:
                self._drain()
            if self._writing or self._has_pending:
                self._buffer_line(line)
            else:
                self._write_now(line)
            if self._has_pending:
                self._schedule_retry()

    def flush_at_exit(self) -> None:
        """Write what is held back; a reader that takes nothing is waited for only so long."""
        deadline_s = boot_s() + FINAL_FLUSH_TIMEOUT_S
        with self._lock:
            self._drain()
            while self._has_pending and not self._write_failed and boot_s() < deadline_s:
                time.sleep(FINAL_RETRY_INTERVAL_S)
                self._drain()

    @property
    def _has_pending(self) -> bool:
        return bool(self._buffer or self._dropped)

    def _drain(self) -> None:
        """Write of what is held back as much as there is room for, and then what was dropped."""
        if self._writing:
            return
        self._writing, self._write_failed = True, False
        try:
            while self._buffer and (taken := self._try_write(self._next_batch())):
                self._consume(taken)
            if self._dropped and not self._buffer and not self._write_failed:
                notice = self._drop_notice(self._dropped)
                if taken := self._try_write(notice):
                    self._dropped = 0
                    self._buffer_rest(notice, taken)
        finally:
            self._writing = False

    def _write_now(self, line: bytes) -> None:
        """Write a line before which nothing waits."""
        self._writing, self._write_failed = True, False
        try:
            taken = self._try_write(line)
            if self._write_failed:
                self._dropped += 1
            elif taken < len(line):
                self._buffer_rest(line, taken)
        finally:
            self._writing = False

    def _try_write(self, data: bytes) -> int:
        try:
            return self._sink.write(data)
        except BlockingIOError:
            return 0
        except OSError:  # a reader that is gone, a full disk: said by the count, if ever
            self._write_failed = True
            self._drop_buffered()
            return 0

    def _next_batch(self) -> bytes:
        """Give whole lines that a pipe takes at once, or one that is too long for it."""
        if self._batch:
            return self._batch
        count, size = 1, len(self._buffer[0])
        while count < len(self._buffer) and size + len(self._buffer[count]) <= BATCH_BYTES:
            size += len(self._buffer[count])
            count += 1
        self._batch = b"".join([self._buffer[place] for place in range(count)])
        return self._batch

    def _consume(self, taken: int) -> None:
        self._batch = b""
        self._buffered_bytes -= taken
        while taken and taken >= len(self._buffer[0]):
            taken -= len(self._buffer.popleft())
            self._has_partial_line = False
        if taken:
            self._buffer[0] = self._buffer[0][taken:]
            self._has_partial_line = True

    def _buffer_rest(self, line: bytes, taken: int) -> None:
        """Hold back what is left of a line; it comes before all else."""
        if taken < len(line):
            self._batch = b""
            self._buffer.appendleft(line[taken:])
            self._buffered_bytes += len(line) - taken
            self._has_partial_line = taken > 0

    def _buffer_line(self, line: bytes) -> None:
        if self._dropped or self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)

    def _drop_buffered(self) -> None:
        """Count all lines held back as dropped, but for the rest of one that was begun."""
        self._batch = b""
        while len(self._buffer) > self._has_partial_line:
            self._buffered_bytes -= len(self._buffer.pop())
            self._dropped += 1

    def _schedule_retry(self) -> None:
        """Try again by a timer, unless one is set or only a new line may show a change."""
        if self._write_failed:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        if loop is not self._retry_loop:
            self._retry_loop = loop
            loop.call_later(self._retry_interval_s, self._retry)

    def _retry(self) -> None:
        with self._lock:
            self._retry_loop = None
            before = (self._buffered_bytes, self._dropped)
            self._drain()
            moved = before != (self._buffered_bytes, self._dropped)
            self._retry_interval_s = (
                MIN_RETRY_INTERVAL_S
                if moved
                else min(2 * self._retry_interval_s, MAX_RETRY_INTERVAL_S)
            )
            if self._has_pending:
                self._schedule_retry()


class LineStream(io.TextIOBase):
    """A standard error whose writes do not wait; whole lines are passed on."""

    def __init__(self, *, output: LineOutput, descriptor: int) -> None:
        super().__init__()
        self._lock = threading.RLock()
        self._output = output
        self._descriptor = descriptor
        self._partial_line = ""  # a line that has no end yet

    def write(self, text: str) -> int:
        """Write a text, which is passed on once its line ends."""
        if text.endswith("\n") and not self._partial_line:
            self._output.write(text.encode("utf-8", "backslashreplace"))
            return len(text)
        with self._lock:
            self._partial_line += text
            if text.endswith("\n") or len(self._partial_line) > BATCH_BYTES:
                self.flush()
        return len(text)

    def flush(self) -> None:
        """Pass on a line that has no end yet."""
        if not self._partial_line:
            return
        with self._lock:
            text, self._partial_line = self._partial_line, ""
            self._output.write(text.encode("utf-8", "backslashreplace"))

    def writable(self) -> bool:
        """Tell that texts can be written."""
        return True

    def fileno(self) -> int:
        """Give the descriptor."""
        return self._descriptor

    def isatty(self) -> bool:
        """Tell whether it is a terminal."""
        return os.isatty(self._descriptor)


__all__ = ["LineOutput", "LineStream"]
