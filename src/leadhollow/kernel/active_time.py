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
from collections import deque
from collections.abc import Callable, Collection
from types import TracebackType
from typing import Any

from leadhollow.kernel.clocks import steady_s
from leadhollow.observe.logs import get_logger

TICK_S = 0.1
MAX_STEP_S = 0.2
"""Most that the clock goes on between two rounds of the loop. What is beyond it counts as held up;
within it everything that arrived is read in time anyway."""

LATE_S = 0.02  # by which a timer comes later where something may have arrived that is not read yet
HELD_UP_S = MAX_STEP_S - TICK_S  # by which a deadline comes later where the loop was held up
INPUT_GRACE_S = 0.05  # until what arrived while the loop was held up has been read and passed on
SHOWN_HOLD_S = 0.5  # shorter holds are counted without a line of their own
HOLDS_KEPT = 256  # a process that is held up all the time remembers a minute of it
STALL_BOUNDS_S = (0.2, 0.5, 1.0, 2.0, 5.0)  # of the classes in which holds are counted

log = get_logger("loop")


class ActiveClock:
    """The clock of one event loop.

    Attributes
    ----------
    holds
        How often it was, by the bounds of ``STALL_BOUNDS_S``; the last one is beyond all of them.
    """

    __slots__ = ("_heard_s", "_held", "_held_s", "_ticked_s", "stall_counts")

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._ticked_s = loop.time()
        self._heard_s = self._ticked_s
        self._held_s = 0.0
        self._held: deque[tuple[float, float]] = deque(maxlen=HOLDS_KEPT)  # from when, until when
        self.stall_counts = [0] * (len(STALL_BOUNDS_S) + 1)
        loop.call_later(TICK_S, self._tick)

    def active_s(self) -> float:
        """Give the time in which the loop could hear; only differences mean something."""
        return self._heard_s + min(steady_s() - self._ticked_s, MAX_STEP_S)

    def stalled_s(self) -> float:
        """Give the time for which the loop was held up, in all."""
        return self._held_s + max(0.0, steady_s() - self._ticked_s - MAX_STEP_S)

    def active_since_s(self, since_s: float) -> float:
        """Give for how long the loop could hear since a loop time."""
        now_s = steady_s()
        held_s = max(0.0, now_s - max(since_s, self._ticked_s + MAX_STEP_S))
        for from_s, until_s in reversed(self._held):
            if until_s <= since_s:
                break
            held_s += until_s - max(from_s, since_s)
        return now_s - since_s - held_s

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        step_s = now_s - self._ticked_s
        beyond_s = step_s - MAX_STEP_S
        self._heard_s += min(step_s, MAX_STEP_S)
        if beyond_s > 0:
            self._held_s += beyond_s
            self._held.append((self._ticked_s + MAX_STEP_S, now_s))
        self._ticked_s = now_s
        if beyond_s > 0:
            self._note_hold(step_s - TICK_S)
        loop.call_later(TICK_S, self._tick)

    def _note_hold(self, hold_s: float) -> None:
        self.stall_counts[sum(hold_s > bound_s for bound_s in STALL_BOUNDS_S)] += 1
        if hold_s >= SHOWN_HOLD_S:
            log.warning("loop was held up", for_s=round(hold_s, 3), holds=sum(self.stall_counts))


