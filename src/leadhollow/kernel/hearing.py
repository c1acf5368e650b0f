"""Time in which this process could hear from others, for what is concluded from their silence.

A process may be held up: stopped by a signal, kept from its processor, waiting for a disk. What its
peers send meanwhile lies unread in its sockets, and a timer that is due then runs before they are
read. A wait for a peer that is measured by the loop's time therefore takes the process's own delay
for the peer's silence. The clock here goes on only while the loop goes round.

It must not measure what others rely on, such as a lease: being held up never makes that longer.
"""

from __future__ import annotations

import asyncio
import math
import weakref
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from leadhollow.kernel.clocks import steady_s
from leadhollow.observe.logs import get_logger

TICK_S = 0.1
LONGEST_STEP_S = 0.2
"""Most that the clock goes on between two rounds of the loop. What is beyond it counts as held up;
within it everything that arrived is read in time anyway."""

INPUT_S = 0.05  # until what arrived while the loop was held up has been read and passed on
SHOWN_HOLD_S = 0.5  # shorter holds are counted without a line of their own
HOLD_BOUNDS_S = (0.2, 0.5, 1.0, 2.0, 5.0)  # of the classes in which holds are counted

log = get_logger("loop")


class HearingClock:
    """The clock of one event loop.

    Attributes
    ----------
    holds
        How often it was, by the bounds of ``HOLD_BOUNDS_S``; the last one is beyond all of them.
    """

    __slots__ = ("_heard_s", "_held_s", "_ticked_s", "holds")

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._ticked_s = loop.time()
        self._heard_s = 0.0
        self._held_s = 0.0
        self.holds = [0] * (len(HOLD_BOUNDS_S) + 1)
        loop.call_later(TICK_S, self._tick)

    def heard_s(self) -> float:
        """Give the time in which the loop could hear; only differences mean something."""
        return self._heard_s + min(steady_s() - self._ticked_s, LONGEST_STEP_S)

    def held_s(self) -> float:
        """Give the time for which the loop was held up, in all."""
        return self._held_s + max(0.0, steady_s() - self._ticked_s - LONGEST_STEP_S)

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        beyond_s = now_s - self._ticked_s - LONGEST_STEP_S
        self._heard_s = self.heard_s()
        self._held_s = self.held_s()
        self._ticked_s = now_s
        if beyond_s > 0:
            self._note_hold(beyond_s + LONGEST_STEP_S - TICK_S)
        loop.call_later(TICK_S, self._tick)

    def _note_hold(self, hold_s: float) -> None:
        self.holds[sum(hold_s > bound_s for bound_s in HOLD_BOUNDS_S)] += 1
        if hold_s >= SHOWN_HOLD_S:
            log.warning("loop was held up", for_s=round(hold_s, 3), holds=sum(self.holds))


class HeardTimer:
    """Calls back once a time has passed in which this process could hear."""

    __slots__ = ("_callback", "_clock", "_due_s", "_handle", "_loop")

    def __init__(
        self,
        *,
        delay_s: float,
        callback: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock()
        self._callback = callback
        self._due_s = self._clock.heard_s() + delay_s
        self._handle = self._loop.call_later(max(0.0, delay_s), self._look)

    def cancel(self) -> None:
        """Call back no more."""
        self._handle.cancel()

    def _look(self) -> None:
        left_s = self._due_s - self._clock.heard_s()
        if left_s <= 0:
            self._callback()
        else:
            self._handle = self._loop.call_later(left_s, self._look)


class DeadlineTimer:
    """Calls back at a loop time; after a hold once what had arrived by then has been read.

    Parameters
    ----------
    when_s
        Loop time; an infinite one never comes.
    """

    __slots__ = ("_callback", "_handle", "_loop", "_when_s")

    def __init__(self, *, when_s: float, callback: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._when_s = when_s
        self._handle = None if math.isinf(when_s) else self._loop.call_at(when_s, self._come)

    def cancel(self) -> None:
        """Call back no more."""
        if self._handle is not None:
            self._handle.cancel()

    def _come(self) -> None:
        if self._loop.time() - self._when_s > LONGEST_STEP_S - TICK_S:
            self._handle = self._loop.call_later(INPUT_S, self._callback)
        else:
            self._callback()


@asynccontextmanager
async def heard_timeout(delay_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Bound a wait for a peer, like ``asyncio.timeout``, by the time in which it could be heard."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = HeardTimer(delay_s=delay_s, callback=lambda: limit.reschedule(loop.time()))
        try:
            yield limit
        finally:
            timer.cancel()


@asynccontextmanager
async def deadline_at(when_s: float) -> AsyncIterator[asyncio.Timeout]:
    """Bound some work by a loop time, like ``asyncio.timeout_at``.

    Where the loop was held up when the time came, what had arrived by then is taken first.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(None) as limit:
        timer = DeadlineTimer(when_s=when_s, callback=lambda: limit.reschedule(loop.time()))
        try:
            yield limit
        finally:
            timer.cancel()


def clock() -> HearingClock:
    """Give the clock of the running loop; it begins with the first look at it."""
    loop = asyncio.get_running_loop()
    found = _clocks.get(loop)
    if found is None:
        found = _clocks[loop] = HearingClock()
    return found


def heard_s() -> float:
    """Give the time in which the running loop could hear."""
    return clock().heard_s()


_clocks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, HearingClock] = (
    weakref.WeakKeyDictionary()
)

__all__ = [
    "DeadlineTimer",
    "HeardTimer",
    "HearingClock",
    "clock",
    "deadline_at",
    "heard_s",
    "heard_timeout",
]
