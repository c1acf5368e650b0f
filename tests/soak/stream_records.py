"""What engines, callers and entries saw of streams."""

from __future__ import annotations

import json
import math
from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from pathlib import Path
from typing import Any, NamedTuple

from leadhollow.forward.end_reason import EndReason
from tests.soak.ledger import Run
from tests.soak.proxy import Proxy
from tests.soak.spans import Spans

ENDED_LINE = "request ended without an answer"
SILENT_LINE = "engine is silent"
RUN_MARK = "/run-"
ON_ITS_WAY_S = 0.3  # what is written may still be lost where connections are reset


class RunEnd(Enum):
    """How an engine's run ended."""

    WHOLE = "wrote everything"
    SHORT = "ended cleanly in the middle"
    BROKE_OFF = "broke off"
    ENDED = "the engine ended, or changed its weights"
    LET_GO = "its connection was closed"


OWN_ENDS = frozenset({RunEnd.SHORT, RunEnd.BROKE_OFF, RunEnd.ENDED})


class StreamRun(Run):
    """A stream that an engine began to write.

    Attributes
    ----------
    number
        Its place among the runs of the request, from 0; each of its events names it.
    last
        Last event that it wrote whole.
    wrote_s
        When it wrote each of its events.
    over_s
        When it ended; None while it goes on.
    asked_s
        When its engine got the request; it may have had to wait there.
    """

    __slots__ = ("asked_s", "end", "last", "number", "over_s", "proxy", "wrote_s")

    def __init__(
        self,
        *,
        request: str,
        instance: str,
        version: int,
        began_s: float,
        number: int,
        proxy: Proxy,
        asked_s: float | None = None,
    ) -> None:
        super().__init__(
            request=request, instance=instance, service="models", version=version, began_s=began_s
        )
        self.number = number
        self.proxy = proxy
        self.asked_s = began_s if asked_s is None else asked_s
        self.last = 0
        self.wrote_s: list[float] = []
        self.end: RunEnd | None = None
        self.over_s: float | None = None

    @property
    def path(self) -> Spans:
        """When the way to its engine was disturbed."""
        return self.proxy.harmed

    @property
    def path_broken(self) -> bool:
        """Whether the connections to its engine were reset before all of it was taken."""
        over_s = math.inf if self.over_s is None else self.over_s
        taken_s = self.path.clear_after(over_s, ON_ITS_WAY_S) + ON_ITS_WAY_S
        return any(self.began_s <= reset_s <= taken_s for reset_s in self.proxy.reset_s)

    @property
    def ended_itself(self) -> bool:
        """Whether the engine, or the way to it, ended the run."""
        return self.end in OWN_ENDS or self.path_broken

    def note_end(self, end: RunEnd, now_s: float) -> None:
        """Note how it ended, once."""
        if self.end is None:
            self.end, self.over_s = end, now_s


class Heard(NamedTuple):
    """An event that a caller got."""

    number: int
    run: int
    at_s: float


class StreamTold:
    """What a caller saw of its stream.

    Attributes
    ----------
    crashing
        Whether its prompt has a part that crashes engines.
    left
        Whether it closed the connection itself.
    whole
        Whether the answer ended as complete.
    told_s
        When it ended, for this caller.
    """

    __slots__ = (
        "crashing",
        "deadline_s",
        "entry",
        "events",
        "heard",
        "left",
        "request",
        "resumable",
        "sent_s",
        "status",
        "strange",
        "told_s",
        "whole",
    )

    def __init__(
        self,
        *,
        request: str,
        entry: str,
        resumable: bool,
        events: int,
        sent_s: float,
        deadline_s: float | None = None,
        crashing: bool = False,
    ) -> None:
        self.crashing = crashing
        self.request = request
        self.entry = entry
        self.resumable = resumable
        self.events = events
        self.sent_s = sent_s
        self.deadline_s = deadline_s
        self.told_s = sent_s
        self.status = 0
        self.heard: list[Heard] = []
        self.strange = b""  # bytes that are no event of this request
        self.left = False
        self.whole = False

    @property
    def last_s(self) -> float:
        """When it last heard something."""
        return self.heard[-1].at_s if self.heard else self.sent_s

    def hear(self, event: bytes, now_s: float) -> None:
        """Note an event."""
        first, _, second = event.decode(errors="replace").strip().partition("\n")
        start = f"data: {self.request}{RUN_MARK}"
        number, run = first.removeprefix("id: "), second.removeprefix(start)
        if first.startswith("id: ") and second.startswith(start) and number.isdigit():
            self.heard.append(Heard(int(number), int(run), now_s))
        else:
            self.strange = self.strange or event


class EndLine(NamedTuple):
    """An entry's line of a request that it ended."""

    reason: EndReason
    begun: bool
    instance: str
    attempts: int = 1


def event_of(run: StreamRun, number: int) -> bytes:
    """Give one event of a run."""
    return f"id: {number}\ndata: {run.request}{RUN_MARK}{run.number}\n\n".encode()


class SilentLine(NamedTuple):
    """An entry's line of an engine that it takes for silent."""

    instance: str
    at_s: float


def silent_lines(logs: list[Path], *, wall_ahead_s: float) -> dict[str, list[SilentLine]]:
    """Read the lines of engines that were taken for silent, by request.

    Parameters
    ----------
    wall_ahead_s
        What the lines' clock is ahead of that of the records.
    """
    found: dict[str, list[SilentLine]] = defaultdict(list)
    for line in _lines(logs, SILENT_LINE):
        silent = SilentLine(line["instance"], line["time_s"] - wall_ahead_s)
        found[line["request"]].append(silent)
    return found


def _lines(logs: list[Path], message: str) -> Iterator[dict[str, Any]]:
    for log in logs:
        for text in log.read_text(errors="replace").splitlines():
            if message in text and text.startswith("{") and text.endswith("}"):
                yield json.loads(text)


def end_lines(logs: list[Path]) -> dict[str, list[EndLine]]:
    """Read the lines of requests that entries ended, by request."""
    found: dict[str, list[EndLine]] = defaultdict(list)
    for line in _lines(logs, ENDED_LINE):
        reason = EndReason(line["reason"])
        end = EndLine(reason, line["begun"], line["instance"], line["attempts"])
        found[line["request"]].append(end)
    return found


__all__ = [
    "EndLine",
    "Heard",
    "RunEnd",
    "SilentLine",
    "StreamRun",
    "StreamTold",
    "end_lines",
    "event_of",
    "silent_lines",
]
