"""Line output that never blocks on a slow reader, and counts the lines that it drops."""

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

MAX_BUFFERED_BYTES = 256 * 1024
BATCH_BYTES = select.PIPE_BUF  # writes to a pipe are atomic up to this size
MIN_RETRY_INTERVAL_S = 0.05
MAX_RETRY_INTERVAL_S = 1.0  # reached while the reader accepts nothing
FINAL_FLUSH_TIMEOUT_S = 1.0  # longest wait for the reader when the process exits
FINAL_RETRY_INTERVAL_S = 0.005


class LineOutput:
    """Writes lines in order without blocking on the reader.

    Lines that the sink cannot accept are buffered, up to a limit. When the limit is reached, lines
    are dropped until the buffer was written; then a notice with their count is written. Buffered
    lines are retried with each new line and, on an event loop, by a timer.

    Parameters
    ----------
    sink
        Sink to write to.
    drop_notice
        Renders the notice for a number of dropped lines.
    """

    __slots__ = (
        "_batch",
        "_buffer",
        "_buffered_bytes",
        "_drop_notice",
        "_dropped",
        "_has_partial_line",
        "_lock",
        "_retry_interval_s",
        "_retry_loop",
        "_sink",
        "_write_failed",
        "_writing",
    )

    def __init__(self, *, sink: Sink, drop_notice: Callable[[int], bytes]) -> None:
        self._sink = sink
        self._drop_notice = drop_notice
        self._lock = threading.RLock()
        self._writing = False  # garbage collection during a write may log, and re-enter here
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._batch = b""  # next write; kept until the sink accepts some of it
        self._has_partial_line = False  # the first entry of the buffer is the rest of a line
        self._dropped = 0
        self._write_failed = False  # the last attempt raised an error
        self._retry_interval_s = MIN_RETRY_INTERVAL_S
        self._retry_loop: asyncio.AbstractEventLoop | None = None

    def write(self, line: bytes) -> None:
        """Write a line now, or buffer it until the sink has room."""
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
        """Write the buffered lines; waits for the reader at most `FINAL_FLUSH_TIMEOUT_S`."""
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
        """Write buffered lines while the sink has room, then the notice of dropped lines."""
        if self._writing:
            return
        self._writing, self._write_failed = True, False
        try:
            while self._buffer and (written := self._try_write(self._next_batch())):
                self._consume(written)
            if self._dropped and not self._buffer and not self._write_failed:
                notice = self._drop_notice(self._dropped)
                if written := self._try_write(notice):
                    self._dropped = 0
                    self._buffer_rest(notice, written)
        finally:
            self._writing = False

    def _write_now(self, line: bytes) -> None:
        """Write a line when nothing is buffered before it."""
        self._writing, self._write_failed = True, False
        try:
            written = self._try_write(line)
            if self._write_failed:
                self._dropped += 1
            elif written < len(line):
                self._buffer_rest(line, written)
        finally:
            self._writing = False

    def _try_write(self, data: bytes) -> int:
        try:
            return self._sink.write(data)
        except BlockingIOError:
            return 0
        except OSError:  # closed reader or full disk; a later notice counts the lost lines
            self._write_failed = True
            self._drop_buffered()
            return 0

    def _next_batch(self) -> bytes:
        """Return lines that fit an atomic write to a pipe, or one line that is too long for it."""
        if self._batch:
            return self._batch
        count, size = 1, len(self._buffer[0])
        while count < len(self._buffer) and size + len(self._buffer[count]) <= BATCH_BYTES:
            size += len(self._buffer[count])
            count += 1
        self._batch = b"".join([self._buffer[index] for index in range(count)])
        return self._batch

    def _consume(self, written: int) -> None:
        self._batch = b""
        self._buffered_bytes -= written
        while written and written >= len(self._buffer[0]):
            written -= len(self._buffer.popleft())
            self._has_partial_line = False
        if written:
            self._buffer[0] = self._buffer[0][written:]
            self._has_partial_line = True

    def _buffer_rest(self, line: bytes, written: int) -> None:
        """Put the rest of a line at the front of the buffer."""
        if written < len(line):
            self._batch = b""
            self._buffer.appendleft(line[written:])
            self._buffered_bytes += len(line) - written
            self._has_partial_line = written > 0

    def _buffer_line(self, line: bytes) -> None:
        if self._dropped or self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped += 1
        else:
            self._buffer.append(line)
            self._buffered_bytes += len(line)

    def _drop_buffered(self) -> None:
        """Drop and count all buffered lines except the rest of a partly written one."""
        self._batch = b""
        while len(self._buffer) > self._has_partial_line:
            self._buffered_bytes -= len(self._buffer.pop())
            self._dropped += 1

    def _schedule_retry(self) -> None:
        """Schedule a retry on the running loop.

        Does nothing if one is scheduled there, or after an error, when only a new line retries.
        """
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
            progressed = before != (self._buffered_bytes, self._dropped)
            self._retry_interval_s = (
                MIN_RETRY_INTERVAL_S
                if progressed
                else min(2 * self._retry_interval_s, MAX_RETRY_INTERVAL_S)
            )
            if self._has_pending:
                self._schedule_retry()


class LineStream(io.TextIOBase):
    """Replacement for standard error that does not block; writes whole lines to the output."""

    def __init__(self, *, output: LineOutput, descriptor: int) -> None:
        super().__init__()
        self._lock = threading.RLock()
        self._output = output
        self._descriptor = descriptor
        self._partial_line = ""

    def write(self, text: str) -> int:
        """Write text; it is passed to the output at the end of the line."""
        if text.endswith("\n") and not self._partial_line:
            self._output.write(text.encode("utf-8", "backslashreplace"))
            return len(text)
        with self._lock:
            self._partial_line += text
            if text.endswith("\n") or len(self._partial_line) > BATCH_BYTES:
                self.flush()
        return len(text)

    def flush(self) -> None:
        """Pass an unfinished line to the output."""
        if not self._partial_line:
            return
        with self._lock:
            text, self._partial_line = self._partial_line, ""
            self._output.write(text.encode("utf-8", "backslashreplace"))

    def writable(self) -> bool:
        """Return True."""
        return True

    def fileno(self) -> int:
        """Return the file descriptor."""
        return self._descriptor

    def isatty(self) -> bool:
        """Return whether the file descriptor is a terminal."""
        return os.isatty(self._descriptor)


__all__ = ["LineOutput", "LineStream"]
