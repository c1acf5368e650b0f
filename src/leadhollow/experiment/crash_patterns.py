"""Load patterns of the simulation of crashing requests, and the figures of a run."""

from __future__ import annotations

from enum import Enum

import msgspec


class CrashMemory(Enum):
    """What is recorded about requests that were running when engines ended."""

    NONE = "none"
    COUNT = "count of three"
    SUSPECTS = "suspects"


class CrashPattern(msgspec.Struct, frozen=True, kw_only=True):
    """A load pattern with requests that crash engines and engines that end for other reasons.

    Parameters
    ----------
    crashers
        Number of requests that crash every engine that runs them.
    every_s
        Interval between arrivals of each such request.
    copies
        Number of copies of each arrival; each is sent to a random entry.
    new_bodies
        Whether each arrival has a new request body.
    parts
        Whether prompts have parts. Crashing requests then share one part, beside the first part of
        their route; sound requests have a second part that few or many of them share.
    companion
        Whether crashing requests share yet another part, which no sound request has.
    crash_s
        Time from sending such a request to the end of the engine.
    ends_per_s
        Rate of engines that end for other reasons.
    lost_domain_s
        Time at which all engines of one failure domain end; 0 for never.
    hot_share
        Share of the other requests that have one and the same body.
    """

    crashers: int = 0
    every_s: float = 2.0
    copies: int = 3
    new_bodies: bool = False
    parts: bool = False
    companion: bool = False
    crash_s: float = 0.3
    ends_per_s: float = 0.0
    lost_domain_s: float = 0.0
    hot_share: float = 0.0
    rate_per_s: float = 300.0
    length_s: float = 20.0


PATTERNS = {
    "one": CrashPattern(crashers=1),
    "five": CrashPattern(crashers=5),
    "one, all else": CrashPattern(crashers=1, ends_per_s=1.0, lost_domain_s=8.0, hot_share=0.1),
    "none, all else": CrashPattern(ends_per_s=2.0, lost_domain_s=8.0, hot_share=0.1),
    "new bodies": CrashPattern(crashers=1, new_bodies=True, copies=1),
    "part": CrashPattern(crashers=1, new_bodies=True, parts=True, copies=1, every_s=1.0),
    "part, ten a second": CrashPattern(
        crashers=1, new_bodies=True, parts=True, copies=1, every_s=0.1
    ),
    "part, companion": CrashPattern(
        crashers=1, new_bodies=True, parts=True, companion=True, copies=1, every_s=1.0
    ),
    "two parts, all else": CrashPattern(
        crashers=2,
        new_bodies=True,
        parts=True,
        copies=1,
        every_s=1.0,
        ends_per_s=1.0,
        lost_domain_s=8.0,
        hot_share=0.1,
    ),
    "parts, none": CrashPattern(parts=True, ends_per_s=2.0, lost_domain_s=8.0, hot_share=0.1),
}


class CrashFigures(msgspec.Struct, kw_only=True):
    """Results of one run.

    Parameters
    ----------
    engines_lost
        Engines that crashing requests ended.
    others_broken
        Other requests that were interrupted by these ends.
    others_held, others_refused
        Other requests and parts that were quarantined, and the number of requests that were refused
        for them.
    late_sends
        Sends of crashing requests later than 0.2 s after the third engine that each ended, or after
        the fifth that their part ended.
    worst_lost
        Most engines that one request or part ended.
    """

    engines_lost: int = 0
    others_broken: int = 0
    others_held: int = 0
    others_refused: int = 0
    late_sends: int = 0
    worst_lost: int = 0
    requests: int = 0


__all__ = ["PATTERNS", "CrashFigures", "CrashMemory", "CrashPattern"]
