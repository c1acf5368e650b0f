"""The command line as a user runs it."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).parents[2] / "examples"


def run(*arguments: str, **variables: str) -> subprocess.CompletedProcess[str]:
    clean = {name: value for name, value in os.environ.items() if "LEADHOLLOW" not in name}
    return subprocess.run(
        [sys.executable, "-m", "leadhollow", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
        env={**clean, **variables},
    )


class TestHelp:
    def test_lists_every_command(self):
        listed = run("--help") and run("list").stdout
        commands = ("run", "check", "demo", "status", "table set", "model rollout", "drain")
        for command in (*commands, "quarantine list", "quarantine release", "servers"):
            assert command in listed

    def test_of_a_command_says_what_it_does(self):
        assert "without" not in run("table", "set", "--help").stderr
        assert "never reverts" in run("table", "set", "--help").stdout


class TestExitCodes:
    def test_an_unknown_command(self):
        ended = run("fly")
        assert (ended.returncode, ended.stderr.startswith("leadhollow: [201]")) == (2, True)

    def test_no_operator_address(self):
        ended = run("status")
        assert ended.returncode == 2
        assert "LEADHOLLOW_OPERATORS" in ended.stderr

    def test_an_operator_that_does_not_answer(self):
        ended = run("status", "--operators", "127.0.0.1:1")
        assert ended.returncode == 2
        assert "[202]" in ended.stderr

    def test_a_missing_settings_file_starts_nothing(self, tmp_path):
        ended = run("run", str(tmp_path / "absent.json"))
        assert ended.returncode == 1
        assert "absent.json: [101]" in ended.stderr

    @pytest.mark.parametrize("arguments", [("errors", "403"), ("errors", "--json")])
    def test_errors(self, arguments):
        ended = run(*arguments)
        assert ended.returncode == 0
        assert "MODEL_NOT_ALLOWED" in ended.stdout

    def test_an_unreadable_model(self):
        ended = run("demo", "--model", "/absent/model")
        assert ended.returncode == 2
        assert "[204]" in ended.stderr


class TestCheck:
    def test_good_files(self):
        files = [str(path) for path in (EXAMPLES / "ifrane").glob("*.json")]
        assert run("check", *files).returncode == 0

    def test_a_damaged_file_is_named_by_field(self, tmp_path):
        document = json.loads((EXAMPLES / "ifrane" / "ifrane-entry-1.json").read_text())
        document["wire"]["listen"] = "nowhere"
        path = tmp_path / "bad.json"
        path.write_text(json.dumps(document))
        ended = run("check", str(path), "--json")
        assert ended.returncode == 1
        reported = json.loads(ended.stdout)
        assert (reported["code"], reported["field"]) == (103, "wire.listen")
