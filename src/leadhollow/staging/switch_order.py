"""When an engine changes its weights: in as many parts as there is time for.

The engines that stay carry the work of those that change, so the smaller a part is, the fewer
requests are late for it. Every stager decides for itself by what engines report of themselves;
where two see different reports, one engine more changes at the same time, which costs little.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

SWITCH_DURATION_S = 1.3
"""From the notice that an engine is about to change until entries know that it is back."""


class SwitchState:
    """How far an engine is with a version.

    Parameters
    ----------
    complete
        Whether all pieces lie beside it.
    switching
        Whether it is changing its weights now.
    done
        Whether it runs the version.
    """

    __slots__ = ("address", "complete", "done", "failure_domain", "switching")

    def __init__(
        self,
        *,
        address: str,
        failure_domain: str,
        complete: bool,
        switching: bool,
        done: bool,
    ) -> None:
        self.address = address
        self.failure_domain = failure_domain
        self.complete = complete
        self.switching = switching
        self.done = done


def switch_rank(host: str, number: int) -> int:
    """Give the place of a VM in the order in which engines change to a version.

    Parameters
    ----------
    host
        Address of the VM; a port behind it is ignored, so that every listener there counts alike.
    """
    return zlib.crc32(f"{number}/{host.partition(':')[0]}".encode())


def may_switch(
    own: str,
    number: int,
    engines: Sequence[SwitchState],
    *,
    announced: bool,
    left_s: float = 0.0,
) -> bool:
    """Tell whether it is the turn of our own engine.

    Parameters
    ----------
    own
        Address of our own engine, which is complete and has not changed.
    number
        The version; it decides the order.
    standings
        All engines of the service, ours included.
    announced
        Whether we have told the others already that our engine changes. Of several that did so at
        the same time, those that come first in the order go on.
    left_s
        Time until requests may not go to an engine any more that has not changed.
    """
    places = _places(number, engines)
    ahead = 0
    for standing in engines:
        if standing.address == own or standing.done:
            continue
        before_us = places[standing.address] < places[own]
        if standing.switching:
            ahead += 1 if before_us or not announced else 0
        elif standing.complete and not announced:
            ahead += 1 if before_us else 0
    done = sum(1 for standing in engines if standing.done)
    return ahead < batch_size(len(engines), done, left_s)


def batch_size(engine_count: int, done_count: int, left_s: float) -> int:
    """Give how many engines may change at a time.

    Half of them, and more once more have changed, where there is no time for smaller parts.
    """
    most = max(1, engine_count // 2, done_count)
    parts = int(min(left_s / SWITCH_DURATION_S, engine_count))
    return max(1, min(most, -(-(engine_count - done_count) // parts))) if parts > 1 else most


def _places(number: int, standings: Sequence[SwitchState]) -> dict[str, tuple[int, int]]:
    """Give the order in which engines change: one of each failure domain after the other.

    Any part of them then takes as much from one domain as from another.
    """
    places: dict[str, tuple[int, int]] = {}
    inside: dict[str, int] = {}
    for standing in sorted(standings, key=lambda found: switch_rank(found.address, number)):
        place = inside[standing.failure_domain] = inside.get(standing.failure_domain, 0) + 1
        places[standing.address] = place, switch_rank(standing.address, number)
    return places


__all__ = ["CHANGE_S", "EngineStanding", "may_switch", "part_size", "turn_of"]
