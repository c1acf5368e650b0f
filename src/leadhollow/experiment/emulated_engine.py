"""An engine that works in passes: each gives every running request one event and reads prompts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from leadhollow.decide.engine_latency import EngineLatencyModel
from leadhollow.routing.model import EngineSpec

FIRST_MS = 12.0  # of a first event besides reading and writing, as such engines declare


class EngineTask:
    """A request at an engine.

    Parameters
    ----------
    events
        Events of its answer.
    on_first
        Called with its first event.
    on_end
        Called with its last event; False where the engine broke off.
    """

    __slots__ = ("started", "events", "on_end", "on_first_event", "prompt_tokens", "unread_tokens")

    def __init__(
        self,
        *,
        prompt_tokens: int,
        events: int,
        on_first_event: Callable[[], None],
        on_end: Callable[[bool], None],
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.unread_tokens = prompt_tokens
        self.events = events
        self.on_first_event = on_first_event
        self.on_end = on_end
        self.started = False


class EmulatedEngine:
    """One engine.

    Parameters
    ----------
    after
        Calls a function after some milliseconds.
    """

    __slots__ = ("_after", "_model", "_passing", "_running", "_spec", "_waiting", "serving")

    def __init__(
        self, *, spec: EngineSpec, call_after_ms: Callable[[float, Callable[[], None]], None]
    ):
        self._spec = spec
        self._model = EngineLatencyModel(spec=spec)
        self._after = call_after_ms
        self._running: list[EngineTask] = []
        self._waiting: deque[EngineTask] = deque()
        self._passing = False
        self.serving = True

    @property
    def load(self) -> int:
        """Requests that run or wait."""
        return len(self._running) + len(self._waiting)

    def submit(self, task: EngineTask) -> None:
        """Take a request."""
        if not self.serving:
            self._after(0.0, lambda: task.on_end(False))
            return
        self._waiting.append(task)
        self._begin_pass()

    def stop(self) -> None:
        """Break off everything, and take nothing more."""
        self.serving = False
        tasks = [*self._running, *self._waiting]
        self._running.clear()
        self._waiting.clear()
        for task in tasks:
            task.on_end(False)

    def _begin_pass(self) -> None:
        if self._passing:
            return
        while self._waiting and len(self._running) < self._spec.slots:
            self._running.append(self._waiting.popleft())
        if not self._running:
            return
        self._passing = True
        left = self._spec.chunk_tokens
        pass_ms = 0.0
        read: list[EngineTask] = []
        for task in self._running:
            part = min(left, task.unread_tokens)
            if part:
                pass_ms += self._model.prefill_ms(part)
                task.unread_tokens -= part
                left -= part
                read.append(task)
        writers = [task for task in self._running if not task.unread_tokens]
        if writers:
            context = self._model.usual_context_tokens(len(writers))
            pass_ms += self._model.pass_ms(len(writers), context)
        self._after(pass_ms, lambda: self._end_pass(writers))

    def _end_pass(self, writers: list[EngineTask]) -> None:
        self._passing = False
        for task in writers:
            if task not in self._running:
                continue  # broken off meanwhile
            if not task.started:
                task.started = True
                self._after(FIRST_MS, task.on_first_event)
            task.events -= 1
            if task.events <= 0:
                self._running.remove(task)
                task.on_end(True)
        self._begin_pass()


__all__ = ["EmulatedEngine", "EngineTask"]
