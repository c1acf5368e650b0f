"""Decides whether an engine takes a request now. Otherwise the request waits or is refused."""

from __future__ import annotations

from leadhollow.decide.engine_choice import EngineOption
from leadhollow.decide.engine_request import QueuePriority

MAX_LATE_QUEUE = 2  # requests above its batch size that an engine gets instead of losing them
RESERVED_SLOTS = 2  # batch slots of an engine that are kept for new requests
LOW_PRESSURE = 0.25
"""Pressure below which an engine that is not idle still takes a late request. New requests are
hardly ever refused at this level, so the late request displaces none of them."""

IDLE_SHARE = 0.5  # of its slots; an engine with more free slots takes a late request
LATE_TOLERANCE_S = 0.05
"""A request that is predicted to be late by this much is occasionally still on time."""

CONFIDENCE_MARGIN_S = 0.08
"""A request that is predicted this long before its objective is on time in four of five cases."""


def accepts(
    priority: QueuePriority,
    option: EngineOption,
    margin_s: float,
    *,
    pressure: float,
    last_chance: bool,
) -> bool:
    """Tell whether an engine takes a request now.

    Parameters
    ----------
    margin_s
        Time between the predicted first event and the objective of the request.
    pressure
        Pressure on the engines. While requests have to be refused, no request is accepted that
        may be late.
    last_chance
        Whether the request is refused if the engine does not take it now.
    """
    slots = option.server.instance.slots
    free = slots - option.load.requests
    on_time = margin_s >= 0
    idle = free > IDLE_SHARE * slots
    match priority:
        case QueuePriority.RESUMED:
            return on_time or free > -MAX_LATE_QUEUE
        case QueuePriority.NEW:
            return on_time or (
                last_chance and (idle or margin_s > -LATE_TOLERANCE_S * (1 - pressure))
            )
        case QueuePriority.CAME_BACK:
            spare = idle or (free > RESERVED_SLOTS and pressure < LOW_PRESSURE)
            return (on_time and free > RESERVED_SLOTS) or (last_chance and spare)


__all__ = ["CONFIDENCE_MARGIN_S", "LOW_PRESSURE", "accepts"]
