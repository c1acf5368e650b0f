"""Addresses of control replicas, learned from their messages, whether they vote or not.

Every replica knows the voters and the seeds, but only the leader knows the replicas without a vote.
Soft state must reach these too, because entries follow them. A replica is known while it sends
messages to this one, or to another one that reports it.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

DIRECT_VALID_S = 3.0  # replicas send a message every second
INDIRECT_VALID_S = 3.0


class ReplicaDirectory:
    """Other replicas that one replica knows from messages.

    Parameters
    ----------
    clock
        Returns the time, suspensions included.
    """

    __slots__ = ("_clock", "_direct_s", "_indirect_s")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._direct_s: dict[str, float] = {}
        self._indirect_s: dict[str, float] = {}

    def record(self, address: str, reported: Iterable[str]) -> None:
        """Record a replica that sent a message, and the replicas that it reports."""
        now_s = self._clock()
        self._direct_s[address] = now_s
        self._indirect_s.update(dict.fromkeys(reported, now_s))

    def heard_directly(self) -> list[str]:
        """Return the replicas that sent messages lately; only these are reported to others."""
        return _recent(self._direct_s, self._clock() - DIRECT_VALID_S)

    def addresses(self) -> list[str]:
        """Return all replicas that sent messages or were reported lately."""
        reported = _recent(self._indirect_s, self._clock() - INDIRECT_VALID_S)
        return list(dict.fromkeys([*self.heard_directly(), *reported]))


def _recent(times: dict[str, float], oldest_s: float) -> list[str]:
    """Return the addresses that are recent enough and remove the others."""
    for address in [address for address, at_s in times.items() if at_s < oldest_s]:
        del times[address]
    return list(times)


__all__ = ["DIRECT_VALID_S", "INDIRECT_VALID_S", "ReplicaDirectory"]
