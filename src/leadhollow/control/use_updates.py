"""What one watcher has not been told yet of what others have at engines, near ones before far ones.

An entry sends most of its requests to engines of its own failure domain, and the older its view of
these, the more entries choose the same one. How many engines there are in a domain does not grow
with the fleet, so news of them travel at once at any size; news of all others share what is left.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from leadhollow.kernel.timers import TIMER_RESOLUTION_S
from leadhollow.membership.packed_uses import pack_uses
from leadhollow.membership.uses import Use

USE_BYTES = 3.0  # one engine's use as it is packed
GATHER_S = 0.02
"""News within it travel together; an entry's view of what others placed is about half as old."""

LOCAL_DOMAIN_BYTES_PER_S = 1_500.0
REMOTE_DOMAINS_BYTES_PER_S = 700.0
"""Together about half of the 4,000 B/s that control may send to a daemon: engines of a domain of 20
are told each 40 ms, 80 engines elsewhere each 0.34 s."""


class _Lane:
    """News that are told no faster than a rate.

    Parameters
    ----------
    bytes_per_s
        Of uses as they are packed.
    """

    __slots__ = ("_bytes_per_s", "_due_s", "_free_s", "_pending")

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._pending: set[str] = set()
        self._free_s = 0.0  # until then what was told last takes its time
        self._due_s = math.inf

    @property
    def due_s(self) -> float:
        """Time at which these news are to be told; infinite where there are none."""
        return self._due_s

    def add(self, addresses: Iterable[str], now_s: float) -> float:
        """Note engines whose use changed; give when they are to be told."""
        self._pending.update(addresses)
        if self._pending and self._due_s == math.inf:
            self._due_s = max(now_s + GATHER_S, self._free_s)
        return self._due_s

    def take(self, now_s: float) -> set[str]:
        """Give the engines whose turn has come."""
        if now_s < self._free_s - TIMER_RESOLUTION_S:
            return set()
        taken, self._pending = self._pending, set()
        self._free_s = now_s + len(taken) * USE_BYTES / self._bytes_per_s
        self._due_s = math.inf
        return taken


class UseUpdateQueue:
    """News of uses for one watcher."""

    __slots__ = ("_addresses", "_far", "_near", "_numbers", "_told")

    def __init__(self) -> None:
        self._near = _Lane(bytes_per_s=LOCAL_DOMAIN_BYTES_PER_S)
        self._far = _Lane(bytes_per_s=REMOTE_DOMAINS_BYTES_PER_S)
        self._addresses: list[str] = []  # by the numbers that stand for them on this feed
        self._numbers: dict[str, int] = {}
        self._told = 0  # engines whose number the watcher knows

    @property
    def due_s(self) -> float:
        """Time at which something is to be told; infinite where there is nothing."""
        return min(self._near.due_s, self._far.due_s)

    def add(self, near: Iterable[str], far: Iterable[str], now_s: float) -> float:
        """Note engines whose use changed; give when the first of them are to be told."""
        return min(self._near.add(near, now_s), self._far.add(far, now_s))

    def take(self, use_of: Callable[[str], Use], now_s: float) -> tuple[list[str], bytes]:
        """Give what is to be told now.

        Parameters
        ----------
        use_of
            Gives what others have at an engine now.

        Returns
        -------
        tuple
            Addresses of engines that the watcher has no number for yet, and the packed uses.
        """
        told = self._near.take(now_s) | self._far.take(now_s)
        uses = {self._number(address): use_of(address) for address in sorted(told)}
        fresh, self._told = self._addresses[self._told :], len(self._addresses)
        return fresh, pack_uses(uses)

    def _number(self, address: str) -> int:
        number = self._numbers.get(address)
        if number is None:
            number = self._numbers[address] = len(self._addresses)
            self._addresses.append(address)
        return number


__all__ = ["FAR_BYTES_PER_S", "GATHER_S", "NEAR_BYTES_PER_S", "USE_BYTES", "UseNews"]
