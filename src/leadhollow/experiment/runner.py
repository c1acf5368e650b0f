"""Runs of a scenario under two policies, paired by seed."""

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

NORMAL_95 = 1.96  # standard errors on either side of a mean that hold it in 95 cases of 100


class Estimate(msgspec.Struct, frozen=True, kw_only=True):
    """A mean over seeds.

    Parameters
    ----------
    half_width
        Of its 95% confidence interval.
    """

    mean: float
    half_width: float


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Two policies under the same callers.

    Parameters
    ----------
    policy, against
        Means of each figure.
    bound
        Mean worth that no placement can exceed.
    difference
        Of the first from the second, seed by seed.
    """

    scenario: str
    seeds: int
    policy: dict[str, float]
    against: dict[str, float]
    bound: float
    difference: dict[str, Estimate]


def run_once(scenario: Scenario, policy: QueuePolicy, seed: int) -> Outcome:
    """Play one seed."""
    world = Simulation(scenario=scenario, policy=policy, seed=seed)
    world.run()
    return summarise(world.callers)


def compare(
    scenario: Scenario,
    policy: QueuePolicy,
    against: QueuePolicy,
    *,
    seeds: int,
    jobs: int,
    on_progress: Callable[[int], None] = lambda done: None,
) -> Comparison:
    """Play all seeds under both policies.

    Parameters
    ----------
    jobs
        Processes; with 1 everything runs in this one.
    on_progress
        Called with the number of seeds that are done.
    """
    bounds = [worth_bound(scenario, draw_callers(scenario, 1 + place)) for place in range(seeds)]
    pairs = []
    for pair in _pairs(scenario, policy, against, seeds=seeds, jobs=jobs):
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
    """Give the figures of a run by name."""
    found = {
        "worth": outcome.worth,
        "worst domain": min(outcome.by_domain.values()),
        "worst kind": min(outcome.by_kind.values()),
        "on time": outcome.on_time,
        "late": outcome.late,
        "refused": outcome.refused,
        "repeats": outcome.repeats,
        "sent in rest": outcome.sent_in_rest,
    }
    found |= {f"domain {name}": share for name, share in outcome.by_domain.items()}
    return found | {f"kind {name}": share for name, share in outcome.by_kind.items()}


def _pairs(
    scenario: Scenario, policy: QueuePolicy, against: QueuePolicy, *, seeds: int, jobs: int
) -> Iterator[tuple[Outcome, Outcome]]:
    work = [(scenario, policy, against, seed) for seed in range(1, seeds + 1)]
    if jobs == 1:
        yield from map(_pair, work)
        return
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        yield from pool.map(_pair, work)


def _pair(work: tuple[Scenario, QueuePolicy, QueuePolicy, int]) -> tuple[Outcome, Outcome]:
    scenario, policy, against, seed = work
    return run_once(scenario, policy, seed), run_once(scenario, against, seed)


def _estimate(values: Sequence[float]) -> Estimate:
    if len(values) < 2:
        return Estimate(mean=values[0], half_width=math.inf)
    error = statistics.stdev(values) / math.sqrt(len(values))
    return Estimate(mean=statistics.fmean(values), half_width=NORMAL_95 * error)


__all__ = ["Comparison", "Estimate", "compare", "figures", "run_once"]
