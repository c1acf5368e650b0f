"""Tests of tracing a route table: which replicas acknowledged it and when entries applied it."""

from __future__ import annotations

import json

import pytest
from cleo.testers.application_tester import ApplicationTester

from leadhollow.cli.application import build_application
from leadhollow.explain.records import LogRecord, read_records
from leadhollow.explain.table_propagation import trace_table
from tests.explain.test_timeline import line

OFFSET_S = 40.0  # the clock of the first entry is ahead by this much


def acknowledged(time_s: float, number: int) -> str:
    return line(time_s, "operators", "order acknowledged", what="route table", number=number)


def in_force(time_s: float, number: int) -> str:
    return line(time_s, "routes", "route table in force", number=number)


LOGS = {
    "control-1": [
        line(99.0, "registry", "backend server changed", instance="i-1"),
        acknowledged(100.0, 6),
        acknowledged(102.0, 7),
    ],
    "control-2": [
        line(99.0, "registry", "backend server changed", instance="i-1"),
        acknowledged(100.5, 6),
        line(99.5, "operators", "order acknowledged", what="weights of m", number=6),
    ],
    "entry-1": [
        line(99.0 + OFFSET_S, "board", "backend server found", instance="i-1"),
        in_force(90.0 + OFFSET_S, 4),
        in_force(100.04 + OFFSET_S, 6),
    ],
    "entry-2": [in_force(90.0, 4), in_force(102.1, 7)],
    "entry-3": [
        in_force(90.0, 4),
        line(100.1, "feed", "control replica lost", address="a"),
    ],
}


def records() -> list[LogRecord]:
    return [found for name, lines in LOGS.items() for found in read_records(name, lines)]


class TestTraceTable:
    def test_times_count_from_the_first_acknowledgement(self):
        assert trace_table(6, records()).acknowledged == [("control-1", 0.0), ("control-2", 0.5)]

    def test_accepts_a_higher_table_and_corrects_clock_offsets(self):
        entries = {entry.source: entry.after_s for entry in trace_table(6, records()).entries}
        assert entries["entry-1"] == pytest.approx(0.04)
        assert entries["entry-2"] == pytest.approx(2.1)

    def test_reports_the_last_feed_event_of_an_entry_without_the_table(self):
        late = trace_table(6, records()).entries[-1]
        assert (late.source, late.after_s, late.number) == ("entry-3", None, 4)
        assert late.last_event == "control replica lost"

    def test_is_none_for_a_table_that_was_not_acknowledged(self):
        assert trace_table(5, records()) is None


class TestExplainTableCommand:
    @pytest.fixture
    def files(self, tmp_path):
        for name, lines in LOGS.items():
            (tmp_path / name).write_text("\n".join(lines))
        return " ".join(str(tmp_path / name) for name in LOGS)

    def test_prints_one_json_object(self, files, capsys):
        assert (
            ApplicationTester(build_application()).execute(f"explain table 6 {files} --json") == 0
        )
        printed = json.loads(capsys.readouterr().out)
        assert [entry["after_s"] for entry in printed["entries"]][2] is None

    @pytest.mark.parametrize("number", ["5", "six"])
    def test_fails_for_an_unknown_or_malformed_number(self, files, number):
        assert ApplicationTester(build_application()).execute(f"explain table {number} {files}")
