"""The real programs, each a process with an address of its own, and what can befall them."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import threading
from pathlib import Path

from tests.soak.log_reader import LogReader
from tests.soak.program_record import ProgramRecord
from tests.support import PATIENCE_S

UNLIMITED = (resource.RLIM_INFINITY, resource.RLIM_INFINITY)


class Program:
    """One process of the system on a VM of its own.

    Parameters
    ----------
    settings
        What its settings file says.
    folder
        Where settings, log and disk lie.

    Attributes
    ----------
    spans
        Changes each time that it starts, is frozen or wakes: what it was told before may be lost.
    record
        What befell it.
    log_reader
        Reads its log through a pipe; None where the process writes the file itself.
    """

    def __init__(self, *, settings: dict[str, object], folder: Path) -> None:
        self.settings = settings
        self.vm = str(settings["vm"])
        self.folder = folder / self.vm
        self.log = self.folder / "log"
        self._process: subprocess.Popen[bytes] | None = None
        self._log_bytes = 0
        self.spans = 0
        self._start_lock = threading.Lock()
        self.record = ProgramRecord()
        self.log_reader: LogReader | None = None

    @property
    def begun(self) -> bool:
        """Whether this start has logged something: before that Python itself is starting."""
        return self.log.exists() and self.log.stat().st_size > self._log_bytes

    @property
    def running(self) -> bool:
        """Whether the process lives."""
        return self._process is not None and self._process.poll() is None

    @property
    def process_id(self) -> int:
        """Of the process of this start; 0 before the first."""
        return 0 if self._process is None else self._process.pid

    def start(self) -> None:
        """Start the process with its settings as they are now, unless it runs."""
        with self._start_lock:
            if not self.running:
                self._start()

    def _start(self) -> None:
        self.spans += 1
        self.record.stopping = False
        self.folder.mkdir(parents=True, exist_ok=True)
        file = self.folder / "settings.json"
        file.write_text(json.dumps(self.settings))
        environment = {
            **os.environ,
            "LEADHOLLOW_NODE_FILE": str(file),
            "UV_USE_IO_URING": "0",
        }
        self._log_bytes = self.log.stat().st_size if self.log.exists() else 0
        with self.log.open("ab") as log:
            output = log if self.log_reader is None else self.log_reader.open(self.log)
            self._process = subprocess.Popen(
                [sys.executable, "-m", "leadhollow", "platform"],
                env=environment,
                stdout=output,
                stderr=output,
            )
        if self.log_reader is not None:
            self.log_reader.begun()
        self.settings["first_start"] = False

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if the process lives."""
        self.spans += number in (signal.SIGSTOP, signal.SIGCONT)
        if number is signal.SIGCONT or self.running:
            self.record.note(number)
        if self.running and self._process is not None:
            self._process.send_signal(number)

    async def hold(self, span_s: float) -> None:
        """Stop the process for a time."""
        self.send(signal.SIGSTOP)
        try:
            await asyncio.sleep(span_s)
        finally:
            self.send(signal.SIGCONT)

    async def end(self, number: signal.Signals = signal.SIGKILL) -> bool:
        """End the process; tells whether it ended in time by itself."""
        process = self._process
        if process is None:
            return True
        self.send(number)
        if number is signal.SIGKILL:
            self.send(signal.SIGCONT)
        return await self._ended(process)

    async def _ended(self, process: subprocess.Popen[bytes]) -> bool:
        for _ in range(int(PATIENCE_S / 0.02)):
            if process.poll() is not None:
                return True
            await asyncio.sleep(0.02)
        process.kill()
        return False

    async def bring_back(self) -> None:
        """Let the process run undisturbed, whatever state it is in."""
        self.send(signal.SIGCONT)
        self.confine(os.sched_getaffinity(0))
        if self._process is not None and self.record.stopping:
            await self._ended(self._process)
        self.start()

    def confine(self, processors: set[int]) -> None:
        """Let the process run on some of the machine's processors only."""
        if self.running and self._process is not None:
            os.sched_setaffinity(self._process.pid, processors)

    def wipe(self) -> None:
        """Lose the disk; the process must be down."""
        folder = self.settings.get("data_folder")
        if folder:
            shutil.rmtree(str(folder), ignore_errors=True)
            Path(str(folder)).mkdir(parents=True)

    def fill_disk(self, full: bool) -> None:
        """Let every write to a file fail, or no more; the log of the process stops too."""
        if not self.running or self._process is None:
            return
        limits = (0, resource.RLIM_INFINITY) if full else UNLIMITED
        resource.prlimit(self._process.pid, resource.RLIMIT_FSIZE, limits)


__all__ = ["Program"]
