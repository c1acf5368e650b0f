"""Virtual event loop whose hosts may be suspended: their clock and their callbacks stop."""

from __future__ import annotations

import asyncio
import contextvars
from collections.abc import Callable
from typing import Any

from tests.config_path.network import current_host
from tests.config_path.virtual_loop import VirtualLoop

TIE_BREAK_S = 1e-9  # between callbacks that are due at the same time


class SuspendingLoop(VirtualLoop):
    """Gives each host a steady clock of its own; the running context names the host."""

    def __init__(self) -> None:
        self.suspended_total_s: dict[str, float] = {}
        self._suspended_since_s: dict[str, float] = {}
        self._suspended_until_s: dict[str, float] = {}
        self._deferred_count = 0
        self.on_resume: Callable[[str, float], None] = lambda host, span_s: None
        super().__init__()

    @property
    def now_s(self) -> float:
        """Time of the whole system."""
        return self._idle.now_s

    def time(self) -> float:
        return self._idle.now_s - self.suspended_total_s.get(current_host.get(), 0.0)

    def suspended(self, host: str) -> bool:
        return host in self._suspended_until_s

    def suspend(self, host: str, span_s: float) -> None:
        """Suspend a host for a time."""
        self._suspended_since_s[host] = self.now_s
        self._suspended_until_s[host] = self.now_s + span_s
        VirtualLoop.call_at(self, self.now_s + span_s, self._resume_if_due, host)

    def resume(self, host: str) -> None:
        """Resume a host, also before its time, for example because it is killed."""
        if self._suspended_until_s.pop(host, None) is None:
            return
        span_s = self.now_s - self._suspended_since_s.pop(host)
        self.suspended_total_s[host] = self.suspended_total_s.get(host, 0.0) + span_s
        self.on_resume(host, span_s)

    def _resume_if_due(self, host: str) -> None:
        if self._suspended_until_s.get(host, float("inf")) <= self.now_s + TIE_BREAK_S:
            self.resume(host)

    def call_soon(self, callback, *args: Any, context=None):  # type: ignore[override]
        context = context or contextvars.copy_context()
        host = context.get(current_host, "outside")
        handle_box: list[asyncio.Handle] = []
        handle = super().call_soon(
            self._run_or_defer, handle_box, context, host, None, callback, args, context=context
        )
        handle_box.append(handle)
        return handle

    def call_at(self, when, callback, *args: Any, context=None):  # type: ignore[override]
        context = context or contextvars.copy_context()
        host = context.get(current_host, "outside")
        due_s = when + self.suspended_total_s.get(current_host.get(), 0.0)
        handle_box: list[asyncio.Handle] = []
        due = (due_s, self.suspended_total_s.get(host, 0.0))
        handle = super().call_at(
            due_s,
            self._run_or_defer,
            handle_box,
            context,
            host,
            due,
            callback,
            args,
            context=context,
        )
        handle_box.append(handle)
        return handle

    def _run_or_defer(
        self, handle_box, context, host: str, due: tuple[float, float] | None, callback, args
    ) -> None:
        """Run a callback, or defer it if its host is or was suspended."""
        if handle_box[0].cancelled():
            return
        until_s = self._suspended_until_s.get(host)
        if until_s is not None:
            self._deferred_count += 1
            next_s = until_s + self._deferred_count * TIE_BREAK_S
        elif due is not None:
            next_s = due[0] + self.suspended_total_s.get(host, 0.0) - due[1]
        else:
            next_s = self.now_s
        if until_s is None and next_s <= self.now_s + TIE_BREAK_S:
            callback(*args)
            return
        VirtualLoop.call_at(
            self,
            next_s,
            self._run_or_defer,
            handle_box,
            context,
            host,
            due,
            callback,
            args,
            context=context,
        )


__all__ = ["SuspendingLoop"]
