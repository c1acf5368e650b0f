"""An engine that is asked beside a silent one; whoever has the next event first goes on."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from leadhollow.forward.silence_monitor import SilenceMonitor
from leadhollow.forward.stream_attempt import StreamAttempt
from leadhollow.forward.stream_relay import StreamRelay
from leadhollow.kernel import active_time
from leadhollow.kernel.active_time import INPUT_GRACE_S, deadline_at
from leadhollow.observe.logs import get_logger

log = get_logger("stream")

Placer = Callable[[], Awaitable[StreamAttempt | None]]


class StreamHedge:
    """Asks engines beside the one that is silent, one at a time.

    Parameters
    ----------
    place
        Finds a place at another engine; None where the request may not be sent to one.
    may_ask
        Tells whether the request may be sent once more.
    """

    __slots__ = ("_may_ask", "_on_first", "_place", "_relay", "_task")

    def __init__(
        self, *, relay: StreamRelay, find_engine: Placer, may_send: Callable[[], bool]
    ) -> None:
        self._relay = relay
        self._may_ask = may_send
        self._place = find_engine
        self._task: asyncio.Task[StreamAttempt | None] | None = None
        self._on_first: Callable[[], None] = _nothing

    @property
    def active(self) -> bool:
        """Whether one is being asked, or has an event that was not taken yet."""
        return self._task is not None

    def start(self, request: str, on_takeover: Callable[[], None]) -> None:
        """Ask another engine, unless one is being asked.

        Parameters
        ----------
        on_first
            Called when it has the next event and goes on with the stream.
        """
        if self._task is not None:
            return
        self._on_first = on_takeover
        self._relay.on_progress = self.cancel
        self._task = asyncio.get_running_loop().create_task(self._run(request))
        self._task.add_done_callback(self._ended)

    async def result(self) -> StreamAttempt | None:
        """Wait for the engine that was asked; None where there is none, or it has no event."""
        task = self._task
        if task is None:
            return None
        self._on_first = _nothing
        self._relay.on_progress = None
        await asyncio.wait([task])
        self._task = None
        return None if task.cancelled() or task.exception() else task.result()

    def cancel(self) -> None:
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
        passed = self._relay.batches_sent
        clock = active_time.clock()
        while True:
            held_before_s = clock.stalled_s()
            attempt = await self._place()
            if attempt is None:
                return None
            chosen = False
            try:
                if clock.stalled_s() > held_before_s:
                    await asyncio.sleep(INPUT_GRACE_S)  # the first one may have gone on meanwhile
                found = await self._first_events(attempt)
                if self._relay.batches_sent != passed:
                    return None  # the first one went on
                if found:
                    log.info("another engine goes on", request=request, instance=attempt.instance)
                    self._relay.owner = attempt
                    self._on_first()
                    chosen = True
                    return attempt
            finally:
                if not chosen:
                    attempt.close()

    async def _first_events(self, attempt: StreamAttempt) -> bool:
        """Wait for the next events of another engine; True where they have come, or its end."""
        try:
            async with deadline_at(attempt.placement.begin_by_s) as limit:
                with self._watched(attempt, limit):
                    opened = await attempt.open(last_event_id=self._relay.last_event_id)
                    if opened.is_err():
                        return False
                    source = opened.unwrap()
                    read = await source.read()
        except TimeoutError:
            if not limit.expired():
                raise
            return False
        if read.is_err():
            attempt.record_lost(read.unwrap_err())
            return False
        source.unread(read.unwrap())
        return True

    @contextmanager
    def _watched(self, attempt: StreamAttempt, limit: asyncio.Timeout) -> Iterator[None]:
        """Give an engine up that is silent too, where the request may be sent to one more."""

        def silent() -> None:
            attempt.record_silence()
            if self._may_ask() and not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())

        watch = SilenceMonitor(
            last_received_s=attempt.last_received_s,
            timeout_s=attempt.first_event_timeout_s,
            on_silent=silent,
        )
        try:
            yield
        finally:
            watch.stop()


def _nothing() -> None:
    return


__all__ = ["SecondEngine"]
