"""Tests of the command line, run as a user runs it in a process of its own."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).parents[2] / "examples"


def run(*arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
    environment = {name: value for name, value in os.environ.items() if "LEADHOLLOW" not in name}
    return subprocess.run(
        [sys.executable, "-m", "leadhollow", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**environment, **variables},
    )


class TestHelp:
    def test_lists_every_command(self):
        listed = run("--help") and run("list").stdout
        commands = ("run", "check", "demo", "status", "table set", "model rollout", "drain")
        for command in (*commands, "quarantine list", "quarantine release", "servers"):
            assert command in listed

    def test_help_of_a_command_describes_it(self):
        assert "without" not in run("table", "set", "--help").stderr
        assert "never reverts" in run("table", "set", "--help").stdout


class TestExitCodes:
    def test_unknown_command_exits_with_2(self):
        completed = run("fly")
        assert (completed.returncode, completed.stderr.startswith("leadhollow: [201]")) == (2, True)

    def test_missing_operator_address_exits_with_2(self):
        completed = run("status")
        assert completed.returncode == 2
        assert "LEADHOLLOW_OPERATORS" in completed.stderr

    def test_unreachable_operator_exits_with_2(self):
        completed = run("status", "--operators", "127.0.0.1:1")
        assert completed.returncode == 2
        assert "[202]" in completed.stderr

    def test_missing_settings_file_exits_with_1(self, tmp_path):
        completed = run("run", str(tmp_path / "absent.json"))
        assert completed.returncode == 1
        assert "absent.json: [101]" in completed.stderr

    @pytest.mark.parametrize("arguments", [("errors", "403"), ("errors", "--json")])
    def test_errors_lists_result_codes(self, arguments):
        completed = run(*arguments)
        assert completed.returncode == 0
        assert "MODEL_NOT_ALLOWED" in completed.stdout

    def test_unreadable_model_exits_with_2(self):
        completed = run("demo", "--model", "/absent/model")
        assert completed.returncode == 2
        assert "[204]" in completed.stderr


class TestCheck:
    def test_valid_files_pass(self):
        files = [str(path) for path in (EXAMPLES / "ifrane").glob("*.json")]
        assert run("check", *files).returncode == 0

    def test_invalid_file_is_reported_with_its_field(self, tmp_path):
        document = json.loads((EXAMPLES / "ifrane" / "ifrane-entry-1.json").read_text())
        document["wire"]["listen"] = "nowhere"
        path = tmp_path / "bad.json"
        path.write_text(json.dumps(document))
        completed = run("check", str(path), "--json")
        assert completed.returncode == 1
        reported = json.loads(completed.stdout)
        assert (reported["code"], reported["field"]) == (103, "wire.listen")


class TestExperimentPatterns:
    # Figures in the pages come from one pattern with many seeds; all of them take minutes.
    def test_one_pattern_is_played_alone(self):
        completed = run("experiment", "limits", "--pattern", "one", "--seeds", "1", "--json")
        assert completed.returncode == 0
        assert {row["pattern"] for row in json.loads(completed.stdout)} == {"one"}

    def test_an_unknown_pattern_is_an_error_that_names_the_known_ones(self):
        completed = run("experiment", "crashes", "--pattern", "nothing")
        assert (completed.returncode, "two parts, all else" in completed.stderr) == (2, True)
