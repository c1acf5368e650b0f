"""Fixtures of several test folders, and the handling of known failures."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.support import ReplicaGroup

ROOT = Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
"""Tests that fail for a known fault, one per line: node id, then cause and issue."""


def known_red() -> dict[str, str]:
    """Return the lines of the list by the node id of their test."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines() if KNOWN_RED.exists() else []
    return {line.split()[0]: line for line in lines if line.strip()}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect the listed tests to fail.

    A listed test that passes is an error, unless its line says that it is unsteady.
    """
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            line = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=line, strict="; unsteady;" not in line))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list of known failures."""
    for line in known_red().values():
        terminalreporter.write_line(f"known red: {line}")


@pytest.fixture
def project_root() -> Path:
    """Return the root folder of the checkout."""
    return ROOT


@pytest.fixture
async def replica_group(tmp_path: Path):
    """Start three state replicas on loopback; stop them after the test."""
    group = ReplicaGroup(folder=tmp_path, count=3)
    await group.start_all()
    yield group
    await group.stop_all()
