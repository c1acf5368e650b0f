"""Logs that go through a pipe to a reader, which may stand still."""

from __future__ import annotations

import asyncio
import fcntl
import os
from pathlib import Path

from tests.soak.programs import Program

PIPE_BYTES = 4_096  # so that some seconds of lines fill it
READ_BYTES = 65_536


class LogPipe:
    """Reads the log of a program that has not started yet, and copies it to a file.

    Attributes
    ----------
    copy
        Where all that was read lies.
    """

    def __init__(self, *, program: Program) -> None:
        self.vm = program.vm
        self.copy = copy_of(program)
        program.folder.mkdir(parents=True, exist_ok=True)
        os.mkfifo(program.log)
        # with a writer of its own it never ends while the program restarts
        self._descriptor = os.open(program.log, os.O_RDWR | os.O_NONBLOCK)
        fcntl.fcntl(self._descriptor, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
        self.resume()

    def pause(self) -> None:
        """Read no more."""
        asyncio.get_running_loop().remove_reader(self._descriptor)

    def resume(self) -> None:
        """Read on."""
        asyncio.get_running_loop().add_reader(self._descriptor, self._read)

    def close(self) -> None:
        """Take the last lines and end."""
        self.pause()
        self._read()
        os.close(self._descriptor)

    def _read(self) -> None:
        try:
            data = os.read(self._descriptor, READ_BYTES)
        except BlockingIOError:
            return
        with self.copy.open("ab") as copy:
            copy.write(data)


def copy_of(program: Program) -> Path:
    """Give the place of what was read of the log of a program."""
    return program.folder / "lines"


def lines_of(program: Program) -> list[str]:
    """Give all lines that a program has logged."""
    copy = copy_of(program)
    log = copy if copy.exists() else program.log
    if not log.is_file():
        return []
    return log.read_text(errors="replace").splitlines()


__all__ = ["LogPipe", "lines_of"]
