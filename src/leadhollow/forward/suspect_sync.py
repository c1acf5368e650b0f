"""Synchronises this entry's suspects and quarantine verdicts with those of all entries.

A suspect is a request that ran at a server that ended, or a part of its prompt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from leadhollow.decide.quarantine_rules import SETTLE_S
from leadhollow.decide.quarantine_trials import QuarantineTrials
from leadhollow.decide.server import Server
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.forward.call import ForwardedCall
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.quarantine import Quarantine
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.server_end_detector import ServerEndDetector
from leadhollow.http1.messages import Framing
from leadhollow.kernel.active_time import ActiveTimer
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.suspect_ledger import SuspectLedger
from leadhollow.membership.suspect_news import all_records, encode_news
from leadhollow.observe.logs import get_logger
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion
from leadhollow.wire.generated.ttypes import SuspectNews
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.002  # the requests that one server broke off are sent together
REFRESH_S = 1.0  # between comparisons with the checksum of the replica's table
FULL_UPDATE_INTERVAL_S = 2.0
"""Minimum time between full updates, which are sent only if the replica's table differs. A table of
usual size takes a few hundred bytes."""

LOCAL_VERDICT_DELAY_S = 4 * SETTLE_S
"""Time after a server end until an entry without a control replica decides on its own. It knows
only its own requests, but no other process will decide for it."""

log = get_logger("quarantine")


class SuspectSync(BatchingService):
    """Keeps this entry's suspect table equal to those of all other entries."""

    __slots__ = (
        "_feed",
        "_full_update_s",
        "_ledger",
        "_peers",
        "_replica_checksum",
        "_synced_replica",
        "end_detector",
        "quarantine",
        "table",
    )

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        feed: ControlFeed,
        pool: ConnectionPool,
        peers: PeerPool,
        seed: int,
    ) -> None:
        clock = asyncio.get_running_loop().time
        self._ledger = SuspectLedger(clock=clock, on_change=self.note_change)
        self.table = self._ledger.table
        self.quarantine = Quarantine(
            table=self.table,
            trials=QuarantineTrials(
                table=self.table,
                entries=lambda: feed.entries,
                clock=clock,
                seed=seed,
            ),
        )
        self._feed = feed
        self._peers = peers
        self.end_detector = ServerEndDetector(
            directory=directory,
            pool=pool,
            successes=self._ledger.successes,
            on_server_end=self._on_server_end,
            on_survival=self.record_success,
        )
        self._synced_replica = ""  # replica that has got a full update
        self._replica_checksum = 0  # of the replica's table, as last received
        self._full_update_s = 0.0
        feed.on_suspects(self._on_update)
        feed.catalog.on_change(self._on_catalog)
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)

    async def stop(self) -> None:
        """Stop synchronising and detecting server ends."""
        await super().stop()
        await self.end_detector.stop()

    def record_interruption(self, server: Server, call: ForwardedCall) -> None:
        """Record a request that a server broke off or went silent on."""
        self.end_detector.record_interruption(server, call.traits)

    def record_complete(self, server: Server, call: ForwardedCall, framing: Framing) -> None:
        """Record a request whose response was complete by its framing."""
        if framing is Framing.UNTIL_CLOSE:
            self.end_detector.record_close(server, call.traits)
        else:
            self.record_success(server, call.traits)

    def record_success(self, server: Server, traits: Iterable[bytes]) -> None:
        """Record the traits of a request that a server has survived."""
        if self._ledger.record_success(server.instance.life, traits):
            log.info("backend server had not ended", instance=server.instance.instance)

    def _on_server_end(self, end: ServerEnd) -> None:
        if self._ledger.record_end(end):
            ActiveTimer(delay_s=LOCAL_VERDICT_DELAY_S, callback=self._decide_locally)

    def _decide_locally(self) -> None:
        if self._feed.source:
            return
        self.quarantine.abort_calls(self._ledger.decide())

    def _on_update(self, update: SuspectNews, whole: bool) -> None:
        if whole and not self.table.empty:
            self._synced_replica = ""  # the replica may have restarted: send it a full update
            self.note_change()
        self._replica_checksum = int(update.mark or 0)
        merged = self._ledger.merge(update)
        if merged.is_ok():
            self.quarantine.abort_calls(merged.unwrap())

    def _on_catalog(self, items: list[CatalogItem]) -> None:
        if any(isinstance(item.value, NamedVersion) and item.value.named for item in items):
            self._ledger.successes.clear()

    async def _publish(self, *, whole: bool) -> None:
        """Send changes to the followed replica, or the whole table if the replica's differs."""
        self.table.expire()
        source = self._feed.source
        if not source:
            self._synced_replica = ""
            return
        now_s = asyncio.get_running_loop().time()
        differs = whole and self._replica_checksum != self.table.checksum()
        if source != self._synced_replica or (
            differs and now_s - self._full_update_s > FULL_UPDATE_INTERVAL_S
        ):
            self._ledger.unsent.merge(all_records(self.table))
            self._full_update_s = now_s
        if not self._ledger.unsent:
            self._synced_replica = source
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            self._synced_replica = ""
            return
        connected.unwrap().oneway(encode_news(self.table, self._ledger.unsent.pop_all(), now_s))
        self._synced_replica = source


__all__ = ["SuspectSync"]
