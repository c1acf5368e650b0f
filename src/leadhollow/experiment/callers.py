"""Callers of one run, drawn before it begins: the same under every policy."""

from __future__ import annotations

import math
import random

from leadhollow.experiment.scenario import RequestKind, Scenario


class Caller:
    """One request of a caller, with its later attempt.

    Attributes
    ----------
    outcome_s
        Time from its first attempt to the first event; None while there is none.
    repeats
        Times that it was sent to one more engine.
    sent_in_rest
        Times that it was sent to an engine that had asked its entry for rest.
    """

    __slots__ = (
        "attempts",
        "domain",
        "done",
        "events",
        "arrival_s",
        "kind",
        "latency_s",
        "prompt_tokens",
        "retry_refused",
        "resends",
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
    """Draw who comes when; independent of what becomes of them."""
    source = random.Random(f"callers {seed}")
    loads = [change for change in scenario.changes if change.load is not None]
    most = max([1.0, *(change.load or 0.0 for change in loads)])
    domains = [domain.name for domain in scenario.domains]
    shares = [domain.share for domain in scenario.domains]
    found = []
    for kind in scenario.kinds:
        now_s = 0.0
        while kind.per_s > 0:
            now_s += source.expovariate(kind.per_s * most)
            if now_s >= scenario.length_s:
                break
            load = 1.0
            for change in loads:
                if change.at_s <= now_s:
                    load = change.load or 0.0
            caller = Caller(
                kind=kind,
                domain=source.choices(domains, weights=shares)[0],
                arrival_s=now_s,
                prompt_tokens=_size(source, kind.prompt_tokens, kind.spread),
                events=_size(source, kind.answer_events, kind.spread),
            )
            if source.random() < load / most:
                found.append(caller)
    return found


def _size(source: random.Random, mean: float, spread: float) -> int:
    """Draw a size, at most three times the mean."""
    drawn = source.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return max(1, round(min(drawn, 3 * mean)))


__all__ = ["Caller", "draw_callers"]
