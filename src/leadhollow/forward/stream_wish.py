"""What a stream asks of an engine, by what is known of its call."""

from __future__ import annotations

from leadhollow.decide.engine_queue import DECIDE_SHARE
from leadhollow.decide.wish import HOLD_SHARE, EngineWish, Standing
from leadhollow.forward.call import ForwardedCall
from leadhollow.routing.model import ServiceRecord

RESUME_WAIT_S = 0.3  # how long a broken stream may look for an engine without being late for it


def stream_wish(
    call: ForwardedCall,
    service: ServiceRecord,
    *,
    now_s: float,
    came_back: bool,
    begun: bool,
    excluded: set[str],
) -> EngineWish:
    """Make the wish of a stream's next attempt.

    Parameters
    ----------
    came_back
        Whether its caller was refused before.
    begun
        Whether the caller has got the head of its answer.
    excluded
        Incarnations that must not be tried again.
    """
    objective_s = call.route.objective_ms / 1000
    if call.sends:
        standing = Standing.RESUMED
        decide_s = now_s + RESUME_WAIT_S
    else:
        standing = Standing.CAME_BACK if came_back else Standing.NEW
        decide_s = call.received_s + objective_s * DECIDE_SHARE
    decide_s = min(decide_s, call.deadline_s)
    hold_s = decide_s
    if standing is Standing.CAME_BACK:
        hold_s += HOLD_SHARE * (call.deadline_s - decide_s)
    return EngineWish(
        service=service,
        model=call.facts.model,
        prompt_tokens=call.facts.prompt_tokens,
        output_tokens=_expected_output(call),
        objective_s=objective_s,
        on_time_s=now_s + objective_s if begun else call.objective_s,
        decide_s=decide_s,
        hold_s=hold_s,
        standing=standing,
        organisation="" if call.organisation is None else call.organisation.name,
        request_id=call.request_id,
        excluded=excluded,
        last_attempt=call.attempts + 1 >= call.route.attempts,
        rank=call.rank,
    )


def _expected_output(call: ForwardedCall) -> float:
    if call.facts.output_hint_tokens is not None:
        return min(call.facts.output_hint_tokens, float(call.facts.output_tokens))
    return float(call.facts.output_tokens)


__all__ = ["stream_wish"]
