"""What entries tell of servers that ended, merged, judged, kept and passed on by one replica.

Each replica judges by all that it was told; a verdict is told to all replicas and entries at once,
and merging makes any order of news do. A replica that lacks something is found by the mark of its
table, which travels while any table is not empty. Verdicts stand in a file of each replica, since
a request that ended servers before a loss of power ends servers after it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from pathlib import Path

from result import Err, Ok, Result

from leadhollow.codes import Code
from leadhollow.control.verdict_file import load_verdicts, save_verdicts
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

GATHER_S = 0.003  # what several entries tell of the same end travels together
REFRESH_S = 1.0  # how often replicas compare their tables
WHOLE_PAUSE_S = 2.0  # between two whole tables to the same replica
JUDGE_MARGIN_S = 0.005  # after ends have settled

log = get_logger("quarantine")


class SuspectRelay(BatchingService):
    """Table of suspects of one control replica.

    Parameters
    ----------
    own_address
        Where other replicas reach us.
    replicas
        Gives the addresses of all replicas.
    folder
        Where verdicts are kept over a restart; None to keep none.
    """

    __slots__ = (
        "_changed",
        "_disk",
        "_folder",
        "_judging",
        "_listeners",
        "_own_address",
        "_peers",
        "_replicas",
        "_saving",
        "_unsaved",
        "_whole_s",
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
        self._judging = False  # a judgement is to come
        self._whole_s: dict[str, float] = {}
        self._listeners: list[Callable[[SuspectChanges], None]] = []
        self.table = SuspectTable(clock=asyncio.get_running_loop().time)
        super().__init__(batch_window_s=GATHER_S, refresh_s=REFRESH_S)
        handlers.on_oneway(SuspectNews, self._on_news)
        handlers.on_call(SuspectQuery, self._on_query)
        handlers.on_call(SuspectRelease, self._on_release)

    async def start(self) -> Result[None, Failure]:
        """Take in what was decided before a restart."""
        if self._folder is not None:
            read = partial(load_verdicts, self._folder, _now_s())
            for verdict in await self._disk.run(read):
                self.table.merge_verdict(verdict)
        return await super().start()

    async def stop(self) -> None:
        """End, with what is being written."""
        await super().stop()
        if self._saving is not None:
            await asyncio.wait([self._saving])
        await self._disk.end()

    def on_change(self, listener: Callable[[SuspectChanges], None]) -> None:
        """Call a function with what is news here."""
        self._listeners.append(listener)

    def release(self, fingerprint: bytes, *, operator: str) -> Verdict | None:
        """Let a request go; None where it is not in quarantine."""
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
            self._note(changed)
        return released

    async def _on_query(
        self, query: SuspectQuery, connection: Connection
    ) -> Result[SuspectNews, Failure]:
        return Ok(self._news(all_records(self.table)))

    async def _on_release(
        self, request: SuspectRelease, connection: Connection
    ) -> Result[Done, Failure]:
        fingerprint = request.fingerprint or b""
        if self.release(fingerprint, operator=request.operator or "") is None:
            return Err(Failure(code=Code.FINGERPRINT_UNKNOWN, detail=fingerprint.hex()))
        return Ok(Done())

    def _on_news(self, news: SuspectNews, connection: Connection) -> None:
        taken = merge_news(self.table, news, _now_s())
        if taken.is_err():
            log.warning("news of suspects not taken", failure=str(taken.unwrap_err()))
            return
        changed = taken.unwrap()
        if changed:
            self._note(changed)
        if changed.lives:
            self._judge_later()
        if news.address and int(news.mark or 0) != self.table.checksum():
            self._tell_everything(news.address)

    def _judge_later(self) -> None:
        """Judge once the newest end has settled, all that are told of until then together."""
        if not self._judging:
            self._judging = True
            wait_s = self.table.settle_time_left_s() + JUDGE_MARGIN_S
            ActiveTimer(delay_s=wait_s, callback=self._judge)

    def _judge(self) -> None:
        self._judging = False
        if self.table.settle_time_left_s() > 0:
            self._judge_later()
        made = self.table.update_quarantine()
        for verdict in made:
            log.warning(
                "request put in quarantine",
                fingerprint=verdict.fingerprint.hex(),
                number=verdict.number,
                ends=list(verdict.lives),
                others=[self._others(life) for life in verdict.lives],
            )
        if made:
            changed = SuspectChanges()
            changed.fingerprints = {verdict.fingerprint for verdict in made}
            self._note(changed)

    def _others(self, life: str) -> int:
        """Count the requests that ran where a server ended, the suspect left out."""
        end = self.table.end(life)
        return 0 if end is None else len(end.ran) - 1

    def _note(self, changed: SuspectChanges) -> None:
        """Have news told, and written down where they are verdicts."""
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
                log.warning("verdicts not written", failure=str(saved.unwrap_err()))

    def _tell_everything(self, address: str) -> None:
        now_s = _now_s()
        if now_s - self._whole_s.get(address, float("-inf")) < WHOLE_PAUSE_S:
            return
        self._whole_s[address] = now_s
        self._peers.post(address, self._news(all_records(self.table)))

    async def _publish(self, *, whole: bool) -> None:
        """Tell the other replicas what is news, or which table this one has."""
        if whole:
            self.table.expire()
        if not self._changed and (not whole or self.table.empty):
            return
        news = self._news(self._changed.pop_all())
        for address in self._replicas():
            if address != self._own_address:
                self._peers.post(address, news)

    def _news(self, changed: SuspectChanges) -> SuspectNews:
        return encode_news(self.table, changed, _now_s(), address=self._own_address)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


__all__ = ["SuspectRelay"]
