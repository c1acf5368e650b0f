"""Brings one version to this VM: from neighbours, and each piece only once from afar.

A few slices of pieces are on their way at any time, each from another sender, so that our link is
full and no sender's link stands idle. What does not come is asked of another one that holds it.
Slices are asked for one by one: sent unasked, those of several senders would queue at our link,
and every request for the engine on this VM behind them. All times here are heard ones: others are
not late because we were.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterable

from leadhollow.codes import Code
from leadhollow.failure import Failure
from leadhollow.kernel.active_time import active_s
from leadhollow.observe.logs import get_logger
from leadhollow.staging.announcements import announce_interval_s
from leadhollow.staging.origin_source import OriginSource
from leadhollow.staging.piece_assignment import Stager
from leadhollow.staging.piece_source import CONNECT_GRACE_S, PieceSource
from leadhollow.staging.piece_window import PieceWindow
from leadhollow.staging.pieces import StagedVersion
from leadhollow.staging.source_selector import Origin, SourceSelector
from leadhollow.staging.switch_order import switch_rank
from leadhollow.staging.takeover_delays import MAX_IMPORT_DELAY_S, TakeoverDelays
from leadhollow.weights.bitmap import Bitmap
from leadhollow.weights.pacing import Pacer
from leadhollow.wire.generated.ttypes import PieceNews, PieceWatch, SliceReply, SliceRequest
from leadhollow.wire.peers import PeerPool

ORIGIN_READERS = 1  # all stagers read at once; more would only make each piece come later
PLAN_INTERVAL_S = 0.02
PLAN_GATHER_S = 0.01
"""What happens within it is planned for together: with forty others each tells ten times a second
what came to it, and slices on their way keep our link busy for five times as long."""

FOLLOW_INTERVAL_S = 0.2  # how often it is looked who takes part; who ends is noticed at once
WIDEN_S = 2 * MAX_IMPORT_DELAY_S
"""Time after which one more place of those that bring pieces in follows the readers outside: those
before it have had theirs, and do not bring the piece."""

WATCH_AGAIN_S = 0.3
EARLY_TURNS = 3  # stagers whose engines change first get their pieces first
DOWNLOAD_SHARE = 0.95  # of our link; the rest is for the engine's requests
BURST_S = 0.03  # idle time of our link that may be made up for
SLICE_BYTES = 6_144
"""Asked for at a time: an engine's request or answer waits behind one on a slow link for a
hundredth of a second, and four of them make a piece."""

PATIENCE_MS = 1_200  # a sender that is asked by everybody takes a few tenths of a second
TRAVEL_MS = 800  # what a slice may take on its way besides
SLOW_PIECE_S = 1.2
"""A piece takes 0.4 s where all links are full. One that takes three times as long is asked of
another holder, or of the origin: a sender on a narrow link that alone holds a piece would keep
every engine from the version."""

REPORT_INTERVAL_S = 1.0
FAILED_PAUSE_S = 0.2
ORIGIN_SILENT_S = 1.0  # an origin that owes us a piece for so long takes nothing of our link

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
    origin_bytes_per_s
        Gives the speed of the origin's link, 0 where it is not known.
    window
        How many pieces may be on their way here at a time, of whatever version.

    Attributes
    ----------
    yields
        Whether it leaves the link to another version, and asks nobody but the origin.
    """

    __slots__ = (
        "_arrived_s",
        "_choice",
        "_download",
        "_follow_s",
        "_from_origin",
        "_ordered",
        "_ordered_s",
        "_origin",
        "_origin_progress_s",
        "_others",
        "_own",
        "_parts",
        "_peers",
        "_sources",
        "_started_s",
        "_turn",
        "_unfollowed",
        "_wake",
        "_window",
        "version",
        "origin_only",
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
        origin_bytes_per_s: Callable[[], float],
        window: PieceWindow,
        seed: int,
    ) -> None:
        self.version = version
        self.origin_only = False
        self._own = own
        self._others = others
        self._origin = origin
        self._peers = peers
        self._download = Pacer(
            rate_bytes_per_s=lambda: link_bytes_per_s() * DOWNLOAD_SHARE, burst_s=BURST_S
        )
        patience = TakeoverDelays(
            piece_bytes=version.manifest.chunk_bytes,
            origin_bytes_per_s=origin_bytes_per_s,
            link_bytes_per_s=link_bytes_per_s,
            announce_interval_s=lambda: announce_interval_s(len(self._sources)),
        )
        self._choice = SourceSelector(own=own, number=version.number, seed=seed, delays=patience)
        self._origin_progress_s = 0.0
        self._sources: dict[str, PieceSource] = {}
        self._ordered: dict[int, PieceSource | None] = {}  # pieces on their way; None: the origin
        self._ordered_s: dict[int, float] = {}  # when each was asked of the stager it comes from
        self._parts: dict[int, list[bytes]] = {}  # slices of pieces that are not whole yet
        self._arrived_s = 0.0
        self._window = window
        self._from_origin: asyncio.Queue[int] = asyncio.Queue()
        self._wake = asyncio.Event()
        self._started_s = active_s()
        self._follow_s = 0.0
        self._unfollowed: list[Stager] = []  # take part, and their word is not needed
        self._turn = 0

    async def run(self) -> None:
        """Fetch until every piece is here."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._started_s = active_s()
        tasks = [loop.create_task(self._read_origin()) for _ in range(ORIGIN_READERS)]
        tasks.append(loop.create_task(self._keep_planning()))
        tasks.append(loop.create_task(self._keep_reporting()))
        try:
            while not self.version.complete:
                await self.version.wait_changed()
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
            seconds=round(loop.time() - began_s, 2),
            origin_bytes=self._origin.bytes_read,
        )

    def blocked(self) -> bool:
        """Tell whether nobody holds some of the pieces and the origin does not answer."""
        now_s = active_s()
        return self._choice.blocked(list(self.version.held.missing()), now_s)

    async def _keep_reporting(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            log.info(
                "fetch progress",
                model=self.version.model,
                number=self.version.number,
                held=self.version.held.held_count,
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
            await asyncio.sleep(PLAN_GATHER_S)

    def _follow_stagers(self) -> None:
        """Watch the stagers whose word is needed, and forget those that are not there any more."""
        now_s = active_s()
        if self._sources and now_s < self._follow_s:
            return
        self._follow_s = now_s + FOLLOW_INTERVAL_S
        present = {stager.address: stager for stager in self._others()}
        for address in list(self._sources):
            if address not in present:
                self._lose(self._sources.pop(address))
        self._unfollowed = [
            stager for address, stager in present.items() if address not in self._sources
        ]
        self._look(now_s)
        places = 1 + int((now_s - self._started_s) / WIDEN_S)
        needed = self._choice.stagers_to_follow(
            piece_count=self.version.held.count, max_rank=places
        )
        for stager in self._unfollowed:
            if stager.address in needed or stager.failure_domain == self._own.failure_domain:
                source = PieceSource(stager=stager, count=self.version.held.count)
                source.followed_s = now_s
                self._sources[stager.address] = source
                self._spawn(source, self._watch(source))
        self._unfollowed = [
            stager for address, stager in present.items() if address not in self._sources
        ]
        self._turn = self._turn_among(present.values())

    def _look(self, now_s: float) -> None:
        self._choice.update(
            self._sources.values(),
            number=self.version.number,
            now_s=now_s,
            unfollowed=self._unfollowed,
        )

    def _knows_others(self) -> bool:
        """Tell whether it is known who takes part; the origin must not be asked by everybody."""
        if active_s() - self._started_s > CONNECT_GRACE_S:
            return True
        return bool(self._sources) and all(source.contacted for source in self._sources.values())

    def _plan(self) -> None:
        """Order missing pieces that somebody holds, as far as our link goes."""
        now_s = active_s()
        if not self._stager_room() and not self._origin_room():
            return
        missing = [index for index in self.version.held.missing() if index not in self._ordered]
        self._look(now_s)
        for index in self._choice.prioritise(missing, now_s):
            source = self._choice.choose(index, now_s)
            if isinstance(source, PieceSource):
                self._order_from_stager(index, source)
            elif source is Origin.ORIGIN:
                self._order_from_origin(index)

    def _order_from_stager(self, index: int, source: PieceSource) -> None:
        if not self._stager_room():
            return
        now_s = active_s()
        self._ordered[index] = source
        self._ordered_s[index] = now_s
        source.record_request(index, now_s)
        self._spawn(source, self._receive(source, index))

    def _order_from_origin(self, index: int) -> None:
        if self._origin_room():
            if not self._on_order_at_origin():
                self._origin_progress_s = active_s()
            self._ordered[index] = None
            self._from_origin.put_nowait(index)

    def _stager_room(self) -> bool:
        """Tell whether another piece may be ordered from a stager now."""
        if self.origin_only:
            return False
        at_origin = self._on_order_at_origin()
        from_stagers = len(self._ordered) - at_origin
        silent_s = active_s() - self._origin_progress_s
        coming = at_origin if silent_s < ORIGIN_SILENT_S else 0
        return self._window.allows_stager(from_stagers=from_stagers, from_origin=coming)

    def _origin_room(self) -> bool:
        """Tell whether another piece may be ordered from the origin now."""
        at_origin = self._on_order_at_origin()
        from_stagers = len(self._ordered) - at_origin
        return self._window.allows_origin(from_stagers=from_stagers, from_origin=at_origin)

    def _on_order_at_origin(self) -> int:
        return sum(1 for source in self._ordered.values() if source is None)

    async def _watch(self, source: PieceSource) -> None:
        """Follow what another stager holds for as long as it takes part."""
        version = self.version
        request = PieceWatch(
            version.model, version.number, self._own.address, self._own.failure_domain
        )
        while not source.held.complete:
            connected = await self._peers.connection(source.stager.address)
            if connected.is_ok():
                source.connected = True
                stream = connected.unwrap().stream(request)
                while (received := await stream.next()).is_ok():
                    news: PieceNews | None = received.unwrap()
                    if news is None:
                        break
                    source.held.add_all(
                        Bitmap.from_bytes(news.held or b"", count=version.held.count).indexes()
                    )
                    source.held.add_all(news.added or ())
                    source.contacted = True
                    self._wake.set()
                if connected.unwrap().closed.is_set():
                    self._set_lost(source)
            else:
                self._set_lost(source)
            await asyncio.sleep(WATCH_AGAIN_S)

    async def _receive(self, source: PieceSource, index: int) -> None:
        """Take one piece, slice after slice; what came of it is kept for the next source."""
        try:
            while not self._has_all(index):
                if index in self.version.held or self._gives_up(source, index):
                    return
                if not await self._receive_slice(source, index):
                    return
            self._take(source, index, b"".join(self._parts.pop(index)))
        finally:
            self._give_back(source, index)

    def _gives_up(self, source: PieceSource, index: int) -> bool:
        """Leave a source alone that takes too long over a piece which can be had elsewhere.

        Not where our own link is slow: then all sources are.
        """
        now_s = active_s()
        overdue = now_s - self._ordered_s[index] > SLOW_PIECE_S
        if not overdue or self._window.link_slow:
            return False
        if not self._choice.available_elsewhere(index, source, now_s):
            return False
        log.info("source is slow", piece=index, source=source.stager.address)
        source.avoid(now_s)
        return True

    def _has_all(self, index: int) -> bool:
        size = sum(map(len, self._parts.get(index, ())))
        return size >= self.version.manifest.chunk_bytes

    async def _receive_slice(self, source: PieceSource, index: int) -> bool:
        """Ask a source for the next slice of a piece; False where it did not come."""
        connected = await self._peers.connection(source.stager.address)
        if connected.is_err():
            self._set_lost(source)
            return False
        await self._download.wait_until_free()
        self._download.spend(SLICE_BYTES)
        version = self.version
        offset = sum(map(len, self._parts.get(index, ())))
        request = SliceRequest(
            version.model,
            version.number,
            index,
            offset,
            SLICE_BYTES,
            self._own.failure_domain,
            self._turn,
            PATIENCE_MS,
        )
        asked_s = active_s()
        answered = await connected.unwrap().call(request, timeout_ms=PATIENCE_MS + TRAVEL_MS)
        now_s = active_s()
        if answered.is_err():
            self._note_failed(source, index, answered.unwrap_err(), now_s)
            return False
        reply: SliceReply = answered.unwrap()
        self._window.record_slice(now_s - asked_s - (reply.waited_ms or 0) / 1000)
        source.record_slice(now_s - asked_s, now_s)
        self._arrived_s = now_s
        self._parts.setdefault(index, []).append(reply.data or b"")
        return True

    def _note_failed(self, source: PieceSource, index: int, failure: Failure, now_s: float) -> None:
        log.info("slice not read", piece=index, source=source.stager.address, failure=str(failure))
        if failure.code is Code.PEER_LOST:
            self._set_lost(source)
        elif failure.code is Code.CHUNK_UNKNOWN:
            source.held.discard_all([index])
        elif now_s - self._arrived_s < PATIENCE_MS / 1000:
            source.avoid(now_s)  # others do answer, so it is not our own link
        else:
            self._window.record_slice(PATIENCE_MS / 1000)

    def _take(self, source: PieceSource, index: int, data: bytes) -> None:
        source.requested.discard(index)
        if self.version.add(index, data):
            self._ordered.pop(index, None)
            self._wake.set()
            return
        log.warning("piece spoilt", index=index, source=source.stager.address)
        source.held.discard_all([index])
        self._ordered.pop(index, None)
        self._wake.set()

    def _turn_among(self, others: Iterable[Stager]) -> int:
        """Give our place among those that change first; all later ones share the last place."""
        number = self.version.number
        own = switch_rank(self._own.address, number)
        before = sum(1 for stager in others if switch_rank(stager.address, number) < own)
        return min(before, EARLY_TURNS)

    def _give_back(self, source: PieceSource, index: int) -> None:
        """Let a piece that did not come be ordered anew."""
        source.requested.discard(index)
        if self._ordered.get(index) is source:
            del self._ordered[index]
        self._wake.set()

    def _lose(self, source: PieceSource) -> None:
        for task in source.tasks:
            task.cancel()
        for index in list(source.requested):
            self._give_back(source, index)

    def _set_lost(self, source: PieceSource) -> None:
        source.contacted = True
        source.connected = False
        self._wake.set()

    async def _read_origin(self) -> None:
        """Read one piece after another; what did not come is planned anew, from anybody."""
        version = self.version
        while True:
            index = await self._from_origin.get()
            if index not in version.held:
                data = await self._origin.piece(version.model, version.number, index)
                now_s = active_s()
                self._origin_progress_s = now_s
                if data is None:
                    self._choice.record_origin_failure(now_s)
                    self._drop_orders_at_origin()
                elif not version.add(index, data):
                    log.warning("piece spoilt", index=index, source="origin")
                    await asyncio.sleep(FAILED_PAUSE_S)
                else:
                    self._choice.record_origin_success(now_s)
            self._ordered.pop(index, None)
            self._wake.set()

    def _drop_orders_at_origin(self) -> None:
        """Let what the origin would not send now be asked of stagers that come to hold it."""
        while not self._from_origin.empty():
            self._ordered.pop(self._from_origin.get_nowait(), None)

    def _spawn(self, source: PieceSource, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        source.tasks.add(task)
        task.add_done_callback(source.tasks.discard)


__all__ = ["PieceFetch"]
