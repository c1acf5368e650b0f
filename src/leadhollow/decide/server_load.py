"""What is known of the requests at one backend server: our own calls, reports, earlier counts."""

from __future__ import annotations

from collections import deque

from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.wire.generated.ttypes import LoadRecord

COUNTS_KEPT = 64
UNEXPLAINED_LEAST = 3  # fewer requests than this that nobody told of are a matter of moments


class OwnCall:
    """A request of this entry that runs at a backend server.

    Attributes
    ----------
    reading
        Whether no event has come yet, so that its prompt may still be read.
    permit
        Allowance that its token was taken from, where its server has a limit.
    sent
        Whether it was sent, so that its token is used up.
    """

    __slots__ = (
        "output_tokens",
        "permit",
        "placed_s",
        "predicted_ms",
        "prompt_tokens",
        "in_prefill",
        "sent",
    )

    def __init__(
        self, *, prompt_tokens: int, output_tokens: float, placed_s: float, predicted_ms: float
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.placed_s = placed_s
        self.predicted_ms = predicted_ms
        self.in_prefill = True
        self.permit: SendLimiter | None = None
        self.sent = False


class Report:
    """Last report of an engine's load, and how much of it was known here then.

    Parameters
    ----------
    own_then
        Requests of this entry that ran there.
    told_then
        Requests that other entries had told of.
    """

    __slots__ = ("made_s", "own_then", "record", "told_then")

    def __init__(
        self, *, record: LoadRecord, made_s: float, own_then: int, told_then: int = 0
    ) -> None:
        self.record = record
        self.made_s = made_s
        self.own_then = own_then
        self.told_then = told_then

    @property
    def others(self) -> int:
        """Requests of other entries at the time of the report."""
        found = int(self.record.active or 0) + int(self.record.queued or 0)
        return max(0, found - self.own_then)

    @property
    def unexplained(self) -> int:
        """Requests that no entry in touch told of: of one that is cut off, or has ended."""
        found = self.others - self.told_then
        return found if found >= UNEXPLAINED_LEAST else 0


class Counts:
    """A count and what it lately was."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        self._changes: deque[tuple[float, int]] = deque(maxlen=COUNTS_KEPT)

    def note(self, count: int, now_s: float) -> None:
        """Take the count from now on."""
        self._changes.append((now_s, count))

    def at(self, moment_s: float) -> int:
        """Give the count at an earlier moment."""
        count = 0
        for changed_s, found in self._changes:
            if changed_s > moment_s:
                break
            count = found
        return count


__all__ = ["Counts", "OwnCall", "Report"]
