"""Strict loading of settings files: unknown fields, wrong types and broken rules are errors."""

from __future__ import annotations

import re
from pathlib import Path

import msgspec
from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.settings.model import Settings
from leadhollow.settings.rules import check_settings

_AT_FIELD = re.compile(r"^(?P<what>.*?)(?: - at `\$?\.?(?P<field>.*)`)?$", re.DOTALL)
_UNKNOWN_FIELD = re.compile(r"unknown field `(?P<name>[^`]*)`")
_UNIT_SUFFIXES = {"_ms": "milliseconds", "_bytes": "bytes", "_bytes_per_s": "bytes a second"}


def load_settings(path: Path) -> Result[Settings, Failure]:
    """Read, decode and validate a settings file.

    Errors
    ------
    SETTINGS_UNREADABLE, SETTINGS_NOT_JSON, SETTINGS_FIELD, SETTINGS_COMBINATION,
    SETTINGS_DUPLICATE
        The failure names the field and the expected value.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        detail = error.strerror or str(error)
        return Err(Failure(code=Code.SETTINGS_UNREADABLE, detail=detail))
    return parse_settings(data)


def parse_settings(data: bytes) -> Result[Settings, Failure]:
    """Decode and validate settings from JSON."""
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.ValidationError as error:
        return Err(field_failure(str(error)))
    except msgspec.DecodeError as error:
        return Err(Failure(code=Code.SETTINGS_NOT_JSON, detail=str(error)))
    failure = check_settings(settings)
    return Ok(settings) if failure is None else Err(failure)


def field_failure(message: str) -> Failure:
    """Convert a decoder's message to a failure that names the field and its unit.

    The decoder gives the path of a field only as a part of its message.
    """
    match = _AT_FIELD.match(message)
    problem = message if match is None else match.group("what")
    field = "" if match is None else (match.group("field") or "")
    unknown = _UNKNOWN_FIELD.search(problem)
    if unknown is not None:
        field = f"{field}.{unknown.group('name')}".removeprefix(".")
        problem = "unknown field"
    for suffix, unit in sorted(_UNIT_SUFFIXES.items(), key=lambda pair: -len(pair[0])):
        if field.endswith(suffix):
            problem = f"{problem} (a whole number of {unit})"
            break
    return Failure(code=Code.SETTINGS_FIELD, detail=problem, field=field)


__all__ = ["field_failure", "load_settings", "parse_settings"]
