"""Tells the control replica that is followed what this entry has at each engine, and refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from leadhollow.decide.pressure import DecisionCounts
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.uses import encode_decisions, encode_uses
from leadhollow.wire.generated.ttypes import ServiceDecisions, UseReport
from leadhollow.wire.peers import PeerPool

GATHER_S = 0.004  # changes within it travel together
REFRESH_S = 0.5  # everything is told again this often: a report may have been lost


DECISIONS_PAUSE_S = 0.1
"""What was refused is told again after it, beside uses that travel anyway: a tenth of the time in
which a refusal comes to count half."""


class UseReporter(BatchingService):
    """Reports changes at once, and everything now and then.

    Parameters
    ----------
    decisions
        Gives what this entry decided lately on requests for each service.
    """

    __slots__ = ("_board", "_decisions", "_decisions_s", "_dirty", "_feed", "_peers", "_told")

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        decisions: Callable[[], Mapping[str, DecisionCounts]],
        feed: ControlFeed,
        peers: PeerPool,
    ) -> None:
        self._board = directory
        self._decisions = decisions
        self._decisions_s = 0.0
        self._feed = feed
        self._peers = peers
        self._dirty: set[str] = set()
        self._told = ""  # replica that knows everything
        directory.on_use(self._note)
        super().__init__(batch_window_s=GATHER_S, refresh_s=REFRESH_S)

    def _note(self, address: str) -> None:
        self._dirty.add(address)
        self.note_change()

    async def _publish(self, *, whole: bool) -> None:
        source = self._feed.source
        told = await self._report(source, whole=whole or source != self._told)
        self._told = source if told else ""

    async def _report(self, source: str, *, whole: bool) -> bool:
        dirty, self._dirty = self._dirty, set()
        if not source:
            return False
        connected = await self._peers.connection(source)
        if connected.is_err():
            return False
        uses = {address: self._board.use(address) for address in sorted(dirty)}
        if whole:
            uses = {address: use for address, use in self._board.uses().items() if not use.is_empty}
        engines, records = encode_uses(uses)
        connected.unwrap().oneway(UseReport(engines, records, whole, self._news()))
        return True

    def _news(self) -> list[ServiceDecisions] | None:
        """Give what was decided, unless it was told a moment ago."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._decisions_s < DECISIONS_PAUSE_S:
            return None
        self._decisions_s = now_s
        return encode_decisions(self._decisions())


__all__ = ["UseReporter"]
