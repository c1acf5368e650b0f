"""Tests of the judge of streams: each promise is planted broken once, and kept once."""

from __future__ import annotations

import pytest

from leadhollow.forward.end_reason import EndReason
from tests.soak.program_record import ProgramRecord
from tests.soak.proxy import Path, Proxy
from tests.soak.spans import Spans
from tests.soak.stream_judge import (
    CALLER_WAITS_S,
    LET_GO_S,
    STOP_GRACE_S,
    TIMEOUT_S,
    StreamJudge,
)
from tests.soak.stream_records import (
    EndLine,
    Heard,
    RunEnd,
    SilentLine,
    StreamRun,
    StreamTold,
    end_lines,
    event_of,
    silent_lines,
)

SENT_S = 100.0
EVENTS = 4
LATE_S = LET_GO_S + 0.5


class Case:
    """One stream, which its caller got whole unless the test says otherwise."""

    def __init__(self, *, resumable: bool = False) -> None:
        self.entry = ProgramRecord()
        self.own_holds = Spans()
        self.paths: list[Proxy] = []
        self.waited = 0
        self.silent: list[SilentLine] = []
        self.runs: list[StreamRun] = []
        self.lines: list[EndLine] = []
        self.told = StreamTold(
            request="r", entry="e", resumable=resumable, events=EVENTS, sent_s=SENT_S
        )
        self.told.status = 200
        self.told.whole = True

    def ran(
        self, *, end: RunEnd = RunEnd.WHOLE, over_s: float = SENT_S + 1.0, last: int = EVENTS
    ) -> StreamRun:
        number = len(self.runs)
        run = StreamRun(
            request="r",
            instance=f"i-{number}",
            version=1,
            began_s=SENT_S + 0.1 + number,
            number=number,
            proxy=Proxy(host="h", port=1, target_port=2),
        )
        run.last = last
        run.note_end(end, over_s)
        self.runs.append(run)
        return run

    def heard(self, *numbers: int, run: int = 0) -> None:
        for number in numbers:
            at_s = SENT_S + 0.2 + run + 0.1 * number
            self.told.heard.append(Heard(number, run, at_s))
            self.told.told_s = at_s

    def ended(
        self, reason: EndReason | None, *, after_s: float, left: bool = False, begun: bool = True
    ) -> None:
        """Let the answer end after its second event."""
        self.heard(1, 2)
        self.told.whole, self.told.left = False, left
        self.told.told_s = SENT_S + after_s
        if reason is not None:
            self.lines.append(EndLine(reason, begun, "i-0"))

    def rules(self) -> list[str]:
        judge = StreamJudge(
            told=self.told,
            runs=self.runs,
            accepted=len(self.runs) + self.waited,
            lines=self.lines,
            silent=self.silent,
            entry=self.entry,
            paths=self.paths,
            own_holds=self.own_holds,
        )
        return [text.partition(" ")[0] for text in judge.judge()]


class TestWholeStreams:
    def test_are_well(self):
        case = Case()
        case.ran()
        case.heard(1, 2, 3, 4)
        assert case.rules() == []

    @pytest.mark.parametrize("numbers", [(1, 2, 4), (1, 2, 2, 3, 4), (1, 3, 2, 4), (2, 3, 4)])
    def test_have_their_events_in_order(self, numbers):
        case = Case()
        case.ran()
        case.heard(*numbers)
        assert "ORDER" in case.rules()

    def test_do_not_end_as_complete_before_their_engine_did(self):
        case = Case()
        case.ran()
        case.heard(1, 2)
        assert case.rules() == ["ORDER"]

    def test_may_be_as_short_as_their_engine_ended_them(self):
        case = Case()
        case.ran(end=RunEnd.SHORT, last=2)
        case.heard(1, 2)
        assert case.rules() == []

    def test_have_no_bytes_of_others(self):
        case = Case()
        case.ran()
        case.heard(1, 2, 3, 4)
        case.told.hear(b"id: 5\ndata: other/run-0", SENT_S)
        assert case.rules() == ["FOREIGN"]

    def test_have_no_line_that_says_otherwise(self):
        case = Case()
        case.ran()
        case.heard(1, 2, 3, 4)
        case.lines.append(EndLine(EndReason.ENGINE_ENDED, True, "i-0"))
        assert case.rules() == ["DENIED"]


