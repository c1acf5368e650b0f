"""What backend servers said of themselves in answers, as it travels between our processes."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords

MAX_REPORTS = 1_024  # of one message
LONGEST_REST_MS = (1 << 31) - 1  # that a message can carry


def leaving_report(life: str, *, told_by: str = "") -> ServerWord:
    """Encode that a life leaves.

    Parameters
    ----------
    told_by
        VM that heard it; empty where that is the one that sends the message.
    """
    return ServerWord(life=life, leaving=True, told_by=told_by)


def backoff_report(life: str, left_s: float, *, told_by: str = "") -> ServerWord:
    """Encode a rest by what is left of it."""
    rest_ms = min(LONGEST_REST_MS, max(1, round(left_s * 1000)))
    return ServerWord(life=life, rest_ms=rest_ms, told_by=told_by)


def check_reports(words: ServerWords) -> Result[list[ServerWord], Failure]:
    """Give the words of a message.

    Errors
    ------
    FRAME_MALFORMED
        One names no server or a negative rest, or there are too many.
    """
    found = list(words.words or ())
    if len(found) > MAX_REPORTS:
        return Err(_malformed(f"{len(found)} words"))
    for word in found:
        if not word.life:
            return Err(_malformed("a word without a server"))
        if (word.rest_ms or 0) < 0:
            return Err(_malformed(f"a negative rest of {word.life}"))
    return Ok(found)


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"self-reports: {detail}")


__all__ = ["LONGEST_REST_MS", "MOST_WORDS", "check_words", "leaving_word", "rest_word"]
