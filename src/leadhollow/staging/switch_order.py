"""Decides when an engine switches to a new version of its weights.

The engines of a service switch in as many batches as time allows. The remaining engines carry
the load of those that switch, so smaller batches make fewer requests late. Each stager decides for
itself from what the engines report of themselves. If two stagers see different reports, one more
engine switches at the same time, which costs little.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence

SWITCH_DURATION_S = 1.3
"""Time from the notice of an engine's switch until entries know that it serves again."""


class SwitchState:
    """How far an engine is with the switch to a version.

    Parameters
    ----------
    complete
        Whether all pieces are staged beside it.
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
    """Return a hash that orders the VMs whose engines switch to a version.

    Parameters
    ----------
    host
        Address of the VM. A port is ignored, so all listeners of a VM have the same rank.
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
    """Return whether this stager's engine may switch now.

    Parameters
    ----------
    own
        Address of this stager's engine, which is complete and has not switched.
    number
        The version; it determines the order.
    engines
        All engines of the service, this stager's included.
    announced
        Whether the other stagers have been told that this engine switches. If several announced it
        at the same time, the first ones in the order go on.
    left_s
        Time until requests may no longer go to an engine that has not switched.
    """
    positions = _positions(number, engines)
    ahead = 0
    for engine in engines:
        if engine.address == own or engine.done:
            continue
        is_before_own = positions[engine.address] < positions[own]
        if engine.switching:
            ahead += 1 if is_before_own or not announced else 0
        elif engine.complete and not announced:
            ahead += 1 if is_before_own else 0
    done_count = sum(1 for engine in engines if engine.done)
    return ahead < batch_size(len(engines), done_count, left_s)


def batch_size(engine_count: int, done_count: int, left_s: float) -> int:
    """Return how many engines may switch at the same time.

    If there is no time for smaller batches, half of the engines may, and more once more than half
    have switched.
    """
    most = max(1, engine_count // 2, done_count)
    batches = int(min(left_s / SWITCH_DURATION_S, engine_count))
    return max(1, min(most, -(-(engine_count - done_count) // batches))) if batches > 1 else most


def _positions(number: int, engines: Sequence[SwitchState]) -> dict[str, tuple[int, int]]:
    """Return the position of each engine in the order, which alternates between failure domains.

    Any batch then takes about the same number of engines from each failure domain.
    """
    positions: dict[str, tuple[int, int]] = {}
    domain_counts: dict[str, int] = {}
    for engine in sorted(engines, key=lambda each: switch_rank(each.address, number)):
        position = domain_counts[engine.failure_domain] = (
            domain_counts.get(engine.failure_domain, 0) + 1
        )
        positions[engine.address] = position, switch_rank(engine.address, number)
    return positions


__all__ = ["SWITCH_DURATION_S", "SwitchState", "batch_size", "may_switch", "switch_rank"]
