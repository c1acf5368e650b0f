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
from leadhollow.observe.outlets import Outlet

HELD_BYTES = 256 * 1024  # most that waits for the reader
PIECE_BYTES = select.PIPE_BUF  # a pipe takes so much whole or not at all
RETRY_S = 0.05
LONGEST_RETRY_S = 1.0  # between two tries while the reader takes nothing
LAST_LINES_S = 1.0  # longest time that a process which ends waits for the reader
LAST_RETRY_S = 0.005


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
        "_busy",
        "_dropped",
        "_failed",
        "_held",
        "_held_bytes",
        "_lock",
        "_notice",
        "_outlet",
        "_pause_s",
        "_piece",
        "_retrying_on",
        "_torn",
    )

    def __init__(self, *, outlet: Outlet, notice: Callable[[int], bytes]) -> None:
        self._outlet = outlet
        self._notice = notice
        self._lock = threading.RLock()
        self._busy = False  # a collection of garbage in the middle of a write may log too
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self._piece = b""  # what is tried next, kept for as long as it is refused
        self._torn = False  # whether the first one held is the rest of a line
        self._dropped = 0
        self._failed = False  # whether the last try met an error
        self._pause_s = RETRY_S
        self._retrying_on: asyncio.AbstractEventLoop | None = None

    def write(self, line: bytes) -> None:
        """Write a line, now or as soon as the reader lets us."""
        with self._lock:
            if self._waiting:
                self._drain()
            if self._busy or self._waiting:
                self._hold(line)
            else:
                self._offer(line)
            if self._waiting:
                self._retry_later()

    def finish(self) -> None:
        """Write what is held back; a reader that takes nothing is waited for only so long."""
        deadline_s = boot_s() + LAST_LINES_S
        with self._lock:
            self._drain()
            while self._waiting and not self._failed and boot_s() < deadline_s:
                time.sleep(LAST_RETRY_S)
                self._drain()

    @property
    def _waiting(self) -> bool:
        return bool(self._held or self._dropped)

    def _drain(self) -> None:
        """Write of what is held back as much as there is room for, and then what was dropped."""
        if self._busy:
            return
        self._busy, self._failed = True, False
        try:
            while self._held and (taken := self._take(self._next_piece())):
                self._let_go(taken)
            if self._dropped and not self._held and not self._failed:
                notice = self._notice(self._dropped)
                if taken := self._take(notice):
                    self._dropped = 0
                    self._keep_rest(notice, taken)
        finally:
            self._busy = False

    def _offer(self, line: bytes) -> None:
        """Write a line before which nothing waits."""
        self._busy, self._failed = True, False
        try:
            taken = self._take(line)
            if self._failed:
                self._dropped += 1
            elif taken < len(line):
                self._keep_rest(line, taken)
        finally:
            self._busy = False

    def _take(self, data: bytes) -> int:
        try:
            return self._outlet.write(data)
        except BlockingIOError:
            return 0
        except OSError:  # a reader that is gone, a full disk: said by the count, if ever
            self._failed = True
            self._drop_held()
            return 0

    def _next_piece(self) -> bytes:
        """Give whole lines that a pipe takes at once, or one that is too long for it."""
        if self._piece:
            return self._piece
        count, size = 1, len(self._held[0])
        while count < len(self._held) and size + len(self._held[count]) <= PIECE_BYTES:
            size += len(self._held[count])
            count += 1
        self._piece = b"".join([self._held[place] for place in range(count)])
        return self._piece

    def _let_go(self, taken: int) -> None:
        self._piece = b""
        self._held_bytes -= taken
        while taken and taken >= len(self._held[0]):
            taken -= len(self._held.popleft())
            self._torn = False
        if taken:
            self._held[0] = self._held[0][taken:]
            self._torn = True

    def _keep_rest(self, line: bytes, taken: int) -> None:
        """Hold back what is left of a line; it comes before all else."""
        if taken < len(line):
            self._piece = b""
            self._held.appendleft(line[taken:])
            self._held_bytes += len(line) - taken
            self._torn = taken > 0

    def _hold(self, line: bytes) -> None:
        if self._dropped or self._held_bytes + len(line) > HELD_BYTES:
            self._dropped += 1
        else:
            self._held.append(line)
            self._held_bytes += len(line)

    def _drop_held(self) -> None:
        """Count all lines held back as dropped, but for the rest of one that was begun."""
        self._piece = b""
        while len(self._held) > self._torn:
            self._held_bytes -= len(self._held.pop())
            self._dropped += 1

    def _retry_later(self) -> None:
        """Try again by a timer, unless one is set or only a new line may show a change."""
        if self._failed:
            return
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            return
        if loop is not self._retrying_on:
            self._retrying_on = loop
            loop.call_later(self._pause_s, self._retry)

    def _retry(self) -> None:
        with self._lock:
            self._retrying_on = None
            before = (self._held_bytes, self._dropped)
            self._drain()
            moved = before != (self._held_bytes, self._dropped)
            self._pause_s = RETRY_S if moved else min(2 * self._pause_s, LONGEST_RETRY_S)
            if self._waiting:
                self._retry_later()


class LineStream(io.TextIOBase):
    """A standard error whose writes do not wait; whole lines are passed on."""

    def __init__(self, *, output: LineOutput, descriptor: int) -> None:
        super().__init__()
        self._lock = threading.RLock()
        self._output = output
        self._descriptor = descriptor
        self._begun = ""  # a line that has no end yet

    def write(self, text: str) -> int:
        """Write a text, which is passed on once its line ends."""
        if text.endswith("\n") and not self._begun:
            self._output.write(text.encode("utf-8", "backslashreplace"))
            return len(text)
        with self._lock:
            self._begun += text
            if text.endswith("\n") or len(self._begun) > PIECE_BYTES:
                self.flush()
        return len(text)

    def flush(self) -> None:
        """Pass on a line that has no end yet."""
        if not self._begun:
            return
        with self._lock:
            text, self._begun = self._begun, ""
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
