"""Clocks of a process, with and without the time in which the machine was suspended.

A VM may be suspended for seconds. The monotonic clock that drives the event loop's timers stops
meanwhile. A lease, a majority's confirmation or the age of a version that is measured by it stays
valid for longer than on other machines. Use :func:`elapsed_s` for any duration that other
processes also rely on, and :func:`steady_s` for timers and for local work.
"""

from __future__ import annotations

import asyncio
import time


def steady_s() -> float:
    """Return the event loop's time, for timers and for the duration of local work."""
    return asyncio.get_running_loop().time()


def processing_s() -> float:
    """Return a time that also advances within one turn of the event loop, to measure a callback."""
    return time.monotonic()


def suspended_s() -> float:
    """Return the total time in seconds for which this machine was suspended since it booted.

    The value is rounded to milliseconds, because the two clocks are read some microseconds apart.
    """
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return round(since_boot_s - time.clock_gettime(time.CLOCK_MONOTONIC), 3)


def elapsed_s() -> float:
    """Return the event loop's time plus all suspensions, for ages that other processes rely on.

    Only the difference of two values is meaningful. Timers of the loop need :func:`steady_s`.
    """
    return steady_s() + suspended_s()


def boot_s() -> float:
    """Return the time since this machine booted, suspensions included; needs no event loop."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ns() -> int:
    """Return the wall-clock time, which may jump: it labels a start and measures no duration."""
    return time.time_ns()


__all__ = ["boot_s", "elapsed_s", "processing_s", "steady_s", "suspended_s", "wall_ns"]
