"""Limits the rate of weight transfers to their share of a network link."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from leadhollow.kernel.timers import sleep_at_least

BURST_S = 0.05


class Pacer:
    """Token bucket over bytes that serves waiters in order of arrival.

    Parameters
    ----------
    rate_bytes_per_s
        Returns the current rate. It is called for each transfer because the rate changes with the
        live traffic.
    burst_s
        Idle time whose unused bytes may be sent at once. It bounds the queue at the link.
    """

    __slots__ = ("_burst_s", "_free_at_s", "_rate_bytes_per_s", "bytes_taken")

    def __init__(self, *, rate_bytes_per_s: Callable[[], float], burst_s: float = BURST_S) -> None:
        self._rate_bytes_per_s = rate_bytes_per_s
        self._burst_s = burst_s
        self._free_at_s = 0.0
        self.bytes_taken = 0

    def ready(self) -> bool:
        """Whether bytes can be taken now without waiting."""
        return asyncio.get_running_loop().time() >= self._free_at_s

    def spend(self, size_bytes: int) -> None:
        """Take bytes without waiting. Later transfers wait for them."""
        now_s = asyncio.get_running_loop().time()
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + size_bytes / self._rate_bytes_per_s()
        self.bytes_taken += size_bytes

    async def wait_until_free(self) -> None:
        """Wait until the link has carried all bytes taken so far."""
        loop = asyncio.get_running_loop()
        while (wait_s := self._free_at_s - loop.time()) > 0:  # other tasks take bytes meanwhile
            await sleep_at_least(wait_s)

    async def take(self, size_bytes: int) -> None:
        """Take bytes and wait until the link has carried them and all bytes taken before."""
        loop = asyncio.get_running_loop()
        now_s = loop.time()
        start_s = max(self._free_at_s, now_s - self._burst_s)
        self._free_at_s = start_s + size_bytes / self._rate_bytes_per_s()
        self.bytes_taken += size_bytes
        wait_s = self._free_at_s - now_s
        if wait_s > 0:
            await sleep_at_least(wait_s)


class Link:
    """Pacers for weight transfers over the network link of one VM, one for each direction.

    Parameters
    ----------
    bytes_per_s
        Speed of the link in each direction.
    weights_share
        Share for weights while requests are in progress; otherwise weights may use the whole
        link.
    busy
        Returns whether requests are in progress.
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
