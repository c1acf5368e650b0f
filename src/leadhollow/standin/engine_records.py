"""Messages, ledger records and generated text of the engine stand-in."""

from __future__ import annotations

from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
from blake3 import blake3

BLOCK_BYTES = 4 * 1024 * 1024


class EngineFaults(msgspec.Struct, kw_only=True):
    """Injected faults; ``POST /admin/faults`` sets them.

    Parameters
    ----------
    slow_factor
        Factor on the duration of each step.
    refuse_loads
        Orders to load a version are answered with 500.
    cut_streams
        Number of running requests to cut once they have generated a token; counts down.
    dead
        The engine drops its model and running requests, and aborts the connections of requests
        for completions, the model and loads. Other paths still answer.
    crash_text
        The engine ends when it begins to answer a prompt that has this text in a message other than
        the last one, and listens again after ``restart_s``, with its version; empty for none.
    odd_share
        Share of the answers to requests that are sent with bytes of no request, or cut.
    """

    slow_factor: float = 1.0
    refuse_loads: bool = False
    cut_streams: int = 0
    dead: bool = False
    crash_text: str = ""
    restart_s: float = 0.25
    odd_share: float = 0.0


class Load(msgspec.Struct, frozen=True, kw_only=True):
    """One load of a version, with the hash of the bytes that were read from its file."""

    root: str
    version: str
    fence: int
    file_hash: str


class Generation(msgspec.Struct, kw_only=True):
    """One run of a request, from its start or from the token at which it was resumed."""

    request_id: str
    root: str
    resumed_from: int
    generated: int = 0
    finished: bool = False


class EngineLedger(msgspec.Struct, frozen=True, kw_only=True):
    """Records of an engine, as ``GET /admin/ledger`` returns them."""

    generations: list[Generation]
    loads: list[Load]
    cache_hits: int
    cache_misses: int


class LoadBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of an order to load a version, ``POST /admin/load``."""

    model: str
    version: str
    root: str
    path: str
    fence: int


def token_seed(root: str, messages: list[dict[str, Any]]) -> str:
    """Return a short hash of version and prompt, which every generated token contains."""
    return str(blake3(root.encode() + msgspec.json.encode(messages)).hexdigest()[:8])


def token_text(seed: str, index: int) -> str:
    """Return the text of one token."""
    return f" {seed}.{index}"


def expected_text(root: str, messages: list[dict[str, Any]], tokens: int) -> str:
    """Return the complete response of a version to a prompt."""
    seed = token_seed(root, messages)
    return "".join(token_text(seed, index) for index in range(tokens))


def hash_file(path: Path) -> str:
    """Return the BLAKE3 hash of a file as hexadecimal digits."""
    hasher = blake3()
    with path.open("rb") as file:
        while block := file.read(BLOCK_BYTES):
            hasher.update(block)
    return str(hasher.hexdigest())


def execution_counts(generations: list[Generation]) -> Counter[str]:
    """Count the runs of each request that started at its first token."""
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
