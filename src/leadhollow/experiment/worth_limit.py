"""Upper bound on the worth that any placement of the requests of a run can reach.

The bound is the dual of an allocation problem: engine time has a price in each second. For any
prices, no placement gets more than the value of all engine time plus the surplus of every request,
its worth less the cost of its engine time. The bound is the lowest sum found over the prices tried.
A request costs at least the prefill time of its prompt and, for each token, its share of a full
batch. A request on time is read within its objective and written without a pause after that.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from leadhollow.decide.engine_latency import EngineLatencyModel
from leadhollow.experiment.callers import Caller
from leadhollow.experiment.outcome import size_weight
from leadhollow.experiment.scenario import MS_PER_S, Scenario

STEP_S = 1.0  # engine time within one step has one price
SWEEPS = 4  # passes over all seconds
PRICE_FACTORS = (0.0, 0.5, 0.8, 1.25, 2.0)  # candidates, relative to the current price
FLAT_PRICE_COUNT = 24  # candidates for a single price of all seconds


class _PricedRequest:
    """Worth and engine time of one caller's request.

    Parameters
    ----------
    prefill_s, decode_s
        Engine time of its prompt and of its response, in seconds.
    on_time_worth, weighted_late_worth
        Worth of a response on time and of a late one, weighted by size.
    arrival_step
        Second of its arrival.
    prefill_by_step, decode_by_step, late_by_step
        Last seconds in which it is read on time, written on time, and processed when late.
    """

    __slots__ = (
        "arrival_step",
        "decode_by_step",
        "decode_s",
        "late_by_step",
        "on_time_worth",
        "prefill_by_step",
        "prefill_s",
        "weighted_late_worth",
    )

    def __init__(self, *, caller: Caller, scenario: Scenario, longest_pass_s: float) -> None:
        spec = scenario.engine
        model = EngineLatencyModel(spec=spec)
        tokens = caller.events * spec.stride_steps
        self.prefill_s = caller.prompt_tokens / spec.read_tokens_per_s
        self.decode_s = model.request_ms(0, tokens) / MS_PER_S
        self.on_time_worth = size_weight(caller) * caller.kind.worth
        self.weighted_late_worth = size_weight(caller) * caller.kind.late_worth
        duration_s = caller.events * longest_pass_s
        objective_s = caller.kind.objective_ms / MS_PER_S
        deadline_s = caller.kind.deadline_ms / MS_PER_S
        self.arrival_step = _step(caller.arrival_s)
        self.prefill_by_step = _step(caller.arrival_s + objective_s)
        self.decode_by_step = _step(caller.arrival_s + objective_s + duration_s)
        self.late_by_step = _step(caller.arrival_s + deadline_s + duration_s)

    def surplus(self, prices: list[float]) -> float:
        """Return its worth less its cost at these prices; 0 if it is not worth serving."""
        prefill_price = min(prices[self.arrival_step : self.prefill_by_step + 1])
        decode_price = min(prices[self.arrival_step : self.decode_by_step + 1])
        late_price = min(prices[self.arrival_step : self.late_by_step + 1])
        on_time = self.on_time_worth - self.prefill_s * prefill_price - self.decode_s * decode_price
        return max(
            0.0, on_time, self.weighted_late_worth - (self.prefill_s + self.decode_s) * late_price
        )


def worth_bound(scenario: Scenario, callers: list[Caller]) -> float:
    """Return the upper bound on worth, as a share of the worth of all requests."""
    if not callers:
        return 1.0
    longest_pass_s = _longest_pass_s(scenario)
    requests = [
        _PricedRequest(caller=caller, scenario=scenario, longest_pass_s=longest_pass_s)
        for caller in callers
    ]
    steps = 1 + max(request.late_by_step for request in requests)
    engine_time_s = [_engine_time_s(scenario, step) for step in range(steps)]
    max_worth = sum(request.on_time_worth for request in requests)
    lowest_sum = _minimise_bound(requests, engine_time_s)
    return min(1.0, lowest_sum / max_worth)


def _minimise_bound(requests: list[_PricedRequest], engine_time_s: list[float]) -> float:
    """Search for prices with a low bound: one price for all seconds, then each second in turn."""
    steps = len(engine_time_s)

    def total(prices: list[float]) -> float:
        time_worth = sum(price * time for price, time in zip(prices, engine_time_s, strict=True))
        return time_worth + sum(request.surplus(prices) for request in requests)

    max_price = max(
        request.on_time_worth / (request.prefill_s + request.decode_s) for request in requests
    )
    flat_prices = [max_price * index / FLAT_PRICE_COUNT for index in range(FLAT_PRICE_COUNT)]
    best_price = min(flat_prices, key=lambda price: total([price] * steps))
    prices = [best_price] * steps
    requests_by_step: list[list[_PricedRequest]] = [[] for _ in range(steps)]
    for request in requests:
        for step in range(request.arrival_step, request.late_by_step + 1):
            requests_by_step[step].append(request)
    for _ in range(SWEEPS):
        for step in range(steps):
            _improve_price(
                prices,
                step,
                requests_by_step[step],
                engine_time_s[step],
                max_price / FLAT_PRICE_COUNT,
            )
    return total(prices)


def _improve_price(
    prices: list[float],
    step: int,
    requests: list[_PricedRequest],
    time_s: float,
    smallest_price: float,
) -> None:
    """Set the price of one second to the candidate with the lowest bound."""

    def price_terms(price: float) -> float:
        prices[step] = price
        return price * time_s + sum(request.surplus(prices) for request in requests)

    current_price = prices[step]
    candidates: set[float] = {
        current_price,
        smallest_price,
        *(current_price * factor for factor in PRICE_FACTORS),
    }
    prices[step] = min(sorted(candidates), key=_memoise(price_terms))


def _memoise(work: Callable[[float], float]) -> Callable[[float], float]:
    """Wrap a function so that it is called once for each value."""
    known: dict[float, float] = {}

    def value(price: float) -> float:
        if price not in known:
            known[price] = work(price)
        return known[price]

    return value


def _longest_pass_s(scenario: Scenario) -> float:
    """Return the longest time between two events of a request that is not interrupted."""
    spec = scenario.engine
    model = EngineLatencyModel(spec=spec)
    full_ms = model.pass_ms(spec.slots, model.usual_context_tokens(spec.slots))
    return (full_ms + model.prefill_ms(spec.chunk_tokens)) / MS_PER_S


def _engine_time_s(scenario: Scenario, step: int) -> float:
    """Return the engine time that is available in one second, summed over engines."""
    begin_s, end_s = step * STEP_S, (step + 1) * STEP_S
    outages = [change for change in scenario.changes if change.engines_out is not None]
    outage_starts = [(0.0, 0.0), *((change.at_s, change.engines_out or 0.0) for change in outages)]
    total = 0.0
    for index, (at_s, share) in enumerate(outage_starts):
        until_s = outage_starts[index + 1][0] if index + 1 < len(outage_starts) else math.inf
        duration_s = max(0.0, min(end_s, until_s) - max(begin_s, at_s))
        serving = sum(domain.engines - round(domain.engines * share) for domain in scenario.domains)
        total += duration_s * serving
    return total


def _step(at_s: float) -> int:
    return int(at_s / STEP_S)


__all__ = ["worth_bound"]
