"""Remembers requests that recently succeeded, to clear them of having ended a server."""

from __future__ import annotations

from collections import OrderedDict

MAX_FINGERPRINTS = 8_192  # half a minute of the busiest entry; about 1 MB
VALID_S = 60.0
"""Limits how long a success counts: weights change, and a request that succeeded on the old ones
may end servers that run the new ones."""


class RecentSuccesses:
    """Fingerprints of requests that succeeded, oldest first."""

    __slots__ = ("_ended_s",)

    def __init__(self) -> None:
        self._ended_s: OrderedDict[bytes, float] = OrderedDict()

    def add(self, fingerprint: bytes, now_s: float) -> None:
        """Add a request that succeeded."""
        self._ended_s[fingerprint] = now_s
        self._ended_s.move_to_end(fingerprint)
        if len(self._ended_s) > MAX_FINGERPRINTS:
            self._ended_s.popitem(last=False)

    def contains(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a request succeeded within the last ``VALID_S`` seconds."""
        ended_s = self._ended_s.get(fingerprint)
        return ended_s is not None and now_s - ended_s < VALID_S

    def clear(self) -> None:
        """Forget all successes, because servers will run other weights from now on."""
        self._ended_s.clear()


__all__ = ["RecentSuccesses"]
