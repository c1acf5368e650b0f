"""Brings one version to this VM: from neighbours, and each piece only once from afar.

A few pieces are on their way at any time, from several senders, so that our link is full and no
sender's link stands idle; what does not come is ordered from another one that holds it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine

from leadhollow.observe.logs import get_logger
from leadhollow.staging.choice import Origin, SourceChoice
from leadhollow.staging.origin_source import OriginSource
from leadhollow.staging.piece_source import STALLED_AFTER_S, PieceSource
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.sharing import Stager
from leadhollow.staging.turns import turn_of
from leadhollow.staging.window import PieceWindow
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.pacing import Pacer
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import PieceDelivery, PieceNews, PieceOrder, PieceWatch
from leadhollow.wire.peers import PeerPool

ORIGIN_READERS = 1  # all stagers read at once; more would only make each piece come later
PLAN_INTERVAL_S = 0.02
WATCH_AGAIN_S = 0.3
MEET_S = 0.5  # time to reach the other stagers before the first order
EARLY_TURNS = 3  # stagers whose engines change first get their pieces first
DOWNLOAD_SHARE = 0.95  # of our link; the rest is for the engine's requests
REPORT_INTERVAL_S = 1.0
FAILED_PAUSE_S = 0.2

log = get_logger("fetch")


class PieceFetch:
    """One version on its way.

    Parameters
    ----------
    own
        This stager.
    others
        Gives the other stagers that may take part.
    link_bytes_per_s
        Gives what this VM's link carries now.
    window
        How many pieces may be on their way here at a time, of whatever version.
    """

    __slots__ = (
        "_arrived_s",
        "_choice",
        "_download",
        "_from_origin",
        "_ordered",
        "_ordered_s",
        "_origin",
        "_others",
        "_own",
        "_peers",
        "_sources",
        "_started_s",
        "_wake",
        "_window",
        "version",
    )

    def __init__(
        self,
        *,
        version: StagedVersion,
        own: Stager,
        others: Callable[[], list[Stager]],
        origin: OriginSource,
        peers: PeerPool,
        link_bytes_per_s: Callable[[], float],
        window: PieceWindow,
        seed: int,
    ) -> None:
        self.version = version
        self._own = own
        self._others = others
        self._origin = origin
        self._peers = peers
        self._download = Pacer(rate_bytes_per_s=lambda: link_bytes_per_s() * DOWNLOAD_SHARE)
        self._choice = SourceChoice(own=own, number=version.number, seed=seed)
        self._sources: dict[str, PieceSource] = {}
        self._ordered: dict[int, PieceSource | None] = {}  # pieces on their way; None: the origin
        self._ordered_s: dict[int, float] = {}
        self._arrived_s = 0.0
        self._window = window
        self._from_origin: asyncio.Queue[int] = asyncio.Queue()
        self._wake = asyncio.Event()
        self._started_s = 0.0

    async def run(self) -> None:
        """Fetch until every piece is here."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        tasks = [loop.create_task(self._read_origin()) for _ in range(ORIGIN_READERS)]
        tasks.append(loop.create_task(self._keep_planning()))
        tasks.append(loop.create_task(self._keep_reporting()))
        try:
            while not self.version.complete:
                await self.version.changed()
        finally:
            for source in self._sources.values():
                tasks += source.tasks
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        log.info(
            "version complete",
            model=self.version.model,
            number=self.version.number,
            seconds=round(loop.time() - self._started_s, 2),
            origin_bytes=self._origin.bytes_read,
        )

    async def _keep_reporting(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            log.info(
                "fetch progress",
                model=self.version.model,
                number=self.version.number,
                held=self.version.held.held,
                pieces=self.version.held.count,
                on_order=len(self._ordered),
                from_origin=self._on_order_at_origin(),
                sources=sum(1 for source in self._sources.values() if source.connected),
                window=self._window.size,
            )

    async def _keep_planning(self) -> None:
        while True:
            self._wake.clear()
            self._follow_stagers()
            if self._knows_others():
                self._plan()
            try:
                async with asyncio.timeout(PLAN_INTERVAL_S):
                    await self._wake.wait()
            except TimeoutError:
                continue

    def _follow_stagers(self) -> None:
        """Watch each stager that is there, and forget those that are not."""
        present = {stager.address: stager for stager in self._others()}
        for address in list(self._sources):
            if address not in present:
                self._lose(self._sources.pop(address))
        for address, stager in present.items():
            if address not in self._sources:
                source = PieceSource(stager=stager, count=self.version.held.count)
                self._sources[address] = source
                self._spawn(source, self._watch(source))

    def _knows_others(self) -> bool:
        """Tell whether it is known who takes part; the origin must not be asked by everybody."""
        if asyncio.get_running_loop().time() - self._started_s > MEET_S:
            return True
        return bool(self._sources) and all(source.tried for source in self._sources.values())

    def _plan(self) -> None:
        """Order missing pieces that somebody holds, as far as our link goes."""
        now_s = asyncio.get_running_loop().time()
        self._leave_stalled(now_s)
        if not self._stager_room() and not self._origin_room():
            return
        missing = [index for index in self.version.held.missing() if index not in self._ordered]
        self._choice.look(self._sources.values(), number=self.version.number, now_s=now_s)
        for index in self._choice.in_order(missing):
            source = self._choice.source(index, now_s)
            if isinstance(source, PieceSource):
                self._order_from_stager(index, source, now_s)
            elif source is Origin.ORIGIN:
                self._order_from_origin(index)

    def _order_from_stager(self, index: int, source: PieceSource, now_s: float) -> None:
        if not self._stager_room():
            return
        self._download.spend(self.version.manifest.chunk_bytes)
        self._order(index, source, now_s)
        self._spawn_receive(source, [index])

    def _order_from_origin(self, index: int) -> None:
        if self._origin_room():
            self._ordered[index] = None
            self._from_origin.put_nowait(index)

    def _stager_room(self) -> bool:
        """Tell whether another piece may be ordered from a stager now."""
        at_origin = self._on_order_at_origin()
        from_stagers = len(self._ordered) - at_origin
        return self._download.ready() and self._window.stager_room(
            from_stagers=from_stagers, from_origin=at_origin
        )

    def _origin_room(self) -> bool:
        """Tell whether another piece may be ordered from the origin now."""
        at_origin = self._on_order_at_origin()
        from_stagers = len(self._ordered) - at_origin
        return self._window.origin_room(from_stagers=from_stagers, from_origin=at_origin)

    def _on_order_at_origin(self) -> int:
        return sum(1 for source in self._ordered.values() if source is None)

    def _leave_stalled(self, now_s: float) -> None:
        if now_s - self._arrived_s > STALLED_AFTER_S / 2:
            return  # nothing comes from anybody: it is our own link
        for source in self._sources.values():
            if source.stalled(now_s):
                log.warning("source stalled", source=source.stager.address)
                source.avoid(now_s)
                self._give_back(source, list(source.ordered))

    def _order(self, index: int, source: PieceSource, now_s: float) -> None:
        self._ordered[index] = source
        self._ordered_s[index] = now_s
        if not source.ordered:
            source.progress_s = now_s
        source.ordered.add(index)

    async def _watch(self, source: PieceSource) -> None:
        """Follow what another stager holds for as long as it takes part."""
        version = self.version
        request = PieceWatch(
            version.model, version.number, self._own.address, self._own.failure_domain
        )
        while not source.held.complete:
            connected = await self._peers.connection(source.stager.address)
            if connected.is_ok():
                self._set_connected(source, True)
                stream = connected.unwrap().stream(request)
                while (received := await stream.next()).is_ok():
                    news: PieceNews | None = received.unwrap()
                    if news is None:
                        break
                    source.held.add_all(
                        Bitmap.from_bytes(news.held or b"", count=version.held.count).indexes()
                    )
                    source.held.add_all(news.added or ())
                    self._wake.set()
                if connected.unwrap().closed.is_set():
                    self._set_connected(source, False)
            else:
                self._set_connected(source, False)
            await asyncio.sleep(WATCH_AGAIN_S)

    async def _receive(self, source: PieceSource, indexes: list[int]) -> None:
        """Take the pieces of one order as they come."""
        version = self.version
        connected = await self._peers.connection(source.stager.address)
        if connected.is_err():
            self._set_connected(source, False)
            self._give_back(source, indexes)
            return
        connection: Connection = connected.unwrap()
        order = PieceOrder(
            version.model,
            version.number,
            indexes,
            self._own.failure_domain,
            self._turn(),
        )
        stream = connection.stream(order)
        try:
            while True:
                received = await stream.next()
                if received.is_err():
                    self._set_connected(source, False)
                    return
                delivery: PieceDelivery | None = received.unwrap()
                if delivery is None:
                    return
                self._take(source, int(delivery.index or 0), delivery.data or b"")
        finally:
            stream.cancel()
            self._give_back(source, indexes)

    def _take(self, source: PieceSource, index: int, data: bytes) -> None:
        source.ordered.discard(index)
        source.progress_s = self._arrived_s = asyncio.get_running_loop().time()
        self._window.note(self._arrived_s - self._ordered_s.pop(index, self._arrived_s))
        if self.version.take(index, data):
            self._ordered.pop(index, None)
            self._wake.set()
            return
        log.warning("piece spoilt", index=index, source=source.stager.address)
        source.held.discard_all([index])
        self._ordered.pop(index, None)
        self._wake.set()

    def _turn(self) -> int:
        """Give our place among those that change first; all later ones share the last place."""
        number = self.version.number
        own = turn_of(self._own.address, number)
        stagers = [source.stager for source in self._sources.values()]
        before = sum(1 for stager in stagers if turn_of(stager.address, number) < own)
        return min(before, EARLY_TURNS)

    def _give_back(self, source: PieceSource, indexes: list[int]) -> None:
        """Let pieces that did not come be ordered anew."""
        for index in indexes:
            source.ordered.discard(index)
            if self._ordered.get(index) is source:
                del self._ordered[index]
        self._wake.set()

    def _lose(self, source: PieceSource) -> None:
        for task in source.tasks:
            task.cancel()
        self._give_back(source, list(source.ordered))

    def _set_connected(self, source: PieceSource, connected: bool) -> None:
        if source.connected is not connected or not source.tried:
            source.tried = True
            source.connected = connected
            self._wake.set()

    async def _read_origin(self) -> None:
        """Read one piece after another; what did not come is planned anew, from anybody."""
        version = self.version
        while True:
            index = await self._from_origin.get()
            if index not in version.held:
                data = await self._origin.piece(version.model, version.number, index)
                if data is None:
                    self._choice.origin_failed(asyncio.get_running_loop().time())
                    await asyncio.sleep(FAILED_PAUSE_S)
                elif not version.take(index, data):
                    log.warning("piece spoilt", index=index, source="origin")
                    await asyncio.sleep(FAILED_PAUSE_S)
            self._ordered.pop(index, None)
            self._wake.set()

    def _spawn_receive(self, source: PieceSource, indexes: list[int]) -> None:
        task = self._spawn(source, self._receive(source, indexes))
        source.receiving.add(task)
        task.add_done_callback(source.receiving.discard)

    def _spawn(
        self, source: PieceSource, work: Coroutine[object, object, None]
    ) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        source.tasks.add(task)
        task.add_done_callback(source.tasks.discard)
        return task


__all__ = ["PieceFetch"]