class TestEndsOfEngines:
    @pytest.mark.parametrize("end", [RunEnd.BROKE_OFF, RunEnd.ENDED])
    def test_end_streams_that_may_not_be_resumed(self, end):
        case = Case()
        case.ran(end=end, last=2)
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == []

    @pytest.mark.parametrize("resumable", [False, True])
    def test_are_not_what_silence_is(self, resumable):
        case = Case(resumable=resumable)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.02, last=2)
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == ["LOST"]

    def test_are_not_what_an_engine_that_wrote_everything_did(self):
        case = Case()
        case.ran(over_s=SENT_S + 0.6)
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == ["LOST"]

    def test_do_not_end_an_answer_while_another_engine_is_at_work(self):
        case = Case(resumable=True)
        case.ran(end=RunEnd.BROKE_OFF, last=2)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 4.02, last=2)
        case.ended(EndReason.ENGINE_ENDED, after_s=4.0)
        assert case.rules() == ["LOST"]

    def test_may_follow_at_once_on_an_engine_that_was_asked_beside(self):
        case = Case(resumable=True)
        case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 1.28, last=2)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.25, last=1)
        case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 0.5, last=0)
        case.told.heard = [Heard(1, 0, SENT_S + 0.3), Heard(2, 0, SENT_S + 1.2)]
        case.told.whole, case.told.told_s = False, SENT_S + 1.3
        case.lines.append(EndLine(EndReason.ENGINE_ENDED, True, "i-1"))
        assert case.rules() == []

    def test_may_follow_on_an_engine_that_was_let_go_for_another(self):
        case = Case(resumable=True)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.9, last=1)
        case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 1.95, last=2)
        case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 1.95, last=2)
        case.heard(1)
        case.heard(2, run=1)
        case.told.whole, case.told.told_s = False, SENT_S + 2.0
        case.lines.append(EndLine(EndReason.ENGINE_ENDED, True, "i-1"))
        assert case.rules() == []

    def test_include_connections_that_were_reset(self):
        case = Case()
        run = case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.0, last=2)
        run.proxy.reset_s.append(SENT_S + 1.0)
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == []

    @pytest.mark.parametrize(
        ("after_s", "broken"), [(1.0, ["LOST"]), (0.4 + CALLER_WAITS_S, []), (TIMEOUT_S, [])]
    )
    def test_are_followed_by_a_successor_for_as_long_as_callers_wait(self, after_s, broken):
        case = Case(resumable=True)
        case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 0.5, last=2)
        case.ended(EndReason.ENGINE_ENDED, after_s=after_s)
        assert case.rules() == broken

    def test_end_an_answer_whose_attempts_are_used_up(self):
        case = Case(resumable=True)
        for _ in range(3):
            case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 0.9, last=2)
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == []

    @pytest.mark.parametrize(
        ("attempts", "reset_s", "broken"),
        [(3, SENT_S + 0.9, []), (2, SENT_S + 0.9, ["LOST"]), (3, SENT_S - 5.0, ["LOST"])],
    )
    def test_may_have_met_requests_that_were_sent_as_connections_broke(
        self, attempts, reset_s, broken
    ):
        case = Case(resumable=True)
        for _ in range(2):
            case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 0.9, last=2)
        path = Proxy(host="h", port=1, target_port=2)
        path.reset_s.append(reset_s)
        case.paths = [*(run.proxy for run in case.runs), path]
        case.ended(None, after_s=1.0)
        case.lines.append(EndLine(EndReason.ENGINE_ENDED, True, "i-2", attempts))
        assert case.rules() == broken

    def test_may_have_met_a_request_that_waited_at_an_engine(self):
        case = Case(resumable=True)
        for _ in range(2):
            case.ran(end=RunEnd.BROKE_OFF, over_s=SENT_S + 0.9, last=2)
        case.waited = 1
        case.ended(EndReason.ENGINE_ENDED, after_s=1.0)
        assert case.rules() == []

    def test_are_needed_before_the_first_event_too(self):
        case = Case()
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.02, last=0)
        case.told.status, case.told.told_s = 502, SENT_S + 1.0
        case.lines.append(EndLine(EndReason.ENGINE_ENDED, False, "i-0"))
        assert case.rules() == ["LOST"]


