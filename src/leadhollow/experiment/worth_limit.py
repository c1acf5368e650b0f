"""An upper bound on what callers can get, whoever places their requests and whatever it knows.

Engine time is bought at a price in each second. Whatever the prices are, no placement gets more
than the engines' time is worth by them and what callers' requests are worth beyond what they cost;
the lowest such sum that is found is the bound. A request costs at least the time in which its
prompt is read, and for each token the share of a full batch. On time, it is read within its
objective, and written without a pause after that.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from leadhollow.decide.engine_latency import EngineLatencyModel
from leadhollow.experiment.callers import Caller
from leadhollow.experiment.outcome import size_weight
from leadhollow.experiment.scenario import MS_PER_S, Scenario

STEP_S = 1.0  # seconds of engine time that have one price
SWEEPS = 4
FACTORS = (0.0, 0.5, 0.8, 1.25, 2.0)  # by which a price is tried
FIRST_PRICES = 24  # prices that are tried for all seconds together


class _Offer:
    """What serving one caller brings and takes.

    Parameters
    ----------
    read, write
        Engine time of its prompt and of its answer, in seconds.
    first
        Second of its arrival.
    read_by, written_by, late_by
        Last seconds in which it is read and written on time, and either where it is late.
    """

    __slots__ = ("first", "late", "late_by", "on_time", "read", "read_by", "write", "written_by")

    def __init__(self, *, caller: Caller, scenario: Scenario, longest_pass_s: float) -> None:
        spec = scenario.engine
        model = EngineLatencyModel(spec=spec)
        tokens = caller.events * spec.stride_steps
        self.read = caller.prompt_tokens / spec.read_tokens_per_s
        self.write = model.request_ms(0, tokens) / MS_PER_S
        self.on_time = size_weight(caller) * caller.kind.worth
        self.late = size_weight(caller) * caller.kind.late_worth
        lasts_s = caller.events * longest_pass_s
        objective_s = caller.kind.objective_ms / MS_PER_S
        deadline_s = caller.kind.deadline_ms / MS_PER_S
        self.first = _step(caller.arrival_s)
        self.read_by = _step(caller.arrival_s + objective_s)
        self.written_by = _step(caller.arrival_s + objective_s + lasts_s)
        self.late_by = _step(caller.arrival_s + deadline_s + lasts_s)

    def gain(self, prices: list[float]) -> float:
        """Give what it is worth beyond what it costs, nothing where it is not served."""
        reading = min(prices[self.first : self.read_by + 1])
        writing = min(prices[self.first : self.written_by + 1])
        late = min(prices[self.first : self.late_by + 1])
        on_time = self.on_time - self.read * reading - self.write * writing
        return max(0.0, on_time, self.late - (self.read + self.write) * late)


def worth_bound(scenario: Scenario, callers: list[Caller]) -> float:
    """Give the part of what callers ask for that nobody can exceed."""
    if not callers:
        return 1.0
    longest_pass_s = _longest_pass_s(scenario)
    offers = [
        _Offer(caller=caller, scenario=scenario, longest_pass_s=longest_pass_s)
        for caller in callers
    ]
    steps = 1 + max(offer.late_by for offer in offers)
    engines_s = [_engines_s(scenario, step) for step in range(steps)]
    owed = sum(offer.on_time for offer in offers)
    found = _lowest(offers, engines_s)
    return min(1.0, found / owed)


def _lowest(offers: list[_Offer], engines_s: list[float]) -> float:
    """Try prices, first one for all seconds, then second by second."""
    steps = len(engines_s)

    def total(prices: list[float]) -> float:
        time_worth = sum(price * time for price, time in zip(prices, engines_s, strict=True))
        return time_worth + sum(offer.gain(prices) for offer in offers)

    dearest = max(offer.on_time / (offer.read + offer.write) for offer in offers)
    flat = [dearest * place / FIRST_PRICES for place in range(FIRST_PRICES)]
    best_price = min(flat, key=lambda price: total([price] * steps))
    prices = [best_price] * steps
    touching: list[list[_Offer]] = [[] for _ in range(steps)]
    for offer in offers:
        for step in range(offer.first, offer.late_by + 1):
            touching[step].append(offer)
    for _ in range(SWEEPS):
        for step in range(steps):
            _improve(prices, step, touching[step], engines_s[step], dearest / FIRST_PRICES)
    return total(prices)


def _improve(
    prices: list[float], step: int, offers: list[_Offer], time_s: float, least: float
) -> None:
    """Take the price of one second that lowers the bound most; others stay as they are."""

    def part(price: float) -> float:
        prices[step] = price
        return price * time_s + sum(offer.gain(prices) for offer in offers)

    before = prices[step]
    tried: set[float] = {before, least, *(before * factor for factor in FACTORS)}
    prices[step] = min(sorted(tried), key=_each(part))


def _each(work: Callable[[float], float]) -> Callable[[float], float]:
    """Call a function once for each value."""
    known: dict[float, float] = {}

    def value(price: float) -> float:
        if price not in known:
            known[price] = work(price)
        return known[price]

    return value


def _longest_pass_s(scenario: Scenario) -> float:
    """Give the longest time between two events of a request that is not broken off."""
    spec = scenario.engine
    model = EngineLatencyModel(spec=spec)
    full_ms = model.pass_ms(spec.slots, model.usual_context_tokens(spec.slots))
    return (full_ms + model.prefill_ms(spec.chunk_tokens)) / MS_PER_S


def _engines_s(scenario: Scenario, step: int) -> float:
    """Give the engine time of one second."""
    begin_s, end_s = step * STEP_S, (step + 1) * STEP_S
    outs = [change for change in scenario.changes if change.engines_out is not None]
    moments = [(0.0, 0.0), *((change.at_s, change.engines_out or 0.0) for change in outs)]
    total = 0.0
    for place, (at_s, share) in enumerate(moments):
        until_s = moments[place + 1][0] if place + 1 < len(moments) else math.inf
        lasts_s = max(0.0, min(end_s, until_s) - max(begin_s, at_s))
        serving = sum(domain.engines - round(domain.engines * share) for domain in scenario.domains)
        total += lasts_s * serving
    return total


def _step(at_s: float) -> int:
    return int(at_s / STEP_S)


__all__ = ["worth_bound"]
