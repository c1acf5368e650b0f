"""Selects the log lines that concern one request and orders them, corrected for clock offsets."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Sequence

from leadhollow.explain.records import LogRecord

LOOKBACK_S = 5.0  # events of an engine shortly before the request may explain its choice
LOOKAHEAD_S = 2.0
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
"""Events of the entry process that handled the request, listed while it did."""


class TimelineEvent:
    """One event of a timeline.

    Parameters
    ----------
    after_s
        Time since the first log line of the request, by the clock of the process that handled it.
    record
        The log line.
    """

    __slots__ = ("after_s", "record")

    def __init__(self, *, after_s: float, record: LogRecord) -> None:
        self.after_s = after_s
        self.record = record


def build_timeline(request: str, records: Sequence[LogRecord]) -> list[TimelineEvent]:
    """Collect the log lines of a request, of its engines and of the process that handled it.

    Returns
    -------
    list
        Ordered by corrected time; empty where no line names the request.
    """
    request_records = [record for record in records if record.has_value("request", request)]
    if not request_records:
        return []
    reference_source = request_records[0].source
    start_s = min(record.time_s for record in request_records)
    end_s = max(record.time_s for record in request_records)
    offsets = clock_offsets(reference_source, records)
    engines = {
        str(record.fields["instance"]) for record in request_records if "instance" in record.fields
    }
    events = [
        TimelineEvent(after_s=record.time_s - start_s, record=record) for record in request_records
    ]
    for record in records:
        of_engine = record.message in ENGINE_EVENTS and record.fields.get("instance") in engines
        of_process = record.message in PROCESS_EVENTS and record.source == reference_source
        if not of_engine and not of_process:
            continue
        time_s = record.time_s - offsets.get(record.source, 0.0)
        if start_s - LOOKBACK_S <= time_s <= end_s + LOOKAHEAD_S:
            events.append(TimelineEvent(after_s=time_s - start_s, record=record))
    return sorted(events, key=lambda event: event.after_s)


def clock_offsets(reference_source: str, records: Iterable[LogRecord]) -> dict[str, float]:
    """Estimate how many seconds the clock of each process is ahead of the reference process.

    Every process logs when it first learns of a backend server. The median difference of these
    times is the clock offset, up to the few milliseconds that an update takes. Processes that share
    no backend server with the reference process are left out.
    """
    first_seen_s: dict[str, dict[str, float]] = {}
    for record in records:
        instance = record.fields.get("instance")
        if record.component in ("board", "registry") and isinstance(instance, str):
            first_seen_s.setdefault(record.source, {}).setdefault(instance, record.time_s)
    reference_times_s = first_seen_s.get(reference_source, {})
    offsets = {}
    for source, times_s in first_seen_s.items():
        differences = [
            seen_s - reference_times_s[instance]
            for instance, seen_s in times_s.items()
            if instance in reference_times_s
        ]
        if differences:
            offsets[source] = statistics.median(differences)
    return offsets


__all__ = ["TimelineEvent", "clock_offsets", "build_timeline"]
