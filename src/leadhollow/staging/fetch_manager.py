"""Starts and cancels the fetches of versions that this VM needs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from leadhollow.observe.logs import get_logger
from leadhollow.staging.piece_fetch import PieceFetch
from leadhollow.staging.pieces import StagedVersion

log = get_logger("installer")


class _RunningFetch:
    __slots__ = ("fetch", "task")

    def __init__(self, *, fetch: PieceFetch, task: asyncio.Task[None]) -> None:
        self.fetch = fetch
        self.task = task


class FetchManager:
    """Runs one fetch task for each wanted version.

    Parameters
    ----------
    start_fetch
        Creates the fetch of a version.
    """

    __slots__ = ("_running", "_start_fetch")

    def __init__(self, *, start_fetch: Callable[[StagedVersion], PieceFetch]) -> None:
        self._start_fetch = start_fetch
        self._running: dict[StagedVersion, _RunningFetch] = {}

    def fetch_only(self, wanted: Sequence[StagedVersion]) -> None:
        """Fetch these versions and no others.

        If there are several, the first one reads from the origin only and leaves the link to the
        others.
        """
        for version in list(self._running):
            if version not in wanted:
                self._running.pop(version).task.cancel()
        for version in wanted:
            running = self._running.get(version)
            if running is None or running.task.done():
                running = self._start(version)
            running.fetch.origin_only = len(wanted) > 1 and version is wanted[0]

    def blocked(self, version: StagedVersion) -> bool:
        """Return whether a version is being fetched and some of its pieces cannot be obtained."""
        running = self._running.get(version)
        return running is not None and running.fetch.blocked()

    def stop(self) -> None:
        """Cancel all fetches."""
        self.fetch_only(())

    def _start(self, version: StagedVersion) -> _RunningFetch:
        log.info("fetch started", model=version.model, number=version.number)
        fetch = self._start_fetch(version)
        task = asyncio.get_running_loop().create_task(fetch.run())
        running = _RunningFetch(fetch=fetch, task=task)
        self._running[version] = running
        return running


__all__ = ["FetchManager"]
