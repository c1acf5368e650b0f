"""Active time: time in which the event loop ran, for timeouts on peers.

A process may be stalled: stopped by a signal, denied the CPU, or blocked on a disk. What its peers
send meanwhile stays unread in its sockets, and a timer that is due runs before they are read. A
timeout that is measured by the loop's time then mistakes the process's own stall for silence of
the peer. Timers and timeouts here count active time, which excludes stalls.

Do not use active time for anything that other processes rely on, such as a lease: a stall never
extends it.
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
"""Active time that passes at most between two ticks of the clock. Anything beyond it is a stall;
within it all input is read in time."""

LATE_TIMER_S = 0.02  # a timer that fires later than this may have run before pending input was read
STALL_LATENESS_S = (
    MAX_STEP_S - TICK_S
)  # a deadline that fires later than this was delayed by a stall
INPUT_GRACE_S = 0.05  # time to read and process the input that arrived during a stall
LOGGED_STALL_S = 0.5  # shorter stalls are only counted
STALLS_KEPT = 256  # about a minute of a process that stalls all the time
STALL_BOUNDS_S = (0.2, 0.5, 1.0, 2.0, 5.0)  # histogram buckets of stall durations

log = get_logger("loop")


class ActiveClock:
    """Clock of one event loop that measures active time.

    Attributes
    ----------
    stall_counts
        Number of stalls by duration, in the buckets of ``STALL_BOUNDS_S``; the last bucket counts
        those longer than all bounds.
    """

    __slots__ = ("_active_s", "_stalled_s", "_stalls", "_ticked_s", "stall_counts")

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self._ticked_s = loop.time()
        self._active_s = self._ticked_s
        self._stalled_s = 0.0
        self._stalls: deque[tuple[float, float]] = deque(maxlen=STALLS_KEPT)  # start, end
        self.stall_counts = [0] * (len(STALL_BOUNDS_S) + 1)
        loop.call_later(TICK_S, self._tick)

    def active_s(self) -> float:
        """Return the active time; only differences are meaningful."""
        return self._active_s + min(steady_s() - self._ticked_s, MAX_STEP_S)

    def stalled_s(self) -> float:
        """Return the total duration of all stalls."""
        return self._stalled_s + max(0.0, steady_s() - self._ticked_s - MAX_STEP_S)

    def active_since_s(self, since_s: float) -> float:
        """Return the active time that has passed since a loop time."""
        now_s = steady_s()
        stalled_s = max(0.0, now_s - max(since_s, self._ticked_s + MAX_STEP_S))
        for start_s, end_s in reversed(self._stalls):
            if end_s <= since_s:
                break
            stalled_s += end_s - max(start_s, since_s)
        return now_s - since_s - stalled_s

    def _tick(self) -> None:
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        step_s = now_s - self._ticked_s
        excess_s = step_s - MAX_STEP_S
        self._active_s += min(step_s, MAX_STEP_S)
        if excess_s > 0:
            self._stalled_s += excess_s
            self._stalls.append((self._ticked_s + MAX_STEP_S, now_s))
        self._ticked_s = now_s
        if excess_s > 0:
            self._record_stall(step_s - TICK_S)
        loop.call_later(TICK_S, self._tick)

    def _record_stall(self, stall_s: float) -> None:
        self.stall_counts[sum(stall_s > bound_s for bound_s in STALL_BOUNDS_S)] += 1
        if stall_s >= LOGGED_STALL_S:
            log.warning("loop was held up", for_s=round(stall_s, 3), holds=sum(self.stall_counts))


class ActiveTimer:
    """Timer that calls back after a given active time.

    If it fires late, pending input is read before the callback runs.
    """

    __slots__ = ("_callback", "_check_s", "_clock", "_due_s", "_handle", "_loop", "_postponed")

    def __init__(
        self,
        *,
        delay_s: float,
        callback: Callable[[], None],
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._clock = clock()
        self._callback = callback
        self._postponed = False  # at most once, or a loop that is always late would never call back
        self._due_s = self._clock.active_s() + delay_s
        self._schedule_check(max(0.0, delay_s))

    def cancel(self) -> None:
        """Cancel the callback."""
        self._handle.cancel()

    def _schedule_check(self, delay_s: float) -> None:
        self._check_s = self._loop.time() + delay_s
        self._handle = self._loop.call_at(self._check_s, self._check)

    def _check(self) -> None:
        remaining_s = self._due_s - self._clock.active_s()
        if remaining_s > 0:
            self._schedule_check(remaining_s)
        elif self._loop.time() - self._check_s > LATE_TIMER_S and not self._postponed:
            self._postponed = True
            self._schedule_check(INPUT_GRACE_S)
        else:
            self._callback()


class DeadlineTimer:
    """Timer that calls back at a loop time; after a stall, pending input is read first.

    Parameters
    ----------
    when_s
        Loop time; the timer never fires if it is infinite.
    """

    __slots__ = ("_callback", "_handle", "_loop", "_when_s")

    def __init__(self, *, when_s: float, callback: Callable[[], None]) -> None:
        self._loop = asyncio.get_running_loop()
        self._callback = callback
        self._when_s = when_s
        self._handle = None if math.isinf(when_s) else self._loop.call_at(when_s, self._fire)

    def cancel(self) -> None:
        """Cancel the callback."""
        if self._handle is not None:
            self._handle.cancel()

    def _fire(self) -> None:
        if self._loop.time() - self._when_s > STALL_LATENESS_S:
            self._handle = self._loop.call_later(INPUT_GRACE_S, self._callback)
        else:
            self._callback()


class _TimeoutScope:
    """Context manager like ``asyncio.timeout`` that expires when its timer calls back."""

    __slots__ = ("_loop", "_timeout", "_timer")

    _timer: DeadlineTimer | ActiveTimer

    async def __aenter__(self) -> asyncio.Timeout:
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        await self._timeout.__aenter__()
        self._timer = self._start_timer(self._expire)
        return self._timeout

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        timeout = self._timeout
        self._timer.cancel()
        # Timer and scope refer to each other, and the timeout to its task: what the task returned
        # would stay until a collection of garbage.
        del self._timer, self._timeout
        await timeout.__aexit__(kind, error, trace)

    def _start_timer(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        raise NotImplementedError

    def _expire(self) -> None:
        self._timeout.reschedule(self._loop.time())


class active_timeout(_TimeoutScope):  # noqa: N801 (used like asyncio.timeout)
    """Limit a wait for a peer, like ``asyncio.timeout``, measured in active time.

    Parameters
    ----------
    delay_s
        Active time; None for no limit.
    """

    __slots__ = ("_delay_s",)

    def __init__(self, delay_s: float | None) -> None:
        self._delay_s = math.inf if delay_s is None else delay_s

    def _start_timer(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        if math.isinf(self._delay_s):
            return DeadlineTimer(when_s=math.inf, callback=callback)
        return ActiveTimer(delay_s=self._delay_s, callback=callback)


class deadline_at(_TimeoutScope):  # noqa: N801 (used like asyncio.timeout_at)
    """Limit work by a loop time, like ``asyncio.timeout_at``.

    If the loop was stalled at the deadline, input that arrived by then is processed first.
    """

    __slots__ = ("_when_s",)

    def __init__(self, when_s: float) -> None:
        self._when_s = when_s

    def _start_timer(self, callback: Callable[[], None]) -> DeadlineTimer | ActiveTimer:
        return DeadlineTimer(when_s=self._when_s, callback=callback)


async def active_wait(tasks: Collection[asyncio.Future[Any]], delay_s: float) -> bool:
    """Wait until the first of some tasks is done, like ``asyncio.wait``; none is cancelled.

    Parameters
    ----------
    delay_s
        Active time to wait at most.

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
    """Sleep for an active time; input that arrived during a stall is read first."""
    await active_wait((), delay_s)


def clock() -> ActiveClock:
    """Return the clock of the running loop, which starts with the first call."""
    loop = asyncio.get_running_loop()
    found = _clocks.get(loop)
    if found is None:
        found = _clocks[loop] = ActiveClock()
    return found


def active_s() -> float:
    """Return the active time of the running loop; only differences are meaningful."""
    return clock().active_s()


def active_since_s(since_s: float) -> float:
    """Return the active time of the running loop since a loop time.

    Use it to judge how long a peer has been silent. Ages that are sent to other processes include
    stalls and need another clock.
    """
    return clock().active_since_s(since_s)


_clocks: weakref.WeakKeyDictionary[asyncio.AbstractEventLoop, ActiveClock] = (
    weakref.WeakKeyDictionary()
)

__all__ = [
    "INPUT_GRACE_S",
    "LATE_TIMER_S",
    "ActiveClock",
    "ActiveTimer",
    "DeadlineTimer",
    "active_s",
    "active_since_s",
    "active_sleep",
    "active_timeout",
    "active_wait",
    "clock",
    "deadline_at",
]
