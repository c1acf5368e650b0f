"""Judges each stream by what its caller and its engines saw: whole, a good reason, or cut."""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum

from tests.at_size.callers import Left, Stream
from tests.at_size.engines import EngineRun
from tests.at_size.operating import TIMEOUT_S
from tests.at_size.timeline import Befell, Timeline
from tests.at_size.world import STOP_GRACE_S
from tests.soak.ledger import ON_ITS_WAY_S, PROMISED_NOT_RUN

LAST_OF_GRACE = 5 / 6  # part of the grace after which a stream that is at work may be ended


class Outcome(Enum):
    """What became of a stream; the last three are faults."""

    WHOLE = "whole"
    NOT_TAKEN = "refused, or no answer, and not run"
    ENGINE_ENDED = "its engine ended it"
    ROUTE_TIMEOUT = "the route's timeout came"
    CALLER_DEADLINE = "its caller's deadline came"
    CALLER_LEFT = "its caller left"
    STOPPED = "the grace of its entry's stop was over"
    KILLED = "its entry was killed"
    CUT = "cut without a reason"
    STALLED = "its engine's events were not passed on"
    WRONG = "wrong events, or a run that was denied"


FAULTS = (Outcome.CUT, Outcome.STALLED, Outcome.WRONG)


def judge(stream: Stream, runs: Sequence[EngineRun], timeline: Timeline) -> Outcome:
    """Judge one stream."""
    if _wrong(stream, runs):
        return Outcome.WRONG
    if stream.status == 200 and stream.complete:
        return Outcome.WHOLE
    return (
        _of_the_entry(stream, timeline)
        or _of_the_caller(stream, runs, timeline)
        or _of_the_answer(stream, runs)
    )


def _wrong(stream: Stream, runs: Sequence[EngineRun]) -> bool:
    if stream.status == 200:
        return not stream.right
    twice = not stream.route.resumable and len(runs) > 1
    return twice or (stream.status in PROMISED_NOT_RUN and bool(runs))


def _of_the_entry(stream: Stream, timeline: Timeline) -> Outcome | None:
    """Judge an end that lies after a kill of its entry or at the end of its grace."""
    if timeline.during(stream.vm, stream.sent_s, stream.ended_s, Befell.KILL):
        return Outcome.KILLED  # no connection survives it, whenever its caller looked
    if stream.left is not None:
        return None
    from_s = stream.ended_s - ON_ITS_WAY_S
    stops = timeline.during(stream.vm, from_s, stream.ended_s, Befell.STOP)
    if any(stream.ended_s - stop.from_s > LAST_OF_GRACE * STOP_GRACE_S for stop in stops):
        return Outcome.STOPPED
    return None


def _of_the_caller(stream: Stream, runs: Sequence[EngineRun], timeline: Timeline) -> Outcome | None:
    """Judge an end by the caller or by the time that the request has."""
    if stream.left is Left.GAP and _stalled(stream, runs, timeline):
        return Outcome.STALLED
    if stream.left in (Left.EARLY, Left.GAP):
        return Outcome.CALLER_LEFT
    took_s = stream.ended_s - stream.sent_s + ON_ITS_WAY_S
    if took_s > min(TIMEOUT_S, stream.deadline_s):
        by_route = stream.deadline_s >= TIMEOUT_S
        return Outcome.ROUTE_TIMEOUT if by_route else Outcome.CALLER_DEADLINE
    return None


def _stalled(stream: Stream, runs: Sequence[EngineRun], timeline: Timeline) -> bool:
    """Tell whether an engine wrote on while the entry, which could run, passed nothing on."""
    if timeline.during(stream.vm, stream.last_s, stream.ended_s, Befell.HOLD, Befell.STARVED):
        return False
    return any(
        run.first - 1 + run.written > stream.events and run.wrote_s < stream.ended_s - ON_ITS_WAY_S
        for run in runs
    )


def _of_the_answer(stream: Stream, runs: Sequence[EngineRun]) -> Outcome:
    """Judge an end that the entry chose."""
    if not runs:
        return Outcome.NOT_TAKEN if stream.status != 200 else Outcome.CUT
    at_work = [run for run in runs if not run.own_end and not _overtaken(stream, run)]
    return Outcome.CUT if at_work else Outcome.ENGINE_ENDED


def _overtaken(stream: Stream, run: EngineRun) -> bool:
    """Tell whether another engine went on with the stream beyond this one."""
    return run.first - 1 + run.written < stream.events


__all__ = ["FAULTS", "Outcome", "judge"]
