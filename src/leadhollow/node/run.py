"""Runs one process: signals, reloading of settings, exit codes."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from leadhollow.cli.loop import request_stop_on_signals, run_async
from leadhollow.failure import Failure
from leadhollow.node.dialects import Dialects
from leadhollow.node.process import NodeProcess
from leadhollow.observe.logs import configure_logs, get_logger
from leadhollow.settings.node import NodeSettings, load_node_settings
from leadhollow.version import VERSION

SETTINGS_POLL_S = 1.0  # changes of the file take effect without a signal

log = get_logger("process")


def serve_node(path: Path, dialects: Dialects) -> int:
    """Run one process until it is stopped; return its exit code."""
    loaded = load_node_settings(path)
    if loaded.is_err():
        return _log_start_failure(loaded.unwrap_err(), path)
    settings = loaded.unwrap()
    configure_logs(log_format=settings.logs.format, level=settings.logs.level)
    return run_async(_serve(path, settings, dialects))


async def _serve(path: Path, settings: NodeSettings, dialects: Dialects) -> int:
    stop_requested = request_stop_on_signals()
    process = NodeProcess(settings=settings, dialects=dialects)
    log.info(
        "process starts",
        vm=settings.vm,
        role=settings.role.value,
        version=VERSION,
        seeds=settings.seeds,
        first_start=settings.first_start,
    )
    started = await process.start()
    if started.is_err():
        return _log_start_failure(started.unwrap_err(), path)
    watch_task = asyncio.get_running_loop().create_task(_watch_settings(path, process))
    await stop_requested.wait()
    drained = await process.stop()
    watch_task.cancel()
    log.info("process ends", vm=settings.vm, drained=drained)
    return 0


async def _watch_settings(path: Path, process: NodeProcess) -> None:
    """Reload the settings on SIGHUP and periodically, and apply them if they changed."""
    reload_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, reload_requested.set)
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload_requested.wait()
            log.info("SIGHUP received, reloading settings")
        except TimeoutError:
            pass
        reload_requested.clear()
        _reload_settings(path, process)


def _reload_settings(path: Path, process: NodeProcess) -> None:
    loaded = load_node_settings(path)
    if loaded.is_err():
        log.error("settings are invalid, keeping the previous ones", failure=loaded.unwrap_err())
        return
    settings = loaded.unwrap()
    if settings != process.settings:
        log.info("settings changed", seeds=settings.seeds)
        process.apply_settings(settings)


def _log_start_failure(failure: Failure, path: Path) -> int:
    log.error("process failed to start", settings=str(path), failure=str(failure))
    return failure.code.exit_code


__all__ = ["serve_node"]
