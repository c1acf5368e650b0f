"""What befell a process from outside."""

from __future__ import annotations

import signal
import time

from tests.soak.spans import Spans


class ProgramRecord:
    """Signals to one program, and times in which it could not run as usual.

    Attributes
    ----------
    held
        When it was stopped, or had to share its processors with many.
    unread
        When nobody read its log: lines may wait, and are lost where it is killed.
    killed_s, stopped_s
        When it was sent SIGKILL and SIGTERM.
    stopping
        Whether it was sent one of them since its last start.
    """

    __slots__ = ("held", "killed_s", "stopped_s", "stopping", "unread")

    def __init__(self) -> None:
        self.held = Spans()
        self.unread = Spans()
        self.killed_s: list[float] = []
        self.stopped_s: list[float] = []
        self.stopping = False

    def note(self, number: signal.Signals) -> None:
        """Note a signal that is sent now."""
        now_s = time.monotonic()
        match number:
            case signal.SIGSTOP:
                self.held.begin(now_s)
            case signal.SIGCONT:
                self.held.end(now_s)
            case signal.SIGKILL:
                self.killed_s.append(now_s)
                self.stopping = True
            case signal.SIGTERM:
                self.stopped_s.append(now_s)
                self.stopping = True

    def killed(self, from_s: float, to_s: float) -> bool:
        """Tell whether it was killed in a stretch of time."""
        return any(from_s <= killed_s <= to_s for killed_s in self.killed_s)


__all__ = ["ProgramRecord"]
