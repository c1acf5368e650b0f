"""Reads the log of a process through a small pipe, and may stand still."""

from __future__ import annotations

import fcntl
import os
import threading
from pathlib import Path

PIPE_BYTES = 4_096
READ_BYTES = 65_536


class LogReader:
    """Copies what a process writes to a file, on a thread of its own."""

    __slots__ = ("_goes_on", "_write_end")

    def __init__(self) -> None:
        self._goes_on = threading.Event()
        self._goes_on.set()
        self._write_end = -1

    def open(self, log: Path) -> int:
        """Begin to read a pipe; gives its end to write to."""
        read_end, self._write_end = os.pipe()
        fcntl.fcntl(read_end, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        threading.Thread(target=self._copy, args=(read_end, log), daemon=True).start()
        return self._write_end

    def begun(self) -> None:
        """Leave the end to write to to the process that has begun."""
        os.close(self._write_end)

    def stand_still(self) -> None:
        """Read no more."""
        self._goes_on.clear()

    def go_on(self) -> None:
        """Read again."""
        self._goes_on.set()

    def _copy(self, read_end: int, log: Path) -> None:
        with log.open("ab") as file:
            while data := os.read(read_end, READ_BYTES):
                file.write(data)
                file.flush()
                self._goes_on.wait()
        os.close(read_end)


__all__ = ["LogReader"]
