"""Merges entries' reports of ended servers, judges the suspects and relays the verdicts.

Each replica judges by all reports that it has received, and sends a verdict to all replicas and
entries at once. Merging gives the same result for any order of messages. Replicas find out that a
table lacks something by comparing checksums, which they send while a table is not empty. Each
replica keeps its verdicts in a file, because a request that ended servers before a power loss would
end servers after it too.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.control.verdict_file import load_verdicts, save_verdicts
from leadhollow.decide.fingerprints import count_requests, kind_of
from leadhollow.decide.server_ends import Verdict
from leadhollow.decide.suspects import SuspectTable
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import ActiveTimer
from leadhollow.kernel.batching_service import BatchingService
from leadhollow.membership.suspect_news import SuspectChanges, all_records, encode_news, merge_news
from leadhollow.observe.logs import get_logger
from leadhollow.state.disk_thread import DiskThread
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import Done, SuspectNews, SuspectQuery, SuspectRelease
from leadhollow.wire.handlers import HandlerTable
from leadhollow.wire.peers import PeerPool

BATCH_WINDOW_S = 0.003  # reports of several entries on the same end are sent together
REFRESH_S = 1.0  # how often replicas compare their tables
FULL_TABLE_INTERVAL_S = 2.0  # minimum time between two full tables to the same replica
JUDGE_DELAY_MARGIN_S = 0.005  # added to the time at which ends have settled

log = get_logger("quarantine")


class SuspectRelay(BatchingService):
    """Suspect table of one control replica, synchronised with other replicas and entries.

    Parameters
    ----------
    own_address
        Wire address of this replica.
    replicas
        Returns the addresses of all replicas.
    folder
        Folder of the file that keeps verdicts across restarts; None to keep none.

    Attributes
    ----------
    loaded
        Set once the table has the verdicts of that file.
    """

    __slots__ = (
        "_changed",
        "_disk",
        "_folder",
        "_full_table_sent_s",
        "_judge_scheduled",
        "_listeners",
        "_own_address",
        "_peers",
        "_replicas",
        "_saving",
        "_unsaved",
        "loaded",
        "table",
    )

    def __init__(
        self,
        *,
        own_address: str,
        replicas: Callable[[], list[str]],
        peers: PeerPool,
        handlers: HandlerTable,
        folder: Path | None = None,
    ) -> None:
        self._own_address = own_address
        self._replicas = replicas
        self._peers = peers
        self._folder = folder
        self._disk = DiskThread()
        self._saving: asyncio.Task[None] | None = None
        self._unsaved = False
        self._changed = SuspectChanges()
        self._judge_scheduled = False  # whether a timer will judge
        self._full_table_sent_s: dict[str, float] = {}
        self._listeners: list[Callable[[SuspectChanges], None]] = []
        self.loaded = asyncio.Event()
        self.table = SuspectTable(clock=asyncio.get_running_loop().time)
        super().__init__(batch_window_s=BATCH_WINDOW_S, refresh_s=REFRESH_S)
        handlers.on_oneway(SuspectNews, self._on_news)
        handlers.on_call(SuspectQuery, self._on_query)
        handlers.on_call(SuspectRelease, self._on_release)

    async def start(self) -> Result[None, Failure]:
        """Load the verdicts that were saved before a restart, and start."""
        if self._folder is not None:
            read = partial(load_verdicts, self._folder, _now_s())
            for verdict in await self._disk.run(read):
                self.table.merge_verdict(verdict)
        self.loaded.set()
        return await super().start()

    async def stop(self) -> None:
        """Stop after the current write has finished."""
        await super().stop()
        if self._saving is not None:
            await asyncio.wait([self._saving])
        await self._disk.stop()

    def on_change(self, listener: Callable[[SuspectChanges], None]) -> None:
        """Register a listener that gets each change of the table."""
        self._listeners.append(listener)

    def release(self, fingerprint: bytes, *, operator: str) -> Verdict | None:
        """Release a suspect from quarantine.

        Returns
        -------
        Verdict or None
            The new verdict; None if the suspect is not in quarantine.
        """
        lives = self.table.suspected_lives(fingerprint)
        released = self.table.release(fingerprint)
        if released is not None:
            changed = SuspectChanges()
            changed.lives = lives
            changed.fingerprints = {fingerprint}
            log.info(
                "request released",
                fingerprint=fingerprint.hex(),
                number=released.number,
                operator=operator,
            )
            self._record_change(changed)
        return released

    async def _on_query(
        self, query: SuspectQuery, connection: Connection
    ) -> Result[SuspectNews, Failure]:
        return Ok(self._build_message(all_records(self.table)))

    async def _on_release(
        self, request: SuspectRelease, connection: Connection
    ) -> Result[Done, Failure]:
        fingerprint = request.fingerprint or b""
        if self.release(fingerprint, operator=request.operator or "") is None:
            return Err(Failure(code=Code.FINGERPRINT_UNKNOWN, detail=fingerprint.hex()))
        return Ok(Done())

    def _on_news(self, message: SuspectNews, connection: Connection) -> None:
        merged = merge_news(self.table, message, _now_s())
        if merged.is_err():
            log.warning("message on suspects rejected", failure=str(merged.unwrap_err()))
            return
        changed = merged.unwrap()
        if changed:
            self._record_change(changed)
        if changed.lives:
            self._schedule_judge()
        if message.address and int(message.mark or 0) != self.table.checksum():
            self._send_full_table(message.address)

    def _schedule_judge(self) -> None:
        """Schedule judging for when the newest end has settled, unless it is scheduled already."""
        if not self._judge_scheduled:
            self._judge_scheduled = True
            wait_s = self.table.settle_time_left_s() + JUDGE_DELAY_MARGIN_S
            ActiveTimer(delay_s=wait_s, callback=self._judge)

    def _judge(self) -> None:
        self._judge_scheduled = False
        if self.table.settle_time_left_s() > 0:
            self._schedule_judge()
        new_verdicts = self.table.update_quarantine()
        for verdict in new_verdicts:
            log.warning(
                "request put in quarantine",
                fingerprint=verdict.fingerprint.hex(),
                kind=kind_of(verdict.fingerprint).value,
                number=verdict.number,
                ends=list(verdict.lives),
                others=[self._count_others(verdict.fingerprint, life) for life in verdict.lives],
            )
        if new_verdicts:
            changed = SuspectChanges()
            changed.fingerprints = {verdict.fingerprint for verdict in new_verdicts}
            self._record_change(changed)

    def _count_others(self, fingerprint: bytes, life: str) -> int:
        """Return how many other requests ran on a server when it ended."""
        end = self.table.end(life)
        return 0 if end is None else count_requests(end.ran, besides=fingerprint)

    def _record_change(self, changed: SuspectChanges) -> None:
        """Schedule sending of a change, notify listeners, and save the verdicts if they changed."""
        self._changed.merge(changed)
        self.note_change()
        for listener in self._listeners:
            listener(changed)
        if changed.fingerprints and self._folder is not None:
            self._unsaved = True
            if self._saving is None or self._saving.done():
                self._saving = asyncio.get_running_loop().create_task(self._save(self._folder))

    async def _save(self, folder: Path) -> None:
        while self._unsaved:
            self._unsaved = False
            saved = await self._disk.run(partial(save_verdicts, folder, self.table.verdicts()))
            if saved.is_err():
                log.warning("verdicts not saved", failure=str(saved.unwrap_err()))

    def _send_full_table(self, address: str) -> None:
        now_s = _now_s()
        if now_s - self._full_table_sent_s.get(address, float("-inf")) < FULL_TABLE_INTERVAL_S:
            return
        self._full_table_sent_s[address] = now_s
        self._peers.post(address, self._build_message(all_records(self.table)))

    async def _publish(self, *, whole: bool) -> None:
        """Send changes to the other replicas, or at a refresh the checksum of the table."""
        if whole:
            self.table.expire()
        if not self._changed and (not whole or self.table.empty):
            return
        message = self._build_message(self._changed.pop_all())
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, message)

    def _build_message(self, changed: SuspectChanges) -> SuspectNews:
        return encode_news(self.table, changed, _now_s(), address=self._own_address)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["SuspectRelay"]
