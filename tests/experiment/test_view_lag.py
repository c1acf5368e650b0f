"""Many entries before many engines: what the age of the view is worth, near and far.

Engines of eight places that write five tokens an event, objectives of 0.5 and 0.6 s, five failure
domains; a quarter of 98 entries and 100 engines, at a load of four fifths of all places. Ages are
those that `tests/control/test_uses_at_size.py` measures before 100 engines, and the 0.4 s that all
news took when they were told together.
"""

from __future__ import annotations

import pytest

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.runner import run_once
from leadhollow.experiment.scenario import Change, Domain, RequestKind, Scenario
from leadhollow.routing.model import EngineSpec

SEEDS = (1, 2)
NEAR_MS, FAR_MS, OLD_MS = 26.0, 330.0, 400.0

ENGINE = EngineSpec(
    slots=8,
    memory_tokens=317_000,
    stride_steps=5,
    step_ms=13.9,
    sequence_ms=0.0219,
    context_ms_per_k=0.0068,
    read_tokens_per_s=13_800.0,
    pair_ms_per_million=0.647,
    chunk_tokens=2_048,
    layers=16,
    usual_prompt_tokens=930.0,
    usual_answer_tokens=70.0,
)
KINDS = (
    RequestKind(
        name="long",
        per_s=44.0,
        worth=2.2,
        objective_ms=606,
        prompt_tokens=1_290,
        answer_events=14,
    ),
    RequestKind(
        name="middle",
        per_s=32.0,
        worth=1.9,
        objective_ms=606,
        prompt_tokens=787,
        answer_events=14,
    ),
    RequestKind(
        name="short",
        per_s=24.0,
        worth=1.7,
        objective_ms=505,
        prompt_tokens=607,
        answer_events=14,
    ),
)
DOMAINS = tuple(Domain(name=f"d{n}", entries=5, engines=5, share=0.2) for n in range(5))


def many_entries(near_ms: float, far_ms: float) -> Scenario:
    return Scenario(
        name="many-entries",
        engine=ENGINE,
        kinds=KINDS,
        domains=DOMAINS,
        changes=(Change(at_s=0.0, load=1.0),),
        view_lag_ms=near_ms,
        far_view_lag_ms=far_ms,
        length_s=8.0,
    )


def worth(near_ms: float, far_ms: float) -> float:
    scenario = many_entries(near_ms, far_ms)
    return sum(run_once(scenario, QueuePolicy(), seed).worth for seed in SEEDS) / len(SEEDS)


@pytest.fixture(scope="module")
def two_lanes() -> float:
    return worth(NEAR_MS, FAR_MS)


class TestManyEntries:
    def test_gain_by_a_young_view_of_their_own_domain(self, two_lanes):
        assert two_lanes > worth(OLD_MS, OLD_MS) + 0.04

    def test_lose_little_by_an_old_view_of_all_others(self, two_lanes):
        assert two_lanes > worth(NEAR_MS, NEAR_MS) - 0.02
