"""Tests of paired runs, which are reproducible by seed, and of scenario files."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from leadhollow.codes import Code
from leadhollow.decide.policy import QueuePolicy
from leadhollow.experiment.patterns import patterns
from leadhollow.experiment.runner import compare, figures, run_once
from leadhollow.experiment.scenario import Scenario, read_scenario

SHORT = msgspec.structs.replace(patterns()["overload"], length_s=4.0)


class TestRuns:
    def test_runs_with_the_same_seed_have_the_same_outcome(self):
        first = figures(run_once(SHORT, QueuePolicy(), 3))
        assert figures(run_once(SHORT, QueuePolicy(), 3)) == first
        assert figures(run_once(SHORT, QueuePolicy(), 4)) != first

    def test_comparing_a_policy_with_itself_gives_no_difference(self):
        compared = compare(SHORT, QueuePolicy(), QueuePolicy(), seeds=2, jobs=1)
        assert {found.mean for found in compared.difference.values()} == {0.0}

    def test_outcome_shares_add_up_to_one(self):
        outcome = run_once(SHORT, QueuePolicy(), 1)
        assert outcome.on_time + outcome.late + outcome.refused == pytest.approx(1.0)

    def test_nearly_all_requests_are_on_time_at_the_usual_load(self):
        assert run_once(patterns()["usual"], QueuePolicy(), 1).on_time > 0.98


class TestScenarioFiles:
    def write(self, folder: Path, **changes: object) -> Path:
        document = msgspec.to_builtins(SHORT) | changes
        path = folder / "scenario.json"
        path.write_bytes(msgspec.json.encode(document))
        return path

    def test_a_valid_file_is_read_back_unchanged(self, tmp_path):
        read = read_scenario(self.write(tmp_path))
        assert read.unwrap() == SHORT

    @pytest.mark.parametrize(
        ("changes", "named"),
        [
            ({"speed": 1}, "speed"),
            ({"domains": []}, "domains"),
            ({"kinds": []}, "kinds"),
            ({"length_s": 0}, "length_s"),
            ({"kinds": [{"name": "a", "per_s": -1.0}]}, "kinds[0]"),
            ({"domains": [{"name": "a", "entries": 0, "engines": 1, "share": 1.0}]}, "entries"),
        ],
    )
    def test_an_invalid_field_is_named_in_the_error(self, tmp_path, changes, named):
        failure = read_scenario(self.write(tmp_path, **changes)).unwrap_err()
        assert failure.code is Code.SETTINGS_FIELD
        assert named in failure.detail

    def test_a_missing_file_is_an_error(self, tmp_path):
        assert read_scenario(tmp_path / "absent.json").is_err()

    def test_the_named_patterns_are_scenarios(self):
        assert all(isinstance(found, Scenario) for found in patterns().values())
