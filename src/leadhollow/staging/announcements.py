"""The interval at which a stager announces the pieces that it has received."""

from __future__ import annotations

MIN_ANNOUNCE_INTERVAL_S = 0.04  # pieces received within it are announced together
MAX_ANNOUNCEMENTS_PER_S = 400.0
"""Announcements of one stager to all its followers together. With 40 followers each gets ten a
second. This bounds the cost of a piece for any number of followers; the transfer of a piece takes
0.4 s anyway."""


def announce_interval_s(followers: int) -> float:
    """Return how long received pieces are collected before the next announcement."""
    return max(MIN_ANNOUNCE_INTERVAL_S, followers / MAX_ANNOUNCEMENTS_PER_S)


__all__ = ["MAX_ANNOUNCEMENTS_PER_S", "MIN_ANNOUNCE_INTERVAL_S", "announce_interval_s"]
