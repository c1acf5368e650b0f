"""Brings one version to this VM: from neighbours, and each piece only once from afar.

A few pieces are on their way at any time, from several senders, so that our link is full and no
sender's link stands idle; what does not come is ordered from another one that holds it.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine

from leadhollow.observe.logs import get_logger
from leadhollow.staging.origin_source import OriginSource
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.sharing import Sharing, Stager
from leadhollow.staging.turns import turn_of
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.pacing import Pacer
from leadhollow.wire.connection import Connection
from leadhollow.wire.generated.ttypes import PieceDelivery, PieceNews, PieceOrder, PieceWatch
from leadhollow.wire.peers import PeerPool

ORIGIN_READERS = 1  # all stagers read at once; more would only make each piece come later
PLAN_INTERVAL_S = 0.02
WATCH_AGAIN_S = 0.3
MEET_S = 0.5  # time to reach the other stagers before the first order
STALLED_AFTER_S = 2.0  # a source that sends nothing of what was ordered is left alone
AVOIDED_S = 1.5  # for this long
IMPORT_ANYWAY_S = 3.0  # for a piece that another one should bring in, and did not
ORIGIN_ANYWAY_S = 4.0  # for a piece that nobody holds although another one should have read it
PER_SOURCE = 2
SLOW_PIECE_S = 0.7  # from order to arrival; with a full window it is a quarter second
QUICK_PIECE_S = 0.4
WINDOW_STEP = 0.25
EARLY_TURNS = 3  # stagers whose engines change first get their pieces first
DOWNLOAD_SHARE = 0.95  # of our link; the rest is for the engine's requests
WINDOW = 4
"""Pieces on their way: enough to keep our link full while senders are busy with others, and no
more, because the requests for the engine come over the same link."""

FAILED_PAUSE_S = 0.2

log = get_logger("fetch")


class _Source:
    """Another stager: what it holds and what is ordered there."""

    __slots__ = (
        "avoided_until_s",
        "connected",
        "held",
        "ordered",
        "progress_s",
        "receiving",
        "stager",
        "tasks",
        "tried",
    )

    def __init__(self, *, stager: Stager, count: int) -> None:
        self.stager = stager
        self.held = Bitmap(count=count)
        self.ordered: set[int] = set()
        self.connected = False
        self.tried = False
        self.progress_s = 0.0
        self.avoided_until_s = 0.0
        self.tasks: set[asyncio.Task[None]] = set()
        self.receiving: set[asyncio.Task[None]] = set()

    def usable(self, now_s: float) -> bool:
        """Tell whether it can be asked."""
        return self.connected and now_s >= self.avoided_until_s

    def stalled(self, now_s: float) -> bool:
        """Tell whether it owes us pieces and has sent nothing for long."""
        return bool(self.ordered) and now_s - self.progress_s > STALLED_AFTER_S


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
    link_share
        Gives what part that is of what it should carry; fewer pieces are asked for at a time then.
    """

    __slots__ = (
        "_arrived_s",
        "_download",
        "_from_origin",
        "_link_share",
        "_ordered",
        "_ordered_s",
        "_origin",
        "_others",
        "_own",
        "_peers",
        "_random",
        "_sources",
        "_started_s",
        "_wake",
        "_wanted_since_s",
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
        link_share: Callable[[], float],
        seed: int,
    ) -> None:
        self._link_share = link_share
        self.version = version
        self._own = own
        self._others = others
        self._origin = origin
        self._peers = peers
        self._download = Pacer(rate_bytes_per_s=lambda: link_bytes_per_s() * DOWNLOAD_SHARE)
        self._random = random.Random(seed)
        self._sources: dict[str, _Source] = {}
        self._ordered: dict[int, _Source | None] = {}  # pieces on their way; None: the origin
        self._ordered_s: dict[int, float] = {}
        self._wanted_since_s: dict[int, float] = {}
        self._arrived_s = 0.0
        self._window = float(WINDOW)
        self._from_origin: asyncio.Queue[int] = asyncio.Queue()
        self._wake = asyncio.Event()
        self._started_s = 0.0

    async def run(self) -> None:
        """Fetch until every piece is here."""
        loop = asyncio.get_running_loop()
        self._started_s = loop.time()
        tasks = [loop.create_task(self._read_origin()) for _ in range(ORIGIN_READERS)]
        tasks.append(loop.create_task(self._keep_planning()))
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
                source = _Source(stager=stager, count=self.version.held.count)
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
        missing = [index for index in self.version.held.missing() if index not in self._ordered]
        self._random.shuffle(missing)
        missing.sort(key=self._is_near)  # what we are to bring in goes first: others wait for it
        room = self._room()
        sharing = self._share(now_s)
        for index in missing:
            if room <= 0 or not self._download.ready():
                return
            source = self._choose(index, now_s, sharing)
            if source is not None:
                room -= 1
                self._download.spend(self.version.manifest.chunk_bytes)
                self._order(index, source, now_s)
                self._spawn_receive(source, [index])

    def _room(self) -> int:
        """Tell how many more pieces may be ordered from other stagers now."""
        window = max(1, round(self._window * self._link_share()))
        if window < WINDOW:  # the link is slow: what the origin sends comes over it too
            return window - len(self._ordered)
        return window - sum(1 for source in self._ordered.values() if source is not None)

    def _is_near(self, index: int) -> bool:
        own_domain = self._own.failure_domain
        return any(
            source.stager.failure_domain == own_domain and index in source.held
            for source in self._sources.values()
        )

    def _leave_stalled(self, now_s: float) -> None:
        if now_s - self._arrived_s > STALLED_AFTER_S / 2:
            return  # nothing comes from anybody: it is our own link
        for source in self._sources.values():
            if source.stalled(now_s):
                log.warning("source stalled", source=source.stager.address)
                source.avoided_until_s = now_s + AVOIDED_S
                for task in source.receiving:
                    task.cancel()
                self._give_back(source, list(source.ordered))

    def _order(self, index: int, source: _Source, now_s: float) -> None:
        self._ordered[index] = source
        self._ordered_s[index] = now_s
        if not source.ordered:
            source.progress_s = now_s
        source.ordered.add(index)

    def _choose(self, index: int, now_s: float, sharing: Sharing) -> _Source | None:
        """Choose whom to ask for a piece now; None where it has to wait, or the origin is asked."""
        inside = self._holders(index, now_s, inside=True)
        if inside:
            return self._freest(inside)
        since_s = self._wanted_since_s.setdefault(index, now_s)
        ours = sharing.importer(index, self._own.failure_domain) == self._own
        if not ours and now_s - since_s < IMPORT_ANYWAY_S:
            return None
        outside = self._holders(index, now_s, inside=False)
        if outside:
            return self._freest(outside)
        reads = sharing.origin_reader(index) == self._own or now_s - since_s >= ORIGIN_ANYWAY_S
        if reads and self._room() > 0:
            self._ordered[index] = None
            self._from_origin.put_nowait(index)
        return None

    def _share(self, now_s: float) -> Sharing:
        usable = [source.stager for source in self._sources.values() if source.usable(now_s)]
        return Sharing(number=self.version.number, stagers=[self._own, *usable])

    def _freest(self, sources: list[_Source]) -> _Source | None:
        free = [source for source in sources if len(source.ordered) < PER_SOURCE]
        return min(free, key=self._busy) if free else None

    def _holders(self, index: int, now_s: float, *, inside: bool) -> list[_Source]:
        own_domain = self._own.failure_domain
        return [
            source
            for source in self._sources.values()
            if source.usable(now_s)
            and index in source.held
            and (source.stager.failure_domain == own_domain) == inside
        ]

    def _busy(self, source: _Source) -> tuple[int, float]:
        return len(source.ordered), self._random.random()

    async def _watch(self, source: _Source) -> None:
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

    async def _receive(self, source: _Source, indexes: list[int]) -> None:
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

    def _take(self, source: _Source, index: int, data: bytes) -> None:
        source.ordered.discard(index)
        source.progress_s = self._arrived_s = asyncio.get_running_loop().time()
        self._adapt_window(self._arrived_s - self._ordered_s.pop(index, self._arrived_s))
        if self.version.take(index, data):
            self._ordered.pop(index, None)
            self._wake.set()
            return
        log.warning("piece spoilt", index=index, source=source.stager.address)
        source.held.discard_all([index])
        self._ordered.pop(index, None)
        self._wake.set()

    def _adapt_window(self, took_s: float) -> None:
        """Ask for fewer pieces at a time while they take long, as over a narrowed link."""
        if took_s > SLOW_PIECE_S:
            self._window = max(1.0, self._window / 2)
        elif took_s < QUICK_PIECE_S:
            self._window = min(float(WINDOW), self._window + WINDOW_STEP)

    def _turn(self) -> int:
        """Give our place among those that change first; all later ones share the last place."""
        number = self.version.number
        own = turn_of(self._own.address, number)
        stagers = [source.stager for source in self._sources.values()]
        before = sum(1 for stager in stagers if turn_of(stager.address, number) < own)
        return min(before, EARLY_TURNS)

    def _give_back(self, source: _Source, indexes: list[int]) -> None:
        """Let pieces that did not come be ordered anew."""
        for index in indexes:
            source.ordered.discard(index)
            if self._ordered.get(index) is source:
                del self._ordered[index]
        self._wake.set()

    def _lose(self, source: _Source) -> None:
        for task in source.tasks:
            task.cancel()
        self._give_back(source, list(source.ordered))

    def _set_connected(self, source: _Source, connected: bool) -> None:
        if source.connected is not connected or not source.tried:
            source.tried = True
            source.connected = connected
            self._wake.set()

    async def _read_origin(self) -> None:
        version = self.version
        while True:
            index = await self._from_origin.get()
            while index not in version.held:
                data = await self._origin.piece(version.model, version.number, index)
                if data is not None and version.take(index, data):
                    break
                if data is not None:
                    log.warning("piece spoilt", index=index, source="origin")
                await asyncio.sleep(FAILED_PAUSE_S)
            self._ordered.pop(index, None)

    def _spawn_receive(self, source: _Source, indexes: list[int]) -> None:
        task = self._spawn(source, self._receive(source, indexes))
        source.receiving.add(task)
        task.add_done_callback(source.receiving.discard)

    def _spawn(self, source: _Source, work: Coroutine[object, object, None]) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(work)
        source.tasks.add(task)
        task.add_done_callback(source.tasks.discard)
        return task


__all__ = ["PieceFetch"]
