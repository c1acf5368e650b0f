"""Prompts of parts, and a part that crashes each engine that begins to answer it."""

from __future__ import annotations

import random
from collections.abc import Mapping

CRASHING_PART = "0badf00d"
FIRST_PART = "5c"  # of all prompts of the route
SHARED_PARTS = 24
ENDS_TO_HOLD = 5  # engines that it may end before nothing may reach another one
BEGINS_S = 0.06  # from the first event of the answer until the engine ends
BACK_AFTER_S = (0.6, 1.5)
EVERY_S = 0.4
TRIALS = 9  # requests with the part that are sent when all is calm again
BETWEEN_TRIALS_S = 0.1


class PartLog:
    """Engines that the part ended, and requests with it that reached engines.

    Attributes
    ----------
    ends_s, arrivals_s
        Times by the clock of the ledger.
    """

    __slots__ = ("arrivals_s", "ends_s")

    def __init__(self) -> None:
        self.ends_s: list[float] = []
        self.arrivals_s: list[float] = []


def prompt_parts(source: random.Random, request: str, *, crashing: bool) -> str:
    """Draw the parts of a prompt; the last one is the request's own, of no other."""
    shared = min(int(source.paretovariate(0.8)), SHARED_PARTS)
    parts = [f"{FIRST_PART}:40", f"{0xA0 + shared:x}:60"]
    if crashing:
        parts.insert(source.randint(0, len(parts)), f"{CRASHING_PART}:30")
    return ",".join([*parts, f"{request}:20"])


def has_crashing_part(headers: Mapping[str, str]) -> bool:
    """Return whether the crashing part stands before the last one."""
    parts = headers.get("X-Prompt-Prefix", "").split(",")
    return any(part.partition(":")[0] == CRASHING_PART for part in parts[:-1])


__all__ = [
    "BACK_AFTER_S",
    "BEGINS_S",
    "BETWEEN_TRIALS_S",
    "ENDS_TO_HOLD",
    "EVERY_S",
    "TRIALS",
    "PartLog",
    "has_crashing_part",
    "prompt_parts",
]
