"""How often a stager tells of the pieces that have come to it."""

from __future__ import annotations

MIN_ANNOUNCE_INTERVAL_S = 0.04  # pieces that come within it are told together
MAX_ANNOUNCEMENTS_PER_S = 400.0
"""News to all that follow a stager, together. Forty are told ten times a second, so that what a
piece costs grows no further with those that follow; it takes 0.4 s to arrive anyway."""


def announce_interval_s(followers: int) -> float:
    """Give how long pieces are gathered before those that follow are told."""
    return max(MIN_ANNOUNCE_INTERVAL_S, followers / MAX_ANNOUNCEMENTS_PER_S)


__all__ = ["NEWS_PAUSE_S", "NEWS_PER_S", "news_pause_s"]
