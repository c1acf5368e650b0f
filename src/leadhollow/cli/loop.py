"""Runs coroutines on uvloop and turns stop signals into an event."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any, TypeVar

import uvloop

from leadhollow.observe.logs import get_logger

Answer = TypeVar("Answer")

log = get_logger("process")


def run_async(coroutine: Coroutine[Any, Any, Answer]) -> Answer:
    """Run a coroutine to its end on a new event loop and return its result."""
    return uvloop.run(coroutine)


def request_stop_on_signals() -> asyncio.Event:
    """Return an event that SIGTERM or SIGINT sets; further signals are only logged."""
    stop_requested = asyncio.Event()

    def on_signal(number: signal.Signals) -> None:
        if stop_requested.is_set():
            log.warning("already stopping, work in progress is not cut", signal=number.name)
            return
        log.info("stopping", signal=number.name)
        stop_requested.set()

    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal, number)
    return stop_requested


__all__ = ["request_stop_on_signals", "run_async"]
