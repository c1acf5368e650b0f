"""Tests of random runs in which a stage, the answers to orders and the clock cannot be trusted."""

from __future__ import annotations

import pytest
from absl import logging as absl_logging

from leadhollow.staging import engine_stage
from leadhollow.staging.engine_stage import EngineStage
from leadhollow.staging.load_orders import LoadOrders
from leadhollow.staging.loaded_weights import LoadedWeights
from tests.staging.stage_laboratory import Outcome, run_seed

SEEDS = range(120)
LATE_WRITE_SEEDS = (171, 371, 521)  # a write or an order that comes late loads a wrong piece


@pytest.fixture(autouse=True)
def quiet():
    """Leave out the lines of hundreds of installers."""
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    yield
    absl_logging.set_verbosity(before)


@pytest.fixture(scope="module")
def outcomes() -> dict[int, Outcome]:
    """Play all seeds once."""
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.FATAL)
    found = {seed: run_seed(seed) for seed in SEEDS}
    absl_logging.set_verbosity(before)
    return found


class TestRandomRuns:
    # Guards against: weights with a piece that is missing, of another version or damaged are used.
    def test_load_and_use_no_wrong_weights(self, outcomes):
        wrong = {
            seed: (outcome.wrong_loads, outcome.wrong_weights_used)
            for seed, outcome in outcomes.items()
            if outcome.wrong_loads or outcome.wrong_weights_used
        }
        assert wrong == {}

    # Guards against: an engine is never switched again after an order without an answer.
    def test_end_with_the_newest_version(self, outcomes):
        assert [seed for seed, outcome in outcomes.items() if not outcome.installed] == []


class TestPlantedFaults:
    def test_an_old_verification_is_found(self, monkeypatch):
        monkeypatch.setattr(engine_stage, "MAX_VERIFICATION_AGE_S", float("inf"))
        monkeypatch.setattr(EngineStage, "verification_age_s", lambda self: 0.0)
        assert any(run_seed(seed).wrong_weights_used for seed in SEEDS)

    def test_a_forgotten_order_is_found(self, monkeypatch):
        send = LoadOrders._send

        async def send_and_forget(self, staged, report):
            sent = await send(self, staged, report)
            self._unsettled = None
            return sent

        monkeypatch.setattr(LoadOrders, "_send", send_and_forget)
        assert any(run_seed(seed).wrong_weights_used for seed in SEEDS)

    def test_unchecked_weights_are_found(self, monkeypatch):
        monkeypatch.setattr(LoadedWeights, "doubt", lambda self, staged, *, confirmable: None)
        assert any(run_seed(seed).wrong_weights_used for seed in LATE_WRITE_SEEDS)
