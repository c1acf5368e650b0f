"""Selects and orders what concerns one request, although the clocks of processes disagree."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

from leadhollow.explain.records import LogRecord

BEFORE_S = 5.0  # what was learnt of an engine so long before the request may explain its choice
AFTER_S = 2.0
ENGINE_EVENTS = frozenset(
    {
        "backend server changed",
        "backend server dropped",
        "another backend server has the address",
        "load order",
        "version installed",
        "engine does not answer",
    }
)

PROCESS_EVENTS = frozenset({"loop was held up", "process ends", "process starts"})
"""What befell the process that had the request while it had it."""


class TimelineEvent:
    """One line of the story.

    Parameters
    ----------
    after_s
        Time since the first line of the request, by the clock of the process that had it.
    """

    __slots__ = ("after_s", "record")

    def __init__(self, *, after_s: float, record: LogRecord) -> None:
        self.after_s = after_s
        self.record = record


def build_timeline(request: str, records: Sequence[LogRecord]) -> list[TimelineEvent]:
    """Give all lines of a request, of the engines that were chosen for it, and of its process.

    Returns
    -------
    list
        In the order of time; empty where no line names the request.
    """
    own = [record for record in records if record.has_value("request", request)]
    if not own:
        return []
    home = own[0].source
    start_s = min(record.time_s for record in own)
    end_s = max(record.time_s for record in own)
    offsets = clock_offsets(home, records)
    engines = {str(record.fields["instance"]) for record in own if "instance" in record.fields}
    lines = [TimelineEvent(after_s=record.time_s - start_s, record=record) for record in own]
    for record in records:
        of_engine = record.message in ENGINE_EVENTS and record.fields.get("instance") in engines
        of_process = record.message in PROCESS_EVENTS and record.source == home
        if not of_engine and not of_process:
            continue
        time_s = record.time_s - offsets.get(record.source, 0.0)
        if start_s - BEFORE_S <= time_s <= end_s + AFTER_S:
            lines.append(TimelineEvent(after_s=time_s - start_s, record=record))
    return sorted(lines, key=lambda line: line.after_s)


def clock_offsets(home: str, records: Iterable[LogRecord]) -> dict[str, float]:
    """Estimate how far each process's clock is ahead of that of one of them.

    Every process notes when it first hears of a backend server; the median difference of these
    moments is the difference of the clocks, up to the few milliseconds that the news takes.
    """
    heard: dict[str, dict[str, float]] = {}
    for record in records:
        instance = record.fields.get("instance")
        if record.component in ("board", "registry") and isinstance(instance, str):
            heard.setdefault(record.source, {}).setdefault(instance, record.time_s)
    reference = heard.get(home, {})
    offsets = {}
    for source, moments in heard.items():
        differences = [
            moment_s - reference[instance]
            for instance, moment_s in moments.items()
            if instance in reference
        ]
        if differences:
            offsets[source] = statistics.median(differences)
    return offsets


__all__ = ["StoryLine", "clock_offsets", "tell_story"]
