"""Reads a settings file strictly."""

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
_UNIT_ENDINGS = {"_ms": "milliseconds", "_bytes": "bytes", "_bytes_per_s": "bytes a second"}


def load_settings(path: Path) -> Result[Settings, Failure]:
    """Read, decode and check one file.

    Errors
    ------
    SETTINGS_UNREADABLE, SETTINGS_NOT_JSON, SETTINGS_FIELD, SETTINGS_COMBINATION,
    SETTINGS_DUPLICATE
        The failure names the file's field and what is expected there.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        detail = error.strerror or str(error)
        return Err(Failure(code=Code.SETTINGS_UNREADABLE, detail=detail))
    return parse_settings(data)


def parse_settings(data: bytes) -> Result[Settings, Failure]:
    """Decode and check settings from JSON text."""
    try:
        settings = msgspec.json.decode(data, type=Settings)
    except msgspec.ValidationError as error:
        return Err(field_failure(str(error)))
    except msgspec.DecodeError as error:
        return Err(Failure(code=Code.SETTINGS_NOT_JSON, detail=str(error)))
    failure = check_settings(settings)
    return Ok(settings) if failure is None else Err(failure)


def field_failure(message: str) -> Failure:
    """Turn a decoder's message into a failure that names the field and its unit."""
    match = _AT_FIELD.match(message)
    what = message if match is None else match.group("what")
    field = "" if match is None else (match.group("field") or "")
    unknown = _UNKNOWN_FIELD.search(what)
    if unknown is not None:
        field = f"{field}.{unknown.group('name')}".removeprefix(".")
        what = "unknown field"
    for ending, unit in sorted(_UNIT_ENDINGS.items(), key=lambda pair: -len(pair[0])):
        if field.endswith(ending):
            what = f"{what} (a whole number of {unit})"
            break
    return Failure(code=Code.SETTINGS_FIELD, detail=what, field=field)


__all__ = ["field_failure", "load_settings", "parse_settings"]
