"""Generates model files for the demo, the benchmarks and the contract tests."""

from __future__ import annotations

import random
from pathlib import Path

BLOCK_BYTES = 1024 * 1024


def make_model_file(path: Path, *, size_bytes: int, seed: int) -> None:
    """Write a file of pseudo-random bytes; the same seed gives the same file."""
    generator = random.Random(seed)
    with path.open("wb") as file:
        remaining = size_bytes
        while remaining > 0:
            block = generator.randbytes(min(BLOCK_BYTES, remaining))
            file.write(block)
            remaining -= len(block)


def make_next_version(source: Path, target: Path) -> None:
    """Write a copy of a model file in which every block differs from the original."""
    with source.open("rb") as source_file, target.open("wb") as target_file:
        while block := source_file.read(BLOCK_BYTES):
            target_file.write(bytes([block[0] ^ 0xFF]) + block[1:])


__all__ = ["make_model_file", "make_next_version"]
