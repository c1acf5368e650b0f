"""What became of the callers of one run."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from leadhollow.experiment.callers import Caller
from leadhollow.experiment.scenario import MS_PER_S

SIZE_FLOOR = 0.3  # of its kind's worth that every request has; the rest goes by its size
REFUSED_AGAIN_COST = 0.3  # of the worth of a caller that came back in vain


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Shares of the worth that was asked for.

    Parameters
    ----------
    worth
        What callers got less what returning in vain cost them.
    by_kind, by_domain
        What callers got, without that cost.
    on_time, late, refused
        Parts of the requests.
    repeats, sent_in_rest
        Sends to one more engine, and to engines that had asked for rest, for each request.
    """

    worth: float
    by_kind: dict[str, float]
    by_domain: dict[str, float]
    on_time: float
    late: float
    refused: float
    repeats: float
    sent_in_rest: float


def summarise(callers: Iterable[Caller]) -> Outcome:
    """Sum up a run."""
    found = list(callers)
    owed = [size_weight(caller) * caller.kind.worth for caller in found]
    got = [size_weight(caller) * _earned(caller) for caller in found]
    in_vain = sum(
        REFUSED_AGAIN_COST * worth
        for caller, worth in zip(found, owed, strict=True)
        if caller.retry_refused
    )
    total = sum(owed) or 1.0
    on_time = sum(1 for caller in found if _on_time(caller))
    served = sum(1 for caller in found if caller.latency_s is not None)
    return Outcome(
        worth=(sum(got) - in_vain) / total,
        by_kind=_shares([caller.kind.name for caller in found], got, owed),
        by_domain=_shares([caller.domain for caller in found], got, owed),
        on_time=on_time / max(1, len(found)),
        late=(served - on_time) / max(1, len(found)),
        refused=(len(found) - served) / max(1, len(found)),
        repeats=sum(caller.resends for caller in found) / max(1, len(found)),
        sent_in_rest=sum(caller.sent_in_backoff for caller in found) / max(1, len(found)),
    )


def worth_share(callers: Iterable[Caller]) -> float:
    """Give the part of their worth that callers got, without the cost of coming back in vain."""
    found = list(callers)
    owed = sum(size_weight(caller) * caller.kind.worth for caller in found)
    return sum(size_weight(caller) * _earned(caller) for caller in found) / (owed or 1.0)


def size_weight(caller: Caller) -> float:
    """Give how much a request counts by its size, as a part of its kind's worth."""
    size = caller.prompt_tokens / caller.kind.prompt_tokens
    return min(4.0, SIZE_FLOOR + (1 - SIZE_FLOOR) * size)


def _on_time(caller: Caller) -> bool:
    return caller.latency_s is not None and caller.latency_s <= caller.kind.objective_ms / MS_PER_S


def _earned(caller: Caller) -> float:
    if caller.latency_s is None:
        return 0.0
    return caller.kind.worth if _on_time(caller) else caller.kind.late_worth


def _shares(names: list[str], got: list[float], owed: list[float]) -> dict[str, float]:
    sums: dict[str, list[float]] = {}
    for name, part, whole in zip(names, got, owed, strict=True):
        found = sums.setdefault(name, [0.0, 0.0])
        found[0] += part
        found[1] += whole
    return {name: part / whole for name, (part, whole) in sorted(sums.items())}


__all__ = ["Outcome", "summarise", "size_weight", "worth_share"]
