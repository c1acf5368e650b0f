"""What is held against an entry, and what is not."""

from __future__ import annotations

import pytest

from tests.at_size.callers import Left, Route, Stream
from tests.at_size.engines import EngineRun
from tests.at_size.judge import Outcome, judge
from tests.at_size.timeline import Befell, Span, Timeline
from tests.soak.backend import event

REQUEST = "0000000000000001"
SENT_S = 100.0
HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data: bytes) -> bytes:
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def a_stream(
    *,
    events: int,
    after_s: float,
    whole: bool = False,
    resumable: bool = False,
    head: bytes = HEAD,
    left: Left | None = None,
    deadline_s: float = 6.08,
) -> Stream:
    route = Route("order", 4, 500, resumable, 1.0)
    stream = Stream(request=REQUEST, vm="entry-0", route=route, deadline_s=deadline_s)
    stream.sent_s = SENT_S
    stream.last_s = SENT_S + min(0.4, after_s)
    stream.ended_s = SENT_S + after_s
    stream.left = left
    data = b"".join(chunk(event(REQUEST, number)) for number in range(1, events + 1))
    stream.data = head + data + (b"0\r\n\r\n" if whole else b"")
    return stream


def a_run(
    *, written: int, own_end: bool = False, whole: bool = False, broken_s: float | None = None
) -> EngineRun:
    run = EngineRun(attempt_id=REQUEST, first=1, instance="i-1")
    run.written, run.own_end, run.whole = written, own_end, whole
    run.wrote_s = SENT_S + 0.4
    run.broken_s = None if broken_s is None else SENT_S + broken_s
    return run


def befell(kind: Befell, from_s: float, to_s: float) -> Timeline:
    timeline = Timeline()
    timeline.add("entry-0", Span(kind=kind, from_s=SENT_S + from_s, to_s=SENT_S + to_s))
    return timeline


def judged(stream: Stream, *runs: EngineRun, timeline: Timeline | None = None) -> Outcome:
    return judge(stream, runs, timeline or Timeline())


class TestStreamThatCameWhole:
    def test_is_whole(self):
        assert (
            judged(a_stream(events=4, after_s=0.5, whole=True), a_run(written=4)) is Outcome.WHOLE
        )

    def test_is_wrong_without_its_last_event(self):
        stream = a_stream(events=3, after_s=0.5, whole=True)
        assert judged(stream, a_run(written=3)) is Outcome.WRONG

    def test_is_wrong_where_it_ran_twice_and_may_not(self):
        stream = a_stream(events=0, after_s=0.5, head=b"")
        assert judged(stream, a_run(written=0), a_run(written=0)) is Outcome.WRONG


