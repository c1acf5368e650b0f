"""The clocks of a process: how long it worked, how long that was for all others, and when.

A machine may be suspended for seconds. The steady clock, which also drives all timers, stands still
meanwhile, so whatever is believed for a time by it (a lease, an answer of a majority, the age of a
version) is believed for longer than anybody else thinks. What others count on too is therefore
measured by time that went on while this process did not.
"""

from __future__ import annotations

import asyncio
import time


def steady_s() -> float:
    """Give the loop's time: for timers, and for how long this process worked on something."""
    return asyncio.get_running_loop().time()


def suspended_s() -> float:
    """Give how long this machine has been suspended since it started, in whole milliseconds.

    The two clocks are read one after the other, some microseconds apart.
    """
    since_boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return round(since_boot_s - time.clock_gettime(time.CLOCK_MONOTONIC), 3)


def elapsed_s() -> float:
    """Give the loop's time with suspensions: for how long ago something was for all others.

    It must not be given to timers; of two such times only the difference means something.
    """
    return steady_s() + suspended_s()


def boot_s() -> float:
    """Give the time since this machine started, suspensions included; needs no loop."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_ns() -> int:
    """Give the time of day, which may jump: to name a start, never to measure."""
    return time.time_ns()


__all__ = ["boot_s", "elapsed_s", "steady_s", "suspended_s", "wall_ns"]
