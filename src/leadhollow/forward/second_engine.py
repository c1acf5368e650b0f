"""An engine that is asked beside a silent one; whoever has the next event first goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from leadhollow.forward.stream_attempt import StreamAttempt
from leadhollow.forward.stream_relay import StreamRelay
from leadhollow.kernel.hearing import deadline_at
from leadhollow.observe.logs import get_logger

log = get_logger("stream")

Placer = Callable[[], Awaitable[StreamAttempt | None]]


class SecondEngine:
    """Asks engines beside the one that is silent, one at a time.

    Parameters
    ----------
    place
        Finds a place at another engine; None where the request may not be sent to one.
    """

    __slots__ = ("_attempt", "_on_first", "_place", "_relay", "_task")

    def __init__(self, *, relay: StreamRelay, place: Placer) -> None:
        self._relay = relay
        self._place = place
        self._task: asyncio.Task[StreamAttempt | None] | None = None
        self._on_first: Callable[[], None] = _nothing

    @property
    def asked(self) -> bool:
        """Whether one is being asked, or has an event that was not taken yet."""
        return self._task is not None

    def ask(self, request: str, on_first: Callable[[], None]) -> None:
        """Ask another engine, unless one is being asked.

        Parameters
        ----------
        on_first
            Called when it has the next event and goes on with the stream.
        """
        if self._task is not None:
            return
        self._on_first = on_first
        self._relay.on_progress = self.let_go
        self._task = asyncio.get_running_loop().create_task(self._run(request))
        self._task.add_done_callback(self._ended)

    async def take(self) -> StreamAttempt | None:
        """Wait for the engine that was asked; None where there is none, or it has no event."""
        task = self._task
        if task is None:
            return None
        self._on_first = _nothing
        self._relay.on_progress = None
        await asyncio.wait([task])
        self._task = None
        return None if task.cancelled() or task.exception() else task.result()

    def let_go(self) -> None:
        """Let the engine stop, where one was asked: the first one went on, or nobody reads on."""
        task, self._task = self._task, None
        self._relay.on_progress = None
        if task is None or task.cancel() or task.cancelled():
            return
        attempt = None if task.exception() else task.result()
        if attempt is not None:
            attempt.close()

    def _ended(self, task: asyncio.Task[StreamAttempt | None]) -> None:
        """Be ready to ask again where nothing came of it."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("asking another engine failed", error=repr(error))
        if self._task is task and (error is not None or task.result() is None):
            self._task = None
            self._relay.on_progress = None

    async def _run(self, request: str) -> StreamAttempt | None:
        while (attempt := await self._place()) is not None:
            taken = False
            try:
                taken = await self._first_event(attempt)
            finally:
                if not taken:
                    attempt.close()
            if taken:
                log.info("another engine goes on", request=request, instance=attempt.instance)
                self._on_first()
                return attempt
        return None

    async def _first_event(self, attempt: StreamAttempt) -> bool:
        """Wait for the next event of another engine; True where the stream goes on with it."""
        base_id = self._relay.last_id
        try:
            async with deadline_at(attempt.placement.begin_by_s) as limit:
                opened = await attempt.open(last_event_id=base_id)
                if opened.is_err():
                    return False
                source = opened.unwrap()
                read = await source.read()
        except TimeoutError:
            if not limit.expired():
                raise
            return False
        if read.is_err():
            attempt.note_lost(read.unwrap_err())
            return False
        if self._relay.last_id != base_id or self._relay.writing:
            return False
        source.keep(read.unwrap())
        self._relay.source = source
        return True


def _nothing() -> None:
    return


__all__ = ["SecondEngine"]