class ActiveTimer:
    """Calls back once a time has passed in which this process could hear.

    Where it comes late, what had arrived by then is read first.
    """

    __slots__ = ("_callback", "_clock", "_due_s", "_handle", "_look_s", "_loop", "_put_off")

    def __init__(
        self,
        *,
        delay_s: float,
        callback: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock()
        self._callback = callback
        self._put_off = False  # once only: a loop that is late each time must come to an end too
        self._due_s = self._clock.active_s() + delay_s
        self._look_again(max(0.0, delay_s))

    def cancel(self) -> None:
        """Call back no more."""
        self._handle.cancel()

    def _look_again(self, delay_s: float) -> None:
        self._look_s = self._loop.time() + delay_s
        self._handle = self._loop.call_at(self._look_s, self._look)

    def _look(self) -> None:
        left_s = self._due_s - self._clock.active_s()
        if left_s > 0:
            self._look_again(left_s)
        elif self._loop.time() - self._look_s > LATE_S and not self._put_off:
            self._put_off = True
            self._look_again(INPUT_GRACE_S)
        else:
            self._callback()


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
        if self._loop.time() - self._when_s > HELD_UP_S:
            self._handle = self._loop.call_later(INPUT_GRACE_S, self._callback)
        else:
            self._callback()


class _Bounded:
    """Scope that ends when its timer calls back, like that of ``asyncio.timeout``."""

    __slots__ = ("_limit", "_loop", "_timer")

    _timer: DeadlineTimer | ActiveTimer

    async def __aenter__(self) -> asyncio.Timeout:
        self._loop = asyncio.get_running_loop()
        self._limit = asyncio.timeout(None)
        await self._limit.__aenter__()
        self._timer = self._start(self._end)
        return self._limit

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._timer.cancel()
        await self._limit.__aexit__(kind, error, trace)

    def _start(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        raise NotImplementedError

    def _end(self) -> None:
        self._limit.reschedule(self._loop.time())


class active_timeout(_Bounded):  # noqa: N801 (used like asyncio.timeout)
    """Bound a wait for a peer, like ``asyncio.timeout``, by the time in which it could be heard.

    Parameters
    ----------
    delay_s
        None for no bound.
    """

    __slots__ = ("_delay_s",)

    def __init__(self, delay_s: float | None) -> None:
        self._delay_s = math.inf if delay_s is None else delay_s

    def _start(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        if math.isinf(self._delay_s):
            return DeadlineTimer(when_s=math.inf, callback=callback)
        return ActiveTimer(delay_s=self._delay_s, callback=callback)


class deadline_at(_Bounded):  # noqa: N801 (used like asyncio.timeout_at)
    """Bound some work by a loop time, like ``asyncio.timeout_at``.

    Where the loop was held up when the time came, what had arrived by then is taken first.
    """

    __slots__ = ("_when_s",)

    def __init__(self, when_s: float) -> None:
        self._when_s = when_s

    def _start(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        return DeadlineTimer(when_s=self._when_s, callback=callback)


async def active_wait(tasks: Collection[asyncio.Future[Any]], delay_s: float) -> bool:
    """Wait until the first of some tasks is done, like ``asyncio.wait``; they go on.

    Parameters
    ----------
    delay_s
        How long to wait, of the time in which peers could be heard.

    Returns
    -------
    bool
        Whether any of them is done.
    """
    if any(task.done() for task in tasks):
        return True
    woken = asyncio.get_running_loop().create_future()

    def wake(_: object = None) -> None:
        if not woken.done():
            woken.set_result(None)

    timer = ActiveTimer(delay_s=delay_s, callback=wake)
    for task in tasks:
        task.add_done_callback(wake)
    try:
        await woken
    finally:
        timer.cancel()
        for task in tasks:
            task.remove_done_callback(wake)
    return any(task.done() for task in tasks)


async def active_sleep(delay_s: float) -> None:
    """Sleep for a time in which peers could be heard; what arrived in a hold is read first."""
    await active_wait((), delay_s)


def clock() -> ActiveClock:
    """Give the clock of the running loop; it begins with the first look at it."""
    loop = asyncio.get_running_loop()
    found = _clocks.get(loop)
    if found is None:
        found = _clocks[loop] = ActiveClock()
    return found


def active_s() -> float:
    """Give the time in which the running loop could hear."""
    return clock().active_s()


def active_since_s(since_s: float) -> float:
    """Give for how long the running loop could hear since a loop time.

    It is what a silence is judged by; ages that others are told go on while we are held up.
    """
    return clock().active_since_s(since_s)


_clocks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ActiveClock] = (
    weakref.WeakKeyDictionary()
)

__all__ = [
    "INPUT_S",
    "DeadlineTimer",
    "HeardTimer",
    "HearingClock",
    "clock",
    "deadline_at",
    "active_s",
    "active_since_s",
    "heard_sleep",
    "heard_timeout",
    "heard_wait",
]
