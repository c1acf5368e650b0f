"""Parses JSON log lines, without any prefix that a log collector added."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

_STANDARD_KEYS = frozenset({"time_s", "level", "component", "message"})


class LogRecord:
    """One log line of one process.

    Parameters
    ----------
    source
        Name of the process that the line is prefixed with; else, name of the file.
    time_s
        Unix time by the clock of that process.
    fields
        All keys but time, level, component and message.
    """

    __slots__ = ("component", "fields", "message", "source", "time_s")

    def __init__(
        self,
        *,
        source: str,
        time_s: float,
        component: str,
        message: str,
        fields: dict[str, object],
    ) -> None:
        self.source = source
        self.time_s = time_s
        self.component = component
        self.message = message
        self.fields = fields

    def has_value(self, field: str, value: str) -> bool:
        """Return whether a field has this value."""
        return self.fields.get(field) == value


def read_records(name: str, lines: Iterable[str]) -> Iterator[LogRecord]:
    """Parse the log lines of one file; other lines are skipped.

    Text before the first brace was added by a log collector. Its last word is taken as the name of
    the process, since one file may hold the lines of several processes.
    """
    for line in lines:
        prefix, brace, rest = line.partition("{")
        if not brace:
            continue
        try:
            decoded = msgspec.json.decode(brace + rest)
        except msgspec.DecodeError:
            continue
        if not isinstance(decoded, dict) or not isinstance(decoded.get("time_s"), int | float):
            continue
        words = prefix.split()
        yield LogRecord(
            source=words[-1] if words else name,
            time_s=float(decoded["time_s"]),
            component=str(decoded.get("component", "")),
            message=str(decoded.get("message", "")),
            fields={key: value for key, value in decoded.items() if key not in _STANDARD_KEYS},
        )


__all__ = ["LogRecord", "read_records"]
