"""Fetches the pieces of one version to this VM, from other stagers and from the origin.

Pieces come from stagers of the own failure domain where possible. Each piece should enter a failure
domain and leave the origin only once.

A few slices are in flight at any time, each from a different sender. This keeps the own link full
and no sender's link idle. A piece that does not arrive is requested from another holder. Slices are
requested one by one: if several senders sent them unrequested, they would queue at the own link and
delay every request for the engine on this VM. All times are active time, which excludes stalls of
the event loop: a stall of this process must not make other stagers appear late.
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

ORIGIN_READERS = 1  # all stagers read at once; more readers would only delay each piece
PLAN_INTERVAL_S = 0.02
PLAN_BATCH_S = 0.01
"""Events within it are planned for together. With forty other stagers, each announces its new
pieces ten times a second; slices in flight keep the own link busy five times as long."""

FOLLOW_INTERVAL_S = 0.2  # between two checks who takes part; a lost connection is noticed at once
WIDEN_INTERVAL_S = 2 * MAX_IMPORT_DELAY_S
"""Time after which one more rank of importers follows the remote readers of a piece: those of lower
rank have had their turn and did not import it."""

REFOLLOW_DELAY_S = 0.3
EARLY_RANKS = 3  # stagers whose engines switch first get their pieces first
DOWNLOAD_SHARE = 0.95  # of the own link; the rest is for the engine's requests
BURST_S = 0.03  # idle time of the own link that may be made up for
SLICE_BYTES = 6_144
"""Size of one request. On a slow link a request or a response of the engine waits 10 ms behind one
slice. Four slices make a piece."""

SLICE_PATIENCE_MS = 1_200  # a sender that serves all stagers needs a few tenths of a second
SLICE_TRANSFER_MS = 800  # additional time for the transfer of a slice
SLOW_PIECE_S = 1.2
"""A piece takes 0.4 s if all links are full. A piece that takes three times as long is requested
from another holder or from the origin. Otherwise a sender on a narrow link that is the only holder
of a piece would delay the version at every engine."""

REPORT_INTERVAL_S = 1.0
DAMAGED_PAUSE_S = 0.2
ORIGIN_SILENT_S = 1.0  # an origin silent for so long with a piece pending uses none of the own link

log = get_logger("fetch")


class PieceFetch:
    """The fetch of one version.

    Parameters
    ----------
    own
        This stager.
    others
        Returns the other stagers that may take part.
    link_bytes_per_s
        Returns the current capacity of this VM's link.
    origin_bytes_per_s
        Returns the speed of the origin's link, 0 if unknown.
    window
        Limits the pieces in flight to this VM, for all versions together.
    serves
        Returns whether requests may go to the engine; pieces get the whole link otherwise.

    Attributes
    ----------
    origin_only
        Whether it requests pieces from the origin only and leaves the link to another version.
    """

    __slots__ = (
        "_download",
        "_last_slice_s",
        "_next_follow_s",
        "_origin",
        "_origin_progress_s",
        "_origin_queue",
        "_others",
        "_own",
        "_own_rank",
        "_peers",
        "_requested",
        "_requested_s",
        "_selector",
        "_slices",
        "_sources",
        "_started_s",
        "_unfollowed",
        "_wake",
        "_window",
        "origin_only",
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
        origin_bytes_per_s: Callable[[], float],
        window: PieceWindow,
        seed: int,
        serves: Callable[[], bool] = lambda: True,
    ) -> None:
        self.version = version
        self.origin_only = False
        self._own = own
        self._others = others
        self._origin = origin
        self._peers = peers

        def download_bytes_per_s() -> float:
            return link_bytes_per_s() * (DOWNLOAD_SHARE if serves() else 1.0)

        self._download = Pacer(rate_bytes_per_s=download_bytes_per_s, burst_s=BURST_S)
        delays = TakeoverDelays(
            piece_bytes=version.manifest.chunk_bytes,
            origin_bytes_per_s=origin_bytes_per_s,
            link_bytes_per_s=link_bytes_per_s,
            announce_interval_s=lambda: announce_interval_s(len(self._sources)),
        )
        self._selector = SourceSelector(own=own, number=version.number, seed=seed, delays=delays)
        self._origin_progress_s = 0.0
        self._sources: dict[str, PieceSource] = {}
        self._requested: dict[int, PieceSource | None] = {}  # pending pieces; None: the origin
        self._requested_s: dict[int, float] = {}  # when each was requested from its stager
        self._slices: dict[int, list[bytes]] = {}  # of pieces that are not complete yet
        self._last_slice_s = 0.0
        self._window = window
        self._origin_queue: asyncio.Queue[int] = asyncio.Queue()
        self._wake = asyncio.Event()
        self._started_s = active_s()
        self._next_follow_s = 0.0
        self._unfollowed: list[Stager] = []  # take part, but their announcements are not needed
        self._own_rank = 0

    async def run(self) -> None:
        """Fetch until all pieces are held."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        self._started_s = active_s()
        tasks = [loop.create_task(self._read_origin()) for _ in range(ORIGIN_READERS)]
        tasks.append(loop.create_task(self._plan_repeatedly()))
        tasks.append(loop.create_task(self._report_progress()))
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
        """Return whether no stager holds some of the pieces and the origin does not answer."""
        now_s = active_s()
        return self._selector.blocked(list(self.version.held.missing()), now_s)

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            log.info(
                "fetch progress",
                model=self.version.model,
                number=self.version.number,
                held=self.version.held.held_count,
                pieces=self.version.held.count,
                on_order=len(self._requested),
                from_origin=self._pending_at_origin(),
                sources=sum(1 for source in self._sources.values() if source.connected),
                window=self._window.size,
            )

    async def _plan_repeatedly(self) -> None:
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
            await asyncio.sleep(PLAN_BATCH_S)

    def _follow_stagers(self) -> None:
        """Follow the stagers whose announcements are needed, and drop those that are gone."""
        now_s = active_s()
        if self._sources and now_s < self._next_follow_s:
            return
        self._next_follow_s = now_s + FOLLOW_INTERVAL_S
        present = {stager.address: stager for stager in self._others()}
        for address in list(self._sources):
            if address not in present:
                self._drop(self._sources.pop(address))
        self._unfollowed = [
            stager for address, stager in present.items() if address not in self._sources
        ]
        self._update_selector(now_s)
        max_rank = 1 + int((now_s - self._started_s) / WIDEN_INTERVAL_S)
        needed = self._selector.stagers_to_follow(
            piece_count=self.version.held.count, max_rank=max_rank
        )
        for stager in self._unfollowed:
            if stager.address in needed or stager.failure_domain == self._own.failure_domain:
                source = PieceSource(stager=stager, count=self.version.held.count)
                source.followed_s = now_s
                self._sources[stager.address] = source
                self._spawn(source, self._follow(source))
        self._unfollowed = [
            stager for address, stager in present.items() if address not in self._sources
        ]
        self._own_rank = self._switch_rank_among(present.values())

    def _update_selector(self, now_s: float) -> None:
        self._selector.update(
            self._sources.values(),
            number=self.version.number,
            now_s=now_s,
            unfollowed=self._unfollowed,
        )

    def _knows_others(self) -> bool:
        """Return whether it is known who takes part; before that all would read from the origin."""
        if active_s() - self._started_s > CONNECT_GRACE_S:
            return True
        return bool(self._sources) and all(source.contacted for source in self._sources.values())

    def _plan(self) -> None:
        """Request missing pieces that are available, within the limits of the own link."""
        now_s = active_s()
        if not self._stager_allowed() and not self._origin_allowed():
            return
        missing = [index for index in self.version.held.missing() if index not in self._requested]
        self._update_selector(now_s)
        for index in self._selector.prioritise(missing, now_s):
            source = self._selector.choose(index, now_s)
            if isinstance(source, PieceSource):
                self._request_from_stager(index, source)
            elif source is Origin.ORIGIN:
                self._request_from_origin(index)

    def _request_from_stager(self, index: int, source: PieceSource) -> None:
        if not self._stager_allowed():
            return
        now_s = active_s()
        self._requested[index] = source
        self._requested_s[index] = now_s
        source.record_request(index, now_s)
        self._spawn(source, self._receive(source, index))

    def _request_from_origin(self, index: int) -> None:
        if self._origin_allowed():
            if not self._pending_at_origin():
                self._origin_progress_s = active_s()
            self._requested[index] = None
            self._origin_queue.put_nowait(index)

    def _stager_allowed(self) -> bool:
        """Return whether another piece may be requested from a stager now."""
        if self.origin_only:
            return False
        at_origin = self._pending_at_origin()
        from_stagers = len(self._requested) - at_origin
        silent_s = active_s() - self._origin_progress_s
        from_origin = at_origin if silent_s < ORIGIN_SILENT_S else 0
        return self._window.allows_stager(from_stagers=from_stagers, from_origin=from_origin)

    def _origin_allowed(self) -> bool:
        """Return whether another piece may be requested from the origin now."""
        at_origin = self._pending_at_origin()
        from_stagers = len(self._requested) - at_origin
        return self._window.allows_origin(from_stagers=from_stagers, from_origin=at_origin)

    def _pending_at_origin(self) -> int:
        return sum(1 for source in self._requested.values() if source is None)

    async def _follow(self, source: PieceSource) -> None:
        """Follow the announcements of another stager until it holds all pieces."""
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
                    announcement: PieceNews | None = received.unwrap()
                    if announcement is None:
                        break
                    source.held.add_all(
                        Bitmap.from_bytes(
                            announcement.held or b"", count=version.held.count
                        ).indexes()
                    )
                    source.held.add_all(announcement.added or ())
                    source.contacted = True
                    self._wake.set()
                if connected.unwrap().closed.is_set():
                    self._record_unreachable(source)
            else:
                self._record_unreachable(source)
            await asyncio.sleep(REFOLLOW_DELAY_S)

    async def _receive(self, source: PieceSource, index: int) -> None:
        """Receive one piece slice by slice; received slices are kept for the next source."""
        try:
            while not self._has_all_slices(index):
                if index in self.version.held or self._gives_up(source, index):
                    return
                if not await self._receive_slice(source, index):
                    return
            self._complete_piece(source, index, b"".join(self._slices.pop(index)))
        finally:
            self._cancel_request(source, index)

    def _gives_up(self, source: PieceSource, index: int) -> bool:
        """Avoid a source that is slow with a piece that is available elsewhere.

        This does not apply while the own link is slow, because then all sources are.
        """
        now_s = active_s()
        overdue = now_s - self._requested_s[index] > SLOW_PIECE_S
        if not overdue or self._window.link_slow:
            return False
        if not self._selector.available_elsewhere(index, source, now_s):
            return False
        log.info("source is slow", piece=index, source=source.stager.address)
        source.avoid(now_s)
        return True

    def _has_all_slices(self, index: int) -> bool:
        size = sum(map(len, self._slices.get(index, ())))
        return size >= self.version.manifest.chunk_bytes

    async def _receive_slice(self, source: PieceSource, index: int) -> bool:
        """Request the next slice of a piece from a source; False if it did not arrive."""
        connected = await self._peers.connection(source.stager.address)
        if connected.is_err():
            self._record_unreachable(source)
            return False
        await self._download.wait_until_free()
        self._download.spend(SLICE_BYTES)
        version = self.version
        offset = sum(map(len, self._slices.get(index, ())))
        request = SliceRequest(
            version.model,
            version.number,
            index,
            offset,
            SLICE_BYTES,
            self._own.failure_domain,
            self._own_rank,
            SLICE_PATIENCE_MS,
        )
        sent_s = active_s()
        result = await connected.unwrap().call(
            request, timeout_ms=SLICE_PATIENCE_MS + SLICE_TRANSFER_MS
        )
        now_s = active_s()
        if result.is_err():
            self._record_failed_slice(source, index, result.unwrap_err(), now_s)
            return False
        reply: SliceReply = result.unwrap()
        data = reply.data or b""
        if len(data) != min(SLICE_BYTES, version.manifest.chunk_bytes - offset):
            log.warning("slice spoilt", piece=index, source=source.stager.address, size=len(data))
            source.avoid(now_s)
            return False
        self._window.record_slice(now_s - sent_s - (reply.waited_ms or 0) / 1000)
        source.record_slice(now_s - sent_s, now_s)
        self._last_slice_s = now_s
        self._slices.setdefault(index, []).append(data)
        return True

    def _record_failed_slice(
        self, source: PieceSource, index: int, failure: Failure, now_s: float
    ) -> None:
        log.info("slice not read", piece=index, source=source.stager.address, failure=str(failure))
        if failure.code is Code.PEER_LOST:
            self._record_unreachable(source)
        elif failure.code is Code.CHUNK_UNKNOWN:
            source.held.discard_all([index])
        elif now_s - self._last_slice_s < SLICE_PATIENCE_MS / 1000:
            source.avoid(now_s)  # others do answer, so the own link is not the cause
        else:
            self._window.record_slice(SLICE_PATIENCE_MS / 1000)

    def _complete_piece(self, source: PieceSource, index: int, data: bytes) -> None:
        source.requested.discard(index)
        if self.version.add(index, data):
            self._requested.pop(index, None)
            self._wake.set()
            return
        log.warning("piece spoilt", index=index, source=source.stager.address)
        source.held.discard_all([index])
        self._requested.pop(index, None)
        self._wake.set()

    def _switch_rank_among(self, others: Iterable[Stager]) -> int:
        """Return this stager's place in the switch order; all later stagers share the last one."""
        number = self.version.number
        own = switch_rank(self._own.address, number)
        before = sum(1 for stager in others if switch_rank(stager.address, number) < own)
        return min(before, EARLY_RANKS)

    def _cancel_request(self, source: PieceSource, index: int) -> None:
        """Allow a piece that did not arrive to be requested again."""
        source.requested.discard(index)
        if self._requested.get(index) is source:
            del self._requested[index]
        self._wake.set()

    def _drop(self, source: PieceSource) -> None:
        for task in source.tasks:
            task.cancel()
        for index in list(source.requested):
            self._cancel_request(source, index)

    def _record_unreachable(self, source: PieceSource) -> None:
        source.contacted = True
        source.connected = False
        self._wake.set()

    async def _read_origin(self) -> None:
        """Read the requested pieces one by one; a failed piece is planned again for any source."""
        version = self.version
        while True:
            index = await self._origin_queue.get()
            if index not in version.held:
                data = await self._origin.piece(version.model, version.number, index)
                now_s = active_s()
                self._origin_progress_s = now_s
                if data is None:
                    self._selector.record_origin_failure(now_s)
                    self._cancel_origin_requests()
                elif not version.add(index, data):
                    log.warning("piece spoilt", index=index, source="origin")
                    await asyncio.sleep(DAMAGED_PAUSE_S)
                else:
                    self._selector.record_origin_success(now_s)
            self._requested.pop(index, None)
            self._wake.set()

    def _cancel_origin_requests(self) -> None:
        """Allow pieces that the origin does not send now to be requested from stagers."""
        while not self._origin_queue.empty():
            self._requested.pop(self._origin_queue.get_nowait(), None)

    def _spawn(self, source: PieceSource, work: Coroutine[object, object, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        source.tasks.add(task)
        task.add_done_callback(source.tasks.discard)


__all__ = ["PieceFetch"]
