"""Divides what the entries of a day refused, answered late or broke off by second and by cause.

It counts attempts, as entries log them. What never reached an entry, and whether a caller was
served by a later attempt, no log tells.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from enum import Enum
from http import HTTPStatus

from leadhollow.explain.records import LogRecord
from leadhollow.forward.end_reason import EndReason

WAITED_MS = 20.0  # between a request and the choice of its engine, from which it counts as waiting
FAULT_MS = 100.0  # by which a first event is later than predicted, from which the prediction erred


class Loss(Enum):
    """What became of an attempt that earned less than it could, and why."""

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
    """What the log of one entry says of one attempt."""

    __slots__ = (
        "after_ms",
        "chosen_s",
        "code",
        "engine_ms",
        "left",
        "predicted_ms",
        "seen_s",
        "status",
    )

    def __init__(self, *, seen_s: float) -> None:
        self.seen_s = seen_s
        self.chosen_s: list[float] = []
        self.predicted_ms = 0.0
        self.engine_ms: float | None = None
        self.after_ms: float | None = None
        self.left = False  # by its caller
        self.status: int | None = None
        self.code: int | None = None

    @property
    def received_s(self) -> float:
        """Time at which it came, as far as the log tells."""
        return self.seen_s if self.after_ms is None else self.seen_s - self.after_ms / 1000


class LossTable:
    """Losses of a day.

    Attributes
    ----------
    by_cause
        Attempts lost for each cause.
    by_second
        The same for each whole second, from the first line on.
    attempts
        All attempts that an entry logged.
    """

    __slots__ = ("attempts", "by_cause", "by_second")

    def __init__(self) -> None:
        self.attempts = 0
        self.by_cause: Counter[Loss] = Counter()
        self.by_second: defaultdict[int, Counter[Loss]] = defaultdict(Counter)

    def add(self, loss: Loss, second: int) -> None:
        """Count one attempt."""
        self.by_cause[loss] += 1
        self.by_second[second][loss] += 1


def classify_losses(records: Iterable[LogRecord], *, objective_ms: float) -> LossTable:
    """Divide what was lost by cause.

    Parameters
    ----------
    objective_ms
        Time until the first event within which an answer is on time.
    """
    attempts: dict[str, _Attempt] = {}
    serving: set[int] = set()  # whole seconds in which any entry chose an engine
    table = LossTable()
    start_s: float | None = None
    listener_losses: list[tuple[Loss, float]] = []
    for record in records:
        start_s = record.time_s if start_s is None else min(start_s, record.time_s)
        if record.message == "engine chosen":
            serving.add(int(record.time_s))
        if record.message == "request refused":
            listener_losses.append((_listener_loss(record), record.time_s))
        _take(attempts, record)
    for attempt in attempts.values():
        loss = _loss(attempt, objective_ms, serving)
        if loss is not None:
            table.add(loss, int(attempt.received_s - (start_s or 0.0)))
    for loss, time_s in listener_losses:
        table.add(loss, int(time_s - (start_s or 0.0)))
    table.attempts = len(attempts) + len(listener_losses)
    return table


def _take(attempts: dict[str, _Attempt], record: LogRecord) -> None:
    request = record.fields.get("request")
    if not isinstance(request, str):
        return
    attempt = attempts.setdefault(request, _Attempt(seen_s=record.time_s))
    match record.message:
        case "engine chosen":
            attempt.chosen_s.append(record.time_s)
            if len(attempt.chosen_s) == 1:
                attempt.predicted_ms = _number(record, "predicted_ms")
        case "first event":
            attempt.seen_s = record.time_s
            attempt.after_ms = _number(record, "after_ms")
            attempt.engine_ms = _number(record, "engine_ms")
        case "request ended without an answer":
            attempt.left = record.fields.get("reason") == EndReason.CALLER_LEFT.value
            attempt.status = int(_number(record, "status") or HTTPStatus.BAD_GATEWAY)
            attempt.code = int(_number(record, "code"))
            if attempt.after_ms is None:
                attempt.seen_s = record.time_s
                attempt.after_ms = _number(record, "after_ms")


def _loss(attempt: _Attempt, objective_ms: float, serving: set[int]) -> Loss | None:
    """Give why an attempt earned less than it could; None where it did not."""
    if attempt.left:
        return None
    if attempt.status is not None:
        return _ending(attempt, serving)
    if attempt.engine_ms is None or attempt.after_ms is None or attempt.after_ms <= objective_ms:
        return None
    if len(attempt.chosen_s) > 1:
        return Loss.SENT_AGAIN
    if attempt.engine_ms - attempt.predicted_ms > FAULT_MS:
        return Loss.MISPREDICTED
    if attempt.after_ms - attempt.engine_ms > WAITED_MS:
        return Loss.WAITED
    return Loss.PREDICTED if attempt.predicted_ms > objective_ms else Loss.MISPREDICTED


def _ending(attempt: _Attempt, serving: set[int]) -> Loss:
    match attempt.status:
        case 503 if not attempt.chosen_s:
            near = {int(attempt.seen_s) - 1, int(attempt.seen_s), int(attempt.seen_s) + 1}
            return Loss.ENGINES_FULL if near & serving else Loss.NOBODY_SERVES
        case 503 | 502:
            return Loss.BROKEN
        case 504:
            return Loss.TIMED_OUT
        case _:
            return Loss.OTHER


def _listener_loss(record: LogRecord) -> Loss:
    return Loss.NOT_READY if _number(record, "status") == 503 else Loss.NOT_ALLOWED


def _number(record: LogRecord, field: str) -> float:
    value = record.fields.get(field)
    return float(value) if isinstance(value, int | float) else 0.0


__all__ = ["Loss", "LossTable", "divide_losses"]
