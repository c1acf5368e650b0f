"""Requests that lately ended well here: whatever ends a server, it is none of these."""

from __future__ import annotations

from collections import OrderedDict

KEPT = 8_192  # half a minute of the busiest entry; about 1 MB
VALID_S = 60.0
"""Weights change meanwhile, and a request that was good may then end servers: it is cleared of ends
for a minute more at most."""


class RecentSuccesses:
    """Fingerprints of requests that ended well, the latest last."""

    __slots__ = ("_ended_s",)

    def __init__(self) -> None:
        self._ended_s: OrderedDict[bytes, float] = OrderedDict()

    def add(self, fingerprint: bytes, now_s: float) -> None:
        """Note a good end."""
        self._ended_s[fingerprint] = now_s
        self._ended_s.move_to_end(fingerprint)
        if len(self._ended_s) > KEPT:
            self._ended_s.popitem(last=False)

    def contains(self, fingerprint: bytes, now_s: float) -> bool:
        """Tell whether a request ended well lately."""
        ended_s = self._ended_s.get(fingerprint)
        return ended_s is not None and now_s - ended_s < VALID_S

    def clear(self) -> None:
        """Forget all, because servers are to run other weights from now on."""
        self._ended_s.clear()


__all__ = ["GoodEnds"]
