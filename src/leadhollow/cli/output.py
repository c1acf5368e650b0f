"""Prints JSON, text, tables, failures and progress of commands."""

from __future__ import annotations

import sys
from collections.abc import Iterable, Sequence

import msgspec

from leadhollow.failure import Failure


def print_json(value: object) -> None:
    """Print one object as JSON on one line."""
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()


def print_text(text: str) -> None:
    """Print text, followed by a line break."""
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


def print_table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print headings and rows in aligned columns."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[column]) for row in cells)])
        for column, heading in enumerate(headings)
    ]
    for line in ([*headings], *cells):
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        print_text("  ".join(padded).rstrip())


def print_failure(failure: Failure, *, where: str = "") -> int:
    """Print a failure on standard error and return its exit code."""
    prefix = f"{where}: " if where else ""
    sys.stderr.write(f"leadhollow: {prefix}{failure}\n")
    return failure.code.exit_code


def print_progress(text: str) -> None:
    """Replace the progress line, only where standard error is a terminal."""
    if sys.stderr.isatty():
        sys.stderr.write(f"\r\033[K{text}")
        sys.stderr.flush()


def end_progress() -> None:
    """End the progress line, only where standard error is a terminal."""
    if sys.stderr.isatty():
        sys.stderr.write("\n")


__all__ = [
    "end_progress",
    "print_failure",
    "print_json",
    "print_progress",
    "print_table",
    "print_text",
]
