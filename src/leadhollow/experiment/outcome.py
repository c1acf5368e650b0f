"""Results of a run, computed from its callers."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leadhollow.experiment.callers import Caller
from leadhollow.experiment.scenario import MS_PER_S

MIN_SIZE_WEIGHT = 0.3  # weight of an empty prompt; the rest is proportional to size
RETRY_REFUSED_COST = 0.3  # share of its worth that a refused retry costs


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Results as shares of the worth of all requests.

    Parameters
    ----------
    worth
        Worth that callers received less the cost of refused retries.
    by_kind, by_domain
        Worth that callers received, without that cost.
    on_time_by_kind
        Shares of the requests of each kind.
    on_time, late, refused
        Shares of the requests.
    repeats, sent_in_rest
        Resends to another engine, and sends to engines during a back-off, per request.
    """

    worth: float
    by_kind: dict[str, float]
    by_domain: dict[str, float]
    on_time_by_kind: dict[str, float]
    on_time: float
    late: float
    refused: float
    repeats: float
    sent_in_rest: float


def summarise(callers: Iterable[Caller]) -> Outcome:
    """Compute the outcome of a run."""
    requests = list(callers)
    max_worth = [size_weight(caller) * caller.kind.worth for caller in requests]
    earned = [size_weight(caller) * _earned_worth(caller) for caller in requests]
    retry_cost = sum(
        RETRY_REFUSED_COST * worth
        for caller, worth in zip(requests, max_worth, strict=True)
        if caller.retry_refused
    )
    total = sum(max_worth) or 1.0
    on_time = sum(1 for caller in requests if _on_time(caller))
    served = sum(1 for caller in requests if caller.latency_s is not None)
    return Outcome(
        worth=(sum(earned) - retry_cost) / total,
        by_kind=_shares([caller.kind.name for caller in requests], earned, max_worth),
        by_domain=_shares([caller.domain for caller in requests], earned, max_worth),
        on_time_by_kind=_shares(
            [caller.kind.name for caller in requests],
            [float(_on_time(caller)) for caller in requests],
            [1.0] * len(requests),
        ),
        on_time=on_time / max(1, len(requests)),
        late=(served - on_time) / max(1, len(requests)),
        refused=(len(requests) - served) / max(1, len(requests)),
        repeats=sum(caller.resends for caller in requests) / max(1, len(requests)),
        sent_in_rest=sum(caller.sent_in_backoff for caller in requests) / max(1, len(requests)),
    )


def worth_share(callers: Iterable[Caller]) -> float:
    """Return the share of their worth that callers received, before the cost of retries."""
    requests = list(callers)
    max_worth = sum(size_weight(caller) * caller.kind.worth for caller in requests)
    return sum(size_weight(caller) * _earned_worth(caller) for caller in requests) / (
        max_worth or 1.0
    )


def size_weight(caller: Caller) -> float:
    """Return the weight of a request by prompt size, as a factor on the worth of its kind."""
    size = caller.prompt_tokens / caller.kind.prompt_tokens
    return min(4.0, MIN_SIZE_WEIGHT + (1 - MIN_SIZE_WEIGHT) * size)


def _on_time(caller: Caller) -> bool:
    return caller.latency_s is not None and caller.latency_s <= caller.kind.objective_ms / MS_PER_S


def _earned_worth(caller: Caller) -> float:
    if caller.latency_s is None:
        return 0.0
    return caller.kind.worth if _on_time(caller) else caller.kind.late_worth


def _shares(names: list[str], earned: list[float], max_worth: list[float]) -> dict[str, float]:
    sums: dict[str, list[float]] = {}
    for name, earned_worth, available_worth in zip(names, earned, max_worth, strict=True):
        totals = sums.setdefault(name, [0.0, 0.0])
        totals[0] += earned_worth
        totals[1] += available_worth
    return {
        name: earned_worth / available_worth
        for name, (earned_worth, available_worth) in sorted(sums.items())
    }


__all__ = ["Outcome", "size_weight", "summarise", "worth_share"]
