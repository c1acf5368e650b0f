"""Parsing of decimal numbers in header fields, such as Retry-After."""

from __future__ import annotations

import re
from collections.abc import Sequence

DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_decimal(values: Sequence[bytes]) -> float | None:
    """Parse the values of a field; return None unless there is exactly one decimal number."""
    if len(values) != 1 or DECIMAL.fullmatch(values[0].strip()) is None:
        return None
    return float(values[0])


def parse_decimal_text(values: Sequence[str]) -> float | None:
    """Parse field values that a library has decoded to text, like `parse_decimal`."""
    return parse_decimal([value.encode("latin-1", "replace") for value in values])


__all__ = ["parse_decimal", "parse_decimal_text"]
