"""A virtual loop whose hosts may be suspended: their clock and all that they do stands still."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from tests.config_path.network import here
from tests.config_path.virtual_loop import VirtualLoop

ORDER_S = 1e-9  # between things that wait for the same moment


class SuspendingLoop(VirtualLoop):
    """Gives each host a steady clock of its own; the host is that of the running context."""

    def __init__(self) -> None:
        self.slept_s: dict[str, float] = {}
        self._since_s: dict[str, float] = {}
        self._until_s: dict[str, float] = {}
        self._held = 0
        self.on_wake: Callable[[str, float], None] = lambda host, span_s: None
        super().__init__()

    @property
    def now_s(self) -> float:
        """Time of the whole system."""
        return self._idle.now_s

    def time(self) -> float:
        return self._idle.now_s - self.slept_s.get(here.get(), 0.0)

    def suspended(self, host: str) -> bool:
        return host in self._until_s

    def suspend(self, host: str, span_s: float) -> None:
        """Let a host stand still for a time."""
        self._since_s[host] = self.now_s
        self._until_s[host] = self.now_s + span_s
        VirtualLoop.call_at(self, self.now_s + span_s, self._wake_in_time, host)

    def wake(self, host: str) -> None:
        """Let it go on, as where it is killed meanwhile."""
        if self._until_s.pop(host, None) is None:
            return
        span_s = self.now_s - self._since_s.pop(host)
        self.slept_s[host] = self.slept_s.get(host, 0.0) + span_s
        self.on_wake(host, span_s)

    def _wake_in_time(self, host: str) -> None:
        if self._until_s.get(host, float("inf")) <= self.now_s + ORDER_S:
            self.wake(host)

    def call_soon(self, callback, *args: Any, context=None):  # type: ignore[override]
        context = context or contextvars.copy_context()
        host = context.get(here, "outside")
        box: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._go, box, context, host, None, callback, args, context=context
        )
        box.append(handle)
        return handle

    def call_at(self, when, callback, *args: Any, context=None):  # type: ignore[override]
        context = context or contextvars.copy_context()
        host = context.get(here, "outside")
        due_s = when + self.slept_s.get(here.get(), 0.0)
        box: list[asyncio.Handle] = []
        due = (due_s, self.slept_s.get(host, 0.0))
        handle = super().call_at(
            due_s, self._go, box, context, host, due, callback, args, context=context
        )
        box.append(handle)
        return handle

    def _go(self, box, context, host: str, due: tuple[float, float] | None, callback, args) -> None:
        """Do what was scheduled, unless its host stands still, or stood still since."""
        if box[0].cancelled():
            return
        until_s = self._until_s.get(host)
        if until_s is not None:
            self._held += 1
            next_s = until_s + self._held * ORDER_S
        elif due is not None:
            next_s = due[0] + self.slept_s.get(host, 0.0) - due[1]
        else:
            next_s = self.now_s
        if until_s is None and next_s <= self.now_s + ORDER_S:
            callback(*args)
            return
        VirtualLoop.call_at(
            self, next_s, self._go, box, context, host, due, callback, args, context=context
        )


__all__ = ["SuspendingLoop"]
