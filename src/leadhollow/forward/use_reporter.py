"""Tells the control replica that is followed what this entry has at each engine."""

from __future__ import annotations

import asyncio

from leadhollow.forward.board import ServerBoard
from leadhollow.kernel.task_service import TaskService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.uses import encode_uses
from leadhollow.wire.generated.ttypes import UseReport
from leadhollow.wire.peers import PeerPool

GATHER_S = 0.004  # changes within it travel together
REFRESH_S = 0.5  # everything is told again this often: a report may have been lost


class UseReporter(TaskService):
    """Reports changes at once, and everything now and then."""

    __slots__ = ("_board", "_dirty", "_feed", "_peers", "_wake")

    def __init__(self, *, board: ServerBoard, feed: ControlFeed, peers: PeerPool) -> None:
        self._board = board
        self._feed = feed
        self._peers = peers
        self._dirty: set[str] = set()
        self._wake = asyncio.Event()
        board.on_use(self._note)
        super().__init__()

    def _note(self, address: str) -> None:
        self._dirty.add(address)
        self._wake.set()

    async def _work(self) -> None:
        loop = asyncio.get_running_loop()
        refresh_s = loop.time()
        told = ""  # replica that knows everything
        while True:
            try:
                async with asyncio.timeout(max(0.0, refresh_s - loop.time())):
                    await self._wake.wait()
                await asyncio.sleep(GATHER_S)
            except TimeoutError:
                pass
            self._wake.clear()
            source = self._feed.source
            whole = loop.time() >= refresh_s or source != told
            if whole:
                refresh_s = loop.time() + REFRESH_S
            told = source if await self._report(source, whole=whole) else ""

    async def _report(self, source: str, *, whole: bool) -> bool:
        dirty, self._dirty = self._dirty, set()
        if not source:
            return False
        connected = await self._peers.connection(source)
        if connected.is_err():
            return False
        uses = {address: self._board.use(address) for address in sorted(dirty)}
        if whole:
            uses = {address: use for address, use in self._board.uses().items() if not use.nothing}
        engines, records = encode_uses(uses)
        connected.unwrap().oneway(UseReport(engines, records, whole))
        return True


__all__ = ["UseReporter"]
