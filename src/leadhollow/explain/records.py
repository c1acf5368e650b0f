"""Log lines as they were written, with what stands in front of them left out."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

_HEAD_FIELDS = frozenset({"time_s", "level", "component", "message"})


class LogRecord:
    """One line of one process.

    Parameters
    ----------
    source
        File that it stands in, and the process where the line begins with its name.
    time_s
        By the clock of that process.
    fields
        Everything but time, level, component and message.
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
        """Tell whether a field has this value."""
        return self.fields.get(field) == value


def read_records(name: str, lines: Iterable[str]) -> Iterator[LogRecord]:
    """Read the records of one file; lines that are none are passed over.

    Whatever stands in front of the first brace belongs to who collected the lines; its last word
    tells several processes of one file apart.
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
            fields={key: value for key, value in decoded.items() if key not in _HEAD_FIELDS},
        )


__all__ = ["LogRecord", "read_records"]
