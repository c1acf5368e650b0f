"""Reports to the followed control replica what this entry uses at engines and what it refused."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from leadhollow.decide.pressure import DecisionCounts, DecisionKey
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.uses import encode_decisions, encode_uses
from leadhollow.wire.generated.ttypes import ServiceDecisions, UseReport
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.004
REFRESH_S = 0.5  # between full reports, because a report may have been lost

DECISIONS_INTERVAL_S = 0.1
"""Minimum time between reports of decisions, which are added to reports of uses: a tenth of the
half-life with which refusals are weighted."""


class UseReporter(BatchingService):
    """Reports changes at once, and everything periodically.

    Parameters
    ----------
    decisions
        Returns what this entry recently decided on requests for each service.
    """

    __slots__ = (
        "_changed_addresses",
        "_decisions",
        "_decisions_sent_s",
        "_directory",
        "_feed",
        "_peers",
        "_synced_replica",
    )

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        decisions: Callable[[], Mapping[DecisionKey, DecisionCounts]],
        feed: ControlFeed,
        peers: PeerPool,
    ) -> None:
        self._directory = directory
        self._decisions = decisions
        self._decisions_sent_s = 0.0
        self._feed = feed
        self._peers = peers
        self._changed_addresses: set[str] = set()
        self._synced_replica = ""  # replica that has got a full report
        directory.on_use(self._on_use)
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)

    def _on_use(self, address: str) -> None:
        self._changed_addresses.add(address)
        self.note_change()

    async def _publish(self, *, whole: bool) -> None:
        source = self._feed.source
        sent = await self._report(source, whole=whole or source != self._synced_replica)
        self._synced_replica = source if sent else ""

    async def _report(self, source: str, *, whole: bool) -> bool:
        changed, self._changed_addresses = self._changed_addresses, set()
        if not source:
            return False
        connected = await self._peers.connection(source)
        if connected.is_err():
            return False
        uses = {address: self._directory.use(address) for address in sorted(changed)}
        if whole:
            uses = {
                address: use for address, use in self._directory.uses().items() if not use.is_empty
            }
        engines, records = encode_uses(uses)
        connected.unwrap().oneway(UseReport(engines, records, whole, self._decision_report()))
        return True

    def _decision_report(self) -> list[ServiceDecisions] | None:
        """Return recent decisions; None within ``DECISIONS_INTERVAL_S`` of the last time."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._decisions_sent_s < DECISIONS_INTERVAL_S:
            return None
        self._decisions_sent_s = now_s
        return encode_decisions(self._decisions())


__all__ = ["UseReporter"]