class TestStreamThatWasCut:
    def test_has_no_reason_while_its_engine_is_at_work(self):
        run = a_run(written=2, broken_s=1.3)
        assert judged(a_stream(events=2, after_s=1.25), run) is Outcome.CUT

    def test_has_no_reason_where_its_engine_has_written_everything(self):
        run = a_run(written=4, whole=True)
        assert judged(a_stream(events=2, after_s=1.25), run) is Outcome.CUT

    def test_has_no_reason_where_the_entry_was_held_up(self):
        timeline = befell(Befell.HOLD, 0.5, 1.2)
        run = a_run(written=4, whole=True)
        assert judged(a_stream(events=2, after_s=1.25), run, timeline=timeline) is Outcome.CUT

    def test_has_no_reason_where_an_answer_says_so(self):
        head = b"HTTP/1.1 502 Bad Gateway\r\nContent-Length: 4\r\n\r\n514\n"
        run = a_run(written=0, broken_s=1.0)
        assert judged(a_stream(events=0, after_s=1.0, head=head), run) is Outcome.CUT

    def test_is_denied_where_an_answer_says_that_it_has_not_run(self):
        head = b"HTTP/1.1 503 Service Unavailable\r\n\r\n"
        run = a_run(written=0, broken_s=1.0)
        assert judged(a_stream(events=0, after_s=1.0, head=head), run) is Outcome.WRONG

    def test_has_no_reason_early_in_the_grace_of_a_stop(self):
        timeline = befell(Befell.STOP, 0.5, 1.3)
        run = a_run(written=2, broken_s=1.3)
        assert judged(a_stream(events=2, after_s=1.25), run, timeline=timeline) is Outcome.CUT

    @pytest.mark.parametrize(
        ("run", "outcome"),
        [
            (a_run(written=2, own_end=True), Outcome.ENGINE_ENDED),
            (a_run(written=2, broken_s=1.3), Outcome.CUT),
        ],
    )
    def test_has_the_reason_of_its_last_engine(self, run, outcome):
        first = a_run(written=1, broken_s=0.5)
        stream = a_stream(events=2, after_s=1.25, resumable=True)
        assert judged(stream, first, run) is outcome

    def test_has_the_reason_of_the_engine_that_went_on_beside_a_silent_one(self):
        silent = a_run(written=1, broken_s=1.24)
        stream = a_stream(events=2, after_s=1.25, resumable=True)
        assert judged(stream, silent, a_run(written=2, own_end=True)) is Outcome.ENGINE_ENDED

    @pytest.mark.parametrize("broken_s", [0.5, 1.24])
    def test_has_no_reason_where_a_silent_engine_was_not_overtaken(self, broken_s):
        silent = a_run(written=2, broken_s=broken_s)
        stream = a_stream(events=2, after_s=1.25, resumable=True)
        assert judged(stream, silent, a_run(written=0, own_end=True)) is Outcome.CUT

    def test_may_end_with_its_route(self):
        run = a_run(written=2, broken_s=6.0)
        assert judged(a_stream(events=2, after_s=6.0), run) is Outcome.ROUTE_TIMEOUT

    def test_may_end_with_its_callers_deadline(self):
        stream = a_stream(events=2, after_s=3.0, deadline_s=3.0)
        assert judged(stream, a_run(written=2, broken_s=3.0)) is Outcome.CALLER_DEADLINE

    @pytest.mark.parametrize("killed_s", [-1.0, 1.3])
    def test_has_no_reason_in_a_kill_before_or_after_it(self, killed_s):
        timeline = befell(Befell.KILL, killed_s, killed_s + 0.3)
        run = a_run(written=2, broken_s=1.3)
        stream = a_stream(events=2, after_s=1.25)
        assert judged(stream, run, timeline=timeline) is Outcome.CUT

    def test_may_end_with_the_grace_of_a_stop(self):
        timeline = befell(Befell.STOP, -6.0, 2.0)
        run = a_run(written=2, broken_s=1.3)
        stream = a_stream(events=2, after_s=1.25)
        assert judged(stream, run, timeline=timeline) is Outcome.STOPPED

    @pytest.mark.parametrize("killed_s", [0.6, 1.2])
    def test_may_end_with_a_kill_of_its_entry(self, killed_s):
        timeline = befell(Befell.KILL, killed_s, killed_s + 0.3)
        run = a_run(written=2, broken_s=1.3)
        stream = a_stream(events=2, after_s=1.25)
        assert judged(stream, run, timeline=timeline) is Outcome.KILLED


class TestCallerThatLeft:
    def test_had_planned_it(self):
        stream = a_stream(events=2, after_s=0.6, left=Left.EARLY)
        assert judged(stream, a_run(written=3)) is Outcome.CALLER_LEFT

    def test_waited_for_an_engine(self):
        stream = a_stream(events=2, after_s=3.6, left=Left.GAP)
        assert judged(stream, a_run(written=2)) is Outcome.CALLER_LEFT

    def test_waited_for_events_that_its_engine_had_written(self):
        stream = a_stream(events=2, after_s=3.6, left=Left.GAP)
        assert judged(stream, a_run(written=4, whole=True)) is Outcome.STALLED

    @pytest.mark.parametrize("kind", [Befell.HOLD, Befell.STARVED])
    def test_waited_for_an_entry_that_could_not_run(self, kind):
        stream = a_stream(events=2, after_s=3.6, left=Left.GAP)
        timeline = befell(kind, 0.5, 3.5)
        assert judged(stream, a_run(written=4), timeline=timeline) is Outcome.CALLER_LEFT

    def test_waited_for_an_entry_whose_log_was_not_read(self):
        stream = a_stream(events=2, after_s=3.6, left=Left.GAP)
        timeline = befell(Befell.LOG_BLOCKED, 0.5, 3.5)
        assert judged(stream, a_run(written=4), timeline=timeline) is Outcome.STALLED


class TestRequestThatWasNotTaken:
    def test_is_no_fault(self):
        head = b"HTTP/1.1 503 Service Unavailable\r\n\r\n"
        assert judged(a_stream(events=0, after_s=0.1, head=head)) is Outcome.NOT_TAKEN
