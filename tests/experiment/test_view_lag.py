"""Tests of the effect of view lag on worth with many entries and engines.

Engines have eight slots and write five tokens per event; objectives are 0.5 and 0.6 s. There are
five failure domains with a quarter of a deployment of 98 entries and 100 engines, at a load of four
fifths of all slots. The lags are those that `tests/control/test_uses_at_size.py` measures with 100
engines. 0.4 s is the lag of all updates when they are sent together.
"""

from __future__ import annotations

import pytest

from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.runner import run_once
from leadhollow.experiment.scenario import Change, Domain, RequestKind, Scenario
from leadhollow.routing.model import EngineSpec

SEEDS = (1, 2)
LOCAL_LAG_MS, REMOTE_LAG_MS, COMMON_LAG_MS = 26.0, 330.0, 400.0

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


def make_scenario(local_lag_ms: float, remote_lag_ms: float) -> Scenario:
    return Scenario(
        name="many-entries",
        engine=ENGINE,
        kinds=KINDS,
        domains=DOMAINS,
        changes=(Change(at_s=0.0, load=1.0),),
        view_lag_ms=local_lag_ms,
        far_view_lag_ms=remote_lag_ms,
        length_s=8.0,
    )


def mean_worth(local_lag_ms: float, remote_lag_ms: float) -> float:
    scenario = make_scenario(local_lag_ms, remote_lag_ms)
    return sum(run_once(scenario, QueuePolicy(), seed).worth for seed in SEEDS) / len(SEEDS)


@pytest.fixture(scope="module")
def split_lag_worth() -> float:
    return mean_worth(LOCAL_LAG_MS, REMOTE_LAG_MS)


class TestViewLag:
    def test_small_lag_for_the_own_domain_raises_worth(self, split_lag_worth):
        assert split_lag_worth > mean_worth(COMMON_LAG_MS, COMMON_LAG_MS) + 0.04

    def test_large_lag_for_other_domains_costs_little_worth(self, split_lag_worth):
        assert split_lag_worth > mean_worth(LOCAL_LAG_MS, LOCAL_LAG_MS) - 0.02
