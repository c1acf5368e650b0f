"""Hedges a stream whose engine is silent; the first engine with the next event serves it."""

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

EngineFinder = Callable[[], Awaitable[StreamAttempt | None]]


class StreamHedge:
    """Tries other engines while one is silent, one at a time.

    Parameters
    ----------
    find_engine
        Returns an attempt at another engine; None if the request may not be sent to one.
    may_send
        Returns whether the request may be sent once more.
    """

    __slots__ = ("_find_engine", "_may_send", "_on_takeover", "_relay", "_task")

    def __init__(
        self, *, relay: StreamRelay, find_engine: EngineFinder, may_send: Callable[[], bool]
    ) -> None:
        self._relay = relay
        self._may_send = may_send
        self._find_engine = find_engine
        self._task: asyncio.Task[StreamAttempt | None] | None = None
        self._on_takeover: Callable[[], None] = _nothing

    @property
    def active(self) -> bool:
        """Whether a hedge is running, or its result has not been taken yet."""
        return self._task is not None

    def start(self, request: str, on_takeover: Callable[[], None]) -> None:
        """Start a hedge, unless one is active.

        Parameters
        ----------
        on_takeover
            Called when the other engine has the next event and takes over the stream.
        """
        if self._task is not None:
            return
        self._on_takeover = on_takeover
        self._relay.on_progress = self.cancel
        self._task = asyncio.get_running_loop().create_task(self._run(request))
        self._task.add_done_callback(self._on_done)

    async def result(self) -> StreamAttempt | None:
        """Wait for the active hedge; None if there is none or it got no event."""
        task = self._task
        if task is None:
            return None
        self._on_takeover = _nothing
        self._relay.on_progress = None
        await asyncio.wait([task])
        self._task = None
        return None if task.cancelled() or task.exception() else task.result()

    def cancel(self) -> None:
        """Cancel the active hedge, because the first engine continued or the stream has ended."""
        task, self._task = self._task, None
        self._relay.on_progress = None
        if task is None or task.cancel() or task.cancelled():
            return
        attempt = None if task.exception() else task.result()
        if attempt is not None:
            attempt.close()

    def _on_done(self, task: asyncio.Task[StreamAttempt | None]) -> None:
        """Allow another hedge if this one got no event."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.error("hedge failed", error=repr(error))
        if self._task is task and (error is not None or task.result() is None):
            self._task = None
            self._relay.on_progress = None

    async def _run(self, request: str) -> StreamAttempt | None:
        batches_sent = self._relay.batches_sent
        clock = active_time.clock()
        while True:
            stalled_before_s = clock.stalled_s()
            attempt = await self._find_engine()
            if attempt is None:
                return None
            takes_over = False
            try:
                if clock.stalled_s() > stalled_before_s:
                    # events of the first engine may have arrived while the event loop stalled
                    await asyncio.sleep(INPUT_GRACE_S)
                found = await self._receive_events(attempt)
                if self._relay.batches_sent != batches_sent:
                    return None  # the first engine continued
                if found:
                    log.info("another engine goes on", request=request, instance=attempt.instance)
                    self._relay.owner = attempt
                    self._on_takeover()
                    takes_over = True
                    return attempt
            finally:
                if not takes_over:
                    attempt.close()

    async def _receive_events(self, attempt: StreamAttempt) -> bool:
        """Wait for the next events or the end of the stream; return whether they have arrived."""
        try:
            async with deadline_at(attempt.placement.begin_by_s) as limit:
                with self._monitored(attempt, limit):
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
    def _monitored(self, attempt: StreamAttempt, limit: asyncio.Timeout) -> Iterator[None]:
        """Abandon an engine that is silent too, if the request may be sent once more."""

        def on_silent() -> None:
            attempt.record_silence()
            if self._may_send() and not limit.expired():
                limit.reschedule(asyncio.get_running_loop().time())

        monitor = SilenceMonitor(
            last_received_s=attempt.last_received_s,
            timeout_s=attempt.first_event_timeout_s,
            on_silent=on_silent,
        )
        try:
            yield
        finally:
            monitor.stop()


def _nothing() -> None:
    return


__all__ = ["StreamHedge"]
