"""Streams the suspect table of a replica, and its changes, to the entries that watch it."""

from __future__ import annotations

import asyncio

from result import Result

from leadhollow.control.suspect_relay import SuspectRelay
from leadhollow.failure import Failure
from leadhollow.membership.suspect_news import SuspectChanges, all_records, encode_news
from leadhollow.wire.generated.ttypes import SuspectWatch
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.streams import StreamSink


class SuspectStream:
    """Serves the watchers of one replica's table.

    Parameters
    ----------
    relay
        Synchronises the table with other replicas and judges.
    """

    __slots__ = ("_relay", "_watchers")

    def __init__(self, *, relay: SuspectRelay, handlers: HandlerTable) -> None:
        self._relay = relay
        self._watchers: set[_Watcher] = set()
        relay.on_change(self._on_change)
        handlers.on_stream(SuspectWatch, self._on_watch)

    def _on_change(self, changed: SuspectChanges) -> None:
        for watcher in self._watchers:
            watcher.unsent.merge(changed)
            watcher.wake.set()

    async def _on_watch(self, request: SuspectWatch, sink: StreamSink) -> Result[None, Failure]:
        await self._relay.loaded.wait()
        watcher = _Watcher()
        watcher.unsent = all_records(self._relay.table)
        watcher.wake.set()  # the first update is sent even if the table is empty
        self._watchers.add(watcher)
        try:
            while True:
                await watcher.wake.wait()
                watcher.wake.clear()
                now_s = asyncio.get_running_loop().time()
                await sink.send(encode_news(self._relay.table, watcher.unsent.pop_all(), now_s))
        finally:
            self._watchers.discard(watcher)


class _Watcher:
    """Changes that one watcher has not been sent yet."""

    __slots__ = ("unsent", "wake")

    def __init__(self) -> None:
        self.unsent = SuspectChanges()
        self.wake = asyncio.Event()


__all__ = ["SuspectStream"]
