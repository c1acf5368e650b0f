"""A crowd in a process of its own, so that it holds up nobody who measures."""

from __future__ import annotations

import asyncio
from multiprocessing import get_context
from multiprocessing.process import BaseProcess

from tests.hostile.crowds import ENTRY_CROWDS, Crowd, endless_small_chunks

CROWDS = {**ENTRY_CROWDS, "endless-small-chunks": endless_small_chunks}


def start_crowd(address: str, kind: str, *, connections: int, span_s: float) -> BaseProcess:
    """Start a process whose crowd comes, and leaves after a time."""
    process = get_context("spawn").Process(
        target=_play, args=(address, kind, connections, span_s), daemon=True
    )
    process.start()
    return process


def _play(address: str, kind: str, connections: int, span_s: float) -> None:
    crowd = Crowd(address=address, behaviours=[CROWDS[kind]] * connections)
    asyncio.run(crowd.stay(span_s))


__all__ = ["CROWDS", "start_crowd"]
