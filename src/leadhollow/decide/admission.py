"""Whether an engine takes a request now, or it waits or is refused."""

from __future__ import annotations

from leadhollow.decide.engine_choice import EngineOption
from leadhollow.decide.engine_request import QueuePriority

LATE_QUEUE = 2  # requests beyond its batch that an engine gets rather than that they are lost
KEPT_FREE = 2  # places of its batch that an engine keeps for new requests
CALM = 0.25
"""Pressure below which an engine takes a request that will be late though it is not idle: of new
requests hardly one is refused, so none is refused for it."""

IDLE_SHARE = 0.5  # of its places; an engine with so many free takes a request that will be late
LATE_TOLERANCE_S = 0.05
"""A request predicted this much too late still comes in time now and then."""

SURE_MARGIN_S = 0.08
"""Predicted this much before its objective a request is on time in four cases of five."""


def takes(
    standing: QueuePriority,
    option: EngineOption,
    margin_s: float,
    *,
    level: float,
    last_moment: bool,
) -> bool:
    """Tell whether an engine takes a request now.

    Parameters
    ----------
    margin_s
        Time between its first event, as predicted, and its objective.
    level
        Pressure on the engines; where somebody has to be refused, nobody is taken that may be late.
    last_moment
        Whether it is refused otherwise.
    """
    slots = option.server.instance.slots
    free = slots - option.demand.requests
    on_time = margin_s >= 0
    idle = free > IDLE_SHARE * slots
    match standing:
        case QueuePriority.RESUMED:
            return on_time or free > -LATE_QUEUE
        case QueuePriority.NEW:
            return on_time or (last_moment and (idle or margin_s > -LATE_TOLERANCE_S * (1 - level)))
        case QueuePriority.CAME_BACK:
            spare = idle or (free > KEPT_FREE and level < CALM)
            return (on_time and free > KEPT_FREE) or (last_moment and spare)


__all__ = ["CALM", "SURE_MARGIN_S", "takes"]
