"""Which requests go first when room at the engines is short.

Resumed streams go first, since work was done for them already. Then the order is by urgency, which
the route table gives to routes and organisations, and then new requests go before those that were
refused before. Entries agree on it without asking each other: all of them hear what the others
refused of each urgency, and a less urgent request must be predicted to be on time with more
certainty while requests of its service are refused.
"""

from __future__ import annotations

from leadhollow.decide.engine_request import EngineRequest, QueuePriority
from leadhollow.decide.pressure import Pressure

YIELD_MARGIN_S = 0.36
"""Additional time that a less urgent request must be predicted before its objective under full
pressure, multiplied by the square of the share of the room that more urgent requests ask for.

Entries see each other's requests some tens of milliseconds late; within the margin the engines that
are left over still serve more urgent requests on time. A few urgent requests find one anyway, and a
margin that is larger than they need leaves engines idle."""

MIN_SERVED_SHARE = 0.3
"""Share of the mean served share below which requests no longer give way to more urgent ones. They
are served a quarter of the mean at least; the rest allows for the time until refusals are known."""


TELL_PRESSURE = 0.05
"""Pressure from which engines are told which requests are more urgent. Below it, new requests are
hardly ever refused, and an engine that let some overtake would make the others late for nothing."""


def engine_priority(pressure: Pressure, urgencies: int, urgency: int, now_s: float) -> int | None:
    """Return the priority that an engine is told, 0 first; None if there is only one urgency.

    While there is room, all requests of a service are told to be the most urgent, and not none of
    them: entries learn at different moments that room has become short.
    """
    if urgencies <= 1:
        return None
    return urgency if pressure.level(now_s) >= TELL_PRESSURE else 0


def order(request: EngineRequest) -> tuple[bool, int, QueuePriority]:
    """Return a sort key: requests with a lower one go first."""
    return (
        request.queue_priority is not QueuePriority.RESUMED,
        request.urgency,
        request.queue_priority,
    )


def yields(pressure: Pressure, urgency: int, now_s: float) -> bool:
    """Tell whether requests of an urgency give way to more urgent ones at present."""
    floor = MIN_SERVED_SHARE * pressure.served_share(now_s)
    return urgency > 0 and pressure.served_share(now_s, urgency) > floor


def yield_margin_s(pressure: Pressure, urgency: int, now_s: float, *, level: float) -> float:
    """Return the additional margin of a request that gives way to more urgent ones.

    Parameters
    ----------
    level
        Pressure that admission of the request goes by.
    """
    if not yields(pressure, urgency, now_s):
        return 0.0
    return level * YIELD_MARGIN_S * pressure.more_urgent_share(now_s, urgency) ** 2


__all__ = [
    "MIN_SERVED_SHARE",
    "YIELD_MARGIN_S",
    "engine_priority",
    "order",
    "yield_margin_s",
    "yields",
]
