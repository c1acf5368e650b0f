"""Emulation of an engine that works in passes.

Each pass writes one event for every request in the decode phase and reads a chunk of prompts.
"""

from __future__ import annotations

import bisect
from collections.abc import Callable

from leadhollow.decide.engine_latency import EngineLatencyModel
from leadhollow.routing.model import EngineSpec

# Time for a first event in addition to prefill and decode, as engines declare it.
FIRST_EVENT_OVERHEAD_MS = 12.0


class EngineTask:
    """A request at an engine.

    Parameters
    ----------
    events
        Number of events of its response.
    priority
        Priority that the engine was told; requests with a lower one begin first.
    on_first_event
        Called with its first event.
    on_end
        Called at its end, with False if the engine interrupted it.
    """

    __slots__ = (
        "events",
        "on_end",
        "on_first_event",
        "priority",
        "prompt_tokens",
        "started",
        "unread_tokens",
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        events: int,
        priority: int = 0,
        on_first_event: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.unread_tokens = prompt_tokens
        self.events = events
        self.priority = priority
        self.on_first_event = on_first_event
        self.on_end = on_end
        self.started = False


class EmulatedEngine:
    """One emulated engine.

    Parameters
    ----------
    call_after_ms
        Schedules a callback after a delay in milliseconds.
    """

    __slots__ = (
        "_call_after_ms",
        "_model",
        "_pass_running",
        "_running",
        "_spec",
        "_waiting",
        "serving",
    )

    def __init__(
        self, *, spec: EngineSpec, call_after_ms: Callable[[float, Callable[[], None]], None]
    ):
        self._spec = spec
        self._model = EngineLatencyModel(spec=spec)
        self._call_after_ms = call_after_ms
        self._running: list[EngineTask] = []
        self._waiting: list[EngineTask] = []  # the lowest priority first
        self._pass_running = False
        self.serving = True

    @property
    def load(self) -> int:
        """Number of running and waiting requests."""
        return len(self._running) + len(self._waiting)

    def submit(self, task: EngineTask) -> None:
        """Queue a request; it ends at once if the engine is stopped."""
        if not self.serving:
            self._call_after_ms(0.0, lambda: task.on_end(False))
            return
        bisect.insort(self._waiting, task, key=lambda found: found.priority)
        self._begin_pass()

    def stop(self) -> None:
        """Interrupt all requests and accept no more."""
        self.serving = False
        tasks = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for task in tasks:
            task.on_end(False)

    def _begin_pass(self) -> None:
        if self._pass_running:
            return
        while self._waiting and len(self._running) < self._spec.slots:
            self._running.append(self._waiting.pop(0))
        if not self._running:
            return
        self._pass_running = True
        left = self._spec.chunk_tokens
        pass_ms = 0.0
        prefilling: list[EngineTask] = []
        for task in self._running:
            part = min(left, task.unread_tokens)
            if part:
                pass_ms += self._model.prefill_ms(part)
                task.unread_tokens -= part
                left -= part
                prefilling.append(task)
        decoding = [task for task in self._running if not task.unread_tokens]
        if decoding:
            context = self._model.usual_context_tokens(len(decoding))
            pass_ms += self._model.pass_ms(len(decoding), context)
        self._call_after_ms(pass_ms, lambda: self._end_pass(decoding))

    def _end_pass(self, decoding: list[EngineTask]) -> None:
        self._pass_running = False
        for task in decoding:
            if task not in self._running:
                continue  # interrupted during the pass
            if not task.started:
                task.started = True
                self._call_after_ms(FIRST_EVENT_OVERHEAD_MS, task.on_first_event)
            task.events -= 1
            if task.events <= 0:
                self._running.remove(task)
                task.on_end(True)
        self._begin_pass()


__all__ = ["EmulatedEngine", "EngineTask"]
