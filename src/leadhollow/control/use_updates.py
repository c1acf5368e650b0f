"""Pending updates of engine use for one subscriber, with separate rate limits by failure domain.

An entry sends most of its requests to engines of its own failure domain. The older its view of
these engines, the more entries choose the same one. The number of engines in a domain does not grow
with the fleet, so their updates are sent promptly at any fleet size. Updates of all other engines
share a lower rate.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable

from leadhollow.kernel.timers import TIMER_RESOLUTION_S
from leadhollow.membership.packed_uses import pack_uses
from leadhollow.membership.uses import Use

USE_BYTES = 3.0  # packed size of one engine's use
BATCH_WINDOW_S = 0.02
"""Changes within it are sent together; the view of an entry is on average half as old."""

LOCAL_DOMAIN_BYTES_PER_S = 1_500.0
REMOTE_DOMAINS_BYTES_PER_S = 700.0
"""The two rates take about half of the 4,000 B/s that control may send to a daemon.

The 20 engines of a domain are updated every 40 ms, 80 engines of other domains every 0.34 s."""


class _RateLimitedQueue:
    """Engines with pending updates, sent no faster than a rate.

    Parameters
    ----------
    bytes_per_s
        Rate of packed uses.
    """

    __slots__ = ("_bytes_per_s", "_due_s", "_next_send_s", "_pending")

    def __init__(self, *, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._pending: set[str] = set()
        self._next_send_s = 0.0  # when the rate allows the next update
        self._due_s = math.inf

    @property
    def due_s(self) -> float:
        """Time at which the pending updates are due; infinite if there are none."""
        return self._due_s

    def add(self, addresses: Iterable[str], now_s: float) -> float:
        """Add engines whose use changed; return the time at which they are due."""
        self._pending.update(addresses)
        if self._pending and self._due_s == math.inf:
            self._due_s = max(now_s + BATCH_WINDOW_S, self._next_send_s)
        return self._due_s

    def take(self, now_s: float) -> set[str]:
        """Remove and return the pending engines if the rate allows an update now."""
        if now_s < self._next_send_s - TIMER_RESOLUTION_S:
            return set()
        taken, self._pending = self._pending, set()
        self._next_send_s = now_s + len(taken) * USE_BYTES / self._bytes_per_s
        self._due_s = math.inf
        return taken


class UseUpdateQueue:
    """Pending updates of engine use for one subscriber."""

    __slots__ = ("_addresses", "_announced", "_local", "_numbers", "_remote")

    def __init__(self) -> None:
        self._local = _RateLimitedQueue(bytes_per_s=LOCAL_DOMAIN_BYTES_PER_S)
        self._remote = _RateLimitedQueue(bytes_per_s=REMOTE_DOMAINS_BYTES_PER_S)
        self._addresses: list[str] = []  # indexed by the number of the engine on this feed
        self._numbers: dict[str, int] = {}
        self._announced = 0  # count of addresses that the subscriber has

    @property
    def due_s(self) -> float:
        """Time at which an update is due; infinite if nothing is pending."""
        return min(self._local.due_s, self._remote.due_s)

    def add(self, local: Iterable[str], remote: Iterable[str], now_s: float) -> float:
        """Add engines whose use changed; return the time at which the first of them are due."""
        return min(self._local.add(local, now_s), self._remote.add(remote, now_s))

    def take(self, use_of: Callable[[str], Use], now_s: float) -> tuple[list[str], bytes]:
        """Remove the updates that are due now and encode them.

        Parameters
        ----------
        use_of
            Returns the current use of an engine by other entries.

        Returns
        -------
        tuple
            Addresses of engines that are new on this feed, in the order of their numbers, and the
            packed uses.
        """
        taken = self._local.take(now_s) | self._remote.take(now_s)
        uses = {self._number(address): use_of(address) for address in sorted(taken)}
        new_addresses, self._announced = self._addresses[self._announced :], len(self._addresses)
        return new_addresses, pack_uses(uses)

    def _number(self, address: str) -> int:
        number = self._numbers.get(address)
        if number is None:
            number = self._numbers[address] = len(self._addresses)
            self._addresses.append(address)
        return number


__all__ = [
    "BATCH_WINDOW_S",
    "LOCAL_DOMAIN_BYTES_PER_S",
    "REMOTE_DOMAINS_BYTES_PER_S",
    "USE_BYTES",
    "UseUpdateQueue",
]