class TestReasons:
    def case(self) -> Case:
        case = Case()
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S, last=2)
        return case

    def test_are_told_by_a_line(self):
        case = self.case()
        case.ended(None, after_s=1.0)
        assert case.rules() == ["SILENT-END"]

    def test_are_told_once(self):
        case = self.case()
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True)
        case.lines *= 2
        assert case.rules() == ["LINES"]

    def test_need_no_line_of_a_process_that_is_killed(self):
        case = self.case()
        case.entry.killed_s.append(SENT_S + 1.0)
        case.ended(None, after_s=1.0)
        assert case.rules() == []

    def test_of_another_life_are_no_excuse(self):
        case = self.case()
        case.entry.killed_s.append(SENT_S - 1.0)
        case.ended(None, after_s=1.0)
        assert case.rules() == ["SILENT-END"]

    def test_need_no_line_where_the_engine_had_finished_as_the_caller_left(self):
        case = Case()
        case.ran(over_s=SENT_S + 1.0)
        case.ended(None, after_s=1.0, left=True)
        assert case.rules() == []

    def test_agree_on_whether_an_answer_had_begun(self):
        case = self.case()
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True, begun=False)
        assert case.rules() == ["DENIED"]

    @pytest.mark.parametrize(("left", "broken"), [(True, []), (False, ["LOST"])])
    def test_name_callers_that_left(self, left, broken):
        case = self.case()
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=left)
        assert case.rules() == broken

    @pytest.mark.parametrize(("after_s", "broken"), [(TIMEOUT_S, []), (TIMEOUT_S / 2, ["LOST"])])
    def test_name_the_timeout_of_the_route(self, after_s, broken):
        case = self.case()
        case.ended(EndReason.ROUTE_TIMEOUT, after_s=after_s)
        assert case.rules() == broken

    @pytest.mark.parametrize(
        ("deadline_s", "broken"), [(2.0, []), (3.0, ["LOST"]), (None, ["LOST"])]
    )
    def test_name_the_deadline_of_the_caller(self, deadline_s, broken):
        case = self.case()
        case.told.deadline_s = deadline_s
        case.ended(EndReason.CALLER_DEADLINE, after_s=2.0)
        assert case.rules() == broken

    @pytest.mark.parametrize(
        ("stopped_s", "broken"),
        [([SENT_S - STOP_GRACE_S], []), ([SENT_S], ["LOST"]), ([], ["LOST"])],
    )
    def test_name_the_grace_of_a_stop(self, stopped_s, broken):
        case = self.case()
        case.entry.stopped_s += stopped_s
        case.ended(EndReason.STOPPED, after_s=1.0)
        assert case.rules() == broken

    @pytest.mark.parametrize("reason", [EndReason.NOT_TAKEN, EndReason.QUARANTINED])
    def test_of_requests_that_have_not_begun_end_no_answer(self, reason):
        case = self.case()
        case.ended(reason, after_s=1.0)
        assert case.rules() == ["LOST"]

    def test_are_read_from_logs(self, tmp_path):
        log = tmp_path / "log"
        log.write_text(
            "no line of ours\n"
            '{"message":"request ended without an answer","request":"r","begun":true,'
            '"reason":"its caller left","instance":"i-0","attempts":2}\n'
        )
        assert end_lines([log]) == {"r": [EndLine(EndReason.CALLER_LEFT, True, "i-0", 2)]}


class TestEnginesThatAreNotNeeded:
    @pytest.mark.parametrize(("late_s", "broken"), [(0.1, []), (LATE_S, ["GONE"])])
    def test_are_let_go_when_their_caller_left(self, late_s, broken):
        case = Case()
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.0 + late_s, last=2)
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True)
        assert case.rules() == broken

    @pytest.mark.parametrize(("late_s", "broken"), [(0.1, []), (LATE_S, ["GONE"])])
    def test_are_let_go_when_another_one_goes_on(self, late_s, broken):
        case = Case(resumable=True)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.5 + late_s, last=2)
        case.ran(over_s=SENT_S + 1.7)
        case.heard(1, 2)
        case.heard(3, 4, run=1)
        assert case.rules() == broken

    @pytest.mark.parametrize(("late_s", "broken"), [(0.1, []), (LATE_S, ["GONE"])])
    def test_are_let_go_when_the_first_one_goes_on(self, late_s, broken):
        case = Case(resumable=True)
        case.ran(over_s=SENT_S + 1.4)
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.4 + late_s, last=2)
        case.heard(1, 2)
        case.told.heard += [Heard(3, 0, SENT_S + 1.4), Heard(4, 0, SENT_S + 1.4)]
        case.told.told_s = SENT_S + 1.4
        assert case.rules() == broken

    def test_may_go_on_while_their_entry_is_held_up(self):
        case = Case()
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 3.1, last=2)
        case.entry.held.add(SENT_S + 0.5, SENT_S + 3.0)
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True)
        assert case.rules() == []

    def test_may_seem_to_go_on_while_the_soak_itself_did_not_run(self):
        case = Case()
        case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 3.1, last=2)
        case.own_holds.add(SENT_S + 1.01, SENT_S + 3.05)
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True)
        assert case.rules() == []

    def test_may_go_on_while_the_way_to_them_is_cut(self):
        case = Case()
        run = case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 3.1, last=2)
        run.path.add(SENT_S + 0.5, SENT_S + 3.0)
        case.ended(EndReason.CALLER_LEFT, after_s=1.0, left=True)
        assert case.rules() == []

    def test_that_go_on_for_ever_are_found(self):
        case = Case()
        run = case.ran()
        run.end = run.over_s = None
        case.heard(1, 2, 3, 4)
        assert case.rules() == ["GONE"]


