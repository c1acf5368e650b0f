"""When an engine changes its weights: in two parts, so that the others carry the work.

Every stager decides for itself by what engines report of themselves; where two see different
reports, one engine more changes at the same time, which costs little.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence


class EngineStanding:
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

    __slots__ = ("address", "complete", "done", "switching")

    def __init__(self, *, address: str, complete: bool, switching: bool, done: bool) -> None:
        self.address = address
        self.complete = complete
        self.switching = switching
        self.done = done


def turn_of(host: str, number: int) -> int:
    """Give the place of a VM in the order in which engines change to a version.

    Parameters
    ----------
    host
        Address of the VM; a port behind it is ignored, so that every listener there counts alike.
    """
    return zlib.crc32(f"{number}/{host.partition(':')[0]}".encode())


def may_switch(
    own: str, number: int, standings: Sequence[EngineStanding], *, announced: bool
) -> bool:
    """Tell whether it is the turn of our own engine.

    Half of the engines change first, and the others once these are back: the weights come so late
    before the bound that there is no time for smaller parts.

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
    """
    own_turn = turn_of(own, number)
    done = sum(1 for standing in standings if standing.done)
    ahead = 0
    for standing in standings:
        if standing.address == own or standing.done:
            continue
        before_us = turn_of(standing.address, number) < own_turn
        if standing.switching:
            ahead += 1 if before_us or not announced else 0
        elif standing.complete and not announced:
            ahead += 1 if before_us else 0
    return ahead < max(1, len(standings) // 2, done)


__all__ = ["EngineStanding", "may_switch", "turn_of"]
