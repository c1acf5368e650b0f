"""What one run showed, as figures and as traces of its faults."""

from __future__ import annotations

import statistics
from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence

from tests.at_size.callers import Stream
from tests.at_size.judge import FAULTS, Outcome, judge
from tests.at_size.log_pipes import lines_of
from tests.at_size.timeline import Befell
from tests.at_size.world import SizedWorld

HELD_UP = "loop was held up"
LINES_SHOWN = 12
TRACES_SHOWN = 200
BEFORE_END_S = 5.0  # what befell the entry within this time is shown


def figures(world: SizedWorld, streams: Sequence[Stream]) -> dict[str, object]:
    """Give the figures of a run."""
    outcomes = {stream.request: _judged(world, stream) for stream in streams}
    counts = Counter(outcomes.values())
    faults = [stream for stream in streams if outcomes[stream.request] in FAULTS]
    lines = {entry.vm: lines_of(entry) for entry in world.entries}
    first_ms = sorted(
        1000 * (stream.first_event_s - stream.sent_s)
        for stream in streams
        if stream.first_event_s is not None
    )
    return {
        "streams": len(streams),
        "begun": sum(stream.status == 200 for stream in streams),
        "whole": counts[Outcome.WHOLE],
        "ended": {
            outcome.value: counts[outcome]
            for outcome in Outcome
            if outcome is not Outcome.WHOLE and outcome not in FAULTS
        },
        "without_reason": {outcome.value: counts[outcome] for outcome in FAULTS},
        "second_engines": sum(len(world.runs.get(stream.request, ())) > 1 for stream in streams),
        "loop_holds": sum(HELD_UP in line for found in lines.values() for line in found),
        "holds_planted": world.timeline.count(Befell.HOLD),
        "times_starved": world.timeline.count(Befell.STARVED),
        "first_event_p50_ms": percentile(first_ms, 50),
        "first_event_p99_ms": percentile(first_ms, 99),
        "past_grace": world.past_grace,
        "violations": world.ledger.violations[:LINES_SHOWN],
        "traces": [
            _trace(world, stream, outcomes[stream.request], lines[stream.vm])
            for stream in faults[:TRACES_SHOWN]
        ],
    }


def _judged(world: SizedWorld, stream: Stream) -> Outcome:
    return judge(stream, world.runs.get(stream.request, ()), world.timeline)


def percentile(values: Sequence[float], place: int) -> float | None:
    """Give one of the hundred parts of sorted values."""
    if len(values) < 2:
        return None
    return round(statistics.quantiles(values, n=100)[place - 1], 1)


def _trace(
    world: SizedWorld, stream: Stream, outcome: Outcome, lines: Iterable[str]
) -> dict[str, object]:
    """Give what is known of a stream; times are from its end back."""
    end_s = stream.ended_s
    spans = world.timeline.during(stream.vm, end_s - BEFORE_END_S, end_s, *Befell)
    return {
        "outcome": outcome.value,
        "request": stream.request,
        "entry": stream.vm,
        "route": stream.route.name,
        "status": stream.status,
        "events": stream.events,
        "after_s": round(end_s - stream.sent_s, 2),
        "silent_s": round(end_s - stream.last_s, 2),
        "left": None if stream.left is None else stream.left.value,
        "engines": [
            {
                "instance": run.instance,
                "first": run.first,
                "written": run.written,
                "whole": run.whole,
                "own_end": run.own_end,
                "wrote_before_s": round(end_s - run.wrote_s, 2),
                "broken_before_s": None if run.broken_s is None else round(end_s - run.broken_s, 2),
            }
            for run in world.runs.get(stream.request, ())
        ],
        "befell": [
            (span.kind.value, round(end_s - span.from_s, 2), round(end_s - span.to_s, 2))
            for span in spans
        ],
        "lines": [line for line in lines if stream.request in line][:LINES_SHOWN],
    }


def total(rows: Sequence[dict[str, object]]) -> dict[str, object]:
    """Add the figures of several runs up."""
    added: Counter[str] = Counter()
    nested: dict[str, Counter[str]] = defaultdict(Counter)
    for row in rows:
        for name, value in row.items():
            if isinstance(value, dict):
                nested[name].update(value)
            elif isinstance(value, int):
                added[name] += value
    for name in ("seed", "busy"):
        added.pop(name, None)
    return {**added, **{name: dict(counts) for name, counts in nested.items()}}


__all__ = ["figures", "percentile", "total"]
