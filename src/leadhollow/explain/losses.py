"""Classifies requests that entries refused, answered late or broke off, by cause and by second.

The unit is the attempt, as entries log it. Logs do not show requests that never reached an entry,
nor whether a later attempt of the same caller succeeded.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum
from http import HTTPStatus

from leadhollow.explain.records import LogRecord
from leadhollow.forward.end_reason import EndReason

QUEUE_WAIT_MS = 20.0  # a request that waits longer for an engine counts as queued
PREDICTION_ERROR_MS = 100.0  # a first event later than predicted by more counts as mispredicted


class Loss(Enum):
    """Why an attempt was refused, late or broken off."""

    NOBODY_SERVES = "refused: no entry found an engine with usable weights"
    ENGINES_FULL = "refused: engines serve, and none could answer in time"
    NOT_READY = "refused: the entry knew no route table or was leaving"
    NOT_ALLOWED = "refused: no route, or an unknown key"
    WAITED = "late: waited for a place"
    SENT_AGAIN = "late: a first engine did not answer"
    MISPREDICTED = "late: the engine took longer than predicted"
    PREDICTED = "late: taken although late"
    TIMED_OUT = "broken off: the time was over"
    BROKEN = "broken off: the engines that had it were lost"
    OTHER = "not explained"


class _Attempt:
    """What the log of an entry shows of one attempt.

    Attributes
    ----------
    logged_s
        Time of the log line with the first event or the failure; until then, of the first line.
    chosen_s
        Times at which an engine was chosen; more than one where the request was sent again.
    predicted_ms
        Predicted time until the first event, of the first engine that was chosen.
    engine_ms
        Time from placement on an engine to the first event, None without a first event.
    after_ms
        Time from arrival of the request to ``logged_s``, None where neither line was logged.
    """

    __slots__ = (
        "after_ms",
        "caller_left",
        "chosen_s",
        "code",
        "engine_ms",
        "logged_s",
        "predicted_ms",
        "status",
    )

    def __init__(self, *, logged_s: float) -> None:
        self.logged_s = logged_s
        self.chosen_s: list[float] = []
        self.predicted_ms = 0.0
        self.engine_ms: float | None = None
        self.after_ms: float | None = None
        self.caller_left = False
        self.status: int | None = None
        self.code: int | None = None

    @property
    def received_s(self) -> float:
        """Time at which the request arrived; the first log line stands in where none gives it."""
        return self.logged_s if self.after_ms is None else self.logged_s - self.after_ms / 1000


class LossTable:
    """Lost attempts, counted by cause and by second.

    Attributes
    ----------
    by_cause
        Lost attempts for each cause.
    by_second
        The same for each whole second since the first log line.
    attempts
        All attempts that entries logged, lost or not.
    """

    __slots__ = ("attempts", "by_cause", "by_second")

    def __init__(self) -> None:
        self.attempts = 0
        self.by_cause: Counter[Loss] = Counter()
        self.by_second: defaultdict[int, Counter[Loss]] = defaultdict(Counter)

    def add(self, loss: Loss, second: int) -> None:
        """Count one lost attempt."""
        self.by_cause[loss] += 1
        self.by_second[second][loss] += 1


def classify_losses(records: Iterable[LogRecord], *, objective_ms: float) -> LossTable:
    """Count lost attempts by cause and by second.

    Parameters
    ----------
    records
        Log lines of all entries.
    objective_ms
        Time from arrival to the first event within which a response is on time.
    """
    attempts: dict[str, _Attempt] = {}
    serving_seconds: set[int] = set()  # whole seconds in which any entry chose an engine
    table = LossTable()
    start_s: float | None = None
    refusals: list[tuple[Loss, float]] = []
    for record in records:
        start_s = record.time_s if start_s is None else min(start_s, record.time_s)
        if record.message == "engine chosen":
            serving_seconds.add(int(record.time_s))
        if record.message == "request refused":
            refusals.append((_refusal_loss(record), record.time_s))
        _merge_record(attempts, record)
    for attempt in attempts.values():
        loss = _attempt_loss(attempt, objective_ms, serving_seconds)
        if loss is not None:
            table.add(loss, int(attempt.received_s - (start_s or 0.0)))
    for loss, time_s in refusals:
        table.add(loss, int(time_s - (start_s or 0.0)))
    table.attempts = len(attempts) + len(refusals)
    return table


def _merge_record(attempts: dict[str, _Attempt], record: LogRecord) -> None:
    request = record.fields.get("request")
    if not isinstance(request, str):
        return
    attempt = attempts.setdefault(request, _Attempt(logged_s=record.time_s))
    match record.message:
        case "engine chosen":
            attempt.chosen_s.append(record.time_s)
            if len(attempt.chosen_s) == 1:
                attempt.predicted_ms = _number(record, "predicted_ms")
        case "first event":
            attempt.logged_s = record.time_s
            attempt.after_ms = _number(record, "after_ms")
            attempt.engine_ms = _number(record, "engine_ms")
        case "request ended without an answer":
            attempt.caller_left = record.fields.get("reason") == EndReason.CALLER_LEFT.value
            attempt.status = int(_number(record, "status") or HTTPStatus.BAD_GATEWAY)
            attempt.code = int(_number(record, "code"))
            if attempt.after_ms is None:
                attempt.logged_s = record.time_s
                attempt.after_ms = _number(record, "after_ms")


def _attempt_loss(attempt: _Attempt, objective_ms: float, serving_seconds: set[int]) -> Loss | None:
    """Return the cause of a loss, None for a request on time or one that its caller cancelled."""
    if attempt.caller_left:
        return None
    if attempt.status is not None:
        return _failure_loss(attempt, serving_seconds)
    if attempt.engine_ms is None or attempt.after_ms is None or attempt.after_ms <= objective_ms:
        return None
    if len(attempt.chosen_s) > 1:
        return Loss.SENT_AGAIN
    if attempt.engine_ms - attempt.predicted_ms > PREDICTION_ERROR_MS:
        return Loss.MISPREDICTED
    if attempt.after_ms - attempt.engine_ms > QUEUE_WAIT_MS:
        return Loss.WAITED
    return Loss.PREDICTED if attempt.predicted_ms > objective_ms else Loss.MISPREDICTED


def _failure_loss(attempt: _Attempt, serving_seconds: set[int]) -> Loss:
    match attempt.status:
        case 503 if not attempt.chosen_s:
            nearby_seconds = {
                int(attempt.logged_s) - 1,
                int(attempt.logged_s),
                int(attempt.logged_s) + 1,
            }
            return Loss.ENGINES_FULL if nearby_seconds & serving_seconds else Loss.NOBODY_SERVES
        case 503 | 502:
            return Loss.BROKEN
        case 504:
            return Loss.TIMED_OUT
        case _:
            return Loss.OTHER


def _refusal_loss(record: LogRecord) -> Loss:
    return Loss.NOT_READY if _number(record, "status") == 503 else Loss.NOT_ALLOWED


def _number(record: LogRecord, field: str) -> float:
    value = record.fields.get(field)
    return float(value) if isinstance(value, int | float) else 0.0


__all__ = ["Loss", "LossTable", "classify_losses"]
