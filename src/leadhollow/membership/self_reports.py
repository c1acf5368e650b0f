"""Wire encoding of what backend servers reported about themselves in their answers."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords

MAX_REPORTS = 1_024  # per message
MAX_BACKOFF_MS = (1 << 31) - 1  # largest value of the wire field


def leaving_report(life: str, *, told_by: str = "") -> ServerWord:
    """Encode the report that a life leaves.

    Parameters
    ----------
    told_by
        VM that received the report; empty if it is the sender of the message.
    """
    return ServerWord(life=life, leaving=True, told_by=told_by)


def backoff_report(life: str, remaining_s: float, *, told_by: str = "") -> ServerWord:
    """Encode a back-off by its remaining time in seconds."""
    rest_ms = min(MAX_BACKOFF_MS, max(1, round(remaining_s * 1000)))
    return ServerWord(life=life, rest_ms=rest_ms, told_by=told_by)


def check_reports(message: ServerWords) -> Result[list[ServerWord], Failure]:
    """Return the reports of a message if they are valid.

    Errors
    ------
    FRAME_MALFORMED
        A report has no life or a negative back-off, or there are too many reports.
    """
    reports = list(message.words or ())
    if len(reports) > MAX_REPORTS:
        return Err(_malformed(f"{len(reports)} words"))
    for report in reports:
        if not report.life:
            return Err(_malformed("a word without a server"))
        if (report.rest_ms or 0) < 0:
            return Err(_malformed(f"a negative rest of {report.life}"))
    return Ok(reports)


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"self-reports: {detail}")


__all__ = ["MAX_BACKOFF_MS", "MAX_REPORTS", "backoff_report", "check_reports", "leaving_report"]
