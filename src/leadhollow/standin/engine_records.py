"""What an engine stand-in is told, what it records, and what it generates."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

READ_BYTES = 4 * 1024 * 1024


class EngineFaults(msgspec.Struct, kw_only=True):
    """What goes wrong.

    Parameters
    ----------
    slow_factor
        How much longer each step takes.
    refuse_loads
        Orders are answered with 500.
    cut_streams
        So many of the running streams are cut at the next step.
    dead
        Every connection is cut; only faults and ledger still answer.
    """

    slow_factor: float = 1.0
    refuse_loads: bool = False
    cut_streams: int = 0
    dead: bool = False


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """One version that was loaded, with a hash of the bytes that were really read."""

    root: str
    version: str
    fence: int
    file_hash: str


class Generation(msgspec.Struct, kw_only=True):
    """One run of one request."""

    request_id: str
    root: str
    resumed_from: int
    generated: int = 0
    finished: bool = False


class EngineLedger(msgspec.Struct, frozen=True, kw_only=True):
    """Everything an engine recorded."""

    generations: list[Generation]
    loads: list[Load]
    cache_hits: int
    cache_misses: int


class LoadBody(msgspec.Struct, frozen=True, kw_only=True):
    """Order as it arrives."""

    model: str
    version: str
    root: str
    path: str
    fence: int


def token_seed(root: str, messages: list[dict[str, Any]]) -> str:
    """Give what a version makes of a prompt: a short text that every token carries."""
    return str(blake3(root.encode() + msgspec.json.encode(messages)).hexdigest()[:8])


def token_text(seed: str, index: int) -> str:
    """Give one token."""
    return f" {seed}.{index}"


def expected_text(root: str, messages: list[dict[str, Any]], tokens: int) -> str:
    """Give the whole answer that a version gives to a prompt."""
    seed = token_seed(root, messages)
    return "".join(token_text(seed, index) for index in range(tokens))


def hash_file(path: Path) -> str:
    """Hash a file whole."""
    hasher = blake3()
    with path.open("rb") as file:
        while piece := file.read(READ_BYTES):
            hasher.update(piece)
    return str(hasher.hexdigest())


def execution_counts(generations: list[Generation]) -> Counter[str]:
    """Count how often each request was run from its beginning."""
    return Counter(
        generation.request_id for generation in generations if generation.resumed_from == 0
    )


__all__ = [
    "EngineFaults",
    "EngineLedger",
    "Generation",
    "Load",
    "LoadBody",
    "execution_counts",
    "expected_text",
    "hash_file",
    "token_seed",
    "token_text",
]
