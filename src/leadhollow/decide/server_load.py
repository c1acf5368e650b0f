"""Load of one backend server: requests of this entry, load reports, and past request counts."""

from __future__ import annotations

from collections import deque

from leadhollow.decide.eligibility import Regions
from leadhollow.decide.send_limiter import SendLimiter
from leadhollow.wire.generated.ttypes import LoadRecord

MAX_CHANGES_KEPT = 64
MIN_UNEXPLAINED = 3  # fewer requests that no entry reported are a matter of timing


class OwnCall:
    """A request of this entry at a backend server.

    Parameters
    ----------
    regions
        Regions in which the request may be served; None if all may serve it.

    Attributes
    ----------
    in_prefill
        Whether no event has arrived yet, so that the prompt may still be in prefill.
    send_limiter
        Limiter whose token the request holds, if the server has a rate limit.
    sent
        Whether the request was sent, so that its token is spent.
    """

    __slots__ = (
        "in_prefill",
        "output_tokens",
        "placed_s",
        "predicted_ms",
        "prompt_tokens",
        "regions",
        "send_limiter",
        "sent",
    )

    def __init__(
        self,
        *,
        prompt_tokens: int,
        output_tokens: float,
        placed_s: float,
        predicted_ms: float,
        regions: Regions | None = None,
    ) -> None:
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.placed_s = placed_s
        self.predicted_ms = predicted_ms
        self.regions = regions
        self.in_prefill = True
        self.send_limiter: SendLimiter | None = None
        self.sent = False


class EngineReport:
    """Last load report of an engine, with the request counts that were known here at its time.

    Parameters
    ----------
    own_requests
        Requests of this entry at the engine.
    reported_requests
        Requests that other entries had reported.
    """

    __slots__ = ("made_s", "own_requests", "record", "reported_requests")

    def __init__(
        self, *, record: LoadRecord, made_s: float, own_requests: int, reported_requests: int = 0
    ) -> None:
        self.record = record
        self.made_s = made_s
        self.own_requests = own_requests
        self.reported_requests = reported_requests

    @property
    def peer_requests(self) -> int:
        """Requests of other entries at the time of the report."""
        found = int(self.record.active or 0) + int(self.record.queued or 0)
        return max(0, found - self.own_requests)

    @property
    def unexplained(self) -> int:
        """Requests that no connected entry reported: from one that is cut off or has ended."""
        found = self.peer_requests - self.reported_requests
        return found if found >= MIN_UNEXPLAINED else 0


class CountHistory:
    """A count and its recent values."""

    __slots__ = ("_changes",)

    def __init__(self) -> None:
        self._changes: deque[tuple[float, int]] = deque(maxlen=MAX_CHANGES_KEPT)

    def record(self, count: int, now_s: float) -> None:
        """Set the count from now on."""
        self._changes.append((now_s, count))

    def at(self, moment_s: float) -> int:
        """Return the count at an earlier time."""
        count = 0
        for changed_s, found in self._changes:
            if changed_s > moment_s:
                break
            count = found
        return count


__all__ = ["CountHistory", "EngineReport", "OwnCall"]
