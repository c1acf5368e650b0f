"""Paired runs of a scenario under two policies with the same seeds."""

from __future__ import annotations

import math
import statistics
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ProcessPoolExecutor

import msgspec

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.callers import draw_callers
from leadhollow.experiment.outcome import Outcome, summarise
from leadhollow.experiment.scenario import Scenario
from leadhollow.experiment.simulation import Simulation
from leadhollow.experiment.worth_limit import worth_bound

Z_95 = 1.96  # half width of a 95% confidence interval in standard errors


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """A mean over seeds.

    Parameters
    ----------
    half_width
        Half width of its 95% confidence interval.
    """

    mean: float
    half_width: float


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Results of two policies for the same callers.

    Parameters
    ----------
    policy, against
        Mean of each figure under the first and the second policy.
    bound
        Mean upper bound on worth for any placement.
    difference
        Paired difference of each figure, first policy minus second.
    """

    scenario: str
    seeds: int
    policy: dict[str, float]
    against: dict[str, float]
    bound: float
    difference: dict[str, Estimate]


def run_once(scenario: Scenario, policy: QueuePolicy, seed: int) -> Outcome:
    """Run a scenario with one seed."""
    simulation = Simulation(scenario=scenario, policy=policy, seed=seed)
    simulation.run()
    return summarise(simulation.callers)


def compare(
    scenario: Scenario,
    policy: QueuePolicy,
    against: QueuePolicy,
    *,
    seeds: int,
    jobs: int,
    on_progress: Callable[[int], None] = lambda done: None,
) -> Comparison:
    """Run a scenario under both policies for all seeds.

    Parameters
    ----------
    jobs
        Number of processes; with 1 everything runs in this one.
    on_progress
        Called with the number of completed seeds.
    """
    bounds = [worth_bound(scenario, draw_callers(scenario, 1 + place)) for place in range(seeds)]
    pairs = []
    for pair in _run_pairs(scenario, policy, against, seeds=seeds, jobs=jobs):
        pairs.append(pair)
        on_progress(len(pairs))
    first = [figures(pair[0]) for pair in pairs]
    second = [figures(pair[1]) for pair in pairs]
    names = list(first[0])
    return Comparison(
        scenario=scenario.name,
        seeds=seeds,
        policy={name: statistics.fmean(row[name] for row in first) for name in names},
        against={name: statistics.fmean(row[name] for row in second) for name in names},
        bound=statistics.fmean(bounds),
        difference={
            name: _estimate([a[name] - b[name] for a, b in zip(first, second, strict=True)])
            for name in names
        },
    )


def figures(outcome: Outcome) -> dict[str, float]:
    """Return the figures of a run by name."""
    values_by_name = {
        "worth": outcome.worth,
        "worst domain": min(outcome.by_domain.values()),
        "worst kind": min(outcome.by_kind.values()),
        "on time": outcome.on_time,
        "late": outcome.late,
        "refused": outcome.refused,
        "repeats": outcome.repeats,
        "sent in rest": outcome.sent_in_rest,
    }
    values_by_name |= {f"domain {name}": share for name, share in outcome.by_domain.items()}
    values_by_name |= {f"on time {name}": share for name, share in outcome.on_time_by_kind.items()}
    return values_by_name | {f"kind {name}": share for name, share in outcome.by_kind.items()}


def _run_pairs(
    scenario: Scenario, policy: QueuePolicy, against: QueuePolicy, *, seeds: int, jobs: int
) -> Iterator[tuple[Outcome, Outcome]]:
    runs = [(scenario, policy, against, seed) for seed in range(1, seeds + 1)]
    if jobs == 1:
        yield from map(_run_pair, runs)
        return
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        yield from pool.map(_run_pair, runs)


def _run_pair(job: tuple[Scenario, QueuePolicy, QueuePolicy, int]) -> tuple[Outcome, Outcome]:
    scenario, policy, against, seed = job
    return run_once(scenario, policy, seed), run_once(scenario, against, seed)


def _estimate(values: Sequence[float]) -> Estimate:
    if len(values) < 2:
        return Estimate(mean=values[0], half_width=math.inf)
    error = statistics.stdev(values) / math.sqrt(len(values))
    return Estimate(mean=statistics.fmean(values), half_width=Z_95 * error)


__all__ = ["Comparison", "Estimate", "compare", "figures", "run_once"]
