"""Callers of one run, drawn from a seed before the run begins.

The callers of a seed are the same under every policy.
"""

from __future__ import annotations

import math
import random

from leadhollow.experiment.scenario import RequestKind, Scenario


class Caller:
    """One request of a caller and its retry.

    Attributes
    ----------
    latency_s
        Time from the first attempt to the first event of the response; None without a response.
    resends
        Number of times that the request was sent to another engine.
    sent_in_backoff
        Number of times that it was sent to an engine that had asked its entry to back off.
    """

    __slots__ = (
        "arrival_s",
        "attempts",
        "domain",
        "done",
        "events",
        "kind",
        "latency_s",
        "prompt_tokens",
        "resends",
        "retry_refused",
        "sent_in_backoff",
    )

    def __init__(
        self, *, kind: RequestKind, domain: str, arrival_s: float, prompt_tokens: int, events: int
    ) -> None:
        self.kind = kind
        self.domain = domain
        self.arrival_s = arrival_s
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.attempts = 0
        self.latency_s: float | None = None
        self.done = False
        self.retry_refused = False
        self.resends = 0
        self.sent_in_backoff = 0


def draw_callers(scenario: Scenario, seed: int) -> list[Caller]:
    """Draw arrival times, failure domains and sizes, independent of the policy under test."""
    rng = random.Random(f"callers {seed}")
    loads = [change for change in scenario.changes if change.load is not None]
    max_load = max([1.0, *(change.load or 0.0 for change in loads)])
    domains = [domain.name for domain in scenario.domains]
    shares = [domain.share for domain in scenario.domains]
    callers = []
    for kind in scenario.kinds:
        now_s = 0.0
        while kind.per_s > 0:
            now_s += rng.expovariate(kind.per_s * max_load)
            if now_s >= scenario.length_s:
                break
            load = 1.0
            for change in loads:
                if change.at_s <= now_s:
                    load = change.load or 0.0
            caller = Caller(
                kind=kind,
                domain=rng.choices(domains, weights=shares)[0],
                arrival_s=now_s,
                prompt_tokens=_draw_size(rng, kind.prompt_tokens, kind.spread),
                events=_draw_size(rng, kind.answer_events, kind.spread),
            )
            if rng.random() < load / max_load:
                callers.append(caller)
    return callers


def _draw_size(rng: random.Random, mean: float, spread: float) -> int:
    """Draw a log-normal size, limited to three times the mean."""
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, round(min(drawn, 3 * mean)))


__all__ = ["Caller", "draw_callers"]
