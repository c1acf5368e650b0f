"""Process that writes log lines on command, and the class with which tests control it.

The process reads commands as lines of standard input, and responds to each with one JSON line on
standard output.
"""

from __future__ import annotations

import asyncio
import json
import select
import subprocess
import sys
import time

from tests.support import PATIENCE_S

TICK_S = 0.005


class Writer:
    """Starts and controls the process.

    Parameters
    ----------
    stderr
        Standard error of the process, as for ``subprocess.Popen``.
    """

    def __init__(self, *, stderr: int) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "tests.observe.log_writer"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=stderr,
        )

    def __enter__(self) -> Writer:
        return self

    def __exit__(self, *_: object) -> None:
        self.process.kill()
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout, self.process.stderr):
            if stream is not None:
                stream.close()

    def execute(self, command: str) -> dict[str, float]:
        """Send a command and return its response; fails if there is none in time."""
        self.send(command)
        ready, _, _ = select.select([self.process.stdout], [], [], PATIENCE_S)
        assert ready, f"the process stands still at {command!r}"
        return json.loads(self.process.stdout.readline())

    def send(self, command: str) -> None:
        """Send a command without waiting for a response."""
        self.process.stdin.write(f"{command}\n".encode())
        self.process.stdin.flush()

    def wait_for_exit(self, command: str = "end") -> int:
        """Send a command that ends the process, and return the exit code."""
        self.send(command)
        return self.process.wait(PATIENCE_S)


class _StallMonitor:
    """Measures the longest time between two iterations of the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._last_s = loop.time()
        self.longest_s = 0.0
        self._tick()

    def _tick(self) -> None:
        now_s = self._loop.time()
        self.longest_s = max(self.longest_s, now_s - self._last_s)
        self._last_s = now_s
        self._loop.call_later(TICK_S, self._tick)


async def _write(count: int, first: int) -> None:
    for number in range(first, first + count):
        log.info("request refused", request_id=f"{number:016x}", number=number)
        if number % 10 == 0:
            await asyncio.sleep(0)


async def _work() -> None:
    monitor = _StallMonitor(asyncio.get_running_loop())
    written = 0
    while words := (await asyncio.to_thread(sys.stdin.readline)).split():
        match words:
            case ["lines", count]:
                await _write(int(count), written)
                written += int(count)
            case ["long", size]:
                log.info("long", text="x" * int(size))
            case ["say", text]:
                log.info(text)
            case ["print", text]:
                print(text, file=sys.stderr)
            case ["end"]:
                return
            case ["exit", code]:
                sys.exit(int(code))
            case ["raise", text]:
                raise RuntimeError(text)
        await asyncio.sleep(2 * TICK_S)
        cpu_time_s = time.process_time()
        sys.stdout.write(json.dumps({"longest_s": monitor.longest_s, "usage_s": cpu_time_s}) + "\n")
        sys.stdout.flush()


if __name__ == "__main__":
    import uvloop

    from leadhollow.observe.logs import LogFormat, configure_logs, get_logger

    configure_logs(log_format=LogFormat.JSON, level="info")
    log = get_logger("part")
    uvloop.run(_work())

__all__ = ["Writer"]
