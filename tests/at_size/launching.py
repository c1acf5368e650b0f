"""Starts programs from processes of their own, so that callers and engines go on meanwhile."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import signal
from concurrent.futures import Future, ProcessPoolExecutor
from pathlib import Path

from tests.soak.programs import Program

MOST_STARTERS = 8  # side by side: a start holds its process up until the new one runs
STARTS_EACH = 8
LOOK_S = 0.1


def starters(programs: int) -> ProcessPoolExecutor:
    """Make the processes that start so many programs, and wait until they are there."""
    count = min(MOST_STARTERS, 1 + programs // STARTS_EACH)
    pool = ProcessPoolExecutor(count, mp_context=multiprocessing.get_context("spawn"))
    list(pool.map(_launch_nothing, range(count)))
    return pool


class SizedProgram(Program):
    """A program whose start takes no time of the process that asks for it."""

    def __init__(
        self, *, settings: dict[str, object], folder: Path, pool: ProcessPoolExecutor
    ) -> None:
        super().__init__(settings=settings, folder=folder)
        self._parent = folder
        self._pool = pool
        self._pid: Future[int] | None = None

    @property
    def running(self) -> bool:
        """Whether the process lives, or is about to."""
        return self._pid is not None and (not self._pid.done() or _lives(self._pid.result()))

    def start(self) -> None:
        """Let the process be started with its settings as they are now."""
        self.spans += 1
        self._pid = self._pool.submit(_launch, dict(self.settings), self._parent)
        self.settings["first_start"] = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        self.spans += number in (signal.SIGSTOP, signal.SIGCONT)
        if self._pid is not None and self._pid.done() and self.running:
            os.kill(self._pid.result(), number)

    def waited_s(self) -> float:
        """Give the time for which it was ready to run and got no processor, since its start."""
        if self._pid is None or not self._pid.done():
            return 0.0
        try:
            figures = Path(f"/proc/{self._pid.result()}/schedstat").read_text()
        except OSError:
            return 0.0
        return int(figures.split()[1]) / 1e9

    async def end(self, number: signal.Signals = signal.SIGKILL) -> bool:
        """End the process, whose start is waited for."""
        if self._pid is not None:
            await asyncio.wrap_future(self._pid)
        self.send(number)
        while self.running:
            await asyncio.sleep(LOOK_S)
        return True

    async def end_within(self, grace_s: float) -> bool:
        """Ask the process to stop, and kill it after its grace; tells whether it came first."""
        try:
            async with asyncio.timeout(grace_s):
                return await self.end(signal.SIGTERM)
        except TimeoutError:
            if not self.running:  # it came while this process itself was held up
                return True
            await self.end()
            return False


def _launch_nothing(_: int) -> None:
    pass


def _launch(settings: dict[str, object], folder: Path) -> int:
    program = Program(settings=settings, folder=folder)
    program.start()
    assert program._process is not None
    return program._process.pid


def _lives(pid: int) -> bool:
    """Tell whether a process runs; one that has ended stays as a zombie until the next start."""
    try:
        state = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
    except OSError:
        return False
    return state not in ("Z", "X")


__all__ = ["SizedProgram", "starters"]
