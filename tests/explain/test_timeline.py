"""Tests of the timeline of a request: log lines of several processes whose clocks differ."""

from __future__ import annotations

import json

import pytest
from cleo.testers.application_tester import ApplicationTester

from leadhollow.cli.application import build_application
from leadhollow.explain.records import LogRecord, read_records
from leadhollow.explain.timeline import build_timeline

OFFSET_S = 40.0  # the clock of the control replica is ahead by this much


def line(time_s: float, component: str, message: str, **fields: object) -> str:
    head = {"time_s": time_s, "level": "info", "component": component, "message": message}
    return json.dumps(head | fields)


ENTRY = [
    line(100.0, "board", "backend server found", instance="i-1"),
    line(100.1, "board", "backend server found", instance="i-2"),
    line(105.0, "decision", "engine chosen", request="r1", instance="i-1"),
    line(105.1, "decision", "engine chosen", request="r2", instance="i-2"),
    line(105.9, "stream", "stream broken", request="r1", instance="i-1"),
]
CONTROL = [
    line(100.0 + OFFSET_S, "registry", "backend server changed", instance="i-1", state="ready"),
    line(100.1 + OFFSET_S, "registry", "backend server changed", instance="i-2", state="ready"),
    line(104.0 + OFFSET_S, "registry", "backend server changed", instance="i-1", state="draining"),
    line(105.5 + OFFSET_S, "registry", "backend server changed", instance="i-2", state="draining"),
    line(190.0 + OFFSET_S, "registry", "backend server changed", instance="i-1", state="gone"),
]


def records() -> list[LogRecord]:
    return [*read_records("entry.log", ENTRY), *read_records("control.log", CONTROL)]


class TestReadRecords:
    @pytest.mark.parametrize(
        "text", ["", "plain words", "{not json", "[1]", '{"message": "no time"}', "{}"]
    )
    def test_skips_lines_that_are_not_log_records(self, text):
        assert list(read_records("f", [text])) == []

    def test_source_is_the_last_word_of_the_collector_prefix(self):
        found = list(read_records("f", ["  12.5 entry-1 " + ENTRY[0], ENTRY[1]]))
        assert [record.source for record in found] == ["entry-1", "f"]


class TestBuildTimeline:
    def test_includes_events_of_the_chosen_engine_only(self):
        timeline = build_timeline("r1", records())
        found_events = [(line.record.message, line.record.fields.get("state")) for line in timeline]
        assert found_events == [
            ("backend server changed", "ready"),
            ("backend server changed", "draining"),
            ("engine chosen", None),
            ("stream broken", None),
        ]

    def test_orders_events_by_the_clock_of_the_entry(self):
        timeline = build_timeline("r1", records())
        assert [round(line.after_s, 3) for line in timeline] == [-5.0, -1.0, 0.0, 0.9]

    def test_includes_stalls_of_the_process_of_the_request_only(self):
        on_entry = line(105.7, "loop", "loop was held up", for_s=0.7)
        on_control = line(105.7 + OFFSET_S, "loop", "loop was held up", for_s=0.9)
        found = [*records(), *read_records("entry.log", [on_entry])]
        found += read_records("control.log", [on_control])
        stalls_s = [line.record.fields.get("for_s") for line in build_timeline("r1", found)]
        assert [for_s for for_s in stalls_s if for_s is not None] == [0.7]

    def test_is_empty_for_an_unknown_request(self):
        assert build_timeline("r9", records()) == []


class TestExplainCommand:
    def run(self, tmp_path, words: str) -> tuple[int, str]:
        (tmp_path / "entry.log").write_text("\n".join(ENTRY))
        (tmp_path / "control.log").write_text("\n".join(CONTROL))
        tester = ApplicationTester(build_application())
        return tester.execute(f"explain {words}".replace("DIR", str(tmp_path))), ""

    def test_prints_the_timeline(self, tmp_path, capsys):
        code, _ = self.run(tmp_path, "r1 DIR/entry.log DIR/control.log")
        printed = capsys.readouterr().out.splitlines()
        assert code == 0
        assert len(printed) == 4
        assert "state=draining" in printed[1]

    def test_prints_json_lines(self, tmp_path, capsys):
        code, _ = self.run(tmp_path, "--json r1 DIR/entry.log DIR/control.log")
        printed = [json.loads(text) for text in capsys.readouterr().out.splitlines()]
        assert code == 0
        assert printed[-1]["message"] == "stream broken"

    @pytest.mark.parametrize("words", ["r9 DIR/entry.log", "r1 DIR/absent.log"])
    def test_reports_an_unknown_request_or_a_missing_file(self, tmp_path, capsys, words):
        code, _ = self.run(tmp_path, words)
        assert code != 0
        assert capsys.readouterr().err
