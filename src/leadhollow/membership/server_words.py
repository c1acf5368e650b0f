"""What backend servers said of themselves in answers, as it travels between our processes."""

from __future__ import annotations

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.wire.generated.ttypes import ServerWord, ServerWords

MOST_WORDS = 1_024  # of one message
LONGEST_REST_MS = (1 << 31) - 1  # that a message can carry


def leaving_word(instance: str, born_ms: int) -> ServerWord:
    """Encode that a life leaves."""
    return ServerWord(instance, born_ms, True, 0)


def rest_words(ends_s: dict[tuple[str, int], float], now_s: float) -> list[ServerWord]:
    """Encode the rests of some lives, as far as they last.

    Parameters
    ----------
    ends_s
        End of each, by name and birth of its life.
    """
    return [
        ServerWord(*life, False, min(LONGEST_REST_MS, max(1, round((end_s - now_s) * 1000))))
        for life, end_s in sorted(ends_s.items())
        if end_s > now_s
    ]


def check_words(words: ServerWords) -> Result[list[ServerWord], Failure]:
    """Give the words of a message.

    Errors
    ------
    FRAME_MALFORMED
        One names no server or a negative rest, or there are too many.
    """
    found = list(words.words or ())
    if len(found) > MOST_WORDS:
        return Err(_malformed(f"{len(found)} words"))
    for word in found:
        if not word.instance:
            return Err(_malformed("a word without a server"))
        if (word.rest_ms or 0) < 0 or (word.born_ms or 0) < 0:
            return Err(_malformed(f"a negative time of {word.instance}"))
    return Ok(found)


def life_key(word: ServerWord) -> tuple[str, int]:
    """Give name and birth of the life that a word is of."""
    return word.instance, int(word.born_ms or 0)


def _malformed(detail: str) -> Failure:
    return Failure(code=Code.FRAME_MALFORMED, detail=f"self-reports: {detail}")


__all__ = ["LONGEST_REST_MS", "MOST_WORDS", "check_words", "leaving_word", "life_key", "rest_words"]
