"""Runs one process from its settings file, without importing the command-line library."""

from __future__ import annotations

from pathlib import Path

from leadhollow.cli.loop import request_stop_on_signals, run_async
from leadhollow.cli.output import print_failure
from leadhollow.observe.logs import configure_logs
from leadhollow.settings.load import load_settings
from leadhollow.settings.model import Settings


def serve(path: Path) -> int:
    """Run the process until it is stopped and return the exit code."""
    loaded = load_settings(path)
    if loaded.is_err():
        return print_failure(loaded.unwrap_err(), where=str(path))
    settings = loaded.unwrap()
    configure_logs(log_format=settings.logs.format, level=settings.logs.level)
    return run_async(_serve(settings))


async def _serve(settings: Settings) -> int:
    from leadhollow.process import run_process

    result = await run_process(settings, request_stop_on_signals())
    return 0 if result.is_ok() else print_failure(result.unwrap_err(), where=settings.vm)


__all__ = ["serve"]
