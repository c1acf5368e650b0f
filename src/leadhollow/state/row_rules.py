"""Validation of table rows; every failure names the invalid field."""

from __future__ import annotations

import math
import re

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.state.records import Row

NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
SHA256_HEX = re.compile(r"[0-9a-f]{64}")
MAXIMUM_WEIGHT = 1_000_000.0
MAXIMUM_KEYS = 2


def valid_name(name: str) -> bool:
    """Return whether a name is valid for a group, model, version or service."""
    return NAME.fullmatch(name) is not None


def check_row(row: Row) -> Failure | None:
    """Validate one row without regard to others.

    Returns
    -------
    Failure or None
        ``ROW_INVALID`` with the path of the field, or None for a valid row.
    """
    if not valid_name(row.group):
        return _invalid(row, "group", "expected a-z, 0-9, '.', '_' or '-', at most 63")
    if not math.isfinite(row.weight) or not 0 < row.weight <= MAXIMUM_WEIGHT:
        return _invalid(row, "weight", f"expected more than 0 and at most {MAXIMUM_WEIGHT:g}")
    for field in ("concurrency", "tokens_per_s", "queue"):
        if getattr(row.limits, field) < 1:
            return _invalid(row, f"limits.{field}", "expected at least 1")
    if len(row.key_sha256s) > MAXIMUM_KEYS:
        return _invalid(row, "key_sha256s", f"expected at most {MAXIMUM_KEYS} keys")
    for position, key in enumerate(row.key_sha256s):
        if SHA256_HEX.fullmatch(key) is None:
            return _invalid(row, f"key_sha256s[{position}]", "expected 64 lower-case hex digits")
    return _check_models(row) or _check_services(row)


def _check_models(row: Row) -> Failure | None:
    for model, choice in row.models.items():
        field = f"models.{model}"
        if not valid_name(model):
            return _invalid(row, field, "not a valid model name")
        if not valid_name(choice.version):
            return _invalid(row, f"{field}.version", "not a valid version name")
        if choice.minimum_replicas < 0:
            return _invalid(row, f"{field}.minimum_replicas", "expected 0 or more")
    return None


def _check_services(row: Row) -> Failure | None:
    for service in row.services:
        if not valid_name(service):
            return _invalid(row, f"services.{service}", "not a valid service name")
    return None


def _invalid(row: Row, field: str, detail: str) -> Failure:
    return Failure(code=Code.ROW_INVALID, detail=detail, field=f"{row.group}.{field}")


__all__ = ["check_row", "valid_name"]
