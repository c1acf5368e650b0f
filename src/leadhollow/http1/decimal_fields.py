"""Decimal numbers in header fields."""

from __future__ import annotations

import re
from collections.abc import Sequence

DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_decimal(values: Sequence[bytes]) -> float | None:
    """Decode the values of a field, None where they are not exactly one decimal number."""
    if len(values) != 1 or DECIMAL.fullmatch(values[0].strip()) is None:
        return None
    return float(values[0])


def parse_decimal_text(values: Sequence[str]) -> float | None:
    """Decode values that a library has made text of."""
    return parse_decimal([value.encode("latin-1", "replace") for value in values])


__all__ = ["read_decimal", "read_decimal_text"]