class TestSecondEngines:
    def case(self, silent_s: float) -> Case:
        case = Case(resumable=True)
        first = case.ran(end=RunEnd.LET_GO, over_s=SENT_S + 1.25, last=2)
        case.ran(over_s=SENT_S + 1.6)
        first.wrote_s = [SENT_S + 0.2, case.runs[1].began_s - silent_s]
        case.heard(1, 2)
        case.heard(3, 4, run=1)
        return case

    @pytest.mark.parametrize(("silent_s", "broken"), [(0.9, []), (0.2, ["HASTY"]), (0.05, [])])
    def test_are_asked_beside_engines_that_are_silent(self, silent_s, broken):
        """What is written as the second one is asked is on its way."""
        assert self.case(silent_s).rules() == broken

    def test_may_be_asked_beside_one_that_wrote_when_the_way_to_it_was_cut(self):
        case = self.case(0.2)
        case.runs[0].path.add(SENT_S + 0.2, SENT_S + 1.2)
        assert case.rules() == []

    def test_may_follow_one_that_wrote_and_ended(self):
        case = self.case(0.2)
        case.runs[0].end, case.runs[0].over_s = RunEnd.BROKE_OFF, SENT_S + 1.05
        assert case.rules() == []


class TestEnginesThatAreCalledSilent:
    @pytest.mark.parametrize(("silent_s", "broken"), [(0.9, []), (0.2, ["NOT-SILENT"]), (0.05, [])])
    def test_have_written_nothing_lately(self, silent_s, broken):
        case = Case()
        run = case.ran(over_s=SENT_S + 2.0)
        case.heard(1, 2, 3, 4)
        run.wrote_s = [SENT_S + 0.2, SENT_S + 1.2]
        case.silent.append(SilentLine("i-0", SENT_S + 1.2 + silent_s))
        case.told.told_s = SENT_S + 2.0
        assert case.rules() == broken

    def test_are_read_from_logs(self, tmp_path):
        log = tmp_path / "log"
        log.write_text(
            '{"time_s":7.5,"message":"engine is silent","request":"r","instance":"i-0"}\n'
        )
        assert silent_lines([log], wall_ahead_s=5.0) == {"r": [SilentLine("i-0", 2.5)]}


class TestAttempts:
    def test_are_one_where_a_stream_may_not_be_resumed(self):
        case = Case()
        case.ran()
        case.ran(over_s=SENT_S + 1.2)
        case.heard(1, 2, 3, 4)
        assert case.rules() == ["TWICE"]

    @pytest.mark.parametrize(("end", "broken"), [(RunEnd.ENDED, []), (RunEnd.LET_GO, ["ATTEMPTS"])])
    def test_are_as_many_as_the_route_says_but_for_engines_that_ended(self, end, broken):
        case = Case(resumable=True)
        for _ in range(3):
            case.ran(end=end, over_s=SENT_S + 0.6, last=0)
        case.ran(over_s=SENT_S + 1.0)
        case.heard(1, 2, 3, 4)
        assert case.rules() == broken

    def test_are_none_where_a_request_is_said_not_to_have_run(self):
        case = Case()
        case.ran(end=RunEnd.LET_GO, last=0)
        case.told.status = 503
        case.lines.append(EndLine(EndReason.NOT_TAKEN, False, ""))
        assert "REFUSED" in case.rules()


class TestRecords:
    def test_read_the_events_that_engines_write(self):
        case = Case()
        run = case.ran()
        case.told.hear(event_of(run, 3).removesuffix(b"\n\n"), SENT_S)
        assert case.told.heard == [Heard(3, 0, SENT_S)]
        assert case.told.strange == b""

    def test_know_when_a_path_was_disturbed(self):
        proxy = Proxy(host="h", port=1, target_port=2)
        proxy.path = Path.CUT
        assert proxy.harmed.clear_after(float("1e18"), 1.0) == float("inf")
        proxy.path = Path.OPEN
        assert proxy.harmed.clear_after(0.0, 0.0) == 0.0
