"""Addresses of control replicas that others tell of, voters or not.

Every replica knows the voters and the seeds, but only the leader hears of replicas without a vote.
What replicas tell each other has to reach those as well, since entries follow them. A replica is
known while it is heard, or while one that hears it says so.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

HEARD_VALID_S = 3.0  # replicas tell something each second
TOLD_VALID_S = 3.0


class ReplicaDirectory:
    """Replicas as one of them hears of the others.

    Parameters
    ----------
    clock
        Gives the time, suspensions included.
    """

    __slots__ = ("_clock", "_heard_s", "_told_s")

    def __init__(self, *, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._heard_s: dict[str, float] = {}
        self._told_s: dict[str, float] = {}

    def record(self, address: str, told: Iterable[str]) -> None:
        """Note a replica that was heard, and those that it hears itself."""
        now_s = self._clock()
        self._heard_s[address] = now_s
        self._told_s.update(dict.fromkeys(told, now_s))

    def heard_directly(self) -> list[str]:
        """Give the replicas that were heard lately; only these are told of to others."""
        return _recent(self._heard_s, self._clock() - HEARD_VALID_S)

    def addresses(self) -> list[str]:
        """Give all that were heard or told of lately."""
        told = _recent(self._told_s, self._clock() - TOLD_VALID_S)
        return list(dict.fromkeys([*self.heard_directly(), *told]))


def _recent(times: dict[str, float], oldest_s: float) -> list[str]:
    """Give the addresses that are recent enough, and forget the others."""
    for address in [address for address, at_s in times.items() if at_s < oldest_s]:
        del times[address]
    return list(times)


__all__ = ["HEARD_VALID_S", "TOLD_VALID_S", "ReplicaDirectory"]
