"""Remembers what recently succeeded, to clear it of having ended a server."""

from __future__ import annotations

from collections import OrderedDict

from leadhollow.decide.fingerprints import PART_TAG

MAX_FINGERPRINTS = 8_192  # of each kind: half a minute of the busiest entry; about 1 MB
VALID_S = 60.0
"""Limits how long a success counts: weights change, and a request that succeeded on the old ones
may end servers that run the new ones."""


class RecentSuccesses:
    """Fingerprints of requests and prompt parts that succeeded, by kind, oldest first.

    Requests that are no two alike cannot push out the parts that they share.
    """

    __slots__ = ("_parts_s", "_requests_s")

    def __init__(self) -> None:
        self._parts_s: OrderedDict[bytes, float] = OrderedDict()
        self._requests_s: OrderedDict[bytes, float] = OrderedDict()

    def add(self, fingerprint: bytes, now_s: float) -> None:
        """Add a request or part that succeeded."""
        ended_s = self._of_kind(fingerprint)
        ended_s[fingerprint] = now_s
        ended_s.move_to_end(fingerprint)
        if len(ended_s) > MAX_FINGERPRINTS:
            ended_s.popitem(last=False)

    def contains(self, fingerprint: bytes, now_s: float) -> bool:
        """Return whether a fingerprint succeeded within the last ``VALID_S`` seconds."""
        ended_s = self._of_kind(fingerprint).get(fingerprint)
        return ended_s is not None and now_s - ended_s < VALID_S

    def clear(self) -> None:
        """Forget all successes, because servers will run other weights from now on."""
        self._parts_s.clear()
        self._requests_s.clear()

    def _of_kind(self, fingerprint: bytes) -> OrderedDict[bytes, float]:
        return self._parts_s if fingerprint.endswith(PART_TAG) else self._requests_s


__all__ = ["RecentSuccesses"]
