"""Tests of the classification of lost attempts by cause and second."""

from __future__ import annotations

import pytest

from leadhollow.explain.losses import Loss, classify_losses
from leadhollow.explain.records import LogRecord
from leadhollow.forward.end_reason import EndReason

OBJECTIVE_MS = 400.0


def log_record(time_s: float, message: str, **fields: object) -> LogRecord:
    return LogRecord(source="e", time_s=time_s, component="c", message=message, fields=fields)


def engine_chosen(time_s: float, *, predicted_ms: int = 150, request: str = "r") -> LogRecord:
    return log_record(time_s, "engine chosen", request=request, predicted_ms=predicted_ms)


def first_event(time_s: float, *, after_ms: int, engine_ms: int) -> LogRecord:
    return log_record(time_s, "first event", request="r", after_ms=after_ms, engine_ms=engine_ms)


def ended_without_response(time_s: float, status: int, *, after_ms: int = 80) -> LogRecord:
    message = "request ended without an answer"
    return log_record(time_s, message, request="r", status=status, code=404, after_ms=after_ms)


def caller_left(time_s: float) -> LogRecord:
    message, reason = "request ended without an answer", EndReason.CALLER_LEFT.value
    return log_record(time_s, message, request="r", status=None, code=None, reason=reason)


def stopped(time_s: float) -> LogRecord:
    message, reason = "request ended without an answer", EndReason.STOPPED.value
    return log_record(time_s, message, request="r", status=None, code=None, reason=reason)


class TestLossCauses:
    @pytest.mark.parametrize(
        ("lines", "loss"),
        [
            ([engine_chosen(1.0), first_event(1.2, after_ms=200, engine_ms=200)], None),
            ([ended_without_response(1.0, 503)], Loss.NOBODY_SERVES),
            (
                [engine_chosen(1.0, request="other"), ended_without_response(1.5, 503)],
                Loss.ENGINES_FULL,
            ),
            ([log_record(1.0, "request refused", status=503)], Loss.NOT_READY),
            ([log_record(1.0, "request refused", status=404)], Loss.NOT_ALLOWED),
            (
                [engine_chosen(1.0), first_event(1.5, after_ms=500, engine_ms=500)],
                Loss.MISPREDICTED,
            ),
            ([engine_chosen(1.3), first_event(1.5, after_ms=500, engine_ms=200)], Loss.WAITED),
            (
                [
                    engine_chosen(1.0, predicted_ms=450),
                    first_event(1.45, after_ms=455, engine_ms=450),
                ],
                Loss.PREDICTED,
            ),
            (
                [
                    engine_chosen(1.0),
                    engine_chosen(1.4),
                    first_event(1.6, after_ms=600, engine_ms=200),
                ],
                Loss.SENT_AGAIN,
            ),
            ([engine_chosen(1.0), ended_without_response(3.0, 502, after_ms=2_000)], Loss.BROKEN),
            (
                [engine_chosen(1.0), ended_without_response(7.0, 504, after_ms=6_000)],
                Loss.TIMED_OUT,
            ),
            ([ended_without_response(1.0, 418)], Loss.OTHER),
            ([engine_chosen(1.0), caller_left(2.0)], None),
            ([engine_chosen(1.0), stopped(2.0)], Loss.BROKEN),
        ],
    )
    def test_log_lines_of_an_entry_determine_the_cause(self, lines, loss):
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert table.by_cause == ({} if loss is None else {loss: 1})

    def test_loss_is_counted_in_the_second_of_arrival(self):
        lines = [
            log_record(10.0, "process starts"),
            engine_chosen(12.1),
            first_event(13.2, after_ms=1_100, engine_ms=0),
        ]
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert list(table.by_second) == [2]

    def test_each_lost_attempt_is_counted_once(self):
        lines = [
            engine_chosen(1.0),
            ended_without_response(1.1, 503),
            log_record(1.0, "request refused", status=503),
        ]
        table = classify_losses(lines, objective_ms=OBJECTIVE_MS)
        assert sum(table.by_cause.values()) == 2
        assert table.attempts == 2
