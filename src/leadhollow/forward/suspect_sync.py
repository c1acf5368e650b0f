"""What this entry and all others know of requests that end servers: told, heard, and acted upon."""

from __future__ import annotations

import asyncio

from leadhollow.decide.quarantine_rules import SETTLE_S
from leadhollow.decide.server import Server
from leadhollow.decide.server_ends import ServerEnd
from leadhollow.decide.suspects import SuspectTable
from leadhollow.forward.fingerprint import short_fingerprint
from leadhollow.forward.pool import ConnectionPool
from leadhollow.forward.quarantine import Quarantine
from leadhollow.forward.recent_successes import RecentSuccesses
from leadhollow.forward.server_directory import ServerDirectory
from leadhollow.forward.server_end_detector import ServerEndDetector
from leadhollow.kernel.active_time import ActiveTimer
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.control_feed import ControlFeed
from leadhollow.membership.suspect_news import SuspectChanges, all_records, encode_news, merge_news
from leadhollow.observe.logs import get_logger
from leadhollow.state.records import CatalogItem
from leadhollow.weights.named_versions import NamedVersion
from leadhollow.wire.generated.ttypes import SuspectNews
from leadhollow.wire.peers import PeerPool

GATHER_S = 0.002  # the requests that one server broke off are told together
REFRESH_S = 1.0  # how often the replica's mark is looked at
WHOLE_PAUSE_S = 2.0
"""Everything is told again at most this often, and only where the replica does not say the same: a
table of usual size is a few hundred bytes."""

ALONE_SETTLE_S = 4 * SETTLE_S
"""Until an entry that no control replica tells anything judges by itself: it knows only what ran
here, but nobody else will judge."""

log = get_logger("quarantine")


class SuspectSync(BatchingService):
    """Keeps this entry's table like those of all others."""

    __slots__ = (
        "_changed",
        "_feed",
        "_good",
        "_mark",
        "_peers",
        "_told",
        "_whole_s",
        "quarantine",
        "table",
        "end_detector",
    )

    def __init__(
        self,
        *,
        directory: ServerDirectory,
        feed: ControlFeed,
        pool: ConnectionPool,
        peers: PeerPool,
    ) -> None:
        self.table = SuspectTable(clock=asyncio.get_running_loop().time)
        self.quarantine = Quarantine(table=self.table)
        self._feed = feed
        self._peers = peers
        self._good = RecentSuccesses()
        self.end_detector = ServerEndDetector(
            directory=directory, pool=pool, successes=self._good, on_server_end=self._on_end
        )
        self._changed = SuspectChanges()
        self._told = ""  # replica that was told everything
        self._mark = 0  # of the replica's table, as it last said
        self._whole_s = 0.0
        feed.on_suspects(self._on_news)
        feed.catalog.on_change(self._on_catalog)
        super().__init__(batch_window_s=GATHER_S, refresh_s=REFRESH_S)

    async def stop(self) -> None:
        """Look for no ends any more."""
        await super().stop()
        await self.end_detector.stop()

    def record_interruption(self, server: Server, fingerprint: bytes) -> None:
        """Note a request that a server broke off."""
        self.end_detector.record_interruption(server, fingerprint)

    def record_success(self, server: Server, fingerprint: bytes) -> None:
        """Note a request whose answer came whole."""
        self._good.add(fingerprint, asyncio.get_running_loop().time())
        if self.table.suspected_lives(fingerprint):
            self._clear(fingerprint)
        life = server.instance.life
        if self.table.mark_alive(life):
            log.info("backend server had not ended", instance=server.instance.instance)
            self._changed.lives.add(life)
            self.note_change()

    def _clear(self, fingerprint: bytes) -> None:
        lives = self.table.clear(fingerprint)
        log.info("request cleared", fingerprint=short_fingerprint(fingerprint), ends=len(lives))
        self._changed.lives |= lives
        self.note_change()

    def _on_end(self, end: ServerEnd) -> None:
        if self.table.merge_end(end):
            self._changed.lives.add(end.life)
            self.note_change()
            ActiveTimer(delay_s=ALONE_SETTLE_S, callback=self._judge_alone)

    def _judge_alone(self) -> None:
        if self._feed.source:
            return
        made = {verdict.fingerprint for verdict in self.table.update_quarantine()}
        self._changed.fingerprints |= made
        self.quarantine.abort_calls(made)

    def _on_news(self, news: SuspectNews, whole: bool) -> None:
        now_s = asyncio.get_running_loop().time()
        if whole and not self.table.empty:
            self._told = ""  # the replica may have begun anew: it is told everything
            self.note_change()
        self._mark = int(news.mark or 0)
        taken = merge_news(self.table, news, now_s)
        if taken.is_err():
            log.warning("news of suspects not taken", failure=str(taken.unwrap_err()))
            return
        changed = taken.unwrap()
        self.quarantine.abort_calls(changed.fingerprints)
        for life in changed.lives:
            end = self.table.end(life)
            for fingerprint in () if end is None else end.suspects:
                if self._good.contains(fingerprint, now_s):
                    self._clear(fingerprint)

    def _on_catalog(self, items: list[CatalogItem]) -> None:
        if any(isinstance(item.value, NamedVersion) and item.value.named for item in items):
            self._good.clear()

    async def _publish(self, *, whole: bool) -> None:
        """Tell the replica that is followed what is news, or all where it does not know it."""
        self.table.expire()
        source = self._feed.source
        if not source:
            self._told = ""
            return
        now_s = asyncio.get_running_loop().time()
        unlike = whole and self._mark != self.table.checksum()
        if source != self._told or (unlike and now_s - self._whole_s > WHOLE_PAUSE_S):
            self._changed.merge(all_records(self.table))
            self._whole_s = now_s
        if not self._changed:
            self._told = source
            return
        connected = await self._peers.connection(source)
        if connected.is_err():
            self._told = ""
            return
        connected.unwrap().oneway(encode_news(self.table, self._changed.pop_all(), now_s))
        self._told = source


__all__ = ["SuspectExchange"]
