"""Tests of how what a day lost is divided by cause."""

from __future__ import annotations

import pytest

from leadhollow.explain.losses import Loss, classify_losses
from leadhollow.explain.records import LogRecord
from leadhollow.forward.end_reason import EndReason

OBJECTIVE_MS = 400.0


def line(time_s: float, message: str, **fields: object) -> LogRecord:
    return LogRecord(source="e", time_s=time_s, component="c", message=message, fields=fields)


def chosen(time_s: float, *, predicted_ms: int = 150, request: str = "r") -> LogRecord:
    return line(time_s, "engine chosen", request=request, predicted_ms=predicted_ms)


def first(time_s: float, *, after_ms: int, engine_ms: int) -> LogRecord:
    return line(time_s, "first event", request="r", after_ms=after_ms, engine_ms=engine_ms)


def ended(time_s: float, status: int, *, after_ms: int = 80) -> LogRecord:
    message = "request ended without an answer"
    return line(time_s, message, request="r", status=status, code=404, after_ms=after_ms)


def left(time_s: float) -> LogRecord:
    message, reason = "request ended without an answer", EndReason.CALLER_LEFT.value
    return line(time_s, message, request="r", status=None, code=None, reason=reason)


def cut(time_s: float) -> LogRecord:
    message, reason = "request ended without an answer", EndReason.STOPPED.value
    return line(time_s, message, request="r", status=None, code=None, reason=reason)


class TestCauses:
    @pytest.mark.parametrize(
        ("lines", "loss"),
        [
            ([chosen(1.0), first(1.2, after_ms=200, engine_ms=200)], None),
            ([ended(1.0, 503)], Loss.NOBODY_SERVES),
            ([chosen(1.0, request="other"), ended(1.5, 503)], Loss.ENGINES_FULL),
            ([line(1.0, "request refused", status=503)], Loss.NOT_READY),
            ([line(1.0, "request refused", status=404)], Loss.NOT_ALLOWED),
            ([chosen(1.0), first(1.5, after_ms=500, engine_ms=500)], Loss.MISPREDICTED),
            ([chosen(1.3), first(1.5, after_ms=500, engine_ms=200)], Loss.WAITED),
            (
                [chosen(1.0, predicted_ms=450), first(1.45, after_ms=455, engine_ms=450)],
                Loss.PREDICTED,
            ),
            (
                [chosen(1.0), chosen(1.4), first(1.6, after_ms=600, engine_ms=200)],
                Loss.SENT_AGAIN,
            ),
            ([chosen(1.0), ended(3.0, 502, after_ms=2_000)], Loss.BROKEN),
            ([chosen(1.0), ended(7.0, 504, after_ms=6_000)], Loss.TIMED_OUT),
            ([ended(1.0, 418)], Loss.OTHER),
            ([chosen(1.0), left(2.0)], None),
            ([chosen(1.0), cut(2.0)], Loss.BROKEN),
        ],
    )
    def test_are_told_from_what_entries_log(self, lines, loss):
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert table.by_cause == ({} if loss is None else {loss: 1})

    def test_stand_at_the_second_in_which_the_request_came(self):
        lines = [
            line(10.0, "process starts"),
            chosen(12.1),
            first(13.2, after_ms=1_100, engine_ms=0),
        ]
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert list(table.by_second) == [2]

    def test_add_up_to_all_that_was_lost(self):
        lines = [chosen(1.0), ended(1.1, 503), line(1.0, "request refused", status=503)]
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert sum(table.by_cause.values()) == 2
        assert table.attempts == 2
