"""Builds the engine request that the queue places for the next attempt of a stream."""

from __future__ import annotations

from leadhollow.decide.engine_queue import DECISION_DEADLINE_SHARE
from leadhollow.decide.engine_request import HOLD_SHARE, EngineRequest, QueuePriority
from leadhollow.decide.pressure import MAX_URGENCY
from leadhollow.forward.call import ForwardedCall
from leadhollow.routing.model import Route, ServiceRecord

RESUME_WAIT_S = 0.3  # how long an interrupted stream may wait for an engine

CALLER_GAP_S = 2.0
CALLER_GAP_OBJECTIVES = 4
CALLER_GAP_PAUSES = 8
"""A caller gives up a stream after the longest of these times without an event: ``CALLER_GAP_S``,
and multiples of its route's objective and of the pause that the route calls on time."""

MIN_RESUME_S = 0.2  # an engine can hardly deliver the next event in less time


def make_engine_request(
    call: ForwardedCall,
    service: ServiceRecord,
    *,
    now_s: float,
    is_caller_retry: bool,
    last_event_s: float | None,
    excluded: set[str],
    lost_domains: set[str],
) -> EngineRequest:
    """Build the engine request for the next attempt of a stream.

    Parameters
    ----------
    is_caller_retry
        Whether the caller retries a request that was refused before.
    last_event_s
        Loop time at which the caller got its last event; None if it has got none.
    excluded
        Names of instances that must not be tried again.
    lost_domains
        Failure domains in which an engine broke off the stream.
    """
    objective_s = call.route.objective_ms / 1000
    if call.sends:
        standing = QueuePriority.RESUMED
        decide_s = now_s + RESUME_WAIT_S
    else:
        standing = QueuePriority.CAME_BACK if is_caller_retry else QueuePriority.NEW
        decide_s = call.received_s + objective_s * DECISION_DEADLINE_SHARE
    decide_s = min(decide_s, call.deadline_s)
    hold_s = decide_s
    if standing is QueuePriority.CAME_BACK:
        hold_s += HOLD_SHARE * (call.deadline_s - decide_s)
    if last_event_s is not None:
        caller_leaves_s = min(call.deadline_s, last_event_s + _caller_gap_s(call.route))
        hold_s = max(decide_s, caller_leaves_s - MIN_RESUME_S)
    return EngineRequest(
        service=service,
        model=call.metadata.model,
        prompt_tokens=call.metadata.prompt_tokens,
        output_tokens=_expected_output_tokens(call),
        objective_s=objective_s,
        on_time_until_s=call.objective_s if last_event_s is None else now_s + objective_s,
        decide_by_s=decide_s,
        hold_until_s=hold_s,
        queue_priority=standing,
        organisation="" if call.organisation is None else call.organisation.name,
        request_id=call.request_id,
        excluded=excluded,
        last_attempt=call.attempts + 1 >= call.route.attempts,
        rank=call.rank,
        urgency=min(call.urgency, MAX_URGENCY),
        urgencies=len(call.ranks),
        lost_domains=lost_domains,
        regions=call.regions,
    )


def _caller_gap_s(route: Route) -> float:
    """Return the time without an event after which callers of a route give up."""
    return max(
        CALLER_GAP_S,
        CALLER_GAP_OBJECTIVES * route.objective_ms / 1000,
        CALLER_GAP_PAUSES * route.pause_objective_ms / 1000,
    )


def _expected_output_tokens(call: ForwardedCall) -> float:
    if call.metadata.output_hint_tokens is not None:
        return min(call.metadata.output_hint_tokens, float(call.metadata.output_tokens))
    return float(call.metadata.output_tokens)


__all__ = ["make_engine_request"]
