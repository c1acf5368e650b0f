"""Keeps weights within their part of a link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.timers import sleep_at_least

BURST_S = 0.05


class Pacer:
    """Token bucket over bytes; waiters are served in the order they came.

    Parameters
    ----------
    rate_bytes_per_s
        Called at each take, so that the rate can follow live traffic.
    burst_s
        Idle time that may be made up for; it bounds what queues at the link at once.
    """

    __slots__ = ("_burst_s", "_free_at_s", "_rate_bytes_per_s", "bytes_taken")

    def __init__(self, *, rate_bytes_per_s: Callable[[], float], burst_s: float = BURST_S) -> None:
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_s = burst_s
        self._free_at_s = 0.0
        self.bytes_taken = 0

    def ready(self) -> bool:
        """Tell whether bytes could be taken now without waiting."""
        return asyncio.get_running_loop().time() >= self._free_at_s

    def spend(self, size_bytes: int) -> None:
        """Take bytes without waiting; those that come next wait for them."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + size_bytes / self._rate_bytes_per_s()
        self.bytes_taken += size_bytes

    async def wait_until_free(self) -> None:
        """Wait until the link has carried everything that was taken."""
        loop = asyncio.get_running_loop()
        while (wait_s := self._free_at_s - loop.time()) > 0:  # others take meanwhile
            await sleep_at_least(wait_s)

    async def take(self, size_bytes: int) -> None:
        """Wait until the link has carried all bytes before these, and then these."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + size_bytes / self._rate_bytes_per_s()
        self.bytes_taken += size_bytes
        wait_s = self._free_at_s - now_s
        if wait_s > 0:
            await sleep_at_least(wait_s)


class Link:
    """Both directions of one VM's link, as far as weights may use them.

    Parameters
    ----------
    bytes_per_s
        Speed of the link in each direction.
    weights_share
        Part for weights while requests are in progress.
    busy
        Tells whether requests are in progress.
    """

    __slots__ = ("download", "upload")

    def __init__(
        self, *, bytes_per_s: float, weights_share: float, busy: Callable[[], bool]
    ) -> None:
        def rate_bytes_per_s() -> float:
            return bytes_per_s * weights_share if busy() else bytes_per_s

        self.download = Pacer(rate_bytes_per_s=rate_bytes_per_s)
        self.upload = Pacer(rate_bytes_per_s=rate_bytes_per_s)


__all__ = ["Link", "Pacer"]
